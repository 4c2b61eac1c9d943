package orderer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/orders"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// fixedSource is a configuration source that always returns the same configuration.
type fixedSource struct{ general config.Config }

type fixedView struct {
	configsync.View
	general *config.Config
}

func (v fixedView) General() *config.Config { return v.general }

func (s *fixedSource) View() configsync.View                { return fixedView{general: &s.general} }
func (*fixedSource) Subscribe(func(configsync.View)) func() { return func() {} }

// startFleet starts n fake engines that serve version 1 of a model, and returns them with a configuration that requires the given version.
func startFleet(t *testing.T, n int, fencing bool, version string) (*fixedSource, []*standin.Engine) {
	t.Helper()
	source := &fixedSource{general: config.Config{Models: []config.Model{{Name: "taller-lm", Version: version}}}}
	var engines []*standin.Engine
	for i := range n {
		e, err := standin.NewEngine(standin.EngineOptions{
			Models:             []standin.EngineModel{{Name: "taller-lm", Version: "1"}},
			ChecksFencing:      fencing,
			LoadBytesPerSecond: 4 * standin.DefaultWeightBytes, // a quarter of a second
		})
		if err != nil {
			t.Fatal(err)
		}
		l, err := standin.Listen(e.Handler())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { e.Close(); l.Close() })
		engines = append(engines, e)
		source.general.Endpoints = append(source.general.Endpoints, config.Endpoint{
			Name: string(rune('a' + i)), Kind: config.KindEngine, Addr: l.Addr(), Region: "lima", Models: []string{"taller-lm"}, ChecksFencing: fencing,
		})
	}
	return source, engines
}

func newService(t *testing.T, store *memory.Store, source configsync.Source, instance string, incarnation uint64) *Service {
	t.Helper()
	o := Options{
		Store: store, Source: source, Clock: clock.Boot{}, Region: "lima", Instance: instance, Incarnation: incarnation,
		Period: 20 * time.Millisecond, Log: zap.NewNop(), Metrics: tally.NoopScope,
	}
	if problems := o.Validate(); len(problems) > 0 {
		t.Fatal(problems)
	}
	return New(o)
}

func ready(e *standin.Engine, version string) bool {
	for _, m := range e.State().Models {
		if m.Model == "taller-lm" && m.Ready && (version == "" || m.Version == version) {
			return true
		}
	}
	return false
}

// waitForSwap waits until all engines serve the version, and fails if at any time none is ready.
func waitForSwap(t *testing.T, engines []*standin.Engine, version string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		readyNow, done := 0, 0
		for _, e := range engines {
			if ready(e, "") {
				readyNow++
			}
			if ready(e, version) {
				done++
			}
		}
		if readyNow == 0 {
			t.Fatal("no engine is ready during the swap")
		}
		if done == len(engines) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the swap did not end in time")
}

