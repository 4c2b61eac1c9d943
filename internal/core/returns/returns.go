// Package returns tells rejected callers when there will be capacity for them, and recognises those that come back. The promises of
// an instance follow each other at its own placement rate, so that those of all instances together do not exceed the capacity of their
// region. The package does no I/O and is not safe for concurrent use.
package returns

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// MaxEntries bounds the rejections that are remembered: a region at the size expected in two years rejects some hundred
	// requests a second in an overload, and each is remembered for a second or two.
	MaxEntries = 4096
	// Slack is how much later than told a caller is still recognised: it may need a new connection, and a lost packet may have to
	// be sent again.
	Slack = 600 * time.Millisecond
	// earlySlack is how much earlier than told a caller may come: times are stated to callers in whole milliseconds, and timers
	// of machines differ by a little.
	earlySlack = 20 * time.Millisecond
	// reportDelay is how long a rejection takes at most until other instances of the region know it: a report and a digest. The
	// promised time that they derive is later by that much.
	reportDelay = 320 * time.Millisecond
	// promisedFraction is the fraction of the placement rate that is promised to callers who come back. The rest is for new requests.
	// In an overload of 3.5 times the capacity, a promise of the whole rate lowered the value of the answers by a further 8%.
	promisedFraction = 0.5
	// minRate is the lowest placement rate per second that is assumed, if none was measured lately.
	minRate = 0.5
	// callersFraction is the fraction of its remaining time that a caller waits for at most, as told to callers: a third.
	callersFraction = 0.33
)

// Schedule holds the promises of one instance for a service and urgency. The zero value is ready for use.
type Schedule struct {
	last clock.Instant // latest promised time
}

// Next returns when a rejected caller should come back: at earliest or later, one interval after the last promise. perSecond is the
// rate at which this instance places requests of the urgency, left the caller's remaining time, and latest the time until which a
// request that is placed can be on time. If the time is later than that or than the caller will wait, nothing is promised, and the time
// stays free for others: a late answer must not take the place of one that is on time.
func (s *Schedule) Next(now, earliest, latest clock.Instant, perSecond float64, left time.Duration) (at clock.Instant, promised bool) {
	interval := time.Duration(float64(time.Second) / max(perSecond*promisedFraction, minRate))
	at = max(earliest, s.last.Add(interval))
	if at > latest || at.Sub(now) > time.Duration(float64(left)*callersFraction) {
		return at, false
	}
	s.last = at
	return at, true
}

// Entry is a rejected request that may come back.
type Entry struct {
	Key          uint64        // of the prompt part that belongs to the request alone
	FirstArrived clock.Instant // when the caller sent the request first
	PromisedAt   clock.Instant // when it was promised capacity, 0 for no promise
	Expires      clock.Instant // when it is no longer expected
}

// Received returns the entry of a rejection by another instance, from what that instance has reported: the request's age, the time
// until it is no longer expected, and the time until its promise, 0 for none.
func Received(now clock.Instant, key uint64, age, validFor, promisedIn time.Duration) Entry {
	e := Entry{Key: key, FirstArrived: now.Add(-age), Expires: now.Add(validFor)}
	if promisedIn > 0 {
		e.PromisedAt = now.Add(promisedIn - reportDelay)
	}
	return e
}

// Arrival is what is known of a request that arrives.
type Arrival struct {
	First      clock.Instant // when its caller sent it first
	Returned   bool          // it was rejected before
	AsTold     bool          // it has come back at the promised time
	PromisedAt clock.Instant // of a request that has come back too early, 0 for none
}

// Table remembers rejected requests.
type Table struct {
	entries *simplelru.LRU[uint64, Entry]
}

// NewTable returns an empty table.
func NewTable() *Table {
	entries, err := simplelru.NewLRU[uint64, Entry](MaxEntries, nil)
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	return &Table{entries: entries}
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.entries.Len() }

// Add remembers a rejected request.
func (t *Table) Add(e Entry) { t.entries.Add(e.Key, e) }

// Forget removes a request that does not come back.
func (t *Table) Forget(key uint64) { t.entries.Remove(key) }

// Arrive returns what is known of a request that arrives now. It is forgotten, unless it is earlier than it was promised.
func (t *Table) Arrive(now clock.Instant, key uint64) Arrival {
	e, known := t.entries.Peek(key)
	if !known {
		return Arrival{First: now}
	}
	if now > e.Expires {
		t.entries.Remove(key)
		return Arrival{First: now}
	}
	a := Arrival{First: min(e.FirstArrived, now), Returned: true}
	if e.PromisedAt > 0 && now.Add(earlySlack) < e.PromisedAt {
		a.PromisedAt = e.PromisedAt
		return a
	}
	a.AsTold = e.PromisedAt > 0
	t.entries.Remove(key)
	return a
}
