package platform_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each call of a test that is expected to return.
const testTimeout = 10 * time.Second

// services are the four services under test, with the in-memory implementations behind them, in which tests set faults.
type services struct {
	store     platform.Store
	instances platform.InstanceList
	directory platform.Directory
	weights   platform.WeightStore

	clk             *clock.Manual
	memoryStore     *memory.Store
	memoryInstances *memory.InstanceList
	memoryDirectory *memory.Directory
	memoryWeights   *memory.WeightStore
}

const listLag = 2 * time.Second

// forEachImplementation runs a test against the in-memory implementation, and against the HTTP client with a server from package
// standin.
func forEachImplementation(t *testing.T, f func(t *testing.T, ctx context.Context, s services)) {
	t.Helper()
	for name, build := range map[string]func(*testing.T) services{"memory": newMemoryServices, "http": newHTTPServices} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			f(t, ctx, build(t))
		})
	}
}

func newMemoryServices(*testing.T) services {
	clk := &clock.Manual{}
	s := services{
		clk:             clk,
		memoryStore:     memory.NewStore(memory.StoreOptions{Clock: clk}),
		memoryInstances: memory.NewInstanceList(memory.InstanceListOptions{Clock: clk, Lag: listLag}),
		memoryDirectory: memory.NewDirectory(memory.DirectoryOptions{Clock: clk}),
		memoryWeights:   memory.NewWeightStore(memory.WeightStoreOptions{Clock: clk}),
	}
	s.store, s.instances, s.directory, s.weights = s.memoryStore, s.memoryInstances, s.memoryDirectory, s.memoryWeights
	return s
}

func newHTTPServices(t *testing.T) services {
	clk := &clock.Manual{}
	store := standin.NewStore(memory.StoreOptions{Clock: clk})
	instances := standin.NewInstanceList(memory.InstanceListOptions{Clock: clk, Lag: listLag})
	directory := standin.NewDirectory(memory.DirectoryOptions{Clock: clk})
	weights := standin.NewWeightStore(memory.WeightStoreOptions{Clock: clk})
	options := func(s standin.Server) platform.ClientOptions {
		l, err := standin.Listen(s.Handler())
		check(t, err)
		t.Cleanup(l.Close)
		t.Cleanup(s.Close)
		// With a short wait, the watches of the tests also receive responses without a change.
		return platform.ClientOptions{URL: l.URL(), WatchWait: 30 * time.Millisecond}
	}
	storeClient, err := platform.NewStoreClient(options(store))
	check(t, err)
	instancesClient, err := platform.NewInstanceListClient(options(instances))
	check(t, err)
	directoryClient, err := platform.NewDirectoryClient(options(directory))
	check(t, err)
	weightsClient, err := platform.NewWeightStoreClient(options(weights))
	check(t, err)
	t.Cleanup(storeClient.Close)
	t.Cleanup(instancesClient.Close)
	t.Cleanup(directoryClient.Close)
	t.Cleanup(weightsClient.Close)
	return services{
		store: storeClient, instances: instancesClient, directory: directoryClient, weights: weightsClient,
		clk:         clk,
		memoryStore: store.Twin(), memoryInstances: instances.Twin(),
		memoryDirectory: directory.Twin(), memoryWeights: weights.Twin(),
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %+v", err)
	}
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error is %v, want %v", err, want)
	}
}

func revision(n int64) *int64 { return &n }

// Guards against a key that is truncated at a slash, a dot segment or an escape, and against lost or altered values.
func TestStoreKeysAndValues(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		keys := []string{"a", "config/head", "a b?c=d&e#f", "../x", "per%2Fcent", "ü/Ω", "config//", "."}
		for i, key := range keys {
			value := []byte(fmt.Sprintf("value %d\x00\xff", i))
			rev, err := s.store.Put(ctx, key, value, platform.PutOptions{})
			check(t, err)
			e, err := s.store.Get(ctx, key)
			check(t, err)
			if e.Key != key || string(e.Value) != string(value) || e.Revision != rev {
				t.Fatalf("key %q: got %+v, written at revision %d", key, e, rev)
			}
		}
		_, err := s.store.Get(ctx, "absent")
		wantError(t, err, platform.ErrNotFound)
		_, err = s.store.Put(ctx, "", nil, platform.PutOptions{})
		if err == nil {
			t.Fatal("a write without a key was accepted")
		}
		_, err = s.store.Put(ctx, "full", make([]byte, platform.MaxValueBytes), platform.PutOptions{})
		check(t, err)
		_, err = s.store.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), platform.PutOptions{})
		wantError(t, err, platform.ErrTooLarge)
		_, err = s.store.Get(ctx, "big")
		wantError(t, err, platform.ErrNotFound)
	})
}

