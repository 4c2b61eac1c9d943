package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/retrybudget"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// Edge is an entry instance on such a platform. Create it with New, then call Start.
type Edge struct {
	options    Options
	clock      clock.Clock
	log        *zap.Logger
	requestLog *zap.Logger
	metrics    *metrics

	state   *state
	fleet   *fleet
	pools   *pools
	view    *view
	conns   *endpointconn.Pool
	mirrors map[string]*mirror.Mirror // by prefix
	feeds   map[string]*relayedFeed   // of the mirrors
	network Network

	quotaMu sync.Mutex
	quota   *fleetquota.Ledger
	silent  map[string]fleetquota.Silent // as told to quota
	retryMu sync.Mutex
	retries *retrybudget.Budget

	outputs outputs
	returns *returns

	leaving  atomic.Bool   // callers are sent elsewhere
	left     chan struct{} // closed when leaving begins
	ends     atomic.Int64  // instant at which the process ends, once requests that may outlast it are refused; 0 before
	fetching atomic.Bool   // of a configuration from another instance

	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
	membersMu sync.Mutex // held by changedMembers
}

// Network connects the instances.
type Network interface {
	peer.Network
	// Trust replaces the certificates (PEM) of the instances whose sessions are accepted.
	Trust(certificates []byte) error
}

// New checks the options and returns an Edge that does nothing yet.
func New(o Options, network Network) (*Edge, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Edge{
		options: o, clock: o.Clock, log: o.Log, requestLog: o.Log.Named("request"), metrics: newMetrics(o.Scope),
		network: network, quota: fleetquota.New(), returns: newReturns(o.Clock), retries: retrybudget.New(o.Bounds.Retries),
		ctx: ctx, cancel: cancel, left: make(chan struct{}), mirrors: make(map[string]*mirror.Mirror), feeds: make(map[string]*relayedFeed),
	}
	e.state = newState(&e.options)
	e.state.changed = e.changedState
	e.fleet = newFleet(&e.options)
	e.fleet.changed = e.changedMembers
	e.pools = newPools(o.Clock, e.fleet.coldPace)
	e.conns = endpointconn.NewPool(o.Dial, o.Dialect.AnswerID)
	e.view = newView(e)
	network.Handle(serviceReport, e.view.serveReport)
	network.Handle(serviceSummary, e.view.serveSummary)
	network.Handle(serviceTouch, peer.Unary(serveTouch))
	network.Handle(serviceDocument, peer.Unary(e.serveDocument))
	network.Handle(serviceAttempt, e.serveAttempt)
	network.Handle(serviceFeed, peer.Unary(e.serveFeed))
	prefixes := o.Documents.Prefixes()
	e.follow(prefixes.Operator, e.state.applyOperator, nil)
	e.follow(prefixes.Endpoints, e.state.applyEndpoints, e.state.sameEntry)
	e.follow(InstancePrefix, e.fleet.apply, nil)
	return e, nil
}

// Start begins to follow the store and to announce the instance with the certificate (PEM) of its sessions.
func (e *Edge) Start(certificate []byte) {
	a := announcement{
		Incarnation: e.options.Self.Incarnation, Region: e.options.Self.Region, DataCentre: e.options.Self.DataCentre,
		CallerAddr: e.options.CallerAddr, PeerAddr: e.options.PeerAddr, Certificate: certificate,
		LinkMbps: e.options.LinkMbps,
	}
	for _, m := range e.mirrors {
		e.spawn(m.Run)
	}
	e.spawn(e.pools.run)
	e.spawn(e.view.run)
	e.spawn(e.view.climb)
	for _, region := range e.otherRegions() {
		e.spawn(func(ctx context.Context) { e.view.summarise(ctx, region) })
	}
	e.spawn(e.housekeep)
	e.spawn(e.learnCaches)
	e.spawn(func(ctx context.Context) { e.announce(ctx, a) })
}

