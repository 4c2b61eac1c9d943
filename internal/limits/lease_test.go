package limits

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// lateStore is a store that carries out a write late.
type lateStore struct {
	platform.Store
	lose bool   // the next write gets no response
	late func() // carries out that write
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (int64, error) {
	if !s.lose {
		return s.Store.Put(ctx, key, value, opts)
	}
	s.lose = false
	s.late = func() { _, _ = s.Store.Put(ctx, key, value, opts) } // nobody receives the outcome
	return 0, errors.Mark(errors.New("no response"), platform.ErrUnknownOutcome)
}

// Guards against a write of the holder key that is carried out late and binds the key to a lease that nobody renews: others would take
// the slots of an instance that goes on using them.
func TestLateWriteDoesNotTakeTheHolderKey(t *testing.T) {
	f := newFleet(t, view(1, twoRegions(), acme(100, 1000)))
	f.start("lima-1")
	s := f.services["lima-1"]
	store := &lateStore{Store: f.store, lose: true}
	s.opts.Store = store
	f.run(3)
	if store.late == nil {
		t.Fatal("no write was lost")
	}
	store.late()
	entry, err := f.store.Get(context.Background(), holderKey(s.self.Instance, s.self.Incarnation))
	if err != nil || entry.Lease != s.slots.lease {
		t.Errorf("the key is bound to lease %d, lease %d is renewed: %v", entry.Lease, s.slots.lease, err)
	}
}
