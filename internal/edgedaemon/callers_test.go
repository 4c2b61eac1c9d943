package edgedaemon

import (
	"bufio"
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

// startServing returns an instance that serves the route /once/ with an endpoint.
func startServing(t *testing.T, grace float64, endpoint http.HandlerFunc) (*Daemon, Settings) {
	t.Helper()
	store := platformtest.NewStore(t)
	s := settings(t, store.Addr)
	s.Grace = grace
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.Close)
	store.Put(platformtest.EndpointKey("e1"), platformtest.EndpointEntry{
		Service: "plain", Addr: strings.TrimPrefix(server.URL, "http://"), DataCentre: "north-a", Slots: 8, State: "ready",
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
	d, s := startServing(t, 2, func(w http.ResponseWriter, r *http.Request) {
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

// Guards against a request that is read and gets no answer, because its connection was open without a request when the planned stop
// reached its last phase.
func TestRequestAfterTheLastPhaseOfAStopBeganIsAnswered(t *testing.T) {
	d, s := startServing(t, 4, func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
		if r.URL.Path == "/once/long" {
			time.Sleep(3 * time.Second)
		}
	})
	long := dialCaller(t, s)
	fresh := dialCaller(t, s)
	writeRequest(t, long, "long", "/once/long", 20*time.Second)
	_ = fresh
	stop(t, d)
}
