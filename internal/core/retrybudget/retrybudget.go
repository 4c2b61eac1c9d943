// Package retrybudget limits how often requests are retried at further endpoints, by service and over all instances. Each
// instance limits its retries by its own requests and its share of a fixed allowance, so that instances need not communicate.
// The package does no I/O and is not safe for concurrent use.
package retrybudget

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Limits bound the retries of a service: in any window, at most Ratio times the requests plus Allowance.
type Limits struct {
	Ratio     float64
	Window    time.Duration
	Allowance float64 // shared by all instances
}

const (
	// slots is the number of slots of equal length into which a window is divided for counting.
	slots = 20
	// usableFraction is the fraction of the budget that is used. The rest covers retries that a restarted instance does not know
	// of, and the difference between the times of sending and arriving at the edges of a window.
	usableFraction = 0.6
)

// Budget counts the requests and retries of one instance.
type Budget struct {
	limits   Limits
	services map[string]*window
}

type window struct {
	slot     [slots]int64 // number of the time slot that is counted at each position
	requests [slots]int
	retries  [slots]int
}

// New returns an empty budget.
func New(limits Limits) *Budget { return &Budget{limits: limits, services: make(map[string]*window)} }

func (b *Budget) slot(now clock.Instant) int64 {
	return int64(now) / int64(max(1, b.limits.Window/slots))
}

func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}

// index returns the position of a time slot's counts and clears those of an older slot there.
func (w *window) index(slot int64) int {
	i := int(slot % slots)
	if w.slot[i] != slot {
		w.slot[i], w.requests[i], w.retries[i] = slot, 0, 0
	}
	return i
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now clock.Instant, service string) {
	w := b.window(service)
	w.requests[w.index(b.slot(now))]++
}

// AllowRetry reports whether a request may be sent to a further endpoint, and if so counts the retry. instances is the number of
// instances that share the allowance.
func (b *Budget) AllowRetry(now clock.Instant, service string, instances int) bool {
	w := b.window(service)
	current := b.slot(now)
	i := w.index(current)
	requests, retries := 0, 0
	for j := range slots {
		if current-w.slot[j] < slots {
			requests += w.requests[j]
			retries += w.retries[j]
		}
	}
	limit := usableFraction * (b.limits.Ratio*float64(requests) + b.limits.Allowance/float64(max(1, instances)))
	if float64(retries+1) > limit {
		return false
	}
	w.retries[i]++
	return true
}
