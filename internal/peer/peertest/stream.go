package peertest

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// frameOverhead is the size of a frame of package peer without its payload.
const frameOverhead = 5

// window is the number of messages that one side may send ahead of the other side's reads.
const window = 64

// item is a message under way. end is io.EOF after the last one, or the handler's error.
type item struct {
	payload []byte
	end     error
	at      time.Time
}

// call is one run of a handler with the two directions of its stream.
type call struct {
	fabric   *Fabric
	from, to *Network
	service  string
	forward  chan item
	backward chan item
	ctx      context.Context // of the handler
	cancel   context.CancelFunc

	once   sync.Once
	broken chan struct{}
	cause  error // set before broken is closed
}

func (c *call) end(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.broken)
		c.cancel()
	})
}

func (c *call) failure(err error) error {
	return peer.Broken(c.to.self.Instance, c.service, err)
}

// Call sends one request and reads one response.
func (n *Network) Call(ctx context.Context, instance, service string, req, resp proto.Message) error {
	s, err := n.Open(ctx, instance, service)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(req); err != nil {
		return err
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	err = s.Recv(resp)
	if errors.Is(err, io.EOF) {
		return peer.Broken(instance, service, errors.New("peer has sent no response"))
	}
	return err
}

// Open starts a call.
func (n *Network) Open(ctx context.Context, instance, service string) (peer.Stream, error) {
	to, runs, err := n.reach(ctx, instance, service)
	if err != nil {
		return nil, err
	}
	client := &side{ctx: ctx, client: true}
	for i := range runs {
		c := n.fabric.start(ctx, n, to, service)
		if c == nil {
			return nil, peer.NotSent(instance, service, errors.New("fabric is closed"))
		}
		if i == 0 {
			client.call = c
		} else {
			client.copies = append(client.copies, c)
		}
	}
	return client, nil
}

// start runs the handler of a call.
func (f *Fabric) start(ctx context.Context, from, to *Network, service string) *call {
	handlerCtx := trace.ContextWithRemoteSpanContext(context.Background(), trace.SpanContextFromContext(ctx))
	cancel := context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		handlerCtx, cancel = context.WithDeadline(handlerCtx, deadline)
	}
	handlerCtx, cancelAll := context.WithCancel(handlerCtx)
	c := &call{
		fabric: f, from: from, to: to, service: service,
		forward: make(chan item, window), backward: make(chan item, window),
		ctx: handlerCtx, broken: make(chan struct{}),
		cancel: func() {
			cancelAll()
			cancel()
		},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		c.cancel()
		return nil
	}
	f.calls[c] = struct{}{}
	header := &wire.CallHeader{Service: service}
	if deadline, ok := ctx.Deadline(); ok {
		header.TimeoutNanos = int64(time.Until(deadline))
	}
	size := int64(proto.Size(header)) + frameOverhead
	from.traffic.started.Add(1)
	from.traffic.sent.Add(size)
	to.traffic.served.Add(1)
	to.traffic.received.Add(size)
	handler := to.handlers[service]
	f.work.Go(func() { c.serve(handler) })
	return c
}

func (c *call) serve(handler peer.Handler) {
	server := &side{call: c, ctx: c.ctx}
	// The handler starts when the opening of the stream arrives.
	lost, delay := c.fabric.passage(c.from.self, c.to.self)
	if lost {
		c.loseMessage()
		<-c.broken
		c.fabric.forget(c)
		return
	}
	select {
	case <-time.After(delay):
	case <-c.broken:
	}
	var err error
	if handler == nil {
		err = peer.NewError(peer.CodeUnknownService, "service "+c.service+" is not registered")
	} else {
		err = handler(c.ctx, c.from.self, server)
	}
	if err == nil {
		err = io.EOF
	} else {
		err = c.remoteError(err)
	}
	// The stream may be broken or closed, and then nobody waits for the outcome.
	_ = server.put(item{end: err})
	c.cancel()
	c.fabric.forget(c)
}

