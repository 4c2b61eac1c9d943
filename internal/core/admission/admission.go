// Package admission decides whether a request may wait in a queue, and whether a failed request may be retried. The package does
// no I/O.
package admission

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

// drainHalfLife is the time after which an observation of the drain rate has half its weight. It spans several long requests;
// over a shorter time the rate depends mostly on when single requests happen to end.
const drainHalfLife = 15 * time.Second

// DrainRate measures how fast a queue drains, in tokens per second, during the times in which items wait.
type DrainRate struct {
	tokens, seconds float64
	last            clock.Instant
	busy            bool
}

// MarkBusy marks the start of a time in which items wait.
func (d *DrainRate) MarkBusy(now clock.Instant) {
	if !d.busy {
		d.busy, d.last = true, now
	}
}

// RecordDrained records that a request with the given tokens has left the queue.
func (d *DrainRate) RecordDrained(now clock.Instant, tokens float64) {
	if !d.busy {
		return
	}
	d.advance(now)
	d.tokens += tokens
}

// MarkIdle marks the end of a time in which items wait.
func (d *DrainRate) MarkIdle(now clock.Instant) {
	if d.busy {
		d.advance(now)
		d.busy = false
	}
}

func (d *DrainRate) advance(now clock.Instant) {
	elapsed := now.Sub(d.last)
	if elapsed <= 0 {
		return
	}
	d.last = now
	keep := math.Exp2(-elapsed.Seconds() / drainHalfLife.Seconds())
	d.tokens *= keep
	d.seconds = d.seconds*keep + elapsed.Seconds()
}

// minObserved is the weighted time of observation below which the rate counts as unknown: a rate from a single batch would be
// far off.
const minObserved = 500 * time.Millisecond

// EstimateWait estimates how long it takes until the given number of tokens has drained. It returns false while the rate is
// unknown.
func (d *DrainRate) EstimateWait(now clock.Instant, tokens float64) (time.Duration, bool) {
	seconds := d.seconds
	if d.busy {
		seconds += now.Sub(d.last).Seconds()
	}
	if seconds < minObserved.Seconds() {
		return 0, false
	}
	const longest = time.Hour
	if d.tokens <= 0 {
		// Nothing has drained yet. The best estimate is that it takes as long again.
		return saturate.Seconds(seconds), true
	}
	return saturate.Seconds(min(tokens*seconds/d.tokens, longest.Seconds())), true
}

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Decision says whether a request may wait.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // when a rejected request may be retried
}

// Decide rejects a request at once if its expected wait is longer than allowed. known is false while the wait cannot be
// estimated; the request is then admitted.
func Decide(wait time.Duration, known bool, allowed time.Duration) Decision {
	if !known || wait <= allowed {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: min(max(wait-allowed, minRetryAfter), maxRetryAfter)}
}

// RetryBudget allows retries of failed requests only as a small fraction of all requests, so that a fault does not multiply the
// load.
type RetryBudget struct {
	// Ratio is the number of retries that a first attempt adds to the budget.
	Ratio float64
	// Burst is the largest number of retries that the budget holds.
	Burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Burst: burst, tokens: burst}
}

// Resize changes Burst. If it grows, the additional retries are available at once.
func (b *RetryBudget) Resize(burst float64) {
	b.tokens = min(b.tokens+max(burst-b.Burst, 0), burst)
	b.Burst = burst
}

// Earn records a first attempt, which adds Ratio to the budget.
func (b *RetryBudget) Earn() { b.tokens = min(b.tokens+b.Ratio, b.Burst) }

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
