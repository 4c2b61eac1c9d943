package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// listener bounds the number of open connections. Further ones are refused at once, so that waiting connections don't pile up
// in the system.
type listener struct {
	net.Listener
	slots    chan struct{}
	refusals chan struct{}

	mu      sync.Mutex
	pending []net.Conn // accepted when listening stopped
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, slots: make(chan struct{}, limit), refusals: make(chan struct{}, maxRefusals)}
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.next()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &callerConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			l.refuseConn(conn)
		}
	}
}

func (l *listener) next() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil, err
	}
	conn = l.pending[0]
	l.pending = l.pending[1:]
	return conn, nil
}

// stop ends listening. Closing a listener resets the connections that wait to be accepted, whose callers may have sent their
// requests; so they are accepted first, by system calls, since a goroutine may wait long for its turn on a busy machine.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = acceptPending(l.Listener)
	_ = l.Listener.Close() // an error means that it is closed
}

// acceptPending accepts the connections that wait at a listener.
func acceptPending(l net.Listener) []net.Conn {
	source, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	var out []net.Conn
	_ = raw.Control(func(listening uintptr) { // fails if the listener is closed
		for {
			fd, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			if conn, err := connOf(fd); err == nil {
				out = append(out, conn)
			}
		}
	})
	return out
}

func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close() // FileConn duplicates it
	return net.FileConn(f)
}

// refuseConn answers a connection that is not served. The answer fits the empty send buffer of a new connection, so that
// writing it does not block.
func (l *listener) refuseConn(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(refuseTime)) != nil {
		conn.Close()
		return
	}
	_, _ = conn.Write(plainRefusal(http.StatusServiceUnavailable)) // the caller sees a closed connection instead
	select {
	case l.refusals <- struct{}{}:
		go func() {
			defer func() { <-l.refusals }()
			closeRead(conn)
		}()
	default:
		conn.Close()
	}
}

// closeRead ends a connection whose answer was written. Closing it with unread bytes would reset it, and the caller could
// lose the answer; so what the caller sends is read until it closes, for a short time.
func closeRead(conn net.Conn) {
	defer conn.Close()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	// The deadline ends the read of a caller that goes on sending.
	_, _ = io.CopyN(io.Discard, conn, maxRefusedBytes)
}

const (
	// refuseTime limits the answer to a connection that is not served.
	refuseTime = 100 * time.Millisecond
	// maxRefusals bounds the refused connections that are still being read. Further ones are closed at once.
	maxRefusals = 64
	// maxRefusedBytes bounds what is read of one.
	maxRefusedBytes = 64 << 10
)

// callerConn is a counted connection. It gives the refusals that net/http writes itself, such as those of a broken header,
// the form of all others.
type callerConn struct {
	net.Conn
	release func()
	// served says that the handler has taken over the current request, so that what is written is its answer.
	served atomic.Bool
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func markServed(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok {
		c.served.Store(true)
	}
}

func (g *Gateway) connState(c net.Conn, s http.ConnState) {
	if own, ok := c.(*callerConn); ok && s == http.StateIdle {
		own.served.Store(false)
	}
	g.conns.note(c, s, time.Now())
}

// Write passes answers on. Before the handler has seen a request, only net/http's own refusals are written.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.served.Load() {
		return c.Conn.Write(p)
	}
	status, ok := statusOf(p)
	if !ok || status < http.StatusBadRequest {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(plainRefusal(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// statusOf reads the status of an answer's first line.
func statusOf(p []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(p, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 400") {
		return 0, false
	}
	status, err := strconv.Atoi(string(rest[2:5]))
	return status, err == nil
}

// plainRefusal is a whole answer to a request that could not be read.
func plainRefusal(status int) []byte {
	text := http.StatusText(status)
	code, message := "malformed_request", "the request could not be read: "+text
	var out bytes.Buffer
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		code = "header_too_large"
	case http.StatusServiceUnavailable:
		code, message = "overloaded", "too many connections"
	}
	body := refuse(status, code, message).body()
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\nContent-Type: application/json\r\nConnection: close\r\n")
	if status == http.StatusServiceUnavailable {
		out.WriteString("Retry-After: 1\r\n")
	}
	out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	out.WriteString(headerExecution + ": " + string(operations.NotRun) + "\r\n" + headerRequestID + ": " + newID() + "\r\n\r\n")
	out.Write(body)
	return out.Bytes()
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
