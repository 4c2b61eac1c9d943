package placement

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

const (
	// tokenTimeWindow is the time constant of the average time per output token. It covers several events of each of an engine's
	// streams.
	tokenTimeWindow = 600 * time.Millisecond
	// tokenTimeMaxAge is the age up to which a measured time per token is used. An engine without events for this long has few
	// streams.
	tokenTimeMaxAge = 1500 * time.Millisecond
	// minBatchForLimit is the number of requests in progress below which a long time per token is not caused by the size of the
	// batch, so that sending fewer requests would not shorten it.
	minBatchForLimit = 12
	// rateWindow is the time constant of a Rate.
	rateWindow = 1500 * time.Millisecond
)

// tokenTime is a moving average of the time that an engine takes per output token of each of its requests.
type tokenTime struct {
	mean time.Duration
	at   clock.Instant
}

// add records that a stream took the given time to produce events with the given number of output tokens.
func (p *tokenTime) add(now clock.Instant, took time.Duration, tokens float64) {
	sample := float64(took) / tokens
	if p.at == 0 || now.Sub(p.at) > tokenTimeMaxAge {
		p.mean, p.at = time.Duration(sample), now
		return
	}
	// Many streams report at almost the same time, so the weight of a sample depends on the time since the last one.
	elapsed := max(now.Sub(p.at), time.Millisecond)
	keep := math.Exp(-float64(elapsed) / float64(tokenTimeWindow))
	p.mean = time.Duration(float64(p.mean)*keep + sample*(1-keep))
	p.at = now
}

func (p *tokenTime) value(now clock.Instant) time.Duration {
	if p.at == 0 || now.Sub(p.at) > tokenTimeMaxAge {
		return 0
	}
	return p.mean
}

// RecordOutput records that a stream of the endpoint took the given time to produce a number of events. Each event holds as many
// output tokens as the service declares.
func (p *Pool) RecordOutput(now clock.Instant, e *Endpoint, took time.Duration, events int) {
	engine := p.service.Engine
	if engine == nil || events <= 0 || took <= 0 {
		return
	}
	e.lastOutput = now
	e.tokenTime.add(now, took, float64(events)*max(1, engine.EventTokens))
}

// Rate is an exponentially decaying rate of occurrences, or of another amount, per second.
type Rate struct {
	perSecond float64
	at        clock.Instant
}

// Add counts one occurrence.
func (r *Rate) Add(now clock.Instant) { r.AddAmount(now, 1) }

// AddAmount adds an amount.
func (r *Rate) AddAmount(now clock.Instant, amount float64) {
	r.perSecond = r.Value(now) + amount/rateWindow.Seconds()
	r.at = now
}

// Value returns the occurrences or the amount per second.
func (r *Rate) Value(now clock.Instant) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// prefillRate measures how fast engines process prompts (prefill), based on the first events of requests: the sum of the tokens
// that had to be processed before them, divided by the sum of the times. The mean of the rates of single requests would be too
// optimistic, since quick requests weigh most in it.
type prefillRate struct {
	tokens, seconds float64 // decaying sums
}

func newPrefillRate() prefillRate {
	return prefillRate{tokens: initialPrefillRate * initialPrefillTime.Seconds(), seconds: initialPrefillTime.Seconds()}
}

func (r *prefillRate) add(tokens float64, took time.Duration) {
	keep := math.Exp2(-1 / rateHalfLife)
	r.tokens = r.tokens*keep + tokens
	r.seconds = r.seconds*keep + max(took.Seconds(), tokens/maxPrefillRate)
}

func (r *prefillRate) timeFor(tokens float64) time.Duration {
	return saturate.Seconds(tokens * r.seconds / r.tokens)
}

// tokensIn returns the number of prompt tokens that are processed in the given time.
func (r *prefillRate) tokensIn(d time.Duration) float64 { return d.Seconds() * r.tokens / r.seconds }
