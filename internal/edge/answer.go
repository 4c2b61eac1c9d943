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
	// maxBodyBytes bounds a caller's body where the configuration names no limit.
	maxBodyBytes = 4 << 20
	// wholeBody is the size up to which an answer is read whole before it is passed on, so that a broken one can be tried
	// again. Plain services answer with a few kilobytes.
	wholeBody = 64 << 10
)

// errorBody is the body of the system's own refusals.
type errorBody struct {
	Error string `json:"error"`
}

// refuse answers with a failure of the system's own. It returns false, for callers that stop then. Statuses 429 and 503 promise
// that the request has not run and never will.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) bool {
	x.outcome.status = status
	if x.outcome.reason == "" {
		x.outcome.reason = reason
	}
	h := x.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", x.edge.options.Dialect.RetryAfter(retryAfter))
	}
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(errorBody{Error: reason})
	if err != nil {
		body = nil // the status says enough
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A caller that has left does not need the answer.
	_, _ = x.w.Write(body)
	return false
}

// pass passes an endpoint's answer on. It returns a failure if the answer is not complete and the request may be tried again or
// must be given up.
func (x *exchange) pass(r *reply) *failure {
	defer r.body.Close()
	if x.wroteHead && r.status != http.StatusOK {
		return &failure{kind: broken, endpoint: r.endpoint, reason: "endpoint refused to resume with status " + strconv.Itoa(r.status)}
	}
	if isEventStream(r.header) && r.status == http.StatusOK {
		return x.passEvents(r)
	}
	return x.passBody(r)
}

// failedAnswer is an endpoint's whole answer with a failure status.
type failedAnswer struct {
	reply
	content []byte
}

// passFailed passes on the failure of an endpoint after the repeat has not succeeded either.
func (x *exchange) passFailed() {
	r := &x.failed.reply
	x.writeHead(r, len(x.failed.content))
	x.outcome.endpoint, x.outcome.reason = r.endpoint, "endpoint failed"
	// A caller that has left does not need the answer.
	_, _ = x.w.Write(x.failed.content)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// passBody passes on a plain answer. A short one is read whole first, and kept if it is a failure of a request that may be tried
// again.
func (x *exchange) passBody(r *reply) *failure {
	var start bytes.Buffer
	_, err := io.CopyN(&start, r.body, wholeBody)
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
	if _, err := x.w.Write(start.Bytes()); err != nil {
		x.outcome.reason = "caller has left"
		return nil
	}
	if whole {
		return nil
	}
	if _, err := io.Copy(x.w, r.body); err != nil {
		x.outcome.reason = "answer broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// unknownLength is the length of a body that is passed on as it comes.
const unknownLength = -1

// writeHead writes the head of the answer, with the headers of the endpoint.
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
	x.outcome.status = r.status
	x.outcome.reason = ""
	x.outcome.first = x.edge.clock.Now().Sub(x.arrived)
	x.w.WriteHeader(r.status)
}

// passEvents passes on the events of a stream as they come. Only whole events are passed on.
func (x *exchange) passEvents(r *reply) *failure {
	events := sse.NewReader(r.body)
	control := http.NewResponseController(x.w)
	for {
		event, err := events.NextRaw()
		if err == io.EOF {
			if !x.wroteHead {
				x.writeHead(r, unknownLength)
			}
			return nil
		}
		if err != nil {
			return &failure{kind: broken, endpoint: r.endpoint, reason: "stream broke off: " + err.Error()}
		}
		if x.isOld(event.ID) {
			continue
		}
		if !x.wroteHead {
			x.writeHead(r, unknownLength)
		}
		if _, err := x.w.Write(event.Raw); err != nil {
			x.outcome.reason = "caller has left"
			return nil
		}
		if err := control.Flush(); err != nil {
			x.outcome.reason = "caller has left"
			return nil
		}
		x.events++
		if event.ID != "" {
			x.lastEvent = event.ID
		}
	}
}

// isOld reports whether the caller has an event already: a resumed stream may begin with events that were passed on.
func (x *exchange) isOld(id string) bool {
	if id == "" || x.lastEvent == "" {
		return false
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(x.lastEvent, 10, 64)
	return err == nil && lastErr == nil && next <= last
}
