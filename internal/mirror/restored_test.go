package mirror

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

func in(era, revision int64) platform.Version {
	return platform.Version{Era: era, Revision: revision}
}

// put returns a write of a key as the store shows it in an era.
func put(era int64, key, value string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Value: []byte(value), Revision: revision, Era: era}}
}

// Guards against readers that silently miss the changes of a restored store, since it has passed their revision again or has not reached it
// yet, and against readers that know of no eras and list again and again.
func TestReadersListAgainAfterARestore(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	m.update(Update{Reset: true, Changes: []platform.Change{put(1, "p/a", "1", 90)}}, in(1, 100))
	m.update(Update{Reset: true, Changes: []platform.Change{put(2, "p/b", "1", 55)}}, in(2, 60))
	if changes, _, err := m.Watch(t.Context(), in(1, 100), time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("a reader from before the restore gets %v, %v", changes, err)
	}
	m.update(Update{Changes: []platform.Change{put(2, "p/c", "1", 105)}}, in(2, 110))
	if changes, _, err := m.Watch(t.Context(), in(1, 100), time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("a reader whose revision was passed again gets %v, %v", changes, err)
	}
	if changes, _, err := m.Watch(t.Context(), in(2, 60), time.Millisecond); err != nil || len(changes) != 1 {
		t.Errorf("a reader of the new era gets %v, %v", changes, err)
	}
	if changes, _, err := m.Watch(t.Context(), in(0, 60), time.Millisecond); err != nil || len(changes) != 1 {
		t.Errorf("a reader without eras gets %v, %v", changes, err)
	}
	if _, _, err := m.Watch(t.Context(), in(3, 1), time.Millisecond); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("a reader that has seen a later era: %v", err)
	}
}

// Guards against a copy that keeps a lost entry, because the store has given out its revision again for another one.
func TestRevisionsOfANewEraNameOtherWrites(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	m.update(Update{Reset: true, Changes: []platform.Change{put(1, "p/a", "lost", 50)}}, in(1, 60))
	m.update(Update{Reset: true, Changes: []platform.Change{put(2, "p/a", "new", 50)}}, in(2, 55))
	if entries, asOf, err := m.List(); err != nil || len(entries) != 1 || string(entries[0].Value) != "new" || asOf != in(2, 55) {
		t.Errorf("the copy is %v as of %v, %v", entries, asOf, err)
	}
}
