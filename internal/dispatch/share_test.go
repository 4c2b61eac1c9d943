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

// pair is two instances of a region before the same engines, whose reports lag so much that they tell nothing in time.
func pair(t *testing.T) (fabric *peertest.Fabric, a, b *fleet, second *Dispatcher) {
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
	a = newFleet(t, 2, 0, standin.EngineOptions{BatchSlots: 2, LoadLag: time.Hour, TokenInterval: 20 * time.Millisecond, OutputTokens: 2000}, with("lima-1", "lima-2"))
	o := Options{Region: "lima", DataCentre: "dc", Source: a.source, States: a.states, Seed: 9}
	with("lima-2", "lima-1")(&o)
	second, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	second.Start()
	t.Cleanup(second.Stop)
	return fabric, a, &fleet{Dispatcher: second, source: a.source}, second
}

func (d *Dispatcher) freePlaces() int {
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

// Guards against two instances that fill the same batches, because reports are older than the work.
func TestNeighboursSeeEachOthersWork(t *testing.T) {
	fabric, a, _, second := pair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := a.stream(ctx, call(2000), nil)
			done <- err
		}()
	}
	waitFor(t, "the neighbour sees three of four places taken", time.Second, func() bool { return second.freePlaces() == 1 })

	// A neighbour that is cut off is not believed for ever: the reports count again, and say nothing here.
	fabric.Cut("lima-1", "lima-2")
	waitFor(t, "the silent neighbour's work is forgotten", sharedFor+time.Second, func() bool { return second.freePlaces() == 4 })
	fabric.Heal("lima-1", "lima-2")
	waitFor(t, "the work is told again after the cut", fullPeriod+shareTimeout+time.Second, func() bool { return second.freePlaces() == 1 })

	cancel()
	for range 3 {
		<-done
	}
	waitFor(t, "the places are free again", time.Second, func() bool { return second.freePlaces() == 4 })
}

// Guards against messages that overtake each other and against those of a former process or another region.
func TestOldMessagesAreLeftOut(t *testing.T) {
	_, _, _, d := pair(t)
	tell := func(incarnation, sequence uint64, region string, requests int) {
		from := peer.Identity{Instance: "other", Region: region, Incarnation: incarnation}
		d.mu.Lock()
		d.endpoints["e0"].load.inFlight = requests
		m := d.allWork()
		d.endpoints["e0"].load.inFlight = 0
		d.mu.Unlock()
		m.Sequence = sequence
		d.handleWork(from, m)
	}
	known := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		if n := d.shared.heard["other"]; n != nil {
			return n.work["e0"].requests
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

// Guards against cache events that each daemon of a large region reads from every endpoint.
func TestCacheEventsAreReadInSmallRegionsOnly(t *testing.T) {
	d := &Dispatcher{endpoints: map[string]*endpoint{}}
	for i := range maxCacheEndpoints {
		d.endpoints[strconv.Itoa(i)] = &endpoint{}
	}
	if !d.readsCacheEvents() {
		t.Errorf("events of %d endpoints are not read", maxCacheEndpoints)
	}
	d.endpoints["one more"] = &endpoint{}
	if d.readsCacheEvents() {
		t.Errorf("events of %d endpoints are read", maxCacheEndpoints+1)
	}
}

// Guards against reports that take control traffic for what the neighbours tell, and against a silent engine that is found late.
func TestReportsAreReadLessWhileNeighboursTell(t *testing.T) {
	_, _, _, d := pair(t)
	e := d.endpoints["e0"]
	base := d.pollInterval()
	waitFor(t, "the neighbour tells its work", 2*fullPeriod, func() bool { return d.nextPoll(e) == toldPolls*base })
	d.mu.Lock()
	e.load.silent = 1
	d.mu.Unlock()
	if got := d.nextPoll(e); got != base {
		t.Errorf("a silent engine is asked again after %v, want %v", got, base)
	}
}
