package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/sse"
)

// ModelCall is a request to a model engine. It has no lasting effect there, so it may be retried.
type ModelCall struct {
	// ID identifies the request at the endpoint. It must be unique: streams are resumed and cancelled by it.
	ID           string
	Organisation string
	Weight       float64
	Model        string
	Path         string // such as /v1/chat/completions
	Body         []byte // JSON object with at least one field, without "priority"
	PromptTokens int64  // estimate
	MaxTokens    int64
	PrefixBlocks []uint64 // hashes of the prompt's prefix blocks
	Class        fairqueue.Class
	// BeforeSend is called right before the first byte of each attempt. If it fails, the attempt is not sent and the call ends with its
	// error.
	BeforeSend func() error
	// LeaveQueue is called regularly while the request waits for an endpoint. If it returns true, the call ends with CodeLeftQueue and the
	// waiting attempt is not sent. Nil: the request keeps waiting.
	LeaveQueue func() bool
	// RemoteFallback says that the caller may try another region after this one. No retry is then made here while all endpoints of the
	// model are ejected.
	RemoteFallback bool
	// LocalFailed says that the endpoints of this region have failed the request, so that a forwarded request is not marked as sent only
	// to relieve this region's load.
	LocalFailed bool
	// Progress is what the caller of a stream has received, including from attempts in other regions.
	Progress *Progress
}

// Usage is the number of tokens of a model call as the endpoint reported it.
type Usage struct {
	PromptTokens, OutputTokens int64
	Known                      bool
}

// priorities are the values sent to engines, which serve lower ones first.
var priorities = [2]int{fairqueue.Short: 0, fairqueue.Long: 10}

// endOfStream is the data of the event that ends a complete stream.
const endOfStream = "[DONE]"

func (c *ModelCall) request() *request {
	return &request{
		organisation: c.Organisation, weight: c.Weight, class: c.Class, prefixBlocks: c.PrefixBlocks,
		promptTokens: float64(c.PromptTokens), tokens: float64(c.PromptTokens + c.MaxTokens),
		avoid: map[*endpoint]bool{}, leaveQueue: c.LeaveQueue,
	}
}

// attemptID returns the request ID of one attempt. It differs for each, so that the endpoint cannot mistake a retry for the first attempt.
func (c *ModelCall) attemptID(attempt int) string {
	if attempt == 0 {
		return c.ID
	}
	return c.ID + "-" + strconv.Itoa(attempt)
}

// bodyWithPriority returns the body with the priority of the call's class added.
func (c *ModelCall) bodyWithPriority() []byte {
	head := fmt.Sprintf(`{"priority":%d,`, priorities[c.Class])
	return append([]byte(head), bytes.TrimLeft(c.Body, " \t\r\n")[1:]...)
}

// Stream sends a streaming call and passes the data of each event to sink, without the end marker. It returns nil only if the
// stream was complete. The error is *Error.
func (d *Dispatcher) Stream(ctx context.Context, c *ModelCall, sink func(data []byte) error) error {
	return d.runAttempts(ctx, c, func(s *slot, id string) error {
		if err := c.Progress.BeginAttempt(); err != nil {
			return &finalError{err}
		}
		ctx, end := startAttempt(ctx, "dispatch.stream", s.endpoint, id)
		first := true
		err := d.streamAt(ctx, s.endpoint, c, id, func(data []byte) error {
			if first {
				first = false
				d.prefillDone(s)
			}
			return sink(data)
		})
		end(err)
		return err
	})
}

// Complete sends a call whose response is one JSON object, not a stream. The error is *Error.
func (d *Dispatcher) Complete(ctx context.Context, c *ModelCall) (*operations.Answer, Usage, error) {
	var answer *operations.Answer
	err := d.runAttempts(ctx, c, func(s *slot, id string) error {
		ctx, end := startAttempt(ctx, "dispatch.plain", s.endpoint, id)
		a, err := d.completeAt(ctx, s.endpoint, c, id)
		end(err)
		answer = a
		return err
	})
	if err != nil {
		return nil, Usage{}, err
	}
	return answer, usageOf(answer.Body), nil
}

