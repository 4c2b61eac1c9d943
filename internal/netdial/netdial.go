// Package netdial makes TCP connections that notice a peer which has gone silent, and checks addresses.
package netdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// SilenceAfter is how long sent data may stay without acknowledgement before the connection breaks. Wide-area round trips
	// take 160 ms; a lost packet is sent again several times within this time.
	SilenceAfter = 1500 * time.Millisecond
	// probeIdle, probeEvery and probeCount detect silence while nothing is sent, within about 3 s.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// KeepAlive is the configuration of keep-alive probes of all kept connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}
}

// Dialer returns a dialer whose connections break when the peer is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// ListenConfig returns a listener configuration whose accepted connections break when the peer is silent.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// IsIPPort reports whether a setting is an address of the form ip:port.
func IsIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
