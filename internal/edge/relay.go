package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// serviceFeed is the peer service that answers from an instance's copy of the store.
const serviceFeed = "edge.feed"

const (
	// relayFrom is the number of instances of a region from which on they read the store through one of them. Calls to the
	// store are priced; with fewer instances the relay would save less than the delay of its loss costs.
	relayFrom = 4
	// relayGrace is how much longer than its wait a call to the relay may take: some round trips within a region.
	relayGrace = 300 * time.Millisecond
	// relayAvoid is how long the store is read directly after the relay has failed, and through another instance after the store
	// has failed here.
	relayAvoid = 3 * time.Second
	// firstWait is how long an instance that starts with the whole system waits for an instance to read through, before it reads the
	// store itself: the first callers come ten seconds later, and a hundred instances that all list all keys are a price of half a
	// minute's calls.
	firstWait = 1500 * time.Millisecond
	// detourAfter is for how long the store must have failed here until it is read through another instance. It is longer than copies
	// of the store are passed on after their last contact: if the store is away for all, none is passed on by then.
	detourAfter = 2500 * time.Millisecond
)

// relayedFeed reads the store through an instance of the region that all instances there choose alike, and directly while
// that one fails or if it is this one.
type relayedFeed struct {
	edge   *Edge
	prefix string
	direct platform.Feed
	began  clock.Instant

	mu       sync.Mutex
	avoid    clock.Instant // until when the store is read directly
	last     string        // the relay used last, for the log
	source   string        // the instance that gave the last answer, "" for the store
	directAt clock.Instant // last answer of the store itself, or the start
	detour   clock.Instant // until when the store is not asked first
}

var _ mirror.Feed = (*relayedFeed)(nil)

// Source implements mirror.Feed.
func (f *relayedFeed) Source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// answeredBy notes who has answered, if the call has brought the store's answer.
func (f *relayedFeed) answeredBy(name string, err error) bool {
	if !isAnswer(err) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = name
	return true
}

// relay returns the instance to read through, or false if the store is read directly.
func (f *relayedFeed) relay() (string, bool) {
	name, ok := f.edge.fleet.relay()
	f.mu.Lock()
	defer f.mu.Unlock()
	ok = ok && f.edge.clock.Now() >= f.avoid
	if !ok {
		name = ""
	}
	if name != f.last {
		f.edge.log.Info("store is read through", zap.String("peer", name), zap.String("before", f.last))
		f.last = name
	}
	return name, ok
}

func (f *relayedFeed) failed(name string, err error) {
	f.mu.Lock()
	f.avoid = f.edge.clock.Now().Add(relayAvoid)
	f.mu.Unlock()
	f.edge.log.Info("relay of the store failed", zap.String("peer", name), zap.Error(err))
}

// read reads through the region's relay or from the store. If the store has failed here for a while, it reads through any instance that
// the store still answers: the store may turn this instance away and serve the others.
func (f *relayedFeed) read(ctx context.Context, through func(name string) error, direct func() error) error {
	name, ok := f.relay()
	for !ok && f.mayWait() && clock.Sleep(ctx, firstPoll) == nil {
		name, ok = f.relay()
	}
	if ok {
		err := through(name)
		if f.answeredBy(name, err) {
			return err
		}
		f.failed(name, err)
	}
	if f.onDetour() {
		if err := f.tryDetour(through); isAnswer(err) {
			return err
		}
	}
	err := direct()
	f.answeredBy("", err)
	if !f.storeFailed(err) || ctx.Err() != nil {
		return err
	}
	if detour := f.tryDetour(through); isAnswer(detour) {
		return detour
	}
	return err
}

// firstPoll is the interval of checks for an instance to read through.
const firstPoll = 50 * time.Millisecond

// mayWait reports whether the first read may wait for an instance to read through. The other instances are read from the store itself.
func (f *relayedFeed) mayWait() bool {
	o := &f.edge.options
	return o.FirstStart && f.prefix != InstancePrefix && o.Clock.Now().Sub(f.began) < firstWait
}

// isAnswer reports whether a call has brought the store's answer, which may be that the history is gone.
func isAnswer(err error) bool { return err == nil || errors.Is(err, platform.ErrCompacted) }

// storeFailed notes the outcome of a call to the store, and reports whether it has failed for so long that a detour is tried.
func (f *relayedFeed) storeFailed(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.edge.clock.Now()
	if isAnswer(err) {
		f.directAt, f.detour = now, 0
		return false
	}
	if now.Sub(f.directAt) < detourAfter {
		return false
	}
	f.detour = now.Add(relayAvoid)
	return true
}

func (f *relayedFeed) onDetour() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.edge.clock.Now() < f.detour
}

// answered reports whether the store itself has answered here lately.
func (f *relayedFeed) answered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.edge.clock.Now().Sub(f.directAt) < detourAfter
}

// tryDetour reads through an instance that is heard.
func (f *relayedFeed) tryDetour(through func(name string) error) error {
	name, ok := f.edge.fleet.storeReader()
	if !ok {
		return errors.Mark(errors.New("no other instance is heard"), platform.ErrUnavailable)
	}
	err := through(name)
	f.answeredBy(name, err)
	f.edge.log.Debug("store read through another instance", zap.String("peer", name), zap.Error(err))
	return err
}

