package endpointconn

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/netdial"
)

// waitUntilReadable waits until something has arrived on the only idle connection of a pool.
func waitUntilReadable(t *testing.T, p *Pool, addr string) {
	t.Helper()
	p.mu.Lock()
	idle := p.idle[addr]
	p.mu.Unlock()
	if len(idle) != 1 {
		t.Fatalf("%d idle connections, want 1", len(idle))
	}
	for deadline := time.Now().Add(5 * time.Second); !netdial.Readable(idle[0].Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nothing has arrived on the idle connection")
		}
	}
}

// Guards against a sound endpoint that counts as restarted because it has sent bytes after a complete response, and against one whose
// end goes unnoticed.
func TestOnlyAClosedIdleConnectionIsReported(t *testing.T) {
	for name, closes := range map[string]bool{"bytes after the response": false, "closed after the response": true} {
		t.Run(name, func(t *testing.T) {
			e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
				write(c, "%s", answerTo(r.Header.Get("Id"), ""))
				if closes {
					time.Sleep(20 * time.Millisecond) // the connection is idle by then
					return false
				}
				time.AfterFunc(20*time.Millisecond, func() { write(c, "more") })
				return true
			})
			p, reported := newPool(t), false
			if _, err := do(t, p, e.addr, request("a")); err != nil {
				t.Fatal(err)
			}
			waitUntilReadable(t, p, e.addr)
			next := request("b")
			next.OnIdleClosed = func() { reported = true }
			if _, err := do(t, p, e.addr, next); err != nil {
				t.Fatal(err)
			}
			if reported != closes {
				t.Errorf("reported as closed: %v, want %v", reported, closes)
			}
		})
	}
}

// Guards against the loss of a sound idle connection because a request is withheld that was to be sent on it, and against one that
// remains to an endpoint that wants no requests.
func TestConnectionOfAWithheldRequestStaysIdle(t *testing.T) {
	for name, c := range map[string]struct {
		err         error
		connections int64 // in all
	}{
		"connection may still be used": {errors.Mark(errors.New("withheld"), ErrKeepOpen), 2},
		"endpoint wants no requests":   {errors.New("withheld"), 3},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int64
			e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, conn net.Conn) bool {
				for arrived.Add(1); arrived.Load()%2 == 1; {
					time.Sleep(time.Millisecond) // until another request has arrived on another connection
				}
				write(conn, "%s", answerTo(r.Header.Get("Id"), ""))
				return true
			})
			p := newPool(t)
			atOnce := func(ids ...string) {
				var requests sync.WaitGroup
				for _, id := range ids {
					requests.Go(func() {
						if _, err := do(t, p, e.addr, request(id)); err != nil {
							t.Error(err)
						}
					})
				}
				requests.Wait()
			}
			atOnce("a", "b")
			withheld := request("withheld")
			withheld.BeforeSend = func() error { return c.err }
			if _, err := do(t, p, e.addr, withheld); !errors.Is(err, ErrNotSent) {
				t.Error(err)
			}
			atOnce("c", "d")
			if n := e.connections.Load(); n != c.connections {
				t.Errorf("%d connections were opened, want %d", n, c.connections)
			}
		})
	}
}

// Guards against an endpoint that counts as restarted again since the connections to its process before are closed, and against requests
// on connections that were opened for another endpoint at the address.
func TestConnectionsOfAnEarlierIncarnationAreNotUsed(t *testing.T) {
	for name, closes := range map[string]bool{"open": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
				write(c, "%s", answerTo(r.Header.Get("Id"), ""))
				time.Sleep(20 * time.Millisecond) // the connection is idle by then
				return !closes
			})
			p := newPool(t)
			first, next := request("a"), request("b")
			first.Endpoint = catalog.Incarnation{ID: "e", StartedAtMillis: 1}
			next.Endpoint = catalog.Incarnation{ID: "e", StartedAtMillis: 2}
			next.OnIdleClosed = func() { t.Error("a connection of an earlier incarnation is reported") }
			if _, err := do(t, p, e.addr, first); err != nil {
				t.Fatal(err)
			}
			if closes {
				waitUntilReadable(t, p, e.addr)
			}
			if _, err := do(t, p, e.addr, next); err != nil {
				t.Fatal(err)
			}
			if n := e.connections.Load(); n != 2 {
				t.Errorf("%d connections, want 2", n)
			}
		})
	}
}

// Guards against a restart that goes unnoticed since requests that need a fresh connection pass over the idle one that was closed.
func TestClosedIdleConnectionIsReportedToRequestsThatNeedAFreshOne(t *testing.T) {
	for name, closes := range map[string]bool{"open": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
				write(c, "%s", answerTo(r.Header.Get("Id"), ""))
				time.Sleep(20 * time.Millisecond) // the connection is idle by then
				return !closes
			})
			p, reported := newPool(t), false
			if _, err := do(t, p, e.addr, request("a")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(freshMaxIdle + 50*time.Millisecond)
			next := request("b")
			next.FreshConnection, next.OnIdleClosed = true, func() { reported = true }
			if _, err := do(t, p, e.addr, next); err != nil {
				t.Fatal(err)
			}
			if reported != closes {
				t.Errorf("reported as closed: %v, want %v", reported, closes)
			}
		})
	}
}
