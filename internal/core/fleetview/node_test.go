package fleetview

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const interval = 50 * time.Millisecond

// instance is a node with its streams, which deliver at once.
type instance struct {
	*Node
	id     peer.Identity
	above  *instance
	source *Source // at above
	paused bool    // takes and sends nothing
	apart  bool    // is cut off from all others, and goes on
	work   map[string]placement.PeerWork
	uses   map[string]float64
	events []string // keys of the prompt parts that it was told
	next   Events

	digests, digestBytes, changes int
}

type region struct {
	t         *testing.T
	now       clock.Instant
	instances []*instance
}

func newRegion(t *testing.T, name string, n int) *region {
	r := &region{t: t, now: clock.Instant(time.Hour)}
	for i := range n {
		id := peer.Identity{Instance: fmt.Sprint(name, i), Region: name, Incarnation: 1}
		r.instances = append(r.instances, &instance{Node: New(id), id: id, work: map[string]placement.PeerWork{}, uses: map[string]float64{}})
	}
	return r
}

func (r *region) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// report lets an instance report to another one from now on, or to none.
func (r *region) report(i, to *instance) {
	r.t.Helper()
	if i.above != nil {
		i.above.StreamEnded(i.source)
		i.ClearParent(r.now)
	}
	if i.above = to; to != nil {
		r.must(i.SetParent(r.now, to.id.Instance))
		var err error
		i.source, err = to.AddChild(i.id)
		r.must(err)
	}
}

func (r *region) allReportTo(root *instance) {
	r.t.Helper()
	r.report(root, nil)
	for _, i := range r.instances {
		if i != root {
			r.report(i, root)
		}
	}
}

// step lets an interval pass.
func (r *region) step() {
	r.t.Helper()
	r.now = r.now.Add(interval)
	for _, i := range r.instances {
		if i.paused {
			continue
		}
		i.SetOwnState(r.now, OwnState{
			Status: Status{Incarnation: 1, Ready: true}, Load: maps.Clone(i.work), Usage: maps.Clone(i.uses), Events: i.next.take(),
		})
		r.must(i.Tick(r.now))
	}
	for _, i := range r.instances {
		if i.above == nil || i.paused || i.above.paused {
			continue
		}
		if d := i.above.DigestFor(i.source); d != nil {
			var s wire.EdgeFleetState
			r.must(proto.Unmarshal(d.GetState(), &s))
			i.digests++
			i.digestBytes += proto.Size(d)
			if !s.GetComplete() {
				i.changes += len(s.GetEndpoints())
			}
			events, err := i.ReceiveDigest(r.now, d)
			r.must(err)
			for _, p := range events.PromptParts {
				i.events = append(i.events, fmt.Sprint(p.GetKeys()))
			}
		}
	}
	for _, i := range r.instances {
		if i.above != nil && !i.paused && !i.above.paused {
			r.must(i.above.ReceiveReport(r.now, i.source, i.NextReport(r.now)))
		}
	}
}

func (r *region) steps(n int) {
	r.t.Helper()
	for range n {
		r.step()
	}
}

func totalWork(instances []*instance, without *instance) map[string]placement.PeerWork {
	out := map[string]placement.PeerWork{}
	for _, i := range instances {
		for e, w := range i.work {
			if i != without {
				out[e] = out[e].Plus(w)
			}
		}
	}
	maps.DeleteFunc(out, func(_ string, w placement.PeerWork) bool { return w == placement.PeerWork{} })
	return out
}

func knownWork(i *instance, now clock.Instant) map[string]placement.PeerWork {
	out := i.PeerLoad(now)
	maps.DeleteFunc(out, func(_ string, w placement.PeerWork) bool { return w == placement.PeerWork{} })
	return out
}

func (r *region) usedByOthers(without *instance) float64 {
	sum := 0.0
	for _, i := range r.instances {
		if i != without {
			sum += i.uses["o"]
		}
	}
	return sum
}

