package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// sendRaw sends bytes on a new connection and returns all that is received until the connection is closed.
func (in *instance) sendRaw(t *testing.T, send string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(in.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, send); err != nil {
		t.Fatal(err)
	}
	out, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("after %q: %v", out, err)
	}
	return string(out)
}

// Guards against errors for malformed requests that lack the headers of every answer, against request smuggling (bytes after a
// request that are read as a second one), and against connections that stay open for a caller that sends nothing.
func TestMalformedRequestsEndTheConnection(t *testing.T) {
	s := newService(t)
	in := start(t, "lima", testView(serviceAt(s, "s1", "lima")), func(o *Options, _ *dispatch.Options) {
		o.HeaderTimeout, o.BodyTimeout = 300*time.Millisecond, 300*time.Millisecond
	})
	auth := "Host: h\r\nAuthorization: Bearer " + workshopKey + "\r\n"
	smuggled := "POST /deposits/evil HTTP/1.1\r\n" + auth + "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		send   string
		status int
	}{
		"two lengths":      {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}" + smuggled, 400},
		"bad encoding":     {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Transfer-Encoding: xchunked\r\n\r\n{}" + smuggled, 501},
		"bad length":       {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Content-Length: +2\r\n\r\n{}" + smuggled, 400},
		"bad chunk":        {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}" + smuggled, 400},
		"space in header":  {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Content-Length : 2\r\n\r\n{}" + smuggled, 400},
		"large header":     {"GET /lots/1 HTTP/1.1\r\n" + auth + "X-Large: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		"two keys":         {"POST /deposits/1 HTTP/1.1\r\n" + auth + auth[9:] + "Content-Length: 2\r\n\r\n{}", 400},
		"no host":          {"POST /deposits/1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400},
		"encoded body":     {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Content-Encoding: gzip\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", 415},
		"slow body":        {"POST /deposits/1 HTTP/1.1\r\n" + auth + "Content-Length: 20\r\n\r\n{", 408},
		"refused, no body": {"POST /deposits/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n", 401},
		"half a header":    {"POST /deposits/1 HTTP/1.1\r\nHost: h\r\nX-A", 400},
		"upgrade":          {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 404},
	} {
		got := in.sendRaw(t, c.send)
		if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", c.status)) && !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.0 %d ", c.status)) {
			t.Errorf("%s: got %.200q, want status %d", name, got, c.status)
			continue
		}
		if !strings.Contains(got, headerExecution+": not-run") || !strings.Contains(got, headerRequestID+": ") || !strings.Contains(got, `{"error":{`) {
			t.Errorf("%s: answer %q lacks a header or the body of an error", name, got)
		}
		if strings.Count(got, "HTTP/1.") != 1 {
			t.Errorf("%s: more than one answer: %q", name, got)
		}
	}
	// A request with both a length and chunks: the chunks count, and nothing after them is read.
	got := in.sendRaw(t, "POST /deposits/1 HTTP/1.1\r\n"+auth+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+smuggled)
	if strings.Count(got, "HTTP/1.1 ") != 1 {
		t.Errorf("length and chunks: %q", got)
	}
	for _, seen := range s.executions() {
		if strings.Contains(seen.target, "evil") {
			t.Fatal("a smuggled request ran")
		}
	}
}

// Guards against invalid model requests that run, hang or crash the gateway.
func TestBadModelRequests(t *testing.T) {
	e := newEngine(t)
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), func(o *Options, _ *dispatch.Options) { o.MaxModelBody = 10000 })
	for body, code := range map[string]string{
		"":                                "invalid_request",
		"{":                               "invalid_request",
		"[]":                              "invalid_request",
		"null":                            "invalid_request",
		"{}":                              "invalid_request",
		`{"model":7}`:                     "invalid_request",
		"{\"model\":\"\xff\"}":            "invalid_request",
		`{"model":"taller-lm"}`:           "invalid_request",
		chat(true, `,"n":0`):              "invalid_request",
		chat(true, `,"n":1e9`):            "invalid_request",
		chat(true, `,"max_tokens":-1`):    "invalid_request",
		chat(true, `,"max_tokens":99999`): "context_length_exceeded",
		`{"model":"taller-lm","messages":[{"role":"user","content":7}]}`: "invalid_request",
	} {
		in.request(t, "POST", "/v1/chat/completions", workshopKey, body).checkError(t, 400, code, operations.NotRun)
	}
	in.request(t, "POST", "/v1/chat/completions", workshopKey, strings.Repeat("[", 9999)).checkError(t, 400, "invalid_request", operations.NotRun)
	in.request(t, "POST", "/v1/chat/completions", workshopKey, strings.Repeat("x", 10001)).checkError(t, 413, "body_too_large", operations.NotRun)
	in.request(t, "POST", "/v1/chat/completions", workshopKey, `{"model":"other","messages":[{"role":"user","content":"x"}]}`).
		checkError(t, 404, "model_not_found", operations.NotRun)
	if n := len(e.requests()); n != 0 {
		t.Fatalf("%d bad requests reached the engine", n)
	}
	if charges, _ := in.limiter.waitSettled(t); charges != 0 {
		t.Fatalf("%d bad requests were charged", charges)
	}
}

// startStream starts a stream and returns its body, of which the first line has been read.
func (in *instance) startStream(t *testing.T, ctx context.Context, key string) (*http.Response, *bufio.Reader) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, "POST", in.url+"/v1/chat/completions", strings.NewReader(chat(true, "")))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := in.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	r := bufio.NewReader(resp.Body)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		t.Fatalf("first line %q: %v", line, err)
	}
	return resp, r
}

