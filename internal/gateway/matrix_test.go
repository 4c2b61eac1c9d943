package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/faultmatrix"
)

// Steps of a request at which a fault is injected. They name subtests.
const (
	stepConnecting = "connecting to the endpoint"
	stepReceived   = "request received"
	stepExecuted   = "executed, nothing answered"
	stepHalf       = "half of the answer sent"
	stepFirstToken = "first token sent"
	stepLastToken  = "last token sent"
)

// Faults to inject. They name subtests.
const (
	faultDies          = "endpoint dies"
	faultBreaks        = "connection breaks"
	faultHangs         = "endpoint hangs"
	faultEndsEarly     = "answer ends early"
	faultDrained       = "endpoint drained"
	faultLeaves        = "caller leaves"
	faultWithdrawn     = "key withdrawn"
	faultStop          = "planned stop"
	faultHome          = "home changed"
	faultChargeExpired = "charge lapsed"
	faultLinkCut       = "link between regions cut"
)

// gate blocks the first request that reaches a step until the fault is injected.
type gate struct {
	step    string
	once    sync.Once
	reached chan struct{}
	release chan struct{}
	fault   atomic.Pointer[string] // the injected fault
}

func newGate(step string) *gate {
	return &gate{step: step, reached: make(chan struct{}), release: make(chan struct{})}
}

// pass blocks the first request at the gate's step and then returns the injected fault. For all others it returns an empty string at once.
func (g *gate) pass(step string) string {
	fault := ""
	if step == g.step {
		g.once.Do(func() {
			close(g.reached)
			<-g.release
			if f := g.fault.Load(); f != nil {
				fault = *f
			}
		})
	}
	return fault
}

// matrixRun is the set-up of one request and one fault. If forwarded is set, the request enters at an instance of another region.
type matrixRun struct {
	gate          *gate
	entry         *instance
	server        *instance // sends the request to the endpoint
	bus           *fakeBus
	cancelRequest context.CancelFunc
	stopped       sync.WaitGroup
	forwarded     bool
}

func newMatrixRun(t *testing.T, step string, forwarded bool, view func() *fakeView) *matrixRun {
	sc := &matrixRun{gate: newGate(step), bus: newBus(), forwarded: forwarded}
	options := func(name, region string, remotes ...routing.RegionLoad) func(*Options, *dispatch.Options) {
		return func(o *Options, d *dispatch.Options) {
			o.Network, o.Regions, o.StopDelay = sc.bus.join(name, region), &fakeRegions{remotes}, 20*time.Millisecond
			d.StallTimeout, d.FirstTokenTimeout, d.PollInterval = 400*time.Millisecond, 400*time.Millisecond, noLoadPolls
			d.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if sc.gate.pass(stepConnecting) == faultDies {
					return nil, fmt.Errorf("connect to %s: refused", addr)
				}
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
		}
	}
	sc.server = start(t, "cusco", view(), options("cusco-1", "cusco"))
	sc.entry = sc.server
	if forwarded {
		sc.entry = start(t, "lima", view(), options("lima-1", "lima", routing.RegionLoad{Region: "cusco", Instance: "cusco-1"}))
	}
	return sc
}

// eachInstance calls f for the instances that the request passes through.
func (sc *matrixRun) eachInstance(f func(*instance)) {
	f(sc.server)
	if sc.forwarded {
		f(sc.entry)
	}
}

// inject waits until the request is blocked at the gate, injects the fault and releases the request.
func (sc *matrixRun) inject(t *testing.T, fault string) {
	select {
	case <-sc.gate.reached:
	case <-time.After(5 * time.Second):
		t.Errorf("the request did not reach the step within 5 s")
		return
	}
	sc.gate.fault.Store(&fault)
	switch fault {
	case faultDrained:
		sc.eachInstance(func(in *instance) {
			in.source.change(func(v *fakeView) {
				v.general.Endpoints = append(v.general.Endpoints[:0:0], v.general.Endpoints...)
				v.general.Endpoints[0].Drain = true
			})
		})
	case faultLeaves:
		sc.cancelRequest()
		time.Sleep(20 * time.Millisecond)
	case faultWithdrawn:
		sc.eachInstance(func(in *instance) { in.source.change(func(v *fakeView) { v.withdrawn["1k"] = true }) })
	case faultHome:
		sc.eachInstance(func(in *instance) { in.source.change(func(v *fakeView) { v.orgs["workshop"].Home = "arequipa" }) })
	case faultStop:
		sc.eachInstance(func(in *instance) {
			sc.stopped.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				if err := in.Shutdown(ctx); err != nil {
					t.Errorf("planned stop: %v", err)
				}
			})
		})
		time.Sleep(40 * time.Millisecond)
	case faultChargeExpired:
		sc.entry.limiter.mu.Lock()
		sc.entry.limiter.expired = 100
		sc.entry.limiter.mu.Unlock()
	case faultLinkCut:
		sc.bus.breakLinks()
	}
	if fault == faultHangs {
		time.AfterFunc(time.Second, func() { close(sc.gate.release) })
		return
	}
	close(sc.gate.release)
}

