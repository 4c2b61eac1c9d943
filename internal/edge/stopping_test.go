package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// sendingEdge returns an instance with one endpoint, "e" of the service "s", to which it opens connections with dial.
func sendingEdge(t *testing.T, dial func(ctx context.Context) (net.Conn, error)) (*Edge, *testFleet) {
	t.Helper()
	e, f := testEdge(t)
	e.metrics = newMetrics(tally.NoopScope)
	e.unanswered, e.endUnanswered = context.WithCancel(t.Context())
	e.conns = endpointconn.NewPool(func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) }, func(http.Header) string { return "" })
	e.options.Dialect = sendingDialect{}
	e.pools.set(newConfiguration(t), map[string][]catalog.Endpoint{"s": {{Incarnation: catalog.Incarnation{ID: "e"}, Service: "s", Addr: "a", Slots: 1}}})
	return e, f
}

// newConfiguration returns a configuration with the service "s".
func newConfiguration(t *testing.T) *catalog.Configuration {
	t.Helper()
	conf, err := catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

// newAttempt returns an attempt for the service "s" that has a minute.
func newAttempt(now clock.Instant, id string) *attempt {
	end := now.Add(time.Minute)
	return &attempt{id: id, service: "s", work: placement.Request{ID: id}, header: http.Header{}, deadline: end, placeBy: end, waitUntil: end, onTimeBy: end}
}

// waitUntilWaiting waits until n requests wait for an endpoint.
func waitUntilWaiting(t *testing.T, e *Edge, n int) {
	t.Helper()
	got := 0
	for range 5000 {
		e.pools.each(func(_ string, p *servicePool) { got = len(p.waiting) })
		if got == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d requests wait for an endpoint, want %d", got, n)
}

// refusingNetwork refuses streams and reports them as errors of the test.
type refusingNetwork struct {
	Network
	t *testing.T
}

func (n refusingNetwork) Open(_ context.Context, instance, service string) (peer.Stream, error) {
	n.t.Errorf("a stream of %s to %s is opened", service, instance)
	return nil, errors.New("refused")
}

// Guards against a planned stop that sends a request which waited for an endpoint to the place of one that was given up a moment before:
// its caller is told that it may have run. The same for requests of other regions, and for repeats, resumes and attempts in other regions
// that begin in that moment.
func TestNothingIsSentOnceRequestsAreGivenUp(t *testing.T) {
	e, f := sendingEdge(t, func(context.Context) (net.Conn, error) {
		t.Error("a request is sent")
		return nil, errors.New("refused")
	})
	now := f.clk.Now()
	var running []placement.Choice
	for {
		id := fmt.Sprint("r", len(running))
		choice, reason := e.pools.place(t.Context(), &attempt{id: id, service: "s", work: placement.Request{ID: id}})
		if reason != "" {
			break
		}
		if running = append(running, choice); len(running) > 100 {
			t.Fatal("the endpoint has no limit")
		}
	}
	// The contexts of the waiting requests end later than those of the running ones.
	result, forwarded := make(chan *failure, 1), make(chan error, 1)
	go func() {
		_, failed := e.attemptLocal(t.Context(), newAttempt(now, "own"))
		result <- failed
	}()
	waitUntilWaiting(t, e, 1)
	go func() {
		_, _, err := e.forwardAnswer(t.Context(), newAttempt(now, "forwarded"), &idleStream{closed: make(chan struct{})})
		forwarded <- err
	}()
	waitUntilWaiting(t, e, 2)
	e.EndUnanswered()
	for n, choice := range running {
		e.pools.release("s", choice.Endpoint, fmt.Sprint("r", n), resultNone)
	}
	if failed := <-result; failed == nil || failed.kind != notPlaced || !failed.final {
		t.Errorf("the waiting request ends with %+v", failed)
	}
	if err := <-forwarded; !isCode(err, codeStopping) {
		t.Errorf("the waiting request of another region ends with %v, so that its instance tries no other one", err)
	}

	if _, failed := e.attemptLocal(t.Context(), newAttempt(now, "later")); failed == nil || failed.kind != notPlaced || !failed.final {
		t.Errorf("a repeat to an endpoint with capacity ends with %+v", failed)
	}
	f.list("n", "north")
	f.receive("n")
	f.recordServices(map[string][]*wire.EdgeServiceLoad{"north": {{Name: "s", Usable: 1}}}, func(string) clock.Instant { return now })
	e.network = refusingNetwork{t: t}
	x := &exchange{edge: e, service: "s", conf: &inForce{Configuration: newConfiguration(t)}, deadline: now.Add(time.Minute), attempt: *newAttempt(now, "remote"),
		declined: map[string]bool{"south": true}}
	if len(x.remotes()) != 1 {
		t.Fatal("the other region is not offered")
	}
	if _, failed := x.makeAttempt(t.Context()); failed == nil || failed.kind != notPlaced || !failed.final {
		t.Errorf("an attempt in another region ends with %+v", failed)
	}
}

// Guards against a request that is answered as one that may have run although no byte of it was sent: its time was up, or it was given up,
// while a connection was being opened.
func TestRequestOfWhichNothingWasSentHasNotRun(t *testing.T) {
	for name, opens := range map[string]bool{"the connection is not opened": false, "the connection is opened too late": true} {
		ctx, cancel := context.WithCancel(t.Context())
		received := make(chan int64, 1)
		e, f := sendingEdge(t, func(context.Context) (net.Conn, error) {
			cancel()
			if !opens {
				return nil, context.Canceled
			}
			own, endpoint := net.Pipe()
			go func() {
				n, _ := io.Copy(io.Discard, endpoint) // an error is a closed connection
				received <- n
			}()
			return own, nil
		})
		_, failed := e.attemptLocal(ctx, newAttempt(f.clk.Now(), "r"))
		if failed == nil || failed.kind != notSent || failed.kind.mayHaveRun() {
			t.Errorf("%s: the request ends with %+v", name, failed)
		}
		if opens {
			if n := <-received; n != 0 {
				t.Errorf("%s: the endpoint has received %d bytes", name, n)
			}
		}
		if sum := e.pools.loadFor(&attempt{service: "s"}); sum.Usable != 1 || sum.Free < 1 {
			t.Errorf("%s: load %+v after the attempt", name, sum)
		}
	}
}
