package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// liveStreams are the streams of a session. Between the shutdown of a session and the end of its streams, which comes when the connection
// is closed, yamux's reads and writes neither wait nor return: they use all the processor time that the close is waiting for. So
// their deadlines are ended first. It is safe for concurrent use.
type liveStreams struct {
	mu    sync.Mutex
	all   map[*yamux.Stream]struct{}
	ended bool
}

func newLiveStreams() *liveStreams { return &liveStreams{all: make(map[*yamux.Stream]struct{})} }

func (l *liveStreams) add(mux *yamux.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[mux] = struct{}{}
	if l.ended {
		interrupt(mux)
	}
}

func (l *liveStreams) remove(mux *yamux.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, mux)
}

// interrupt ends blocked reads and writes of a stream.
func interrupt(mux *yamux.Stream) {
	// SetDeadline of yamux returns no error.
	_ = mux.SetDeadline(deadlinePassed)
}

// setDeadline sets the deadline of a stream's reads and writes, unless the session has ended.
func (l *liveStreams) setDeadline(mux *yamux.Stream, t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		_ = mux.SetDeadline(t) // yamux returns no error
	}
}

// setReadDeadline sets the deadline of a stream's reads, unless the session has ended.
func (l *liveStreams) setReadDeadline(mux *yamux.Stream, t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		_ = mux.SetReadDeadline(t) // yamux returns no error
	}
}

// end ends blocked reads and writes of all streams.
func (l *liveStreams) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for mux := range l.all {
		interrupt(mux)
	}
}

// endingConn ends the streams of its session before it closes. yamux closes it right after the session's shutdown.
type endingConn struct {
	net.Conn
	streams *liveStreams
}

// Close implements net.Conn.
func (c *endingConn) Close() error {
	c.streams.end()
	return c.Conn.Close()
}
