package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Kinds of store calls, as used in Counts.
const (
	KindGet    = "get"
	KindList   = "list"
	KindPut    = "put"
	KindDelete = "delete"
	KindWatch  = "watch"
	KindGrant  = "grant"
	KindRenew  = "renew"
	KindRevoke = "revoke"
)

// expiryPoll is the interval at which a waiting watch checks for expired leases. It polls in real time because a manual clock has no
// timers.
const expiryPoll = 10 * time.Millisecond

// errEmptyKey reports a call without a key.
var errEmptyKey = errors.New("key is empty")

// StoreOptions configure a Store. The zero value has the boot clock and no rate limit.
type StoreOptions struct {
	Clock clock.Clock
	Rates Rates
}

// Store is an in-memory platform.Store.
type Store struct {
	control

	mu        sync.Mutex
	data      state
	lastLease platform.LeaseID // last id granted; not part of data, so that a restart from older data never grants an id again
	epoch     int              // number of restarts
	waiters   map[string]chan struct{}
}

var _ platform.Store = (*Store)(nil)

type state struct {
	revision int64
	entries  map[string]platform.Entry
	deleted  map[string]int64 // revision of the deletion, by key
	leases   map[platform.LeaseID]lease
	// earliestExpiry is a lower bound of the times at which leases expire. Before it, calls need not check all leases.
	earliestExpiry clock.Instant
}

type lease struct {
	ttl     time.Duration
	expires clock.Instant
}

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	return &Store{
		control: newControl(opts.Clock, opts.Rates),
		data: state{
			entries: map[string]platform.Entry{},
			deleted: map[string]int64{},
			leases:  map[platform.LeaseID]lease{},
		},
		waiters: map[string]chan struct{}{},
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var out platform.Entry
	err := s.read(ctx, KindGet, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		e, ok := s.data.entries[key]
		if !ok {
			return notFound(key)
		}
		out = clone(e)
		return nil
	})
	return out, err
}

// List implements platform.Store. A limit of 0 or less means no limit.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, error) {
	var out []platform.Entry
	err := s.read(ctx, KindList, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		out = s.list(prefix, after, limit)
		return nil
	})
	return out, err
}

func (s *Store) list(prefix, after string, limit int) []platform.Entry {
	var keys []string
	for key := range s.data.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]platform.Entry, 0, len(keys))
	for _, key := range keys {
		out = append(out, clone(s.data.entries[key]))
	}
	return out
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (int64, error) {
	if key == "" {
		return 0, errEmptyKey
	}
	if len(value) > platform.MaxValueBytes {
		return 0, errors.Wrapf(platform.ErrTooLarge, "key %q has %d bytes", key, len(value))
	}
	value = append([]byte(nil), value...)
	opts.IfRevision = copyRevision(opts.IfRevision)
	var revision int64
	err := s.write(ctx, KindPut, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if err := s.checkRevision(key, opts.IfRevision); err != nil {
			return err
		}
		if opts.Lease != 0 {
			if _, ok := s.data.leases[opts.Lease]; !ok {
				return leaseLost(opts.Lease)
			}
		}
		s.data.revision++
		s.data.entries[key] = platform.Entry{Key: key, Value: value, Revision: s.data.revision, Lease: opts.Lease}
		delete(s.data.deleted, key)
		s.notifyWaiters(key)
		revision = s.data.revision
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, ifRevision *int64) error {
	ifRevision = copyRevision(ifRevision)
	return s.write(ctx, KindDelete, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if _, ok := s.data.entries[key]; !ok {
			return notFound(key)
		}
		if err := s.checkRevision(key, ifRevision); err != nil {
			return err
		}
		s.remove(key)
		return nil
	})
}

// Watch implements platform.Store. A watch counts as one read.
func (s *Store) Watch(ctx context.Context, key string, after int64) (platform.Entry, error) {
	var out platform.Entry
	err := s.read(ctx, KindWatch, func() error {
		e, err := s.wait(ctx, key, after)
		out = e
		return err
	})
	return out, err
}

func (s *Store) wait(ctx context.Context, key string, after int64) (platform.Entry, error) {
	ticker := time.NewTicker(expiryPoll)
	defer ticker.Stop()
	epoch := s.currentEpoch()
	for {
		down, faultsChanged := s.down()
		if down {
			return platform.Entry{}, errDown
		}
		e, woken, err := s.poll(key, after, epoch)
		if woken == nil {
			return e, err
		}
		select {
		case <-ctx.Done():
			return platform.Entry{}, ctx.Err()
		case <-woken:
		case <-faultsChanged:
		case <-ticker.C:
		}
	}
}

