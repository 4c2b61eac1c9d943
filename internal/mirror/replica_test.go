package mirror

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// at returns a version of a store without eras.
func at(revision int64) platform.Version { return platform.Version{Revision: revision} }

func change(key string, revision int64, deleted bool) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: deleted}
}

// Guards against a reader of the copy that misses a change, gets one twice, or reads an outdated copy.
func TestCopyAnswersLikeTheStore(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	ctx := context.Background()
	if _, _, err := m.List(); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("before the first list: %v", err)
	}
	m.update(Update{Reset: true, Changes: []platform.Change{change("p/a", 3, false), change("p/b", 5, false)}}, at(10))
	m.update(Update{Changes: []platform.Change{change("p/c", 12, false), change("p/a", 13, true)}}, at(15))
	entries, asOf, err := m.List()
	if err != nil || len(entries) != 2 || asOf.Revision != 15 {
		t.Errorf("list %v at %d, %v", entries, asOf, err)
	}
	for after, want := range map[int64]int{10: 2, 12: 1, 15: 0} {
		changes, asOf, err := m.Watch(ctx, at(after), time.Millisecond)
		if err != nil || len(changes) != want || asOf.Revision != 15 {
			t.Errorf("after %d: %v at %d, %v", after, changes, asOf, err)
		}
	}
	if _, _, err := m.Watch(ctx, at(9), time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("before the list: %v", err)
	}
	go m.update(Update{Changes: []platform.Change{change("p/d", 16, false)}}, at(16))
	if changes, _, err := m.Watch(ctx, at(15), 5*time.Second); err != nil || len(changes) != 1 {
		t.Errorf("waiting reader: %v, %v", changes, err)
	}
	clk.Advance(m.replica.maxAge + time.Millisecond)
	if _, _, err := m.Watch(ctx, at(16), time.Millisecond); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("a copy whose source has not answered for %s is still served: %v", m.replica.maxAge, err)
	}
}

// Guards against a history of changes that grows without bound, and against dropped changes that are not reported to the reader.
func TestCopyKeepsABoundedHistory(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	m.update(Update{Reset: true}, at(1))
	for i := range int64(2 * maxChanges) {
		m.update(Update{Changes: []platform.Change{change(fmt.Sprint("p/", i%10), i+2, false)}}, at(i+2))
	}
	if n := len(m.replica.changes); n > maxChanges {
		t.Errorf("%d changes are kept", n)
	}
	if _, _, err := m.Watch(context.Background(), at(5), time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("reader of dropped changes: %v", err)
	}
	last := int64(2*maxChanges + 1)
	if changes, _, err := m.Watch(context.Background(), at(last-1), time.Millisecond); err != nil || len(changes) != 1 {
		t.Errorf("reader of the last change: %v, %v", changes, err)
	}
}

// Guards against readers that must list all keys again whenever the mirror does, and against differences found by that listing which
// are not sent to them.
func TestRelistSendsDifferences(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	m.update(Update{Reset: true, Changes: []platform.Change{change("p/a", 3, false), change("p/b", 5, false)}}, at(10))
	m.update(Update{Reset: true, Changes: []platform.Change{change("p/a", 3, false), change("p/b", 12, false), change("p/d", 8, false)}}, at(20))
	m.update(Update{Reset: true, Changes: []platform.Change{change("p/b", 12, false), change("p/d", 8, false)}}, at(30))
	got := map[string]bool{}
	changes, asOf, err := m.Watch(context.Background(), at(10), time.Millisecond)
	for _, c := range changes {
		got[fmt.Sprint(c.Key, c.Deleted)] = true
	}
	if err != nil || asOf.Revision != 30 || len(changes) != 3 || !got["p/bfalse"] || !got["p/dfalse"] || !got["p/atrue"] {
		t.Errorf("a reader of revision 10 gets %v as of %d, %v", changes, asOf, err)
	}
	if changes, _, err := m.Watch(context.Background(), at(20), time.Millisecond); err != nil || len(changes) != 1 {
		t.Errorf("a reader of revision 20 gets %v, %v", changes, err)
	}
}

// Guards against sending every renewal of every entry to the instances of a region: at 166 entries that was 3 MB a second for the
// instance that reads the store for them.
func TestRenewalsAreNotSentToReaders(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	value := func(revision int64, value string) platform.Change {
		c := change("p/a", revision, false)
		c.Value = []byte(value)
		return c
	}
	equivalent := func(a, b platform.Entry) bool { return string(a.Value) == string(b.Value) }
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, equivalent)
	m.update(Update{Reset: true, Changes: []platform.Change{value(3, "x")}}, at(10))
	m.update(Update{Changes: []platform.Change{value(11, "x")}}, at(11))
	if changes, asOf, err := m.Watch(context.Background(), at(10), time.Millisecond); err != nil || len(changes) != 0 || asOf.Revision != 11 {
		t.Errorf("a renewal is sent to readers: %v as of %d, %v", changes, asOf, err)
	}
	m.update(Update{Changes: []platform.Change{value(12, "y")}}, at(12))
	if changes, _, err := m.Watch(context.Background(), at(10), time.Millisecond); err != nil || len(changes) != 1 || string(changes[0].Value) != "y" {
		t.Errorf("a change is not sent to readers: %v, %v", changes, err)
	}
	if entries, _, err := m.List(); err != nil || len(entries) != 1 || entries[0].Revision != 12 {
		t.Errorf("the copy is %v, %v", entries, err)
	}
}

// Guards against memory that grows with each renewal of a large entry, and against a reader that misses changes which were dropped.
func TestLargeChangesAreNotAllKept(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	m.update(Update{Reset: true}, at(1))
	const renewals = 100
	for i := range int64(renewals) {
		c := change("p/a", 2+i, false)
		c.Value = make([]byte, 1<<20)
		m.update(Update{Changes: []platform.Change{c}}, at(2+i))
	}
	size := 0
	for _, c := range m.replica.changes {
		size += len(c.Value)
	}
	if size > maxChangeBytes {
		t.Errorf("changes of %d MB are kept", size>>20)
	}
	if _, _, err := m.Watch(t.Context(), at(1), time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("watch of changes that are not kept: %v", err)
	}
	if changes, _, err := m.Watch(t.Context(), at(renewals), time.Millisecond); err != nil || len(changes) != 1 {
		t.Errorf("%d changes after the last but one, %v", len(changes), err)
	}
}
