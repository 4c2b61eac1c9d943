package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// unsentError is the error of a request of which no byte was written.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "the endpoint was not reached: " + e.cause.Error() }

func (e *unsentError) Unwrap() error { return e.cause }

// send makes one round trip. It follows no redirect, since that would send the request again. An *unsentError means that no
// byte of the request was written. check, if set, is called right before the first byte, since connecting may have taken long or the
// process may have been paused. Its error is returned as a *finalError.
func (d *Dispatcher) send(t *http.Transport, req *http.Request, check func() error) (*http.Response, error) {
	var got atomic.Pointer[trackedConn]
	var reused atomic.Bool
	var refused atomic.Pointer[error]
	ctx, cancel := context.WithCancel(req.Context())
	gate := func() error {
		err := check()
		if err != nil {
			refused.Store(&err)
			cancel() // otherwise net/http would try another connection
		}
		return err
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			got.Store(c)
			c.beforeWrite.Store(nil) // may be left from an earlier request that was never written
			if check != nil {
				c.beforeWrite.Store(&gate)
			}
		}
		reused.Store(info.Reused)
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	injectTrace(ctx, req.Header)
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err == nil {
		resp.Body = &cancelBody{resp.Body, cancel}
		return resp, nil
	}
	defer cancel()
	if why := refused.Load(); why != nil {
		return nil, &finalError{&unsentError{*why}}
	}
	// A reused connection was written to by earlier requests, so its flag says nothing about this one.
	if c := got.Load(); c == nil || (!reused.Load() && !c.written.Load()) {
		return nil, &unsentError{err}
	}
	return nil, err
}

// cancelBody is a response body that cancels the request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the request's context.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// answerHeaders are the headers of an endpoint's response that are passed to the caller.
var answerHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

var errAnswerTooLarge = errors.New("the endpoint's answer is too large")

// readAnswer reads a complete response. net/http returns an error if the body ends before its declared length or last chunk.
// A body with neither cannot be distinguished from a truncated one, so it is an error.
func (d *Dispatcher) readAnswer(resp *http.Response) (*operations.Answer, error) {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > operations.MaxStatus {
		return nil, errors.Newf("the endpoint's answer has status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 && !chunked(resp) && mayHaveBody(resp) {
		return nil, errors.New("the endpoint's answer has no length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, d.opts.MaxAnswerBytes+1))
	if err != nil {
		return nil, &brokenError{err}
	}
	if int64(len(body)) > d.opts.MaxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	a := &operations.Answer{Status: resp.StatusCode, Header: http.Header{}, Body: body}
	for _, name := range answerHeaders {
		if v := resp.Header.Get(name); v != "" {
			a.Header.Set(name, v)
		}
	}
	a.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return a, nil
}

func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

func mayHaveBody(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent &&
		resp.StatusCode != http.StatusNotModified
}
