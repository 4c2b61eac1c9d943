package limits

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// moves returns views with revisions 1 to n, each of which moves all of acme's rate to the other region.
func moves(regions []config.Region, n int) []*fakeView {
	var out []*fakeView
	org := acme(3000, 30000)
	for revision := int64(1); revision <= int64(n); revision++ {
		if revision > 1 {
			org.Previous = append(org.Previous[:len(org.Previous):len(org.Previous)],
				config.Entitlement{Revision: revision, Rate: org.Rate, Burst: org.Burst, Split: org.Split})
		}
		org.Split = map[string]float64{"lima": float64(revision % 2), "cusco": float64((revision + 1) % 2)}
		out = append(out, view(revision, regions, org))
	}
	return out
}

// inForce puts a view in the store and in force at instances.
func (f *fleet) inForce(v *fakeView, names ...string) {
	f.t.Helper()
	head := fmt.Appendf(nil, `{"revision":%d}`, v.revision)
	if _, err := f.store.Put(context.Background(), headKey, head, platform.PutOptions{}); err != nil {
		f.t.Fatal(err)
	}
	f.source.set(v)
	for _, name := range names {
		f.sources[name].set(v)
	}
}

func (f *fleet) record(slot ratelimit.Slot) storedRecord {
	f.t.Helper()
	records, err := readRecords(context.Background(), f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	return records[slot]
}

// startMoving returns a fleet with the rate in lima, and the view that moves it to cusco.
func startMoving(t *testing.T, limaSlots int, names ...string) (*fleet, *fakeView) {
	views := moves([]config.Region{{Name: "lima", Slots: limaSlots}, {Name: "cusco", Slots: 1}}, 2)
	for _, v := range views {
		v.general.Platform.RemovalFinal = true
	}
	f := newFleet(t, views[0])
	f.start(names...)
	f.inForce(views[0], names...)
	f.run(15)
	f.afterEach = func() { f.check("acme", 3000, 30000) }
	return f, views[1]
}

// ownRate is the rate of an instance's slots.
func (f *fleet) ownRate(name string) float64 {
	u, _ := f.services[name].Usage("acme")
	return u.Own.Rate
}

// Guards against writes for revisions that replace no entitlement, and more than one for each slot and other revision.
func TestAppliedRevisionIsWrittenOnce(t *testing.T) {
	f, moved := startMoving(t, 2, "lima-1", "lima-2", "cusco-1")
	puts := func() int64 { return int64(f.store.Counts().Calls[memory.KindPut]) }
	same := *f.source.View().(*fakeView)
	same.revision = 2
	before := puts()
	f.inForce(&same, "lima-1", "lima-2", "cusco-1")
	f.run(10)
	if n := puts() - before - 1; n != 0 {
		t.Errorf("%d writes for a revision that replaces nothing", n)
	}
	moved.revision, moved.orgs["acme"].Previous[0].Revision = 3, 3
	before = puts()
	f.inForce(moved, "lima-1", "lima-2", "cusco-1")
	f.run(4)
	if n := puts() - before - 1; n != 3 {
		t.Errorf("%d writes for 3 slots", n)
	}
	if rate := f.ownRate("cusco-1"); !near(rate, 3000) {
		t.Errorf("rate %v in the region that gained, 4 s after the change", rate)
	}
}

// Guards against previous terms that come back, or stay at new instances, after an owner that had applied the revision is
// replaced: neither its crash nor the claim takes back what it has written.
func TestAppliedRevisionOutlivesItsOwner(t *testing.T) {
	f, moved := startMoving(t, 2, "lima-1", "lima-2", "cusco-1")
	f.inForce(moved, "lima-1", "lima-2", "cusco-1")
	f.run(15)
	check := func(when string) {
		t.Helper()
		if rate := f.ownRate("cusco-1"); !near(rate, 3000) {
			t.Errorf("rate %v %s", rate, when)
		}
	}
	if err := f.stop("lima-2"); err != nil {
		t.Fatal(err)
	}
	f.run(1)
	check("right after a planned stop")
	f.start("lima-3")
	f.run(15)
	slot := f.services["lima-1"].usableSlots()[0]
	f.crash("lima-1")
	f.run(2)
	check("before the claim")
	f.run(30)
	if r := f.record(slot); r.Applied != 2 || len(r.Predecessors) != 1 {
		t.Fatalf("record after the claim: %+v", r)
	}
	// The next instance has seen nothing but the records.
	if err := f.stop("cusco-1"); err != nil {
		t.Fatal(err)
	}
	f.start("cusco-2")
	f.run(30)
	if rate := f.ownRate("cusco-2"); !near(rate, 3000) {
		t.Errorf("rate %v at a new instance", rate)
	}
}

// Guards against a claim that takes over the revision of the former owner without having applied it.
func TestClaimDoesNotInheritTheAppliedRevision(t *testing.T) {
	f, moved := startMoving(t, 2, "lima-1", "lima-2", "cusco-1")
	f.inForce(moved, "lima-1", "cusco-1") // lima-2 has not heard of it
	f.run(15)
	slot := f.services["lima-1"].usableSlots()[0]
	if r := f.record(slot); r.Applied != 2 {
		t.Fatalf("record before the claim: %+v", r)
	}
	lost := f.crash("lima-1")
	f.run(30)
	if r := f.record(slot); r.Owner.Name != "lima-2" || r.Applied > 1 {
		t.Fatalf("record after the claim: %+v", r)
	}
	if _, err := Release(context.Background(), f.store, lost.self.Incarnation); err != nil {
		t.Fatal(err)
	}
	f.run(30)
	if rate := f.ownRate("cusco-1"); rate != 0 {
		t.Errorf("rate %v although lima-2 has not heard of the change", rate)
	}
	f.sources["lima-2"].set(moved)
	f.run(30)
	if rate := f.ownRate("cusco-1"); !near(rate, 3000) {
		t.Errorf("rate %v after all have applied the change", rate)
	}
}

// Guards against terms that end although an owner that has not applied the revision, crashed or paused, may still use its
// slot or has loans running from it.
func TestTermsStayForAnOwnerThatIsAway(t *testing.T) {
	for _, released := range []bool{false, true} {
		f, moved := startMoving(t, 2, "lima-1", "lima-2", "cusco-1")
		if _, err := f.services["cusco-1"].Admit(context.Background(), "acme", 20000); err != nil {
			t.Fatal(err)
		}
		incarnation := f.services["lima-1"].self.Incarnation
		f.pause("lima-1")
		f.inForce(moved, "lima-2", "cusco-1")
		f.run(3) // not claimed yet
		f.run(30)
		if rate := f.ownRate("cusco-1"); rate != 0 {
			t.Fatalf("rate %v while lima-1 may use the old terms", rate)
		}
		if released {
			f.crash("lima-1")
			delete(f.paused, "lima-1")
			if _, err := Release(context.Background(), f.store, incarnation); err != nil {
				t.Fatal(err)
			}
		} else {
			f.resume("lima-1")
			f.run(5) // still without the change
			f.sources["lima-1"].set(moved)
		}
		f.run(30)
		if rate := f.ownRate("cusco-1"); !near(rate, 3000) {
			t.Errorf("released %v: rate %v after all have applied the change", released, rate)
		}
	}
}

// Guards against terms that end while loans run that an owner gave under them: one that crashed, whose slot has a new owner, or
// one that stopped and passed the loans on.
func TestTermsStayForLoansOfAFormerOwner(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		f, moved := startMoving(t, 1, "lima-1", "lima-2", "cusco-1")
		if _, err := f.services["cusco-1"].Admit(context.Background(), "acme", 28000); err != nil {
			t.Fatal(err)
		}
		f.inForce(moved, "lima-2", "cusco-1")
		f.run(1)
		if stopped {
			if err := f.stop("lima-1"); err != nil {
				t.Fatal(err)
			}
		} else {
			lost := f.crash("lima-1")
			f.list.remove(lost.self.Incarnation)
			if err := f.store.Revoke(context.Background(), lost.slots.lease); err != nil {
				t.Fatal(err)
			}
		}
		f.run(4)
		if rate := f.ownRate("cusco-1"); rate != 0 {
			t.Errorf("stopped %v: rate %v while loans run", stopped, rate)
		}
		f.run(30)
		if rate := f.ownRate("cusco-1"); !near(rate, 3000) {
			t.Errorf("stopped %v: rate %v after the loans", stopped, rate)
		}
	}
}