func usageOf(body []byte) Usage {
	var parsed struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(body, &parsed) != nil || parsed.Usage == nil {
		return Usage{}
	}
	return Usage{PromptTokens: parsed.Usage.PromptTokens, OutputTokens: parsed.Usage.CompletionTokens, Known: true}
}

// finalError is an error after which a call is not retried.
type finalError struct{ error }

func (e *finalError) Unwrap() error { return e.error }

// statusError is a response of an endpoint whose status is not success.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string { return "the endpoint answered " + strconv.Itoa(e.status) }

// endpointFault reports whether the same request may succeed at another endpoint.
func (e *statusError) endpointFault() bool {
	switch e.status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return false
	}
	return true
}

// runAttempts calls try for one endpoint after another until it succeeds, fails with an error that must not be retried, or MaxAttempts or
// the retry budget is exhausted.
func (d *Dispatcher) runAttempts(ctx context.Context, c *ModelCall, try func(*slot, string) error) error {
	d.mu.Lock()
	d.budget.Earn()
	d.mu.Unlock()
	r := c.request()
	ex := operations.NotRun
	var last error
	for attempt := range d.opts.MaxAttempts {
		if attempt > 0 && (c.RemoteFallback && d.allEjected(c.Model) || !d.spendRetry()) {
			break
		}
		s, err := d.acquire(ctx, c.Model, r)
		if err != nil {
			return d.acquireError(err, last, ex)
		}
		sent, err := d.runAttempt(ctx, c, s, attempt, try)
		if sent {
			ex = operations.Unknown
		}
		if err == nil {
			return nil
		}
		if done := d.nonRetryableError(ctx, err, ex); done != nil {
			return done
		}
		d.opts.Logger.Warn("attempt at endpoint failed", zap.String("endpoint", s.endpoint.config.Name),
			zap.String("request_id", c.ID), zap.Int("attempt", attempt), zap.Error(err))
		r.avoid[s.endpoint] = true
		last = err
	}
	return attemptsFailed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
}

// acquireError returns the error of a call that got no slot for its next attempt. last is the error of the previous attempt, or nil.
func (d *Dispatcher) acquireError(err, last error, ex operations.Execution) error {
	var e *Error
	if last != nil && errors.As(err, &e) {
		return attemptsFailed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
	}
	return contextError(err, ex)
}

// nonRetryableError returns the error of a call that must not be retried after err, or nil if it may be.
func (d *Dispatcher) nonRetryableError(ctx context.Context, err error, ex operations.Execution) error {
	if ctx.Err() != nil {
		return contextError(context.Cause(ctx), ex)
	}
	var final *finalError
	if errors.As(err, &final) {
		var e *Error
		if errors.As(err, &e) {
			return contextError(e, ex)
		}
		return attemptsFailed(CodeTruncated, final.Error(), ex)
	}
	var status *statusError
	if errors.As(err, &status) && !status.endpointFault() {
		return &Error{
			Status: status.status, Code: "invalid_request", Message: engineMessage(status.body),
			Execution: operations.Ran,
		}
	}
	return nil
}

// engineMessage returns the message in an engine's error body.
func engineMessage(body []byte) string {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &parsed) != nil || parsed.Error.Message == "" {
		return "the endpoint refused the request"
	}
	return parsed.Error.Message
}

