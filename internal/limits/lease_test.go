package limits

import (
	"context"
	"testing"

	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// Guards against a write of the holder key that is carried out late and binds the key to a lease that nobody renews: others would take
// the slots of an instance that goes on using them.
func TestLateWriteDoesNotTakeTheHolderKey(t *testing.T) {
	f := newFleet(t, view(1, twoRegions(), acme(100, 1000)))
	f.start("lima-1")
	s := f.services["lima-1"]
	store := &memory.LateStore{Store: f.store, Lose: 1}
	s.opts.Store = store
	f.run(3)
	if store.CarryOut() != 1 {
		t.Fatal("no write was lost")
	}
	entry, err := f.store.Get(context.Background(), holderKey(s.self.Instance, s.self.Incarnation))
	if err != nil || entry.Lease != s.slots.lease {
		t.Errorf("the key is bound to lease %d, lease %d is renewed: %v", entry.Lease, s.slots.lease, err)
	}
}
