package edgedaemon

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
	"dogwoodknot.example/dogwoodknot/internal/edge"
)

// headerStep is the step in bytes in which headers that arrive are counted. The first one is part of edge.ConnectionBytes.
const headerStep = 4 << 10

var errNoMemory = errors.New("no memory for the headers of a request")

// callerListener accepts connections of callers whose headers are counted in the memory account while they arrive.
type callerListener struct {
	net.Listener
	memory *edge.Memory
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp, memory: l.memory, waiting: true}, nil
	}
	return c, err
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	memory *edge.Memory

	mu      sync.Mutex
	waiting bool // for the end of a request's headers
	bytes   int  // that have arrived while waiting
	counted int  // of them in held
	held    *membudget.Holder
}

// Read implements io.Reader. It fails if there is no room for the headers that arrive.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.count(n) {
		c.memory.Record("connections_closed_for_headers", "connection of a caller closed: no memory for its headers", zap.Stringer("caller", c.RemoteAddr()))
		return 0, errNoMemory
	}
	return n, err
}

// count counts n bytes of headers. It returns false if there is no room.
func (c *callerConn) count(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return true
	}
	c.bytes += n
	if c.bytes-c.counted <= headerStep {
		return true
	}
	now := clock.Boot{}.Now()
	if c.held == nil {
		addr, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		c.held = c.memory.Open(now, membudget.Arriving, membudget.Client{Addr: addr}, func() {
			_ = c.Close() // an error means that it has ended
		})
	}
	c.held.Progressed(now)
	c.counted += headerStep
	return c.memory.TryGrow(c.held, headerStep)
}

// setWaiting records whether the connection waits for the end of a request's headers, and gives back what was counted.
func (c *callerConn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.bytes, c.counted = waiting, 0, 0
	if c.held != nil {
		c.memory.Close(c.held)
		c.held = nil
	}
}

// setWaiting does the same for a connection of a caller's server.
func setWaiting(c net.Conn, waiting bool) {
	if conn, ok := c.(*callerConn); ok {
		conn.setWaiting(waiting)
	}
}
