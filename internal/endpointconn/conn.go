// Package endpointconn sends HTTP/1.1 requests to endpoints over kept connections. Unlike net/http's client it never sends a
// request twice, tells whether a byte of it may have reached the endpoint, and matches answers to requests by their id.
package endpointconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotSent reports a request of which no byte has left this instance.
	ErrNotSent = errors.New("request was not sent to the endpoint")
	// ErrBroken reports a request that was sent, in part or whole, and has no complete answer.
	ErrBroken = errors.New("connection to the endpoint broke before the answer was complete")
	// ErrBadAnswer reports bytes that are not the answer to the request. The endpoint may have run it.
	ErrBadAnswer = errors.New("endpoint has sent bytes that are not the answer to the request")
)

const (
	// idleUse is the part of an endpoint's idle time-out for which a connection is kept: the endpoint counts from an earlier
	// moment, and its close needs time to arrive.
	idleUse = 0.5
	// defaultIdle is how long a connection is kept whose endpoint names no idle time-out.
	defaultIdle = 2 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to an endpoint, which are shared with all other instances.
	maxIdlePerEndpoint = 32
	// inlineBody is the largest body that is written before the answer is read. Larger ones are written beside it, because
	// an endpoint may answer before it has read the body.
	inlineBody = 16 << 10
	// maxForeign is the number of answers to other requests that are passed over before the own one.
	maxForeign = 2
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 1 << 20
	readBuffer      = 4 << 10
	// maxHeadBytes bounds the heads that are read until the request's answer begins, those of interim and foreign answers included:
	// endpoints in trouble send header lines without end, and net/http reads as many as come. Usual heads have some hundred bytes.
	maxHeadBytes = 64 << 10
)

// Request is a request to an endpoint. Header names are in canonical form.
type Request struct {
	ID     string // as its answer echoes it
	Method string
	URI    string // path and query as the caller has sent them
	Host   string
	Header http.Header
	Body   []byte
	// FreshConnection asks for a connection that was used a moment ago or is new: the request must not be lost to an idle time-out.
	FreshConnection bool
}

// Response is the head of an answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF after a complete answer only. An answer without length is complete at the end of its connection.
	Body io.ReadCloser
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	answerID func(http.Header) string

	mu   sync.Mutex
	idle map[string][]*conn
	// dialled and reused count requests by the kind of their connection.
	dialled, reused int64
}

// NewPool returns a pool. answerID reads the id of the request that an answer belongs to; empty if it names none.
func NewPool(dial func(ctx context.Context, network, addr string) (net.Conn, error), answerID func(http.Header) string) *Pool {
	return &Pool{dial: dial, answerID: answerID, idle: make(map[string][]*conn)}
}

type conn struct {
	net.Conn
	heads  *headReader
	addr   string
	reader *bufio.Reader
	since  time.Time // when it became idle; the monotonic reading counts
	keep   time.Duration
}

// headReader reads a connection, and fails once a head has taken more bytes than are allowed.
type headReader struct {
	net.Conn
	bounded bool
	left    int // bytes, while bounded
}

