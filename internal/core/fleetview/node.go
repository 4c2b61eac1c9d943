// Package fleetview combines the states that instances report into one view of the fleet.
//
// The instances of a region form a tree: each reports to its parent, which is ranked higher, and the root exchanges
// summaries with the roots of other regions. A report holds the state of the sender and of all its descendants; the
// parent's answer, a digest, holds the state of the fleet. So the messages of an instance do not grow with the size of
// the fleet, and those of a root grow with the size of its region.
//
// Loads at endpoints are sent as totals; each instance subtracts what it has reported itself. Usage of rates is sent as
// differences, each of which is counted once whichever path it takes through the tree.
//
// An instance may change its parent at any time. Two roots in one region do no harm, since their trees contain
// different instances. The package performs no I/O and reads no clock, and its types are not safe for concurrent use.
package fleetview

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/crashguard"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Status is the state of an instance that decides what is sent to it.
type Status struct {
	Incarnation uint64
	Ready       bool
	Leaving     bool           // callers are directed to other instances
	Rejecting   bool           // admits only requests that end before it stops
	Remote      bool           // in a remote region
	Level       strength.Level // how much of its machine it uses
}

// OwnState is the state of this instance.
type OwnState struct {
	Status        Status
	ConfigVersion int64                     // of the configuration in force
	Load          map[string]placement.Load // by endpoint
	Usage         map[string]float64        // tokens admitted since the start, by organisation; unchanged totals may be left out
	Services      []*wire.EdgeServiceLoad
	Limits        []endpointrate.Statement  // that this instance knows of the region's endpoints
	Crashes       []crashguard.Crash        // that are new or have changed since the last call
	Notices       []endpointnotice.Advice   // that this instance knows of the region's endpoints
	Paces         map[string]placement.Pace // by endpoint
	Events
}

// Events are sent once, not repeated as state is.
type Events struct {
	PromptParts []*wire.EdgeEndpointParts
	Rejections  []*wire.EdgeRefusal
}

// add appends events and drops the oldest ones beyond maxEvents.
func (e *Events) add(more Events) {
	e.PromptParts = lastEvents(append(e.PromptParts, more.PromptParts...))
	e.Rejections = lastEvents(append(e.Rejections, more.Rejections...))
}

func lastEvents[T any](list []T) []T { return list[max(0, len(list)-maxEvents):] }

// take returns the collected events and clears them.
func (e *Events) take() Events {
	out := *e
	*e = Events{}
	return out
}

// OriginHash returns the hash of an instance's name that its events carry, so that an instance recognises its own.
func OriginHash(instance string) uint32 { return uint32(xxhash.Sum64String(instance)) }

// Node is one instance's view of the fleet. It is a node of its region's tree.
type Node struct {
	self           peer.Identity
	sources        map[string]*Source        // instances of the region that report to this one, and this instance, by name
	remoteRoots    map[string]*Source        // roots of remote regions, by name
	summaryStreams map[string]*SummaryStream // to the roots of remote regions, by region
	ownUsage       map[string]float64        // totals of the last SetOwnState
	configVersion  int64
	limits         *endpointrate.Register // of the region's endpoints
	crashes        *crashguard.Register   // of endpoints of all regions
	notices        *endpointnotice.Register
	paces          paces // of the region's endpoints

	regionUsage    totals // usage by all instances of the region
	peerUsage      totals // the same without this instance
	remoteRegions  map[string]*remoteRegion
	childEvents    Events     // to be sent to the children
	sentToChildren *sentState // state that the children have been sent; nil if there are none

	compact            bool               // messages are sent in the compact form
	sentParts          sentParts          // prompt parts sent lately, to the parent or at the root to the children
	childNames         *nameTable         // sent to the children
	stateNumber        uint64             // number of the current state
	tickedAt           clock.Instant      // when it was prepared
	encodedChanges     []byte             // protobuf encoding of the changes since the previous state
	encodedComplete    []byte             // protobuf encoding of the complete current state, if a child needs it
	parent             *parentStream      // nil if this instance is a root
	reportNumber       uint64             // of the last report
	unacknowledged     []pendingReport    // reports that no digest has acknowledged
	ancestors          []string           // this instance's ancestors, nearest first
	unsentUsage        map[string]float64 // own usage not reported to a parent yet, by organisation
	unsentDescendants  []descendantUse    // usage in reports of descendants, not reported to a parent yet
	counted            map[string]counted // reports whose usage was counted or passed on, by instance
	parentEvents       Events             // to be sent to the parent
	parentLastReceived clock.Instant      // when a digest last arrived, also of a former parent
	// formerParentLoad is the load outside this instance's subtree when the last stream to a parent ended.
	formerParentLoad map[string]placement.Load
	peerAverages     averages    // of the other instances of the region
	lostWithParent   *lostRegion // what was known through the last parent
}

