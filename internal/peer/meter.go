package peer

import (
	"encoding/binary"
	"sync"

	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

const (
	yamuxStreamOffset = 4
	yamuxFlagFIN      = 4
	yamuxFlagRST      = 8
	// tlsRecordBytes is what TLS 1.3 adds to a record: header, content type and tag. tlsMaxRecord is its largest content.
	tlsRecordBytes = 5 + 1 + 16
	tlsMaxRecord   = 16 << 10
)

// sessionMeter attributes the yamux frames of a session to the services of their streams. Frames without a known stream,
// such as pings, are counted as traffic.PeerSessions.
type sessionMeter struct {
	mu      sync.Mutex
	streams map[uint32]*streamMeter
	other   *traffic.Counter

	outgoing, incoming frameParser // each used by one goroutine of yamux
}

// streamMeter holds the bytes of a stream until its service is known.
type streamMeter struct {
	service        *traffic.Counter
	named          bool
	sent, received int
	ended          [2]bool // by this side, by the peer
}

func newSessionMeter(m *traffic.Meter) *sessionMeter {
	s := &sessionMeter{streams: map[uint32]*streamMeter{}, other: m.Kind(traffic.PeerSessions)}
	s.outgoing.frame = func(header []byte) { s.count(header, true) }
	s.incoming.frame = func(header []byte) { s.count(header, false) }
	return s
}

// name tells the service of a stream.
func (s *sessionMeter) name(stream uint32, service *traffic.Counter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.streams[stream]
	if m == nil {
		return // it was reset
	}
	m.service, m.named = service, true
	m.flush()
	s.forget(stream, m)
}

func (m *streamMeter) flush() {
	m.service.Sent(m.sent)
	m.service.Received(m.received)
	m.sent, m.received = 0, 0
}

// forget removes a stream that has ended on both sides.
func (s *sessionMeter) forget(stream uint32, m *streamMeter) {
	if m.ended[0] && m.ended[1] {
		delete(s.streams, stream)
	}
}

func (s *sessionMeter) count(header []byte, sent bool) {
	flags := binary.BigEndian.Uint16(header[yamuxFlagsOffset:])
	stream := binary.BigEndian.Uint32(header[yamuxStreamOffset:])
	size := frameBytes(header)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.streams[stream]
	if m == nil && flags&yamuxFlagSYN != 0 && header[yamuxTypeOffset] <= yamuxTypeWindowUpdate {
		m = &streamMeter{}
		s.streams[stream] = m
	}
	switch {
	case m == nil && sent:
		s.other.Sent(size)
		return
	case m == nil:
		s.other.Received(size)
		return
	case sent:
		m.sent += size
		m.ended[0] = m.ended[0] || flags&yamuxFlagFIN != 0
	default:
		m.received += size
		m.ended[1] = m.ended[1] || flags&yamuxFlagFIN != 0
	}
	if flags&yamuxFlagRST != 0 {
		m.ended = [2]bool{true, true}
		if !m.named {
			m.service, m.named = s.other, true
		}
	}
	if m.named {
		m.flush()
		s.forget(stream, m)
	}
}

// frameBytes is what a frame takes on the connection: coalescingConn gives each but an opening a TLS record of its own.
func frameBytes(header []byte) int {
	if opensStream(header) {
		return yamuxHeaderBytes
	}
	size := yamuxHeaderBytes
	if header[yamuxTypeOffset] == yamuxTypeData {
		size += int(binary.BigEndian.Uint32(header[yamuxLengthOffset:]))
	}
	return size + tlsRecordBytes*((size+tlsMaxRecord-1)/tlsMaxRecord)
}

// frameParser finds the headers of yamux frames in a sequence of bytes.
type frameParser struct {
	frame  func(header []byte)
	header [yamuxHeaderBytes]byte
	filled int
	body   int // bytes of the current frame that follow
}

func (p *frameParser) parse(b []byte) {
	for len(b) > 0 {
		if p.body > 0 {
			n := min(p.body, len(b))
			p.body -= n
			b = b[n:]
			continue
		}
		n := copy(p.header[p.filled:], b)
		p.filled += n
		b = b[n:]
		if p.filled < yamuxHeaderBytes {
			return
		}
		p.filled = 0
		if p.header[yamuxTypeOffset] == yamuxTypeData {
			p.body = int(binary.BigEndian.Uint32(p.header[yamuxLengthOffset:]))
		}
		p.frame(p.header[:])
	}
}
