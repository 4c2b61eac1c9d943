package operations

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// maxHeirs bounds the known heirs of ended incarnations. 111 instances end a day at the planned size.
const maxHeirs = 4096

// Service implements Operations at one instance.
type Service struct {
	o       Options
	secrets *atmostonce.Secrets
	base    context.Context
	cancel  context.CancelFunc
	heirs   *lru.Cache[uint64, heir] // by incarnation

	mu       sync.Mutex
	stopping bool
	stopped  bool
	logs     map[int]*slotLog
	term     uint32
	revision int64 // highest revision seen in the store
	nextID   atmostonce.AttemptID
	issued   map[uint64]*atmostonce.IssuedRecords // by incarnation, this one and adopted ones
	number   uint64                               // of the last issued id
	answers  *atmostonce.AnswerCache
	budget   *atmostonce.Budget
	waiters  map[atmostonce.AttemptID]*waiter
	running  int           // runs under way
	idle     chan struct{} // closed when the last run or call has ended after stopping began
	tasks    sync.WaitGroup
	endSlots func()

	reconciling sync.Mutex // serialises reconcile
}

var _ Operations = (*Service)(nil)

// slotLog is a core log with its place in the store.
type slotLog struct {
	slot   int
	core   *atmostonce.Log
	closed chan struct{}
}

// waiter is a call that waits for its reply.
type waiter struct {
	ctx   context.Context
	run   RunFunc
	reply chan atmostonce.Reply // takes the one reply without blocking
}

type heir struct {
	instance    string
	incarnation uint64
}

// New returns a service that is not started. It registers its peer services, so it must be called before the network
// starts.
func New(o Options) (*Service, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	secrets, err := atmostonce.NewSecrets(o.Secrets...)
	if err != nil {
		return nil, err
	}
	heirs, err := lru.New[uint64, heir](maxHeirs)
	if err != nil {
		return nil, errors.Wrap(err, "create the list of heirs")
	}
	s := &Service{
		o:       o,
		secrets: secrets,
		heirs:   heirs,
		logs:    map[int]*slotLog{},
		issued:  map[uint64]*atmostonce.IssuedRecords{},
		answers: atmostonce.NewAnswerCache(o.MaxAnswerBytes, o.MaxAnswers),
		budget:  atmostonce.NewBudget(o.MaxRecords),
		waiters: map[atmostonce.AttemptID]*waiter{},
	}
	s.budget.LimitBytes(s.answers, o.MaxBytes, recordBytes)
	s.base, s.cancel = context.WithCancel(context.Background())
	s.issued[o.Network.Self().Incarnation] = atmostonce.NewIssuedRecords(s.answers, s.budget)
	s.register()
	return s, nil
}

// Start takes over the logs of the slots that this instance owns and follows their changes.
func (s *Service) Start() {
	s.endSlots = s.o.Slots.Subscribe(s.reconcile)
	s.reconcile()
}

// Do runs the request at its key's owner or returns the outcome of an earlier request with the key.
func (s *Service) Do(ctx context.Context, req Request, run RunFunc) Outcome {
	key, err := s.secrets.ParseKey(req.Organisation, req.Key)
	switch {
	case errors.Is(err, atmostonce.ErrNotIssued):
		return notRun(http.StatusBadRequest, CodeForeignKey, err.Error(), 0)
	case err != nil:
		return notRun(http.StatusBadRequest, CodeMalformedKey, err.Error(), 0)
	}
	c := call{
		organisation: req.Organisation,
		key:          key,
		digest:       atmostonce.Digest(req.Organisation, req.Method, req.Path, "", req.BodyDigest[:]),
		run:          run,
		forward:      req.Forwardable,
		stay:         req.StayInRegion,
	}
	if key.Issued != nil {
		return s.doIssued(ctx, c)
	}
	return s.doKeyed(ctx, c)
}

// call is a request with a checked key.
type call struct {
	organisation string
	key          atmostonce.ParsedKey
	digest       [32]byte
	run          RunFunc
	forward      *ForwardedRequest
	stay         bool // in this region
}

