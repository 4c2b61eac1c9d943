package placement

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// PaceMaxAge is the age up to which a pace factor counts in full. Slow spells last about 600 ms, and an instance learns of one
	// up to 170 ms late.
	PaceMaxAge = 800 * time.Millisecond
	// paceDecay is the time constant with which an older factor decays to 1.
	paceDecay = 200 * time.Millisecond
	// slowSpell is the usual length of a slow spell.
	slowSpell = 600 * time.Millisecond
	// slightPace is the factor up to which an engine counts as working at the usual pace in measurements.
	slightPace = 1.1
	// rateRatioHalfLife is the number of measurements of an engine after which an old measurement has half its weight.
	rateRatioHalfLife = 32.0
	// rateRatioPrior is the time of prefill whose weight the assumption has that an engine is as fast as the pool.
	rateRatioPrior = 2 * time.Second
	// typicalPrefillHalfLife is the number of requests after which an old one has half its weight in the typical number of tokens.
	typicalPrefillHalfLife = 64.0
	// maxRateRatio bounds the prefill time of an engine relative to the pool's. Engines of a deployment differ by a factor of 1.3.
	maxRateRatio = 1.5
)

// Pace is the pace factor of an engine: how long work takes there relative to the usual time.
type Pace struct {
	Factor float64
	At     clock.Instant // when the engine stated it, 0: never
}

// Value returns the factor at a time, 1 if none is known. Factors below 1 count as 1, so that an engine that is fast for a moment
// does not attract the requests of all instances.
func (f Pace) Value(now clock.Instant) float64 {
	if f.At == 0 || f.Factor <= 1 {
		return 1
	}
	over := now.Sub(f.At) - PaceMaxAge
	if over <= 0 {
		return f.Factor
	}
	return 1 + (f.Factor-1)*math.Exp(-over.Seconds()/paceDecay.Seconds())
}

// enginePace is the newest pace factor of an engine and the slow spell that it belongs to.
type enginePace struct {
	Pace
	slowSince clock.Instant // estimated beginning of the spell, if the factor is above slightPace
}

// set replaces the factor by a newer one.
func (f *enginePace) set(pace Pace) {
	if f.Value(pace.At) <= slightPace {
		// The spell has begun at some time since the last statement.
		unknown := slowSpell
		if f.At > 0 {
			unknown = min(unknown, pace.At.Sub(f.At))
		}
		f.slowSince = pace.At.Add(-unknown / 2)
	}
	f.Pace = pace
}

// spell is a factor and for how long it is expected to hold.
type spell struct {
	factor float64
	left   time.Duration
}

// spell returns the current spell. One that lasts longer than usual is expected to last for as long again as it has exceeded
// that.
func (f *enginePace) spell(now clock.Instant) spell {
	factor := f.Value(now)
	if factor == 1 {
		return spell{factor: 1}
	}
	return spell{factor: factor, left: (slowSpell - now.Sub(f.slowSince)).Abs()}
}

// stretch returns how long work takes that would take the given time at the usual pace.
func (s spell) stretch(usual time.Duration) time.Duration {
	return usual + time.Duration(min((s.factor-1)*float64(usual), (1-1/s.factor)*float64(s.left)))
}

// unstretch is the inverse of stretch.
func (s spell) unstretch(took time.Duration) time.Duration {
	return max(time.Duration(float64(took)/s.factor), took-time.Duration((1-1/s.factor)*float64(s.left)))
}

// rateRatio compares the prefill time of an engine with that of the pool.
type rateRatio struct {
	expected, measured float64 // decaying sums in seconds
	excess             float64 // by which the prefill time of the engine exceeds the pool's, relative to that
}

// add records a measurement. Beyond the bounds of the ratio, it shows requests that this instance did not know of rather than the
// rate of the engine.
func (r *rateRatio) add(expected, measured time.Duration) {
	keep := math.Exp2(-1 / rateRatioHalfLife)
	r.expected = r.expected*keep + expected.Seconds()
	r.measured = r.measured*keep + min(max(measured.Seconds(), expected.Seconds()/maxRateRatio), expected.Seconds()*maxRateRatio)
	prior := rateRatioPrior.Seconds()
	r.excess = min(max((prior+r.measured)/(prior+r.expected), 1/maxRateRatio), maxRateRatio) - 1
}

// typicalPrefill is the geometric mean of the prompt tokens that engines had to process for this instance's requests. Most requests
// that wait at engines are short: on the recorded trace their mean is 1,005 tokens, and the arithmetic mean of all requests 2,410.
type typicalPrefill struct {
	meanLog float64 // of the tokens + 1
	known   bool
}

func (t *typicalPrefill) add(tokens float64) {
	x := math.Log1p(max(0, tokens))
	if !t.known {
		t.meanLog, t.known = x, true
	}
	t.meanLog += (x - t.meanLog) * (1 - math.Exp2(-1/typicalPrefillHalfLife))
}

func (t *typicalPrefill) tokens() float64 { return math.Expm1(t.meanLog) }

