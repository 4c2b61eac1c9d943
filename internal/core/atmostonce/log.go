package atmostonce

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// LogOptions are the settings of a Log.
type LogOptions struct {
	// Incarnation and Term make the tokens of this log's writes unique: Term differs between the logs of a process.
	Incarnation uint64
	LogNumber   uint32
	// Revision is the highest revision of the store that this instance has seen. A seal with a lower one shows that the
	// store has come back with older data.
	Revision int64
	Answers  *AnswerCache
	// Budget bounds the records. An attempt beyond it is refused.
	Budget *Budget
	// MaxQueue bounds the claims that wait for a write.
	MaxQueue int
	// MaxClaims bounds the claims of an entry.
	MaxClaims int
	// GroupDelay is how long the first claim of a group waits for others.
	GroupDelay time.Duration
	// ResultDelay is how long a result waits for an entry that is written anyway.
	ResultDelay time.Duration
	// ClaimTimeout is how long an attempt waits for its claim to be recorded.
	ClaimTimeout time.Duration
	// StoreRetryDelay is the delay between two tries at a store that fails.
	StoreRetryDelay time.Duration
	// RejectedRetryDelay is the delay before a refused write is tried again, doubled each time. A rate limit lets it through
	// then; after refusedTries the store counts as out.
	RejectedRetryDelay time.Duration
	// DeleteInterval is the longest pause between two deletions of entries.
	DeleteInterval time.Duration

	rules rules
}

// rules switches off single rules, so that tests can show that their checks find the fault.
type rules struct {
	noSeal     bool // a new owner writes no seal
	noSealRead bool // a new owner does not look for entries after its seal
	noReadBack bool // a write with an unknown outcome counts as done
	noHorizon  bool // records are deleted without a recorded horizon
	noTailKept bool // the last entry and seals are deleted like others
	anyBody    bool // a repeat with another body counts as the same request
	lateCancel bool // an attempt whose caller was told not-run is still sent
}

// DefaultLogOptions returns the options used in production, without the owner's identity and the shared bounds.
func DefaultLogOptions() LogOptions {
	return LogOptions{
		MaxQueue: 10_000,
		// An entry of 1,000 claims and as many results has about 50 KB, so that a page of a takeover stays under 16 MB.
		MaxClaims: 1_000,
		// The store answers in milliseconds. A shorter delay saves less than one answer time and costs more writes.
		GroupDelay: 3 * time.Millisecond,
		// Results wait for the next claims: at 0.8 claims a second, 98 in 100 need no entry of their own. A result that is
		// lost with its owner turns "ran" into "unknown", which is true but less useful.
		ResultDelay:        5 * time.Second,
		ClaimTimeout:       2 * time.Second,
		StoreRetryDelay:    500 * time.Millisecond,
		RejectedRetryDelay: 20 * time.Millisecond,
		DeleteInterval:     50 * time.Millisecond,
	}
}

type phase uint8

const (
	phaseNew phase = iota
	phaseReading
	phaseSealing
	phaseOpen
	phaseClosed
)

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

// flight is the one write that a log has under way.
type flight struct {
	entry   Entry
	ops     []*op
	doubt   bool // a try's outcome is unknown
	since   clock.Instant
	retryAt clock.Instant // 0 while a call is under way
	tries   int
	refused int // tries that certainly had no effect
}

// refusedTries is the number of refused tries of a write after which its attempts are refused.
const refusedTries = 3

type entryMeta struct {
	sequence  uint64
	newestKey int64
	seal      bool
}

// Log is the state of one slot at its owner. It is not safe for concurrent use.
type Log struct {
	o     LogOptions
	phase phase
	// draining refuses new attempts and writes results at once.
	draining bool
	last     uint64 // highest sequence known to exist
	sealed   uint64 // sequence of this log's own latest seal, 0 before
	number   uint32 // of the latest token
	horizon  int64
	// recordedHorizon is the horizon that an entry in the store carries.
	recordedHorizon int64
	// newestKey is the highest key time of all claims made or read.
	newestKey int64
	// lostHorizon is the horizon for later owners after the store has lost entries. This log still has their records.
	lostHorizon  int64
	revision     int64 // highest revision seen in the store
	recs         records
	ops          map[AttemptID]*op
	active       map[Key]*op
	queue        []*op
	results      []Result
	resultsSince clock.Instant
	flight       *flight
	entries      []entryMeta
	// checkedHorizon is the last time for which raiseHorizon has looked at the entries.
	checkedHorizon int64
	doomed         []entryMeta // no longer needed, still to be deleted
	doomedHorizon  int64       // recordedHorizon when doomed was last filled
	deletePause    time.Duration
	deleting       bool
	deleteAt       clock.Instant
	// nextDeadline is no later than the deadline of any waiting attempt, 0 for none.
	nextDeadline clock.Instant
	listAt       clock.Instant // time of the next List after a failed one, 0 for none
	// refuseUntil is the time up to which new attempts are refused at once after a failed write.
	refuseUntil clock.Instant
	// wakes are the requested times of Wake that have not come yet, the earliest last.
	wakes    []clock.Instant
	nextHour clock.Instant // of the next look for records past the retention
	out      []Action
}

