package limits

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// tickPeriod is the period of rebalancing.
	tickPeriod = time.Second
	// callTimeout bounds a loan message. It is longer than any request waits, because an answer that comes late still
	// brings tokens that the giver has already subtracted.
	callTimeout = 3 * time.Second
	// maxRetryAfter bounds the advice to a caller whose organisation is deep in debt.
	maxRetryAfter = 10 * time.Minute
	minRetryAfter = 100 * time.Millisecond
)

// Service is the Limiter of one instance.
type Service struct {
	opts Options
	self peer.Identity

	// refreshing is held by the one that reads and writes the records of slots. It is taken before mu.
	refreshing sync.Mutex

	mu        sync.Mutex
	ledger    *ratelimit.Ledger
	puller    *ratelimit.WaitQueue
	waiters   map[uint64]*waiter
	regionOf  map[string]string  // of the peers
	failures  map[string]failure // by peer
	slots     slotTable
	conf      *configuration
	applied   int64 // revision that AppliedRevision returns
	settling  settling
	ownership ownership
	stopping  bool

	cancel func() // ends the messages to other instances
	ctx    context.Context
	wg     sync.WaitGroup

	endLoops func()
	loopCtx  context.Context
	loops    sync.WaitGroup
}

var _ Limiter = (*Service)(nil)

// failure delays the next loan message to a peer that did not answer.
type failure struct {
	until clock.Instant
	delay time.Duration
}

// New returns a service and registers its handlers with the network. It must be called before the network starts.
func New(opts Options) (*Service, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	self := opts.Network.Self()
	s := &Service{
		opts: opts,
		self: self,
		ledger: ratelimit.New(ratelimit.Options{
			Self: self.Instance, Term: opts.Term, FirstLoanID: rand.Uint64(),
		}),
		waiters:  map[uint64]*waiter{},
		regionOf: map[string]string{},
		failures: map[string]failure{},
		slots:    newSlotTable(),
	}
	s.puller = ratelimit.NewWaitQueue(ratelimit.WaitQueueOptions{
		Self: self.Instance, Region: self.Region,
		InRegionTimeout: opts.InRegionTimeout, CrossRegionTimeout: opts.CrossRegionTimeout,
	}, s.ledger, fleetView{s})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.loopCtx, s.endLoops = context.WithCancel(s.ctx)
	s.configure(opts.Config.View())
	opts.Network.Handle(serviceBorrow, peer.Unary(s.handleBorrow))
	opts.Network.Handle(serviceDrop, peer.Unary(s.handleDrop))
	opts.Network.Handle(serviceHeld, peer.Unary(s.handleHeld))
	opts.Network.Handle(serviceHandover, peer.Unary(s.handleHandover))
	return s, nil
}

// Start begins to claim slots and to exchange loans.
func (s *Service) Start(context.Context) error {
	unsubscribe := s.opts.Config.Subscribe(s.configure)
	s.configure(s.opts.Config.View())
	context.AfterFunc(s.loopCtx, unsubscribe)
	s.loop(func() time.Duration {
		s.tick()
		return tickPeriod
	})
	s.loop(func() time.Duration {
		ctx, cancel := context.WithTimeout(s.loopCtx, s.renewInterval())
		defer cancel()
		if err := s.refresh(ctx); err != nil && s.loopCtx.Err() == nil {
			s.opts.Log.Warn("slots could not be refreshed", zap.Error(err))
		}
		return s.refreshDelay()
	})
	s.loop(func() time.Duration {
		ctx, cancel := context.WithTimeout(s.loopCtx, s.renewInterval())
		defer cancel()
		next, err := s.settle(ctx)
		if err != nil && s.loopCtx.Err() == nil {
			s.opts.Log.Warn("applied revision could not be exchanged", zap.Error(err))
		}
		return next
	})
	return nil
}

// loop runs f again after the duration that it returns, until the service ends.
func (s *Service) loop(f func() time.Duration) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		for {
			timer := time.NewTimer(f())
			select {
			case <-s.loopCtx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
		}
	}()
}

// Stop hands the slots over to another instance of the region and ends the service. Requests have ended before.
func (s *Service) Stop(ctx context.Context) error {
	// No claim may be under way when the slots are handed over.
	s.endLoops()
	s.loops.Wait()
	err := s.handOver(ctx)
	s.mu.Lock() // send adds to the group only with the lock held, once the loops have ended
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
	return err
}

// configure puts a view in force.
func (s *Service) configure(view configsync.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(view)
}

func (s *Service) applyView(view configsync.View) {
	if s.conf != nil && s.conf.view == view && s.conf.settled == s.settling.settled {
		return
	}
	s.conf = newConfiguration(s.conf, view, s.settling.settled)
	s.ledger.Configure(s.opts.Clock.Now(), s.conf)
	s.noteApplied()
}

// noteApplied moves the applied revision on once no loan exceeds the shares that it was given from.
func (s *Service) noteApplied() {
	if s.applied < s.conf.Revision() && s.ledger.Applied(s.opts.Clock.Now()) {
		s.applied = s.conf.Revision()
	}
}

// AppliedRevision is the revision that this instance has applied: everything that it lowers is lowered here, loans given
// before included. 0 before the first.
func (s *Service) AppliedRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteApplied()
	return s.applied
}

// Usage returns an organisation's live state at this instance, false if it is not declared.
func (s *Service) Usage(organisation string) (ratelimit.AccountState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.AccountState(s.opts.Clock.Now(), organisation)
}

