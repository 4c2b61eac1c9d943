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

// listener bounds the number of open connections. Further ones are rejected at once with an error, so that connections don't pile up in
// the kernel's accept queue.
type listener struct {
	net.Listener
	slots    chan struct{}
	rejected chan struct{}

	mu      sync.Mutex
	pending []net.Conn // accepted by stop, not yet returned by Accept
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, slots: make(chan struct{}, limit), rejected: make(chan struct{}, maxRejectedConns)}
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
			l.rejectConn(conn)
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

// stop closes the listener. Closing would reset the connections that wait to be accepted, whose callers may already have sent their
// requests, so they are accepted first. This is done by direct system calls, since the goroutine in Accept may wait long to be
// scheduled on a busy machine.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = acceptPending(l.Listener)
	_ = l.Listener.Close() // an error means that it is already closed
}

// acceptPending accepts the connections that wait in a listener's queue, without blocking.
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
	defer f.Close() // FileConn duplicates the file descriptor
	return net.FileConn(f)
}

// rejectConn answers a connection beyond the limit with an error. The answer fits into the empty send buffer of a new connection, so
// that writing it does not block.
func (l *listener) rejectConn(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(rejectTimeout)) != nil {
		conn.Close()
		return
	}
	_, _ = conn.Write(rawErrorResponse(http.StatusServiceUnavailable)) // after an error, the caller only sees a closed connection
	select {
	case l.rejected <- struct{}{}:
		go func() {
			defer func() { <-l.rejected }()
			lingeringClose(conn)
		}()
	default:
		conn.Close()
	}
}

// lingeringClose closes a connection after its answer was written. Closing it with unread bytes would reset it, and the caller could lose
// the answer. So what the caller sends is read until the caller closes the connection, or the deadline or byte limit is reached.
func lingeringClose(conn net.Conn) {
	defer conn.Close()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	// rejectConn has set a deadline, which ends the read if the caller goes on sending.
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
}

const (
	// rejectTimeout limits the time to answer and close a rejected connection.
	rejectTimeout = 100 * time.Millisecond
	// maxRejectedConns bounds the rejected connections that are still read by lingeringClose. Further ones are closed at once.
	maxRejectedConns = 64
	// maxDiscardedBytes bounds the bytes read from a rejected connection.
	maxDiscardedBytes = 64 << 10
)

// callerConn is a connection that counts towards the limit. It replaces the errors that net/http writes itself, for example for a
// malformed header, by errors in the gateway's format.
type callerConn struct {
	net.Conn
	release func()
	// served is set once the handler has the current request, so that what is written is the handler's answer.
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
	g.conns.record(c, s, time.Now())
}

// Write writes the handler's answers unchanged. Before the handler has a request, only net/http's own errors are written; these are
// replaced.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.served.Load() {
		return c.Conn.Write(p)
	}
	status, ok := statusOf(p)
	if !ok || status < http.StatusBadRequest {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(rawErrorResponse(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// statusOf returns the status in an answer's first line.
func statusOf(p []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(p, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 400") {
		return 0, false
	}
	status, err := strconv.Atoi(string(rest[2:5]))
	return status, err == nil
}

// rawErrorResponse returns the bytes of a complete error answer, for a request that did not reach the handler.
func rawErrorResponse(status int) []byte {
	text := http.StatusText(status)
	code, message := "malformed_request", "the request could not be read: "+text
	var out bytes.Buffer
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		code = "header_too_large"
	case http.StatusServiceUnavailable:
		code, message = "overloaded", "too many connections"
	}
	body := notRunError(status, code, message).body()
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\nContent-Type: application/json\r\nConnection: close\r\n")
	if status == http.StatusServiceUnavailable {
		out.WriteString("Retry-After: 1\r\n")
	}
	out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	out.WriteString(headerExecution + ": " + string(operations.NotRun) + "\r\n" + headerRequestID + ": " + newID() + "\r\n\r\n")
	out.Write(body)
	return out.Bytes()
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// CloseWrite lets net/http close the sending side after an answer whose request was not read to its end. Closing both sides would reset
// the connection, and the caller could lose the answer.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
