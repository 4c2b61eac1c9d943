package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// Services of the small deployment, under the names that platformtest's configuration declares.
const (
	plainService  = "plain"
	engineService = "engine"
)

// runner is an endpoint: it runs requests and renews its entry in the store.
type runner struct {
	world       *world
	id, service string
	zone        string
	slots       int
	work        time.Duration
	events      int           // of a stream
	gap         time.Duration // between the events
	born        int64
	end         func() // stops it
	addr        string
	// limit is the request rate that the runner names in its answers, nil for none.
	limit atomic.Pointer[float64]

	mu   sync.Mutex
	runs map[string]int // by request id
}

// addRunner starts a runner and lists it.
func (w *world) addRunner(id, service, zone string, slots int, work time.Duration) (*runner, error) {
	r := &runner{world: w, id: id, service: service, zone: zone, slots: slots, work: work, events: 7, gap: 20 * time.Millisecond,
		born: time.Now().Add(-time.Minute).UnixMilli(), runs: make(map[string]int)}
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	r.addr = l.Addr().String()
	server := &http.Server{Handler: r}
	r.end = func() { _ = server.Close() }
	go func() { _ = server.Serve(l) }() // it ends with the case
	w.runners = append(w.runners, r)
	w.renew(r)
	return r, nil
}

// renew lists a runner and renews its entry until the end of the case.
func (w *world) renew(r *runner) {
	r.list()
	w.beats.Go(func() {
		for {
			select {
			case <-w.ended:
				return
			case <-time.After(beat):
				r.list()
			}
		}
	})
}

func (r *runner) list() {
	entry := platformtest.EndpointEntry{Service: r.service, Addr: r.addr, DataCentre: r.zone, Slots: r.slots, State: "ready", Born: r.born}
	r.world.store.Put(platformtest.EndpointKey(r.id), entry.Encode())
}

// ServeHTTP runs a request: a stream of events at an engine, or the request's id as answer.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if platformtest.IsCacheListRequest(req) {
		platformtest.WriteEmptyCacheList(w)
		return
	}
	id := platformtest.RequestID(req.Header)
	_, _ = io.Copy(io.Discard, req.Body) // a cut body ends with the connection
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	platformtest.Sign(w.Header(), id)
	if limit := r.limit.Load(); limit != nil {
		platformtest.SetRateLimit(w.Header(), *limit)
	}
	if r.service == plainService {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= r.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(r.gap)
	}
}

// ran returns how often the request has run here.
func (r *runner) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// ran returns how often a request has run at any runner.
func (w *world) ran(id string) int {
	n := 0
	for _, r := range w.runners {
		n += r.ran(id)
	}
	return n
}
