// Package regionflow decides which share of a region's requests is served in other regions, when the region's callers ask for
// more than its engines can serve while other regions have free capacity. All instances compute the shares from the same loads
// of the regions. The package does no I/O and is not safe for concurrent use.
package regionflow

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// usableFraction is the fraction of an engine that counts as capacity. Near full use, small differences between engines
	// and moments make requests wait.
	usableFraction = 0.85
	// riseTime and fallTime are the time constants with which a share follows its target. It rises faster than it falls, since
	// rejected requests cost more than the way to another region.
	riseTime = 500 * time.Millisecond
	fallTime = time.Second
	// minShare is the smallest share that has an effect. The measured demand varies by as much.
	minShare = 0.03
	// sendingEnds is how long after its last excess a region's shares have fallen to 0.
	sendingEnds = time.Second
	// viewLag is more than the largest difference in age between two instances' views of a region: a summary, a digest and the
	// latency between regions.
	viewLag = 300 * time.Millisecond
	// MinInstances is the number of instances of a region from which on it takes part in the flow.
	MinInstances = 4
)

// Load is the demand of a region's callers for a service and the engines that the region has for it.
type Load struct {
	Region         string
	Prefill        float64 // prompt tokens to process, in engines
	Slots          float64 // slots in use, in engines
	Requests       float64 // per second
	Engines        float64 // usable engines that accept any request rate
	LimitedEngines float64 // usable engines that accept only a request rate, as cold ones do
	LimitedRate    float64 // requests per second that the limited engines accept together
}

// Demand returns the engines that the region's callers need.
func (l Load) Demand() float64 { return max(l.Prefill, l.Slots) }

// Capacity returns what the region's engines can serve, in engines. Engines with a limited rate count with the requests that they
// accept, each as large as the mean of the region's callers.
func (l Load) Capacity() float64 {
	engines := l.Engines
	if l.Requests > 0 {
		engines += min(l.LimitedEngines, l.LimitedRate*l.Demand()/l.Requests)
	}
	return usableFraction * engines
}

// role is what a region has last done.
type role struct {
	sends bool // to other regions; otherwise it has been a destination
	at    clock.Instant
}

// Shares holds which share of the requests for one service in this region goes to each other region. The zero value is ready for
// use.
type Shares struct {
	updated clock.Instant
	current map[string]float64
	roles   map[string]role
}

// Update moves the shares of this region towards those that follow from the loads. Loads holds the regions that are known, this
// one included. A region that is not among them gets nothing at once, and neither does one without engines or with an excess.
func (s *Shares) Update(now clock.Instant, self string, loads []Load) {
	elapsed := now.Sub(s.updated)
	if s.updated == 0 {
		elapsed = 0
	}
	s.updated = now
	target, receives := s.targets(now, self, loads)
	next := make(map[string]float64)
	own := s.roles[self]
	for _, l := range loads {
		if l.Region == self || l.Capacity() <= 0 || l.Demand() >= l.Capacity() || receives {
			continue
		}
		wanted, share := target[l.Region], s.current[l.Region]
		if wanted == 0 && (!own.sends || now.Sub(own.at) >= sendingEnds) {
			continue
		}
		constant := riseTime
		if wanted < share {
			constant = fallTime
		}
		share += (wanted - share) * (1 - math.Exp(-elapsed.Seconds()/constant.Seconds()))
		if share > 0 {
			next[l.Region] = share
		}
	}
	s.current = next
}

// targets returns the shares of this region that follow from the loads, and whether other regions send to it. A region changes
// between sending and receiving only after a pause, so that it does not do both in the same second, whatever the age of the views
// of the instances that decide.
func (s *Shares) targets(now clock.Instant, self string, loads []Load) (target map[string]float64, receives bool) {
	excess, spare := make(map[string]float64), make(map[string]float64)
	excessTotal, spareTotal := 0.0, 0.0
	for _, l := range loads {
		last, difference := s.roles[l.Region], l.Demand()-l.Capacity()
		switch pause := now.Sub(last.at); {
		case last.at > 0 && !last.sends && difference > 0 && pause < sendingEnds+viewLag:
		case last.at > 0 && last.sends && difference <= 0 && pause < 2*sendingEnds+viewLag:
		case difference > 0:
			excess[l.Region] = difference
			excessTotal += difference
		case l.Capacity() > 0 && difference < 0:
			spare[l.Region] = -difference
			spareTotal -= difference
		}
	}
	target = make(map[string]float64)
	if excessTotal <= 0 || spareTotal <= 0 {
		return target, false
	}
	if s.roles == nil {
		s.roles = make(map[string]role)
	}
	for _, l := range loads {
		if excess[l.Region] > 0 {
			s.roles[l.Region] = role{sends: true, at: now}
		}
		if spare[l.Region] > 0 {
			s.roles[l.Region] = role{at: now}
		}
		if l.Region == self && excess[self] > 0 {
			flow := excess[self] * min(1, spareTotal/excessTotal)
			for region, free := range spare {
				target[region] = flow * free / spareTotal / l.Demand()
			}
		}
	}
	return target, spare[self] > 0
}

// Share is the share of requests that goes to a region.
type Share struct {
	Region string
	Share  float64
}

// Shares returns the shares that have an effect, by region, and their sum.
func (s *Shares) Shares() (list []Share, sum float64) {
	for region, share := range s.current {
		if share >= minShare {
			list = append(list, Share{region, share})
			sum += share
		}
	}
	slices.SortFunc(list, func(a, b Share) int { return cmp.Compare(a.Region, b.Region) })
	return list, sum
}

// Choose returns the region that a request should go to, "" for this one. Requests with the same subject go to the same region.
// movable is the fraction of the requests that other regions may serve; the shares are those of all requests.
func (s *Shares) Choose(subject uint64, movable float64) string {
	point := position(subject) * movable
	list, _ := s.Shares()
	for _, share := range list {
		if point < share.Share {
			return share.Region
		}
		point -= share.Share
	}
	return ""
}

// position returns a pseudo-random number from 0 up to 1 for a subject.
func position(subject uint64) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], subject)
	return float64(xxhash.Sum64(key[:])>>11) / (1 << 53)
}
