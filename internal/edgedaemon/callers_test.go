package edgedaemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/netdial"
	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// startServing returns an instance that serves the route /once/ with an endpoint of a number of slots.
func startServing(t *testing.T, grace float64, slots int, endpoint http.HandlerFunc) (*Daemon, Settings) {
	t.Helper()
	store := platformtest.NewStore(t)
	s := settings(t, store.Addr)
	s.Grace = grace
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.Close)
	store.Put(platformtest.EndpointKey("e1"), platformtest.EndpointEntry{
		Service: "plain", Addr: strings.TrimPrefix(server.URL, "http://"), DataCentre: "north-a", Slots: slots, State: "ready",
	}.Encode())
	store.Put(platformtest.ConfigurationKey, platformtest.Configuration{Version: 1, Organisation: "o", Key: "k", Host: "h",
		Routes: []platformtest.Route{{Prefix: "/once/", Kind: "non_idempotent", Service: "plain"}}}.Encode())
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the instance does not serve", func() bool {
		got, _ := callInstance(t, s, "probe", "/once/", 5*time.Second)
		return got == http.StatusOK
	})
	return d, s
}

// dialCaller opens a connection of a caller.
func dialCaller(t *testing.T, s Settings) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// writeRequest writes a caller's request without a body.
func writeRequest(t *testing.T, c net.Conn, id, path string, deadline time.Duration) {
	t.Helper()
	h := make(http.Header)
	platformtest.SetRequestHeaders(h, id, "k")
	platformtest.SetDeadline(h, deadline)
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n", path)
	_ = h.Write(&text) // writes to a strings.Builder do not fail
	if _, err := io.WriteString(c, text.String()+"\r\n"); err != nil {
		t.Fatal(err)
	}
}

// Guards against an answer that is lost because its caller takes no bytes for some seconds, or because the network delays them: the
// connection was reset after 1.5 s without an acknowledgement, as one to an unresponsive endpoint is.
func TestSlowCallerGetsItsAnswer(t *testing.T) {
	const size = 256 << 10 // more than the caller's buffer holds
	d, s := startServing(t, 4, 8, func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
		if r.URL.Path != "/once/large" {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})
	c := dialCaller(t, s)
	if err := c.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	writeRequest(t, c, "slow", "/once/large", 20*time.Second)
	time.Sleep(2 * netdial.UserTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
		t.Errorf("the answer ends after %d of %d bytes: %v", n, size, err)
	}
	stop(t, d)
}

// Guards against a request that is read and gets no answer, because the instance had begun to close its connections when it came on a
// new connection.
func TestRequestOnANewConnectionAtTheEndOfAStopIsAnswered(t *testing.T) {
	const grace = 4
	d, s := startServing(t, grace, 8, func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop(t, d)
	}()
	closing := time.Duration(grace * idleStopFraction * float64(time.Second))
	time.Sleep(closing - newConnectionGrace/2)
	c := dialCaller(t, s)
	time.Sleep(newConnectionGrace * 3 / 4)
	writeRequest(t, c, "late", "/once/", 5*time.Second)
	checkAnswered(t, c, http.StatusServiceUnavailable)
	<-stopped
}

// checkAnswered checks that a complete answer with a status arrives.
func checkAnswered(t *testing.T, c net.Conn, want int) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != want {
		t.Errorf("the answer has status %d and ends with error %v, want %d", resp.StatusCode, err, want)
	}
}

// slowReads is a listener whose connections hold back what they have read.
type slowReads struct {
	net.Listener
	arrived chan struct{} // one value for each read that is held back
	release chan struct{}
	after   int // number of reads that are not held back
}

func (l *slowReads) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowReadConn{Conn: c, listener: l}, nil
}

type slowReadConn struct {
	net.Conn
	listener *slowReads
	reads    int
}

func (c *slowReadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.reads++; c.reads > c.listener.after {
			c.listener.arrived <- struct{}{}
			<-c.listener.release
		}
	}
	return n, err
}

