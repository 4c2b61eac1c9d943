package capacity

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// measureRecords measures records in memory, the takeover of a log, and the store writes of keyed operations.
func measureRecords(ctx context.Context, o Options, s *Section) error {
	at := sizes(o.Records)
	var bytes, takeover []float64
	for _, n := range at {
		entries := logEntries(n)
		log, size, err := heapOf(func() (*atmostonce.Log, error) { return takeOver(entries, n), nil })
		if err != nil {
			return err
		}
		bytes = append(bytes, size)
		_ = log
		start := time.Now()
		takeOver(entries, n)
		takeover = append(takeover, float64(time.Since(start).Nanoseconds()))
	}
	if err := errors.Join(
		s.add("record memory", "bytes", "record", points(at, bytes)...),
		s.add("log taken over", "ns", "record", points(at, takeover)...),
	); err != nil {
		return err
	}
	return measureGroupCommit(ctx, o.RateTime, s)
}

// recordWall is the key time of the records, in Unix milliseconds.
var recordWall = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).UnixMilli()

// claimsPerEntry is the size of the groups in a log that is taken over.
const claimsPerEntry = 8

// logEntries returns a log with claims and their results.
func logEntries(records int) []atmostonce.Entry {
	var out []atmostonce.Entry
	var last []atmostonce.Claim
	for i := 0; i < records; i += claimsPerEntry {
		e := atmostonce.Entry{Sequence: uint64(len(out) + 1), NewestKey: recordWall, Revision: int64(len(out) + 1)}
		for _, c := range last {
			e.Results = append(e.Results, atmostonce.Result{Key: c.Key, KeyTime: c.KeyTime, Ran: true})
		}
		for k := range min(claimsPerEntry, records-i) {
			var id atmostonce.Ident
			binary.BigEndian.PutUint64(id.Key[:], uint64(i+k)*0x9e3779b97f4a7c15)
			e.Claims = append(e.Claims, atmostonce.Claim{Ident: id, KeyTime: recordWall})
		}
		last = e.Claims
		out = append(out, e)
	}
	return out
}

// takeOver reads a log as a new owner.
func takeOver(entries []atmostonce.Entry, records int) *atmostonce.Log {
	o := atmostonce.DefaultLogOptions()
	o.Incarnation = 1
	o.Answers = atmostonce.NewAnswerCache(0, 0)
	o.Budget = atmostonce.NewBudget(records + 1)
	l := atmostonce.NewLog(o)
	now := atmostonce.Time{Boot: 1, Wall: recordWall}
	l.Step(now, atmostonce.Opened{})
	l.Step(now, atmostonce.Listed{Entries: entries})
	return l
}

// ownedSlots are slots of one region that one instance owns.
type ownedSlots struct {
	owner string
	count int
}

var _ operations.Slots = ownedSlots{}

// Owned returns all slots.
func (s ownedSlots) Owned() []int {
	out := make([]int, s.count)
	for i := range out {
		out[i] = i
	}
	return out
}

// Owner returns the one owner.
func (s ownedSlots) Owner(string, int) (string, bool) { return s.owner, true }

// Subscribe reports no change.
func (s ownedSlots) Subscribe(func()) func() { return func() {} }

// fixedView is a configuration that does not change.
type fixedView struct{ view *configview.View }

var _ configsync.Source = fixedView{}

// View returns the view.
func (f fixedView) View() configsync.View { return f.view }

// Subscribe reports no change.
func (f fixedView) Subscribe(func(configsync.View)) func() { return func() {} }

// viewOf puts declarations in force.
func viewOf(ctx context.Context, cfg *config.Config) (fixedView, error) {
	a, err := applyConfig(ctx, cfg)
	if err != nil {
		return fixedView{}, err
	}
	content, err := a.store.Content(ctx, a.head, digests(a.head))
	if err != nil {
		return fixedView{}, err
	}
	v, err := configview.NewState().Accept(a.head, content)
	return fixedView{v}, err
}

// countingStore counts the bytes of values written.
type countingStore struct {
	*memory.Store
	written atomic.Int64
}

// Put counts and writes.
func (s *countingStore) Put(ctx context.Context, key string, value []byte, o platform.PutOptions) (int64, error) {
	s.written.Add(int64(len(key) + len(value)))
	return s.Store.Put(ctx, key, value, o)
}

const (
	storeLatency = 3 * time.Millisecond // "answers in milliseconds"
	clusterPart  = "0123456789abcdef0123456789abcdef"
)

// commits is the outcome of one rate of keyed operations.
type commits struct {
	operations, writes, bytes float64 // per second
}

// measureGroupCommit offers keyed operations at several rates to the owner of one slot, and at one rate to owners of more slots.
func measureGroupCommit(ctx context.Context, during time.Duration, s *Section) error {
	var byRate, perOperation, bySlots []Point
	for _, rate := range []int{20, 100, 400, 1600} {
		c, err := offerOperations(ctx, 1, rate, during, 0)
		if err != nil {
			return err
		}
		byRate = append(byRate, Point{c.operations, c.writes})
		perOperation = append(perOperation, Point{c.operations, c.bytes / c.operations})
	}
	for _, slots := range []int{1, 4, 16, 64} {
		c, err := offerOperations(ctx, slots, 400, during, 0)
		if err != nil {
			return err
		}
		bySlots = append(bySlots, Point{float64(slots), c.writes / c.operations})
	}
	sparse, err := measureSparse(ctx, during)
	if err != nil {
		return err
	}
	return errors.Join(
		s.add("writes of an operation over 64 slots with its result", "writes", "operation/s", sparse...),
		s.add("store writes of one slot", "writes/s", "operation/s", byRate...),
		s.add("store bytes of an operation by rate", "bytes", "operation/s", perOperation...),
		s.add("writes of an operation at 400 operations/s", "writes", "slot", bySlots...),
	)
}

