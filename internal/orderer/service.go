package orderer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/orders"
)

// Service issues the orders of its region while it holds the lease.
type Service struct {
	opts   Options
	issuer *orders.Issuer // used only by the loop
	lease  *lease         // nil if this instance is not the issuer; used only by the loop
	// nextRead is the index of the endpoint at which the next round starts the reads in turn. Used only by the loop.
	nextRead int
	client   endpointClient

	stop context.CancelFunc
	done chan struct{}

	mu     sync.Mutex
	status Status
}

// New returns a service that does nothing before Start.
func New(o Options) *Service {
	o = o.withDefaults()
	return &Service{
		opts:   o,
		issuer: orders.New(o.MaxLoads),
		client: endpointClient{http: o.Client},
		done:   make(chan struct{}),
	}
}

// Start starts the rounds, which run until Stop.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.loop(ctx)
	return nil
}

// Stop ends the rounds, waits for an order in flight and hands the issuer's role over. It fails if ctx ends first.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	select {
	case <-s.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.handOver(ctx)
}

// Status describes the orders of a region as this instance knows them.
type Status struct {
	Issuer  bool             // whether this instance issues the orders
	Fencing int64            // fencing number of its lease, 0 if it is not the issuer
	Blocked []orders.Blocked // changes that had to wait in the last round, with the reason
}

// Status returns the status after the last round.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Blocked = append([]orders.Blocked(nil), status.Blocked...)
	return status
}

func (s *Service) setStatus(status Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

func (s *Service) loop(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(s.opts.Period)
	defer tick.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// round acquires or renews the lease and, if this instance is the issuer, reads the state of endpoints and sends the orders that are due.
func (s *Service) round(ctx context.Context) {
	if !s.ensureLease(ctx) {
		s.setStatus(Status{})
		return
	}
	endpoints := s.endpoints()
	s.issuer.SetTargets(targets(s.opts.Source.View().General(), endpoints))
	s.issuer.Acquired(s.term(), s.lease.predecessor.Generation)
	s.readStates(ctx, s.dueReads(endpoints))
	if err := s.reserveGenerations(ctx); err != nil {
		s.opts.Log.Warn("generations could not be reserved in the store; orders wait until the next round", zap.Error(err))
		s.setStatus(Status{Issuer: true, Fencing: s.lease.fencing}) // no change was considered, so none is known to be blocked
		return
	}
	out, blocked := s.issuer.Next(s.opts.Clock.Now())
	s.setStatus(Status{Issuer: true, Fencing: s.lease.fencing, Blocked: blocked})
	s.opts.Metrics.Gauge("orders_blocked").Update(float64(len(blocked)))
	addrs := addresses(endpoints)
	for _, o := range out {
		s.send(ctx, addrs[o.Endpoint], o)
	}
}

func (s *Service) term() orders.Term {
	return orders.Term{
		FencingToken:         s.lease.fencing,
		Until:                s.lease.until,
		EarliestUnfencedSend: s.lease.firstSend,
		PredecessorEnded:     s.predecessorEnded(s.lease),
	}
}

// dueReads returns the endpoints whose state is read in this round: those that are affected by a change that is due, and some of the
// others in turn.
func (s *Service) dueReads(endpoints []config.Endpoint) []config.Endpoint {
	perRound := max(minIdleReads, (len(endpoints)+idleReadRounds-1)/idleReadRounds)
	if perRound >= len(endpoints) {
		return endpoints
	}
	affected := s.issuer.EndpointsToRead()
	var due []config.Endpoint
	from := s.nextRead
	s.nextRead = (from + perRound) % len(endpoints)
	for i, e := range endpoints {
		inTurn := (i-from+len(endpoints))%len(endpoints) < perRound
		if inTurn || affected[e.Name] {
			due = append(due, e)
		}
	}
	return due
}

// readStates reads the state of all given endpoints concurrently. An endpoint that doesn't answer keeps its last observed state, which
// becomes older.
func (s *Service) readStates(ctx context.Context, endpoints []config.Endpoint) {
	type result struct {
		name   string
		models map[string]orders.ModelState
		err    error
	}
	requestedAt := s.opts.Clock.Now()
	results := make(chan result, len(endpoints))
	for _, e := range endpoints {
		go func() {
			models, err := s.client.state(ctx, e.Addr)
			results <- result{e.Name, models, err}
		}()
	}
	for range endpoints {
		r := <-results
		if r.err != nil {
			s.opts.Log.Debug("endpoint's state could not be read; its last observed state is kept", zap.String("endpoint", r.name), zap.Error(r.err))
			continue
		}
		s.issuer.Observed(r.name, r.models, requestedAt)
	}
}

// send sends an order to its endpoint within the order's deadline. Whether the lease term still allows it is checked again right
// before the first byte.
func (s *Service) send(ctx context.Context, addr string, o orders.Order) {
	now := s.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Deadline.Sub(now))
	defer cancel()
	maySend := func() bool { return s.issuer.MaySend(o, s.opts.Clock.Now()) }
	err := s.client.sendOrder(ctx, addr, o, maySend)
	s.issuer.Finished(o, err == nil)
	log := s.opts.Log.With(zap.String("endpoint", o.Endpoint), zap.String("model", o.Model), zap.String("version", o.Target.Version),
		zap.Bool("unload", o.Unload), zap.Int64("generation", o.Generation))
	if err != nil {
		s.opts.Metrics.Counter("orders_failed").Inc(1)
		log.Warn("order was refused or its outcome is unknown", zap.Error(err))
		return
	}
	s.opts.Metrics.Counter("orders_accepted").Inc(1)
	log.Info("order was accepted")
}

// endpoints returns the engines of this region that are not drained.
func (s *Service) endpoints() []config.Endpoint {
	var out []config.Endpoint
	general := s.opts.Source.View().General()
	for _, e := range general.Endpoints {
		if e.Kind == config.KindEngine && e.Region == s.opts.Region && !general.Drained(&e) {
			out = append(out, e)
		}
	}
	return out
}

func targets(c *config.Config, endpoints []config.Endpoint) []orders.EndpointTarget {
	models := make(map[string]config.Model, len(c.Models))
	for _, m := range c.Models {
		models[m.Name] = m
	}
	out := make([]orders.EndpointTarget, 0, len(endpoints))
	for _, e := range endpoints {
		t := orders.EndpointTarget{Name: e.Name, ChecksFencing: e.ChecksFencing, Models: make(map[string]orders.Target)}
		for _, name := range e.Models {
			m := models[name]
			t.Models[name] = orders.Target{Version: m.Version, Adapters: m.Adapters}
		}
		out = append(out, t)
	}
	return out
}

func addresses(endpoints []config.Endpoint) map[string]string {
	out := make(map[string]string, len(endpoints))
	for _, e := range endpoints {
		out[e.Name] = e.Addr
	}
	return out
}
