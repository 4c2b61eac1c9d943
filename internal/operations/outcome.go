package operations

import (
	"net/http"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
)

// Codes of outcomes.
const (
	CodeMalformedKey  = "idempotency_key_malformed"
	CodeForeignKey    = "idempotency_key_foreign"
	CodeReused        = "idempotency_key_reused"
	CodeExpired       = "idempotency_key_expired"
	CodeFuture        = "idempotency_key_in_future"
	CodeInProgress    = "operation_in_progress"
	CodeUnknown       = "operation_unknown"
	CodeAnswerGone    = "operation_answer_gone"
	CodeNotRun        = "operation_not_run"
	CodeStoreOut      = "operation_store_unavailable"
	CodeOwnerStarting = "operation_owner_starting"
	CodeOwnerChanged  = "operation_owner_changed"
	CodeOwnerUnknown  = "operation_owner_unknown"
	CodeOwnerAway     = "operation_owner_unreachable"
	CodeIssuerGone    = "operation_issuer_gone"
	CodeIssuerUnknown = "operation_issuer_unknown"
	CodeFull          = "operation_records_full"
	CodeCancelled     = "operation_cancelled"
	CodeStopping      = "operation_instance_stopping"
	CodeOtherRegion   = "operation_other_region"
	CodeAnswerCut     = "operation_answer_cut"
	CodeTooLarge      = "operation_too_large"
	CodeOrganisation  = "organisation_unknown"
	// codeNotHolder is said between instances only.
	codeNotHolder = "operation_not_holder"
	// codeUnlisted says inside an instance that the peer has no known address.
	codeUnlisted = "operation_peer_unlisted"
)

// Times after which a repeat is worthwhile.
const (
	retrySoon  = time.Second      // takeovers, other attempts and peer links take about this long
	retryStore = 2 * time.Second  // a store outage lasts longer than one try
	retryFull  = 30 * time.Second // records leave memory by the hour
)

// issuerListed is the age of an issued id from which its issuer has surely become known to the other instances, however late
// the platform's list shows it.
const issuerListed = time.Minute

func notRun(status int, code, message string, retry time.Duration) Outcome {
	return Outcome{Execution: NotRun, Status: status, Code: code, Message: message, RetryAfter: retry}
}

func unknown(status int, code, message string) Outcome {
	return Outcome{Execution: Unknown, Status: status, Code: code, Message: message}
}

// ended is the result of a run, as the records hold it.
type ended struct {
	answer *Answer
	err    error
}

// outcomeOf translates a decision for the caller.
func outcomeOf(r atmostonce.Reply) Outcome {
	e, _ := r.Answer.(ended)
	switch r.Reason {
	case atmostonce.ReasonRun:
		return outcomeOfRun(r.Execution, e)
	case atmostonce.ReasonAnswer:
		return Outcome{Execution: Ran, Answer: e.answer, Repeat: true}
	case atmostonce.ReasonAnswerEvicted:
		return Outcome{Execution: Ran, Status: http.StatusConflict, Code: CodeAnswerGone, Repeat: true,
			Message: "the request with this key ran; its answer is no longer held"}
	case atmostonce.ReasonInProgress:
		return Outcome{Execution: Unknown, Status: http.StatusConflict, Code: CodeInProgress, Repeat: true, RetryAfter: retrySoon,
			Message: "a request with this key is in progress"}
	case atmostonce.ReasonUnknown:
		return Outcome{Execution: Unknown, Status: http.StatusConflict, Code: CodeUnknown, Repeat: true,
			Message: "an earlier request with this key may have run; it is never run again"}
	case atmostonce.ReasonBodyMismatch:
		return Outcome{Execution: NotRun, Status: http.StatusUnprocessableEntity, Code: CodeReused, Repeat: true,
			Message: "the key was used with another request"}
	case atmostonce.ReasonExpired:
		return unknown(http.StatusConflict, CodeExpired, "records as old as this key are no longer kept; the request may have run earlier")
	case atmostonce.ReasonKeyInFuture:
		return notRun(http.StatusBadRequest, CodeFuture, "the time in the key lies more than 5 minutes in the future", 0)
	case atmostonce.ReasonFull:
		return notRun(http.StatusServiceUnavailable, CodeFull, "no more operations can be recorded at present", retryFull)
	case atmostonce.ReasonTakeover:
		return notRun(http.StatusServiceUnavailable, CodeOwnerStarting, "the owner of the key is reading its records", retrySoon)
	case atmostonce.ReasonNotOwner:
		return notRun(http.StatusServiceUnavailable, CodeOwnerChanged, "the key is changing its owner", retrySoon)
	case atmostonce.ReasonStoreUnavailable:
		return notRun(http.StatusServiceUnavailable, CodeStoreOut, "the operation could not be recorded", retryStore)
	case atmostonce.ReasonCancelled:
		return cancelledOutcome(r.Execution)
	}
	return unknown(http.StatusInternalServerError, CodeUnknown, "the operation has no outcome")
}

func outcomeOfRun(x atmostonce.Execution, e ended) Outcome {
	switch x {
	case atmostonce.Ran:
		return Outcome{Execution: Ran, Answer: e.answer}
	case atmostonce.NotRun:
		return notRun(http.StatusServiceUnavailable, CodeNotRun, "no endpoint took the request"+detail(e.err), retrySoon)
	default:
		return unknown(http.StatusBadGateway, CodeUnknown, "the request may have run; it is never run again"+detail(e.err))
	}
}

func cancelledOutcome(x atmostonce.Execution) Outcome {
	if x == atmostonce.NotRun {
		return notRun(http.StatusServiceUnavailable, CodeCancelled, "the request ended before the operation was sent", retrySoon)
	}
	o := unknown(http.StatusGatewayTimeout, CodeInProgress, "the request ended before the operation had an answer")
	o.RetryAfter = retrySoon
	return o
}

func detail(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// answerBytes returns about the memory that an answer takes.
func answerBytes(a *Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}
