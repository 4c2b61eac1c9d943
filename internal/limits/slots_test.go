package limits

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// An instance that joins later gets its part of the slots with their tokens, and no rate is used twice on the way.
func TestSlotsAreSharedWithLaterInstances(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 4}}, acme(4000, 40000)))
	f.start("lima-1")
	f.run(30)
	if n := len(f.services["lima-1"].Owned()); n != 4 {
		t.Fatalf("a single instance owns %d of 4 slots", n)
	}
	f.start("lima-2")
	for range 10 {
		f.run(1)
		f.check("acme", 4000, 40000)
	}
	one, two := len(f.services["lima-1"].Owned()), len(f.services["lima-2"].Owned())
	if one != 2 || two != 2 {
		t.Fatalf("instances own %d and %d of 4 slots", one, two)
	}
	if rate, _, level := f.totals("acme"); !near(rate, 4000) || level < 39999 {
		t.Fatalf("rate %v level %v after slots were passed on", rate, level)
	}
}

// Guards against a slot that nobody uses for a quiet time because its owner rewrites the record, with the version of the list
// that has it, and passes the slot on in the same refresh.
func TestSlotPassedOnAfterItsRecordWasRewritten(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 4}}, acme(4000, 40000)))
	f.start("lima-1")
	f.list.remove(f.ids["lima-1"].Incarnation)
	f.run(30)
	f.start("lima-2")
	f.run(1) // lima-1 has not seen lima-2 yet
	f.list.add(f.ids["lima-1"])
	for range 3 {
		f.run(1)
		if rate, _, _ := f.totals("acme"); !near(rate, 4000) {
			t.Fatalf("rate %v after slots were passed on", rate)
		}
	}
	if n := len(f.services["lima-2"].Owned()); n != 2 {
		t.Fatalf("the later instance owns %d of 4 slots", n)
	}
}

// A store that comes back with older data makes nobody use a slot that another instance still uses.
func TestStoreWithOlderData(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 3}}, acme(3000, 30000)))
	empty := f.store.Snapshot()
	f.start("lima-1", "lima-2")
	f.run(15)
	early := f.store.Snapshot()
	if err := f.stop("lima-1"); err != nil {
		t.Fatal(err)
	}
	f.run(15)
	f.afterEach = func() { f.check("acme", 3000, 30000) }
	for _, snapshot := range []memory.Snapshot{early, empty} {
		f.store.Restore(snapshot)
		f.start(fmt.Sprintf("lima-%d", 10+f.next)) // has no memory of the former records
		f.run(40)
		if rate, _, _ := f.totals("acme"); !near(rate, 3000) {
			t.Fatalf("rate %v after the store came back", rate)
		}
	}
}

// Whatever fails at the same time, the instances never share out more than rate and burst.
func TestFaultsNeverRaiseTheShares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := view(1, []config.Region{{Name: "lima", Slots: 3}, {Name: "cusco", Slots: 2}}, acme(5000, 50000))
		v.general.Platform.RemovalFinal = rapid.Bool().Draw(r, "removal final")
		f := newFleet(t, v)
		f.start("lima-1", "lima-2", "cusco-1")
		f.run(15)
		f.afterEach = func() { f.checkIn(r, "acme", 5000, 50000) }
		var snapshots []memory.Snapshot
		started := 0
		pick := func(names []string) string {
			if len(names) == 0 {
				return ""
			}
			return rapid.SampledFrom(names).Draw(r, "instance")
		}
		running := func() []string { return sortedNames(f.services) }
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				if name := pick(running()); name != "" {
					lost := f.crash(name)
					if rapid.Bool().Draw(r, "removed from the list") {
						f.list.remove(lost.self.Incarnation)
					}
				}
			case 1:
				if name := pick(running()); name != "" {
					f.pause(name)
				}
			case 2:
				if name := pick(sortedNames(f.paused)); name != "" {
					f.resume(name)
				}
			case 3:
				if started < 3 {
					started++
					f.start(fmt.Sprintf("%s-%d", rapid.SampledFrom([]string{"lima", "cusco"}).Draw(r, "region"), 2+started))
				}
			case 4:
				if name := pick(running()); name != "" {
					_ = f.stop(name) // fails while the store is down
				}
			case 9:
				snapshots = append(snapshots, f.store.Snapshot())
				if rapid.Bool().Draw(r, "restore") {
					f.store.Restore(rapid.SampledFrom(snapshots).Draw(r, "snapshot"))
				}
			case 5:
				f.store.SetFaults(memory.Faults{
					Down:        rapid.Bool().Draw(r, "down"),
					DropAnswers: rapid.IntRange(0, 3).Draw(r, "dropped answers"),
					DropWrites:  rapid.IntRange(0, 3).Draw(r, "dropped writes"),
				})
			case 6:
				f.net.loseAnswers(serviceHandover, rapid.IntRange(0, 2).Draw(r, "handovers"))
				f.net.loseAnswers(serviceBorrow, rapid.IntRange(0, 3).Draw(r, "loans"))
			case 7, 8:
				if name := pick(running()); name != "" {
					tokens := rapid.Int64Range(1, 30000).Draw(r, "tokens")
					_, _ = f.services[name].Admit(context.Background(), "acme", tokens) // may be refused
				}
			}
			f.run(rapid.IntRange(1, 12).Draw(r, "seconds"))
		}
		f.stopAll()
	})
}

