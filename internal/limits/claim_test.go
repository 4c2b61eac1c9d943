package limits

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// Guards against claims that grow with the square of the instances when a region starts at once: every instance has read the
// same free slots before the first claim.
func TestClaimsOfARegionThatStartsAtOnce(t *testing.T) {
	const instances = 40
	f := newFleet(t, view(1, []config.Region{{Name: "lima", DataCentres: []string{"lima"}, Slots: instances}}))
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("lima-%d", i))
	}
	f.start(names...)
	var claims, arrived sync.WaitGroup
	arrived.Add(instances)
	for _, s := range f.services {
		s.opts.Store = &claimBarrier{Store: f.store, arrived: &arrived}
		claims.Go(func() { _ = s.refresh(context.Background()) }) // a lost claim is no error
	}
	claims.Wait()
	owned := 0
	for _, s := range f.services {
		owned += len(s.Owned())
	}
	// A holder key, a slot record and a few lost claims each.
	if puts := f.store.Counts().Calls[memory.KindPut]; puts > 10*instances {
		t.Errorf("%d writes for %d instances", puts, instances)
	}
	if owned != instances {
		t.Errorf("%d of %d slots are owned after the first refresh", owned, instances)
	}
}

// claimBarrier is the store of one instance, which holds its first claim back until all have one to make.
type claimBarrier struct {
	platform.Store
	arrived *sync.WaitGroup
	first   sync.Once
}

// Put waits at the first claim.
func (b *claimBarrier) Put(ctx context.Context, key string, value []byte, o platform.PutOptions) (int64, error) {
	if strings.HasPrefix(key, slotPrefix) {
		b.first.Do(func() {
			b.arrived.Done()
			b.arrived.Wait()
		})
	}
	return b.Store.Put(ctx, key, value, o)
}

// Guards against an order that leaves a slot out, which nobody would then claim, or that is the same for all.
func TestClaimOrder(t *testing.T) {
	a, b := claimOrder("lima-1", 50), claimOrder("lima-2", 50)
	if slices.Equal(a, b) {
		t.Error("two instances claim in the same order")
	}
	slices.Sort(a)
	for i, index := range a {
		if index != i {
			t.Fatalf("slot %d is not in the order", i)
		}
	}
}