// Guards against a swap of versions that unloads the last ready copy of a model, over real HTTP, with endpoints that check fencing
// numbers and with endpoints that ignore them.
func TestSwapOfAFleet(t *testing.T) {
	for name, fencing := range map[string]bool{"checked fencing": true, "ignored fencing": false} {
		t.Run(name, func(t *testing.T) {
			store := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
			source, engines := startFleet(t, 3, fencing, "2")
			s := newService(t, store, source, "lima-1", 1)
			if err := s.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			waitForSwap(t, engines, "2")
			if err := s.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Guards against two issuers at once, and against a successor that waits although its predecessor has handed the role over.
func TestPlannedStopHandsTheRoleOver(t *testing.T) {
	store := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
	source, engines := startFleet(t, 2, false, "1")
	first, second := newService(t, store, source, "lima-1", 1), newService(t, store, source, "lima-2", 2)
	ctx := context.Background()
	if !first.ensureLease(ctx) {
		t.Fatal("first instance did not become the issuer")
	}
	if second.ensureLease(ctx) {
		t.Fatal("two issuers at once")
	}
	if err := first.handOver(ctx); err != nil {
		t.Fatal(err)
	}
	if !second.ensureLease(ctx) {
		t.Fatal("successor did not become the issuer")
	}
	if term := second.term(); !term.PredecessorEnded || term.EarliestUnfencedSend > second.opts.Clock.Now() {
		t.Errorf("successor waits after a hand-over: %+v", term)
	}
	source.general.Models[0].Version = "2"
	if err := second.Start(ctx); err != nil {
		t.Fatal(err)
	}
	waitForSwap(t, engines, "2")
	if err := second.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against a successor that relies on the only other ready copy while an order of a crashed issuer may still arrive and unload it.
func TestSuccessorOfCrashedIssuerKeepsAReserve(t *testing.T) {
	store := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
	source, _ := startFleet(t, 2, false, "2")
	ctx := context.Background()
	first, second := newService(t, store, source, "lima-1", 1), newService(t, store, source, "lima-2", 2)
	if !first.ensureLease(ctx) {
		t.Fatal("first instance did not become the issuer")
	}
	store.ExpireLease(first.lease.id)
	second.round(ctx)
	if second.lease == nil {
		t.Fatal("successor did not become the issuer")
	}
	second.lease.firstSend = second.opts.Clock.Now() // skip the wait, which is tested in package orders
	second.round(ctx)
	if blocked := second.Status().Blocked; len(blocked) == 0 {
		t.Error("the swap went on with one other ready copy and a predecessor that may still send")
	}
	second.opts.Ended = func(instance string, incarnation uint64) bool { return instance == "lima-1" && incarnation == 1 }
	second.round(ctx)
	if blocked := second.Status().Blocked; len(blocked) != 1 {
		// The swap has started at one endpoint; the other waits for it.
		t.Errorf("blocked after the predecessor's end: %+v", blocked)
	}
}

// stalledStore is a store whose first write of a key is not answered until its context ends. It counts the leases that exist.
type stalledStore struct {
	platform.Store
	writing chan struct{} // closed when the write has begun
	leases  int
}

func (s *stalledStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	id, err := s.Store.Grant(ctx, ttl)
	if err == nil {
		s.leases++
	}
	return id, err
}

func (s *stalledStore) Put(ctx context.Context, _ string, _ []byte, _ platform.PutOptions) (int64, error) {
	close(s.writing)
	<-ctx.Done()
	return 0, ctx.Err()
}

func (s *stalledStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	err := s.Store.Revoke(ctx, id)
	if err == nil {
		s.leases--
	}
	return err
}

// Guards against a lease that nobody uses but that keeps all instances from issuing orders until it expires, because its acquisition
// failed when its context ended.
func TestUnusedLeaseIsRevoked(t *testing.T) {
	source, _ := startFleet(t, 0, false, "1")
	memoryStore := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
	s := newService(t, memoryStore, source, "lima-1", 1)
	store := &stalledStore{Store: memoryStore, writing: make(chan struct{})}
	s.opts.Store = store
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-store.writing
		cancel()
	}()
	if err := s.acquire(ctx); !errors.Is(err, context.Canceled) || store.leases != 0 {
		t.Errorf("%d leases are left: %v", store.leases, err)
	}
}

// rejectingStore is a store that rejects all writes of keys.
type rejectingStore struct{ platform.Store }

func (rejectingStore) Put(context.Context, string, []byte, platform.PutOptions) (int64, error) {
	return 0, platform.ErrUnavailable
}

// Guards against a status from an earlier term, in which other changes were blocked or this instance was not the issuer, while the
// generations for new orders cannot be reserved.
func TestStatusWithoutReservedGenerations(t *testing.T) {
	source, _ := startFleet(t, 0, false, "1")
	s := newService(t, memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}}), source, "lima-1", 1)
	if !s.ensureLease(t.Context()) {
		t.Fatal("instance did not become the issuer")
	}
	s.setStatus(Status{Issuer: true, Fencing: s.lease.fencing - 1, Blocked: make([]orders.Blocked, 1)})
	s.opts.Store = rejectingStore{s.opts.Store}
	s.lease.reservedGeneration = s.issuer.Generation() - 1
	s.round(t.Context())
	if got := s.Status(); !got.Issuer || got.Fencing != s.lease.fencing || len(got.Blocked) != 0 {
		t.Errorf("status %+v of the issuer with fencing number %d", got, s.lease.fencing)
	}
}

// Guards against attempts to acquire the lease that grow with the number of candidates, and against an expired lease that no candidate
// tries to acquire.
func TestFewCandidatesTryPerRound(t *testing.T) {
	const rounds = 50
	for _, n := range []int{2, 40, 200} {
		store := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
		source, _ := startFleet(t, 0, false, "1")
		var services []*Service
		for i := range n {
			s := newService(t, store, source, fmt.Sprintf("lima-%d", i), uint64(i+1))
			s.opts.Candidates = func() int { return n }
			services = append(services, s)
		}
		issuer := -1
		for took := 0; issuer < 0; took++ {
			for i, s := range services {
				if s.ensureLease(t.Context()) {
					issuer = i
					break
				}
			}
			if took > 20 {
				t.Fatalf("%d candidates: nobody took a free lease in %d rounds", n, took)
			}
		}
		before := store.Counts().Calls[memory.KindGet]
		for range rounds {
			for i, s := range services {
				if i != issuer && s.ensureLease(t.Context()) {
					t.Fatal("two issuers at once")
				}
			}
		}
		perRound := float64(store.Counts().Calls[memory.KindGet]-before) / rounds
		if perRound > 1.5*triesPerRound {
			t.Errorf("%d candidates try %.1f times a round to acquire the lease", n, perRound)
		}
	}
}

// Guards against a whole fleet whose instances all try to acquire the lease at once, when it starts and none has read the instance list.
func TestUnknownNumberOfCandidates(t *testing.T) {
	tries := 0
	for range 4000 {
		if triesForLease(0) {
			tries++
		}
	}
	if part := float64(tries) / 4000; part < 0.05 || part > 0.2 {
		t.Errorf("a fraction of %.2f of the candidates tries to acquire the lease in a round", part)
	}
}

// readCounts counts the reads of endpoint states by endpoint name. No endpoint is called.
type readCounts map[string]int

func (r readCounts) endpoints(n int) []config.Endpoint {
	var out []config.Endpoint
	for i := range n {
		out = append(out, config.Endpoint{Name: fmt.Sprintf("taller-lm-%03d", i), Models: []string{"taller-lm"}})
	}
	return out
}

// Guards against control traffic that grows with the number of endpoints while nothing changes, against an endpoint whose state is never
// read, and against a change that is decided on the states of some endpoints only.
func TestReadsWhileNothingChanges(t *testing.T) {
	const n = 261 // engines of the largest region that are expected in two years
	source, _ := startFleet(t, 0, false, "1")
	s := newService(t, memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}}), source, "lima-1", 1)
	if !s.ensureLease(t.Context()) {
		t.Fatal("instance did not become the issuer")
	}
	reads := readCounts{}
	endpoints := reads.endpoints(n)
	round := func(version string) int {
		source.general.Models[0].Version = version
		s.issuer.SetTargets(targets(&source.general, endpoints))
		s.issuer.Acquired(s.term(), 0)
		due := s.dueReads(endpoints)
		for _, e := range due {
			reads[e.Name]++
			state := orders.ModelState{Target: orders.Target{Version: "1"}, Ready: true}
			s.issuer.Observed(e.Name, map[string]orders.ModelState{"taller-lm": state}, s.opts.Clock.Now())
		}
		return len(due)
	}
	if due := round("1"); due != n {
		t.Errorf("%d of %d unknown endpoints are read", due, n)
	}
	clear(reads)
	for range idleReadRounds {
		if due := round("1"); due > 9 {
			t.Fatalf("%d endpoints are read in a round without a change", due)
		}
	}
	if len(reads) != n {
		t.Errorf("%d of %d endpoints were read in %d rounds", len(reads), n, idleReadRounds)
	}
	if due := round("2"); due != n {
		t.Errorf("%d of %d endpoints are read for a change", due, n)
	}
}

