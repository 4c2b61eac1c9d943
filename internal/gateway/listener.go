package gateway

import (
	"net"
	"sync"
)

// listener bounds the number of open connections. Further ones are closed at once, so that waiting connections don't pile up
// in the system.
type listener struct {
	net.Listener
	slots chan struct{}
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, slots: make(chan struct{}, limit)}
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &callerConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			conn.Close()
		}
	}
}

// callerConn is a counted connection.
type callerConn struct {
	net.Conn
	release func()
}

// Close gives the connection's place back.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// CloseWrite lets net/http end an answer before the whole request was read, without a reset that would destroy it.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
