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

// Edge is an entry instance of the gateway. Create it with New, then call Start.
type Edge struct {
	options    Options
	clock      clock.Clock
	log        *zap.Logger
	requestLog *zap.Logger
	metrics    *metrics
	memory     *Memory
	aheads     *readAheads

	state   *state
	fleet   *fleet
	pools   *pools
	view    *view
	conns   *endpointconn.Pool
	crashes *crashChecks
	guard   *partGuard
	mirrors map[string]*mirror.Mirror // by key prefix
	feeds   map[string]*relayedFeed   // what the mirrors read, by key prefix
	network Network
	// startedAt is when this instance was created, announced when others could first read its certificate.
	startedAt clock.Instant
	announced announced

	quotaMu      sync.Mutex
	quota        *fleetquota.Limiter
	unresponsive map[string]fleetquota.UnresponsiveInstance // unresponsive instances, as last passed to quota
	retryMu      sync.Mutex
	retries      *retrybudget.Budget

	outputs     outputMeans
	rejections  *rejections
	badLoads    badLoads
	flows       *regionFlows
	strongest   namedInstances
	utilisation utilisationGauge

	leaving      atomic.Bool   // callers are sent to other instances
	leavingBegan chan struct{} // closed when leaving begins
	endsAt       atomic.Int64  // instant at which the process ends, once requests that may outlast it are rejected; 0 before
	// forwardedEndsAt is the instant at which the process ends, once attempts for other instances that may outlast it are declined; 0
	// before.
	forwardedEndsAt atomic.Int64
	fetching        atomic.Bool // a configuration is being fetched from another instance

	// unanswered ends when requests and attempts whose answer has not begun are given up.
	unanswered    context.Context
	endUnanswered context.CancelFunc

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	membersMu  sync.Mutex // held by membersChanged
}

// Network connects the instances.
type Network interface {
	peer.Network
	// Trust replaces the certificates of the instances whose sessions are accepted.
	Trust(certificates []peer.Fingerprint) error
}

// New checks the options and returns an Edge that is not started yet.
func New(o Options, network Network) (*Edge, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	unanswered, endUnanswered := context.WithCancel(context.Background())
	e := &Edge{
		options: o, clock: o.Clock, log: o.Log, requestLog: o.Log.Named("request"), metrics: newMetrics(o.Scope),
		network: network, quota: fleetquota.New(), rejections: newRejections(o.Clock), flows: newRegionFlows(o.Log, o.Scope), retries: retrybudget.New(o.Bounds.Retries),
		ctx: ctx, cancel: cancel, unanswered: unanswered, endUnanswered: endUnanswered, leavingBegan: make(chan struct{}), mirrors: make(map[string]*mirror.Mirror), feeds: make(map[string]*relayedFeed),
	}
	if e.memory = o.Memory; e.memory == nil {
		e.memory = NewMemory(DefaultMemoryBytes, o.Clock, o.Log, o.Scope)
	}
	e.aheads = newReadAheads(e.memory)
	e.startedAt = o.Clock.Now()
	e.state = newState(&e.options)
	e.state.onChange = e.stateChanged
	e.fleet = newFleet(&e.options)
	e.fleet.onChange = e.membersChanged
	e.pools = newPools(o.Clock, o.Self.Instance)
	e.pools.reportPanic = e.reportPanic
	e.conns = endpointconn.NewPool(o.Dial, o.Dialect.AnswerRequestID)
	e.crashes = newCrashChecks(&e.options, e.metrics)
	e.strongest = namedInstances{log: o.Log, metrics: e.metrics, last: make(map[string]string)}
	e.guard = newPartGuard(e.fleet, o.Self.Instance)
	e.crashes.onCrash = e.endpointCrashed
	e.view = newView(e)
	network.Handle(serviceReport, e.view.serveReport)
	network.Handle(serviceSummary, e.view.serveSummary)
	network.Handle(serviceTouch, peer.Unary(serveTouch))
	network.Handle(serviceDocument, peer.Unary(e.serveDocument))
	network.Handle(serviceAttempt, e.serveAttempt)
	network.Handle(serviceFeed, peer.Unary(e.serveFeed))
	prefixes := o.Documents.Prefixes()
	e.addMirror(prefixes.Operator, e.state.applyOperator, nil)
	e.addMirror(prefixes.Endpoints, e.state.applyEndpoints, e.state.equivalentEntry)
	e.addMirror(InstancePrefix, e.fleet.apply, nil)
	return e, nil
}