// Guards against streams, local or forwarded, that go on after their key was withdrawn.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	e := newEngine(t)
	e.tokens, e.tokenInterval = 1000, 20*time.Millisecond
	local := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	remote, _, _ := twoRegions(t, e, newService(t))
	for _, in := range []*instance{local, remote} {
		_, body := in.startStream(t, context.Background(), workshopKey)
		begun := time.Now()
		in.source.change(func(v *fakeView) { v.withdrawn["1k"] = true })
		rest, err := io.ReadAll(body)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > 2*time.Second {
			t.Fatalf("the stream went on for %v", took)
		}
		if !strings.Contains(string(rest), `"code":"key_withdrawn"`) || strings.Contains(string(rest), "[DONE]") {
			t.Fatalf("the stream ended with %s", rest)
		}
		if _, used := in.limiter.waitSettled(t); used < 5 || used > 105 {
			t.Fatalf("%d tokens settled for the cut stream", used)
		}
	}
	eventually(t, "the requests at the engine are cancelled", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.cancelled) == 2
	})
}

// Guards against engines that go on generating after the caller has disconnected.
func TestCancelReachesTheEngine(t *testing.T) {
	e := newEngine(t)
	e.tokens, e.tokenInterval = 1000, 10*time.Millisecond
	in := start(t, "lima", testView(engineAt(e, "r1", "lima")), nil)
	ctx, cancel := context.WithCancel(context.Background())
	resp, _ := in.startStream(t, ctx, workshopKey)
	cancel()
	eventually(t, "the engine receives the cancellation", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.cancelled) == 1 && e.cancelled[0] == resp.Header.Get(headerRequestID)
	})
	if _, used := in.limiter.waitSettled(t); used < 5 || used > 105 {
		t.Fatalf("%d tokens settled for the cancelled stream", used)
	}
}

// Guards against a non-idempotent request (a booking) that is cancelled after it was sent, because its caller disconnected or its key was
// withdrawn.
func TestSentBookingIsFinished(t *testing.T) {
	s := newService(t)
	release := make(chan struct{})
	finished := make(chan bool, 1)
	s.answer = func(w http.ResponseWriter, r *http.Request, _ int) {
		<-release
		finished <- r.Context().Err() == nil
		io.WriteString(w, "{}")
	}
	in := start(t, "lima", testView(serviceAt(s, "s1", "lima")), nil)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", in.url+"/deposits/1", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workshopKey)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := in.client.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	eventually(t, "the booking has reached the service", func() bool { return len(s.executions()) == 1 })
	in.source.change(func(v *fakeView) { v.withdrawn["1k"] = true })
	cancel()
	<-done
	time.Sleep(50 * time.Millisecond)
	close(release)
	if !<-finished {
		t.Fatal("the booking was cancelled")
	}
	if _, used := in.limiter.waitSettled(t); used != 1 {
		t.Fatalf("%d tokens used, want 1", used)
	}
}

