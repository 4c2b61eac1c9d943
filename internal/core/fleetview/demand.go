package fleetview

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// maxDemandServices limits the services of which one sender's demand is used.
const maxDemandServices = 1000

// subtreeDemand returns the demand of the callers of this instance and its descendants, by service. Services without demand are left
// out.
func (n *Node) subtreeDemand(now clock.Instant) []*wire.EdgeServiceLoad {
	sums := make(map[string]*wire.EdgeServiceLoad)
	for _, s := range n.sources {
		if now.Sub(s.lastReceived) > MaxStatusAge {
			continue
		}
		for _, d := range s.demand[:min(len(s.demand), maxDemandServices)] {
			if d.GetPrefillDemandMillis() == 0 && d.GetSlotDemandMillis() == 0 && d.GetRequestDemandMillis() == 0 {
				continue
			}
			sum := sums[d.GetName()]
			if sum == nil {
				sum = &wire.EdgeServiceLoad{Name: d.GetName()}
				sums[d.GetName()] = sum
			}
			sum.PrefillDemandMillis += d.GetPrefillDemandMillis()
			sum.SlotDemandMillis += d.GetSlotDemandMillis()
			sum.RequestDemandMillis += d.GetRequestDemandMillis()
		}
	}
	out := make([]*wire.EdgeServiceLoad, 0, len(sums))
	for _, sum := range sums {
		out = append(out, sum)
	}
	slices.SortFunc(out, func(a, b *wire.EdgeServiceLoad) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// RegionServices returns the load of this region's services with the demand of all its callers, as its root knows it.
func (n *Node) RegionServices(now clock.Instant) []*wire.EdgeServiceLoad {
	if n.parent != nil {
		return n.parent.services
	}
	demand := make(map[string]*wire.EdgeServiceLoad)
	for _, d := range n.subtreeDemand(now) {
		demand[d.GetName()] = d
	}
	var out []*wire.EdgeServiceLoad
	for _, s := range n.ownSource().services {
		next := proto.CloneOf(s)
		if d := demand[s.GetName()]; d != nil {
			next.PrefillDemandMillis, next.SlotDemandMillis = d.GetPrefillDemandMillis(), d.GetSlotDemandMillis()
			next.RequestDemandMillis = d.GetRequestDemandMillis()
		}
		out = append(out, next)
	}
	return out
}

// WithEngines returns the services that have engines or demand for them: a region whose engines are all lost still has demand.
func WithEngines(services []*wire.EdgeServiceLoad) []*wire.EdgeServiceLoad {
	var out []*wire.EdgeServiceLoad
	for _, s := range services {
		if s.GetEngines() > 0 || s.GetLimitedEngines() > 0 || s.GetPrefillDemandMillis() > 0 || s.GetSlotDemandMillis() > 0 {
			out = append(out, s)
		}
	}
	return out
}
