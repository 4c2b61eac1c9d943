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

// unsentError reports a request of which no byte has left this instance.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "the endpoint was not reached: " + e.cause.Error() }

func (e *unsentError) Unwrap() error { return e.cause }

// send makes one round trip. It follows no redirect, since that would send the request again. An *unsentError means that no
// byte of the request was written. check, if set, is called right before the first byte: connecting may have taken long, or
// the process may have been paused. Its error is returned as a *finalError.
func (d *Dispatcher) send(t *http.Transport, req *http.Request, check func() error) (*http.Response, error) {
	var got atomic.Pointer[countedConn]
	var reused atomic.Bool
	var refused atomic.Pointer[error]
	ctx, cancel := context.WithCancel(req.Context())
	gate := func() error {
		err := check()
		if err != nil {
			refused.Store(&err)
			cancel() // net/http would try another connection
		}
		return err
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			got.Store(c)
			c.check.Store(nil) // of an earlier request that was never written
			if check != nil {
				c.check.Store(&gate)
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
	// A reused connection has carried earlier requests, so its count says nothing about this one.
	if c := got.Load(); c == nil || (!reused.Load() && !c.written.Load()) {
		return nil, &unsentError{err}
	}
	return nil, err
}

// cancelBody ends the request's context with its answer.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the answer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// answerHeaders are the headers of an endpoint's answer that reach the caller.
var answerHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

var errAnswerTooLarge = errors.New("the endpoint's answer is too large")

// readAnswer reads a whole answer. net/http returns an error if the body ends before its declared length or last chunk.
// A body without either cannot be told from a cut one and is refused.
func (d *Dispatcher) readAnswer(resp *http.Response) (*operations.Answer, error) {
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