// follow makes the mirror of the keys with a prefix.
func (e *Edge) follow(prefix string, apply func(mirror.Update), same mirror.EquivalentFunc) {
	now := e.clock.Now()
	feed := &relayedFeed{edge: e, prefix: prefix, direct: e.options.Feed, began: now, directAt: now}
	e.feeds[prefix] = feed
	e.mirrors[prefix] = mirror.New(feed, prefix, e.clock, e.log, apply, same)
}

// spawn runs f on a goroutine that Close waits for.
func (e *Edge) spawn(f func(ctx context.Context)) {
	e.work.Go(func() { f(e.ctx) })
}

// Ready reports whether callers may be sent here: configuration and endpoints are known, and the instance is not leaving.
func (e *Edge) Ready() bool {
	return e.state.configuration.Load() != nil && e.state.listed.Load() && !e.leaving.Load()
}

// Leave sends callers elsewhere. Requests are still served.
func (e *Edge) Leave() {
	if !e.leaving.Swap(true) {
		close(e.left)
	}
}

// RefuseBeyond refuses requests whose time may reach beyond end, when the process ends.
func (e *Edge) RefuseBeyond(end clock.Instant) {
	e.ends.Store(int64(end))
}

// closing reports whether requests that may outlast the process are refused.
func (e *Edge) closing() bool { return e.ends.Load() != 0 }

// Close stops all work and removes the announcement.
func (e *Edge) Close() {
	e.cancel()
	e.work.Wait()
}

func (e *Edge) changedState() {
	conf := e.state.configuration.Load()
	if conf == nil {
		return
	}
	e.quotaMu.Lock()
	e.quota.SetTerms(e.clock.Now(), conf.terms())
	e.quotaMu.Unlock()
	e.pools.set(conf.Configuration, e.state.usable(e.options.Self.Region))
}

// otherRegions returns the regions besides this one.
func (e *Edge) otherRegions() []string {
	var out []string
	for _, region := range e.options.Regions {
		if region != e.options.Self.Region && !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	return out
}

// changedMembers accepts the instances that are known now, and no others.
func (e *Edge) changedMembers() {
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	addrs, certificates := e.fleet.peers()
	if err := e.network.Trust(certificates); err != nil {
		e.log.Error("certificates of other instances cannot be used", zap.Error(err))
	}
	e.network.SetPeers(addrs)
	e.view.forget()
	sizes := e.fleet.sizes()
	e.quotaMu.Lock()
	e.quota.SetPeers(e.clock.Now(), fleetview.RatePeers(sizes, e.silent))
	e.quotaMu.Unlock()
}

func (e *Edge) housekeep(ctx context.Context) {
	for clock.Sleep(ctx, housekeepEvery) == nil {
		e.fleet.sweep()
		e.touchPartners(ctx)
		e.conns.CloseUnused(e.state.knownAddr())
		dialled, reused := e.conns.Counts()
		e.metrics.connections(dialled, reused)
		e.metrics.viewAge.Update(e.view.age(e.clock.Now()).Seconds())
	}
}

func (e *Edge) admitRate(organisation string, cost float64) (bool, time.Duration) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	return e.quota.Admit(e.clock.Now(), organisation, cost)
}

// rateLevel returns the organisation's level and the part of its rate that accrues here.
func (e *Edge) rateLevel(organisation string) (level, part float64) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	return e.quota.Level(e.clock.Now(), organisation)
}

func (e *Edge) refundRate(organisation string, cost float64) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.Refund(e.clock.Now(), organisation, cost)
}

func (e *Edge) countRequest(service string) {
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	e.retries.Request(e.clock.Now(), service)
}

// mayRepeat takes a repeat from the budget of the service.
func (e *Edge) mayRepeat(service string) bool {
	size := e.fleet.size()
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	return e.retries.Repeat(e.clock.Now(), service, size)
}

// comeBack is when a request that found no place should be sent again.
func (e *Edge) comeBack(service string) time.Duration {
	sum := e.pools.summary(&attempt{service: service})
	if sum.Usable == 0 {
		return noEndpointRetry
	}
	return max(minRetryAfter, sum.Wait)
}
