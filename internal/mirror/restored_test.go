package mirror

import (
	"context"
	"fmt"
	"maps"
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

func deleted(era int64, key string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Revision: revision, Era: era}, Deleted: true}
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

// Guards against readers of the release before, which send no era, that miss the changes of a restored store up to the revision that they had.
func TestReaderWithoutErasListsAgainAfterARestore(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	m := New(nil, "p/", clk, zap.NewNop(), func(Update) {}, nil)
	m.update(Update{Reset: true, Changes: []platform.Change{put(1, "p/a", "1", 90)}}, in(1, 100))
	m.update(Update{Reset: true, Changes: []platform.Change{put(2, "p/b", "1", 55)}}, in(2, 60))
	if changes, asOf, err := m.Watch(t.Context(), in(0, 100), time.Millisecond); !errors.Is(err, platform.ErrCompacted) {
		t.Errorf("a reader from before the restore gets %v as of %v, %v", changes, asOf, err)
	}
	if _, asOf, err := m.Watch(t.Context(), in(0, 60), time.Millisecond); err != nil || asOf.Revision != 60 {
		t.Errorf("a reader that has listed again continues from %v, %v", asOf, err)
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

// Guards against a restored store that takes back what is known to be later: an entry, its deletion, or a key that was added since the copy;
// against doubts about a copy that do not end, and against an unchanged entry that is passed on as another write, so that its times begin anew.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	const holdFor, keepFor = 5 * time.Second, 3 * time.Second
	list := func(asOf platform.Version, changes ...platform.Change) Update {
		return Update{Reset: true, AsOf: asOf, Changes: changes}
	}
	watch := func(asOf platform.Version, changes ...platform.Change) Update {
		return Update{AsOf: asOf, Changes: changes}
	}
	for name, tc := range map[string]struct {
		before  []Update // era 1
		after   []Update // era 2
		want    string   // value of p/a; "" if it is gone
		settled string   // when it is not written again
	}{
		"an older entry":                     {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10))}, "new", "old"},
		"an older entry, listed twice":       {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10)), list(in(2, 14), put(2, "p/a", "old", 10))}, "new", "old"},
		"an older entry, then written again": {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10)), watch(in(2, 13), put(2, "p/a", "newest", 13))}, "newest", "newest"},
		"an older entry, then deleted":       {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10)), watch(in(2, 13), deleted(2, "p/a", 13))}, "", ""},
		"an older entry, then gone":          {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10)), list(in(2, 14))}, "", ""},
		"written again before the list":      {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 30), put(2, "p/a", "newest", 27))}, "newest", "newest"},
		"deleted since the copy":             {[]Update{list(in(1, 15), put(1, "p/a", "old", 10)), watch(in(1, 25), deleted(1, "p/a", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10))}, "", "old"},
		"found deleted since the copy":       {[]Update{list(in(1, 15), put(1, "p/a", "old", 10)), list(in(1, 25))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10))}, "", "old"},
		"deleted since the copy, then gone":  {[]Update{list(in(1, 15), put(1, "p/a", "old", 10)), watch(in(1, 25), deleted(1, "p/a", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10)), list(in(2, 14))}, "", ""},
		"an entry that says it is later":     {[]Update{list(in(1, 25), put(1, "p/a", "known", 20))}, []Update{list(in(2, 12), put(2, "p/a", "later", 10))}, "later", "later"},
		"deleted again":                      {[]Update{list(in(1, 15), put(1, "p/a", "old", 10)), watch(in(1, 25), deleted(1, "p/a", 20))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10)), watch(in(2, 13), deleted(2, "p/a", 13))}, "", ""},
		"added since the copy":               {[]Update{list(in(1, 15)), watch(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12))}, "new", ""},
		"added, then written again":          {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12)), watch(in(2, 13), put(2, "p/a", "new", 13))}, "new", "new"},
		"added, written again, then gone":    {[]Update{list(in(1, 25), put(1, "p/a", "new", 20))}, []Update{list(in(2, 12)), watch(in(2, 13), put(2, "p/a", "new", 13)), list(in(2, 15))}, "", ""},
		"unchanged":                          {[]Update{list(in(1, 25), put(1, "p/a", "same", 10))}, []Update{list(in(2, 12), put(2, "p/a", "same", 10))}, "same", "same"},
		"unchanged, then gone":               {[]Update{list(in(1, 25), put(1, "p/a", "same", 10))}, []Update{list(in(2, 12), put(2, "p/a", "same", 10)), list(in(2, 14))}, "", ""},
		"not known before":                   {[]Update{list(in(1, 25))}, []Update{list(in(2, 12), put(2, "p/a", "old", 10))}, "old", "old"},
		"exempt":                             {[]Update{list(in(1, 25), put(1, "p/x", "new", 20))}, []Update{list(in(2, 12), put(2, "p/x", "old", 10))}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			clk := &clock.Manual{}
			clk.Advance(time.Hour)
			view, changes, lastEra := map[string]string{}, 0, int64(0)
			m := New(nil, "p/", clk, zap.NewNop(), func(u Update) {
				if u.Reset {
					clear(view)
				}
				for _, c := range u.Changes {
					changes, lastEra = changes+1, c.Era
					view[c.Key] = string(c.Value)
					if c.Deleted {
						delete(view, c.Key)
					}
				}
			}, nil)
			m.SetRecovery(Recovery{HoldFor: holdFor, KeepFor: keepFor,
				Later: func(_, shown platform.Entry) bool { return string(shown.Value) == "later" }, Exempt: func(key string) bool { return key == "p/x" }})
			for _, u := range append(tc.before, tc.after...) {
				m.update(u, u.AsOf)
			}
			if view["p/a"] != tc.want {
				t.Errorf("after the restore the key is %q, want %q", view["p/a"], tc.want)
			}
			if x := view["p/x"]; x != "" && x != "old" {
				t.Errorf("an exempt key is %q", x)
			}
			if view["p/a"] == "same" && lastEra != 1 {
				t.Errorf("an unchanged entry is passed on as a write of era %d", lastEra)
			}
			clk.Advance(max(holdFor, keepFor))
			m.releaseHeld()
			if view["p/a"] != tc.settled {
				t.Errorf("later the key is %q, want %q", view["p/a"], tc.settled)
			}
			before, seen := maps.Clone(view), changes
			clk.Advance(time.Hour)
			m.releaseHeld()
			if fmt.Sprint(view) != fmt.Sprint(before) || changes != seen {
				t.Errorf("an hour later: %v after %v", view, before)
			}
		})
	}
}