// statedLoad is the load that an engine has stated in an answer.
type statedLoad struct {
	running, waiting int
	ownRequests      int // requests of this instance there at that time
	at               clock.Instant
}

// RecordLoad records the load and the pace factor that an engine has stated in an answer to this instance.
func (p *Pool) RecordLoad(now clock.Instant, e *Endpoint, running, waiting int, pace float64) {
	p.RecordPaceReport(now)
	e.pace.set(Pace{Factor: pace, At: now})
	e.stated = statedLoad{running: running, waiting: waiting, ownRequests: len(e.ownRequests), at: now}
}

// MergePace records a pace factor that another instance has received. The newest factor counts.
func (p *Pool) MergePace(endpoint string, pace Pace) {
	if e := p.endpoints[endpoint]; e != nil && pace.At > e.pace.At {
		e.pace.set(pace)
	}
}

// Paces calls f for each engine with a pace factor that counts in full.
func (p *Pool) Paces(now clock.Instant, f func(endpoint string, pace Pace)) {
	for _, e := range p.order {
		if e.pace.At > 0 && now.Sub(e.pace.At) <= PaceMaxAge {
			f(e.ID, e.pace.Pace)
		}
	}
}

// PaceFactor returns the pace factor of an endpoint, 1 if it is not known.
func (e *Endpoint) PaceFactor(now clock.Instant) float64 { return e.pace.Value(now) }

// rateExcess returns by how much the prefill time of an engine exceeds the pool's, relative to that. In small regions, and where
// engines do not report their pace, all engines count as equally fast: bursts that no report shows look like a slow engine there, and
// requests would leave the engines that hold their prompts.
func (p *Pool) rateExcess(e *Endpoint) float64 {
	if !p.sharesEngines() || p.kinds.paceReported == 0 {
		return 0
	}
	return e.rateRatio.excess
}

// enginePrefillTime returns how long an engine takes to process prompt tokens, by its own rate and its pace.
func (p *Pool) enginePrefillTime(now clock.Instant, e *Endpoint, tokens float64) time.Duration {
	return e.pace.spell(now).stretch(p.PrefillTime(tokens * (1 + p.rateExcess(e))))
}

// engineTokensIn returns the number of prompt tokens that an engine processes in the given time, of which the pool processes
// poolTokens.
func (p *Pool) engineTokensIn(now clock.Instant, e *Endpoint, d time.Duration, poolTokens float64) float64 {
	if p.service.Engine == nil || d <= 0 {
		return poolTokens
	}
	if s := e.pace.spell(now); s.factor > 1 {
		poolTokens *= float64(s.unstretch(d)) / float64(d)
	}
	return poolTokens / (1 + p.rateExcess(e))
}

// paceCost is the cost of the time, in prompt tokens at the pool's rate, that an engine takes longer than the pool to process
// prompt tokens. It is negative at an engine that is faster than the pool.
func (p *Pool) paceCost(now clock.Instant, e *Endpoint, tokens float64) float64 {
	if e.pace.Value(now) == 1 {
		return tokens * p.rateExcess(e)
	}
	return p.prefillRate.tokensIn(p.enginePrefillTime(now, e, tokens)) - tokens
}

// unknownBacklog returns the prompt tokens of requests that an engine has stated to be waiting there and that the known load does
// not account for. They belong to other instances that have not reported them yet.
func (p *Pool) unknownBacklog(now clock.Instant, e *Endpoint, known int) float64 {
	s := &e.stated
	if s.at == 0 || s.waiting == 0 {
		return 0
	}
	age := now.Sub(s.at)
	if age >= PaceMaxAge {
		return 0
	}
	// This instance's requests that were placed or have ended since do not change what explains the statement.
	explained := known - len(e.ownRequests) + s.ownRequests
	unknown := min(s.waiting, s.running+s.waiting-explained)
	if unknown <= 0 {
		return 0
	}
	return float64(unknown) * p.typicalPrefill.tokens() * (1 - age.Seconds()/PaceMaxAge.Seconds())
}

// loadAt returns the load of all instances at an endpoint, with the backlog that the engine itself has stated.
func (p *Pool) loadAt(now clock.Instant, e *Endpoint) Load {
	load := e.load()
	load.PendingPrefill += p.unknownBacklog(now, e, load.Requests)
	return load
}

// recordPrefill records the time in which an engine has processed a request's backlog. While requests wait there, the time includes
// that for a slot and says little about the rate; in a slow spell, it says as little about the rate at the usual pace.
func (p *Pool) recordPrefill(now clock.Instant, e *Endpoint, placed *placedRequest) {
	waiting := e.stated.waiting > 0 && now.Sub(e.stated.at) < PaceMaxAge
	if placed.backlog < minMeasuredTokens || waiting || max(placed.paceFactor, e.pace.Value(now)) > slightPace {
		return
	}
	took := now.Sub(placed.sentAt) - placed.fixedTime
	e.rateRatio.add(p.prefillRate.timeFor(placed.backlog), took)
	p.prefillRate.add(placed.backlog, took)
}