func knownUse(i *instance) float64 { return i.others.values["o"] }

// Guards against work or use that other instances keep on counting, count twice or never hear of, because messages hold only what has
// changed, in a region of one, two or three levels.
func TestViewsAddUp(t *testing.T) {
	for _, levels := range []int{2, 3} {
		r := newRegion(t, "r", 7)
		root := r.instances[0]
		r.allReportTo(root)
		if levels == 3 {
			r.report(r.instances[5], r.instances[1])
			r.report(r.instances[6], r.instances[1])
		}
		rng := rand.New(rand.NewPCG(1, 7))
		r.steps(2 * levels)
		for n := range 300 {
			i := r.instances[rng.IntN(len(r.instances))]
			e := fmt.Sprint("e", rng.IntN(20))
			if rng.IntN(3) == 0 {
				delete(i.work, e)
			} else {
				i.work[e] = placement.PeerWork{Running: rng.IntN(4), Unread: float64(rng.IntN(9000)), Memory: float64(rng.IntN(50_000))}
			}
			i.uses["o"] += float64(rng.IntN(500))
			r.step()
			if n%20 != 0 {
				continue
			}
			r.steps(2 * levels)
			for _, i := range r.instances {
				if got, want := knownWork(i, r.now), totalWork(r.instances, i); !maps.Equal(got, want) {
					t.Fatalf("%d levels, step %d: %s knows the work %v, it is %v", levels, n, i.id.Instance, got, want)
				}
				if got, want := knownUse(i), r.usedByOthers(i); math.Abs(got-want) > 1e-3 {
					t.Fatalf("%d levels, step %d: %s knows a use of %v, it is %v", levels, n, i.id.Instance, got, want)
				}
				if got := len(i.Statuses(r.now)); got != len(r.instances) {
					t.Fatalf("%d levels, step %d: %s knows %d instances", levels, n, i.id.Instance, got)
				}
			}
		}
		for _, i := range r.instances[1:] {
			if i.changes > 300 {
				t.Errorf("%d levels: %s was told of %d endpoints in 300 steps with one change each at most", levels, i.id.Instance, i.changes)
			}
		}
	}
}

// Guards against use that counts twice, or is lost, when instances report to others in quick succession: a successor of the root must
// neither count again what it has counted already nor miss what was on its way.
func TestUseCountsOnceWhateverWayItTakes(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 7))
	r := newRegion(t, "r", 6)
	r.allReportTo(r.instances[0])
	r.steps(10)
	lost := 0.0
	for n := range 400 {
		if n%15 == 0 {
			// The stream is replaced at once: what was not acknowledged goes to the next root.
			r.allReportTo(r.instances[rng.IntN(2)])
			lost += float64(len(r.instances)) * 100 * 4 // two intervals each way, in which a new stream has told nothing
		}
		for _, i := range r.instances {
			i.uses["o"] += float64(rng.IntN(100))
		}
		r.step()
		for _, i := range r.instances {
			if got, most := knownUse(i), r.usedByOthers(i); got > most+1e-3 {
				t.Fatalf("step %d: %s counts a use of %v, it is %v", n, i.id.Instance, got, most)
			}
		}
	}
	r.steps(6)
	for _, i := range r.instances {
		if got, want := knownUse(i), r.usedByOthers(i); got < want-lost {
			t.Errorf("%s counts a use of %v of %v, at most %v may be missed", i.id.Instance, got, want, lost)
		}
	}
}

