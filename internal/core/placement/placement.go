// Package placement chooses the endpoint of a request and decides whether the request must wait. It considers the prompt tokens
// that each endpoint still has to process (prefill), the prompt parts in its prefix cache, its free slots and memory, its
// health, and the request rate that an endpoint accepts while it is cold, that is, shortly after its start, or has named. The package
// does no I/O and is not safe for concurrent use.
package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/prefixvalue"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

const (
	// initialPrefillRate is the number of prompt tokens per second that an engine is assumed to process while it also generates
	// output, before the first measurement: engines process about 110,000/s when they do nothing else, and half of their time
	// goes to generation.
	initialPrefillRate = 56_000.0
	// initialPrefillTime is the length of the measurement whose weight the initial rate has.
	initialPrefillTime = time.Second
	// maxPrefillRate bounds a measured rate: no engine is faster than the idle one above.
	maxPrefillRate = 120_000.0
	// rateHalfLife is the number of measurements after which an old measurement has half its weight.
	rateHalfLife = 48.0
	// minMeasuredTokens is the smallest number of tokens before a first event that is used as a measurement. With fewer, fixed
	// costs and batch steps dominate.
	minMeasuredTokens = 4000.0
	// firstEventFixed is the time to a first event, beside the prefill, at an otherwise idle engine: batch steps and the first
	// block of output tokens.
	firstEventFixed = 40 * time.Millisecond
	// requestCost is the cost of a request in the batch for the other requests there, in prompt tokens: each request slows a
	// step by about 0.1 ms, in which 11 tokens are processed, for the few steps until the first event.
	requestCost = 40.0
	// usableMemory is the fraction of an engine's memory that admitted requests may fill. The rest is for answers that become
	// longer than expected: when memory runs out, a running request is preempted and its prompt is processed again.
	usableMemory = 0.9
	// PeerLoadMaxAge is the age up to which the load of other instances counts. Instances publish their load several times a
	// second; after this time without a message, their requests have ended or their state is unknown.
	PeerLoadMaxAge = 3 * time.Second
	// extraSlots is the fraction of a plain endpoint's slots that may additionally wait at the endpoint, so that no slot stays
	// empty for the time of a round trip.
	extraSlots = 0.5
	// minSlotsPerInstance is the number of a plain service's slots per instance of the region from which on an instance
	// relies on the published load of the others. With fewer, several instances send requests for the same free slot between
	// two messages, and endpoints decline a sixth of the requests; each instance then keeps to its own share of the slots.
	minSlotsPerInstance = 2.0
	// idleFraction is the fraction of a plain service's slots in use below which an instance may exceed its share by one
	// request.
	idleFraction = 0.5
	// spreadWidth is the width of the random spread in the choice among plain endpoints, relative to the number of requests
	// known there. A difference between two endpoints as large as this width would shift all choices to one of them; a smaller
	// one is partly balanced before the next message arrives.
	spreadWidth = 2.0
)

// MaxTokens bounds the tokens of a prompt, a part or an answer that are believed: sums over all requests stay exact, and no model has as long
// a context.
const MaxTokens = 1e8

// Request is what the choice of an endpoint depends on.
type Request struct {
	ID           string
	PromptTokens float64      // 0 for a request to a plain service
	OutputTokens float64      // expected number
	Parts        []PromptPart // of the prompt, in order
	// MaxTokenTime is the longest time per output token at which the answer is expected to end before the deadline. 0: no limit.
	MaxTokenTime time.Duration
	// MaxEventGap is the longest gap between the events of the answer that is on time. 0: no limit.
	MaxEventGap time.Duration
}

