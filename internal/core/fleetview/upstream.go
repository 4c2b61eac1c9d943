package fleetview

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// upstream is the stream to the instance above.
type upstream struct {
	name  string // of the instance above
	told  *told
	began bool // a report was made
	// reported is this instance's work and that of those below it, as the present digest includes it.
	reported map[string]placement.PeerWork

	heard     clock.Instant // last digest, 0 before the first
	version   int64         // of the configuration in force above
	since     clock.Instant // first digest
	standings map[string]Status
	work      map[string]placement.PeerWork
	uses      map[string]map[string]float64 // as told, by region and organisation
	silent    []*wire.EdgeSilent
}

type pendingReport struct {
	number uint64
	uses   map[string]float64
	work   []*wire.EdgeEndpointWork
}

// SetParent begins a stream of reports to another instance.
func (n *Node) SetParent(now clock.Instant, above string) error {
	if s := n.sources[above]; s != nil && !s.ended && now.Sub(s.heard) <= MaxStatusAge {
		return ErrCycle
	}
	n.ClearParent(now)
	n.upstream = &upstream{
		name: above, told: newTold(), reported: make(map[string]placement.PeerWork), standings: make(map[string]Status),
		work: make(map[string]placement.PeerWork), uses: make(map[string]map[string]float64),
	}
	return nil
}

// ClearParent ends the stream of reports. What it has not been acknowledged goes to the next instance above.
func (n *Node) ClearParent(now clock.Instant) {
	u := n.upstream
	if u == nil {
		return
	}
	if u.heard > 0 {
		n.workBefore = n.workAbove(now)
		n.lost = n.losing(u)
	}
	n.upstream, n.path = nil, nil
	n.dropUnsent(now)
}

// dropUnsent forgets the use that was not reported for so long that the others have taken a part of the rate to be used.
func (n *Node) dropUnsent(now clock.Instant) {
	if n.upstream == nil && now.Sub(n.lastAbove) > fleetquota.SilentAfter {
		clear(n.unsent)
		n.pending, n.upEvents = nil, Events{}
	}
}

// ParentLastReceived returns when the instance above was last heard, and false before its first digest.
func (n *Node) ParentLastReceived() (clock.Instant, bool) {
	if n.upstream == nil || n.upstream.heard == 0 {
		return 0, false
	}
	return n.upstream.heard, true
}

// Parent returns the instance that this one reports to, "" if it is a root.
func (n *Node) Parent() string {
	if n.upstream == nil {
		return ""
	}
	return n.upstream.name
}

// RegionRoot returns the root of the tree that this instance is in.
func (n *Node) RegionRoot() string {
	switch {
	case n.upstream == nil:
		return n.self.Instance
	case len(n.path) == 0:
		return n.upstream.name
	}
	return n.path[len(n.path)-1]
}

// NextReport returns the next report to the instance above, or nil without one.
func (n *Node) NextReport(now clock.Instant) *wire.EdgeReport {
	u := n.upstream
	if u == nil {
		return nil
	}
	n.number++
	r := &wire.EdgeReport{Number: n.number, Complete: !u.began, ConfigurationVersion: n.version}
	if !u.began {
		r.Measured = n.measured(now)
		for i, p := range n.pending {
			r.Earlier = append(r.Earlier, &wire.EdgeUnacknowledged{Number: p.number, Uses: encodeUses(p.uses)})
			n.pending[i].work = nil // told to another instance
		}
	}
	u.began = true
	r.Silent = n.reportedSilent(now)
	r.Instances, r.Gone = u.told.instances(n.below(now))
	work := make(map[string]placement.PeerWork)
	n.addWorkBelow(now, work, nil)
	r.Endpoints = u.told.endpoints(work)
	r.Uses = encodeUses(n.unsent)
	events := n.upEvents.take()
	r.Parts, r.Refusals = events.PromptParts, events.Rejections
	n.pending = append(n.pending, pendingReport{n.number, n.unsent, r.Endpoints})
	n.unsent = make(map[string]float64)
	return r
}

// measured returns the use of this instance and those below it.
func (n *Node) measured(now clock.Instant) *wire.EdgeMeasuredUse {
	uses := make(map[string]float64)
	for _, s := range n.sources {
		if now.Sub(s.heard) <= MaxStatusAge {
			for organisation, used := range s.use.at(now) {
				uses[organisation] += used
			}
		}
	}
	return &wire.EdgeMeasuredUse{Uses: encodeUses(uses), Known: now.Sub(n.own().since) >= fleetquota.DemandWindow/2}
}

