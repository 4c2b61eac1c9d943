package ratelimit

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// fleetOfTwo is a fleet of lima-1 and cusco-1, which own the slot of their region. If cut, cusco-1 is unresponsive.
type fleetOfTwo struct{ partitioned bool }

func (fleetOfTwo) Owner(slot Slot) string { return slot.Region + "-1" }
func (f fleetOfTwo) Region(name string) (string, bool) {
	return map[string]string{"lima-1": "lima", "cusco-1": "cusco"}[name], name == "lima-1" || !f.partitioned
}

// shortQueue returns a wait queue of lima-1 that has half of 1,000 tokens/s and half of a burst of 10,000 tokens, with 100 tokens
// available.
func shortQueue(t *testing.T, cut bool) (*WaitQueue, clock.Instant) {
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

// runToOutcome responds to every loan request with nothing and runs the timers until the request ends. It returns the outcome
// and the time that it took.
func runToOutcome(t *testing.T, p *WaitQueue, now clock.Instant, tokens float64, maxWait time.Duration) (Outcome, time.Duration) {
	t.Helper()
	start := now
	_, do := p.Wait(now, organisation, tokens, true, maxWait)
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
			t.Fatal("the request waits without a pending response or timer")
		}
		now = now.Add(do.Timers[0].After)
		do = p.HandleTimeout(now, organisation, do.Timers[0].ID)
	}
	t.Fatal("the request has no outcome after 200 steps")
	return Outcome{}, 0
}

// Guards against a rejection although the tokens accrue in time: an isolated region rejected requests at once that its own rate
// covered within a second.
func TestRequestWaitsForAccrual(t *testing.T) {
	p, now := shortQueue(t, true)
	outcome, took := runToOutcome(t, p, now, 900, 5*time.Second)
	if !outcome.Admitted || took < 1600*time.Millisecond || took > 1700*time.Millisecond {
		t.Fatalf("want admission after the 1.6 s in which 500 tokens/s bring 800: %+v after %s", outcome, took)
	}
}

// Guards against late requests that starve others: with the whole rate at one holder, requests that the bucket did not cover
// took the tokens of later requests that it covered.
func TestLateRequestsLeaveTokensToCoveredOnes(t *testing.T) {
	p, now := shortQueue(t, true)
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
		outcome, took := runToOutcome(t, p, now, c.tokens, 5*time.Second)
		if outcome.Admitted != c.admitted {
			t.Errorf("request for %.0f, which %s: %+v", c.tokens, c.why, outcome)
		}
		now = now.Add(took)
	}
}

// A request must not wait in vain: it is rejected as soon as the responsive holders cannot bring its tokens in time.
func TestRequestIsRejectedWithoutWaitingInVain(t *testing.T) {
	for _, c := range []struct {
		name    string
		cut     bool
		tokens  float64
		maxWait time.Duration
		longest time.Duration
	}{
		{"more than the whole rate brings", false, 7000, 5 * time.Second, 500 * time.Millisecond},
		{"more than the rate of this side of a cut brings", true, 3000, 5 * time.Second, 0},
		{"no patience", true, 300, 0, 0},
	} {
		p, now := shortQueue(t, c.cut)
		if outcome, took := runToOutcome(t, p, now, c.tokens, c.maxWait); outcome.Admitted || took > c.longest {
			t.Errorf("%s: %+v after %s", c.name, outcome, took)
		}
	}
}

// There must be pauses between the rounds of a waiting request, so that a shortage does not cause a flood of messages.
func TestRoundsOfAWaitingRequestAreSpaced(t *testing.T) {
	p, now := shortQueue(t, false)
	sends := 0
	_, do := p.Wait(now, organisation, 3500, true, 5*time.Second)
	for start := now; now.Sub(start) < 3*time.Second && len(do.Outcomes) == 0; {
		sends += len(do.Sends)
		if len(do.Sends) > 0 { // the response arrives at once
			do = p.HandleResponse(now, organisation, do.Sends[0].To, nil)
			continue
		}
		now = now.Add(do.Timers[0].After)
		do = p.HandleTimeout(now, organisation, do.Timers[0].ID)
	}
	if sends > 12 {
		t.Fatalf("%d loan requests in 3 s, want at most 12", sends)
	}
}