// Guards against harm by a root that was paused, which takes itself for the root when it wakes while another one has taken its place:
// work and use must not count twice, and the region must be one again.
func TestPausedRootDoesNoHarm(t *testing.T) {
	r := newRegion(t, "r", 6)
	old, next := r.instances[0], r.instances[1]
	r.allReportTo(old)
	busy := func(n int) {
		for range n {
			for k, i := range r.instances {
				if !i.paused {
					i.work["e"] = placement.PeerWork{Running: k + 1, Unread: 100}
					i.uses["o"] += 10
				}
			}
			r.step()
		}
	}
	busy(40)
	old.paused = true
	busy(8)
	r.report(next, nil)
	for _, i := range r.instances[2:] {
		r.report(i, next)
	}
	busy(80)
	if got, want := knownWork(next, r.now)["e"].Running, 2+3+4+5+6-2; got != want {
		t.Errorf("with the root paused, its successor knows %d running requests of the others, want %d", got, want)
	}
	old.paused = false
	busy(4)
	r.report(next, old) // as it ranks above
	busy(10)
	for _, i := range r.instances {
		if got, want := knownWork(i, r.now), totalWork(r.instances, i); !maps.Equal(got, want) {
			t.Errorf("%s knows the work %v, it is %v", i.id.Instance, got, want)
		}
		if got, most := knownUse(i), r.usedByOthers(i); got > most+1e-3 {
			t.Errorf("%s counts a use of %v, it is %v", i.id.Instance, got, most)
		}
	}
}

// Guards against work of another instance that counts for ever after it has gone silent, or after a message has left it out.
func TestWorkOfSilentInstancesIsForgotten(t *testing.T) {
	r := newRegion(t, "r", 3)
	r.allReportTo(r.instances[0])
	a, b := r.instances[1], r.instances[2]
	a.work["e"], b.work["e"] = placement.PeerWork{Running: 3, Unread: 10}, placement.PeerWork{Running: 1}
	r.steps(4)
	root := r.instances[0]
	if got := knownWork(root, r.now)["e"].Running; got != 4 {
		t.Fatalf("%d requests are known, want 3 and 1", got)
	}
	b.paused = true
	r.steps(int(placement.PeerWorkAge/interval) + 2)
	if got := knownWork(root, r.now)["e"].Running; got != 3 {
		t.Errorf("after one has been silent %d requests are known, want 3", got)
	}
	if got := knownWork(a, r.now)["e"].Running; got != 0 {
		t.Errorf("the other one still counts %d requests of the silent one", got)
	}
	if _, known := root.Statuses(r.now)[b.id.Instance]; known {
		t.Error("the silent one still counts as heard")
	}
	delete(a.work, "e")
	r.steps(2)
	if got := knownWork(root, r.now); len(got) != 0 {
		t.Errorf("work that has ended is known as %v", got)
	}
}

// Guards against a part of a rate that nobody keeps for an instance which was cut off and goes on admitting requests, and against one
// that is kept for an instance which only reports to another root.
func TestSilentInstancesAreNamed(t *testing.T) {
	r := newRegion(t, "r", 4)
	r.allReportTo(r.instances[0])
	cut := r.instances[3]
	for range 400 { // five times the window of the averages
		for _, i := range r.instances {
			i.uses["o"] += 10
		}
		r.step()
	}
	cut.paused = true
	r.steps(int(fleetquota.SilentAfter/interval) + 4)
	for _, i := range r.instances[:3] {
		silent := i.Unresponsive(r.now)
		if len(silent) != 1 || silent[0].GetName() != cut.id.Instance || !silent[0].GetKnown() {
			t.Fatalf("%s knows as silent %v", i.id.Instance, silent)
		}
		perSecond := 10 / interval.Seconds()
		if got := silent[0].GetUses()[0].GetUsed(); got < 0.8*perSecond || got > 1.1*perSecond {
			t.Errorf("%s takes it to use %.0f/s, it used %.0f/s", i.id.Instance, got, perSecond)
		}
	}
	cut.paused = false
	r.steps(4)
	for _, i := range r.instances {
		if silent := i.Unresponsive(r.now); len(silent) != 0 {
			t.Errorf("%s still knows as silent %v", i.id.Instance, silent)
		}
	}
	r.report(cut, r.instances[1])
	r.steps(int(fleetquota.SilentAfter/interval) + 4)
	if silent := r.instances[0].Unresponsive(r.now); len(silent) != 0 {
		t.Errorf("an instance that reports elsewhere counts as silent: %v", silent)
	}
	cut.paused = true
	for _, i := range r.instances[:2] {
		i.DropNonMembers(func(name string, _ uint64) bool { return name != cut.id.Instance }, func(name string) bool { return name != cut.id.Instance })
	}
	r.steps(30)
	if silent := r.instances[2].Unresponsive(r.now); len(silent) != 0 {
		t.Errorf("a part is kept for an instance that has ended: %v", silent)
	}
}