// takeoverTimeout bounds the wait for the logs, whose takeover needs three store calls each.
const takeoverTimeout = 30 * time.Second

// resultTime is longer than a result waits for the next claim of its slot.
var resultTime = atmostonce.DefaultLogOptions().ResultDelay + 500*time.Millisecond

// measureSparse offers so few operations that most results find no later claim to share a write with. The rates run together.
func measureSparse(ctx context.Context, during time.Duration) ([]Point, error) {
	rates := []int{20, 80, 320}
	out := make([]Point, len(rates))
	group, ctx := errgroup.WithContext(ctx)
	for i, rate := range rates {
		group.Go(func() error {
			c, err := offerOperations(ctx, 64, rate, 2*during, resultTime)
			out[i] = Point{c.operations, c.writes / c.operations}
			return err
		})
	}
	return out, group.Wait()
}

// offerOperations sends keyed operations at a fixed rate, whatever the answers take, and counts the writes until a time after.
func offerOperations(ctx context.Context, slots, rate int, during, after time.Duration) (commits, error) {
	cfg := &config.Config{
		Regions:       []config.Region{{Name: regionName(0), DataCentres: []string{"a"}, Slots: slots}},
		Organisations: []config.Organisation{{Name: organisationName(1), Rate: 1e6, Burst: 1e6}},
	}
	view, err := viewOf(ctx, cfg)
	if err != nil {
		return commits{}, err
	}
	store := &countingStore{Store: memory.NewStore(memory.StoreOptions{})}
	store.SetFaults(memory.Faults{Latency: storeLatency})
	network := newFabric().add(identityOf(rowsOf(minDaemons)[0]))
	options := operations.DefaultOptions()
	options.Network, options.Store, options.Config, options.Clock = network, store, view, clock.Boot{}
	options.Slots = ownedSlots{network.Self().Instance, slots}
	options.Runner = noRunner{}
	options.Secrets = [][]byte{[]byte(clusterPart)}
	service, err := operations.New(options)
	if err != nil {
		return commits{}, err
	}
	service.Start()
	defer func() { _ = service.Stop(context.WithoutCancel(ctx)) }()
	if err := waitForLogs(ctx, service, slots); err != nil {
		return commits{}, err
	}
	writes, bytes := store.Counts().Calls[memory.KindPut], store.written.Load()
	done, elapsed, err := offer(ctx, service, rate, during)
	if err != nil {
		return commits{}, err
	}
	if err := clock.Sleep(ctx, after); err != nil {
		return commits{}, err
	}
	return commits{
		operations: float64(done) / elapsed.Seconds(),
		writes:     float64(store.Counts().Calls[memory.KindPut]-writes) / elapsed.Seconds(),
		bytes:      float64(store.written.Load()-bytes) / elapsed.Seconds(),
	}, nil
}

// noRunner refuses forwarded operations, of which there are none.
type noRunner struct{}

// RunForwarded refuses.
func (noRunner) RunForwarded(context.Context, string, *operations.ForwardedRequest) (*operations.Answer, operations.Execution, error) {
	return nil, operations.NotRun, errors.New("no operation is forwarded here")
}

// waitForLogs waits until the logs of all slots are taken over.
func waitForLogs(ctx context.Context, service *operations.Service, slots int) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	for service.LogsReady() < slots {
		if err := clock.Sleep(ctx, 5*time.Millisecond); err != nil {
			return errors.Wrapf(err, "%d of %d logs are taken over", service.LogsReady(), slots)
		}
	}
	return nil
}

// offer sends operations and waits for them. Each endpoint answer takes the time of a store call.
func offer(ctx context.Context, service *operations.Service, rate int, during time.Duration) (done int64, elapsed time.Duration, err error) {
	run := func(context.Context) (*operations.Answer, operations.Execution, error) {
		time.Sleep(storeLatency)
		return &operations.Answer{Status: 200, Body: []byte("{}")}, operations.Ran, nil
	}
	var ran atomic.Int64
	var refusal atomic.Pointer[operations.Outcome]
	var wg sync.WaitGroup
	start := time.Now()
	total := int(float64(rate) * during.Seconds())
	for i := range total {
		if wait := time.Duration(i) * time.Second / time.Duration(rate); wait > time.Since(start) {
			time.Sleep(wait - time.Since(start))
		}
		id, err := uuid.NewV7()
		if err != nil {
			return 0, 0, err
		}
		wg.Go(func() {
			o := service.Do(ctx, operations.Request{Organisation: organisationName(1), Key: id.String(), Method: "POST", Path: "/deposits"}, run)
			if o.Execution == operations.Ran {
				ran.Add(1)
			} else {
				refusal.Store(&o)
			}
		})
	}
	wg.Wait()
	elapsed = time.Since(start)
	if o := refusal.Load(); o != nil {
		return 0, 0, errors.Newf("%d of %d operations ran; one ended as %q: %s: %s", ran.Load(), total, o.Execution, o.Code, o.Message)
	}
	return ran.Load(), elapsed, nil
}