// UnsharedTokens returns the prompt tokens that no other request has in common: those of the last part, or the whole prompt if
// it has no parts.
func (w *Request) UnsharedTokens() float64 {
	if len(w.Parts) == 0 {
		return w.PromptTokens
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

// Load is the load at an endpoint: requests in progress and waiting there, and their tokens.
type Load struct {
	Requests       int
	PendingPrefill float64 // prompt tokens of requests that have not produced their first event
	Memory         float64 // tokens that the prompts and expected answers add to the KV cache
	GapLimited     int     // of the requests, those whose events have a longest gap
}

// Endpoint is an endpoint with its health, load and cache as this instance knows them.
type Endpoint struct {
	catalog.Endpoint
	Health routing.Health

	ownRequests map[string]*placedRequest
	ownPrefill  float64 // tokens of this instance's requests
	ownMemory   float64 // tokens of this instance's requests
	peerLoad    Load    // of the other instances of the region
	share       shareUse
	kindRank    float64 // position in the order by which engines are divided by kind of work, from 0 up to 1
	cache       *prefixCache
	index       int              // in Pool.order
	notStarted  []*placedRequest // this instance's requests without a first event, oldest first
	lastOutput  clock.Instant    // last output of a request of this instance
	tokenTime   tokenTime
	pace        enginePace
	rateRatio   rateRatio
	stated      statedLoad
	gaps        ownGaps
}

// Plus returns the sum of two loads.
func (w Load) Plus(o Load) Load {
	return Load{Requests: w.Requests + o.Requests, PendingPrefill: w.PendingPrefill + o.PendingPrefill, Memory: w.Memory + o.Memory,
		GapLimited: w.GapLimited + o.GapLimited}
}

// Minus returns the load w without o.
func (w Load) Minus(o Load) Load {
	return Load{Requests: w.Requests - o.Requests, PendingPrefill: w.PendingPrefill - o.PendingPrefill, Memory: w.Memory - o.Memory,
		GapLimited: w.GapLimited - o.GapLimited}
}

// placedRequest is a request that this instance has sent to an endpoint.
type placedRequest struct {
	request       Request
	prefill       float64
	memory        float64
	backlog       float64 // tokens to prefill at the endpoint when the request was placed, its own included
	sentAt        clock.Instant
	fixedTime     time.Duration // expected time to the first event beside the prefill
	firstEventDue clock.Instant // expected time of the first event
	started       bool
	// unknownBacklog is the part of the expected backlog that is not in backlog: requests that only the engine has stated.
	unknownBacklog float64
	gapLimit       time.Duration // at an engine: longest gap between its events, 0: no limit
	paceFactor     float64       // of the engine when the request was sent
}

// Pool holds the endpoints of one service in this instance's region.
type Pool struct {
	service     *catalog.Service
	endpoints   map[string]*Endpoint
	order       []*Endpoint       // by ID
	health      []*routing.Health // in the same order
	prefillRate prefillRate
	// peerLoadAt is when the load of the other instances was last received, 0 if that is too long ago.
	peerLoadAt clock.Instant
	instances  int // number of instances of the region that send requests to the endpoints
	exchange   Exchange
	inFlight   int // this instance's requests at all endpoints

	partIndex     partIndex
	prefixScratch []cachedPrefix // reused by cachedPrefixes
	// departures is the rate at which this instance's requests leave the endpoints.
	departures Rate
	// placedTokens is the rate at which this instance places requests at engines, as cost in prompt tokens.
	placedTokens   Rate
	placed         Rate // of this instance's requests at engines
	withoutShare   int64
	prompts        PromptTokens
	kinds          workKinds
	typicalPrefill typicalPrefill
	gaps           gapLimits
	arrivalScratch []expectedArrival     // reused by expectedArrivals
	levelScratch   []float64             // reused by expectedArrivals
	limiter        *endpointrate.Limiter // of endpoints that accept only a rate from all instances
	notices        *endpointnotice.Register
}

// NewPool returns a pool without endpoints.
func NewPool(service *catalog.Service, limiter *endpointrate.Limiter) *Pool {
	return &Pool{service: service, endpoints: make(map[string]*Endpoint), prefillRate: newPrefillRate(), limiter: limiter,
		partIndex: make(partIndex)}
}

// Configure replaces the declaration of the service, which may become one with engines or a plain one. Requests in progress go on.
func (p *Pool) Configure(service *catalog.Service) {
	p.service = service
	for _, e := range p.endpoints {
		p.configureCache(e)
	}
}

// configureCache makes the endpoint have a prefix cache of the declared size if it is an engine, and none otherwise.
func (p *Pool) configureCache(e *Endpoint) {
	engine := p.service.Engine
	switch {
	case engine == nil:
		e.dropCache()
	case e.cache == nil:
		e.cache = newPrefixCache(e, p.partIndex, engine.KVCacheTokens)
	default:
		e.cache.resize(engine.KVCacheTokens)
	}
}

// dropCache removes the prefix cache of an endpoint that has gone or is no engine. A first event of one of its requests may still arrive.
func (e *Endpoint) dropCache() {
	if e.cache != nil {
		e.cache.clear()
		e.cache = nil
	}
}

// SetEndpoints replaces the endpoints that may be used. The state of an endpoint is kept as long as its incarnation is the same.
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
		if next[id] != e {
			e.dropCache()
		}
	}
	p.endpoints = next
	p.order = p.order[:0]
	for _, e := range next {
		p.order = append(p.order, e)
	}
	slices.SortFunc(p.order, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	p.health = p.health[:0]
	p.kinds.rank(p.order)
	for i, e := range p.order {
		e.index = i
		p.health = append(p.health, &e.Health)
	}
}

func (p *Pool) newEndpoint(described catalog.Endpoint) *Endpoint {
	e := &Endpoint{Endpoint: described, ownRequests: make(map[string]*placedRequest)}
	p.configureCache(e)
	return e
}

// Endpoint returns the endpoint with the given ID, or nil.
func (p *Pool) Endpoint(id string) *Endpoint { return p.endpoints[id] }

// SetPeerLoad replaces the load of the other instances of the region at each endpoint, and the number of instances of the region
// that send requests, including this one.
func (p *Pool) SetPeerLoad(now clock.Instant, load map[string]Load, instances int) {
	p.peerLoadAt, p.instances = now, instances
	p.updateKinds(now)
	for _, e := range p.order {
		e.peerLoad = load[e.ID]
		e.share.begin(len(e.ownRequests))
	}
}

// expirePeerLoad drops the load of other instances when it is older than PeerLoadMaxAge.
func (p *Pool) expirePeerLoad(now clock.Instant) {
	if p.peerLoadAt == 0 || now.Sub(p.peerLoadAt) <= PeerLoadMaxAge {
		return
	}
	p.SetPeerLoad(0, nil, p.instances)
}

// RecordCached records that an endpoint holds the given prompt parts from availableAt on, as reported by the endpoint or because
// another instance has sent it a request. The most recently used parts come last.
func (p *Pool) RecordCached(endpoint string, parts []PromptPart, availableAt clock.Instant) {
	if e := p.endpoints[endpoint]; e != nil && e.cache != nil {
		e.cache.use(parts, availableAt)
	}
}

// OwnLoad calls f for each endpoint with the load that this instance has put on it.
func (p *Pool) OwnLoad(f func(endpoint string, load Load)) {
	shared := p.kinds.paceReported > 0
	for _, e := range p.order {
		load := e.ownLoad()
		if !shared {
			load.GapLimited = 0 // of no use to others
		}
		f(e.ID, load)
	}
}

// load returns the load of all instances at an endpoint.
func (e *Endpoint) load() Load {
	return e.ownLoad().Plus(e.peerLoad)
}

// ownLoad returns the load that this instance has put on an endpoint.
func (e *Endpoint) ownLoad() Load {
	return Load{Requests: len(e.ownRequests), PendingPrefill: e.ownPrefill, Memory: e.ownMemory, GapLimited: e.gaps.requests}
}

// Choice is the chosen endpoint of a request.
type Choice struct {
	Endpoint *Endpoint
	// Incarnation and Addr are those at the time of the choice: SetEndpoints may replace the endpoint's description while the
	// request is in progress.
	catalog.Incarnation
	Addr string
	// Wait is the expected time until an engine's first event; 0 for a plain endpoint.
	Wait time.Duration
	// CopyFrom is the address of an endpoint from which the chosen one should copy prompt parts, or empty.
	CopyFrom string
	// PrefillTokens and CopiedTokens are the prompt tokens that the endpoint has to process and those that it copies from
	// another endpoint.
	PrefillTokens, CopiedTokens float64
	Pace                        float64 // pace factor of the engine, 0 if it is not known
	// KeptFromStreams says that an engine was passed over because the prompt would disturb streams there.
	KeptFromStreams bool
	// RateLimited says that the endpoint accepted only a request rate when it was chosen, and Rate is that rate per second.
	RateLimited bool
	Rate        float64
}

// Reason says why no endpoint was chosen. The values appear in logs and messages.
type Reason string

const (
	NoEndpoint  Reason = "no-endpoint"  // none is listed, or all are excluded, draining or ejected
	AllWithheld Reason = "all-withheld" // those that could be chosen ask for no requests
	AllBusy     Reason = "all-busy"     // all usable endpoints have reached their limit of slots, memory or waiting time
	AllLimited  Reason = "all-limited"  // usable endpoints accept only a request rate, of which this instance may use no more for now
)

// Transient reports whether an endpoint is expected to become available soon.
func (r Reason) Transient() bool { return r == AllBusy || r == AllLimited }

// Constraint restricts a choice.
type Constraint struct {
	// Excluded reports whether an endpoint must not be chosen because it was tried before. nil: none is excluded.
	Excluded func(id string) bool
	// MaxWait is the longest expected prefill time at an engine that has other prompts to process first. 0: no limit.
	MaxWait time.Duration
	// Queued says that requests wait at this instance.
	Queued bool
	// Waited is how long the request has waited for an endpoint.
	Waited time.Duration
}

// Choose returns the endpoint with the lowest cost that may take the request now, or the reason why there is none.
func (p *Pool) Choose(now clock.Instant, req *Request, c Constraint) (Choice, Reason) {
	best, bestCost := Choice{}, math.Inf(1)
	reason := NoEndpoint
	p.expirePeerLoad(now)
	ejected := routing.Ejected(p.health, now)
	prefixes := p.cachedPrefixes(now, req.Parts)
	source := p.bestCopySource(prefixes, ejected)
	sharing := p.slotSharing(now)
	arrivals := p.expectedArrivals(now, ejected)
	contenders := p.contenders(now, c.Queued)
	onlyOwnKind := p.kinds.separated(now) && c.Waited < maxKindWait && p.anyOfKind(now, req, ejected, c.Excluded)
	protects := p.protectsStreams(now)
	spare := protects && p.undisturbedEngine(now, &c, ejected)
	maxTokens := math.Inf(1) // tokens that are processed within MaxWait
	if c.MaxWait > 0 {
		maxTokens = p.prefillRate.tokensIn(c.MaxWait)
	}
	lacksShare := false // at some engine, only a share of its free capacity
	kept := false       // an engine was passed over for its streams
	for i, e := range p.order {
		if e.Draining || ejected[i] || c.Excluded != nil && c.Excluded(e.ID) {
			continue
		}
		if !p.accepts(now, e) {
			if reason == NoEndpoint {
				reason = AllWithheld
			}
			continue
		}
		if onlyOwnKind && !p.kinds.suits(e, req) {
			reason = mostTransient(reason, AllBusy)
			continue
		}
		load, cached := p.loadAt(now, e), prefixes[i].tokens
		maxTokens := p.engineTokensIn(now, e, c.MaxWait, maxTokens)
		if e.Health.Probing() && len(e.ownRequests) > 0 || !p.hasCapacity(now, e, load, req, cached, sharing) {
			reason = mostTransient(reason, AllBusy)
			continue
		}
		if !p.withinRate(now, e) {
			reason = mostTransient(reason, AllLimited)
			continue
		}
		if arrivals != nil && !p.withinShare(e, req, cached, maxTokens, contenders) {
			reason = mostTransient(reason, AllBusy)
			lacksShare = true
			continue
		}
		copied := p.tokensFor(e, source, cached)
		prefill := max(0, req.PromptTokens-cached-copied)
		if protects && !p.admitsPrompt(now, e, load.PendingPrefill, prefill, spare) {
			reason, kept = mostTransient(reason, AllBusy), true
			continue
		}
		tokens, cost := p.cost(now, e, load, req, prefill, copied, sharing)
		if arrivals != nil {
			cost += arrivals[i].cost(req, e)
		}
		if tokens > maxTokens && load.PendingPrefill > maxTokens*backlogFraction {
			reason = mostTransient(reason, AllBusy)
			continue
		}
		if cost < bestCost {
			best, bestCost = Choice{Endpoint: e, Incarnation: e.Incarnation, Addr: e.Addr, Wait: p.wait(now, e, tokens), PrefillTokens: prefill, CopiedTokens: copied}, cost
			if copied > 0 {
				best.CopyFrom = source.endpoint.Addr
			}
		}
	}
	if best.Endpoint == nil {
		if lacksShare {
			p.withoutShare++
		}
		return best, reason
	}
	best.KeptFromStreams = kept
	best.Rate, best.RateLimited = p.rateLimit(now, best.Endpoint)
	if best.Endpoint.pace.At > 0 {
		best.Pace = best.Endpoint.pace.Value(now)
	}
	return best, ""
}

// PromptTokens are the prompt tokens of this instance's requests since the start, as expected when each was placed.
type PromptTokens struct {
	Prefilled, Copied float64
	Cached            float64 // held by the engine already
}

func (t *PromptTokens) add(c Choice, req *Request) {
	t.Prefilled += c.PrefillTokens
	t.Copied += c.CopiedTokens
	t.Cached += req.PromptTokens - c.PrefillTokens - c.CopiedTokens
}

// PromptTokens returns what engines had to process of the prompts, what they copied and what they held.
func (p *Pool) PromptTokens() PromptTokens { return p.prompts }

// WithoutShare returns how many choices have found no engine although one had capacity of which this instance had used its share.
func (p *Pool) WithoutShare() int64 { return p.withoutShare }

// mostTransient returns AllBusy if one of the reasons is, else b: a busy endpoint becomes available soonest, when a request
// ends.
func mostTransient(a, b Reason) Reason {
	if a == AllBusy {
		return a
	}
	return b
}

// hasCapacity reports whether the endpoint has a slot and memory for the request. cached is the number of prompt tokens that it
// holds already.
func (p *Pool) hasCapacity(now clock.Instant, e *Endpoint, load Load, req *Request, cached float64, sharing slotSharing) bool {
	if req.MaxTokenTime > 0 && load.Requests >= minBatchForLimit && e.tokenTime.value(now) > req.MaxTokenTime {
		return false
	}
	if engine := p.service.Engine; engine != nil {
		need := req.PromptTokens - cached + req.OutputTokens
		return load.Requests < e.Slots && (load.Requests == 0 || load.Memory+need <= usableMemory*engine.KVCacheTokens)
	}
	if sharing.scarce {
		return float64(p.inFlight) < sharing.ownLimit
	}
	return float64(load.Requests) < math.Ceil(float64(e.Slots)*(1+extraSlots))
}

// slotSharing says how the instances of a region share the slots of a plain service.
type slotSharing struct {
	scarce   bool    // so few slots per instance that each keeps to its share
	ownLimit float64 // limit for requests of this instance in progress if scarce
	requests int     // requests of all instances that are known at all endpoints
}

// slotSharing returns how the slots of a plain service are shared.
func (p *Pool) slotSharing(now clock.Instant) slotSharing {
	if p.service.Engine != nil {
		return slotSharing{}
	}
	slots, running := 0, 0
	for _, e := range p.order {
		if !p.accepts(now, e) {
			continue
		}
		slots += e.Slots
		running += e.load().Requests
	}
	share := float64(slots) * (1 + extraSlots) * p.callerShare()
	mine := math.Max(1, share)
	if float64(running) < float64(slots)*idleFraction {
		mine++
	}
	return slotSharing{scarce: share < minSlotsPerInstance, ownLimit: mine, requests: running}
}

// spread returns a pseudo-random number from 0 up to 1 for a request at an endpoint. It distributes requests over endpoints that
// would otherwise cost the same.
func spread(request, endpoint string) float64 {
	return float64(xxhash.Sum64String(request+"/"+endpoint)>>11) / (1 << 53)
}

// copySource is the endpoint that holds the longest prefix of a prompt that other endpoints can copy.
type copySource struct {
	endpoint *Endpoint
	tokens   float64
}

// bestCopySource returns the endpoint to copy a prompt from, or none if engines of the service cannot copy. cached is what each
// endpoint holds of the prompt; ejected endpoints are left out.
func (p *Pool) bestCopySource(cached []cachedPrefix, ejected []bool) copySource {
	engine := p.service.Engine
	if engine == nil || engine.CopyRate <= 0 {
		return copySource{}
	}
	var best copySource
	for i, e := range p.order {
		if ejected[i] || p.notices.Notice(e.Incarnation).Leaving {
			continue
		}
		if tokens := cached[i].copyable; tokens > best.tokens {
			best = copySource{endpoint: e, tokens: tokens}
		}
	}
	return best
}

// tokensFor returns the number of prompt tokens that e should copy from the source, beyond the cached ones that it holds itself;
// 0 if copying is not worth it.
func (p *Pool) tokensFor(e *Endpoint, h copySource, cached float64) float64 {
	if h.endpoint == nil || h.endpoint == e {
		return 0
	}
	if more := h.tokens - cached; p.copyOf(more).Worthwhile(more) {
		return more
	}
	return 0
}

// copyOf returns the cost of copying cached tokens between engines.
func (p *Pool) copyOf(tokens float64) prefixvalue.Copy {
	if tokens <= 0 || p.service.Engine == nil {
		return prefixvalue.Copy{}
	}
	return prefixvalue.CopyOf(tokens, p.prefillRate.tokensIn(time.Second), p.service.Engine.CopyRate)
}

// backlogFraction is the fraction of the tokens processed within MaxWait up to which an engine's prefill backlog does not count.
// A prompt that takes longer than MaxWait by itself can thus be placed at an almost idle engine.
const backlogFraction = 0.25

const (
	// toleratedBacklog is the number of tokens to prefill at an engine that hardly delays a further request: about 100 ms of
	// processing, a small part of usual latency objectives.
	toleratedBacklog = 6000.0
	// toleratedWeight is the cost of such a token relative to one that is processed for the request itself. It keeps requests at
	// the endpoints that hold their parts while engines have time, and spreads them when engines have none.
	toleratedWeight = 0.3
	// overdueMargin is how late a first event may be, while the engine gives no other output, before the engine counts as
	// unresponsive: some steps of a crowded batch that processes a large prompt.
	overdueMargin = 150 * time.Millisecond
)

// backlogCost returns the cost of waiting for a backlog of prompt tokens.
func backlogCost(tokens float64) float64 {
	return tokens - (1-toleratedWeight)*min(tokens, toleratedBacklog)
}

// cost returns the prompt tokens that the endpoint processes until it is done with those of the request, and the cost of the
// request there, which is comparable within the pool. prefill and copied are the prompt tokens of the request that the endpoint
// has to process and to copy.
func (p *Pool) cost(now clock.Instant, e *Endpoint, load Load, req *Request, prefill, copied float64, sharing slotSharing) (tokens, cost float64) {
	if p.service.Engine == nil {
		cost = float64(load.Requests + 1)
		if sharing.scarce {
			// The spread is needed because all instances see the same difference between endpoints at the same time.
			cost += spread(req.ID, e.ID) * spreadWidth * float64(sharing.requests)
		}
		return 0, cost / float64(e.Slots)
	}
	overdue, backlog := 0.0, backlogCost(load.PendingPrefill)
	if d := e.unresponsiveFor(now); d > 0 {
		overdue, backlog = p.prefillRate.tokensIn(d), load.PendingPrefill
	}
	copying := p.copyOf(copied)
	tokens = overdue + load.PendingPrefill + prefill + copying.Wait
	return tokens, overdue + backlog + prefill + copying.Cost + requestCost*float64(load.Requests) + p.paceCost(now, e, tokens)
}

// unresponsiveFor returns for how long an engine's first event has been overdue while the engine gave no output at all: it is
// unreachable, hangs or is far slower than the others. Its connections show that only a second or more later.
func (e *Endpoint) unresponsiveFor(now clock.Instant) time.Duration {
	if len(e.notStarted) == 0 {
		return 0
	}
	return max(0, now.Sub(max(e.notStarted[0].firstEventDue, e.lastOutput))-overdueMargin)
}

// wait returns the expected time until an engine's first event if it processes the given number of tokens before it; 0 for a
// plain endpoint.
func (p *Pool) wait(now clock.Instant, e *Endpoint, tokens float64) time.Duration {
	if p.service.Engine == nil {
		return 0
	}
	return p.fixedTime(now, e) + p.enginePrefillTime(now, e, tokens)
}

// fixedTime returns the expected time to an engine's first event beside the prefill: a first event holds several output tokens,
// and each takes the engine's current time per token, which grows with the prompts that are processed meanwhile. It is 0 for a plain endpoint.
func (p *Pool) fixedTime(now clock.Instant, e *Endpoint) time.Duration {
	if p.service.Engine == nil {
		return 0
	}
	return max(e.pace.spell(now).stretch(firstEventFixed), saturate.Duration(p.service.Engine.EventTokens*float64(e.tokenTime.value(now))))
}

// PrefillTime returns how long an engine of the pool's mean speed takes to process the given number of prompt tokens, based on measurements.
func (p *Pool) PrefillTime(tokens float64) time.Duration { return p.prefillRate.timeFor(tokens) }

// Cold reports whether the endpoint accepts only its service's cold rate at the moment.
func (e *Endpoint) Cold(now clock.Instant) bool { return now.Before(e.ColdUntil) }

// rateLimit returns the request rate that the endpoint accepts from all instances, and false if it has no limit.
func (p *Pool) rateLimit(now clock.Instant, e *Endpoint) (perSecond float64, limited bool) {
	return p.limiter.Rate(e.Incarnation, e.Cold(now), p.service.ColdRate)
}

// RateLimited returns the ids of the endpoints that accept only a request rate, nil if there are none.
func (p *Pool) RateLimited(now clock.Instant) map[string]bool {
	var out map[string]bool
	for _, e := range p.order {
		if _, limited := p.rateLimit(now, e); !limited {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[e.ID] = true
	}
	return out
}

// withinRate reports whether this instance may send a request to the endpoint now, if that accepts only a rate.
func (p *Pool) withinRate(now clock.Instant, e *Endpoint) bool {
	perSecond, limited := p.rateLimit(now, e)
	return !limited || p.limiter.Senders.MaySend(now, e.ID, perSecond)
}

// expect returns what is expected of the request at the chosen endpoint.
func (p *Pool) expect(now clock.Instant, c Choice, req Request) *placedRequest {
	e := c.Endpoint
	placed := &placedRequest{request: req, sentAt: now}
	if e.cache == nil {
		return placed
	}
	placed.prefill, placed.gapLimit = c.PrefillTokens, req.MaxEventGap
	placed.memory = placed.prefill + req.OutputTokens
	load := e.load()
	placed.backlog = load.PendingPrefill + placed.prefill
	placed.unknownBacklog, placed.paceFactor = p.unknownBacklog(now, e, load.Requests), e.pace.Value(now)
	placed.fixedTime = p.fixedTime(now, e)
	placed.firstEventDue = now.Add(placed.fixedTime + p.enginePrefillTime(now, e, placed.backlog+placed.unknownBacklog))
	return placed
}

// RecordSent records that the request is sent to the chosen endpoint.
func (p *Pool) RecordSent(now clock.Instant, c Choice, req Request) {
	e := c.Endpoint
	placed := p.expect(now, c, req)
	if _, limited := p.rateLimit(now, e); limited {
		p.limiter.Senders.RecordSent(now, e.ID)
	}
	if e.ownRequests[req.ID] == nil {
		p.inFlight++
	}
	if before := e.ownRequests[req.ID]; before != nil {
		delete(e.ownRequests, req.ID)
		e.removeGapLimit(before.gapLimit)
	}
	e.ownRequests[req.ID] = placed
	e.addGapLimit(placed.gapLimit)
	p.gaps.add(now, placed.gapLimit)
	e.ownPrefill += placed.prefill
	e.ownMemory += placed.memory
	if e.cache != nil {
		e.notStarted = append(e.notStarted, placed)
		e.cache.use(req.Parts, placed.firstEventDue)
		e.share.used = e.share.used.Plus(Load{Requests: 1, PendingPrefill: placed.prefill, Memory: placed.memory})
		p.placedTokens.AddAmount(now, placed.prefill+requestCost)
		p.placed.Add(now)
		p.kinds.recordPlaced(now, &req, placed.prefill)
		p.typicalPrefill.add(placed.prefill)
		p.prompts.add(c, &req)
	}
}

// RecordFirstEvent records the first event of a request at an engine and updates the measured prefill rate.
func (p *Pool) RecordFirstEvent(now clock.Instant, e *Endpoint, id string) {
	placed := e.ownRequests[id]
	if placed == nil || placed.started {
		return
	}
	placed.started = true
	e.ownPrefill -= placed.prefill
	e.lastOutput = now
	e.removeNotStarted(placed)
	if e.cache != nil {
		e.cache.use(placed.request.Parts, now)
	}
	p.recordPrefill(now, e, placed)
}

// removeNotStarted removes a request from those without a first event.
func (e *Endpoint) removeNotStarted(placed *placedRequest) {
	if i := slices.Index(e.notStarted, placed); i >= 0 {
		e.notStarted = slices.Delete(e.notStarted, i, i+1)
	}
}

// RecordEnd records that a request has left the endpoint, whatever the outcome.
func (p *Pool) RecordEnd(now clock.Instant, e *Endpoint, id string) {
	placed := e.ownRequests[id]
	if placed == nil {
		return
	}
	delete(e.ownRequests, id)
	e.removeGapLimit(placed.gapLimit)
	p.inFlight--
	p.departures.Add(now)
	if !placed.started {
		e.ownPrefill -= placed.prefill
		e.removeNotStarted(placed)
	}
	e.ownMemory -= placed.memory
	if len(e.ownRequests) == 0 {
		e.ownPrefill, e.ownMemory = 0, 0 // don't keep rounding errors
	}
}

// Summary is the load of the pool as other regions need it.
type Summary struct {
	Usable int // endpoints that can serve the request now or when requests there have ended
	Free   int // endpoints that can take the request now
	// Limited is the number of endpoints that accept only a request rate, of which this instance may use no more for now.
	Limited int
	// Withheld is the number of endpoints that ask for no requests.
	Withheld int
	Wait     time.Duration // shortest expected time to a first event over the usable endpoints, as if each had a free slot
	// DepartureRate is the number of this instance's requests that leave the endpoints per second.
	DepartureRate float64
}

// Summarise returns the load of the pool for a request, without the excluded endpoints. For a request without prompt, Wait is
// that of a prompt whose parts are all cached.
func (p *Pool) Summarise(now clock.Instant, req *Request, excluded func(id string) bool) Summary {
	s := Summary{}
	p.expirePeerLoad(now)
	ejected := routing.Ejected(p.health, now)
	prefixes := p.cachedPrefixes(now, req.Parts)
	source := p.bestCopySource(prefixes, ejected)
	sharing := p.slotSharing(now)
	shortest := time.Duration(math.MaxInt64)
	for i, e := range p.order {
		if e.Draining || ejected[i] || excluded(e.ID) {
			continue
		}
		if !p.accepts(now, e) {
			s.Withheld++
			continue
		}
		if !p.withinRate(now, e) {
			s.Limited++
			continue
		}
		load, cached := p.loadAt(now, e), prefixes[i].tokens
		s.Usable++
		if p.hasCapacity(now, e, load, req, cached, sharing) {
			s.Free++
		}
		copied := p.tokensFor(e, source, cached)
		tokens, _ := p.cost(now, e, load, req, max(0, req.PromptTokens-cached-copied), copied, sharing)
		shortest = min(shortest, p.wait(now, e, tokens))
	}
	if s.Usable > 0 {
		s.Wait = shortest
	}
	s.DepartureRate = p.departures.Value(now)
	return s
}
