package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// The bound of a limit: from limitContact after it was first named, 1.5 times what it allows in any limitWindow, and 5 requests.
const (
	limitContact = 6 * time.Second
	limitWindow  = 4 * time.Second
)

// limit is the request rate that an endpoint names, and the requests that it got since.
type limit struct {
	mu        sync.Mutex
	perSecond float64 // 0: none is named
	since     time.Time
	arrivals  []time.Time
}

// arrive records a request and names the limit in the headers of its answer.
func (l *limit) arrive(now time.Time, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	l.arrivals = append(l.arrivals, now)
	platformtest.SetRateLimit(h, l.perSecond)
}

// nameLimits makes one endpoint after the other name a limit until the run's length is over.
func (s *soak) nameLimits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 2)) // of its own, so that the faults of a seed stay the same
	for end := time.Now().Add(s.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		e, perSecond := s.endpoints[rng.IntN(len(s.endpoints))], 0.5+4*rng.Float64()
		s.note("%s names a limit of %.1f", e.id, perSecond)
		s.nameLimit(e, perSecond, limitContact+limitWindow+time.Duration(rng.Int64N(int64(limitWindow))))
	}
}

// nameLimit makes an endpoint name a limit for a time, and reports windows with more requests than it allows. Instances that a fault has disturbed may not
// know the limit: each such fault excuses as many requests as there are callers.
func (s *soak) nameLimit(e *endpoint, perSecond float64, length time.Duration) {
	l := &e.limit
	l.mu.Lock()
	l.perSecond, l.since, l.arrivals = perSecond, time.Time{}, nil
	l.mu.Unlock()
	time.Sleep(length)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond = 0
	first := 0
	for last, at := range l.arrivals {
		for ; at.Sub(l.arrivals[first]) > limitWindow; first++ {
		}
		allowed := 1.5*perSecond*limitWindow.Seconds() + 5 + float64(s.options.Callers*s.disturbances(at.Add(-limitWindow), at))
		if n := last - first + 1; at.Sub(l.since) > limitContact && float64(n) > allowed {
			s.ledger.report("endpoint %s names %.1f requests a second and got %d in %s, %s after it first did; allowed %.0f", e.id, perSecond, n, limitWindow, at.Sub(l.since), allowed)
			return
		}
	}
}

// disturbance is a fault of an instance.
type disturbance struct{ from, to time.Time }

// disturb records a fault of an instance while it runs, and until instances exchange their state again.
func (s *soak) disturb(run func()) {
	const settling = time.Second
	s.disturbedMu.Lock()
	s.disturbed = append(s.disturbed, disturbance{from: time.Now()})
	i := len(s.disturbed) - 1
	s.disturbedMu.Unlock()
	run()
	s.disturbedMu.Lock()
	s.disturbed[i].to = time.Now().Add(settling)
	s.disturbedMu.Unlock()
}

// disturbances returns the number of faults in a span.
func (s *soak) disturbances(from, to time.Time) int {
	s.disturbedMu.Lock()
	defer s.disturbedMu.Unlock()
	n := 0
	for _, d := range s.disturbed {
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			n++
		}
	}
	return n
}
