package atmostonce

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// LogOptions are the settings of a Log.
type LogOptions struct {
	// Incarnation and LogNumber make the tokens of this log's writes unique. LogNumber differs between the logs of a process.
	Incarnation uint64
	LogNumber   uint32
	// Revision is the highest revision of the store that this instance has seen. If a write gets a lower one, the store has
	// been restored from older data.
	Revision int64
	Answers  *AnswerCache
	// Budget bounds the records. Attempts beyond it are rejected.
	Budget *Budget
	// MaxQueue is the largest number of claims that wait to be written.
	MaxQueue int
	// MaxClaims is the largest number of claims, and of results, in an entry.
	MaxClaims int
	// GroupDelay is how long a claim waits for others to be written in the same entry.
	GroupDelay time.Duration
	// ResultDelay is how long a result waits for claims to be written in the same entry.
	ResultDelay time.Duration
	// ClaimTimeout is how long an attempt waits for its claim to be written.
	ClaimTimeout time.Duration
	// StoreRetryDelay is the delay before a failed store call is retried.
	StoreRetryDelay time.Duration
	// RejectedRetryDelay is the delay before a rejected write is retried, doubled each time. If a rate limit caused the
	// rejection, a retry succeeds; after maxRejectedRetries retries the store counts as unavailable.
	RejectedRetryDelay time.Duration
	// DeleteInterval is the longest pause between two deletions of entries.
	DeleteInterval time.Duration

	disabled disabledRules
}

// disabledRules disables single safety rules, so that tests can show that their checks detect a missing rule. The comments say what
// happens when a field is set.
type disabledRules struct {
	seal          bool // a new owner writes no seal
	readAfterSeal bool // a new owner does not check for entries after its seal
	readBack      bool // a write with an unknown outcome counts as done
	recordHorizon bool // records are deleted although the store has no horizon for them
	keepTail      bool // the last entry and seals are deleted like other entries
	compareBody   bool // a retry with another body counts as the same request
	dropCancelled bool // a request is still sent after the reply not-run
}

// DefaultLogOptions returns the options used in production. The caller sets the identity of the log and what it shares with others.
func DefaultLogOptions() LogOptions {
	return LogOptions{
		MaxQueue: 10_000,
		// An entry with 1,000 claims and as many results has about 50 KB, so that a page of a List stays under 16 MB.
		MaxClaims: 1_000,
		// The store responds within milliseconds. A shorter delay saves less time than one response takes, and costs more writes.
		GroupDelay: 3 * time.Millisecond,
		// Results wait for the next claims: at 0.8 claims a second, 98 in 100 need no entry of their own. If the owner fails
		// before it has written a result, retries get "unknown" instead of "ran", which is true but less useful.
		ResultDelay:        5 * time.Second,
		ClaimTimeout:       2 * time.Second,
		StoreRetryDelay:    500 * time.Millisecond,
		RejectedRetryDelay: 20 * time.Millisecond,
		DeleteInterval:     50 * time.Millisecond,
	}
}

// phase is the state of a Log: the takeover takes it from phaseNew to phaseOpen.
type phase uint8

const (
	phaseNew     phase = iota
	phaseReading       // the entries of earlier owners
	phaseSealing       // the seal is being written
	phaseOpen
	phaseClosed
)

// op is an attempt with a claim: waiting, being written, or sent.
type op struct {
	id       AttemptID
	ident    Ident
	keyTime  int64
	deadline clock.Instant
	queued   clock.Instant
	sent     bool
	replied  bool
	dropped  bool // must not be sent
}

// pendingWrite is the write in progress. A log has at most one.
type pendingWrite struct {
	entry          Entry
	ops            []*op
	outcomeUnknown bool // the outcome of a Put is unknown, so that the entry must be read back
	startedAt      clock.Instant
	retryAt        clock.Instant // 0 while a store call is in progress
	repeatedPuts   int           // repeated Puts since the last pause
	rejections     int           // Puts that the store has rejected
}

// maxRejectedRetries is the number of retries of a rejected write after which the waiting attempts are rejected.
const maxRejectedRetries = 3

