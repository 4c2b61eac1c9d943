package placement

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// paceWindow is the time over which an engine's pace is averaged: some events of each of its streams.
	paceWindow = 600 * time.Millisecond
	// paceValid is the age up to which a pace is used. An engine without events for this long has few streams.
	paceValid = 1500 * time.Millisecond
	// minCrowd is the number of running requests below which a slow pace has other causes than the size of the batch, which
	// sending less there would not mend.
	minCrowd = 12
	// rateWindow is the time over which a Rate is averaged.
	rateWindow = 1500 * time.Millisecond
)

// pace is the time that an engine takes for an output token of each of its requests.
type pace struct {
	mean time.Duration
	at   clock.Instant
}

// add records that a stream's events with so many tokens took so long.
func (p *pace) add(now clock.Instant, took time.Duration, tokens float64) {
	sample := float64(took) / tokens
	if p.at == 0 || now.Sub(p.at) > paceValid {
		p.mean, p.at = time.Duration(sample), now
		return
	}
	// Many streams report at almost the same time, so the weight of a sample follows the time since the last one.
	elapsed := max(now.Sub(p.at), time.Millisecond)
	keep := math.Exp(-float64(elapsed) / float64(paceWindow))
	p.mean = time.Duration(float64(p.mean)*keep + sample*(1-keep))
	p.at = now
}

func (p *pace) value(now clock.Instant) time.Duration {
	if p.at == 0 || now.Sub(p.at) > paceValid {
		return 0
	}
	return p.mean
}

// RecordOutput records that a stream's events, which hold so many output tokens, took so long.
func (p *Pool) RecordOutput(now clock.Instant, e *Endpoint, took time.Duration, events int) {
	engine := p.service.Engine
	if engine == nil || events <= 0 || took <= 0 {
		return
	}
	e.progress = now
	e.pace.add(now, took, float64(events)*max(1, engine.EventTokens))
}

// Rate is a moving number of occurrences a second.
type Rate struct {
	perSecond float64
	at        clock.Instant
}

// Add counts an occurrence.
func (r *Rate) Add(now clock.Instant) {
	r.perSecond = r.Value(now) + 1/rateWindow.Seconds()
	r.at = now
}

// Value is the number a second.
func (r *Rate) Value(now clock.Instant) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// readRate is how fast engines read prompts, from the first events of requests: the tokens ahead of them in all, over the time in
// all. The mean of the rates of single requests would promise too much, since the quick ones weigh most in it.
type readRate struct {
	tokens, seconds float64 // moving sums
}

func newReadRate() readRate {
	return readRate{tokens: initialReadRate * initialReadTime.Seconds(), seconds: initialReadTime.Seconds()}
}

func (r *readRate) add(tokens float64, took time.Duration) {
	keep := math.Exp2(-1 / rateHalfLife)
	r.tokens = r.tokens*keep + tokens
	r.seconds = r.seconds*keep + max(took.Seconds(), tokens/fastestRead)
}

func (r *readRate) time(tokens float64) time.Duration {
	return time.Duration(tokens * r.seconds / r.tokens * float64(time.Second))
}

// tokensIn is how many prompt tokens are read in a time.
func (r *readRate) tokensIn(d time.Duration) float64 { return d.Seconds() * r.tokens / r.seconds }
