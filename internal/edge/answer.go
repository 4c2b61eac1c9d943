package edge

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/sse"
)

const (
	// defaultMaxBodyBytes bounds a caller's body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedBody is the size up to which an answer is buffered completely before it is written to the caller, so that the
	// request can be retried if the answer breaks off. Plain services answer with a few kilobytes.
	maxBufferedBody = 64 << 10
	// readRestTimeout bounds the wait for the rest of a rejected request: some round trips over a wide area, with a packet sent again.
	readRestTimeout = time.Second
)

// errorBody is the body of the errors that the gateway itself answers with.
type errorBody struct {
	Error   string `json:"error"`
	Request string `json:"request,omitempty"` // id of the request, by which the log lines are found
}

// reject answers with an error of the gateway itself. It always returns false, which its callers return in turn to end the
// request. Statuses 429 and 503 promise that the request has not run and never will.
func (x *exchange) reject(status int, reason string, retryAfter time.Duration) bool {
	x.outcome.status = status
	if x.outcome.reason == "" {
		x.outcome.reason = reason
	}
	h := x.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", x.edge.options.Dialect.FormatRetryAfter(retryAfter))
	}
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(errorBody{Error: reason, Request: x.head.ID})
	if err != nil {
		body = nil // the status alone tells the caller enough
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A caller that has disconnected does not need the answer.
	_, _ = x.w.Write(body)
	if x.r.Close && status != http.StatusRequestEntityTooLarge { // what is over the limit is not read
		x.readRest()
	}
	return false
}

// readRest reads the rest of the request's body after the answer. A connection that is closed with bytes unread is reset, and the reset may
// overtake the answer. net/http reads the rest itself unless the caller has asked for the connection to be closed.
func (x *exchange) readRest() {
	control := http.NewResponseController(x.w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(readRestTimeout)) != nil {
		return // the caller has left
	}
	// What is left after that belongs to a caller that does not take the answer.
	_, _ = io.CopyN(io.Discard, x.r.Body, defaultMaxBodyBytes)
}

// writeAnswer writes an endpoint's answer to the caller. It returns a failure if the answer is not complete, so that the
// request must be retried or given up.
func (x *exchange) writeAnswer(r *reply) *failure {
	ahead := x.edge.aheads.wrap(r.body)
	r.body = ahead
	defer ahead.Close()
	if x.wroteHead && (r.status != http.StatusOK || !isEventStream(r.header)) {
		// Its head and body would stand inside the stream that the caller is reading.
		return &failure{kind: broken, endpoint: r.endpoint, reason: "endpoint did not resume the stream, status " + strconv.Itoa(r.status)}
	}
	if isEventStream(r.header) && r.status == http.StatusOK {
		return x.writeEvents(r, ahead)
	}
	return x.writeBody(r, ahead)
}

// failedAnswer is the complete answer of an endpoint with an error status.
type failedAnswer struct {
	reply
	content []byte
}

// writeFailedAnswer writes an endpoint's error answer to the caller after retries have not succeeded either.
func (x *exchange) writeFailedAnswer() {
	r := &x.failed.reply
	x.writeHead(r, len(x.failed.content))
	x.outcome.endpoint, x.outcome.reason = r.endpoint, "endpoint failed"
	// A caller that has disconnected does not need the answer.
	_, _ = x.w.Write(x.failed.content)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// writeBody writes an answer that is not a stream. A short one is buffered first, and kept in x.failed if it is an error answer
// to a request that may be retried.
func (x *exchange) writeBody(r *reply, ahead *readAhead) *failure {
	var start bytes.Buffer
	_, err := io.CopyN(&start, r.body, maxBufferedBody)
	if err != nil && err != io.EOF {
		return &failure{kind: broken, endpoint: r.endpoint, reason: "answer broke off: " + err.Error()}
	}
	whole := err == io.EOF
	if whole && r.status >= http.StatusInternalServerError && x.route.Retryable() {
		x.failed = &failedAnswer{reply: *r, content: start.Bytes()}
		return &failure{kind: badAnswer, endpoint: r.endpoint, reason: "endpoint failed with status " + strconv.Itoa(r.status)}
	}
	length := unknownLength
	if whole {
		length = start.Len()
	}
	x.writeHead(r, length)
	out := callerWriter{w: x.w, ahead: ahead}
	if _, err := out.Write(start.Bytes()); err != nil {
		x.outcome.reason = "caller has left"
		return nil
	}
	if whole {
		return nil
	}
	if _, err := io.Copy(out, r.body); err != nil {
		x.outcome.reason = "answer broke off: " + err.Error()
		x.breakOff()
	}
	return nil
}

// breakOff ends the connection to the caller, and the request, in an answer that cannot be completed. A caller of HTTP/1.0 takes the end of
// the connection for that of the answer unless it is reset, since its answer has no chunks.
func (x *exchange) breakOff() {
	if !x.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				_ = tcp.SetLinger(0) // fails only if the connection has ended
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// unknownLength is the length of a body that is written to the caller as it arrives.
const unknownLength = -1

// writeHead writes the status and headers of the endpoint's answer.
func (x *exchange) writeHead(r *reply, length int) {
	h := x.w.Header()
	for name, values := range withoutHopByHop(r.header) {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	if length != unknownLength {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.wroteHead = true
	x.keep()
	x.outcome.status = r.status
	x.outcome.reason = ""
	x.outcome.firstByte = x.edge.clock.Now().Sub(x.arrived)
	x.w.WriteHeader(r.status)
}

// writeEvents writes the events of a stream as they arrive. Incomplete events are not written, and neither is anything that does not
// continue the events that the caller has.
func (x *exchange) writeEvents(r *reply, ahead *readAhead) *failure {
	events := sse.NewReader(r.body)
	out := callerWriter{w: x.w, flush: http.NewResponseController(x.w), ahead: ahead}
	join := x.continuation()
	for {
		event, err := events.NextRaw()
		if err == io.EOF {
			if reason := join.checkEnd(); reason != "" {
				return &failure{kind: broken, endpoint: r.endpoint, reason: reason}
			}
			if !x.wroteHead {
				x.writeHead(r, unknownLength)
			}
			return nil
		}
		if err != nil {
			return &failure{kind: broken, endpoint: r.endpoint, reason: "stream broke off: " + err.Error()}
		}
		if x.alreadySent(event.ID) {
			continue
		}
		if reason := join.check(event); reason != "" {
			return &failure{kind: broken, endpoint: r.endpoint, reason: reason}
		}
		if !x.wroteHead {
			x.writeHead(r, unknownLength)
		}
		if _, err := out.Write(event.Raw); err != nil {
			x.outcome.reason = "caller has left"
			return nil
		}
		x.recordEvent(event)
	}
}

// alreadySent reports whether the caller already has an event: a resumed stream may begin with events that were sent before.
func (x *exchange) alreadySent(id string) bool {
	if id == "" || x.lastEventID == "" {
		return false
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(x.lastEventID, 10, 64)
	return err == nil && lastErr == nil && next <= last
}
