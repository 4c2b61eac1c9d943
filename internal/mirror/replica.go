package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// maxChanges bounds the changes that are kept for readers: those of half a minute with a hundred endpoints.
	maxChanges = 3000
	// maxChangeBytes bounds the values of these changes: a writer may renew a large one again and again. A reader that asks for a
	// change that is no longer kept lists all keys.
	maxChangeBytes = 8 << 20
	// failedCallAllowance is added to a whole watch with its pause to get the age up to which the copy is served to readers, counted from
	// the last answer of its source.
	failedCallAllowance = 600 * time.Millisecond
)

// replica is the copy that a mirror maintains, with its latest changes. Other instances read it instead of the store.
type replica struct {
	mu         sync.Mutex
	equivalent EquivalentFunc
	entries    map[string]platform.Entry
	changes    []positionedChange // changes after base, in order
	base       int64              // revision up to which changes were dropped; 0 before the first list
	asOf       platform.Version   // version up to which the copy is complete
	receivedAt clock.Instant      // when the source last answered
	changed    chan struct{}      // closed at each change
	maxAge     time.Duration      // age up to which the copy is served
}

// positionedChange is a change with the revision at which readers see it: a reader of an earlier revision gets the change. It may be
// higher than the change's own revision if the change was found only by listing all keys again.
type positionedChange struct {
	platform.Change
	visibleAt int64
}

func newReplica(equivalent EquivalentFunc) *replica {
	if equivalent == nil {
		equivalent = func(platform.Entry, platform.Entry) bool { return false }
	}
	return &replica{equivalent: equivalent, entries: make(map[string]platform.Entry), changed: make(chan struct{}), maxAge: DefaultCadence.maxAge()}
}

// apply applies an update that is complete up to the version asOf. In a new era, the changes of the era before are no longer those from
// which the present state has come: readers list all keys again.
func (r *replica) apply(u Update, version platform.Version, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedAt = now
	if version.Era != r.asOf.Era {
		r.entries, r.changes, r.base = make(map[string]platform.Entry, len(u.Changes)), nil, 0
	}
	asOf := version.Revision
	first := r.base == 0
	before := len(r.changes)
	if u.Reset {
		// Differences between the list and the copy were missed by a watch, or were made since the last call.
		listed := make(map[string]bool, len(u.Changes))
		for _, c := range u.Changes {
			listed[c.Key] = true
			if e, known := r.entries[c.Key]; !known || e.Revision != c.Revision {
				r.record(c, asOf)
			}
		}
		for key, e := range r.entries {
			if !listed[key] {
				r.record(platform.Change{Entry: platform.Entry{Key: key, Revision: max(asOf, e.Revision), Era: version.Era}, Deleted: true}, asOf)
			}
		}
	} else {
		for _, c := range u.Changes {
			r.record(c, c.Revision)
		}
	}
	added := len(r.changes) > before
	if first {
		r.changes, r.base = nil, asOf
	}
	if drop := r.excessChanges(); drop > 0 {
		r.base = r.changes[drop-1].visibleAt
		r.changes = append([]positionedChange(nil), r.changes[drop:]...)
	}
	r.asOf = version
	if added || first {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// excessChanges returns how many of the oldest changes are beyond what is kept for readers.
func (r *replica) excessChanges() int {
	size := 0
	for i := len(r.changes) - 1; i >= 0; i-- {
		if size += len(r.changes[i].Value); size > maxChangeBytes || len(r.changes)-i > maxChanges {
			return i + 1
		}
	}
	return 0
}

// record applies a change to the copy, and keeps it for readers if it matters to them.
func (r *replica) record(c platform.Change, at int64) {
	e, known := r.entries[c.Key]
	if c.Deleted {
		delete(r.entries, c.Key)
	} else {
		r.entries[c.Key] = c.Entry
		if known && r.equivalent(e, c.Entry) {
			return
		}
	}
	if known || !c.Deleted {
		r.changes = append(r.changes, positionedChange{c, at})
	}
}

// lastReceived returns when the source last answered, or 0 if it never has.
func (r *replica) lastReceived() clock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.receivedAt
}

// fresh reports whether the copy is complete and recent enough to be served. The caller holds mu.
func (r *replica) fresh(now clock.Instant) bool {
	return r.base > 0 && now.Sub(r.receivedAt) <= r.maxAge
}

var errStale = errors.Mark(errors.New("copy of the store is not up to date"), platform.ErrUnavailable)

// version returns the version up to which the copy is complete.
func (r *replica) version() platform.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

func (r *replica) list(now clock.Instant) ([]platform.Entry, platform.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh(now) {
		return nil, platform.Version{}, errStale
	}
	out := make([]platform.Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e)
	}
	return out, r.asOf, nil
}

// changesAfter returns the changes after a version and the version up to which they are complete. wait is closed when there are
// further changes. A reader that knows of no eras follows the revisions alone, and lists all keys again if its own is above the copy's.
func (r *replica) changesAfter(now clock.Instant, after platform.Version) (changes []platform.Change, asOf platform.Version, wait chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sameEra := after.Era == 0 || r.asOf.Era == 0 || after.Era == r.asOf.Era
	if !r.fresh(now) || !sameEra && after.Era > r.asOf.Era {
		return nil, platform.Version{}, nil, errStale
	}
	if !sameEra || after.Revision < r.base || after.Era == 0 && r.asOf.Era != 0 && after.Revision > r.asOf.Revision {
		return nil, platform.Version{}, nil, platform.ErrCompacted
	}
	for _, c := range r.changes {
		if c.visibleAt > after.Revision {
			changes = append(changes, c.Change)
		}
	}
	return changes, platform.Version{Era: r.asOf.Era, Revision: max(after.Revision, r.asOf.Revision)}, r.changed, nil
}

// List returns the copy like platform.Feed's ListAll returns the store's keys. While the copy is out of date, it returns an error
// marked platform.ErrUnavailable.
func (m *Mirror) List() ([]platform.Entry, platform.Version, error) {
	return m.replica.list(m.clock.Now())
}

// Watch returns changes of the copy like platform.Feed's WatchPrefix returns those of the store.
func (m *Mirror) Watch(ctx context.Context, after platform.Version, wait time.Duration) ([]platform.Change, platform.Version, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, asOf, changed, err := m.replica.changesAfter(m.clock.Now(), after)
		if err != nil || len(changes) > 0 {
			return changes, asOf, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, asOf, nil
		case <-ctx.Done():
			return nil, platform.Version{}, ctx.Err()
		}
	}
}
