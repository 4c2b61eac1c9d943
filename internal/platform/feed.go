package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports a watch that asks for changes which the store no longer keeps. The watcher must list again.
var ErrCompacted = errors.New("history before the watched revision is gone")

// Change is a key as it was written, or its deletion.
type Change struct {
	Entry
	Deleted bool // Value and Lease are empty then
}

// Feed reads all keys with a prefix and follows their changes, for a process that keeps a copy of them.
type Feed interface {
	// ListAll returns the keys with the prefix, and a store revision from which WatchPrefix misses no change to them.
	ListAll(ctx context.Context, prefix string) (entries []Entry, asOf int64, err error)
	// WatchPrefix waits up to wait for changes after the revision, and returns them in order with the revision to go on
	// from. It returns ErrCompacted if some of them are gone.
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, asOf int64, err error)
}
