package dispatch

import (
	"context"
	"strings"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/admission"
	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
)

// request describes a request for the queue and the choice of an endpoint.
type request struct {
	organisation string
	weight       float64
	class        fairqueue.Class
	promptTokens float64
	tokens       float64 // prompt tokens and expected output tokens
	prefixBlocks []uint64
	avoid        map[*endpoint]bool // endpoints that failed this request
	leaveQueue   func() bool        // see ModelCall.LeaveQueue
}

// leaveQueuePeriod is the time between two calls of ModelCall.LeaveQueue. Forwarding to another region costs at least 160 ms, so a
// shorter period would not help.
const leaveQueuePeriod = 250 * time.Millisecond

// waiter is a request in the queue. Exactly one value is sent on ready when it is taken from the queue by grantSlots or rejectAll.
type waiter struct {
	request *request
	since   clock.Instant
	limit   time.Duration
	ready   chan grant
}

type grant struct {
	slot *slot
	err  *Error
}

// slot is a place in an endpoint's batch, held by one attempt until it is released.
type slot struct {
	endpoint *endpoint
	pool     *pool
	tokens   float64
	prefill  float64 // prompt tokens that were not expected in the endpoint's prefix cache, 0 once the prefill is done
}

// overflowWait is the wait after which a request is sent to an endpoint whose batch is filled by other instances, as long as this instance
// has less than its share of the slots. An instance knows at once of the slots that it frees itself, but of those that others free only
// with the next load report, so a busy instance could otherwise keep this one from getting a slot indefinitely.
const overflowWait = time.Second

// belowShare reports whether this instance uses less than its share of the pool's slots. The caller holds d.mu.
func (d *Dispatcher) belowShare(p *pool) bool {
	slots, own := 0, 0
	for _, e := range p.endpoints {
		if d.acceptsRequests(e) {
			slots += e.config.Slots
			own += e.state.inFlight
		}
	}
	return own < max(slots/max(d.opts.InstanceCount(), 1), 1)
}

// allowedWait returns how long a request may wait: the limit of its class, or the time to its deadline if that is shorter.
func (d *Dispatcher) allowedWait(ctx context.Context, class fairqueue.Class) time.Duration {
	allowed := d.opts.ShortWait
	if class == fairqueue.Long {
		allowed = d.opts.LongWait
	}
	if deadline, ok := ctx.Deadline(); ok {
		allowed = min(allowed, time.Until(deadline))
	}
	return allowed
}

// acquire returns a slot at an endpoint, waiting in the fair queue if all batches are full. The error is *Error or the cause of the
// context; no byte has been sent in either case.
func (d *Dispatcher) acquire(ctx context.Context, poolName string, r *request) (*slot, error) {
	d.mu.Lock()
	p := d.pools[poolName]
	if p == nil || len(p.endpoints) == 0 {
		d.mu.Unlock()
		return nil, noEndpoint("no endpoint of this region serves the request")
	}
	now := d.opts.Clock.Now()
	if p.queue.Len() == 0 {
		if s := d.takeSlot(p, r, now, false); s != nil {
			d.mu.Unlock()
			return s, nil
		}
	}
	allowed := d.allowedWait(ctx, r.class)
	if err := d.checkMayWait(p, r, now, allowed); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	wt := &waiter{request: r, since: now, limit: allowed, ready: make(chan grant, 1)}
	item := &fairqueue.Item[*waiter]{
		Organisation: r.organisation, Weight: r.weight, Class: r.class, Tokens: r.tokens, Value: wt,
	}
	p.drainRate.MarkBusy(now)
	p.queue.Push(item)
	d.mu.Unlock()
	return d.await(ctx, p, item)
}

// checkMayWait returns an error for a request that must not be queued: no endpoint accepts requests, the queue is full, or the estimated
// wait exceeds the allowed one. The caller holds d.mu.
func (d *Dispatcher) checkMayWait(p *pool, r *request, now clock.Instant, allowed time.Duration) error {
	if !d.hasOpenEndpoint(p) {
		return noEndpoint("all endpoints for the request are leaving")
	}
	if p.queue.Len() >= d.opts.MaxQueued {
		return overloaded("too many requests wait for the model", time.Second)
	}
	wait, known := d.estimateWait(p, r, now)
	if dec := admission.Decide(wait, known, allowed); !dec.Admit {
		d.metrics.shed.Inc(1)
		return overloaded("the request would wait longer than it may", dec.RetryAfter)
	}
	return nil
}

