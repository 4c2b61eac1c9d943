package operations

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/faultmatrix"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Steps of a keyed request.
const (
	stepBeforeWrite    = "before claim write"
	stepWriteSent      = "write sent"
	stepAnswerLost     = "answer lost"
	stepClaimRecorded  = "claim recorded"
	stepFirstByte      = "first byte sent"
	stepAnswerReceived = "answer received"
	stepResultRecorded = "result recorded"
	stepAnswerReturned = "answer returned"
	stepRequestSent    = "request sent to the issuer"
)

// Faults of a scene.
const (
	faultCrash       = "owner crash"
	faultPause       = "pause"
	faultCut         = "cut of owner"
	faultStoreOut    = "store out"
	faultLost        = "write answer lost"
	faultDupOwner    = "duplicate at owner"
	faultDupOther    = "duplicate at another instance"
	faultTakeover    = "takeover"
	faultStop        = "planned stop"
	faultRestart     = "owner crash and restart"
	faultSecondCrash = "crash of the owner and of the next"
	pausedAnswer     = 100 * time.Millisecond // a caller's patience with a paused owner
	firstAttempt     = "first"
	deposit          = "deposit"
	otherDeposit     = "another deposit"
	sceneHold        = 50 * time.Millisecond
	sceneAnswer      = 3 * time.Second
	sceneStoreDown   = 400 * time.Millisecond // longer than the patience of the test instances
)

// scene is one request that is held at a step while faults come.
type scene struct {
	t                   *testing.T
	f                   *fleet
	owner, entry, third *instance
	key, step           string
	issued              bool

	mu       sync.Mutex
	armed    bool
	puts     int // of the owner since the scene was armed
	cut      bool
	dead     bool // the owner has crashed
	storeOut bool
	loseNext bool
	thaw     chan struct{} // closed at the end of the owner's pause, nil if it is not paused
	reached  chan struct{}
	stopped  chan struct{} // closed after a planned stop
	release  chan struct{}
	attempts int
	outcomes []labelled
}

type labelled struct {
	label string
	Outcome
}

// newScene starts three instances. The request has a caller's key, or an id issued by the owner.
func newScene(t *testing.T, step string, issued bool) *scene {
	f := newFleet(t)
	f.slots.set(testRegion, 0, "lima-1")
	sc := &scene{t: t, f: f, step: step, reached: make(chan struct{}), stopped: make(chan struct{}), release: make(chan struct{})}
	sc.owner, sc.entry, sc.third = f.start("lima-1"), f.start("lima-2"), f.start("lima-3")
	sc.key = newKey(t)
	sc.issued = issued
	if issued {
		sc.key, _ = sc.owner.Issue(testOrg)
	}
	sc.owner.doReady(newKey(t), "warm-up")
	eventually(t, "warm-up recorded", func() bool { return f.store.entries() == 3 })
	f.store.hook(sc.beforeStore, sc.afterStore)
	f.hub.hook(sc.beforeCall, sc.afterCall)
	f.hub.delay = func(from, to string) { sc.waitThaw(context.Background(), from, to) }
	f.endpoint.mu.Lock()
	f.endpoint.first = func(string) { sc.gate(stepClaimRecorded) }
	f.endpoint.after = func(string) { sc.gate(stepFirstByte) }
	f.endpoint.answer = func(string) { sc.gate(stepAnswerReceived) }
	f.endpoint.mu.Unlock()
	sc.mu.Lock()
	sc.armed = true
	sc.mu.Unlock()
	return sc
}

// gate holds the first request that comes to the scene's step.
func (sc *scene) gate(step string) {
	sc.mu.Lock()
	hold := sc.armed && sc.step == step
	if hold {
		sc.armed = false
		close(sc.reached)
	}
	sc.mu.Unlock()
	if hold {
		<-sc.release
	}
}

// waitThaw holds whatever the paused owner does.
func (sc *scene) waitThaw(ctx context.Context, instances ...string) {
	sc.mu.Lock()
	thaw := sc.thaw
	sc.mu.Unlock()
	if thaw == nil || !slices.Contains(instances, sc.owner.name) {
		return
	}
	select {
	case <-thaw:
	case <-ctx.Done():
	}
}

func (sc *scene) beforeStore(caller, kind, _ string) error {
	if caller == sc.owner.name && kind == "put" {
		sc.gate(stepBeforeWrite)
	}
	if caller == sc.owner.name && kind == "get" {
		sc.gate(stepAnswerLost)
	}
	sc.waitThaw(context.Background(), caller)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.storeOut {
		return platform.ErrUnavailable
	}
	return nil
}

func (sc *scene) afterStore(caller, kind, _ string) error {
	if caller != sc.owner.name || kind != "put" {
		return nil
	}
	sc.mu.Lock()
	if sc.puts++; sc.step == stepAnswerLost && sc.puts == 1 {
		sc.mu.Unlock()
		return platform.ErrUnknownOutcome
	}
	puts := sc.puts
	sc.mu.Unlock()
	switch puts {
	case 1:
		sc.gate(stepWriteSent)
	case 2:
		sc.gate(stepResultRecorded)
	}
	sc.waitThaw(context.Background(), caller)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.loseNext {
		sc.loseNext = false
		return platform.ErrUnknownOutcome
	}
	return nil
}

