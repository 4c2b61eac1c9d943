package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeSource struct {
	mu   sync.Mutex
	view fakeView
	subs []func(configsync.View)
}

type fakeView struct {
	configsync.View
	general *config.Config
}

func (v fakeView) General() *config.Config { return v.general }

func (s *fakeSource) View() configsync.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSource) Subscribe(f func(configsync.View)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, f)
	return func() {}
}

func (s *fakeSource) set(endpoints ...config.Endpoint) {
	s.setGeneral(&config.Config{Endpoints: endpoints})
}

func (s *fakeSource) setGeneral(general *config.Config) {
	s.mu.Lock()
	s.view = fakeView{general: general}
	v, subs := s.view, s.subs
	s.mu.Unlock()
	for _, f := range subs {
		f(v)
	}
}

type fakeStates struct{ names sync.Map }

func (l *fakeStates) Leaving(name string) bool {
	_, ok := l.names.Load(name)
	return ok
}

const prompt = "user\nwhich metal?\n"

// testFleet is a dispatcher with simulated engines and services.
type testFleet struct {
	*Dispatcher
	source    *fakeSource
	states    *fakeStates
	engines   []*standin.Engine
	services  []*standin.Service
	endpoints []config.Endpoint
}

func newTestFleet(t *testing.T, engines, services int, eo standin.EngineOptions, change func(*Options)) *testFleet {
	t.Helper()
	f := &testFleet{source: &fakeSource{}, states: &fakeStates{}}
	eo.Models = []standin.EngineModel{{Name: "m", Version: "1"}}
	if eo.TokenInterval == 0 {
		eo.TokenInterval = time.Millisecond
	}
	for i := range engines {
		e, err := standin.NewEngine(eo)
		if err != nil {
			t.Fatal(err)
		}
		f.engines = append(f.engines, e)
		f.add(t, e.Handler(), e.Close, config.Endpoint{Name: "e" + strconv.Itoa(i), Kind: config.KindEngine, Models: []string{"m"}, Slots: eo.BatchSlots})
	}
	for i := range services {
		s := standin.NewService(standin.ServiceOptions{})
		f.services = append(f.services, s)
		f.add(t, s.Handler(), s.Close, config.Endpoint{Name: "s" + strconv.Itoa(i), Kind: config.KindService, Service: "book"})
	}
	f.source.set(f.endpoints...)
	o := Options{Region: "lima", DataCentre: "dc", Source: f.source, States: f.states, PollInterval: 20 * time.Millisecond, Seed: 7,
		FirstTokenTimeout: time.Second, StallTimeout: 300 * time.Millisecond}
	if change != nil {
		change(&o)
	}
	d, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	d.Start()
	f.Dispatcher = d
	t.Cleanup(d.Stop)
	return f
}

func (f *testFleet) add(t *testing.T, h http.Handler, stop func(), c config.Endpoint) {
	server := httptest.NewServer(h)
	t.Cleanup(func() { stop(); server.Close() })
	c.Addr, c.Region, c.DataCentre = strings.TrimPrefix(server.URL, "http://"), "lima", "dc"
	f.endpoints = append(f.endpoints, c)
}

var ids atomic.Int64

