package atmostonce

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chooser returns a random number in [0, n).
type chooser func(n int) int

// simKey is a key and what its requests did.
type simKey struct {
	key     Key
	time    int64
	live    int // sends that are in progress or may have run
	ran     int // executions at the endpoint
	ranBody byte
}

// simAttempt is one attempt of a request.
type simAttempt struct {
	id      AttemptID
	key     *simKey
	body    byte
	proc    *simProc
	sent    bool
	notRun  bool // the send ended as not-run
	ended   bool
	replied *Reply
}

// simCall is a store call in progress. A write may take effect after its response, after its caller has crashed, and twice.
type simCall struct {
	proc      *simProc
	action    Action
	applied   bool
	result    Event // of the application
	responded bool  // the caller has a response
}

// simProc is one process with its log.
type simProc struct {
	log     *Log
	skew    time.Duration // of its wall clock
	crashed bool
}

// sim runs the logs of one slot at several processes against one store, in a generated schedule.
type sim struct {
	choose   chooser
	disabled disabledRules
	budget   int
	jumps    int // one in this many time steps is a jump of hours
	now      Time
	store    map[uint64]Entry
	revision int64
	procs    []*simProc
	calls    []*simCall
	running  []*simAttempt
	attempts map[AttemptID]*simAttempt
	keys     []*simKey
	seen     map[string]int // number of times that each situation occurred
	err      error          // first violation
}

func newSim(choose chooser, r disabledRules, budget int) *sim {
	start := time.Date(2026, 12, 4, 0, 30, 0, 0, time.UTC).UnixMilli()
	return &sim{
		choose:   choose,
		disabled: r,
		budget:   budget,
		jumps:    []int{24, 5}[choose(2)],
		now:      Time{Boot: 1, Wall: start},
		store:    map[uint64]Entry{},
		attempts: map[AttemptID]*simAttempt{},
		seen:     map[string]int{},
	}
}

