package atmostonce

import (
	"slices"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Guards against wakes that accumulate, and against requests that wait for a wake that was not requested.
func TestWakesDoNotAccumulate(t *testing.T) {
	l, start := benchLog(1 << 20)
	var due []clock.Instant
	sent := 0
	step := func(now Time, events ...Event) {
		for len(events) > 0 {
			e := events[0]
			events = events[1:]
			for _, a := range l.Step(now, e) {
				switch a := a.(type) {
				case Wake:
					due = append(due, a.At)
				case Put:
					events = append(events, Written{Token: a.Entry.Token, Result: WriteDone, Revision: l.Revision() + 1})
				case Send:
					sent++
					events = append(events, Finished{ID: a.ID, Execution: Ran})
				}
			}
		}
	}
	const operations = 20_000 // over more than two hours
	for i := range operations {
		now := at(start, start.Boot.Add(time.Duration(i)*400*time.Millisecond))
		step(now, Attempted{ID: AttemptID(i + 1), Idents: []Ident{benchIdent(i)}, KeyTime: now.Wall})
		if len(due) > 10 {
			t.Fatalf("%d wakes are pending after %d operations, want at most 10", len(due), i)
		}
		for len(due) > 0 && slices.Min(due) < now.Boot.Add(400*time.Millisecond) {
			w := slices.Min(due)
			due = slices.Delete(due, slices.Index(due, w), slices.Index(due, w)+1)
			step(at(start, max(now.Boot, w)), Woken{w})
		}
		if sent != i+1 {
			t.Fatalf("%d of %d operations were sent", sent, i+1)
		}
	}
}