func (d *Dispatcher) estimateWait(p *pool, r *request, now clock.Instant) (time.Duration, bool) {
	if p.queue.Len() == 0 {
		return 0, false
	}
	return p.drainRate.EstimateWait(now, p.queue.TokensAhead(r.organisation, r.weight, r.class, r.tokens))
}

func (d *Dispatcher) await(ctx context.Context, p *pool, item *fairqueue.Item[*waiter]) (*slot, error) {
	wt := item.Value
	g, err := d.awaitGrant(ctx, wt)
	if err == nil {
		return g.result()
	}
	d.mu.Lock()
	waiting := p.queue.Remove(item)
	d.markIdleIfEmpty(p)
	d.mu.Unlock()
	if waiting {
		return nil, err
	}
	// The request was granted a slot or rejected at the same time.
	s, rejected := (<-wt.ready).result()
	if rejected != nil {
		return nil, rejected
	}
	d.release(s)
	return nil, err
}

// awaitGrant waits for a grant until the limit, the end of the context, or the decision to leave for another region.
func (d *Dispatcher) awaitGrant(ctx context.Context, wt *waiter) (grant, error) {
	limit := time.NewTimer(wt.limit)
	defer limit.Stop()
	again := time.NewTicker(leaveQueuePeriod)
	defer again.Stop()
	for {
		select {
		case g := <-wt.ready:
			return g, nil
		case <-limit.C:
			d.metrics.shed.Inc(1)
			return grant{}, overloaded("no endpoint was free in time", time.Second)
		case <-ctx.Done():
			return grant{}, context.Cause(ctx)
		case <-again.C:
			if wt.request.leaveQueue != nil && wt.request.leaveQueue() {
				return grant{}, errLeftQueue
			}
		}
	}
}

func (g grant) result() (*slot, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.slot, nil
}

// grantSlots gives free slots to waiting requests in the queue's order. The caller holds d.mu.
func (d *Dispatcher) grantSlots(p *pool) {
	now := d.opts.Clock.Now()
	if p.queue.Len() > 0 && !d.hasOpenEndpoint(p) {
		d.rejectAll(p)
	}
	for {
		item := p.queue.Peek()
		if item == nil {
			break
		}
		wt := item.Value
		s := d.takeSlot(p, wt.request, now, now.Sub(wt.since) > overflowWait && d.belowShare(p))
		if s == nil {
			break
		}
		p.queue.Pop()
		p.drainRate.RecordDrained(now, item.Tokens)
		wt.ready <- grant{slot: s}
	}
	d.markIdleIfEmpty(p)
}

// rejectAll rejects all waiting requests of a pool that has no endpoint left.
func (d *Dispatcher) rejectAll(p *pool) {
	for item := p.queue.Pop(); item != nil; item = p.queue.Pop() {
		item.Value.ready <- grant{err: noEndpoint("all endpoints for the request are leaving")}
	}
}

