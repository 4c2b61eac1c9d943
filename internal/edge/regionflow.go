package edge

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/regionflow"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// regionFlows holds the flow between regions of each service. It is safe for concurrent use.
type regionFlows struct {
	log   *zap.Logger
	scope tally.Scope
	sent  tally.Counter
	kept  tally.Counter

	mu       sync.Mutex
	services map[string]*serviceFlow
}

// serviceFlow is the flow of one service.
type serviceFlow struct {
	shares  regionflow.Shares
	updated clock.Instant
	sends   bool // some share is not 0
	gauges  struct{ share, demand, capacity tally.Gauge }
}

func newRegionFlows(log *zap.Logger, scope tally.Scope) *regionFlows {
	return &regionFlows{log: log, scope: scope, sent: scope.Counter("requests_sent_by_flow"), kept: scope.Counter("requests_kept_from_flow"),
		services: make(map[string]*serviceFlow)}
}

// update computes the shares anew from the loads of the regions, this one included.
func (f *regionFlows) update(now clock.Instant, self string, loads map[string][]regionflow.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.services {
		if _, known := loads[name]; !known {
			loads[name] = nil
		}
	}
	for name, list := range loads {
		s := f.services[name]
		if s == nil {
			s = &serviceFlow{}
			scope := f.scope.Tagged(map[string]string{"service": name})
			s.gauges.share, s.gauges.demand, s.gauges.capacity = scope.Gauge("flow_share"), scope.Gauge("flow_demand_engines"), scope.Gauge("flow_capacity_engines")
			f.services[name] = s
		}
		slices.SortFunc(list, func(a, b regionflow.Load) int { return cmp.Compare(a.Region, b.Region) })
		s.updated = now
		s.shares.Update(now, self, list)
		shares, sum := s.shares.Shares()
		s.gauges.share.Update(sum)
		if at := slices.IndexFunc(list, func(l regionflow.Load) bool { return l.Region == self }); at >= 0 {
			s.gauges.demand.Update(list[at].Demand())
			s.gauges.capacity.Update(list[at].Capacity())
		}
		if sends := sum > 0; sends != s.sends {
			s.sends = sends
			f.log.Info("flow to other regions begins or ends", zap.String("service", name), zap.Bool("sends", sends), zap.Any("shares", shares),
				zap.Any("loads", list))
		}
	}
}

// choose returns the region that a request should go to by the flow, "" for none, and the sum of the shares.
func (f *regionFlows) choose(now clock.Instant, service string, subject uint64, movable float64) (region string, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || now.Sub(s.updated) > unresponsiveAfter {
		return "", 0
	}
	_, share = s.shares.Shares()
	return s.shares.Choose(subject, movable), share
}

// updateFlows computes the flow between regions from the loads that were received.
func (v *view) updateFlows(now clock.Instant, own []*wire.EdgeServiceLoad, remote map[string][]*wire.EdgeServiceLoad,
	receivedAt func(region string) clock.Instant, instances map[string]int) {
	e := v.edge
	loads := make(map[string][]regionflow.Load)
	add := func(region string, services []*wire.EdgeServiceLoad) {
		for _, s := range fleetview.WithEngines(services) {
			loads[s.GetName()] = append(loads[s.GetName()], decodeFlowLoad(region, s))
		}
	}
	self := e.options.Self.Region
	if instances[self]+1 >= regionflow.MinInstances {
		add(self, own)
		for region, services := range remote {
			if at := receivedAt(region); at > 0 && now.Sub(at) <= unresponsiveAfter && instances[region] >= regionflow.MinInstances {
				add(region, services)
			}
		}
	}
	e.flows.update(now, self, loads)
}

func decodeFlowLoad(region string, s *wire.EdgeServiceLoad) regionflow.Load {
	return regionflow.Load{
		Region: region, Prefill: float64(s.GetPrefillDemandMillis()) / 1000, Slots: float64(s.GetSlotDemandMillis()) / 1000,
		Requests: float64(s.GetRequestDemandMillis()) / 1000, Engines: float64(s.GetEngines()), LimitedEngines: float64(s.GetLimitedEngines()),
		LimitedRate: float64(s.GetLimitedRateMillis()) / 1000,
	}
}

// setFlowLoad sets the demand of this instance's callers for the service and its capacity, if it has engines.
func (s *servicePool) setFlowLoad(now clock.Instant, to *wire.EdgeServiceLoad) {
	if s.service.Engine == nil {
		return
	}
	c := s.Capacity(now)
	to.PrefillDemandMillis = toMillis(s.PrefillTime(s.demand.Tokens(now)).Seconds())
	to.SlotDemandMillis = toMillis(s.demand.Slots(now) / max(1, c.Slots))
	to.RequestDemandMillis = toMillis(s.demand.Requests(now))
	to.Engines, to.LimitedEngines, to.LimitedRateMillis = uint32(c.Engines), uint32(c.Limited), toMillis(c.LimitedRate)
}

// toMillis returns x in thousandths, at most 1e9.
func toMillis(x float64) uint32 { return uint32(min(math.Round(max(x, 0)*1000), 1e9)) }

// recordArrival counts a caller's first attempt in the demand for its service. movable says that another region may serve it.
func (p *pools) recordArrival(a *attempt, movable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byService[a.service]; pool != nil && pool.service.Engine != nil {
		pool.demand.RecordArrival(p.clock.Now(), a.kind, a.work.PromptTokens, movable)
	}
}

// movableFraction returns the fraction of this instance's requests for a service that other regions may serve.
func (p *pools) movableFraction(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byService[service]; pool != nil {
		return pool.demand.MovableFraction(p.clock.Now())
	}
	return 1
}

// recordHeld records how long a request of this instance's callers has held its slot.
func (p *pools) recordHeld(a *attempt, held time.Duration) {
	if a.kind == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byService[a.service]; pool != nil {
		pool.demand.RecordEnded(a.kind, held)
	}
}

// countDemand counts the request in the demand for its service. A retry of a rejected request has been counted before.
func (x *exchange) countDemand() {
	if !x.outcome.retry {
		x.edge.pools.recordArrival(&x.attempt, x.isMovable())
	}
}

// isMovable reports whether another region may serve the request.
func (x *exchange) isMovable() bool {
	return !x.homeBound || slices.ContainsFunc(x.homes, func(home string) bool { return home != x.edge.options.Self.Region })
}

// flowRegion returns the index in remotes of the region to which the flow sends the request, -1 for none.
func (x *exchange) flowRegion(remotes []routing.RegionLoad) int {
	if service := x.conf.Service(x.service); service == nil || service.Engine == nil {
		return -1
	}
	subject := xxhash.Sum64String(x.attempt.id)
	if len(x.attempt.sharedParts) > 0 {
		subject = x.attempt.sharedParts[0]
	}
	e := x.edge
	region, share := e.flows.choose(e.clock.Now(), x.service, subject, e.pools.movableFraction(x.service))
	x.outcome.flowShare = share
	if region == "" {
		return -1
	}
	return slices.IndexFunc(remotes, func(r routing.RegionLoad) bool { return r.Region == region })
}

// recordFlow counts a request that the flow has chosen a region for, and whether it is sent there.
func (x *exchange) recordFlow(chosen int, sent bool) {
	switch {
	case chosen < 0:
	case sent:
		x.outcome.sentByFlow = true
		x.edge.flows.sent.Inc(1)
	default:
		x.edge.flows.kept.Inc(1)
	}
}
