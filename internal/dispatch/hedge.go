package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// Hedging of idempotent service calls.
const (
	// hedgeFactor is the number of mean answer times after which a second endpoint is asked too.
	hedgeFactor = 4
	// minHedgeDelay keeps the jitter of very fast services from doubling their calls.
	minHedgeDelay = 20 * time.Millisecond
	// unknownHedgeDelay is used before the first answer of a service.
	unknownHedgeDelay = time.Second
	// paceWeight is the weight of a new answer time in the mean.
	paceWeight = 0.1
)

// errOvertaken ends a call that another endpoint has answered.
var errOvertaken = errors.New("another endpoint has answered the call")

// paced records the answer time of a service.
func (d *Dispatcher) paced(p *pool, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.pace == 0 {
		p.pace = took
		return
	}
	p.pace += time.Duration(paceWeight * float64(took-p.pace))
}

// hedgeDelay is the time after which a call without an answer is sent to a second endpoint as well.
func (d *Dispatcher) hedgeDelay(ctx context.Context, service string) time.Duration {
	d.mu.Lock()
	delay := unknownHedgeDelay
	if p := d.pools[servicePrefix+service]; p != nil && p.pace > 0 {
		delay = max(hedgeFactor*p.pace, minHedgeDelay)
	}
	d.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		delay = min(delay, time.Until(deadline)/2)
	}
	return delay
}

// callHedged sends an idempotent call. When the answer fails or is late, another endpoint is asked too, within the retry budget.
// The first whole answer counts.
func (d *Dispatcher) callHedged(ctx context.Context, w *work, c *ServiceCall) (*operations.Answer, operations.Execution, error) {
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(errOvertaken)
	results := make(chan try, d.opts.MaxAttempts)
	launched, pending := 0, 0
	launch := func() {
		launched++
		pending++
		go func() { results <- d.tryCall(running, w, c) }()
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
				known = operations.Unknown // the attempt that is left may have reached its endpoint
			}
			if done := d.failedTry(ctx, t, pending, last, known); done != nil {
				return nil, known, done
			}
			if t.placed {
				last = t.err
			}
		}
		if pending == 0 && launched < d.opts.MaxAttempts && d.spendRetry() {
			launch()
		}
	}
	return nil, ex, failed(CodeEndpointError, "no endpoint gave a complete answer: "+last.Error(), ex)
}

// failedTry returns the error of a call that is not tried again, or nil while an attempt may still answer.
func (d *Dispatcher) failedTry(ctx context.Context, t try, pending int, last error, ex operations.Execution) error {
	if t.placed {
		return d.conclusive(ctx, t.err, ex)
	}
	if pending > 0 {
		return nil // there was no place for a hedge
	}
	return d.notPlaced(t.err, last, ex)
}
