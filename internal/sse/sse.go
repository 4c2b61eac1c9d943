// Package sse reads streams of server-sent events (WHATWG HTML, section 9.2).
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds the lines and the data of one event in bytes.
const maxEvent = 256 << 10

// ErrTooLarge reports an event above 1 MiB.
var ErrTooLarge = errors.New("server-sent event is too large")

// Reader reads the data of events; their names and ids are ignored.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader of a response body.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the data of the next event. It returns io.EOF, ErrTooLarge or another error of the connection if the stream ends
// without one; data of an event that the stream's end has cut is dropped.
func (e *Reader) Next() ([]byte, error) {
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
			return nil, ErrTooLarge
		}
	}
}

// Event is a whole event as it was received.
type Event struct {
	ID  string // the value of its last id field, empty if it has none
	Raw []byte // with the empty line that ends it
	// Empty reports that the event has neither data nor an id, for example because it holds comments only. Callers ignore it.
	Empty bool
	// Foreign reports a line that is no field: neither one that the format defines nor a name and a colon. It may be the head of another
	// response.
	Foreign bool
	// Unknown reports a field that the format does not define. Receivers ignore it.
	Unknown bool
}

// addField records a line of the event without its end.
func (e *Event) addField(line []byte) {
	name, value, named := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		e.Empty = e.Empty && e.ID == ""
	case "data":
		e.Empty = false
	case "", "event", "retry": // an empty name begins a comment
	default:
		e.Unknown = true
		e.Foreign = e.Foreign || !named || bytes.ContainsFunc(name, notInName)
	}
}

// notInName reports whether a character does not occur in names of fields: they have letters, digits and the signs of header names.
func notInName(c rune) bool {
	return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.'
}

// byteOrderMark may precede a stream.
var byteOrderMark = []byte("\ufeff")

// NextRaw returns the next whole event with all its fields, for a reader that passes events on. Errors are
// those of Next, and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *Reader) NextRaw() (Event, error) {
	event := Event{Empty: true}
	for {
		raw, err := e.rawLine()
		if err == io.EOF && len(event.Raw)+len(raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		event.Raw = append(event.Raw, raw...)
		if len(event.Raw) > maxEvent {
			return Event{}, ErrTooLarge
		}
		line := bytes.TrimRight(raw, "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		event.addField(bytes.TrimPrefix(line, byteOrderMark))
	}
}

// line reads a line without its end.
func (e *Reader) line() ([]byte, error) {
	raw, err := e.rawLine()
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(raw, "\r\n"), nil
}

// rawLine reads a line with its end. With an error it returns what came before.
func (e *Reader) rawLine() ([]byte, error) {
	var out []byte
	for {
		part, err := e.r.ReadSlice('\n')
		out = append(out, part...)
		if len(out) > maxEvent {
			return out, ErrTooLarge
		}
		if err == nil {
			return out, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return out, err
		}
	}
}
