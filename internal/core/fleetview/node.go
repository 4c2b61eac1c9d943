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

// Status is how an instance stands.
type Status struct {
	Incarnation uint64
	Ready       bool
	Leaving     bool // callers are sent elsewhere
	Rejecting    bool // takes no more requests
	Remote         bool // in another region
}

// OwnState is the state of this instance.
type OwnState struct {
	Status Status
	ConfigVersion  int64 // of the configuration in force
	Load     map[string]placement.PeerWork
	Usage     map[string]float64 // admitted since the start, by organisation; may leave out what has not changed
	Services []*wire.EdgeServiceLoad
	Events
}

// Events are what instances tell once.
type Events struct {
	PromptParts    []*wire.EdgeEndpointParts
	Rejections []*wire.EdgeRefusal
}

func (e *Events) add(more Events) {
	e.PromptParts = latest(append(e.PromptParts, more.PromptParts...))
	e.Rejections = latest(append(e.Rejections, more.Rejections...))
}

func latest[T any](list []T) []T { return list[max(0, len(list)-maxEvents):] }

func (e *Events) take() Events {
	out := *e
	*e = Events{}
	return out
}

// OriginHash is the hash of an instance's name by which it knows its own events.
func OriginHash(instance string) uint32 { return uint32(xxhash.Sum64String(instance)) }

// Node is the view of the fleet at one instance.
type Node struct {
	self    peer.Identity
	sources map[string]*Source // of the region, this instance included
	far     map[string]*Source // roots of other regions
	links   map[string]*SummaryStream   // to other regions
	ownUses map[string]float64 // as told by SetOwnState
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
	workBefore map[string]placement.PeerWork
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
		self: self, sources: make(map[string]*Source), far: make(map[string]*Source), links: make(map[string]*SummaryStream),
		ownUses: make(map[string]float64), region: newTotals(), others: newTotals(), regions: make(map[string]*farRegion),
		unsent: make(map[string]float64), othersUse: make(averages),
	}
	n.sources[self.Instance] = newSource(self)
	return n
}

func (n *Node) own() *Source { return n.sources[n.self.Instance] }

// SetOwnState takes the state of this instance.
func (n *Node) SetOwnState(now clock.Instant, o OwnState) {
	own := n.own()
	own.heard, own.version, n.version = now, o.ConfigVersion, o.ConfigVersion
	if own.since == 0 {
		own.since = now
	}
	own.standings[n.self.Instance] = o.Status
	own.work, own.services = o.Load, o.Services
	for organisation, total := range o.Usage {
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
	if n.upstream != nil || now.Sub(n.lastAbove) <= fleetquota.SilentAfter {
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

// AddChild begins a stream of reports of an instance of the region.
func (n *Node) AddChild(from peer.Identity) (*Source, error) {
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

// StreamEnded notes that the stream of a source has ended.
func (n *Node) StreamEnded(s *Source) { s.ended = true }

// ReceiveReport takes a report of an instance below.
func (n *Node) ReceiveReport(now clock.Instant, s *Source, r *wire.EdgeReport) error {
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
	n.took(Events{PromptParts: r.GetParts(), Rejections: r.GetRefusals()})
	return nil
}

func (n *Node) usedBelow(now clock.Instant, s *Source, uses []*wire.EdgeOrganisationUse) {
	for _, u := range uses {
		if u.GetUsed() > 0 {
			n.used(s, now, u.GetName(), u.GetUsed())
		}
	}
}

// DropNonMembers drops what is known of instances that are not members of the fleet any more. listed reports whether any incarnation of an
// instance is one.
func (n *Node) DropNonMembers(isMember func(name string, incarnation uint64) bool, listed func(name string) bool) {
	gone := func(_ string, s *Source) bool {
		return s.id.Instance != n.self.Instance && !isMember(s.id.Instance, s.id.Incarnation)
	}
	maps.DeleteFunc(n.sources, gone)
	maps.DeleteFunc(n.far, gone)
	if n.lost != nil {
		maps.DeleteFunc(n.lost.names, func(name string, _ bool) bool { return !listed(name) })
	}
}

// IsRoot reports whether this instance reports to none.
func (n *Node) IsRoot() bool { return n.upstream == nil }

// NewestConfig returns the instance with the newest configuration among those that this one exchanges messages with, and its version.
func (n *Node) NewestConfig() (instance string, version int64) {
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

// ReceivedStatus is how an instance stands and when it was last heard.
type ReceivedStatus struct {
	Status
	ReceivedAt clock.Instant
}

// Statuses returns how the instances stand that were heard lately, this one among them.
func (n *Node) Statuses(now clock.Instant) map[string]ReceivedStatus {
	out := make(map[string]ReceivedStatus)
	put := func(standings map[string]Status, at clock.Instant, far bool) {
		for name, s := range standings {
			s.Remote = s.Remote || far
			if before, known := out[name]; !known || at > before.ReceivedAt {
				out[name] = ReceivedStatus{s, at}
			}
		}
	}
	if u := n.upstream; u != nil {
		put(u.standings, u.heard, false)
	}
	for far, sources := range map[bool]map[string]*Source{false: n.sources, true: n.far} {
		for _, s := range sources {
			if now.Sub(s.heard) <= MaxStatusAge {
				put(s.standings, s.heard, far)
			}
		}
	}
	return out
}

// below returns how this instance and those below it stand.
func (n *Node) below(now clock.Instant) map[string]Status {
	out := make(map[string]Status)
	for _, s := range n.sources {
		if now.Sub(s.heard) <= MaxStatusAge {
			maps.Copy(out, s.standings)
		}
	}
	return out
}

// PeerLoad returns the work of the region's other instances at each endpoint.
func (n *Node) PeerLoad(now clock.Instant) map[string]placement.PeerWork {
	out := n.workAbove(now)
	n.addWorkBelow(now, out, n.own())
	return out
}

func (n *Node) addWorkBelow(now clock.Instant, to map[string]placement.PeerWork, without *Source) {
	for _, s := range n.sources {
		if s == without || now.Sub(s.heard) > placement.PeerWorkAge {
			continue
		}
		for endpoint, w := range s.work {
			to[endpoint] = to[endpoint].Plus(w)
		}
	}
}

// PeerUsage returns what other instances have admitted, by region and organisation, where it has changed since the last call, in
// numbers that only grow while this instance runs; and when each region was last heard.
func (n *Node) PeerUsage() map[string]RegionUsage {
	out := map[string]RegionUsage{n.self.Region: {Usage: n.others.take(), ReceivedAt: n.regionHeard()}}
	for name, r := range n.regions {
		out[name] = RegionUsage{Usage: r.local.take(), ReceivedAt: r.heard}
	}
	return out
}

// RegionUsage is what a region's instances have admitted.
type RegionUsage struct {
	Usage  map[string]float64
	ReceivedAt clock.Instant
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

// RemoteServices returns the load of the services of other regions.
func (n *Node) RemoteServices() map[string][]*wire.EdgeServiceLoad {
	out := make(map[string][]*wire.EdgeServiceLoad, len(n.regions))
	for name, r := range n.regions {
		out[name] = r.services
	}
	return out
}
