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

// parentStream is the stream of reports to the parent, with what its digests hold.
type parentStream struct {
	name    string     // of the parent
	sent    *sentState // state that the parent has been sent
	started bool       // a report was sent
	// names are those sent to the parent in reports of the compact form, nil in the other form.
	names         *nameTable
	receivedNames receivedNames
	// acknowledgedLoad is the load of this instance and its descendants that the last digest includes.
	acknowledgedLoad map[string]placement.Load

	lastReceived clock.Instant // last digest, 0 before the first
	// rootStateNumber is the number of the root's state in the last digest.
	rootStateNumber uint64
	configVersion   int64                         // of the parent's configuration in force
	firstReceived   clock.Instant                 // first digest
	statuses        map[string]Status             // by name
	loads           map[string]placement.Load     // by endpoint
	usage           map[string]map[string]float64 // totals of the last digests, by region and organisation
	unresponsive    []*wire.EdgeSilent
	// confirmFrom is the number of the first report on the stream if usage was sent again with it, 0 when that is confirmed.
	confirmFrom uint64
	services    []*wire.EdgeServiceLoad // of the region, those with engines
}

// pendingReport is the content of a report whose usage the region's root has not confirmed yet.
type pendingReport struct {
	number       uint64
	usage        map[string]float64 // own
	descendants  []descendantUse
	loads        []*wire.EdgeEndpointWork
	childNumbers map[*Source]uint64 // the last report of each child that this report includes
	acknowledged bool               // by a digest of a parent
}

// SetParent begins a stream of reports to another instance. It returns ErrCycle if that instance reports to this one.
func (n *Node) SetParent(now clock.Instant, parent string) error {
	if s := n.sources[parent]; s != nil && !s.ended && now.Sub(s.lastReceived) <= MaxStatusAge {
		return ErrCycle
	}
	n.ClearParent(now)
	n.parent = &parentStream{
		name: parent, sent: newSentState(), acknowledgedLoad: make(map[string]placement.Load), statuses: make(map[string]Status),
		loads: make(map[string]placement.Load), usage: make(map[string]map[string]float64),
	}
	if n.compact {
		n.parent.names = newNameTable()
	}
	return nil
}

// ClearParent ends the stream of reports. Usage that was not acknowledged is sent to the next parent.
func (n *Node) ClearParent(now clock.Instant) {
	parent := n.parent
	if parent == nil {
		return
	}
	if parent.lastReceived > 0 {
		n.formerParentLoad = n.loadOutsideSubtree(now)
		n.lostWithParent = n.newLostRegion(parent)
	}
	n.parent, n.ancestors = nil, nil
	n.dropStaleUsage(now)
}

// dropStaleUsage discards the usage that was not reported in time: by now the other instances reserve a part of the
// rate for this one.
func (n *Node) dropStaleUsage(now clock.Instant) {
	if n.parent == nil && now.Sub(n.parentLastReceived) > fleetquota.UnresponsiveAfter {
		clear(n.unsentUsage)
		n.unacknowledged, n.unsentDescendants, n.parentEvents = nil, nil, Events{}
	}
}

// ParentLastReceived returns when the last digest of the parent arrived, and false before the first.
func (n *Node) ParentLastReceived() (clock.Instant, bool) {
	if n.parent == nil || n.parent.lastReceived == 0 {
		return 0, false
	}
	return n.parent.lastReceived, true
}

// Parent returns the name of the instance that this one reports to, "" if it is a root.
func (n *Node) Parent() string {
	if n.parent == nil {
		return ""
	}
	return n.parent.name
}

// RegionRoot returns the name of the root of the tree that this instance is in.
func (n *Node) RegionRoot() string {
	switch {
	case n.parent == nil:
		return n.self.Instance
	case len(n.ancestors) == 0:
		return n.parent.name
	}
	return n.ancestors[len(n.ancestors)-1]
}

