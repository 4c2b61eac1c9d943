package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// streamEvents is the number of events of a whole stream.
const streamEvents = 20

// ledger is what all endpoints have seen.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int // by request id
	problems []string
}

func (l *ledger) report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

func (l *ledger) ran(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// endpoint is an endpoint in this process, listed in the store and reached through a proxy.
type endpoint struct {
	id, service, dataCentre string
	store                   *platformtest.Store
	ledger                  *ledger
	server                  *httptest.Server
	proxy                   *proxy
	failing                 atomic.Bool // breaks a part of its answers off
	seen                    atomic.Int64
	drainedAt               atomic.Int64 // Unix nanoseconds of the acknowledged draining, 0: it is ready
	limit                   limit
	notice                  notice
	born                    atomic.Int64 // its start as it tells it
}

// drainBound is when a draining endpoint must get no more requests.
const drainBound = 4 * time.Second

func startEndpoint(id, service, dataCentre string, store *platformtest.Store, l *ledger) (*endpoint, error) {
	e := &endpoint{id: id, service: service, dataCentre: dataCentre, store: store, ledger: l}
	e.server = httptest.NewServer(e)
	var err error
	if e.proxy, err = newProxy(strings.TrimPrefix(e.server.URL, "http://")); err != nil {
		return nil, err
	}
	e.list("ready")
	return e, nil
}

func (e *endpoint) list(state string) {
	entry := platformtest.EndpointEntry{Service: e.service, Addr: e.proxy.addr, DataCentre: e.dataCentre, Slots: 16, State: state, Born: e.born.Load()}
	e.store.Put(platformtest.EndpointKey(e.id), entry.Encode())
	if state == "ready" {
		e.drainedAt.Store(0)
	} else {
		e.drainedAt.Store(time.Now().UnixNano())
	}
}

// ServeHTTP runs a request: a stream of events, or the request's id and body as answer.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if platformtest.IsCacheListRequest(r) {
		platformtest.WriteEmptyCacheList(w)
		return
	}
	id, body := platformtest.RequestID(r.Header), readAll(r)
	if e.notice.arrive(time.Now(), w.Header()) {
		platformtest.Sign(w.Header(), id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.ledger.mu.Lock()
	e.ledger.runs[id]++
	e.ledger.mu.Unlock()
	e.check(r, id, body)
	platformtest.Sign(w.Header(), id)
	e.limit.arrive(time.Now(), w.Header())
	n := e.seen.Add(1)
	breaks := e.failing.Load() && n%3 == 0
	if !strings.HasPrefix(r.URL.Path, "/stream/") && !strings.HasPrefix(r.URL.Path, "/resume/") {
		time.Sleep(5 * time.Millisecond)
		if breaks {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, answerTo(id, body))
		return
	}
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= streamEvents; n++ {
		if breaks && n > from+5 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// check holds a request against what must always be so at an endpoint.
func (e *endpoint) check(r *http.Request, id, body string) {
	if got := platformtest.Organisation(r.Header); got != organisation || r.Header.Get("Authorization") != "" {
		e.ledger.report("request %s reaches endpoint %s for organisation %q, with key: %v", id, e.id, got, r.Header.Get("Authorization") != "")
	}
	if body != bodyOf(id) {
		e.ledger.report("request %s reaches endpoint %s with body %q", id, e.id, body)
	}
	if at := e.drainedAt.Load(); at != 0 && time.Since(time.Unix(0, at)) > drainBound+time.Second {
		e.ledger.report("request %s reaches endpoint %s %s after it began to drain", id, e.id, time.Since(time.Unix(0, at)))
	}
}

func readAll(r *http.Request) string {
	data, _ := io.ReadAll(r.Body) // a cut body fails the check of its content
	return string(data)
}

func bodyOf(id string) string         { return "body of " + id }
func answerTo(id, body string) string { return "answer to " + id + ": " + body }

func (e *endpoint) close() {
	e.proxy.close()
	e.server.CloseClientConnections()
	e.server.Close()
}

// configuration is the operator's document of the soak.
func configuration(version int, extra []string) []byte {
	doc := platformtest.Configuration{Version: version, Organisation: organisation, Key: key, Host: host}
	doc.Routes = []platformtest.Route{
		{Prefix: "/once/", Kind: "non_idempotent", Service: "plain"}, {Prefix: "/again/", Kind: "idempotent", Service: "plain"},
		{Prefix: "/stream/", Kind: "stream", Service: "engine"}, {Prefix: "/resume/", Kind: "stream", Service: "engine", Resumable: true},
	}
	for _, prefix := range extra {
		doc.Routes = append(doc.Routes, platformtest.Route{Prefix: prefix, Kind: "idempotent", Service: "plain"})
	}
	return doc.Encode()
}

const (
	organisation = "o"
	key          = "soak-key"
	host         = "soak.example"
)

var regionsJSON = func() string {
	data, err := json.Marshal(regions)
	if err != nil {
		panic(err) // a map of strings
	}
	return string(data)
}()