// Guards against lost updates, and against a create-if-absent that overwrites a key.
func TestStoreCompareAndSwap(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		first, err := s.store.Put(ctx, "k", []byte("1"), platform.PutOptions{IfRevision: revision(platform.IfAbsent)})
		check(t, err)
		_, err = s.store.Put(ctx, "k", []byte("2"), platform.PutOptions{IfRevision: revision(platform.IfAbsent)})
		wantError(t, err, platform.ErrConflict)
		second, err := s.store.Put(ctx, "k", []byte("3"), platform.PutOptions{IfRevision: &first})
		check(t, err)
		if second <= first {
			t.Fatalf("revision went from %d to %d", first, second)
		}
		_, err = s.store.Put(ctx, "k", []byte("4"), platform.PutOptions{IfRevision: &first})
		wantError(t, err, platform.ErrConflict)
		_, err = s.store.Put(ctx, "other", []byte("5"), platform.PutOptions{IfRevision: &second})
		wantError(t, err, platform.ErrConflict)
		wantError(t, s.store.Delete(ctx, "k", &first), platform.ErrConflict)
		check(t, s.store.Delete(ctx, "k", &second))
		wantError(t, s.store.Delete(ctx, "k", nil), platform.ErrNotFound)
		again, err := s.store.Put(ctx, "k", nil, platform.PutOptions{IfRevision: revision(platform.IfAbsent)})
		check(t, err)
		if again <= second+1 {
			t.Fatalf("revision after the deletion is %d, the last before it %d", again, second)
		}
	})
}

// Guards against pages that skip or repeat keys, and against prefixes that match other keys.
func TestStoreListPages(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		for i := range 7 {
			_, err := s.store.Put(ctx, fmt.Sprintf("log/a/%03d", i), []byte{byte(i)}, platform.PutOptions{})
			check(t, err)
		}
		_, err := s.store.Put(ctx, "log/b/000", nil, platform.PutOptions{})
		check(t, err)
		var got []string
		after := ""
		for {
			page, err := s.store.List(ctx, "log/a/", after, 3)
			check(t, err)
			if len(page) > 3 {
				t.Fatalf("page has %d entries", len(page))
			}
			if len(page) == 0 {
				break
			}
			for _, e := range page {
				if len(e.Value) != 1 || int(e.Value[0]) != len(got) {
					t.Fatalf("entry %d is %+v", len(got), e)
				}
				got = append(got, e.Key)
			}
			after = page[len(page)-1].Key
		}
		if len(got) != 7 {
			t.Fatalf("listed %v", got)
		}
	})
}

// Guards against a watch that misses a change, returns an old one, or outlives its context.
func TestStoreWatch(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		first, err := s.store.Put(ctx, "head", []byte("1"), platform.PutOptions{})
		check(t, err)
		e, err := s.store.Watch(ctx, "head", first-1)
		check(t, err)
		if e.Revision != first || string(e.Value) != "1" {
			t.Fatalf("watch of a present change returned %+v", e)
		}
		type result struct {
			e   platform.Entry
			err error
		}
		watch := func(after int64) <-chan result {
			ch := make(chan result, 1)
			go func() {
				e, err := s.store.Watch(ctx, "head", after)
				ch <- result{e, err}
			}()
			return ch
		}
		waiting := watch(first)
		time.Sleep(80 * time.Millisecond) // more than two waits of the HTTP client
		second, err := s.store.Put(ctx, "head", []byte("2"), platform.PutOptions{})
		check(t, err)
		if r := <-waiting; r.err != nil || r.e.Revision != second {
			t.Fatalf("waiting watch returned %+v, %v", r.e, r.err)
		}
		waiting = watch(second)
		check(t, s.store.Delete(ctx, "head", nil))
		r := <-waiting
		wantError(t, r.err, platform.ErrNotFound)

		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = s.store.Watch(short, "never", 0)
		wantError(t, err, context.DeadlineExceeded)
		if errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("the end of the caller's context is reported as an outage: %v", err)
		}
	})
}

