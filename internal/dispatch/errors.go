package dispatch

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// Error is a failed request, with the fields of the response to the caller.
type Error struct {
	Status     int // HTTP status
	Code       string
	Message    string
	RetryAfter time.Duration // 0: none is advised
	Execution  operations.Execution
}

// Error returns the message for the caller.
func (e *Error) Error() string { return e.Message }

// Codes of errors.
const (
	CodeOverloaded    = "overloaded"
	CodeNoEndpoint    = "no_endpoint"
	CodeEndpointError = "endpoint_failed"
	CodeTruncated     = "answer_incomplete"
	CodeTimeout       = "deadline_exceeded"
	// CodeLeftQueue is returned only to a caller that has set ModelCall.LeaveQueue.
	CodeLeftQueue = "left_queue"
)

// errLeftQueue ends the wait of a request that is forwarded to another region instead.
var errLeftQueue = &Error{
	Status: http.StatusServiceUnavailable, Code: CodeLeftQueue, Message: "the request goes to another region", RetryAfter: time.Second,
	Execution: operations.NotRun,
}

func overloaded(message string, after time.Duration) *Error {
	return &Error{
		Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Message: message, RetryAfter: after,
		Execution: operations.NotRun,
	}
}

func noEndpoint(message string) *Error {
	return &Error{
		Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Message: message, RetryAfter: time.Second,
		Execution: operations.NotRun,
	}
}

func attemptsFailed(code, message string, ex operations.Execution) *Error {
	e := &Error{Status: http.StatusBadGateway, Code: code, Message: message, Execution: ex}
	if ex == operations.NotRun {
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, time.Second
	}
	return e
}

// contextError returns the error of a request that ended with cause, usually that of its context. If cause is an *Error, it is copied
// with the given execution.
func contextError(cause error, ex operations.Execution) *Error {
	var e *Error
	if errors.As(cause, &e) {
		withExecution := *e
		withExecution.Execution = ex
		return &withExecution
	}
	return &Error{
		Status: http.StatusGatewayTimeout, Code: CodeTimeout, Message: "the request's time has run out: " + cause.Error(),
		RetryAfter: time.Second, Execution: ex,
	}
}
