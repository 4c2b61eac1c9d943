package endpointrate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

var endpoint = catalog.Incarnation{ID: "e", StartedAtMillis: 1}

// Guards against a limit that is lifted by an answer which was on its way when the limit was named, by an answer of an earlier
// incarnation, or that remains although the endpoint no longer names it.
func TestLimitIsWithdrawnByLaterAnswersOnly(t *testing.T) {
	r := NewRegister()
	at := func(seconds float64) clock.Instant { return clock.Instant(seconds * float64(time.Second)) }
	expect := func(step string, limited bool, limit float64) {
		t.Helper()
		if got, is := r.Limit(endpoint); is != limited || got != limit {
			t.Errorf("%s: limit %v, limited %v", step, got, is)
		}
	}
	r.Observe(at(1), endpoint, at(0.9), 0, false)
	expect("an answer without a limit", false, 0)
	r.Observe(at(2), endpoint, at(1.9), 3, true)
	expect("an answer with a limit", true, 3)
	r.Observe(at(2.5), endpoint, at(1.95), 0, false)
	expect("an answer to a request sent before", true, 3)
	r.Observe(at(3), endpoint, at(2.1), 1, true)
	expect("another limit", true, 1)
	r.Observe(at(3.1), endpoint, at(2.9), 0, false)
	expect("an answer to a request sent before the limit was named again", true, 1)
	r.Observe(at(4), endpoint, at(3.2), 0, false)
	expect("an answer to a later request", false, 0)
	next := catalog.Incarnation{ID: "e", StartedAtMillis: 2}
	r.Observe(at(5), next, at(4.9), 2, true)
	r.Observe(at(6), endpoint, at(5.9), 0, false)
	if got, is := r.Limit(next); !is || got != 2 {
		t.Errorf("an answer of the incarnation before: limit %v, limited %v", got, is)
	}
	expect("the incarnation before", false, 0)
}

// Guards against instances that keep different statements of an endpoint after they have exchanged all of them, in whatever order.
func TestInstancesAgreeOnStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		all := make([]*Register, n)
		for i := range all {
			all[i] = NewRegister()
		}
		now := clock.Instant(time.Second)
		exchange := func(from, to int) {
			for _, s := range all[from].Statements() {
				all[to].Merge(now, s)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "exchange") {
				exchange(i, rapid.IntRange(0, n-1).Draw(t, "other"))
				continue
			}
			e := catalog.Incarnation{ID: "e", StartedAtMillis: rapid.Int64Range(1, 2).Draw(t, "incarnation")}
			switch rapid.SampledFrom([]string{"answer", "break", "output", "list"}).Draw(t, "seen") {
			case "break":
				all[i].Suspect(now, e)
				continue
			case "output":
				all[i].RecordOutput(now, e, now.Add(-rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(t, "connected for")), time.Millisecond)
				all[i].EndSuspicions(now)
				continue
			case "list":
				all[i].Replace(now, e)
				continue
			}
			all[i].Observe(now, e, now.Add(-rapid.SampledFrom([]time.Duration{time.Microsecond, time.Second}).Draw(t, "age")),
				float64(rapid.IntRange(0, 2).Draw(t, "limit")), rapid.Bool().Draw(t, "limited"))
		}
		for range 2 {
			for from := range all {
				for to := range all {
					exchange(from, to)
				}
			}
		}
		want := all[0].Statements()
		for i, r := range all {
			got := r.Statements()
			if len(got) != len(want) || len(got) == 1 && got[0] != want[0] {
				t.Errorf("instance %d has %+v, the first one %+v", i, got, want)
			}
		}
	})
}

// Guards against statements that are kept for ever for endpoints that have gone, or dropped while the store has lost their entries.
func TestStatementsOfGoneEndpointsAreDropped(t *testing.T) {
	r := NewRegister()
	now := clock.Instant(time.Hour)
	r.Observe(now, endpoint, now-1, 1, true)
	none := func(string) bool { return false }
	r.Prune(now.Add(unlistedTTL-1), none)
	if _, limited := r.Limit(endpoint); !limited {
		t.Error("dropped too soon")
	}
	r.Prune(now.Add(unlistedTTL+1), none)
	if len(r.Statements()) != 0 {
		t.Error("not dropped")
	}
}
