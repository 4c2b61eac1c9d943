package limits

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// fakeNetwork connects the instances of a test by direct calls.
type fakeNetwork struct {
	mu       sync.Mutex
	members  map[string]*fakeMember
	cut      map[string]bool // instances that nobody reaches and that reach nobody
	loseNext map[string]int  // by service: calls that run and lose their answer
	calls    map[string]int  // by service
	gate     chan struct{}   // calls wait until it is closed, if not nil
}

type fakeMember struct {
	peer.Network
	net      *fakeNetwork
	self     peer.Identity
	handlers map[string]peer.Handler
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		members: map[string]*fakeMember{}, cut: map[string]bool{}, loseNext: map[string]int{}, calls: map[string]int{},
	}
}

func (n *fakeNetwork) join(id peer.Identity) *fakeMember {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &fakeMember{net: n, self: id, handlers: map[string]peer.Handler{}}
	n.members[id.Instance] = m
	return m
}

func (n *fakeNetwork) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

func (m *fakeMember) Self() peer.Identity                   { return m.self }
func (m *fakeMember) Handle(service string, h peer.Handler) { m.handlers[service] = h }

func (m *fakeMember) Call(ctx context.Context, to, service string, req, resp proto.Message) error {
	m.net.mu.Lock()
	target := m.net.members[to]
	cut := m.net.cut[to] || m.net.cut[m.self.Instance]
	m.net.calls[service]++
	gate := m.net.gate
	lose := m.net.loseNext[service] > 0
	if lose {
		m.net.loseNext[service]--
	}
	m.net.mu.Unlock()
	if target == nil {
		return peer.ErrUnknownPeer
	}
	if cut {
		return peer.ErrNotSent
	}
	if gate != nil {
		<-gate
	}
	s := &fakeStream{req: req, resp: resp}
	if lose {
		s.resp = resp.ProtoReflect().New().Interface()
	}
	if err := target.handlers[service](ctx, m.self, s); err != nil {
		return &peer.RemoteError{Instance: to, Service: service, Message: err.Error()}
	}
	if lose {
		return peer.ErrBroken
	}
	return nil
}

// fakeStream carries one request and one response.
type fakeStream struct {
	peer.Stream
	req, resp proto.Message
}

func (s *fakeStream) Recv(m proto.Message) error {
	proto.Merge(m, s.req)
	return nil
}

func (s *fakeStream) Send(m proto.Message) error {
	proto.Merge(s.resp, m)
	return nil
}

// fakeView is a configuration in force.
type fakeView struct {
	configsync.View
	revision int64
	general  *config.Config
	orgs     map[string]*config.Organisation
}

func (v *fakeView) Revision() int64         { return v.revision }
func (v *fakeView) General() *config.Config { return v.general }
func (v *fakeView) Organisation(name string) *config.Organisation {
	return v.orgs[name]
}

func (v *fakeView) Organisations(f func(*config.Organisation) bool) {
	for _, o := range v.orgs {
		if !f(o) {
			return
		}
	}
}

type fakeSource struct {
	mu   sync.Mutex
	view configsync.View
}

func (s *fakeSource) View() configsync.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSource) set(v configsync.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
}

func (s *fakeSource) Subscribe(func(configsync.View)) func() { return func() {} }

func view(revision int64, regions []config.Region, orgs ...config.Organisation) *fakeView {
	v := &fakeView{revision: revision, general: &config.Config{Regions: regions}, orgs: map[string]*config.Organisation{}}
	for i := range orgs {
		v.orgs[orgs[i].Name] = &orgs[i]
	}
	return v
}

// fakeList is the platform's instance list.
type fakeList struct {
	platform.InstanceList
	mu      sync.Mutex
	rows    []platform.ListedInstance
	version int64
}

func (l *fakeList) Instances(context.Context) ([]platform.ListedInstance, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.rows), l.version, nil
}

func (l *fakeList) add(id peer.Identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.rows = append(l.rows, platform.ListedInstance{Name: id.Instance, Region: id.Region, Incarnation: id.Incarnation})
}

func (l *fakeList) has(incarnation uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.rows, func(r platform.ListedInstance) bool { return r.Incarnation == incarnation })
}

func (l *fakeList) remove(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.rows = slices.DeleteFunc(l.rows, func(r platform.ListedInstance) bool { return r.Incarnation == incarnation })
}

// fleet is a set of services that a test drives step by step.
type fleet struct {
	t         testing.TB
	clock     *clock.Manual
	store     *memory.Store
	net       *fakeNetwork
	source    *fakeSource
	sources   map[string]*fakeSource // of single instances, else source
	list      *fakeList
	services  map[string]*Service
	ids       map[string]peer.Identity
	next      uint64
	paused    map[string]*Service
	all       []*Service
	afterEach func() // called after each instance's turn
}

func newFleet(t testing.TB, v *fakeView) *fleet {
	c := &clock.Manual{}
	c.Advance(time.Hour)
	return &fleet{
		t: t, clock: c, store: memory.NewStore(memory.StoreOptions{Clock: c}), net: newFakeNetwork(), source: &fakeSource{view: v}, list: &fakeList{},
		services: map[string]*Service{}, sources: map[string]*fakeSource{}, ids: map[string]peer.Identity{}, next: 100,
		paused: map[string]*Service{},
	}
}