// Guards against instances that report to each other, by which totals would grow without end.
func TestCirclesAreRefused(t *testing.T) {
	r := newRegion(t, "r", 3)
	a, b, c := r.instances[0], r.instances[1], r.instances[2]
	r.report(b, a)
	r.steps(3)
	if err := a.SetParent(r.now, b.id.Instance); !errors.Is(err, ErrCycle) {
		t.Errorf("an instance reports to one that reports to it: %v", err)
	}
	r.report(c, b)
	r.steps(3)
	if _, err := c.AddChild(a.id); !errors.Is(err, ErrCycle) {
		t.Errorf("the root joins an instance two levels below: %v", err)
	}
}

// Guards against prompt parts that are not told to all others, told twice, or taken from the instance itself.
func TestEventsReachAllOnce(t *testing.T) {
	r := newRegion(t, "r", 4)
	r.allReportTo(r.instances[0])
	r.report(r.instances[3], r.instances[1])
	r.steps(4)
	for k, i := range r.instances {
		i.next = Events{PromptParts: []*wire.EdgeEndpointParts{{Id: "e", Keys: []uint64{uint64(k)}, Tokens: []uint32{5}, Origin: OriginHash(i.id.Instance)}}}
	}
	r.steps(6)
	for _, i := range r.instances[1:] {
		counts := map[string]int{}
		for _, key := range i.events {
			counts[key]++
		}
		for k := range r.instances {
			if got := counts[fmt.Sprint([]uint64{uint64(k)})]; got != 1 {
				t.Errorf("%s was told %d times of the parts of %d", i.id.Instance, got, k)
			}
		}
	}
}

