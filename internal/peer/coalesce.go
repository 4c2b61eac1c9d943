package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header (yamux specification, version 0).
const (
	yamuxHeaderBytes      = 12
	yamuxTypeOffset       = 1
	yamuxFlagsOffset      = 2
	yamuxLengthOffset     = 8
	yamuxTypeData         = 0
	yamuxTypeWindowUpdate = 1
	yamuxFlagSYN          = 1
)

// coalescingConn joins frames of yamux that follow each other at once: the header of a data frame with its body, and the
// opening of a stream with the first data. Each would make a TLS record and a TCP segment of its own.
// An opening may wait here because the caller of OpenStream in this package always writes to the stream or closes it.
// yamux writes from one goroutine, so there is no lock.
type coalescingConn struct {
	net.Conn
	meter     *sessionMeter
	pending   []byte
	awaitBody bool // the last pending bytes are the header of a data frame
}

// Write holds back the frames that are joined with the next write.
func (c *coalescingConn) Write(b []byte) (int, error) {
	c.meter.outgoing.parse(b)
	if !c.awaitBody && len(b) == yamuxHeaderBytes {
		c.awaitBody = startsData(b)
		if c.awaitBody || opensStream(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
	}
	c.awaitBody = false
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	joined := append(c.pending, b...)
	c.pending = joined[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Read counts what was read.
func (c *coalescingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.incoming.parse(b[:n])
	return n, err
}

func startsData(header []byte) bool {
	return header[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(header[yamuxLengthOffset:]) > 0
}

func opensStream(header []byte) bool {
	return header[yamuxTypeOffset] == yamuxTypeWindowUpdate &&
		binary.BigEndian.Uint16(header[yamuxFlagsOffset:]) == yamuxFlagSYN
}