var errHeadTooLarge = errors.New("head of an answer is too large")

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readHead reads the head of an answer. The heads of one request share the allowance.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.heads.bounded = true
	defer func() { c.heads.bounded = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// Do sends the request and reads the head of its answer. It is cut when ctx ends, also while the body is read.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.get(ctx, addr, req.FreshConnection)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written, err := c.send(req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, sendError(err)
	}
	resp, err := p.receive(c, req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	body := &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, written: written, reusable: reusable(resp)}
	c.keep = keepFor(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// errNothingWritten marks a send of which no byte was taken.
var errNothingWritten = errors.New("nothing was written")

func sendError(err error) error {
	if errors.Is(err, errNothingWritten) {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrBroken)
}

// send writes the request. written receives the outcome of a body that is written beside the answer; it is nil if all is sent.
func (c *conn) send(req *Request) (written chan error, err error) {
	head := encodeHead(req)
	if len(req.Body) <= inlineBody {
		n, err := c.Write(append(head, req.Body...))
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
		_, err := c.Write(req.Body)
		written <- err
	}()
	return written, nil
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	// net/http has checked names and values when it read them; an error of a bytes.Buffer cannot occur.
	_ = req.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads the head of the request's answer and passes over complete answers to earlier requests.
func (p *Pool) receive(c *conn, req *Request) (*http.Response, error) {
	c.heads.left = maxHeadBytes
	for range maxForeign + 1 {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, readError(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // 1xx: the final answer follows
		}
		id := p.answerID(resp.Header)
		if id == "" || id == req.ID {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break // it ends with the connection, so none of the own can follow
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, errors.Mark(errors.New("answers belong to other requests"), ErrBadAnswer)
}

func readError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr) {
		return errors.Mark(errors.Wrap(err, "read answer"), ErrBroken)
	}
	return errors.Mark(errors.Wrap(err, "read answer"), ErrBadAnswer)
}

// reusable reports whether the connection can take another request after this answer.
func reusable(resp *http.Response) bool {
	return !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
}

// keepFor returns how long an idle connection may be used, from the endpoint's Keep-Alive header.
func keepFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleUse * float64(time.Second))
		}
	}
	return defaultIdle
}

// onceIdle is how long a connection may have been idle for a request that must not be lost to an idle time-out.
const onceIdle = 500 * time.Millisecond

func (p *Pool) get(ctx context.Context, addr string, once bool) (*conn, error) {
	for {
		c := p.take(addr, once)
		if c == nil {
			break
		}
		if c.silentAndOpen() {
			p.count(&p.reused)
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.count(&p.dialled)
	heads := &headReader{Conn: raw}
	return &conn{Conn: raw, heads: heads, addr: addr, reader: bufio.NewReaderSize(heads, readBuffer)}, nil
}

func (p *Pool) count(counter *int64) {
	p.mu.Lock()
	*counter++
	p.mu.Unlock()
}

// Counts returns the number of requests on new and on kept connections since the start.
func (p *Pool) Counts() (dialled, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled, p.reused
}

// take returns the most recently used idle connection that may still be used, or nil. Older ones are closed.
func (p *Pool) take(addr string, once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	age := time.Since(last.since)
	if age > last.keep {
		// All others have been idle for longer.
		p.closeAll(list)
		delete(p.idle, addr)
		return nil
	}
	if once && age > onceIdle {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return last
}

func (p *Pool) closeAll(list []*conn) {
	for _, c := range list {
		// Nothing is under way on an idle connection.
		_ = c.Close()
	}
}

// silentAndOpen reports whether nothing has arrived on an idle connection: bytes there belong to no request, and an end is
// the endpoint's close.
func (c *conn) silentAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return !readable(c.Conn)
}

// put keeps a connection after a complete answer.
func (p *Pool) put(c *conn) {
	if c.keep <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseIdle closes the idle connections to an address, as after the endpoint there has gone.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(p.idle[addr])
	delete(p.idle, addr)
}

// CloseUnused closes the idle connections that have been unused for too long, and those to all addresses that keep does not name.
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
			if time.Since(c.since) > c.keep {
				_ = c.Close()
				continue
			}
			fresh = append(fresh, c)
		}
		p.idle[addr] = fresh
	}
}

// body ends the use of a connection.
type body struct {
	io.ReadCloser
	pool     *Pool
	conn     *conn
	stop     func() bool
	written  chan error
	reusable bool
	complete bool
	once     sync.Once
}

// Read passes on the answer's body. Every error but io.EOF is marked ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = errors.Mark(err, ErrBroken)
	}
	return n, err
}

// Close keeps the connection if the answer was read to its end, and closes it otherwise, which cancels the request.
func (b *body) Close() error {
	b.once.Do(func() {
		notCut := b.stop()
		if notCut && b.complete && b.reusable && b.sent() {
			b.pool.put(b.conn)
			return
		}
		// The request is cancelled by the close; its error tells nothing more.
		_ = b.conn.Close()
	})
	return nil
}

// sent reports whether the request's body has been written whole.
func (b *body) sent() bool {
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
