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
	entries map[string]platform.Entry
	changes []platform.Change // after base, in order
	base    int64             // revision up to which changes are not kept; 0 before the first list
	asOf    int64
	contact clock.Instant
	changed chan struct{} // closed at each change
}

func newReplica() *replica {
	return &replica{entries: make(map[string]platform.Entry), changed: make(chan struct{})}
}

// apply takes an update that is complete up to asOf.
func (r *replica) apply(u Update, asOf int64, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = now
	if u.Reset {
		clear(r.entries)
		r.changes, r.base = nil, asOf
	}
	for _, c := range u.Changes {
		if c.Deleted {
			delete(r.entries, c.Key)
		} else {
			r.entries[c.Key] = c.Entry
		}
	}
	if !u.Reset {
		r.changes = append(r.changes, u.Changes...)
		if drop := len(r.changes) - maxChanges; drop > 0 {
			r.base = r.changes[drop-1].Revision
			r.changes = append([]platform.Change(nil), r.changes[drop:]...)
		}
	}
	r.asOf = asOf
	if u.Reset || len(u.Changes) > 0 {
		close(r.changed)
		r.changed = make(chan struct{})
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
		if c.Revision > after {
			changes = append(changes, c)
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