// entryMeta is what the log keeps of an entry in the store, to decide when to delete it.
type entryMeta struct {
	sequence  uint64
	newestKey int64
	seal      bool
}

// Log is the state machine of one slot at its owner: it holds the slot's records and writes its log in the store. It is not
// safe for concurrent use.
type Log struct {
	opts  LogOptions
	phase phase
	// draining says that new attempts are rejected and results are written at once.
	draining     bool
	lastSequence uint64 // highest sequence number known to exist
	sealSequence uint64 // sequence number of this log's own latest seal, 0 before the first
	tokenNumber  uint32 // of the latest token
	horizon      int64  // keys with an earlier time are rejected
	// recordedHorizon is the highest horizon that an entry in the store has.
	recordedHorizon int64
	// newestKey is the highest key time of all claims made or read.
	newestKey int64
	// lostHorizon is the horizon for later owners after the store has lost entries. This log itself still has the lost records.
	lostHorizon  int64
	revision     int64 // highest revision seen in the store
	recs         records
	ops          map[AttemptID]*op
	active       map[Key]*op // the ops by key
	queue        []*op       // claims that wait to be written
	results      []Result    // results that wait to be written
	resultsSince clock.Instant
	pending      *pendingWrite
	entries      []entryMeta // in the store and not in toDelete
	// checkedHorizon is the highest horizon for which raiseHorizon has checked the records and entries.
	checkedHorizon  int64
	toDelete        []entryMeta   // entries that are no longer needed
	toDeleteHorizon int64         // recordedHorizon when toDelete was last filled
	deletePause     time.Duration // between two deletions
	deleting        bool          // a Delete is in progress
	deleteAt        clock.Instant // earliest time of the next Delete
	// nextDeadline is the earliest deadline of the attempts waiting for a write, or earlier; 0 for none.
	nextDeadline clock.Instant
	listAt       clock.Instant // time to retry a failed List, 0 for none
	// rejectUntil is the time until which new attempts are rejected at once, after a failed write.
	rejectUntil clock.Instant
	// wakes are the times of Wake actions that have not come yet, the earliest last.
	wakes    []clock.Instant
	nextHour clock.Instant // time of the next check for records to drop
	out      []Action      // actions of the current Step
}

// NewLog returns a log. It rejects attempts until its takeover, which starts with the event Opened, is finished.
func NewLog(o LogOptions) *Log {
	return &Log{opts: o, revision: o.Revision, recs: records{budget: o.Budget}, ops: map[AttemptID]*op{}, active: map[Key]*op{}}
}

// Revision returns the highest revision seen in the store.
func (l *Log) Revision() int64 { return l.revision }

// Records returns the number of records held.
func (l *Log) Records() int { return l.recs.count }

// Horizon returns the time in Unix milliseconds before which keys are rejected.
func (l *Log) Horizon() int64 { return l.horizon }

// Open reports whether the takeover is finished and the log is not closed.
func (l *Log) Open() bool { return l.phase == phaseOpen }

// Step handles an event and returns the actions to perform, in order.
func (l *Log) Step(now Time, ev Event) []Action {
	l.out = nil
	l.woken(now.Boot) // a late Woken event must not prevent the next Wake
	switch e := ev.(type) {
	case Opened:
		if l.phase == phaseNew {
			l.startReading()
		}
	case Listed:
		l.listed(now, e)
	case Attempted:
		l.attempted(now, e)
	case Cancelled:
		l.cancelled(e.ID, ReasonCancelled)
	case Written:
		l.written(now, e)
	case Fetched:
		l.fetched(now, e)
	case Finished:
		l.finished(now, e)
	case Deleted:
		l.deleted(now, e)
	case DrainStarted:
		l.draining = true
	case Resumed:
		l.draining = false
	case Woken:
		l.woken(e.At)
	}
	l.advance(now)
	return l.out
}

func (l *Log) emit(a Action) { l.out = append(l.out, a) }