// runAttempt calls try for one slot, releases the slot and records the outcome in the endpoint's health. sent reports whether a byte of
// the request may have been written.
func (d *Dispatcher) runAttempt(ctx context.Context, c *ModelCall, s *slot, n int, try func(*slot, string) error) (sent bool, err error) {
	defer d.release(s)
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return false, &finalError{err}
		}
	}
	start := d.opts.Clock.Now()
	err = try(s, c.attemptID(n))
	var unsent *unsentError
	sent = !errors.As(err, &unsent)
	var final *finalError
	var status *statusError
	switch {
	case err == nil:
		d.recordOutcome(s.endpoint, true, d.opts.Clock.Now().Sub(start).Seconds()/max(s.tokens, 1))
	case ctx.Err() != nil, errors.As(err, &final):
	case errors.As(err, &status) && !status.endpointFault():
		d.recordOutcome(s.endpoint, true, 0)
	default:
		d.recordOutcome(s.endpoint, false, 0)
	}
	return sent, err
}

// maxResumes bounds the resumes of a stream at one endpoint.
const maxResumes = 2

// streamAt runs a stream at one endpoint, resumes it there when it breaks, and cancels it at the engine if it fails.
func (d *Dispatcher) streamAt(ctx context.Context, e *endpoint, c *ModelCall, id string, sink func([]byte) error) error {
	err := d.streamOnce(ctx, e, c, d.opts.FirstTokenTimeout, func(ctx context.Context) (*http.Request, error) {
		return d.engineRequest(ctx, e, http.MethodPost, c.Path, id, c.bodyWithPriority())
	}, sink)
	for range maxResumes {
		if err == nil || !resumable(ctx, err) || !d.spendRetry() {
			break
		}
		d.metrics.resumes.Inc(1)
		from, joinErr := c.Progress.beginResume()
		if joinErr != nil {
			err = &finalError{joinErr}
			break
		}
		resumeErr := d.streamOnce(ctx, e, c, min(d.opts.FirstTokenTimeout, resumeTimeout), func(ctx context.Context) (*http.Request, error) {
			path := "/engine/v1/requests/" + url.PathEscape(id) + "/stream?from=" + strconv.FormatInt(from, 10)
			return d.engineRequest(ctx, e, http.MethodGet, path, id, nil)
		}, sink)
		var status *statusError
		if errors.As(resumeErr, &status) {
			break // the endpoint no longer has the stream
		}
		if resumeErr == nil {
			return nil
		}
		err = resumeFailure(resumeErr)
	}
	if err != nil {
		d.cancelAt(e, id, err)
	}
	return err
}

// resumeFailure returns the error of a stream whose resume failed with err. It is no *unsentError even if the resume was not sent, since
// the request itself was.
func resumeFailure(err error) error {
	var unsent *unsentError
	if !errors.As(err, &unsent) {
		return err
	}
	cause := errors.Wrap(unsent.cause, "the stream could not be resumed")
	var final *finalError
	if errors.As(err, &final) {
		return &finalError{cause}
	}
	return cause
}

// resumeTimeout limits the wait for the first event of a resumed stream. It is short since a resumed stream needs no prefill.
const resumeTimeout = 2 * time.Second

// resumable reports whether the stream broke after its response header had arrived. A stalled stream is not resumed, since its endpoint
// would probably stall again.
func resumable(ctx context.Context, err error) bool {
	var broken *brokenError
	return ctx.Err() == nil && errors.As(err, &broken) && !errors.Is(err, errStalled)
}

// brokenError is the error of a response that ended early: a stream without its end marker, or an incomplete body.
type brokenError struct{ cause error }

func (e *brokenError) Error() string { return "the answer ended early: " + e.cause.Error() }

func (e *brokenError) Unwrap() error { return e.cause }

// sinkError is the error of a write to the caller.
type sinkError struct{ cause error }

func (e *sinkError) Error() string { return "the caller is gone: " + e.cause.Error() }

func (e *sinkError) Unwrap() error { return e.cause }

var errStalled = errors.New("the endpoint made no progress")

