// Package retrybudget bounds how often requests are sent to further endpoints, by service and over all instances. Each
// instance keeps to its own requests and to its part of the fixed allowance, so nothing has to be agreed. It is pure and not
// safe for concurrent use.
package retrybudget

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Limits bound the repeats of a service: in any window, at most Ratio times the requests plus Allowance.
type Limits struct {
	Ratio     float64
	Window    time.Duration
	Allowance float64 // over all instances
}

const (
	// slots is the number of parts of a window that are counted separately.
	slots = 20
	// use is the part of the budget that is spent. The rest covers what a restarted instance does not know of its
	// predecessor, and the difference between sending and arriving at the edges of a window.
	use = 0.6
)

// Budget counts the requests and repeats of one instance.
type Budget struct {
	terms    Limits
	services map[string]*window
}

type window struct {
	at       [slots]int64 // number of the part of time that a slot counts
	requests [slots]int
	repeats  [slots]int
}

// New returns an empty budget.
func New(terms Limits) *Budget { return &Budget{terms: terms, services: make(map[string]*window)} }

func (b *Budget) slot(now clock.Instant) int64 {
	return int64(now) / int64(b.terms.Window/slots)
}

func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}

func (w *window) part(slot int64) int {
	i := int(slot % slots)
	if w.at[i] != slot {
		w.at[i], w.requests[i], w.repeats[i] = slot, 0, 0
	}
	return i
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now clock.Instant, service string) {
	w := b.window(service)
	w.requests[w.part(b.slot(now))]++
}

// AllowRetry reports whether a request may be sent to a further endpoint, and counts it then. instances is the number of
// instances that share the allowance.
func (b *Budget) AllowRetry(now clock.Instant, service string, instances int) bool {
	w := b.window(service)
	current := b.slot(now)
	i := w.part(current)
	requests, repeats := 0, 0
	for j := range slots {
		if current-w.at[j] < slots {
			requests += w.requests[j]
			repeats += w.repeats[j]
		}
	}
	limit := use * (b.terms.Ratio*float64(requests) + b.terms.Allowance/float64(max(1, instances)))
	if float64(repeats+1) > limit {
		return false
	}
	w.repeats[i]++
	return true
}