// Guards against an instance that starts from a store with older data and uses a slot under terms that have ended everywhere.
func TestNewOwnerNeedsTheRevisionOfItsRegion(t *testing.T) {
	f, moved := startMoving(t, 1, "lima-1", "lima-2", "cusco-1")
	replaced, older := f.source.View(), f.store.Snapshot()
	f.inForce(moved, "lima-1", "lima-2", "cusco-1")
	f.run(20)
	f.store.Restore(older)
	f.sources["lima-0"] = &fakeSource{view: replaced}
	f.start("lima-0")
	f.run(1)
	f.list.remove(f.crash("lima-1").self.Incarnation)
	f.run(60)
	if owned := f.services["lima-0"].Owned(); len(owned) != 1 {
		t.Errorf("the instance with the older configuration owns %v", owned)
	}
}

// Guards against terms that end, or never end, because of a store that is down, loses writes or answers, or comes back with
// older data in the middle of the change.
func TestChangeWithStoreFaults(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"down": {Down: true}, "lost answers": {DropAnswers: 3}, "lost writes": {DropWrites: 3}, "older data": {},
	} {
		t.Run(name, func(t *testing.T) {
			f, moved := startMoving(t, 2, "lima-1", "lima-2", "cusco-1")
			replaced, before := f.source.View(), f.store.Snapshot()
			f.inForce(moved, "lima-1", "cusco-1")
			f.store.SetFaults(faults)
			f.run(20)
			f.sources["lima-2"].set(moved)
			f.run(20)
			if rate := f.ownRate("cusco-1"); faults.Down && rate != 0 {
				t.Errorf("rate %v while no record could be written", rate)
			}
			f.store.SetFaults(memory.Faults{})
			f.run(1)
			if name == "older data" {
				f.store.Restore(before)
				// It loads the replaced configuration from the store, and later the other one from another instance.
				f.sources["lima-3"] = &fakeSource{view: replaced}
				f.start("lima-3")
				f.run(30)
				f.sources["lima-3"].set(moved)
			}
			f.run(30)
			if rate := f.ownRate("cusco-1"); !near(rate, 3000) {
				t.Errorf("rate %v after the faults", rate)
			}
		})
	}
}

