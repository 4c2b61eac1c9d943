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
	if c.Idempotent {
		return d.callHedged(ctx, w, c)
	}
	return d.callOnce(ctx, w, c)
}

// callOnce sends a call to one endpoint after another until a byte of it may have been written.
func (d *Dispatcher) callOnce(ctx context.Context, w *work, c *ServiceCall) (*operations.Answer, operations.Execution, error) {
	var last error
	for attempt := range d.opts.MaxAttempts {
		if attempt > 0 && !d.spendRetry() {
			break
		}
		t := d.tryCall(ctx, w, c)
		switch {
		case t.err == nil:
			return t.answer, operations.Ran, nil
		case !t.placed:
			return nil, operations.NotRun, d.notPlaced(t.err, last, operations.NotRun)
		case t.sent:
			if done := d.conclusive(ctx, t.err, operations.Unknown); done != nil {
				return nil, operations.Unknown, done
			}
			return nil, operations.Unknown, failed(CodeTruncated, "the endpoint gave no complete answer: "+t.err.Error(), operations.Unknown)
		}
		if done := d.conclusive(ctx, t.err, operations.NotRun); done != nil {
			return nil, operations.NotRun, done
		}
		last = t.err
	}
	return nil, operations.NotRun, failed(CodeEndpointError, "no endpoint could be reached: "+last.Error(), operations.NotRun)
}

// try is one attempt of a service call.
type try struct {
	answer *operations.Answer
	placed bool // an endpoint was found
	sent   bool // a byte of the request may have been written
	err    error
}

// tryCall makes one attempt at the endpoint that suits best. It is avoided by the next one.
func (d *Dispatcher) tryCall(ctx context.Context, w *work, c *ServiceCall) try {
	l, err := d.acquire(ctx, servicePrefix+c.Service, w)
	if err != nil {
		return try{err: err}
	}
	d.mu.Lock()
	w.avoid[l.endpoint] = true
	d.mu.Unlock()
	ctx, end := startAttempt(ctx, "dispatch.call", l.endpoint, c.ID)
	answer, sent, err := d.callAt(ctx, l, c)
	end(err)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		d.opts.Logger.Warn("attempt at service failed", zap.String("endpoint", l.endpoint.config.Name),
			zap.String("request_id", c.ID), zap.Error(err))
	}
	return try{answer: answer, placed: true, sent: sent, err: err}
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
		// A call that a faster endpoint has answered meanwhile counts against the slower one.
		if !errors.Is(ctx.Err(), context.Canceled) || errors.Is(context.Cause(ctx), errOvertaken) {
			d.report(e, false, 0)
		}
		return nil, sent, err
	}
	took := d.opts.Clock.Now().Sub(begun)
	d.report(e, true, took.Seconds())
	d.paced(l.pool, took)
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