// NewLog returns a log that takes no attempts before its takeover has finished.
func NewLog(o LogOptions) *Log {
	return &Log{o: o, revision: o.Revision, recs: records{budget: o.Budget}, ops: map[AttemptID]*op{}, active: map[Key]*op{}}
}

// Revision returns the highest revision seen in the store.
func (l *Log) Revision() int64 { return l.revision }

// Records returns the number of records held.
func (l *Log) Records() int { return l.recs.count }

// Horizon returns the time in Unix milliseconds before which keys are refused.
func (l *Log) Horizon() int64 { return l.horizon }

// Open reports whether the takeover is finished and the log takes attempts.
func (l *Log) Open() bool { return l.phase == phaseOpen }

// Step takes an event and returns the actions that follow from it.
func (l *Log) Step(now Time, ev Event) []Action {
	l.out = nil
	l.woken(now.Boot) // a wake that comes late must not hold back the next one
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

// wakeAt asks for Ticked unless it is already due at that instant or earlier.
func (l *Log) wakeAt(at clock.Instant) {
	if n := len(l.wakes); n > 0 && l.wakes[n-1] <= at {
		return
	}
	l.wakes = append(l.wakes, at)
	l.emit(Wake{at})
}

// woken forgets the wakes up to an instant. Later ones stay requested.
func (l *Log) woken(at clock.Instant) {
	for n := len(l.wakes); n > 0 && l.wakes[n-1] <= at; n-- {
		l.wakes = l.wakes[:n-1]
	}
}

func (l *Log) reply(o *op, e Execution, r Reason, answer any) {
	if o.replied {
		return
	}
	o.replied = true
	l.emit(Reply{o.id, e, r, answer})
}

// attempted decides on a request: refuse, answer as a repeat, or claim.
func (l *Log) attempted(now Time, e Attempted) {
	refuse := func(x Execution, r Reason) { l.emit(Reply{ID: e.ID, Execution: x, Reason: r}) }
	switch {
	case l.phase == phaseClosed, l.draining:
		refuse(NotRun, ReasonNotOwner)
		return
	case l.phase != phaseOpen:
		refuse(NotRun, ReasonTakeover)
		return
	}
	switch r := checkAge(e.KeyTime, l.horizon, now.Wall); r {
	case ReasonExpired:
		refuse(Unknown, r)
		return
	case ReasonKeyInFuture:
		refuse(NotRun, r)
		return
	}
	for _, id := range e.Idents {
		if rec, ok := l.recs.get(id.Key, e.KeyTime); ok {
			l.emit(repeat(e.ID, id, rec, l.o.Answers, l.o.rules.anyBody))
			return
		}
	}
	switch {
	case l.o.Budget.full(), len(l.queue) >= l.o.MaxQueue:
		refuse(NotRun, ReasonFull)
		return
	case now.Boot < l.refuseUntil, l.flight != nil && l.flight.doubt && now.Boot.Sub(l.flight.since) > l.o.ClaimTimeout:
		refuse(NotRun, ReasonStoreUnavailable)
		return
	}
	o := &op{id: e.ID, ident: e.Idents[0], keyTime: e.KeyTime, queued: now.Boot, deadline: now.Boot.Add(l.o.ClaimTimeout)}
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

// repeat returns the reply to a request whose key has a record.
func repeat(id AttemptID, ident Ident, rec record, answers *AnswerCache, anyBody bool) Reply {
	if rec.body != ident.Body && !anyBody {
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

// cancelled ends an attempt's wait. A request that was not sent yet never will be.
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
	if l.o.rules.lateCancel {
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

// release forgets an attempt that was not sent and whose claim is not in the log.
func (l *Log) release(o *op) {
	delete(l.ops, o.id)
	if l.active[o.ident.Key] == o {
		delete(l.active, o.ident.Key)
		l.recs.delete(o.ident.Key, o.keyTime)
	}
}

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
		l.o.Answers.Put(o.ident.Key, e.Answer, e.AnswerBytes)
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

// close ends the log at this instance. Requests already sent end normally.
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
	if l.flight != nil {
		for _, o := range l.flight.ops {
			l.reply(o, NotRun, ReasonNotOwner, nil)
			o.dropped = true
			l.release(o)
		}
		l.flight = nil
	}
	l.emit(Closed{})
}

// advance starts whatever is due.
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
			l.emit(List{l.last})
		}
	}
	if l.flight != nil && l.flight.retryAt != 0 {
		if now.Boot < l.flight.retryAt {
			l.wakeAt(l.flight.retryAt)
		} else {
			l.retry()
		}
	}
	if l.draining && len(l.ops) == 0 && l.flight == nil && len(l.results) == 0 {
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

// expireWaiting refuses the attempts whose claim was not recorded in time.
func (l *Log) expireWaiting(now Time) {
	if l.nextDeadline == 0 {
		return
	}
	if now.Boot < l.nextDeadline {
		l.wakeAt(l.nextDeadline)
		return
	}
	waiting := append([]*op(nil), l.queue...)
	if l.flight != nil {
		waiting = append(waiting, l.flight.ops...)
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
