package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/crashguard"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// tickPerInstance, tickMin and tickMax give the interval of messages within a region, by the number of instances that report to
	// one. That one sends and receives a message for each of them in each interval: 500 a second each way. In small regions, instances
	// report their load before the next few requests are placed.
	tickPerInstance = 2 * time.Millisecond
	tickMin         = 40 * time.Millisecond
	tickMax         = 160 * time.Millisecond
	// peerPromptDelay is how long after the report of another instance the prompt of its request is taken to be processed.
	peerPromptDelay = 250 * time.Millisecond
	// maxDigestDelay is the number of intervals after which a head prepares a digest although none of its parent has arrived.
	maxDigestDelay = 2
	// maintenanceInterval is the interval of checks for instances that are gone and connections that are not used.
	maintenanceInterval = 500 * time.Millisecond
)

// view exchanges the state of the fleet with other instances: it holds what this instance sends and what it has received. It is
// safe for concurrent use.
type view struct {
	edge *Edge

	mu            sync.Mutex
	node          *fleetview.Node
	ticked        chan struct{} // closed at each tick
	parentLostAt  clock.Instant // when the last stream to a parent ended
	nextPart      int64         // number of the next prompt part to report
	nextRejection int64         // number of the next rejection to report
	// reportedCrashes and appliedCrashes are the versions up to which crashes have been passed to the node and taken from it.
	reportedCrashes, appliedCrashes uint64

	// digestReceived receives a value when a digest of the parent was applied.
	digestReceived chan struct{}
	role           int // in the region, as last logged

	appliedAsOf atomic.Int64 // time of the view of the region that decisions are based on, 0: none
}

func newView(e *Edge) *view {
	return &view{edge: e, node: fleetview.New(e.options.Self), ticked: make(chan struct{}), digestReceived: make(chan struct{}, 1), role: roleRoot, parentLostAt: e.clock.Now()}
}

// interval returns the time between messages within the region.
func (v *view) interval() time.Duration {
	return v.edge.fleet.regionShape().interval()
}

// run prepares a digest for the children until ctx ends: at each interval, or if this instance is a head, when a digest of its parent
// arrives. So the instances below a head receive the state of the root together with those that report to the root itself.
func (v *view) run(ctx context.Context) {
	for v.awaitTick(ctx) {
		v.edge.contain("digest", v.tick)
	}
}

// awaitTick waits until the next tick is due and returns false if ctx has ended.
func (v *view) awaitTick(ctx context.Context) bool {
	interval := v.interval()
	v.mu.Lock()
	head := !v.node.IsRoot() && v.node.Children() > 0
	v.mu.Unlock()
	if !head {
		return clock.Sleep(ctx, interval) == nil
	}
	timer := time.NewTimer(maxDigestDelay * interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-v.digestReceived:
	case <-timer.C:
	}
	return true
}

// tick records this instance's own state and prepares the next digest for the children.
func (v *view) tick() {
	own := v.ownState()
	now, compact := v.edge.clock.Now(), v.edge.fleet.regionShape().heads
	if v.prepareDigest(now, compact, own) {
		v.apply()
	}
}

// prepareDigest prepares the next digest for the children, and reports whether this instance is the root of its region.
func (v *view) prepareDigest(now clock.Instant, compact bool, own fleetview.OwnState) (root bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node.SetCompact(compact)
	v.node.SetOwnState(now, own)
	if err := v.node.Tick(now); err != nil {
		v.edge.log.Error("digest for the children could not be prepared; trying again at the next interval", zap.Error(err))
	}
	close(v.ticked)
	v.ticked = make(chan struct{})
	return v.node.IsRoot()
}

// isRoot reports whether this instance is the root of its region.
func (v *view) isRoot() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node.IsRoot()
}

// nextTick returns a channel that is closed when the next digest may be sent to the children.
func (v *view) nextTick() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ticked
}