// ListAll implements platform.Feed.
func (f *relayedFeed) ListAll(ctx context.Context, prefix string) (entries []platform.Entry, asOf int64, err error) {
	err = f.read(ctx, func(name string) error {
		answer, err := f.call(ctx, name, &wire.EdgeFeedRequest{Prefix: prefix, List: true}, 0)
		if err != nil {
			return err
		}
		entries, asOf = make([]platform.Entry, 0, len(answer.GetChanges())), answer.GetAsOf()
		for _, c := range answer.GetChanges() {
			entries = append(entries, decodeChange(c).Entry)
		}
		return nil
	}, func() (err error) {
		entries, asOf, err = f.direct.ListAll(ctx, prefix)
		return err
	})
	return entries, asOf, err
}

// WatchPrefix implements platform.Feed.
func (f *relayedFeed) WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []platform.Change, asOf int64, err error) {
	err = f.read(ctx, func(name string) error {
		answer, err := f.call(ctx, name, &wire.EdgeFeedRequest{Prefix: prefix, After: after, WaitNanos: int64(wait)}, wait)
		if err != nil {
			return err
		}
		if answer.GetCompacted() {
			return platform.ErrCompacted
		}
		changes, asOf = make([]platform.Change, 0, len(answer.GetChanges())), answer.GetAsOf()
		for _, c := range answer.GetChanges() {
			changes = append(changes, decodeChange(c))
		}
		return nil
	}, func() (err error) {
		changes, asOf, err = f.direct.WatchPrefix(ctx, prefix, after, wait)
		return err
	})
	return changes, asOf, err
}

func (f *relayedFeed) call(ctx context.Context, name string, req *wire.EdgeFeedRequest, wait time.Duration) (*wire.EdgeFeedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayGrace)
	defer cancel()
	answer := &wire.EdgeFeedAnswer{}
	return answer, f.edge.network.Call(ctx, name, serviceFeed, req, answer)
}

func decodeChange(c *wire.EdgeFeedChange) platform.Change {
	return platform.Change{
		Entry:   platform.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision()},
		Deleted: c.GetDeleted(),
	}
}

func encodeChange(c platform.Change) *wire.EdgeFeedChange {
	return &wire.EdgeFeedChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
}

// serveFeed answers from the copy of the store. Only what was read from the store itself is passed on: instances that read through each
// other could pass on their own words.
func (e *Edge) serveFeed(ctx context.Context, _ peer.Identity, req *wire.EdgeFeedRequest) (proto.Message, error) {
	m := e.mirrors[req.GetPrefix()]
	if m == nil {
		return nil, errors.Newf("prefix %q is not followed", req.GetPrefix())
	}
	if !e.feeds[req.GetPrefix()].answered() {
		return nil, errors.New("the store does not answer here")
	}
	if req.GetList() {
		return listAnswer(m)
	}
	changes, asOf, err := m.Watch(ctx, req.GetAfter(), time.Duration(req.GetWaitNanos()))
	if errors.Is(err, platform.ErrCompacted) {
		return &wire.EdgeFeedAnswer{Compacted: true}, nil
	}
	if err != nil {
		return nil, err
	}
	answer := &wire.EdgeFeedAnswer{AsOf: asOf}
	for _, c := range changes {
		answer.Changes = append(answer.Changes, encodeChange(c))
	}
	return answer, nil
}

func listAnswer(m *mirror.Mirror) (proto.Message, error) {
	entries, asOf, err := m.List()
	if err != nil {
		return nil, err
	}
	answer := &wire.EdgeFeedAnswer{AsOf: asOf}
	for _, entry := range entries {
		answer.Changes = append(answer.Changes, encodeChange(platform.Change{Entry: entry}))
	}
	return answer, nil
}

// storeReader returns an instance that is likely to read the store itself: one of this region, whose relay fails if this is it, or one of
// another region that reads the store there.
func (f *fleet) storeReader() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	byRegion := make(map[string][]string)
	for name, m := range f.members {
		if m.usable(now) {
			byRegion[m.Region] = append(byRegion[m.Region], name)
		}
	}
	near := byRegion[f.options.Self.Region]
	delete(byRegion, f.options.Self.Region)
	var far []string
	for region, names := range byRegion {
		if root := f.first(region); root != nil && len(names) >= relayFrom {
			names = []string{root.name}
		}
		far = append(far, names...)
	}
	// Those of this region may be cut off together with this one.
	if len(near) == 0 || len(far) > 0 && rand.IntN(2) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[rand.IntN(len(near))], true
}

// relay returns the instance of the region that reads the store for the others, which is the one that they report to, and false if that
// is this one or the region has too few instances.
func (f *fleet) relay() (string, bool) {
	name, ok := f.above()
	if !ok || f.regionSize() < relayFrom {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	return name, m != nil && m.usable(f.options.Clock.Now())
}
