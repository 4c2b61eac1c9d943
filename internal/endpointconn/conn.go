// Package endpointconn is an HTTP/1.1 client for endpoints with a pool of persistent connections. Unlike net/http's client it never
// sends a request twice, reports whether any byte of a request may have reached the endpoint, and matches responses to requests by
// the request's id.
package endpointconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/netdial"
)

var (
	// ErrNotSent reports a request of which no byte was sent, so that it cannot have run.
	ErrNotSent = errors.New("request was not sent to the endpoint")
	// ErrBroken reports a request that was sent, in part or whole, and got no complete response. The endpoint may have run it.
	ErrBroken = errors.New("connection to the endpoint broke before the answer was complete")
	// ErrBadAnswer reports received bytes that are not a response to the request. The endpoint may have run the request.
	ErrBadAnswer = errors.New("endpoint has sent bytes that are not the answer to the request")
	// ErrKeepOpen marks an error of BeforeSend after which other requests may still use the connection.
	ErrKeepOpen = errors.New("connection may still be used")
)

const (
	// idleTimeoutFraction is the fraction of an endpoint's idle time-out for which an idle connection is used: the endpoint's timer starts
	// earlier, and its close takes time to arrive.
	idleTimeoutFraction = 0.5
	// defaultMaxIdle is how long an idle connection is used if the endpoint sends no idle time-out.
	defaultMaxIdle = 2 * time.Second
	// maxIdlePerEndpoint bounds this instance's idle connections to one endpoint, which serves connections of all other instances
	// too.
	maxIdlePerEndpoint = 32
	// maxInlineBody is the size in bytes of the largest body that is written before the response is read. Larger ones are written
	// while the response is read, because an endpoint may respond before it has read the body.
	maxInlineBody = 16 << 10
	// maxUnrelatedAnswers is the number of responses to other requests that are skipped before the response to this one.
	maxUnrelatedAnswers = 2
	// maxUnrelatedBytes bounds the body of a skipped response.
	maxUnrelatedBytes = 1 << 20
	readBuffer        = 4 << 10
	// maxHeadBytes bounds the heads that are read for one request, including those of interim and skipped responses: a faulty
	// endpoint may send header lines without end, and net/http would read them all. Normal heads have some hundred bytes.
	maxHeadBytes = 64 << 10
)

// Request is a request to an endpoint. Header names are in canonical form.
type Request struct {
	// Endpoint is the incarnation that the request is meant for. It is not sent on a connection that was opened for another one, which
	// may have had the same address.
	Endpoint catalog.Incarnation
	ID       string // the response repeats it
	Method   string
	URI      string // path and query, unchanged from the caller's request
	Host     string
	Header   http.Header
	Body     []byte
	// Parts is what follows Body, so that a large body need not be copied into one buffer.
	Parts [][]byte
	// FreshConnection asks for a new connection or one that was used within the last half second. It is set for requests that must not be
	// lost because the endpoint closes an idle connection at that moment.
	FreshConnection bool
	// BeforeSend, if not nil, is called once a connection is open and before the first byte is sent. If it returns an error, nothing is
	// sent, and Do returns that error, marked ErrNotSent. If the error is marked ErrKeepOpen, a reused connection remains idle.
	BeforeSend func() error
	// OnIdleClosed, if not nil, is called when an idle connection is found closed by the endpoint although it should have been open for
	// longer.
	OnIdleClosed func()
	// OnLateAnswer, if not nil, is called with the head of a response to this request or an earlier one that arrives where the response
	// to a later request on the connection is expected.
	OnLateAnswer func(status int, h http.Header)
	// OnTrailer, if not nil, is called with the trailer of the response, if it has one, once the body was read to its end.
	OnTrailer func(status int, trailer http.Header)
}

// Response is the head of a response. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after a complete response. A response without a length is complete when its connection is closed.
	Body io.ReadCloser
	// Framed says that a length or chunks tell where Body ends. Otherwise its end is that of the connection.
	Framed bool
	// ConnectedFor is how long the connection had been open when the head arrived. The process that answers has run for at least as long.
	ConnectedFor time.Duration
	// Open reports whether the endpoint has not closed the connection yet, even if not all of the response was read.
	Open func() bool
}

// Pool is a client with a pool of connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	answerID func(http.Header) string

	mu   sync.Mutex
	idle map[string][]*conn
	// dialled and reused count requests on new and on reused connections.
	dialled, reused int64
}

