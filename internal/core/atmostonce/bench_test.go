package atmostonce

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// benchLog returns an open log with room for the given number of records.
func benchLog(records int) (*Log, Time) {
	o := DefaultLogOptions()
	o.Incarnation = 1
	o.Answers = NewAnswerCache(1<<20, 1000)
	o.Budget = NewBudget(records)
	l := NewLog(o)
	now := Time{Boot: 1, Wall: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).UnixMilli()}
	l.Step(now, Opened{})
	var entry Entry
	for _, a := range l.Step(now, Listed{}) {
		if p, ok := a.(Put); ok {
			entry = p.Entry
		}
	}
	l.Step(now, Written{Token: entry.Token, Result: WriteDone, Revision: 1})
	l.Step(now, Listed{})
	return l, now
}

func benchIdent(i int) Ident {
	var id Ident
	binary.BigEndian.PutUint64(id.Key[:], uint64(i))
	return id
}

// BenchmarkDecision measures the steps of one request: attempt, group write, send and result. A request arrives every
// 100 microseconds, and the store responds at once.
func BenchmarkDecision(b *testing.B) {
	l, now := benchLog(1 << 40)
	b.ReportAllocs()
	n, sent := 0, 0
	var step func(Event)
	step = func(e Event) {
		for _, a := range l.Step(now, e) {
			switch a := a.(type) {
			case Put:
				step(Written{Token: a.Entry.Token, Result: WriteDone, Revision: int64(n)})
			case Send:
				sent++
				step(Finished{ID: a.ID, Execution: Ran, AnswerBytes: 200})
			}
		}
	}
	for b.Loop() {
		n++
		now.Boot = now.Boot.Add(100 * time.Microsecond)
		if n%10 == 0 {
			now.Wall++
		}
		step(Attempted{ID: AttemptID(n), Idents: []Ident{benchIdent(n)}, KeyTime: now.Wall})
	}
	if sent < n-100 {
		b.Fatalf("%d of %d operations were sent", sent, n)
	}
}

// BenchmarkRepeat measures the decision on a retry.
func BenchmarkRepeat(b *testing.B) {
	l, now := benchLog(1 << 20)
	for i := range 100_000 {
		l.recs.put(benchIdent(i).Key, now.Wall, record{state: stateRan})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		l.Step(now, Attempted{ID: 1, Idents: []Ident{benchIdent(i % 100_000)}, KeyTime: now.Wall})
	}
}

// BenchmarkRecordMemory measures the heap that a record takes, with records spread over 26 hours of key time.
func BenchmarkRecordMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var perRecord float64
			for b.Loop() {
				before := heap()
				l, now := benchLog(n)
				for i := range n {
					l.recs.put(benchIdent(i).Key, now.Wall-int64(i%26)*hourMillis, record{state: stateRan})
				}
				perRecord = float64(heap()-before) / float64(n)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(perRecord, "B/record")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTakeover measures loading the entries of a log, without the store.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			wall := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).UnixMilli()
			var l Listed
			for i := range n {
				e := Entry{Sequence: uint64(i + 1), NewestKey: wall, Claims: []Claim{{benchIdent(i), wall}}}
				if i > 0 {
					e.Results = []Result{{benchIdent(i - 1).Key, wall, true}}
				}
				l.Entries = append(l.Entries, e)
			}
			for b.Loop() {
				o := DefaultLogOptions()
				o.Answers = NewAnswerCache(0, 0)
				o.Budget = NewBudget(1 << 30)
				log := NewLog(o)
				now := Time{Boot: 1, Wall: wall}
				log.Step(now, Opened{})
				log.Step(now, l)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}

// BenchmarkStoreCalls counts the store calls of a slot in virtual time. For 30 hours, requests arrive at random with a given mean
// rate per second; the store responds in 3 ms and each request runs for 50 ms. Deletions are counted in the last 4 hours, when
// the retention of the first entries has ended.
func BenchmarkStoreCalls(b *testing.B) {
	for _, rate := range []float64{0.1, 0.8, 8} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			var c callCounts
			for b.Loop() {
				c = countCalls(rate, 30*time.Hour)
			}
			b.ReportMetric(float64(c.puts)/float64(c.operations), "puts/operation")
			b.ReportMetric(float64(c.lateDeletes)/float64(c.lateOperations), "deletes/operation")
			b.ReportMetric(float64(c.entries), "entries")
		})
	}
}

type callCounts struct {
	operations, puts            int
	lateOperations, lateDeletes int // in the last hours
	entries                     int
}

// timed is an event and the time at which the Log gets it.
type timed struct {
	at    clock.Instant
	event Event
}

// countCalls runs a slot with random requests and returns the number of its store calls.
func countCalls(rate float64, length time.Duration) callCounts {
	l, start := benchLog(1 << 40)
	rnd := rand.New(rand.NewPCG(1, 4))
	var c callCounts
	var pending []timed // few at any time, in no order
	now := start
	end := start.Boot.Add(length)
	late := end.Add(-4 * time.Hour)
	nextArrival := start.Boot
	step := func(e Event) {
		for _, a := range l.Step(now, e) {
			switch a := a.(type) {
			case Put:
				c.puts++
				w := Written{Token: a.Entry.Token, Result: WriteDone, Revision: int64(c.puts) + 1}
				pending = append(pending, timed{now.Boot.Add(3 * time.Millisecond), w})
			case Delete:
				if now.Boot > late {
					c.lateDeletes++
				}
				pending = append(pending, timed{now.Boot.Add(3 * time.Millisecond), Deleted{Sequence: a.Sequence}})
			case Send:
				pending = append(pending, timed{now.Boot.Add(50 * time.Millisecond), Finished{ID: a.ID, Execution: Ran}})
			case Wake:
				pending = append(pending, timed{a.At, Woken(a)})
			}
		}
	}
	for now.Boot < end {
		first := -1
		for i, p := range pending {
			if first < 0 || p.at < pending[first].at {
				first = i
			}
		}
		if first >= 0 && pending[first].at <= nextArrival {
			p := pending[first]
			pending[first] = pending[len(pending)-1]
			pending = pending[:len(pending)-1]
			now = at(start, max(now.Boot, p.at))
			step(p.event)
			continue
		}
		now = at(start, nextArrival)
		c.operations++
		if now.Boot > late {
			c.lateOperations++
		}
		step(Attempted{ID: AttemptID(c.operations), Idents: []Ident{benchIdent(c.operations)}, KeyTime: now.Wall})
		nextArrival = now.Boot.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
	}
	c.entries = len(l.entries) + len(l.toDelete)
	return c
}

// at returns the time on both clocks when the boot clock shows boot.
func at(start Time, boot clock.Instant) Time {
	return Time{Boot: boot, Wall: start.Wall + boot.Sub(start.Boot).Milliseconds()}
}
