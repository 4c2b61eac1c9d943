package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// connections records for each open connection since when it has had no request.
type connections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // zero time while a request is served
}

func (c *connections) record(conn net.Conn, s http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince == nil {
		c.idleSince = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew, http.StateIdle:
		c.idleSince[conn] = now
	case http.StateActive:
		c.idleSince[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, conn)
	}
}

// idle reports whether all connections have been without a request for at least d.
func (c *connections) idle(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.idleSince {
		if since.IsZero() || now.Sub(since) < d {
			return false
		}
	}
	return true
}

// idlePoll is the interval at which a stopping server checks its connections.
const idlePoll = 20 * time.Millisecond

// waitIdle waits until all connections have been without a request for at least d. A stream that began before the planned stop was
// sent without "Connection: close", so its caller may already have sent the next request on that connection. That request is
// served, and its answer has the header.
func (c *connections) waitIdle(ctx context.Context, d time.Duration) {
	for !c.idle(time.Now(), d) && clock.Sleep(ctx, idlePoll) == nil {
	}
}
