package edge

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/fairshare"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/regionflow"
	"dogwoodknot.example/dogwoodknot/internal/core/returns"
	"dogwoodknot.example/dogwoodknot/internal/core/triage"
)

const (
	// maxEngineWait is the longest expected time to a first event at which requests are still sent to an engine. Others wait in
	// this instance, where they can still go to another endpoint and urgent ones go first. The value keeps an engine busy for
	// several exchanges of load between instances.
	maxEngineWait = 300 * time.Millisecond
	// dispatchInterval is the interval at which waiting requests are offered to endpoints if no request of this instance ends:
	// requests of other instances end too, and a cold endpoint takes several requests a second.
	dispatchInterval = 20 * time.Millisecond
	// minDispatchInterval is the shortest time between two rounds of offers. In an overload, requests end and messages of other
	// instances arrive several hundred times a second, and offering all waiting requests each time took a third of a small
	// machine's processor time.
	minDispatchInterval = 8 * time.Millisecond
	// maxDispatchTries is the number of waiting requests that are tried in a round, so that a request that fits nowhere (its
	// endpoints were tried, or its prompt is large) does not block those behind it.
	maxDispatchTries = 16
)

// pools holds the endpoints of this region by service, and the requests that wait for them. It is safe for concurrent use.
type pools struct {
	clock clock.Clock
	// reportPanic is told of a panic in the choice of an endpoint.
	reportPanic func(place string, cause any)

	mu        sync.Mutex
	conf      *catalog.Configuration // nil before the first
	byService map[string]*servicePool
	newParts  numberedLog[endpointParts] // to be reported to the other instances of the region
	limiter   *endpointrate.Limiter      // of endpoints that accept only a request rate
	notices   *endpointnotice.Register   // of endpoints that ask for no requests
	closed    bool                       // no request gets an endpoint any more
}

type servicePool struct {
	*placement.Pool
	service      *catalog.Service
	waiting      []*waiter     // most urgent first
	lastDispatch clock.Instant // when the waiting requests were last offered to endpoints
	// placementRates measures how fast requests get endpoints, by rank.
	placementRates map[rank]*placement.Rate
	demand         regionflow.Demand         // of this instance's callers
	promises       map[int]*returns.Schedule // to rejected callers, by urgency
	shares         fairshare.Shares          // of the organisations
}

// waiter is a request in the queue for an endpoint.
type waiter struct {
	*attempt
	placed   chan placement.Choice // buffered for one value; closed if the request was rejected
	rejected placement.Reason      // why, once placed is closed
}

// reject ends the wait of a request that gets no endpoint.
func (w *waiter) reject(reason placement.Reason) {
	w.rejected = reason
	close(w.placed)
}

// instanceStopping is the reason for which no endpoint is chosen once requests in progress are given up at the end of a planned stop.
const instanceStopping placement.Reason = "instance-stopping"

func newPools(c clock.Clock, self string) *pools {
	return &pools{clock: c, reportPanic: func(string, any) {}, byService: make(map[string]*servicePool), newParts: numberedLog[endpointParts]{maxEntries: maxNewParts},
		limiter: endpointrate.NewLimiter(self), notices: endpointnotice.NewRegister()}
}

// set replaces the services and their usable endpoints.
func (p *pools) set(conf *catalog.Configuration, endpoints map[string][]catalog.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conf = conf
	for name := range endpoints {
		if service := conf.Service(name); service != nil && p.byService[name] == nil {
			pool := &servicePool{Pool: placement.NewPool(service, p.limiter), placementRates: make(map[rank]*placement.Rate), promises: make(map[int]*returns.Schedule)}
			pool.SetNotices(p.notices)
			p.byService[name] = pool
		}
	}
	for name, pool := range p.byService {
		p.contain(name, func() { p.setService(pool, conf.Service(name), endpoints[name]) })
	}
	p.dispatchAll()
}

// setService replaces the declaration of a service, nil if it has none any more, and its usable endpoints.
func (p *pools) setService(pool *servicePool, service *catalog.Service, list []catalog.Endpoint) {
	if service == nil {
		list = nil
	} else {
		pool.service = service
		pool.Configure(service)
	}
	for _, endpoint := range list {
		p.limiter.Statements.Replace(p.clock.Now(), endpoint.Incarnation)
	}
	pool.SetEndpoints(list)
}

// contain calls f for a service. A panic ends this call and leaves the other services alone.
func (p *pools) contain(service string, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			p.reportPanic("service "+service, cause)
		}
	}()
	f()
}

// close rejects the requests that wait for an endpoint and all later ones. What is in progress goes on.
func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pool := range p.byService {
		for _, w := range pool.waiting {
			w.reject(instanceStopping)
		}
		pool.waiting = nil
	}
}

