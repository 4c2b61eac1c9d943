package dispatch

import (
	"context"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Detection of endpoints that hang. A paused process keeps its connections, so that nothing but its silence shows it.
const (
	// silentReports is the number of load reports in a row that must fail. With the time limit of a report that takes
	// three seconds or more, longer than a short pause of a healthy process.
	silentReports = 3
	// silentFor is how long an attempt must have had no event for it to be given up on a silent endpoint.
	silentFor = 2 * time.Second
)

// attemptWatch is a running attempt at an engine. It is guarded by Dispatcher.mu.
type attemptWatch struct {
	cancel context.CancelCauseFunc
	last   clock.Instant // of the last event, or the begin
}

// watch lets an attempt be given up when its endpoint falls silent. end must be called at its end.
func (d *Dispatcher) watch(e *endpoint, cancel context.CancelCauseFunc) (w *attemptWatch, end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w = &attemptWatch{cancel: cancel, last: d.opts.Clock.Now()}
	e.load.attempts[w] = struct{}{}
	return w, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(e.load.attempts, w)
	}
}

// progressed records an event of an attempt.
func (d *Dispatcher) progressed(w *attemptWatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.last = d.opts.Clock.Now()
}

// unreported counts a load report that did not come, and gives up the attempts at an endpoint that has fallen silent.
func (d *Dispatcher) unreported(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.metrics.silent.Inc(1)
	e.load.silent++
	if e.load.silent < silentReports {
		return
	}
	e.load.health.MarkUnresponsive(now)
	for w := range e.load.attempts {
		if now.Sub(w.last) > silentFor {
			w.cancel(errStalled)
		}
	}
}
