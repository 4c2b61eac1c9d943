package configstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// fakeKV is a store in memory whose calls can be made to fail.
type fakeKV struct {
	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision int64
	reads    int
	// beforePut is called without the lock. If it returns an error, the write has no effect.
	beforePut func(key string, value []byte) error
	// afterPut is called with the lock after a write took effect and may replace the answer.
	afterPut func(key string) error
}

var _ platform.Store = (*fakeKV)(nil)

func newFakeKV() *fakeKV { return &fakeKV{entries: make(map[string]platform.Entry)} }

func (k *fakeKV) Get(_ context.Context, key string) (platform.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	e, ok := k.entries[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (k *fakeKV) List(_ context.Context, prefix, after string, limit int) ([]platform.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []platform.Entry
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(limit, len(list))], nil
}

func (k *fakeKV) Put(_ context.Context, key string, value []byte, opts platform.PutOptions) (int64, error) {
	if k.beforePut != nil {
		if err := k.beforePut(key, value); err != nil {
			return 0, err
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if opts.IfRevision != nil && k.entries[key].Revision != *opts.IfRevision {
		return 0, platform.ErrConflict
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	k.revision++
	k.entries[key] = platform.Entry{Key: key, Value: slices.Clone(value), Revision: k.revision}
	if k.afterPut != nil {
		if err := k.afterPut(key); err != nil {
			return 0, err
		}
	}
	return k.revision, nil
}

func (k *fakeKV) Delete(_ context.Context, key string, _ *int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.entries, key)
	return nil
}

func (k *fakeKV) Watch(ctx context.Context, _ string, _ int64) (platform.Entry, error) {
	<-ctx.Done()
	return platform.Entry{}, ctx.Err()
}

func (k *fakeKV) Grant(context.Context, time.Duration) (platform.LeaseID, error) { return 1, nil }
func (k *fakeKV) Renew(context.Context, platform.LeaseID) error                  { return nil }
func (k *fakeKV) Revoke(context.Context, platform.LeaseID) error                 { return nil }
