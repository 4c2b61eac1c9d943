// Package platform defines the platform's services that this program uses: the key-value store, the
// instance list, the client directory and the weight store.
//
// Each service has one interface, with an HTTP client in this package and an in-memory implementation in package memory.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the services. Callers test for them with errors.Is of cockroachdb/errors; that of the standard library does not see
// errors.Mark.
var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrConflict reports a conditional write whose expected revision is not the current one.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrLeaseLost reports a lease that has expired or was never granted.
	ErrLeaseLost = errors.New("lease has expired")
	// ErrUnavailable reports a call that failed before it took effect, because of a rate limit or an outage.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUnknownOutcome reports a write without a valid response: it may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("value is too large")
)

// MaxValueBytes is the platform's limit for the size of a value.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease granted by the store. Zero means no lease.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // store revision of the last change; higher is later
	Lease    LeaseID
	Era      int64 // of the store when the entry was read, 0 if it is not known
}

// Version returns the version of the entry's last change.
func (e Entry) Version() Version { return Version{e.Era, e.Revision} }

// PutOptions are the conditions of a write.
type PutOptions struct {
	// IfRevision makes the write succeed only if the key has this revision; 0 means that the key must not exist.
	// Nil writes unconditionally.
	IfRevision *int64
	// Lease binds the key to a lease: the store deletes the key when the lease expires. Zero means no lease.
	Lease LeaseID
}

// IfAbsent is the value of PutOptions.IfRevision with which a write succeeds only if the key does not exist.
const IfAbsent int64 = 0

// Store is the platform's key-value store. Every call, including a watch that waits, counts against its rate limits.
// Errors after which the outcome of a write is unknown are marked ErrUnknownOutcome.
type Store interface {
	// Get returns a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns, in order, at most limit keys that have the prefix and come after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// Put writes a key and returns its new revision, or ErrConflict, ErrLeaseLost or ErrTooLarge.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (revision int64, err error)
	// Delete removes a key if it has the given revision (nil: unconditionally).
	Delete(ctx context.Context, key string, ifRevision *int64) error
	// Watch waits until the key has a revision above after, and returns it. It returns ErrNotFound if the key was
	// deleted after that revision, and the context's error when the context ends.
	Watch(ctx context.Context, key string, after int64) (Entry, error)
	// Grant returns a new lease of the given length.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its full length from now, or returns ErrLeaseLost.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// InstanceState is a state in the platform's instance list.
type InstanceState string

// States of the instance list. A terminated instance has no row.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// InstanceKind distinguishes instances of this program (entry) from the platform's instances that run endpoints.
type InstanceKind string

// Kinds in the instance list.
const (
	KindEntry    InstanceKind = "entry"
	KindEndpoint InstanceKind = "endpoint"
)

// ListedInstance is a row of the instance list.
type ListedInstance struct {
	Name         string        `json:"name"`
	Kind         InstanceKind  `json:"kind"`
	Region       string        `json:"region"`
	DataCentre   string        `json:"data_centre"`
	Incarnation  uint64        `json:"incarnation,omitempty"`
	CallerAddr   string        `json:"caller_addr,omitempty"`   // ip:port for callers
	PeerAddr     string        `json:"peer_addr,omitempty"`     // ip:port for other instances
	OperatorAddr string        `json:"operator_addr,omitempty"` // ip:port for operators
	State        InstanceState `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances. It shows changes with a delay.
type InstanceList interface {
	// Instances returns the rows and the list's version, which never decreases.
	Instances(ctx context.Context) (rows []ListedInstance, version int64, err error)
	// Announce adds or updates the row of the calling instance.
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