// wakeAt emits a Wake for a time unless one is already requested for that time or earlier.
func (l *Log) wakeAt(at clock.Instant) {
	if n := len(l.wakes); n > 0 && l.wakes[n-1] <= at {
		return
	}
	l.wakes = append(l.wakes, at)
	l.emit(Wake{at})
}

// woken removes the requested wakes up to a time.
func (l *Log) woken(at clock.Instant) {
	for n := len(l.wakes); n > 0 && l.wakes[n-1] <= at; n-- {
		l.wakes = l.wakes[:n-1]
	}
}

// reply emits the reply to an attempt unless it has one already.
func (l *Log) reply(o *op, e Execution, r Reason, answer any) {
	if o.replied {
		return
	}
	o.replied = true
	l.emit(Reply{o.id, e, r, answer})
}

// attempted decides on a request: it is rejected, gets the reply to a retry, or is queued for a claim.
func (l *Log) attempted(now Time, e Attempted) {
	reject := func(x Execution, r Reason) { l.emit(Reply{ID: e.ID, Execution: x, Reason: r}) }
	switch {
	case l.phase == phaseClosed, l.draining:
		reject(NotRun, ReasonNotOwner)
		return
	case l.phase != phaseOpen:
		reject(NotRun, ReasonTakeover)
		return
	}
	switch r := checkAge(e.KeyTime, l.horizon, now.Wall); r {
	case ReasonExpired:
		reject(Unknown, r)
		return
	case ReasonKeyInFuture:
		reject(NotRun, r)
		return
	}
	for _, id := range e.Idents {
		if rec, ok := l.recs.get(id.Key, e.KeyTime); ok {
			l.emit(replyToRetry(e.ID, id, rec, l.opts.Answers, l.opts.disabled.compareBody))
			return
		}
	}
	switch {
	case l.opts.Budget.full(), len(l.queue) >= l.opts.MaxQueue:
		reject(NotRun, ReasonFull)
		return
	case now.Boot < l.rejectUntil, l.pending != nil && l.pending.outcomeUnknown && now.Boot.Sub(l.pending.startedAt) > l.opts.ClaimTimeout:
		reject(NotRun, ReasonStoreUnavailable)
		return
	}
	o := &op{id: e.ID, ident: e.Idents[0], keyTime: e.KeyTime, queued: now.Boot, deadline: now.Boot.Add(l.opts.ClaimTimeout)}
	if e.Deadline != 0 && e.Deadline < o.deadline {
		o.deadline = e.Deadline
	}
	l.ops[o.id] = o
	l.active[o.ident.Key] = o
	l.recs.put(o.ident.Key, o.keyTime, record{o.ident.Body, stateActive})
	l.newestKey = max(l.newestKey, o.keyTime)
	l.queue = append(l.queue, o)
	if l.nextDeadline == 0 || o.deadline < l.nextDeadline {
		l.nextDeadline = o.deadline
	}
}

// replyToRetry returns the reply to a retry: a request whose key has a record.
func replyToRetry(id AttemptID, ident Ident, rec record, answers *AnswerCache, ignoreBody bool) Reply {
	if rec.body != ident.Body && !ignoreBody {
		return Reply{ID: id, Execution: NotRun, Reason: ReasonBodyMismatch}
	}
	switch rec.state {
	case stateActive:
		return Reply{ID: id, Execution: Unknown, Reason: ReasonInProgress}
	case stateRan:
		if a, ok := answers.Get(ident.Key); ok {
			return Reply{ID: id, Execution: Ran, Reason: ReasonAnswer, Answer: a}
		}
		return Reply{ID: id, Execution: Ran, Reason: ReasonAnswerEvicted}
	default:
		return Reply{ID: id, Execution: Unknown, Reason: ReasonUnknown}
	}
}

// cancelled replies to an attempt that has not ended. If its request was not sent, it never will be.
func (l *Log) cancelled(id AttemptID, r Reason) {
	o := l.ops[id]
	if o == nil {
		return
	}
	if o.sent {
		l.reply(o, Unknown, r, nil)
		return
	}
	l.reply(o, NotRun, r, nil)
	if l.opts.disabled.dropCancelled {
		return
	}
	o.dropped = true
	for i, q := range l.queue {
		if q == o {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			l.release(o)
			return
		}
	}
}

