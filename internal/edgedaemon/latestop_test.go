package edgedaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// Guards against requests that come late in the grace time of a planned stop, are passed on, and are cut without an answer at its end, among
// them ones that may run once only: of any length, on new and on kept connections, while endpoints are silent, slow, or have begun to answer.
func TestRequestsLateInAStopAreAnswered(t *testing.T) {
	const (
		grace   = 6
		callers = 12
	)
	var mu sync.Mutex
	ran := make(map[string]bool)
	d, s := startServing(t, grace, 200, func(w http.ResponseWriter, r *http.Request) {
		id := platformtest.RequestID(r.Header)
		mu.Lock()
		ran[id] = true
		n := len(ran)
		mu.Unlock()
		platformtest.Sign(w.Header(), id)
		if id == "probe" || n%4 == 0 {
			return
		}
		if n%4 == 1 { // a part of the answer, and silence
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(n%10) * time.Second):
		}
	})
	began := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopWithin(t, d, 2*grace*time.Second)
	}()
	unanswered, answered, late := 0, 0, 0
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			var kept net.Conn
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("r%d-%d", caller, n)
				c := kept
				if kept = nil; c == nil {
					var err error
					if c, err = net.Dial("tcp", s.CallerAddr); err != nil {
						return // nobody listens any more
					}
				}
				sent := time.Since(began)
				keeps, failed := exchange(c, id, time.Duration(200+(caller*37+n*911)%6000)*time.Millisecond)
				if keeps && n%3 > 0 {
					kept = c
				} else {
					_ = c.Close()
				}
				mu.Lock()
				if failed == nil {
					answered++
				}
				if sent > grace*time.Second/2 && ran[id] {
					late++
				}
				if failed != nil && ran[id] {
					unanswered++
					t.Errorf("request %s, sent %s after the stop began, was passed on and not answered until %s: %v", id, sent.Round(time.Millisecond),
						time.Since(began).Round(time.Millisecond), failed)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	<-stopped
	if answered < callers || late == 0 {
		t.Errorf("%d requests were answered, %d were passed on in the second half of the grace time", answered, late)
	}
	t.Logf("%d requests answered, %d passed on, %d of them in the second half of the grace time", answered, len(ran), late)
}

// exchange sends a request and reads its answer. It reports whether the connection may be kept, and fails without a complete answer.
func exchange(c net.Conn, id string, deadline time.Duration) (keeps bool, err error) {
	h := make(http.Header)
	platformtest.SetRequestHeaders(h, id, "k")
	platformtest.SetDeadline(h, deadline)
	req := http.Request{Method: http.MethodPost, Host: "h", URL: &url.URL{Path: "/once/"}, Header: h}
	if err := errors.CombineErrors(c.SetDeadline(time.Now().Add(15*time.Second)), req.Write(c)); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &req)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close, err
}

// Guards against a request that may outlast the process and is passed on in a planned stop, since it was admitted before its body had arrived.
func TestRequestWhoseBodyArrivesInAStopIsRejected(t *testing.T) {
	const grace = 4
	var mu sync.Mutex
	passedOn := false
	d, s := startServing(t, grace, 8, func(w http.ResponseWriter, r *http.Request) {
		id := platformtest.RequestID(r.Header)
		mu.Lock()
		passedOn = passedOn || id == "slow"
		mu.Unlock()
		platformtest.Sign(w.Header(), id)
	})
	c := dialCaller(t, s)
	h := make(http.Header)
	platformtest.SetRequestHeaders(h, "slow", "k")
	platformtest.SetDeadline(h, 10*time.Second)
	var head strings.Builder
	if err := h.Write(&head); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n%s\r\nx", head.String()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop(t, d)
	}()
	time.Sleep(time.Duration(rejectFraction*grace*float64(time.Second)) + 300*time.Millisecond)
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	checkAnswered(t, c, http.StatusServiceUnavailable)
	<-stopped
	mu.Lock()
	defer mu.Unlock()
	if passedOn {
		t.Error("the request was passed on")
	}
}
