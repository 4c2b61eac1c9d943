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
)

// KeepAlive returns the keep-alive configuration of all persistent connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Dialer returns a dialer whose connections break when the peer is unresponsive.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// ListenConfig returns a listener configuration whose accepted connections break when the peer is unresponsive.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// IsIPPort reports whether addr has the form ip:port.
func IsIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