// Guards against a planned stop that ends or rejects requests in flight, callers' or forwarded ones.
func TestShutdownCutsNothing(t *testing.T) {
	e := newEngine(t)
	e.tokens, e.tokenInterval = 30, 20*time.Millisecond
	lima, cusco, _ := twoRegions(t, e, newService(t))
	if !lima.Ready() {
		t.Fatal("not ready before the stop")
	}
	_, forwarded := lima.startStream(t, context.Background(), workshopKey)
	_, own := cusco.startStream(t, context.Background(), workshopKey)
	var stopped sync.WaitGroup
	stopped.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := cusco.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.active != 0 {
			t.Errorf("%d requests in flight after the stop", e.active)
		}
	})
	eventually(t, "readiness is off", func() bool { return !cusco.Ready() })
	if a := cusco.request(t, "GET", "/v1/models", workshopKey, ""); a.status != 200 || !a.close {
		t.Errorf("while draining: %d, connection ends: %v", a.status, a.close)
	}
	for name, r := range map[string]*bufio.Reader{"own": own, "forwarded": forwarded} {
		rest, err := io.ReadAll(r)
		if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
			t.Errorf("%s stream ended with %.300q, %v", name, rest, err)
		}
	}
	stopped.Wait()
	if _, err := net.Dial("tcp", strings.TrimPrefix(cusco.url, "http://")); err == nil {
		t.Error("the stopped instance still listens")
	}
	lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(false, "")).checkError(t, 503, "declined", operations.NotRun)
}

// Guards against a planned stop that ends while a forwarded request is still in flight. There are no requests of the instance's own
// callers, for which it would wait in any case.
func TestShutdownWaitsForForwardedRequests(t *testing.T) {
	e := newEngine(t)
	e.tokens, e.tokenInterval = 60, 20*time.Millisecond
	lima, cusco, _ := twoRegions(t, e, newService(t))
	_, forwarded := lima.startStream(t, context.Background(), workshopKey)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rest, err := io.ReadAll(forwarded)
		if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
			t.Errorf("forwarded stream ended with %.300q, %v", rest, err)
		}
	}()
	if err := cusco.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	e.mu.Lock()
	active := e.active
	e.mu.Unlock()
	if active != 0 {
		t.Errorf("%d requests in flight after the stop", active)
	}
	<-ended
}

func streamRequest(t *testing.T, url string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chat(true, "")))
	if err != nil {
		t.Error(err)
	}
	req.Header.Set("Authorization", "Bearer "+workshopKey)
	return req
}

// Guards against a planned stop that resets connections which are not accepted yet, or closes a connection on which the caller's next
// request is on its way, because the stream before it was sent without "Connection: close".
func TestShutdownAnswersRequestsOnTheirWay(t *testing.T) {
	e := newEngine(t)
	e.tokenInterval = 2 * time.Millisecond
	in := start(t, "lima", testView(engineAt(e, "engine", "lima")), func(o *Options, _ *dispatch.Options) {
		o.StopDelay = 500 * time.Millisecond // longer than a caller takes between an answer and its next request
	})
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}, Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			for {
				resp, err := client.Do(streamRequest(t, in.url))
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err != nil {
					if failed := (&net.OpError{}); !errors.As(err, &failed) || failed.Op != "dial" {
						t.Errorf("during the stop: %v", err)
					}
					return
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := in.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	callers.Wait()
}

// Guards against wrong answers when the connection to a remote region breaks. The rest of a stream must come from the local endpoints,
// without repeats or gaps, and a non-idempotent request that may have run must not be sent again.
func TestBrokenLinkBetweenRegions(t *testing.T) {
	e, s := newEngine(t), newService(t)
	lima, _, bus := twoRegions(t, e, s)
	local := newEngine(t)
	bus.mu.Lock()
	bus.cut = func(_ []byte, n int) bool { return n == 3 }
	bus.mu.Unlock()
	// The remote region is chosen because no local endpoint serves the model at first. One is added while the stream runs.
	e.tokenInterval = 100 * time.Millisecond
	go func() {
		time.Sleep(150 * time.Millisecond)
		lima.source.change(func(v *fakeView) { v.general.Endpoints = append(v.general.Endpoints, engineAt(local, "near", "lima")) })
	}()
	a := lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	if a.text(t) != fiveWords || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Fatalf("stream: %s", a.body)
	}
	if len(local.requests()) != 1 {
		t.Fatalf("%d requests at the local engine", len(local.requests()))
	}
	bus.mu.Lock()
	bus.cut = func(_ []byte, n int) bool { return n == 1 }
	bus.mu.Unlock()
	lima.request(t, "POST", "/deposits/1", workshopKey, "{}").checkError(t, 502, "region_unreachable", operations.Unknown)
	if n := len(s.executions()); n != 1 {
		t.Fatalf("%d executions, want 1", n)
	}
	bus.mu.Lock()
	bus.links["cusco-1"] = false
	bus.mu.Unlock()
	lima.request(t, "POST", "/deposits/1", workshopKey, "{}").checkError(t, 503, "region_unreachable", operations.NotRun)
}

