package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
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

// Guards against a request that is sent although a part of its prompt was blocked while it waited for an endpoint, and against one that
// then counts as in progress or as a failure of the endpoint.
func TestWaitingRequestWithBlockedPartIsNotSent(t *testing.T) {
	e, f := testEdge(t)
	e.metrics = newMetrics(tally.NoopScope)
	e.conns = endpointconn.NewPool(func(context.Context, string, string) (net.Conn, error) {
		t.Error("the request is sent")
		return nil, errors.New("refused")
	}, func(http.Header) string { return "" })
	e.options.Dialect = sendingDialect{}
	conf, err := catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	e.pools.set(conf, map[string][]catalog.Endpoint{"s": {{Incarnation: catalog.Incarnation{ID: "e"}, Service: "s", Addr: "a", Slots: 1}}})
	now := f.clk.Now()
	var running []placement.Choice
	for { // until the endpoint has no capacity left
		id := fmt.Sprint("r", len(running))
		choice, reason := e.pools.place(t.Context(), &attempt{id: id, service: "s", work: placement.Request{ID: id}})
		if reason != "" || len(running) > 100 {
			break
		}
		running = append(running, choice)
	}
	parts := []uint64{1}
	result := make(chan *failure, 1)
	go func() {
		_, failed := e.attemptLocal(t.Context(), &attempt{id: "2", service: "s", work: placement.Request{ID: "2"}, sharedParts: parts,
			deadline: now.Add(time.Minute), placeBy: now.Add(time.Minute), waitUntil: now.Add(time.Minute)})
		result <- failed
	}()
	waiting := func() (n int) {
		e.pools.each(func(_ string, p *servicePool) { n = len(p.waiting) })
		return n
	}
	for range 500 {
		if waiting() == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if waiting() != 1 {
		t.Fatal("the request does not wait")
	}
	for n := range 3 {
		now = f.clk.Advance(2 * time.Second)
		e.guard.recordCrash(now, catalog.Incarnation{ID: fmt.Sprint("c", n)}, []brokenAttempt{{parts: parts, sentAt: now, brokeAt: now}})
	}
	for n, choice := range running {
		e.pools.release("s", choice.Endpoint, fmt.Sprint("r", n), resultSucceeded)
	}
	failed := <-result
	if failed == nil || failed.kind != blocked || failed.kind.mayHaveRun() || failed.retryAfter < 25*time.Second {
		t.Errorf("result %+v", failed)
	}
	if sum := e.pools.loadFor(&attempt{service: "s"}); sum.Free != 1 || sum.Usable != 1 {
		t.Errorf("load %+v after the rejection", sum)
	}
}

// sendingDialect sets no headers of its own.
type sendingDialect struct{ Dialect }

func (sendingDialect) SetEndpointHeaders(http.Header, EndpointHead) {}

// Guards against a request that tries two parts and is sent once more, or after which another request with one of them is sent, before the
// crash of its endpoint is confirmed.
func TestTrialOfSeveralPartsIsOneTrial(t *testing.T) {
	e, f := testEdge(t)
	f.setSelfListed(true)
	now := f.clk.Now()
	began := now
	for n := range 9 { // each part has three crashes without the other
		now = f.clk.Advance(time.Second)
		parts := [][]uint64{{1, 2}, {1}, {2}}[n%3]
		e.guard.recordCrash(now, catalog.Incarnation{ID: fmt.Sprint("c", n)}, []brokenAttempt{{parts: parts, sentAt: now, brokeAt: now}})
	}
	for now = f.clk.Advance(time.Minute); e.guard.check(now, []uint64{1, 2}).Blocked; now = f.clk.Advance(time.Second) {
		if now > began.Add(2*time.Minute) {
			t.Fatal("no trial within a minute")
		}
	}
	if v := e.guard.admit(now, []uint64{1, 2}); !v.Trial {
		t.Fatalf("no trial: %+v", v)
	}
	for _, parts := range [][]uint64{{1, 2}, {1}, {2}} {
		if v := e.guard.admit(now.Add(time.Millisecond), parts); !v.Blocked {
			t.Errorf("a request with parts %v is sent beside the trial", parts)
		}
	}
}

// Guards against an answer that breaks off while the entry of its endpoint is replaced, and is examined with a description that is being
// written. The race detector shows it.
func TestAnswerBreaksWhileItsEntryChanges(t *testing.T) {
	described := []catalog.Endpoint{{Incarnation: catalog.Incarnation{ID: "e", StartedAtMillis: 1}, Addr: "a"}}
	pool := placement.NewPool(&catalog.Service{}, nil)
	pool.SetEndpoints(described)
	crashed := make(chan catalog.Incarnation, 1)
	o := &Options{Clock: clock.Boot{}, Log: zap.NewNop(), Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }}
	e := &Edge{ctx: t.Context(), clock: o.Clock, log: o.Log, pools: newPools(o.Clock, "self"), crashes: newCrashChecks(o, newMetrics(tally.NoopScope))}
	e.crashes.onCrash = func(endpoint catalog.Incarnation, _ []brokenAttempt) { crashed <- endpoint }
	body := &endpointBody{
		ReadCloser: io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF)), ctx: t.Context(), edge: e, attempt: &attempt{},
		endpoint: pool.Endpoint("e"), incarnation: described[0].Incarnation, addr: "a",
	}
	var running sync.WaitGroup
	running.Go(func() { pool.SetEndpoints(described) })
	running.Go(func() { _, _ = body.Read(make([]byte, 1)) })
	running.Wait()
	if endpoint := <-crashed; endpoint != described[0].Incarnation {
		t.Errorf("the crash of %v was recorded", endpoint)
	}
}
