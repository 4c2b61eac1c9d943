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

// tickInterval is how often the service looks for probes, polls and publications that are due. It delays the detection
// of a failure by at most this time.
const tickInterval = 50 * time.Millisecond

// Service maintains this instance's view of the other instances. Create it with New before the Network starts, then
// call Start.
type Service struct {
	options Options
	self    membership.Row
	log     *zap.Logger
	network peer.Network
	clock   clock.Clock
	metrics *metrics

	snapshot         atomic.Pointer[membership.Snapshot]
	leavingEndpoints atomic.Pointer[map[string]bool] // that the current list shows as leaving
	listRowCount     atomic.Int64                    // of the current list, endpoints included

	mu         sync.Mutex // guards the fields up to the blank line
	core       *membership.Core
	generation uint64 // of the core at the time of the snapshot
	addrs      map[string]string
	polledAt   clock.Instant // when a poll of this or another instance last confirmed the current list
	polled     bool
	mismatches map[string]int // consecutive heartbeats whose digest differs from this view's, by peer
	syncing    bool
	nextSync   clock.Instant
	leaving    bool

	subscribersMu sync.Mutex
	subscribers   map[int]func(*membership.Snapshot)
	nextID        int
	viewChanged   chan struct{}

	ctx     context.Context
	cancel  context.CancelFunc
	tasksMu sync.Mutex // guards stopped, and the start of tasks
	stopped bool
	tasks   sync.WaitGroup
}

type metrics struct {
	probes         tally.Counter
	probeErrors    tally.Counter
	indirectProbes tally.Counter
	pushes         tally.Counter
	pushErrors     tally.Counter
	syncs          tally.Counter
	polls          tally.Counter
	pollErrors     tally.Counter
	publications   tally.Counter
	byStatus       map[membership.Status]tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("members")
	m := &metrics{
		probes:         scope.Counter("probes"),
		probeErrors:    scope.Counter("probe_errors"),
		indirectProbes: scope.Counter("asks"),
		pushes:         scope.Counter("pushes"),
		pushErrors:     scope.Counter("push_errors"),
		syncs:          scope.Counter("syncs"),
		polls:          scope.Counter("list_polls"),
		pollErrors:     scope.Counter("list_poll_errors"),
		publications:   scope.Counter("directory_publications"),
		byStatus:       map[membership.Status]tally.Gauge{},
	}
	for _, state := range []membership.Status{membership.Live, membership.Suspect, membership.Leaving} {
		m.byStatus[state] = scope.Tagged(map[string]string{"state": state.String()}).Gauge("instances")
	}
	return m
}

// New checks the options, registers the peer services of the package with the network, and returns a Service that is
// not started yet.
func New(options Options) (*Service, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.setDefaults()
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
		viewChanged: make(chan struct{}, 1),
		ctx:         ctx,
		cancel:      cancel,
	}
	s.snapshot.Store(core.Snapshot())
	s.leavingEndpoints.Store(&map[string]bool{})
	s.network.Handle(serviceProbe, peer.Unary(s.handleProbe))
	s.network.Handle(serviceIndirectProbe, peer.Unary(s.handleIndirectProbe))
	s.network.Handle(servicePush, peer.Unary(s.handlePush))
	s.network.Handle(serviceSync, peer.Unary(s.handleSync))
	return s, nil
}

// Start announces the instance and maintains the view until Close. The Network must be started first.
func (s *Service) Start() {
	s.tasks.Go(s.announceLoop)
	s.tasks.Go(s.pollLoop)
	s.tasks.Go(s.tickLoop)
	s.tasks.Go(s.notifyLoop)
	if s.options.Directory != nil {
		s.tasks.Go(s.directoryLoop)
	}
}

// Close stops all tasks and waits for them.
func (s *Service) Close() {
	s.cancel()
	s.tasksMu.Lock()
	s.stopped = true
	s.tasksMu.Unlock()
	s.tasks.Wait()
}

// spawn runs f on a goroutine that Close waits for. It does nothing if Close has been called.
func (s *Service) spawn(f func()) {
	s.tasksMu.Lock()
	defer s.tasksMu.Unlock()
	if !s.stopped {
		s.tasks.Go(f)
	}
}

// Snapshot returns the current view. It is never nil, and the call takes no lock.
func (s *Service) Snapshot() *membership.Snapshot { return s.snapshot.Load() }

// Ready reports whether a version of the list has been received.
func (s *Service) Ready() bool { return s.Snapshot().Version > 0 }

// Entries returns the ranked entry instances for an organisation in a region. rate is the organisation's rate in tokens
// per second.
func (s *Service) Entries(region, organisation string, rate float64) membership.Entries {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return membership.RankEntries(s.Snapshot(), region, organisation, rate, s.options.Drained, s.options.EntryParams, random)
}

// Subscribe calls f with the current snapshot after each change, on one goroutine, in order. Snapshots that are replaced
// while f runs are skipped. The returned function cancels the subscription.
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
		case <-s.viewChanged:
		case <-s.ctx.Done():
			return
		}
		snapshot := s.Snapshot()
		for _, f := range s.currentSubscribers() {
			f(snapshot)
		}
	}
}

// currentSubscribers returns the subscribers in the order of their subscription.
func (s *Service) currentSubscribers() []func(*membership.Snapshot) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	var current []func(*membership.Snapshot)
	for _, id := range slices.Sorted(maps.Keys(s.subscribers)) {
		current = append(current, s.subscribers[id])
	}
	return current
}

// update runs f on the core, replaces the snapshot if the view has changed, and performs the actions that f returns.
func (s *Service) update(f func(now clock.Instant, core *membership.Core) []membership.Action) {
	s.mu.Lock()
	actions := f(s.clock.Now(), s.core)
	s.refreshSnapshot()
	s.mu.Unlock()
	s.performActions(actions)
}

// refreshSnapshot replaces the snapshot and informs the network and the subscribers if the view has changed. The caller
// holds mu.
func (s *Service) refreshSnapshot() {
	if s.core.Generation() == s.generation {
		return
	}
	s.generation = s.core.Generation()
	snapshot := s.core.Snapshot()
	s.snapshot.Store(snapshot)
	s.updateStatusGauges(snapshot)
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
	case s.viewChanged <- struct{}{}:
	default:
	}
}

func (s *Service) updateStatusGauges(snapshot *membership.Snapshot) {
	counts := map[membership.Status]int{}
	for _, m := range snapshot.Members {
		counts[m.Status]++
	}
	for state, gauge := range s.metrics.byStatus {
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

// performActions performs the core's actions, each on its own goroutine. Each has a timeout, and the size of the prober
// sets limits their number.
func (s *Service) performActions(actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Probe:
			s.spawn(func() { s.probe(a) })
		case membership.IndirectProbe:
			for _, name := range a.Helpers {
				s.spawn(func() { s.probeIndirectly(a.Target, name) })
			}
		case membership.Publish:
			s.spawn(func() { s.publish(a) })
		}
	}
}
