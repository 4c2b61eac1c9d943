// Package fleetview combines what instances tell of themselves into one view of the fleet.
//
// The instances of a region form a tree: each reports to one that ranks above it, and the root exchanges summaries with the roots of
// other regions. A report holds the state of the sender and of all below it; the answer, a digest, holds the state of the fleet. So the
// messages of an instance do not grow with the fleet, and those of a root grow with its region. Work at endpoints goes as totals, from
// which each instance takes away what it has reported itself, and use of rates as differences, each of which is counted once
// whichever way it takes. An instance may change the one it reports to at any time, and two roots of a region do no harm: their
// trees hold different instances. The package is pure and its types are not safe for concurrent use.
package fleetview

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Standing is how an instance stands.
type Standing struct {
	Incarnation uint64
	Ready       bool
	Leaving     bool // callers are sent elsewhere
	Refusing    bool // takes no more requests
	Far         bool // in another region
}

// Own is the state of this instance.
type Own struct {
	Standing Standing
	Version  int64 // of the configuration in force
	Work     map[string]placement.Load
	Uses     map[string]float64 // admitted since the start, by organisation; may leave out what has not changed
	Services []*wire.EdgeServiceLoad
	Events
}

// Events are what instances tell once.
type Events struct {
	Parts    []*wire.EdgeEndpointParts
	Refusals []*wire.EdgeRefusal
}

func (e *Events) add(more Events) {
	e.Parts = latest(append(e.Parts, more.Parts...))
	e.Refusals = latest(append(e.Refusals, more.Refusals...))
}

func latest[T any](list []T) []T { return list[max(0, len(list)-maxEvents):] }

func (e *Events) take() Events {
	out := *e
	*e = Events{}
	return out
}

// Origin is the hash of an instance's name by which it knows its own events.
func Origin(instance string) uint32 { return uint32(xxhash.Sum64String(instance)) }

// Node is the view of the fleet at one instance.
type Node struct {
	self    peer.Identity
	sources map[string]*Source // of the region, this instance included
	far     map[string]*Source // roots of other regions
	links   map[string]*Link   // to other regions
	ownUses map[string]float64 // as told by SetOwn
	version int64

	region  totals // use by all instances of the region
	others  totals // the same without this instance's own
	regions map[string]*farRegion
	events  Events // for the instances below
	told    *told  // what the instances below know, nil: nothing

	state     uint64 // number of the present state
	changes   []byte // since the state before, encoded
	whole     []byte // of the present state, if an instance needs it
	upstream  *upstream
	number    uint64          // of the last report
	pending   []pendingReport // reports that no digest has acknowledged
	path      []string        // instances above this one, nearest first
	unsent    map[string]float64
	upEvents  Events
	lastAbove clock.Instant // when an instance above was last heard
	// workBefore is the work of others when the last stream upwards ended.
	workBefore map[string]placement.Load
	othersUse  averages
	lost       *lostRegion
}

// farRegion is what is known of another region.
type farRegion struct {
	down, local totals // use by its instances, for the instances below and for this one
	heard       clock.Instant
	services    []*wire.EdgeServiceLoad
}

// New returns the view of an instance that has heard nobody.
func New(self peer.Identity) *Node {
	n := &Node{
		self: self, sources: make(map[string]*Source), far: make(map[string]*Source), links: make(map[string]*Link),
		ownUses: make(map[string]float64), region: newTotals(), others: newTotals(), regions: make(map[string]*farRegion),
		unsent: make(map[string]float64), othersUse: make(averages),
	}
	n.sources[self.Instance] = newSource(self)
	return n
}

func (n *Node) own() *Source { return n.sources[n.self.Instance] }

// SetOwn takes the state of this instance.
func (n *Node) SetOwn(now clock.Instant, o Own) {
	own := n.own()
	own.heard, own.version, n.version = now, o.Version, o.Version
	if own.since == 0 {
		own.since = now
	}
	own.standings[n.self.Instance] = o.Standing
	own.work, own.services = o.Work, o.Services
	for organisation, total := range o.Uses {
		if used := total - n.ownUses[organisation]; used > 0 {
			n.ownUses[organisation] = total
			n.used(own, now, organisation, used)
		}
	}
	n.took(o.Events)
}

// used counts what this instance or one below it has admitted.
func (n *Node) used(s *Source, now clock.Instant, organisation string, amount float64) {
	n.region.add(organisation, amount)
	s.use.add(now, organisation, amount)
	if s != n.own() {
		n.usedByOthers(now, organisation, amount)
	}
	// What a root has counted, those below it have told or will tell another root themselves.
	if n.upstream != nil || now.Sub(n.lastAbove) <= fleetquota.UnresponsiveAfter {
		n.unsent[organisation] += amount
	}
	for _, l := range n.links {
		l.unsent[organisation] += amount
	}
}

func (n *Node) usedByOthers(now clock.Instant, organisation string, amount float64) {
	n.others.add(organisation, amount)
	if amount > 0 {
		n.othersUse.add(now, organisation, amount)
	}
}

// took passes events of this instance and those below it on: up, or down from the root.
func (n *Node) took(e Events) {
	if n.upstream != nil {
		n.upEvents.add(e)
	} else {
		n.events.add(e)
	}
}