// peersOf lists the fleet without one instance.
type peersOf struct {
	f    *fleet
	self string
}

func (p peersOf) Peers() []Peer {
	var out []Peer
	for name, id := range p.f.ids {
		if name != p.self && p.f.list.has(id.Incarnation) {
			out = append(out, Peer{Name: name, Region: id.Region, Incarnation: id.Incarnation})
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// start adds an instance named <region>-<n>; it is driven by refresh and tick.
func (f *fleet) start(names ...string) {
	f.t.Helper()
	for _, name := range names {
		f.next++
		region, _, _ := strings.Cut(name, "-")
		f.ids[name] = peer.Identity{Instance: name, Region: region, Incarnation: f.next}
	}
	for _, name := range names {
		if f.sources[name] == nil {
			f.sources[name] = &fakeSource{view: f.source.View()}
		}
		s, err := New(Options{
			Network: f.net.join(f.ids[name]), Store: f.store, Clock: f.clock, Config: f.sources[name], Peers: peersOf{f, name},
			Instances: f.list, CrossRegionRoom: 20 * time.Millisecond, CrossRegionTimeout: 200 * time.Millisecond,
		})
		if err != nil {
			f.t.Fatal(err)
		}
		f.services[name] = s
		f.all = append(f.all, s)
		f.list.add(f.ids[name])
		f.t.Cleanup(func() {
			s.cancel()
			s.wg.Wait()
		})
	}
}

// crash removes an instance without notice.
func (f *fleet) crash(name string) *Service {
	s := f.services[name]
	delete(f.services, name)
	f.net.setCut(name, true)
	return s
}

// stop ends an instance as planned.
func (f *fleet) stop(name string) error {
	s := f.crash(name)
	f.net.setCut(name, false)
	err := s.Stop(context.Background())
	f.net.setCut(name, true)
	f.list.remove(s.self.Incarnation)
	return err
}

// pause stops an instance without its knowledge; resume goes on with it.
func (f *fleet) pause(name string) { f.paused[name] = f.crash(name) }

func (f *fleet) resume(name string) {
	f.services[name] = f.paused[name]
	delete(f.paused, name)
	f.net.setCut(name, false)
}

// run advances the clock by seconds; each second every instance ticks and refreshes.
func (f *fleet) run(seconds int) {
	f.t.Helper()
	for range seconds {
		f.clock.Advance(time.Second)
		for _, name := range slices.Sorted(mapsKeys(f.services)) {
			f.services[name].tick()
			_ = f.services[name].refresh(context.Background()) // fails while the store is down
			_, _ = f.services[name].settle(context.Background())
			if f.afterEach != nil {
				for _, s := range f.services {
					f.settle(s)
				}
				f.afterEach()
			}
		}
		for _, s := range f.services {
			f.settle(s)
		}
	}
}

func mapsKeys(m map[string]*Service) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// settle waits for the messages that a service has sent.
func (f *fleet) settle(s *Service) {
	f.t.Helper()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		f.t.Fatal("messages between instances did not end")
	}
}

// totals adds up an organisation's shares and levels over the instances, paused ones included.
func (f *fleet) totals(organisation string) (rate, burst, level float64) {
	var all []*Service
	for _, s := range f.services {
		all = append(all, s)
	}
	for _, s := range f.paused {
		all = append(all, s)
	}
	for _, s := range all {
		u, _ := s.Usage(organisation)
		rate += u.Rate
		burst += u.Burst
		level += u.Level
	}
	return rate, burst, level
}

// check compares the instances' shares with the declaration.
func (f *fleet) check(organisation string, rate, burst float64) {
	f.t.Helper()
	f.checkIn(f.t, organisation, rate, burst)
}

// checkIn is check for a generated test.
func (f *fleet) checkIn(t interface{ Fatalf(string, ...any) }, organisation string, rate, burst float64) {
	const tolerance = 1e-6
	gotRate, gotBurst, gotLevel := f.totals(organisation)
	if gotRate > rate+tolerance || gotBurst > burst+tolerance || gotLevel > burst+tolerance {
		t.Fatalf("rate %.3f of %.3f, burst %.3f and level %.3f of %.3f", gotRate, rate, gotBurst, gotLevel, burst)
	}
}

// stopAll ends the messages of all instances.
func (f *fleet) stopAll() {
	for _, s := range f.all {
		s.cancel()
		s.wg.Wait()
	}
}

func sortedNames(m map[string]*Service) []string { return slices.Sorted(mapsKeys(m)) }

func (n *fakeNetwork) setGate(gate chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gate = gate
}

func (n *fakeNetwork) count(service string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[service]
}

// loseAnswers makes the next calls of a service run without an answer.
func (n *fakeNetwork) loseAnswers(service string, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseNext[service] = calls
}

func containsText(err error, text string) bool { return strings.Contains(err.Error(), text) }
