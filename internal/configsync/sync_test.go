package configsync

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// operatorName is the store client of the operators' command, which is never taken out.
const operatorName = "operator"

type fleet struct {
	t       *testing.T
	kv      *fakeKV
	fabric  *fabric
	store   *configstore.Store
	syncers map[string]*Syncer
	// Periods of the instances: short ones, so that tests wait little.
	exchange, timeout, watch time.Duration
}

func newFleet(t *testing.T) *fleet {
	kv := newFakeKV()
	return &fleet{
		t:        t,
		kv:       kv,
		fabric:   newFabric(),
		store:    configstore.New(&client{kv, operatorName}, configstore.Options{}),
		syncers:  make(map[string]*Syncer),
		exchange: 100 * time.Millisecond,
		timeout:  100 * time.Millisecond,
		watch:    300 * time.Millisecond,
	}
}

func (f *fleet) options(name string) Options {
	return Options{
		Store:          &client{f.kv, name},
		ExchangePeriod: f.exchange,
		CallTimeout:    f.timeout,
		StoreTimeout:   f.timeout,
		WatchPeriod:    f.watch,
	}
}

func (f *fleet) start(name, dataCentre string) *Syncer {
	f.t.Helper()
	opts := f.options(name)
	network := f.fabric.network(name, dataCentre)
	opts.Network = network
	s, err := New(opts)
	if err != nil {
		f.t.Fatal(err)
	}
	f.fabric.join(network)
	if err := s.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = s.Stop(context.Background()) })
	f.syncers[name] = s
	return s
}

func (f *fleet) startMany(dataCentre string, n int) {
	for i := range n {
		f.start(fmt.Sprintf("%s-%d", dataCentre, i), dataCentre)
	}
}

func (f *fleet) apply(rate float64) int64 {
	f.t.Helper()
	cfg := &config.Config{
		Regions:       []config.Region{{Name: "lima", DataCentres: []string{"lima"}, Slots: 2}},
		Organisations: []config.Organisation{{Name: "acme", Rate: rate, Burst: 1000}},
	}
	r, err := f.store.Apply(f.t.Context(), cfg, configstore.Change{})
	if err != nil {
		f.t.Fatal(err)
	}
	return r.Head.Revision
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) waitFor(revision int64) {
	f.t.Helper()
	for name, s := range f.syncers {
		eventually(f.t, fmt.Sprintf("revision %d in force at %s", revision, name), func() bool { return s.View().Revision() >= revision })
	}
}

func (f *fleet) relayOf(dataCentre string) string {
	for name, s := range f.syncers {
		if s.opts.Network.Self().DataCentre == dataCentre && s.isRelay() {
			return name
		}
	}
	f.t.Fatalf("no relay in %s", dataCentre)
	return ""
}

// Guards against a change that does not reach every instance, and against more than one watch in a data centre.
func TestChangeReachesAllInstances(t *testing.T) {
	f := newFleet(t)
	f.startMany("lima", 3)
	f.startMany("cusco", 2)
	f.waitFor(f.apply(100))
	f.waitFor(f.apply(200))
	for name, s := range f.syncers {
		if rate := s.View().Organisation("acme").Rate; rate != 200 {
			t.Errorf("%s: rate %g", name, rate)
		}
	}
	relays := 0
	for _, s := range f.syncers {
		if s.isRelay() {
			relays++
		}
	}
	if relays != 2 {
		t.Errorf("%d relays for 2 data centres", relays)
	}
}

// Guards against a relay that dies, or hangs, and leaves the others with an old revision.
func TestSilentRelay(t *testing.T) {
	f := newFleet(t)
	f.startMany("lima", 3)
	f.waitFor(f.apply(100))
	relay := f.relayOf("lima")
	f.fabric.setCut(relay, true)
	f.kv.setOut(relay, true)
	revision := f.apply(200)
	hung := f.syncers[relay]
	delete(f.syncers, relay)
	f.waitFor(revision)
	f.fabric.setCut(relay, false)
	eventually(t, "the relay catches up from its peers while it has no store", func() bool { return hung.View().Revision() >= revision })
}

// Guards against a relay whose connection to the store has gone silent while it still answers its peers.
func TestRelayWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.startMany("lima", 3)
	f.waitFor(f.apply(100))
	f.kv.setOut(f.relayOf("lima"), true)
	f.waitFor(f.apply(200))
}

// Guards against a data centre that is cut off from the store and never hears of a change.
func TestDataCentreWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.startMany("lima", 2)
	f.startMany("cusco", 2)
	f.waitFor(f.apply(100))
	f.kv.setOut("cusco-0", true)
	f.kv.setOut("cusco-1", true)
	f.waitFor(f.apply(200))
}