// remoteRegion is what this instance has received of a remote region.
type remoteRegion struct {
	forChildren, forSelf totals // its usage: changes to send to the children, and changes for this instance
	lastReceived         clock.Instant
	services             []*wire.EdgeServiceLoad
	// servicesVersion grows when services are set, and servicesSent is the version that the children have.
	servicesVersion, servicesSent uint64
}

// New returns the view of an instance that has received no messages yet.
func New(self peer.Identity) *Node {
	n := &Node{
		self: self, sources: make(map[string]*Source), remoteRoots: make(map[string]*Source), summaryStreams: make(map[string]*SummaryStream),
		ownUsage: make(map[string]float64), regionUsage: newTotals(), peerUsage: newTotals(), remoteRegions: make(map[string]*remoteRegion),
		childNames: newNameTable(), unsentUsage: make(map[string]float64), peerAverages: make(averages), limits: endpointrate.NewRegister(), crashes: crashguard.NewRegister(),
		notices: endpointnotice.NewRegister(), counted: make(map[string]counted), paces: make(paces),
	}
	n.sources[self.Instance] = newSource(self)
	return n
}

func (n *Node) ownSource() *Source { return n.sources[n.self.Instance] }

// SetOwnState replaces the state of this instance.
func (n *Node) SetOwnState(now clock.Instant, o OwnState) {
	own := n.ownSource()
	own.lastReceived, own.configVersion, n.configVersion = now, o.ConfigVersion, o.ConfigVersion
	if own.firstReceived == 0 {
		own.firstReceived = now
	}
	own.statuses[n.self.Instance] = o.Status
	own.loads, own.services, own.demand = o.Load, o.Services, o.Services
	for organisation, total := range o.Usage {
		if used := total - n.ownUsage[organisation]; used > 0 {
			n.ownUsage[organisation] = total
			n.addUsage(own, now, organisation, used)
		}
	}
	for _, s := range o.Limits {
		n.limits.Merge(now, s)
	}
	for _, c := range o.Crashes {
		n.crashes.Merge(now, c)
	}
	for _, a := range o.Notices {
		n.notices.Merge(now, a)
	}
	for endpoint, pace := range o.Paces {
		n.paces.merge(endpoint, pace)
	}
	n.forwardEvents(now, o.Events)
}

// addUsage counts tokens that this instance or one of its descendants has admitted.
func (n *Node) addUsage(s *Source, now clock.Instant, organisation string, amount float64) {
	n.regionUsage.add(organisation, amount)
	s.averageUsage.add(now, organisation, amount)
	if s != n.ownSource() {
		n.addPeerUsage(now, organisation, amount)
	}
	// That of descendants is kept by report in unsentDescendants.
	if s == n.ownSource() && n.keepsUsage(now) {
		n.unsentUsage[organisation] += amount
	}
	for _, l := range n.summaryStreams {
		l.unsentUsage[organisation] += amount
	}
}

// keepsUsage reports whether usage is kept for a parent. A root keeps none for a later parent: if another root takes over, the
// descendants report theirs to it themselves.
func (n *Node) keepsUsage(now clock.Instant) bool {
	return n.parent != nil || now.Sub(n.parentLastReceived) <= fleetquota.UnresponsiveAfter
}

// addPeerUsage counts tokens that other instances of the region have admitted.
func (n *Node) addPeerUsage(now clock.Instant, organisation string, amount float64) {
	n.peerUsage.add(organisation, amount)
	if amount > 0 {
		n.peerAverages.add(now, organisation, amount)
	}
}

// forwardEvents queues events of this instance and its descendants for the parent, or at the root for the children.
func (n *Node) forwardEvents(now clock.Instant, e Events) {
	if n.compact {
		e.PromptParts = n.sentParts.withoutSent(now, e.PromptParts)
	}
	if n.parent != nil {
		n.parentEvents.add(e)
	} else {
		n.childEvents.add(e)
	}
}

// SetCompact sets whether messages are sent in the compact form, which all instances of the region must understand. A stream to a parent
// keeps its form.
func (n *Node) SetCompact(compact bool) {
	if n.compact != compact {
		n.compact = compact
		n.childNames, n.sentToChildren = newNameTable(), nil
	}
}

