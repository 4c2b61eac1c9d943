// Package placement chooses the endpoint of a request and decides whether it must wait: by the work that endpoints have
// taken and not begun, the prompt parts that they hold, their places and memory, their health, and the pace that a cold
// endpoint bears. It is pure and not safe for concurrent use.
package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
)

const (
	// initialReadRate is the prompt tokens that an engine reads in a second while it also generates, before the first
	// measurement: engines read about 110,000/s when they do nothing else, and half of their time goes to generation.
	initialReadRate = 56_000.0
	// initialReadTime is the time for which the initial rate counts as measured.
	initialReadTime = time.Second
	// fastestRead bounds a measured rate: no engine reads faster than the one above does when idle.
	fastestRead = 120_000.0
	// rateHalfLife is the number of measurements after which an old one counts half.
	rateHalfLife = 48.0
	// minMeasuredTokens is the work ahead of a measured first event. Below, fixed costs and batch steps dominate.
	minMeasuredTokens = 4000.0
	// firstEventFixed is the time to a first event beside the reading at an engine without other work: batch steps and the first
	// block of output tokens.
	firstEventFixed = 40 * time.Millisecond
	// runningCost is what a request in the batch costs those beside it, in prompt tokens: each slows a step by about 0.1 ms,
	// in which 11 tokens are read, over a few steps until the first event.
	runningCost = 40.0
	// memoryUse is the part of an engine's memory that admitted requests may fill. The rest covers answers that become
	// longer than expected: when memory runs out, a running request is preempted and read again.
	memoryUse = 0.9
	// PeerWorkAge is the age up to which another instance's work on an endpoint counts. It tells its work several times a
	// second; after a silence of this length its requests have ended or are no longer known.
	PeerWorkAge = 3 * time.Second
	// pastSlots is the part of a plain endpoint's slots that may wait there beyond those that run, so that a slot never
	// stands empty for the time of a round trip.
	pastSlots = 0.5
	// informedShare is the number of a plain service's places for each instance of the region from which on an instance goes by what
	// the others have under way. With fewer, several of them send between two messages what one place is there for, and endpoints
	// decline a sixth of it: each then keeps to its own share.
	informedShare = 2.0
	// idlePart is the part of a plain endpoint's slots up to which it counts as idle, so that an instance may exceed its share.
	idlePart = 0.5
	// spreadWidth is how far the choice among plain endpoints is spread, relative to the requests known there: a difference of that many
	// would turn all choices, so that a smaller one is made up for in part before the next message tells.
	spreadWidth = 2.0
)

// Work is a request as placement sees it.
type Work struct {
	ID     string
	Prompt float64 // tokens; 0 for a plain request
	Output float64 // expected tokens
	Parts  []Part  // of the prompt, in order
	// MaxPace is the longest time for an output token at which the answer is expected to end in time. 0: any.
	MaxPace time.Duration
}

