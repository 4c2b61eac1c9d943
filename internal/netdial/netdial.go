// Package netdial configures TCP connections that break when the other side stops responding, and checks addresses.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may remain unacknowledged before the connection breaks. Wide-area round trips take
	// 160 ms, so that a lost packet is retransmitted several times within this time.
	UserTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure keep-alive probes, which detect an unresponsive peer on an idle
	// connection within about 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2

	// CallerUserTimeout is UserTimeout for connections of callers. They belong to requests that last some seconds and end at their
	// deadline, and their answers cannot be sent another way: 1500 ms cut off callers that took no bytes for that long. It is longer
	// than usual requests, and bounds how long a caller that has gone without a word occupies a request.
	CallerUserTimeout = 15 * time.Second
	// callerProbeIdle and callerProbeInterval configure keep-alive probes on connections of callers. The kernel gives a connection up
	// when CallerUserTimeout has passed without an answer to them.
	callerProbeIdle     = 5 * time.Second
	callerProbeInterval = 5 * time.Second
)

// KeepAlive returns the keep-alive configuration of all persistent connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// callerKeepAlive returns the keep-alive configuration of connections of callers.
func callerKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: callerProbeIdle, Interval: callerProbeInterval, Count: int(CallerUserTimeout / callerProbeInterval)}
}

// Dialer returns a dialer whose connections break when the peer is unresponsive.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: userTimeout(UserTimeout)}
}

// ListenConfig returns a listener configuration whose accepted connections break when the peer is unresponsive.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: userTimeout(UserTimeout)}
}

// CallerListenConfig returns a listener configuration for callers, whose connections last through longer pauses.
func CallerListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: callerKeepAlive(), Control: userTimeout(CallerUserTimeout)}
}

// userTimeout returns a function that sets TCP_USER_TIMEOUT on a new socket. Accepted connections inherit it from their listener.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// IsIPPort reports whether addr has the form ip:port.
func IsIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
