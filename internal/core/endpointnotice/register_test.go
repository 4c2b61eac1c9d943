package endpointnotice

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Guards against a notice that an answer lifts which says nothing, or less, and against one that binds another incarnation.
func TestNoticesStayInForce(t *testing.T) {
	const now = clock.Instant(time.Hour)
	first, second := catalog.Incarnation{ID: "e", StartedAtMillis: 1}, catalog.Incarnation{ID: "e", StartedAtMillis: 2}
	r := NewRegister()
	for _, c := range []struct {
		after   time.Duration // since now
		said    Said
		changed bool
		want    Notice
	}{
		{0, Said{}, false, Notice{}},
		{0, Said{Wait: -time.Second}, false, Notice{}},
		{0, Said{Wait: 2 * time.Second}, true, Notice{WaitUntil: now.Add(2 * time.Second)}},
		{time.Second, Said{Wait: 500 * time.Millisecond}, false, Notice{WaitUntil: now.Add(2 * time.Second)}},
		{time.Second, Said{}, false, Notice{WaitUntil: now.Add(2 * time.Second)}},
		{time.Second, Said{Wait: 3 * time.Second}, true, Notice{WaitUntil: now.Add(4 * time.Second)}},
		{2 * time.Second, Said{Wait: 1000 * time.Hour}, true, Notice{WaitUntil: now.Add(2*time.Second + MaxWait)}},
		{3 * time.Second, Said{Leaving: true}, true, Notice{Leaving: true, WaitUntil: now.Add(2*time.Second + MaxWait)}},
		{4 * time.Second, Said{}, false, Notice{Leaving: true, WaitUntil: now.Add(2*time.Second + MaxWait)}},
	} {
		if got, changed := r.Observe(now.Add(c.after), first, c.said); changed != c.changed || got != c.want {
			t.Errorf("%+v: %+v, changed: %v, want %+v, %v", c.said, got, changed, c.want, c.changed)
		}
	}
	if r.Notice(first).Accepts(now.Add(time.Hour)) || !r.Notice(second).Accepts(now) {
		t.Error("the leaving incarnation accepts requests, or the next one does not")
	}
	if (&Register{}).Notice(first) != (Notice{}) || (*Register)(nil).Notice(first) != (Notice{}) {
		t.Error("an empty register holds a notice")
	}
}

// Guards against a time to wait that reaches instances which were not told, and against memory that grows with endpoints that are gone.
func TestAdviceAndPruning(t *testing.T) {
	r, now := NewRegister(), clock.Instant(time.Hour)
	e := func(i int) catalog.Incarnation {
		return catalog.Incarnation{ID: fmt.Sprint("e", i), StartedAtMillis: 7}
	}
	for i := range 6 {
		r.Observe(now, e(i), Said{Leaving: i%2 == 0, Wait: time.Duration(i) * time.Second})
	}
	want := []Advice{{e(0), true}, {e(2), true}, {e(4), true}}
	if got := r.Advice(now); !slices.Equal(got, want) {
		t.Errorf("advice %+v", got)
	}
	if leaving, waiting := r.Counts(now.Add(2 * time.Second)); leaving != 3 || waiting != 2 {
		t.Errorf("%d leave and %d wait", leaving, waiting)
	}
	other := NewRegister()
	for _, a := range want {
		if !other.Merge(now, a) || other.Merge(now, a) {
			t.Error("advice does not count once")
		}
	}
	listed := func(i catalog.Incarnation) bool { return i == e(0) }
	r.Prune(now.Add(10*time.Second), listed)
	if r.Len() != 3 {
		t.Errorf("%d notices after the last time to wait has ended", r.Len())
	}
	// Instances drop a notice at different times and must not learn of it from each other again.
	later := now.Add(unlistedTTL + time.Second)
	if got := r.Advice(later); len(got) != 1 || got[0] != want[0] {
		t.Errorf("advice on endpoints that are gone: %+v", got)
	}
	if r.Merge(later, want[1]) || len(r.Advice(later)) != 1 {
		t.Error("a notice that was dropped returns from another instance")
	}
	if r.Prune(now.Add(forgetAfter+11*time.Second), listed); r.Len() != 1 || r.Notice(e(0)).Accepts(now) {
		t.Errorf("%d notices after the endpoints are gone", r.Len())
	}
}
