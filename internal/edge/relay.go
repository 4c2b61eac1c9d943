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

// serviceFeed is the peer service that reads from an instance's copy of the store.
const serviceFeed = "edge.feed"

const (
	// minRelayInstances is the number of instances of a region from which on they read the store through one of them, the
	// relay. Calls to the store are priced; with fewer instances the relay would save less than the delay costs when it is
	// lost.
	minRelayInstances = 4
	// relayGrace is how much longer a call to the relay may take than the wait that it asks for: some round trips within a
	// region.
	relayGrace = 300 * time.Millisecond
	// relayListGrace is how long a list of all keys from the relay may take. Announcements of 300 instances are some 300 kB: 0.3 s on a link
	// of 10 Mbit/s, and more while all instances of the region list them after a start.
	relayListGrace = 2 * time.Second
	// fallbackFor is how long the store is read directly after the relay has failed, and through another instance after calls to
	// the store have failed here.
	fallbackFor = 3 * time.Second
	// storeUnavailableAfter is how long calls to the store must have failed here until the store is read through another
	// instance. It is longer than the time for which instances serve their copies of the store after their last contact with
	// it: if the store is unavailable for all, no copies are served by then.
	storeUnavailableAfter = 2500 * time.Millisecond
	// maxServedHops is the number of instances between the store and an instance that serves its copy: the root of the region, between
	// the store and the head of a data centre.
	maxServedHops = 1
)

// relayedFeed reads the store through the relay, the instance of the region that all instances there choose alike. It reads the
// store directly while the relay fails, or if this instance is the relay.
type relayedFeed struct {
	edge      *Edge
	prefix    string
	direct    platform.Feed
	startedAt clock.Instant

	mu              sync.Mutex
	directUntil     clock.Instant // until when the relay is not used
	lastRelay       string        // the relay used last, for the log
	source          string        // the instance that gave the last answer, "" for the store
	sourceHops      uint32        // instances between this one and the store for the last answer
	answeredAt      clock.Instant // when the last answer of the source came
	storeAnsweredAt clock.Instant // last answer of the store itself, or the start
	peerFirstUntil  clock.Instant // until when another instance is tried before the store
	era             int64         // highest era of the store in an answer, 0 if none is known
}

var _ mirror.Feed = (*relayedFeed)(nil)

// Source implements mirror.Feed.
func (f *relayedFeed) Source() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// recordSource records the source of an answer. It returns false if the call has not brought the store's answer.
func (f *relayedFeed) recordSource(name string, err error) bool {
	if !isAnswer(err) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source, f.answeredAt = name, f.edge.clock.Now()
	if name == "" {
		f.sourceHops = 0
	}
	return true
}

// servedHops returns the number of instances between this one and the store, and whether this one may answer the readers of its copy.
// A copy that was itself read through another instance is served only if that one reads the store itself: instances that read through
// each other could otherwise exchange their own stale copies.
func (f *relayedFeed) servedHops() (hops uint32, ok bool) {
	if f.storeAnswersHere() {
		return 0, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.edge.clock.Now().Sub(f.answeredAt) < storeUnavailableAfter
	return f.sourceHops, f.source != "" && f.sourceHops <= maxServedHops && fresh
}

// relay returns the instance to read through, or false if the store is read directly.
func (f *relayedFeed) relay() (string, bool) {
	name, ok := f.edge.fleet.storeRelay()
	f.mu.Lock()
	defer f.mu.Unlock()
	ok = ok && f.edge.clock.Now() >= f.directUntil
	if !ok {
		name = ""
	}
	if name != f.lastRelay {
		f.edge.log.Info("store is read through", zap.String("peer", name), zap.String("before", f.lastRelay))
		f.lastRelay = name
	}
	return name, ok
}

// recordRelayFailure excludes the relay from reads for a while.
func (f *relayedFeed) recordRelayFailure(name string, err error) {
	f.mu.Lock()
	f.directUntil = f.edge.clock.Now().Add(fallbackFor)
	f.mu.Unlock()
	f.edge.log.Info("read of the store through the relay failed; reading without it", zap.String("peer", name), zap.Error(err))
}

// read reads through the region's relay or from the store. If calls to the store have failed here for a while, it reads through
// any instance that the store still answers: the store may reject the calls of this instance and serve the others.
func (f *relayedFeed) read(ctx context.Context, through func(name string) error, direct func() error) error {
	name, ok := f.relay()
	if !ok && f.awaitRelay(ctx) {
		name, ok = f.relay()
	}
	if ok {
		err := through(name)
		if f.recordSource(name, err) {
			return err
		}
		f.recordRelayFailure(name, err)
	}
	if f.readsPeerFirst() {
		if err := f.readThroughPeer(through); isAnswer(err) {
			return err
		}
	}
	err := direct()
	f.recordSource("", err)
	if !f.storeFailed(err) || ctx.Err() != nil {
		return err
	}
	if peerErr := f.readThroughPeer(through); isAnswer(peerErr) {
		return peerErr
	}
	return err
}

// isAnswer reports whether a call has brought the store's answer, which may be that the history is gone.
func isAnswer(err error) bool { return err == nil || errors.Is(err, platform.ErrCompacted) }

// storeFailed records the outcome of a call to the store, and reports whether calls have failed for so long that another
// instance should be tried.
func (f *relayedFeed) storeFailed(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.edge.clock.Now()
	if isAnswer(err) {
		f.storeAnsweredAt, f.peerFirstUntil = now, 0
		return false
	}
	if now.Sub(f.storeAnsweredAt) < storeUnavailableAfter {
		return false
	}
	f.peerFirstUntil = now.Add(fallbackFor)
	return true
}

func (f *relayedFeed) readsPeerFirst() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.edge.clock.Now() < f.peerFirstUntil
}

