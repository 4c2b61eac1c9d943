package capacity

import (
	"context"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

const (
	movedOrganisation = "moved"
	// movedRate gives the organisation a share of every slot, at 1,000 tokens/s a slot.
	movedRate    = 1e6
	settlePoll   = 20 * time.Millisecond
	settleLimit  = 90 * time.Second
	slotsKeys    = "slots/"
	rateAccuracy = 1e-3
)

// settleRun is what one change that moves an entitlement between regions has cost.
type settleRun struct {
	seconds    float64 // from the view in force until the last slot uses its new entitlement
	writes     float64 // of records
	reads      float64 // lists of records
	peakWrites float64 // in the busiest second
}

// measureSettling moves an organisation's rate between regions, at fleets of three sizes at once with their real renewal
// intervals. No loans run.
func measureSettling(ctx context.Context, o Options, s *Section) error {
	at := threeSizes(o.Daemons)
	runs, errs := make([]settleRun, len(at)), make([]error, len(at))
	var wg sync.WaitGroup
	for i, n := range at {
		wg.Go(func() { runs[i], errs[i] = settleOnce(ctx, n) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	var seconds, writes, reads, peaks []float64
	for _, r := range runs {
		seconds, writes = append(seconds, r.seconds), append(writes, r.writes)
		reads, peaks = append(reads, r.reads), append(peaks, r.peakWrites)
	}
	return errors.Join(
		s.add("time until a change of entitlements has settled", "s", "daemon", points(at, seconds)...),
		s.add("writes of records for the change", "writes", "daemon", points(at, writes)...),
		s.add("lists of records until it has settled", "calls", "daemon", points(at, reads)...),
		s.add("writes in the busiest second", "writes", "daemon", points(at, peaks)...),
	)
}

func settleOnce(ctx context.Context, n int) (r settleRun, err error) {
	before, after, err := movedViews(ctx, n)
	if err != nil {
		return r, err
	}
	store := &recordStore{Store: memory.NewStore(memory.StoreOptions{})}
	store.SetFaults(memory.Faults{Latency: slotLatency})
	source := &changingView{view: before}
	services, err := limitsOf(n, store, source, 0)
	if err != nil {
		return r, err
	}
	defer stopServices(ctx, services)
	for _, s := range services {
		if err := s.Start(ctx); err != nil {
			return r, err
		}
	}
	if _, err := waitForShares(ctx, services, before.Revision()); err != nil {
		return r, errors.Wrap(err, "start")
	}
	if err := clock.Sleep(ctx, 2*time.Second); err != nil { // the last claims are read
		return r, err
	}
	store.reset()
	source.set(after)
	elapsed, err := waitForShares(ctx, services, after.Revision())
	if err != nil {
		return r, errors.Wrap(err, "change")
	}
	r = store.counted()
	r.seconds = elapsed.Seconds()
	return r, nil
}

// movedViews returns two revisions, of which the second moves half of a region's share to another one.
func movedViews(ctx context.Context, n int) (before, after configsync.View, err error) {
	c := generalOf(n, 0)
	even := 1 / float64(len(c.Regions))
	split := map[string]float64{}
	for _, r := range c.Regions {
		split[r.Name] = even
	}
	split[c.Regions[0].Name], split[c.Regions[1].Name] = even/2, even*3/2
	c.Organisations = []config.Organisation{{Name: movedOrganisation, Rate: movedRate, Burst: movedRate * burstTime, Weight: 1}}
	kv := configstore.New(memory.NewStore(memory.StoreOptions{}), configstore.Options{})
	state := configview.NewState()
	accept := func() (configsync.View, error) {
		r, err := kv.Apply(ctx, c, configstore.Change{})
		if err != nil {
			return nil, err
		}
		content, err := kv.Content(ctx, r.Head, digests(r.Head))
		if err != nil {
			return nil, err
		}
		return state.Accept(r.Head, content)
	}
	if before, err = accept(); err != nil {
		return nil, nil, err
	}
	c.Organisations[0].Split = split
	after, err = accept()
	return before, after, err
}

// waitForShares waits until all instances have applied a revision and the slots in use add up to the whole rate, which
// previous terms keep below it.
func waitForShares(ctx context.Context, services []*limits.Service, revision int64) (time.Duration, error) {
	start := time.Now()
	for {
		if err := clock.Sleep(ctx, settlePoll); err != nil {
			return 0, err
		}
		sum, applied := 0.0, true
		for _, s := range services {
			applied = applied && s.AppliedRevision() >= revision
			u, _ := s.Usage(movedOrganisation)
			sum += u.Own.Rate
		}
		switch {
		case math.Abs(sum-movedRate) < rateAccuracy && applied:
			return time.Since(start), nil
		case sum > movedRate+rateAccuracy:
			return 0, errors.Newf("shares add up to %f tokens/s of %f", sum, movedRate)
		case time.Since(start) > settleLimit:
			return 0, errors.Newf("shares add up to %f tokens/s of %f after %s", sum, movedRate, settleLimit)
		}
	}
}

// changingView is a source with a view that is replaced once.
type changingView struct {
	mu   sync.Mutex
	view configsync.View
}

var _ configsync.Source = (*changingView)(nil)

// View returns the view.
func (c *changingView) View() configsync.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Subscribe reports nothing: the services look at the view each second.
func (c *changingView) Subscribe(func(configsync.View)) func() { return func() {} }

func (c *changingView) set(v configsync.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
}

// recordStore counts reads and writes of the records of slots.
type recordStore struct {
	*memory.Store
	mu     sync.Mutex
	since  time.Time
	writes map[int]int // by second
	reads  int
}

func (s *recordStore) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.writes, s.reads = time.Now(), map[int]int{}, 0
}

func (s *recordStore) counted() (r settleRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.writes {
		r.writes += float64(n)
		r.peakWrites = max(r.peakWrites, float64(n))
	}
	r.reads = float64(s.reads)
	return r
}

// Put counts and writes.
func (s *recordStore) Put(ctx context.Context, key string, value []byte, o platform.PutOptions) (int64, error) {
	if strings.HasPrefix(key, slotsKeys) {
		s.mu.Lock()
		if s.writes != nil {
			s.writes[int(time.Since(s.since)/time.Second)]++
		}
		s.mu.Unlock()
	}
	return s.Store.Put(ctx, key, value, o)
}

// List counts and reads.
func (s *recordStore) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, error) {
	if prefix == slotsKeys {
		s.mu.Lock()
		s.reads++
		s.mu.Unlock()
	}
	return s.Store.List(ctx, prefix, after, limit)
}
