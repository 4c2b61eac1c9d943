package limits

import (
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

// waiter is a request that lacks tokens. Its fields are guarded by Service.mu.
type waiter struct {
	tokens      float64
	crossRegion bool // its deadline leaves room for other regions
	abandoned   bool
	result      chan result // holds one
}

type result struct {
	charge Charge
	err    error
}

// pull is the running exchange for an organisation's waiting requests, first come first served.
type pull struct {
	waiters []*waiter
}

// enqueue adds a waiter and starts a pull unless one runs.
func (s *Service) enqueue(organisation string, w *waiter) {
	p := s.pulls[organisation]
	if p != nil {
		p.waiters = append(p.waiters, w)
		return
	}
	s.pulls[organisation] = &pull{waiters: []*waiter{w}}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.runPull(organisation)
	}()
}

// runPull runs rounds until no request waits. Requests that arrive during a round wait for the next one.
func (s *Service) runPull(organisation string) {
	for {
		s.mu.Lock()
		s.serveWaiters(s.opts.Clock.Now(), organisation)
		p := s.pulls[organisation]
		if len(p.waiters) == 0 {
			delete(s.pulls, organisation)
			s.mu.Unlock()
			return
		}
		batch := slices.Clone(p.waiters)
		s.mu.Unlock()
		s.round(organisation, batch)
	}
}

// round asks the holders of the region, those that they name, and then the other regions.
func (s *Service) round(organisation string, batch []*waiter) {
	asked := map[string]bool{s.self.Instance: true}
	inRegion, others := s.givers(organisation, asked)
	named := s.askAll(organisation, batch, inRegion, s.opts.InRegionTimeout)
	if len(named) > 0 {
		more, far := s.split(named, asked)
		s.askAll(organisation, batch, more, s.opts.InRegionTimeout)
		others = append(others, far...)
	}
	s.refuse(organisation, batch, func(w *waiter) bool { return !w.crossRegion })
	s.askAll(organisation, batch, others, s.opts.CrossRegionTimeout)
	s.refuse(organisation, batch, func(*waiter) bool { return true })
}

// givers returns the owners of the organisation's slots in this region and in others.
func (s *Service) givers(organisation string, asked map[string]bool) (inRegion, others []string) {
	s.mu.Lock()
	owners := s.slots.owners(s.ledger.Slots(s.opts.Clock.Now(), organisation), s.self.Instance)
	s.mu.Unlock()
	return s.split(owners, asked)
}

// split sorts instances by region and marks them as asked, leaving out those asked before and those that do not answer.
func (s *Service) split(names []string, asked map[string]bool) (inRegion, others []string) {
	regions := map[string]string{}
	for _, p := range s.opts.Peers.Peers() {
		regions[p.Name] = p.Region
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	for _, name := range names {
		region, known := regions[name]
		if !known || asked[name] || now < s.failures[name].until {
			continue
		}
		asked[name] = true
		if region == s.self.Region {
			inRegion = append(inRegion, name)
		} else {
			others = append(others, name)
		}
	}
	return inRegion, others
}

// askAll asks the instances at once and waits until the batch is served, all have answered or the time is over. It returns
// the holders that the answers name.
func (s *Service) askAll(organisation string, batch []*waiter, names []string, timeout time.Duration) []string {
	if len(names) == 0 {
		return nil
	}
	s.mu.Lock()
	ask, missing := s.askFor(organisation, len(names))
	s.mu.Unlock()
	if !missing {
		return nil
	}
	answered := make(chan []ratelimit.Answer, len(names))
	for _, name := range names {
		s.send(name, []ratelimit.Ask{ask}, func(a []ratelimit.Answer) { answered <- a })
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var named []string
	for range names {
		select {
		case answers := <-answered:
			for _, a := range answers {
				named = append(named, a.Holders...)
			}
			if s.served(organisation, batch) {
				return nil
			}
		case <-timer.C:
			return named
		case <-s.ctx.Done():
			return nil
		}
	}
	return named
}

// askFor returns the ask for all waiting requests. missing is false if none lacks tokens.
func (s *Service) askFor(organisation string, fanout int) (ask ratelimit.Ask, missing bool) {
	need := s.missing(organisation)
	if need <= 0 {
		return ratelimit.Ask{}, false
	}
	return s.ledger.Ask(s.opts.Clock.Now(), organisation, need, fanout), true
}

// missing returns the tokens that the waiting requests lack, at most the organisation's burst.
func (s *Service) missing(organisation string) float64 {
	total := 0.0
	for _, w := range s.pulls[organisation].waiters {
		if !w.abandoned {
			total += w.tokens
		}
	}
	declared := s.conf.view.Organisation(organisation)
	if total == 0 || declared == nil {
		return 0
	}
	usage, _ := s.ledger.Usage(s.opts.Clock.Now(), organisation)
	return min(total, declared.Burst) - usage.Level
}

// served reports whether no request of the batch waits any more.
func (s *Service) served(organisation string, batch []*waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.pulls[organisation].waiters {
		if slices.Contains(batch, w) {
			return false
		}
	}
	return true
}

// serveWaiters admits waiting requests in order, passing over those that are too large for the tokens here.
func (s *Service) serveWaiters(now clock.Instant, organisation string) {
	p := s.pulls[organisation]
	if p == nil {
		return
	}
	left := p.waiters[:0:0]
	for _, w := range p.waiters {
		if w.abandoned {
			continue
		}
		id, ok := s.ledger.Admit(now, organisation, w.tokens)
		if !ok {
			left = append(left, w)
			continue
		}
		w.result <- result{charge: Charge{ID: id, Organisation: organisation, Tokens: int64(w.tokens)}}
	}
	p.waiters = left
}

// refuse ends the wait of those requests of the batch that cannot be served.
func (s *Service) refuse(organisation string, batch []*waiter, which func(*waiter) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveWaiters(s.opts.Clock.Now(), organisation)
	usage, _ := s.ledger.Usage(s.opts.Clock.Now(), organisation)
	p := s.pulls[organisation]
	left := p.waiters[:0:0]
	for _, w := range p.waiters {
		if !slices.Contains(batch, w) || !which(w) {
			left = append(left, w)
			continue
		}
		w.result <- result{err: s.refusal(organisation, w.tokens-usage.Level)}
	}
	p.waiters = left
}
