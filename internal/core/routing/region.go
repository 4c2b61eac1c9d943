package routing

import (
	"math/rand/v2"
	"time"
)

// RegionLoad is another region's summary for a model or service.
type RegionLoad struct {
	Region string
	// Instance is the instance there that takes forwarded requests.
	Instance string
	// Wait is the expected time until work is begun there.
	Wait time.Duration
	// Age is how old the summary is.
	Age time.Duration
	// OneWay is the latency to the region.
	OneWay time.Duration
}

// Region choice.
const (
	// crossingFactor is the number of one-way latencies that a crossing must save: the request and the first token
	// cross, and session setup or loss may cost another round trip.
	crossingFactor = 4
	// crossingMargin keeps small differences, which are mostly noise of the estimates, from moving work.
	crossingMargin = 100 * time.Millisecond
	// maxSummaryAge is the age up to which a summary is used for relief of a loaded region.
	maxSummaryAge = 5 * time.Second
	// maxCrossing is the largest part of the requests that a region sends away on the same information: the receiving
	// side sees them only after a delay.
	maxCrossing = 0.5
)

// ChooseRegion returns the index of the region to send an unbound request to, or -1 to serve it here. localWait is the
// expected wait here; local is false if nothing here can serve the request.
//
// A request crosses with a probability that grows with the wait saved, so that several instances with the same summaries
// don't overload the other region together.
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
	saved := localWait - r.Wait - crossingFactor*r.OneWay - crossingMargin
	if saved <= 0 {
		return -1
	}
	if rng.Float64() < min(float64(saved)/float64(localWait), maxCrossing) {
		return best
	}
	return -1
}

func (r RegionLoad) total() time.Duration { return r.Wait + 2*r.OneWay + r.Age/2 }
