package edge

import (
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fairshare"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// heldAfter is how long a request has waited when others are held back for it. Holding them back at once left engines idle and lowered
// the value of the answers by up to 7%.
const heldAfter = 100 * time.Millisecond

// shareTokens returns what a request counts in its organisation's share.
func shareTokens(w *placement.Request) float64 { return max(1, w.PromptTokens+w.OutputTokens) }

// organisationRate returns the rate of an organisation in the configuration. The caller holds mu.
func (p *pools) organisationRate(name string) fairshare.Rate {
	if p.conf == nil {
		return fairshare.Rate{}
	}
	if o := p.conf.Organisation(name); o != nil {
		return fairshare.Rate{PerSecond: o.Rate, Tokens: o.CountTokens}
	}
	return fairshare.Rate{}
}

// recordShareArrival counts a request as demand of its organisation, once for each instance that it comes to. The caller holds mu.
func (p *pools) recordShareArrival(now clock.Instant, pool *servicePool, a *attempt) {
	if pool.service.Engine == nil || a.shareCounted {
		return
	}
	a.shareCounted = true
	pool.shares.RecordArrival(now, a.organisation, p.organisationRate(a.organisation), shareTokens(&a.work))
}

// updateShare sets how much of its share of the service the organisation of a request has used. A caller that has come back at its
// promised time is not put behind. The caller holds the lock of the pools.
func (s *servicePool) updateShare(now clock.Instant, a *attempt) {
	a.shareLevel = fairshare.Within
	if s.service.Engine != nil && !a.promised {
		a.shareLevel = s.shares.Level(now, a.organisation)
	}
}

// updateShares sets the levels of the waiting requests anew.
func (s *servicePool) updateShares(now clock.Instant) {
	changed := false
	for _, w := range s.waiting {
		before := w.shareLevel
		s.updateShare(now, w.attempt)
		changed = changed || w.shareLevel != before
	}
	if changed {
		s.sortWaiting()
	}
}

// sortWaiting restores the order of the waiting requests.
func (s *servicePool) sortWaiting() {
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int {
		switch {
		case precedes(a, b):
			return -1
		case precedes(b, a):
			return 1
		}
		return 0
	})
}

// placedRate returns the requests of an urgency that are placed per second.
func (s *servicePool) placedRate(now clock.Instant, urgency int) float64 {
	rate := 0.0
	for rank, r := range s.placementRates {
		if rank.urgency == urgency {
			rate += r.Value(now)
		}
	}
	return rate
}

// recordRejected records that a request was rejected for lack of capacity.
func (p *pools) recordRejected(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byService[a.service]; pool != nil && pool.service.Engine != nil {
		now := p.clock.Now()
		p.recordShareArrival(now, pool, a)
		pool.updateShare(now, a)
		pool.shares.RecordContention(now)
	}
}

// organisationsWithShares returns the number of organisations with requests lately, over all services.
func (p *pools) organisationsWithShares() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pool := range p.byService {
		n += pool.shares.Len()
	}
	return n
}

// heldForShares holds back requests of organisations above their share while one of the same rank, of an organisation that is not, does
// not fit yet. Smaller requests would otherwise take the memory and the prompt budget for which it waits.
type heldForShares struct{ ranks []rank }

func (h *heldForShares) holds(w *waiter) bool {
	return w.shareLevel > fairshare.Within && slices.Contains(h.ranks, rank{urgency: w.urgency, late: w.late})
}

// record records why a request is not placed.
func (h *heldForShares) record(now clock.Instant, w *waiter, reason placement.Reason) {
	if reason == placement.AllBusy && w.shareLevel == fairshare.Within && now.Sub(w.queuedSince) >= heldAfter {
		h.ranks = append(h.ranks, rankOf(w.attempt))
	}
}
