package admission

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Guards against an estimate that counts idle time, and against rejecting requests while the rate is still unknown.
func TestWaitFollowsTheDrainRateWhileBusy(t *testing.T) {
	var d DrainRate
	now := clock.Instant(0)
	if _, known := d.EstimateWait(now, 100); known {
		t.Fatal("the rate is known before anything has drained")
	}
	d.MarkBusy(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		d.RecordDrained(now, 50)
	}
	d.MarkIdle(now)
	now = now.Add(time.Hour)
	wait, known := d.EstimateWait(now, 1000)
	if !known || wait < 1800*time.Millisecond || wait > 2200*time.Millisecond {
		t.Fatalf("wait for 1000 tokens at 500 tokens/s: %v, known %v", wait, known)
	}
}

// Guards against a stalled queue that still admits requests.
func TestStalledQueueSheds(t *testing.T) {
	var d DrainRate
	d.MarkBusy(0)
	d.RecordDrained(clock.Instant(time.Second), 100)
	wait, known := d.EstimateWait(clock.Instant(11*time.Second), 100)
	if dec := Decide(wait, known, 2*time.Second); dec.Admit || dec.RetryAfter < time.Second {
		t.Fatalf("wait %v: %+v", wait, dec)
	}
}

// Guards against retries that multiply the load while everything fails.
func TestRetryBudgetIsBounded(t *testing.T) {
	b := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			retries++
		}
	}
	if retries < 100 || retries > 106 {
		t.Fatalf("%d retries for 1000 requests, want about 105", retries)
	}
}

// Guards against a budget that configuration changes refill again and again, or leave above its size.
func TestResizedBudget(t *testing.T) {
	spend := func(b *RetryBudget) (n int) {
		for b.Spend() {
			n++
		}
		return n
	}
	b := NewRetryBudget(0.1, 3)
	b.Resize(5)
	if n := spend(b); n != 5 {
		t.Errorf("%d retries after growing to 5", n)
	}
	b.Resize(5)
	b.Resize(2)
	if n := spend(b); n != 0 {
		t.Errorf("%d retries of a spent budget", n)
	}
	full := NewRetryBudget(0.1, 5)
	full.Resize(2)
	if n := spend(full); n != 2 {
		t.Errorf("%d retries after shrinking to 2", n)
	}
}
