package fleetview

import (
	"maps"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// totalsIncarnation stands for the incarnation of the senders of a region's usage totals. Node counts the totals from
// its own start, so the incarnation never changes.
const totalsIncarnation = 1

// LedgerPeers returns the number of other instances that may be admitting requests, by region, without the unresponsive
// ones. sizes are the numbers of other instances by region.
func LedgerPeers(sizes map[string]int, unresponsive map[string]fleetquota.UnresponsiveInstance) map[string]fleetquota.PeerGroup {
	peers := make(map[string]fleetquota.PeerGroup)
	for region, count := range sizes {
		peers[region] = fleetquota.PeerGroup{Incarnation: totalsIncarnation, Instances: count}
	}
	for _, s := range unresponsive {
		p := peers[s.Group]
		p.Instances = max(0, p.Instances-1)
		peers[s.Group] = p
	}
	return peers
}

// RateInputs is the part of a view that a ledger of rates needs.
type RateInputs struct {
	Usage        map[string]RegionUsage
	Unresponsive []*wire.EdgeSilent
}

// UpdateLedger passes the usage of other instances and the unresponsive instances to a ledger. regionOf returns the
// region of a member; sizes are the numbers of other instances by region. If the set of unresponsive instances has
// changed, UpdateLedger returns the new set and true, otherwise nil and false.
func (r RateInputs) UpdateLedger(now clock.Instant, l *fleetquota.Limiter, regionOf func(name string) (string, bool), sizes map[string]int) (unresponsive map[string]fleetquota.UnresponsiveInstance, changed bool) {
	for region, u := range r.Usage {
		if u.ReceivedAt > 0 {
			l.RecordReport(now, region, totalsIncarnation, u.Usage, u.ReceivedAt)
		}
	}
	unresponsive = make(map[string]fleetquota.UnresponsiveInstance, len(r.Unresponsive))
	for _, s := range r.Unresponsive {
		region, member := regionOf(s.GetName())
		if !member {
			continue
		}
		usage := make(map[string]float64, len(s.GetUses()))
		for _, u := range s.GetUses() {
			usage[u.GetName()] = usedBy(u)
		}
		unresponsive[s.GetName()] = fleetquota.UnresponsiveInstance{Group: region, Usage: usage, UsageKnown: s.GetKnown()}
	}
	if !l.SetUnresponsive(now, unresponsive) {
		return nil, false
	}
	l.SetPeerGroups(now, LedgerPeers(sizes, unresponsive))
	return unresponsive, true
}

// SortedNames returns the names of unresponsive instances in order, for logs.
func SortedNames(peers map[string]fleetquota.UnresponsiveInstance) []string {
	return slices.Sorted(maps.Keys(peers))
}