// isCut reports whether messages between two instances are lost; dead connections lose answers only.
func (sc *scene) isCut(from, to string, answer bool) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return (sc.cut || answer && sc.dead) && (from == sc.owner.name || to == sc.owner.name)
}

func (sc *scene) beforeCall(_ context.Context, from, to, service string) error {
	if service == serviceDo {
		sc.gate(stepRequestSent)
	}
	if sc.isCut(from, to, false) {
		return peer.ErrNotSent
	}
	return nil
}

func (sc *scene) afterCall(ctx context.Context, from, to, service string) error {
	if service == serviceDo {
		sc.gate(stepAnswerReturned)
	}
	sc.waitThaw(ctx, from, to)
	if sc.isCut(from, to, true) || ctx.Err() != nil {
		return peer.ErrBroken
	}
	return nil
}

func (sc *scene) set(f func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	f()
}

// attempt sends the request once and notes its outcome.
func (sc *scene) attempt(at *instance, label string) Outcome {
	return sc.attemptFor(sceneAnswer, at, label)
}

func (sc *scene) attemptFor(d time.Duration, at *instance, label string) Outcome {
	if label == "" {
		sc.set(func() { sc.attempts++; label = fmt.Sprintf("attempt %d", sc.attempts) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	o := at.doCtx(ctx, sc.key, deposit, label)
	sc.set(func() { sc.outcomes = append(sc.outcomes, labelled{label, o}) })
	return o
}

// settled repeats the request until the answer advises no further repeat.
func (sc *scene) settled(at *instance, tries int) Outcome {
	var o Outcome
	for range tries {
		o = sc.attempt(at, "")
		if o.RetryAfter == 0 {
			return o
		}
		time.Sleep(10 * time.Millisecond)
	}
	return o
}

// apply starts a fault while the request is held.
func (sc *scene) apply(fault string) {
	switch fault {
	case faultCrash:
		sc.crash()
		sc.move()
	case faultRestart:
		sc.crash()
		sc.f.start(sc.owner.name)
		sc.set(func() { sc.dead = false })
		sc.move()
	case faultSecondCrash:
		sc.crash()
		sc.move()
		sc.third.kill()
		sc.third = sc.f.start("lima-4")
		sc.move()
	case faultPause:
		sc.set(func() { sc.thaw = make(chan struct{}) })
		sc.f.slots.deafen(sc.owner.name)
		sc.f.slots.set(testRegion, 0, sc.third.name)
		sc.attemptFor(pausedAnswer, sc.third, "")
	case faultCut:
		sc.set(func() { sc.cut = true })
	case faultStoreOut:
		sc.set(func() { sc.storeOut = true })
	case faultLost:
		sc.set(func() { sc.loseNext = true })
	case faultDupOwner:
		sc.attempt(sc.owner, "")
	case faultDupOther:
		sc.attempt(sc.third, "")
	case faultTakeover:
		sc.move()
	case faultStop:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sceneAnswer)
			defer cancel()
			if err := sc.owner.Stop(ctx); err != nil {
				sc.t.Logf("planned stop: %v", err)
			}
			sc.f.slots.set(testRegion, 0, sc.third.name)
			sc.f.hub.Remove(sc.owner.name)
			close(sc.stopped)
		}()
		time.Sleep(sceneHold)
	}
}

// crash ends the owner. Answers that have not been read are lost with its connections.
func (sc *scene) crash() {
	sc.set(func() { sc.dead = true })
	sc.owner.kill()
}

// move gives the slot to the third instance and repeats the request there.
func (sc *scene) move() {
	sc.f.slots.set(testRegion, 0, sc.third.name)
	sc.settled(sc.third, 20)
}

// heal ends a fault.
func (sc *scene) heal(fault string) {
	switch fault {
	case faultCrash:
		// The instance list drops the owner some time after its end.
		listed := map[string]string{sc.entry.name: "", sc.third.name: ""}
		sc.entry.o.Network.SetPeers(listed)
		sc.third.o.Network.SetPeers(listed)
	case faultPause:
		sc.set(func() { close(sc.thaw); sc.thaw = nil })
		sc.f.slots.undeafen(sc.owner.name)
	case faultCut:
		sc.set(func() { sc.cut = false })
	case faultStoreOut:
		time.Sleep(sceneStoreDown)
		sc.set(func() { sc.storeOut = false })
	case faultStop:
		sc.wait(sc.stopped, "the owner has stopped")
	}
}

// play holds a request at the scene's step, lets the faults come, and checks every outcome.
func (sc *scene) play(faults ...string) {
	done := make(chan struct{})
	go func() {
		sc.attempt(sc.entry, firstAttempt)
		close(done)
	}()
	sc.wait(sc.reached, "the request is at the step")
	for _, fault := range faults {
		sc.apply(fault)
	}
	close(sc.release)
	time.Sleep(sceneHold)
	for _, fault := range faults {
		sc.heal(fault)
	}
	sc.wait(done, "the first attempt has an outcome")
	final := sc.settled(sc.third, 200)
	sc.check(final)
}

func (sc *scene) wait(c <-chan struct{}, what string) {
	sc.t.Helper()
	select {
	case <-c:
	case <-time.After(2 * sceneAnswer):
		sc.t.Fatalf("not reached: %s", what)
	}
}

// check compares all outcomes with what the endpoint has executed.
func (sc *scene) check(final Outcome) {
	t, ran := sc.t, sc.f.endpoint.executions(deposit)
	if ran > 1 {
		t.Errorf("%d executions", ran)
	}
	for _, o := range sc.outcomes {
		switch {
		case o.Execution == NotRun && sc.f.endpoint.byLabel(o.label) > 0:
			t.Errorf("%s: not-run (%s), but it ran", o.label, o.Code)
		case o.Execution == Ran && ran != 1:
			t.Errorf("%s: ran, but there are %d executions", o.label, ran)
		case o.Answer != nil && string(o.Answer.Body) != deposit+" 1":
			t.Errorf("%s: answer %q", o.label, o.Answer.Body)
		}
	}
	if final.Execution == NotRun || final.Code == CodeInProgress {
		t.Errorf("repeats do not settle: %q %q", final.Execution, final.Code)
	}
	if final.Execution == Ran {
		expect(t, sc.third.do(sc.key, otherDeposit), NotRun, CodeReused)
	}
	if n := sc.f.endpoint.executions(otherDeposit); n > 0 {
		t.Errorf("another body ran %d times with the key", n)
	}
	if t.Failed() {
		t.Logf("outcomes: %s", sc.describe())
	}
}

// describe lists the outcomes. Equal ones in a row are named once.
func (sc *scene) describe() string {
	var parts []string
	last := ""
	for _, o := range sc.outcomes {
		what := fmt.Sprintf("%s %s", o.Execution, o.Code)
		if what != last {
			parts = append(parts, o.label+": "+what)
		}
		last = what
	}
	return strings.Join(parts, "; ")
}

// matrixNote says what the scenes are and are not.
const matrixNote = `The instances of a scene run in one process against an in-memory store and network. A crash ends their links and store
calls; a store call on its way still takes effect. A pause holds the owner's store calls and messages while the slot
moves; it is not a SIGSTOP. Each outcome is compared with what the endpoint has executed for that attempt.`

var keyedSteps = []string{
	stepBeforeWrite, stepWriteSent, stepAnswerLost, stepClaimRecorded,
	stepFirstByte, stepAnswerReceived, stepResultRecorded, stepAnswerReturned,
}

var keyedFaults = []string{
	faultCrash, faultPause, faultCut, faultStoreOut,
	faultLost, faultDupOwner, faultDupOther, faultTakeover,
	faultRestart, faultSecondCrash, faultStop,
}

// Guards against two executions and untrue outcomes of a keyed request, whichever fault comes at whichever step.
func TestFaultMatrixKeyed(t *testing.T) {
	t.Parallel()
	m := faultmatrix.Matrix{
		Condition: "a request with a caller's key runs at most once",
		Note:      matrixNote,
		Steps:     keyedSteps,
		Faults:    keyedFaults,
	}
	m.Run(t, func(t *testing.T, step, fault string) { newScene(t, step, false).play(fault) })
}

// Guards against two executions and untrue outcomes of a request with an issued id, whichever fault comes at whichever
// step. The records of issued ids are not in the store.
func TestFaultMatrixIssued(t *testing.T) {
	t.Parallel()
	m := faultmatrix.Matrix{
		Condition: "a request with an issued id runs at most once",
		Note:      matrixNote,
		Steps:     []string{stepRequestSent, stepClaimRecorded, stepFirstByte, stepAnswerReceived, stepAnswerReturned},
		Faults: []string{
			faultCrash, faultRestart, faultPause, faultCut, faultStoreOut,
			faultDupOwner, faultDupOther, faultTakeover, faultStop,
		},
	}
	m.Run(t, func(t *testing.T, step, fault string) { newScene(t, step, true).play(fault) })
}

// Guards against pairs of faults that break what each alone does not.
func TestFaultMatrixTwoFaults(t *testing.T) {
	t.Parallel()
	const and = " and "
	singles := []string{faultCrash, faultPause, faultCut, faultStoreOut, faultLost, faultDupOwner, faultDupOther, faultTakeover}
	m := faultmatrix.Matrix{
		Condition: "a request with a caller's key runs at most once under two faults",
		Note:      matrixNote,
		Steps:     keyedSteps,
	}
	for i, a := range singles {
		for _, b := range singles[i+1:] {
			m.Faults = append(m.Faults, a+and+b)
		}
	}
	m.Run(t, func(t *testing.T, step, fault string) {
		newScene(t, step, false).play(strings.Split(fault, and)...)
	})
}
