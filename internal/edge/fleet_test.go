package edge

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
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
	return f.heardFrom(peer.Identity{Instance: name, Incarnation: 1}, &wire.EdgeState{Ready: true}, nil)
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
