package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Peer is another instance.
type Peer struct {
	Instance   string
	DataCentre string
	// NoRelay keeps the instance from being chosen as relay: it is suspected to have failed, or leaving.
	NoRelay bool
}

// Options of a Syncer.
type Options struct {
	Store   platform.Store
	Network peer.Network // nil for an instance without peers
	// Peers returns the known instances. Default: those that Network has a session with, which are all in a small fleet only.
	Peers func() []Peer
	Clock clock.Clock // default clock.Boot
	Log   *zap.Logger // default none
	// ExchangePeriod is how often an instance compares its state with the relay and how often it polls the store
	// while the relay is silent. Default 4 s: a lost push is repaired after that and a CallTimeout, within the 7 s in which
	// a change must be in force everywhere. The relay of 57 instances takes part in 19 exchanges/s, at 2 s in 38.
	ExchangePeriod time.Duration
	// CallTimeout bounds a call to a peer. Default 1.5 s.
	CallTimeout time.Duration
	// StoreTimeout bounds a call to the store, other than a watch. Default 3 s: a store that is slow still serves.
	StoreTimeout time.Duration
	// WatchPeriod is how long one watch waits. Default 3 s: a connection to the store that has gone silent looks like
	// a watch without news, and must be noticed within the 7 s. At 15 data centres this makes 10 reads/s.
	WatchPeriod time.Duration
}

// Validate returns all faults of the options together.
func (o *Options) Validate() error {
	var err error
	if o.Store == nil {
		err = errors.CombineErrors(err, errors.New("configsync: Store is missing"))
	}
	if o.ExchangePeriod < 0 || o.CallTimeout < 0 || o.StoreTimeout < 0 || o.WatchPeriod < 0 {
		err = errors.CombineErrors(err, errors.New("configsync: periods must not be negative"))
	}
	return err
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.ExchangePeriod == 0 {
		o.ExchangePeriod = 4 * time.Second
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = 1500 * time.Millisecond
	}
	if o.StoreTimeout == 0 {
		o.StoreTimeout = 3 * time.Second
	}
	if o.WatchPeriod == 0 {
		o.WatchPeriod = 3 * time.Second
	}
}

// Syncer keeps the view of one instance current.
type Syncer struct {
	opts   Options
	store  *configstore.Store
	hold   *holder
	queue  *publisher
	reason atomic.Pointer[string] // why no configuration could be loaded

	// storeHeard is when the store last answered, as a clock.Instant; 0 for never.
	storeHeard atomic.Int64
	// storeRevision is the store revision of the last head that was read.
	storeRevision atomic.Int64

	life   context.Context // ends with Stop
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// stopping orders the start of background work before the wait in Stop.
	stopping sync.Mutex
}

type protoMessage = proto.Message

var _ Source = (*Syncer)(nil)

// New returns a syncer and registers its services with the network, which must not have been started yet.
func New(opts Options) (*Syncer, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	opts.setDefaults()
	queue := newPublisher()
	s := &Syncer{opts: opts, store: configstore.New(opts.Store, configstore.Options{}), hold: newHolder(queue), queue: queue}
	s.life, s.cancel = context.WithCancel(context.Background())
	s.setReason("no configuration was loaded yet")
	if opts.Network != nil {
		s.handle(opts.Network)
	}
	return s, nil
}

// View returns the current snapshot; it is never nil.
func (s *Syncer) View() View { return s.hold.view.Load() }

// Snapshot returns the view with its head and withdrawn set.
func (s *Syncer) Snapshot() *configview.View { return s.hold.view.Load() }

// Subscribe calls f after each change with the new view, on one goroutine, in order. The returned function ends it.
func (s *Syncer) Subscribe(f func(View)) (cancel func()) { return s.queue.subscribe(f) }

// Ready returns nil once a configuration is in force, or else why there is none.
func (s *Syncer) Ready() error {
	if s.View().Revision() > 0 {
		return nil
	}
	return errors.Newf("no configuration in force: %s", *s.reason.Load())
}

func (s *Syncer) setReason(reason string) { s.reason.Store(&reason) }

// Start loads the configuration from the store, else from a peer, and keeps it current until Stop. It does not fail if none
// can be had: the instance is then not ready, and tries on.
func (s *Syncer) Start(ctx context.Context) error {
	s.wg.Go(func() { s.queue.run(s.life.Done()) })
	s.boot(ctx)
	s.wg.Go(func() { s.watchLoop(s.life) })
	s.wg.Go(func() { s.exchangeLoop(s.life) })
	return nil
}

// Stop ends all work of the syncer and waits for it. The view stays.
func (s *Syncer) Stop(context.Context) error {
	s.stopping.Lock()
	s.cancel()
	s.stopping.Unlock()
	s.wg.Wait()
	return nil
}

// boot loads a first configuration from the store, else from any peer.
func (s *Syncer) boot(ctx context.Context) {
	storeErr := s.poll(ctx)
	if storeErr == nil {
		return
	}
	s.setReason("store: " + storeErr.Error())
	if s.opts.Network == nil {
		return
	}
	peers := s.peers()
	if len(peers) == 0 {
		s.setReason("store: " + storeErr.Error() + "; no peer is known")
		return
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), bootPeers)] {
		err := s.exchange(ctx, p.Instance)
		if s.View().Revision() > 0 {
			return
		}
		if err == nil {
			err = errors.New("it has no configuration either")
		}
		s.setReason("store: " + storeErr.Error() + "; peer " + p.Instance + ": " + err.Error())
	}
}

