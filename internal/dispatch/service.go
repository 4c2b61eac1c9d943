package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

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
	Path         string // with the query
	ContentType  string
	Accept       string
	Body         []byte
	// Idempotent calls may be sent again, within the retry budget. Others are sent at most once.
	Idempotent bool
	// BeforeSend is called right before the first byte of each attempt; its error ends the call as not sent.
	BeforeSend func() error
}

// Call sends a request to a plain service. The error is *Error. The execution is NotRun only if no byte of the request was
// written to an endpoint.
func (d *Dispatcher) Call(ctx context.Context, c *ServiceCall) (*operations.Answer, operations.Execution, error) {
	w := &work{
		organisation: c.Organisation, weight: c.Weight, class: fairqueue.Short, prompt: 1, tokens: 1,
		avoid: map[*endpoint]bool{},
	}
	d.mu.Lock()
	d.budget.Earn()
	d.mu.Unlock()
	ex := operations.NotRun
	var last error
	for attempt := range d.opts.MaxAttempts {
		if attempt > 0 && !d.spendRetry() {
			break
		}
		l, err := d.acquire(ctx, servicePrefix+c.Service, w)
		if err != nil {
			return nil, ex, d.notPlaced(err, last, ex)
		}
		attemptCtx, cancel := attemptTime(ctx, c, d.opts.MaxAttempts-attempt)
		attemptCtx, end := startAttempt(attemptCtx, "dispatch.call", l.endpoint, c.ID)
		answer, sent, err := d.callAt(attemptCtx, l, c)
		end(err)
		cancel()
		if sent {
			ex = operations.Unknown
		}
		if err == nil {
			return answer, operations.Ran, nil
		}
		if done := d.conclusive(ctx, err, ex); done != nil {
			return nil, ex, done
		}
		if sent && !c.Idempotent {
			return nil, ex, failed(CodeTruncated, "the endpoint gave no complete answer: "+err.Error(), ex)
		}
		d.opts.Logger.Warn("attempt at service failed", zap.String("endpoint", l.endpoint.config.Name),
			zap.String("request_id", c.ID), zap.Int("attempt", attempt), zap.Error(err))
		w.avoid[l.endpoint] = true
		last = err
	}
	return nil, ex, failed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
}

// attemptTime leaves time for another attempt if a call may be repeated, so that a paused endpoint does not use up all of it.
func attemptTime(ctx context.Context, c *ServiceCall, left int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || !c.Idempotent || left <= 1 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// callAt makes one attempt. sent says whether a byte of the request may have been written.
func (d *Dispatcher) callAt(ctx context.Context, l *lease, c *ServiceCall) (answer *operations.Answer, sent bool, err error) {
	defer d.release(l)
	e := l.endpoint
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return nil, false, &finalError{err}
		}
	}
	req, err := serviceRequest(ctx, e, c)
	if err != nil {
		return nil, false, &finalError{err}
	}
	transport := e.single
	if c.Idempotent {
		transport = e.pooled
	}
	begun := d.opts.Clock.Now()
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
		if !errors.Is(ctx.Err(), context.Canceled) {
			d.report(e, false, 0)
		}
		return nil, sent, err
	}
	d.report(e, true, d.opts.Clock.Now().Sub(begun).Seconds())
	return answer, true, nil
}

func serviceRequest(ctx context.Context, e *endpoint, c *ServiceCall) (*http.Request, error) {
	var body io.Reader
	if len(c.Body) > 0 {
		body = bytes.NewReader(c.Body)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, e.base+c.Path, body)
	if err != nil {
		return nil, err
	}
	if !c.Idempotent {
		req.GetBody = nil // without it net/http cannot send the body again
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
