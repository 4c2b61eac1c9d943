package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// InstancePrefix is the prefix of the keys under which instances announce themselves.
const InstancePrefix = "dogwoodknot/instances/"

const (
	// leaseTerm is how long an announcement outlives its instance. It bounds how long the directory names a dead instance
	// that nobody could reach, and must outlast two lost renewals.
	leaseTerm = 5 * time.Second
	// renewEvery is the interval of renewals, which are calls too: two within a term may be lost.
	renewEvery = 1650 * time.Millisecond
	// announceRetry is the wait after a failed call.
	announceRetry = 300 * time.Millisecond
	// heardFor is the age of an instance's last message up to which callers and requests are sent to it.
	heardFor = fleetview.MaxStatusAge
	// avoidFor is how long an instance is left out after a call could not be sent to it.
	avoidFor = 500 * time.Millisecond
	// unknownOneWay is the wide-area latency that is assumed: the platform's regions are about 80 ms apart.
	unknownOneWay = 80 * time.Millisecond
	// coldSharers is the number of instances that send requests to a cold endpoint. Each sends its first one without
	// knowing of the others, so a crowd of them would exceed the endpoint's pace.
	coldSharers = 2
	// partners is the number of instances of each other region that this one sends requests to while they are heard. Few of them keep
	// their sessions open: a handshake takes five wide-area round trips.
	partners = 3
)

