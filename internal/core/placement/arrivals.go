package placement

import (
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// minSharingInstances is the number of instances of a region from which on placement makes up for the age of the load that
	// the others report. Fewer instances report often enough, and seldom choose in the same interval.
	minSharingInstances = 4
	// meanReportIntervals is the mean age of the load in a digest when it arrives, in intervals of messages: half an interval
	// until the next report, half until the next digest, and half for the work that began during a report's interval.
	meanReportIntervals = 1.5
	// maxArrivalAge bounds the age for which arrivals are expected. In more time, as many requests end as arrive.
	maxArrivalAge = 600 * time.Millisecond
	// tieWidth is the width, in prompt tokens, of the pseudo-random term that decides between engines which are expected to be
	// equally loaded. It is less than the smallest prefix that is worth a choice of its own.
	tieWidth = 800.0
)

// Exchange describes the last exchange of loads with the other instances of the region.
type Exchange struct {
	Number   uint64        // of the state that was received, the same for all instances
	Position int           // of this instance among those of the region that send requests, from 0 up
	Interval time.Duration // between messages
	// CallerShare is the fraction of the region's callers that are expected at this instance. 0: as many as at each other one.
	CallerShare float64
}

// SetExchange describes the exchange of which the next call of SetPeerLoad brings the load.
func (p *Pool) SetExchange(x Exchange) { p.exchange = x }

// callerShare returns the fraction of the region's callers that are expected at this instance.
func (p *Pool) callerShare() float64 {
	if p.exchange.CallerShare > 0 {
		return min(p.exchange.CallerShare, 1)
	}
	return 1 / float64(max(1, p.instances))
}

// peerRate returns the rate at which all other instances are expected to do what this one does at the given rate.
func (p *Pool) peerRate(own float64) float64 {
	share := p.callerShare()
	return own * (1 - share) / share
}

// sharesEngines reports whether placement makes up for the age of the peers' load.
func (p *Pool) sharesEngines() bool {
	return p.service.Engine != nil && p.instances >= minSharingInstances && p.peerLoadAt != 0
}

// expectedArrival is what other instances are expected to have placed at an engine since the load that they have reported.
type expectedArrival struct {
	tokens float64 // as cost in prompt tokens
	weight float64 // relative to the mean of the engines with arrivals; 0 for none
}

// expectedArrivals returns, for each endpoint in p.order, what other instances are expected to have placed there since their
// last report, or nil if that is not taken into account. All instances choose by the same reports, so that without it they
// would all send to the engine that was least loaded then. Each of the others is expected to place as much as this one for each of
// its callers, and all of them together to fill the least loaded engines up to a common level. The method is load interpretation (Dahlin,
// "Interpreting Stale Load Information", IEEE TPDS 11(10), 2000). The result is valid until the next call.
func (p *Pool) expectedArrivals(now clock.Instant, ejected []bool) []expectedArrival {
	if !p.sharesEngines() {
		return nil
	}
	age := min(now.Sub(p.peerLoadAt)+time.Duration(meanReportIntervals*float64(p.exchange.Interval)), maxArrivalAge)
	mass := p.peerRate(p.placedTokens.Value(now)) * age.Seconds()

	out := append(p.arrivalScratch[:0], make([]expectedArrival, len(p.order))...)
	bases := p.levelScratch[:0]
	for i, e := range p.order {
		if p.usable(now, i, ejected, nil) {
			bases = append(bases, e.baseCost())
		}
	}
	p.arrivalScratch, p.levelScratch = out, bases
	if mass <= 0 || len(bases) == 0 {
		return out
	}
	level := fillLevel(bases, mass)
	filled := 0
	for i, e := range p.order {
		if base := e.baseCost(); base < level && p.usable(now, i, ejected, nil) {
			out[i].tokens = level - base
			filled++
		}
	}
	for i := range out {
		out[i].weight = out[i].tokens / mass * float64(filled)
	}
	return out
}

// usable reports whether requests may be sent to the endpoint at a position of p.order, now or when there is capacity. excluded may be
// nil.
func (p *Pool) usable(now clock.Instant, i int, ejected []bool, excluded func(id string) bool) bool {
	e := p.order[i]
	return !e.Draining && !ejected[i] && (excluded == nil || !excluded(e.ID)) && p.accepts(now, e)
}

// baseCost is the cost of an engine without a further request, by its known load.
func (e *Endpoint) baseCost() float64 {
	load := e.load()
	return backlogCost(load.PendingPrefill) + requestCost*float64(load.Requests)
}

// fillLevel returns the level up to which the mass fills the lowest of the bases, which it sorts.
func fillLevel(bases []float64, mass float64) float64 {
	slices.Sort(bases)
	sum := mass
	for i, base := range bases {
		sum += base
		level := sum / float64(i+1)
		if i+1 == len(bases) || level <= bases[i+1] {
			return level
		}
	}
	return 0
}

// cost returns what the expected arrivals add to the cost of an engine for a request. Among engines that are expected to be
// equally loaded, the pseudo-random part chooses each with a probability in proportion to its expected arrivals.
func (a expectedArrival) cost(req *Request, e *Endpoint) float64 {
	if a.weight <= 0 {
		return 0
	}
	// The smallest of exponentially distributed values with different rates belongs to each with a probability in
	// proportion to its rate. x/(1+x) bounds it and keeps the order.
	x := -math.Log(1-spread(req.ID, e.ID)) / a.weight
	return a.tokens + tieWidth*x/(1+x)
}
