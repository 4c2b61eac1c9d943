package fleetview

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/core/crashguard"
)

// Guards against an instance that never learns of a crash or of a part's sign of life, which another one has seen: after a change of the
// root, after a pause, in another region, or because it started later; and against crashes that are sent again and again.
func TestCrashesReachAllInstances(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		north, south := newRegion(t, "n", 2+rng.IntN(4)), newRegion(t, "s", 2+rng.IntN(4))
		regions := []*region{north, south}
		for range 12 {
			for _, r := range regions {
				r.allReportTo(r.instances[rng.IntN(len(r.instances))])
				r.steps(1 + rng.IntN(3))
				i := r.instances[rng.IntN(len(r.instances))]
				e := catalog.Incarnation{ID: fmt.Sprint("e", rng.IntN(6)), StartedAtMillis: 1}
				i.crashes.Record(r.now, e, r.now, interval, []uint64{1 + rng.Uint64N(4)})
				if rng.IntN(3) == 0 {
					i.crashes.RecordLife(r.now, []uint64{1 + rng.Uint64N(4)})
				}
				i.paused = rng.IntN(4) == 0
			}
		}
		for _, r := range regions {
			for _, i := range r.instances {
				i.paused = false
			}
			r.allReportTo(r.instances[0])
			r.steps(4)
		}
		sendSummaries := exchange(t, max(north.now, south.now), north.instances[0], south.instances[0])
		for range 4 {
			sendSummaries(max(north.now, south.now))
			north.steps(2)
			south.steps(2)
		}
		root := north.instances[0]
		want := standings(root)
		for _, r := range regions {
			for _, i := range r.instances {
				if got := standings(i); !maps.Equal(got, want) {
					t.Errorf("seed %d: %s has %v, the root %v", seed, i.id.Instance, got, want)
				}
			}
		}
		if changed := root.sentToChildren.crashChanges(north.now, root.crashes); len(changed) != 0 {
			t.Errorf("seed %d: %d crashes are sent again although nothing has changed", seed, len(changed))
		}
	}
}

// standings returns the parts that each crash counts against.
func standings(i *instance) map[string]bool {
	out := make(map[string]bool)
	for _, c := range i.crashes.Crashes(0) {
		for part, s := range c.Parts {
			out[fmt.Sprint(c.Endpoint.ID, " ", part)] = s.Cleared
		}
	}
	return out
}

// Guards against a message by which one instance makes another keep crashes without end.
func TestCrashesOfAMessageAreBounded(t *testing.T) {
	r := newRegion(t, "r", 2)
	r.allReportTo(r.instances[0])
	r.steps(3)
	child := r.instances[1]
	report := child.NextReport(r.now)
	crash := crashguard.NewRegister()
	crash.Record(r.now, catalog.Incarnation{ID: "e"}, r.now, 0, []uint64{1})
	for range crashguard.MaxCrashes + 1 {
		report.Crashes = append(report.Crashes, newSentState().crashChanges(r.now, crash)...)
	}
	if err := r.instances[0].ReceiveReport(r.now, child.source, report); err != ErrTooLarge {
		t.Errorf("%d crashes: %v", len(report.Crashes), err)
	}
}
