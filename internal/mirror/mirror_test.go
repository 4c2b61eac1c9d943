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

// scriptedFeed is a scripted store: each call returns the next result. After the last one, calls wait until their context ends.
type scriptedFeed struct {
	mu      sync.Mutex
	lists   []any // []platform.Entry or error
	watches []any // []platform.Change or error
	asOf    platform.Version
	after   []platform.Version // revisions from which watches were requested
}

var _ Feed = (*scriptedFeed)(nil)

func (f *scriptedFeed) Source() string { return "" }

func takeFirst(list *[]any) any {
	if len(*list) == 0 {
		return nil
	}
	v := (*list)[0]
	*list = (*list)[1:]
	return v
}

func (f *scriptedFeed) ListAll(ctx context.Context, _ string) ([]platform.Entry, platform.Version, error) {
	f.mu.Lock()
	v := takeFirst(&f.lists)
	f.asOf.Revision += 10
	asOf := f.asOf
	f.mu.Unlock()
	switch v := v.(type) {
	case error:
		return nil, platform.Version{}, v
	case []platform.Entry:
		return v, asOf, nil
	}
	<-ctx.Done()
	return nil, platform.Version{}, ctx.Err()
}

func (f *scriptedFeed) WatchPrefix(ctx context.Context, _ string, after platform.Version, _ time.Duration) ([]platform.Change, platform.Version, error) {
	f.mu.Lock()
	v := takeFirst(&f.watches)
	f.after = append(f.after, after)
	f.mu.Unlock()
	switch v := v.(type) {
	case error:
		return nil, platform.Version{}, v
	case []platform.Change:
		return v, platform.Version{Era: after.Era, Revision: after.Revision + 1}, nil
	}
	<-ctx.Done()
	return nil, platform.Version{}, ctx.Err()
}

func entry(key string) platform.Entry { return platform.Entry{Key: key} }

// collectUpdates runs a mirror of the feed and returns the first n updates.
func collectUpdates(t *testing.T, f *scriptedFeed, n int) []Update {
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

// Guards against changes that are missed between the list and the watch, or requested twice.
func TestFollowsFromTheList(t *testing.T) {
	f := &scriptedFeed{lists: []any{[]platform.Entry{entry("p/a")}}, watches: []any{
		[]platform.Change{{Entry: entry("p/b")}}, []platform.Change{{Entry: entry("p/a"), Deleted: true}},
	}}
	got := collectUpdates(t, f, 3)
	if !got[0].Reset || got[1].Reset || got[1].Changes[0].Key != "p/b" || !got[2].Changes[0].Deleted {
		t.Errorf("updates %+v", got)
	}
	if f.after[0].Revision != 10 || f.after[1].Revision != 11 {
		t.Errorf("watches were requested from revisions %v", f.after)
	}
}

// Guards against a copy that keeps keys whose deletion was lost when the store compacted its history.
func TestLostHistoryListsAgain(t *testing.T) {
	f := &scriptedFeed{lists: []any{[]platform.Entry{entry("p/a"), entry("p/b")}, []platform.Entry{entry("p/b")}},
		watches: []any{errors.Mark(errors.New("gone"), platform.ErrCompacted)}}
	got := collectUpdates(t, f, 2)
	if !got[1].Reset || len(got[1].Changes) != 1 || got[1].Outage != 0 {
		t.Errorf("after lost history: %+v", got[1])
	}
}

// Guards against an outage of the store that is not reported in an update: the receiver must not treat entries that expired during the
// outage as gone at once.
func TestOutageIsReported(t *testing.T) {
	down := errors.Mark(errors.New("down"), platform.ErrUnavailable)
	f := &scriptedFeed{lists: []any{[]platform.Entry{entry("p/a")}, down, down, []platform.Entry{}}, watches: []any{down}}
	got := collectUpdates(t, f, 2)
	if !got[1].Reset || got[1].Outage < 2*retryMin {
		t.Errorf("after the outage: %+v", got[1])
	}
}

// slowFeed fails each call after a while, as calls to a store that cannot be reached do.
type slowFeed struct {
	scriptedFeed
	took   time.Duration
	pauses chan time.Duration // between the end of a call and the next one
	ended  time.Time
}

func (f *slowFeed) ListAll(context.Context, string) ([]platform.Entry, platform.Version, error) {
	if !f.ended.IsZero() {
		f.pauses <- time.Since(f.ended)
	}
	time.Sleep(f.took)
	f.ended = time.Now()
	return nil, platform.Version{}, errors.New("not reachable")
}

// Guards against a copy of the store that is brought up to date late after a cut, since a call that has waited in vain is followed by a long
// pause.
func TestPausesAfterSlowFailuresAreShort(t *testing.T) {
	const pauses, longest = 5, 300 * time.Millisecond
	f := &slowFeed{took: 600 * time.Millisecond, pauses: make(chan time.Duration, pauses+1)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { New(f, "p/", clock.Boot{}, zap.NewNop(), func(Update) {}, nil).Run(ctx) })
	for n := range pauses {
		if pause := <-f.pauses; pause > longest {
			t.Errorf("pause %d lasts %s", n, pause)
		}
	}
	cancel()
	running.Wait()
}
