package limits

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

// waiter is a request that lacks tokens.
type waiter struct {
	id     uint64
	tokens float64
	result chan result // holds one
}

type result struct {
	charge Charge
	err    error
}

// fleetView answers the puller's questions. Its methods are called with Service.mu held.
type fleetView struct{ s *Service }

var _ ratelimit.Fleet = fleetView{}

// Owner returns the owner of a slot.
func (f fleetView) Owner(slot ratelimit.Slot) string { return f.s.slots.ownerOf[slot].Name }

// Region returns the region of a peer that answers.
func (f fleetView) Region(name string) (string, bool) {
	if f.s.opts.Clock.Now() < f.s.failures[name].until {
		return "", false
	}
	region, ok := f.s.regionOf[name]
	return region, ok
}

// notePeers reads the peers' regions.
func (s *Service) notePeers() {
	peers := s.opts.Peers.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.regionOf)
	for _, p := range peers {
		s.regionOf[p.Name] = p.Region
	}
}

// enqueue lets a request wait for tokens of other instances.
func (s *Service) enqueue(organisation string, tokens float64, crossRegion bool, patience time.Duration) *waiter {
	w := &waiter{tokens: tokens, result: make(chan result, 1)}
	id, do := s.puller.Wait(s.opts.Clock.Now(), organisation, tokens, crossRegion, patience)
	w.id = id
	s.waiters[id] = w
	s.perform(organisation, do)
	return w
}

// abandon ends a wait. The request may have been admitted in the meantime.
func (s *Service) abandon(organisation string, w *waiter) {
	s.mu.Lock()
	s.puller.Cancel(organisation, w.id)
	delete(s.waiters, w.id)
	s.mu.Unlock()
	select {
	case r := <-w.result:
		if r.err == nil {
			s.Settle(r.charge, 0)
		}
	default:
	}
}

// perform carries the puller's actions out. Service.mu is held.
func (s *Service) perform(organisation string, do ratelimit.Actions) {
	for _, o := range do.Outcomes {
		w := s.waiters[o.WaiterID]
		if w == nil {
			continue
		}
		delete(s.waiters, o.WaiterID)
		if o.Admitted {
			w.result <- result{charge: Charge{ID: o.ChargeID, Organisation: organisation, Tokens: int64(w.tokens)}}
		} else {
			w.result <- result{err: s.refusal(organisation, o.Missing)}
		}
	}
	for _, send := range do.Sends {
		s.send(send.To, []ratelimit.LoanRequest{send.Request})
	}
	for _, timer := range do.Timers {
		time.AfterFunc(timer.After, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.perform(organisation, s.puller.HandleTimeout(s.opts.Clock.Now(), organisation, timer.ID))
		})
	}
}
