package atmostonce

import "time"

// hourMillis is an hour in milliseconds. Records are grouped by the hour of their key time.
const hourMillis = int64(time.Hour / time.Millisecond)

// state says what is known of the request of a record.
type state uint8

const (
	// stateActive means that the request was claimed by this owner and has not ended.
	stateActive state = iota + 1
	stateRan
	stateUnknown
)

// record is the record of one key. It must be small, since an owner holds all records of 25 to 26 hours.
type record struct {
	body  Body
	state state
}

// Budget bounds the number of records that all Logs and IssuedRecords of an instance hold together.
type Budget struct {
	max, used int
	answers   *AnswerCache // shrinks as the number of records grows; may be nil
}

// NewBudget returns a budget for a number of records.
func NewBudget(records int) *Budget { return &Budget{max: records} }

// Used returns the number of records held.
func (b *Budget) Used() int { return b.used }

// LimitBytes bounds the total size of records and cached answers in bytes. Each record counts as recordBytes. Answers are evicted
// to make room for records: a record prevents a request from running twice, while a retry without a cached answer still learns
// that its request ran.
func (b *Budget) LimitBytes(a *AnswerCache, bytes, recordBytes int) {
	a.available = func() int { return bytes - b.used*recordBytes }
	b.answers = a
	a.evictToFit()
}

func (b *Budget) add(n int) {
	b.used += n
	if b.answers != nil && n > 0 {
		b.answers.evictToFit()
	}
}

func (b *Budget) full() bool { return b.used >= b.max }

// records holds records in one map for each hour of key time, so that a whole hour can be dropped at once.
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

// dropBefore drops the records of the hours that end at or before the horizon.
func (r *records) dropBefore(horizon int64) {
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

// oldest returns the start of the oldest hour that has records, in Unix milliseconds.
func (r *records) oldest() (start int64, ok bool) {
	for h := range r.hours {
		if !ok || h*hourMillis < start {
			start, ok = h*hourMillis, true
		}
	}
	return start, ok
}

// horizonAt returns the time before which records are not kept at a wall time, rounded down to a whole hour, in Unix milliseconds.
func horizonAt(wall int64) int64 {
	h := wall - (Retention + RetentionSlack).Milliseconds()
	return h - h%hourMillis
}

// checkAge returns the reason for rejecting a key with the given time, 0 if it is accepted.
func checkAge(keyTime, horizon, wall int64) Reason {
	switch {
	case keyTime < horizon, keyTime < wall-Retention.Milliseconds():
		return ReasonExpired
	case keyTime > wall+MaxFuture.Milliseconds():
		return ReasonKeyInFuture
	}
	return 0
}

// AnswerCache holds the answers of requests that ran, for retries. It evicts the oldest answers first. All logs of an instance
// share one.
type AnswerCache struct {
	maxBytes, maxCount int
	bytes              int
	held               map[Key]heldAnswer
	order              []Key // oldest first, from position head
	head               int
	available          func() int // bytes that the records leave; nil: only maxBytes applies
}

type heldAnswer struct {
	value any
	bytes int
}

// answerOverhead is the size in bytes that is added to each answer for its entries in held and order.
const answerOverhead = 128

// NewAnswerCache returns an empty cache with a bound on the bytes and on the number of answers.
func NewAnswerCache(maxBytes, maxCount int) *AnswerCache {
	return &AnswerCache{maxBytes: maxBytes, maxCount: maxCount, held: map[Key]heldAnswer{}}
}

// Get returns the cached answer for a key.
func (a *AnswerCache) Get(k Key) (any, bool) {
	h, ok := a.held[k]
	return h.value, ok
}

// Bytes returns the total size of the answers, overhead included.
func (a *AnswerCache) Bytes() int { return a.bytes }

// Count returns the number of cached answers.
func (a *AnswerCache) Count() int { return len(a.held) }

// Put caches an answer unless it is larger than a sixteenth of the current bound, so that one answer does not evict most others.
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
	a.evictToFit()
}

// limit returns the current bound in bytes.
func (a *AnswerCache) limit() int {
	if a.available == nil {
		return a.maxBytes
	}
	return max(min(a.maxBytes, a.available()), 0)
}

// evictToFit evicts the oldest answers until the bounds are met.
func (a *AnswerCache) evictToFit() {
	for limit := a.limit(); len(a.held) > 0 && (a.bytes > limit || len(a.held) > a.maxCount); {
		a.evictOldest()
	}
}

func (a *AnswerCache) evictOldest() {
	k := a.order[a.head]
	a.head++
	a.bytes -= a.held[k].bytes
	delete(a.held, k)
	if a.head > len(a.order)/2 {
		a.order = append([]Key(nil), a.order[a.head:]...)
		a.head = 0
	}
}
