package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports a watch from a revision whose later changes the store no longer keeps. The watcher must list all keys again.
var ErrCompacted = errors.New("history before the watched revision is gone")

// Change is a write of a key, or its deletion.
type Change struct {
	Entry
	Deleted bool // Value and Lease are empty then
}

// Feed lists the keys with a prefix and watches their changes, for a process that keeps a copy of them.
type Feed interface {
	// ListAll returns the keys with the prefix, and the store revision from which WatchPrefix returns every later change to
	// them.
	ListAll(ctx context.Context, prefix string) (entries []Entry, asOf int64, err error)
	// WatchPrefix waits up to wait for changes after the revision, and returns them in order with the revision for the next
	// call. It returns ErrCompacted if the store no longer keeps some of them.
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, asOf int64, err error)
}
