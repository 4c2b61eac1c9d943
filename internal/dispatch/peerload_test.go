package dispatch

import (
	"context"
	"strconv"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// newPair returns the dispatchers of two instances of a region with the same engines. The load reports lag by an hour, so that the
// instances know of each other's load only from their messages.
func newPair(t *testing.T) (fabric *peertest.Fabric, a, b *testFleet, second *Dispatcher) {
	t.Helper()
	fabric = peertest.NewFabric(t)
	t.Cleanup(fabric.Close)
	networks := map[string]*peertest.Network{}
	for i, name := range []string{"lima-1", "lima-2"} {
		networks[name] = fabric.Add(peer.Identity{Instance: name, Region: "lima", Incarnation: uint64(i + 1)})
	}
	for _, n := range networks {
		n.SetPeers(map[string]string{"lima-1": "x", "lima-2": "x"})
	}
	with := func(self, other string) func(*Options) {
		return func(o *Options) {
			o.Network = networks[self]
			o.Peers = func() []string { return []string{other} }
			o.PollInterval = time.Hour
		}
	}
	a = newTestFleet(t, 2, 0, standin.EngineOptions{BatchSlots: 2, LoadLag: time.Hour, TokenInterval: 20 * time.Millisecond, OutputTokens: 2000}, with("lima-1", "lima-2"))
	o := Options{Region: "lima", DataCentre: "dc", Source: a.source, States: a.states, Seed: 9}
	with("lima-2", "lima-1")(&o)
	second, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	second.Start()
	t.Cleanup(second.Stop)
	return fabric, a, &testFleet{Dispatcher: second, source: a.source}, second
}

func (d *Dispatcher) freeSlots() int {
	for _, l := range d.PoolLoads() {
		if l.Name == "m" {
			return l.FreeSlots
		}
	}
	return -1
}

func waitFor(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// Guards against two instances that fill the same batches because load reports do not yet include each other's requests.
func TestPeersSeeEachOthersLoad(t *testing.T) {
	fabric, a, _, second := newPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := a.stream(ctx, call(2000), nil)
			done <- err
		}()
	}
	waitFor(t, "the peer sees three of four slots taken", time.Second, func() bool { return second.freeSlots() == 1 })

	// The last load of an unreachable peer expires. The load reports are used again, which show no requests here.
	fabric.Cut("lima-1", "lima-2")
	waitFor(t, "the unresponsive peer's load expires", maxPeerLoadAge+time.Second, func() bool { return second.freeSlots() == 4 })
	fabric.Heal("lima-1", "lima-2")
	waitFor(t, "the load is published again after the cut", fullLoadPeriod+sendTimeout+time.Second, func() bool { return second.freeSlots() == 1 })

	cancel()
	for range 3 {
		<-done
	}
	waitFor(t, "the slots are free again", time.Second, func() bool { return second.freeSlots() == 4 })
}

// Guards against messages that are applied out of order, and against those from an earlier incarnation or another region.
func TestOutdatedPeerLoadIsIgnored(t *testing.T) {
	_, _, _, d := newPair(t)
	tell := func(incarnation, sequence uint64, region string, requests int) {
		from := peer.Identity{Instance: "other", Region: region, Incarnation: incarnation}
		d.mu.Lock()
		d.endpoints["e0"].state.inFlight = requests
		m := d.fullLoad()
		d.endpoints["e0"].state.inFlight = 0
		d.mu.Unlock()
		m.Sequence = sequence
		d.handleLoad(from, m)
	}
	known := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := d.peerLoads.received["other"]; n != nil {
			return n.loads["e0"].requests
		}
		return 0
	}
	for _, step := range []struct {
		incarnation, sequence uint64
		region                string
		requests, want        int
	}{
		{5, 2, "lima", 2, 2},
		{5, 1, "lima", 7, 2},
		{5, 3, "cusco", 7, 2},
		{6, 1, "lima", 1, 1},
	} {
		tell(step.incarnation, step.sequence, step.region, step.requests)
		if got := known(); got != step.want {
			t.Errorf("after incarnation %d, sequence %d from %s: %d requests, want %d", step.incarnation, step.sequence, step.region, got, step.want)
		}
	}
}

// Guards against control traffic beyond its limit when each instance of a large region polls the cache events of every endpoint.
func TestCacheEventsArePolledInSmallRegionsOnly(t *testing.T) {
	d := &Dispatcher{endpoints: map[string]*endpoint{}}
	for i := range maxCacheEndpoints {
		d.endpoints[strconv.Itoa(i)] = &endpoint{}
	}
	if !d.readsCacheEvents() {
		t.Errorf("events of %d endpoints are not polled", maxCacheEndpoints)
	}
	d.endpoints["one more"] = &endpoint{}
	if d.readsCacheEvents() {
		t.Errorf("events of %d endpoints are polled", maxCacheEndpoints+1)
	}
}

// Guards against polls for load that the peers publish anyway, and against late detection of an unresponsive engine.
func TestLoadIsPolledLessOftenWhilePeersPublish(t *testing.T) {
	_, _, _, d := newPair(t)
	e := d.endpoints["e0"]
	base := d.pollInterval()
	waitFor(t, "the peer publishes its load", 2*fullLoadPeriod, func() bool { return d.loadPollDelay(e) == pollsWhilePublished*base })
	d.mu.Lock()
	e.state.missedReports = 1
	d.mu.Unlock()
	if got := d.loadPollDelay(e); got != base {
		t.Errorf("an engine that missed a poll is polled again after %v, want %v", got, base)
	}
}

// Guards against prompt tokens from an outdated load report that keep requests away from an endpoint for good.
func TestReportedPeerLoadExpires(t *testing.T) {
	d := &Dispatcher{}
	e := &endpoint{state: endpointState{reported: true, peerRequests: 2, peerPrefill: 1000}}
	want := ownLoad{requests: 2, prefill: 1000}
	if got := d.peerLoadAt(e, e.state.reportedAt.Add(maxReportAge)); got != want {
		t.Errorf("at the age limit: %+v, want %+v", got, want)
	}
	if got := d.peerLoadAt(e, e.state.reportedAt.Add(maxReportAge+1)); got != (ownLoad{}) {
		t.Errorf("after the age limit: %+v", got)
	}
}

// Guards against empty messages to the remaining peers because a peer has left whose last message had failed.
func TestLeftPeerIsNotOwedALoadMessage(t *testing.T) {
	_, _, _, d := newPair(t)
	sequence := func() uint64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.peerLoads.sequence
	}
	waitFor(t, "the load is published", 2*fullLoadPeriod, func() bool { return sequence() > 0 })
	d.mu.Lock()
	d.peerLoads.needsFull["left"] = true
	d.mu.Unlock()
	before, period := sequence(), 2*fullLoadPeriod
	time.Sleep(period)
	if sent, limit := sequence()-before, uint64(period/fullLoadPeriod)+1; sent > limit {
		t.Errorf("%d messages to the remaining peer of an idle instance in %v, want at most %d", sent, period, limit)
	}
}