// fakeOperations runs each request once per idempotency key.
type fakeOperations struct {
	mu    sync.Mutex
	done  map[string]operations.Outcome
	asked []operations.Request
}

func (f *fakeOperations) Issue(string) (string, error) { return "op_1", nil }

func (f *fakeOperations) Do(ctx context.Context, req operations.Request, run operations.RunFunc) operations.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, req)
	if out, ok := f.done[req.Key]; ok {
		out.Repeat = true
		return out
	}
	a, ex, _ := run(ctx)
	out := operations.Outcome{Execution: ex, Answer: a, Status: 503, Code: "operation_not_run", RetryAfter: time.Second}
	f.done[req.Key] = out
	return out
}

// Guards against requests with an idempotency key that bypass their record, and against repeats that are charged or run again.
func TestOperations(t *testing.T) {
	s := newService(t)
	ops := &fakeOperations{done: map[string]operations.Outcome{}}
	in := start(t, "lima", testView(serviceAt(s, "s1", "lima")), func(o *Options, _ *dispatch.Options) { o.Operations = ops })
	if a := in.request(t, "POST", "/v1/operations", workshopKey, ""); a.status != 201 || !strings.Contains(a.body, `"id":"op_1"`) {
		t.Fatalf("issue: %d %s", a.status, a.body)
	}
	first := in.request(t, "POST", "/deposits/1", workshopKey, "{}", "Idempotency-Key", "op_1")
	second := in.request(t, "POST", "/deposits/1", workshopKey, "{}", "Idempotency-Key", "op_1")
	if first.status != 200 || second.body != first.body || len(s.executions()) != 1 {
		t.Fatalf("answers %s and %s, %d executions", first.body, second.body, len(s.executions()))
	}
	if charges, used := in.limiter.waitSettled(t); charges != 2 || used != 1 {
		t.Fatalf("%d charges, %d tokens used", charges, used)
	}
	if ops.asked[0].Forwardable.Route != "deposit" || ops.asked[0].Organisation != "workshop" {
		t.Fatalf("asked %+v", ops.asked[0])
	}
	if a := in.request(t, "GET", "/lots/1", workshopKey, "", "Idempotency-Key", "k"); a.status != 200 || len(ops.asked) != 2 {
		t.Fatalf("idempotent route with a key: %d, %d asked", a.status, len(ops.asked))
	}
	in.request(t, "GET", "/status", "", "", "Idempotency-Key", "k").checkError(t, 400, "idempotency_key_not_taken", operations.NotRun)
	// A request to a home-bound service may be forwarded to the key's owner within the region, but not to a remote region.
	in.request(t, "POST", "/ledger", workshopKey, "{}", "Idempotency-Key", "op_2").checkError(t, 503, "operation_not_run", operations.NotRun)
	if last := ops.asked[len(ops.asked)-1]; !last.StayInRegion || last.Forwardable == nil {
		t.Fatalf("a home-bound request may leave its region: %+v", last)
	}
	// The key's owner runs a forwarded request only if the organisation's data may be in its region.
	f := &operations.ForwardedRequest{Route: "deposit", Method: "POST", Path: "/deposits/2", Body: []byte("{}")}
	if a, ex, err := in.RunForwarded(context.Background(), "workshop", f); err != nil || ex != operations.Ran || a.Status != 200 {
		t.Fatalf("forwarded: %v %s %v", a, ex, err)
	}
	in.source.change(func(v *fakeView) { v.orgs["workshop"].Home = "cusco" })
	if _, ex, err := in.RunForwarded(context.Background(), "workshop", f); err == nil || ex != operations.NotRun {
		t.Fatalf("forwarded for an organisation of another region: %s %v", ex, err)
	}
}

// Guards against an unbounded number of connections, and against callers beyond the limit that wait without an answer.
func TestConnectionsAreBounded(t *testing.T) {
	in := start(t, "lima", testView(), func(o *Options, _ *dispatch.Options) { o.MaxConnections = 2 })
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(in.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
	}
	got := in.sendRaw(t, "")
	if !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, headerExecution+": not-run") || !strings.Contains(got, "Retry-After: 1") {
		t.Fatalf("third connection: %q", got)
	}
	for _, conn := range held {
		conn.Close()
	}
	eventually(t, "new connections are accepted again", func() bool {
		return strings.HasPrefix(in.sendRaw(t, "GET /v1/models HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "HTTP/1.1 401 ")
	})
}
