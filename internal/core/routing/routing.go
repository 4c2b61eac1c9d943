// Package routing selects the region and the endpoint for a request.
//
// An endpoint is selected by cost, measured in tokens: the tokens that the endpoint has to process before it can generate output
// for the request, with other disadvantages converted to tokens. The package starts no goroutines, does no I/O and reads no
// clock.
package routing

import (
	"math/rand/v2"
	"sort"
)

// Candidate is the state of an endpoint at the time of a choice, as far as this instance knows it.
type Candidate struct {
	Name string
	// Slots is the number of requests in progress up to which the endpoint has capacity.
	Slots int
	// InFlight is the number of requests of this instance at the endpoint, PeerInFlight that of other instances as last reported.
	InFlight, PeerInFlight int
	// Reported is the number of requests in the endpoint's last load report, from all instances.
	Reported int
	// QueuedTokens is the number of tokens waiting at the endpoint: as last reported, and of requests sent since.
	QueuedTokens float64
	// CachedTokens is the part of the prompt that the endpoint is believed to hold in its prefix cache (see PrefixCache).
	CachedTokens float64
	// Distance is the cost of reaching the endpoint, in tokens.
	Distance float64
	// Slowness is the endpoint's processing time relative to that of the others, at least 1.
	Slowness float64
	// Failures is the number of consecutive failures.
	Failures int
	// Ejected excludes the endpoint unless all are ejected or to be avoided.
	Ejected bool
	// Avoid excludes the endpoint in the same way, since an earlier attempt of this request failed there.
	Avoid bool
}

// Occupied returns the number of requests at the endpoint.
func (c Candidate) Occupied() int { return c.InFlight + c.PeerInFlight }

// Free reports whether the endpoint has capacity.
func (c Candidate) Free() bool { return c.Occupied() < c.Slots }

// Policy is the default Chooser. It selects by cost; its fields are the weights.
type Policy struct {
	// TokensPerRequest is the cost of sharing a batch with one more request.
	TokensPerRequest float64
	// TokensPerFailure is the cost of each recent failure, so that an endpoint that hangs gets fewer requests even before it
	// is ejected.
	TokensPerFailure float64
	// AffinityLoad is the load of an endpoint up to which its cached prefixes reduce the cost, relative to the mean load of the
	// candidates.
	AffinityLoad float64
	// CostTolerance is the fraction of the lowest cost by which the cost of another endpoint may be higher to count as equal.
	CostTolerance float64
	// CostToleranceTokens is added to this tolerance.
	CostToleranceTokens float64
}

// DefaultPolicy is used unless an instance is configured with another Chooser.
var DefaultPolicy = Policy{TokensPerRequest: 64, TokensPerFailure: 256, AffinityLoad: 1.5, CostTolerance: 0.1, CostToleranceTokens: 64}

// Choose returns the index of the endpoint for a prompt of the given size in tokens, or -1 if none is usable. With force, endpoints
// without capacity may be chosen too.
//
// Of the endpoints whose cost is within the tolerance of the lowest, it takes the one with less load of two random ones, so that
// instances with the same information don't all choose the same one.
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
	similar := sort.Search(len(usable), func(k int) bool { return costs[usable[k]] > cutoff })
	first, second := usable[rng.IntN(similar)], usable[rng.IntN(similar)]
	if cands[second].load() < cands[first].load() {
		return second
	}
	return first
}

// usable returns the candidates with capacity, with force all. Endpoints that are ejected or to be avoided are included only if
// there are no others at all, not if the others are merely full: an endpoint that fails requests at once always has capacity
// and would get all queued requests.
func usable(cands []Candidate, force bool) []int {
	anyAllowed := false
	for _, c := range cands {
		anyAllowed = anyAllowed || !c.Ejected && !c.Avoid
	}
	var out []int
	for i, c := range cands {
		if anyAllowed && (c.Ejected || c.Avoid) {
			continue
		}
		if force || c.Free() {
			out = append(out, i)
		}
	}
	return out
}

// load returns the requests at the endpoint as a fraction of its slots.
func (c Candidate) load() float64 {
	return float64(c.Occupied()) / float64(max(c.Slots, 1))
}

// affinityLimit returns the load above which an endpoint's cached prefixes no longer reduce its cost.
func (p Policy) affinityLimit(cands []Candidate, usable []int) float64 {
	sum := 0.0
	for _, i := range usable {
		sum += cands[i].load()
	}
	const base = 0.25 // lets an idle group send a few requests with the same prefix to one endpoint
	return sum/float64(len(usable))*p.AffinityLoad + base
}

// cost returns the cost in tokens. Above the load limit, cached tokens don't count.
func (p Policy) cost(c Candidate, promptTokens, limit float64) float64 {
	prefill := promptTokens
	if c.load() <= limit {
		prefill = max(promptTokens-c.CachedTokens, 0)
	}
	work := c.QueuedTokens + prefill + float64(c.Occupied())*p.TokensPerRequest
	return work*max(c.Slowness, 1) + c.Distance + float64(c.Failures)*p.TokensPerFailure
}