// bootPeers bounds how many peers are asked one after the other; the exchange loop tries on.
const bootPeers = 3

// poll reads the head from the store and brings it in force if it is higher.
func (s *Syncer) poll(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	head, at, err := s.store.Head(call)
	if err != nil {
		return s.storeFailed(err)
	}
	s.storeSeen(at)
	return s.bring(ctx, head)
}

// storeFailed notes an answer without a head: a store without configuration is well, but has nothing to offer.
func (s *Syncer) storeFailed(err error) error {
	if errors.Is(err, configstore.ErrNoConfiguration) {
		s.storeSeen(0)
	}
	return err
}

func (s *Syncer) storeSeen(at int64) {
	s.storeHeard.Store(int64(s.opts.Clock.Now()))
	s.storeRevision.Store(at)
}

// bring fetches what a head needs and puts it in force. A head that is not higher is no fault. What could be read before a failure
// is kept for the next attempt.
func (s *Syncer) bring(ctx context.Context, head *configview.Head) error {
	missing, err := s.hold.missing(head)
	if errors.Is(err, configview.ErrNotHigher) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(missing) > maxPushedParts {
		missing, err = s.askPeer(ctx, head, missing)
		if errors.Is(err, configview.ErrNotHigher) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	call, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout+time.Duration(len(missing))*partTimeout)
	defer cancel()
	content, err := s.store.Content(call, head, missing)
	if err != nil {
		s.hold.keep(content)
		return err
	}
	return s.accept(head, content, "store")
}

// askPeer reads content from a peer that has much of it in force, and returns what is still missing. When many instances start
// at once, the store could not serve hundreds of parts to each of them.
func (s *Syncer) askPeer(ctx context.Context, head *configview.Head, missing []configview.Digest) ([]configview.Digest, error) {
	names := s.neighbours()
	if len(names) == 0 {
		return missing, nil
	}
	name := names[rand.IntN(len(names))]
	digests := make([]string, len(missing))
	for i, d := range missing {
		digests[i] = string(d)
	}
	parts, err := s.fetchParts(ctx, name, &wire.ConfigFetch{Digests: digests})
	content := make(map[configview.Digest][]byte, len(parts))
	if err := errors.CombineErrors(err, s.addParts(content, parts)); err != nil {
		s.opts.Log.Debug("configuration from a peer is not complete", zap.String("peer", name), zap.Error(err))
	}
	s.hold.keep(content)
	return s.hold.missing(head)
}

// partTimeout is added to the timeout of a fetch for each part: at boot hundreds are read, and the store answers in milliseconds.
const partTimeout = 30 * time.Millisecond

// accept puts a head in force and pushes it on if this instance is the relay.
func (s *Syncer) accept(head *configview.Head, content map[configview.Digest][]byte, from string) error {
	err := s.hold.accept(head, content)
	if errors.Is(err, configview.ErrNotHigher) {
		return nil
	}
	if err != nil {
		return err
	}
	s.opts.Log.Info("configuration in force", zap.Int64("revision", head.Revision), zap.String("from", from), zap.Int("parts", len(content)))
	s.pushOn(head)
	return nil
}

// watchLoop watches the head while this instance is the relay of its data centre.
func (s *Syncer) watchLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !s.isRelay() {
			sleep(ctx, s.opts.ExchangePeriod/8)
			continue
		}
		if err := s.watchOnce(ctx); err != nil && ctx.Err() == nil {
			failures++
			s.opts.Log.Warn("watch of the configuration failed", zap.Error(err))
			sleep(ctx, jitter(min(time.Duration(failures)*s.opts.ExchangePeriod/16, s.opts.ExchangePeriod/2)))
			continue
		}
		failures = 0
	}
}

// watchOnce polls and then waits for the next change. The poll before each wait finds a store that came back with older
// data, whose revisions are below the one that the watch waits for.
func (s *Syncer) watchOnce(ctx context.Context) error {
	err := s.poll(ctx)
	if errors.Is(err, configstore.ErrNoConfiguration) {
		s.setReason("store: " + err.Error())
		sleep(ctx, s.opts.ExchangePeriod/4)
		return nil
	}
	if err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, s.opts.WatchPeriod)
	defer cancel()
	head, at, err := s.store.WatchHead(wait, s.storeRevision.Load())
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil
	}
	if err != nil {
		return s.storeFailed(err)
	}
	s.storeSeen(at)
	return s.bring(ctx, head)
}

// storeFresh reports whether the store has answered within a watch period and a call.
func (s *Syncer) storeFresh() bool {
	heard := clock.Instant(s.storeHeard.Load())
	return heard != 0 && s.opts.Clock.Now().Sub(heard) < s.opts.WatchPeriod+s.opts.CallTimeout
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter returns a duration between half of d and d, so that instances that failed together do not call together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
