package endpointconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// scriptedEndpoint is a scripted server: serve is called for each request after its head and body were read, with the number of the
// connection, and returns whether the connection stays open.
type scriptedEndpoint struct {
	addr        string
	connections atomic.Int64
}

func newScriptedEndpoint(t *testing.T, serve func(n int64, r *http.Request, body string, c net.Conn) (keepOpen bool)) *scriptedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &scriptedEndpoint{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := e.connections.Add(1)
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil || !serve(n, r, string(body), c) {
						return
					}
				}
			}()
		}
	}()
	return e
}

func write(c net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n%s", id, len(body), body)
}

func newPool(t *testing.T) *Pool {
	p := NewPool((&net.Dialer{Timeout: time.Second}).DialContext, func(h http.Header) string { return h.Get("Id") })
	t.Cleanup(func() { p.CloseUnused(func(string) bool { return false }) })
	return p
}

func request(id string) *Request {
	return &Request{ID: id, Method: "POST", URI: "/a%2Fb?x=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body " + id)}
}

func do(t *testing.T, p *Pool, addr string, req *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against altered paths, bodies or headers, and against a new connection for each request.
func TestRequestsShareAConnection(t *testing.T) {
	e := newScriptedEndpoint(t, func(_ int64, r *http.Request, body string, c net.Conn) bool {
		write(c, "%s", answerTo(r.Header.Get("Id"), r.RequestURI+" "+r.Host+" "+body))
		return true
	})
	p := newPool(t)
	for i := range 5 {
		id := fmt.Sprint(i)
		got, err := do(t, p, e.addr, request(id))
		if err != nil || got != "/a%2Fb?x=1 h body "+id {
			t.Fatalf("request %s: %q, %v", id, got, err)
		}
	}
	if n := e.connections.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests in turn", n)
	}
}

// Guards against a caller that gets the response to another request. A late response must be skipped, and a connection on which one
// arrives while it is idle must be closed.
func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	e := newScriptedEndpoint(t, func(n int64, r *http.Request, _ string, c net.Conn) bool {
		id := r.Header.Get("Id")
		switch id {
		case "late":
			write(c, "%s%s", answerTo("earlier", "foreign"), answerTo(id, "own"))
		case "extra":
			write(c, "%s", answerTo(id, "own"))
			go func() {
				time.Sleep(20 * time.Millisecond)
				write(c, "%s", answerTo(id, "again"))
			}()
		default:
			write(c, "%s", answerTo(id, "own"))
		}
		return true
	})
	p := newPool(t)
	for _, id := range []string{"late", "extra", "next"} {
		if got, err := do(t, p, e.addr, request(id)); err != nil || got != "own" {
			t.Errorf("request %s: %q, %v", id, got, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	only := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
		for range maxUnrelatedAnswers + 1 {
			write(c, "%s", answerTo("another", "foreign"))
		}
		return true
	})
	if _, err := do(t, p, only.addr, request("x")); !errors.Is(err, ErrBadAnswer) {
		t.Errorf("answers to other requests only: %v", err)
	}
}

// Guards against a late response to an earlier request whose head is dropped, or is taken for one of the endpoint that the present
// request is meant for: an address may have changed hands.
func TestLateAnswersAreReported(t *testing.T) {
	e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
		id := r.Header.Get("Id")
		if id == "second" {
			write(c, "HTTP/1.1 503 Late\r\nId: given-up\r\nNotice: late\r\nContent-Length: 0\r\n\r\n")
		}
		write(c, "%s", answerTo(id, "own"))
		return true
	})
	p := newPool(t)
	var got []string
	for _, id := range []string{"first", "second", "third"} {
		req := request(id)
		req.OnLateAnswer = func(status int, h http.Header) { got = append(got, fmt.Sprint(id, " ", status, " ", h.Get("Notice"))) }
		if body, err := do(t, p, e.addr, req); err != nil || body != "own" {
			t.Fatalf("request %s: %q, %v", id, body, err)
		}
	}
	if fmt.Sprint(got) != "[first 503 late]" || e.connections.Load() != 1 {
		t.Errorf("late responses %q on %d connections", got, e.connections.Load())
	}
}

// Guards against a request that is sent although its endpoint has asked for none while the connection was being opened.
func TestNothingIsSentIfRefusedBefore(t *testing.T) {
	reached := make(chan struct{}, 1)
	e := newScriptedEndpoint(t, func(int64, *http.Request, string, net.Conn) bool {
		reached <- struct{}{}
		return false
	})
	refused := errors.New("refused")
	req := request("r")
	req.BeforeSend = func() error { return refused }
	if _, err := do(t, newPool(t), e.addr, req); !errors.Is(err, refused) || !errors.Is(err, ErrNotSent) {
		t.Errorf("%v", err)
	}
	select {
	case <-reached:
		t.Error("the request has reached the endpoint")
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a request that is reported as not sent although it may have run, or as sent although it cannot have run.
func TestOutcomeOfFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	closing := newScriptedEndpoint(t, func(int64, *http.Request, string, net.Conn) bool { return false })
	garbled := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
		write(c, "no answer at all\r\n\r\n")
		return false
	})
	for name, tc := range map[string]struct {
		addr string
		want error
	}{
		"no listener":          {closed.Addr().String(), ErrNotSent},
		"closed after reading": {closing.addr, ErrBroken},
		"bytes, no answer":     {garbled.addr, ErrBadAnswer},
	} {
		if _, err := do(t, newPool(t), tc.addr, request("r")); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", name, err, tc.want)
		}
	}
}

// Guards against a truncated response that is reported as complete.
func TestTruncatedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"within a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\npart",
		"without last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
			write(c, "%s", text)
			return false
		})
		if _, err := do(t, newPool(t), e.addr, request("r")); !errors.Is(err, ErrBroken) {
			t.Errorf("%s: %v", name, err)
		}
	}
	e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		return false
	})
	if got, err := do(t, newPool(t), e.addr, request("r")); err != nil || got != "whole" {
		t.Errorf("answer that ends with its connection: %q, %v", got, err)
	}
}

// Guards against bytes of another request in place of the rest of a long body, after an endpoint has responded before it read the body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	long := strings.Repeat("x", 4<<20)
	received := make(chan string, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				write(c, "%s", answerTo(r.Header.Get("Id"), "early"))
				time.Sleep(50 * time.Millisecond)
				rest, _ := io.ReadAll(r.Body)
				received <- string(rest)
			}()
		}
	}()
	p := newPool(t)
	req := request("r")
	req.Body = []byte(long)
	if got, err := do(t, p, l.Addr().String(), req); err != nil || got != "early" {
		t.Fatalf("early answer: %q, %v", got, err)
	}
	if got := <-received; !strings.HasPrefix(long, got) {
		t.Error("the endpoint has read bytes that are not the request's body")
	}
}

// Guards against requests that are sent on idle connections which the endpoint is about to close.
func TestIdleConnections(t *testing.T) {
	e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
		id := r.Header.Get("Id")
		write(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n", id)
		return true
	})
	p := newPool(t)
	for _, id := range []string{"a", "b"} {
		if _, err := do(t, p, e.addr, request(id)); err != nil {
			t.Fatal(err)
		}
	}
	if n := e.connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2: a connection with a time-out of 0 was reused", n)
	}
	if dialled, reused := p.Counts(); dialled != 2 || reused != 0 {
		t.Errorf("%d dialled and %d reused", dialled, reused)
	}
}

// Guards against a request that goes on at an endpoint after its context was cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := newPool(t).Do(ctx, e.addr, request("r"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint's connection is open 2 s after the cancel")
	}
	_ = resp.Body.Close()
}
