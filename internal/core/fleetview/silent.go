package fleetview

import (
	"maps"
	"slices"
	"strings"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// lostRegion is what an instance knew of its region when the stream upwards ended.
type lostRegion struct {
	at    clock.Instant
	names map[string]bool // of the instances that were heard through it
	uses  map[string]float64
	known bool
}

// losing notes who was heard through the instance above, and what they used.
func (n *Node) losing(u *upstream) *lostRegion {
	l := &lostRegion{
		at: u.heard, names: make(map[string]bool), uses: n.othersUse.at(u.heard), known: u.heard.Sub(u.since) >= fleetquota.DemandWindow/2,
	}
	for name, s := range u.standings {
		if _, below := u.told.standings[name]; !below && !s.Remote && !s.Rejecting {
			l.names[name] = true
		}
	}
	for name, s := range n.sources { // those that went on reporting to this one were never lost
		if name != n.self.Instance {
			for organisation, used := range s.use.at(u.heard) {
				l.uses[organisation] = max(0, l.uses[organisation]-used)
			}
		}
	}
	return l
}

// Unresponsive returns the instances that may be serving callers and are not heard of, each with its use a second before its silence.
func (n *Node) Unresponsive(now clock.Instant) []*wire.EdgeSilent {
	out := make(map[string]*wire.EdgeSilent)
	if n.upstream != nil {
		for _, s := range n.upstream.silent {
			out[s.GetName()] = s
		}
	}
	n.silentBelow(now, out)
	n.missing(now, out)
	n.silentFar(now, out)
	return slices.SortedFunc(maps.Values(out), func(a, b *wire.EdgeSilent) int { return strings.Compare(a.GetName(), b.GetName()) })
}

// reportedSilent returns the silent instances that this one tells of upwards and to other regions.
func (n *Node) reportedSilent(now clock.Instant) []*wire.EdgeSilent {
	out := make(map[string]*wire.EdgeSilent)
	n.silentBelow(now, out)
	return slices.Collect(maps.Values(out))
}

// silentBelow adds the silent instances among those that reported to this one, or to one that does.
func (n *Node) silentBelow(now clock.Instant, to map[string]*wire.EdgeSilent) {
	for name, s := range n.sources {
		if s == n.own() || s.heard == 0 || s.standings[name].Rejecting {
			continue
		}
		if now.Sub(s.heard) > fleetquota.SilentAfter {
			if !n.heardThrough(name, s, s.heard) {
				to[name] = s.asSilent()
			}
			continue
		}
		for _, silent := range s.silent {
			if !n.heardThrough(silent.GetName(), s, now.Add(-fleetquota.SilentAfter)) {
				to[silent.GetName()] = silent
			}
		}
	}
}

// missing adds the instances that were heard through the last instance above and have not been heard since. A root that has taken the
// place of another one did not hear them itself: it knows their use as what is left of the region's without those that report to it
// now, and divides it evenly among them.
func (n *Node) missing(now clock.Instant, to map[string]*wire.EdgeSilent) {
	if n.lost == nil || n.upstream != nil || now.Sub(n.lost.at) <= fleetquota.SilentAfter {
		return
	}
	var names []string
	for name := range n.lost.names {
		if !n.heardThrough(name, nil, n.lost.at) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	left := maps.Clone(n.lost.uses)
	for name, s := range n.sources {
		if !n.lost.names[name] || s.heard <= n.lost.at {
			continue
		}
		for organisation, used := range s.measured {
			left[organisation] = max(0, left[organisation]-used)
		}
	}
	for _, name := range names {
		silent := &wire.EdgeSilent{Name: name, Known: n.lost.known}
		for organisation, used := range left {
			silent.Uses = append(silent.Uses, &wire.EdgeOrganisationUse{Name: organisation, Used: used / float64(len(names))})
		}
		to[name] = silent
	}
}

func (n *Node) silentFar(now clock.Instant, to map[string]*wire.EdgeSilent) {
	for _, s := range n.far {
		if now.Sub(s.heard) <= MaxStatusAge {
			for _, silent := range s.silent {
				to[silent.GetName()] = silent
			}
		}
	}
}

// heardThrough reports whether an instance was heard since then through another source than the given one.
func (n *Node) heardThrough(name string, not *Source, since clock.Instant) bool {
	for _, s := range n.sources {
		if _, has := s.standings[name]; has && s != not && s.heard > since {
			return true
		}
	}
	if n.upstream != nil && n.upstream.heard > since {
		_, has := n.upstream.standings[name]
		_, reported := n.upstream.told.standings[name]
		return has && !reported
	}
	return false
}

func (s *Source) asSilent() *wire.EdgeSilent {
	return &wire.EdgeSilent{
		Name: s.id.Instance, Known: s.known || s.heard.Sub(s.since) >= fleetquota.DemandWindow/2, Uses: encodeUses(s.use.at(s.heard)),
	}
}