// Guards against a change of one model that reads the endpoints of all other models too, and against one that is decided without the
// endpoints that still serve the model although the configuration no longer assigns it to them.
func TestReadsForAChangeOfOneModel(t *testing.T) {
	source, _ := startFleet(t, 0, false, "1")
	source.general.Models = append(source.general.Models, config.Model{Name: "other-lm", Version: "1"})
	s := newService(t, memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}}), source, "lima-1", 1)
	if !s.ensureLease(t.Context()) {
		t.Fatal("instance did not become the issuer")
	}
	endpoints := readCounts{}.endpoints(120)
	for i := range endpoints {
		if i >= 20 {
			endpoints[i].Models = []string{"other-lm"}
		}
	}
	s.issuer.Acquired(s.term(), 0)
	for i, e := range endpoints {
		models := map[string]orders.ModelState{e.Models[0]: {Target: orders.Target{Version: "1"}, Ready: true}}
		if i == len(endpoints)-1 {
			models["taller-lm"] = orders.ModelState{Target: orders.Target{Version: "1"}, Ready: true}
		}
		s.issuer.Observed(e.Name, models, s.opts.Clock.Now())
	}
	s.issuer.SetTargets(targets(&source.general, endpoints))
	s.nextRead = 40 // the reads in turn are at other endpoints
	due := map[string]bool{}
	for _, e := range s.dueReads(endpoints) {
		due[e.Name] = true
	}
	if want := 20 + 1 + minIdleReads; len(due) != want {
		t.Errorf("%d endpoints are read, not %d", len(due), want)
	}
	if !due[endpoints[0].Name] || !due[endpoints[len(endpoints)-1].Name] {
		t.Error("an endpoint with the model is not read")
	}
}

// Guards against a small region that is not read in every round: its traffic is small anyway.
func TestSmallRegionIsReadEachRound(t *testing.T) {
	source, _ := startFleet(t, 0, false, "1")
	s := newService(t, memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}}), source, "lima-1", 1)
	endpoints := readCounts{}.endpoints(minIdleReads)
	for range 3 {
		if due := s.dueReads(endpoints); len(due) != len(endpoints) {
			t.Errorf("%d of %d endpoints are read", len(due), len(endpoints))
		}
	}
}
