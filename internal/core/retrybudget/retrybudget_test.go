package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Guards against instances that together repeat more than the budget of any window, also when one of them restarts and forgets.
func TestInstancesStayWithinTheBudget(t *testing.T) {
	const instances = 4
	terms := Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56}
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = New(terms)
	}
	type event struct {
		at     clock.Instant
		repeat bool
	}
	var events []event
	now := clock.Instant(time.Hour)
	for range 60000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Millisecond)))
		i := rng.IntN(instances)
		if rng.IntN(20000) == 0 {
			budgets[i] = New(terms)
		}
		budgets[i].RecordRequest(now, "s")
		events = append(events, event{now, false})
		if budgets[i].AllowRetry(now, "s", instances) {
			events = append(events, event{now, true})
		}
	}
	first, requests, repeats := 0, 0, 0
	for _, e := range events {
		for ; e.at.Sub(events[first].at) > terms.Window; first++ {
			if events[first].repeat {
				repeats--
			} else {
				requests--
			}
		}
		if e.repeat {
			repeats++
		} else {
			requests++
		}
		if limit := terms.Ratio*float64(requests) + terms.Allowance; float64(repeats) > limit {
			t.Fatalf("%d repeats of %d requests in a window, limit %.0f", repeats, requests, limit)
		}
	}
	if repeats == 0 {
		t.Error("no repeat was allowed")
	}
}

// Guards against a service whose few requests can never be repeated.
func TestAllowanceWithoutLoad(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56})
	b.RecordRequest(1, "s")
	if !b.AllowRetry(1, "s", 4) {
		t.Error("a single request cannot be repeated")
	}
}