// Start begins to follow the store, to exchange messages with other instances and to announce this one with the certificate (PEM) of
// its sessions, if there is one.
func (e *Edge) Start(certificate []byte) error {
	a := announcement{
		Incarnation: e.options.Self.Incarnation, Region: e.options.Self.Region, DataCentre: e.options.Self.DataCentre,
		CallerAddr: e.options.CallerAddr, PeerAddr: e.options.PeerAddr, Certificate: certificate,
		LinkMbps: e.options.LinkMbps, Cores: e.options.Cores, MemoryMB: e.options.MemoryMB, Messages: messagesVersion,
	}
	if len(certificate) > 0 {
		fingerprint, err := peer.FingerprintOf(certificate)
		if err != nil {
			return err
		}
		a.CertificateSHA256 = fingerprint[:]
	}
	for _, m := range e.mirrors {
		e.spawn(m.Run)
	}
	e.spawn(e.runPools)
	e.spawn(e.aheads.run)
	e.spawn(e.view.run)
	e.spawn(e.view.runReports)
	for _, region := range e.otherRegions() {
		e.spawn(func(ctx context.Context) { e.view.runSummaries(ctx, region) })
	}
	e.spawn(e.maintain)
	e.spawn(e.loadCacheContents)
	e.spawn(newCrashStore(e).run)
	e.spawn(func(ctx context.Context) { e.announce(ctx, a) })
	return nil
}

// addMirror creates the mirror of the keys with a prefix.
func (e *Edge) addMirror(prefix string, apply func(mirror.Update), same mirror.EquivalentFunc) {
	now := e.clock.Now()
	feed := &relayedFeed{edge: e, prefix: prefix, direct: e.options.Feed, startedAt: now, storeAnsweredAt: now}
	e.feeds[prefix] = feed
	contained := func(u mirror.Update) { e.contain("keys "+prefix, func() { apply(u) }) }
	e.mirrors[prefix] = mirror.New(feed, prefix, e.clock, e.log, contained, same)
	e.mirrors[prefix].SetCadence(feed.cadence())
	e.mirrors[prefix].SetRecovery(feed.recovery())
}

// spawn runs f on a goroutine that Close waits for.
func (e *Edge) spawn(f func(ctx context.Context)) {
	e.goroutines.Go(func() { f(e.ctx) })
}

// Ready reports whether callers may be sent here: configuration and endpoints are known, and the instance is not leaving.
func (e *Edge) Ready() bool {
	return e.state.configuration.Load() != nil && e.state.endpointsRead.Load() && !e.leaving.Load()
}

// Leave announces that callers should use other instances. Requests are still served.
func (e *Edge) Leave() {
	if !e.leaving.Swap(true) {
		close(e.leavingBegan)
	}
}

// DeclineForwardedBeyond declines attempts for instances of other regions that may last beyond end, when the process ends. Those
// instances have others to send them to.
func (e *Edge) DeclineForwardedBeyond(end clock.Instant) {
	e.forwardedEndsAt.Store(int64(end))
}

// RejectBeyond rejects requests that may last beyond end, when the process ends.
func (e *Edge) RejectBeyond(end clock.Instant) {
	e.DeclineForwardedBeyond(end)
	e.endsAt.Store(int64(end))
}

// EndUnanswered gives up the requests and the attempts for other instances whose answer has not begun. They get an error, which tells
// whether they may have run; a closed connection does not. Nothing is sent to an endpoint from then on: a request that waits for one
// would otherwise get the place of one that was given up, and end as one that may have run.
func (e *Edge) EndUnanswered() {
	e.pools.close()
	e.endUnanswered()
}