// Issue returns a new id that only this instance may run.
func (s *Service) Issue(organisation string) (string, error) {
	self := s.o.Network.Self()
	s.mu.Lock()
	s.number++
	n, stopping := s.number, s.stopping
	s.mu.Unlock()
	if stopping {
		return "", errors.New("the instance is stopping and issues no more operation ids")
	}
	return s.secrets.IssueID(&wire.OperationID{
		Region:         self.Region,
		Instance:       self.Instance,
		Incarnation:    self.Incarnation,
		IssuedAtMillis: s.o.Wall().UnixMilli(),
		Organisation:   organisation,
		Number:         n,
	})
}

func (s *Service) now() atmostonce.Time {
	return atmostonce.Time{Boot: s.o.Clock.Now(), Wall: s.o.Wall().UnixMilli()}
}

// place is where a caller's key is recorded.
type place struct {
	region string
	slot   int
}

// placeOf returns the record region and slot of a caller's key.
func (s *Service) placeOf(c call) (place, *Outcome) {
	view := s.o.Config.View()
	org := view.Organisation(c.organisation)
	if org == nil {
		o := notRun(http.StatusForbidden, CodeOrganisation, "the organisation is not known at this instance", retrySoon)
		return place{}, &o
	}
	region := RecordRegion(view.General(), org)
	slots := slotCount(view.General(), region)
	if slots == 0 {
		o := notRun(http.StatusServiceUnavailable, CodeOwnerUnknown, "the record region has no slots", retryFull)
		return place{}, &o
	}
	return place{region, RecordSlot(slots, c.organisation, c.key.Canonical)}, nil
}

func (s *Service) doKeyed(ctx context.Context, c call) Outcome {
	p, refused := s.placeOf(c)
	if refused != nil {
		return *refused
	}
	if c.stay && p.region != s.region() {
		return otherRegion()
	}
	owner, ok := s.o.Slots.Owner(p.region, p.slot)
	if !ok {
		return notRun(http.StatusServiceUnavailable, CodeOwnerUnknown, "the key has no owner at present", retrySoon)
	}
	if owner == s.o.Network.Self().Instance {
		return s.runKeyed(ctx, c, p)
	}
	o := s.forward(ctx, c, owner)
	if o.Code == codeUnlisted {
		o.Code = CodeOwnerAway
	}
	return o
}

func otherRegion() Outcome {
	return notRun(http.StatusConflict, CodeOtherRegion,
		"the key is recorded in another region, which the request must not reach; use an id from POST /v1/operations", 0)
}

// runKeyed runs a request at this instance if it owns the key's slot.
func (s *Service) runKeyed(ctx context.Context, c call, p place) Outcome {
	s.mu.Lock()
	l := s.logs[p.slot]
	s.mu.Unlock()
	if p.region != s.o.Network.Self().Region || l == nil {
		return outcomeOf(atmostonce.Reply{Execution: atmostonce.NotRun, Reason: atmostonce.ReasonNotOwner})
	}
	id, w, refused := s.begin(ctx, c.run)
	if refused != nil {
		return *refused
	}
	e := atmostonce.Attempted{ID: id, Idents: s.secrets.Idents(c.organisation, c.key.Canonical, c.digest), KeyTime: c.key.Time}
	if d, ok := ctx.Deadline(); ok {
		e.Deadline = s.o.Clock.Now().Add(time.Until(d))
	}
	s.step(l, e)
	return s.await(ctx, w, func() { s.step(l, atmostonce.Cancelled{ID: id}) })
}

// begin registers a call, unless its caller has left or the service is stopping.
func (s *Service) begin(ctx context.Context, run RunFunc) (id atmostonce.AttemptID, w *waiter, refused *Outcome) {
	if ctx.Err() != nil {
		o := cancelledOutcome(atmostonce.NotRun)
		return 0, nil, &o
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		o := notRun(http.StatusServiceUnavailable, CodeStopping, "the instance is stopping", retrySoon)
		return 0, nil, &o
	}
	s.nextID++
	w = &waiter{ctx: ctx, run: run, reply: make(chan atmostonce.Reply, 1)}
	s.waiters[s.nextID] = w
	return s.nextID, w, nil
}

