package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// Hedging of idempotent service calls.
const (
	// hedgeFactor times the mean response time is the delay after which the call is sent to a second endpoint too.
	hedgeFactor = 4
	// minHedgeDelay prevents the jitter of very fast services from doubling their calls.
	minHedgeDelay = 20 * time.Millisecond
	// defaultHedgeDelay is used before the first response of a service.
	defaultHedgeDelay = time.Second
	// responseTimeWeight is the weight of a new response time in the moving average.
	responseTimeWeight = 0.1
)

// errAnsweredElsewhere cancels the remaining attempts of a call that another endpoint has answered.
var errAnsweredElsewhere = errors.New("another endpoint has answered the call")

// recordResponseTime updates the mean response time of a service.
func (d *Dispatcher) recordResponseTime(p *pool, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.meanResponseTime == 0 {
		p.meanResponseTime = elapsed
		return
	}
	p.meanResponseTime += time.Duration(responseTimeWeight * float64(elapsed-p.meanResponseTime))
}

// hedgeDelay returns the time after which an unanswered call is sent to a second endpoint as well.
func (d *Dispatcher) hedgeDelay(ctx context.Context, service string) time.Duration {
	d.mu.Lock()
	delay := defaultHedgeDelay
	if p := d.pools[servicePoolPrefix+service]; p != nil && p.meanResponseTime > 0 {
		delay = max(hedgeFactor*p.meanResponseTime, minHedgeDelay)
	}
	d.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		delay = min(delay, time.Until(deadline)/2)
	}
	return delay
}

// callHedged sends an idempotent call. When an attempt fails or is slow, the call is sent to another endpoint too, within the
// retry budget. The first complete response is returned.
func (d *Dispatcher) callHedged(ctx context.Context, r *request, c *ServiceCall) (*operations.Answer, operations.Execution, error) {
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnsweredElsewhere)
	results := make(chan callAttempt, d.opts.MaxAttempts)
	launched, pending := 0, 0
	launch := func() {
		launched++
		pending++
		go func() { results <- d.attemptCall(running, r, c) }()
	}
	launch()
	hedge := time.NewTimer(d.hedgeDelay(ctx, c.Service))
	defer hedge.Stop()
	ex := operations.NotRun
	var last error
	for pending > 0 {
		select {
		case <-hedge.C:
			if launched < d.opts.MaxAttempts && d.spendRetry() {
				launch()
			}
			continue
		case t := <-results:
			pending--
			if t.err == nil {
				return t.answer, operations.Ran, nil
			}
			if t.sent {
				ex = operations.Unknown
			}
			known := ex
			if pending > 0 {
				known = operations.Unknown // a remaining attempt may have reached its endpoint
			}
			if done := d.hedgeError(ctx, t, pending, last, known); done != nil {
				return nil, known, done
			}
			if t.acquired {
				last = t.err
			}
		}
		if pending == 0 && launched < d.opts.MaxAttempts && d.spendRetry() {
			launch()
		}
	}
	return nil, ex, attemptsFailed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
}

// hedgeError returns the error of a call that must not be retried, or nil if another attempt may still succeed.
func (d *Dispatcher) hedgeError(ctx context.Context, t callAttempt, pending int, last error, ex operations.Execution) error {
	if t.acquired {
		return d.nonRetryableError(ctx, t.err, ex)
	}
	if pending > 0 {
		return nil // no endpoint was free for the hedge; other attempts are still running
	}
	return d.acquireError(t.err, last, ex)
}