// closing reports whether requests that may outlast the process are rejected.
func (e *Edge) closing() bool { return e.endsAt.Load() != 0 }

// Forwarded returns the number of attempts in progress for instances of other regions.
func (e *Edge) Forwarded() int64 { return e.metrics.forwardedCount.Load() }

// Close stops all goroutines and removes the announcement.
func (e *Edge) Close() {
	e.cancel()
	e.goroutines.Wait()
}

// stateChanged applies the configuration and the usable endpoints to rates and pools.
func (e *Edge) stateChanged() {
	conf := e.state.configuration.Load()
	if conf == nil {
		return
	}
	e.metrics.findings.Update(float64(len(conf.Findings)))
	e.withQuota(func(q *fleetquota.Limiter) { q.SetLimits(e.clock.Now(), conf.terms()) })
	e.pools.set(conf.Configuration, e.state.usable(e.options.Self.Region))
}

// otherRegions returns the remote regions.
func (e *Edge) otherRegions() []string {
	var out []string
	for _, region := range e.options.Regions {
		if region != e.options.Self.Region && !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	return out
}

// membersChanged makes the network accept sessions with the current members only, and updates what depends on them.
func (e *Edge) membersChanged() {
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	addrs, certificates := e.fleet.peers()
	if err := e.network.Trust(certificates); err != nil {
		e.log.Error("certificates of other instances are not valid; keeping the former ones", zap.Error(err))
	}
	e.network.SetPeers(addrs)
	e.updateSenders()
	e.view.forget()
	sizes := e.fleet.sizes()
	e.withQuota(func(q *fleetquota.Limiter) {
		q.SetPeerGroups(e.clock.Now(), fleetview.LedgerPeers(sizes, e.unresponsive))
	})
}

// withQuota calls f with the rates of organisations, which nothing else uses meanwhile.
func (e *Edge) withQuota(f func(*fleetquota.Limiter)) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	f(e.quota)
}

// maintain removes what is gone and updates gauges at each interval until ctx ends.
func (e *Edge) maintain(ctx context.Context) {
	for clock.Sleep(ctx, maintenanceInterval) == nil {
		e.contain("maintenance", func() { e.maintainOnce(ctx) })
	}
}

func (e *Edge) maintainOnce(ctx context.Context) {
	e.fleet.removeUnresponsive()
	e.connectPartners(ctx)
	e.conns.CloseUnused(e.mayKeepConnections())
	dialled, reused := e.conns.Counts()
	e.metrics.connections(dialled, reused)
	e.memory.UpdateGauges()
	e.metrics.viewAge.Update(e.view.age(e.clock.Now()).Seconds())
	e.metrics.sharing(e.pools.sharing())
	e.view.recordRole()
	e.pruneLimits()
	e.pruneCrashes()
	e.pruneNotices()
	e.measureUtilisation()
}

// admitRate charges the cost to the organisation's rate. If the rate does not cover it, it returns false and the Retry-After.
func (e *Edge) admitRate(organisation string, cost float64) (bool, time.Duration) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	return e.quota.Admit(e.clock.Now(), organisation, cost)
}

// rateLevel returns the organisation's level and the share of its rate that accrues here.
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

// countForRetries counts a caller's request for the retry budget of the service.
func (e *Edge) countForRetries(service string) {
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	e.retries.RecordRequest(e.clock.Now(), service)
}

// mayRetry reports whether the retry budget of the service allows a retry, and charges it.
func (e *Edge) mayRetry(service string) bool {
	size := e.fleet.size()
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	return e.retries.AllowRetry(e.clock.Now(), service, size)
}

// retryAfter returns the Retry-After of a request for which there is no capacity.
func (e *Edge) retryAfter(service string) time.Duration {
	sum := e.pools.loadFor(&attempt{service: service})
	if sum.Usable == 0 {
		return e.unavailableRetryAfter(service)
	}
	return max(minRetryAfter, sum.Wait)
}
