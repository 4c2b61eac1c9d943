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
	issuer *orders.Issuer // owned by the loop
	lease  *lease         // owned by the loop
	// nextRead is the index of the endpoint at which the next quiet round starts to read. Owned by the loop.
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

// Start runs rounds until Stop.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.loop(ctx)
	return nil
}

// Stop ends the rounds, waits for the order in flight and hands the role over.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	select {
	case <-s.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.release(ctx)
}

// Status is what an instance knows of the orders of its region.
type Status struct {
	Issuer  bool             // this instance sends them
	Fencing int64            // number of its lease, 0 if it is not the issuer
	Blocked []orders.Blocked // changes that had to wait in the last round
}

// Status returns the state after the last round.
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

// round holds the lease, reads endpoints back and sends what is due.
func (s *Service) round(ctx context.Context) {
	if !s.hold(ctx) {
		s.setStatus(Status{})
		return
	}
	endpoints := s.endpoints()
	s.issuer.SetTargets(targets(s.opts.Source.View().General(), endpoints))
	s.issuer.Acquired(s.term(), s.lease.predecessor.Generation)
	s.readBack(ctx, s.dueReads(endpoints))
	if err := s.reserve(ctx); err != nil {
		s.opts.Log.Warn("orders wait: generations could not be recorded", zap.Error(err))
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

// dueReads returns the endpoints to read back in this round: those that decide about a change that is due, and a few others in
// turn.
func (s *Service) dueReads(endpoints []config.Endpoint) []config.Endpoint {
	turn := max(minQuietReads, (len(endpoints)+quietRounds-1)/quietRounds)
	if turn >= len(endpoints) {
		return endpoints
	}
	affected := s.issuer.EndpointsToRead()
	var due []config.Endpoint
	from := s.nextRead
	s.nextRead = (from + turn) % len(endpoints)
	for i, e := range endpoints {
		inTurn := (i-from+len(endpoints))%len(endpoints) < turn
		if inTurn || affected[e.Name] {
			due = append(due, e)
		}
	}
	return due
}

// readBack asks endpoints for their state at once. An endpoint that doesn't answer keeps its old observation, which ages.
func (s *Service) readBack(ctx context.Context, endpoints []config.Endpoint) {
	type result struct {
		name   string
		models map[string]orders.ModelState
		err    error
	}
	asked := s.opts.Clock.Now()
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
			s.opts.Log.Debug("endpoint's state could not be read", zap.String("endpoint", r.name), zap.Error(r.err))
			continue
		}
		s.issuer.Observed(r.name, r.models, asked)
	}
}

// send carries an order to its endpoint within its deadline. The term is checked again right before the first byte.
func (s *Service) send(ctx context.Context, addr string, o orders.Order) {
	now := s.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Deadline.Sub(now))
	defer cancel()
	maySend := func() bool { return s.issuer.MaySend(o, s.opts.Clock.Now()) }
	err := s.client.order(ctx, addr, o, maySend)
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

// endpoints returns the engines of this region.
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
