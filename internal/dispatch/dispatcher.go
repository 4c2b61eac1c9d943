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

	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[string]*endpoint
	pools     map[string]*pool // by model, or by service with servicePrefix
	budget    *admission.RetryBudget
	polling   map[*endpoint]context.CancelFunc
	shared    sharing
	started   bool
	stopped   bool // no background work is begun any more

	ctx         context.Context // of background work, ends with Stop
	stop        context.CancelFunc
	background  sync.WaitGroup
	unsubscribe func()
}

// pool is the group of endpoints that can serve the same requests, and the requests that wait for them.
type pool struct {
	endpoints []*endpoint
	queue     *fairqueue.Queue[*waiter]
	drain     admission.DrainRate
	pace      time.Duration // mean answer time of a plain service, 0 before the first
}

// Retry budget: one retry for ten requests, and a reserve so that a quiet instance can retry at all.
const (
	retryRatio = 0.1
	retryBurst = 20
	// retriesPerPlace is the reserve for each place in a batch that is this instance's share: the requests in flight when all
	// engines are lost need a resume, a retry here and one in another region.
	retriesPerPlace = 3
)

// retryReserve returns the retries that may be saved up. The caller holds d.mu.
func (d *Dispatcher) retryReserve() float64 {
	places := 0
	for _, e := range d.endpoints {
		if e.config.Kind != config.KindService {
			places += e.config.Slots
		}
	}
	return max(retryBurst, retriesPerPlace*float64(places)/float64(max(d.opts.InstanceCount(), 1)))
}

// servicePrefix keeps pools of services apart from those of models; no model name holds a zero byte.
const servicePrefix = "\x00"

// New returns a dispatcher for the endpoints of the options' region. It registers the service of its region's instances, so it must be
// called before the network starts.
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
		opts:      o,
		metrics:   newMetrics(o.Metrics),
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
		endpoints: map[string]*endpoint{},
		pools:     map[string]*pool{},
		budget:    admission.NewRetryBudget(retryRatio, retryBurst),
		polling:   map[*endpoint]context.CancelFunc{},
		shared:    newSharing(),
		ctx:       ctx,
		stop:      stop,
	}
	d.apply(o.Source.View())
	d.unsubscribe = o.Source.Subscribe(d.apply)
	if o.Network != nil {
		o.Network.Handle(workService, d.receiveWork)
	}
	return d, nil
}

// Start begins to poll load reports.
func (d *Dispatcher) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
	for _, e := range d.endpoints {
		d.poll(e)
	}
	d.spawn(d.tick)
	if d.opts.Network != nil {
		d.spawn(d.shareLoop)
	}
}

// spawn runs f in the background, unless the dispatcher has stopped. The caller holds d.mu.
func (d *Dispatcher) spawn(f func()) {
	if !d.stopped {
		d.background.Go(f)
	}
}

// Stop ends background work and closes idle connections. Requests that still run are not ended, and engines are no longer told
// of their cancels.
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

// apply takes over the endpoints of a view.
func (d *Dispatcher) apply(v configsync.View) {
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
		current[c.Name] = d.adopt(c, blocks)
	}
	for name, old := range d.endpoints {
		if current[name] != old {
			d.retire(old)
		}
	}
	d.endpoints = current
	d.budget.Resize(d.retryReserve())
	d.group(general)
	for _, p := range d.pools {
		d.pump(p)
	}
}

// adopt keeps the connections and the load of an endpoint whose address has not changed.
func (d *Dispatcher) adopt(c config.Endpoint, blocks int) *endpoint {
	e := d.endpoints[c.Name]
	if e == nil || e.config.Addr != c.Addr || e.config.Kind != c.Kind {
		e = newEndpoint(c, d.opts, blocks)
		if d.started {
			d.poll(e)
		}
		return e
	}
	if c.Drain && !e.config.Drain {
		e.closeIdle()
	}
	e.config = withSlots(c)
	return e
}

func (d *Dispatcher) retire(e *endpoint) {
	e.load.gone = true
	if cancel := d.polling[e]; cancel != nil {
		cancel()
		delete(d.polling, e)
	}
	e.closeIdle()
}

// group builds the pools. A pool without endpoints stays while requests wait in it.
func (d *Dispatcher) group(general *config.Config) {
	for _, p := range d.pools {
		p.endpoints = nil
	}
	for _, c := range general.Endpoints {
		e := d.endpoints[c.Name]
		if e == nil {
			continue
		}
		if e.config.Kind == config.KindService {
			p := d.pool(servicePrefix + e.config.Service)
			p.endpoints = append(p.endpoints, e)
			continue
		}
		for _, m := range e.config.Models {
			p := d.pool(m)
			p.endpoints = append(p.endpoints, e)
		}
	}
	for name, p := range d.pools {
		if len(p.endpoints) == 0 && p.queue.Len() == 0 {
			delete(d.pools, name)
		}
	}
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{queue: fairqueue.New[*waiter](fairqueue.DefaultShares)}
		d.pools[name] = p
	}
	return p
}

// tickInterval is how often waiting requests are looked at even if nothing is reported: for leaving endpoints, ended
// ejections and requests that have waited too long.
const tickInterval = 200 * time.Millisecond

func (d *Dispatcher) tick() {
	ticker := time.NewTicker(tickInterval)
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
		if !d.takesWork(e) {
			e.closeIdle()
		}
	}
	queued := 0
	for _, p := range d.pools {
		d.pump(p)
		queued += p.queue.Len()
	}
	d.metrics.queued.Update(float64(queued))
}

// takesWork reports whether new work may go to an endpoint. The caller holds d.mu.
func (d *Dispatcher) takesWork(e *endpoint) bool {
	if e.load.gone || e.config.Drain {
		return false
	}
	return d.opts.States == nil || !d.opts.States.Leaving(e.config.Name)
}

// ServesModel reports whether an endpoint of this region takes new work of the model and is not down.
func (d *Dispatcher) ServesModel(model string) bool { return d.serves(model) }

// ServesService reports whether an endpoint of this region takes new work of the plain service and is not down.
func (d *Dispatcher) ServesService(service string) bool { return d.serves(servicePrefix + service) }

func (d *Dispatcher) serves(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	return p != nil && d.sound(p, d.opts.Clock.Now())
}

// sound reports whether an endpoint of the pool takes new work and is not down. The caller holds d.mu.
func (d *Dispatcher) sound(p *pool, now clock.Instant) bool {
	for _, e := range p.endpoints {
		if d.takesWork(e) && !e.down(now) {
			return true
		}
	}
	return false
}

// allOut reports whether every endpoint of the model is ejected.
func (d *Dispatcher) allOut(model string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	p := d.pools[model]
	if p == nil {
		return true
	}
	for _, e := range p.endpoints {
		if d.takesWork(e) && !e.load.health.Out(now) {
			return false
		}
	}
	return true
}

// down reports whether an endpoint has failed and does not seem to be back. An engine is back with its next load report, even if
// its ejection lasts longer; a plain service gives no reports. The caller holds Dispatcher.mu.
func (e *endpoint) down(now clock.Instant) bool {
	return e.load.health.Out(now) && (e.load.silent > 0 || e.config.Kind == config.KindService)
}

// RecordRequest records a request whose first attempt is made in another region.
func (d *Dispatcher) RecordRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Earn()
}

// AllowRetry takes a retry from the budget of this instance, for an attempt in another region or after one there. It returns
// false if there is none.
func (d *Dispatcher) AllowRetry() bool { return d.spendRetry() }

// spendRetry takes a retry from the budget.
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
