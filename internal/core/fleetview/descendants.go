package fleetview

import (
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// descendantUse is the usage in one report of a descendant. It is passed on with the number of the report, so that the root counts it
// once even if the descendant sends it again on another path: after its parent has died, was paused or cut off.
type descendantUse struct {
	name        string
	incarnation uint64
	number      uint64
	usage       map[string]float64
	resent      bool // sent before on another path
	countedHere bool // in this instance's own totals
}

// counted is the last report of an instance whose usage was counted here or passed on.
type counted struct {
	incarnation, number uint64
}

// receiveUsage counts the usage in one report of a child or of a descendant, unless it was received before. An instance that is not
// the root does not count usage that was sent before on another path, since it cannot tell whether the root has: it passes the usage on,
// and receives it with the totals of the region if the root counts it.
func (n *Node) receiveUsage(now clock.Instant, s *Source, u *wire.EdgeDescendantUse) {
	if last := n.counted[u.GetName()]; last.incarnation == u.GetIncarnation() && last.number >= u.GetNumber() {
		return
	}
	n.counted[u.GetName()] = counted{u.GetIncarnation(), u.GetNumber()}
	keeps := n.keepsUsage(now)
	d := descendantUse{name: u.GetName(), incarnation: u.GetIncarnation(), number: u.GetNumber(), usage: make(map[string]float64),
		resent: u.GetResent(), countedHere: !u.GetResent() || !keeps}
	for _, use := range u.GetUses() {
		if usedBy(use) <= 0 {
			continue
		}
		d.usage[use.GetName()] += usedBy(use)
		if d.countedHere {
			n.addUsage(s, now, use.GetName(), usedBy(use))
		}
	}
	if keeps && len(d.usage) > 0 {
		n.unsentDescendants = append(n.unsentDescendants, d)
	}
}

// receiveDescendants counts the usage of descendants in a report of a child. resent says that it was sent before on another path.
func (n *Node) receiveDescendants(now clock.Instant, s *Source, list []*wire.EdgeDescendantUse, resent bool) {
	for _, u := range list {
		u.Resent = u.GetResent() || resent
		n.receiveUsage(now, s, u)
	}
}

func encodeDescendants(list []descendantUse) []*wire.EdgeDescendantUse {
	out := make([]*wire.EdgeDescendantUse, 0, len(list))
	for _, d := range list {
		out = append(out, &wire.EdgeDescendantUse{Name: d.name, Incarnation: d.incarnation, Number: d.number, Uses: encodeUsage(d.usage), Resent: d.resent})
	}
	return out
}

// childNumbers returns the number of the last report of each child.
func (n *Node) childNumbers() map[*Source]uint64 {
	out := make(map[*Source]uint64, len(n.sources))
	for _, s := range n.sources {
		if s != n.ownSource() && s.started {
			out[s] = s.lastNumber
		}
	}
	return out
}

// partNotMoved returns the part of a source's instances that have not been heard of on another path since the source was last received
// from. Its load counts in this proportion, since an instance that reports to another parent reports the same load again there.
func (n *Node) partNotMoved(now clock.Instant, s *Source) float64 {
	if s == n.ownSource() || len(s.statuses) == 0 || !s.ended && now.Sub(s.lastReceived) <= fleetquota.UnresponsiveAfter {
		return 1
	}
	left := 0
	for name := range s.statuses {
		if !n.receivedThrough(name, s, s.lastReceived) {
			left++
		}
	}
	return float64(left) / float64(len(s.statuses))
}

// scaled returns a part of a load.
func scaled(l placement.Load, part float64) placement.Load {
	if part == 1 {
		return l
	}
	return placement.Load{Requests: int(float64(l.Requests)*part + 0.5), PendingPrefill: l.PendingPrefill * part, Memory: l.Memory * part}
}
