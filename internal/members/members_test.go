package members_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var incarnations atomic.Uint64

// virtualClock reads the time of the synctest bubble.
type virtualClock struct{}

func (virtualClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// fleet is a set of services over the in-memory network and platform.
type fleet struct {
	t         *testing.T
	fabric    *peertest.Fabric
	list      *memory.InstanceList
	directory *memory.Directory
	services  map[string]*members.Service
	payloads  atomic.Int64 // number of payloads received
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t:         t,
		fabric:    peertest.NewFabric(t),
		list:      memory.NewInstanceList(memory.InstanceListOptions{Clock: virtualClock{}, Lag: 100 * time.Millisecond}),
		directory: memory.NewDirectory(memory.DirectoryOptions{Clock: virtualClock{}, Rates: memory.Rates{Writes: 10}}),
		services:  map[string]*members.Service{},
	}
	f.fabric.SetBreakAfter(300 * time.Millisecond)
	t.Cleanup(f.close)
	return f
}

func (f *fleet) close() {
	for _, s := range f.services {
		s.Close()
	}
	f.fabric.Close()
}

// fastParams returns the default parameters with shorter periods.
func fastParams() membership.Params {
	p := membership.DefaultParams()
	p.HomePeriod, p.RemotePeriod, p.ProbeTimeout = 150*time.Millisecond, 200*time.Millisecond, 100*time.Millisecond
	p.IndirectRetryAfter = 300 * time.Millisecond
	return p
}

func (f *fleet) add(name, region, dataCentre string) *members.Service {
	f.t.Helper()
	n := incarnations.Add(1)
	id := peer.Identity{Instance: name, Region: region, DataCentre: dataCentre, Incarnation: n}
	s, err := members.New(members.Options{
		Network: f.fabric.Add(id), List: f.list, Directory: f.directory,
		Self: membership.Row{
			Name: name, Region: region, DataCentre: dataCentre, Incarnation: n,
			PeerAddr: fmt.Sprintf("127.0.0.1:%d", 20000+n), CallerAddr: fmt.Sprintf("127.0.0.1:%d", 10000+n),
		},
		Clock: virtualClock{}, Params: fastParams(), MinPollInterval: 200 * time.Millisecond, DirectoryInterval: 200 * time.Millisecond,
		Payload: func() members.Payload {
			return members.Payload{Load: &wire.LoadSummary{Pools: []*wire.PoolLoad{{Name: "taller-lm", Free: 3}}}}
		},
		OnPayload: func(_ peer.Identity, p members.Payload) {
			if p.Load.GetPools()[0].GetName() == "taller-lm" && p.Load.GetPools()[0].GetFree() == 3 {
				f.payloads.Add(1)
			}
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s.Start()
	f.services[name] = s
	return s
}

// addFour starts the four instances of the small deployment.
func (f *fleet) addFour() {
	f.add("lima-1", "lima", "lima-a")
	f.add("lima-2", "lima", "lima-b")
	f.add("arequipa-1", "arequipa", "arequipa-a")
	f.add("cusco-1", "cusco", "cusco-a")
	f.eventually("all instances see four live ones", func() bool {
		for name := range f.services {
			if f.count(name, membership.Live) != 4 {
				return false
			}
		}
		return true
	})
}

func (f *fleet) count(at string, state membership.Status) int {
	n := 0
	for _, m := range f.services[at].Snapshot().Members {
		if m.Status == state {
			n++
		}
	}
	return n
}

func (f *fleet) status(at, name string) membership.Status {
	m, found := f.services[at].Snapshot().Member(name)
	if !found {
		return membership.Gone
	}
	return m.Status
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) everywhere(target string, want membership.Status, except ...string) func() bool {
	return func() bool {
		for at := range f.services {
			if at != target && at != firstOr(except) && f.status(at, target) != want {
				return false
			}
		}
		return true
	}
}

func firstOr(list []string) string {
	if len(list) > 0 {
		return list[0]
	}
	return ""
}

// Checks that instances find each other through the list, and that heartbeats carry a payload.
func TestJoinAndPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		f.eventually("payloads arrive", func() bool { return f.payloads.Load() > 8 })
		self, found := f.services["lima-1"].Snapshot().Member("lima-1")
		if !found || !self.Self || !self.Listed {
			t.Errorf("own row: %+v, %v", self, found)
		}
		if n := f.services["cusco-1"].Snapshot().EntryCount; n != 4 {
			t.Errorf("entry count is %d", n)
		}
	})
}

// Checks that a crashed instance becomes suspect, that it is gone only once the list no longer shows it, and that a new
// instance of the same name does not inherit the suspicion.
func TestCrashSuspectGoneRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		before, _ := f.services["lima-1"].Snapshot().Member("cusco-1")
		f.services["cusco-1"].Close()
		delete(f.services, "cusco-1")
		f.fabric.Remove("cusco-1")
		f.eventually("suspect everywhere", f.everywhere("cusco-1", membership.Suspect))
		time.Sleep(400 * time.Millisecond)
		if !f.everywhere("cusco-1", membership.Suspect)() {
			t.Error("suspect instance changed its state although the list still shows it")
		}
		f.list.Drop("cusco-1")
		f.eventually("gone everywhere", f.everywhere("cusco-1", membership.Gone))
		ref := membership.Ref{Instance: "cusco-1", Incarnation: before.Incarnation}
		if state, known := f.services["lima-1"].Snapshot().StatusOf(ref); !known || state != membership.Gone {
			t.Errorf("state of the ended process: %v, %v", state, known)
		}
		f.add("cusco-1", "cusco", "cusco-a")
		f.eventually("live everywhere", f.everywhere("cusco-1", membership.Live))
	})
}