// ownState returns this instance's own state.
func (v *view) ownState() fleetview.OwnState {
	e := v.edge
	o := fleetview.OwnState{
		Status: fleetview.Status{
			Incarnation: e.options.Self.Incarnation, Ready: e.Ready(), Leaving: e.leaving.Load(), Rejecting: e.closing(),
			Level: e.utilisation.current(),
		},
		ConfigVersion: e.state.version(), Load: make(map[string]placement.Load), Usage: make(map[string]float64),
		Paces: make(map[string]placement.Pace),
	}
	e.withQuota(func(q *fleetquota.Limiter) {
		q.ForEachAdmitted(func(organisation string, total float64) { o.Usage[organisation] = total })
	})
	now := e.clock.Now()
	o.Limits = e.pools.limitStatements()
	o.Crashes, v.reportedCrashes = e.guard.changes(v.reportedCrashes)
	o.Notices = e.pools.advice(now)
	e.pools.each(func(name string, pool *servicePool) {
		pool.Paces(now, func(endpoint string, pace placement.Pace) { o.Paces[endpoint] = pace })
		pool.OwnLoad(func(endpoint string, w placement.Load) {
			if w != (placement.Load{}) {
				o.Load[endpoint] = w
			}
		})
		sum := pool.worstLoad(now)
		load := &wire.EdgeServiceLoad{Name: name, Usable: uint32(sum.Usable), WaitMillis: saturate.Millis(sum.Wait)}
		pool.setFlowLoad(now, load)
		o.Services = append(o.Services, load)
	})
	v.addEvents(&o.Events)
	return o
}

// addEvents adds the prompt parts that were sent to endpoints and the requests that were rejected since the last call.
func (v *view) addEvents(to *fleetview.Events) {
	e := v.edge
	origin := fleetview.OriginHash(e.options.Self.Instance)
	uses, next := e.pools.partsSince(v.nextPart)
	v.nextPart = next
	for _, u := range uses {
		parts := &wire.EdgeEndpointParts{Id: u.endpoint, Origin: origin}
		for _, p := range u.parts {
			parts.Keys = append(parts.Keys, p.Key)
			parts.Tokens = append(parts.Tokens, saturate.Uint32(p.Tokens))
		}
		to.PromptParts = append(to.PromptParts, parts)
	}
	rejected, next := e.rejections.since(v.nextRejection)
	v.nextRejection = next
	now := e.clock.Now()
	for _, r := range rejected {
		if r.Expires > now {
			to.Rejections = append(to.Rejections, &wire.EdgeRefusal{
				Key: r.Key, AgeMillis: saturate.Millis(now.Sub(r.FirstArrived)), ValidMillis: saturate.Millis(r.Expires.Sub(now)),
				Origin: origin, PromisedMillis: promisedMillis(now, r),
			})
		}
	}
}

// forget drops the state of instances that are no longer members.
func (v *view) forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node.DropNonMembers(v.edge.fleet.isMember, func(name string) bool {
		_, listed := v.edge.fleet.regionOf(name)
		return listed
	})
}

// apply makes the view of the other instances available to decisions on requests.
func (v *view) apply() {
	e := v.edge
	now := e.clock.Now()
	s := v.received(now)
	receivedAt := func(region string) clock.Instant { return s.rates.Usage[region].ReceivedAt }
	e.mergeLimits(now, s.limits)
	e.mergeNotices(now, s.notices)
	e.guard.merge(now, s.crashes)
	v.appliedAsOf.Store(int64(receivedAt(e.options.Self.Region)))
	e.fleet.recordStatuses(s.statuses)
	e.fleet.recordServices(s.services, receivedAt)
	instances, position, share := e.fleet.servingInRegion(e.utilisation.current())
	e.pools.mergePaces(s.paces)
	e.pools.setPeerLoad(now, s.peerLoad, instances, placement.Exchange{Number: s.number, Position: position, Interval: v.interval(), CallerShare: share})
	sizes := e.fleet.sizes()
	v.updateFlows(now, s.ownServices, s.services, receivedAt, sizes)
	e.withQuota(func(q *fleetquota.Limiter) {
		if silent, changed := s.rates.UpdateLedger(now, q, e.fleet.regionOf, sizes); changed {
			e.unresponsive = silent
			e.log.Info("parts of the rates are kept for silent instances", zap.Strings("peers", fleetview.SortedNames(silent)))
		}
	})
	if s.version > e.state.version() {
		e.fetchDocument(s.newest)
	}
}

