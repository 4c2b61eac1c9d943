package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeat_ms of the settings on the users' pages.
	heartbeat = 1200 * time.Millisecond
	// readTokensPerMs is how fast an engine reads a prompt (SYSTEM.md).
	readTokensPerMs = 112
	// streamEvents and eventGap give the stream of a run.
	streamEvents = 7
	eventGap     = 10 * time.Millisecond
	runnerSlots  = 128
)

// arrival is a request at a runner.
type arrival struct {
	id     string
	runner string // id of the incarnation
	at     time.Time
	sent   time.Time // when its client sent it
	tokens float64   // its two token counts
	parts  string    // ids of its prompt parts
	ran    bool
}

// runner is a stand-in of a model runner (PROTOCOL.md). It writes its entry to the store at each heartbeat and runs streams.
type runner struct {
	bed           *bed
	service, zone string
	addr          string
	offset        time.Duration // of its first heartbeat
	// crashesOn is a prompt part on which the runner crashes when it begins to write an answer, "" for none.
	crashesOn string

	mu        sync.Mutex
	id        string
	born      int64
	sequence  int
	coldUntil time.Time
	running   int
	server    *http.Server
	closed    bool
}

func (b *bed) startRunner(service, zone string, offset time.Duration) (*runner, error) {
	n := &runner{bed: b, service: service, zone: zone, offset: offset}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.addr = l.Addr().String()
	n.begin(l)
	go n.beats()
	b.runners = append(b.runners, n)
	return n, nil
}

// begin starts an incarnation.
func (n *runner) begin(l net.Listener) {
	n.mu.Lock()
	n.id = fmt.Sprintf("i-%x", time.Now().UnixNano())
	n.born, n.sequence, n.running = time.Now().UnixMilli(), 0, 0
	n.server = &http.Server{Handler: n}
	server := n.server
	n.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	n.beat()
}

func (n *runner) name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id
}

// beat writes the entry.
func (n *runner) beat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return
	}
	n.sequence++
	cold := max(0, time.Until(n.coldUntil).Milliseconds())
	n.bed.store.put("servers/"+n.id, map[string]any{"service": n.service, "addr": n.addr, "zone": n.zone, "version": "v1",
		"slots": runnerSlots, "state": "ready", wire("cold left"): cold, "sequence": n.sequence, "born": n.born})
	if cold > 0 {
		n.bed.record.add("runner %s writes its entry, cold for %d ms", n.id, cold)
	}
}

func (n *runner) beats() {
	time.Sleep(n.offset)
	for range time.Tick(heartbeat) {
		n.mu.Lock()
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return
		}
		n.beat()
	}
}

// becomeCold makes the runner cold for a time. Its entry says so from the next heartbeat on.
func (n *runner) becomeCold(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.coldUntil = time.Now().Add(d)
}

const (
	// crashFor is how long a crashed runner is down.
	crashFor = 3 * time.Second
	// entryAfterCrash is when the entry of a crashed runner is removed: after three heartbeats.
	entryAfterCrash = 3 * heartbeat
)

// crash ends the incarnation and all its connections, as the end of its process does. Another begins after crashFor.
func (n *runner) crash(id string) {
	n.mu.Lock()
	if n.id != id || n.server == nil {
		n.mu.Unlock()
		return
	}
	server := n.server
	n.server = nil
	n.mu.Unlock()
	n.bed.crashed(id)
	_ = server.Close()
	time.AfterFunc(entryAfterCrash, func() { n.bed.store.remove("servers/" + id) })
	time.AfterFunc(crashFor, func() {
		n.mu.Lock()
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return
		}
		l, err := net.Listen("tcp", n.addr)
		if err != nil {
			n.bed.record.add("runner at %s could not start again: %v", n.addr, err)
			return
		}
		n.begin(l)
	})
}

func (n *runner) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.server != nil {
		_ = n.server.Close()
		n.server = nil
	}
}

// ServeHTTP runs a request.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/api/kv-list") {
		answer(w, http.StatusOK, map[string]any{"epoch": 1, "next": 1, "held": [][]any{}})
		return
	}
	a := arrival{id: r.Header.Get(wire("request id")), runner: n.name(), at: time.Now()}
	a.sent = n.bed.sentAt(a.id)
	prompt, output, _ := strings.Cut(r.Header.Get(wire("token counts")), ",")
	a.tokens = number(prompt) + number(output)
	unread := number(prompt)
	for part := range strings.SplitSeq(r.Header.Get(wire("prompt parts")), ",") {
		id, tokens, _ := strings.Cut(part, ":")
		a.parts += id + " "
		if id == sharedPart {
			unread -= number(tokens) // all engines have read the shared part
		}
	}
	_, _ = io.Copy(io.Discard, r.Body) // a cut body shows at the next write
	h := w.Header()
	h.Set(wire("request id"), a.id)
	if want := r.Header.Get(wire("expected runner")); want != "" && want != a.runner {
		n.bed.record.add("runner %s declines %s with 421", a.runner, a.id)
		h.Set(wire("not run"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.mu.Lock()
	n.running++
	load := n.running
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.running--
		n.mu.Unlock()
	}()
	a.ran = true
	n.bed.arrive(a)
	select {
	case <-time.After(time.Duration(unread/readTokensPerMs) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if n.crashesOn != "" && strings.Contains(" "+a.parts, " "+n.crashesOn+" ") {
		n.crash(a.runner)
		return
	}
	h.Set(wire("signature"), "stamp-"+a.id)
	h.Set(wire("load"), fmt.Sprintf("%d,0,%d", load, runnerSlots))
	h.Set("Content-Type", "text/event-stream")
	for event := 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, a.id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

func number(text string) float64 {
	x, _ := strconv.ParseFloat(strings.TrimSpace(text), 64) // 0 for what is missing
	return x
}
