package edge

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/triage"
)

const (
	// engineBacklog is the longest expected time to a first event up to which requests are sent to an engine. Others wait
	// here, where they can still go to another endpoint and urgent ones go first. It keeps an engine busy for several
	// exchanges of work between instances.
	engineBacklog = 300 * time.Millisecond
	// pumpEvery is how often waiting requests are offered to endpoints when no own request makes room: others do, and a cold
	// endpoint takes several requests a second.
	pumpEvery = 20 * time.Millisecond
	// pumpRest is the shortest time between two offers. In an overload requests end and messages of other instances come several
	// hundred times a second, and to offer all that wait each time took a third of a small machine's processor time.
	pumpRest = 8 * time.Millisecond
	// pumpLook is the number of waiting requests that are tried at a time. Those behind a request that fits nowhere (its
	// endpoints were tried, or its prompt is large) need not wait for it.
	pumpLook = 16
)

// pools are the endpoints of this region with the requests that wait for them. It is safe for concurrent use.
type pools struct {
	clock clock.Clock
	// coldPace returns this instance's part of the rate of a cold endpoint.
	coldPace func(endpoint string, rate float64) float64

	mu        sync.Mutex
	byService map[string]*servicePool
	used      numberedLog[partUse] // for the other instances of the region
}

type servicePool struct {
	*placement.Pool
	service *catalog.Service
	waiting []*waiter     // most urgent first
	pumped  clock.Instant // when the waiting requests were last offered
	// placed measures how fast requests get their endpoints, by rank.
	placed map[rank]*placement.Rate
}

// waiter is a request that waits for an endpoint.
type waiter struct {
	*attempt
	placed chan placement.Choice // with room for one
}

func newPools(c clock.Clock, coldPace func(string, float64) float64) *pools {
	return &pools{clock: c, coldPace: coldPace, byService: make(map[string]*servicePool), used: numberedLog[partUse]{most: maxUsedParts}}
}

// set replaces the services and their usable endpoints.
func (p *pools) set(conf *catalog.Configuration, endpoints map[string][]catalog.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, list := range endpoints {
		service := conf.Service(name)
		if service == nil {
			delete(endpoints, name)
			continue
		}
		pool := p.byService[name]
		if pool == nil {
			pool = &servicePool{Pool: placement.NewPool(service, p.coldPace), placed: make(map[rank]*placement.Rate)}
			p.byService[name] = pool
		}
		pool.service = service
		pool.Configure(service)
		pool.SetEndpoints(list)
	}
	for name, pool := range p.byService {
		if _, used := endpoints[name]; !used {
			pool.SetEndpoints(nil)
		}
	}
	p.pumpAll()
}

// place waits for an endpoint until the deadline, ctx ends or there is none. The returned endpoint has the request booked, and
// release must be called; or the reason tells why there is none.
func (p *pools) place(ctx context.Context, a *attempt) (placement.Choice, placement.Reason) {
	p.mu.Lock()
	pool := p.byService[a.service]
	if pool == nil {
		p.mu.Unlock()
		return placement.Choice{}, placement.NoEndpoint
	}
	me := &waiter{attempt: a, placed: make(chan placement.Choice, 1)}
	reason := p.admit(pool, me)
	if reason == "" {
		p.mu.Unlock()
		return <-me.placed, ""
	}
	wait := a.waitUntil.Sub(p.clock.Now())
	if reason == placement.NoEndpoint || wait <= 0 {
		p.mu.Unlock()
		return placement.Choice{}, reason
	}
	pool.enqueue(me)
	p.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c := <-me.placed:
		return c, ""
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case c := <-me.placed:
		if ctx.Err() == nil {
			return c, ""
		}
		pool.End(p.clock.Now(), c.Endpoint, a.work.ID)
	default:
		pool.remove(me)
	}
	return placement.Choice{}, reason
}

// admit tries to place a request unless more urgent ones wait. It returns the reason if it must wait.
func (p *pools) admit(pool *servicePool, me *waiter) placement.Reason {
	if len(pool.waiting) > 0 && !before(me, pool.waiting[0]) {
		return placement.AllBusy
	}
	return p.try(pool, me)
}

