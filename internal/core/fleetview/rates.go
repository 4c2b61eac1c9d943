package fleetview

import (
	"maps"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// epoch is the incarnation of the totals that a node counts for the regions: they start with it.
const epoch = 1

// RatePeers returns the other instances that may be admitting requests, by region and without the silent ones. sizes are their numbers.
func RatePeers(sizes map[string]int, silent map[string]fleetquota.UnresponsiveInstance) map[string]fleetquota.PeerGroup {
	peers := make(map[string]fleetquota.PeerGroup)
	for region, n := range sizes {
		peers[region] = fleetquota.PeerGroup{Incarnation: epoch, Instances: n}
	}
	for _, s := range silent {
		p := peers[s.Group]
		p.Instances = max(0, p.Instances-1)
		peers[s.Group] = p
	}
	return peers
}

// Rates is what the ledger of rates is told of a view.
type Rates struct {
	Uses   map[string]RegionUses
	Silent []*wire.EdgeSilent
}

// Tell tells the ledger what others have admitted and who is silent. regionOf returns the region of a member; sizes are the numbers of
// other instances by region. It returns the silent instances if they are others than before.
func (r Rates) Tell(now clock.Instant, l *fleetquota.Limiter, regionOf func(name string) (string, bool), sizes map[string]int) (silent map[string]fleetquota.UnresponsiveInstance, changed bool) {
	for region, u := range r.Uses {
		if u.Heard > 0 {
			l.RecordReport(now, region, epoch, u.Uses, u.Heard)
		}
	}
	silent = make(map[string]fleetquota.UnresponsiveInstance, len(r.Silent))
	for _, s := range r.Silent {
		region, member := regionOf(s.GetName())
		if !member {
			continue
		}
		uses := make(map[string]float64, len(s.GetUses()))
		for _, u := range s.GetUses() {
			uses[u.GetName()] = u.GetUsed()
		}
		silent[s.GetName()] = fleetquota.UnresponsiveInstance{Group: region, Usage: uses, UsageKnown: s.GetKnown()}
	}
	if !l.SetUnresponsive(now, silent) {
		return nil, false
	}
	l.SetPeerGroups(now, RatePeers(sizes, silent))
	return silent, true
}

// Names returns the names of silent instances in order, for logs.
func Names(silent map[string]fleetquota.UnresponsiveInstance) []string {
	return slices.Sorted(maps.Keys(silent))
}
