package gateway

import (
	"net/http"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// eventWriter sends server-sent events. Its headers go out with the first event, so that a failure before it is answered with a
// status of its own.
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

// done sends the mark of a whole stream.
func (e *eventWriter) done() { _ = e.event([]byte("[DONE]")) } // a caller that is gone needs no mark

// fail ends a stream that is not whole.
func (e *eventWriter) fail(err *apiError) { _ = e.event(err.body()) } // a caller that is gone needs no error