func (p *pools) try(pool *servicePool, me *waiter) placement.Reason {
	now := p.clock.Now()
	constraint := placement.Constraint{Excluded: func(id string) bool { return me.excluded[id] }}
	if pool.service.Engine != nil {
		constraint.MaxWait = engineBacklog
	}
	choice, reason := pool.Choose(now, &me.work, constraint)
	if reason != "" {
		return reason
	}
	pool.Begin(now, choice, me.work)
	pool.notePlaced(now, me.attempt)
	if len(me.work.Parts) > 0 {
		p.used.add(partUse{endpoint: choice.Endpoint.ID, parts: me.work.Parts})
	}
	me.placed <- choice
	return ""
}

func (s *servicePool) notePlaced(now clock.Instant, a *attempt) {
	r := s.placed[rankOf(a)]
	if r == nil {
		r = &placement.Rate{}
		s.placed[rankOf(a)] = r
	}
	r.Add(now)
}

// before orders waiting requests: those that can be on time first, then by urgency, then by when they must be placed.
func before(a, b *waiter) bool {
	if a.late != b.late {
		return b.late
	}
	if a.urgency != b.urgency {
		return a.urgency < b.urgency
	}
	return a.placeBy < b.placeBy
}

// markLate puts the requests whose objective has passed behind the others.
func (s *servicePool) markLate(now clock.Instant) {
	changed := false
	for _, w := range s.waiting {
		if !w.late && now > w.onTimeBy {
			w.late, changed = true, true
		}
	}
	if changed {
		slices.SortStableFunc(s.waiting, func(a, b *waiter) int {
			switch {
			case before(a, b):
				return -1
			case before(b, a):
				return 1
			}
			return 0
		})
	}
}

func (s *servicePool) enqueue(me *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, me, func(a, b *waiter) int {
		if before(b, a) {
			return 1
		}
		return -1
	})
	s.waiting = slices.Insert(s.waiting, at, me)
}

func (s *servicePool) remove(me *waiter) {
	if i := slices.Index(s.waiting, me); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// pump offers waiting requests to the endpoints, unless that was done a moment ago: run does it soon then.
func (p *pools) pump(pool *servicePool) {
	now := p.clock.Now()
	if len(pool.waiting) == 0 || now.Sub(pool.pumped) < pumpRest {
		return
	}
	pool.pumped = now
	for i, tried := 0, 0; i < len(pool.waiting) && tried < pumpLook; tried++ {
		if p.try(pool, pool.waiting[i]) == "" {
			pool.waiting = slices.Delete(pool.waiting, i, i+1)
			continue
		}
		i++
	}
}

func (p *pools) pumpAll() {
	now := p.clock.Now()
	for _, pool := range p.byService {
		pool.markLate(now)
		p.pump(pool)
	}
}

// run pumps until ctx ends.
func (p *pools) run(ctx context.Context) {
	for clock.Sleep(ctx, pumpEvery) == nil {
		p.mu.Lock()
		p.pumpAll()
		p.mu.Unlock()
	}
}

// started records the first event of a request.
func (p *pools) started(service string, e *placement.Endpoint, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	pool.Started(p.clock.Now(), e, id)
	p.pump(pool)
}

// produced records the events of a stream.
func (p *pools) produced(service string, e *placement.Endpoint, took time.Duration, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byService[service].Produced(p.clock.Now(), e, took, events)
}

// verdict is what an attempt has shown of its endpoint.
type verdict int

const (
	verdictNone   verdict = iota // the attempt ended for reasons of its own
	verdictGood                  // the endpoint has answered
	verdictFailed                // the endpoint has failed the request
	verdictSilent                // the endpoint could not be reached or its connection broke
)

// release records the end of a request at an endpoint.
func (p *pools) release(service string, e *placement.Endpoint, id string, v verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	switch v {
	case verdictGood:
		e.Health.Succeeded(0)
	case verdictFailed:
		e.Health.Failed(now)
	case verdictSilent:
		e.Health.MarkUnresponsive(now)
	}
	pool := p.byService[service]
	pool.End(now, e, id)
	p.pump(pool)
}

// coldFor records that an endpoint has said that it is cold.
func (p *pools) coldFor(e *placement.Endpoint, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.ColdUntil = max(e.ColdUntil, p.clock.Now().Add(d))
}

// summary returns the load of a service here for a request that may not go to the excluded endpoints. The waiting requests are
// counted in.
func (p *pools) summary(a *attempt) placement.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[a.service]
	if pool == nil {
		return placement.Summary{}
	}
	return pool.summary(p.clock.Now(), a)
}

