package daemon

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/gateway"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// defaultOneWay is taken for the latency to another region.
const defaultOneWay = 80 * time.Millisecond

// regionLoads keeps the last heartbeat payload of each instance, and summarises them by region.
type regionLoads struct {
	clock  clock.Clock
	region string
	source configsync.Source

	mu   sync.Mutex
	last map[string]heard // by instance
}

// heard is the payload of an instance and when it came.
type heard struct {
	from     peer.Identity
	at       clock.Instant
	revision int64
	load     *wire.LoadSummary
}

var _ gateway.Regions = (*regionLoads)(nil)

func newRegionLoads(c clock.Clock, region string, source configsync.Source) *regionLoads {
	return &regionLoads{clock: c, region: region, source: source, last: make(map[string]heard)}
}

func (r *regionLoads) received(from peer.Identity, p members.Payload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[from.Instance] = heard{from: from, at: r.clock.Now(), revision: p.Revision, load: p.Load}
}

// own returns what this instance's heartbeats carry.
func (r *regionLoads) own(p *parts) members.Payload {
	payload := members.Payload{Revision: p.limits.AppliedRevision()}
	return payload
}

// reported returns the configuration revision that an incarnation has reported as applied, false if it has reported none.
func (r *regionLoads) reported(instance string, incarnation uint64) (revision int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.last[instance]
	if !ok || h.from.Incarnation != incarnation {
		return 0, false
	}
	return h.revision, true
}

// Model returns the regions that serve a model.
func (r *regionLoads) Model(name string) []routing.RegionLoad {
	return r.loads(func(region string) bool {
		for _, e := range r.source.View().General().Endpoints {
			if e.Region == region && !e.Drain && slices.Contains(e.Models, name) {
				return true
			}
		}
		return false
	})
}

// Service returns the regions that have a plain service.
func (r *regionLoads) Service(name string) []routing.RegionLoad {
	return r.loads(func(region string) bool {
		for _, e := range r.source.View().General().Endpoints {
			if e.Region == region && !e.Drain && e.Service == name {
				return true
			}
		}
		return false
	})
}

// loads returns the last heard instance of each other region that serves.
func (r *regionLoads) loads(serves func(region string) bool) []routing.RegionLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := make(map[string]heard)
	for _, h := range r.last {
		if b, ok := best[h.from.Region]; h.from.Region != r.region && (!ok || h.at > b.at) {
			best[h.from.Region] = h
		}
	}
	now := r.clock.Now()
	var out []routing.RegionLoad
	for region, h := range best {
		if !serves(region) {
			continue
		}
		out = append(out, routing.RegionLoad{
			Region:   region,
			Instance: h.from.Instance,
			Age:      now.Sub(h.at),
			OneWay:   defaultOneWay,
		})
	}
	slices.SortFunc(out, func(a, b routing.RegionLoad) int { return cmp.Compare(a.Region, b.Region) })
	return out
}
