package capacity

import (
	"cmp"
	"context"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// traffic counts the messages of one service.
type traffic struct {
	calls, messages int
	bytes           int // encoded messages, without frames
}

// fabric connects in-memory networks. Messages are encoded and decoded, so that their sizes are those on the wire.
type fabric struct {
	mu       sync.Mutex
	networks map[string]*network
	counts   map[string]traffic // by service
}

func newFabric() *fabric {
	return &fabric{networks: map[string]*network{}, counts: map[string]traffic{}}
}

func (f *fabric) add(id peer.Identity) *network {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &network{fabric: f, self: id, handlers: map[string]peer.Handler{}}
	f.networks[id.Instance] = n
	return n
}

func (f *fabric) count(service string, calls, messages, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts[service]
	c.calls, c.messages, c.bytes = c.calls+calls, c.messages+messages, c.bytes+bytes
	f.counts[service] = c
}

// total returns a copy of the counts of a service.
func (f *fabric) total(service string) traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[service]
}

// network is the network of one instance of a fabric.
type network struct {
	fabric   *fabric
	self     peer.Identity
	handlers map[string]peer.Handler // guarded by fabric.mu
}

var _ peer.Network = (*network)(nil)

// Self returns the identity.
func (n *network) Self() peer.Identity { return n.self }

// Handle registers a service.
func (n *network) Handle(service string, h peer.Handler) {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	n.handlers[service] = h
}

// SetPeers does nothing: all networks of a fabric are connected.
func (n *network) SetPeers(map[string]string) {}

// Connected returns all other instances in order of their names.
func (n *network) Connected() []peer.Identity {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	var out []peer.Identity
	for _, other := range n.fabric.networks {
		if other != n {
			out = append(out, other.self)
		}
	}
	slices.SortFunc(out, func(a, b peer.Identity) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Call sends one request and reads one response.
func (n *network) Call(ctx context.Context, instance, service string, req, resp proto.Message) error {
	s, err := n.Open(ctx, instance, service)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if err := s.Send(req); err != nil {
		return err
	}
	return s.Recv(resp)
}

// Open starts a call.
func (n *network) Open(ctx context.Context, instance, service string) (peer.Stream, error) {
	n.fabric.mu.Lock()
	var handler peer.Handler
	if to := n.fabric.networks[instance]; to != nil {
		handler = to.handlers[service]
	}
	n.fabric.mu.Unlock()
	if handler == nil {
		return nil, peer.NotSent(instance, service, peer.ErrUnknownPeer)
	}
	n.fabric.count(service, 1, 0, 0)
	ctx, cancel := context.WithCancel(ctx)
	there, back := make(chan []byte, streamWindow), make(chan []byte, streamWindow)
	caller := &stream{ctx: ctx, cancel: cancel, fabric: n.fabric, service: service, out: there, in: back}
	server := &stream{ctx: ctx, cancel: func() {}, fabric: n.fabric, service: service, out: back, in: there}
	go func() {
		server.result = handler(ctx, n.self, server)
		if server.result != nil {
			caller.fail(server.result)
		}
		_ = server.CloseSend()
	}()
	return caller, nil
}

// streamWindow is the number of messages under way in one direction.
const streamWindow = 8

// stream is one end of a call.
type stream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	fabric  *fabric
	service string
	out     chan<- []byte
	in      <-chan []byte
	result  error

	mu     sync.Mutex
	closed bool
	failed error
}

var _ peer.Stream = (*stream)(nil)

func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = err
}

// Send encodes a message.
func (s *stream) Send(m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	s.fabric.count(s.service, 0, 1, len(b))
	select {
	case s.out <- b:
		return nil
	case <-s.ctx.Done():
		return errors.Mark(s.ctx.Err(), peer.ErrBroken)
	}
}

// Recv decodes the next message.
func (s *stream) Recv(m proto.Message) error {
	select {
	case b, ok := <-s.in:
		if ok {
			return proto.Unmarshal(b, m)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return cmp.Or(s.failed, io.EOF)
	case <-s.ctx.Done():
		return errors.Mark(s.ctx.Err(), peer.ErrBroken)
	}
}

// CloseSend ends the own direction.
func (s *stream) CloseSend() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.out)
	}
	return nil
}

// Close ends both directions.
func (s *stream) Close() error {
	s.cancel()
	return nil
}
