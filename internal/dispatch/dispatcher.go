package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/admission"
	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
)

// Dispatcher sends requests to the endpoints of its region.
type Dispatcher struct {
	opts    Options
	metrics metrics

	mu            sync.Mutex
	rng           *rand.Rand
	endpoints     map[string]*endpoint
	pools         map[string]*pool // by model, or by service with servicePoolPrefix
	budget        *admission.RetryBudget
	cancelPolling map[*endpoint]context.CancelFunc
	peerLoads     peerLoadSharing
	started       bool
	stopped       bool // no further background goroutines are started

	ctx         context.Context // context of background goroutines, cancelled by Stop
	stop        context.CancelFunc
	background  sync.WaitGroup
	unsubscribe func()
}

// pool is the group of endpoints that serve the same model or plain service, with the queue of requests waiting for them.
type pool struct {
	endpoints        []*endpoint
	queue            *fairqueue.Queue[*waiter]
	drainRate        admission.DrainRate
	meanResponseTime time.Duration // of a plain service, 0 before the first response
}

// Retry budget: one retry for ten requests, and a reserve so that an instance with few requests can retry at all.
const (
	retryRatio = 0.1
	retryBurst = 20
	// retriesPerSlot is the reserve for each batch slot in this instance's share: when all engines fail, each request in flight
	// needs a resume, a retry in this region and one in another region.
	retriesPerSlot = 3
)

// retryReserve returns the number of retries that the budget may hold. The caller holds d.mu.
func (d *Dispatcher) retryReserve() float64 {
	slots := 0
	for _, e := range d.endpoints {
		if e.config.Kind != config.KindService {
			slots += e.config.Slots
		}
	}
	return max(retryBurst, retriesPerSlot*float64(slots)/float64(max(d.opts.InstanceCount(), 1)))
}

// servicePoolPrefix distinguishes the pools of services from those of models; no model name contains a zero byte.
const servicePoolPrefix = "\x00"

// New returns a dispatcher for the endpoints of Options.Region. It registers the peer service that receives the load of other instances,
// so it must be called before the network starts.
func New(o Options) (*Dispatcher, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		opts:          o,
		metrics:       newMetrics(o.Metrics),
		rng:           rand.New(rand.NewPCG(o.Seed, 0)),
		endpoints:     map[string]*endpoint{},
		pools:         map[string]*pool{},
		budget:        admission.NewRetryBudget(retryRatio, retryBurst),
		cancelPolling: map[*endpoint]context.CancelFunc{},
		peerLoads:     newPeerLoadSharing(),
		ctx:           ctx,
		stop:          stop,
	}
	d.applyConfig(o.Source.View())
	d.unsubscribe = o.Source.Subscribe(d.applyConfig)
	if o.Network != nil {
		o.Network.Handle(loadService, d.receiveLoad)
	}
	return d, nil
}

// Start starts the polling of load reports and the other background goroutines.
func (d *Dispatcher) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
	for _, e := range d.endpoints {
		d.startPolling(e)
	}
	d.runInBackground(d.maintainLoop)
	if d.opts.Network != nil {
		d.runInBackground(d.publishLoop)
	}
}

// runInBackground runs f in the background, unless the dispatcher has stopped. The caller holds d.mu.
func (d *Dispatcher) runInBackground(f func()) {
	if !d.stopped {
		d.background.Go(f)
	}
}

// Stop ends the background goroutines and closes idle connections. Requests in progress continue, but their cancellation is no
// longer sent to engines.
func (d *Dispatcher) Stop() {
	d.unsubscribe()
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.stop()
	d.background.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		e.closeIdle()
	}
}

// applyConfig replaces the endpoints and pools with those of a configuration view.
func (d *Dispatcher) applyConfig(v configsync.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	general := v.General()
	current := map[string]*endpoint{}
	blocks := prefixBlocks(len(general.Endpoints))
	for _, c := range general.Endpoints {
		if c.Region != d.opts.Region {
			continue
		}
		c.Drain = general.Drained(&c)
		current[c.Name] = d.updateEndpoint(c, blocks)
	}
	for name, old := range d.endpoints {
		if current[name] != old {
			d.removeEndpoint(old)
		}
	}
	d.endpoints = current
	d.budget.Resize(d.retryReserve())
	d.buildPools(general)
	for _, p := range d.pools {
		d.grantSlots(p)
	}
}

