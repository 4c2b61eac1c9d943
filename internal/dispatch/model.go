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

// ModelCall is a request to a model engine. Engines have no lasting effect, so it may be repeated.
type ModelCall struct {
	// ID names the request at the endpoint. It must be unique: streams are resumed and cancelled by it.
	ID           string
	Organisation string
	Weight       float64
	Model        string
	Path         string // such as /v1/chat/completions
	Body         []byte // JSON object with at least one member, without "priority"
	PromptTokens int64  // estimate
	MaxTokens    int64
	PrefixBlocks []uint64 // hashes of the prompt's prefix blocks
	Class        fairqueue.Class
	// BeforeSend is called right before the first byte of each attempt; its error ends the call as not sent.
	BeforeSend func() error
	// LeaveQueue is called while the request waits for an endpoint. If it returns true, the call ends with CodeLeftQueue and nothing
	// has been sent. Nil: the request waits on.
	LeaveQueue func() bool
	// RemoteFallback says that another region may be tried after the endpoints here: none of these is then tried again while all are
	// ejected.
	RemoteFallback bool
	// LocalFailed says that the endpoints here have failed the request: another region is not asked for mere relief then.
	LocalFailed bool
	// Progress is what the caller of a stream has received, from earlier attempts elsewhere too.
	Progress *Progress
}

// Usage is the real use of a model call.
type Usage struct {
	PromptTokens, OutputTokens int64
	Known                      bool
}

// Priorities sent to engines; lower is sooner.
var priorities = [2]int{fairqueue.Short: 0, fairqueue.Long: 10}

// endOfStream is the data of the event that ends a complete stream.
const endOfStream = "[DONE]"

func (c *ModelCall) work() *work {
	return &work{
		organisation: c.Organisation, weight: c.Weight, class: c.Class, blocks: c.PrefixBlocks,
		prompt: float64(c.PromptTokens), tokens: float64(c.PromptTokens + c.MaxTokens),
		avoid: map[*endpoint]bool{}, reconsider: c.LeaveQueue,
	}
}

// attemptID names one attempt. A replay at the same endpoint must not be taken for the first attempt.
func (c *ModelCall) attemptID(attempt int) string {
	if attempt == 0 {
		return c.ID
	}
	return c.ID + "-" + strconv.Itoa(attempt)
}

// prioritised adds the priority of the call's class to the body.
func (c *ModelCall) prioritised() []byte {
	head := fmt.Sprintf(`{"priority":%d,`, priorities[c.Class])
	return append([]byte(head), bytes.TrimLeft(c.Body, " \t\r\n")[1:]...)
}

// Stream sends a streaming call and gives the data of each event to sink, without the end mark. It returns nil only if the
// whole answer was given. The error is *Error.
func (d *Dispatcher) Stream(ctx context.Context, c *ModelCall, sink func(data []byte) error) error {
	return d.attempts(ctx, c, func(l *lease, id string) error {
		if err := c.Progress.BeginAttempt(); err != nil {
			return &finalError{err}
		}
		ctx, end := startAttempt(ctx, "dispatch.stream", l.endpoint, id)
		first := true
		err := d.streamAt(ctx, l.endpoint, c, id, func(data []byte) error {
			if first {
				first = false
				d.prefilled(l)
			}
			return sink(data)
		})
		end(err)
		return err
	})
}