func call(maxTokens int) *ModelCall {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"which metal?"}]}`, maxTokens)
	return &ModelCall{
		ID: fmt.Sprintf("r%d", ids.Add(1)), Organisation: "o", Model: "m", Path: "/v1/chat/completions", Body: []byte(body),
		PromptTokens: 5, MaxTokens: int64(maxTokens), Progress: &Progress{SingleChoice: true},
	}
}

// stream runs a call and returns the text that the caller received. seen is called with the number of each event.
func (f *testFleet) stream(ctx context.Context, c *ModelCall, seen func(n int)) (string, error) {
	var text strings.Builder
	n := 0
	err := f.Stream(ctx, c, func(data []byte) error {
		var ch chunk
		if err := json.Unmarshal(data, &ch); err != nil {
			return err
		}
		part, _, _, err := content(&ch)
		text.WriteString(part)
		if n++; seen != nil {
			seen(n)
		}
		return err
	})
	return text.String(), err
}

func execution(t *testing.T, err error) operations.Execution {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("error %v is no *Error", err)
	}
	return e.Execution
}

// Guards against missing or duplicated tokens after an engine's stream breaks, ends early or is lost.
func TestBrokenStreamsAreContinued(t *testing.T) {
	for _, fault := range []standin.StreamFault{
		{Kind: standin.StreamBreak, AfterTokens: 3},
		{Kind: standin.StreamBreak, AfterTokens: 0},
		{Kind: standin.StreamBreak, AfterTokens: 2, Count: 3},
		{Kind: standin.StreamTruncate, AfterTokens: 5},
		{Kind: standin.StreamBreak, AfterTokens: 3, Forget: true},
		{Kind: standin.StreamDie, AfterTokens: 3},
		{Kind: standin.StreamTruncate, AfterTokens: 20},
	} {
		f := newTestFleet(t, 2, 0, standin.EngineOptions{}, nil)
		for _, e := range f.engines {
			e.SetFaults(standin.EngineFaults{Streams: []standin.StreamFault{fault}})
		}
		// Once the first engine streams, the fault of the other one is cleared, so that a retry there succeeds.
		c := call(20)
		text, err := f.stream(context.Background(), c, func(n int) {
			if n == 1 {
				for _, e := range f.engines {
					if e.Counts().Received == 0 {
						e.SetFaults(standin.EngineFaults{})
					}
				}
			}
		})
		if err != nil || text != standin.OutputText(prompt, 0, 20) {
			t.Errorf("%+v: %q, %v", fault, text, err)
		}
		if !c.Progress.UsageKnown || c.Progress.OutputTokens != 20 {
			t.Errorf("%+v: usage %+v", fault, c.Progress)
		}
	}
}

// Guards against a stream that is reported as complete although no endpoint finished it, and against endless retries.
func TestStreamFailsWhenNoEndpointCompletesIt(t *testing.T) {
	f := newTestFleet(t, 2, 0, standin.EngineOptions{}, nil)
	for _, e := range f.engines {
		e.SetFaults(standin.EngineFaults{Streams: []standin.StreamFault{{Kind: standin.StreamTruncate, AfterTokens: 3, Count: 1000, Forget: true}}})
	}
	text, err := f.stream(context.Background(), call(20), nil)
	if err == nil || execution(t, err) != operations.Unknown {
		t.Fatalf("%q, %v", text, err)
	}
	if text != standin.OutputText(prompt, 0, 3) {
		t.Fatalf("text %q", text)
	}
	if n := f.engines[0].Counts().Received + f.engines[1].Counts().Received; n != 3 {
		t.Fatalf("%d attempts, want 3", n)
	}
}

// Guards against a stream that is reported as not run, and that goes on at its engine, because it broke and its resume could not be sent.
func TestUnsentResumeIsNotAnUnsentStream(t *testing.T) {
	lapsed := &Error{Status: http.StatusServiceUnavailable, Code: "lapsed", Message: "lapsed", Execution: operations.NotRun}
	for _, want := range []struct {
		fault string
		code  string
	}{{"no connection", CodeEndpointError}, {"may not be sent any more", lapsed.Code}} {
		var cut, refused atomic.Bool
		f := newTestFleet(t, 1, 0, standin.EngineOptions{TokenInterval: 5 * time.Millisecond}, func(o *Options) {
			o.MaxAttempts = 1
			o.PollInterval = time.Hour // the next connection is that of the resume
			o.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if cut.CompareAndSwap(true, false) {
					return nil, errors.New("no route")
				}
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			}
		})
		f.engines[0].SetFaults(standin.EngineFaults{Streams: []standin.StreamFault{{Kind: standin.StreamBreak, AfterTokens: 3}}})
		c := call(1000)
		c.BeforeSend = func() error {
			if refused.Load() {
				return lapsed
			}
			return nil
		}
		text, err := f.stream(context.Background(), c, func(int) {
			cut.Store(want.code == CodeEndpointError)
			refused.Store(want.code == lapsed.Code)
		})
		var e *Error
		if !errors.As(err, &e) || e.Code != want.code || e.Execution != operations.Unknown || text == "" {
			t.Errorf("%s: text %q, %+v, want execution %s", want.fault, text, err, operations.Unknown)
		}
		for deadline := time.Now().Add(2 * time.Second); f.engines[0].Counts().Cancelled == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Errorf("%s: the stream is not cancelled at its engine", want.fault)
				break
			}
		}
	}
}

// Guards against a stream that is joined from different texts of two attempts, which no endpoint has generated.
func TestDivergingRetryFails(t *testing.T) {
	var n atomic.Int64
	source := &fakeSource{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		k := n.Add(1)
		for i := range 3 {
			fmt.Fprintf(w, "data: {\"index_from\":%d,\"choices\":[{\"delta\":{\"content\":\"answer %d \"}}]}\n\n", i, k)
		}
	}))
	t.Cleanup(server.Close)
	source.set(config.Endpoint{Name: "e", Kind: config.KindEngine, Addr: strings.TrimPrefix(server.URL, "http://"), Region: "lima", Models: []string{"m"}})
	d, err := New(Options{Region: "lima", Source: source})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	f := &testFleet{Dispatcher: d}
	text, err := f.stream(context.Background(), call(20), nil)
	var e *Error
	if !errors.As(err, &e) || e.Code != CodeTruncated || text != "answer 1 answer 1 answer 1 " {
		t.Fatalf("%q, %v", text, err)
	}
}

// Guards against requests that stay at an engine that hangs before or after the first token.
func TestStalledAttemptIsRetriedElsewhere(t *testing.T) {
	for _, faults := range []standin.EngineFaults{{HangCalls: true}, {Hang: true}} {
		f := newTestFleet(t, 2, 0, standin.EngineOptions{}, func(o *Options) { o.FirstTokenTimeout = 300 * time.Millisecond })
		f.engines[0].SetFaults(faults)
		for range 4 {
			if text, err := f.stream(context.Background(), call(5), nil); err != nil || text != standin.OutputText(prompt, 0, 5) {
				t.Errorf("%+v: %q, %v", faults, text, err)
			}
		}
		f.engines[0].SetFaults(standin.EngineFaults{})
	}
}

// Guards against requests that stay at a paused engine, which keeps its connections open, until the long timeout for a first
// token.
func TestUnresponsiveEngineIsAbandoned(t *testing.T) {
	f := newTestFleet(t, 2, 0, standin.EngineOptions{TokenInterval: 50 * time.Millisecond}, func(o *Options) {
		o.FirstTokenTimeout, o.StallTimeout, o.ReportTimeout = time.Minute, time.Minute, 300*time.Millisecond
	})
	var running sync.WaitGroup
	for range 6 {
		running.Go(func() {
			begun := time.Now()
			text, err := f.stream(context.Background(), call(10), nil)
			if err != nil || text != standin.OutputText(prompt, 0, 10) {
				t.Errorf("%q, %v", text, err)
			}
			if took := time.Since(begun); took > 8*time.Second {
				t.Errorf("answered after %v", took)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	f.engines[0].SetFaults(standin.EngineFaults{Hang: true, HangCalls: true})
	running.Wait()
	begun := time.Now()
	if _, err := f.stream(context.Background(), call(1), nil); err != nil || time.Since(begun) > time.Second {
		t.Errorf("the next request: %v after %v", err, time.Since(begun))
	}
	f.engines[0].SetFaults(standin.EngineFaults{})
}

// Guards against a non-idempotent request that is executed twice, and against reporting one as not run that may have run.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		fault standin.ServiceFault
		want  operations.Execution
	}{
		{standin.ServiceFault{Action: standin.ActionBreakBefore}, operations.Unknown},
		{standin.ServiceFault{Action: standin.ActionBreakAfter}, operations.Unknown},
		{standin.ServiceFault{Action: standin.ActionTruncateAnswer}, operations.Unknown},
		{standin.ServiceFault{Action: standin.ActionDropAnswer}, operations.Unknown},
		{standin.ServiceFault{Action: standin.ActionDelay, DelayMillis: 20}, operations.Ran},
	} {
		for _, method := range []string{"POST", "GET", "DELETE"} {
			f := newTestFleet(t, 0, 2, standin.EngineOptions{}, nil)
			sc := func(id string) *ServiceCall {
				return &ServiceCall{ID: id, Organisation: "o", Service: "book", Method: method, Path: "/x", Body: []byte(`{"id":"` + id + `"}`)}
			}
			// Earlier calls leave idle connections; if they were reused, net/http could send a request twice.
			for i := range 4 {
				if _, ex, err := f.Call(context.Background(), sc("warm"+strconv.Itoa(i))); ex != operations.Ran || err != nil {
					t.Fatal(ex, err)
				}
			}
			for _, s := range f.services {
				s.Inject(c.fault)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_, ex, err := f.Call(ctx, sc("booking"))
			cancel()
			if ex != c.want || (err == nil) != (c.want == operations.Ran) {
				t.Errorf("%s %s: execution %s, %v", c.fault.Action, method, ex, err)
			}
			if err != nil && execution(t, err) != c.want {
				t.Errorf("%s %s: the error says %s", c.fault.Action, method, execution(t, err))
			}
			received := f.services[0].Executions().Received + f.services[1].Executions().Received
			if received != 5 {
				t.Errorf("%s %s: %d requests reached the services, want 5", c.fault.Action, method, received)
			}
			for _, s := range f.services {
				s.ClearFaults()
			}
		}
	}
}

// Guards against reporting the execution as unknown for a request that reached no endpoint, and against failing at the first dead endpoint.
func TestUnreachableServiceIsReportedAsNotRun(t *testing.T) {
	f := newTestFleet(t, 0, 1, standin.EngineOptions{}, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := config.Endpoint{Name: "dead", Kind: config.KindService, Service: "book", Addr: l.Addr().String(), Region: "lima", DataCentre: "dc"}
	l.Close()
	f.source.set(dead)
	sc := &ServiceCall{ID: "b", Service: "book", Method: "POST", Path: "/x", Body: []byte("{}")}
	if _, ex, err := f.Call(context.Background(), sc); ex != operations.NotRun || execution(t, err) != operations.NotRun {
		t.Fatalf("execution %s, %v", ex, err)
	}
	f.source.set(dead, f.endpoints[0])
	for i := range 20 {
		sc.ID = "b" + strconv.Itoa(i)
		if _, ex, err := f.Call(context.Background(), sc); ex != operations.Ran || err != nil {
			t.Fatalf("call %d: %s %v", i, ex, err)
		}
	}
	if n := f.services[0].Executions().Total; n != 20 {
		t.Fatalf("%d executions, want 20", n)
	}
	_, ex, err := f.Call(context.Background(), &ServiceCall{ID: "c", Service: "book", Method: "POST", Path: "/x",
		BeforeSend: func() error { return &Error{Status: 503, Code: "lapsed", Execution: operations.NotRun} }})
	if ex != operations.NotRun || execution(t, err) != operations.NotRun || f.services[0].Executions().Total != 20 {
		t.Fatalf("refused before sending: %s %v", ex, err)
	}
}

// Guards against idempotent calls that fail although another endpoint would answer, or that wait for a paused endpoint until
// their deadline.
func TestIdempotentCallIsRetried(t *testing.T) {
	for _, action := range []standin.ServiceAction{standin.ActionBreakBefore, standin.ActionBreakAfter, standin.ActionTruncateAnswer,
		standin.ActionRefuse, standin.ActionDropAnswer} {
		f := newTestFleet(t, 0, 2, standin.EngineOptions{}, nil)
		f.services[0].Inject(standin.ServiceFault{Action: action, Count: 2})
		for i := range 4 {
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			a, ex, err := f.Call(ctx, &ServiceCall{ID: "l" + strconv.Itoa(i), Service: "book", Method: "GET", Path: "/lot", Idempotent: true})
			cancel()
			if err != nil || ex != operations.Ran || a.Status != 200 {
				t.Errorf("%s: %s %v", action, ex, err)
			}
		}
		f.services[0].ClearFaults()
	}
}

// Guards against calls that wait for a paused service until their deadline, and against hedges that double the load of a healthy
// service.
func TestSlowCallIsHedgedWithinTheBudget(t *testing.T) {
	f := newTestFleet(t, 0, 3, standin.EngineOptions{}, nil)
	do := func(n int) {
		t.Helper()
		for i := range n {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			begun := time.Now()
			a, ex, err := f.Call(ctx, &ServiceCall{ID: "l" + strconv.Itoa(i), Service: "book", Method: "GET", Path: "/lot", Idempotent: true})
			cancel()
			if err != nil || ex != operations.Ran || a.Status != 200 || time.Since(begun) > time.Second {
				t.Fatalf("call %d: %s %v after %v", i, ex, err, time.Since(begun))
			}
		}
	}
	do(100)
	received := func() (n int64) {
		for _, s := range f.services {
			n += s.Executions().Received
		}
		return n
	}
	if n := received(); n > 110 {
		t.Fatalf("%d requests for 100 calls", n)
	}
	f.services[1].Inject(standin.ServiceFault{Action: standin.ActionDropAnswer, Count: 1000})
	do(60)
	if n := received(); n > 200 {
		t.Fatalf("%d requests for 160 calls", n)
	}
	f.services[1].ClearFaults()
}

// Guards against requests to leaving endpoints: new or queued ones, with a prefix cached there, or over an idle connection.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := newTestFleet(t, 2, 0, standin.EngineOptions{BatchSlots: 2, TokenInterval: 5 * time.Millisecond}, nil)
	c := call(5)
	c.PrefixBlocks = []uint64{1, 2, 3}
	if _, err := f.stream(context.Background(), c, nil); err != nil {
		t.Fatal(err)
	}
	warm := 0
	if f.engines[1].Counts().Received == 1 {
		warm = 1
	}
	var running sync.WaitGroup
	for range 10 {
		running.Go(func() {
			if _, err := f.stream(context.Background(), call(20), nil); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	if warm == 0 {
		f.states.names.Store("e0", true)
	} else {
		drained := append([]config.Endpoint(nil), f.endpoints...)
		drained[1].Drain = true
		f.source.set(drained...)
	}
	time.Sleep(20 * time.Millisecond)
	before := f.engines[warm].Counts().Received
	for range 5 {
		c := call(3)
		c.PrefixBlocks = []uint64{1, 2, 3}
		running.Go(func() {
			if _, err := f.stream(context.Background(), c, nil); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	if after := f.engines[warm].Counts().Received; after != before {
		t.Fatalf("%d requests went to the leaving endpoint", after-before)
	}
	if n := f.engines[warm].Counts().Cancelled; n != 0 {
		t.Fatalf("%d requests at the leaving endpoint were cut", n)
	}
	f.states.names.Store("e0", true)
	f.states.names.Store("e1", true)
	if _, err := f.stream(context.Background(), call(3), nil); execution(t, err) != operations.NotRun {
		t.Fatalf("all leaving: %v", err)
	}
}

// Guards against batches beyond their size, queued requests that are lost, and a queue that accepts requests it cannot serve
// in time.
func TestQueueInFrontOfFullBatches(t *testing.T) {
	f := newTestFleet(t, 1, 0, standin.EngineOptions{BatchSlots: 2, TokenInterval: 5 * time.Millisecond}, func(o *Options) {
		o.ShortWait, o.LongWait = 700*time.Millisecond, 10*time.Second
	})
	var running sync.WaitGroup
	var shed, done atomic.Int64
	for range 40 {
		running.Go(func() {
			begun := time.Now()
			_, err := f.stream(context.Background(), call(10), nil)
			var e *Error
			switch {
			case err == nil:
				done.Add(1)
			case errors.As(err, &e) && e.Code == CodeOverloaded && e.RetryAfter > 0 && e.Execution == operations.NotRun:
				shed.Add(1)
				if took := time.Since(begun); took > time.Second {
					t.Errorf("refused after %v", took)
				}
			default:
				t.Error(err)
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	// The drain rate is known by now, so a request that would wait too long is rejected at once.
	for range 30 {
		running.Go(func() { _, _ = f.stream(context.Background(), call(10), nil) })
	}
	time.Sleep(20 * time.Millisecond)
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := f.stream(ctx, call(500), nil); err == nil || execution(t, err) != operations.NotRun {
		t.Errorf("request with too little time: %v", err)
	} else if took := time.Since(begun); took > 40*time.Millisecond {
		t.Errorf("refused after %v, although its wait was known", took)
	}
	running.Wait()
	if b := f.engines[0].Counts().MaxBatch; b != 2 {
		t.Errorf("batch of %d, want 2", b)
	}
	if done.Load() < 15 || done.Load()+shed.Load() != 40 {
		t.Errorf("%d done, %d shed", done.Load(), shed.Load())
	}
}

// Guards against a class or organisation that gets no slots because another one floods the queue.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	f := newTestFleet(t, 1, 0, standin.EngineOptions{BatchSlots: 2, TokenInterval: 2 * time.Millisecond}, func(o *Options) {
		o.ShortWait, o.LongWait = 20*time.Second, 20*time.Second
	})
	var running sync.WaitGroup
	for range 60 {
		running.Go(func() {
			if _, err := f.stream(context.Background(), call(20), nil); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	for _, class := range []fairqueue.Class{fairqueue.Short, fairqueue.Long} {
		c := call(20)
		c.Organisation, c.Class = "quiet", class
		begun := time.Now()
		if _, err := f.stream(context.Background(), c, nil); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > 600*time.Millisecond {
			t.Errorf("class %d of the quiet organisation took %v", class, took)
		}
	}
	running.Wait()
}

// Guards against an instance that keeps all slots of the batches while another one's requests wait, and against instances that
// ignore each other's load when they fill batches.
func TestInstancesShareFullBatches(t *testing.T) {
	f := newTestFleet(t, 1, 0, standin.EngineOptions{BatchSlots: 4, TokenInterval: 4 * time.Millisecond}, func(o *Options) { o.ShortWait = time.Minute })
	late, err := New(Options{Region: "lima", DataCentre: "dc", Source: f.source, PollInterval: 20 * time.Millisecond, Seed: 9, ShortWait: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	late.Start()
	t.Cleanup(late.Stop)
	other := &testFleet{Dispatcher: late}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	flood := func(f *testFleet, done *atomic.Int64) {
		for range 12 {
			running.Go(func() {
				for ctx.Err() == nil {
					if _, err := f.stream(ctx, call(60), nil); err == nil {
						done.Add(1)
					}
				}
			})
		}
	}
	var early, second atomic.Int64
	flood(f, &early)
	time.Sleep(300 * time.Millisecond)
	flood(other, &second)
	time.Sleep(1500 * time.Millisecond)
	early.Store(0)
	second.Store(0)
	depth := 0.0
	const samples = 60
	for range samples {
		time.Sleep(25 * time.Millisecond)
		waiting, inBatch := f.engines[0].Inside()
		depth += float64(len(waiting)+len(inBatch)) / samples
	}
	cancel()
	running.Wait()
	a, b := early.Load(), second.Load()
	if a == 0 || b == 0 || min(a, b)*4 < max(a, b) {
		t.Errorf("the instances finished %d and %d requests in the same time", a, b)
	}
	if depth > 6.5 { // 8 if each instance counted its own requests only
		t.Errorf("%.1f requests on average at an engine with 4 places", depth)
	}
}

// Guards against responses without streaming that an endpoint did not finish, or whose end cannot be recognised.
func TestIncompleteResponsesAreRejected(t *testing.T) {
	f := newTestFleet(t, 2, 0, standin.EngineOptions{}, nil)
	for _, e := range f.engines {
		e.SetFaults(standin.EngineFaults{Streams: []standin.StreamFault{{Kind: standin.StreamBreak, AfterTokens: 2}}})
	}
	c := call(10)
	c.Body = []byte(strings.Replace(string(c.Body), `"stream":true`, `"stream":false`, 1))
	a, usage, err := f.Complete(context.Background(), c)
	if err != nil || !usage.Known || usage.OutputTokens != 10 || !strings.Contains(string(a.Body), standin.OutputText(prompt, 0, 10)) {
		t.Fatalf("%+v %+v %v", a, usage, err)
	}
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\n\r\n{\"half\":")
			conn.Close()
		}
	}))
	t.Cleanup(endless.Close)
	f.source.set(config.Endpoint{Name: "x", Kind: config.KindService, Service: "book", Addr: strings.TrimPrefix(endless.URL, "http://"), Region: "lima"})
	if _, ex, err := f.Call(context.Background(), &ServiceCall{ID: "1", Service: "book", Method: "POST", Path: "/"}); err == nil || ex != operations.Unknown {
		t.Fatalf("answer without a length: %s %v", ex, err)
	}
}

// Guards against a repeated prompt that is not sent to the engine with its prefix in the cache.
func TestRepeatedPromptGoesToTheSameEngine(t *testing.T) {
	f := newTestFleet(t, 3, 0, standin.EngineOptions{}, nil)
	long := strings.Repeat("which metal? ", 200)
	body, err := json.Marshal(map[string]any{"model": "m", "stream": true, "max_tokens": 2, "messages": []any{map[string]string{"role": "user", "content": long}}})
	if err != nil {
		t.Fatal(err)
	}
	text := standin.ChatPrompt("user", long)
	for range 8 {
		c := call(2)
		c.Body, c.PromptTokens, c.PrefixBlocks = body, int64(standin.PromptTokens(text)), routing.PrefixBlockHashes([]byte(text), 100)
		if _, err := f.stream(context.Background(), c, nil); err != nil {
			t.Fatal(err)
		}
	}
	used := 0
	for _, e := range f.engines {
		if e.Counts().Received > 0 {
			used++
		}
	}
	if used != 1 {
		t.Fatalf("a repeated prompt went to %d engines, want 1", used)
	}
}

// Guards against a request that is sent although its rate charge or key has expired while the connection was opened.
func TestBeforeSendIsCalledAfterDialling(t *testing.T) {
	var lapsed atomic.Bool
	f := newTestFleet(t, 1, 1, standin.EngineOptions{}, func(o *Options) {
		o.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			lapsed.Store(true)
			return conn, err
		}
	})
	f.source.set(f.endpoints[1]) // no engine: the connections for its load reports would set lapsed too
	check := func() error {
		if lapsed.Load() {
			return &Error{Status: 503, Code: "lapsed", Message: "lapsed", Execution: operations.NotRun}
		}
		return nil
	}
	for _, idempotent := range []bool{false, true} {
		lapsed.Store(false)
		_, ex, err := f.Call(context.Background(), &ServiceCall{ID: "1", Service: "book", Method: "POST", Path: "/", Idempotent: idempotent, BeforeSend: check})
		var e *Error
		if ex != operations.NotRun || !errors.As(err, &e) || e.Code != "lapsed" || e.Execution != operations.NotRun {
			t.Errorf("idempotent %v: %s %v", idempotent, ex, err)
		}
	}
	if n := f.services[0].Executions().Received; n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}

// Guards against requests that keep waiting although no endpoint is left that accepts requests.
func TestWaitingRequestsAreRefusedWhenTheLastEndpointLeaves(t *testing.T) {
	f := newTestFleet(t, 1, 0, standin.EngineOptions{BatchSlots: 1, TokenInterval: 20 * time.Millisecond}, nil)
	var running sync.WaitGroup
	running.Go(func() {
		if _, err := f.stream(context.Background(), call(20), nil); err != nil {
			t.Errorf("request in flight: %v", err)
		}
	})
	time.Sleep(50 * time.Millisecond)
	refused := make(chan error, 1)
	running.Go(func() {
		_, err := f.stream(context.Background(), call(20), nil)
		refused <- err
	})
	time.Sleep(50 * time.Millisecond)
	drained := append([]config.Endpoint(nil), f.endpoints...)
	drained[0].Drain = true
	f.source.set(drained...)
	select {
	case err := <-refused:
		var e *Error
		if !errors.As(err, &e) || e.Execution != operations.NotRun || e.RetryAfter == 0 {
			t.Errorf("refused with %v", err)
		}
	case <-time.After(time.Second):
		t.Error("the request still waits")
	}
	running.Wait()
}

// Guards against a request that waits in a full region although another one would serve it sooner, and against one that
// leaves the queue and is still sent.
func TestWaitingRequestMayLeaveForAnotherRegion(t *testing.T) {
	f := newTestFleet(t, 1, 0, standin.EngineOptions{BatchSlots: 1, TokenInterval: 5 * time.Millisecond, OutputTokens: 2000}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := make(chan error, 1)
	begun := make(chan struct{})
	go func() {
		_, err := f.stream(ctx, call(2000), func(n int) {
			if n == 1 {
				close(begun)
			}
		})
		first <- err
	}()
	<-begun
	asked := 0
	c := call(5)
	c.LeaveQueue = func() bool { asked++; return asked == 2 }
	_, err := f.stream(context.Background(), c, nil)
	var e *Error
	if !errors.As(err, &e) || e.Code != CodeLeftQueue || execution(t, err) != operations.NotRun {
		t.Fatalf("waiting request ended with %v", err)
	}
	f.mu.Lock()
	waiting := f.pools["m"].queue.Len()
	f.mu.Unlock()
	if received := f.engines[0].Counts().Received; waiting != 0 || received != 1 {
		t.Errorf("%d requests wait and %d were sent", waiting, received)
	}
	cancel()
	<-first
}

// Guards against requests that other regions forward to a pool whose data centre is drained, and against a pool that stays out of
// use after the drain.
func TestDrainedDataCentreIsNotInPoolLoads(t *testing.T) {
	f := newTestFleet(t, 1, 1, standin.EngineOptions{}, nil)
	if n := len(f.PoolLoads()); n != 2 {
		t.Fatalf("%d pools before the drain", n)
	}
	region := config.Region{Name: "lima", DataCentres: []string{"dc"}, DrainDataCentres: []string{"dc"}}
	f.source.setGeneral(&config.Config{Regions: []config.Region{region}, Endpoints: f.endpoints})
	if n := len(f.PoolLoads()); n != 0 || f.ServesModel("m") || f.ServesService("book") {
		t.Errorf("%d pools while drained, serves %v %v", n, f.ServesModel("m"), f.ServesService("book"))
	}
	f.source.set(f.endpoints...)
	if n := len(f.PoolLoads()); n != 2 || !f.ServesModel("m") || !f.ServesService("book") {
		t.Errorf("%d pools after the drain, serves %v %v", n, f.ServesModel("m"), f.ServesService("book"))
	}
}

// Guards against a region whose engines are all dead and that looks idle to the others, so that they forward requests to it; and
// against one that stays out of use until the ejections end although its engines have recovered.
func TestPoolWithoutLiveEnginesIsNotInPoolLoads(t *testing.T) {
	f := newTestFleet(t, 2, 0, standin.EngineOptions{BatchSlots: 4}, nil)
	if !f.ServesModel("m") || len(f.PoolLoads()) != 1 {
		t.Fatal("a healthy pool is not in PoolLoads")
	}
	f.engines[0].Die()
	for range 6 { // more consecutive failures than lead to an ejection
		if _, err := f.stream(t.Context(), call(2), nil); err != nil {
			t.Fatalf("one of two engines is left: %v", err)
		}
	}
	if !f.ServesModel("m") {
		t.Error("a pool with a live engine is not served")
	}
	f.engines[1].Die()
	for range 6 {
		if _, err := f.stream(t.Context(), call(2), nil); err == nil {
			t.Fatal("dead engines gave an answer")
		}
	}
	waitFor(t, "the dead pool to be left out", 5*time.Second, func() bool { return !f.ServesModel("m") && len(f.PoolLoads()) == 0 })
	for _, e := range f.engines {
		e.Revive()
	}
	waitFor(t, "the revived pool to be in PoolLoads", 500*time.Millisecond, func() bool { return f.ServesModel("m") && len(f.PoolLoads()) == 1 })
	waitFor(t, "an answer of the revived pool", 5*time.Second, func() bool {
		_, err := f.stream(t.Context(), call(2), nil)
		return err == nil
	})
}

// Guards against retries at dead engines that exhaust the budget, which the streams in flight need for retries in another region.
func TestEngineFailureLeavesRetriesForAnotherRegion(t *testing.T) {
	const streams = 16
	f := newTestFleet(t, 2, 0, standin.EngineOptions{BatchSlots: streams / 2, TokenInterval: 10 * time.Millisecond}, func(o *Options) {
		o.InstanceCount = func() int { return 1 }
	})
	var begun atomic.Int32
	var running sync.WaitGroup
	for range streams {
		running.Go(func() {
			c := call(500)
			c.RemoteFallback = true
			if _, err := f.stream(t.Context(), c, func(n int) {
				if n == 1 {
					begun.Add(1)
				}
			}); err == nil {
				t.Error("a dead engine gave a whole answer")
			}
		})
	}
	waitFor(t, "all streams to begin", 5*time.Second, func() bool { return begun.Load() == streams })
	for _, e := range f.engines {
		e.Die()
	}
	running.Wait()
	left := 0
	for f.AllowRetry() {
		left++
	}
	if left < streams {
		t.Errorf("%d retries are left for %d streams", left, streams)
	}
}