// updateEndpoint returns the endpoint for a configuration entry. An existing one keeps its connections and state unless its address
// or kind has changed.
func (d *Dispatcher) updateEndpoint(c config.Endpoint, blocks int) *endpoint {
	e := d.endpoints[c.Name]
	if e == nil || e.config.Addr != c.Addr || e.config.Kind != c.Kind {
		e = newEndpoint(c, d.opts, blocks)
		if d.started {
			d.startPolling(e)
		}
		return e
	}
	if c.Drain && !e.config.Drain {
		e.closeIdle()
	}
	e.config = withSlots(c)
	return e
}

func (d *Dispatcher) removeEndpoint(e *endpoint) {
	e.state.removed = true
	if cancel := d.cancelPolling[e]; cancel != nil {
		cancel()
		delete(d.cancelPolling, e)
	}
	e.closeIdle()
}

// buildPools builds the pools. A pool without endpoints stays while requests wait in it.
func (d *Dispatcher) buildPools(general *config.Config) {
	for _, p := range d.pools {
		p.endpoints = nil
	}
	for _, c := range general.Endpoints {
		e := d.endpoints[c.Name]
		if e == nil {
			continue
		}
		if e.config.Kind == config.KindService {
			p := d.ensurePool(servicePoolPrefix + e.config.Service)
			p.endpoints = append(p.endpoints, e)
			continue
		}
		for _, m := range e.config.Models {
			p := d.ensurePool(m)
			p.endpoints = append(p.endpoints, e)
		}
	}
	for name, p := range d.pools {
		if len(p.endpoints) == 0 && p.queue.Len() == 0 {
			delete(d.pools, name)
		}
	}
}

func (d *Dispatcher) ensurePool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{queue: fairqueue.New[*waiter](fairqueue.DefaultShares)}
		d.pools[name] = p
	}
	return p
}

// maintainInterval is the time between two runs of maintain, which serves the queues without a load report as trigger: endpoints may
// have started to leave, ejections may have ended, and requests may have waited longer than overflowWait.
const maintainInterval = 200 * time.Millisecond

func (d *Dispatcher) maintainLoop() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.maintain()
		}
	}
}

func (d *Dispatcher) maintain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		if !d.acceptsRequests(e) {
			e.closeIdle()
		}
	}
	queued := 0
	for _, p := range d.pools {
		d.grantSlots(p)
		queued += p.queue.Len()
	}
	d.metrics.queued.Update(float64(queued))
}

// acceptsRequests reports whether new requests may be sent to an endpoint. The caller holds d.mu.
func (d *Dispatcher) acceptsRequests(e *endpoint) bool {
	if e.state.removed || e.config.Drain {
		return false
	}
	return d.opts.States == nil || !d.opts.States.Leaving(e.config.Name)
}

// ServesModel reports whether an endpoint of this region accepts new requests for the model and is not down.
func (d *Dispatcher) ServesModel(model string) bool { return d.serves(model) }

// ServesService reports whether an endpoint of this region accepts new requests for the plain service and is not down.
func (d *Dispatcher) ServesService(service string) bool { return d.serves(servicePoolPrefix + service) }

func (d *Dispatcher) serves(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	return p != nil && d.poolIsUp(p, d.opts.Clock.Now())
}

// poolIsUp reports whether an endpoint of the pool accepts new requests and is not down. The caller holds d.mu.
func (d *Dispatcher) poolIsUp(p *pool, now clock.Instant) bool {
	for _, e := range p.endpoints {
		if d.acceptsRequests(e) && !e.isDown(now) {
			return true
		}
	}
	return false
}

// allEjected reports whether every endpoint of the model that accepts new requests is ejected.
func (d *Dispatcher) allEjected(model string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	p := d.pools[model]
	if p == nil {
		return true
	}
	for _, e := range p.endpoints {
		if d.acceptsRequests(e) && !e.state.health.IsEjected(now) {
			return false
		}
	}
	return true
}

// isDown reports whether an endpoint is ejected and has not recovered. An engine counts as recovered with its next load report, even if
// its ejection lasts longer; a plain service sends no reports. The caller holds Dispatcher.mu.
func (e *endpoint) isDown(now clock.Instant) bool {
	return e.state.health.IsEjected(now) && (e.state.missedReports > 0 || e.config.Kind == config.KindService)
}

// RecordRequest adds to the retry budget for a request whose first attempt is made in another region.
func (d *Dispatcher) RecordRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Earn()
}

// AllowRetry takes a retry from the budget of this instance, for an attempt in another region or after one there. It returns
// false if the budget is exhausted.
func (d *Dispatcher) AllowRetry() bool { return d.spendRetry() }

// spendRetry takes a retry from the budget and reports whether there was one.
func (d *Dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.budget.Spend() {
		d.metrics.denied.Inc(1)
		return false
	}
	d.metrics.retries.Inc(1)
	return true
}