// NewPool returns a pool that opens connections with dial. answerID returns the id of the request that a response belongs to, or ""
// if its headers hold none.
func NewPool(dial func(ctx context.Context, network, addr string) (net.Conn, error), answerID func(http.Header) string) *Pool {
	return &Pool{dial: dial, answerID: answerID, idle: make(map[string][]*conn)}
}

type conn struct {
	net.Conn
	headReader *headReader
	addr       string
	endpoint   catalog.Incarnation
	openedAt   time.Time // with monotonic clock reading
	reader     *bufio.Reader
	idleSince  time.Time // when it became idle, with monotonic clock reading
	maxIdle    time.Duration
	carried    []string                        // ids of the latest requests, at most maxCarried
	onLate     func(status int, h http.Header) // of the last request, nil on a new connection
}

// headReader reads a connection. While it is bounded, it fails with errHeadTooLarge once the allowed bytes have been read.
type headReader struct {
	net.Conn
	bounded   bool
	remaining int // bytes, while bounded
}

var errHeadTooLarge = errors.New("head of an answer is too large")

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.Conn.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// readHead reads the head of a response. All heads read for one request share one limit.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headReader.bounded = true
	defer func() { c.headReader.bounded = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// Do sends the request and reads the head of its response. When ctx ends, the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.get(ctx, addr, req)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrNotSent)
	}
	reused := len(c.carried) > 0
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			if reused && errors.Is(err, ErrKeepOpen) {
				p.putBack(c)
			} else {
				_ = c.Close() // nothing else may use it while the endpoint wants no requests
			}
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	c.recordCarried(req.ID)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written, err := c.send(req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, sendError(err)
	}
	resp, err := p.readAnswer(c, req, reused)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	body := &body{ReadCloser: resp.Body, pool: p, conn: c, stopCancel: stop, written: written, reusable: reusable(resp),
		endsWithConn: !framed && resp.Body != http.NoBody}
	if req.OnTrailer != nil {
		body.onEnd = func() {
			if len(resp.Trailer) > 0 {
				req.OnTrailer(resp.StatusCode, resp.Trailer)
			}
		}
	}
	c.maxIdle, c.onLate = maxIdleTime(resp.Header), req.OnLateAnswer
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Framed: framed,
		ConnectedFor: time.Since(c.openedAt), Open: func() bool { return netdial.Established(c.Conn) }}, nil
}

// errNothingWritten marks a failed send of which no byte was written.
var errNothingWritten = errors.New("nothing was written")

func sendError(err error) error {
	if errors.Is(err, errNothingWritten) {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrBroken)
}

// send writes the request. If the body is written while the response is read, written receives the outcome; it is nil if the whole
// request has been written.
func (c *conn) send(req *Request) (written chan error, err error) {
	head := encodeHead(req)
	if req.bodySize() <= maxInlineBody {
		head = append(head, req.Body...)
		for _, part := range req.Parts {
			head = append(head, part...)
		}
		n, err := c.Write(head)
		if err != nil && n == 0 {
			err = errors.Mark(err, errNothingWritten)
		}
		return nil, err
	}
	if n, err := c.Write(head); err != nil {
		if n == 0 {
			err = errors.Mark(err, errNothingWritten)
		}
		return nil, err
	}
	written = make(chan error, 1)
	go func() {
		var err error
		for _, part := range append([][]byte{req.Body}, req.Parts...) {
			if err == nil && len(part) > 0 {
				_, err = c.Write(part)
			}
		}
		written <- err
	}()
	return written, nil
}

// bodySize returns the size of the whole body in bytes.
func (r *Request) bodySize() int {
	n := len(r.Body)
	for _, part := range r.Parts {
		n += len(part)
	}
	return n
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if req.bodySize() > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(req.bodySize()) + "\r\n")
	}
	// net/http validated names and values when it read them, and writes to a bytes.Buffer do not fail.
	_ = req.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readAnswer reads the head of the request's response and skips complete responses to earlier requests. On a reused connection a
