package members_test

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// largeFleetVariable is the environment variable that enables the test with 390 instances, which is too slow for every
// run of the tests.
const largeFleetVariable = "DOGWOODKNOT_LARGE_FLEET"

// Bytes that one call adds to its frames: yamux, TLS (TestBytesPerCall in package peer: 107 sent and 146 received, less
// the frames) and TCP/IP headers of 52 bytes for each write and acknowledgement.
const (
	callerSendOverhead = 76 + 3.5*52
	callerRecvOverhead = 136 + 4*52
	// keepAliveBytes is what each session sends and receives per keep-alive interval: a ping and its answer.
	keepAliveBytes    = 2 * (12 + 22 + 52)
	keepAliveInterval = 10 * time.Second
)

// controlLimit is the limit for all control traffic of an instance in bytes per second.
const controlLimit = 21_000

// layout holds, by region, the number of instances in each data centre.
type layout map[string][]int

func smallLayout() layout {
	return layout{"lima": {1, 1}, "arequipa": {1}, "cusco": {1}}
}

func mediumLayout() layout {
	return layout{"r1": {2, 2, 2}, "r2": {2, 2}, "r3": {1, 1}}
}

// largeLayout has 390 instances in 5 regions and 15 data centres, with region sizes that differ tenfold.
func largeLayout() layout {
	return layout{"r1": {50, 50, 50}, "r2": {36, 36, 36}, "r3": {24, 24, 24}, "r4": {15, 15, 15}, "r5": {5, 5, 5}}
}

// virtualFleet runs services with the default parameters in a synctest bubble.
type virtualFleet struct {
	t        *testing.T
	fabric   *peertest.Fabric
	list     *memory.InstanceList
	services map[string]*members.Service
	networks map[string]*peertest.Network
	order    []string
}

// latency returns 0.25 ms within a data centre, 1.5 ms within a region, and 80 ms between regions.
func latency(from, to peer.Identity) time.Duration {
	switch {
	case from.Region != to.Region:
		return 80 * time.Millisecond
	case from.DataCentre != to.DataCentre:
		return 1500 * time.Microsecond
	default:
		return 250 * time.Microsecond
	}
}

