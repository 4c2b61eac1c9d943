package edgedaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/netdial"
)

// newConnectionGrace is how long a connection that was accepted just before a drain may take to send its request. Callers send it at
// once; a round trip over a wide area takes 160 ms.
const newConnectionGrace = time.Second

// callerServer serves callers. http.Server.Shutdown closes connections whose request has been read but not begun, and answers no
// request that is read after it was called; drain answers both.
type callerServer struct {
	server   *http.Server
	listener net.Listener // nil before the start

	mu      sync.Mutex
	waiting map[net.Conn]*wait // connections without a request in progress
	busy    int                // connections with a request in progress
	gate    *connectionGate    // nil: connections are not limited
}

// wait is the state of a connection without a request in progress.
type wait struct {
	since time.Time // zero if a request was answered on the connection
	ended bool      // reads were made to fail
}

func newCallerServer(server *http.Server) *callerServer {
	s := &callerServer{server: server, waiting: make(map[net.Conn]*wait)}
	server.ConnState = s.recordState
	return s
}

// recordState records the state of a connection. The server calls it before the request's handler.
func (s *callerServer) recordState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiting[c]
	switch state {
	case http.StateNew:
		s.waiting[c] = &wait{since: time.Now()}
		s.gate.opened(c)
	case http.StateIdle:
		s.busy--
		s.waiting[c] = &wait{}
		s.gate.idle(c)
	case http.StateActive:
		if w != nil && w.ended {
			// The request had been read. A read that fails now would end it as if the caller had left.
			_ = c.SetReadDeadline(time.Time{}) // a connection that is closed already shows it at the next use
		}
		s.busy++
		delete(s.waiting, c)
		s.gate.active(c)
	case http.StateClosed, http.StateHijacked:
		if w == nil {
			s.busy--
		}
		delete(s.waiting, c)
		s.gate.closed(c)
	}
}

// endWaits closes the connections that wait for a request of which nothing has arrived, and returns the number of connections that are
// open. A request whose head has been read is answered. net/http sets no deadline for reads between then and the state that it reports.
func (s *callerServer) endWaits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, w := range s.waiting {
		if !w.since.IsZero() && time.Since(w.since) < newConnectionGrace || netdial.Readable(c) {
			continue
		}
		w.ended = true
		// A read deadline in the past makes the server close the connection, unless it has the request already.
		_ = c.SetReadDeadline(time.Unix(1, 0)) // a connection that is closed already is what is wanted
	}
	return s.busy + len(s.waiting)
}

// drain accepts no more connections, and returns when all connections are closed. Each request that is read before is answered. It returns
// the error of ctx if connections are left when ctx ends.
func (s *callerServer) drain(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for s.endWaits() > 0 {
		if err := clock.Sleep(ctx, stopPollInterval); err != nil {
			return errors.Wrap(err, "connections of callers are left")
		}
	}
	return nil
}

// close closes all connections at once.
func (s *callerServer) close() error {
	err := s.server.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil // drain has closed the listener, and the server has not noticed it yet
	}
	return err
}
