package peer

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// frameKind tells the frames of a stream apart.
type frameKind byte

const (
	frameHeader  frameKind = 1 // CallHeader, first frame of the calling side
	frameMessage frameKind = 2 // message of the service
	frameEnd     frameKind = 3 // no message follows from this side
	frameError   frameKind = 4 // CallError, last frame of the serving side
)

// frameOverhead is the size of a frame without its payload: the payload's length (4 bytes, big endian) and the kind.
const frameOverhead = 5

// errFrameTooLarge reports a frame above the size limit.
var errFrameTooLarge = errors.New("frame exceeds the size limit")

// appendFrame appends a frame with the encoded message to b. A nil message makes an empty payload.
func appendFrame(b []byte, kind frameKind, m proto.Message, limit int) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(kind))
	if m != nil {
		var err error
		if b, err = (proto.MarshalOptions{}).MarshalAppend(b, m); err != nil {
			return b[:start], errors.Wrap(err, "encode message")
		}
	}
	size := len(b) - start - frameOverhead
	if size > limit {
		return b[:start], errors.Wrapf(errFrameTooLarge, "%d of %d bytes", size, limit)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(size))
	return b, nil
}

// readFrame reads one frame. It returns io.EOF if the reader ends before the first byte of the frame.
func readFrame(r io.Reader, limit int) (frameKind, []byte, error) {
	return readFrameIf(r, limit, nil)
}

// readFrameIf reads one frame like readFrame. admit, if not nil, is called with the size of the payload before it is read; its error is
// returned.
func readFrameIf(r io.Reader, limit int, admit func(size int) error) (frameKind, []byte, error) {
	var head [frameOverhead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if int64(size) > int64(limit) {
		return 0, nil, errors.Wrapf(errFrameTooLarge, "%d of %d bytes", size, limit)
	}
	if admit != nil {
		if err := admit(int(size)); err != nil {
			return 0, nil, err
		}
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	return frameKind(head[4]), payload, nil
}
