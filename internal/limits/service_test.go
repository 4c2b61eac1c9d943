package limits

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

func twoRegions() []config.Region {
	return []config.Region{{Name: "lima", Slots: 2}, {Name: "cusco", Slots: 1}}
}

func acme(rate, burst float64) config.Organisation {
	return config.Organisation{Name: "acme", Rate: rate, Burst: burst}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// A single instance owns all slots of its region and fills its bucket.
func TestOneInstanceServes(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(100, 1000)))
	f.start("lima-1")
	f.run(12)
	rate, burst, level := f.totals("acme")
	if !near(rate, 100) || !near(burst, 1000) || !near(level, 1000) {
		t.Fatalf("rate %v burst %v level %v", rate, burst, level)
	}
	s := f.services["lima-1"]
	charge, err := s.Admit(context.Background(), "acme", 900)
	if err != nil {
		t.Fatal(err)
	}
	if !s.StillValid(charge) {
		t.Fatal("a fresh charge is not valid")
	}
	s.Settle(charge, 400)
	s.Settle(charge, 0) // a second settlement must change nothing
	if u, _ := s.Usage("acme"); !near(u.Level, 600) {
		t.Fatalf("level after settlement: %v", u.Level)
	}
	var refused *RefusedError
	if _, err := s.Admit(context.Background(), "acme", 700); !errors.As(err, &refused) || refused.RetryAfter != time.Second {
		t.Fatalf("want a refusal with 1 s to wait: %v", err)
	}
	if _, err := s.Admit(context.Background(), "acme", 1001); !errors.As(err, &refused) {
		t.Fatalf("request above the burst: %v", err)
	}
	if _, err := s.Admit(context.Background(), "nobody", 1); !errors.As(err, &refused) {
		t.Fatalf("undeclared organisation: %v", err)
	}
}

// One instance may use the whole burst of the fleet, because it borrows on shortage from its region and then from others.
func TestPullOnShortage(t *testing.T) {
	f := newFleet(t, view(1, twoRegions(), acme(3000, 30000)))
	f.start("lima-1", "lima-2", "cusco-1")
	f.run(12)
	if _, _, level := f.totals("acme"); !near(level, 30000) {
		t.Fatalf("level %v", level)
	}
	if _, err := f.services["lima-1"].Admit(context.Background(), "acme", 29000); err != nil {
		t.Fatal(err)
	}
	f.check("acme", 3000, 30000)
	if _, err := f.services["cusco-1"].Admit(context.Background(), "acme", 5000); err == nil {
		t.Fatal("the fleet admitted more than the burst")
	}
	f.run(15)
	f.check("acme", 3000, 30000)
}

// An instance without a slot serves by borrowing at once, and the owner that has lent everything gets it back on shortage.
func TestInstanceWithoutSlot(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 1}}, acme(3000, 30000)))
	f.start("lima-1")
	f.run(15)
	f.start("lima-2")
	owner, other := f.services["lima-1"], f.services["lima-2"]
	if err := other.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := other.Admit(context.Background(), "acme", 8000); err != nil {
			t.Fatalf("instance without a slot: %v", err)
		}
		f.run(3)
		f.check("acme", 3000, 30000)
	}
	if u, _ := owner.Usage("acme"); u.Lent.Rate == 0 {
		t.Fatal("no rate was lent to the instance with all the demand")
	}
	if _, err := owner.Admit(context.Background(), "acme", 12000); err != nil {
		t.Fatalf("owner that has lent its share: %v", err)
	}
	f.check("acme", 3000, 30000)
}

// A request whose deadline has no room for another region is refused without asking there.
func TestNoRoomForOtherRegions(t *testing.T) {
	f := newFleet(t, view(1, twoRegions(), acme(300, 3000)))
	f.start("lima-1", "cusco-1")
	f.run(25)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Millisecond)
	defer cancel()
	if _, err := f.services["lima-1"].Admit(ctx, "acme", 2900); err == nil {
		t.Fatal("admitted with tokens of another region")
	}
	if _, err := f.services["lima-1"].Admit(context.Background(), "acme", 2900); err != nil {
		t.Fatal(err)
	}
}

