package platform

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports a watch from a version whose later changes the store cannot return. The watcher must list all keys again.
var ErrCompacted = errors.New("history before the watched revision is gone")

// Version is a state of the store. The store begins a new era when it is restored from a copy: what was written since the copy is lost,
// and its revisions are given out again.
type Version struct {
	Era      int64 // from 1; 0 if it is not known
	Revision int64
}

// Compare orders versions by the time at which the store had them. Revisions alone order those of which one has no known era.
func (v Version) Compare(w Version) int {
	if v.Era == 0 || w.Era == 0 {
		return cmp.Compare(v.Revision, w.Revision)
	}
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision))
}

// WrittenAfter reports whether a write that is read as v was made after w. In a new era the store holds what it held at the copy, so that
// a write with a lower revision may be one from before w, unless it is above restoredTo, a revision that the store had in this era.
func (v Version) WrittenAfter(w Version, restoredTo int64) bool {
	if v.Compare(w) <= 0 {
		return false
	}
	return v.Era == w.Era || v.Revision > w.Revision || v.Revision > restoredTo
}

// Change is a write of a key, or its deletion.
type Change struct {
	Entry
	Deleted bool // Value and Lease are empty then
}

// Feed lists the keys with a prefix and watches their changes, for a process that keeps a copy of them.
type Feed interface {
	// ListAll returns the keys with the prefix, and the version of the store from which WatchPrefix returns every later change to
	// them.
	ListAll(ctx context.Context, prefix string) (entries []Entry, asOf Version, err error)
	// WatchPrefix waits up to wait for changes after the version, and returns them in order with the version for the next call.
	// It returns ErrCompacted if the store no longer keeps some of them, or is in another era.
	WatchPrefix(ctx context.Context, prefix string, after Version, wait time.Duration) (changes []Change, asOf Version, err error)
}