// acknowledge applies the reports up to a number, and returns the use that they held.
func (n *Node) acknowledge(number uint64) map[string]float64 {
	uses := make(map[string]float64)
	for len(n.pending) > 0 && n.pending[0].number <= number {
		takeWork(n.upstream.reported, n.pending[0].work)
		for organisation, used := range n.pending[0].uses {
			uses[organisation] += used
		}
		n.pending = n.pending[1:]
	}
	return uses
}

// ReceiveDigest takes a digest of the instance above, and returns its events.
func (n *Node) ReceiveDigest(now clock.Instant, d *wire.EdgeDigest) (Events, error) {
	u := n.upstream
	if u == nil {
		return Events{}, ErrReplaced
	}
	var s wire.EdgeFleetState
	if err := proto.Unmarshal(d.GetState(), &s); err != nil {
		return Events{}, errors.Wrap(err, "state of the fleet")
	}
	first := u.heard == 0
	switch {
	case slices.Contains(s.GetPath(), n.self.Instance):
		return Events{}, ErrCycle
	case first && !s.GetComplete():
		return Events{}, ErrOutOfOrder
	}
	if s.GetComplete() {
		clear(u.standings)
		clear(u.work)
	}
	takeStandings(u.standings, s.GetInstances(), s.GetGone())
	takeWork(u.work, s.GetEndpoints())
	if len(u.standings) > maxInstances*maxRegions || len(u.work) > maxEndpoints {
		return Events{}, ErrTooLarge
	}
	reported := n.acknowledge(d.GetAcknowledged())
	for _, r := range s.GetRegions() {
		n.takeRegion(now, r, reported, first)
	}
	if first {
		u.since = now
	}
	u.heard, u.silent, u.version = now, s.GetSilent(), s.GetConfigurationVersion()
	n.path, n.lastAbove = s.GetPath(), now
	events := Events{PromptParts: s.GetParts(), Rejections: s.GetRefusals()}
	n.events.add(events)
	return events, nil
}

// keepWork is how long the work above counts after the stream to the instance there has ended: until another one answers. It is short,
// because the same work is told again by those that now report to this instance.
const keepWork = 500 * time.Millisecond

// maxRegions bounds the instances of a whole fleet against those of a region.
const maxRegions = 16

// takeRegion takes a region's state. Of its own region, an instance counts what the others have admitted.
func (n *Node) takeRegion(now clock.Instant, r *wire.EdgeRegionState, reported map[string]float64, first bool) {
	u := n.upstream
	before := u.uses[r.GetRegion()]
	if before == nil {
		before = make(map[string]float64)
		u.uses[r.GetRegion()] = before
	}
	more := make(map[string]float64, len(r.GetUses()))
	for _, use := range r.GetUses() {
		more[use.GetName()] = use.GetUsed() - before[use.GetName()]
		before[use.GetName()] = use.GetUsed()
	}
	if r.GetRegion() == n.self.Region {
		for organisation, used := range reported {
			more[organisation] -= used
		}
	}
	if first {
		clear(more) // use of the past
	}
	if r.GetRegion() == n.self.Region {
		for organisation, used := range more {
			n.region.add(organisation, used)
			n.usedByOthers(now, organisation, used)
		}
		return
	}
	far := n.farRegion(r.GetRegion())
	for organisation, used := range more {
		far.add(organisation, used)
	}
	far.heard = max(far.heard, now.Add(-millis(r.GetAgeMillis())))
	far.services = r.GetServices()
}

// workAbove returns the work of the region's instances that are not below this one.
func (n *Node) workAbove(now clock.Instant) map[string]placement.PeerWork {
	out := make(map[string]placement.PeerWork)
	u := n.upstream
	if u == nil || u.heard == 0 {
		if now.Sub(n.lastAbove) <= keepWork {
			maps.Copy(out, n.workBefore)
		}
		return out
	}
	if now.Sub(u.heard) > placement.PeerWorkAge {
		return out
	}
	maps.Copy(out, u.work)
	for endpoint, w := range u.reported {
		out[endpoint] = out[endpoint].Minus(w)
	}
	return out
}