// Guards against a lease that outlives its length, whose keys remain after it has expired, or that is renewed after that.
func TestStoreLeases(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		id, err := s.store.Grant(ctx, 10*time.Second)
		check(t, err)
		rev, err := s.store.Put(ctx, "slot", []byte("me"), platform.PutOptions{Lease: id})
		check(t, err)
		s.clk.Advance(9 * time.Second)
		check(t, s.store.Renew(ctx, id))
		s.clk.Advance(9 * time.Second)
		e, err := s.store.Get(ctx, "slot")
		check(t, err)
		if e.Lease != id {
			t.Fatalf("entry has lease %d, want %d", e.Lease, id)
		}
		gone := make(chan error, 1)
		go func() {
			_, err := s.store.Watch(ctx, "slot", rev)
			gone <- err
		}()
		s.clk.Advance(time.Second)
		wantError(t, <-gone, platform.ErrNotFound)
		_, err = s.store.Get(ctx, "slot")
		wantError(t, err, platform.ErrNotFound)
		wantError(t, s.store.Renew(ctx, id), platform.ErrLeaseLost)
		_, err = s.store.Put(ctx, "slot", nil, platform.PutOptions{Lease: id})
		wantError(t, err, platform.ErrLeaseLost)

		id, err = s.store.Grant(ctx, time.Second)
		check(t, err)
		_, err = s.store.Put(ctx, "slot", nil, platform.PutOptions{Lease: id})
		check(t, err)
		check(t, s.store.Revoke(ctx, id))
		_, err = s.store.Get(ctx, "slot")
		wantError(t, err, platform.ErrNotFound)
	})
}

// Guards against a write whose response was lost and that is reported as failed or as done.
func TestStoreLostAnswers(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		s.memoryStore.SetFaults(memory.Faults{DropAnswers: 1})
		_, err := s.store.Put(ctx, "k", []byte("token"), platform.PutOptions{IfRevision: revision(platform.IfAbsent)})
		wantError(t, err, platform.ErrUnknownOutcome)
		e, err := s.store.Get(ctx, "k")
		check(t, err)
		if string(e.Value) != "token" {
			t.Fatalf("value is %q", e.Value)
		}
		s.memoryStore.SetFaults(memory.Faults{DropWrites: 1})
		wantError(t, s.store.Delete(ctx, "k", nil), platform.ErrUnknownOutcome)
		_, err = s.store.Get(ctx, "k")
		check(t, err)
		if got := s.memoryStore.Counts().Calls; got[memory.KindPut] != 1 || got[memory.KindDelete] != 1 {
			t.Fatalf("a write was sent again: %v", got)
		}
	})
}

// Guards against an outage that is not reported as ErrUnavailable, or during which a watch goes on waiting.
func TestStoreOutage(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		watch := make(chan error, 1)
		go func() {
			_, err := s.store.Watch(ctx, "k", 0)
			watch <- err
		}()
		waitForCalls(t, s.memoryStore, memory.KindWatch, 1)
		s.memoryStore.SetFaults(memory.Faults{Down: true})
		wantError(t, <-watch, platform.ErrUnavailable)
		_, err := s.store.Put(ctx, "k", nil, platform.PutOptions{})
		wantError(t, err, platform.ErrUnavailable)
		if errors.Is(err, platform.ErrUnknownOutcome) {
			t.Fatalf("a refused write is reported as unknown: %v", err)
		}
		_, err = s.store.Get(ctx, "k")
		wantError(t, err, platform.ErrUnavailable)
		if errors.Is(err, memory.ErrRateLimited) {
			t.Fatalf("an outage is reported as a rate limit: %v", err)
		}
		s.memoryStore.SetFaults(memory.Faults{})
		_, err = s.store.Get(ctx, "k")
		wantError(t, err, platform.ErrNotFound)
	})
}