// storeAnswersHere reports whether the store itself has answered here lately.
func (f *relayedFeed) storeAnswersHere() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.edge.clock.Now().Sub(f.storeAnsweredAt) < storeUnavailableAfter
}

// readThroughPeer reads through another responsive instance.
func (f *relayedFeed) readThroughPeer(through func(name string) error) error {
	name, ok := f.edge.fleet.storeReader()
	if !ok {
		f.edge.log.Debug("store cannot be read through another instance, since none is responsive", zap.String("prefix", f.prefix))
		return errors.Mark(errors.New("no other instance is responsive"), platform.ErrUnavailable)
	}
	err := through(name)
	f.recordSource(name, err)
	f.edge.log.Debug("store read through another instance", zap.String("peer", name), zap.Error(err))
	return err
}

// admit returns an error if an answer is of an earlier era of the store than one before: the store has been restored since. An answer
// that names no era is of an instance or a store that knows of none.
func (f *relayedFeed) admit(asOf *platform.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf.Era == 0 {
		asOf.Era = f.era
	}
	if asOf.Era < f.era {
		return errors.Mark(errors.Newf("answer is of era %d of the store, which is in era %d", asOf.Era, f.era), platform.ErrUnavailable)
	}
	if f.era != 0 && asOf.Era > f.era && f.prefix == InstancePrefix {
		f.edge.metrics.storeRestored.Inc(1)
	}
	f.era = asOf.Era
	return nil
}

// ListAll implements platform.Feed.
func (f *relayedFeed) ListAll(ctx context.Context, prefix string) (entries []platform.Entry, asOf platform.Version, err error) {
	err = f.read(ctx, func(name string) error {
		answer, err := f.call(ctx, name, &wire.EdgeFeedRequest{Prefix: prefix, List: true}, 0)
		if err != nil {
			return err
		}
		asOf = platform.Version{Era: answer.GetEra(), Revision: answer.GetAsOf()}
		if err := f.admit(&asOf); err != nil {
			return err
		}
		entries = make([]platform.Entry, 0, len(answer.GetChanges()))
		for _, c := range answer.GetChanges() {
			entries = append(entries, decodeChange(c, asOf.Era).Entry)
		}
		return nil
	}, func() (err error) {
		if entries, asOf, err = f.direct.ListAll(ctx, prefix); err != nil {
			return err
		}
		for i := range entries {
			f.bound(&entries[i])
		}
		return f.admit(&asOf)
	})
	return entries, asOf, err
}

// WatchPrefix implements platform.Feed.
func (f *relayedFeed) WatchPrefix(ctx context.Context, prefix string, after platform.Version, wait time.Duration) (changes []platform.Change, asOf platform.Version, err error) {
	err = f.read(ctx, func(name string) error {
		req := &wire.EdgeFeedRequest{Prefix: prefix, After: after.Revision, AfterEra: after.Era, WaitNanos: int64(wait)}
		answer, err := f.call(ctx, name, req, wait)
		if err != nil {
			return err
		}
		if answer.GetCompacted() {
			return platform.ErrCompacted
		}
		asOf = platform.Version{Era: answer.GetEra(), Revision: answer.GetAsOf()}
		if err := f.admit(&asOf); err != nil {
			return err
		}
		changes = make([]platform.Change, 0, len(answer.GetChanges()))
		for _, c := range answer.GetChanges() {
			changes = append(changes, decodeChange(c, asOf.Era))
		}
		return nil
	}, func() (err error) {
		if changes, asOf, err = f.direct.WatchPrefix(ctx, prefix, after, wait); err != nil {
			return err
		}
		for i := range changes {
			f.bound(&changes[i].Entry)
		}
		return f.admit(&asOf)
	})
	if err == nil && asOf.Era != after.Era {
		return nil, platform.Version{}, platform.ErrCompacted
	}
	return changes, asOf, err
}

