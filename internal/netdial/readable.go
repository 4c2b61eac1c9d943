package netdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether bytes or an end of file have arrived on the connection. It peeks, so no byte is consumed.
func Readable(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false // a test's connection without file descriptor
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	found := false
	// RawConn.Read would wait for another goroutine that reads the connection.
	err = control.Control(func(fd uintptr) {
		var peek [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = n > 0 || recvErr == nil || recvErr != unix.EAGAIN
	})
	return found || err != nil
}