// send sends the request, injects the fault and returns the answer, or nil if the caller got none.
func (sc *matrixRun) send(t *testing.T, path, body, fault string) *answer {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	sc.cancelRequest = leave
	req, err := http.NewRequestWithContext(ctx, "POST", sc.entry.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workshopKey)
	var striking sync.WaitGroup
	striking.Go(func() { sc.inject(t, fault) })
	defer sc.stopped.Wait()
	defer striking.Wait()
	resp, err := sc.entry.client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: string(raw)}
}

// checkBooking sends one non-idempotent request without an idempotency key, and checks that it runs at most once and that the answer
// reports this correctly.
func checkBooking(t *testing.T, step, fault string, forwarded bool) {
	s := newService(t)
	spare := newService(t)
	var g *gate
	var executed atomic.Int64
	s.answer = func(w http.ResponseWriter, r *http.Request, _ int) {
		abort := func(step string) {
			switch g.pass(step) {
			case faultDies, faultBreaks, faultEndsEarly:
				panic(http.ErrAbortHandler)
			}
		}
		abort(stepReceived)
		executed.Add(1)
		abort(stepExecuted)
		w.Header().Set("Content-Length", "8")
		io.WriteString(w, "whole")
		w.(http.Flusher).Flush()
		abort(stepHalf)
		io.WriteString(w, "...")
	}
	spare.answer = s.answer
	view := func() *fakeView {
		v := testView(serviceAt(s, "s1", "cusco"), serviceAt(spare, "s2", "cusco"))
		for i := range v.general.Routes {
			v.general.Routes[i].Deadline = 600 * time.Millisecond
		}
		return v
	}
	sc := newMatrixRun(t, step, forwarded, view)
	g = sc.gate
	a := sc.send(t, "/deposits/1", "{}", fault)
	_, used := sc.entry.limiter.waitSettled(t)
	time.Sleep(20 * time.Millisecond) // time for an execution after the answer
	n := executed.Load()
	if n > 1 {
		t.Fatalf("executed %d times", n)
	}
	if a == nil {
		if fault != faultLeaves {
			t.Fatal("the caller got no answer")
		}
		return
	}
	ex := a.header.Get(headerExecution)
	if ex == "not-run" && (n != 0 || used != 0) || ex == "ran" && n != 1 || a.status == 200 && a.body != "whole..." {
		t.Fatalf("%d %s, executed %d times, %d tokens used: %s", a.status, ex, n, used, a.body)
	}
	harmless := fault == faultStop || fault == faultDrained || (fault == faultDies && step == stepConnecting)
	if harmless && a.status != 200 {
		t.Fatalf("%d %s, although nothing was lost: %s", a.status, ex, a.body)
	}
}

