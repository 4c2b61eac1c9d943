// Package platform reaches the services that the platform runs for the system: the key-value
// store, the instance list, the client directory and the weight store.
//
// Each service stands behind one small interface with an HTTP client and an in-memory twin.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the store. Callers test them with errors.Is of cockroachdb/errors; the standard library's does not see marks.
var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrConflict reports a compare-and-swap whose expected revision is not the current one.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrLeaseLost reports a lease that has expired or was never granted.
	ErrLeaseLost = errors.New("lease has expired")
	// ErrUnavailable reports a call that was refused before it took effect: rate limit or a known outage.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUnknownOutcome reports a write whose answer was lost: it may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("value is too large")
)

// MaxValueBytes is the platform's limit for a value.
const MaxValueBytes = 1 << 20

// LeaseID names a lease that the store has granted. Zero means no lease.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // store revision of the last change; higher is later
	Lease    LeaseID
}

// PutOptions qualify a write.
type PutOptions struct {
	// IfRevision makes the write succeed only if the key has this revision; 0 means that the key must not exist.
	// Nil writes unconditionally.
	IfRevision *int64
	// Lease deletes the key when the lease expires. Zero keeps it.
	Lease LeaseID
}

// IfAbsent is the revision that PutOptions.IfRevision takes for create-if-absent.
const IfAbsent int64 = 0

// Store is the platform's key-value store. Every call, a waiting watch included, counts against its limits.
// Errors that leave the outcome of a write open are marked ErrUnknownOutcome.
type Store interface {
	// Get returns a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the keys with the prefix in order, at most limit of them from the key after (exclusive).
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// Put writes a key and returns its new revision, or ErrConflict, ErrLeaseLost or ErrTooLarge.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (revision int64, err error)
	// Delete removes a key if it has the given revision (nil: unconditionally).
	Delete(ctx context.Context, key string, ifRevision *int64) error
	// Watch waits until the key has a revision above after and returns it. It returns ErrNotFound if the key was
	// deleted after that revision, and the context's error at its end.
	Watch(ctx context.Context, key string, after int64) (Entry, error)
	// Grant returns a new lease of the given length.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its full length, or returns ErrLeaseLost.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// InstanceState is a state in the platform's instance list.
type InstanceState string

// States of the instance list. A terminated instance is absent.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// InstanceKind tells entry instances of the system from instances that run endpoints.
type InstanceKind string

// Kinds of listed instances.
const (
	KindEntry    InstanceKind = "entry"
	KindEndpoint InstanceKind = "endpoint"
)

// ListedInstance is a row of the instance list.
type ListedInstance struct {
	Name        string        `json:"name"`
	Kind        InstanceKind  `json:"kind"`
	Region      string        `json:"region"`
	DataCentre  string        `json:"data_centre"`
	Incarnation uint64        `json:"incarnation,omitempty"`
	CallerAddr  string        `json:"caller_addr,omitempty"`   // ip:port for callers
	PeerAddr    string        `json:"peer_addr,omitempty"`     // ip:port for other instances
	OperatorAddr string        `json:"operator_addr,omitempty"` // ip:port for operators
	State       InstanceState `json:"state"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// Instances returns the rows and the list's version, which only grows.
	Instances(ctx context.Context) (rows []ListedInstance, version int64, err error)
	// Announce registers or updates the caller's own row.
	Announce(ctx context.Context, row ListedInstance) error
}

// DirectoryEntry is an entry instance as clients find it in the directory.
type DirectoryEntry struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	CallerAddr string `json:"caller_addr"`
}

// Directory is the platform's rate-limited directory for clients.
type Directory interface {
	// Publish replaces the entries of a region.
	Publish(ctx context.Context, region string, entries []DirectoryEntry) error
	// Lookup returns the entries of a region.
	Lookup(ctx context.Context, region string) ([]DirectoryEntry, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Size returns the size of a version's weights in bytes, or ErrNotFound.
	Size(ctx context.Context, model, version string) (bytes int64, err error)
}