// Checks that an instance is not suspected if others still reach it: only the connection from one instance to it is cut.
func TestOneWayCutIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		f.fabric.CutOneWay("lima-1", "cusco-1")
		f.eventually("lima-1 gets no answer from cusco-1", func() bool {
			m, _ := f.services["lima-1"].Snapshot().Member("cusco-1")
			return m.Unreachable
		})
		for range 100 {
			for at := range f.services {
				if at != "cusco-1" && f.status(at, "cusco-1") != membership.Live {
					t.Fatalf("%s considers cusco-1 %v", at, f.status(at, "cusco-1"))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.fabric.Heal("lima-1", "cusco-1")
		f.eventually("lima-1 reaches cusco-1 again", func() bool {
			m, _ := f.services["lima-1"].Snapshot().Member("cusco-1")
			return !m.Unreachable
		})
	})
}

// Checks that an instance is live again once a partition has healed.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		others := []string{"lima-1", "lima-2", "arequipa-1"}
		for _, name := range others {
			f.fabric.Cut(name, "cusco-1")
		}
		f.eventually("suspect on the larger side", f.everywhere("cusco-1", membership.Suspect))
		for _, name := range others {
			f.fabric.Heal(name, "cusco-1")
		}
		f.eventually("live on the larger side", f.everywhere("cusco-1", membership.Live))
		f.eventually("cusco-1 sees all live", func() bool { return f.count("cusco-1", membership.Live) == 4 })
	})
}

// Checks that a leaving instance is neither an entry for callers nor listed in the directory.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		f.eventually("directory holds both entries", func() bool { return f.directoryCount("lima") == 2 })
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if err := f.services["lima-1"].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		f.eventually("leaving everywhere", f.everywhere("lima-1", membership.Leaving))
		entries := f.services["cusco-1"].Entries("lima", "weathervanes", 100)
		if len(entries.Members) != 1 || entries.Members[0].Name != "lima-2" {
			t.Errorf("entries: %+v", entries.Members)
		}
		f.eventually("directory has dropped it", func() bool { return f.directoryCount("lima") == 1 })
	})
}

func (f *fleet) directoryCount(region string) int {
	entries, err := f.directory.Lookup(context.Background(), region)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(entries)
}

// Checks that instances keep their view while the platform's list is unavailable, that those that cannot read the list get it
// from a peer, and that a new instance is seen once the list is available again.
func TestListOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		f.list.SetFaults(memory.Faults{Down: true})
		time.Sleep(500 * time.Millisecond)
		for name := range f.services {
			if n := f.count(name, membership.Live); n != 4 {
				t.Errorf("%s sees %d live instances while the list is unavailable", name, n)
			}
		}
		f.list.SetFaults(memory.Faults{})
		f.add("lima-3", "lima", "lima-a")
		f.eventually("the new instance is seen", f.everywhere("lima-3", membership.Live))
	})
}

// Checks that all instances learn in time that an endpoint is leaving, and that one instance per region reads the list
// rather than each.
func TestLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.addFour()
		ctx := context.Background()
		row := platform.ListedInstance{Name: "runner-1", Kind: platform.KindEndpoint, Region: "lima", DataCentre: "lima-a", State: platform.StateLive}
		announce := func(state platform.InstanceState) {
			row.State = state
			if err := f.list.Announce(ctx, row); err != nil {
				t.Fatal(err)
			}
		}
		seen := func(want bool) func() bool {
			return func() bool {
				for _, s := range f.services {
					if s.EndpointLeaving("runner-1") != want {
						return false
					}
				}
				return true
			}
		}
		announce(platform.StateLive)
		time.Sleep(time.Second)
		if !seen(false)() {
			t.Error("live endpoint is considered leaving")
		}
		announce(platform.StateLeaving)
		start := time.Now()
		f.eventually("leaving endpoint is known everywhere", seen(true))
		if took := time.Since(start); took > time.Second {
			t.Errorf("took %v with polls each 200 ms and a lag of 100 ms", took)
		}
		announce(platform.StateLive)
		f.eventually("endpoint is back", seen(false))
		if n := f.services["cusco-1"].Snapshot().EntryCount; n != 4 {
			t.Errorf("entry count is %d with an endpoint in the list", n)
		}
		before := f.list.Counts().Calls[memory.KindInstances]
		time.Sleep(10 * time.Second)
		// lima polls every 200 ms; the regions with one instance poll every 300 ms to stay within the traffic budget. That
		// is 117 polls, with a margin for intervals in which two instances poll.
		if polls := f.list.Counts().Calls[memory.KindInstances] - before; polls > 130 || polls < 105 {
			t.Errorf("%d polls in 10 s, want about 117", polls)
		}
	})
}
