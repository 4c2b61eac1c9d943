package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/crashguard"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// CrashPrefix is the prefix of the keys in the store that keep crashes of endpoints for a restart of all instances.
const CrashPrefix = "dogwoodknot/crashes/"

const (
	// crashStoreInterval is the interval at which the store's crashes are brought up to date.
	crashStoreInterval = 500 * time.Millisecond
	// crashSettling is the time from a crash until it is written, if no part is suspected of another one: most parts that were in
	// progress show life within it.
	crashSettling = 2 * time.Second
	// crashRemovalDelay is the time from a write until the key may be removed: a write without a response that is carried out later finds
	// the key changed, and not absent again.
	crashRemovalDelay = 30 * time.Second
	// maxCrashWrites bounds the writes in an interval.
	maxCrashWrites = 16
	// maxStoredCrashes bounds the crashes that are read. The store may hold more than are kept in memory until expired ones are removed.
	maxStoredCrashes = 4 * crashguard.MaxCrashes
)

// crashStore keeps in the store which crashes count against which prompt parts. One instance writes, the keeper. It is not safe for
// concurrent use.
type crashStore struct {
	edge   *Edge
	wall   func() time.Time
	read   bool                                // the store's crashes were read once, or there were none at the first start
	keeper bool                                // this instance is the keeper and has read the store's crashes since it became so
	stored map[catalog.Incarnation]storedCrash // at the keeper
	// changed are the crashes that may differ from the store, as of version of the register.
	changed map[catalog.Incarnation]crashguard.Crash
	version uint64
	era     int64 // of the store before its crashes were read
}

// storedCrash is a key of the store.
type storedCrash struct {
	revision  int64
	parts     map[uint64]bool // that the crash counts against
	writtenAt clock.Instant   // or when it was read
}

func newCrashStore(e *Edge) *crashStore {
	return &crashStore{edge: e, wall: time.Now, read: e.options.FirstStart}
}

// run reads and writes the store's crashes until ctx ends.
func (s *crashStore) run(ctx context.Context) {
	failing := false
	for clock.Sleep(ctx, crashStoreInterval) == nil {
		err := s.update(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			s.edge.log.Warn("crashes of endpoints could not be read from the store or written to it; trying again", zap.Error(err))
		}
		failing = err != nil
	}
}

// update reads the store's crashes if this instance has started as a root or has become the keeper, and writes changes if it is the keeper.
func (s *crashStore) update(ctx context.Context) error {
	e := s.edge
	keeper := e.fleet.isCrashKeeper()
	era := e.fleet.eraOfStore()
	restored := era != s.era && s.era != 0 // some of what was written may be lost
	if keeper != s.keeper || keeper && restored || !s.read && e.view.isRoot() {
		s.keeper = false
		if keeper || !s.read {
			if err := s.readAll(ctx); err != nil {
				return err
			}
		}
		s.read, s.keeper, s.version, s.changed = true, keeper, 0, make(map[catalog.Incarnation]crashguard.Crash)
	}
	s.era = era
	if !s.keeper {
		s.stored, s.changed = nil, nil // read anew once this instance is the keeper
		return nil
	}
	crashes, version := e.guard.changes(s.version)
	for _, c := range crashes {
		s.changed[c.Endpoint] = c
	}
	s.version = version
	return errors.Join(s.writeChanges(ctx), s.removeExpired(ctx))
}

// readAll reads the store's crashes and adds those that have not expired to the ones that are known.
func (s *crashStore) readAll(ctx context.Context) error {
	entries, err := s.edge.options.Store.List(ctx, CrashPrefix, "", maxStoredCrashes)
	if err != nil {
		return errors.Wrap(err, "read crashes of endpoints")
	}
	s.stored = make(map[catalog.Incarnation]storedCrash, len(entries))
	crashes := make([]crashguard.Crash, 0, len(entries))
	for _, entry := range entries {
		c, err := s.decode(entry)
		if err != nil {
			s.edge.log.Warn("key of a crash is not valid; ignoring it", zap.String("key", entry.Key), zap.Error(err))
			continue
		}
		s.stored[c.Endpoint] = storedCrash{entry.Revision, countedParts(c), s.edge.clock.Now()}
		crashes = append(crashes, c)
	}
	s.edge.guard.merge(s.edge.clock.Now(), crashes)
	s.edge.log.Info("crashes of endpoints read from the store", zap.Int("crashes", len(crashes)))
	return nil
}

func (s *crashStore) decode(entry platform.Entry) (crashguard.Crash, error) {
	var m wire.EdgeStoredCrash
	if err := proto.Unmarshal(entry.Value, &m); err != nil {
		return crashguard.Crash{}, errors.Wrap(err, "decode crash")
	}
	now := s.edge.clock.Now()
	c := fleetview.DecodeCrash(now, m.GetCrash())
	if crashKey(c.Endpoint) != entry.Key {
		return c, errors.New("value belongs to another key")
	}
	// The wall clock may have been set since, and the boot clock may begin after the crash.
	c.At = now.Add(-max(s.wall().Sub(time.UnixMilli(m.GetCrashedMillis())), 0))
	return c, nil
}

