package edge

import (
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fairshare"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/returns"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

// returnMetrics count promises to rejected callers, and what became of them.
type returnMetrics struct {
	promised, beyond, asTold, early, rejectedAgain tally.Counter
}

func newReturnMetrics(scope tally.Scope) returnMetrics {
	return returnMetrics{
		promised: scope.Counter("retry_times_promised"), beyond: scope.Counter("retry_times_beyond_the_caller"), asTold: scope.Counter("returns_as_told"),
		early: scope.Counter("returns_too_early"), rejectedAgain: scope.Counter("returns_as_told_rejected"),
	}
}

// promisedMillis returns the time until a promise in milliseconds, 0 for none. A promise that is due counts as one in a millisecond.
func promisedMillis(now clock.Instant, e returns.Entry) uint32 {
	if e.PromisedAt == 0 {
		return 0
	}
	return max(1, saturate.Millis(e.PromisedAt.Sub(now)))
}

// recogniseReturn sets when the caller has first sent the request, and returns what is known of it.
func (x *exchange) recogniseReturn(parts []placement.PromptPart) returns.Arrival {
	e := x.edge
	a := e.rejections.arrive(parts, x.arrived)
	x.firstArrived, x.outcome.retry, x.outcome.asTold, x.promisedAt = a.First, a.Returned, a.AsTold, a.PromisedAt
	switch {
	case a.AsTold:
		e.metrics.returns.asTold.Inc(1)
	case a.PromisedAt > 0:
		e.metrics.returns.early.Inc(1)
	}
	return a
}

// promiseRetry returns when the caller of a rejected request should come back. earliest is the time by the expected waits. If there is
// capacity for the caller then, it is promised.
func (x *exchange) promiseRetry(f *failure, earliest time.Duration) time.Duration {
	e, now := x.edge, x.edge.clock.Now()
	if x.outcome.asTold {
		e.metrics.returns.rejectedAgain.Inc(1)
	}
	if f.kind == notPlaced && !f.stopping {
		e.pools.recordRejected(&x.attempt)
	}
	retryAfter, promised := earliest, false
	switch {
	case f.kind != notPlaced || f.stopping || len(x.attempt.work.Parts) == 0:
	case x.promisedAt > 0: // it came too early
		retryAfter, promised = max(x.promisedAt.Sub(now), minRetryAfter), true
	default:
		retryAfter, promised = e.pools.promise(&x.attempt, earliest, x.deadline.Sub(now))
	}
	if promised {
		x.outcome.promisedIn = retryAfter
		e.metrics.returns.promised.Inc(1)
	} else if retryAfter > earliest {
		e.metrics.returns.beyond.Inc(1)
	}
	e.rejections.add(x.attempt.work.Parts, x.firstArrived, retryAfter, promised)
	return retryAfter
}

// forgetReturn forgets the promise of a request that is served although it came too early.
func (x *exchange) forgetReturn() {
	if x.promisedAt > 0 {
		x.edge.rejections.forget(x.attempt.work.Parts)
	}
}

// promise returns after what time the caller of a rejected request should come back, and whether it is promised capacity then. left is
// the caller's remaining time. Callers of an organisation above its share are promised nothing, since their requests go last.
func (p *pools) promise(a *attempt, earliest, left time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	pool := p.byService[a.service]
	if pool == nil || pool.service.Engine == nil || a.shareLevel > fairshare.Within || pool.loadFor(now, a).Usable == 0 {
		return earliest, false
	}
	schedule := pool.promises[a.urgency]
	if schedule == nil {
		schedule = &returns.Schedule{}
		pool.promises[a.urgency] = schedule
	}
	latest := a.onTimeBy.Add(-pool.Summarise(now, &a.work, func(id string) bool { return a.excluded[id] }).Wait)
	at, promised := schedule.Next(now, now.Add(earliest), latest, pool.placedRate(now, a.urgency), left)
	return at.Sub(now), promised
}
