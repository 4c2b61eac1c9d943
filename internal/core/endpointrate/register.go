// Package endpointrate keeps the instances of a region together within the request rate that an endpoint accepts from all of them.
// An endpoint limits its rate while it is cold, and whenever its answers name a limit.
//
// A Register holds what endpoints have stated, and which may have restarted: until its new entry is read, an endpoint that has started
// again under its old id looks like the one before, which was not cold. Instances exchange their statements and keep the newest of each endpoint, in any
// order and however often they receive it. The package does no I/O, reads no clock and is not safe for concurrent use.
package endpointrate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Statement is what is known of the request rate that an incarnation of an endpoint accepts.
type Statement struct {
	Endpoint catalog.Incarnation
	Limited  bool
	Limit    float64 // requests per second from all instances together, if Limited
	// Version orders what an incarnation has stated of its limit. An instance that observes a change uses the next version.
	Version uint64
	Restart Suspicion
}

// Bounded returns the statement with its limit in the range of 0 to MaxRate. ok is false if the limit is no number or the start is none of an
// endpoint, so that the statement says nothing.
func (s Statement) Bounded() (bounded Statement, ok bool) {
	if math.IsNaN(s.Limit) || s.Limit < 0 || !s.Endpoint.Valid() {
		return Statement{}, false
	}
	s.Limit = min(s.Limit, MaxRate)
	return s, true
}

// Suspicion says whether an incarnation may have ended, so that another one may be at its address.
type Suspicion struct {
	Raised  bool
	Version uint64 // orders the suspicions of an incarnation, 0: none was ever raised
}

// supersedes reports whether s replaces o: the later one does, and of two of the same version the one that is raised.
func (s Suspicion) supersedes(o Suspicion) bool {
	return s.Version > o.Version || s.Version == o.Version && s.Raised && !o.Raised
}

// limitSupersedes reports whether the limit of s replaces that of o, a statement of the same incarnation. Of two changes that instances
// have observed at the same time, the stricter one counts: if it is outdated, the endpoint's next answer corrects it.
func (s Statement) limitSupersedes(o Statement) bool {
	if s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.rate() < o.rate()
}

// mergedWith returns what two statements of an endpoint say together: those of a later incarnation replace the others.
func (s Statement) mergedWith(o Statement) Statement {
	switch order := cmp.Compare(s.Endpoint.StartedAtMillis, o.Endpoint.StartedAtMillis); {
	case order > 0:
		return s
	case order < 0:
		return o
	}
	if o.limitSupersedes(s) {
		s.Limited, s.Limit, s.Version = o.Limited, o.Limit, o.Version
	}
	if o.Restart.supersedes(s.Restart) {
		s.Restart = o.Restart
	}
	return s
}

func (s Statement) rate() float64 {
	if !s.Limited {
		return math.Inf(1)
	}
	return s.Limit
}

// unlistedTTL is how long the statement of an endpoint that is not listed is kept: entries may expire and return during an outage of
// the store.
const unlistedTTL = time.Minute

// Register holds the newest statement of each endpoint.
type Register struct {
	entries   map[string]*entry // by the endpoint's id
	limited   int               // number of entries with a limit
	suspected int               // number of entries with a raised suspicion
}

type entry struct {
	Statement
	statedAt    clock.Instant // when a limit was last named, as far as this instance knows
	suspectedAt clock.Instant // when the suspicion was last raised here, or arrived
	// suspectedSince is when the first suspicion was raised here, or arrived, of those that were raised one after the other.
	suspectedSince clock.Instant
	// warmAt is when an incarnation that was started after the crash is no longer cold, if an answer has arrived since; 0 without one.
	warmAt     clock.Instant
	lastListed clock.Instant
}

// NewRegister returns a register without statements.
func NewRegister() *Register { return &Register{entries: make(map[string]*entry)} }

// Observe records an answer of an endpoint to a request that was sent at sentAt, which names a limit or none. It reports whether that
// changes the endpoint's statement. An answer without a limit says nothing if its request was sent before the limit was named.
func (r *Register) Observe(now clock.Instant, endpoint catalog.Incarnation, sentAt clock.Instant, limit float64, limited bool) bool {
	s := Statement{Endpoint: endpoint, Limited: limited, Limit: limit, Version: 1}
	if !limited {
		s.Limit = 0
	}
	e := r.entries[endpoint.ID]
	if e == nil || e.Endpoint.StartedAtMillis < endpoint.StartedAtMillis {
		return limited && r.Merge(now, s)
	}
	if e.Endpoint != endpoint || !limited && (!e.Limited || sentAt <= e.statedAt) {
		return false
	}
	if limited {
		e.statedAt = now
	}
	if e.Limited == limited && e.Limit == s.Limit {
		return false
	}
	s.Version = e.Version + 1
	return r.Merge(now, s)
}

// Merge records a statement that another instance has observed, and reports whether it is newer than the one before.
func (r *Register) Merge(now clock.Instant, s Statement) bool {
	e, known := r.entries[s.Endpoint.ID]
	if !known {
		e = &entry{Statement: Statement{Endpoint: s.Endpoint}, lastListed: now}
		r.entries[s.Endpoint.ID] = e
	}
	before, next := e.Statement, e.mergedWith(s)
	if known && next == before {
		return false
	}
	r.count(before, -1)
	e.Statement = next
	r.count(next, 1)
	if next.Limited && (next.Version != before.Version || next.Endpoint != before.Endpoint || next.Limit != before.Limit) {
		e.statedAt = now
	}
	if next.Restart != before.Restart || next.Endpoint != before.Endpoint {
		if next.Endpoint != before.Endpoint || !before.Restart.Raised {
			e.suspectedSince = now
		}
		e.suspectedAt, e.warmAt = now, 0
	}
	return true
}

func (r *Register) count(s Statement, n int) {
	if s.Limited {
		r.limited += n
	}
	if s.Restart.Raised {
		r.suspected += n
	}
}

// Limit returns the limit that the endpoint has named, and false if it names none.
func (r *Register) Limit(endpoint catalog.Incarnation) (perSecond float64, limited bool) {
	e := r.entries[endpoint.ID]
	if e == nil || e.Endpoint != endpoint {
		return 0, false
	}
	return e.Limit, e.Limited
}

// Len returns the number of statements.
func (r *Register) Len() int { return len(r.entries) }

// Limited returns the number of endpoints that name a limit.
func (r *Register) Limited() int { return r.limited }

// Statements returns the newest statement of each endpoint, by id.
func (r *Register) Statements() []Statement {
	out := make([]Statement, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.Statement)
	}
	slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return out
}

// Prune drops the statements of endpoints that have not been listed for a while.
func (r *Register) Prune(now clock.Instant, listed func(id string) bool) {
	for id, e := range r.entries {
		if listed(id) {
			e.lastListed = now
			continue
		}
		if now.Sub(e.lastListed) <= unlistedTTL {
			continue
		}
		r.count(e.Statement, -1)
		delete(r.entries, id)
	}
}
