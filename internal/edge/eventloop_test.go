package edge

import (
	"cmp"
	"container/heap"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// eventLoop runs the events of a simulation in virtual time, in the order of their times and, at one time, of their scheduling.
type eventLoop struct {
	clk    *clock.Manual
	events eventHeap
	seq    int
}

// after schedules an event.
func (l *eventLoop) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.clk.Now().Add(d), seq: l.seq, do: do})
}

// runNext advances the clock to the next event and runs it.
func (l *eventLoop) runNext() {
	e := heap.Pop(&l.events).(event)
	l.clk.Advance(e.at.Sub(l.clk.Now()))
	e.do()
}

type event struct {
	at  clock.Instant
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
