package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults and bounds of the HTTP clients.
const (
	DefaultTimeout   = 5 * time.Second  // of one call; an earlier deadline of its context applies first
	DefaultWatchWait = 25 * time.Second // after which a watch call is repeated
	// watchGrace is added to the wait of a watch to get the time-out of its call. It covers a wide-area round trip with a
	// retransmission.
	watchGrace = 2 * time.Second
	// maxIdleConns bounds the idle connections to one service. Calls of one instance rarely overlap more than this.
	maxIdleConns    = 16
	idleConnTimeout = 90 * time.Second
	// maxResponseBytes bounds a response: a list of values of up to MaxValueBytes in base64.
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 4 << 10
)

// ClientOptions configure the HTTP client of one service.
type ClientOptions struct {
	// URL is the service's base URL, such as http://10.0.0.1:7000.
	URL string
	// Timeout bounds one call. 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchWait is the time after which a watch call without a change is repeated. Each call counts as a read. 0 means
	// DefaultWatchWait.
	WatchWait time.Duration
	// Transport sends the calls. Nil means a new transport with pooled connections. A transport must not retry a write after
	// part of it was sent; http.Transport does not.
	Transport http.RoundTripper
}

// Validate returns all problems of the options, joined, or nil.
func (o ClientOptions) Validate() error {
	var found []error
	if u, err := url.Parse(o.URL); err != nil {
		found = append(found, errors.Wrap(err, "platform service URL"))
	} else if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		found = append(found, errors.Newf("platform service URL %q is not an http URL with a host", o.URL))
	}
	if o.Timeout < 0 {
		found = append(found, errors.Newf("platform timeout %v is negative", o.Timeout))
	}
	if o.WatchWait < 0 {
		found = append(found, errors.Newf("platform watch wait %v is negative", o.WatchWait))
	}
	return errors.Join(found...)
}

// client calls a service over HTTP and maps failures to the errors of this package.
type client struct {
	base      string
	timeout   time.Duration
	watchWait time.Duration
	http      *http.Client
}

func newClient(o ClientOptions) (*client, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	c := &client{
		base:      strings.TrimRight(o.URL, "/"),
		timeout:   o.Timeout,
		watchWait: o.WatchWait,
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.watchWait == 0 {
		c.watchWait = DefaultWatchWait
	}
	transport := o.Transport
	if transport == nil {
		transport = newTransport()
	}
	c.http = &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // the platform never redirects, and a write must not be sent twice
		},
	}
	return c, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (c *client) Close() { c.http.CloseIdleConnections() }

// call is one request to a service.
type call struct {
	method string
	path   string // with escaped segments
	query  url.Values
	body   any // encoded as JSON; nil sends none
	write  bool
	hold   time.Duration // how long the service may hold the call before it responds
}

// response is a complete response of a service.
type response struct {
	status int
	body   []byte
}

// do makes one call. It returns an error unless the response has status 200, 202 or 204.
func (c *client) do(ctx context.Context, in call) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, err
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, c.timeout+in.hold)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, in)
	if err != nil {
		return response{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, transportError(caller, in, err, connected.Load())
	}
	defer resp.Body.Close()
	limit := int64(maxResponseBytes)
	if resp.StatusCode >= http.StatusBadRequest {
		limit = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, transportError(caller, in, err, true)
	}
	if int64(len(body)) > limit && limit == maxResponseBytes {
		return response{}, errors.Newf("%s %s: answer is larger than %d bytes", in.method, in.path, limit)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return response{status: resp.StatusCode, body: body}, nil
	}
	return response{}, statusError(in, resp.StatusCode, body)
}

func (c *client) request(ctx context.Context, in call) (*http.Request, error) {
	target := c.base + in.path
	if len(in.query) > 0 {
		target += "?" + in.query.Encode()
	}
	var body io.Reader
	if in.body != nil {
		data, err := json.Marshal(in.body)
		if err != nil {
			return nil, errors.Wrapf(err, "encode body of %s %s", in.method, in.path)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, in.method, target, body)
	if err != nil {
		return nil, errors.Wrapf(err, "build %s %s", in.method, in.path)
	}
	if in.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// transportError returns the error of a call without a complete response. A write that got a connection may have taken effect, so
// it is marked ErrUnknownOutcome. The end of the caller's context says nothing about the service, so it is not marked ErrUnavailable.
func transportError(caller context.Context, in call, err error, connected bool) error {
	callerErr := caller.Err()
	if callerErr != nil && !errors.Is(err, callerErr) {
		err = errors.CombineErrors(callerErr, err)
	}
	err = errors.Wrapf(err, "%s %s", in.method, in.path)
	if in.write && connected {
		return errors.Mark(err, ErrUnknownOutcome)
	}
	if callerErr != nil {
		return err
	}
	return errors.Mark(err, ErrUnavailable)
}

// statusError maps an HTTP error status to an error. By the platform's protocol, a call answered with 429 or 503 had no effect;
// after any other 5xx status the outcome of a write is unknown.
func statusError(in call, status int, body []byte) error {
	text := strings.TrimSpace(string(body))
	err := errors.Newf("%s %s: status %d: %s", in.method, in.path, status, text)
	switch status {
	case http.StatusNotFound:
		return errors.Mark(err, ErrNotFound)
	case http.StatusConflict:
		return errors.Mark(err, ErrConflict)
	case http.StatusGone:
		return errors.Mark(err, ErrLeaseLost)
	case http.StatusRequestEntityTooLarge:
		return errors.Mark(err, ErrTooLarge)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Mark(err, ErrUnavailable)
	}
	if status < http.StatusInternalServerError {
		return err
	}
	if in.write {
		return errors.Mark(err, ErrUnknownOutcome)
	}
	return errors.Mark(err, ErrUnavailable)
}

// decode decodes the JSON body of a response. A write whose response is not valid has an unknown outcome.
func decode(in call, a response, out any) error {
	if err := json.Unmarshal(a.body, out); err != nil {
		err = errors.Wrapf(err, "%s %s: answer is not valid", in.method, in.path)
		if in.write {
			return errors.Mark(err, ErrUnknownOutcome)
		}
		return err
	}
	return nil
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
