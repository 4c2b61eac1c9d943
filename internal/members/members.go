package members

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// tickInterval is how often due probes, polls and publications are looked for. It adds at most itself to the time in
// which a failure is detected.
const tickInterval = 50 * time.Millisecond

// Service keeps the view. Create it with New before the Network starts, then call Start.
type Service struct {
	options Options
	self    membership.Row
	log     *zap.Logger
	network peer.Network
	clock   clock.Clock
	metrics *metrics

	snapshot  atomic.Pointer[membership.Snapshot]
	endpoints atomic.Pointer[map[string]bool] // that the list shows as leaving
	listRows  atomic.Int64                    // of the list in force, endpoints included

	mu         sync.Mutex // guards the fields down to the blank line
	core       *membership.Core
	generation uint64 // of the core when the snapshot was made
	addrs      map[string]string
	polledAt   clock.Instant // when the list in force was last confirmed by a poll, of this or another instance
	polled     bool
	mismatches map[string]int // heartbeats in a row with another digest, by peer
	syncing    bool
	nextSync   clock.Instant
	leaving    bool

	subscribersMu sync.Mutex
	subscribers   map[int]func(*membership.Snapshot)
	nextID        int
	news          chan struct{}

	ctx     context.Context
	cancel  context.CancelFunc
	workMu  sync.Mutex // guards stopped against the start of work
	stopped bool
	work    sync.WaitGroup
}

type metrics struct {
	probes       tally.Counter
	probeErrors  tally.Counter
	asks         tally.Counter
	pushes       tally.Counter
	pushErrors   tally.Counter
	syncs        tally.Counter
	polls        tally.Counter
	pollErrors   tally.Counter
	publications tally.Counter
	byState      map[membership.State]tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("members")
	m := &metrics{
		probes:       scope.Counter("probes"),
		probeErrors:  scope.Counter("probe_errors"),
		asks:         scope.Counter("asks"),
		pushes:       scope.Counter("pushes"),
		pushErrors:   scope.Counter("push_errors"),
		syncs:        scope.Counter("syncs"),
		polls:        scope.Counter("list_polls"),
		pollErrors:   scope.Counter("list_poll_errors"),
		publications: scope.Counter("directory_publications"),
		byState:      map[membership.State]tally.Gauge{},
	}
	for _, state := range []membership.State{membership.Live, membership.Suspect, membership.Leaving} {
		m.byState[state] = scope.Tagged(map[string]string{"state": state.String()}).Gauge("instances")
	}
	return m
}

// New checks the options, registers the services of the package and returns a service that is not started yet.
func New(options Options) (*Service, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.fill()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core, err := membership.New(options.Self, options.Params, random)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		options:     options,
		self:        options.Self,
		log:         options.Logger.Named("members"),
		network:     options.Network,
		clock:       options.Clock,
		metrics:     newMetrics(options.Scope),
		core:        core,
		mismatches:  map[string]int{},
		subscribers: map[int]func(*membership.Snapshot){},
		news:        make(chan struct{}, 1),
		ctx:         ctx,
		cancel:      cancel,
	}
	s.snapshot.Store(core.Snapshot())
	s.endpoints.Store(&map[string]bool{})
	s.network.Handle(serviceProbe, peer.Unary(s.handleProbe))
	s.network.Handle(serviceAsk, peer.Unary(s.handleAsk))
	s.network.Handle(servicePush, peer.Unary(s.handlePush))
	s.network.Handle(serviceSync, peer.Unary(s.handleSync))
	return s, nil
}

// Start announces the instance and keeps the view until Close. The Network must be started first.
func (s *Service) Start() {
	s.work.Go(s.announceLoop)
	s.work.Go(s.pollLoop)
	s.work.Go(s.tickLoop)
	s.work.Go(s.notifyLoop)
	if s.options.Directory != nil {
		s.work.Go(s.directoryLoop)
	}
}

// Close ends all tasks and waits for them.
func (s *Service) Close() {
	s.cancel()
	s.workMu.Lock()
	s.stopped = true
	s.workMu.Unlock()
	s.work.Wait()
}

// spawn runs f on a goroutine that Close waits for, or not at all if Close waits already.
func (s *Service) spawn(f func()) {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	if !s.stopped {
		s.work.Go(f)
	}
}

// Snapshot returns the view in force. It is never nil and needs no lock.
func (s *Service) Snapshot() *membership.Snapshot { return s.snapshot.Load() }

// Ready reports whether a version of the list has been seen.
func (s *Service) Ready() bool { return s.Snapshot().Version > 0 }

// Entries returns the entries for an organisation in a region. rate is the organisation's rate in tokens per second.
func (s *Service) Entries(region, organisation string, rate float64) membership.Entries {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return membership.RankEntries(s.Snapshot(), region, organisation, rate, s.options.Drained, s.options.EntryParams, random)
}

// Subscribe calls f with the snapshot in force after changes, on one goroutine, in order. Snapshots that are replaced
// while f runs are left out. The returned function ends it.
func (s *Service) Subscribe(f func(*membership.Snapshot)) (cancel func()) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscribers[id] = f
	return func() {
		s.subscribersMu.Lock()
		defer s.subscribersMu.Unlock()
		delete(s.subscribers, id)
	}
}

func (s *Service) notifyLoop() {
	for {
		select {
		case <-s.news:
		case <-s.ctx.Done():
			return
		}
		snapshot := s.Snapshot()
		for _, f := range s.currentSubscribers() {
			f(snapshot)
		}
	}
}

// currentSubscribers returns the subscribers in the order in which they have subscribed.
func (s *Service) currentSubscribers() []func(*membership.Snapshot) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	var current []func(*membership.Snapshot)
	for _, id := range slices.Sorted(maps.Keys(s.subscribers)) {
		current = append(current, s.subscribers[id])
	}
	return current
}

// update runs f on the core, renews the snapshot if the view has changed, and carries out the actions.
func (s *Service) update(f func(now clock.Instant, core *membership.Core) []membership.Action) {
	s.mu.Lock()
	actions := f(s.clock.Now(), s.core)
	s.renew()
	s.mu.Unlock()
	s.perform(actions)
}

// renew is called under mu.
func (s *Service) renew() {
	if s.core.Generation() == s.generation {
		return
	}
	s.generation = s.core.Generation()
	snapshot := s.core.Snapshot()
	s.snapshot.Store(snapshot)
	s.countStates(snapshot)
	addrs := map[string]string{}
	for _, m := range snapshot.Members {
		if !m.Self && m.PeerAddr != "" {
			addrs[m.Name] = m.PeerAddr
		}
	}
	if !maps.Equal(addrs, s.addrs) {
		s.addrs = addrs
		s.network.SetPeers(addrs)
	}
	select {
	case s.news <- struct{}{}:
	default:
	}
}

func (s *Service) countStates(snapshot *membership.Snapshot) {
	counts := map[membership.State]int{}
	for _, m := range snapshot.Members {
		counts[m.Status]++
	}
	for state, gauge := range s.metrics.byState {
		gauge.Update(float64(counts[state]))
	}
}

func (s *Service) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		s.update(func(now clock.Instant, core *membership.Core) []membership.Action { return core.Tick(now) })
	}
}

// perform carries out the core's actions. Each is bounded in time, and their number by the prober sets.
func (s *Service) perform(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Probe:
			s.spawn(func() { s.probe(a) })
		case membership.Ask:
			for _, name := range a.Peers {
				s.spawn(func() { s.ask(a.Target, name) })
			}
		case membership.Publish:
			s.spawn(func() { s.publish(a) })
		}
	}
}
