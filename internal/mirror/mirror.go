// Package mirror maintains a local copy of the platform store's keys with a prefix. It recovers from outages, compacted history and
// connections that become unresponsive.
package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// watchWait is the longest wait of one watch. It also bounds how long a watch on an unresponsive connection goes unnoticed. It
	// is a third of the time within which changes must be in force.
	watchWait = 1200 * time.Millisecond
	// retryMin is the shortest wait after a failed call, and retryMax the longest time between the beginnings of two calls that fail at once.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// Feed is the source that a mirror reads: the store, or another instance's copy of it.
type Feed interface {
	platform.Feed
	// Source returns the instance whose copy of the store the last result came from, or "" for the store itself.
	Source() string
}

// EquivalentFunc reports whether the new entry of a key does not differ from the one before in anything that matters to readers.
// Such a change is not sent to readers of the mirror's copy.
type EquivalentFunc func(before, after platform.Entry) bool

// Update is a set of changes to the copy.
type Update struct {
	// Reset means that Changes holds all keys: those that are not among them no longer exist.
	Reset   bool
	Changes []platform.Change
	// AsOf is the version up to which the update is complete.
	AsOf platform.Version
	// Restored is set on the first update after the store was restored from a copy. Entries with versions of the era before are known
	// to be at least as new as those of the copy.
	Restored bool
	// RestoredTo is a revision that the store had in the present era. Entries of it with a higher one were written in it. 0: in no
	// earlier era were any entries read.
	RestoredTo int64
	// Outage is set on the first update after failed calls: the time since the last successful call before them. The store may
	// have been unavailable for all of it.
	Outage time.Duration
}

// Mirror maintains a copy of the keys with one prefix.
type Mirror struct {
	feed     Feed
	prefix   string
	clock    clock.Clock
	log      *zap.Logger
	onUpdate func(Update)

	cadence  Cadence
	replica  *replica
	history  *history
	inOutage bool
}

// New returns a mirror that calls onUpdate, from one goroutine, for each update. If equivalent is nil, all changes are sent to readers.
func New(feed Feed, prefix string, c clock.Clock, log *zap.Logger, onUpdate func(Update), equivalent EquivalentFunc) *Mirror {
	return &Mirror{feed: feed, prefix: prefix, clock: c, log: log.With(zap.String("prefix", prefix)), onUpdate: onUpdate,
		cadence: DefaultCadence, replica: newReplica(equivalent), history: newHistory()}
}

// SetRecovery sets what happens after the store was restored. It must be called before Run.
func (m *Mirror) SetRecovery(r Recovery) { m.history.recovery = r }

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	retry := retryMin
	for ctx.Err() == nil {
		began := m.clock.Now()
		err := m.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			m.log.Info("store no longer keeps the changes since the last watch, listing all keys again")
			retry = retryMin
			continue
		}
		if err == nil {
			retry = retryMin
			continue
		}
		if !m.inOutage {
			m.inOutage = true
			m.log.Warn("store lost", zap.Error(err))
		}
		// A call that has waited in vain for an answer has kept the interval already.
		if clock.Sleep(ctx, max(retryMin, retry-m.clock.Now().Sub(began))) != nil {
			return
		}
		retry = min(2*retry, retryMax)
	}
}

// follow lists all keys and then watches their changes. It returns an error, or nil when the keys must be listed again: after
// the cadence's RelistAfter if they came from the store itself, and when the source changes. The copy of another instance needs no regular listing,
// because that instance lists the keys again and sends the differences to its readers.
func (m *Mirror) follow(ctx context.Context) error {
	entries, asOf, err := m.feed.ListAll(ctx, m.prefix)
	if err != nil {
		return err
	}
	listed, source := m.clock.Now(), m.feed.Source()
	changes := make([]platform.Change, 0, len(entries))
	for _, e := range entries {
		changes = append(changes, platform.Change{Entry: e})
	}
	m.update(Update{Reset: true, Changes: changes}, asOf)
	m.releaseHeld()
	for {
		if m.feed.Source() != source || source == "" && m.clock.Now().Sub(listed) > m.cadence.RelistAfter {
			return nil
		}
		changes, next, err := m.feed.WatchPrefix(ctx, m.prefix, asOf, m.history.wait(m.clock.Now(), watchWait))
		if err != nil {
			return err
		}
		asOf = next
		m.update(Update{Changes: changes}, asOf)
		if err := clock.Sleep(ctx, m.history.wait(m.clock.Now(), m.cadence.pause(m.feed.Source()))); err != nil {
			return err
		}
		m.releaseHeld()
	}
}

// releaseHeld passes on the held changes that are due.
func (m *Mirror) releaseHeld() {
	if changes := m.history.release(m.clock.Now()); len(changes) > 0 {
		m.log.Info("keys of a restored store are no longer held", zap.Int("keys", len(changes)))
		m.onUpdate(Update{Changes: changes, AsOf: m.replica.version(), RestoredTo: m.history.restoredTo})
	}
}

// update applies changes that are complete up to the version asOf.
func (m *Mirror) update(u Update, asOf platform.Version) {
	now := m.clock.Now()
	u.AsOf = asOf
	if m.inOutage {
		u.Outage = now.Sub(m.replica.lastReceived())
		m.inOutage = false
		m.history.postpone(u.Outage)
		m.log.Info("store regained", zap.Duration("outage", u.Outage))
	}
	m.replica.apply(u, asOf, now)
	before := m.history.era
	if u = m.history.apply(u, now); u.Restored {
		m.log.Warn("store was restored from a copy", zap.Int64("era", asOf.Era), zap.Int64("before", before), zap.Int64("revision", asOf.Revision),
			zap.Int("held", len(m.history.held)), zap.Duration("copy_age", m.history.copyAge(now)))
	}
	if u.Reset || len(u.Changes) > 0 || u.Outage > 0 {
		m.onUpdate(u)
	}
}
