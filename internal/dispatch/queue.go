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

// work is what a request is scheduled by.
type work struct {
	organisation string
	weight       float64
	class        fairqueue.Class
	prompt       float64 // tokens
	tokens       float64 // prompt and expected output
	blocks       []uint64
	avoid        map[*endpoint]bool // endpoints that failed this request
	reconsider   func() bool        // see ModelCall.Reconsider
}

// reconsiderPeriod is the time between two decisions of a waiting request whether to go to another region. A crossing costs
// at least 160 ms, so that a shorter period would not pay.
const reconsiderPeriod = 250 * time.Millisecond

// waiter is a request in the queue. Exactly one value is sent on ready.
type waiter struct {
	work  *work
	since clock.Instant
	limit time.Duration
	ready chan grant
}

type grant struct {
	lease *lease
	err   *Error
}

// lease is a place in an endpoint's batch.
type lease struct {
	endpoint *endpoint
	pool     *pool
	tokens   float64
	prefill  float64 // prompt tokens that the endpoint was believed not to hold, 0 once they are done
}

// overflowAfter is the wait after which a request goes to an endpoint whose batch is full of other instances' work, as long as
// this instance has less than its share of the places. An instance knows at once of the places that it frees itself, and of
// the others' only with the next report, so that a busy neighbour could otherwise keep this one out for ever.
const overflowAfter = time.Second

// belowShare reports whether this instance has less than its share of the pool's places. The caller holds d.mu.
func (d *Dispatcher) belowShare(p *pool) bool {
	slots, own := 0, 0
	for _, e := range p.endpoints {
		if d.takesWork(e) {
			slots += e.config.Slots
			own += e.load.inFlight
		}
	}
	return own < max(slots/max(d.opts.InstanceCount(), 1), 1)
}

// allowedWait is how long a request may wait: its class's limit, or less if its deadline is nearer.
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

// acquire returns a place at an endpoint, waiting in the fair queue if all batches are full. The error is *Error or comes
// from the context; no byte has been sent in either case.
func (d *Dispatcher) acquire(ctx context.Context, poolName string, w *work) (*lease, error) {
	d.mu.Lock()
	p := d.pools[poolName]
	if p == nil || len(p.endpoints) == 0 {
		d.mu.Unlock()
		return nil, noEndpoint("no endpoint of this region serves the request")
	}
	now := d.opts.Clock.Now()
	if p.queue.Len() == 0 {
		if l := d.place(p, w, now, false); l != nil {
			d.mu.Unlock()
			return l, nil
		}
	}
	allowed := d.allowedWait(ctx, w.class)
	if err := d.mayWait(p, w, now, allowed); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	wt := &waiter{work: w, since: now, limit: allowed, ready: make(chan grant, 1)}
	item := &fairqueue.Item[*waiter]{
		Organisation: w.organisation, Weight: w.weight, Class: w.class, Tokens: w.tokens, Value: wt,
	}
	p.drain.Busy(now)
	p.queue.Push(item)
	d.mu.Unlock()
	return d.await(ctx, p, item)
}

// mayWait refuses a request that would wait longer than it may.
func (d *Dispatcher) mayWait(p *pool, w *work, now clock.Instant, allowed time.Duration) error {
	if !d.usable(p) {
		return noEndpoint("all endpoints for the request are leaving")
	}
	if p.queue.Len() >= d.opts.MaxQueued {
		return overloaded("too many requests wait for the model", time.Second)
	}
	wait, known := d.wait(p, w, now)
	if dec := admission.Decide(wait, known, allowed); !dec.Admit {
		d.metrics.shed.Inc(1)
		return overloaded("the request would wait longer than it may", dec.RetryAfter)
	}
	return nil
}

func (d *Dispatcher) wait(p *pool, w *work, now clock.Instant) (time.Duration, bool) {
	if p.queue.Len() == 0 {
		return 0, false
	}
	return p.drain.Wait(now, p.queue.Ahead(w.organisation, w.weight, w.class, w.tokens))
}

