package standin

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func newServiceRig(t *testing.T, opts ServiceOptions) (*Service, *rig) {
	t.Helper()
	s := NewService(opts)
	return s, newRig(t, s)
}

// Guards against a fault that executes a request it should not, or hides an execution from the counts.
func TestServiceFaults(t *testing.T) {
	tests := []struct {
		action   ServiceAction
		answered bool
		executed int64
	}{
		{ActionDelay, true, 1},
		{ActionBreakBefore, false, 0},
		{ActionBreakAfter, false, 1},
		{ActionTruncateAnswer, false, 1},
		{ActionDropAnswer, false, 1},
	}
	for _, test := range tests {
		t.Run(string(test.action), func(t *testing.T) {
			s, r := newServiceRig(t, ServiceOptions{})
			r.client.Timeout = 300 * time.Millisecond
			r.call(http.MethodPost, "/standin/v1/faults", "",
				ServiceFault{Action: test.action, RequestID: "hit", DelayMillis: 30}, http.StatusNoContent, nil)
			r.call(http.MethodPost, "/deposits", "other", "body", http.StatusOK, nil)
			start := time.Now()
			resp, err := r.send(http.MethodPost, "/deposits", "hit", "body")
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if (err == nil) != test.answered {
				t.Fatalf("error is %v", err)
			}
			if took := time.Since(start); took < 30*time.Millisecond {
				t.Fatalf("no delay: %v", took)
			}
			if got := s.Executions(); got.ByRequestID["hit"] != test.executed || got.Total != 1+test.executed {
				t.Fatalf("executions are %+v", got)
			}
			var answer ServiceAnswer // the fault was for one request
			r.call(http.MethodPost, "/deposits", "hit", "body", http.StatusOK, &answer)
			if answer.RequestID != "hit" || answer.Executions != 1+test.executed {
				t.Fatalf("answer is %+v", answer)
			}
		})
	}
}

// Guards against counts that miss a second execution under another request id.
func TestServiceCountsBodies(t *testing.T) {
	_, r := newServiceRig(t, ServiceOptions{})
	r.call(http.MethodPost, "/transfers", "a", "roll 7", http.StatusOK, nil)
	r.call(http.MethodPost, "/transfers", "b", "roll 7", http.StatusOK, nil)
	r.call(http.MethodPost, "/transfers", "c", "roll 8", http.StatusOK, nil)
	var got Executions
	r.call(http.MethodGet, "/service/v1/executions", "", nil, http.StatusOK, &got)
	if got.Total != 3 || got.ByRequestID["a"] != 1 || got.ByBodyDigest[BodyDigest([]byte(`"roll 7"`))] != 2 {
		t.Fatalf("executions are %+v", got)
	}
	r.call(http.MethodPost, "/standin/v1/faults", "", ServiceFault{Action: "other"}, http.StatusBadRequest, nil)
}

// Guards against a request that is not executed because its client has gone, although the service has read it.
func TestServiceExecutesForGoneClients(t *testing.T) {
	s, r := newServiceRig(t, ServiceOptions{Delay: 200 * time.Millisecond})
	r.client.Timeout = 50 * time.Millisecond
	if _, err := r.send(http.MethodPost, "/deposits", "gone", "x"); err == nil {
		t.Fatal("the service answered before its delay")
	}
	eventually(t, "execution", func() bool { return s.Executions().ByRequestID["gone"] == 1 })
}

// Guards against a caller's key that reaches an endpoint unseen, and against tests' own calls being reported.
func TestMarkers(t *testing.T) {
	const key = "dk_r1_s3cret/+"
	places := map[string]func(*http.Request){
		"header Authorization":  func(q *http.Request) { q.Header.Set("Authorization", "Bearer "+key) },
		"header Authorization ": func(q *http.Request) { q.SetBasicAuth("caller", key) },
		"trailer X-Key": func(q *http.Request) {
			q.Body = io.NopCloser(strings.NewReader("body"))
			q.Trailer = http.Header{"X-Key": {key}}
		},
		"header Cookie": func(q *http.Request) { q.Header.Set("Cookie", "k="+key) },
		"query":         func(q *http.Request) { q.URL.RawQuery = "key=dk_r1_s3cret%2F%2B" },
		"path":          func(q *http.Request) { q.URL.Path = "/" + key },
		"body": func(q *http.Request) {
			q.Body = io.NopCloser(strings.NewReader(strings.Repeat(" ", 100_000) + key))
		},
		"": func(*http.Request) {},
	}
	for place, set := range places {
		t.Run("in "+place, func(t *testing.T) {
			s, r := newServiceRig(t, ServiceOptions{})
			r.call(http.MethodPost, "/standin/v1/markers", "", map[string]string{"marker": key}, http.StatusNoContent, nil)
			q, err := http.NewRequestWithContext(r.ctx, http.MethodPost, r.url+"/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			set(q)
			resp, err := r.client.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			var got struct {
				Markers []MarkerReport `json:"markers"`
			}
			r.call(http.MethodGet, "/standin/v1/markers", "", nil, http.StatusOK, &got)
			report := got.Markers[0]
			if place == "" {
				if report.Seen != 0 {
					t.Fatalf("report is %+v", report)
				}
			} else if report.Seen != 1 || len(report.Where) != 1 || report.Where[0] != strings.TrimSpace(place) {
				t.Fatalf("report is %+v", report)
			}
			if s.Executions().Total != 1 {
				t.Fatal("the request did not reach the service")
			}
		})
	}
}
