package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// connections notes since when each open connection has been without a request.
type connections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // zero while a request is served
}

func (c *connections) note(conn net.Conn, s http.ConnState, now time.Time) {
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

// idle reports whether all connections have been without a request for a time.
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

// idlePoll is the time between two looks at the connections of a server that is stopping.
const idlePoll = 20 * time.Millisecond

// waitIdle waits until all connections have been without a request for a time. A stream that began before the planned stop has not
// told its caller that the connection ends with it, so the caller's next request may already be on its way; it is
// served, and its answer tells.
func (c *connections) waitIdle(ctx context.Context, d time.Duration) {
	for !c.idle(time.Now(), d) && clock.Sleep(ctx, idlePoll) == nil {
	}
}
