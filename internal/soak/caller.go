package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// caller keeps its connections open until the instance has gone.
type caller struct {
	name   string
	n      int
	client *http.Client
}

func newCaller(name string) *caller {
	return &caller{name: name, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4},
		Timeout:   6 * time.Second,
	}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// outcome is what a caller has seen of a request.
type outcome struct {
	served bool
}

// call sends requests of all kinds until ctx ends.
func (s *soak) call(ctx context.Context, number int) {
	c := newCaller(fmt.Sprintf("caller-%d", number))
	defer c.close()
	paths := []string{"/once/", "/again/", "/stream/", "/resume/"}
	for n := number; ctx.Err() == nil; n++ {
		in := s.instances[n%len(s.instances)]
		if !in.alive() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		usedKey := key
		if n%17 == 0 {
			usedKey = "wrong"
		}
		s.request(ctx, c, in, paths[n%len(paths)], usedKey)
		time.Sleep(5 * time.Millisecond)
	}
}

// request sends one request and checks its answer.
func (s *soak) request(ctx context.Context, c *caller, in *instance, path, usedKey string) outcome {
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.caller+path, strings.NewReader(bodyOf(id)))
	if err != nil {
		s.ledger.report("request %s: %v", id, err)
		return outcome{}
	}
	req.Host = host
	req.GetBody = nil // the client must not send it again by itself
	platformtest.SetRequestHeaders(req.Header, id, usedKey)
	s.requests.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		s.checkRuns(id, path, 0)
		return outcome{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	served := err == nil && resp.StatusCode == http.StatusOK
	if served {
		s.served.Add(1)
		s.checkAnswer(id, path, resp.Header, string(body))
	}
	if usedKey != key && s.ledger.ran(id) > 0 {
		s.ledger.report("request %s with a wrong key has run", id)
	}
	status := resp.StatusCode
	if platformtest.Signed(resp.Header) {
		status = 0 // an endpoint's own answer promises nothing of the system
	}
	s.checkRuns(id, path, status)
	return outcome{served: served}
}

// promises are the statuses that promise that a request has not run.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true,
	http.StatusServiceUnavailable: true}

// settle is how long a request that was refused is watched for a late run.
const settle = 300 * time.Millisecond

func (s *soak) checkRuns(id, path string, status int) {
	if path == "/resume/" || strings.HasPrefix(path, "/again/") {
		return // these may run again
	}
	if n := s.ledger.ran(id); n > 1 {
		s.ledger.report("request %s on %s has run %d times", id, path, n)
	}
	if !promises[status] {
		return
	}
	time.AfterFunc(settle, func() {
		if s.ledger.ran(id) > 0 {
			s.ledger.report("request %s on %s was refused with %d and has run", id, path, status)
		}
	})
}

func (s *soak) checkAnswer(id, path string, h http.Header, body string) {
	if !platformtest.Signed(h) || platformtest.RequestID(h) != id {
		s.ledger.report("request %s gets a success of request %q, signed: %v", id, platformtest.RequestID(h), platformtest.Signed(h))
	}
	want := answerTo(id, bodyOf(id))
	if path == "/stream/" || path == "/resume/" {
		var whole strings.Builder
		for n := range streamEvents {
			fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", n+1, id)
		}
		want = whole.String()
	}
	if body != want {
		s.ledger.report("request %s on %s gets a complete answer of %d bytes that is not its own of %d", id, path, len(body), len(want))
	}
}
