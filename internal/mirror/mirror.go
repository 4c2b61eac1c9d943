// Package mirror keeps a copy of some of the platform store's keys up to date, through outages, lost history and connections
// that go silent.
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
	// watchWait is the longest wait of one watch. It bounds how long a watch that hears nothing is believed: a third of the
	// bound within which changes must be in force.
	watchWait = 1200 * time.Millisecond
	// pause is the time between the end of a watch and the next one. Endpoints write several times a second, and each answer
	// is a priced call: changes within the pause come in one answer.
	pause = 200 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// relistAfter is the time after which all keys are read again from the store itself, in case a watch has missed a change.
	relistAfter = 5 * time.Second
)

// Feed is where a mirror reads.
type Feed interface {
	platform.Feed
	// Source is the instance whose copy of the store gave the last answer, or "" for the store itself.
	Source() string
}

// EquivalentFunc reports whether a new entry of a key says nothing that matters beyond the one before. Readers of a mirror's copy are not told of
// it.
type EquivalentFunc func(before, after platform.Entry) bool

// Update is a change of the copy.
type Update struct {
	// Reset says that Changes holds all keys; those that it does not name are gone.
	Reset   bool
	Changes []platform.Change
	// Outage is set on the first update after calls had failed, with the time since the last good answer before them. The
	// store may have been away all that time.
	Outage time.Duration
}

// Mirror follows the keys with one prefix.
type Mirror struct {
	feed   Feed
	prefix string
	clock  clock.Clock
	log    *zap.Logger
	apply  func(Update)

	replica *replica
	lost    bool
}

// New returns a mirror that calls apply, from one goroutine, for each change. same may be nil.
func New(feed Feed, prefix string, c clock.Clock, log *zap.Logger, apply func(Update), same EquivalentFunc) *Mirror {
	return &Mirror{feed: feed, prefix: prefix, clock: c, log: log.With(zap.String("prefix", prefix)), apply: apply, replica: newReplica(same)}
}

// Run follows the keys until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	retry := retryMin
	for ctx.Err() == nil {
		err := m.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			m.log.Info("store history is gone, reading all keys again")
			retry = retryMin
			continue
		}
		if err == nil {
			retry = retryMin
			continue
		}
		if !m.lost {
			m.lost = true
			m.log.Warn("store lost", zap.Error(err))
		}
		if clock.Sleep(ctx, retry) != nil {
			return
		}
		retry = min(2*retry, retryMax)
	}
}

// follow reads all keys and then their changes, until an error or until it is time to read all again (nil). A copy is read again only
// when it is another one: its owner reads all keys again, and tells what has changed.
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
	for {
		if m.feed.Source() != source || source == "" && m.clock.Now().Sub(listed) > relistAfter {
			return nil
		}
		changes, next, err := m.feed.WatchPrefix(ctx, m.prefix, asOf, watchWait)
		if err != nil {
			return err
		}
		asOf = next
		m.update(Update{Changes: changes}, asOf)
		if err := clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// update takes an answer of the store that is complete up to asOf.
func (m *Mirror) update(u Update, asOf int64) {
	now := m.clock.Now()
	if m.lost {
		u.Outage = now.Sub(m.replica.lastContact())
		m.lost = false
		m.log.Info("store regained", zap.Duration("outage", u.Outage))
	}
	m.replica.apply(u, asOf, now)
	if u.Reset || len(u.Changes) > 0 || u.Outage > 0 {
		m.apply(u)
	}
}
