package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
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
	// relayAvoid is how long the store is read directly after the relay has failed.
	relayAvoid = 3 * time.Second
)

// relayedFeed reads the store through an instance of the region that all instances there choose alike, and directly while
// that one fails or if it is this one.
type relayedFeed struct {
	edge   *Edge
	direct platform.Feed

	mu    sync.Mutex
	avoid clock.Instant // until when the store is read directly
	last  string        // the relay used last, for the log
}

var _ platform.Feed = (*relayedFeed)(nil)

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

// ListAll implements platform.Feed.
func (f *relayedFeed) ListAll(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	name, ok := f.relay()
	if !ok {
		return f.direct.ListAll(ctx, prefix)
	}
	answer, err := f.call(ctx, name, &wire.EdgeFeedRequest{Prefix: prefix, List: true}, 0)
	if err != nil {
		f.failed(name, err)
		return f.direct.ListAll(ctx, prefix)
	}
	entries := make([]platform.Entry, 0, len(answer.GetChanges()))
	for _, c := range answer.GetChanges() {
		entries = append(entries, decodeChange(c).Entry)
	}
	return entries, answer.GetAsOf(), nil
}

// WatchPrefix implements platform.Feed.
func (f *relayedFeed) WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Change, int64, error) {
	name, ok := f.relay()
	if !ok {
		return f.direct.WatchPrefix(ctx, prefix, after, wait)
	}
	answer, err := f.call(ctx, name, &wire.EdgeFeedRequest{Prefix: prefix, After: after, WaitNanos: int64(wait)}, wait)
	if err != nil {
		f.failed(name, err)
		return f.direct.WatchPrefix(ctx, prefix, after, wait)
	}
	if answer.GetCompacted() {
		return nil, 0, platform.ErrCompacted
	}
	changes := make([]platform.Change, 0, len(answer.GetChanges()))
	for _, c := range answer.GetChanges() {
		changes = append(changes, decodeChange(c))
	}
	return changes, answer.GetAsOf(), nil
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

// serveFeed answers from the copy of the store. Only what was read from the store itself is passed on: a relay of a relay could
// pass on its own words.
func (e *Edge) serveFeed(ctx context.Context, _ peer.Identity, req *wire.EdgeFeedRequest) (proto.Message, error) {
	m := e.mirrors[req.GetPrefix()]
	if m == nil {
		return nil, errors.Newf("prefix %q is not followed", req.GetPrefix())
	}
	if name, relayed := e.fleet.relay(); relayed {
		return nil, errors.Newf("the store is read through %s here", name)
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

// relay returns the instance of the region that reads the store for the others, and false if that is this one or the region has
// too few instances.
func (f *fleet) relay() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	names := []string{f.options.Self.Instance}
	for name, m := range f.members {
		if m.Region == f.options.Self.Region && m.usable(now) {
			names = append(names, name)
		}
	}
	if len(names) < relayFrom {
		return "", false
	}
	first := rendezvous.First(f.options.Self.Region, names)
	return first, first != f.options.Self.Instance
}
