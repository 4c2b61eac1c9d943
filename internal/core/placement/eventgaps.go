package placement

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// promptChunk is the number of prompt tokens that an engine is assumed to process in one step beside the streams. Engines state
	// no size; larger chunks of 4,096 tokens were measured.
	promptChunk = 2048.0
	// stepTime is the time of a step without prompt tokens at the usual pace, as measured.
	stepTime = 8 * time.Millisecond
	// chunkRate is the rate in tokens per second at which an engine processes a chunk in a step at the usual pace. The measured
	// rate of the pool would not do: it contains waits, and would keep long prompts from all engines in an overload.
	chunkRate = initialPrefillRate
	// slowFactor is the pace factor from which on an engine counts as being in a slow spell.
	slowFactor = 1.5
	// maxGapWait is how long a request waits for an engine where it disturbs no streams, before it takes another: after half of
	// the usual length, most of the spells that it has met have ended.
	maxGapWait = slowSpell / 2
)

// SlowEngines returns the number of engines in a slow spell.
func (p *Pool) SlowEngines(now clock.Instant) int {
	slow := 0
	for _, e := range p.order {
		if e.pace.Value(now) >= slowFactor {
			slow++
		}
	}
	return slow
}

// gapLimits tracks the longest gap between events that the streams of a service may have.
type gapLimits struct {
	tightest time.Duration // of this instance's requests lately
	at       clock.Instant // when a request with this limit was last placed
}

func (g *gapLimits) add(now clock.Instant, limit time.Duration) {
	if limit > 0 && (g.tightest == 0 || limit <= g.tightest || now.Sub(g.at) > paceReportMaxAge) {
		g.tightest, g.at = limit, now
	}
}

// ownGaps tracks the gap limits of this instance's requests at an engine.
type ownGaps struct {
	requests int           // with a limit
	tightest time.Duration // 0: none
}

func (e *Endpoint) addGapLimit(limit time.Duration) {
	if limit <= 0 {
		return
	}
	e.gaps.requests++
	if e.gaps.tightest == 0 || limit < e.gaps.tightest {
		e.gaps.tightest = limit
	}
}

// removeGapLimit removes the limit of a request that is no longer in ownRequests.
func (e *Endpoint) removeGapLimit(limit time.Duration) {
	if limit <= 0 {
		return
	}
	e.gaps.requests--
	if limit > e.gaps.tightest {
		return
	}
	e.gaps.tightest = 0
	for _, placed := range e.ownRequests {
		if other := placed.gapLimit; other > 0 && (e.gaps.tightest == 0 || other < e.gaps.tightest) {
			e.gaps.tightest = other
		}
	}
}

// protectsStreams reports whether prompts are kept from engines where they would delay streams: engines report their pace, and the
// service has streams with a gap limit.
func (p *Pool) protectsStreams(now clock.Instant) bool {
	return p.service.Engine != nil && p.kinds.gapsAtRisk(now)
}

// gapLimit returns the tightest gap limit of the streams at an engine, 0 if there are none. Those of other instances count with the
// tightest limit of the service.
func (p *Pool) gapLimit(e *Endpoint) time.Duration {
	limit := e.gaps.tightest
	if e.peerLoad.GapLimited > 0 && (limit == 0 || p.gaps.tightest < limit) {
		limit = p.gaps.tightest
	}
	return limit
}

// disturbsStreams reports whether a prompt with the given unread tokens would make streams at an engine miss their gap limit because
// the engine is in a slow spell.
func (p *Pool) disturbsStreams(now clock.Instant, e *Endpoint, unread float64) bool {
	return unread > promptChunk && p.gapLimit(e) > 0 && e.pace.Value(now) >= slowFactor
}

// withinGapLimit reports whether the unread tokens at an engine, with those of a further request, stay within what its streams allow.
// A prompt that is too long by itself is admitted to an engine without other unread tokens.
func (p *Pool) withinGapLimit(now clock.Instant, e *Endpoint, pending, unread float64) bool {
	limit := p.gapLimit(e)
	if limit == 0 || pending < 1 || unread < 1 {
		return true
	}
	return pending+unread <= tokensWithinGap(limit, p.service.Engine.EventTokens, e.pace.Value(now))
}

// tokensWithinGap returns the prompt tokens that an engine can process between two events of a stream without exceeding the gap
// limit. An event takes as many steps as it has tokens.
func tokensWithinGap(limit time.Duration, eventTokens, pace float64) float64 {
	steps := max(1, eventTokens)
	chunkStep := pace * (stepTime.Seconds() + promptChunk/chunkRate)
	if chunkStep*steps <= limit.Seconds() {
		return math.Inf(1) // a chunk in each step is within the limit, however many follow
	}
	return max(0, limit.Seconds()/pace-steps*stepTime.Seconds()) * chunkRate
}

// admitsPrompt reports whether a prompt may be sent to an engine as far as the streams there are concerned. spare says that another
// engine may take it.
func (p *Pool) admitsPrompt(now clock.Instant, e *Endpoint, pending, unread float64, spare bool) bool {
	return p.withinGapLimit(now, e, pending, unread) && !(spare && p.disturbsStreams(now, e, unread))
}

// undisturbedEngine reports whether an engine may take a prompt of any length without disturbing streams, now or when requests there
// have ended. It stays false for a request that has waited long enough for one.
func (p *Pool) undisturbedEngine(now clock.Instant, c *Constraint, ejected []bool) bool {
	if c.Waited >= maxGapWait {
		return false
	}
	for i, e := range p.order {
		if p.usable(now, i, ejected, c.Excluded) && !p.disturbsStreams(now, e, math.Inf(1)) {
			return true
		}
	}
	return false
}
