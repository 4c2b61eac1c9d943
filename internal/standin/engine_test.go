package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/sse"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 15 * time.Second

// rig is a stand-in on a port with a client of its own.
type rig struct {
	t      *testing.T
	ctx    context.Context
	url    string
	client *http.Client
}

func newRig(t *testing.T, s Server) *rig {
	t.Helper()
	l, err := Listen(s.Handler())
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		s.Close()
		l.Close()
		transport.CloseIdleConnections()
	})
	return &rig{t: t, ctx: ctx, url: l.URL(), client: &http.Client{Transport: transport}}
}

func newEngineRig(t *testing.T, opts EngineOptions) (*Engine, *rig) {
	t.Helper()
	if opts.Models == nil {
		opts.Models = []EngineModel{{Name: "m", Version: "1", Adapters: []string{"m-poem"}}}
	}
	if opts.TokenInterval == 0 {
		opts.TokenInterval = time.Millisecond
	}
	if opts.PrefillRate == 0 {
		opts.PrefillRate = 1e6
	}
	e, err := NewEngine(opts)
	if err != nil {
		t.Fatal(err)
	}
	return e, newRig(t, e)
}

func (r *rig) send(method, path, id string, body any) (*http.Response, error) {
	r.t.Helper()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			r.t.Fatal(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(r.ctx, method, r.url+path, reader)
	if err != nil {
		r.t.Fatal(err)
	}
	if id != "" {
		req.Header.Set(HeaderRequestID, id)
	}
	return r.client.Do(req)
}

// call expects a complete answer with the status, and decodes it into out if that is not nil.
func (r *rig) call(method, path, id string, body any, status int, out any) {
	r.t.Helper()
	resp, err := r.send(method, path, id, body)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	if resp.StatusCode != status {
		r.t.Fatalf("%s %s: status %d, want %d: %s", method, path, resp.StatusCode, status, data)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(data, out); err != nil {
		r.t.Fatalf("%s: %v", data, err)
	}
}

// read is what a reader has got of a stream.
type read struct {
	text   string
	next   int // position after the last token
	finish string
	usage  *usage
	done   bool
	err    error // how the connection ended
}

// readStream reads a stream that is expected to start at position from.
func (r *rig) readStream(resp *http.Response, err error, from int) read {
	r.t.Helper()
	if err != nil {
		return read{next: from, err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.t.Errorf("stream has status %d", resp.StatusCode)
	}
	out := read{next: from}
	events := sse.NewReader(resp.Body)
	data, err := events.Next()
	for ; err == nil; data, err = events.Next() {
		if string(data) == "[DONE]" {
			out.done = true
			continue
		}
		var c completionObject
		if err := json.Unmarshal(data, &c); err != nil {
			r.t.Errorf("%s: %v", data, err)
		}
		if c.IndexFrom == nil || *c.IndexFrom != out.next {
			r.t.Errorf("chunk %s does not start at token %d", data, out.next)
		}
		out.take(c)
	}
	if !errors.Is(err, io.EOF) {
		out.err = err
	}
	return out
}

func (o *read) take(c completionObject) {
	for _, choice := range c.Choices {
		text := ""
		if choice.Delta != nil {
			text = choice.Delta.Content
		} else if choice.Text != nil {
			text = *choice.Text
		}
		o.text += text
		o.next += PromptTokens(text)
		if choice.FinishReason != nil {
			o.finish = *choice.FinishReason
		}
	}
	if c.Usage != nil {
		o.usage = c.Usage
	}
}

func completionBody(prompt string, tokens int, stream bool) map[string]any {
	return map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "ignore_eos": true, "stream": stream}
}

func (r *rig) stream(id, prompt string, tokens int) read {
	r.t.Helper()
	resp, err := r.send(http.MethodPost, "/v1/completions", id, completionBody(prompt, tokens, true))
	return r.readStream(resp, err, 0)
}

func (r *rig) resume(id string, from int) read {
	r.t.Helper()
	resp, err := r.send(http.MethodGet, fmt.Sprintf("/engine/v1/requests/%s/stream?from=%d", id, from), "", nil)
	return r.readStream(resp, err, from)
}

// wantWhole checks that a reader got the complete output.
func wantWhole(t *testing.T, got read, prompt string, from, tokens int) {
	t.Helper()
	if want := OutputText(prompt, from, tokens); got.text != want || !got.done || got.err != nil || got.next != tokens {
		t.Errorf("got %+v, want %q", got, want)
	}
	if got.usage == nil || got.usage.CompletionTokens != tokens || got.usage.PromptTokens != PromptTokens(prompt) {
		t.Errorf("usage is %+v", got.usage)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// Guards against streams with missing, repeated or foreign tokens, and without usage or end event.
func TestEngineStreams(t *testing.T) {
	_, r := newEngineRig(t, EngineOptions{})
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			wantWhole(t, r.stream(fmt.Sprintf("id-%d", i), prompt, 10+i), prompt, 0, 10+i)
		})
	}
	wg.Wait()
}

// Guards against chats whose prompt text differs from the protocol's, and against answers that differ from streams.
func TestEngineChat(t *testing.T) {
	_, r := newEngineRig(t, EngineOptions{OutputTokens: 12})
	body := map[string]any{"model": "m-poem", "messages": []any{
		map[string]any{"role": "system", "content": "be short"},
		map[string]any{"role": "user", "content": []any{map[string]any{"type": "text", "text": "which metal?"}}},
	}}
	prompt := ChatPrompt("system", "be short", "user", "which metal?")
	var got completionObject
	r.call(http.MethodPost, "/v1/chat/completions", "whole", body, http.StatusOK, &got)
	want := OutputText(prompt, 0, 12)
	if c := got.Choices[0]; c.Message == nil || c.Message.Content != want || *c.FinishReason != finishStop {
		t.Fatalf("answer is %+v, want %q", c, want)
	}
	body["stream"] = true
	body["max_completion_tokens"] = 5
	resp, err := r.send(http.MethodPost, "/v1/chat/completions", "stream", body)
	streamed := r.readStream(resp, err, 0)
	wantWhole(t, streamed, prompt, 0, 5)
	if streamed.finish != finishLength {
		t.Fatalf("finish reason is %q", streamed.finish)
	}
	r.call(http.MethodPost, "/v1/chat/completions", "", map[string]any{"model": "m"}, http.StatusBadRequest, nil)
	r.call(http.MethodPost, "/v1/completions", "", map[string]any{"model": "x", "prompt": "p"}, http.StatusNotFound, nil)
}

// Guards against a cut stream that cannot be resumed, or is resumed with lost or repeated tokens.
func TestEngineResume(t *testing.T) {
	for _, kind := range []StreamFaultKind{StreamTruncate, StreamBreak} {
		e, r := newEngineRig(t, EngineOptions{})
		e.SetFaults(EngineFaults{Streams: []StreamFault{{Kind: kind, RequestID: "cut", AfterTokens: 7}}})
		first := r.stream("cut", "p", 30)
		if first.done || first.next != 7 || (first.err == nil) != (kind == StreamTruncate) {
			t.Fatalf("%s: cut stream is %+v", kind, first)
		}
		rest := r.resume("cut", first.next)
		wantWhole(t, rest, "p", 7, 30)
		wantWhole(t, r.resume("cut", 30), "p", 30, 30)
		r.call(http.MethodGet, "/engine/v1/requests/cut/stream?from=31", "", nil, http.StatusBadRequest, nil)
		r.call(http.MethodGet, "/engine/v1/requests/other/stream?from=0", "", nil, http.StatusNotFound, nil)

		e.SetFaults(EngineFaults{Streams: []StreamFault{{Kind: kind, AfterTokens: 3, Forget: true}}})
		if lost := r.stream("lost", "p", 30); lost.done || lost.next != 3 {
			t.Fatalf("%s: forgotten stream is %+v", kind, lost)
		}
		r.call(http.MethodGet, "/engine/v1/requests/lost/stream?from=3", "", nil, http.StatusNotFound, nil)
	}
}

// Guards against a death that lets a stream end as if it were complete, or leaves one waiting.
func TestEngineDies(t *testing.T) {
	e, r := newEngineRig(t, EngineOptions{BatchSlots: 2})
	e.SetFaults(EngineFaults{Hang: true, Streams: []StreamFault{{Kind: StreamDie, RequestID: "id-0", AfterTokens: 4}}})
	var wg sync.WaitGroup
	for i := range 4 { // two will run, two wait
		wg.Go(func() {
			if got := r.stream(fmt.Sprintf("id-%d", i), "p", 100_000); got.done || got.err == nil {
				t.Errorf("stream of a dead engine ended with %+v", got)
			}
		})
		eventually(t, "request inside", func() bool { waiting, _ := e.Inside(); return len(waiting) == i+1 })
	}
	eventually(t, "fault taken", func() bool { return len(e.Faults().Streams) == 0 })
	e.SetFaults(EngineFaults{})
	wg.Wait()
	if lost := e.Counts().Lost; lost != 4 {
		t.Fatalf("%d requests were lost", lost)
	}
	if refused := e.submit(&generation{model: "m"}); refused != diedMeanwhile {
		t.Fatal("a dead engine takes a request that it had let in before")
	}
	if _, err := r.send(http.MethodGet, "/engine/v1/load", "", nil); err == nil {
		t.Fatal("a dead engine answers")
	}
	r.call(http.MethodPost, "/standin/v1/revive", "", nil, http.StatusNoContent, nil)
	r.call(http.MethodGet, "/engine/v1/requests/id-0/stream?from=0", "", nil, http.StatusNotFound, nil)
	wantWhole(t, r.stream("again", "p", 5), "p", 0, 5)
}

// Guards against cancelled requests that keep their batch slot, and against requests that run on for nobody.
func TestEngineCancel(t *testing.T) {
	e, r := newEngineRig(t, EngineOptions{BatchSlots: 1, ResumeWindow: 50 * time.Millisecond})
	result := make(chan read, 1)
	go func() { result <- r.stream("long", "p", 100_000) }()
	eventually(t, "running", func() bool { _, running := e.Inside(); return len(running) == 1 })
	r.call(http.MethodDelete, "/engine/v1/requests/long", "", nil, http.StatusNoContent, nil)
	r.call(http.MethodDelete, "/engine/v1/requests/unknown", "", nil, http.StatusNoContent, nil)
	if got := <-result; got.done || got.err == nil {
		t.Fatalf("cancelled stream ended with %+v", got)
	}
	e.SetFaults(EngineFaults{Streams: []StreamFault{{Kind: StreamBreak, AfterTokens: 2}}})
	r.stream("left", "p", 100_000)
	wantWhole(t, r.stream("next", "p", 5), "p", 0, 5) // runs only after "left" has been abandoned
	if c := e.Counts(); c.Cancelled != 1 || c.Abandoned != 1 || c.Finished != 1 {
		t.Fatalf("counts are %+v", c)
	}
}

// Guards against a queue that ignores priorities or the order of arrival.
func TestEnginePriorities(t *testing.T) {
	e, r := newEngineRig(t, EngineOptions{BatchSlots: 1, MaxWaiting: 3})
	var wg sync.WaitGroup
	submit := func(id string, priority int) {
		body := completionBody("p", 3, true)
		body["priority"] = priority
		wg.Go(func() {
			resp, err := r.send(http.MethodPost, "/v1/completions", id, body)
			wantWhole(t, r.readStream(resp, err, 0), "p", 0, 3)
		})
		eventually(t, id+" is inside", func() bool {
			waiting, running := e.Inside()
			return slices.Contains(waiting, id) || slices.Contains(running, id)
		})
	}
	e.SetFaults(EngineFaults{Hang: true})
	submit("late", 5)
	submit("soon", 0)
	submit("sooner", -1)
	waiting, running := e.Inside()
	if got := append(running, waiting...); !slices.Equal(got, []string{"sooner", "soon", "late"}) {
		t.Fatalf("order is %v", got)
	}
	r.call(http.MethodPost, "/v1/completions", "", completionBody("p", 1, false), http.StatusServiceUnavailable, nil)
	e.SetFaults(EngineFaults{})
	wg.Wait()
}

// Guards against an engine whose speed does not depend on batch depth, prompt length or the injected slowness.
func TestEngineSpeed(t *testing.T) {
	_, r := newEngineRig(t, EngineOptions{
		BatchSlots: 4, TokenInterval: 2 * time.Millisecond, DepthSlowdown: 3, PrefillRate: 10_000,
	})
	timed := func(n int, prompt string, tokens int) time.Duration {
		start := time.Now()
		var wg sync.WaitGroup
		for i := range n {
			p := fmt.Sprintf("%d%s", i, prompt)
			wg.Go(func() { wantWhole(t, r.stream("", p, tokens), p, 0, tokens) })
		}
		wg.Wait()
		return time.Since(start)
	}
	// Only lower bounds are checked: a busy machine may add to any of these times.
	if took := timed(1, "", 50); took < 95*time.Millisecond {
		t.Fatalf("50 tokens at 2ms took %v", took)
	}
	if took := timed(4, "", 50); took < 300*time.Millisecond { // 8ms between tokens while all four are inside
		t.Fatalf("50 tokens at depth 4 took %v", took)
	}
	if took := timed(1, strings.Repeat("x", 8000), 1); took < 190*time.Millisecond { // 2,000 tokens at 10,000/s
		t.Fatalf("prefill of 2,000 tokens took %v", took)
	}
	r.call(http.MethodPost, "/standin/v1/faults", "", EngineFaults{SlowFactor: 4}, http.StatusNoContent, nil)
	if took := timed(1, "", 50); took < 380*time.Millisecond {
		t.Fatalf("50 tokens at 8ms took %v", took)
	}
}

// Guards against prefixes that are not found again, a cache without bound, and events that are early or without gaps.
func TestEngineCache(t *testing.T) {
	e, r := newEngineRig(t, EngineOptions{CacheBlocks: 4, CacheEventDelay: 50 * time.Millisecond})
	prompt := strings.Repeat("a", 3*blockBytes) + "tail"
	if first := r.stream("", prompt, 2); first.usage.PromptTokensDetails["cached_tokens"] != 0 {
		t.Fatalf("first request found %+v", first.usage)
	}
	if early := e.CacheEvents(0); len(early.Events) != 0 || early.Sequence != 0 {
		t.Fatalf("events without delay: %+v", early)
	}
	second := r.stream("", prompt[:2*blockBytes]+"other", 2)
	if got := second.usage.PromptTokensDetails["cached_tokens"]; got != 2*blockTokens {
		t.Fatalf("second request found %d tokens", got)
	}
	r.stream("", strings.Repeat("b", 3*blockBytes), 2)
	eventually(t, "all events", func() bool { return e.CacheEvents(0).Sequence == 3 })
	var got CacheEvents
	r.call(http.MethodGet, "/engine/v1/cache-events?after=1", "", nil, http.StatusOK, &got)
	if len(got.Events) != 2 || got.Events[0].Kind != CacheEvicted || len(got.Events[0].Blocks) != 2 {
		t.Fatalf("events are %+v", got)
	}
	if want := hexHash(BlockHashes(prompt)[2]); got.Events[0].Blocks[0] != want {
		t.Fatalf("evicted %v, want the end of the chain %s first", got.Events[0].Blocks, want)
	}
	if load := e.Load(); load.CacheBlocksUsed != 4 || load.CacheBlocks != 4 {
		t.Fatalf("load is %+v", load)
	}

	long, r := newEngineRig(t, EngineOptions{})
	for i := range 20 {
		r.stream("", strings.Repeat(string(rune('c'+i)), 200*blockBytes), 1)
	}
	page := long.CacheEvents(0)
	if page.Sequence != 11 || len(page.Events) != 11 {
		t.Fatalf("first page ends at %d with %d events", page.Sequence, len(page.Events))
	}
	if page = long.CacheEvents(page.Sequence); page.Sequence != 20 || len(page.Events) != 9 {
		t.Fatalf("second page ends at %d with %d events", page.Sequence, len(page.Events))
	}

	lossy, r := newEngineRig(t, EngineOptions{CacheEventGap: 1})
	r.stream("", prompt, 2)
	if got := lossy.CacheEvents(0); got.Sequence != 1 || len(got.Events) != 0 {
		t.Fatalf("lossy engine published %+v", got)
	}
}

// Guards against load reports that are fresher than configured, or never follow.
func TestEngineLoadLags(t *testing.T) {
	const lag = 200 * time.Millisecond
	e, r := newEngineRig(t, EngineOptions{LoadLag: lag, BatchSlots: 3})
	e.SetFaults(EngineFaults{Hang: true})
	start := time.Now()
	go func() { r.stream("", "four", 5) }()
	eventually(t, "request inside", func() bool { return e.Counts().Received == 1 })
	var load Load
	r.call(http.MethodGet, "/engine/v1/load", "", nil, http.StatusOK, &load)
	if load.Waiting != 0 && time.Since(start) < lag {
		t.Fatalf("report shows the request at once: %+v", load)
	}
	eventually(t, "report of the request", func() bool { load = e.Load(); return load.Waiting == 1 })
	if age := time.Since(time.UnixMilli(load.ReportedAtMs)); age < lag-time.Millisecond || time.Since(start) < lag {
		t.Fatalf("report is %v old", age)
	}
	if load.QueuedTokens != 1 || load.BatchSlots != 3 {
		t.Fatalf("load is %+v", load)
	}
	e.SetFaults(EngineFaults{Hang: true, FreezeReports: true})
	time.Sleep(2 * time.Millisecond)
	if again := e.Load(); again.ReportedAtMs > time.Now().Add(-lag).UnixMilli()-1 {
		t.Fatalf("frozen report moved to %+v", again)
	}
	e.SetFaults(EngineFaults{})
	eventually(t, "end of the request", func() bool { return e.Counts().Finished == 1 })
}

// Guards against orders that take effect out of order, at once, or twice.
func TestEngineOrders(t *testing.T) {
	weights := memory.NewWeightStore(memory.WeightStoreOptions{})
	weights.SetSize("m", "2", 100)
	weights.SetFaults(memory.Faults{Down: true})
	e, r := newEngineRig(t, EngineOptions{ChecksFencing: true, Weights: weights, LoadBytesPerSecond: 1000})
	put := func(o Order, status int) {
		t.Helper()
		r.call(http.MethodPut, "/engine/v1/orders/m", "", o, status, nil)
	}
	ready := func() bool {
		var state EngineState
		r.call(http.MethodGet, "/engine/v1/state", "", nil, http.StatusOK, &state)
		return len(state.Models) == 1 && state.Models[0].Version == "2" && state.Models[0].Ready
	}
	start := time.Now()
	put(Order{Version: "2", Generation: 5, Fencing: 10, Role: "decode"}, http.StatusAccepted)
	r.call(http.MethodPost, "/v1/completions", "", completionBody("p", 1, false), http.StatusServiceUnavailable, nil)
	put(Order{Version: "2", Generation: 5, Fencing: 10}, http.StatusAccepted)
	put(Order{Version: "3", Generation: 5, Fencing: 10}, http.StatusConflict)
	put(Order{Version: "3", Generation: 4, Fencing: 10}, http.StatusConflict)
	put(Order{Version: "3", Generation: 6, Fencing: 9}, http.StatusPreconditionFailed)
	put(Order{Version: "2", Generation: 6, Fencing: 11, Adapters: []string{"m-new"}}, http.StatusAccepted)
	weights.SetFaults(memory.Faults{})
	eventually(t, "version 2 ready", ready)
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Fatalf("100 bytes at 1,000/s were loaded in %v", took)
	}
	wantWhole(t, r.stream("", "p", 3), "p", 0, 3)
	if s := e.State(); s.Role != "decode" || s.Models[0].Generation != 6 || !slices.Equal(s.Models[0].Adapters, []string{"m-new"}) {
		t.Fatalf("state is %+v", s)
	}
	r.call(http.MethodDelete, "/engine/v1/orders/m?generation=6&fencing=11", "", nil, http.StatusConflict, nil)
	r.call(http.MethodDelete, "/engine/v1/orders/m?generation=7&fencing=11", "", nil, http.StatusAccepted, nil)
	put(Order{Version: "2", Generation: 6, Fencing: 11}, http.StatusConflict)
	put(Order{Version: "2", Generation: 7, Fencing: 11}, http.StatusConflict)
	r.call(http.MethodPost, "/v1/completions", "", completionBody("p", 1, false), http.StatusNotFound, nil)
	if got := e.Orders(); len(got) != 10 || got[4].Status != http.StatusPreconditionFailed || !got[7].Unload {
		t.Fatalf("recorded orders are %+v", got)
	}

	careless, r := newEngineRig(t, EngineOptions{})
	r.call(http.MethodPut, "/engine/v1/orders/m", "", Order{Version: "1", Generation: 1, Fencing: 7}, http.StatusAccepted, nil)
	r.call(http.MethodPut, "/engine/v1/orders/m", "", Order{Version: "1", Generation: 2, Fencing: 3}, http.StatusAccepted, nil)
	if s := careless.State(); s.Models[0].Generation != 2 || !s.Models[0].Ready {
		t.Fatalf("state is %+v", s)
	}
}

// Guards against an engine that takes new work while it leaves, or cuts the work it has.
func TestEngineLeaves(t *testing.T) {
	e, r := newEngineRig(t, EngineOptions{})
	result := make(chan read, 1)
	go func() { result <- r.stream("inside", "p", 60) }()
	eventually(t, "running", func() bool { _, running := e.Inside(); return len(running) == 1 })
	e.SetFaults(EngineFaults{Leaving: true})
	r.call(http.MethodPost, "/v1/completions", "", completionBody("p", 1, false), http.StatusServiceUnavailable, nil)
	wantWhole(t, <-result, "p", 0, 60)
}

// Guards against the options' findings being reported one at a time.
func TestEngineOptions(t *testing.T) {
	_, err := NewEngine(EngineOptions{BatchSlots: -1, CacheEventGap: 2, Models: []EngineModel{{}}})
	if err == nil {
		t.Fatal("wrong options were accepted")
	}
	for _, want := range []string{"BatchSlots", "CacheEventGap", "model 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Fatalf("error %q does not name %s", err, want)
		}
	}
}
