package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// StoreClient is a Store over HTTP. It is safe for concurrent use.
type StoreClient struct {
	*client
}

var _ Store = (*StoreClient)(nil)

// NewStoreClient returns a client of the store at the URL of the options.
func NewStoreClient(o ClientOptions) (*StoreClient, error) {
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &StoreClient{client: c}, nil
}

// EntryJSON is an Entry in the store's protocol.
type EntryJSON struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision int64   `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
	Era      int64   `json:"-"` // the protocol has none
}

// EntriesJSON is the response body of a list call in the store's protocol.
type EntriesJSON struct {
	Entries []EntryJSON `json:"entries"`
}

// PutJSON is the request body of a write in the store's protocol.
type PutJSON struct {
	Value      []byte  `json:"value"`
	IfRevision *int64  `json:"if_revision,omitempty"`
	Lease      LeaseID `json:"lease,omitempty"`
}

// RevisionJSON is the response body of a write in the store's protocol.
type RevisionJSON struct {
	Revision int64 `json:"revision"`
}

// GrantJSON is the request body of a lease request in the store's protocol.
type GrantJSON struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseJSON is the response body of a lease request in the store's protocol.
type LeaseJSON struct {
	ID LeaseID `json:"id"`
}

func keyPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

func leasePath(id LeaseID) string { return "/v1/leases/" + formatInt(int64(id)) }

// Get implements Store.
func (s *StoreClient) Get(ctx context.Context, key string) (Entry, error) {
	in := call{method: http.MethodGet, path: keyPath(key)}
	return s.entry(ctx, in)
}

func (s *StoreClient) entry(ctx context.Context, in call) (Entry, error) {
	a, err := s.do(ctx, in)
	if err != nil {
		return Entry{}, err
	}
	var out EntryJSON
	if err := decode(in, a, &out); err != nil {
		return Entry{}, err
	}
	return Entry(out), nil
}

// List implements Store.
func (s *StoreClient) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	in := call{
		method: http.MethodGet,
		path:   "/v1/kv",
		query:  url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}},
	}
	a, err := s.do(ctx, in)
	if err != nil {
		return nil, err
	}
	var out EntriesJSON
	if err := decode(in, a, &out); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(out.Entries))
	for _, e := range out.Entries {
		entries = append(entries, Entry(e))
	}
	return entries, nil
}

// Put implements Store. A value above MaxValueBytes is rejected without a call.
func (s *StoreClient) Put(ctx context.Context, key string, value []byte, opts PutOptions) (int64, error) {
	if key == "" {
		return 0, errors.New("key is empty")
	}
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "key %q has %d bytes", key, len(value))
	}
	in := call{
		method: http.MethodPut,
		path:   keyPath(key),
		body:   PutJSON{Value: value, IfRevision: opts.IfRevision, Lease: opts.Lease},
		write:  true,
	}
	a, err := s.do(ctx, in)
	if err != nil {
		return 0, err
	}
	var out RevisionJSON
	if err := decode(in, a, &out); err != nil {
		return 0, err
	}
	return out.Revision, nil
}

// Delete implements Store.
func (s *StoreClient) Delete(ctx context.Context, key string, ifRevision *int64) error {
	in := call{method: http.MethodDelete, path: keyPath(key), write: true}
	if ifRevision != nil {
		in.query = url.Values{"if_revision": {formatInt(*ifRevision)}}
	}
	_, err := s.do(ctx, in)
	return err
}

// Watch implements Store. It repeats the call when the service ends the wait without a change, and returns any other failure.
func (s *StoreClient) Watch(ctx context.Context, key string, after int64) (Entry, error) {
	for {
		wait := s.watchWait
		if deadline, ok := ctx.Deadline(); ok {
			// A wait beyond the deadline would only keep the call open at the service.
			wait = max(time.Millisecond, min(wait, time.Until(deadline)))
		}
		in := call{
			method: http.MethodGet,
			path:   "/v1/watch/" + url.PathEscape(key),
			query:  url.Values{"after": {formatInt(after)}, "wait_ms": {formatInt(wait.Milliseconds())}},
			hold:   wait + watchGrace,
		}
		a, err := s.do(ctx, in)
		if err != nil {
			return Entry{}, err
		}
		if a.status == http.StatusNoContent {
			continue
		}
		var out EntryJSON
		if err := decode(in, a, &out); err != nil {
			return Entry{}, err
		}
		return Entry(out), nil
	}
}

// Grant implements Store.
func (s *StoreClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if ttl < time.Millisecond {
		return 0, errors.Newf("lease length %v is below 1ms", ttl)
	}
	in := call{
		method: http.MethodPost,
		path:   "/v1/leases",
		body:   GrantJSON{TTLMillis: ttl.Milliseconds()},
		write:  true,
	}
	a, err := s.do(ctx, in)
	if err != nil {
		return 0, err
	}
	var out LeaseJSON
	if err := decode(in, a, &out); err != nil {
		return 0, err
	}
	return out.ID, nil
}

// Renew implements Store.
func (s *StoreClient) Renew(ctx context.Context, id LeaseID) error {
	_, err := s.do(ctx, call{method: http.MethodPost, path: leasePath(id) + "/renew", write: true})
	return err
}

// Revoke implements Store.
func (s *StoreClient) Revoke(ctx context.Context, id LeaseID) error {
	_, err := s.do(ctx, call{method: http.MethodDelete, path: leasePath(id), write: true})
	return err
}