func (p *pools) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// place waits for an endpoint until a.waitUntil or until ctx ends. The request counts as in progress at the returned endpoint
// until release is called. If there is no endpoint, it returns the reason.
func (p *pools) place(ctx context.Context, a *attempt) (placement.Choice, placement.Reason) {
	req := &waiter{attempt: a, placed: make(chan placement.Choice, 1)}
	pool, wait, reason := p.placeOrEnqueue(req)
	switch {
	case reason == "":
		return <-req.placed, ""
	case wait <= 0:
		return placement.Choice{}, reason
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c, placed := <-req.placed:
		if !placed {
			return c, req.rejected
		}
		return c, ""
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.endWait(ctx, pool, req, reason)
}

// placeOrEnqueue places the request, or lets it wait for as long as it returns, which is 0 or less if it cannot wait. reason is why it is
// not placed.
func (p *pools) placeOrEnqueue(req *waiter) (pool *servicePool, wait time.Duration, reason placement.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, 0, instanceStopping
	}
	if pool = p.byService[req.service]; pool == nil {
		return nil, 0, placement.NoEndpoint
	}
	now := p.clock.Now()
	if req.queuedSince == 0 {
		req.queuedSince = now
	}
	if reason = p.placeNow(pool, req); reason == "" {
		return pool, 0, ""
	}
	if wait = req.waitUntil.Sub(now); !reason.Transient() || wait <= 0 {
		return pool, 0, reason
	}
	pool.enqueue(req)
	pool.shares.RecordContention(now)
	return pool, wait, reason
}

// endWait ends the wait of a request whose time is over or whose context has ended. It may have been placed meanwhile.
func (p *pools) endWait(ctx context.Context, pool *servicePool, req *waiter, reason placement.Reason) (placement.Choice, placement.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case c, placed := <-req.placed:
		if !placed {
			return c, req.rejected
		}
		if ctx.Err() == nil {
			return c, ""
		}
		pool.RecordEnd(p.clock.Now(), c.Endpoint, req.work.ID)
	default:
		pool.remove(req)
	}
	return placement.Choice{}, reason
}

// placeNow tries to place a request unless others go first. It returns the reason if the request must wait.
func (p *pools) placeNow(pool *servicePool, req *waiter) placement.Reason {
	now := p.clock.Now()
	p.recordShareArrival(now, pool, req.attempt)
	pool.updateShare(now, req.attempt)
	if len(pool.waiting) > 0 && !precedes(req, pool.waiting[0]) {
		return placement.AllBusy
	}
	return p.tryPlace(pool, req)
}

// tryPlace chooses an endpoint for a request. A panic concerns this request only, which counts nowhere then and gets no endpoint here.
func (p *pools) tryPlace(pool *servicePool, req *waiter) (reason placement.Reason) {
	now := p.clock.Now()
	var choice placement.Choice
	defer func() {
		if cause := recover(); cause != nil {
			p.reportPanic("placement of request "+req.id, cause)
			if choice.Endpoint != nil {
				pool.RecordEnd(now, choice.Endpoint, req.work.ID)
			}
			reason = placementFailed
		}
	}()
	constraint := placement.Constraint{Excluded: func(id string) bool { return req.excluded[id] }, Queued: len(pool.waiting) > 0, Waited: now.Sub(req.queuedSince)}
	if pool.service.Engine != nil {
		constraint.MaxWait = maxEngineWait
	}
	if choice, reason = pool.Choose(now, &req.work, constraint); reason != "" {
		return reason
	}
	pool.RecordSent(now, choice, req.work)
	pool.recordPlacement(now, req.attempt)
	req.waited, req.queuedSince = now.Sub(req.queuedSince), 0
	if pool.service.Engine != nil {
		pool.shares.RecordPlaced(now, req.organisation, shareTokens(&req.work))
	}
	if req.kind != "" {
		pool.demand.RecordPlaced(req.kind, choice.PrefillTokens)
	}
	if len(req.work.Parts) > 0 {
		p.newParts.add(endpointParts{endpoint: choice.Endpoint.ID, parts: req.work.Parts})
	}
	req.placed <- choice
	return ""
}

func (s *servicePool) recordPlacement(now clock.Instant, a *attempt) {
	r := s.placementRates[rankOf(a)]
	if r == nil {
		r = &placement.Rate{}
		s.placementRates[rankOf(a)] = r
	}
	r.Add(now)
}