func (d *Dispatcher) await(ctx context.Context, p *pool, item *fairqueue.Item[*waiter]) (*lease, error) {
	wt := item.Value
	g, err := d.awaitGrant(ctx, wt)
	if err == nil {
		return g.result()
	}
	d.mu.Lock()
	waiting := p.queue.Remove(item)
	d.settleDrain(p)
	d.mu.Unlock()
	if waiting {
		return nil, err
	}
	// The place was given at the same moment.
	l, granted := (<-wt.ready).result()
	if granted != nil {
		return nil, granted
	}
	d.release(l)
	return nil, err
}

// awaitGrant waits for a place until the limit, the end of the context, or the decision to go to another region.
func (d *Dispatcher) awaitGrant(ctx context.Context, wt *waiter) (grant, error) {
	limit := time.NewTimer(wt.limit)
	defer limit.Stop()
	again := time.NewTicker(reconsiderPeriod)
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
			if wt.work.reconsider != nil && wt.work.reconsider() {
				return grant{}, errLeftQueue
			}
		}
	}
}

func (g grant) result() (*lease, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.lease, nil
}

// pump gives free places to waiting requests in the queue's order. The caller holds d.mu.
func (d *Dispatcher) pump(p *pool) {
	now := d.opts.Clock.Now()
	if p.queue.Len() > 0 && !d.usable(p) {
		d.refuseAll(p)
	}
	for {
		item := p.queue.Peek()
		if item == nil {
			break
		}
		wt := item.Value
		l := d.place(p, wt.work, now, now.Sub(wt.since) > overflowAfter && d.belowShare(p))
		if l == nil {
			break
		}
		p.queue.Pop()
		p.drain.Drained(now, item.Tokens)
		wt.ready <- grant{lease: l}
	}
	d.settleDrain(p)
}

// refuseAll ends the wait of requests that no endpoint is left for.
func (d *Dispatcher) refuseAll(p *pool) {
	for item := p.queue.Pop(); item != nil; item = p.queue.Pop() {
		item.Value.ready <- grant{err: noEndpoint("all endpoints for the request are leaving")}
	}
}