// AddChild begins a stream of reports from another instance of the region. If the same incarnation has reported before,
// its report number and measured usage are kept.
func (n *Node) AddChild(from peer.Identity) (*Source, error) {
	if slices.Contains(n.ancestors, from.Instance) {
		return nil, ErrCycle
	}
	s := newSource(from)
	if before := n.sources[from.Instance]; before != nil && before.id.Incarnation == from.Incarnation {
		s.firstReceived, s.averageUsage, s.lastNumber, s.usageKnown = before.firstReceived, before.averageUsage, before.lastNumber, before.usageKnown
		s.settledReport = before.settledReport
	}
	n.sources[from.Instance] = s
	return s, nil
}

// StreamEnded records that the stream of a source has ended.
func (n *Node) StreamEnded(s *Source) { s.ended = true }

// ReceiveReport applies a report of a child.
func (n *Node) ReceiveReport(now clock.Instant, s *Source, r *wire.EdgeReport) error {
	if n.sources[s.id.Instance] != s {
		return ErrReplaced
	}
	if err := s.names.unpackReport(r); err != nil {
		return err
	}
	if err := s.receive(now, r, r.GetEndpoints()); err != nil {
		return err
	}
	if err := n.mergeLimits(now, r.GetLimits()); err != nil {
		return err
	}
	if err := n.mergeCrashes(now, r.GetCrashes()); err != nil {
		return err
	}
	if err := n.mergeNotices(now, r.GetNotices()); err != nil {
		return err
	}
	if err := n.mergePaces(now, r.GetPaces(), nil); err != nil {
		return err
	}
	for _, earlier := range r.GetEarlier() {
		n.receiveDescendants(now, s, earlier.GetDescendants(), true)
		n.receiveUsage(now, s, &wire.EdgeDescendantUse{
			Name: s.id.Instance, Incarnation: s.id.Incarnation, Number: earlier.GetNumber(), Uses: earlier.GetUses(), Resent: true,
		})
	}
	if m := r.GetMeasured(); m != nil {
		s.receiveMeasured(now, m)
	}
	s.demand = r.GetDemand()
	n.receiveDescendants(now, s, r.GetDescendants(), false)
	n.receiveUsage(now, s, &wire.EdgeDescendantUse{Name: s.id.Instance, Incarnation: s.id.Incarnation, Number: r.GetNumber(), Uses: r.GetUses()})
	n.forwardEvents(now, Events{PromptParts: r.GetParts(), Rejections: r.GetRefusals()})
	return nil
}

// DropNonMembers removes the state of incarnations that are no longer members. listed reports whether any incarnation
// of an instance is a member.
func (n *Node) DropNonMembers(isMember func(name string, incarnation uint64) bool, listed func(name string) bool) {
	gone := func(_ string, s *Source) bool {
		return s.id.Instance != n.self.Instance && !isMember(s.id.Instance, s.id.Incarnation)
	}
	maps.DeleteFunc(n.sources, gone)
	maps.DeleteFunc(n.remoteRoots, gone)
	maps.DeleteFunc(n.counted, func(name string, c counted) bool { return !isMember(name, c.incarnation) })
	if n.lostWithParent != nil {
		maps.DeleteFunc(n.lostWithParent.names, func(name string, _ bool) bool { return !listed(name) })
	}
}

// Limits returns what the region's endpoints have stated about the request rate that they accept, as this instance and others know.
func (n *Node) Limits() []endpointrate.Statement { return n.limits.Statements() }

// PruneLimits drops the statements of endpoints that have not been listed for a while.
func (n *Node) PruneLimits(now clock.Instant, listed func(endpoint string) bool) {
	n.limits.Prune(now, listed)
}

// Crashes returns the crashes of endpoints that have changed since a version, and the version that they lead to.
func (n *Node) Crashes(since uint64) ([]crashguard.Crash, uint64) {
	return n.crashes.Crashes(since), n.crashes.Version()
}

// PruneCrashes drops the crashes that have expired.
func (n *Node) PruneCrashes(now clock.Instant) { n.crashes.Prune(now) }

// RootStateNumber returns the number of the root's state that this instance has. All instances of the region have the same number
// for the same state.
func (n *Node) RootStateNumber() uint64 {
	if n.parent != nil && n.parent.lastReceived > 0 {
		return n.parent.rootStateNumber
	}
	return n.stateNumber
}

