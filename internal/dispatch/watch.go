package dispatch

import (
	"context"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Detection of endpoints that hang. A paused process keeps its connections open, so it is detected only by its missing load reports and
// events.
const (
	// unresponsiveAfterReports is the number of consecutive failed polls after which an endpoint counts as unresponsive. With the
	// timeout of a poll that takes three seconds or more, which is longer than a short pause of a healthy process.
	unresponsiveAfterReports = 3
	// unresponsiveAfter is the time without an event after which an attempt at an unresponsive endpoint is cancelled.
	unresponsiveAfter = 2 * time.Second
)

// watchedAttempt is a running attempt at an engine. It is guarded by Dispatcher.mu.
type watchedAttempt struct {
	cancel      context.CancelCauseFunc
	lastEventAt clock.Instant // start of the attempt before the first event
}

// watchAttempt registers an attempt to be cancelled when its endpoint becomes unresponsive. The caller calls end when the attempt is over.
func (d *Dispatcher) watchAttempt(e *endpoint, cancel context.CancelCauseFunc) (w *watchedAttempt, end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w = &watchedAttempt{cancel: cancel, lastEventAt: d.opts.Clock.Now()}
	e.state.attempts[w] = struct{}{}
	return w, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(e.state.attempts, w)
	}
}

// recordEvent records the time of an event of an attempt.
func (d *Dispatcher) recordEvent(w *watchedAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.lastEventAt = d.opts.Clock.Now()
}

// reportMissed records a failed poll for a load report. If the endpoint has become unresponsive, it cancels the attempts there that have
// had no event for unresponsiveAfter.
func (d *Dispatcher) reportMissed(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.metrics.missedReports.Inc(1)
	e.state.missedReports++
	if e.state.missedReports < unresponsiveAfterReports {
		return
	}
	e.state.health.MarkUnresponsive(now)
	for w := range e.state.attempts {
		if now.Sub(w.lastEventAt) > unresponsiveAfter {
			w.cancel(errStalled)
		}
	}
}
