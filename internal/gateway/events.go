package gateway

import (
	"net/http"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// eventWriter sends server-sent events. The headers are sent with the first event, so that an error before it can still be answered
// with its own status.
type eventWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	started bool
}

func newEventWriter(w http.ResponseWriter, timeout time.Duration) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

func (e *eventWriter) event(data []byte) error {
	if !e.started {
		e.started = true
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream; charset=utf-8")
		h.Set("Cache-Control", "no-cache")
		h.Set(headerExecution, string(operations.Ran))
		e.w.WriteHeader(http.StatusOK)
	}
	if err := e.rc.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := e.w.Write(line); err != nil {
		return err
	}
	return e.rc.Flush()
}

// done sends the event that marks the stream as complete.
func (e *eventWriter) done() { _ = e.event([]byte("[DONE]")) } // an error means that the caller has disconnected

// fail ends an incomplete stream with an error event.
func (e *eventWriter) fail(err *apiError) { _ = e.event(err.body()) } // an error means that the caller has disconnected
