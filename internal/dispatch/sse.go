package dispatch

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

var errEventTooLarge = errors.New("event of the endpoint is too large")

// eventReader reads the data of server-sent events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the data of the next event. It returns io.EOF, or another error of the connection, if the stream ends without
// one; data of an event that the stream's end has cut is dropped.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	seen := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // comments, names and ids of events carry nothing
		}
		if seen {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		seen = true
		if len(data) > maxEvent {
			return nil, errEventTooLarge
		}
	}
}

// line reads a line without its end.
func (e *eventReader) line() ([]byte, error) {
	var out []byte
	for {
		part, err := e.r.ReadSlice('\n')
		out = append(out, part...)
		if len(out) > maxEvent {
			return nil, errEventTooLarge
		}
		if err == nil {
			return bytes.TrimRight(out, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
