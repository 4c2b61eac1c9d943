// Package membudget keeps one account of the memory that a process holds on behalf of others, and decides who is rejected or closed first
// when the account runs short. The package does no I/O and is not safe for concurrent use, except for Holder.Progressed.
package membudget

import (
	"sync/atomic"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Kind says what bytes are held for.
type Kind int

// Kinds of holders. Only holders of kind Arriving are closed to make room.
const (
	Connections Kind = iota // open connections of callers, at a fixed cost each
	Arriving                // requests whose body has not arrived whole
	Requests                // requests that have arrived, wait or are at an endpoint
	Forwarded               // attempts for instances of other regions
	Answers                 // endpoints' answers that their callers have not read yet
	Messages                // messages of other instances that have not been handled yet
	kinds
)

// Kinds are the names of all kinds, in order.
var Kinds = [...]string{"connections", "arriving", "requests", "forwarded", "answers", "messages"}

// StallAfter is how long an arriving body may bring less than its portion before it counts as stalled while others need its memory. A lost
// packet is sent again within a second over a wide area.
const StallAfter = 2 * time.Second

const (
	// smallBytes is the size up to which a holder may use the reserve of the account.
	smallBytes = 64 << 10
	// reserveFraction is the fraction of the account that only small holders use, so that ordinary requests are served while large
	// bodies fill the rest.
	reserveFraction = 0.125
	// answersFraction is the fraction of the account for answers that their callers have not read, so that callers which do not read leave
	// room for requests.
	answersFraction = 0.125
	// minAnswers is the least part for answers in bytes, if half of the account holds it: one of the largest usual size.
	minAnswers = 4 << 20
	// connectionsFraction is the same for open connections, which may send nothing.
	connectionsFraction = 0.5
)

// Client identifies whom a holder belongs to. Empty fields are not known.
type Client struct {
	Addr string // without port
	Key  string // the owner of the API key
}

// Holder is a user of the account, such as one request.
type Holder struct {
	// Owner is not used by the account.
	Owner    any
	kind     Kind
	client   Client
	bytes    int64
	progress atomic.Int64 // clock.Instant at which the last portion of a body had arrived
	closing  bool         // it was chosen to make room
	index    int          // in Account.arriving, if its kind is Arriving
}

// Bytes returns what the holder holds.
func (h *Holder) Bytes() int64 { return h.bytes }

// Closing reports whether the holder was chosen to make room.
func (h *Holder) Closing() bool { return h.closing }

// Progressed records that a portion of the body has arrived. It may be called at any time.
func (h *Holder) Progressed(now clock.Instant) { h.progress.Store(int64(now)) }

// Account is the memory held by kind, in bytes.
type Account struct {
	limit    int64
	used     int64
	byKind   [kinds]int64
	arriving []*Holder // oldest first
	closing  int64     // held by holders that were chosen to make room
}

// New returns an account of limit bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Limit returns the size of the account in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the bytes held by all holders.
func (a *Account) Used() int64 { return a.used }

// Held returns the bytes held by holders of a kind.
func (a *Account) Held(k Kind) int64 { return a.byKind[k] }

// Open adds a holder that holds nothing yet.
func (a *Account) Open(now clock.Instant, kind Kind, client Client) *Holder {
	h := &Holder{kind: kind, client: client}
	if kind == Arriving {
		h.Progressed(now)
		h.index = len(a.arriving)
		a.arriving = append(a.arriving, h)
	}
	return h
}

// Outcome is the decision on a demand for memory.
type Outcome int

// Outcomes of Grow.
const (
	Granted  Outcome = iota
	Wait             // there will be room when holders that were chosen have released theirs
	Rejected         // there is no room, and none that may be made for this holder
)

// Grow asks for n more bytes. The holders returned are to be closed; each is returned once. Stalled bodies are chosen first, the one that
// has stalled longest before the others; then bodies of the client address or key whose bodies hold most, the youngest first, so that
// older ones can complete. A demand is rejected if its own holder would be chosen.
func (a *Account) Grow(now clock.Instant, h *Holder, n int64) (Outcome, []*Holder) {
	if h.closing || a.overAnswers(h, n) {
		return Rejected, nil
	}
	if a.Fits(h, n) {
		a.add(h, n)
		return Granted, nil
	}
	need := a.used + n - a.limitFor(h, n) - a.closing
	var chosen []*Holder
	for need > 0 {
		victim := a.longestStalled(now, h)
		if victim == nil {
			victim = a.youngestOfLargest(h, n)
		}
		if victim == nil || victim == h {
			return Rejected, chosen
		}
		victim.closing = true
		a.closing += victim.bytes
		need -= victim.bytes
		chosen = append(chosen, victim)
	}
	return Wait, chosen
}

// limitFor returns up to which sum of all holders a holder may grow by n bytes.
func (a *Account) limitFor(h *Holder, n int64) int64 {
	if h.bytes+n <= smallBytes {
		return a.limit
	}
	return a.limit - int64(float64(a.limit)*reserveFraction)
}

// Fits reports whether h may hold n more bytes without closing another one.
func (a *Account) Fits(h *Holder, n int64) bool {
	return !h.closing && !a.overAnswers(h, n) && a.used+n <= a.limitFor(h, n)
}

// overAnswers reports whether n more bytes for h would exceed the part of the account for answers.
func (a *Account) overAnswers(h *Holder, n int64) bool {
	return h.kind == Answers && float64(a.byKind[Answers]+n) > max(float64(a.limit)*answersFraction, min(minAnswers, float64(a.limit)/2))
}

// TooManyConnections reports whether open connections hold more than their part of the account, or anything while it is over its limit.
func (a *Account) TooManyConnections() bool {
	return a.used > a.limit || float64(a.byKind[Connections]) > float64(a.limit)*connectionsFraction
}

// Force adds n bytes that are held in any case, also beyond the limit.
func (a *Account) Force(h *Holder, n int64) { a.add(h, n) }

func (a *Account) add(h *Holder, n int64) {
	h.bytes += n
	a.used += n
	a.byKind[h.kind] += n
	if h.closing {
		a.closing += n
	}
}

// Shrink gives n bytes back.
func (a *Account) Shrink(h *Holder, n int64) { a.add(h, -n) }

// Arrived turns an arriving holder into a request, which is not closed any more. It returns false if the holder was chosen before.
func (a *Account) Arrived(h *Holder) bool {
	if h.closing {
		return false
	}
	a.leaveArriving(h)
	a.byKind[h.kind] -= h.bytes
	h.kind = Requests
	a.byKind[h.kind] += h.bytes
	return true
}

// Close gives back all that the holder holds.
func (a *Account) Close(h *Holder) {
	a.Shrink(h, h.bytes)
	if h.kind == Arriving {
		a.leaveArriving(h)
	}
}

func (a *Account) leaveArriving(h *Holder) {
	if h.index >= len(a.arriving) || a.arriving[h.index] != h {
		return
	}
	last := len(a.arriving) - 1
	copy(a.arriving[h.index:], a.arriving[h.index+1:])
	a.arriving[last] = nil
	a.arriving = a.arriving[:last]
	for i := h.index; i < last; i++ {
		a.arriving[i].index = i
	}
}

// longestStalled returns the arriving body that has stalled longest, other than that of h.
func (a *Account) longestStalled(now clock.Instant, h *Holder) *Holder {
	var found *Holder
	for _, c := range a.arriving {
		since := c.progress.Load()
		if c == h || c.closing || c.bytes == 0 || now.Sub(clock.Instant(since)) < StallAfter {
			continue
		}
		if found == nil || since < found.progress.Load() {
			found = c
		}
	}
	return found
}

// youngestOfLargest returns the youngest arriving body of the client whose bodies hold most, if h is to hold n bytes more.
func (a *Account) youngestOfLargest(h *Holder, n int64) *Holder {
	addrs, keys := make(map[string]int64), make(map[string]int64)
	count := func(c *Holder, bytes int64) {
		if c.client.Addr != "" {
			addrs[c.client.Addr] += bytes
		}
		if c.client.Key != "" {
			keys[c.client.Key] += bytes
		}
	}
	for _, c := range a.arriving {
		if !c.closing {
			count(c, c.bytes)
		}
	}
	count(h, n)
	var found *Holder
	var most int64
	for _, c := range a.arriving { // of equal clients, the last one: the youngest holder
		if c.closing || c.bytes == 0 && c != h {
			continue
		}
		if sum := max(addrs[c.client.Addr], keys[c.client.Key]); found == nil || sum >= most {
			found, most = c, sum
		}
	}
	return found
}