// An instance that has passed a slot on does not take it up again from an older record while the new owner may use it.
func TestPassedOnSlotWithOlderData(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(2000, 20000)))
	f.start("lima-1")
	f.run(15)
	before := f.store.Snapshot()
	f.start("lima-2")
	f.run(5)
	if n := len(f.services["lima-2"].Owned()); n != 1 {
		t.Fatalf("the later instance owns %d slots", n)
	}
	f.pause("lima-2")
	f.store.Restore(before)
	f.afterEach = func() { f.check("acme", 2000, 20000) }
	f.run(40)
	f.resume("lima-2")
	f.run(30)
	if rate, _, _ := f.totals("acme"); !near(rate, 2000) {
		t.Fatalf("rate %v after the new owner came back", rate)
	}
}

// A slot whose record could not be written is not lost: the giver goes on with it, or the heir gets it later.
func TestPassingOnWithLostWrites(t *testing.T) {
	for _, faults := range []memory.Faults{{DropWrites: 1}, {DropAnswers: 1}} {
		f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(2000, 20000)))
		f.start("lima-1")
		f.run(15)
		f.start("lima-2")
		f.services["lima-2"].tick()
		if err := f.services["lima-2"].refresh(context.Background()); err != nil { // takes a lease and claims nothing
			t.Fatal(err)
		}
		f.store.SetFaults(faults)
		f.afterEach = func() { f.check("acme", 2000, 20000) }
		f.run(40)
		if rate, _, _ := f.totals("acme"); !near(rate, 2000) {
			t.Fatalf("%+v: rate %v", faults, rate)
		}
	}
}

// Guards against a warning at a normal start: losing a race for a record is expected, and the next refresh sees the winner.
func TestLostRacesAreNoErrors(t *testing.T) {
	for _, write := range []string{"passing a slot on", "restoring a record"} {
		f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 3}}, acme(3000, 30000)))
		empty := f.store.Snapshot()
		f.start("lima-1")
		f.run(15)
		f.start("lima-2")
		f.run(1) // lima-2 takes a lease
		f.afterEach = func() { f.check("acme", 3000, 30000) }
		s, raced := f.services["lima-1"], false
		records := s.slots.known
		if write == "restoring a record" {
			f.store.Restore(empty)
		}
		s.opts.Store = &claimedBefore{Store: f.store, claim: func() {
			raced = true
			for slot, record := range records {
				if err := s.writeRecord(context.Background(), slot, record.Record, f.record(slot).revision); err != nil {
					t.Fatal(err)
				}
			}
		}}
		f.clock.Advance(time.Second)
		if err := s.refresh(context.Background()); err != nil || !raced {
			t.Errorf("%s: raced %v: %v", write, raced, err)
		}
		f.run(40)
		if rate, _, _ := f.totals("acme"); !near(rate, 3000) {
			t.Errorf("%s: rate %v after the race", write, rate)
		}
	}
}
