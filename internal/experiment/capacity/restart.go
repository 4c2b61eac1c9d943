package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

const (
	// restartReads is the store's rate of reads, restartBound the time in which all must have a configuration.
	restartReads = 2000
	restartBound = 40 * time.Second
	// restartShards are filled with one organisation each, so that 390 views fit into memory. The time grows with the shards.
	restartShards = 64
	// meetAfter is when a starting daemon knows the others: its first read of the instance list.
	meetAfter = 500 * time.Millisecond
)

// measureRestart starts the syncers of a whole fleet at once against a store that refuses reads above its rate.
func measureRestart(ctx context.Context, o Options, s *Section) error {
	at := threeSizes(o.Daemons)
	var calls, refused, seconds, fetches []float64
	for _, n := range at {
		r, err := restartFleet(ctx, n)
		if err != nil {
			return errors.Wrapf(err, "%d daemons", n)
		}
		calls, refused = append(calls, r.calls), append(refused, r.refused)
		seconds, fetches = append(seconds, r.seconds), append(fetches, r.fetches)
	}
	if err := errors.Join(
		s.add("store reads until all have a configuration", "reads", "daemon", points(at, calls)...),
		s.add("store reads refused", "reads", "daemon", points(at, refused)...),
		s.add("time until all have a configuration", "s", "daemon", points(at, seconds)...),
		s.add("fetches from peers", "calls", "daemon", points(at, fetches)...),
	); err != nil {
		return err
	}
	s.fact("shards of the configuration", restartShards, "shards")
	return nil
}

type restartRun struct{ calls, refused, seconds, fetches float64 }

// shardedConfig has an organisation in each of the first shards.
func shardedConfig(daemons int) *config.Config {
	cfg := generalOf(daemons, minEndpoints)
	for i, found := 0, map[int]bool{}; len(found) < restartShards; i++ {
		name := organisationName(i)
		if shard := configview.ShardOf(name); shard < restartShards && !found[shard] {
			found[shard] = true
			cfg.Organisations = append(cfg.Organisations, organisation(i))
		}
	}
	return cfg
}

func restartFleet(ctx context.Context, n int) (r restartRun, err error) {
	kv := memory.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
	store := configstore.New(kv, configstore.Options{})
	if _, err := store.Apply(ctx, shardedConfig(n), configstore.Change{}); err != nil {
		return r, err
	}
	before := kv.Counts().Calls[memory.KindGet]
	kv.SetRates(memory.Rates{Reads: restartReads})
	kv.SetFaults(memory.Faults{Latency: slotLatency})
	fabric := newFabric()
	start := time.Now()
	rows := rowsOf(n)
	known := make([]configsync.Peer, n)
	for i, row := range rows {
		known[i] = configsync.Peer{Instance: row.Name, DataCentre: row.DataCentre}
	}
	var syncers []*configsync.Syncer
	for _, row := range rows {
		syncer, err := configsync.New(configsync.Options{Store: kv, Network: fabric.add(identityOf(row)), Clock: clock.Boot{}, Peers: func() []configsync.Peer {
			if time.Since(start) < meetAfter {
				return nil
			}
			return append([]configsync.Peer(nil), known...)
		}})
		if err != nil {
			return r, err
		}
		syncers = append(syncers, syncer)
	}
	f := &relayFleet{syncers: syncers}
	defer f.stop(ctx)
	var starts sync.WaitGroup
	start = time.Now()
	for _, s := range syncers {
		starts.Go(func() { _ = s.Start(ctx) }) // it has no error
	}
	starts.Wait()
	if _, err := f.waitFor(ctx, 1, restartBound); err != nil {
		return r, err
	}
	r.seconds = time.Since(start).Seconds()
	counts := kv.Counts()
	for _, kind := range []string{memory.KindGet, memory.KindWatch} {
		r.calls += float64(counts.Calls[kind])
		r.refused += float64(counts.Refused[kind])
	}
	r.calls -= float64(before)
	r.fetches = float64(fabric.total("config.fetch").calls)
	return r, nil
}
