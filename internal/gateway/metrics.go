package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
)

// routeUnknown is the route tag of requests that match no route.
const routeUnknown = "unknown"

// answerBuckets are the upper bounds of the histogram of request durations, from a rejected request to a long stream.
var answerBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
	10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// requestMetrics counts requests by route, status and execution. There is no tag for the organisation, since there are 34,000 of them.
type requestMetrics struct {
	scope    tally.Scope
	inFlight tally.Gauge

	mu       sync.Mutex
	requests int
	byRoute  map[string]tally.Histogram
	byTags   map[requestTags]tally.Counter
}

type requestTags struct {
	route, execution, region string
	status                   int
}

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &requestMetrics{
		scope:    scope,
		inFlight: scope.Gauge("requests_in_flight"),
		byRoute:  make(map[string]tally.Histogram),
		byTags:   make(map[requestTags]tally.Counter),
	}
}

// middleware records the metrics of each request. It runs inside the router, where the matched route is known.
func (m *requestMetrics) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.serve(w, r, routeTag(r), next)
	})
}

func (m *requestMetrics) serve(w http.ResponseWriter, r *http.Request, route string, next http.Handler) {
	started := time.Now()
	seen := &statusWriter{ResponseWriter: w}
	m.begin()
	defer func() { m.end(seen, route, time.Since(started)) }()
	next.ServeHTTP(seen, r)
}

func (m *requestMetrics) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.inFlight.Update(float64(m.requests))
}

func (m *requestMetrics) end(w *statusWriter, route string, took time.Duration) {
	tags := requestTags{
		route: route, status: w.status, execution: w.Header().Get(headerExecution), region: w.Header().Get(headerServedRegion),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests--
	m.inFlight.Update(float64(m.requests))
	m.counter(tags).Inc(1)
	m.histogram(route).RecordDuration(took)
}

// counter returns the request counter for a combination of tags. The caller holds m.mu.
func (m *requestMetrics) counter(t requestTags) tally.Counter {
	c, ok := m.byTags[t]
	if !ok {
		c = m.scope.Tagged(map[string]string{
			"route": t.route, "status": strconv.Itoa(t.status), "execution": t.execution, "served_region": t.region,
		}).Counter("requests")
		m.byTags[t] = c
	}
	return c
}

// histogram returns the histogram of a route's request durations. The caller holds m.mu.
func (m *requestMetrics) histogram(route string) tally.Histogram {
	h, ok := m.byRoute[route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram("request_seconds", answerBuckets)
		m.byRoute[route] = h
	}
	return h
}

// routeTag returns the path pattern of the matched route, so that the number of tags is bounded by the configured routes.
func routeTag(r *http.Request) string {
	route := mux.CurrentRoute(r)
	if route == nil {
		return routeUnknown
	}
	pattern, err := route.GetPathTemplate()
	if err != nil {
		return routeUnknown
	}
	return pattern
}

// statusWriter records the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the first status.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write records status 200 if WriteHeader was not called before.
func (w *statusWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