// Guards against a call that outlives its deadline when the store does not respond, and against a write that is then reported as
// having had no effect.
func TestStoreHang(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		s.memoryStore.SetFaults(memory.Faults{Hang: true})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := s.store.Put(short, "k", nil, platform.PutOptions{})
		wantError(t, err, platform.ErrUnknownOutcome)
		wantError(t, err, context.DeadlineExceeded)
		_, err = s.store.Put(short, "k", nil, platform.PutOptions{})
		wantError(t, err, context.DeadlineExceeded)
		if errors.Is(err, platform.ErrUnknownOutcome) {
			t.Fatalf("a write that was never sent is reported as unknown: %v", err)
		}
	})
}

// Guards against the assumption that a write which timed out can no longer take effect.
func TestStoreLateWrite(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		s.memoryStore.SetFaults(memory.Faults{Latency: time.Second})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := s.store.Put(short, "k", []byte("late"), platform.PutOptions{})
		wantError(t, err, platform.ErrUnknownOutcome)
		s.memoryStore.SetFaults(memory.Faults{})
		_, err = s.store.Get(ctx, "k")
		wantError(t, err, platform.ErrNotFound)
		e, err := s.store.Watch(ctx, "k", 0)
		check(t, err)
		if string(e.Value) != "late" {
			t.Fatalf("value is %q", e.Value)
		}
	})
}

// Guards against calls above the rate limit that take effect, and against a limit that does not admit calls again later.
func TestStoreRateLimit(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		s.memoryStore.SetRates(memory.Rates{Writes: 20})
		for range 2 {
			_, err := s.store.Put(ctx, "k", nil, platform.PutOptions{})
			check(t, err)
		}
		_, err := s.store.Put(ctx, "refused", nil, platform.PutOptions{})
		wantError(t, err, platform.ErrUnavailable)
		_, err = s.store.Get(ctx, "refused")
		wantError(t, err, platform.ErrNotFound)
		s.clk.Advance(time.Second)
		_, err = s.store.Put(ctx, "k", nil, platform.PutOptions{})
		check(t, err)
		if refused := s.memoryStore.Counts().Refused[memory.KindPut]; refused != 1 {
			t.Fatalf("%d refused writes are counted", refused)
		}
	})
}

// Guards against a restart from older data that keeps newer keys, reuses a lease id, or leaves a watch waiting.
func TestStoreRestartWithOlderData(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		old, err := s.store.Put(ctx, "head", []byte("old"), platform.PutOptions{})
		check(t, err)
		snap := s.memoryStore.Snapshot()
		newer, err := s.store.Put(ctx, "head", []byte("new"), platform.PutOptions{})
		check(t, err)
		lost, err := s.store.Grant(ctx, time.Minute)
		check(t, err)
		watch := make(chan error, 1)
		go func() {
			_, err := s.store.Watch(ctx, "head", newer)
			watch <- err
		}()
		waitForCalls(t, s.memoryStore, memory.KindWatch, 1)
		time.Sleep(10 * time.Millisecond) // the watch is counted before it waits
		s.memoryStore.Restore(snap)
		e, err := s.store.Get(ctx, "head")
		check(t, err)
		if e.Revision != old || string(e.Value) != "old" {
			t.Fatalf("after the restart the entry is %+v", e)
		}
		wantError(t, s.store.Renew(ctx, lost), platform.ErrLeaseLost)
		next, err := s.store.Grant(ctx, time.Minute)
		check(t, err)
		if next == lost {
			t.Fatalf("lease id %d was granted twice", next)
		}
		// A watch that was between two calls calls the restarted store, which has no newer revision to return.
		select {
		case err := <-watch:
			wantError(t, err, platform.ErrUnavailable)
		case <-time.After(100 * time.Millisecond):
			s.memoryStore.SetFaults(memory.Faults{Down: true})
			wantError(t, <-watch, platform.ErrUnavailable)
		}
	})
}

