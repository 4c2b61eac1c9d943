// Package endpointnotice holds what endpoints ask of their callers in their answers: that they are leaving, or that they want no requests
// for a time. Other than a request rate, which instances share (package endpointrate), these bind each instance by itself: it sends
// nothing or everything.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package endpointnotice

import (
	"cmp"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// MaxWait bounds the time for which an endpoint may ask for no requests: a wrong value must not exclude it for good.
const MaxWait = time.Minute

const (
	// unlistedTTL is how long other instances are told the notice of an endpoint that is not listed: entries may expire and return during
	// an outage of the store.
	unlistedTTL = time.Minute
	// forgetAfter is how long such a notice is kept. It is longer than unlistedTTL, so that instances which drop it at different times do
	// not learn of it again from each other.
	forgetAfter = 2 * unlistedTTL
)

// Said is what one answer of an endpoint asks.
type Said struct {
	Leaving bool          // the endpoint is leaving
	Wait    time.Duration // for which it wants no requests from the instance that gets the answer; 0: it does not ask for that
}

// Notice is what an incarnation of an endpoint has asked, and until when it binds.
type Notice struct {
	Leaving   bool          // for as long as the incarnation lasts
	WaitUntil clock.Instant // 0: it has never asked to wait
}

// Accepts reports whether the endpoint accepts requests of this instance.
func (n Notice) Accepts(now clock.Instant) bool { return !n.Leaving && now >= n.WaitUntil }

// with returns the notice after an answer. What an earlier answer has asked stays in force: an answer to an older request may arrive
// later, and an endpoint that is leaving does not come back as the same incarnation.
func (n Notice) with(now clock.Instant, said Said) Notice {
	n.Leaving = n.Leaving || said.Leaving
	if said.Wait > 0 {
		n.WaitUntil = max(n.WaitUntil, now.Add(min(said.Wait, MaxWait)))
	}
	return n
}

// Advice is the part of a notice that instances of a region tell each other. A time to wait is not part of it, since that binds only
// the instance which was told.
type Advice struct {
	Endpoint catalog.Incarnation
	Leaving  bool
}

// Register holds the notices of endpoints. A nil register holds none.
type Register struct {
	entries map[catalog.Incarnation]*entry
}

type entry struct {
	Notice
	lastListed clock.Instant
}

// NewRegister returns a register without notices.
func NewRegister() *Register { return &Register{entries: make(map[catalog.Incarnation]*entry)} }

// Observe records what an answer of an endpoint asks. It returns the notice and whether the answer has changed it.
func (r *Register) Observe(now clock.Instant, endpoint catalog.Incarnation, said Said) (Notice, bool) {
	before := r.Notice(endpoint)
	after := before.with(now, said)
	if after == before {
		return before, false
	}
	e := r.entries[endpoint]
	if e == nil {
		e = &entry{lastListed: now}
		r.entries[endpoint] = e
	}
	e.Notice = after
	return after, true
}

// Merge records what another instance knows of an endpoint, and reports whether that was not known here.
func (r *Register) Merge(now clock.Instant, a Advice) bool {
	_, changed := r.Observe(now, a.Endpoint, Said{Leaving: a.Leaving})
	return changed
}

// Notice returns what the endpoint has asked.
func (r *Register) Notice(endpoint catalog.Incarnation) Notice {
	if r == nil || len(r.entries) == 0 { // most often
		return Notice{}
	}
	if e := r.entries[endpoint]; e != nil {
		return e.Notice
	}
	return Notice{}
}

// Advice returns what other instances should know, by endpoint.
func (r *Register) Advice(now clock.Instant) []Advice {
	var out []Advice
	for endpoint, e := range r.entries {
		if e.Leaving && now.Sub(e.lastListed) <= unlistedTTL {
			out = append(out, Advice{Endpoint: endpoint, Leaving: true})
		}
	}
	slices.SortFunc(out, func(a, b Advice) int {
		return cmp.Or(cmp.Compare(a.Endpoint.ID, b.Endpoint.ID), cmp.Compare(a.Endpoint.StartedAtMillis, b.Endpoint.StartedAtMillis))
	})
	return out
}

// Len returns the number of notices.
func (r *Register) Len() int { return len(r.entries) }

// Counts returns the numbers of endpoints that are leaving and of those that have asked to wait until later than now.
func (r *Register) Counts(now clock.Instant) (leaving, waiting int) {
	for _, e := range r.entries {
		switch {
		case e.Leaving:
			leaving++
		case now < e.WaitUntil:
			waiting++
		}
	}
	return leaving, waiting
}

// Prune drops the notices that no longer bind, and those of incarnations that have not been listed for a while.
func (r *Register) Prune(now clock.Instant, listed func(catalog.Incarnation) bool) {
	for endpoint, e := range r.entries {
		if listed(endpoint) {
			e.lastListed = now
		}
		if e.Accepts(now) || now.Sub(e.lastListed) > forgetAfter {
			delete(r.entries, endpoint)
		}
	}
}
