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
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// HeardFor is the age of an instance's last report up to which callers and requests are sent to it: some intervals of the exchange
	// between regions.
	HeardFor = 1200 * time.Millisecond
	// workAge is the age up to which the work of an instance counts. After a silence of this length its requests have ended or are no
	// longer known.
	workAge = 3 * time.Second
	// maxInstances and maxEndpoints bound what is kept of one sender: ten times a region of the design's size.
	maxInstances = 1300
	maxEndpoints = 2600
	// maxEvents bounds the prompt parts and refusals that wait for the next message: a second of a region's requests.
	maxEvents = 2000
)

// Errors of messages. The stream that brought one ends.
var (
	ErrReplaced = errors.New("another stream of the instance has replaced this one")
	ErrOrder    = errors.New("message is out of order")
	ErrCycle    = errors.New("instances report to each other in a circle")
	ErrTooLarge = errors.New("message names too many instances or endpoints")
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
	Work     map[string]placement.PeerWork
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

// Source is an instance that tells this one its state and that of all below it.
type Source struct {
	id        peer.Identity
	heard     clock.Instant
	since     clock.Instant // first report
	ended     bool          // its stream has ended
	began     bool          // its stream has brought a message
	number    uint64        // of the last message, also of an earlier stream
	version   int64
	standings map[string]Standing
	work      map[string]placement.PeerWork
	silent    []*wire.EdgeSilent
	services  []*wire.EdgeServiceLoad
	use       averages           // of the region's own sources
	measured  map[string]float64 // use a second before it began to report to this instance, as it says
	known     bool               // use was measured long enough to tell a part of the rates

	sent         uint64 // state that it was sent last
	acknowledged uint64 // number that the present state includes
}

func newSource(id peer.Identity) *Source {
	return &Source{id: id, standings: make(map[string]Standing), work: make(map[string]placement.PeerWork),
		use: make(averages)}
}

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
	workBefore map[string]placement.PeerWork
	othersUse  averages
	lost       *lostRegion
}

// lostRegion is what an instance knew of its region when the stream upwards ended.
type lostRegion struct {
	at    clock.Instant
	names map[string]bool // of the instances that were heard through it
	uses  map[string]float64
	known bool
}

// averages are moving averages of use by organisation.
type averages map[string]fleetquota.Average

func (a averages) add(now clock.Instant, organisation string, amount float64) {
	average := a[organisation]
	average.Add(now, amount)
	a[organisation] = average
}

func (a averages) at(now clock.Instant) map[string]float64 {
	out := make(map[string]float64, len(a))
	for organisation, average := range a {
		out[organisation] = average.Value(now)
	}
	return out
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

// takeMeasured takes the use of an instance before it began to report to this one.
func (s *Source) takeMeasured(now clock.Instant, m *wire.EdgeMeasuredUse) {
	s.measured, s.known = make(map[string]float64), s.known || m.GetKnown()
	for _, u := range m.GetUses() {
		s.measured[u.GetName()] = u.GetUsed()
		if _, has := s.use[u.GetName()]; !has {
			s.use[u.GetName()] = fleetquota.AverageOf(u.GetUsed(), now)
		}
	}
}

func (n *Node) usedBelow(now clock.Instant, s *Source, uses []*wire.EdgeOrganisationUse) {
	for _, u := range uses {
		if u.GetUsed() > 0 {
			n.used(s, now, u.GetName(), u.GetUsed())
		}
	}
}

// message is what reports and summaries have in common.
type message interface {
	GetNumber() uint64
	GetConfigurationVersion() int64
	GetComplete() bool
	GetInstances() []*wire.EdgeStanding
	GetGone() []string
	GetSilent() []*wire.EdgeSilent
}

func (s *Source) take(now clock.Instant, m message, work []*wire.EdgeEndpointWork) error {
	if s.began && m.GetNumber() != s.number+1 || !s.began && (!m.GetComplete() || m.GetNumber() <= s.number) {
		return ErrOrder
	}
	s.began = true
	s.number, s.version, s.silent, s.heard = m.GetNumber(), m.GetConfigurationVersion(), m.GetSilent(), now
	if s.since == 0 {
		s.since = now
	}
	if m.GetComplete() {
		clear(s.standings)
		clear(s.work)
	}
	takeStandings(s.standings, m.GetInstances(), m.GetGone())
	takeWork(s.work, work)
	if len(s.standings) > maxInstances || len(s.work) > maxEndpoints {
		return ErrTooLarge
	}
	return nil
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
func (n *Node) OthersWork(now clock.Instant) map[string]placement.PeerWork {
	out := n.workAbove(now)
	n.addWorkBelow(now, out, n.own())
	return out
}

func (n *Node) addWorkBelow(now clock.Instant, to map[string]placement.PeerWork, without *Source) {
	for _, s := range n.sources {
		if s == without || now.Sub(s.heard) > workAge {
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

// Silent returns the instances that may be serving callers and are not heard of, each with its use a second before its silence.
func (n *Node) Silent(now clock.Instant) []*wire.EdgeSilent {
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

// silentBelow adds the silent instances among those that reported to this one, or to one that does.
func (n *Node) silentBelow(now clock.Instant, to map[string]*wire.EdgeSilent) {
	for name, s := range n.sources {
		if s == n.own() || s.heard == 0 || s.standings[name].Refusing {
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
		if now.Sub(s.heard) <= HeardFor {
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