// Unshared returns the prompt tokens that belong to the request alone: those of its last part, or all of a prompt without
// parts.
func (w *Work) Unshared() float64 {
	if len(w.Parts) == 0 {
		return w.Prompt
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

// PeerWork is what instances of the region have under way at an endpoint.
type PeerWork struct {
	Running int
	Unread  float64 // prompt tokens of requests whose first event has not come
	Memory  float64 // tokens
}

// Endpoint is an endpoint with what is known of it.
type Endpoint struct {
	catalog.Endpoint
	Health routing.Health

	own      map[string]*placed
	unread   float64  // own
	memory   float64  // own
	others   PeerWork // of the region's other instances
	cache    *partCache
	index    int           // in the pool's order
	unbegun  []*placed     // own requests without a first event, oldest first
	progress clock.Instant // last output of an own request
	coldNext clock.Instant // earliest time of the next request while it is cold
	pace     pace
}

// Plus returns the sum of two works.
func (w PeerWork) Plus(o PeerWork) PeerWork {
	return PeerWork{Running: w.Running + o.Running, Unread: w.Unread + o.Unread, Memory: w.Memory + o.Memory}
}

// Minus returns what is left of a work without a part of it.
func (w PeerWork) Minus(o PeerWork) PeerWork {
	return PeerWork{Running: w.Running - o.Running, Unread: w.Unread - o.Unread, Memory: w.Memory - o.Memory}
}

// placed is an own request at an endpoint.
type placed struct {
	work    Work
	unread  float64
	memory  float64
	ahead   float64 // unread tokens at the endpoint when it was placed, its own included
	at      clock.Instant
	fixed   time.Duration // expected time to the first event beside the reading
	due     clock.Instant // when the first event is expected
	started bool
}

// Pool is the set of endpoints of one service in this instance's region.
type Pool struct {
	service   *catalog.Service
	endpoints map[string]*Endpoint
	order     []*Endpoint       // by id
	health    []*routing.Health // of order
	reading   readRate
	// othersAt is when the work of the other instances was last told.
	othersAt  clock.Instant
	instances int // of the region, that send requests to the endpoints
	inFlight  int // own requests at all endpoints

	holders     holders
	heldScratch []held // result of held
	// departures counts the own requests that leave the endpoints.
	departures Rate
	// coldPace returns the requests a second that this instance may send to a cold endpoint.
	coldPace func(endpoint string, rate float64) float64
}

// NewPool returns a pool without endpoints. coldPace returns this instance's part of the rate that a cold endpoint bears.
func NewPool(service *catalog.Service, coldPace func(endpoint string, rate float64) float64) *Pool {
	return &Pool{service: service, endpoints: make(map[string]*Endpoint), reading: newReadRate(), coldPace: coldPace,
		holders: make(holders)}
}

// Configure replaces the service's declaration.
func (p *Pool) Configure(service *catalog.Service) { p.service = service }

// SetEndpoints replaces the endpoints that may be used. What is known of an incarnation that stays is kept.
func (p *Pool) SetEndpoints(list []catalog.Endpoint) {
	next := make(map[string]*Endpoint, len(list))
	for _, described := range list {
		e := p.endpoints[described.ID]
		if e == nil || e.Incarnation != described.Incarnation {
			e = p.newEndpoint(described)
		}
		e.Endpoint = described
		next[described.ID] = e
	}
	for id, e := range p.endpoints {
		if next[id] != e && e.cache != nil {
			e.cache.clear()
			e.cache = nil // its last requests may still begin
		}
	}
	p.endpoints = next
	p.order = p.order[:0]
	for _, e := range next {
		p.order = append(p.order, e)
	}
	slices.SortFunc(p.order, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	p.health = p.health[:0]
	for i, e := range p.order {
		e.index = i
		p.health = append(p.health, &e.Health)
	}
}

func (p *Pool) newEndpoint(described catalog.Endpoint) *Endpoint {
	e := &Endpoint{Endpoint: described, own: make(map[string]*placed)}
	if p.service.Engine != nil {
		e.cache = newPartCache(e, p.holders, p.service.Engine.KVCacheTokens)
	}
	return e
}

// Endpoint returns an endpoint of the pool, or nil.
func (p *Pool) Endpoint(id string) *Endpoint { return p.endpoints[id] }

// SetOthers records what the other instances of the region have under way at each endpoint, and how many instances of it send
// requests, this one included.
func (p *Pool) SetOthers(now clock.Instant, work map[string]PeerWork, instances int) {
	p.othersAt, p.instances = now, instances
	for _, e := range p.order {
		e.others = work[e.ID]
	}
}

// forgetSilent forgets the work of other instances that was not told lately.
func (p *Pool) forgetSilent(now clock.Instant) {
	if p.othersAt == 0 || now.Sub(p.othersAt) <= PeerWorkAge {
		return
	}
	p.SetOthers(0, nil, p.instances)
}

// Holds records prompt parts that an endpoint holds by then, as it says or because another instance has sent it a request. Those used
// last come last.
func (p *Pool) Holds(endpoint string, parts []Part, readBy clock.Instant) {
	if e := p.endpoints[endpoint]; e != nil && e.cache != nil {
		e.cache.use(parts, readBy)
	}
}

// OwnWork calls f for each endpoint with what this instance has under way there.
func (p *Pool) OwnWork(f func(endpoint string, w PeerWork)) {
	for _, e := range p.order {
		f(e.ID, e.ownWork())
	}
}

// load is the work of all instances at an endpoint.
func (e *Endpoint) load() PeerWork {
	return e.ownWork().Plus(e.others)
}

// ownWork is what this instance has under way at an endpoint.
func (e *Endpoint) ownWork() PeerWork {
	return PeerWork{Running: len(e.own), Unread: e.unread, Memory: e.memory}
}

// Choice is where a request goes.
type Choice struct {
	Endpoint *Endpoint
	// ID and Addr are the endpoint's as of the choice. Its description may be replaced while the request is under way.
	ID, Addr string
	// Wait is the expected time until the endpoint begins with the request, or until its first event for an engine.
	Wait time.Duration
	// CopyFrom is the address of an endpoint from which the chosen one should copy prompt parts. Empty: none.
	CopyFrom string
	// Unread and Copied are the prompt tokens that the endpoint has to read, and to copy from another one.
	Unread, Copied float64
}

// Reason tells why no endpoint was chosen.
type Reason string

// Reasons.
const (
	NoEndpoint Reason = "no-endpoint" // none is listed, or all are excluded, leaving or ejected
	AllBusy    Reason = "all-busy"    // places, memory or the wait at all usable ones are at their limit
	AllCold    Reason = "all-cold"    // usable ones are cold and have had their requests
)

// Constraint limits a choice.
type Constraint struct {
	// Excluded endpoints were tried before.
	Excluded func(id string) bool
	// MaxWait is the longest expected time of reading at an engine that has prompts to read before. 0: no limit.
	MaxWait time.Duration
}

// Choose returns the cheapest endpoint that may take the request now, or the reason why there is none.
func (p *Pool) Choose(now clock.Instant, w *Work, c Constraint) (Choice, Reason) {
	best, bestCost := Choice{}, math.Inf(1)
	reason := NoEndpoint
	p.forgetSilent(now)
	out := routing.Ejected(p.health, now)
	holding := p.held(now, w.Parts)
	source := p.bestHolder(holding, out)
	places := p.places()
	most := math.Inf(1) // tokens that are read within MaxWait
	if c.MaxWait > 0 {
		most = p.reading.tokensIn(c.MaxWait)
	}
	for i, e := range p.order {
		if e.Draining || out[i] || c.Excluded != nil && c.Excluded(e.ID) {
			continue
		}
		load, held := e.load(), holding[i].tokens
		if e.Health.Probing() && len(e.own) > 0 || !p.hasRoom(now, e, load, w, held, places) {
			reason = worse(reason, AllBusy)
			continue
		}
		if !p.mayUseCold(e, now) {
			reason = worse(reason, AllCold)
			continue
		}
		copied := source.copyTo(e, held)
		unread := max(0, w.Prompt-held-copied)
		tokens, cost := p.cost(now, e, load, w, unread, copied, places)
		if tokens > most && load.Unread > most*largePart {
			reason = worse(reason, AllBusy)
			continue
		}
		if cost < bestCost {
			best, bestCost = Choice{Endpoint: e, ID: e.ID, Addr: e.Addr, Wait: p.wait(now, e, tokens), Unread: unread, Copied: copied}, cost
			if copied > 0 {
				best.CopyFrom = source.endpoint.Addr
			}
		}
	}
	if best.Endpoint == nil {
		return best, reason
	}
	return best, ""
}

// worse keeps the reason that ends soonest by itself: a busy endpoint frees places.
func worse(a, b Reason) Reason {
	if a == AllBusy {
		return a
	}
	return b
}

// hasRoom reports whether the endpoint, which holds so much of the prompt, has a place and memory for the request.
func (p *Pool) hasRoom(now clock.Instant, e *Endpoint, load PeerWork, w *Work, held float64, places places) bool {
	if w.MaxPace > 0 && load.Running >= minCrowd && e.pace.value(now) > w.MaxPace {
		return false
	}
	if engine := p.service.Engine; engine != nil {
		need := w.Prompt - held + w.Output
		return load.Running < e.Slots && (load.Running == 0 || load.Memory+need <= memoryUse*engine.KVCacheTokens)
	}
	if places.few {
		return float64(p.inFlight) < places.mine
	}
	return float64(load.Running) < math.Ceil(float64(e.Slots)*(1+pastSlots))
}

// places is how the instances of the region share those of a plain service.
type places struct {
	few     bool    // for so many instances that each keeps to its share
	mine    float64 // requests that this instance may have under way then
	running int     // requests that are known at all endpoints
}

// places returns how the places of a plain service are shared.
func (p *Pool) places() places {
	if p.service.Engine != nil {
		return places{}
	}
	slots, running := 0, 0
	for _, e := range p.order {
		slots += e.Slots
		running += e.load().Running
	}
	share := float64(slots) * (1 + pastSlots) / float64(max(1, p.instances))
	mine := math.Max(1, share)
	if float64(running) < float64(slots)*idlePart {
		mine++
	}
	return places{few: share < informedShare, mine: mine, running: running}
}

// spread is a number from 0 up to 1 for a request at an endpoint, by which requests that find endpoints alike are spread over them.
func spread(request, endpoint string) float64 {
	return float64(xxhash.Sum64String(request+"/"+endpoint)>>11) / (1 << 53)
}

// holder is the endpoint that holds most of a prompt's parts.
type holder struct {
	endpoint *Endpoint
	tokens   float64
}

// bestHolder returns the endpoint that holds most of the prompt, if engines can copy parts from each other. held is what each
// endpoint holds.
func (p *Pool) bestHolder(held []held, out []bool) holder {
	engine := p.service.Engine
	if engine == nil || engine.CopyRate <= 0 {
		return holder{}
	}
	var best holder
	for i, e := range p.order {
		if out[i] {
			continue
		}
		if tokens := held[i].copies; tokens > best.tokens {
			best = holder{endpoint: e, tokens: tokens}
		}
	}
	return best
}

// copyTo returns how much of the prompt e should copy from the holder, beyond what it holds itself; 0 if that is not worth it.
func (h holder) copyTo(e *Endpoint, held float64) float64 {
	if h.endpoint == nil || h.endpoint == e {
		return 0
	}
	if more := h.tokens - held; more >= minCopied {
		return more
	}
	return 0
}

// minCopied is the smallest number of tokens that is copied: below, the set-up of a copy takes as long as reading them.
const minCopied = 500.0

// largePart is the part of the longest wait up to which an engine's unread prompts do not count, so that a prompt which takes longer
// than that by itself finds a place too.
const largePart = 0.25

// copyCost is the cost of a copied token relative to reading it: it occupies the link between engines, and is priced by its
// bytes at a third of what a token costs that is read again.
const copyCost = 0.3

const (
	// spareBacklog is the unread tokens at an engine behind which a request is hardly later: about 100 ms of reading, a small part
	// of usual objectives.
	spareBacklog = 6000.0
	// spareWeight is what such a token counts against one that must be read for the request itself. Requests then stay where their
	// parts are held while engines have time, and spread when they have none.
	spareWeight = 0.3
	// silenceMargin is how late a first event may be while the engine gives no other output, before it counts as silent: some steps
	// of a crowded batch that reads a large prompt.
	silenceMargin = 150 * time.Millisecond
)

// backlogCost is the cost of waiting behind so many unread tokens.
func backlogCost(unread float64) float64 {
	return unread - (1-spareWeight)*min(unread, spareBacklog)
}

// cost returns the prompt tokens that the endpoint reads until it has read the request's, and the cost of the request there,
// comparable within the pool. It has to read and copy so many tokens of the request itself.
func (p *Pool) cost(now clock.Instant, e *Endpoint, load PeerWork, w *Work, unread, copied float64, places places) (tokens, cost float64) {
	if p.service.Engine == nil {
		cost = float64(load.Running + 1)
		if places.few {
			// All instances see the same difference at the same time.
			cost += spread(w.ID, e.ID) * spreadWidth * float64(places.running)
		}
		return 0, cost / float64(e.Slots)
	}
	silent, backlog := 0.0, backlogCost(load.Unread)
	if d := e.silence(now); d > 0 {
		silent, backlog = p.reading.tokensIn(d), load.Unread
	}
	tokens = silent + load.Unread + unread + copyCost*copied
	return tokens, silent + backlog + unread + copyCost*copied + runningCost*float64(load.Running)
}

// silence is for how long an engine has owed a first event and has given no output at all: it is dark, hangs or is far slower than the
// others. Its connections tell that a second or more later.
func (e *Endpoint) silence(now clock.Instant) time.Duration {
	if len(e.unbegun) == 0 {
		return 0
	}
	return max(0, now.Sub(max(e.unbegun[0].due, e.progress))-silenceMargin)
}

// wait is the expected time until an engine's first event, if it reads so many tokens before; 0 for a plain endpoint.
func (p *Pool) wait(now clock.Instant, e *Endpoint, tokens float64) time.Duration {
	if p.service.Engine == nil {
		return 0
	}
	return p.fixedTime(now, e) + p.ReadTime(tokens)
}

// fixedTime is the expected time to an engine's first event beside the reading: a first event holds several output tokens, and
// each takes as long as the batch's pace, which prompts that are read meanwhile make slower.
func (p *Pool) fixedTime(now clock.Instant, e *Endpoint) time.Duration {
	return max(firstEventFixed, time.Duration(p.service.Engine.EventTokens*float64(e.pace.value(now))))
}

// ReadTime is how long an engine takes to read so many prompt tokens, as measured.
func (p *Pool) ReadTime(tokens float64) time.Duration { return p.reading.time(tokens) }

// Cold reports whether the endpoint bears only its service's cold rate now.
func (e *Endpoint) Cold(now clock.Instant) bool { return now.Before(e.ColdUntil) }

func (p *Pool) mayUseCold(e *Endpoint, now clock.Instant) bool {
	if !e.Cold(now) || p.service.ColdRate == 0 {
		return true
	}
	return p.coldPace(e.ID, p.service.ColdRate) > 0 && !now.Before(e.coldNext)
}

// Begin records that the request is sent to the chosen endpoint.
func (p *Pool) Begin(now clock.Instant, c Choice, w Work) {
	e := c.Endpoint
	if e.Cold(now) && p.service.ColdRate > 0 {
		pace := p.coldPace(e.ID, p.service.ColdRate)
		e.coldNext = now.Add(time.Duration(float64(time.Second) / max(pace, 0.01)))
	}
	r := &placed{work: w, at: now}
	if e.cache != nil {
		r.unread = c.Unread
		r.memory = r.unread + w.Output
		r.ahead = e.load().Unread + r.unread
		r.fixed = p.fixedTime(now, e)
		r.due = now.Add(r.fixed + p.ReadTime(r.ahead))
		e.cache.use(w.Parts, r.due)
		e.unbegun = append(e.unbegun, r)
	}
	if e.own[w.ID] == nil {
		p.inFlight++
	}
	e.own[w.ID] = r
	e.unread += r.unread
	e.memory += r.memory
}

// Started records the first event of a request at an engine, and learns from it how fast prompts are read.
func (p *Pool) Started(now clock.Instant, e *Endpoint, id string) {
	r := e.own[id]
	if r == nil || r.started {
		return
	}
	r.started = true
	e.unread -= r.unread
	e.progress = now
	e.begun(r)
	if e.cache != nil {
		e.cache.use(r.work.Parts, now)
	}
	if r.ahead >= minMeasuredTokens {
		p.reading.add(r.ahead, now.Sub(r.at)-r.fixed)
	}
}

// begun takes a request from those without a first event.
func (e *Endpoint) begun(r *placed) {
	if i := slices.Index(e.unbegun, r); i >= 0 {
		e.unbegun = slices.Delete(e.unbegun, i, i+1)
	}
}

// End records that a request has left the endpoint, whatever the outcome.
func (p *Pool) End(now clock.Instant, e *Endpoint, id string) {
	r := e.own[id]
	if r == nil {
		return
	}
	delete(e.own, id)
	p.inFlight--
	p.departures.Add(now)
	if !r.started {
		e.unread -= r.unread
		e.begun(r)
	}
	e.memory -= r.memory
	if len(e.own) == 0 {
		e.unread, e.memory = 0, 0 // no rounding error stays
	}
}

// Summary is the load of the pool as other regions need it.
type Summary struct {
	Usable int           // endpoints that take work, now or when requests there have ended
	Free   int           // endpoints that take the request now
	Wait   time.Duration // shortest expected time to a first event, if there is a free endpoint
	// Leaving is how many requests a second leave the endpoints.
	Leaving float64
}

// Summarise returns the load of the pool for a request, without the excluded endpoints. For a request without prompt, the wait
// is that of a prompt whose parts are held.
func (p *Pool) Summarise(now clock.Instant, w *Work, excluded func(id string) bool) Summary {
	s := Summary{}
	p.forgetSilent(now)
	out := routing.Ejected(p.health, now)
	holding := p.held(now, w.Parts)
	source := p.bestHolder(holding, out)
	places := p.places()
	shortest := time.Duration(math.MaxInt64)
	for i, e := range p.order {
		if e.Draining || out[i] || excluded(e.ID) || !p.mayUseCold(e, now) {
			continue
		}
		load, held := e.load(), holding[i].tokens
		s.Usable++
		if p.hasRoom(now, e, load, w, held, places) {
			s.Free++
		}
		copied := source.copyTo(e, held)
		tokens, _ := p.cost(now, e, load, w, max(0, w.Prompt-held-copied), copied, places)
		shortest = min(shortest, p.wait(now, e, tokens))
	}
	if s.Usable > 0 {
		s.Wait = shortest
	}
	s.Leaving = p.departures.Value(now)
	return s
}