// bound drops a value that is too large to be an entry of an endpoint or an instance. It could not be used, and a few of them would
// make the answers to the instances that read through this one larger than a message may be.
func (f *relayedFeed) bound(e *platform.Entry) {
	if len(e.Value) > maxEntryBytes && !f.edge.options.Documents.IsConfiguration(e.Key) {
		e.Value = nil
	}
}

func (f *relayedFeed) call(ctx context.Context, name string, req *wire.EdgeFeedRequest, wait time.Duration) (*wire.EdgeFeedAnswer, error) {
	grace := relayGrace
	if req.GetList() {
		grace = relayListGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	answer := &wire.EdgeFeedAnswer{}
	if err := f.edge.network.Call(ctx, name, serviceFeed, req, answer); err != nil {
		return answer, err
	}
	f.mu.Lock()
	f.sourceHops = answer.GetHops() + 1
	f.mu.Unlock()
	return answer, nil
}

func decodeChange(c *wire.EdgeFeedChange, era int64) platform.Change {
	return platform.Change{
		Entry:   platform.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Era: era},
		Deleted: c.GetDeleted(),
	}
}

func encodeChange(c platform.Change) *wire.EdgeFeedChange {
	return &wire.EdgeFeedChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
}

// serveFeed answers from the copy of the store.
func (e *Edge) serveFeed(ctx context.Context, _ peer.Identity, req *wire.EdgeFeedRequest) (proto.Message, error) {
	m := e.mirrors[req.GetPrefix()]
	if m == nil {
		return nil, errors.Newf("prefix %q is not followed", req.GetPrefix())
	}
	feed := e.feeds[req.GetPrefix()]
	hops, ok := feed.servedHops()
	if !ok {
		return nil, errors.New("the store does not answer here")
	}
	if req.GetList() {
		return listAnswer(m, hops)
	}
	changes, asOf, err := m.Watch(ctx, platform.Version{Era: req.GetAfterEra(), Revision: req.GetAfter()}, time.Duration(req.GetWaitNanos()))
	if errors.Is(err, platform.ErrCompacted) {
		return &wire.EdgeFeedAnswer{Compacted: true, Hops: hops}, nil
	}
	if err != nil {
		return nil, err
	}
	answer := &wire.EdgeFeedAnswer{AsOf: asOf.Revision, Era: asOf.Era, Hops: hops}
	for _, c := range changes {
		answer.Changes = append(answer.Changes, encodeChange(c))
	}
	return answer, nil
}

func listAnswer(m *mirror.Mirror, hops uint32) (proto.Message, error) {
	entries, asOf, err := m.List()
	if err != nil {
		return nil, err
	}
	answer := &wire.EdgeFeedAnswer{AsOf: asOf.Revision, Era: asOf.Era, Hops: hops}
	for _, entry := range entries {
		answer.Changes = append(answer.Changes, encodeChange(platform.Change{Entry: entry}))
	}
	return answer, nil
}

// storeReader returns an instance that is likely to read the store itself: one of this region (whose relay fails if this
// instance is the relay), or the one of a remote region that reads the store for the others there.
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
	local := byRegion[f.options.Self.Region]
	delete(byRegion, f.options.Self.Region)
	var remote []string
	for region, names := range byRegion {
		if root := f.highestRanked(region, anyDataCentre); root != nil && len(names) >= minRelayInstances {
			names = []string{root.name}
		}
		remote = append(remote, names...)
	}
	// The instances of this region may be cut off from the store together with this one.
	if len(local) == 0 || len(remote) > 0 && rand.IntN(2) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return "", false
	}
	return local[rand.IntN(len(local))], true
}

// storeRelay returns the instance of the region that reads the store for the others, which is their parent or the head of their data centre. It returns false if
// that is this instance, if the region has too few instances, or if the relay is not usable.
func (f *fleet) storeRelay() (string, bool) {
	name, ok := f.storeParent()
	if !ok || f.regionSize() < minRelayInstances {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	return name, m != nil && m.usable(f.options.Clock.Now())
}
