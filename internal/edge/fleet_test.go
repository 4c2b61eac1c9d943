package edge

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// testFleet is the fleet as an instance in the south sees it.
type testFleet struct {
	*fleet
	clk *clock.Manual
	t   *testing.T
}

func newTestFleet(t *testing.T) *testFleet {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	f := newFleet(&Options{Self: peer.Identity{Instance: "self", Region: "south"}, Clock: clk, Log: zap.NewNop()})
	f.changed = func() {}
	return &testFleet{fleet: f, clk: clk, t: t}
}

func (f *testFleet) list(name, region string) {
	f.t.Helper()
	value, err := json.Marshal(announcement{Incarnation: 1, Region: region, CallerAddr: name, PeerAddr: "p"})
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(mirror.Update{Changes: []platform.Change{{Entry: platform.Entry{Key: InstancePrefix + name, Value: value}}}})
}

func (f *testFleet) lapseOf(name string) {
	f.apply(mirror.Update{Changes: []platform.Change{{Entry: platform.Entry{Key: InstancePrefix + name}, Deleted: true}}})
}

func (f *testFleet) hear(name string) bool {
	now := f.clk.Now()
	f.heard(map[string]fleetview.ReceivedStatus{name: {Status: fleetview.Status{Incarnation: 1, Ready: true}, ReceivedAt: now}})
	m := f.members[name]
	return m != nil && m.heard == now
}

// Guards against requests that are refused for a second after a restart of the whole fleet, because no other region has been heard
// yet (found in an incident of veletas: 129 refusals in the first 1.5 s).
func TestListedRegionsTakeRequestsBeforeTheyAreHeard(t *testing.T) {
	f := newTestFleet(t)
	all := func(string) bool { return true }
	f.list("n", "north")
	if got := f.regions("s", all, all); len(got) != 1 || got[0].Instance != "n" {
		t.Errorf("right after the listing: %+v", got)
	}
	if got := f.regions("s", all, func(string) bool { return false }); len(got) != 0 {
		t.Errorf("a region without endpoints of the service is offered: %+v", got)
	}
	f.clk.Advance(introduction + time.Millisecond)
	if got := f.regions("s", all, all); len(got) != 0 {
		t.Errorf("after %s of silence: %+v", introduction, got)
	}
}

// Guards against an instance that only lost its way to the store being taken for dead, and against a dead one that stays.
func TestMembersEndWhenTheyAreNeitherListedNorHeard(t *testing.T) {
	f := newTestFleet(t)
	f.list("n", "north")
	f.hear("n")
	f.lapseOf("n")
	f.sweep()
	if f.size() != 2 {
		t.Error("an instance that is heard has gone with its lease")
	}
	f.clk.Advance(heardFor + time.Millisecond)
	f.sweep()
	if f.size() != 1 {
		t.Error("an instance without lease and word stays")
	}
	if f.hear("n") {
		t.Error("a message of an incarnation that is not known counts")
	}
}

// Guards against a crowd of instances that each send a first request to a cold endpoint.
func TestFewInstancesShareAColdEndpoint(t *testing.T) {
	const rate = 3.5
	sum, sharers := 0.0, 0
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, self := range names {
		f := newTestFleet(t)
		f.options.Self.Instance = self
		for _, other := range names {
			if other != self {
				f.list(other, "south")
			}
		}
		pace := f.coldPace("endpoint", rate)
		sum += pace
		if pace > 0 {
			sharers++
		}
	}
	if sharers != coldSharers || sum > rate {
		t.Errorf("%d instances share %.1f requests/s, want %d and %.1f", sharers, sum, coldSharers, rate)
	}
}

// Guards against instances that report to each other in a circle, and against a region without a root or with two of them: all that
// see the same members choose the same root, and nobody reports to one that ranks below.
func TestRegionHasOneRoot(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	roots := 0
	above := map[string]string{}
	for _, self := range names {
		f := newTestFleet(t)
		f.options.Self.Instance = self
		for _, other := range names {
			if other != self {
				f.list(other, "south")
			}
		}
		f.list("n", "north")
		if name, ok := f.above(); ok {
			above[self] = name
			f.avoidAbove(name)
			if next, ok := f.above(); ok && next == name {
				t.Errorf("%s reports again to %s, which has just failed", self, name)
			}
		} else {
			roots++
		}
	}
	chosen := map[string]bool{}
	for _, name := range above {
		chosen[name] = true
	}
	if roots != 1 || len(chosen) != 1 {
		t.Errorf("%d roots, instances report to %v", roots, above)
	}
}

// Guards against a root with a thin link while there are instances with more bandwidth, and against one that is about to stop.
func TestInstancesWithBandwidthComeFirst(t *testing.T) {
	f := newTestFleet(t)
	f.options.LinkMbps = 25
	for _, name := range []string{"x", "y", "z"} {
		f.list(name, "south")
		f.members[name].LinkMbps = 25
	}
	f.members["y"].LinkMbps = 200
	if name, ok := f.above(); !ok || name != "y" {
		t.Errorf("reports go to %q", name)
	}
	f.members["y"].leaving = true
	if name, _ := f.above(); name == "y" {
		t.Error("reports go to an instance that is leaving")
	}
}

// Guards against requests to another region that each wait for a handshake of five wide-area round trips, because they go to any of its
// hundred instances.
func TestFewPartnersInARegion(t *testing.T) {
	f := newTestFleet(t)
	all := func(string) bool { return true }
	for i := range 40 {
		f.list(fmt.Sprint("n", i), "north")
		f.hear(fmt.Sprint("n", i))
	}
	now := f.clk.Now()
	f.heardServices(map[string][]*wire.EdgeServiceLoad{"north": {{Name: "s", Usable: 3, WaitMillis: 20}}}, func(string) clock.Instant { return now })
	seen := map[string]int{}
	for range 300 {
		for _, r := range f.regions("s", all, all) {
			seen[r.Instance]++
		}
	}
	if len(seen) != partners {
		t.Errorf("requests go to %d instances of the region, want %d", len(seen), partners)
	}
	for name := range seen {
		f.unreachable(name)
		for range 50 {
			for _, r := range f.regions("s", all, all) {
				if r.Instance == name {
					t.Fatalf("%s was not reached a moment ago and is chosen again", name)
				}
			}
		}
		break
	}
}