// Guards against an instance that cannot start during a store outage although its peers have the configuration, and
// against one that says it is ready without any.
func TestBoot(t *testing.T) {
	f := newFleet(t)
	f.kv.setOut("late-0", true)
	alone := f.start("late-0", "lima")
	if err := alone.Ready(); err == nil || !strings.Contains(err.Error(), "unavailable") {
		t.Errorf("Ready = %v", err)
	}
	f.start("lima-0", "lima")
	revision := f.apply(100)
	f.waitFor(revision)
	f.kv.setOut("late-1", true)
	late := f.start("late-1", "lima")
	if err := late.Ready(); err != nil {
		t.Errorf("Ready = %v after boot from a peer", err)
	}
}

// Guards against a configuration that reverts when the store comes back with older data.
func TestStoreWithOlderData(t *testing.T) {
	f := newFleet(t)
	f.startMany("lima", 2)
	f.apply(100)
	old := f.kv.Snapshot()
	revision := f.apply(200)
	f.waitFor(revision)
	f.kv.Restore(old)
	time.Sleep(time.Second)
	for name, s := range f.syncers {
		if got := s.View().Revision(); got != revision {
			t.Errorf("%s reverted to revision %d", name, got)
		}
	}
	cfg := &config.Config{
		Regions:       []config.Region{{Name: "lima", DataCentres: []string{"lima"}, Slots: 2}},
		Organisations: []config.Organisation{{Name: "acme", Rate: 300, Burst: 1000}},
	}
	r, err := f.store.Apply(t.Context(), cfg, configstore.Change{Above: revision})
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor(r.Head.Revision)
}

// Guards against a withdrawn key that goes on working somewhere, with the store out and with an instance that was cut off.
func TestWithdrawalReachesAllInstances(t *testing.T) {
	f := newFleet(t)
	f.startMany("lima", 3)
	f.startMany("cusco", 3)
	f.waitFor(f.apply(100))
	key, r, err := f.store.IssueKey(t.Context(), "acme", configstore.Change{})
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor(r.Head.Revision)
	for name := range f.syncers {
		f.kv.setOut(name, true)
	}
	f.fabric.setCut("cusco-2", true)
	f.syncers["lima-1"].Withdraw(t.Context(), []string{key.ID})
	for name, s := range f.syncers {
		if name == "cusco-2" {
			continue
		}
		eventually(t, "key withdrawn at "+name, func() bool { return s.View().KeyWithdrawn(key.ID) })
	}
	if _, _, status := f.syncers["cusco-2"].View().Authenticate(key.Key); status != KeyValid {
		t.Errorf("the cut instance says %v", status)
	}
	f.fabric.setCut("cusco-2", false)
	eventually(t, "key withdrawn after the cut", func() bool { return f.syncers["cusco-2"].View().KeyWithdrawn(key.ID) })
	// A later configuration that declares the key does not bring it back.
	for name := range f.syncers {
		f.kv.setOut(name, false)
	}
	f.waitFor(f.apply(300))
	for name, s := range f.syncers {
		if _, _, status := s.View().Authenticate(key.Key); status != KeyWithdrawn {
			t.Errorf("%s says %v", name, status)
		}
	}
}

// Guards against subscribers that miss a revision or see them out of order.
func TestSubscribersSeeRevisionsInOrder(t *testing.T) {
	f := newFleet(t)
	s := f.start("lima-0", "lima")
	var mu sync.Mutex
	var seen []int64
	cancel := s.Subscribe(func(v View) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, v.Revision())
	})
	for i := range 5 {
		f.waitFor(f.apply(float64(100 + i)))
	}
	eventually(t, "5 revisions seen", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) == 5 })
	cancel()
	f.waitFor(f.apply(500))
	mu.Lock()
	defer mu.Unlock()
	for i, r := range seen {
		if r != int64(i+1) {
			t.Errorf("seen %v", seen)
			break
		}
	}
}

