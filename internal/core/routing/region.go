package routing

import (
	"math/rand/v2"
	"time"
)

// RegionLoad is what the summary of a remote region says about a model or service.
type RegionLoad struct {
	Region string
	// Instance is the remote instance to which requests are forwarded.
	Instance string
	// Wait is the expected time until a request is started there.
	Wait time.Duration
	// Age is the age of the summary.
	Age time.Duration
	// OneWay is the one-way latency to the region.
	OneWay time.Duration
}

// Limits of forwarding requests to a remote region.
const (
	// forwardingFactor is the number of one-way latencies that forwarding must save. The request and the first token take one
	// each, and connection setup or packet loss may cost another round trip.
	forwardingFactor = 4
	// forwardingMargin is the wait that forwarding must save in addition, since small differences are mostly noise of the
	// estimates.
	forwardingMargin = 100 * time.Millisecond
	// maxSummaryAge is the age up to which a summary is used to relieve the local region of load.
	maxSummaryAge = 5 * time.Second
	// maxForwardProbability is the largest probability with which a request is forwarded while the local region can serve it.
	// The load of forwarded requests shows only in later summaries of the remote region.
	maxForwardProbability = 0.5
)

// ChooseRegion returns the index of the remote region to forward a request to, or -1 to serve it in the local region. The
// request must not be bound to a region. localWait is the expected wait in the local region; local is false if it cannot serve
// the request.
//
// The probability of forwarding grows with the wait that it saves, so that several instances with the same summaries don't
// overload the remote region together.
func ChooseRegion(localWait time.Duration, local bool, remotes []RegionLoad, rng *rand.Rand) int {
	best := -1
	for i, r := range remotes {
		if local && r.Age > maxSummaryAge {
			continue
		}
		if best < 0 || r.total() < remotes[best].total() {
			best = i
		}
	}
	if best < 0 || !local {
		return best
	}
	r := remotes[best]
	saved := localWait - r.Wait - forwardingFactor*r.OneWay - forwardingMargin
	if saved <= 0 {
		return -1
	}
	if rng.Float64() < min(float64(saved)/float64(localWait), maxForwardProbability) {
		return best
	}
	return -1
}

// total returns the wait with a round trip, plus half the age of the summary, so that newer summaries are preferred.
func (r RegionLoad) total() time.Duration { return r.Wait + 2*r.OneWay + r.Age/2 }