// Many requests at once share one exchange and never get more than the burst.
func TestPullsAreCoalesced(t *testing.T) {
	f := newFleet(t, view(1, twoRegions(), acme(3000, 30000)))
	f.start("lima-1", "lima-2", "cusco-1")
	f.run(12)
	before := f.net.count(serviceBorrow)
	gate := make(chan struct{})
	f.net.setGate(gate) // holds the first messages back until all requests have come
	s := f.services["lima-1"]
	var wg sync.WaitGroup
	var admitted, answered atomic.Int64
	for range 100 {
		wg.Go(func() {
			if _, err := s.Admit(context.Background(), "acme", 400); err == nil {
				admitted.Add(1)
			}
			answered.Add(1)
		})
	}
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiters)
	}
	for deadline := time.Now().Add(5 * time.Second); int(answered.Load())+waiting() < 100; {
		if time.Now().After(deadline) {
			t.Fatal("requests neither wait nor were answered")
		}
		time.Sleep(time.Millisecond)
	}
	close(gate)
	wg.Wait()
	f.settle(s)
	if n := admitted.Load(); n < 70 || n > 75 {
		t.Fatalf("admitted %d of 100 requests of 400 tokens, want 75 of a burst of 30000", n)
	}
	if calls := f.net.count(serviceBorrow) - before; calls > 20 {
		t.Fatalf("%d loan messages for 100 requests", calls)
	}
	f.check("acme", 3000, 30000)
}

// The slots of a crashed instance are claimed, but held at 0 until its end is certain.
func TestCrashedOwnerIsNotReplacedEarly(t *testing.T) {
	for _, how := range []string{"removal is final", "operator releases"} {
		t.Run(how, func(t *testing.T) {
			v := view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(2000, 20000))
			v.general.Platform.RemovalFinal = how == "removal is final"
			f := newFleet(t, v)
			f.start("lima-1", "lima-2")
			f.run(15)
			lost := f.crash("lima-1")
			f.run(60)
			if rate, _, _ := f.totals("acme"); !near(rate, 1000) {
				t.Fatalf("rate %v while the end of the predecessor is uncertain", rate)
			}
			if how == "removal is final" {
				f.list.remove(lost.self.Incarnation)
			} else if n, err := Release(context.Background(), f.store, lost.self.Incarnation); err != nil || n != 1 {
				t.Fatalf("released %d slots: %v", n, err)
			}
			f.run(5)
			if rate, _, _ := f.totals("acme"); !near(rate, 1000) {
				t.Fatalf("rate %v while loans of the predecessor may run", rate)
			}
			f.run(10)
			if rate, burst, _ := f.totals("acme"); !near(rate, 2000) || !near(burst, 20000) {
				t.Fatalf("rate %v burst %v after the end was certain", rate, burst)
			}
		})
	}
}

// A paused owner that comes back drops the lost slot, confirms, and never adds to its successor's share.
func TestPausedOwnerConfirmsLoss(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(2000, 20000)))
	f.start("lima-1", "lima-2")
	f.run(15)
	paused := f.crash("lima-1")
	charge, err := paused.Admit(context.Background(), "acme", 10)
	if err != nil {
		t.Fatal(err)
	}
	f.run(30)
	f.services["lima-1"] = paused
	f.net.setCut("lima-1", false)
	for range 30 {
		f.run(1)
		f.check("acme", 2000, 20000)
	}
	if rate, _, _ := f.totals("acme"); !near(rate, 2000) {
		t.Fatalf("rate %v after the predecessor confirmed", rate)
	}
	if paused.StillValid(charge) {
		t.Fatal("a charge of a lost slot is still valid")
	}
}

// A store outage costs no organisation its rate.
func TestStoreOutageKeepsShares(t *testing.T) {
	f := newFleet(t, view(1, twoRegions(), acme(3000, 30000)))
	f.start("lima-1", "lima-2", "cusco-1")
	f.run(15)
	f.store.SetFaults(memory.Faults{Down: true})
	f.run(600)
	if rate, _, level := f.totals("acme"); !near(rate, 3000) || !near(level, 30000) {
		t.Fatalf("rate %v level %v", rate, level)
	}
	f.store.SetFaults(memory.Faults{})
	for range 30 {
		f.run(1)
		f.check("acme", 3000, 30000)
	}
	if rate, _, _ := f.totals("acme"); !near(rate, 3000) {
		t.Fatalf("rate %v after the outage", rate)
	}
}

