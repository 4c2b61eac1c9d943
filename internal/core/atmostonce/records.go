package atmostonce

import "time"

// hourMillis is the width of a record bucket in milliseconds.
const hourMillis = int64(time.Hour / time.Millisecond)

type state uint8

const (
	// stateActive is a claim of this owner that has not ended.
	stateActive state = iota + 1
	stateRan
	stateUnknown
)

// record is kept small: an owner holds all records of 25 to 26 hours.
type record struct {
	body  Body
	state state
}

// Budget bounds the records that the logs and issuers of an instance hold together.
type Budget struct {
	max, used int
	answers   *AnswerCache // give way to records, may be nil
}

// NewBudget returns a budget for a number of records.
func NewBudget(records int) *Budget { return &Budget{max: records} }

// Used returns the number of records held.
func (b *Budget) Used() int { return b.used }

// LimitBytes bounds the records and answers together by a number of bytes, of which each record takes recordBytes. Answers give
// way to records: a record keeps an operation from running twice, while a repeat without the answer is still told that its
// operation ran.
func (b *Budget) LimitBytes(a *AnswerCache, bytes, recordBytes int) {
	a.room = func() int { return bytes - b.used*recordBytes }
	b.answers = a
	a.fit()
}

func (b *Budget) add(n int) {
	b.used += n
	if b.answers != nil && n > 0 {
		b.answers.fit()
	}
}

func (b *Budget) full() bool { return b.used >= b.max }

// records holds records in one map for each hour of key time, so that an hour is forgotten at once.
type records struct {
	budget *Budget
	hours  map[int64]map[Key]record
	count  int
}

func (r *records) add(n int) {
	r.count += n
	r.budget.add(n)
}

func (r *records) get(k Key, keyTime int64) (record, bool) {
	rec, ok := r.hours[keyTime/hourMillis][k]
	return rec, ok
}

func (r *records) put(k Key, keyTime int64, rec record) {
	if r.hours == nil {
		r.hours = map[int64]map[Key]record{}
	}
	hour := r.hours[keyTime/hourMillis]
	if hour == nil {
		hour = map[Key]record{}
		r.hours[keyTime/hourMillis] = hour
	}
	if _, ok := hour[k]; !ok {
		r.add(1)
	}
	hour[k] = rec
}

func (r *records) delete(k Key, keyTime int64) {
	hour := r.hours[keyTime/hourMillis]
	if _, ok := hour[k]; !ok {
		return
	}
	delete(hour, k)
	r.add(-1)
	if len(hour) == 0 {
		delete(r.hours, keyTime/hourMillis)
	}
}

// forget drops the hours that end at or before the horizon.
func (r *records) forget(horizon int64) {
	for h, m := range r.hours {
		if (h+1)*hourMillis <= horizon {
			r.add(-len(m))
			delete(r.hours, h)
		}
	}
}

// clear drops all records.
func (r *records) clear() {
	r.add(-r.count)
	r.hours = nil
}

// oldest returns the start of the oldest hour with records.
func (r *records) oldest() (start int64, ok bool) {
	for h := range r.hours {
		if !ok || h*hourMillis < start {
			start, ok = h*hourMillis, true
		}
	}
	return start, ok
}

// horizonAt returns the time before which records are no longer kept. It is a whole hour.
func horizonAt(wall int64) int64 {
	h := wall - (Retention + RetentionSlack).Milliseconds()
	return h - h%hourMillis
}

// checkAge returns the reason for which a key with this time is refused, or 0.
func checkAge(keyTime, horizon, wall int64) Reason {
	switch {
	case keyTime < horizon, keyTime < wall-Retention.Milliseconds():
		return ReasonExpired
	case keyTime > wall+MaxFuture.Milliseconds():
		return ReasonKeyInFuture
	}
	return 0
}

// AnswerCache holds first answers for repeats, the oldest of which make room for new ones. Several logs share it.
type AnswerCache struct {
	maxBytes, maxCount int
	bytes              int
	held               map[Key]heldAnswer
	order              []Key // oldest first, from position head
	head               int
	room               func() int // what the records leave in bytes; nil: maxBytes alone counts
}

type heldAnswer struct {
	value any
	bytes int
}

// answerOverhead is added to an answer's size for its map entry and its place in the order, in bytes.
const answerOverhead = 128

// NewAnswerCache returns an empty holder with bounds in bytes and number.
func NewAnswerCache(maxBytes, maxCount int) *AnswerCache {
	return &AnswerCache{maxBytes: maxBytes, maxCount: maxCount, held: map[Key]heldAnswer{}}
}

// Get returns the held answer of a key.
func (a *AnswerCache) Get(k Key) (any, bool) {
	h, ok := a.held[k]
	return h.value, ok
}

// Bytes returns the bytes in use, overhead included.
func (a *AnswerCache) Bytes() int { return a.bytes }

// Count returns the number of answers held.
func (a *AnswerCache) Count() int { return len(a.held) }

// Put holds an answer unless it is larger than a sixteenth of the bound at present, so that one answer does not displace most others.
func (a *AnswerCache) Put(k Key, value any, size int) {
	size += answerOverhead
	if size > a.limit()/16 || a.maxCount == 0 {
		return
	}
	if _, ok := a.held[k]; ok {
		return
	}
	a.held[k] = heldAnswer{value, size}
	a.bytes += size
	a.order = append(a.order, k)
	a.fit()
}

// limit is the bound in bytes at present.
func (a *AnswerCache) limit() int {
	if a.room == nil {
		return a.maxBytes
	}
	return max(min(a.maxBytes, a.room()), 0)
}

// fit drops the oldest answers until the bounds hold.
func (a *AnswerCache) fit() {
	for limit := a.limit(); len(a.held) > 0 && (a.bytes > limit || len(a.held) > a.maxCount); {
		a.dropOldest()
	}
}

func (a *AnswerCache) dropOldest() {
	k := a.order[a.head]
	a.head++
	a.bytes -= a.held[k].bytes
	delete(a.held, k)
	if a.head > len(a.order)/2 {
		a.order = append([]Key(nil), a.order[a.head:]...)
		a.head = 0
	}
}
