package peer

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// sender is the sending half of a stream, on either side.
type sender struct {
	limit   int // bytes of a message
	metrics *serviceMetrics

	sendMu sync.Mutex
	ended  bool // the own side has sent its last frame; guarded by sendMu
}

// send writes a frame. An error of the connection is returned as failed gives it.
func (s *sender) send(w io.Writer, kind frameKind, m proto.Message, failed func(error) error) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.ended {
		if kind == frameEnd {
			return nil
		}
		return errors.New("message after CloseSend")
	}
	frame, err := appendFrame(nil, kind, m, s.limit)
	if err != nil {
		return err
	}
	if _, err := writeAll(w, frame); err != nil {
		return failed(err)
	}
	s.ended = kind == frameEnd
	s.metrics.sent(len(frame))
	return nil
}
