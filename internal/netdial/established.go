package netdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Established reports whether neither side has closed the connection. Unlike a read it tells so while received bytes are unread.
func Established(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true // a test's connection without file descriptor
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = control.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = infoErr == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return established && err == nil
}