// receivedState is what the node knows of the other instances.
type receivedState struct {
	statuses    map[string]fleetview.ReceivedStatus
	peerLoad    map[string]placement.Load
	rates       fleetview.RateInputs
	services    map[string][]*wire.EdgeServiceLoad // of other regions
	ownServices []*wire.EdgeServiceLoad
	newest      string // instance with the newest configuration
	version     int64  // of that configuration
	limits      []endpointrate.Statement
	notices     []endpointnotice.Advice
	paces       map[string]placement.Pace
	crashes     []crashguard.Crash
	number      uint64
}

func (v *view) received(now clock.Instant) receivedState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := receivedState{
		statuses: v.node.Statuses(now), peerLoad: v.node.PeerLoad(now),
		rates:    fleetview.RateInputs{Usage: v.node.PeerUsage(), Unresponsive: v.node.Unresponsive(now)},
		services: v.node.RemoteServices(), ownServices: v.node.RegionServices(now),
		limits: v.node.Limits(), notices: v.node.Notices(now), paces: v.node.Paces(), number: v.node.RootStateNumber(),
	}
	s.newest, s.version = v.node.NewestConfig()
	s.crashes, v.appliedCrashes = v.node.Crashes(v.appliedCrashes)
	return s
}

// age returns the age of the view of the region's other instances that decisions are based on, negative if nothing was received
// yet.
func (v *view) age(now clock.Instant) time.Duration {
	at := clock.Instant(v.appliedAsOf.Load())
	if at == 0 {
		return -1
	}
	return now.Sub(at)
}

// applyEvents applies events of other instances.
func (e *Edge) applyEvents(events fleetview.Events) {
	origin := fleetview.OriginHash(e.options.Self.Instance)
	e.pools.recordPeerParts(events.PromptParts, origin, e.clock.Now())
	for _, r := range events.Rejections {
		if r.GetOrigin() != origin {
			e.rejections.addReceived(r.GetKey(), time.Duration(r.GetAgeMillis())*time.Millisecond, time.Duration(r.GetValidMillis())*time.Millisecond,
				time.Duration(r.GetPromisedMillis())*time.Millisecond)
		}
	}
}

// setPeerLoad sets the load of the region's other instances at endpoints.
func (p *pools) setPeerLoad(now clock.Instant, load map[string]placement.Load, instances int, exchange placement.Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		pool.SetExchange(exchange)
		pool.SetPeerLoad(now, load, instances)
	}
}

// recordPeerParts records the prompt parts that requests of other instances leave in prefix caches.
func (p *pools) recordPeerParts(uses []*wire.EdgeEndpointParts, own uint32, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		if u.GetOrigin() == own {
			continue
		}
		var parts []placement.PromptPart
		for i, key := range u.GetKeys() {
			if i < len(u.GetTokens()) {
				parts = append(parts, placement.PromptPart{Key: key, Tokens: min(float64(u.GetTokens()[i]), placement.MaxTokens)})
			}
		}
		for _, pool := range p.byService {
			pool.RecordCached(u.GetId(), parts, now.Add(peerPromptDelay))
		}
	}
}

// partsSince returns the prompt parts that requests of this instance leave in prefix caches, from number n on, and the next
// number.
func (p *pools) partsSince(n int64) ([]endpointParts, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newParts.since(n)
}
