package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header (yamux specification, version 0).
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn joins the header of a yamux data frame with its body. yamux writes both one after the other,
// which without this makes two TLS records and two TCP segments per message.
// yamux writes from one goroutine, so there is no lock.
type coalescingConn struct {
	net.Conn
	pending []byte
}

// Write holds back the header of a data frame until its body is written.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 && isDataHeader(b) {
		c.pending = append(c.pending[:0], b...)
		return len(b), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	joined := append(c.pending, b...)
	c.pending = c.pending[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(b), nil
}

func isDataHeader(b []byte) bool {
	return len(b) == yamuxHeaderBytes &&
		b[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