// Guards against a start of many instances that reads all content from the store for each of them, and against a read that
// starts from nothing after each failure.
func TestBootReadsContentFromPeers(t *testing.T) {
	f := newFleet(t)
	f.exchange, f.timeout, f.watch = time.Second, time.Second, time.Second
	cfg := &config.Config{Regions: []config.Region{{Name: "lima", DataCentres: []string{"lima"}, Slots: 2}}}
	for i := range 500 {
		cfg.Organisations = append(cfg.Organisations, config.Organisation{Name: fmt.Sprintf("org-%d", i), Rate: 1, Burst: 1})
	}
	r, err := f.store.Apply(t.Context(), cfg, configstore.Change{})
	if err != nil {
		t.Fatal(err)
	}
	f.kv.failAfter("lima-0", 100)
	f.start("lima-0", "lima")
	if reads := f.kv.readsOf("lima-0"); f.syncers["lima-0"].Ready() == nil || reads < 100 {
		t.Fatalf("the first boot has not failed in the middle: %d reads", reads)
	}
	f.kv.failAfter("lima-0", 1000)
	f.waitFor(r.Head.Revision)
	// 222 shards and the general part in two attempts, two reads of the head, and some that were in flight at the failure.
	if reads := f.kv.readsOf("lima-0"); reads > 300 {
		t.Errorf("%d reads for 2 attempts", reads)
	}
	late := f.start("lima-1", "lima")
	if reads := f.kv.readsOf("lima-1"); late.Ready() != nil || reads > 5 {
		t.Errorf("the second boot made %d reads: %v", reads, late.Ready())
	}
}

// Guards against sets of withdrawn keys that are too large for one message and therefore never become equal.
func TestManyWithdrawalsAreExchanged(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("lima-0", "lima"), f.start("lima-1", "lima")
	f.waitFor(f.apply(100))
	f.fabric.setCut("lima-0", true)
	var forA, forB []string
	for i := range 3 * withdrawalsPerMessage {
		forA = append(forA, fmt.Sprintf("1-%06d", 2*i))
		if i%5 == 0 {
			forB = append(forB, fmt.Sprintf("1-%06d", 2*i+1))
		}
	}
	a.hold.withdraw(forA)
	b.hold.withdraw(forB)
	f.fabric.setCut("lima-0", false)
	eventually(t, "equal sets", func() bool {
		return a.Snapshot().WithdrawnDigest() == b.Snapshot().WithdrawnDigest()
	})
	if n := len(a.Snapshot().Withdrawn()); n != len(forA)+len(forB) {
		t.Errorf("%d ids, want %d", n, len(forA)+len(forB))
	}
}

// Guards against ranges that leave out or repeat an id at their ends.
func TestInRange(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	for _, tc := range []struct{ after, until, want string }{
		{"", "", "abcd"}, {"", "b", "ab"}, {"b", "", "cd"}, {"b", "c", "c"}, {"bb", "cc", "c"}, {"d", "", ""}, {"c", "b", ""}, {"", "0", ""},
	} {
		if got := strings.Join(inRange(ids, tc.after, tc.until), ""); got != tc.want {
			t.Errorf("inRange(%q, %q) = %q, want %q", tc.after, tc.until, got, tc.want)
		}
	}
}

// Guards against a fleet whose instances connect only when they call each other: each would take itself for the relay and watch
// the store.
func TestRelayAmongKnownPeers(t *testing.T) {
	f := newFleet(t)
	names := []string{"lima-0", "lima-1", "lima-2"}
	known := func() []Peer {
		list := []Peer{{Instance: "cusco-0", DataCentre: "cusco"}}
		for _, name := range names {
			list = append(list, Peer{Instance: name, DataCentre: "lima"})
		}
		return list
	}
	var syncers []*Syncer
	for _, name := range names {
		opts := f.options(name)
		opts.Network, opts.Peers = f.fabric.network(name, "lima"), known // not joined, so connected to none
		s, err := New(opts)
		if err != nil {
			t.Fatal(err)
		}
		syncers = append(syncers, s)
	}
	relay := syncers[0].relay()
	for _, s := range syncers {
		if s.relay() != relay || s.isRelay() != (s.opts.Network.Self().Instance == relay) {
			t.Errorf("%s takes %s for the relay, others %s", s.opts.Network.Self().Instance, s.relay(), relay)
		}
	}
	suspected := func() []Peer {
		list := known()
		for i := range list {
			list[i].NoRelay = list[i].Instance == relay
		}
		return list
	}
	for _, s := range syncers {
		s.opts.Peers = suspected
		if self := s.opts.Network.Self().Instance; self != relay && s.relay() == relay {
			t.Errorf("%s takes a suspected instance for the relay", self)
		}
	}
}

// Guards against a store that is slow for long and therefore taken for silent: changes must still come into force.
func TestSlowStore(t *testing.T) {
	f := newFleet(t)
	f.exchange, f.timeout, f.watch = 0, 0, 0 // the periods of a daemon
	f.apply(100)
	f.startMany("lima", 2)
	f.kv.SetFaults(memory.Faults{Latency: 2 * time.Second})
	revision := f.apply(200) // several slow calls itself
	start := time.Now()
	f.waitFor(revision)
	t.Logf("in force after %s with calls of 2 s", time.Since(start).Round(time.Millisecond))
}
