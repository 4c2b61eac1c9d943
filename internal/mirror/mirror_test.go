package mirror

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// feed is a scripted store: each call takes the next answer. After the last one, watches wait until their context ends.
type feed struct {
	mu      sync.Mutex
	lists   []any // []platform.Entry or error
	watches []any // []platform.Change or error
	asOf    int64
	after   []int64 // revisions that watches asked from
}

var _ Feed = (*feed)(nil)

func (f *feed) Source() string { return "" }

func next(list *[]any) any {
	if len(*list) == 0 {
		return nil
	}
	v := (*list)[0]
	*list = (*list)[1:]
	return v
}

func (f *feed) ListAll(ctx context.Context, _ string) ([]platform.Entry, int64, error) {
	f.mu.Lock()
	v := next(&f.lists)
	f.asOf += 10
	asOf := f.asOf
	f.mu.Unlock()
	switch v := v.(type) {
	case error:
		return nil, 0, v
	case []platform.Entry:
		return v, asOf, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (f *feed) WatchPrefix(ctx context.Context, _ string, after int64, _ time.Duration) ([]platform.Change, int64, error) {
	f.mu.Lock()
	v := next(&f.watches)
	f.after = append(f.after, after)
	f.mu.Unlock()
	switch v := v.(type) {
	case error:
		return nil, 0, v
	case []platform.Change:
		return v, after + 1, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func entry(key string) platform.Entry { return platform.Entry{Key: key} }

// run follows the feed until n updates have come.
func run(t *testing.T, f *feed, n int) []Update {
	t.Helper()
	updates := make(chan Update, 16)
	m := New(f, "p/", clock.Boot{}, zap.NewNop(), func(u Update) { updates <- u }, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	var got []Update
	for len(got) < n {
		select {
		case u := <-updates:
			got = append(got, u)
		case <-time.After(5 * time.Second):
			t.Fatalf("%d updates after 5 s, want %d", len(got), n)
		}
	}
	cancel()
	<-done
	return got
}

// Guards against changes that are missed between the list and the watch, or asked for twice.
func TestFollowsFromTheList(t *testing.T) {
	f := &feed{lists: []any{[]platform.Entry{entry("p/a")}}, watches: []any{
		[]platform.Change{{Entry: entry("p/b")}}, []platform.Change{{Entry: entry("p/a"), Deleted: true}},
	}}
	got := run(t, f, 3)
	if !got[0].Reset || got[1].Reset || got[1].Changes[0].Key != "p/b" || !got[2].Changes[0].Deleted {
		t.Errorf("updates %+v", got)
	}
	if f.after[0] != 10 || f.after[1] != 11 {
		t.Errorf("watches asked from %v", f.after)
	}
}

// Guards against a copy that keeps what was deleted while the store's history was dropped.
func TestLostHistoryListsAgain(t *testing.T) {
	f := &feed{lists: []any{[]platform.Entry{entry("p/a"), entry("p/b")}, []platform.Entry{entry("p/b")}},
		watches: []any{errors.Mark(errors.New("gone"), platform.ErrCompacted)}}
	got := run(t, f, 2)
	if !got[1].Reset || len(got[1].Changes) != 1 || got[1].Outage != 0 {
		t.Errorf("after lost history: %+v", got[1])
	}
}

// Guards against an outage of the store that its users do not hear of: entries that lapsed meanwhile must not count as gone at
// once.
func TestOutageIsTold(t *testing.T) {
	down := errors.Mark(errors.New("down"), platform.ErrUnavailable)
	f := &feed{lists: []any{[]platform.Entry{entry("p/a")}, down, down, []platform.Entry{}}, watches: []any{down}}
	got := run(t, f, 2)
	if !got[1].Reset || got[1].Outage < 2*retryMin {
		t.Errorf("after the outage: %+v", got[1])
	}
}
