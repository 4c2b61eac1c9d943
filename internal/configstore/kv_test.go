package configstore

import (
	"context"
	"sync/atomic"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// fakeKV is the store in memory with calls of a test around its writes.
type fakeKV struct {
	*memory.Store
	reads atomic.Int64
	// beforePut may change the store, or keep the write from taking effect by an error.
	beforePut    func(key string, value []byte) error
	beforeDelete func()
	// afterPut may replace the answer of a write that took effect.
	afterPut func(key string) error
}

var _ platform.Store = (*fakeKV)(nil)

func newFakeKV() *fakeKV { return &fakeKV{Store: memory.NewStore(memory.StoreOptions{})} }

func (k *fakeKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	k.reads.Add(1)
	return k.Store.Get(ctx, key)
}

func (k *fakeKV) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (int64, error) {
	if k.beforePut != nil {
		if err := k.beforePut(key, value); err != nil {
			return 0, err
		}
	}
	revision, err := k.Store.Put(ctx, key, value, opts)
	if err == nil && k.afterPut != nil {
		err = k.afterPut(key)
	}
	return revision, err
}

func (k *fakeKV) Delete(ctx context.Context, key string, ifRevision *int64) error {
	if k.beforeDelete != nil {
		k.beforeDelete()
	}
	return k.Store.Delete(ctx, key, ifRevision)
}
