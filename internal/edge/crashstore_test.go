package edge

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// crashKeeper is the crash store of an instance that knows no other.
type crashKeeper struct {
	*crashStore
	t    *testing.T
	clk  *clock.Manual
	wall time.Time // at which clk began
}

// newCrashKeeper returns the crash store of an instance whose boot clock has run for uptime, at a wall-clock time.
func newCrashKeeper(t *testing.T, store platform.Store, wall time.Time, uptime time.Duration) *crashKeeper {
	clk := &clock.Manual{}
	clk.Advance(uptime)
	o := Options{Self: peer.Identity{Instance: "self", Region: "south", Incarnation: 1}, Clock: clk, Log: zap.NewNop(), Store: store}
	f := newFleet(&o)
	f.selfListed = true
	e := &Edge{options: o, clock: clk, log: o.Log, fleet: f, guard: newPartGuard(f, "self")}
	e.view = newView(e)
	k := &crashKeeper{crashStore: newCrashStore(e), t: t, clk: clk, wall: wall.Add(-uptime)}
	k.crashStore.wall = func() time.Time { return k.wall.Add(time.Duration(clk.Now())) }
	return k
}

// run updates the store for a time.
func (k *crashKeeper) run(length time.Duration) {
	for range length / crashStoreInterval {
		k.clk.Advance(crashStoreInterval)
		_ = k.update(k.t.Context()) // the store's faults are injected
	}
}

func (k *crashKeeper) crash(n int, parts ...uint64) {
	now := k.clk.Now()
	k.edge.guard.recordCrash(now, catalog.Incarnation{ID: fmt.Sprint("e", n), StartedAtMillis: 1},
		[]brokenAttempt{{parts: parts, sentAt: now.Add(-100 * time.Millisecond), brokeAt: now}})
}

func (k *crashKeeper) keys() int {
	k.t.Helper()
	entries, err := k.edge.options.Store.List(k.t.Context(), CrashPrefix, "", 0)
	if err != nil {
		k.t.Fatal(err)
	}
	return len(entries)
}

func (k *crashKeeper) blocks(part uint64) bool {
	return k.edge.guard.check(k.clk.Now(), []uint64{part}).Blocked
}

// Guards against a restart of all instances that makes them forget which part crashes endpoints, also if it comes after each crash or on
// machines that have just started; and against a block that begins anew with each restart.
func TestCrashesOutlastARestartOfAll(t *testing.T) {
	store, wall := memory.NewStore(memory.StoreOptions{}), time.Unix(1e9, 0)
	const deadly, sound = 7, 8
	for n := range 3 {
		k := newCrashKeeper(t, store, wall, time.Duration(n)*time.Second)
		k.run(time.Second)
		k.crash(n, deadly, sound)
		k.edge.guard.recordLife(k.clk.Now(), []uint64{sound})
		k.run(4 * time.Second)
		wall = k.crashStore.wall().Add(time.Second)
	}
	k := newCrashKeeper(t, store, wall, time.Second)
	if k.run(crashStoreInterval); !k.blocks(deadly) || k.blocks(sound) {
		t.Errorf("after the restart: %+v", k.edge.guard.register.Standings())
	}
	if left := k.edge.guard.check(k.clk.Now(), []uint64{deadly}).RetryAfter; left > 26*time.Second {
		t.Errorf("the block lasts another %s", left)
	}
	k.edge.guard.recordLife(k.clk.Now(), []uint64{deadly})
	if k.run(crashRemovalDelay + time.Second); k.keys() != 0 {
		t.Errorf("%d crashes are left in the store that count against no part", k.keys())
	}
}

// Guards against crashes that stay in the store for ever, calls for crashes whose parts show life soon, and odd values that stop the rest.
func TestStoredCrashesAreFew(t *testing.T) {
	store := memory.NewStore(memory.StoreOptions{})
	k := newCrashKeeper(t, store, time.Unix(1e9, 0), time.Hour)
	k.run(time.Second)
	before := store.Counts().Calls
	k.crash(1, 5)
	k.run(time.Second)
	k.edge.guard.recordLife(k.clk.Now(), []uint64{5})
	k.run(time.Minute)
	if after := store.Counts().Calls; fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("calls for a crash whose parts have shown life: %v, %v before", after, before)
	}
	for _, value := range []string{"", "\xff", "no crash"} {
		if _, err := store.Put(t.Context(), CrashPrefix+fmt.Sprint(len(value)), []byte(value), platform.PutOptions{}); err != nil {
			t.Fatal(err)
		}
	}
	k.crash(2, 6)
	k.run(4 * time.Second)
	next := newCrashKeeper(t, store, k.crashStore.wall(), time.Hour)
	next.run(time.Second)
	if s := next.edge.guard.register.Standing(6); s.Crashes != 1 {
		t.Errorf("beside odd values: %+v", s)
	}
	late := newCrashKeeper(t, store, k.crashStore.wall().Add(5*24*time.Hour), time.Hour)
	late.run(time.Second)
	if late.keys() != 3 { // those that are no crashes
		t.Errorf("%d keys after the crash has expired", late.keys())
	}
}

// Guards against a late write or one of another instance that brings back a crash, or hides one.
func TestStoredCrashesAreWrittenUnderTheirRevision(t *testing.T) {
	memoryStore := memory.NewStore(memory.StoreOptions{})
	store := &memory.LateStore{Store: memoryStore, Lose: 1}
	k := newCrashKeeper(t, store, time.Unix(1e9, 0), time.Hour)
	k.crash(1, 5, 6)
	k.run(5 * time.Second)
	k.edge.guard.recordLife(k.clk.Now(), []uint64{5, 6})
	k.run(6 * time.Second)
	late := store.CarryOut()
	if k.run(crashRemovalDelay); late != 1 || k.keys() != 0 {
		t.Errorf("%d keys after %d late writes", k.keys(), late)
	}
	other := newCrashKeeper(t, memoryStore, time.Unix(1e9, 0), time.Hour)
	other.run(time.Second)
	other.crash(2, 7)
	other.run(5 * time.Second)
	k.crash(2, 8)
	k.run(5 * time.Second)
	if k.edge.guard.register.Standing(7).Crashes != 1 {
		t.Error("what another instance has written is not known")
	}
}