func (s *sim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// takeOver starts a log at a new process. Earlier owners are not notified.
func (s *sim) takeOver() {
	skews := []time.Duration{0, 0, 0, 0, 10 * time.Minute, -10 * time.Minute, 30 * time.Hour, -30 * time.Hour}
	o := DefaultLogOptions()
	o.Incarnation = uint64(len(s.procs) + 1)
	o.Answers = NewAnswerCache(64<<10, 2)
	o.Budget = NewBudget(s.budget)
	o.MaxClaims = 2
	o.disabled = s.disabled
	p := &simProc{log: NewLog(o), skew: skews[s.choose(len(skews))]}
	s.procs = append(s.procs, p)
	s.seen["takeover"]++
	s.step(p, Opened{})
}

func (s *sim) step(p *simProc, e Event) {
	if p.crashed {
		return
	}
	now := s.now
	now.Wall += p.skew.Milliseconds()
	for _, a := range p.log.Step(now, e) {
		s.perform(p, a)
	}
}

func (s *sim) perform(p *simProc, a Action) {
	switch a := a.(type) {
	case Put, Get, List, Delete:
		s.calls = append(s.calls, &simCall{proc: p, action: a})
	case Send:
		s.send(s.attempts[a.ID])
	case Reply:
		s.reply(s.attempts[a.ID], a)
	case Ready:
		s.seen["ready"]++
	case Closed:
		s.seen["closed"]++
	}
}

// send starts a request and checks that it may be sent.
func (s *sim) send(a *simAttempt) {
	s.seen["send"]++
	switch {
	case a.sent:
		s.failf("attempt %d is sent twice", a.id)
	case a.replied != nil && a.replied.Execution == NotRun:
		s.failf("attempt %d is sent after the answer not-run (reason %d)", a.id, a.replied.Reason)
	case a.key.live > 0:
		s.failf("attempt %d sends a key that was sent before", a.id)
	}
	a.sent = true
	a.key.live++
	s.running = append(s.running, a)
}

// reply checks a reply against what happened at the endpoint.
func (s *sim) reply(a *simAttempt, r Reply) {
	s.seen[fmt.Sprintf("reason %d", r.Reason)]++
	if a.replied != nil {
		s.failf("attempt %d has two replies", a.id)
	}
	a.replied = &r
	switch {
	case r.Execution == NotRun && a.sent && !a.notRun:
		s.failf("attempt %d is answered not-run after its send", a.id)
	case r.Execution == Ran && a.key.ran == 0:
		s.failf("attempt %d is answered ran, but its key never ran", a.id)
	case r.Execution == Ran && a.key.ranBody != a.body:
		s.failf("attempt %d has a body that did not run and is answered ran", a.id)
	case r.Answer != nil && r.Answer != a.key:
		s.failf("attempt %d gets the answer of another key", a.id)
	}
}

// runStep ends a request in progress with a random result, or leaves it running.
func (s *sim) runStep() {
	if len(s.running) == 0 {
		return
	}
	i := s.choose(len(s.running))
	a := s.running[i]
	f := Finished{ID: a.id}
	switch s.choose(8) {
	case 0:
		f.Execution = NotRun
		a.notRun = true
		a.key.live--
	case 1:
		f.Execution = Unknown
		if s.choose(2) == 0 {
			s.execute(a)
		}
	case 2, 3, 4, 5:
		s.execute(a)
		f.Execution, f.Answer, f.AnswerBytes = Ran, a.key, 100
	default:
		return
	}
	a.ended = true
	s.running = append(s.running[:i], s.running[i+1:]...)
	s.step(a.proc, f)
}

func (s *sim) execute(a *simAttempt) {
	a.key.ran++
	a.key.ranBody = a.body
	if a.key.ran > 1 {
		s.failf("a key ran twice")
	}
}

func (s *sim) newKey() *simKey {
	var k Key
	n := len(s.keys)
	k[0], k[1] = byte(n), byte(n>>8)
	sk := &simKey{key: k, time: s.now.Wall}
	s.keys = append(s.keys, sk)
	return sk
}

// attempt makes an attempt at the log of a recent owner, which may not own the slot any more.
func (s *sim) attempt() {
	if last := s.procs[len(s.procs)-1]; (last.crashed || last.log.phase == phaseClosed || last.log.draining) && s.choose(3) == 0 {
		s.takeOver()
	}
	// Mostly the latest owner, sometimes an earlier one that may not know that it was replaced.
	p := s.procs[max(0, len(s.procs)-1-max(0, s.choose(6)-3))]
	if p.crashed {
		return
	}
	var k *simKey
	if len(s.keys) == 0 || s.choose(4) == 0 {
		k = s.newKey()
	} else {
		k = s.keys[len(s.keys)-1-s.choose(min(3, len(s.keys)))]
	}
	a := &simAttempt{id: AttemptID(len(s.attempts) + 1), key: k, body: byte(s.choose(5) / 4), proc: p}
	s.attempts[a.id] = a
	e := Attempted{ID: a.id, Idents: []Ident{{Key: k.key, Body: Body{a.body}}}, KeyTime: k.time}
	if s.choose(4) == 0 {
		e.Deadline = s.now.Boot.Add(time.Duration(s.choose(1000)) * time.Millisecond)
	}
	s.step(p, e)
}

// apply makes a store call take effect.
func (s *sim) apply(c *simCall) Event {
	switch a := c.action.(type) {
	case Put:
		w := Written{Token: a.Entry.Token, Result: WriteDone}
		if _, ok := s.store[a.Entry.Sequence]; ok {
			w.Result = WriteConflict
			s.seen["conflict"]++
			return w
		}
		s.revision++
		w.Revision = s.revision
		e := a.Entry
		e.Revision = s.revision
		s.store[e.Sequence] = e
		return w
	case Get:
		e, ok := s.store[a.Sequence]
		if !ok {
			return Fetched{Sequence: a.Sequence, Result: ReadAbsent}
		}
		return Fetched{Sequence: a.Sequence, Result: ReadFound, Token: e.Token, Revision: e.Revision}
	case List:
		return s.list(a.After)
	case Delete:
		s.seen["delete"]++
		delete(s.store, a.Sequence)
		return Deleted{Sequence: a.Sequence}
	}
	return nil
}

func (s *sim) list(after uint64) Listed {
	const page = 6
	l := Listed{}
	for {
		next := uint64(0)
		for seq := range s.store {
			if seq > after && (next == 0 || seq < next) {
				next = seq
			}
		}
		switch {
		case next == 0:
			return l
		case len(l.Entries) == page:
			l.More = true
			return l
		}
		l.Entries = append(l.Entries, s.store[next])
		after = next
	}
}

// fault returns the response to a failed call. A rejected call had no effect; otherwise the response was lost.
func fault(a Action, rejected bool) Event {
	switch a := a.(type) {
	case Put:
		if rejected {
			return Written{Token: a.Entry.Token, Result: WriteRejected}
		}
		return Written{Token: a.Entry.Token, Result: WriteUnknown}
	case Get:
		return Fetched{Sequence: a.Sequence, Result: ReadFailed}
	case List:
		return Listed{Failed: true}
	case Delete:
		return Deleted{Sequence: a.Sequence, Failed: true}
	}
	return nil
}

// callStep takes one store call a step further. A call whose response is lost may still take effect, once or twice.
func (s *sim) callStep() {
	if len(s.calls) == 0 {
		return
	}
	i := s.choose(len(s.calls))
	if s.choose(4) != 0 {
		// Mostly a recent call, so that takeovers finish between the faults.
		i = len(s.calls) - 1 - s.choose(min(3, len(s.calls)))
	}
	c := s.calls[i]
	drop := func() { s.calls = append(s.calls[:i], s.calls[i+1:]...) }
	switch s.choose(10) {
	case 0: // rejected, if it had no effect
		if c.responded || c.applied {
			return
		}
		drop()
		s.step(c.proc, fault(c.action, true))
	case 1: // response lost or timed out; the call stays in progress
		if c.responded {
			return
		}
		c.responded = true
		s.seen["answer lost"]++
		s.step(c.proc, fault(c.action, false))
	case 2: // the call itself, or its duplicate, is lost
		if !c.responded {
			return
		}
		drop()
	case 3: // takes effect a second time
		if _, ok := c.action.(Put); ok && c.applied && c.responded {
			s.seen["late duplicate"]++
			s.apply(c)
			drop()
		}
	case 4, 5: // takes effect, the response is in transit
		if !c.applied {
			c.applied = true
			c.result = s.apply(c)
		}
	default: // takes effect, the response arrives
		if !c.applied {
			c.applied = true
			c.result = s.apply(c)
		}
		if !c.responded {
			c.responded = true
			if s.choose(8) != 0 {
				drop()
			}
			s.step(c.proc, c.result)
		}
	}
}

func (s *sim) passTime() {
	d := time.Duration(0)
	switch n := s.choose(s.jumps); {
	case n == 0:
		d = time.Duration(1+s.choose(4)) * 7 * time.Hour
	case n%2 == 1:
		d = time.Duration(s.choose(800)) * time.Millisecond
	default:
		d = time.Duration(s.choose(20)) * time.Millisecond
	}
	s.now.Boot = s.now.Boot.Add(d)
	s.now.Wall += d.Milliseconds()
	// Some processes don't get their wakes, as if they were paused.
	for _, p := range s.procs {
		if s.choose(3) != 0 {
			s.step(p, Woken{})
		}
	}
}

// disturb crashes, drains or resumes a recent process, or cancels a recent attempt.
func (s *sim) disturb() {
	p := s.procs[len(s.procs)-1-s.choose(min(3, len(s.procs)))]
	switch s.choose(10) {
	case 0:
		p.crashed = true
	case 1:
		s.step(p, Resumed{})
	case 2:
		s.step(p, DrainStarted{})
	default:
		if len(s.attempts) > 0 {
			a := s.attempts[AttemptID(len(s.attempts)-s.choose(min(4, len(s.attempts))))]
			s.step(a.proc, Cancelled{a.id})
		}
	}
}

// run runs a schedule with the given number of steps and returns the first violation.
func (s *sim) run(steps int) error {
	s.takeOver()
	for range steps {
		switch n := s.choose(100); {
		case n < 20:
			s.attempt()
		case n < 75:
			s.callStep()
		case n < 87:
			s.runStep()
		case n < 96:
			s.passTime()
		case n < 97:
			s.takeOver()
		default:
			s.disturb()
		}
		if s.err != nil {
			return s.err
		}
	}
	s.settle()
	return s.err
}

// settle lets all calls and requests end without further faults, and checks that each attempt at a process that has not crashed has
// a reply.
func (s *sim) settle() {
	for range 400 {
		for len(s.calls) > 0 && s.err == nil {
			c := s.calls[0]
			s.calls = s.calls[1:]
			if c.responded {
				continue
			}
			if !c.applied {
				c.result = s.apply(c)
			}
			s.step(c.proc, c.result)
		}
		for len(s.running) > 0 {
			a := s.running[0]
			s.running = s.running[1:]
			s.step(a.proc, Finished{ID: a.id, Execution: Unknown})
		}
		s.now.Boot = s.now.Boot.Add(100 * time.Millisecond)
		s.now.Wall += 100
		for _, p := range s.procs {
			s.step(p, Woken{})
		}
		if s.err != nil {
			return
		}
	}
	for _, a := range s.attempts {
		if a.replied == nil && !a.proc.crashed {
			s.failf("attempt %d has no reply (sent %v)", a.id, a.sent)
		}
	}
}

// Guards against a request that runs twice, a wrong reply not-run, a reply for another body and a missing reply, under generated
// faults.
func TestAtMostOnceProperty(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		gen := map[int]*rapid.Generator[int]{}
		choose := func(n int) int {
			if gen[n] == nil {
				gen[n] = rapid.IntRange(0, n-1)
			}
			return gen[n].Draw(rt, "choice")
		}
		s := newSim(choose, disabledRules{}, []int{1000, 4}[choose(2)])
		if err := s.run(rapid.IntRange(50, 300).Draw(rt, "steps")); err != nil {
			rt.Fatal(err)
		}
		for k, n := range s.seen {
			seen[k] += n
		}
	})
	t.Log(seen)
}