// release removes an attempt that was not sent, and its record. If its claim is in the store, a result must follow (see recorded).
func (l *Log) release(o *op) {
	delete(l.ops, o.id)
	if l.active[o.ident.Key] == o {
		delete(l.active, o.ident.Key)
		l.recs.delete(o.ident.Key, o.keyTime)
	}
}

// finished records the result of a request that was sent and replies to the attempt.
func (l *Log) finished(now Time, e Finished) {
	o := l.ops[e.ID]
	if o == nil {
		return
	}
	delete(l.ops, o.id)
	if l.active[o.ident.Key] == o {
		delete(l.active, o.ident.Key)
	}
	if l.phase == phaseClosed {
		l.reply(o, e.Execution, ReasonRun, e.Answer)
		return
	}
	switch e.Execution {
	case Ran:
		l.recs.put(o.ident.Key, o.keyTime, record{o.ident.Body, stateRan})
		l.opts.Answers.Put(o.ident.Key, e.Answer, e.AnswerBytes)
		l.addResult(now, Result{o.ident.Key, o.keyTime, true})
	case NotRun:
		l.recs.delete(o.ident.Key, o.keyTime)
		l.addResult(now, Result{o.ident.Key, o.keyTime, false})
	default:
		l.recs.put(o.ident.Key, o.keyTime, record{o.ident.Body, stateUnknown})
	}
	l.reply(o, e.Execution, ReasonRun, e.Answer)
}

func (l *Log) addResult(now Time, r Result) {
	if len(l.results) == 0 {
		l.resultsSince = now.Boot
	}
	l.results = append(l.results, r)
}

// close ends the use of the log at this instance. Requests that were sent end normally.
func (l *Log) close() {
	if l.phase == phaseClosed {
		return
	}
	l.phase = phaseClosed
	for _, o := range l.queue {
		l.reply(o, NotRun, ReasonNotOwner, nil)
		l.release(o)
	}
	l.queue = nil
	l.results = nil
	l.recs.clear()
	if l.pending != nil {
		for _, o := range l.pending.ops {
			l.reply(o, NotRun, ReasonNotOwner, nil)
			o.dropped = true
			l.release(o)
		}
		l.pending = nil
	}
	l.emit(Closed{})
}

// advance starts the store calls that are due and requests wakes for later ones.
func (l *Log) advance(now Time) {
	if l.phase == phaseClosed {
		return
	}
	l.expireWaiting(now)
	if l.listAt != 0 {
		if now.Boot < l.listAt {
			l.wakeAt(l.listAt)
		} else {
			l.listAt = 0
			l.emit(List{l.lastSequence})
		}
	}
	if l.pending != nil && l.pending.retryAt != 0 {
		if now.Boot < l.pending.retryAt {
			l.wakeAt(l.pending.retryAt)
		} else {
			l.retry()
		}
	}
	if l.draining && len(l.ops) == 0 && l.pending == nil && len(l.results) == 0 {
		l.close()
		return
	}
	if l.phase != phaseOpen {
		return
	}
	l.raiseHorizon(now)
	l.startWrite(now)
	l.startDelete(now)
}

// expireWaiting rejects the attempts whose claim was not written in time.
func (l *Log) expireWaiting(now Time) {
	if l.nextDeadline == 0 {
		return
	}
	if now.Boot < l.nextDeadline {
		l.wakeAt(l.nextDeadline)
		return
	}
	waiting := append([]*op(nil), l.queue...)
	if l.pending != nil {
		waiting = append(waiting, l.pending.ops...)
	}
	l.nextDeadline = 0
	for _, o := range waiting {
		switch {
		case o.dropped:
		case now.Boot >= o.deadline:
			l.cancelled(o.id, ReasonStoreUnavailable)
		case l.nextDeadline == 0 || o.deadline < l.nextDeadline:
			l.nextDeadline = o.deadline
		}
	}
	if l.nextDeadline != 0 {
		l.wakeAt(l.nextDeadline)
	}
}
