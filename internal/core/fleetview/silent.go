package fleetview

import (
	"maps"
	"slices"
	"strings"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// lostRegion is what an instance knew of its region when the stream to its parent ended.
type lostRegion struct {
	at         clock.Instant      // when the parent was last received from
	names      map[string]bool    // of the instances whose status came through the parent
	usage      map[string]float64 // per second, by organisation
	usageKnown bool               // usage was averaged over a sufficient time
}

// newLostRegion records the instances whose status came through the parent, and their usage.
func (n *Node) newLostRegion(parent *parentStream) *lostRegion {
	l := &lostRegion{
		at: parent.lastReceived, names: make(map[string]bool), usage: n.peerAverages.at(parent.lastReceived), usageKnown: parent.lastReceived.Sub(parent.firstReceived) >= fleetquota.UsageWindow/2,
	}
	for name, s := range parent.statuses {
		if _, isDescendant := parent.sent.statuses[name]; !isDescendant && !s.Remote && !s.Rejecting {
			l.names[name] = true
		}
	}
	for name, s := range n.sources { // children that kept reporting to this instance were never lost
		if name != n.self.Instance {
			for organisation, amount := range s.averageUsage.at(parent.lastReceived) {
				l.usage[organisation] = max(0, l.usage[organisation]-amount)
			}
		}
	}
	return l
}

// Unresponsive returns the instances that may be serving callers but from which no messages arrive, each with its usage
// per second before it became unresponsive.
func (n *Node) Unresponsive(now clock.Instant) []*wire.EdgeSilent {
	out := make(map[string]*wire.EdgeSilent)
	if n.parent != nil {
		for _, s := range n.parent.unresponsive {
			out[s.GetName()] = s
		}
	}
	n.addUnresponsiveDescendants(now, out)
	n.addLostWithParent(now, out)
	n.addUnresponsiveRemote(now, out)
	return slices.SortedFunc(maps.Values(out), func(a, b *wire.EdgeSilent) int { return strings.Compare(a.GetName(), b.GetName()) })
}

// reportedUnresponsive returns the unresponsive instances that this one reports to its parent and to remote regions.
func (n *Node) reportedUnresponsive(now clock.Instant) []*wire.EdgeSilent {
	out := make(map[string]*wire.EdgeSilent)
	n.addUnresponsiveDescendants(now, out)
	return slices.Collect(maps.Values(out))
}

// addUnresponsiveDescendants adds the unresponsive instances among those that reported to this one or to one of its
// descendants.
func (n *Node) addUnresponsiveDescendants(now clock.Instant, to map[string]*wire.EdgeSilent) {
	for name, s := range n.sources {
		if s == n.ownSource() || s.lastReceived == 0 || len(s.statuses) <= 1 && s.statuses[name].Rejecting {
			continue
		}
		if now.Sub(s.lastReceived) > fleetquota.UnresponsiveAfter {
			n.addUnresponsiveSubtree(s, to)
			continue
		}
		for _, silent := range s.unresponsive {
			if !n.receivedThrough(silent.GetName(), s, now.Add(-fleetquota.UnresponsiveAfter)) {
				to[silent.GetName()] = silent
			}
		}
	}
}

// addLostWithParent adds the instances whose status came through the last parent and from which nothing has arrived
// since. A root that has replaced another one has received no reports from them. It estimates their usage as the usage
// of the region minus that of the instances that report to it now, and divides it evenly among them.
func (n *Node) addLostWithParent(now clock.Instant, to map[string]*wire.EdgeSilent) {
	if n.lostWithParent == nil || n.parent != nil || now.Sub(n.lostWithParent.at) <= fleetquota.UnresponsiveAfter {
		return
	}
	var names []string
	for name := range n.lostWithParent.names {
		if !n.receivedThrough(name, nil, n.lostWithParent.at) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	remaining := maps.Clone(n.lostWithParent.usage)
	for name, s := range n.sources {
		if !n.lostWithParent.names[name] || s.lastReceived <= n.lostWithParent.at {
			continue
		}
		for organisation, amount := range s.measuredBefore {
			remaining[organisation] = max(0, remaining[organisation]-amount)
		}
	}
	for _, name := range names {
		silent := &wire.EdgeSilent{Name: name, Known: n.lostWithParent.usageKnown}
		for organisation, amount := range remaining {
			silent.Uses = append(silent.Uses, &wire.EdgeOrganisationUse{Name: organisation, Used: amount / float64(len(names))})
		}
		to[name] = silent
	}
}

// addUnresponsiveRemote adds the unresponsive instances that the roots of remote regions name.
func (n *Node) addUnresponsiveRemote(now clock.Instant, to map[string]*wire.EdgeSilent) {
	for _, s := range n.remoteRoots {
		if now.Sub(s.lastReceived) <= MaxStatusAge {
			for _, silent := range s.unresponsive {
				to[silent.GetName()] = silent
			}
		}
	}
}

// receivedThrough reports whether the status of an instance has arrived after a moment through another source than
// except.
func (n *Node) receivedThrough(name string, except *Source, since clock.Instant) bool {
	for _, s := range n.sources {
		if _, known := s.statuses[name]; known && s != except && s.lastReceived > since {
			return true
		}
	}
	if n.parent != nil && n.parent.lastReceived > since {
		_, known := n.parent.statuses[name]
		_, reported := n.parent.sent.statuses[name]
		return known && !reported
	}
	return false
}

// addUnresponsiveSubtree adds the instances that a source reported for and that have not been heard of on another path since. Each
// has an even part of the source's usage when it was last received from.
func (n *Node) addUnresponsiveSubtree(s *Source, to map[string]*wire.EdgeSilent) {
	size := max(1, len(s.statuses))
	usage := s.averageUsage.at(s.lastReceived)
	for organisation := range usage {
		usage[organisation] /= float64(size)
	}
	known := s.usageKnown || s.lastReceived.Sub(s.firstReceived) >= fleetquota.UsageWindow/2
	add := func(name string) {
		if !s.statuses[name].Rejecting && !n.receivedThrough(name, s, s.lastReceived) {
			to[name] = &wire.EdgeSilent{Name: name, Known: known, Uses: encodeUsage(usage)}
		}
	}
	add(s.id.Instance)
	for name := range s.statuses {
		add(name)
	}
}