// precedes reports whether a goes before b: first those that can be on time or were promised capacity, then by urgency, then those that
// were promised capacity, then by when they must be placed. Within an urgency, those of organisations that have used their share go last.
func precedes(a, b *waiter) bool {
	if a.late != b.late {
		return b.late
	}
	if a.urgency != b.urgency {
		return a.urgency < b.urgency
	}
	if a.shareLevel != b.shareLevel {
		return a.shareLevel < b.shareLevel
	}
	if a.promised != b.promised {
		return a.promised
	}
	return a.placeBy < b.placeBy
}

// markLate moves the requests whose objective has passed behind the others.
func (s *servicePool) markLate(now clock.Instant) {
	changed := false
	for _, w := range s.waiting {
		if !w.late && !w.promised && now > w.onTimeBy {
			w.late, changed = true, true
		}
	}
	if changed {
		s.sortWaiting()
	}
}

func (s *servicePool) enqueue(req *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, req, func(a, b *waiter) int {
		if precedes(b, a) {
			return 1
		}
		return -1
	})
	s.waiting = slices.Insert(s.waiting, at, req)
}

func (s *servicePool) remove(req *waiter) {
	if i := slices.Index(s.waiting, req); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// dispatch offers waiting requests to the endpoints, unless that was done less than minDispatchInterval ago: run does it soon
// then.
func (p *pools) dispatch(pool *servicePool) {
	now := p.clock.Now()
	if len(pool.waiting) == 0 || now.Sub(pool.lastDispatch) < minDispatchInterval {
		return
	}
	pool.lastDispatch = now
	var held heldForShares
	for i, tried := 0, 0; i < len(pool.waiting) && tried < maxDispatchTries; tried++ {
		w := pool.waiting[i]
		if held.holds(w) {
			i++
			continue
		}
		reason := p.tryPlace(pool, w)
		held.record(now, w, reason)
		ends := reason == placement.AllWithheld || reason == placementFailed
		if ends {
			pool.waiting[i].reject(reason) // it goes to another region or is rejected now
		}
		if reason == "" || ends {
			pool.waiting = slices.Delete(pool.waiting, i, i+1)
			continue
		}
		i++
	}
}

func (p *pools) dispatchAll() {
	now := p.clock.Now()
	for name, pool := range p.byService {
		p.contain(name, func() {
			pool.markLate(now)
			pool.updateShares(now)
			p.dispatch(pool)
		})
	}
}

// tick offers waiting requests to the endpoints. It must be called regularly. It returns the endpoints that are no longer suspected of a
// restart since they have answered for long enough.
func (p *pools) tick() (trusted []catalog.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.limiter.Senders.Tick(now)
	trusted = p.limiter.Statements.EndSuspicions(now)
	p.dispatchAll()
	return trusted
}

// recordStart records the first event of a request's answer.
func (p *pools) recordStart(service string, e *placement.Endpoint, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	pool.RecordFirstEvent(p.clock.Now(), e, id)
	p.dispatch(pool)
}

// recordEvents records events of a stream and the time that they took.
func (p *pools) recordEvents(service string, e *placement.Endpoint, took time.Duration, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byService[service].RecordOutput(p.clock.Now(), e, took, events)
}

// healthResult is what an attempt has shown about the health of its endpoint.
type healthResult int

const (
	resultNone        healthResult = iota // nothing: the attempt ended for other reasons
	resultSucceeded                       // the endpoint answered
	resultFailed                          // the endpoint failed the request
	resultUnreachable                     // the endpoint could not be reached, or another one has its address
)

// release records the end of a request at an endpoint.
func (p *pools) release(service string, e *placement.Endpoint, id string, v healthResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	switch v {
	case resultSucceeded:
		e.Health.Succeeded(0)
	case resultFailed:
		e.Health.Failed(now)
	case resultUnreachable:
		e.Health.MarkUnresponsive(now)
	}
	pool := p.byService[service]
	pool.RecordEnd(now, e, id)
	p.dispatch(pool)
}

// recordCold records that an endpoint has reported that it is cold.
func (p *pools) recordCold(e *placement.Endpoint, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.ColdUntil = max(e.ColdUntil, p.clock.Now().Add(d))
}

// loadFor returns the load of a service here for a request that may not go to the excluded endpoints, including the requests in
// the queue.
func (p *pools) loadFor(a *attempt) placement.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[a.service]
	if pool == nil {
		return placement.Summary{}
	}
	now := p.clock.Now()
	pool.updateShare(now, a)
	return pool.loadFor(now, a)
}

