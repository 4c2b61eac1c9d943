// Package endpointrate keeps the instances of a region together within the request rate that an endpoint accepts from all of them.
// An endpoint limits its rate while it is cold, and whenever its answers name a limit.
//
// A Register holds what endpoints have stated. Instances exchange their statements and keep the newest of each endpoint, in any
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

// Statement is what an incarnation of an endpoint has stated about the request rate that it accepts.
type Statement struct {
	Endpoint catalog.Incarnation
	Limited  bool
	Limit    float64 // requests per second from all instances together, if Limited
	// Version orders the statements of an incarnation. An instance that observes a change uses the next version.
	Version uint64
}

// supersedes reports whether s replaces o. Of two changes that instances have observed at the same time, the stricter one counts:
// if it is outdated, the endpoint's next answer corrects it.
func (s Statement) supersedes(o Statement) bool {
	if order := cmp.Or(cmp.Compare(s.Endpoint.StartedAtMillis, o.Endpoint.StartedAtMillis), cmp.Compare(s.Version, o.Version)); order != 0 {
		return order > 0
	}
	return s.rate() < o.rate()
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
	entries map[string]*entry // by the endpoint's id
	limited int               // number of entries with a limit
}

type entry struct {
	Statement
	statedAt   clock.Instant // when a limit was last named, as far as this instance knows
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
	e := r.entries[s.Endpoint.ID]
	if e == nil {
		e = &entry{Statement: Statement{Endpoint: s.Endpoint}, lastListed: now}
		r.entries[s.Endpoint.ID] = e
	} else if !s.supersedes(e.Statement) {
		return false
	}
	if e.Limited {
		r.limited--
	}
	e.Statement = s
	if s.Limited {
		r.limited++
		e.statedAt = now
	}
	return true
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
		if e.Limited {
			r.limited--
		}
		delete(r.entries, id)
	}
}