// await returns the outcome of a call. cancelRun makes the core reply at once.
func (s *Service) await(ctx context.Context, w *waiter, cancelRun func()) Outcome {
	select {
	case r := <-w.reply:
		return outcomeOf(r)
	case <-ctx.Done():
	case <-s.base.Done():
	}
	cancelRun()
	return outcomeOf(<-w.reply)
}

func (s *Service) deliver(r atmostonce.Reply) {
	s.mu.Lock()
	w := s.waiters[r.ID]
	delete(s.waiters, r.ID)
	s.checkIdle()
	s.mu.Unlock()
	if w != nil {
		w.reply <- r
	}
}

// execute sends a request to an endpoint. The run does not end with its caller, so that a repeat finds the answer.
func (s *Service) execute(id atmostonce.AttemptID, w *waiter, finish func(atmostonce.Finished)) {
	ctx := context.WithoutCancel(w.ctx)
	deadline, ok := w.ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(s.o.RunTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, execution, err := s.guard(ctx, w.run)
	f := atmostonce.Finished{ID: id, Execution: atmostonce.Unknown, Answer: ended{answer, err}}
	switch {
	case execution == NotRun:
		f.Execution = atmostonce.NotRun
	case execution == Ran && answer != nil:
		f.Execution = atmostonce.Ran
		f.AnswerBytes = answerBytes(answer)
	}
	finish(f)
}

// guard calls a run and turns a panic into an error, since the request may have been sent before it.
func (s *Service) guard(ctx context.Context, run RunFunc) (answer *Answer, x Execution, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.o.Logger.Error("run of an operation panicked", zap.Any("panic", p), zap.Stack("stack"))
			answer, x, err = nil, Unknown, errors.New("the run ended abnormally")
		}
	}()
	return run(ctx)
}

// spawn runs f on a goroutine that Stop waits for.
func (s *Service) spawn(f func()) {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.tasks.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.tasks.Done()
		f()
	}()
}

// send starts the run of an attempt.
func (s *Service) send(id atmostonce.AttemptID, w *waiter, finish func(atmostonce.Finished)) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	go func() {
		s.execute(id, w, finish)
		s.mu.Lock()
		s.running--
		s.checkIdle()
		s.mu.Unlock()
	}()
}

// checkIdle tells Stop that no call or run is left. The caller holds mu.
func (s *Service) checkIdle() {
	if s.idle != nil && s.running == 0 && len(s.waiters) == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// Stop ends the service as a planned stop: it refuses new calls, waits for running requests, records their results and
// hands the records of issued ids to another instance of the region. What is not done when ctx ends is given up.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	idle := make(chan struct{})
	s.idle = idle
	s.checkIdle()
	logs := make([]*slotLog, 0, len(s.logs))
	for _, l := range s.logs {
		logs = append(logs, l)
	}
	s.mu.Unlock()
	if s.endSlots != nil {
		s.endSlots()
	}
	err := s.drain(ctx, logs, idle)
	err = errors.Join(err, s.handOverAll(ctx))
	s.abandon()
	return err
}

// drain waits until all requests have ended and their results are recorded.
func (s *Service) drain(ctx context.Context, logs []*slotLog, idle <-chan struct{}) error {
	for _, l := range logs {
		s.step(l, atmostonce.DrainStarted{})
	}
	for _, l := range logs {
		select {
		case <-l.closed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "slot %d: results are not recorded", l.slot)
		}
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests still run")
	}
}

// abandon ends all store calls and timers at once.
func (s *Service) abandon() {
	s.mu.Lock()
	s.stopping, s.stopped = true, true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
}

func (s *Service) warn(msg string, fields ...zap.Field) { s.o.Logger.Warn(msg, fields...) }
