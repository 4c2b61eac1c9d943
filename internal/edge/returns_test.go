package edge

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// Guards against a caller whose time counts anew each time that it comes back, and against a later request of the same session that
// counts as a return.
func TestReturnsAreKnownOnce(t *testing.T) {
	clk := &clock.Manual{}
	r := newReturns(clk)
	first := clk.Advance(time.Hour)
	parts := []placement.PromptPart{{Key: 1, Tokens: 10}, {Key: 2, Tokens: 5}}
	r.refused(parts, first, 300*time.Millisecond)
	now := clk.Advance(400 * time.Millisecond)
	if came, returned := r.firstCame(parts[:1], now); returned || came != now {
		t.Error("another request with the shared part counts as the return")
	}
	if came, returned := r.firstCame(parts, now); !returned || came != first {
		t.Errorf("the return counts from %v after the first arrival", came.Sub(first))
	}
	if _, returned := r.firstCame(parts, now); returned {
		t.Error("a second request counts as a return too")
	}
	r.refused(parts, first, 300*time.Millisecond)
	if _, returned := r.firstCame(parts, clk.Advance(2*time.Second)); returned {
		t.Error("a request long after the expected return counts as one")
	}
	if _, returned := r.firstCame(nil, now); returned {
		t.Error("a request without prompt counts as a return")
	}
}

// Guards against a return that is new to every instance but the one that has refused it.
func TestReturnsAreToldToOthers(t *testing.T) {
	here, there := &clock.Manual{}, &clock.Manual{}
	here.Advance(time.Hour)
	there.Advance(5 * time.Hour) // clocks of two instances have nothing in common
	a, b := newReturns(here), newReturns(there)
	parts := []placement.PromptPart{{Key: 7, Tokens: 5}}
	a.refused(parts, here.Now().Add(-200*time.Millisecond), 300*time.Millisecond)
	told, next := a.since(0)
	if len(told) != 1 {
		t.Fatalf("%d refusals to tell, want 1", len(told))
	}
	b.heard(told[0].key, here.Now().Sub(told[0].first), told[0].expires.Sub(here.Now()))
	now := there.Advance(250 * time.Millisecond)
	if came, returned := b.firstCame(parts, now); !returned || now.Sub(came) != 450*time.Millisecond {
		t.Errorf("the return is taken to have come %v ago, want 450ms", now.Sub(came))
	}
	if again, _ := a.since(next); len(again) != 0 {
		t.Errorf("%d refusals are told twice", len(again))
	}
}

// Guards against a log of refusals that grows without bound when nobody takes it.
func TestRefusalsAreBounded(t *testing.T) {
	r := newReturns(&clock.Manual{})
	for i := range 3 * maxRefusals {
		r.refused([]placement.PromptPart{{Key: uint64(i)}}, 0, time.Second)
	}
	if len(r.log.entries) > maxRefusals || r.known.Len() > maxRefusals {
		t.Errorf("%d refusals are kept to tell, %d to know", len(r.log.entries), r.known.Len())
	}
	list, next := r.since(0)
	if next != 3*maxRefusals || list[len(list)-1].key != 3*maxRefusals-1 {
		t.Errorf("numbers do not go on: next %d", next)
	}
}
