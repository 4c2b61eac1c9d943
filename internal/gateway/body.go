package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// unreadTime is how long net/http may go on to take in a body that nobody will read.
const unreadTime = 200 * time.Millisecond

// refuseUnread answers a request whose body has not been read, at once and without waiting for the body.
func refuseUnread(w http.ResponseWriter, r *http.Request, err *apiError) {
	if r.ContentLength != 0 {
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()                          // else net/http reads the body before it answers
		_ = rc.SetReadDeadline(time.Now().Add(unreadTime)) // both exist on net/http's own connections
		w.Header().Set("Connection", "close")
	}
	err.writeTo(w)
}

// readBody reads a whole body within its limits of size, time and memory. release must be called once the body is no longer
// held.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err *apiError) {
	if v := r.Header.Get("Content-Encoding"); v != "" && v != "identity" {
		return nil, nil, refuse(http.StatusUnsupportedMediaType, "unsupported_encoding", "encoded bodies are not taken")
	}
	if r.ContentLength > limit {
		return nil, nil, tooLarge()
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !g.bodies.TryAcquire(reserved) {
		return nil, nil, refuse(http.StatusServiceUnavailable, "overloaded", "too many requests are being read").after(time.Second)
	}
	release = func() { g.bodies.Release(reserved) }
	rc := http.NewResponseController(w)
	allowed := g.opts.BodyTimeout + time.Duration(reserved/g.opts.BodyRate)*time.Second
	_ = rc.SetReadDeadline(time.Now().Add(allowed)) // exists on net/http's own connections
	body, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if readErr != nil {
		release()
		return nil, nil, bodyError(readErr)
	}
	_ = rc.SetReadDeadline(time.Time{}) // the connection is read on, to notice that the caller leaves
	return body, release, nil
}

func tooLarge() *apiError {
	return refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the route takes")
}

func bodyError(err error) *apiError {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge()
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return refuse(http.StatusRequestTimeout, "body_timeout", "the body came too slowly")
	}
	return refuse(http.StatusBadRequest, "body_incomplete", "the body could not be read")
}
