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
	DefaultTimeout   = 5 * time.Second  // of one call whose context has no earlier deadline
	DefaultWatchWait = 25 * time.Second // after which a watch is asked again
	// watchGrace is how much longer than its wait a watch may take: a wide-area round trip with retransmission.
	watchGrace = 2 * time.Second
	// maxIdleConns bounds the idle connections to one service. Calls of one instance rarely overlap more than this.
	maxIdleConns    = 16
	idleConnTimeout = 90 * time.Second
	// maxAnswerBytes bounds an answer: a list of values of up to MaxValueBytes in base64.
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 4 << 10
)

// ClientOptions configure the HTTP client of one service.
type ClientOptions struct {
	// URL is the service's base, such as http://10.0.0.1:7000.
	URL string
	// Timeout bounds one call. 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchWait is the time after which a watch is asked again. Each time counts as a read. 0 means DefaultWatchWait.
	WatchWait time.Duration
	// Transport carries the calls. Nil means a transport of the client's own with pooled connections. A transport must
	// not repeat a write after part of it was sent; http.Transport does not.
	Transport http.RoundTripper
}

// Validate returns all findings about the options, joined.
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

// client makes calls and maps their failures to the errors of this package.
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
	wait   time.Duration // how long the service may hold the call
}

// answer is a complete answer of a service.
type answer struct {
	status int
	body   []byte
}

// do makes one call. The answer has status 200, 202 or 204; every other status is an error.
func (c *client) do(ctx context.Context, in call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, err
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, c.timeout+in.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, in)
	if err != nil {
		return answer{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, transportError(caller, in, err, connected.Load())
	}
	defer resp.Body.Close()
	limit := int64(maxAnswerBytes)
	if resp.StatusCode >= http.StatusBadRequest {
		limit = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, transportError(caller, in, err, true)
	}
	if int64(len(body)) > limit && limit == maxAnswerBytes {
		return answer{}, errors.Newf("%s %s: answer is larger than %d bytes", in.method, in.path, limit)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return answer{status: resp.StatusCode, body: body}, nil
	}
	return answer{}, statusError(in, resp.StatusCode, body)
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

// transportError describes a call without a complete answer. A write may have taken effect as soon as it had a connection.
// The end of the caller's context is no finding about the service, so it is not marked ErrUnavailable.
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

// statusError maps an error status. The platform says that 429 and 503 had no effect; any other failure of the service
// leaves a write open.
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

// decode reads the JSON of an answer. A write whose answer cannot be read has an unknown result.
func decode(in call, a answer, out any) error {
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
