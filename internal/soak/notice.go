package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// noticeSettling is when an endpoint that has asked to wait must get no more requests: those on their way arrive before.
const noticeSettling = 500 * time.Millisecond

// notice is what an endpoint asks of instances in its answers.
type notice struct {
	mu        sync.Mutex
	leaving   bool
	waitUntil time.Time // 0: it does not ask to wait
	since     time.Time // first answer with the notice
	late      []time.Time
}

// arrive records a request and sets the headers of its answer. It returns true if the endpoint turns the request away.
func (n *notice) arrive(now time.Time, h http.Header) (declined bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	waits := now.Before(n.waitUntil)
	if !n.leaving && !waits {
		return false
	}
	if n.since.IsZero() {
		n.since = now
	}
	n.late = append(n.late, now)
	if n.leaving {
		platformtest.SetLeaving(h)
		return false
	}
	platformtest.Decline(h, n.waitUntil.Sub(now))
	return true
}

// askForNone makes one endpoint after the other leave, or ask to wait, until the run's length is over.
func (s *soak) askForNone(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 3)) // of its own, so that the faults of a seed stay the same
	for end := time.Now().Add(s.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		e, leaves, length := s.endpoints[rng.IntN(len(s.endpoints))], rng.IntN(2) == 0, time.Second+time.Duration(rng.Int64N(int64(4*time.Second)))
		s.note("%s asks for no requests for %s, leaving: %v", e.id, length.Round(time.Millisecond), leaves)
		n := &e.notice
		n.mu.Lock()
		n.leaving, n.since, n.late = leaves, time.Time{}, nil
		bound := drainBound
		if leaves {
			length += drainBound
		} else {
			n.waitUntil, bound = time.Now().Add(length), noticeSettling
		}
		n.mu.Unlock()
		time.Sleep(length)
		s.checkNotice(e, bound)
		if leaves {
			e.born.Add(1) // a new endpoint has its id and address
			e.list("ready")
		}
	}
}

// checkNotice reports requests that reached an endpoint later than the bound after it had asked for none, and ends the notice. Instances
// that were not told by the endpoint itself learn that it is leaving from others, and each learns of a wait by a request of its own:
// that excuses one request of each caller for each instance, and for each instance that a fault has disturbed.
func (s *soak) checkNotice(e *endpoint, bound time.Duration) {
	n := &e.notice
	n.mu.Lock()
	defer n.mu.Unlock()
	late := 0
	for _, at := range n.late {
		if at.Sub(n.since) > bound {
			late++
		}
	}
	allowed := s.options.Callers * s.disturbances(n.since, time.Now())
	if !n.leaving {
		allowed += s.options.Callers * len(s.instances)
	}
	if late > allowed {
		s.ledger.report("endpoint %s asks for no requests, leaving: %v, and got %d later than %s after that; allowed %d", e.id, n.leaving, late, bound, allowed)
	}
	n.leaving, n.waitUntil = false, time.Time{}
}