// Guards against a key that is given up because the restored store was away again when its writer would have written it, and against an age of
// the copy that counts from the last list.
func TestHeldChangesOutlastAnOutage(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	gone := false
	m := New(nil, "p/", clk, zap.NewNop(), func(u Update) {
		gone = gone || len(u.Changes) == 1 && u.Changes[0].Deleted
	}, nil)
	m.SetRecovery(Recovery{KeepFor: 2 * time.Second})
	m.update(Update{Reset: true, Changes: []platform.Change{put(1, "p/a", "1", 20)}}, in(1, 20))
	clk.Advance(7 * time.Second)
	m.update(Update{Reset: true, Changes: []platform.Change{put(1, "p/a", "1", 20)}}, in(1, 30))
	m.update(Update{Reset: true}, in(2, 10))
	if age := m.history.copyAge(clk.Now()); age != 7*time.Second {
		t.Errorf("the copy lacks a key that was learned 7 s ago, its age is said to be %s", age)
	}
	clk.Advance(time.Second)
	m.inOutage = true
	clk.Advance(4 * time.Second)
	m.update(Update{Reset: true}, in(2, 11))
	m.releaseHeld()
	if gone {
		t.Error("the key is given up right after the outage")
	}
	clk.Advance(2 * time.Second)
	if m.releaseHeld(); !gone {
		t.Error("the key is kept for longer")
	}
}

// Guards against a key that is given up after a restore with a revision of the era before: what is written later in the new era would count as
// older, and be withheld after the next restore.
func TestKeyThatWasGivenUpIsKnownAgain(t *testing.T) {
	for name, again := range map[string]bool{"when it is due": false, "by a list": true} {
		t.Run(name, func(t *testing.T) {
			clk := &clock.Manual{}
			clk.Advance(time.Hour)
			view := map[string]string{}
			m := New(nil, "p/", clk, zap.NewNop(), func(u Update) {
				if u.Reset {
					clear(view)
				}
				for _, c := range u.Changes {
					view[c.Key] = string(c.Value)
				}
			}, nil)
			m.SetRecovery(Recovery{HoldFor: 5 * time.Second, KeepFor: time.Second})
			m.update(Update{Reset: true, Changes: []platform.Change{put(1, "p/a", "1", 20)}}, in(1, 20))
			m.update(Update{Reset: true}, in(2, 10))
			clk.Advance(time.Second)
			if again {
				m.update(Update{Reset: true}, in(2, 10))
			}
			m.releaseHeld()
			m.update(Update{Changes: []platform.Change{put(2, "p/a", "2", 11)}}, in(2, 11))
			m.update(Update{Reset: true, Changes: []platform.Change{put(3, "p/a", "2", 11)}}, in(3, 11))
			if view["p/a"] != "2" {
				t.Errorf("the key is %q after the second restore, want 2", view["p/a"])
			}
		})
	}
}

// compactingFeed keeps no history: each watch is refused, and the time passes in which lists are read.
type compactingFeed struct {
	clk   *clock.Manual
	lists []Update // the last one is repeated
}

func (f *compactingFeed) Source() string { return "" }

func (f *compactingFeed) ListAll(context.Context, string) ([]platform.Entry, platform.Version, error) {
	u := f.lists[0]
	if len(f.lists) > 1 {
		f.lists = f.lists[1:]
	}
	var entries []platform.Entry
	for _, c := range u.Changes {
		entries = append(entries, c.Entry)
	}
	return entries, u.AsOf, nil
}

func (f *compactingFeed) WatchPrefix(context.Context, string, platform.Version, time.Duration) ([]platform.Change, platform.Version, error) {
	f.clk.Advance(time.Second)
	return nil, platform.Version{}, platform.ErrCompacted
}

// Guards against changes that are withheld without end, because the store refuses all watches and only its lists are read.
func TestHeldChangesAreDueWithoutWatches(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	feed := &compactingFeed{clk, []Update{
		{AsOf: in(1, 25), Changes: []platform.Change{put(1, "p/a", "new", 20)}},
		{AsOf: in(2, 12), Changes: []platform.Change{put(2, "p/a", "old", 10)}},
	}}
	value := ""
	m := New(feed, "p/", clk, zap.NewNop(), func(u Update) {
		for _, c := range u.Changes {
			value = string(c.Value)
		}
	}, nil)
	m.SetRecovery(Recovery{HoldFor: 5 * time.Second})
	for range 10 {
		if err := m.follow(t.Context()); !errors.Is(err, platform.ErrCompacted) {
			t.Fatal(err)
		}
	}
	if value != "old" {
		t.Errorf("8 s after the restore the key is %q, want old", value)
	}
}
