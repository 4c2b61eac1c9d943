package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/orders"
)

// loopback is any free port of a loopback address.
const loopback = "127.0.0.1:0"

// counter counts the bytes of connections in both directions.
type counter struct{ sent, received, dials atomic.Int64 }

func (c *counter) total() float64 { return float64(c.sent.Load() + c.received.Load()) }

// dial opens a counted connection.
func (c *counter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	counts *counter
}

// Write counts.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.sent.Add(int64(n))
	return n, err
}

// Read counts.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.received.Add(int64(n))
	return n, err
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fakeEndpoint answers the engine's protocol at once: streams of the wanted length, load reports, cache events and states.
type fakeEndpoint struct {
	server   *http.Server
	addr     string
	tokens   atomic.Int64 // of a stream
	blocks   atomic.Int64 // of a read of the cache events
	sequence atomic.Int64
	loads    atomic.Int64
	events   atomic.Int64
	states   atomic.Int64
}

func startEndpoint() (*fakeEndpoint, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	e := &fakeEndpoint{addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.stream)
	mux.HandleFunc("GET /engine/v1/load", e.load)
	mux.HandleFunc("GET /engine/v1/cache-events", e.cacheEvents)
	mux.HandleFunc("GET /engine/v1/state", e.state)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

func (e *fakeEndpoint) close() { _ = e.server.Close() }

// stream sends one event for each token, as an engine that is not batching its writes.
func (e *fakeEndpoint) stream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	const id = `"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1796344200,"model":"model-0"`
	n := e.tokens.Load()
	for i := range n {
		finish := "null"
		if i == n-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {%s,\"choices\":[{\"index\":0,\"delta\":{\"content\":\" tok\"},\"finish_reason\":%s}],\"index_from\":%d}\n\n", id, finish, i)
		_ = flusher.Flush()
	}
	fmt.Fprintf(w, "data: {%s,\"choices\":[],\"usage\":{\"prompt_tokens\":50,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", id, n, n+50)
}

func (e *fakeEndpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.loads.Add(1)
	fmt.Fprint(w, `{"running":31,"waiting":4,"queued_tokens":12345,"batch_slots":64,"cache_blocks_used":60123,"cache_blocks":65536,"reported_at_ms":1796344200123}`)
}

// cacheEvents returns as many blocks as set, each request's eight blocks in one event.
func (e *fakeEndpoint) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.events.Add(1)
	const perEvent = 8
	type event struct {
		Sequence int64    `json:"sequence"`
		Kind     string   `json:"kind"`
		Blocks   []string `json:"blocks"`
	}
	var events []event
	for left := e.blocks.Load(); left > 0; left -= perEvent {
		v := event{Sequence: e.sequence.Add(1), Kind: "stored"}
		for i := range perEvent {
			v.Blocks = append(v.Blocks, fmt.Sprintf("%016x", uint64(v.Sequence)*0x9e3779b97f4a7c15+uint64(i)))
		}
		events = append(events, v)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"sequence": e.sequence.Load(), "events": events})
}

func (e *fakeEndpoint) state(w http.ResponseWriter, _ *http.Request) {
	e.states.Add(1)
	fmt.Fprint(w, `{"models":[{"model":"model-0","version":"2026-12","adapters":[],"ready":true,"generation":7}],"role":""}`)
}

// chatBody is a request with a prompt of about 50 tokens.
func chatBody() string {
	return `{"model":"model-0","stream":true,"max_tokens":512,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 40) + `"}]}`
}

// observationAge is how old a read-back may be.
const observationAge = orders.MaxObservationAge