// announcement is what an instance writes under its key.
type announcement struct {
	Incarnation uint64 `json:"incarnation,string"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	CallerAddr  string `json:"caller_addr"`
	PeerAddr    string `json:"peer_addr"`
	// Certificate authenticates the instance's sessions. It is made at each start and trusted because it stands here.
	Certificate []byte `json:"certificate"` // PEM
	// LinkMbps is the bandwidth of the instance's link. Those with much of it are reported to by the others of their region.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Leaving tells instances that start meanwhile that callers are sent elsewhere.
	Leaving bool `json:"leaving,omitempty"`
}

// member is an instance as this one knows it.
type member struct {
	announcement
	name     string
	listed   bool          // its key stands in the store
	since    clock.Instant // when it became a member
	ready    bool
	leaving  bool
	refusing bool          // takes no more requests
	heard    clock.Instant // last message, of itself or of an instance that has heard it; 0: none
	avoid    clock.Instant // until when nothing is sent to it
	mute     clock.Instant // until when nothing is reported to it
}

// fleet is what this instance knows of all instances.
type fleet struct {
	options *Options
	log     *zap.Logger

	mu       sync.Mutex
	members  map[string]*member        // others
	services map[string]regionServices // by other region
	partners map[string][]*member      // by other region, first those that are used
	changed  func()                    // called without the lock after the set of members has changed
}

// regionServices is the load of a region's services.
type regionServices struct {
	at   clock.Instant
	load map[string]routing.RegionLoad
}

func newFleet(o *Options) *fleet {
	return &fleet{options: o, log: o.Log, members: make(map[string]*member), services: make(map[string]regionServices)}
}

// apply takes changes of the instances' keys.
func (f *fleet) apply(u mirror.Update) {
	f.mu.Lock()
	changed := false
	present := make(map[string]bool)
	for _, c := range u.Changes {
		name, ok := strings.CutPrefix(c.Key, InstancePrefix)
		if !ok || name == f.options.Self.Instance {
			continue
		}
		present[name] = true
		if c.Deleted {
			changed = f.lapse(name) || changed
			continue
		}
		changed = f.announced(name, c.Value) || changed
	}
	if u.Reset {
		for name := range f.members {
			if !present[name] {
				changed = f.lapse(name) || changed
			}
		}
	}
	if changed {
		f.choosePartners()
	}
	f.mu.Unlock()
	if changed {
		f.changed()
	}
}

func (f *fleet) announced(name string, value []byte) bool {
	var a announcement
	if err := json.Unmarshal(value, &a); err != nil || a.PeerAddr == "" || a.Incarnation == 0 {
		f.log.Warn("announcement cannot be used", zap.String("peer", name), zap.Error(err))
		return false
	}
	m := f.members[name]
	if m != nil && m.listed && m.Incarnation == a.Incarnation {
		m.leaving = m.leaving || a.Leaving
		return false
	}
	if m == nil || m.Incarnation != a.Incarnation {
		m = &member{name: name, since: f.options.Clock.Now()}
		f.members[name] = m
	}
	m.announcement, m.listed, m.leaving = a, true, a.Leaving
	f.log.Info("instance listed", zap.String("peer", name), zap.Uint64("peer_incarnation", a.Incarnation), zap.String("peer_region", a.Region))
	return true
}

// lapse takes an announcement away. An instance that is still heard of stays a member: only its way to the store is cut.
func (f *fleet) lapse(name string) bool {
	m := f.members[name]
	if m == nil || !m.listed {
		return false
	}
	m.listed = false
	f.log.Info("instance lapsed", zap.String("peer", name), zap.Duration("heard_ago", f.options.Clock.Now().Sub(m.heard)))
	return true
}

// sweep forgets the instances that have lapsed and are not heard of.
func (f *fleet) sweep() {
	f.mu.Lock()
	now := f.options.Clock.Now()
	changed := false
	for name, m := range f.members {
		if !m.listed && now.Sub(m.heard) > heardFor {
			delete(f.members, name)
			changed = true
			f.log.Info("instance gone", zap.String("peer", name), zap.Uint64("peer_incarnation", m.Incarnation))
		}
	}
	if changed {
		f.choosePartners()
	}
	f.mu.Unlock()
	if changed {
		f.changed()
	}
}

// peers returns the names and addresses of the other instances, and the certificates of all.
func (f *fleet) peers() (addrs map[string]string, certificates []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addrs = make(map[string]string, len(f.members))
	for name, m := range f.members {
		addrs[name] = m.PeerAddr
		certificates = append(certificates, m.Certificate...)
	}
	return addrs, certificates
}

// size is the number of instances, this one included.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) + 1
}

// heard records how the instances stand that were heard lately.
func (f *fleet) heard(standings map[string]fleetview.ReceivedStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range standings {
		m := f.members[name]
		if m == nil || m.Incarnation != s.Incarnation || s.ReceivedAt < m.heard {
			continue
		}
		if silence := s.ReceivedAt.Sub(m.heard); m.heard == 0 || silence > heardFor {
			f.log.Info("instance heard", zap.String("peer", m.name), zap.Duration("silence", silence))
		}
		if s.Leaving && !m.leaving {
			f.log.Info("instance is leaving", zap.String("peer", m.name))
		}
		m.heard, m.ready, m.leaving, m.refusing = s.ReceivedAt, s.Ready, s.Leaving, s.Rejecting
	}
}

// heardServices records the load of other regions' services, each as of the time when the region was heard.
func (f *fleet) heardServices(byRegion map[string][]*wire.EdgeServiceLoad, heard func(region string) clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for region, list := range byRegion {
		at := heard(region)
		if at <= f.services[region].at {
			continue
		}
		loads := make(map[string]routing.RegionLoad, len(list))
		for _, l := range list {
			if l.GetUsable() > 0 {
				loads[l.GetName()] = routing.RegionLoad{Region: region, OneWay: unknownOneWay, Wait: time.Duration(l.GetWaitMillis()) * time.Millisecond}
			}
		}
		f.services[region] = regionServices{at: at, load: loads}
	}
}

// knows reports whether an incarnation of an instance is a member.
func (f *fleet) knows(id peer.Identity) bool { return f.isMember(id.Instance, id.Incarnation) }

func (f *fleet) isMember(name string, incarnation uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	return m != nil && m.Incarnation == incarnation
}

// regionOf returns the region of another instance.
func (f *fleet) regionOf(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil {
		return "", false
	}
	return m.Region, true
}

// sizes returns the number of other instances by region.
func (f *fleet) sizes() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int)
	for _, m := range f.members {
		out[m.Region]++
	}
	return out
}

// regionSize is the number of instances of this region, this one included.
func (f *fleet) regionSize() int { return f.sizes()[f.options.Self.Region] + 1 }

// senders is the number of instances of this region that take callers, this one included.
func (f *fleet) senders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	n := 1
	for _, m := range f.members {
		if m.Region == f.options.Self.Region && m.usable(now) {
			n++
		}
	}
	return n
}

// above returns the instance that this one reports to: the first of its region by rank, or false if that is this one.
func (f *fleet) above() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, firstLink := f.options.Self.Instance, f.options.LinkMbps
	if m := f.first(f.options.Self.Region); m != nil && ranksAbove(m.name, m.LinkMbps, first, firstLink) {
		return m.name, true
	}
	return "", false
}

// rootOf returns the instance to which the others of another region report.
func (f *fleet) rootOf(region string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.first(region); m != nil {
		return m.name, true
	}
	return "", false
}

// first returns the other instance of a region that ranks above the rest.
func (f *fleet) first(region string) *member {
	now := f.options.Clock.Now()
	var first *member
	for _, m := range f.members {
		if m.Region != region || m.leaving || now < m.mute || !m.listed && now.Sub(m.heard) > heardFor {
			continue
		}
		if first == nil || ranksAbove(m.name, m.LinkMbps, first.name, first.LinkMbps) {
			first = m
		}
	}
	return first
}

// ranksAbove orders the instances of a region: those with more bandwidth first, since a root exchanges messages with all. The order
// depends on nothing that instances may see differently, so that they do not report to each other in a circle.
func ranksAbove(a string, linkA float64, b string, linkB float64) bool {
	if linkA != linkB {
		return linkA > linkB
	}
	return rendezvous.First("root", []string{a, b}) == a
}

// avoidAbove lets an instance go that has not answered.
func (f *fleet) avoidAbove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.mute = f.options.Clock.Now().Add(avoidAboveFor)
	}
}

// unreachable records that a call could not be sent to an instance.
func (f *fleet) unreachable(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.avoid = f.options.Clock.Now().Add(avoidFor)
	}
}

// usable reports whether requests and callers may be sent to the instance.
func (m *member) usable(now clock.Instant) bool {
	return m.ready && !m.leaving && m.heard > 0 && now.Sub(m.heard) <= heardFor && now >= m.avoid
}

// introduced reports whether the instance was listed a moment ago and has not been heard yet. It is taken to serve, because after
// a restart of the whole fleet it takes a wide-area round trip or two until the first messages come.
func (m *member) introduced(now clock.Instant) bool {
	return m.heard == 0 && m.listed && !m.leaving && now.Sub(m.since) <= introduction && now >= m.avoid
}

// regions returns an instance of each other region that serves the service and is allowed. listed reports whether a region has
// endpoints of the service, for instances that have not told their load yet.
func (f *fleet) regions(service string, allowed, listed func(region string) bool) []routing.RegionLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var out []routing.RegionLoad
	for region, members := range f.partners {
		if !allowed(region) {
			continue
		}
		services := f.services[region]
		load, serves := services.load[service]
		load.Age = now.Sub(services.at)
		var usable []*member
		for _, m := range members {
			if len(usable) == partners {
				break
			}
			if m.usable(now) && serves && load.Age <= heardFor || m.introduced(now) && listed(region) {
				usable = append(usable, m)
			}
		}
		if len(usable) == 0 {
			continue
		}
		chosen := usable[rand.IntN(len(usable))]
		if chosen.heard == 0 {
			load = routing.RegionLoad{Region: region, OneWay: unknownOneWay}
		}
		load.Instance = chosen.name
		out = append(out, load)
	}
	slices.SortFunc(out, func(a, b routing.RegionLoad) int { return cmp.Compare(a.Region, b.Region) })
	return out
}

// partnerNames returns the instances of other regions that requests are sent to.
func (f *fleet) partnerNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var out []string
	for _, members := range f.partners {
		n := 0
		for _, m := range members {
			if n < partners && (m.usable(now) || m.introduced(now)) {
				out = append(out, m.name)
				n++
			}
		}
	}
	return out
}

// choosePartners orders the members of each other region by a hash of this instance and each of them.
func (f *fleet) choosePartners() {
	f.partners = make(map[string][]*member)
	for _, m := range f.members {
		if m.Region != f.options.Self.Region {
			f.partners[m.Region] = append(f.partners[m.Region], m)
		}
	}
	for region, members := range f.partners {
		names := make([]string, len(members))
		for i, m := range members {
			names[i] = m.name
		}
		for i, name := range rendezvous.Top(f.options.Self.Instance, names, len(names)) {
			members[i] = f.members[name]
		}
		f.partners[region] = members
	}
}

// neighbours returns the other instances of this region that may be sending requests to its endpoints.
func (f *fleet) neighbours() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, m := range f.members {
		if m.Region == f.options.Self.Region {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// coldPace returns this instance's part of the rate of a cold endpoint. Few instances of the region share it, those that come
// first by a hash of the endpoint.
func (f *fleet) coldPace(endpoint string, rate float64) float64 {
	names := append(f.neighbours(), f.options.Self.Instance)
	sharers := rendezvous.Top(endpoint, names, coldSharers)
	if !slices.Contains(sharers, f.options.Self.Instance) {
		return 0
	}
	return rate / float64(len(sharers))
}

// announce keeps this instance's key in the store until ctx ends, and removes it then.
func (e *Edge) announce(ctx context.Context, a announcement) {
	for ctx.Err() == nil {
		lease, err := e.options.Store.Grant(ctx, leaseTerm)
		if err == nil {
			err = e.writeAnnouncement(ctx, a, lease)
		}
		if err != nil {
			e.log.Warn("instance could not be announced", zap.Error(err))
			if clock.Sleep(ctx, announceRetry) != nil {
				return
			}
			continue
		}
		e.log.Info("instance announced", zap.Int64("lease", int64(lease)))
		err = e.keepLease(ctx, a, lease)
		if ctx.Err() != nil {
			e.withdraw(lease)
			return
		}
		e.log.Warn("lease lost", zap.Int64("lease", int64(lease)), zap.Error(err))
	}
}

// writeAnnouncement writes this instance's key. The key is its own: an earlier incarnation's value is replaced whatever its
// revision.
func (e *Edge) writeAnnouncement(ctx context.Context, a announcement, lease platform.LeaseID) error {
	a.Leaving = e.leaving.Load()
	value, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	_, err = e.options.Store.Put(ctx, InstancePrefix+e.options.Self.Instance, value, platform.PutOptions{Lease: lease})
	return errors.Wrap(err, "write announcement")
}

// keepLease renews the lease until ctx ends or the store says that it has lapsed. It writes the announcement again when the
// instance begins to leave.
func (e *Edge) keepLease(ctx context.Context, a announcement, lease platform.LeaseID) error {
	timer := time.NewTicker(renewEvery)
	defer timer.Stop()
	left := e.left
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-left:
			left = nil
			if err := e.writeAnnouncement(ctx, a, lease); err != nil {
				e.log.Warn("leaving was not announced, other instances hear it from this one", zap.Error(err))
			}
			continue
		case <-timer.C:
		}
		err := e.options.Store.Renew(ctx, lease)
		if errors.Is(err, platform.ErrLeaseLost) {
			return err
		}
		if err != nil {
			e.log.Debug("lease not renewed", zap.Error(err))
		}
	}
}

// withdraw ends the lease, so that others see at once that this instance has gone.
func (e *Edge) withdraw(lease platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := e.options.Store.Revoke(ctx, lease); err != nil {
		e.log.Warn("announcement not removed, it lapses with its lease", zap.Error(err))
	}
}