// offers returns the expected times to a first output here, on time and behind all that can be on time. The latter is given only if
// the former is beyond the objective.
func (p *pools) offers(a *attempt, objective time.Duration) (onTime, late triage.Offer) {
	first := *a
	first.late = false
	sum := p.summary(&first)
	onTime = triage.Offer{Known: sum.Usable > 0, First: sum.Wait}
	if !onTime.Known || onTime.First <= objective {
		return onTime, triage.Offer{}
	}
	second := *a
	second.late = true
	return onTime, triage.Offer{Known: true, First: p.summary(&second).Wait}
}

func (s *servicePool) summary(now clock.Instant, a *attempt) placement.Summary {
	sum := s.Summarise(now, &a.work, func(id string) bool { return a.excluded[id] })
	switch before, ahead := s.ahead(a); {
	case sum.Usable == 0:
	case before > 0:
		// Those of its rank are placed as fast as they were lately, whatever goes before them.
		sum.Wait += perSecond(ahead+1, s.placedRate(now, a))
	case sum.Free == 0:
		// A place becomes free when a request ends.
		sum.Wait += perSecond(1, sum.Leaving)
	}
	return sum
}

func (s *servicePool) placedRate(now clock.Instant, a *attempt) float64 {
	if r := s.placed[rankOf(a)]; r != nil {
		return r.Value(now)
	}
	return 0
}

// worstSummary is the load for a request without prompt of the rank that waits longest and can be on time.
func (s *servicePool) worstSummary(now clock.Instant) placement.Summary {
	worst := s.summary(now, &attempt{placeBy: math.MaxInt64})
	for r := range s.placed {
		if r.late {
			continue
		}
		if sum := s.summary(now, &attempt{urgency: r.urgency, placeBy: math.MaxInt64}); sum.Wait > worst.Wait {
			worst = sum
		}
	}
	return worst
}

// minRate is the rate a second that is assumed where none was measured lately.
const minRate = 3.0

// perSecond returns how long n occurrences take at a rate.
func perSecond(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / max(rate, minRate) * float64(time.Second))
}

// rank is what requests are served by: those of one rank wait in one line.
type rank struct {
	urgency int
	late    bool
}

func rankOf(a *attempt) rank { return rank{urgency: a.urgency, late: a.late} }

// ahead is the number of waiting requests that go before a request, of all ranks and of its own.
func (s *servicePool) ahead(a *attempt) (all, ownRank int) {
	me := &waiter{attempt: a}
	for _, w := range s.waiting {
		if !before(w, me) {
			break
		}
		all++
		if rankOf(w.attempt) == rankOf(a) {
			ownRank++
		}
	}
	return all, ownRank
}

// readTime is how long an engine takes to read the prompt tokens.
func (p *pools) readTime(service string, tokens float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	if pool == nil || tokens <= 0 {
		return 0
	}
	return pool.ReadTime(tokens)
}

// each calls f for each service with its pool.
func (p *pools) each(f func(name string, pool *servicePool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pool := range p.byService {
		f(name, pool)
	}
}

// partUse are prompt parts that a request of this instance reads at an endpoint.
type partUse struct {
	endpoint string
	parts    []placement.Part
}

// maxUsedParts bounds the entries that are kept for an instance which does not take them: a few seconds of requests.
const maxUsedParts = 2048
