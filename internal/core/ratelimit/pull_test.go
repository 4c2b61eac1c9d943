package ratelimit

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// fleetOfTwo has lima-1 and cusco-1, which own one slot each.
type fleetOfTwo struct{ cut bool }

func (fleetOfTwo) Owner(slot Slot) string { return slot.Region + "-1" }
func (f fleetOfTwo) Region(name string) (string, bool) {
	return map[string]string{"lima-1": "lima", "cusco-1": "cusco"}[name], name == "lima-1" || !f.cut
}

// shortPuller returns a puller of lima-1 with half of 1,000 tokens/s and half of 10,000 tokens, of which 100 are left.
func shortPuller(t *testing.T, cut bool) (*WaitQueue, clock.Instant) {
	t.Helper()
	now := clock.Instant(time.Hour)
	ledger := New(Options{Self: "lima-1"})
	ledger.Configure(now, &testConfig{
		revision: 1, regions: []Region{{"lima", 1}, {"cusco", 1}},
		org: Organisation{Name: organisation, Current: Limits{Rate: 1000, Burst: 10_000}},
	})
	ledger.AddSlot(now, Slot{"lima", 0})
	if _, ok := ledger.AccountState(now, organisation); !ok {
		t.Fatal("no account")
	}
	now = now.Add(200 * time.Millisecond)
	opts := WaitQueueOptions{Self: "lima-1", Region: "lima", InRegionTimeout: 50 * time.Millisecond, CrossRegionTimeout: 400 * time.Millisecond}
	return NewWaitQueue(opts, ledger, fleetOfTwo{cut}), now
}

// play answers every ask with nothing and runs the timers until the request ends. It returns the outcome and the time it took.
func play(t *testing.T, p *WaitQueue, now clock.Instant, tokens float64, patience time.Duration) (Outcome, time.Duration) {
	t.Helper()
	start := now
	_, do := p.Wait(now, organisation, tokens, true, patience)
	for range 200 {
		if len(do.Outcomes) > 0 {
			return do.Outcomes[0], now.Sub(start)
		}
		if len(do.Sends) > 0 {
			now = now.Add(160 * time.Millisecond)
			do = p.HandleResponse(now, organisation, do.Sends[0].To, nil)
			continue
		}
		if len(do.Timers) == 0 {
			t.Fatal("the request waits for nothing")
		}
		now = now.Add(do.Timers[0].After)
		do = p.HandleTimeout(now, organisation, do.Timers[0].ID)
	}
	t.Fatal("the request does not end")
	return Outcome{}, 0
}

// A region that is cut off refused requests at once whose tokens its own rate brought within a second.
func TestRequestWaitsForAccrual(t *testing.T) {
	p, now := shortPuller(t, true)
	outcome, took := play(t, p, now, 900, 5*time.Second)
	if !outcome.Admitted || took < 1600*time.Millisecond || took > 1700*time.Millisecond {
		t.Fatalf("want admission after the 1.6 s in which 500 tokens/s bring 800: %+v after %s", outcome, took)
	}
}

// With the whole rate at one holder, requests beyond the bucket took the tokens of later requests that it covers.
func TestLateRequestsLeaveTokensToCoveredOnes(t *testing.T) {
	p, now := shortPuller(t, true)
	p.ledger.AddSlot(now, Slot{"cusco", 0}) // 1,000 tokens/s, level 100
	for _, c := range []struct {
		tokens   float64
		admitted bool
		why      string
	}{
		{1600, false, "exceeds the bound of late tokens"},
		{1100, true, "is late, within the bound"},
		{1000, true, "is covered without the late request before it"},
		{1200, false, "is late, above the bound together with the first late request"},
	} {
		outcome, took := play(t, p, now, c.tokens, 5*time.Second)
		if outcome.Admitted != c.admitted {
			t.Errorf("request for %.0f, which %s: %+v", c.tokens, c.why, outcome)
		}
		now = now.Add(took)
	}
}

// A request must not wait in vain: it is refused as soon as the holders that answer cannot bring its tokens in time.
func TestRequestIsRefusedWithoutWaitingInVain(t *testing.T) {
	for _, c := range []struct {
		name     string
		cut      bool
		tokens   float64
		patience time.Duration
		longest  time.Duration
	}{
		{"more than the whole rate brings", false, 7000, 5 * time.Second, 500 * time.Millisecond},
		{"more than the rate of this side of a cut brings", true, 3000, 5 * time.Second, 0},
		{"no patience", true, 300, 0, 0},
	} {
		p, now := shortPuller(t, c.cut)
		if outcome, took := play(t, p, now, c.tokens, c.patience); outcome.Admitted || took > c.longest {
			t.Errorf("%s: %+v after %s", c.name, outcome, took)
		}
	}
}

// The rounds of a waiting request are spaced, so that a shortage does not become a stream of messages.
func TestRoundsOfAWaitingRequestAreSpaced(t *testing.T) {
	p, now := shortPuller(t, false)
	sends := 0
	_, do := p.Wait(now, organisation, 3500, true, 5*time.Second)
	for start := now; now.Sub(start) < 3*time.Second && len(do.Outcomes) == 0; {
		sends += len(do.Sends)
		if len(do.Sends) > 0 { // answered at once
			do = p.HandleResponse(now, organisation, do.Sends[0].To, nil)
			continue
		}
		now = now.Add(do.Timers[0].After)
		do = p.HandleTimeout(now, organisation, do.Timers[0].ID)
	}
	if sends > 12 {
		t.Fatalf("%d asks in 3 s", sends)
	}
}
