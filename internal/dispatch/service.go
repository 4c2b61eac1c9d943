package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	ID           string
	Organisation string // empty on an open route
	Weight       float64
	Service      string
	Method       string
	Path         string // including the query
	ContentType  string
	Accept       string
	Body         []byte
	// Idempotent calls may be sent several times, within the retry budget. Others are sent at most once.
	Idempotent bool
	// BeforeSend is called right before the first byte of each attempt. If it fails, the attempt is not sent and the call ends with its
	// error.
	BeforeSend func() error
}

// Call sends a request to a plain service. The error is *Error. The execution is NotRun only if no byte of the request was
// written to an endpoint.
func (d *Dispatcher) Call(ctx context.Context, c *ServiceCall) (*operations.Answer, operations.Execution, error) {
	r := &request{
		organisation: c.Organisation, weight: c.Weight, class: fairqueue.Short, promptTokens: 1, tokens: 1,
		avoid: map[*endpoint]bool{},
	}
	d.mu.Lock()
	d.budget.Earn()
	d.mu.Unlock()
	if c.Idempotent {
		return d.callHedged(ctx, r, c)
	}
	return d.callOnce(ctx, r, c)
}

// callOnce tries one endpoint after another until a byte of the call may have been written to one.
func (d *Dispatcher) callOnce(ctx context.Context, r *request, c *ServiceCall) (*operations.Answer, operations.Execution, error) {
	var last error
	for attempt := range d.opts.MaxAttempts {
		if attempt > 0 && !d.spendRetry() {
			break
		}
		t := d.attemptCall(ctx, r, c)
		switch {
		case t.err == nil:
			return t.answer, operations.Ran, nil
		case !t.acquired:
			return nil, operations.NotRun, d.acquireError(t.err, last, operations.NotRun)
		case t.sent:
			if done := d.nonRetryableError(ctx, t.err, operations.Unknown); done != nil {
				return nil, operations.Unknown, done
			}
			return nil, operations.Unknown, attemptsFailed(CodeTruncated, "the endpoint gave no complete answer: "+t.err.Error(), operations.Unknown)
		}
		if done := d.nonRetryableError(ctx, t.err, operations.NotRun); done != nil {
			return nil, operations.NotRun, done
		}
		last = t.err
	}
	return nil, operations.NotRun, attemptsFailed(CodeEndpointError, "no endpoint could be reached: "+last.Error(), operations.NotRun)
}

// callAttempt is the result of one attempt of a service call.
type callAttempt struct {
	answer   *operations.Answer
	acquired bool // a slot at an endpoint was acquired
	sent     bool // a byte of the request may have been written
	err      error
}

// attemptCall makes one attempt at the best endpoint and marks that endpoint to be avoided by later attempts.
func (d *Dispatcher) attemptCall(ctx context.Context, r *request, c *ServiceCall) callAttempt {
	s, err := d.acquire(ctx, servicePoolPrefix+c.Service, r)
	if err != nil {
		return callAttempt{err: err}
	}
	d.mu.Lock()
	r.avoid[s.endpoint] = true
	d.mu.Unlock()
	ctx, end := startAttempt(ctx, "dispatch.call", s.endpoint, c.ID)
	answer, sent, err := d.callAt(ctx, s, c)
	end(err)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		d.opts.Logger.Warn("attempt at service failed", zap.String("endpoint", s.endpoint.config.Name),
			zap.String("request_id", c.ID), zap.Error(err))
	}
	return callAttempt{answer: answer, acquired: true, sent: sent, err: err}
}

// callAt makes one attempt for the slot and releases it. sent reports whether a byte of the request may have been written.
func (d *Dispatcher) callAt(ctx context.Context, s *slot, c *ServiceCall) (answer *operations.Answer, sent bool, err error) {
	defer d.release(s)
	e := s.endpoint
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return nil, false, &finalError{err}
		}
	}
	req, err := serviceRequest(ctx, e, c)
	if err != nil {
		return nil, false, &finalError{err}
	}
	transport := e.unpooled
	if c.Idempotent {
		transport = e.pooled
	}
	start := d.opts.Clock.Now()
	resp, err := d.send(transport, req, c.BeforeSend)
	if err == nil {
		defer resp.Body.Close()
		answer, err = d.readAnswer(resp)
		if err == nil && c.Idempotent && resp.StatusCode >= http.StatusBadGateway {
			err = &statusError{status: resp.StatusCode, body: answer.Body}
		}
	}
	var unsent *unsentError
	sent = !errors.As(err, &unsent)
	if err != nil {
		// An attempt cancelled because another endpoint answered first counts as a failure of the slower endpoint.
		if !errors.Is(ctx.Err(), context.Canceled) || errors.Is(context.Cause(ctx), errAnsweredElsewhere) {
			d.recordOutcome(e, false, 0)
		}
		return nil, sent, err
	}
	elapsed := d.opts.Clock.Now().Sub(start)
	d.recordOutcome(e, true, elapsed.Seconds())
	d.recordResponseTime(s.pool, elapsed)
	return answer, true, nil
}

func serviceRequest(ctx context.Context, e *endpoint, c *ServiceCall) (*http.Request, error) {
	var body io.Reader
	if len(c.Body) > 0 {
		body = bytes.NewReader(c.Body)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, e.baseURL+c.Path, body)
	if err != nil {
		return nil, err
	}
	if !c.Idempotent {
		req.GetBody = nil // without it net/http cannot resend the body
	}
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	if c.Accept != "" {
		req.Header.Set("Accept", c.Accept)
	}
	req.Header.Set("X-Request-Id", c.ID)
	req.Header["User-Agent"] = nil
	return req, nil
}
