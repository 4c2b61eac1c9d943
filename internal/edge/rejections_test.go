package edge

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// Guards against a caller whose waiting time starts anew with each retry, and against a later request of the same session that
// counts as a retry.
func TestRetryIsRecognisedOnce(t *testing.T) {
	clk := &clock.Manual{}
	r := newRejections(clk)
	first := clk.Advance(time.Hour)
	parts := []placement.PromptPart{{Key: 1, Tokens: 10}, {Key: 2, Tokens: 5}}
	r.add(parts, first, 300*time.Millisecond)
	now := clk.Advance(400 * time.Millisecond)
	if came, returned := r.takeFirstArrival(parts[:1], now); returned || came != now {
		t.Error("another request with the shared part counts as the retry")
	}
	if came, returned := r.takeFirstArrival(parts, now); !returned || came != first {
		t.Errorf("the retry counts from %v after the first arrival", came.Sub(first))
	}
	if _, returned := r.takeFirstArrival(parts, now); returned {
		t.Error("a second request counts as a retry too")
	}
	r.add(parts, first, 300*time.Millisecond)
	if _, returned := r.takeFirstArrival(parts, clk.Advance(2*time.Second)); returned {
		t.Error("a request long after the expected retry counts as one")
	}
	if _, returned := r.takeFirstArrival(nil, now); returned {
		t.Error("a request without prompt counts as a retry")
	}
}

// Guards against a retry that only the instance which rejected the request recognises.
func TestRejectionsAreReportedToOthers(t *testing.T) {
	here, there := &clock.Manual{}, &clock.Manual{}
	here.Advance(time.Hour)
	there.Advance(5 * time.Hour) // the clocks of two instances are independent
	a, b := newRejections(here), newRejections(there)
	parts := []placement.PromptPart{{Key: 7, Tokens: 5}}
	a.add(parts, here.Now().Add(-200*time.Millisecond), 300*time.Millisecond)
	reported, next := a.since(0)
	if len(reported) != 1 {
		t.Fatalf("%d rejections to report, want 1", len(reported))
	}
	b.addReceived(reported[0].key, here.Now().Sub(reported[0].firstArrived), reported[0].expires.Sub(here.Now()))
	now := there.Advance(250 * time.Millisecond)
	if came, returned := b.takeFirstArrival(parts, now); !returned || now.Sub(came) != 450*time.Millisecond {
		t.Errorf("the first try is taken to be %v old, want 450ms", now.Sub(came))
	}
	if again, _ := a.since(next); len(again) != 0 {
		t.Errorf("%d rejections are reported twice", len(again))
	}
}

// Guards against a log of rejections that grows without bound when nobody reads it.
func TestRejectionsAreBounded(t *testing.T) {
	r := newRejections(&clock.Manual{})
	for i := range 3 * maxRejections {
		r.add([]placement.PromptPart{{Key: uint64(i)}}, 0, time.Second)
	}
	if len(r.log.entries) > maxRejections || r.known.Len() > maxRejections {
		t.Errorf("%d rejections are kept to be reported, %d to recognise retries", len(r.log.entries), r.known.Len())
	}
	list, next := r.since(0)
	if next != 3*maxRejections || list[len(list)-1].key != 3*maxRejections-1 {
		t.Errorf("the numbers are not consecutive: next %d", next)
	}
}