// NextReport returns the next report to the parent, or nil if this instance is a root.
func (n *Node) NextReport(now clock.Instant) *wire.EdgeReport {
	parent := n.parent
	if parent == nil {
		return nil
	}
	n.reportNumber++
	r := &wire.EdgeReport{Number: n.reportNumber, Complete: !parent.started, ConfigurationVersion: n.configVersion}
	if !parent.started {
		r.Measured = n.measuredUsage(now)
		for i, p := range n.unacknowledged {
			r.Earlier = append(r.Earlier, &wire.EdgeUnacknowledged{Number: p.number, Uses: encodeUsage(p.usage), Descendants: encodeDescendants(p.descendants)})
			n.unacknowledged[i].loads = nil // was reported to another parent
			parent.confirmFrom = n.reportNumber
		}
	}
	parent.started = true
	r.Silent = n.reportedUnresponsive(now)
	r.Instances, r.Gone = parent.sent.statusChanges(n.subtreeStatuses(now))
	load := make(map[string]placement.Load)
	n.addSubtreeLoad(now, load, nil)
	usage, rest := n.unsentUsage, make(map[string]float64)
	if parent.names != nil {
		roundLoads(load)
		usage, rest = takeWholeUnits(usage)
	}
	r.Endpoints = parent.sent.loadChanges(load)
	r.Limits = parent.sent.limitChanges(n.limits.Statements())
	r.Crashes = parent.sent.crashChanges(now, n.crashes)
	r.Notices = parent.sent.noticeChanges(n.notices.Advice(now))
	r.Paces = parent.sent.paces.changes(now, n.paces)
	r.Uses = encodeUsage(usage)
	r.Demand = n.subtreeDemand(now)
	events := n.parentEvents.take()
	r.Parts, r.Refusals = events.PromptParts, events.Rejections
	r.Descendants = encodeDescendants(n.unsentDescendants)
	n.unacknowledged = append(n.unacknowledged, pendingReport{
		number: n.reportNumber, usage: usage, descendants: n.unsentDescendants, loads: r.Endpoints, childNumbers: n.childNumbers(),
	})
	n.unsentUsage, n.unsentDescendants = rest, nil
	if parent.names != nil {
		parent.names.packReport(r)
	}
	return r
}

// measuredUsage returns the usage per second of this instance and its descendants.
func (n *Node) measuredUsage(now clock.Instant) *wire.EdgeMeasuredUse {
	usage := make(map[string]float64)
	for _, s := range n.sources {
		if now.Sub(s.lastReceived) <= MaxStatusAge {
			for organisation, used := range s.averageUsage.at(now) {
				usage[organisation] += used
			}
		}
	}
	return &wire.EdgeMeasuredUse{Uses: encodeUsage(usage), Known: now.Sub(n.ownSource().firstReceived) >= fleetquota.UsageWindow/2}
}

// acknowledge records that a digest includes the reports up to a number, adds their loads to acknowledgedLoad and returns their
// usage. Reports up to the number settled have reached the region's root and are removed.
func (n *Node) acknowledge(number, settled uint64) map[string]float64 {
	usage := make(map[string]float64)
	for i := range n.unacknowledged {
		p := &n.unacknowledged[i]
		if p.number > number {
			break
		}
		if p.acknowledged {
			continue
		}
		p.acknowledged = true
		applyLoads(n.parent.acknowledgedLoad, p.loads)
		for organisation, used := range p.usage {
			usage[organisation] += used
		}
		for _, d := range p.descendants {
			if d.countedHere {
				for organisation, used := range d.usage {
					usage[organisation] += used
				}
			}
		}
	}
	for len(n.unacknowledged) > 0 && n.unacknowledged[0].number <= settled {
		for s, last := range n.unacknowledged[0].childNumbers {
			s.settledReport = last
		}
		n.unacknowledged = n.unacknowledged[1:]
	}
	if n.parent.confirmFrom <= settled {
		n.parent.confirmFrom = 0
	}
	return usage
}

