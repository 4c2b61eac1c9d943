package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// tickPerInstance, tickMin and tickMax give the interval of messages within a region, by its number of instances. A root sends and
	// takes a message for each instance in each interval: on the large site, 500 a second each way. Small regions tell
	// their work before the next few requests are placed.
	tickPerInstance = 2 * time.Millisecond
	tickMin         = 40 * time.Millisecond
	tickMax         = 160 * time.Millisecond
	// peerReadTime is how long after another instance has told of it a request's prompt is taken to be read.
	peerReadTime = 250 * time.Millisecond
	// housekeepEvery is the interval of checks for instances that have gone and connections that are not used.
	housekeepEvery = 500 * time.Millisecond
)

// view is what this instance and the others tell each other of the fleet. It is safe for concurrent use.
type view struct {
	edge *Edge

	mu          sync.Mutex
	node        *fleetview.Node
	ticked      chan struct{} // closed at each tick
	rootSince   clock.Instant // when the last stream to an instance above ended
	nextPart    int64         // number of the next prompt part to tell
	nextRefusal int64         // number of the next refusal to tell

	appliedOf atomic.Int64 // instant of which the region's view that requests are decided by is, 0: none
}

func newView(e *Edge) *view {
	return &view{edge: e, node: fleetview.New(e.options.Self), ticked: make(chan struct{}), rootSince: e.clock.Now()}
}

// interval is the time between messages within the region.
func (v *view) interval() time.Duration {
	return min(max(time.Duration(v.edge.fleet.regionSize())*tickPerInstance, tickMin), tickMax)
}

// run tells the instances below this one the state of the fleet until ctx ends.
func (v *view) run(ctx context.Context) {
	for clock.Sleep(ctx, v.interval()) == nil {
		v.tick()
	}
}

// tick takes this instance's own state and makes the next state for the instances below.
func (v *view) tick() {
	own := v.own()
	now := v.edge.clock.Now()
	v.mu.Lock()
	v.node.SetOwnState(now, own)
	if err := v.node.Tick(now); err != nil {
		v.edge.log.Error("state of the fleet was not made", zap.Error(err))
	}
	close(v.ticked)
	v.ticked = make(chan struct{})
	root := v.node.IsRoot()
	v.mu.Unlock()
	if root {
		v.apply()
	}
}

// nextTick is closed when the instances below may be told the next state.
func (v *view) nextTick() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ticked
}

// own returns this instance's state.
func (v *view) own() fleetview.OwnState {
	e := v.edge
	o := fleetview.OwnState{
		Status: fleetview.Status{
			Incarnation: e.options.Self.Incarnation, Ready: e.Ready(), Leaving: e.leaving.Load(), Rejecting: e.closing(),
		},
		ConfigVersion: e.state.version(), Load: make(map[string]placement.PeerWork), Usage: make(map[string]float64),
	}
	e.quotaMu.Lock()
	e.quota.Used(func(organisation string, total float64) { o.Usage[organisation] = total })
	e.quotaMu.Unlock()
	now := e.clock.Now()
	e.pools.each(func(name string, pool *servicePool) {
		pool.OwnWork(func(endpoint string, w placement.PeerWork) {
			if w != (placement.PeerWork{}) {
				o.Load[endpoint] = w
			}
		})
		sum := pool.worstSummary(now)
		o.Services = append(o.Services, &wire.EdgeServiceLoad{
			Name: name, Usable: uint32(sum.Usable), WaitMillis: uint32(sum.Wait.Milliseconds()),
		})
	})
	v.addEvents(&o.Events)
	return o
}