// Children returns the number of instances that report to this one.
func (n *Node) Children() int {
	count := 0
	for _, s := range n.sources {
		if s != n.ownSource() && s.started && !s.ended {
			count++
		}
	}
	return count
}

// IsRoot reports whether this instance has no parent.
func (n *Node) IsRoot() bool { return n.parent == nil }

// NewestConfig returns the instance with the newest configuration among this one, its parent, its children and the
// roots of remote regions, and the version of that configuration.
func (n *Node) NewestConfig() (instance string, version int64) {
	if n.parent != nil {
		instance, version = n.parent.name, n.parent.configVersion
	}
	for _, sources := range []map[string]*Source{n.sources, n.remoteRoots} {
		for name, s := range sources {
			if s.configVersion > version {
				instance, version = name, s.configVersion
			}
		}
	}
	return instance, version
}

// ReceivedStatus is the status of an instance and the time of the message that it was received in.
type ReceivedStatus struct {
	Status
	ReceivedAt clock.Instant
}

// Statuses returns the statuses received within MaxStatusAge, and all that the parent has sent. This instance is
// included.
func (n *Node) Statuses(now clock.Instant) map[string]ReceivedStatus {
	out := make(map[string]ReceivedStatus)
	put := func(statuses map[string]Status, at clock.Instant, remote bool) {
		for name, s := range statuses {
			s.Remote = s.Remote || remote
			if before, known := out[name]; !known || at > before.ReceivedAt {
				out[name] = ReceivedStatus{s, at}
			}
		}
	}
	if parent := n.parent; parent != nil {
		put(parent.statuses, parent.lastReceived, false)
	}
	for remote, sources := range map[bool]map[string]*Source{false: n.sources, true: n.remoteRoots} {
		for _, s := range sources {
			if now.Sub(s.lastReceived) <= MaxStatusAge {
				put(s.statuses, s.lastReceived, remote)
			}
		}
	}
	return out
}

// subtreeStatuses returns the statuses of this instance and its descendants.
func (n *Node) subtreeStatuses(now clock.Instant) map[string]Status {
	out := make(map[string]Status)
	for _, s := range n.sources {
		if now.Sub(s.lastReceived) <= MaxStatusAge {
			maps.Copy(out, s.statuses)
		}
	}
	return out
}

// PeerLoad returns the load of the region's other instances at each endpoint.
func (n *Node) PeerLoad(now clock.Instant) map[string]placement.Load {
	out := n.loadOutsideSubtree(now)
	n.addSubtreeLoad(now, out, n.ownSource())
	return out
}

// addSubtreeLoad adds the load of this instance and its descendants to a map, except that of one source.
func (n *Node) addSubtreeLoad(now clock.Instant, to map[string]placement.Load, except *Source) {
	for _, s := range n.sources {
		if s == except || now.Sub(s.lastReceived) > placement.PeerLoadMaxAge {
			continue
		}
		part := n.partNotMoved(now, s)
		for endpoint, w := range s.loads {
			to[endpoint] = to[endpoint].Plus(scaled(w, part))
		}
	}
}

// PeerUsage returns what other instances have admitted since this instance started, by region and organisation, and
// when each region's usage was last received. Only totals that have changed since the last call are included; they
// never decrease.
func (n *Node) PeerUsage() map[string]RegionUsage {
	out := map[string]RegionUsage{n.self.Region: {Usage: n.peerUsage.takeChanged(), ReceivedAt: n.regionLastReceived()}}
	for name, r := range n.remoteRegions {
		out[name] = RegionUsage{Usage: r.forSelf.takeChanged(), ReceivedAt: r.lastReceived}
	}
	return out
}

// RegionUsage is what the instances of a region have admitted.
type RegionUsage struct {
	Usage      map[string]float64 // tokens, by organisation
	ReceivedAt clock.Instant
}

// regionLastReceived returns when this instance last received a message from another instance of its region.
func (n *Node) regionLastReceived() clock.Instant {
	at := n.parentLastReceived
	for _, s := range n.sources {
		if s != n.ownSource() {
			at = max(at, s.lastReceived)
		}
	}
	return at
}

// RemoteServices returns the load of the services of each remote region.
func (n *Node) RemoteServices() map[string][]*wire.EdgeServiceLoad {
	out := make(map[string][]*wire.EdgeServiceLoad, len(n.remoteRegions))
	for name, r := range n.remoteRegions {
		out[name] = r.services
	}
	return out
}
