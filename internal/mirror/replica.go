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
	// maxChanges bounds the changes that are kept for readers: half a minute of a hundred endpoints.
	maxChanges = 3000
	// freshFor is the age of the last contact with the store up to which readers are answered: one whole watch with its pause,
	// and a failed call.
	freshFor = watchWait + pause + 600*time.Millisecond
)

// replica is the copy of a mirror, with its latest changes, for other instances that read it instead of the store.
type replica struct {
	mu      sync.Mutex
	same    EquivalentFunc
	entries map[string]platform.Entry
	changes []numbered // after base, in order
	base    int64      // revision up to which changes are not kept; 0 before the first list
	asOf    int64
	contact clock.Instant
	changed chan struct{} // closed at each change
}

// numbered is a change with the revision of the copy at which readers are told.
type numbered struct {
	platform.Change
	at int64
}

func newReplica(same EquivalentFunc) *replica {
	if same == nil {
		same = func(platform.Entry, platform.Entry) bool { return false }
	}
	return &replica{same: same, entries: make(map[string]platform.Entry), changed: make(chan struct{})}
}

// apply takes an update that is complete up to asOf.
func (r *replica) apply(u Update, asOf int64, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = now
	first := r.base == 0
	before := len(r.changes)
	if u.Reset {
		// What the list shows to be different was missed, or has happened since the last answer.
		listed := make(map[string]bool, len(u.Changes))
		for _, c := range u.Changes {
			listed[c.Key] = true
			if e, known := r.entries[c.Key]; !known || e.Revision != c.Revision {
				r.put(c, asOf)
			}
		}
		for key, e := range r.entries {
			if !listed[key] {
				r.put(platform.Change{Entry: platform.Entry{Key: key, Revision: max(asOf, e.Revision)}, Deleted: true}, asOf)
			}
		}
	} else {
		for _, c := range u.Changes {
			r.put(c, c.Revision)
		}
	}
	told := len(r.changes) > before
	if first {
		r.changes, r.base = nil, asOf
	}
	if drop := len(r.changes) - maxChanges; drop > 0 {
		r.base = r.changes[drop-1].at
		r.changes = append([]numbered(nil), r.changes[drop:]...)
	}
	r.asOf = asOf
	if told || first {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// put takes a change, and keeps it for readers if it tells them something.
func (r *replica) put(c platform.Change, at int64) {
	e, known := r.entries[c.Key]
	if c.Deleted {
		delete(r.entries, c.Key)
	} else {
		r.entries[c.Key] = c.Entry
		if known && r.same(e, c.Entry) {
			return
		}
	}
	if known || !c.Deleted {
		r.changes = append(r.changes, numbered{c, at})
	}
}

// lastContact returns when the store last answered, 0 if it never has.
func (r *replica) lastContact() clock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact
}

// fresh reports whether the copy may be read.
func (r *replica) fresh(now clock.Instant) bool {
	return r.base > 0 && now.Sub(r.contact) <= freshFor
}

var errStale = errors.Mark(errors.New("copy of the store is not up to date"), platform.ErrUnavailable)

func (r *replica) list(now clock.Instant) ([]platform.Entry, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh(now) {
		return nil, 0, errStale
	}
	out := make([]platform.Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e)
	}
	return out, r.asOf, nil
}

// since returns the changes after a revision, or a channel that is closed when there may be some.
func (r *replica) since(now clock.Instant, after int64) (changes []platform.Change, asOf int64, wait chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh(now) {
		return nil, 0, nil, errStale
	}
	if after < r.base {
		return nil, 0, nil, platform.ErrCompacted
	}
	for _, c := range r.changes {
		if c.at > after {
			changes = append(changes, c.Change)
		}
	}
	return changes, max(after, r.asOf), r.changed, nil
}

// List returns the copy as platform.Feed's ListAll returns the store's keys, or an error while it is not up to date.
func (m *Mirror) List() ([]platform.Entry, int64, error) {
	return m.replica.list(m.clock.Now())
}

// Watch answers from the copy as platform.Feed's WatchPrefix does from the store.
func (m *Mirror) Watch(ctx context.Context, after int64, wait time.Duration) ([]platform.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, asOf, changed, err := m.replica.since(m.clock.Now(), after)
		if err != nil || len(changes) > 0 {
			return changes, asOf, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, asOf, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}