// addEvents adds the prompt parts that were read and the requests that were refused since the last call.
func (v *view) addEvents(to *fleetview.Events) {
	e := v.edge
	origin := fleetview.OriginHash(e.options.Self.Instance)
	uses, next := e.pools.partsSince(v.nextPart)
	v.nextPart = next
	for _, u := range uses {
		parts := &wire.EdgeEndpointParts{Id: u.endpoint, Origin: origin}
		for _, p := range u.parts {
			parts.Keys = append(parts.Keys, p.Key)
			parts.Tokens = append(parts.Tokens, uint32(p.Tokens))
		}
		to.PromptParts = append(to.PromptParts, parts)
	}
	refusals, next := e.returns.since(v.nextRefusal)
	v.nextRefusal = next
	now := e.clock.Now()
	for _, r := range refusals {
		if r.expires > now {
			to.Rejections = append(to.Rejections, &wire.EdgeRefusal{
				Key: r.key, AgeMillis: uint32(now.Sub(r.first).Milliseconds()), ValidMillis: uint32(r.expires.Sub(now).Milliseconds()),
				Origin: origin,
			})
		}
	}
}

// forget drops what is known of instances that are not members any more.
func (v *view) forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node.DropNonMembers(v.edge.fleet.isMember, func(name string) bool {
		_, listed := v.edge.fleet.regionOf(name)
		return listed
	})
}

// apply takes what is known of the other instances into what requests are decided by.
func (v *view) apply() {
	e := v.edge
	now := e.clock.Now()
	v.mu.Lock()
	standings, work := v.node.Statuses(now), v.node.PeerLoad(now)
	rates, services := fleetview.RateInputs{Usage: v.node.PeerUsage(), Unresponsive: v.node.Unresponsive(now)}, v.node.RemoteServices()
	newest, version := v.node.NewestConfig()
	v.mu.Unlock()
	v.appliedOf.Store(int64(rates.Usage[e.options.Self.Region].ReceivedAt))
	e.fleet.heard(standings)
	e.fleet.heardServices(services, func(region string) clock.Instant { return rates.Usage[region].ReceivedAt })
	e.pools.setOthers(now, work, e.fleet.senders())
	sizes := e.fleet.sizes()
	e.quotaMu.Lock()
	if silent, changed := rates.UpdateLedger(now, e.quota, e.fleet.regionOf, sizes); changed {
		e.silent = silent
		e.log.Info("parts of the rates are kept for silent instances", zap.Strings("peers", fleetview.SortedNames(silent)))
	}
	e.quotaMu.Unlock()
	if version > e.state.version() {
		e.wantDocument(newest)
	}
}

// age is how long ago the other instances of the region were heard, as requests are decided by; negative if they never were.
func (v *view) age(now clock.Instant) time.Duration {
	at := clock.Instant(v.appliedOf.Load())
	if at == 0 {
		return -1
	}
	return now.Sub(at)
}

// applyEvents takes events of other instances.
func (e *Edge) applyEvents(events fleetview.Events) {
	origin := fleetview.OriginHash(e.options.Self.Instance)
	e.pools.othersRead(events.PromptParts, origin, e.clock.Now())
	for _, r := range events.Rejections {
		if r.GetOrigin() != origin {
			e.returns.heard(r.GetKey(), time.Duration(r.GetAgeMillis())*time.Millisecond, time.Duration(r.GetValidMillis())*time.Millisecond)
		}
	}
}

// setOthers takes what the region's other instances have under way at endpoints.
func (p *pools) setOthers(now clock.Instant, work map[string]placement.PeerWork, instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		pool.SetOthers(now, work, instances)
	}
}

// othersRead takes the prompt parts that requests of other instances read.
func (p *pools) othersRead(uses []*wire.EdgeEndpointParts, own uint32, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		if u.GetOrigin() == own {
			continue
		}
		var parts []placement.Part
		for i, key := range u.GetKeys() {
			if i < len(u.GetTokens()) {
				parts = append(parts, placement.Part{Key: key, Tokens: float64(u.GetTokens()[i])})
			}
		}
		for _, pool := range p.byService {
			pool.Holds(u.GetId(), parts, now.Add(peerReadTime))
		}
	}
}

// partsSince returns the prompt parts that own requests have read since number n, and the next number.
func (p *pools) partsSince(n int64) ([]partUse, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used.since(n)
}