func (s *Store) currentEpoch() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// poll returns the result of a watch, or, if there is none yet, a channel that is closed at the key's next change.
func (s *Store) poll(key string, after int64, epoch int) (platform.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.epoch != epoch {
		return platform.Entry{}, nil, errRestarted
	}
	if e, ok := s.data.entries[key]; ok && e.Revision > after {
		return clone(e), nil, nil
	}
	if s.data.deleted[key] > after {
		return platform.Entry{}, nil, notFound(key)
	}
	woken, ok := s.waiters[key]
	if !ok {
		woken = make(chan struct{})
		s.waiters[key] = woken
	}
	return platform.Entry{}, woken, nil
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if ttl <= 0 {
		return 0, errors.Newf("lease length %v is not positive", ttl)
	}
	var id platform.LeaseID
	err := s.write(ctx, KindGrant, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastLease++
		id = s.lastLease
		l := lease{ttl: ttl, expires: s.clk.Now().Add(ttl)}
		if len(s.data.leases) == 0 || l.expires.Before(s.data.earliestExpiry) {
			s.data.earliestExpiry = l.expires
		}
		s.data.leases[id] = l
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// Renew implements platform.Store.
func (s *Store) Renew(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, KindRenew, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l, ok := s.data.leases[id]
		if !ok {
			return leaseLost(id)
		}
		l.expires = s.clk.Now().Add(l.ttl)
		s.data.leases[id] = l
		return nil
	})
}

// Revoke implements platform.Store. Revoking a lease that has expired or was revoked is not an error.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, KindRevoke, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		return nil
	})
}

// ExpireLease expires a lease now, as if its length had passed.
func (s *Store) ExpireLease(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// Snapshot is the data of a store at one moment.
type Snapshot struct {
	data state
}

// Snapshot copies the store's data.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return Snapshot{data: s.data.clone()}
}

// Restore restarts the store with the data of a snapshot: waiting watches end with platform.ErrUnavailable, revisions
// continue from that of the snapshot, and its leases start again at their full length.
func (s *Store) Restore(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = snap.data.clone()
	now := s.clk.Now()
	for id, l := range s.data.leases {
		l.expires = now.Add(l.ttl)
		s.data.leases[id] = l
	}
	s.data.earliestExpiry = now
	s.epoch++
	for key := range s.waiters {
		s.notifyWaiters(key)
	}
}

func (d state) clone() state {
	out := state{
		revision: d.revision,
		entries:  make(map[string]platform.Entry, len(d.entries)),
		deleted:  make(map[string]int64, len(d.deleted)),
		leases:   make(map[platform.LeaseID]lease, len(d.leases)),
	}
	for key, e := range d.entries {
		out.entries[key] = clone(e)
	}
	for key, revision := range d.deleted {
		out.deleted[key] = revision
	}
	for id, l := range d.leases {
		out.leases[id] = l
	}
	return out
}

func (s *Store) checkRevision(key string, want *int64) error {
	if want == nil {
		return nil
	}
	have := s.data.entries[key].Revision // 0 if absent
	if have != *want {
		return errors.Wrapf(platform.ErrConflict, "key %q has revision %d, expected %d", key, have, *want)
	}
	return nil
}

// expire ends the leases whose length has passed. The caller holds mu.
func (s *Store) expire() {
	now := s.clk.Now()
	if len(s.data.leases) == 0 || now.Before(s.data.earliestExpiry) {
		return
	}
	first := true
	for id, l := range s.data.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
			continue
		}
		if first || l.expires.Before(s.data.earliestExpiry) {
			s.data.earliestExpiry = l.expires
			first = false
		}
	}
}

func (s *Store) endLease(id platform.LeaseID) {
	if _, ok := s.data.leases[id]; !ok {
		return
	}
	delete(s.data.leases, id)
	for key, e := range s.data.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	s.data.revision++
	delete(s.data.entries, key)
	s.data.deleted[key] = s.data.revision
	s.notifyWaiters(key)
}

func (s *Store) notifyWaiters(key string) {
	if woken, ok := s.waiters[key]; ok {
		close(woken)
		delete(s.waiters, key)
	}
}

func clone(e platform.Entry) platform.Entry {
	e.Value = append([]byte(nil), e.Value...)
	return e
}

func copyRevision(r *int64) *int64 {
	if r == nil {
		return nil
	}
	c := *r
	return &c
}

func notFound(key string) error {
	return errors.Wrapf(platform.ErrNotFound, "key %q", key)
}

func leaseLost(id platform.LeaseID) error {
	return errors.Wrapf(platform.ErrLeaseLost, "lease %d", id)
}