// checkStream sends one streamed request, which two engines can serve, and checks that the answer is complete or ends with an error.
func checkStream(t *testing.T, step, fault string, forwarded bool) {
	first, second := newEngine(t), newEngine(t)
	steps := map[int]string{0: stepReceived, 1: stepFirstToken, 3: stepHalf, 6: stepLastToken}
	var g *gate
	for _, e := range []*engine{first, second} {
		e.atStep = func(n int) bool {
			switch g.pass(steps[n]) {
			case faultDies:
				e.mu.Lock()
				e.forgetsRequests = true
				e.mu.Unlock()
				return false
			case faultBreaks, faultEndsEarly:
				return false
			}
			return true
		}
	}
	sc := newMatrixRun(t, step, forwarded, func() *fakeView {
		return testView(engineAt(first, "r1", "cusco"), engineAt(second, "r2", "cusco"))
	})
	g = sc.gate
	a := sc.send(t, "/v1/chat/completions", chat(true, ""), fault)
	_, used := sc.entry.limiter.waitSettled(t)
	if a == nil {
		if fault != faultLeaves {
			t.Fatal("the caller got no answer")
		}
		return
	}
	whole := strings.HasSuffix(a.body, "data: [DONE]\n\n")
	switch {
	case a.status == 200 && whole:
		if a.text(t) != fiveWords || used != 12 {
			t.Fatalf("text %q as whole, %d tokens used", a.text(t), used)
		}
	case a.status == 200:
		events := a.events()
		if len(events) == 0 || !strings.HasPrefix(events[len(events)-1], `{"error":`) || !strings.HasPrefix(fiveWords, a.text(t)) {
			t.Fatalf("cut stream without an error: %s", a.body)
		}
	default:
		var b errorBody
		if json.Unmarshal([]byte(a.body), &b) != nil || b.Error.Code == "" {
			t.Fatalf("%d %s", a.status, a.body)
		}
		if b.Execution == "not-run" && (used != 0 || len(first.requests())+len(second.requests()) != 0) {
			t.Fatalf("%s, although an engine got it: %s", b.Execution, a.body)
		}
	}
	switch fault {
	case faultWithdrawn, faultHome:
		if whole && step != stepLastToken {
			t.Fatalf("the stream went on after %q", fault)
		}
	case faultLinkCut, faultChargeExpired:
	default:
		if !whole {
			t.Fatalf("not whole, although another attempt could finish it: %d %s", a.status, a.body)
		}
	}
}

const matrixNote = "Gateways, dispatch and endpoints run in one process over loopback; instances of two regions talk over an " +
	"in-memory network. A hang is a handler that does nothing for 1 s, not a SIGSTOP."

var endpointFaults = []string{faultDies, faultBreaks, faultHangs, faultEndsEarly, faultDrained, faultLeaves, faultWithdrawn,
	faultStop, faultHome, faultChargeExpired}

// Guards against non-idempotent requests (bookings) that run twice, and against answers with a wrong execution.
func TestFaultMatrixBooking(t *testing.T) {
	m := faultmatrix.Matrix{Condition: "a non-idempotent request without a key runs at most once", Note: matrixNote,
		Steps: []string{stepConnecting, stepReceived, stepExecuted, stepHalf}, Faults: endpointFaults}
	m.Run(t, func(t *testing.T, step, fault string) { checkBooking(t, step, fault, false) })
}

// Guards against the same faults as TestFaultMatrixBooking for requests that are forwarded to a remote region.
func TestFaultMatrixForwardedBooking(t *testing.T) {
	m := faultmatrix.Matrix{Condition: "a non-idempotent request forwarded to another region runs at most once", Note: matrixNote,
		Steps: []string{stepConnecting, stepReceived, stepExecuted, stepHalf}, Faults: append(endpointFaults[:len(endpointFaults):len(endpointFaults)], faultLinkCut)}
	m.Run(t, func(t *testing.T, step, fault string) { checkBooking(t, step, fault, true) })
}

// Guards against streams with missing or repeated parts, and against incomplete streams with the end of a complete one.
func TestFaultMatrixStream(t *testing.T) {
	m := faultmatrix.Matrix{Condition: "a stream is whole or ends with an error", Note: matrixNote,
		Steps: []string{stepConnecting, stepReceived, stepFirstToken, stepHalf, stepLastToken}, Faults: endpointFaults}
	m.Run(t, func(t *testing.T, step, fault string) { checkStream(t, step, fault, false) })
}

// Guards against the same faults as TestFaultMatrixStream for requests that are forwarded to a remote region.
func TestFaultMatrixForwardedStream(t *testing.T) {
	m := faultmatrix.Matrix{Condition: "a stream forwarded to another region is whole or ends with an error", Note: matrixNote,
		Steps: []string{stepConnecting, stepReceived, stepFirstToken, stepHalf, stepLastToken}, Faults: append(endpointFaults[:len(endpointFaults):len(endpointFaults)], faultLinkCut)}
	m.Run(t, func(t *testing.T, step, fault string) { checkStream(t, step, fault, true) })
}
