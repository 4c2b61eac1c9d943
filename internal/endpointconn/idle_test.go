package endpointconn

import (
	"net"
	"net/http"
	"testing"
	"time"

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
