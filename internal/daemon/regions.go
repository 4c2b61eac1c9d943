package daemon

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/gateway"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// unknownOneWay is taken for the latency to a region that no probe has measured yet.
	unknownOneWay = 80 * time.Millisecond
	// heardFor is how long an instance's last heartbeat is kept. A region that was heard of within this time is still tried
	// when nothing else can serve a request.
	heardFor = 2 * time.Minute
	// freshFor is the age up to which a heartbeat counts for the choice among the instances of a region.
	freshFor = 5 * time.Second
)

// regionLoads keeps the last heartbeat of each instance and summarises those of other regions.
type regionLoads struct {
	clock    clock.Clock
	region   string
	snapshot func() *membership.Snapshot
	drained  func(dataCentre string) bool

	mu     sync.Mutex
	last   map[string]heard         // by instance
	oneWay map[string]time.Duration // by region, the shortest seen
}

// heard is the payload of an instance and when it came.
type heard struct {
	from  peer.Identity
	at    clock.Instant
	pools []*wire.PoolLoad
}

var _ gateway.RemoteRegions = (*regionLoads)(nil)

func newRegionLoads(c clock.Clock, region string, snapshot func() *membership.Snapshot, drained func(dataCentre string) bool) *regionLoads {
	return &regionLoads{clock: c, region: region, snapshot: snapshot, drained: drained, last: make(map[string]heard), oneWay: make(map[string]time.Duration)}
}

func (r *regionLoads) received(from peer.Identity, p members.Payload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.last[from.Instance] = heard{from: from, at: now, pools: p.Load.GetPools()}
	if shortest, ok := r.oneWay[from.Region]; p.RoundTrip > 0 && (!ok || p.RoundTrip/2 < shortest) {
		r.oneWay[from.Region] = p.RoundTrip / 2
	}
	for name, h := range r.last {
		if now.Sub(h.at) > heardFor {
			delete(r.last, name)
		}
	}
}

// payload returns what this instance's heartbeats carry.
func payload(loads []dispatch.PoolLoad) members.Payload {
	summary := &wire.LoadSummary{}
	for _, l := range loads {
		summary.Pools = append(summary.Pools, &wire.PoolLoad{
			Name: l.Name, Service: l.Service, WaitMillis: saturate.Millis(l.Wait), Free: uint32(l.FreeSlots),
		})
	}
	slices.SortFunc(summary.Pools, func(a, b *wire.PoolLoad) int { return strings.Compare(a.Name, b.Name) })
	return members.Payload{Load: summary}
}

// ForModel returns the regions that serve a model.
func (r *regionLoads) ForModel(name string) []routing.RegionLoad { return r.loads(name, false) }

// ForService returns the regions that have a plain service.
func (r *regionLoads) ForService(name string) []routing.RegionLoad { return r.loads(name, true) }

// loads returns an instance of each other region that serves, in order of the regions' names.
func (r *regionLoads) loads(pool string, service bool) []routing.RegionLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	byRegion := make(map[string][]routing.RegionLoad)
	now := r.clock.Now()
	for _, h := range r.last {
		if h.from.Region == r.region || !r.usable(h.from) {
			continue
		}
		if load := findPool(h.pools, pool, service); load != nil {
			byRegion[h.from.Region] = append(byRegion[h.from.Region], routing.RegionLoad{
				Region:   h.from.Region,
				Instance: h.from.Instance,
				Wait:     time.Duration(load.GetWaitMillis()) * time.Millisecond,
				Age:      now.Sub(h.at),
				OneWay:   r.latency(h.from.Region),
			})
		}
	}
	out := make([]routing.RegionLoad, 0, len(byRegion))
	for _, loads := range byRegion {
		out = append(out, pick(loads))
	}
	slices.SortFunc(out, func(a, b routing.RegionLoad) int { return strings.Compare(a.Region, b.Region) })
	return out
}

// usable reports whether requests may be sent to an instance: it is neither leaving nor suspected nor out of reach, and its
// data centre is not drained.
func (r *regionLoads) usable(id peer.Identity) bool {
	m, known := r.snapshot().Member(id.Instance)
	return known && m.Incarnation == id.Incarnation && m.Usable() && !r.drained(m.DataCentre)
}

func (r *regionLoads) latency(region string) time.Duration {
	if d, ok := r.oneWay[region]; ok {
		return d
	}
	return unknownOneWay
}

func findPool(pools []*wire.PoolLoad, name string, service bool) *wire.PoolLoad {
	for _, p := range pools {
		if p.GetName() == name && p.GetService() == service {
			return p
		}
	}
	return nil
}

// pick returns the less loaded of two random instances with fresh heartbeats, so that the senders don't all take the same
// one; without fresh ones it returns the freshest.
func pick(loads []routing.RegionLoad) routing.RegionLoad {
	slices.SortFunc(loads, func(a, b routing.RegionLoad) int { return int(a.Age - b.Age) })
	fresh := 0
	for fresh < len(loads) && loads[fresh].Age <= freshFor {
		fresh++
	}
	if fresh == 0 {
		return loads[0]
	}
	a, b := loads[rand.IntN(fresh)], loads[rand.IntN(fresh)]
	if b.Wait < a.Wait {
		return b
	}
	return a
}