func startVirtualFleet(t *testing.T, l layout) *virtualFleet {
	f := &virtualFleet{
		t:        t,
		fabric:   peertest.NewFabric(t),
		list:     memory.NewInstanceList(memory.InstanceListOptions{Clock: virtualClock{}, Lag: 5 * time.Second}),
		services: map[string]*members.Service{},
		networks: map[string]*peertest.Network{},
	}
	f.fabric.SetLatency(latency)
	t.Cleanup(func() {
		for _, s := range f.services {
			s.Close()
		}
	})
	for region, sizes := range l {
		for i, size := range sizes {
			for k := range size {
				f.start(fmt.Sprintf("%s-%c-%d", region, 'a'+i, k), region, fmt.Sprintf("%s-%c", region, 'a'+i))
			}
		}
	}
	slices.Sort(f.order)
	for i := range len(f.order) * 600 / 390 {
		row := platform.ListedInstance{
			Name: fmt.Sprintf("runner-%d", i), Kind: platform.KindEndpoint, Region: "r1", DataCentre: "r1-a", State: platform.StateLive,
		}
		if err := f.list.Announce(t.Context(), row); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func (f *virtualFleet) start(name, region, dataCentre string) {
	n := incarnations.Add(1)
	network := f.fabric.Add(peer.Identity{Instance: name, Region: region, DataCentre: dataCentre, Incarnation: n << 40})
	s, err := members.New(members.Options{
		Network: network, List: f.list, Clock: virtualClock{},
		Self: membership.Row{
			Name: name, Region: region, DataCentre: dataCentre, Incarnation: n << 40,
			PeerAddr: "10.11.12.13:17443", CallerAddr: "10.11.12.13:18080", OperatorAddr: "10.11.12.13:18081",
		},
		Payload: func() members.Payload {
			return members.Payload{Load: fleetLoad()}
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s.Start()
	f.services[name], f.networks[name] = s, network
	f.order = append(f.order, name)
}

// all reports whether all other instances, except those for which except returns true, see the target in the given status.
func (f *virtualFleet) all(target string, want membership.Status, except func(string) bool) bool {
	for name, s := range f.services {
		if name == target || (except != nil && except(name)) {
			continue
		}
		m, found := s.Snapshot().Member(target)
		if !found && want != membership.Gone || found && m.Status != want {
			return false
		}
	}
	return true
}

// until waits for the condition and returns the virtual time that this took. It fails the test after limit.
func (f *virtualFleet) until(what string, limit time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *virtualFleet) settle() {
	f.t.Helper()
	took := f.until("all see all as live", 3*time.Minute, func() bool {
		for _, s := range f.services {
			snapshot := s.Snapshot()
			if len(snapshot.Members) != len(f.services) || snapshot.EntryCount != len(f.services) {
				return false
			}
		}
		return true
	})
	f.t.Logf("all %d instances know each other after %v", len(f.services), took.Round(time.Millisecond))
}

// stop ends an instance: its connections are refused.
func (f *virtualFleet) stop(name string) {
	f.fabric.Remove(name)
	f.services[name].Close()
	delete(f.services, name)
	delete(f.networks, name)
}

// suspicions returns the number of ordered pairs of instances of which the first considers the second suspect.
func (f *virtualFleet) suspicions(except func(string) bool) int {
	n := 0
	for _, s := range f.services {
		for _, m := range s.Snapshot().Members {
			if m.Status == membership.Suspect && (except == nil || !except(m.Name)) {
				n++
			}
		}
	}
	return n
}

// measureTraffic runs the fleet for a minute, logs the traffic of its instances in bytes per second, and checks it against
// controlLimit.
func (f *virtualFleet) measureTraffic() {
	const period = time.Minute
	before := map[string]peertest.Traffic{}
	for name, network := range f.networks {
		before[name] = network.Traffic()
	}
	polls := f.list.Counts().Calls[memory.KindInstances]
	time.Sleep(period)
	polls = f.list.Counts().Calls[memory.KindInstances] - polls
	f.t.Logf("reads of the list: %.2f/s in all", float64(polls)/period.Seconds())
	var sent, received, calls []float64
	for name, network := range f.networks {
		now, was := network.Traffic(), before[name]
		started := float64(now.CallsStarted - was.CallsStarted)
		served := float64(now.CallsServed - was.CallsServed)
		// Each prober or target counts as a session. Sessions shared by calls in both directions are counted twice.
		keepAlive := (started + served) / 60 * keepAliveBytes / keepAliveInterval.Seconds() * 3
		out := float64(now.BytesSent-was.BytesSent) + started*callerSendOverhead + served*callerRecvOverhead
		in := float64(now.BytesReceived-was.BytesReceived) + started*callerRecvOverhead + served*callerSendOverhead
		sent = append(sent, out/period.Seconds()+keepAlive)
		received = append(received, in/period.Seconds()+keepAlive)
		calls = append(calls, (started+served)/period.Seconds())
	}
	f.t.Logf("calls/s per instance: %s", describe(calls))
	f.t.Logf("bytes/s sent per instance: %s", describe(sent))
	f.t.Logf("bytes/s received per instance: %s", describe(received))
	if top := slices.Max(sent) + slices.Max(received); top > controlLimit {
		f.t.Errorf("an instance has %.0f bytes/s of membership traffic alone, the limit of all control traffic is %d", top, controlLimit)
	}
}

func describe(values []float64) string {
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return fmt.Sprintf("mean %.1f, median %.1f, max %.1f", sum/float64(len(values)), values[len(values)/2], values[len(values)-1])
}

// Checks the time until all instances know of a failure, that a one-way cut causes no false suspicions, and the control
// traffic, at 4, 12 and, if largeFleetVariable is set, 390 instances.
func TestFleet(t *testing.T) {
	fleets := map[string]layout{"4": smallLayout(), "12": mediumLayout()}
	if os.Getenv(largeFleetVariable) != "" {
		fleets["390"] = largeLayout()
	}
	for name, l := range fleets {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exercise(t, startVirtualFleet(t, l)) })
		})
	}
}

func exercise(t *testing.T, f *virtualFleet) {
	const detectionLimit = 6 * time.Second
	f.settle()
	time.Sleep(20 * time.Second)
	if n := f.suspicions(nil); n != 0 {
		t.Errorf("%d suspicions without a fault", n)
	}
	f.measureTraffic()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	t.Logf("heap per instance: %d KiB, in-memory network included", mem.HeapAlloc/1024/uint64(len(f.services)))

	stopped := f.order[0]
	f.stop(stopped)
	took := f.until("refused instance is suspect everywhere", detectionLimit, func() bool { return f.all(stopped, membership.Suspect, nil) })
	t.Logf("crash, connections refused: suspect everywhere after %v", took)

	unresponsive := f.order[len(f.order)/2]
	for _, other := range f.order {
		f.fabric.Cut(unresponsive, other)
	}
	first := f.until("unresponsive instance is suspect somewhere", detectionLimit, func() bool {
		for name, s := range f.services {
			if m, _ := s.Snapshot().Member(unresponsive); name != unresponsive && m.Status == membership.Suspect {
				return true
			}
		}
		return false
	})
	took = f.until("unresponsive instance is suspect everywhere", detectionLimit, func() bool { return f.all(unresponsive, membership.Suspect, nil) })
	t.Logf("unresponsive instance: suspect first after %v, everywhere after %v", first, first+took)
	for _, other := range f.order {
		f.fabric.Heal(unresponsive, other)
	}
	took = f.until("suspicion is refuted", detectionLimit, func() bool { return f.all(unresponsive, membership.Live, nil) })
	t.Logf("healed: live everywhere after %v", took)
	time.Sleep(20 * time.Second)

	cutFrom, cutTo := f.order[1], f.order[2]
	f.fabric.CutOneWay(cutFrom, cutTo)
	worst := 0
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		worst = max(worst, f.suspicions(func(name string) bool { return name == stopped }))
	}
	t.Logf("one-way cut %s to %s for 30 s: at most %d false suspicions", cutFrom, cutTo, worst)
	if worst > 0 {
		t.Error("a one-way cut between two instances led to a suspicion")
	}
	f.fabric.Heal(cutFrom, cutTo)

	f.cutRegions(t, stopped)
	f.cutDataCentre(t)
	f.isolateRegion(t)
}