// offers returns the expected times until a first output here, on time and behind all requests that can be on time. The latter
// is set only if the former exceeds the objective.
func (p *pools) offers(a *attempt, objective time.Duration) (onTime, late triage.Estimate) {
	first := *a
	first.late = false
	sum := p.loadFor(&first)
	onTime = triage.Estimate{Available: sum.Usable > 0, FirstOutput: sum.Wait}
	if !onTime.Available || onTime.FirstOutput <= objective {
		return onTime, triage.Estimate{}
	}
	second := *a
	second.late = true
	return onTime, triage.Estimate{Available: true, FirstOutput: p.loadFor(&second).Wait}
}

func (s *servicePool) loadFor(now clock.Instant, a *attempt) placement.Summary {
	sum := s.Summarise(now, &a.work, func(id string) bool { return a.excluded[id] })
	switch before, ahead := s.countAhead(a); {
	case sum.Usable == 0:
	case before > 0:
		// Requests of the same rank are placed at the rate measured lately, whatever goes before them.
		sum.Wait += durationAt(ahead+1, s.placementRate(now, a))
	case sum.Free == 0:
		// Capacity becomes free when a request ends.
		sum.Wait += durationAt(1, sum.DepartureRate)
	}
	return sum
}

func (s *servicePool) placementRate(now clock.Instant, a *attempt) float64 {
	rate, of := 0.0, rankOf(a)
	if r := s.placementRates[of]; r != nil {
		rate = r.Value(now)
	}
	if of.aboveShare {
		return rate
	}
	// What requests of organisations above their share get, they would get first.
	of.aboveShare = true
	if r := s.placementRates[of]; r != nil {
		rate += r.Value(now)
	}
	return rate
}

// worstLoad returns the load for a request without prompt, of the rank that waits longest among those that can be on time. Endpoints
// that accept only a request rate do not count while there are others: one that takes the next request at once would hide the wait of
// all that follow.
func (s *servicePool) worstLoad(now clock.Instant) placement.Summary {
	limited := s.RateLimited(now)
	worst := s.loadFor(now, &attempt{excluded: limited, placeBy: math.MaxInt64})
	if worst.Usable == 0 {
		limited = nil
		worst = s.loadFor(now, &attempt{placeBy: math.MaxInt64})
	}
	for r := range s.placementRates {
		if r.late || r.aboveShare {
			continue
		}
		if sum := s.loadFor(now, &attempt{excluded: limited, urgency: r.urgency, placeBy: math.MaxInt64}); sum.Wait > worst.Wait {
			worst = sum
		}
	}
	return worst
}

// minAssumedRate is the lowest rate per second that is assumed, also if none was measured lately.
const minAssumedRate = 3.0

// durationAt returns how long n occurrences take at a rate per second.
func durationAt(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / max(rate, minAssumedRate) * float64(time.Second))
}

// rank is a class of service: the requests of one rank wait in one queue.
type rank struct {
	urgency    int
	late       bool
	aboveShare bool
}

func rankOf(a *attempt) rank {
	return rank{urgency: a.urgency, late: a.late, aboveShare: a.shareLevel > fairshare.Within}
}

// countAhead returns the number of waiting requests that go before a request, of all ranks and of its own.
func (s *servicePool) countAhead(a *attempt) (all, ownRank int) {
	req := &waiter{attempt: a}
	for _, w := range s.waiting {
		if !precedes(w, req) {
			break
		}
		all++
		if rankOf(w.attempt) == rankOf(a) {
			ownRank++
		}
	}
	return all, ownRank
}

// readTime returns how long an engine takes to process the prompt tokens.
func (p *pools) readTime(service string, tokens float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	if pool == nil || tokens <= 0 {
		return 0
	}
	return pool.PrefillTime(tokens)
}

// sharing returns how many choices have found no share of an engine's free capacity and what was cached of the prompts, over all services,
// and the largest fraction of a service's engines that prefer long prompts.
func (p *pools) sharing() (withoutShare int64, longPromptShare float64, prompts placement.PromptTokens) {
	now := p.clock.Now()
	p.each(func(_ string, pool *servicePool) {
		withoutShare += pool.WithoutShare()
		longPromptShare = max(longPromptShare, pool.LongPromptShare(now))
		tokens := pool.PromptTokens()
		prompts.Prefilled += tokens.Prefilled
		prompts.Copied += tokens.Copied
		prompts.Cached += tokens.Cached
	})
	return withoutShare, longPromptShare, prompts
}

// each calls f for each service with its pool.
func (p *pools) each(f func(name string, pool *servicePool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pool := range p.byService {
		p.contain(name, func() { f(name, pool) })
	}
}

// endpointParts holds the prompt parts that a request of this instance leaves in the prefix cache of an endpoint.
type endpointParts struct {
	endpoint string
	parts    []placement.PromptPart
}

// maxNewParts bounds the entries that are kept until they are reported: a few seconds of requests.
const maxNewParts = 2048