// response without an id may be an earlier one that the endpoint has written again, so it is not accepted.
func (p *Pool) readAnswer(c *conn, req *Request, reused bool) (*http.Response, error) {
	c.headReader.remaining = maxHeadBytes
	for range maxUnrelatedAnswers + 1 {
		resp, err := c.readFinalHead(req.Method)
		if err != nil {
			return nil, err
		}
		if reused && holdsHead(resp) {
			break
		}
		id := p.answerID(resp.Header)
		if id == req.ID || id == "" && !reused {
			return resp, nil
		}
		if c.onLate != nil {
			c.onLate(resp.StatusCode, resp.Header)
		}
		if id == "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // it cannot be skipped: it belongs to no known request, or lasts until the connection is closed
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxUnrelatedBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, errors.Mark(errors.New("answers belong to other requests"), ErrBadAnswer)
}

// minStatus and MaxStatus are the lowest and the highest status that HTTP defines (RFC 9110, section 15).
const (
	minStatus = 100
	MaxStatus = 599
)

// readFinalHead reads the head of a response and skips interim ones (1xx). A head with a status that HTTP does not define is that of no
// response: its body cannot be told from the next head. A switch of protocols was not asked for.
func (c *conn) readFinalHead(method string) (*http.Response, error) {
	for {
		resp, err := c.readHead(method)
		switch {
		case err != nil:
			return nil, readError(err)
		case resp.ProtoMajor != 1 || resp.StatusCode < minStatus || resp.StatusCode > MaxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Mark(errors.Newf("status %d of HTTP/%d is not one of a response", resp.StatusCode, resp.ProtoMajor), ErrBadAnswer)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

// holdsHead reports whether the status line or a header holds the beginning of another response: the part of an earlier response that
// was written before it would give this one its status or headers.
func holdsHead(resp *http.Response) bool {
	if strings.Contains(resp.Status, "HTTP/1.") {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if strings.Contains(v, "HTTP/1.") {
				return true
			}
		}
	}
	return false
}

func readError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr) {
		return errors.Mark(errors.Wrap(err, "read answer"), ErrBroken)
	}
	return errors.Mark(errors.Wrap(withoutBytes(err), "read answer"), ErrBadAnswer)
}

var (
	errMalformed = errors.New("bytes are not those of a response")
	// keptErrors hold nothing of what was received.
	keptErrors = []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, errHeadTooLarge, errResetWhileWriting, context.Canceled, context.DeadlineExceeded}
)

// withoutBytes returns an error that quotes nothing of what was received, as those of net/http do: it may be a part of the answer to another
// request.
func withoutBytes(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.IsAny(err, keptErrors...) {
		return err
	}
	return errMalformed
}

// reusable reports whether the connection can be used for another request after this response.
func reusable(resp *http.Response) bool {
	return !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
}

// maxIdleTime returns how long a connection may be idle before its next use, from the endpoint's Keep-Alive header.
func maxIdleTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return saturate.Seconds(float64(seconds) * idleTimeoutFraction)
		}
	}
	return defaultMaxIdle
}

// freshMaxIdle is how long a connection may have been idle to be used for a request with FreshConnection set.
const freshMaxIdle = 500 * time.Millisecond

// maxCarried is the number of requests on a connection whose ids are remembered.
const maxCarried = 16

func (c *conn) recordCarried(id string) {
	if len(c.carried) == maxCarried {
		c.carried = append(c.carried[:0], c.carried[1:]...)
	}
	c.carried = append(c.carried, id)
}

// get returns an idle or a new connection. A connection that has carried a request of the same id is closed instead: the earlier
// response could not be told from the one to this request. So is one of another incarnation of the endpoint.
func (p *Pool) get(ctx context.Context, addr string, req *Request) (*conn, error) {
	for {
		c := p.takeIdle(addr, req.FreshConnection)
		if c == nil {
			break
		}
		if c.endpoint != req.Endpoint || slices.Contains(c.carried, req.ID) {
			_ = c.Close()
			continue
		}
		if c.openAndUnread() {
			p.count(&p.reused)
			return c, nil
		}
		if req.OnIdleClosed != nil && !netdial.Established(c.Conn) {
			req.OnIdleClosed()
		}
		_ = c.Close()
	}
	if p.dropIdleClosed(addr, req.Endpoint) && req.OnIdleClosed != nil {
		req.OnIdleClosed()
	}
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.count(&p.dialled)
	heads := &headReader{Conn: raw}
	return &conn{Conn: raw, headReader: heads, addr: addr, endpoint: req.Endpoint, openedAt: time.Now(), reader: bufio.NewReaderSize(heads, readBuffer)}, nil
}

