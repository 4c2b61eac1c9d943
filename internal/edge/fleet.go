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
	// renewEvery is the interval of renewals: three within a term.
	renewEvery = 1500 * time.Millisecond
	// announceRetry is the wait after a failed call.
	announceRetry = 300 * time.Millisecond
	// heardFor is the age of an instance's last message up to which callers and requests are sent to it: some periods of the
	// exchange between regions.
	heardFor = 1200 * time.Millisecond
	// avoidFor is how long an instance is left out after a call could not be sent to it.
	avoidFor = 500 * time.Millisecond
	// unknownOneWay is the wide-area latency that is assumed: the platform's regions are about 80 ms apart.
	unknownOneWay = 80 * time.Millisecond
	// coldSharers is the number of instances that send requests to a cold endpoint. Each sends its first one without
	// knowing of the others, so a crowd of them would exceed the endpoint's pace.
	coldSharers = 2
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
	heard    clock.Instant // last message; 0: none
	avoid    clock.Instant // until when nothing is sent to it
	services map[string]routing.RegionLoad
}

// fleet is what this instance knows of all instances.
type fleet struct {
	options *Options
	log     *zap.Logger

	mu      sync.Mutex
	members map[string]*member // others
	changed func()             // called without the lock after the set of members has changed
}

func newFleet(o *Options) *fleet {
	return &fleet{options: o, log: o.Log, members: make(map[string]*member)}
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

// incarnations returns the other instances that may be serving callers.
func (f *fleet) incarnations() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64, len(f.members))
	for name, m := range f.members {
		out[name] = m.Incarnation
	}
	return out
}

// size is the number of instances, this one included.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) + 1
}

// heardFrom records a message of an instance. It returns false if the incarnation is not known.
func (f *fleet) heardFrom(from peer.Identity, s *wire.EdgeState, services map[string]routing.RegionLoad) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[from.Instance]
	if m == nil || m.Incarnation != from.Incarnation {
		return false
	}
	now := f.options.Clock.Now()
	if silence := now.Sub(m.heard); m.heard == 0 || silence > heardFor {
		f.log.Info("instance heard", zap.String("peer", m.name), zap.Duration("silence", silence))
	}
	if s.GetLeaving() && !m.leaving {
		f.log.Info("instance is leaving", zap.String("peer", m.name))
	}
	m.heard, m.ready, m.leaving, m.refusing, m.services = now, s.GetReady(), s.GetLeaving(), s.GetRefusing(), services
	m.avoid = 0
	return true
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
	byRegion := make(map[string][]routing.RegionLoad)
	for _, m := range f.members {
		if m.Region == f.options.Self.Region || !allowed(m.Region) {
			continue
		}
		load, serves := m.services[service]
		switch {
		case m.usable(now) && serves:
			load.Age = now.Sub(m.heard)
		case m.introduced(now) && listed(m.Region):
			load = routing.RegionLoad{Region: m.Region, Instance: m.name, OneWay: unknownOneWay}
		default:
			continue
		}
		byRegion[m.Region] = append(byRegion[m.Region], load)
	}
	out := make([]routing.RegionLoad, 0, len(byRegion))
	for _, loads := range byRegion {
		out = append(out, loads[rand.IntN(len(loads))])
	}
	slices.SortFunc(out, func(a, b routing.RegionLoad) int { return cmp.Compare(a.Region, b.Region) })
	return out
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

// near reports whether an instance is in this region.
func (f *fleet) near(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	return m != nil && m.Region == f.options.Self.Region
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
