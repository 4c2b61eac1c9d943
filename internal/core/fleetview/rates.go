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

// LedgerPeers returns the other instances that may be admitting requests, by region and without the silent ones. sizes are their numbers.
func LedgerPeers(sizes map[string]int, silent map[string]fleetquota.Silent) map[string]fleetquota.Peer {
	peers := make(map[string]fleetquota.Peer)
	for region, n := range sizes {
		peers[region] = fleetquota.Peer{Incarnation: epoch, Instances: n}
	}
	for _, s := range silent {
		p := peers[s.Group]
		p.Instances = max(0, p.Instances-1)
		peers[s.Group] = p
	}
	return peers
}

// RateInputs is what the ledger of rates is told of a view.
type RateInputs struct {
	Usage   map[string]RegionUsage
	Unresponsive []*wire.EdgeSilent
}

// UpdateLedger tells the ledger what others have admitted and who is silent. regionOf returns the region of a member; sizes are the numbers of
// other instances by region. It returns the silent instances if they are others than before.
func (r RateInputs) UpdateLedger(now clock.Instant, l *fleetquota.Ledger, regionOf func(name string) (string, bool), sizes map[string]int) (silent map[string]fleetquota.Silent, changed bool) {
	for region, u := range r.Usage {
		if u.ReceivedAt > 0 {
			l.Heard(now, region, epoch, u.Usage, u.ReceivedAt)
		}
	}
	silent = make(map[string]fleetquota.Silent, len(r.Unresponsive))
	for _, s := range r.Unresponsive {
		region, member := regionOf(s.GetName())
		if !member {
			continue
		}
		uses := make(map[string]float64, len(s.GetUses()))
		for _, u := range s.GetUses() {
			uses[u.GetName()] = u.GetUsed()
		}
		silent[s.GetName()] = fleetquota.Silent{Group: region, Uses: uses, Known: s.GetKnown()}
	}
	if !l.SetSilent(now, silent) {
		return nil, false
	}
	l.SetPeers(now, LedgerPeers(sizes, silent))
	return silent, true
}

// SortedNames returns the names of silent instances in order, for logs.
func SortedNames(silent map[string]fleetquota.Silent) []string { return slices.Sorted(maps.Keys(silent)) }