// usable reports whether an endpoint of the pool takes new work.
func (d *Dispatcher) usable(p *pool) bool {
	for _, e := range p.endpoints {
		if d.takesWork(e) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) settleDrain(p *pool) {
	if p.queue.Len() == 0 {
		p.drain.Idle(d.opts.Clock.Now())
	}
}

// place takes a place for the work, or returns nil. With overflow, batches that are full of other instances' work count as
// free. The caller holds d.mu.
func (d *Dispatcher) place(p *pool, w *work, now clock.Instant, overflow bool) *lease {
	var open []*endpoint
	var health []*routing.Health
	for _, e := range p.endpoints {
		if d.takesWork(e) {
			open = append(open, e)
			health = append(health, &e.load.health)
		}
	}
	ejected := routing.Ejected(health, now)
	slowness := routing.Slowness(health)
	cands := make([]routing.Candidate, len(open))
	for i, e := range open {
		cands[i] = d.candidate(e, w, now, overflow)
		cands[i].Ejected = ejected[i]
		cands[i].Slowness = slowness[i]
	}
	i := d.opts.Chooser.Choose(cands, w.prompt, false, d.rng)
	if i < 0 {
		return nil
	}
	e := open[i]
	d.metrics.attempts.Inc(1)
	e.load.inFlight++
	e.load.changed = true
	prefill := max(w.prompt-cands[i].CachedTokens, 0)
	e.load.pending += prefill
	e.load.prefix.Stored(w.blocks, now)
	return &lease{endpoint: e, pool: p, tokens: w.tokens, prefill: prefill}
}

// prefilled records that the endpoint has worked through the prompt.
func (d *Dispatcher) prefilled(l *lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.dropPrefill()
}

// dropPrefill takes the prompt out of the work waiting at the endpoint. The caller holds d.mu.
func (l *lease) dropPrefill() {
	if l.prefill != 0 {
		l.endpoint.load.changed = true
	}
	l.endpoint.load.pending -= l.prefill
	l.prefill = 0
}

// otherDataCentre is the cost, in tokens, of an endpoint in another data centre of the region: about 1 ms of prefill.
const otherDataCentre = 16

func (d *Dispatcher) candidate(e *endpoint, w *work, now clock.Instant, overflow bool) routing.Candidate {
	foreign := d.foreign(e, now)
	c := routing.Candidate{
		Name:         e.config.Name,
		Slots:        e.config.Slots,
		InFlight:     e.load.inFlight,
		Foreign:      foreign.requests,
		Reported:     e.load.reportedTotal,
		QueuedTokens: foreign.tokens + e.load.pending,
		CachedTokens: e.load.prefix.Cached(w.blocks, now),
		Failures:     e.load.health.Failures(now),
		Avoid:        w.avoid[e],
	}
	if e.load.health.Probing() {
		c.Slots = 1
	}
	if overflow {
		c.Foreign = min(c.Foreign, max(c.Slots-c.InFlight-1, 0))
	}
	if e.config.DataCentre != d.opts.DataCentre {
		c.Distance = otherDataCentre
	}
	return c
}

// foreignFor is how long a report of other instances' work is believed without a newer one.
const foreignFor = 5 * time.Second

func (l *load) foreignNow(now clock.Instant) int {
	if !l.reported || now.Sub(l.reportedAt) > foreignFor {
		return 0
	}
	return l.foreign
}

// release gives a place back and lets waiting requests have it.
func (d *Dispatcher) release(l *lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.dropPrefill()
	l.endpoint.load.inFlight--
	l.endpoint.load.changed = true
	d.pumpAll()
}

// pumpAll gives free places to waiting requests of all pools. The caller holds d.mu.
func (d *Dispatcher) pumpAll() {
	for _, p := range d.pools {
		if p.queue.Len() > 0 {
			d.pump(p)
		}
	}
}

// report records how an attempt at an endpoint went. pace is in seconds per unit of work, 0 if unknown.
func (d *Dispatcher) report(e *endpoint, ok bool, pace float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		e.load.health.Succeeded(pace)
		return
	}
	d.metrics.failures.Inc(1)
	e.load.health.Failed(d.opts.Clock.Now())
}

// EstimateWait estimates how long a request would wait here for an endpoint of the model.
func (d *Dispatcher) EstimateWait(model, organisation string, weight float64, class fairqueue.Class, tokens float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[model]
	if p == nil {
		return 0
	}
	w := &work{organisation: organisation, weight: weight, class: class, tokens: tokens}
	wait, _ := d.wait(p, w, d.opts.Clock.Now())
	return wait
}

// PoolLoad is the load of the endpoints that serve a model or a plain service.
type PoolLoad struct {
	Name      string
	Service   bool
	Wait      time.Duration // expected time until work is begun; 0 if nothing waits or it is not known
	FreeSlots int           // places in batches
}

// PoolLoads returns the load of every model and service that this region serves, in no order. A pool whose endpoints are all down
// is left out: without work it would look idle to the other regions.
func (d *Dispatcher) PoolLoads() []PoolLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	out := make([]PoolLoad, 0, len(d.pools))
	for name, p := range d.pools {
		if !d.sound(p, now) {
			continue // other regions would send work here that is then declined
		}
		free := 0
		for _, e := range p.endpoints {
			if d.takesWork(e) {
				free += max(e.config.Slots-e.load.inFlight-d.foreign(e, now).requests, 0)
			}
		}
		// The class that is served last gives the longest wait, which another region should count with.
		wait, _ := d.wait(p, &work{weight: 1, class: fairqueue.Long}, now)
		service, isService := strings.CutPrefix(name, servicePrefix)
		if isService {
			name = service
		}
		out = append(out, PoolLoad{Name: name, Service: isService, Wait: wait, FreeSlots: free})
	}
	return out
}