// cutRegions cuts the connections from one region to another, in one direction. Only instances of these two regions may
// suspect each other.
func (f *virtualFleet) cutRegions(t *testing.T, refused string) {
	regionOf := func(name string) string { return name[:strings.Index(name, "-")] }
	from, to := regionOf(f.order[1]), regionOf(f.order[len(f.order)-1])
	for _, a := range f.order {
		for _, b := range f.order {
			if regionOf(a) == from && regionOf(b) == to {
				f.fabric.CutOneWay(a, b)
			}
		}
	}
	elsewhere, between := 0, 0
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		outside, inside := 0, 0
		for at, s := range f.services {
			for _, m := range s.Snapshot().Members {
				if m.Status != membership.Suspect || m.Name == refused {
					continue
				}
				if (regionOf(at) == from && m.Region == to) || (regionOf(at) == to && m.Region == from) {
					inside++
				} else {
					outside++
				}
			}
		}
		elsewhere, between = max(elsewhere, outside), max(between, inside)
	}
	t.Logf("one-way cut of region %s to %s for 30 s: at most %d suspicions between them, %d elsewhere", from, to, between, elsewhere)
	if elsewhere > 0 {
		t.Error("instances outside of the cut regions are suspected, or suspect")
	}
	for _, a := range f.order {
		for _, b := range f.order {
			f.fabric.Heal(a, b)
		}
	}
	took := f.until("all suspicions are refuted", 20*time.Second, func() bool {
		return f.suspicions(func(name string) bool { return name == refused }) == 0
	})
	t.Logf("healed: no suspicion after %v", took)
}

// cutDataCentre isolates the data centre of the last instance from all others, as a failed switch would.
func (f *virtualFleet) cutDataCentre(t *testing.T) {
	dataCentreOf := func(name string) string { return name[:strings.LastIndex(name, "-")] }
	lost := dataCentreOf(f.order[len(f.order)-1])
	f.isolate(t, "data centre "+lost, func(name string) bool { return dataCentreOf(name) == lost }, false)
}

// isolateRegion isolates a region from all others. Its instances must detect that as well, or they forward requests to
// regions that they cannot reach.
func (f *virtualFleet) isolateRegion(t *testing.T) {
	regionOf := func(name string) string { return name[:strings.Index(name, "-")] }
	lost := regionOf(f.order[len(f.order)-1])
	f.isolate(t, "region "+lost, func(name string) bool { return regionOf(name) == lost }, true)
}

// isolate isolates some instances from all others and heals the cut. With bothWays, the isolated instances must also stop
// using the others.
func (f *virtualFleet) isolate(t *testing.T, what string, inside func(string) bool, bothWays bool) {
	const limit = 20 * time.Second
	time.Sleep(limit) // wait until the previous fault has no effect any more
	each := func(change func(a, b string)) {
		for a := range f.services {
			for b := range f.services {
				if inside(a) && !inside(b) {
					change(a, b)
				}
			}
		}
	}
	outside := func(name string) bool { return !inside(name) }
	whole := func(of, except func(string) bool, want bool) func() bool {
		return func() bool {
			for at, s := range f.services {
				for _, m := range s.Snapshot().Members {
					if runs := f.services[m.Name] != nil; runs && of(m.Name) && !except(at) && m.Usable() != want {
						return false
					}
				}
			}
			return true
		}
	}
	each(f.fabric.Cut)
	took := f.until(what+" is not used anywhere else", limit, whole(inside, inside, false))
	t.Logf("%s lost: not used anywhere else after %v", what, took)
	if bothWays {
		took += f.until("no other is used in "+what, limit, whole(outside, outside, false))
		t.Logf("no other is used in %s after %v", what, took)
	}
	each(f.fabric.Heal)
	took = f.until(what+" is live everywhere else", limit, whole(inside, inside, true))
	took += f.until("all others are live in "+what, limit, whole(outside, outside, true))
	t.Logf("%s is back: all are live after %v", what, took)
}

// fleetLoad returns the load of six models and two plain services, as the heartbeats of a large fleet carry it.
func fleetLoad() *wire.LoadSummary {
	summary := &wire.LoadSummary{}
	for i := range 8 {
		summary.Pools = append(summary.Pools, &wire.PoolLoad{Name: fmt.Sprintf("model-or-service-%d", i), Service: i >= 6, WaitMillis: 4321, Free: 321})
	}
	return summary
}