// randomSchedules runs seeded schedules until one fails, and returns its seed and error.
func randomSchedules(r disabledRules, schedules, steps int, seen map[string]int) (seed int, err error) {
	for seed := range schedules {
		rnd := rand.New(rand.NewPCG(uint64(seed), 1))
		s := newSim(rnd.IntN, r, []int{1000, 1000, 4}[seed%3])
		if r.readAfterSeal {
			s.jumps = 3 // the fault occurs only if hours pass between two store calls
		}
		if err := s.run(steps); err != nil {
			return seed, err
		}
		for k, n := range s.seen {
			seen[k] += n
		}
	}
	return schedules, nil
}

// Guards against the same faults as TestAtMostOnceProperty, with longer schedules drawn uniformly, and against schedules that never
// reach some situation.
func TestAtMostOnceSeeds(t *testing.T) {
	schedules := 500
	if n, err := strconv.Atoi(os.Getenv("DOGWOODKNOT_TEST_SCHEDULES")); err == nil {
		schedules = n
	}
	seen := map[string]int{}
	if seed, err := randomSchedules(disabledRules{}, schedules, 400, seen); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	t.Log(seen)
	want := []string{"send", "conflict", "answer lost", "late duplicate", "delete", "closed"}
	for r := ReasonRun; r <= ReasonCancelled; r++ {
		want = append(want, fmt.Sprintf("reason %d", r))
	}
	for _, k := range want {
		if seen[k] == 0 {
			t.Errorf("no schedule reached %q", k)
		}
	}
}

// Guards against checks that cannot fail: with any one rule disabled, some schedule must fail.
func TestChecksDetectDisabledRules(t *testing.T) {
	for name, r := range map[string]disabledRules{
		"no seal":                {seal: true},
		"no read after the seal": {readAfterSeal: true},
		"no read-back":           {readBack: true},
		"no recorded horizon":    {recordHorizon: true},
		"last entry not kept":    {keepTail: true},
		"other body accepted":    {compareBody: true},
		"sent after the cancel":  {dropCancelled: true},
	} {
		t.Run(name, func(t *testing.T) {
			seed, err := randomSchedules(r, 20000, 400, map[string]int{})
			if err == nil {
				t.Fatal("all schedules passed although a rule is disabled")
			}
			t.Logf("schedule %d: %v", seed, err)
		})
	}
}