// hasOpenEndpoint reports whether an endpoint of the pool accepts new requests.
func (d *Dispatcher) hasOpenEndpoint(p *pool) bool {
	for _, e := range p.endpoints {
		if d.acceptsRequests(e) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) markIdleIfEmpty(p *pool) {
	if p.queue.Len() == 0 {
		p.drainRate.MarkIdle(d.opts.Clock.Now())
	}
}

// takeSlot takes a slot for the request, or returns nil if there is none. With overflow, batches that are filled by other instances count
// as free. The caller holds d.mu.
func (d *Dispatcher) takeSlot(p *pool, r *request, now clock.Instant, overflow bool) *slot {
	var open []*endpoint
	var health []*routing.Health
	for _, e := range p.endpoints {
		if d.acceptsRequests(e) {
			open = append(open, e)
			health = append(health, &e.state.health)
		}
	}
	ejected := routing.Ejected(health, now)
	slowness := routing.Slowness(health)
	cands := make([]routing.Candidate, len(open))
	for i, e := range open {
		cands[i] = d.candidate(e, r, now, overflow)
		cands[i].Ejected = ejected[i]
		cands[i].Slowness = slowness[i]
	}
	i := d.opts.Chooser.Choose(cands, r.promptTokens, false, d.rng)
	if i < 0 {
		return nil
	}
	e := open[i]
	d.metrics.attempts.Inc(1)
	e.state.inFlight++
	e.state.unpublished = true
	prefill := max(r.promptTokens-cands[i].CachedTokens, 0)
	e.state.prefill += prefill
	e.state.prefix.Stored(r.prefixBlocks, now)
	return &slot{endpoint: e, pool: p, tokens: r.tokens, prefill: prefill}
}

// prefillDone records that the endpoint has processed the prompt.
func (d *Dispatcher) prefillDone(s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.removePrefill()
}

// removePrefill subtracts the slot's prompt from the pending prefill at the endpoint. The caller holds d.mu.
func (s *slot) removePrefill() {
	if s.prefill != 0 {
		s.endpoint.state.unpublished = true
	}
	s.endpoint.state.prefill -= s.prefill
	s.prefill = 0
}

// otherDataCentreCost is the cost, in tokens, of an endpoint in another data centre of the region. It equals about 1 ms of prefill.
const otherDataCentreCost = 16

func (d *Dispatcher) candidate(e *endpoint, r *request, now clock.Instant, overflow bool) routing.Candidate {
	peerLoad := d.peerLoadAt(e, now)
	c := routing.Candidate{
		Name:         e.config.Name,
		Slots:        e.config.Slots,
		InFlight:     e.state.inFlight,
		PeerInFlight: peerLoad.requests,
		Reported:     e.state.reportedRequests,
		QueuedTokens: peerLoad.prefill + e.state.prefill,
		CachedTokens: e.state.prefix.CachedTokens(r.prefixBlocks, now),
		Failures:     e.state.health.Failures(now),
		Avoid:        r.avoid[e],
	}
	if e.state.health.Probing() {
		c.Slots = 1
	}
	if overflow {
		c.PeerInFlight = min(c.PeerInFlight, max(c.Slots-c.InFlight-1, 0))
	}
	if e.config.DataCentre != d.opts.DataCentre {
		c.Distance = otherDataCentreCost
	}
	return c
}

// maxReportAge is the age up to which a load report is used for the load of other instances.
const maxReportAge = 5 * time.Second

// reportedPeerLoad returns the load of other instances from the last load report, which is 0 if that is too old.
func (l *endpointState) reportedPeerLoad(now clock.Instant) ownLoad {
	if !l.reported || now.Sub(l.reportedAt) > maxReportAge {
		return ownLoad{}
	}
	return ownLoad{requests: l.peerRequests, prefill: l.peerPrefill}
}

// release returns a slot and grants free slots to waiting requests.
func (d *Dispatcher) release(s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.removePrefill()
	s.endpoint.state.inFlight--
	s.endpoint.state.unpublished = true
	d.grantSlotsInAllPools()
}

// grantSlotsInAllPools gives free slots to waiting requests of all pools. The caller holds d.mu.
func (d *Dispatcher) grantSlotsInAllPools() {
	for _, p := range d.pools {
		if p.queue.Len() > 0 {
			d.grantSlots(p)
		}
	}
}

// recordOutcome records the result of an attempt in the endpoint's health. pace is its duration in seconds per token of a model call, or
// in seconds for a service call; 0 if unknown.
func (d *Dispatcher) recordOutcome(e *endpoint, ok bool, pace float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		e.state.health.Succeeded(pace)
		return
	}
	d.metrics.failures.Inc(1)
	e.state.health.Failed(d.opts.Clock.Now())
}

// EstimateWait returns the estimated time that a request would wait for an endpoint of the model in this region, 0 if unknown.
func (d *Dispatcher) EstimateWait(model, organisation string, weight float64, class fairqueue.Class, tokens float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[model]
	if p == nil {
		return 0
	}
	r := &request{organisation: organisation, weight: weight, class: class, tokens: tokens}
	wait, _ := d.estimateWait(p, r, d.opts.Clock.Now())
	return wait
}

// PoolLoad is the load of the endpoints that serve a model or a plain service.
type PoolLoad struct {
	Name      string
	Service   bool
	Wait      time.Duration // estimated wait for a slot; 0 if no request waits or it is unknown
	FreeSlots int           // free places in batches
}

// PoolLoads returns the load of every model and service that this region serves, in no particular order. A pool whose endpoints are all
// down is left out: having no requests in progress, it would look idle to the other regions.
func (d *Dispatcher) PoolLoads() []PoolLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	out := make([]PoolLoad, 0, len(d.pools))
	for name, p := range d.pools {
		if !d.poolIsUp(p, now) {
			continue // other regions would forward requests here that are then rejected
		}
		free := 0
		for _, e := range p.endpoints {
			if d.acceptsRequests(e) {
				free += max(e.config.Slots-e.state.inFlight-d.peerLoadAt(e, now).requests, 0)
			}
		}
		// Other regions should use the longest wait, that of the class that is served last.
		wait, _ := d.estimateWait(p, &request{weight: 1, class: fairqueue.Long}, now)
		service, isService := strings.CutPrefix(name, servicePoolPrefix)
		if isService {
			name = service
		}
		out = append(out, PoolLoad{Name: name, Service: isService, Wait: wait, FreeSlots: free})
	}
	return out
}