// Guards against a write of the applied revision that undoes a claim made since the record was read.
func TestAppliedRevisionRacesWithAClaim(t *testing.T) {
	f, moved := startMoving(t, 2, "lima-1", "lima-2", "cusco-1")
	slow := f.services["lima-1"]
	slot := slow.usableSlots()[0]
	f.sources["lima-1"].set(moved)
	f.pause("lima-1")
	slow.opts.Store = &claimedBefore{Store: f.store, claim: func() { f.run(30) }}
	f.clock.Advance(1)
	slow.tick()
	for range 2 {
		f.clock.Advance(1e9)
		if _, err := slow.settle(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if r := f.record(slot); r.Owner.Name != "lima-2" || r.Applied != 0 || len(r.Predecessors) != 1 {
		t.Fatalf("record after the race: %+v", r)
	}
}

// claimedBefore is a store at which a slot is claimed right before its record is written.
type claimedBefore struct {
	platform.Store
	claim func()
}

// Put writes after the claim.
func (c *claimedBefore) Put(ctx context.Context, key string, value []byte, o platform.PutOptions) (int64, error) {
	if claim := c.claim; claim != nil && strings.HasPrefix(key, slotPrefix) {
		c.claim = nil
		claim()
	}
	return c.Store.Put(ctx, key, value, o)
}

// Whatever fails while the rate moves between regions, the instances never share out more than rate and burst.
func TestChangesNeverRaiseTheShares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		views := moves(twoRegions(), 6)
		f := newFleet(t, views[0])
		f.start("lima-1", "lima-2", "cusco-1")
		f.inForce(views[0])
		f.run(15)
		f.afterEach = func() { f.checkIn(r, "acme", 3000, 30000) }
		latest, started := 0, 0
		pick := func(names []string) string {
			if len(names) == 0 {
				return ""
			}
			return rapid.SampledFrom(names).Draw(r, "instance")
		}
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			f.store.SetFaults(memory.Faults{
				Down:        rapid.IntRange(0, 9).Draw(r, "down") == 0,
				DropAnswers: rapid.IntRange(0, 2).Draw(r, "dropped answers"),
				DropWrites:  rapid.IntRange(0, 2).Draw(r, "dropped writes"),
			})
			name := pick(sortedNames(f.services))
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0, 1:
				if latest+1 < len(views) {
					latest++
					f.store.SetFaults(memory.Faults{})
					f.inForce(views[latest])
				}
			case 2, 3, 4:
				if name != "" {
					f.sources[name].set(views[latest])
				}
			case 5:
				if name != "" {
					f.pause(name)
				}
			case 6:
				if paused := pick(sortedNames(f.paused)); paused != "" {
					f.resume(paused)
				}
			case 7:
				if name != "" {
					lost := f.crash(name)
					if rapid.Bool().Draw(r, "removed from the list") {
						f.list.remove(lost.self.Incarnation)
					}
				}
			case 8:
				if started < 3 {
					started++
					f.start(fmt.Sprintf("%s-%d", rapid.SampledFrom([]string{"lima", "cusco"}).Draw(r, "region"), 2+started))
				}
			case 9:
				if name != "" {
					_ = f.stop(name) // fails while the store is down
				}
			}
			if name := pick(sortedNames(f.services)); name != "" {
				tokens := rapid.Int64Range(1, 20000).Draw(r, "tokens")
				_, _ = f.services[name].Admit(context.Background(), "acme", tokens) // may be refused
			}
			f.run(rapid.IntRange(1, 12).Draw(r, "seconds"))
		}
		f.stopAll()
	})
}