// ReceiveDigest applies a digest of the parent, and returns its events.
func (n *Node) ReceiveDigest(now clock.Instant, d *wire.EdgeDigest) (Events, error) {
	parent := n.parent
	if parent == nil {
		return Events{}, ErrReplaced
	}
	var s wire.EdgeFleetState
	if err := proto.Unmarshal(d.GetState(), &s); err != nil {
		return Events{}, errors.Wrap(err, "state of the fleet")
	}
	first := parent.lastReceived == 0
	switch {
	case slices.Contains(s.GetPath(), n.self.Instance):
		return Events{}, ErrCycle
	case first && !s.GetComplete():
		return Events{}, ErrOutOfOrder
	}
	if err := parent.receivedNames.unpackState(&s); err != nil {
		return Events{}, err
	}
	if s.GetComplete() {
		clear(parent.statuses)
		clear(parent.loads)
	}
	applyStatuses(parent.statuses, s.GetInstances(), s.GetGone())
	applyLoads(parent.loads, s.GetEndpoints())
	if len(parent.statuses) > maxInstances*maxRegions || len(parent.loads) > maxEndpoints {
		return Events{}, ErrTooLarge
	}
	if err := n.mergeLimits(now, s.GetLimits()); err != nil {
		return Events{}, err
	}
	if err := n.mergeCrashes(now, s.GetCrashes()); err != nil {
		return Events{}, err
	}
	if err := n.mergeNotices(now, s.GetNotices()); err != nil {
		return Events{}, err
	}
	if err := n.mergePaces(now, s.GetPaces(), parent.sent.paces); err != nil {
		return Events{}, err
	}
	// Usage that was sent again on this stream may have been counted before. Until the root has confirmed it, the increase of the
	// region's usage cannot be told apart from it.
	unclear := first || parent.confirmFrom > 0
	acknowledged := n.acknowledge(d.GetAcknowledged(), d.GetAcknowledged()-min(d.GetUnsettled(), d.GetAcknowledged()))
	for _, r := range s.GetRegions() {
		n.receiveRegion(now, r, acknowledged, first, unclear)
	}
	if first {
		parent.firstReceived = now
	}
	parent.lastReceived, parent.unresponsive, parent.configVersion = now, s.GetSilent(), s.GetConfigurationVersion()
	n.ancestors, n.parentLastReceived, parent.rootStateNumber = s.GetPath(), now, s.GetNumber()
	events := Events{PromptParts: s.GetParts(), Rejections: s.GetRefusals()}
	n.childEvents.add(events)
	return events, nil
}

// formerLoadTTL is how long the load received from a former parent is still counted, until another parent answers. It
// is short, because instances that now report to this one report the same load again.
const formerLoadTTL = 500 * time.Millisecond

// maxRegions limits the instances that a digest may name, as a multiple of the limit for a region.
const maxRegions = 16

// receiveRegion applies the state of a region in a digest. acknowledged is the usage of this instance and its
// descendants that the digest includes for the first time; it is subtracted from that of the own region. The increase of the own
// region's usage is not counted if it is unclear which part of it is new.
func (n *Node) receiveRegion(now clock.Instant, r *wire.EdgeRegionState, acknowledged map[string]float64, first, unclear bool) {
	parent := n.parent
	before := parent.usage[r.GetRegion()]
	if before == nil {
		before = make(map[string]float64)
		parent.usage[r.GetRegion()] = before
	}
	increase := make(map[string]float64, len(r.GetUses()))
	for _, use := range r.GetUses() {
		increase[use.GetName()] = usedBy(use) - before[use.GetName()]
		before[use.GetName()] = usedBy(use)
	}
	if r.GetRegion() == n.self.Region {
		for organisation, used := range acknowledged {
			increase[organisation] -= used
		}
	}
	if first || unclear && r.GetRegion() == n.self.Region {
		clear(increase) // usage from before this stream
	}
	if r.GetRegion() == n.self.Region {
		parent.services = r.GetServices()
		for organisation, used := range increase {
			n.regionUsage.add(organisation, used)
			n.addPeerUsage(now, organisation, used)
		}
		return
	}
	remote := n.remoteRegion(r.GetRegion())
	for organisation, used := range increase {
		remote.add(organisation, used)
	}
	remote.lastReceived = max(remote.lastReceived, now.Add(-millis(r.GetAgeMillis())))
	if !r.GetSameServices() {
		remote.setServices(r.GetServices())
	}
}

// loadOutsideSubtree returns the load of the region's instances that are neither this one nor its descendants.
func (n *Node) loadOutsideSubtree(now clock.Instant) map[string]placement.Load {
	out := make(map[string]placement.Load)
	parent := n.parent
	if parent == nil || parent.lastReceived == 0 {
		if now.Sub(n.parentLastReceived) <= formerLoadTTL {
			maps.Copy(out, n.formerParentLoad)
		}
		return out
	}
	if now.Sub(parent.lastReceived) > placement.PeerLoadMaxAge {
		return out
	}
	maps.Copy(out, parent.loads)
	for endpoint, w := range parent.acknowledgedLoad {
		out[endpoint] = out[endpoint].Minus(w)
	}
	return out
}
