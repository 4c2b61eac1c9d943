package edgedaemon

import (
	"container/list"
	"net"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
	"dogwoodknot.example/dogwoodknot/internal/edge"
	"dogwoodknot.example/dogwoodknot/internal/netdial"
)

// maxReadable bounds how many waiting connections are passed over because bytes have arrived on them.
const maxReadable = 16

// connectionGate bounds the open connections of callers by descriptors, memory and address. When a limit is reached, it closes the
// connection that has waited longest for a request. The callers' server holds its lock during all calls. A nil gate does nothing.
type connectionGate struct {
	memory  *edge.Memory
	held    *membudget.Holder
	max     int // open connections
	perAddr int // open connections of one client address
	open    map[net.Conn]*openConnection
	byAddr  map[string]int
	waiting *list.List // of net.Conn without a request in progress, the longest wait first
}

type openConnection struct {
	addr string
	wait *list.Element // in connectionGate.waiting, nil while a request is in progress
}

func newConnectionGate(memory *edge.Memory, limit, perAddr int) *connectionGate {
	return &connectionGate{
		memory: memory, held: memory.Open(0, membudget.Connections, membudget.Client{}, nil), max: limit, perAddr: perAddr,
		open: make(map[net.Conn]*openConnection), byAddr: make(map[string]int), waiting: list.New(),
	}
}

// opened counts a new connection and makes room for it.
func (g *connectionGate) opened(c net.Conn) {
	if g == nil {
		return
	}
	addr, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		addr = c.RemoteAddr().String()
	}
	g.open[c] = &openConnection{addr: addr, wait: g.waiting.PushBack(c)}
	g.byAddr[addr]++
	within := g.memory.AddConnection(g.held)
	switch {
	case g.byAddr[addr] > g.perAddr:
		g.memory.Record("connections_rejected_for_address", "connection of a caller rejected: too many from its address", zap.String("caller", addr))
		g.end(c)
	case len(g.open) > g.max:
		g.closeLongestWait("connections_closed_for_descriptors", "connection of a caller closed: too many are open")
	case !within:
		g.closeLongestWait("connections_closed_for_memory", "connection of a caller closed: memory is short")
	}
}

// closeLongestWait closes the connection that has waited longest and on which nothing has arrived, or the newest one if there is none.
func (g *connectionGate) closeLongestWait(metric, message string) {
	victim, _ := g.waiting.Back().Value.(net.Conn)
	passed := 0
	for e := g.waiting.Front(); e != nil && passed < maxReadable; e, passed = e.Next(), passed+1 {
		if c, ok := e.Value.(net.Conn); ok && !netdial.Readable(c) {
			victim = c
			break
		}
	}
	g.memory.Record(metric, message, zap.String("caller", g.open[victim].addr), zap.Int("open", len(g.open)), zap.Int("limit", g.max))
	g.end(victim)
}

// end closes a connection. It does not count any more, although its goroutine takes a moment to end.
func (g *connectionGate) end(c net.Conn) {
	// The goroutine of the connection sees the end of its read. An error means that the connection has ended.
	_ = c.Close()
	g.closed(c)
}

// idle records that a connection waits for its next request.
func (g *connectionGate) idle(c net.Conn) {
	setWaiting(c, true)
	if g == nil {
		return
	}
	if o := g.open[c]; o != nil && o.wait == nil {
		o.wait = g.waiting.PushBack(c)
	}
}

// active records that a request has begun.
func (g *connectionGate) active(c net.Conn) {
	setWaiting(c, false)
	if g == nil {
		return
	}
	if o := g.open[c]; o != nil && o.wait != nil {
		g.waiting.Remove(o.wait)
		o.wait = nil
	}
}

// closed records the end of a connection.
func (g *connectionGate) closed(c net.Conn) {
	setWaiting(c, false)
	if g == nil {
		return
	}
	o := g.open[c]
	if o == nil {
		return
	}
	if o.wait != nil {
		g.waiting.Remove(o.wait)
	}
	delete(g.open, c)
	if g.byAddr[o.addr]--; g.byAddr[o.addr] == 0 {
		delete(g.byAddr, o.addr)
	}
	g.memory.Shrink(g.held, edge.ConnectionBytes)
}
