package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// unreadBodyTimeout is how long net/http may go on reading the body of a request that was rejected.
const unreadBodyTimeout = 200 * time.Millisecond

// rejectUnread answers a request with an error at once, without reading its body.
func rejectUnread(w http.ResponseWriter, r *http.Request, err *apiError) {
	if r.ContentLength != 0 {
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()                                 // otherwise net/http reads the body before it answers
		_ = rc.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // both calls are supported by net/http's connections
		w.Header().Set("Connection", "close")
	}
	err.writeTo(w)
}

// readBody reads a request's whole body within the limits of size, time and memory. The caller must call release once it no longer
// holds the body.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err *apiError) {
	if v := r.Header.Get("Content-Encoding"); v != "" && v != "identity" {
		return nil, nil, notRunError(http.StatusUnsupportedMediaType, "unsupported_encoding", "encoded bodies are not taken")
	}
	if r.ContentLength > limit {
		return nil, nil, tooLarge()
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !g.bodies.TryAcquire(reserved) {
		return nil, nil, notRunError(http.StatusServiceUnavailable, "overloaded", "too many requests are being read").after(time.Second)
	}
	release = func() { g.bodies.Release(reserved) }
	rc := http.NewResponseController(w)
	allowed := g.opts.BodyTimeout + time.Duration(reserved/g.opts.BodyRate)*time.Second
	_ = rc.SetReadDeadline(time.Now().Add(allowed)) // supported by net/http's connections
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if readErr != nil {
		release()
		return nil, nil, bodyError(readErr)
	}
	_ = rc.SetReadDeadline(time.Time{}) // net/http goes on reading, to notice that the caller disconnects
	return body, release, nil
}

func tooLarge() *apiError {
	return notRunError(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the route takes")
}

func bodyError(err error) *apiError {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge()
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return notRunError(http.StatusRequestTimeout, "body_timeout", "the body came too slowly")
	}
	return notRunError(http.StatusBadRequest, "body_incomplete", "the body could not be read")
}