// streamOnce sends one request and passes its events to sink until the end marker. first limits the wait for the first event.
func (d *Dispatcher) streamOnce(ctx context.Context, e *endpoint, c *ModelCall, first time.Duration,
	build func(context.Context) (*http.Request, error), sink func([]byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(first, func() { cancel(errStalled) })
	defer watchdog.Stop()
	watched, unwatch := d.watchAttempt(e, cancel)
	defer unwatch()
	req, err := build(ctx)
	if err != nil {
		return &finalError{err}
	}
	resp, err := d.send(e.pooled, req, c.BeforeSend)
	if err != nil {
		return stalledOrErr(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatus(resp)
	}
	events := sse.NewReader(resp.Body)
	for {
		data, err := events.Next()
		if err != nil {
			return &brokenError{stalledOrErr(ctx, err)}
		}
		if string(data) == endOfStream {
			return nil
		}
		if ctx.Err() != nil {
			return &brokenError{stalledOrErr(ctx, context.Cause(ctx))} // no buffered event may be sent once the key is withdrawn
		}
		out, err := c.Progress.Accept(data)
		if err != nil {
			return acceptError(err)
		}
		if out != nil {
			// The time that the caller takes to read must not count as a stall of the endpoint.
			watchdog.Stop()
			if err := sink(out); err != nil {
				return &finalError{&sinkError{err}}
			}
		}
		d.recordEvent(watched)
		watchdog.Reset(d.opts.StallTimeout)
	}
}

func acceptError(err error) error {
	if errors.Is(err, errDiverged) || errors.Is(err, errNotResumable) {
		return &finalError{err}
	}
	return err
}

func stalledOrErr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// maxStatusBody bounds the body of an endpoint's error response in bytes.
const maxStatusBody = 16 << 10

func readStatus(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatusBody)) // a partial body still serves for the error message
	return &statusError{status: resp.StatusCode, body: body}
}

// maxTimePerToken limits the time per output token of a response that is not streamed, after which the endpoint counts as stalled. It is
// three times the target.
const maxTimePerToken = 213 * time.Millisecond

// completeAt runs a call without streaming at one endpoint.
func (d *Dispatcher) completeAt(ctx context.Context, e *endpoint, c *ModelCall, id string) (*operations.Answer, error) {
	limit := d.opts.FirstTokenTimeout + time.Duration(c.MaxTokens)*maxTimePerToken
	ctx, stop := context.WithTimeoutCause(ctx, limit, errStalled)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_, unwatch := d.watchAttempt(e, cancel)
	defer unwatch()
	req, err := d.engineRequest(ctx, e, http.MethodPost, c.Path, id, c.bodyWithPriority())
	if err != nil {
		return nil, &finalError{err}
	}
	resp, err := d.send(e.pooled, req, c.BeforeSend)
	if err != nil {
		d.cancelAt(e, id, err)
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readStatus(resp)
	}
	a, err := d.readAnswer(resp)
	if err != nil {
		d.cancelAt(e, id, err)
		return nil, err
	}
	if !json.Valid(a.Body) {
		return nil, errors.New("the endpoint's answer is no JSON")
	}
	return a, nil
}

// cancelTimeout limits a call that cancels a request at an engine.
const cancelTimeout = 2 * time.Second

// cancelAt cancels a request at the engine whose response is no longer read, in the background. It does nothing if cause shows that the
// request was not sent or has already been answered.
func (d *Dispatcher) cancelAt(e *endpoint, id string, cause error) {
	var unsent *unsentError
	var status *statusError
	if errors.As(cause, &unsent) || errors.As(cause, &status) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), cancelTimeout)
		defer cancel()
		req, err := d.engineRequest(ctx, e, http.MethodDelete, "/engine/v1/requests/"+url.PathEscape(id), id, nil)
		if err != nil {
			return
		}
		resp, err := d.send(e.pooled, req, nil)
		if err != nil {
			d.opts.Logger.Debug("request could not be cancelled at the endpoint, which may run it to its end", zap.String("request_id", id), zap.Error(err))
			return
		}
		resp.Body.Close()
	})
}

func (d *Dispatcher) engineRequest(ctx context.Context, e *endpoint, method, path, id string, body []byte) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, r)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Request-Id", id)
	req.Header["User-Agent"] = nil
	return req, nil
}
