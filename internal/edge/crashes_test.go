package edge

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Guards against a connection that was reset and counts as a crash, against a crash that goes unnoticed because the endpoint accepted
// connections a moment before, and against one check for each of many attempts.
func TestCrashesAreToldFromResets(t *testing.T) {
	var mu sync.Mutex
	down, dials, crashed := false, 0, 0
	o := &Options{Clock: clock.Boot{}, Log: zap.NewNop(), Dial: func(context.Context, string, string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		dials++
		if down {
			return nil, errors.New("refused")
		}
		conn, _ := net.Pipe()
		return conn, nil
	}}
	c := newCrashChecks(o, newMetrics(tally.NoopScope))
	c.onCrash = func(_ catalog.Incarnation, attempts []brokenAttempt) {
		mu.Lock()
		defer mu.Unlock()
		crashed += len(attempts)
	}
	examine := func(n int) {
		var running sync.WaitGroup
		for range n {
			c.examine(func(f func(context.Context)) { running.Go(func() { f(t.Context()) }) }, catalog.Incarnation{ID: "e"}, "a", brokenAttempt{})
		}
		running.Wait()
	}
	expect := func(when string, wantDials, wantCrashed int) {
		t.Helper()
		mu.Lock()
		defer mu.Unlock()
		if dials != wantDials || crashed != wantCrashed {
			t.Errorf("%s: %d checks and %d attempts at a crash, want %d and %d", when, dials, crashed, wantDials, wantCrashed)
		}
	}
	examine(20)
	expect("reset", 1, 0)
	mu.Lock()
	down = true
	mu.Unlock()
	examine(20)
	expect("crash right after that", 2, 20)
	examine(5)
	expect("more attempts of the same crash", 2, 25)
	time.Sleep(crashReuse + 50*time.Millisecond)
	examine(1)
	expect("later", 3, 26)
}

// Guards against a sign of life that is missed or seen too early because of how an answer is split.
func TestSecondEventShowsLife(t *testing.T) {
	const answer = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n"
	const second = len("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n")
	for size := 1; size <= len(answer); size++ {
		var d lifeDetector
		for from := 0; from < len(answer); from += size {
			to := min(from+size, len(answer))
			if d.read([]byte(answer[from:to])) != (from < second && to >= second) {
				t.Errorf("parts of %d bytes: life %v after %q", size, d.alive, answer[:to])
			}
		}
	}
}
