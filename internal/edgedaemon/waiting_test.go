package edgedaemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// Guards against a planned stop that closes the connections of requests which still wait for an endpoint, or sends them to one whose
// requests it has given up: nothing has run them, and their callers would get no answer or one that does not say so.
func TestStopAnswersRequestsThatWaitForAnEndpoint(t *testing.T) {
	arrived := make(chan struct{}, 8)
	d, s := startServing(t, 2, 1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if platformtest.RequestID(r.Header) == "waiting" {
			t.Error("the request that waits has reached the endpoint")
		}
		if r.URL.Path == "/once/long" {
			arrived <- struct{}{}
			<-r.Context().Done()
			return
		}
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
	})
	call := func(id, path string) (int, error) { return callInstance(t, s, id, path, 5*time.Second) }
	type result struct {
		status int
		err    error
	}
	start := func(id, path string) chan result {
		out := make(chan result, 1)
		go func() {
			status, err := call(id, path)
			out <- result{status, err}
		}()
		return out
	}
	running, second := start("running", "/once/long"), start("second", "/once/long") // an endpoint with one slot takes two
	<-arrived
	<-arrived
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = d.Stop(ctx) // what still runs lasts longer than the grace time, which Stop reports
	}()
	time.Sleep(400 * time.Millisecond) // requests that may outlast the process are still taken
	if got := <-start("waiting", "/once/"); got.err != nil || got.status != http.StatusServiceUnavailable {
		t.Errorf("a request that waits for an endpoint at the end of the process: status %d, error %v, want 503", got.status, got.err)
	}
	for _, r := range []chan result{running, second} {
		if got := <-r; got.err != nil || got.status != http.StatusGatewayTimeout {
			t.Errorf("a request that runs at the end of the process: status %d, error %v, want 504", got.status, got.err)
		}
	}
	<-stopped
}
