package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/gorilla/mux"
)

// MarkerReport says where a marker string was seen.
type MarkerReport struct {
	Marker string   `json:"marker"`
	Seen   int      `json:"seen"`  // requests that contained it
	Where  []string `json:"where"` // such as "header Authorization", "trailer X", "query", "path", "body"
}

// Markers records whether requests contain given strings, such as a caller's key. Requests to /standin/ are not searched.
type Markers struct {
	mu      sync.Mutex
	reports map[string]*MarkerReport
}

// NewMarkers returns an empty set of markers.
func NewMarkers() *Markers { return &Markers{reports: map[string]*MarkerReport{}} }

// Add searches every later request for the marker.
func (m *Markers) Add(marker string) {
	if marker == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reports[marker] == nil {
		m.reports[marker] = &MarkerReport{Marker: marker}
	}
}

// Report returns what was seen, by marker.
func (m *Markers) Report() []MarkerReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]MarkerReport, 0, len(m.reports))
	for _, r := range m.reports {
		c := *r
		c.Where = append([]string{}, r.Where...)
		sort.Strings(c.Where)
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Marker < out[j].Marker })
	return out
}

// wrap searches the requests that go to next.
func (m *Markers) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isAdmin(r) && m.active() {
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
			m.search(r, body)
			if err != nil {
				writeError(w, http.StatusBadRequest, "unreadable_body", err.Error())
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

func (m *Markers) active() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reports) > 0
}

func (m *Markers) search(r *http.Request, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, report := range m.reports {
		where := places(r, body, report.Marker)
		if len(where) == 0 {
			continue
		}
		report.Seen++
		for _, place := range where {
			if !slices.Contains(report.Where, place) {
				report.Where = append(report.Where, place)
			}
		}
	}
}

// places lists the parts of a request that contain the marker.
func places(r *http.Request, body []byte, marker string) []string {
	var where []string
	where = append(where, placesIn("header ", r.Header, marker)...)
	where = append(where, placesIn("trailer ", r.Trailer, marker)...)
	if user, password, ok := r.BasicAuth(); ok && strings.Contains(user+":"+password, marker) {
		where = append(where, "header Authorization") // base64 hides it from the search above
	}
	if strings.Contains(r.Host, marker) {
		where = append(where, "header Host")
	}
	if strings.Contains(r.URL.RawQuery, marker) || strings.Contains(unescape(r.URL.RawQuery), marker) {
		where = append(where, "query")
	}
	if strings.Contains(r.URL.EscapedPath(), marker) || strings.Contains(r.URL.Path, marker) {
		where = append(where, "path")
	}
	if bytes.Contains(body, []byte(marker)) {
		where = append(where, "body")
	}
	return where
}

func placesIn(kind string, h http.Header, marker string) []string {
	var where []string
	for name, values := range h {
		if strings.Contains(name+"\n"+strings.Join(values, "\n"), marker) {
			where = append(where, kind+name)
		}
	}
	return where
}

func unescape(query string) string {
	s, err := url.QueryUnescape(query)
	if err != nil {
		return query
	}
	return s
}

// register adds the marker calls to a router.
func (m *Markers) register(r *mux.Router) {
	r.HandleFunc(adminPrefix+"markers", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Marker string `json:"marker"`
		}
		if !readJSON(w, r, &in) {
			return
		}
		if in.Marker == "" {
			writeError(w, http.StatusBadRequest, "empty_marker", "marker is empty")
			return
		}
		m.Add(in.Marker)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"markers", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string][]MarkerReport{"markers": m.Report()})
	}).Methods(http.MethodGet)
}

// isAdmin reports whether a request belongs to a test and not to the system under test.
func isAdmin(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, adminPrefix) }