// exchange lets the roots of two regions tell each other their summaries.
func exchange(t *testing.T, now clock.Instant, a, b *instance) func(now clock.Instant) {
	toB, fromA := a.OpenSummaries(now, b.id.Region), b.AddRemoteRoot(a.id)
	toA, fromB := b.OpenSummaries(now, a.id.Region), a.AddRemoteRoot(b.id)
	return func(now clock.Instant) {
		t.Helper()
		if err := b.ReceiveSummary(now, fromA, a.NextSummary(now, toB)); err != nil {
			t.Fatal(err)
		}
		if err := a.ReceiveSummary(now, fromB, b.NextSummary(now, toA)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against use, instances or load of another region that an instance does not hear of through its root, or counts twice.
func TestRegionsHearOfEachOther(t *testing.T) {
	north, south := newRegion(t, "n", 3), newRegion(t, "s", 4)
	for _, r := range []*region{north, south} {
		r.allReportTo(r.instances[0])
		r.steps(4)
	}
	tell := exchange(t, north.now, north.instances[0], south.instances[0])
	tell(north.now)
	for range 60 {
		for _, r := range []*region{north, south} {
			for _, i := range r.instances {
				i.uses["o"] += 7
			}
			r.step()
		}
		tell(north.now)
	}
	for _, r := range []*region{north, south} {
		r.steps(3)
	}
	tell(north.now)
	for _, r := range []*region{north, south} {
		r.steps(3)
	}
	for _, r := range []struct{ here, there *region }{{north, south}, {south, north}} {
		want := r.there.usedByOthers(nil)
		for _, i := range r.here.instances {
			name := r.there.instances[0].id.Region
			if got := i.regions[name].local.values["o"]; math.Abs(got-want) > 1e-3 {
				t.Errorf("%s counts a use of %v of region %s, it is %v", i.id.Instance, got, name, want)
			}
			if got := len(i.Statuses(r.here.now)); got != 7 {
				t.Errorf("%s knows %d instances, want 7", i.id.Instance, got)
			}
		}
	}
	// A cut between the regions: both are heard no more, and their own instances still are.
	later := north.now.Add(2 * MaxStatusAge)
	for north.now < later {
		north.step()
	}
	leaf := north.instances[2]
	if got := len(leaf.Statuses(north.now)); got != 3 {
		t.Errorf("after a cut %d instances count as heard, want the 3 of the region", got)
	}
	if age := north.now.Sub(leaf.PeerUsage()["s"].ReceivedAt); age < 2*MaxStatusAge-interval {
		t.Errorf("the other region counts as heard %s ago", age)
	}
}

// Guards against messages that grow with the number of instances: at rest a digest holds next to nothing, and under load it holds the
// region's endpoints and not the work of each instance at each of them.
func TestMessagesDoNotGrowWithTheRegion(t *testing.T) {
	size := func(n int) (atRest, busy int) {
		r := newRegion(t, "r", n)
		r.allReportTo(r.instances[0])
		rng := rand.New(rand.NewPCG(3, 7))
		r.steps(10)
		leaf := r.instances[n-1]
		measure := func(steps int, do func()) int {
			before, digests := leaf.digestBytes, leaf.digests
			for range steps {
				do()
				r.step()
			}
			return (leaf.digestBytes - before) / (leaf.digests - digests)
		}
		atRest = measure(20, func() {})
		busy = measure(20, func() {
			for _, i := range r.instances {
				i.work[fmt.Sprint("engine-", rng.IntN(70))] = placement.PeerWork{Running: rng.IntN(9), Unread: float64(rng.IntN(9000)), Memory: float64(rng.IntN(50_000))}
			}
		})
		return atRest, busy
	}
	for _, n := range []int{30, 130} {
		atRest, busy := size(n)
		if atRest > 64 || busy > 70*32 {
			t.Errorf("%d instances: a digest has %d bytes at rest and %d under load, want 64 and %d", n, atRest, busy, 70*32)
		}
	}
}

// Guards against a process that ends at a message of another version or of a broken instance, or keeps what it names without bound.
func FuzzMessages(f *testing.F) {
	state, err := proto.Marshal(&wire.EdgeFleetState{Complete: true, Instances: []*wire.EdgeStanding{{Name: "x", Incarnation: 2}},
		Regions:   []*wire.EdgeRegionState{{Region: "r", Uses: []*wire.EdgeOrganisationUse{{Name: "o", Used: 5}}}, {Region: "q", AgeMillis: 1 << 31}},
		Endpoints: []*wire.EdgeEndpointWork{{Id: "e", Running: 1 << 31}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(state, []byte{})
	f.Fuzz(func(t *testing.T, state, report []byte) {
		now := clock.Instant(time.Hour)
		n := New(peer.Identity{Instance: "self", Region: "r", Incarnation: 1})
		n.SetOwnState(now, OwnState{})
		if err := n.SetParent(now, "above"); err != nil {
			t.Fatal(err)
		}
		n.NextReport(now)
		_, _ = n.ReceiveDigest(now, &wire.EdgeDigest{Acknowledged: 1, State: state}) // errors are expected
		s, err := n.AddChild(peer.Identity{Instance: "below", Region: "r", Incarnation: 1})
		if err != nil {
			return
		}
		var r wire.EdgeReport
		if proto.Unmarshal(report, &r) == nil {
			_ = n.ReceiveReport(now, s, &r)
		}
		if err := n.Tick(now.Add(interval)); err != nil && !errors.Is(err, proto.Error) {
			t.Fatal(err)
		}
		n.DigestFor(s)
		n.Statuses(now)
		n.PeerLoad(now)
		n.Unresponsive(now)
		n.PeerUsage()
	})
}