// Join begins a stream of reports of an instance of the region.
func (n *Node) Join(from peer.Identity) (*Source, error) {
	if slices.Contains(n.path, from.Instance) {
		return nil, ErrCycle
	}
	s := newSource(from)
	if before := n.sources[from.Instance]; before != nil && before.id.Incarnation == from.Incarnation {
		s.since, s.use, s.number, s.known = before.since, before.use, before.number, before.known
	}
	n.sources[from.Instance] = s
	return s, nil
}

// End notes that the stream of a source has ended.
func (n *Node) End(s *Source) { s.ended = true }

// TakeReport takes a report of an instance below.
func (n *Node) TakeReport(now clock.Instant, s *Source, r *wire.EdgeReport) error {
	if n.sources[s.id.Instance] != s {
		return ErrReplaced
	}
	taken := s.number // reports up to this one have come on an earlier stream
	if err := s.take(now, r, r.GetEndpoints()); err != nil {
		return err
	}
	for _, earlier := range r.GetEarlier() {
		if earlier.GetNumber() > taken {
			n.usedBelow(now, s, earlier.GetUses())
		}
	}
	if m := r.GetMeasured(); m != nil {
		s.takeMeasured(now, m)
	}
	n.usedBelow(now, s, r.GetUses())
	n.took(Events{Parts: r.GetParts(), Refusals: r.GetRefusals()})
	return nil
}

func (n *Node) usedBelow(now clock.Instant, s *Source, uses []*wire.EdgeOrganisationUse) {
	for _, u := range uses {
		if u.GetUsed() > 0 {
			n.used(s, now, u.GetName(), u.GetUsed())
		}
	}
}

// Forget drops what is known of instances that are not members of the fleet any more. listed reports whether any incarnation of an
// instance is one.
func (n *Node) Forget(isMember func(name string, incarnation uint64) bool, listed func(name string) bool) {
	gone := func(_ string, s *Source) bool {
		return s.id.Instance != n.self.Instance && !isMember(s.id.Instance, s.id.Incarnation)
	}
	maps.DeleteFunc(n.sources, gone)
	maps.DeleteFunc(n.far, gone)
	if n.lost != nil {
		maps.DeleteFunc(n.lost.names, func(name string, _ bool) bool { return !listed(name) })
	}
}

// Root reports whether this instance reports to none.
func (n *Node) Root() bool { return n.upstream == nil }

// Newest returns the instance with the newest configuration among those that this one exchanges messages with, and its version.
func (n *Node) Newest() (instance string, version int64) {
	if n.upstream != nil {
		instance, version = n.upstream.name, n.upstream.version
	}
	for _, sources := range []map[string]*Source{n.sources, n.far} {
		for name, s := range sources {
			if s.version > version {
				instance, version = name, s.version
			}
		}
	}
	return instance, version
}

// Heard is how an instance stands and when it was last heard.
type Heard struct {
	Standing
	At clock.Instant
}

// Standings returns how the instances stand that were heard lately, this one among them.
func (n *Node) Standings(now clock.Instant) map[string]Heard {
	out := make(map[string]Heard)
	put := func(standings map[string]Standing, at clock.Instant, far bool) {
		for name, s := range standings {
			s.Far = s.Far || far
			if before, known := out[name]; !known || at > before.At {
				out[name] = Heard{s, at}
			}
		}
	}
	if u := n.upstream; u != nil {
		put(u.standings, u.heard, false)
	}
	for far, sources := range map[bool]map[string]*Source{false: n.sources, true: n.far} {
		for _, s := range sources {
			if now.Sub(s.heard) <= HeardFor {
				put(s.standings, s.heard, far)
			}
		}
	}
	return out
}

// below returns how this instance and those below it stand.
func (n *Node) below(now clock.Instant) map[string]Standing {
	out := make(map[string]Standing)
	for _, s := range n.sources {
		if now.Sub(s.heard) <= HeardFor {
			maps.Copy(out, s.standings)
		}
	}
	return out
}

// OthersWork returns the work of the region's other instances at each endpoint.
func (n *Node) OthersWork(now clock.Instant) map[string]placement.Load {
	out := n.workAbove(now)
	n.addWorkBelow(now, out, n.own())
	return out
}

func (n *Node) addWorkBelow(now clock.Instant, to map[string]placement.Load, without *Source) {
	for _, s := range n.sources {
		if s == without || now.Sub(s.heard) > placement.PeerLoadMaxAge {
			continue
		}
		for endpoint, w := range s.work {
			to[endpoint] = to[endpoint].Plus(w)
		}
	}
}

// Uses returns what other instances have admitted, by region and organisation, where it has changed since the last call, in
// numbers that only grow while this instance runs; and when each region was last heard.
func (n *Node) Uses() map[string]RegionUses {
	out := map[string]RegionUses{n.self.Region: {Uses: n.others.take(), Heard: n.regionHeard()}}
	for name, r := range n.regions {
		out[name] = RegionUses{Uses: r.local.take(), Heard: r.heard}
	}
	return out
}

// RegionUses is what a region's instances have admitted.
type RegionUses struct {
	Uses  map[string]float64
	Heard clock.Instant
}

// regionHeard is when this instance last heard of others of its region.
func (n *Node) regionHeard() clock.Instant {
	at := n.lastAbove
	for _, s := range n.sources {
		if s != n.own() {
			at = max(at, s.heard)
		}
	}
	return at
}

// Services returns the load of the services of other regions.
func (n *Node) Services() map[string][]*wire.EdgeServiceLoad {
	out := make(map[string][]*wire.EdgeServiceLoad, len(n.regions))
	for name, r := range n.regions {
		out[name] = r.services
	}
	return out
}