// Admit takes tokens for a request.
func (s *Service) Admit(ctx context.Context, organisation string, tokens int64) (Charge, error) {
	w, charge, err := s.admitOrQueue(ctx, organisation, float64(tokens), false)
	if errors.Is(err, errShort) {
		s.notePeers() // a peer may have come since the last second
		w, charge, err = s.admitOrQueue(ctx, organisation, float64(tokens), true)
	}
	if w == nil {
		return charge, err
	}
	select {
	case r := <-w.result:
		return r.charge, r.err
	case <-ctx.Done():
	}
	s.abandon(organisation, w)
	return Charge{}, ctx.Err()
}

// errShort reports that a request would have to wait for tokens of other instances.
var errShort = errors.New("tokens are short")

// admitOrQueue admits from this holder's own tokens, refuses, or queues the request for a pull. If queue is false it reports
// errShort instead of queueing.
func (s *Service) admitOrQueue(ctx context.Context, organisation string, tokens float64, queue bool) (*waiter, Charge, error) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !queue && (tokens < 0 || !s.ledger.RecordDemand(now, organisation, tokens)) {
		return nil, Charge{}, &RefusedError{organisation, maxRetryAfter, "organisation is not declared"}
	}
	if id, ok := s.ledger.Admit(now, organisation, tokens); ok {
		return nil, Charge{ID: id, Organisation: organisation, Tokens: int64(tokens)}, nil
	}
	if !queue {
		return nil, Charge{}, errShort
	}
	declared := s.conf.view.Organisation(organisation)
	if declared == nil || tokens > declared.Burst {
		return nil, Charge{}, &RefusedError{organisation, maxRetryAfter, "request is larger than the burst"}
	}
	if s.stopping {
		return nil, Charge{}, &RefusedError{organisation, minRetryAfter, "instance is stopping"}
	}
	return s.enqueue(organisation, tokens, s.roomForCrossRegion(ctx), s.patience(ctx)), Charge{}, nil
}

// roomForCrossRegion reports whether the deadline lets the request wait for another region.
func (s *Service) roomForCrossRegion(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= s.opts.CrossRegionRoom
}

// patience is the time that the request may wait for tokens that no instance has yet.
func (s *Service) patience(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return min(time.Until(deadline)/2, s.opts.MaxPatience)
}

// refusal explains a shortage. The advice is the time in which the whole rate brings the missing tokens.
func (s *Service) refusal(organisation string, missing float64) *RefusedError {
	wait := maxRetryAfter
	if declared := s.conf.view.Organisation(organisation); declared != nil && declared.Rate > 0 {
		seconds := math.Min(missing/declared.Rate, maxRetryAfter.Seconds())
		wait = max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
	}
	return &RefusedError{organisation, wait, "tokens are used up"}
}

// StillValid reports whether the shares that a charge was taken from may still be used.
func (s *Service) StillValid(c Charge) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.ChargeValid(s.opts.Clock.Now(), c.ID)
}

// Settle replaces the charged tokens by the real use.
func (s *Service) Settle(c Charge, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Settle(s.opts.Clock.Now(), c.ID, float64(used))
}

// tick sends the asks of one second and drops the state of inactive organisations.
func (s *Service) tick() {
	s.notePeers()
	s.mu.Lock()
	now := s.opts.Clock.Now()
	s.applyView(s.opts.Config.View())
	s.noteApplied()
	s.useReadySlots(now)
	batches := s.ledger.Rebalance(now, func(organisation string) []string {
		return s.slots.owners(s.ledger.SlotShares(now, organisation), s.self.Instance)
	})
	s.ledger.Sweep(now)
	s.mu.Unlock()
	for giver, asks := range batches {
		s.send(giver, asks)
	}
}

// send borrows from a peer in the background and books the answers.
func (s *Service) send(giver string, asks []ratelimit.LoanRequest) {
	if s.ctx.Err() != nil {
		return
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.borrow(giver, asks)
	}()
}

// borrow sends asks to a peer and books the answers.
func (s *Service) borrow(giver string, asks []ratelimit.LoanRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	req := &wire.BorrowRequest{}
	for _, a := range asks {
		req.Asks = append(req.Asks, AskToWire(a))
	}
	asked := s.opts.Clock.Now()
	resp := &wire.BorrowResponse{}
	err := s.opts.Network.Call(ctx, giver, serviceBorrow, req, resp)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	s.noteCall(now, giver, err)
	answers := resp.GetAnswers()
	for i, ask := range asks {
		var holders []string
		if err == nil && i < len(answers) {
			answer := answerFromWire(answers[i])
			s.ledger.Accept(now, asked, giver, ask.Organisation, answer)
			holders = answer.Borrowers
		}
		s.perform(ask.Organisation, s.puller.HandleResponse(now, ask.Organisation, giver, holders))
		if excess, ok := s.ledger.ReturnExcess(now, ask.Organisation, giver); ok && err == nil {
			s.send(giver, []ratelimit.LoanRequest{excess})
		}
	}
}

// noteCall records whether a peer answers.
func (s *Service) noteCall(now clock.Instant, name string, err error) {
	const minDelay, maxDelay = 500 * time.Millisecond, 8 * time.Second
	if err == nil {
		delete(s.failures, name)
		return
	}
	delay := min(maxDelay, max(minDelay, 2*s.failures[name].delay))
	s.failures[name] = failure{now.Add(delay), delay}
}

// handleBorrow answers asks of another instance.
func (s *Service) handleBorrow(_ context.Context, from peer.Identity, req *wire.BorrowRequest) (proto.Message, error) {
	resp := &wire.BorrowResponse{}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	for _, a := range req.GetAsks() {
		answer := s.ledger.Grant(now, from.Instance, askFromWire(a))
		resp.Answers = append(resp.Answers, AnswerToWire(answer))
	}
	return resp, nil
}
