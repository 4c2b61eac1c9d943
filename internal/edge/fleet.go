package edge

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// InstancePrefix is the prefix of the keys in the store under which instances announce themselves.
const InstancePrefix = "dogwoodknot/instances/"

const (
	// unresponsiveAfter is the age of an instance's last message after which no callers and requests are sent to it.
	unresponsiveAfter = fleetview.MaxStatusAge
	// unreachableFor is how long an instance gets no requests after a call could not be sent to it.
	unreachableFor = 500 * time.Millisecond
	// assumedOneWay is the assumed one-way latency between regions: the platform's regions are about 80 ms apart.
	assumedOneWay = 80 * time.Millisecond
	// partnersPerRegion is the number of instances of each remote region that this one sends requests to while they are
	// responsive. With few of them the sessions stay open: a handshake takes five wide-area round trips.
	partnersPerRegion = 3
)

// announcement is the value that an instance writes under its key in the store.
type announcement struct {
	Incarnation uint64 `json:"incarnation,string"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	CallerAddr  string `json:"caller_addr"`
	PeerAddr    string `json:"peer_addr"`
	// CertificateSHA256 is the fingerprint of the certificate of the instance's sessions. The certificate is created at each start and
	// trusted because its fingerprint is in the store.
	CertificateSHA256 []byte `json:"certificate_sha256,omitempty"`
	// Certificate is the whole certificate (PEM). Releases before the fingerprint announce it instead, and others while such a release
	// is listed.
	Certificate []byte `json:"certificate,omitempty"`
	// LinkMbps is the bandwidth of the instance's link. The others of its region prefer an instance with much bandwidth as
	// parent.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Messages is the version of the messages between instances that this one understands, 0 if its release did not announce it.
	Messages int `json:"messages,omitempty"`
	// Cores and MemoryMB tell with LinkMbps how strong the instance is: the directory names strong ones more often.
	Cores    float64 `json:"cores,omitempty"`
	MemoryMB float64 `json:"memory_mb,omitempty"`
	// Leaving lets instances that start meanwhile know that callers are sent elsewhere.
	Leaving bool `json:"leaving,omitempty"`
}

// member is another instance, as this one sees it.
type member struct {
	announcement
	name           string
	fingerprint    peer.Fingerprint // of its certificate; zero if it has announced none
	listed         bool             // its key is in the store
	joined         clock.Instant    // when it became a member
	ready          bool
	leaving        bool
	rejecting      bool // takes only requests that end before it stops
	level          strength.Level
	lastReceived   clock.Instant // when an instance last received a message from it, 0: never
	avoidUntil     clock.Instant // until when nothing is sent to it
	notParentUntil clock.Instant // until when it is not chosen as parent or root
}

// silenceAt returns the time from the last message of a member until now; from when it became one if there was no message yet.
func (m *member) silenceAt(now clock.Instant) time.Duration {
	if m.lastReceived == 0 {
		return max(now.Sub(m.joined), 0) // another instance may have received the message before
	}
	return now.Sub(m.lastReceived)
}

// fleet is this instance's view of the other instances.
type fleet struct {
	options *Options
	log     *zap.Logger

	mu       sync.Mutex
	members  map[string]*member        // the other instances by name
	services map[string]regionServices // by remote region
	partners map[string][]*member      // by remote region, in the order of preference for requests
	read     bool                      // the announcements have been read at least once
	// selfListed says that this instance's own announcement is in the store.
	selfListed bool
	// selfVersion is the version of this instance's own announcement in the store, and storeEra the era of the store that showed it, or
	// that it is not there.
	selfVersion platform.Version
	storeEra    int64
	invalid     entryErrors // by name
	onChange    func()      // called without the lock after the set of members has changed
	// older says that an instance of a release that reads no fingerprints is listed. The whole certificate is announced then.
	older bool
	// selfUnlisted receives a value when the own announcement has gone from the store, holds something else or must hold more.
	selfUnlisted chan struct{}
}

// regionServices is the load of a remote region's services.
type regionServices struct {
	at   clock.Instant
	load map[string]routing.RegionLoad
}

func newFleet(o *Options) *fleet {
	return &fleet{options: o, log: o.Log, members: make(map[string]*member), invalid: make(entryErrors), services: make(map[string]regionServices),
		selfUnlisted: make(chan struct{}, 1)}
}

// apply applies changes of the instances' keys in the store.
func (f *fleet) apply(u mirror.Update) {
	if f.setAnnouncements(u) {
		f.onChange()
	}
}

// setAnnouncements applies the changes and reports whether the set of members has changed.
func (f *fleet) setAnnouncements(u mirror.Update) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.AsOf.Era != 0 {
		f.storeEra = u.AsOf.Era
	}
	present := make(map[string]bool)
	for _, c := range u.Changes {
		name, ok := strings.CutPrefix(c.Key, InstancePrefix)
		if !ok {
			continue
		}
		present[name] = true
		if name == f.options.Self.Instance {
			changed = f.applyOwnAnnouncement(c) || changed
			continue
		}
		if c.Deleted {
			delete(f.invalid, name)
			changed = f.expireAnnouncement(name) || changed
			continue
		}
		changed = f.applyAnnouncement(name, c.Value) || changed
	}
	if u.Reset {
		for name := range f.members {
			if !present[name] {
				changed = f.expireAnnouncement(name) || changed
			}
		}
		f.invalid.retain(present)
		changed = f.setSelfListed(f.selfListed && present[f.options.Self.Instance]) || !f.read || changed
		f.read = true
	}
	if changed {
		f.choosePartners()
		f.findOlder()
	}
	return changed
}

// findOlder records whether an instance is listed that reads no fingerprints of certificates.
func (f *fleet) findOlder() {
	before := f.older
	f.older = false
	for _, m := range f.members {
		f.older = f.older || m.listed && m.fingerprint != (peer.Fingerprint{}) && len(m.CertificateSHA256) == 0
	}
	if f.older && !before {
		f.log.Info("an instance of an older release is listed; announcing the whole certificate")
		f.notifySelfUnlisted()
	}
}

// announcesCertificate reports whether this instance announces its whole certificate.
func (f *fleet) announcesCertificate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.older
}

// applyAnnouncement applies the announcement of an instance and reports whether the members have changed.
func (f *fleet) applyAnnouncement(name string, value []byte) bool {
	a, fingerprint, err := decodeAnnouncement(value, f.options.Regions)
	if text, changed := f.invalid.record(name, err); changed {
		f.log.Warn("announcement of an instance is not valid; ignoring it", zap.String("peer", name), zap.String("error", text))
	}
	if err != nil {
		return f.expireAnnouncement(name)
	}
	m := f.members[name]
	if m != nil && m.listed && m.Incarnation == a.Incarnation {
		m.leaving = m.leaving || a.Leaving
		return false
	}
	if m == nil || m.Incarnation != a.Incarnation {
		m = &member{name: name, joined: f.options.Clock.Now()}
		f.members[name] = m
	}
	m.announcement, m.listed, m.leaving, m.fingerprint = a, true, a.Leaving, fingerprint
	m.Certificate = nil
	f.log.Info("instance listed", zap.String("peer", name), zap.Uint64("peer_incarnation", a.Incarnation), zap.String("peer_region", a.Region))
	return true
}

// applyOwnAnnouncement records whether the announcement of this instance is in the store, and reports whether that has changed. One
// of an earlier incarnation, or that cannot be read, is not its own.
func (f *fleet) applyOwnAnnouncement(c platform.Change) bool {
	var a announcement
	f.selfVersion = c.Version()
	return f.setSelfListed(!c.Deleted && json.Unmarshal(c.Value, &a) == nil && a.Incarnation == f.options.Self.Incarnation)
}

func (f *fleet) setSelfListed(listed bool) (changed bool) {
	if f.selfListed == listed {
		return false
	}
	f.selfListed = listed
	f.log.Info("own announcement was listed or has gone", zap.Bool("listed", listed))
	if !listed {
		f.notifySelfUnlisted()
	}
	return true
}

func (f *fleet) notifySelfUnlisted() {
	select {
	case f.selfUnlisted <- struct{}{}:
	default: // not read since the last time
	}
}

// survivedRestore reports whether the own announcement that was written at a revision in an era is still there with its lease, as far as
// the copy of the store shows. A restored store may have lost both, and may grant the lease's id to another instance.
func (f *fleet) survivedRestore(written platform.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeEra == written.Era || f.selfListed && f.selfVersion.Revision == written.Revision
}

// eraOfStore returns the era of the store in which the announcements were read, 0 if it is not known.
func (f *fleet) eraOfStore() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeEra
}

// isSelfListed reports whether this instance's own announcement is in the store, as far as its copy of the store shows.
func (f *fleet) isSelfListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selfListed
}

// expireAnnouncement records that an announcement is gone from the store. The instance remains a member while messages from it
// arrive: it has only lost the store.
func (f *fleet) expireAnnouncement(name string) bool {
	m := f.members[name]
	if m == nil || !m.listed {
		return false
	}
	m.listed = false
	f.log.Info("instance lapsed", zap.String("peer", name), zap.Duration("heard_ago", m.silenceAt(f.options.Clock.Now())))
	return true
}

// removeUnresponsive removes the members that are neither listed nor responsive.
func (f *fleet) removeUnresponsive() {
	if f.dropUnresponsive() {
		f.onChange()
	}
}

func (f *fleet) dropUnresponsive() (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	for name, m := range f.members {
		if !m.listed && now.Sub(m.lastReceived) > unresponsiveAfter {
			delete(f.members, name)
			changed = true
			f.log.Info("instance gone", zap.String("peer", name), zap.Uint64("peer_incarnation", m.Incarnation))
		}
	}
	if changed {
		f.choosePartners()
	}
	return changed
}

// peers returns the addresses of the other instances by name, and the fingerprints of their certificates.
func (f *fleet) peers() (addrs map[string]string, certificates []peer.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addrs = make(map[string]string, len(f.members))
	for name, m := range f.members {
		addrs[name] = m.PeerAddr
		if m.fingerprint != (peer.Fingerprint{}) {
			certificates = append(certificates, m.fingerprint)
		}
	}
	return addrs, certificates
}

// size returns the number of instances, including this one.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) + 1
}

// recordStatuses records the statuses of the instances from which messages were received.
func (f *fleet) recordStatuses(statuses map[string]fleetview.ReceivedStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range statuses {
		m := f.members[name]
		if m == nil || m.Incarnation != s.Incarnation || s.ReceivedAt < m.lastReceived {
			continue
		}
		if gap := m.silenceAt(s.ReceivedAt); m.lastReceived == 0 || gap > unresponsiveAfter {
			f.log.Info("instance heard", zap.String("peer", m.name), zap.Duration("silence", gap))
		}
		if s.Leaving && !m.leaving {
			f.log.Info("instance is leaving", zap.String("peer", m.name))
		}
		m.lastReceived, m.ready, m.leaving, m.rejecting, m.level = s.ReceivedAt, s.Ready, s.Leaving, s.Rejecting, s.Level
	}
}

// recordServices records the load of the remote regions' services, each as of the time when the region's last message was
// received.
func (f *fleet) recordServices(byRegion map[string][]*wire.EdgeServiceLoad, receivedAt func(region string) clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for region, list := range byRegion {
		at := receivedAt(region)
		if at <= f.services[region].at {
			continue
		}
		if len(list) == 0 {
			// Its root has not read its endpoints yet. What the region said before holds until it is too old.
			continue
		}
		loads := make(map[string]routing.RegionLoad, len(list))
		for _, l := range list {
			if l.GetUsable() > 0 {
				loads[l.GetName()] = routing.RegionLoad{Region: region, OneWay: assumedOneWay, Wait: time.Duration(l.GetWaitMillis()) * time.Millisecond}
			}
		}
		f.services[region] = regionServices{at: at, load: loads}
	}
}

// knows reports whether the incarnation of an instance is a member.
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

// regionSize returns the number of instances of this region, including this one.
func (f *fleet) regionSize() int { return f.sizes()[f.options.Self.Region] + 1 }

// servingInRegion returns the number of instances of this region that take callers, including this one, the position of this one
// among them in the order of their names, and the fraction of their callers that are expected here.
func (f *fleet) servingInRegion(ownLevel strength.Level) (count, position int, callerShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	count = 1
	instances := []strength.Instance{{Machine: f.options.machine(), Level: ownLevel}}
	for name, m := range f.members {
		if m.Region == f.options.Self.Region && m.usable(now) {
			count++
			instances = append(instances, strength.Instance{Machine: m.machine(), Level: m.level})
			if name < f.options.Self.Instance {
				position++
			}
		}
	}
	weights, _ := strength.Weights(instances)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return count, position, weights[0] / sum
}

// rootOf returns the root of a remote region.
func (f *fleet) rootOf(region string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.highestRanked(region, anyDataCentre); m != nil {
		return m.name, true
	}
	return "", false
}

// anyDataCentre selects the instances of all data centres of a region.
const anyDataCentre = ""

// highestRanked returns the highest-ranked other instance of a region, or of one of its data centres, nil if there is none.
func (f *fleet) highestRanked(region, dataCentre string) *member {
	var first *member
	for _, m := range f.members {
		if !f.eligible(m, region) || dataCentre != anyDataCentre && m.DataCentre != dataCentre {
			continue
		}
		if first == nil || ranksAbove(m.name, m.LinkMbps, first.name, first.LinkMbps) {
			first = m
		}
	}
	return first
}

// eligible reports whether an instance of a region may be a parent or root. The caller holds mu.
func (f *fleet) eligible(m *member, region string) bool {
	now := f.options.Clock.Now()
	return m.Region == region && !m.leaving && now >= m.notParentUntil && (m.listed || now.Sub(m.lastReceived) <= unresponsiveAfter)
}

// ranksAbove reports whether instance a ranks above b in their region. Instances with more bandwidth rank higher, since a root
// exchanges messages with all. The order depends only on values that all instances see alike, so that they do not report to
// each other in a circle.
func ranksAbove(a string, linkA float64, b string, linkB float64) bool {
	if linkA != linkB {
		return linkA > linkB
	}
	return rendezvous.First("root", []string{a, b}) == a
}

// excludeAsParent excludes an instance that has not answered from the choice of parents and roots for a while.
func (f *fleet) excludeAsParent(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.notParentUntil = f.options.Clock.Now().Add(excludeAsParentFor)
	}
}

// markUnreachable records that a call could not be sent to an instance.
func (f *fleet) markUnreachable(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.avoidUntil = f.options.Clock.Now().Add(unreachableFor)
	}
}

// usable reports whether requests and callers may be sent to the instance.
func (m *member) usable(now clock.Instant) bool {
	return m.ready && !m.leaving && m.lastReceived > 0 && now.Sub(m.lastReceived) <= unresponsiveAfter && now >= m.avoidUntil
}

// newlyListed reports whether the instance was listed a moment ago and nothing has been received from it yet. It counts as
// serving, because after a restart of the whole fleet the first messages take one or two wide-area round trips.
func (m *member) newlyListed(now clock.Instant) bool { return m.lastReceived == 0 && m.starting(now) }

// starting reports whether the instance was listed a moment ago and has not gone silent since. What has been received from it may have
// been sent before it had read the configuration and its endpoints.
func (m *member) starting(now clock.Instant) bool {
	silent := m.lastReceived > 0 && now.Sub(m.lastReceived) > unresponsiveAfter
	return m.listed && !m.leaving && !silent && now.Sub(m.joined) <= newInstanceGrace && now >= m.avoidUntil
}

// remoteRegions returns the load of each allowed remote region that serves the service, with an instance there to send the
// request to. listed reports whether a region has endpoints of the service; it is used for instances from which no load has
// been received yet. Those that have started and do not state yet that they are ready, or what their region serves, are used if a
// region has no others: without them the request would be rejected.
func (f *fleet) remoteRegions(service string, allowed, listed func(region string) bool) []routing.RegionLoad {
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
		known := services.at > 0 && load.Age <= unresponsiveAfter
		serves = serves && known
		usable := firstPartners(members, func(m *member) bool {
			return m.usable(now) && serves || m.newlyListed(now) && listed(region)
		})
		if len(usable) == 0 && (serves || !known && listed(region)) {
			usable = firstPartners(members, func(m *member) bool { return m.starting(now) })
		}
		if len(usable) == 0 {
			continue
		}
		chosen := usable[rand.IntN(len(usable))]
		if chosen.lastReceived == 0 || !serves {
			load = routing.RegionLoad{Region: region, OneWay: assumedOneWay}
		}
		load.Instance = chosen.name
		out = append(out, load)
	}
	slices.SortFunc(out, func(a, b routing.RegionLoad) int { return cmp.Compare(a.Region, b.Region) })
	return out
}

// firstPartners returns the first selected instances of a remote region, at most as many as requests are sent to.
func firstPartners(members []*member, selected func(*member) bool) []*member {
	var out []*member
	for _, m := range members {
		if len(out) == partnersPerRegion {
			break
		}
		if selected(m) {
			out = append(out, m)
		}
	}
	return out
}

// partnerNames returns the remote instances that requests are sent to.
func (f *fleet) partnerNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var out []string
	for _, members := range f.partners {
		for _, m := range firstPartners(members, func(m *member) bool { return m.usable(now) || m.starting(now) }) {
			out = append(out, m.name)
		}
	}
	return out
}

// choosePartners orders the members of each remote region by bandwidth class, and by a hash of this instance and each of them.
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
		names = rendezvous.Top(f.options.Self.Instance, names, len(names))
		for i, name := range strength.ByBandwidth(names, func(name string) float64 { return f.members[name].LinkMbps }) {
			members[i] = f.members[name]
		}
		f.partners[region] = members
	}
}

// regionMembers returns the instances of this region, which may send requests to the same endpoints, and false if the announcements
// have not been read yet.
func (f *fleet) regionMembers() (names []string, read bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.namesWhere(func(m *member) bool { return m.Region == f.options.Self.Region }), f.read
}

// memberNames returns the instances of all regions.
func (f *fleet) memberNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.namesWhere(func(*member) bool { return true })
}

// isCrashKeeper reports whether this instance is the one that keeps crashes of endpoints in the store.
func (f *fleet) isCrashKeeper() bool {
	return rendezvous.First(CrashPrefix, f.memberNames()) == f.options.Self.Instance
}

// namesWhere returns the selected instances and this one. This one is left out while its announcement is not in the store, since the
// others go by that. The caller holds mu.
func (f *fleet) namesWhere(selected func(*member) bool) []string {
	names := make([]string, 0, len(f.members)+1)
	if f.selfListed {
		names = append(names, f.options.Self.Instance)
	}
	for name, m := range f.members {
		if selected(m) {
			names = append(names, name)
		}
	}
	return names
}