// Guards against an instance list without lag, a version that decreases, and rows of terminated instances.
func TestInstanceList(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		row := platform.ListedInstance{
			Name: "lima-1", Kind: platform.KindEntry, Region: "lima", DataCentre: "lima-a", Incarnation: 1<<63 + 5,
			CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", OperatorAddr: "127.0.0.1:3", State: platform.StateLive,
		}
		check(t, s.instances.Announce(ctx, row))
		rows, before, err := s.instances.Instances(ctx)
		check(t, err)
		if len(rows) != 0 {
			t.Fatalf("the list shows %v before its lag has passed", rows)
		}
		s.clk.Advance(listLag)
		rows, version, err := s.instances.Instances(ctx)
		check(t, err)
		if len(rows) != 1 || rows[0] != row || version <= before {
			t.Fatalf("version %d after %d: %+v", version, before, rows)
		}
		check(t, s.instances.Announce(ctx, row))
		s.clk.Advance(listLag)
		if _, again, err := s.instances.Instances(ctx); err != nil || again != version {
			t.Fatalf("an unchanged row moved the version from %d to %d (%v)", version, again, err)
		}
		row.State = platform.StateLeaving
		check(t, s.instances.Announce(ctx, row))
		s.memoryInstances.Drop("lima-1")
		s.clk.Advance(listLag)
		rows, last, err := s.instances.Instances(ctx)
		check(t, err)
		if len(rows) != 0 || last <= version {
			t.Fatalf("version %d after %d: %+v", last, version, rows)
		}
		s.memoryInstances.SetFaults(memory.Faults{Down: true})
		_, _, err = s.instances.Instances(ctx)
		wantError(t, err, platform.ErrUnavailable)
	})
}

// Guards against entries that are merged instead of replaced, and against publishing above the rate limit.
func TestDirectory(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		entries, err := s.directory.Lookup(ctx, "lima")
		check(t, err)
		if len(entries) != 0 {
			t.Fatalf("an unpublished region has %v", entries)
		}
		one := platform.DirectoryEntry{Name: "lima-1", Region: "lima", DataCentre: "a", CallerAddr: "127.0.0.1:1"}
		two := platform.DirectoryEntry{Name: "lima-2", Region: "lima", DataCentre: "b", CallerAddr: "127.0.0.1:2"}
		check(t, s.directory.Publish(ctx, "lima", []platform.DirectoryEntry{one, two}))
		check(t, s.directory.Publish(ctx, "lima", []platform.DirectoryEntry{two}))
		entries, err = s.directory.Lookup(ctx, "lima")
		check(t, err)
		if len(entries) != 1 || entries[0] != two {
			t.Fatalf("entries are %v", entries)
		}
		s.memoryDirectory.SetRates(memory.Rates{Writes: 1})
		check(t, s.directory.Publish(ctx, "lima", nil))
		wantError(t, s.directory.Publish(ctx, "lima", nil), platform.ErrUnavailable)
		s.clk.Advance(time.Second)
		check(t, s.directory.Publish(ctx, "lima", nil))
	})
}

// Guards against a size reported for a missing version, and against reads above the rate limit.
func TestWeightStore(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		s.memoryWeights.SetSize("org/model", "v1", 5<<30)
		size, err := s.weights.Size(ctx, "org/model", "v1")
		check(t, err)
		if size != 5<<30 {
			t.Fatalf("size is %d", size)
		}
		_, err = s.weights.Size(ctx, "org/model", "v2")
		wantError(t, err, platform.ErrNotFound)
		s.memoryWeights.SetRates(memory.Rates{Reads: 1})
		_, err = s.weights.Size(ctx, "org/model", "v1")
		check(t, err)
		_, err = s.weights.Size(ctx, "org/model", "v1")
		wantError(t, err, platform.ErrUnavailable)
	})
}

func waitForCalls(t *testing.T, store *memory.Store, kind string, n int64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if store.Counts().Calls[kind] >= n {
			return
		}
	}
	t.Fatalf("fewer than %d calls of kind %s", n, kind)
}