func (c *call) remoteError(err error) error {
	out := &peer.RemoteError{Instance: c.to.self.Instance, Service: c.service, Message: err.Error()}
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		out.Code, out.Message = remote.Code, remote.Message
	}
	return out
}

// loseMessage breaks the stream later, as a keepalive would.
func (c *call) loseMessage() {
	c.fabric.mu.Lock()
	wait := c.fabric.breakAfter
	c.fabric.mu.Unlock()
	time.AfterFunc(wait, func() { c.end(errors.New("keepalive failed")) })
}

// side is one end of a stream.
type side struct {
	call   *call
	copies []*call // further runs of the handler, whose responses are dropped
	ctx    context.Context
	client bool

	mu     sync.Mutex // guards the fields below
	lost   bool       // a message was lost, and so are all that follow
	ended  bool       // the own side has sent its last item
	over   error      // outcome of the receiving side
	closed bool
}

var _ peer.Stream = (*side)(nil)

func (s *side) out(c *call) chan item {
	if s.client {
		return c.forward
	}
	return c.backward
}

func (s *side) in() chan item {
	if s.client {
		return s.call.backward
	}
	return s.call.forward
}

// Send writes a message.
func (s *side) Send(m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return s.put(item{payload: payload})
}

// CloseSend tells the other side that no message follows.
func (s *side) CloseSend() error { return s.put(item{end: io.EOF}) }

func (s *side) put(it item) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		if it.end != nil {
			return nil
		}
		return errors.New("message after CloseSend")
	}
	s.ended = it.end != nil
	from, to := s.call.from, s.call.to
	if !s.client {
		from, to = to, from
	}
	from.traffic.sent.Add(int64(len(it.payload)) + frameOverhead)
	lost, delay := s.call.fabric.passage(from.self, to.self)
	if lost && !s.lost {
		s.lost = true
		s.call.loseMessage()
	}
	if s.lost {
		return nil
	}
	to.traffic.received.Add(int64(len(it.payload)) + frameOverhead)
	it.at = time.Now().Add(delay)
	for _, c := range s.copies {
		select {
		case s.out(c) <- it:
		default:
		}
	}
	select {
	case s.out(s.call) <- it:
		return nil
	case <-s.call.broken:
		return s.call.failure(s.call.cause)
	case <-s.ctx.Done():
		return s.call.failure(s.ctx.Err())
	}
}

// Recv reads the next message.
func (s *side) Recv(m proto.Message) error {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over != nil {
		return over
	}
	var it item
	select {
	case it = <-s.in():
	case <-s.call.broken:
		return s.finish(s.call.failure(s.call.cause))
	case <-s.ctx.Done():
		return s.finish(s.call.failure(s.ctx.Err()))
	}
	if wait := time.Until(it.at); wait > 0 {
		select {
		case <-time.After(wait):
		case <-s.call.broken:
			return s.finish(s.call.failure(s.call.cause))
		case <-s.ctx.Done():
			return s.finish(s.call.failure(s.ctx.Err()))
		}
	}
	if it.end != nil {
		return s.finish(it.end)
	}
	return proto.Unmarshal(it.payload, m)
}

func (s *side) finish(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = err
	return err
}

// Close ends the stream in both directions. The handler's context ends, unless the way to it is cut.
func (s *side) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed, s.ended = true, true
	if !s.client {
		s.call.end(errors.New("handler has closed the stream"))
		return nil
	}
	for _, c := range append(s.copies, s.call) {
		lost, delay := c.fabric.passage(c.from.self, c.to.self)
		if lost {
			c.loseMessage()
			continue
		}
		// A copy may still work on what it got; only its caller's end of the stream is gone.
		if c == s.call {
			time.AfterFunc(delay, func() { c.end(errors.New("caller has closed the stream")) })
		}
	}
	return nil
}
