// Package fairshare decides which organisations have used more than their share of an instance's capacity for a service, while there
// is not enough for all. The shares are weighted max-min fair: in proportion to the organisations' rates, and what one of them leaves
// unused is divided among the others. The package does no I/O and is not safe for concurrent use.
package fairshare

import (
	"cmp"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// Window is the time over which demand and use are measured.
	Window = 2 * time.Second
	// buckets divide the window. What is counted is forgotten in steps of a bucket, and shares are computed anew as often.
	buckets = 20
	bucket  = Window / buckets
)

// Rate is the rate of an organisation in the configuration.
type Rate struct {
	PerSecond float64 // 0: none
	Tokens    bool    // it counts tokens; otherwise requests
}

// Shares measures the organisations' demand and use. The zero value is ready for use.
type Shares struct {
	organisations map[string]*organisation
	tick          int64         // number of the bucket that is being filled
	computed      int64         // tick of the last computation
	contended     clock.Instant // when a request last had to wait or was rejected
	// deprived says that an organisation has got less than it asked for and less than its share.
	deprived bool
}

// organisation holds what an organisation has done within the window.
type organisation struct {
	rate           Rate
	demanded, used [buckets]float64 // tokens
	demand, use    float64          // their sums
	requests       [buckets]float64
	own, share     float64 // tokens in the window: by its rate alone, and with what others leave unused
	idle           int     // buckets since its last request
}

// advance forgets what is older than the window.
func (s *Shares) advance(now clock.Instant) {
	tick := int64(now) / int64(bucket)
	steps := min(tick-s.tick, buckets)
	if steps <= 0 {
		return
	}
	for name, o := range s.organisations {
		if o.idle += int(steps); o.idle >= buckets {
			delete(s.organisations, name)
			continue
		}
		for n := range steps {
			i := (tick - n) % buckets
			o.demanded[i], o.used[i], o.requests[i] = 0, 0, 0
		}
		// Sums that are not computed anew would keep rounding errors.
		o.demand, o.use = sum(o.demanded[:]), sum(o.used[:])
	}
	s.tick = tick
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

func (s *Shares) organisation(now clock.Instant, name string) *organisation {
	s.advance(now)
	o := s.organisations[name]
	if o == nil {
		if s.organisations == nil {
			s.organisations = make(map[string]*organisation)
		}
		o = &organisation{}
		s.organisations[name] = o
		s.computed = 0
	}
	return o
}

// RecordArrival counts a request's tokens, prompt and expected output, as demand of its organisation.
func (s *Shares) RecordArrival(now clock.Instant, name string, rate Rate, tokens float64) {
	o := s.organisation(now, name)
	o.rate, o.idle = rate, 0
	o.demanded[s.tick%buckets] += tokens
	o.requests[s.tick%buckets]++
	o.demand += tokens
}

// RecordPlaced counts the tokens of a request that got an endpoint.
func (s *Shares) RecordPlaced(now clock.Instant, name string, tokens float64) {
	o := s.organisation(now, name)
	o.used[s.tick%buckets] += tokens
	o.use += tokens
}

// RecordContention records that a request had to wait or was rejected.
func (s *Shares) RecordContention(now clock.Instant) { s.contended = now }

// Level says how much of its share an organisation has used. Requests of lower levels go first.
type Level int

const (
	Within Level = iota // less than its own share, or nobody lacks anything
	Lent                // all of its own share, and some of what others leave unused
	Above               // more than that
)

// Level returns the level of an organisation. It is Within unless another organisation has got less than its share and asks for more.
// The size of the request that is asked for does not count.
func (s *Shares) Level(now clock.Instant, name string) Level {
	if s.contended == 0 || now.Sub(s.contended) > Window {
		return Within
	}
	s.advance(now)
	o := s.organisations[name]
	if o == nil {
		return Within
	}
	if s.computed != s.tick {
		s.compute()
	}
	switch {
	case !s.deprived || o.use <= o.own:
		return Within
	case o.use <= o.share:
		return Lent
	}
	return Above
}

// Len returns the number of organisations with requests within the window.
func (s *Shares) Len() int { return len(s.organisations) }

// compute divides what was used within the window among the organisations.
func (s *Shares) compute() {
	s.computed, s.deprived = s.tick, false
	left, requests, demand := 0.0, 0.0, 0.0
	for _, o := range s.organisations {
		left += o.use
		requests += sum(o.requests[:])
		demand += o.demand
	}
	meanTokens := 1.0
	if requests > 0 {
		meanTokens = max(1, demand/requests)
	}
	weights := s.weights(meanTokens)
	type claim struct {
		*organisation
		weight float64
	}
	claims, weightLeft := make([]claim, 0, len(weights)), 0.0
	for name, weight := range weights {
		claims = append(claims, claim{s.organisations[name], weight})
		weightLeft += weight
	}
	// Those that ask for least, relative to their weight, get all that they ask for.
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Compare(a.demand/a.weight, b.demand/b.weight)
	})
	total, weightTotal := left, weightLeft
	for _, c := range claims {
		fair := left * c.weight / weightLeft
		c.own, c.share = total*c.weight/weightTotal, max(fair, 0)
		left -= min(c.demand, fair)
		s.deprived = s.deprived || c.use < min(c.demand, c.share)
		weightLeft -= c.weight
	}
}

// weights returns the weight of each organisation: its rate in tokens per second, or the mean of the others if it has none.
func (s *Shares) weights(meanTokens float64) map[string]float64 {
	out := make(map[string]float64, len(s.organisations))
	total, rated := 0.0, 0
	for name, o := range s.organisations {
		weight := o.rate.PerSecond
		if !o.rate.Tokens {
			weight *= meanTokens
		}
		if weight <= 0 {
			continue
		}
		out[name] = weight
		total += weight
		rated++
	}
	mean := 1.0
	if rated > 0 {
		mean = total / float64(rated)
	}
	for name := range s.organisations {
		if _, has := out[name]; !has {
			out[name] = mean
		}
	}
	return out
}