// A planned stop passes level and shares on, also while the store is out.
func TestPlannedStopHandsOver(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(2000, 20000)))
		f.start("lima-1", "lima-2")
		f.run(15)
		f.store.SetFaults(memory.Faults{Down: storeDown})
		if err := f.stop("lima-1"); err != nil {
			t.Fatal(err)
		}
		if rate, burst, level := f.totals("acme"); !near(rate, 2000) || !near(burst, 20000) || !near(level, 20000) {
			t.Fatalf("store down %v: rate %v burst %v level %v after the handover", storeDown, rate, burst, level)
		}
		f.run(5)
		f.store.SetFaults(memory.Faults{})
		f.start("lima-3")
		f.run(30)
		if rate, _, _ := f.totals("acme"); !near(rate, 2000) {
			t.Fatalf("store down %v: rate %v", storeDown, rate)
		}
	}
}

// A handover whose answer was lost is not repeated towards another instance.
func TestLostHandoverAnswer(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 3}}, acme(3000, 30000)))
	f.start("lima-1", "lima-2", "lima-3")
	f.run(15)
	f.net.loseNext[serviceHandover] = 1
	if err := f.stop("lima-1"); err != nil {
		t.Fatal(err)
	}
	for range 30 {
		f.check("acme", 3000, 30000)
		f.run(1)
	}
	if rate, _, _ := f.totals("acme"); !near(rate, 3000) {
		t.Fatalf("rate %v", rate)
	}
}

// A claim whose answer was lost is found again in the store.
func TestLostClaimAnswer(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 2}}, acme(2000, 20000)))
	f.start("lima-1")
	f.store.SetFaults(memory.Faults{DropAnswers: 4})
	f.run(5)
	f.run(30)
	if rate, _, _ := f.totals("acme"); !near(rate, 2000) {
		t.Fatalf("rate %v", rate)
	}
}

// When a revision moves an organisation's rate between regions, the region that gains waits until all slot owners have the
// revision, whichever instance hears of it first.
func TestMovedRateIsNotUsedTwice(t *testing.T) {
	before := acme(3000, 30000)
	before.Split = map[string]float64{"lima": 1, "cusco": 0}
	after := acme(3000, 30000)
	after.Split = map[string]float64{"lima": 0, "cusco": 1}
	after.Previous = []config.Entitlement{{Revision: 2, Rate: 3000, Burst: 30000, Split: before.Split}}
	f := newFleet(t, view(1, twoRegions(), before))
	f.start("lima-1", "lima-2", "cusco-1")
	f.run(15)
	// cusco borrows, so that the move meets a loan that was given under the old revision.
	if _, err := f.services["cusco-1"].Admit(context.Background(), "acme", 5000); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"cusco-1", "lima-1", "lima-2"} {
		f.sources[name].set(view(2, twoRegions(), after))
		for range 4 {
			f.run(1)
			f.check("acme", 3000, 30000)
		}
	}
	for range 30 {
		f.run(1)
		f.check("acme", 3000, 30000)
	}
	if u, _ := f.services["cusco-1"].Usage("acme"); !near(u.Own.Rate, 3000) {
		t.Fatalf("own rate %v in the region that gained", u.Own.Rate)
	}
}

// A slot is not used under a view that is older than the store's head, since other slots may have received its share.
func TestNewOwnerNeedsTheHeadRevision(t *testing.T) {
	f := newFleet(t, view(1, []config.Region{{Name: "lima", Slots: 1}}, acme(100, 1000)))
	if _, err := f.store.Put(context.Background(), headKey, []byte(`{"revision":2}`), platform.PutOptions{}); err != nil {
		t.Fatal(err)
	}
	f.start("lima-1")
	f.run(15)
	if rate, _, _ := f.totals("acme"); rate != 0 {
		t.Fatalf("rate %v under an old view", rate)
	}
	f.sources["lima-1"].set(view(2, []config.Region{{Name: "lima", Slots: 1}}, acme(100, 1000)))
	f.run(5)
	if rate, _, _ := f.totals("acme"); !near(rate, 100) {
		t.Fatalf("rate %v under the head's revision", rate)
	}
}
