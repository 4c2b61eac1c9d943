package endpointconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a faulty endpoint that sends bytes without end until the instance runs out of memory: in a head, in interim responses,
// in a line, in a response to another request or in a trailer. Endless header lines took 538 MB during one request.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		endpoints = 50
		allowed   = 64 << 20 // bytes of heap above the start of the test, for all endpoints together
		most      = 4 << 20  // bytes that may be read from one endpoint
	)
	line := strings.Repeat("x", 1000)
	for name, script := range map[string]struct{ first, again string }{
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-" + line[:20] + ": " + line + "\r\n"},
		"one header line":     {"HTTP/1.1 200 OK\r\nX: ", line},
		"a status line":       {"HTTP/1.1 200 ", line},
		"interim answers":     {"", "HTTP/1.1 103 Early Hints\r\nX: " + line + "\r\n\r\n"},
		"no protocol":         {"", line},
		"a foreign answer":    {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n", line},
		"a foreign chunk":     {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n3b9aca00\r\n", line},
		"foreign answers":     {"", answerTo("other", "x")},
		"a chunk's extension": {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		"trailer lines":       {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: " + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var largest atomic.Int64
			e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
				write(c, "%s", script.first)
				for {
					if _, err := io.WriteString(c, script.again); err != nil {
						break
					}
				}
				return false
			})
			p := NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return &countingConn{Conn: c, largest: &largest}, err
			}, func(h http.Header) string { return h.Get("Id") })
			runtime.GC()
			var rest, peak runtime.MemStats
			runtime.ReadMemStats(&rest)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var all sync.WaitGroup
			var unbounded atomic.Int64
			for range endpoints {
				all.Go(func() {
					resp, err := p.Do(ctx, e.addr, request("r"))
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					if err == nil || ctx.Err() != nil {
						unbounded.Add(1)
					} else if !errors.Is(err, ErrBadAnswer) && !errors.Is(err, ErrBroken) {
						t.Errorf("error %v", err)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				all.Wait()
				close(done)
			}()
			var highest uint64
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(5 * time.Millisecond):
				}
				runtime.ReadMemStats(&peak)
				highest = max(highest, peak.HeapAlloc)
			}
			if n := unbounded.Load(); n > 0 {
				t.Errorf("%d of %d responses were read until the request's time-out", n, endpoints)
			}
			if highest > rest.HeapAlloc+allowed {
				t.Errorf("heap grew by %d MB, want at most %d", (highest-rest.HeapAlloc)>>20, allowed>>20)
			}
			if n := largest.Load(); n > most {
				t.Errorf("%d bytes were read from one endpoint", n)
			}
		})
	}
}

// countingConn counts the bytes that are read from a connection, and keeps in largest the highest count of all connections.
type countingConn struct {
	net.Conn
	read    int64
	largest *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += int64(n)
	for before := c.largest.Load(); c.read > before && !c.largest.CompareAndSwap(before, c.read); before = c.largest.Load() {
	}
	return n, err
}