func (p *Pool) count(counter *int64) {
	p.mu.Lock()
	*counter++
	p.mu.Unlock()
}

// Counts returns the numbers of requests on new and on reused connections since the start.
func (p *Pool) Counts() (dialled, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled, p.reused
}

// takeIdle returns the most recently used idle connection, or nil if none may be used. If even that one has been idle for too long, all
// are closed.
func (p *Pool) takeIdle(addr string, fresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	age := time.Since(last.idleSince)
	if age > last.maxIdle {
		// All others have been idle for longer, so they are closed too.
		p.closeAll(list)
		delete(p.idle, addr)
		return nil
	}
	if fresh && age > freshMaxIdle {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return last
}

// dropIdleClosed removes the most recently used of the idle connections that were left as far as the endpoint has closed them, and reports
// whether one of them was opened for the given incarnation.
func (p *Pool) dropIdleClosed(addr string, endpoint catalog.Incarnation) (found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return false
	}
	for len(list) > 0 && !netdial.Established(list[len(list)-1].Conn) {
		last := list[len(list)-1]
		found = found || last.endpoint == endpoint
		_ = last.Close()
		list = list[:len(list)-1]
	}
	p.idle[addr] = list
	return found
}

func (p *Pool) closeAll(list []*conn) {
	for _, c := range list {
		// No request is in progress on an idle connection, so an error of the close does not matter.
		_ = c.Close()
	}
}

// openAndUnread reports whether nothing has arrived on an idle connection. Received bytes would belong to no request, and an end of
// file means that the endpoint has closed it.
func (c *conn) openAndUnread() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return !netdial.Readable(c.Conn)
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(c *conn) {
	if c.maxIdle <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// putBack returns a connection to the pool that was taken from it and not used.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	at, _ := slices.BinarySearchFunc(list, c, func(a, b *conn) int { return a.idleSince.Compare(b.idleSince) })
	p.idle[c.addr] = slices.Insert(list, at, c)
}

// CloseIdle closes the idle connections to an address, for example because its endpoint is unresponsive.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(p.idle[addr])
	delete(p.idle, addr)
}

// CloseUnused closes the connections that have been idle for too long, and all idle connections to addresses for which keep
// returns false.
func (p *Pool) CloseUnused(keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		if !keep(addr) {
			p.closeAll(list)
			delete(p.idle, addr)
			continue
		}
		fresh := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > c.maxIdle {
				_ = c.Close()
				continue
			}
			fresh = append(fresh, c)
		}
		p.idle[addr] = fresh
	}
}

// body is the body of a response. Its Close returns the connection to the pool or closes it.
type body struct {
	io.ReadCloser
	pool       *Pool
	conn       *conn
	stopCancel func() bool
	written    chan error
	reusable   bool
	// endsWithConn says that the response has neither a length nor chunks: its end is that of the connection.
	endsWithConn bool
	onEnd        func() // nil if nothing is to be done
	complete     bool
	once         sync.Once
}

var errResetWhileWriting = errors.New("connection was reset while the request was being written")

// Read reads the response's body. Every error but io.EOF is marked ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.endsWithConn && !b.complete && b.writeFailed() {
		err = errResetWhileWriting
	}
	if err == io.EOF {
		if !b.complete && b.onEnd != nil {
			b.onEnd()
		}
		b.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = errors.Mark(withoutBytes(err), ErrBroken)
	}
	return n, err
}

// Close returns the connection to the pool if the response was read to its end. Otherwise it closes the connection, which cancels
// the request.
func (b *body) Close() error {
	b.once.Do(func() {
		notCancelled := b.stopCancel()
		if notCancelled && b.complete && b.reusable && b.fullyWritten() {
			b.pool.put(b.conn)
			return
		}
		// The close cancels the request; its error does not matter.
		_ = b.conn.Close()
	})
	return nil
}

// writeFailed ends the write of the request's body and reports whether it had failed. The kernel tells of a reset once: if the goroutine that
// writes has been told, a read returns the end of the file.
func (b *body) writeFailed() bool {
	if b.written == nil {
		return false
	}
	_ = b.conn.SetWriteDeadline(time.Unix(1, 0)) // a connection that has ended ends the write by itself
	err := <-b.written
	b.written <- err // for fullyWritten
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// fullyWritten reports whether the request's body has been written completely.
func (b *body) fullyWritten() bool {
	if b.written == nil {
		return true
	}
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
