package site

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"dogwoodknot.example/dogwoodknot/internal/standin"
)

func start(t *testing.T, o Options) (*Site, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	s, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := s.Stop(stopCtx); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return s, ctx
}

func request(ctx context.Context, t *testing.T, method, url, key, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req
}

// Guards against a deployment whose parts work alone but not together: a chat stream from each region, and a booking.
func TestStreamsAndBookingsFromEveryRegion(t *testing.T) {
	s, ctx := start(t, Veletas())
	key := s.Keys["taller-quispe"]
	for _, i := range s.Instances {
		client := s.Client(i.Place.Region)
		body := `{"model":"taller-lm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"a weather vane for a chapel"}]}`
		resp, err := client.Do(request(ctx, t, "POST", i.URL()+"/v1/chat/completions", key, body))
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(resp.Body)
		last := ""
		for lines.Scan() {
			if lines.Text() != "" {
				last = lines.Text()
			}
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || last != "data: [DONE]" {
			t.Errorf("%s: status %d, last line %q", i.Name, resp.StatusCode, last)
		}
		req := request(ctx, t, "POST", i.URL()+"/bookings", key, `{"deposit":120}`)
		resp, err = client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if got := resp.Header.Get("Dogwoodknot-Execution"); resp.StatusCode != http.StatusOK || got != "ran" {
			t.Errorf("%s: booking got %d, execution %q: %s", i.Name, resp.StatusCode, got, data)
		}
	}
}

// Guards against an answer that names entries of the wrong region or leaving ones.
func TestEntriesAreRankedForTheRegion(t *testing.T) {
	s, ctx := start(t, Veletas())
	i := s.Instances[0]
	resp, err := s.Client("lima").Do(request(ctx, t, "GET", i.URL()+"/v1/entries?region=lima", s.Keys["taller-quispe"], ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body struct {
		Entries []struct {
			Name   string `json:"name"`
			Region string `json:"region"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if len(body.Entries) != 2 {
		t.Errorf("entries are %+v", body.Entries)
	}
}

// Guards against a hop without a span, or with one that is not part of the request's trace: a request at a region whose
// runners are dead passes through the gateway there, a session, and an endpoint of another region.
func TestEveryHopHasASpanOfTheRequestsTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	former := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	t.Cleanup(func() { otel.SetTracerProvider(former) })
	s, ctx := start(t, Veletas())
	for _, r := range s.Runners {
		if r.Place.Region == "cusco" {
			r.Kill()
		}
	}
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	body := `{"model":"taller-lm","max_tokens":4,"messages":[{"role":"user","content":"a vane"}]}`
	req := request(ctx, t, "POST", s.Instance("cusco-1").URL()+"/v1/chat/completions", s.Keys["taller-quispe"], body)
	req.Header.Set("Traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
	resp, err := s.Client("cusco").Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	// Both ends of the session have a span, and each attempt at an endpoint, the failed local ones included.
	want := map[string]int{"gateway.request": 1, "peer forward": 2, "dispatch.plain": 2}
	seen := map[string]int{}
	err = s.Await(ctx, "the spans of the request to end", func() bool {
		clear(seen)
		for _, span := range recorder.Ended() {
			if span.SpanContext().TraceID().String() == traceID {
				seen[span.Name()]++
			}
		}
		for name, n := range want {
			if seen[name] < n {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Errorf("%v: spans of the trace are %v", err, seen)
	}
}

// Guards against lookups that must return and don't, because the region's only plain service has died; and against a booking
// that is refused although nothing was sent and another region could run it.
func TestPlainServiceFailsOverToAnotherRegion(t *testing.T) {
	s, ctx := start(t, Veletas())
	for _, e := range s.Services {
		if e.Place.Region == "cusco" {
			e.Kill()
		}
	}
	i, client, key := s.Instance("cusco-1"), s.Client("cusco"), s.Keys["taller-quispe"]
	for _, r := range []struct{ method, path, body string }{{"GET", "/lookup/7", ""}, {"POST", "/bookings", `{"deposit":7}`}} {
		resp, err := client.Do(request(ctx, t, r.method, i.URL()+r.path, key, r.body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || resp.Header.Get("Dogwoodknot-Served-Region") == "cusco" || resp.Header.Get("Dogwoodknot-Execution") != "ran" {
			t.Errorf("%s %s: status %d, served in %q, execution %q", r.method, r.path, resp.StatusCode,
				resp.Header.Get("Dogwoodknot-Served-Region"), resp.Header.Get("Dogwoodknot-Execution"))
		}
	}
	executions := int64(0)
	for _, e := range s.Services {
		executions += e.Service.Executions().ByBodyDigest[standin.BodyDigest([]byte(`{"deposit":7}`))]
	}
	if executions != 1 {
		t.Errorf("booking was executed %d times", executions)
	}
}

// Guards against a simulated crash that still tells others of its end: a crashed process neither hands over its slots nor sends
// a last message.
func TestKilledInstanceTellsNobody(t *testing.T) {
	s, ctx := start(t, Veletas())
	i := s.Instance("lima-2")
	conns := i.conns
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_ = i.Kill(short) // runs out of time
	if conn, err := conns.dial(ctx, "tcp", s.Runners[0].listener.Addr()); err == nil {
		conn.Close()
		t.Error("a crashed instance can make a connection")
	}
	conns.mu.Lock()
	open := len(conns.open)
	conns.mu.Unlock()
	if open != 0 {
		t.Errorf("%d connections of a crashed instance are open", open)
	}
	for _, other := range s.Instances {
		if m := other.Daemon.Status(); other != i && !m.Ready {
			t.Errorf("%s is not ready after the crash of another", other.Name)
		}
	}
}
