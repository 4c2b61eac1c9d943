// Package routing chooses the endpoint of a request and the region that serves it. It is pure.
//
// Costs are in tokens: the work that an endpoint does before it can begin with the request.
package routing

import (
	"math/rand/v2"
	"sort"
)

// Candidate is what is known of an endpoint at the time of a choice.
type Candidate struct {
	Name string
	// Slots is the batch depth up to which work is sent at once.
	Slots int
	// InFlight is this instance's own work at the endpoint, Foreign the other instances' as last reported.
	InFlight, PeerInFlight int
	// Reported is the number of requests in the endpoint's last load report, whoever sent them.
	Reported int
	// QueuedTokens is the work waiting at the endpoint: reported, and own dispatches since the report.
	QueuedTokens float64
	// CachedTokens is the part of the prompt that the endpoint is believed to hold, scaled by the trust in that.
	CachedTokens float64
	// Distance is the cost of reaching the endpoint, in tokens.
	Distance float64
	// Slowness is the endpoint's time for its work relative to the others', at least 1.
	Slowness float64
	// Failures is the number of failures in a row.
	Failures int
	// Ejected keeps the endpoint out while others are left.
	Ejected bool
	// Avoid marks an endpoint that has failed this very request.
	Avoid bool
}

// Occupied is the number of requests at the endpoint.
func (c Candidate) Occupied() int { return c.InFlight + c.PeerInFlight }

// Free reports whether the batch has room.
func (c Candidate) Free() bool { return c.Occupied() < c.Slots }

// Policy holds the weights of a choice.
type Policy struct {
	// TokensPerRequest is the cost of sharing a batch with one more request.
	TokensPerRequest float64
	// TokensPerFailure is the cost of each recent failure, so that an endpoint that hangs gets less work even before it is
	// ejected.
	TokensPerFailure float64
	// AffinityLoad bounds the load up to which cached prefixes attract work, relative to the mean load of the candidates.
	AffinityLoad float64
	// CostTolerance is the part of the lowest cost by which another endpoint counts as equally cheap.
	CostTolerance float64
	// CostToleranceTokens is added to that.
	CostToleranceTokens float64
}

// DefaultPolicy is used unless an instance sets its own.
var DefaultPolicy = Policy{TokensPerRequest: 64, TokensPerFailure: 256, AffinityLoad: 1.5, CostTolerance: 0.1, CostToleranceTokens: 64}

// Choose returns the index of the endpoint for a prompt of the given size, or -1 if none may take it. With force, endpoints
// without room are candidates too.
//
// Among the endpoints that cost about as much as the cheapest, the less occupied of two random ones is taken, so that
// instances with the same information don't all pick the same one.
func (p Policy) Choose(cands []Candidate, promptTokens float64, force bool, rng *rand.Rand) int {
	usable := usable(cands, force)
	if len(usable) == 0 {
		return -1
	}
	limit := p.affinityLimit(cands, usable)
	costs := make(map[int]float64, len(usable))
	for _, i := range usable {
		costs[i] = p.cost(cands[i], promptTokens, limit)
	}
	sort.SliceStable(usable, func(a, b int) bool { return costs[usable[a]] < costs[usable[b]] })
	cutoff := costs[usable[0]]*(1+p.CostTolerance) + p.CostToleranceTokens
	near := sort.Search(len(usable), func(k int) bool { return costs[usable[k]] > cutoff })
	first, second := usable[rng.IntN(near)], usable[rng.IntN(near)]
	if cands[second].load() < cands[first].load() {
		return second
	}
	return first
}

// usable lists the candidates with room. Those that failed the request or are ejected come in only if there are no others,
// not if the others are merely full: an endpoint that fails at once always has room, and would drain the queue.
func usable(cands []Candidate, force bool) []int {
	sound := false
	for _, c := range cands {
		sound = sound || !c.Ejected && !c.Avoid
	}
	var out []int
	for i, c := range cands {
		if sound && (c.Ejected || c.Avoid) {
			continue
		}
		if force || c.Free() {
			out = append(out, i)
		}
	}
	return out
}

func (c Candidate) load() float64 {
	return float64(c.Occupied()) / float64(max(c.Slots, 1))
}

// affinityLimit is the load above which an endpoint's cached prefix no longer attracts work.
func (p Policy) affinityLimit(cands []Candidate, usable []int) float64 {
	sum := 0.0
	for _, i := range usable {
		sum += cands[i].load()
	}
	const one = 0.25 // lets an idle group send a few requests with one prefix to the same endpoint
	return sum/float64(len(usable))*p.AffinityLoad + one
}

func (p Policy) cost(c Candidate, promptTokens, limit float64) float64 {
	prefill := promptTokens
	if c.load() <= limit {
		prefill = max(promptTokens-c.CachedTokens, 0)
	}
	work := c.QueuedTokens + prefill + float64(c.Occupied())*p.TokensPerRequest
	return work*max(c.Slowness, 1) + c.Distance + float64(c.Failures)*p.TokensPerFailure
}