func (s *crashStore) encode(c crashguard.Crash) ([]byte, error) {
	now := s.edge.clock.Now()
	m := &wire.EdgeStoredCrash{CrashedMillis: s.wall().Add(-now.Sub(c.At)).UnixMilli(), Crash: fleetview.EncodeCrash(now, c)}
	m.Crash.AgeMillis = 0
	m.Crash.Parts = slices.DeleteFunc(m.Crash.Parts, func(p *wire.EdgeSuspectPart) bool { return p.GetCleared() })
	value, err := proto.Marshal(m)
	return value, errors.Wrap(err, "encode crash")
}

// crashKey returns the key of a crash. Ids of endpoints may be longer than a key.
func crashKey(endpoint catalog.Incarnation) string {
	return CrashPrefix + strconv.FormatUint(xxhash.Sum64String(strconv.FormatInt(endpoint.StartedAtMillis, 10)+"/"+endpoint.ID), 16)
}

// countedParts returns the parts that a crash counts against.
func countedParts(c crashguard.Crash) map[uint64]bool {
	parts := make(map[uint64]bool)
	for part, suspect := range c.Parts {
		if !suspect.Cleared {
			parts[part] = true
		}
	}
	return parts
}

// writeChanges writes the changed crashes that differ from the store, the oldest first.
func (s *crashStore) writeChanges(ctx context.Context) error {
	now, writes := s.edge.clock.Now(), 0
	for _, c := range slices.SortedFunc(maps.Values(s.changed), func(a, b crashguard.Crash) int { return cmp.Compare(a.At, b.At) }) {
		parts := countedParts(c)
		stored, has := s.stored[c.Endpoint]
		switch {
		case len(parts) == 0 && !has || has && nearlyEqual(stored.parts, parts):
			delete(s.changed, c.Endpoint)
			continue
		case !has && now.Sub(c.At) < crashSettling && !s.edge.guard.suspected(c):
			continue
		case len(parts) == 0 && now.Sub(stored.writtenAt) < crashRemovalDelay:
			continue
		}
		if writes++; writes > maxCrashWrites {
			return nil
		}
		var err error
		if len(parts) == 0 {
			err = s.remove(ctx, c.Endpoint)
		} else {
			err = s.write(ctx, c, parts)
		}
		if err != nil {
			return err
		}
		delete(s.changed, c.Endpoint)
	}
	return nil
}

// nearlyEqual reports whether stored parts need not be written again: they include the parts, and at most as many others. A part that has
// shown life does so again after a restart.
func nearlyEqual(stored, parts map[uint64]bool) bool {
	for part := range parts {
		if !stored[part] {
			return false
		}
	}
	return len(parts) > 0 && len(stored) <= 2*len(parts)
}

func (s *crashStore) write(ctx context.Context, c crashguard.Crash, parts map[uint64]bool) error {
	value, err := s.encode(c)
	if err != nil {
		return err
	}
	expected := s.stored[c.Endpoint].revision // platform.IfAbsent if there is none
	revision, err := s.edge.options.Store.Put(ctx, crashKey(c.Endpoint), value, platform.PutOptions{IfRevision: &expected})
	if err != nil {
		return s.resolve(ctx, c.Endpoint, err)
	}
	s.stored[c.Endpoint] = storedCrash{revision, parts, s.edge.clock.Now()}
	s.edge.log.Info("crash of an endpoint written to the store", zap.String("endpoint", c.Endpoint.ID), zap.Int("parts", len(parts)),
		zap.Int64("revision", revision))
	return nil
}

func (s *crashStore) remove(ctx context.Context, endpoint catalog.Incarnation) error {
	revision := s.stored[endpoint].revision
	if err := s.edge.options.Store.Delete(ctx, crashKey(endpoint), &revision); err != nil {
		return s.resolve(ctx, endpoint, err)
	}
	delete(s.stored, endpoint)
	s.edge.log.Info("crash of an endpoint removed from the store", zap.String("endpoint", endpoint.ID))
	return nil
}

// resolve reads a key after a write that failed because of its revision, or whose outcome is unknown, and returns the write's error.
func (s *crashStore) resolve(ctx context.Context, endpoint catalog.Incarnation, writeErr error) error {
	if !errors.Is(writeErr, platform.ErrConflict) && !errors.Is(writeErr, platform.ErrUnknownOutcome) {
		return writeErr
	}
	entry, err := s.edge.options.Store.Get(ctx, crashKey(endpoint))
	if errors.Is(err, platform.ErrNotFound) {
		delete(s.stored, endpoint)
		return writeErr
	}
	if err != nil {
		return errors.CombineErrors(writeErr, err)
	}
	// What the key holds is compared and written again in the next interval.
	known := storedCrash{revision: entry.Revision, writtenAt: s.edge.clock.Now()}
	if c, err := s.decode(entry); err == nil {
		known.parts = countedParts(c)
		s.edge.guard.merge(s.edge.clock.Now(), []crashguard.Crash{c})
	}
	s.stored[endpoint] = known
	return writeErr
}

// removeExpired removes crashes that are no longer known, at most one in an interval.
func (s *crashStore) removeExpired(ctx context.Context) error {
	for endpoint := range s.stored {
		if !s.edge.guard.has(endpoint) {
			return s.remove(ctx, endpoint)
		}
	}
	return nil
}