// Guards against a connection that is closed as idle while its next request has been read and has not begun, as http.Server.Shutdown does.
func TestDrainAnswersARequestThatWasReadOnAnIdleConnection(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &slowReads{Listener: tcp, arrived: make(chan struct{}, 1), release: make(chan struct{}), after: 1}
	s := newCallerServer(&http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Context().Err() != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})})
	s.listener = listener
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	c := dialCaller(t, Settings{CallerAddr: tcp.Addr().String()})
	writeRequest(t, c, "first", "/", time.Second)
	checkAnswered(t, c, http.StatusOK)
	writeRequest(t, c, "second", "/", time.Second)
	<-listener.arrived
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.drain(ctx) }()
	time.Sleep(3 * stopPollInterval)
	close(listener.release)
	checkAnswered(t, c, http.StatusOK)
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("serve: %v", err)
	}
}

// Guards against a drain that waits for callers which keep connections open without a request.
func TestDrainClosesConnectionsWithoutARequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(&http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Handler: http.NotFoundHandler()})
	s.listener = listener
	go func() { _ = s.server.Serve(listener) }() // it ends with the listener
	idle := dialCaller(t, Settings{CallerAddr: listener.Addr().String()})
	writeRequest(t, idle, "first", "/", time.Second)
	checkAnswered(t, idle, http.StatusNotFound)
	dialCaller(t, Settings{CallerAddr: listener.Addr().String()}) // it sends nothing
	ctx, cancel := context.WithTimeout(t.Context(), 3*newConnectionGrace)
	defer cancel()
	if err := s.drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
}

// Guards against a request that ends as if its caller had left, because its connection was to be closed as idle between the end of its head
// and the state that net/http reports then.
func TestRequestThatHasBegunIsNotEndedAsIdle(t *testing.T) {
	s := newCallerServer(&http.Server{})
	c, caller := net.Pipe()
	defer c.Close()
	defer caller.Close()
	for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		s.recordState(c, state)
	}
	if open := s.endWaits(); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
	s.recordState(c, http.StateActive)
	go func() { _, _ = io.WriteString(caller, "body") }()
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Errorf("the request's body cannot be read: %v", err)
	}
	s.recordState(c, http.StateClosed)
	if open := s.endWaits(); open != 0 {
		t.Errorf("%d connections are open, want 0", open)
	}
}

// Guards against a request that is taken so late in a planned stop that the platform expects its whole answer, and that is cut at the end of
// the process: a fraction of a longer grace time, or a stop that begins late, is more than the 3 s that the platform allows.
func TestLongRequestsAreRejectedInTime(t *testing.T) {
	const grace = 8.5
	d, s := startServing(t, grace, 8, func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopWithin(t, d, time.Duration(2*grace*float64(time.Second)))
	}()
	time.Sleep(2650 * time.Millisecond) // the request may last 5 s, which is longer than the process
	if got, err := callInstance(t, s, "long", "/once/", 5*time.Second); err != nil || got != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v, want 503", got, err)
	}
	<-stopped
}

// Guards against an answer that is lost by a reset, since the connection is closed with a part of the request unread: a request that asks
// for the connection to be closed, and is rejected before its body has been read. A caller that waits for leave to send the body must not
// get it behind the answer.
func TestRejectionOfALongRequestReachesItsCaller(t *testing.T) {
	d, s := startServing(t, 4, 8, func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
	})
	for name, header := range map[string]string{"sends": "", "waits": "Expect: 100-continue\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := dialCaller(t, s)
			body := strings.Repeat("x", 200<<10)
			if _, err := fmt.Fprintf(c, "POST /nowhere/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n", header, len(body)); err != nil {
				t.Fatal(err)
			}
			if header == "" {
				if _, err := io.WriteString(c, body); err != nil {
					t.Fatal(err)
				}
			}
			reader := bufio.NewReader(c)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusNotFound {
				t.Errorf("status %d, error %v, want 404", resp.StatusCode, err)
			}
			if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
				t.Errorf("the connection ends with %q and error %v, want its end", rest, err)
			}
		})
	}
	stop(t, d)
}
