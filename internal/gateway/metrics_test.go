package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
)

// Guards against metrics tagged by path, whose number would grow without bound, and against requests that are not counted.
func TestRequestsAreCountedByRoutePattern(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newRequestMetrics(scope)
	r := mux.NewRouter()
	r.Use(m.middleware)
	r.HandleFunc("/pedidos/{pedido}", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerExecution, "ran")
		w.WriteHeader(http.StatusOK)
	})
	r.NotFoundHandler = m.middleware(http.NotFoundHandler())
	for _, path := range []string{"/pedidos/1", "/pedidos/2", "/other"} {
		r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["route"]+" "+c.Tags()["status"]+" "+c.Tags()["execution"]] = c.Value()
	}
	if counts["/pedidos/{pedido} 200 ran"] != 2 || counts["unknown 404 "] != 1 || len(counts) != 2 {
		t.Errorf("counters are %v", counts)
	}
}
