package site

import (
	"context"
	"net"
	"sync"
	"syscall"
)

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// processConns are the connections that an instance has made. A crash cuts them and prevents new ones, as the operating system
// does for a process that dies.
type processConns struct {
	dialer dialFunc

	mu      sync.Mutex
	open    map[net.Conn]struct{}
	crashed bool
}

func newProcessConns(dialer dialFunc) *processConns {
	return &processConns{dialer: dialer, open: make(map[net.Conn]struct{})}
}

func (p *processConns) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := p.dialer(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed {
		conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNABORTED}
	}
	p.open[conn] = struct{}{}
	return &processConn{Conn: conn, process: p}, nil
}

func (p *processConns) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashed = true
	for conn := range p.open {
		conn.Close()
	}
	clear(p.open)
}

// processConn leaves its process's list when it is closed.
type processConn struct {
	net.Conn
	process *processConns
}

// Close closes the connection.
func (c *processConn) Close() error {
	c.process.mu.Lock()
	delete(c.process.open, c.Conn)
	c.process.mu.Unlock()
	return c.Conn.Close()
}
