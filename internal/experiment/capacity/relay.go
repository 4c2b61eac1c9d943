package capacity

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

const (
	relayBoot    = 30 * time.Second
	relayBound   = 20 * time.Second // after which a change that has not reached all daemons fails the run
	relayChanges = 3
	// relayOrganisations are few, since the size of a message is measured in section configuration.
	relayOrganisations = 16
)

// measureRelay runs the syncers of a whole fleet, which know each other from the instance list.
func measureRelay(ctx context.Context, o Options, s *Section) error {
	at := threeSizes(o.Daemons)
	stateBytes, pushBytes := 0.0, 0.0
	var watches, reads, spread, pushes, states []float64
	for _, n := range at {
		f, err := newRelayFleet(ctx, n)
		if err != nil {
			return err
		}
		r, err := f.run(ctx)
		f.stop(ctx)
		if err != nil {
			return errors.Wrapf(err, "%d daemons", n)
		}
		watches, reads, spread = append(watches, r.watches), append(reads, r.reads), append(spread, r.spread)
		pushes, states = append(pushes, r.pushes), append(states, r.states)
		stateBytes, pushBytes = r.stateBytes, r.pushBytes
	}
	s.fact("encoded messages of a state exchange", stateBytes, "bytes")
	s.fact("encoded messages of a push", pushBytes, "bytes")
	return errors.Join(
		s.add("watches held by the fleet", "watches", "daemon", points(at, watches)...),
		s.add("store reads of the fleet without a change", "reads/s", "daemon", points(at, reads)...),
		s.add("change in force on all, slowest of 3", "s", "daemon", points(at, spread)...),
		s.add("pushes of a change", "calls", "daemon", points(at, pushes)...),
		s.add("state exchanges of the fleet", "calls/s", "daemon", points(at, states)...),
	)
}

// watchingStore counts the watches that wait.
type watchingStore struct {
	*memory.Store
	waiting atomic.Int64
}

// Watch waits and counts.
func (s *watchingStore) Watch(ctx context.Context, key string, after int64) (platform.Entry, error) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	return s.Store.Watch(ctx, key, after)
}

// relayFleet is the syncers of a fleet.
type relayFleet struct {
	kv      *watchingStore
	store   *configstore.Store
	fabric  *fabric
	syncers []*configsync.Syncer
}

type relayRun struct{ watches, reads, spread, pushes, states, stateBytes, pushBytes float64 }

func newRelayFleet(ctx context.Context, n int) (*relayFleet, error) {
	rows := rowsOf(n)
	f := &relayFleet{kv: &watchingStore{Store: memory.NewStore(memory.StoreOptions{})}, fabric: newFabric()}
	f.store = configstore.New(f.kv.Store, configstore.Options{})
	if _, err := f.store.Apply(ctx, configOf(n, minEndpoints, relayOrganisations), configstore.Change{}); err != nil {
		return nil, err
	}
	known := make([]configsync.Peer, len(rows))
	for i, row := range rows {
		known[i] = configsync.Peer{Instance: row.Name, DataCentre: row.DataCentre}
	}
	for _, row := range rows {
		network := f.fabric.add(identityOf(row))
		syncer, err := configsync.New(configsync.Options{Store: f.kv, Network: network, Clock: clock.Boot{},
			Peers: func() []configsync.Peer { return slices.Clone(known) }})
		if err != nil {
			return nil, err
		}
		f.syncers = append(f.syncers, syncer)
	}
	return f, nil
}

func (f *relayFleet) run(ctx context.Context) (r relayRun, err error) {
	for _, s := range f.syncers {
		if err := s.Start(ctx); err != nil {
			return r, err
		}
	}
	if _, err := f.waitFor(ctx, 1, relayBoot); err != nil {
		return r, err
	}
	const quiet = 4 * time.Second // longer than a watch
	if err := clock.Sleep(ctx, quiet/2); err != nil {
		return r, err
	}
	before, states := f.reads(), f.fabric.total("config.state").calls
	if err := clock.Sleep(ctx, quiet); err != nil {
		return r, err
	}
	r.reads = (f.reads() - before) / quiet.Seconds()
	r.states = float64(f.fabric.total("config.state").calls-states) / quiet.Seconds()
	exchanged := f.fabric.total("config.state")
	r.stateBytes = float64(exchanged.bytes) / float64(exchanged.calls)
	r.watches = float64(f.kv.waiting.Load())
	pushed := f.fabric.total("config.push")
	for range relayChanges {
		_, result, err := f.store.IssueKey(ctx, organisationName(1), configstore.Change{})
		if err != nil {
			return r, err
		}
		took, err := f.waitFor(ctx, result.Head.Revision, relayBound)
		if err != nil {
			return r, err
		}
		r.spread = max(r.spread, took.Seconds())
	}
	after := f.fabric.total("config.push")
	r.pushes = float64(after.calls-pushed.calls) / relayChanges
	r.pushBytes = float64(after.bytes-pushed.bytes) / float64(after.calls-pushed.calls)
	return r, nil
}

func (f *relayFleet) reads() float64 {
	counts := f.kv.Counts().Calls
	return float64(counts[memory.KindGet] + counts[memory.KindWatch] + counts[memory.KindList])
}

// waitFor returns the time until all syncers have a revision in force.
func (f *relayFleet) waitFor(ctx context.Context, revision int64, bound time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		behind := 0
		for _, s := range f.syncers {
			if s.View().Revision() < revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start), nil
		}
		if time.Since(start) > bound {
			return 0, errors.Newf("%d daemons lack revision %d after %s", behind, revision, bound)
		}
		if err := clock.Sleep(ctx, 5*time.Millisecond); err != nil {
			return 0, err
		}
	}
}

func (f *relayFleet) stop(ctx context.Context) {
	for _, s := range f.syncers {
		_ = s.Stop(ctx) // it waits and has no error
	}
}