// Complete sends a call whose answer is one JSON object. The error is *Error.
func (d *Dispatcher) Complete(ctx context.Context, c *ModelCall) (*operations.Answer, Usage, error) {
	var answer *operations.Answer
	err := d.attempts(ctx, c, func(l *lease, id string) error {
		ctx, end := startAttempt(ctx, "dispatch.plain", l.endpoint, id)
		a, err := d.plainAt(ctx, l.endpoint, c, id)
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

// finalError ends a call without further attempts.
type finalError struct{ error }

func (e *finalError) Unwrap() error { return e.error }

// statusError is an answer of an engine that is no success.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string { return "the endpoint answered " + strconv.Itoa(e.status) }

// endpointFault reports whether another endpoint may do better.
func (e *statusError) endpointFault() bool {
	switch e.status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return false
	}
	return true
}

// attempts runs try at one endpoint after another until it succeeds, fails for good, or the retry budget is spent.
func (d *Dispatcher) attempts(ctx context.Context, c *ModelCall, try func(*lease, string) error) error {
	d.mu.Lock()
	d.budget.Earn()
	d.mu.Unlock()
	w := c.work()
	ex := operations.NotRun
	var last error
	for attempt := range d.opts.MaxAttempts {
		if attempt > 0 && (c.RemoteFallback && d.allOut(c.Model) || !d.spendRetry()) {
			break
		}
		l, err := d.acquire(ctx, c.Model, w)
		if err != nil {
			return d.notPlaced(err, last, ex)
		}
		sent, err := d.attempt(ctx, c, l, attempt, try)
		if sent {
			ex = operations.Unknown
		}
		if err == nil {
			return nil
		}
		if done := d.conclusive(ctx, err, ex); done != nil {
			return done
		}
		d.opts.Logger.Warn("attempt at endpoint failed", zap.String("endpoint", l.endpoint.config.Name),
			zap.String("request_id", c.ID), zap.Int("attempt", attempt), zap.Error(err))
		w.avoid[l.endpoint] = true
		last = err
	}
	return failed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
}

// notPlaced describes a call that found no place for its next attempt.
func (d *Dispatcher) notPlaced(err, last error, ex operations.Execution) error {
	var e *Error
	if last != nil && errors.As(err, &e) {
		return failed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
	}
	return ended(err, ex)
}

// conclusive returns the error of a call that is not tried again, or nil.
func (d *Dispatcher) conclusive(ctx context.Context, err error, ex operations.Execution) error {
	if ctx.Err() != nil {
		return ended(context.Cause(ctx), ex)
	}
	var final *finalError
	if errors.As(err, &final) {
		var e *Error
		if errors.As(err, &e) {
			return ended(e, ex)
		}
		return failed(CodeTruncated, final.Error(), ex)
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

// engineMessage takes the message out of an engine's error body.
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

// attempt runs one try under its lease and records the endpoint's health.
func (d *Dispatcher) attempt(ctx context.Context, c *ModelCall, l *lease, n int, try func(*lease, string) error) (sent bool, err error) {
	defer d.release(l)
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return false, &finalError{err}
		}
	}
	begun := d.opts.Clock.Now()
	err = try(l, c.attemptID(n))
	var unsent *unsentError
	sent = !errors.As(err, &unsent)
	var final *finalError
	var status *statusError
	switch {
	case err == nil:
		d.report(l.endpoint, true, d.opts.Clock.Now().Sub(begun).Seconds()/max(l.tokens, 1))
	case ctx.Err() != nil, errors.As(err, &final):
	case errors.As(err, &status) && !status.endpointFault():
		d.report(l.endpoint, true, 0)
	default:
		d.report(l.endpoint, false, 0)
	}
	return sent, err
}

// maxResumes bounds how often a stream is resumed at one endpoint.
const maxResumes = 2

// streamAt runs a stream at one endpoint. A stream that breaks is resumed there.
func (d *Dispatcher) streamAt(ctx context.Context, e *endpoint, c *ModelCall, id string, sink func([]byte) error) error {
	err := d.streamOnce(ctx, e, c, d.opts.FirstTokenTimeout, func(ctx context.Context) (*http.Request, error) {
		return d.engineRequest(ctx, e, http.MethodPost, c.Path, id, c.prioritised())
	}, sink)
	for range maxResumes {
		if err == nil || !resumable(ctx, err) || !d.spendRetry() {
			break
		}
		d.metrics.resumes.Inc(1)
		from, joinErr := c.Progress.resume()
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
		err = resumeErr
	}
	if err != nil {
		d.cancelAt(e, id, err)
	}
	return err
}

// resumeTimeout limits the wait for the first event of a resumed stream, which needs no prefill.
const resumeTimeout = 2 * time.Second

// resumable reports whether the stream broke after its head had arrived. One whose endpoint hangs would hang again.
func resumable(ctx context.Context, err error) bool {
	var broken *brokenError
	return ctx.Err() == nil && errors.As(err, &broken) && !errors.Is(err, errStalled)
}

// brokenError reports a stream that ended without its end mark.
type brokenError struct{ cause error }

func (e *brokenError) Error() string { return "the answer ended early: " + e.cause.Error() }

func (e *brokenError) Unwrap() error { return e.cause }

// sinkError reports that the caller could not be written to.
type sinkError struct{ cause error }

func (e *sinkError) Error() string { return "the caller is gone: " + e.cause.Error() }

func (e *sinkError) Unwrap() error { return e.cause }

var errStalled = errors.New("the endpoint made no progress")

// streamOnce sends one request and gives its events to sink until the end mark.
func (d *Dispatcher) streamOnce(ctx context.Context, e *endpoint, c *ModelCall, first time.Duration,
	build func(context.Context) (*http.Request, error), sink func([]byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(first, func() { cancel(errStalled) })
	defer watchdog.Stop()
	watched, unwatch := d.watch(e, cancel)
	defer unwatch()
	req, err := build(ctx)
	if err != nil {
		return &finalError{err}
	}
	resp, err := d.send(e.pooled, req, c.BeforeSend)
	if err != nil {
		return stalledOr(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatus(resp)
	}
	events := sse.NewReader(resp.Body)
	for {
		data, err := events.Next()
		if err != nil {
			return &brokenError{stalledOr(ctx, err)}
		}
		if string(data) == endOfStream {
			return nil
		}
		if ctx.Err() != nil {
			return &brokenError{stalledOr(ctx, context.Cause(ctx))} // what was buffered must not go out after a withdrawn key
		}
		out, err := c.Progress.Accept(data)
		if err != nil {
			return streamFault(err)
		}
		if out != nil {
			// Time that the caller takes to read is not the endpoint's.
			watchdog.Stop()
			if err := sink(out); err != nil {
				return &finalError{&sinkError{err}}
			}
		}
		d.progressed(watched)
		watchdog.Reset(d.opts.StallTimeout)
	}
}

func streamFault(err error) error {
	if errors.Is(err, errDiverged) || errors.Is(err, errNotResumable) {
		return &finalError{err}
	}
	return err
}

func stalledOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// maxStatusBody bounds the body of an engine's error answer.
const maxStatusBody = 16 << 10

func readStatus(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatusBody)) // a cut body is no worse than an unreadable one
	return &statusError{status: resp.StatusCode, body: body}
}

// slowestToken is the time for a token of a plain answer after which an endpoint counts as stalled: three times the target.
const slowestToken = 213 * time.Millisecond

// plainAt runs a plain call at one endpoint.
func (d *Dispatcher) plainAt(ctx context.Context, e *endpoint, c *ModelCall, id string) (*operations.Answer, error) {
	limit := d.opts.FirstTokenTimeout + time.Duration(c.MaxTokens)*slowestToken
	ctx, stop := context.WithTimeoutCause(ctx, limit, errStalled)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_, unwatch := d.watch(e, cancel)
	defer unwatch()
	req, err := d.engineRequest(ctx, e, http.MethodPost, c.Path, id, c.prioritised())
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

// cancelTimeout limits the cancel of a request at an engine.
const cancelTimeout = 2 * time.Second

// cancelAt tells the engine to drop a request whose answer nobody reads. It does not wait for that.
func (d *Dispatcher) cancelAt(e *endpoint, id string, cause error) {
	var unsent *unsentError
	var status *statusError
	if errors.As(cause, &unsent) || errors.As(cause, &status) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), cancelTimeout)
		defer cancel()
		req, err := d.engineRequest(ctx, e, http.MethodDelete, "/engine/v1/requests/"+url.PathEscape(id), id, nil)
		if err != nil {
			return
		}
		resp, err := d.send(e.pooled, req, nil)
		if err != nil {
			d.opts.Logger.Debug("cancel did not reach the endpoint", zap.String("request_id", id), zap.Error(err))
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
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, r)
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
