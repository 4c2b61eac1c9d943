package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Guards against instances that together retry more often than the budget of any window allows, also when one of them restarts
// and loses its counts.
func TestInstancesStayWithinTheBudget(t *testing.T) {
	const instances = 4
	limits := Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56}
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = New(limits)
	}
	type event struct {
		at    clock.Instant
		retry bool
	}
	var events []event
	now := clock.Instant(time.Hour)
	for range 60000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Millisecond)))
		i := rng.IntN(instances)
		if rng.IntN(20000) == 0 {
			budgets[i] = New(limits)
		}
		budgets[i].RecordRequest(now, "s")
		events = append(events, event{now, false})
		if budgets[i].AllowRetry(now, "s", instances) {
			events = append(events, event{now, true})
		}
	}
	first, requests, retries := 0, 0, 0
	for _, e := range events {
		for ; e.at.Sub(events[first].at) > limits.Window; first++ {
			if events[first].retry {
				retries--
			} else {
				requests--
			}
		}
		if e.retry {
			retries++
		} else {
			requests++
		}
		if limit := limits.Ratio*float64(requests) + limits.Allowance; float64(retries) > limit {
			t.Fatalf("%d retries of %d requests in a window, limit %.0f", retries, requests, limit)
		}
	}
	if retries == 0 {
		t.Error("no retry was allowed")
	}
}

// Guards against a service with few requests whose requests can never be retried.
func TestAllowanceWithoutLoad(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56})
	b.RecordRequest(1, "s")
	if !b.AllowRetry(1, "s", 4) {
		t.Error("a single request cannot be retried")
	}
}
