package configsync

import (
	"context"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// fakeKV is the store in memory, with instances that do not reach it.
type fakeKV struct {
	*memory.Store
	mu    sync.Mutex
	out   map[string]bool
	reads map[string]int
	limit map[string]int // reads of an instance that succeed; 0 for all
}

func newFakeKV() *fakeKV {
	return &fakeKV{
		Store: memory.NewStore(memory.StoreOptions{}),
		out:   make(map[string]bool),
		reads: make(map[string]int),
		limit: make(map[string]int),
	}
}

func (k *fakeKV) failAfter(name string, reads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit[name] = reads
}

func (k *fakeKV) readsOf(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads[name]
}

// read counts a read and reports whether it fails.
func (k *fakeKV) read(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads[name]++
	return k.out[name] || k.limit[name] > 0 && k.reads[name] > k.limit[name]
}

func (k *fakeKV) setOut(name string, out bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.out[name] = out
}

func (k *fakeKV) isOut(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.out[name]
}

// client is the store as one instance reaches it.
type client struct {
	*fakeKV
	name string
}

var _ platform.Store = (*client)(nil)

func (c *client) Get(ctx context.Context, key string) (platform.Entry, error) {
	if c.read(c.name) {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

func (c *client) Watch(ctx context.Context, key string, after int64) (platform.Entry, error) {
	e, err := c.Store.Watch(ctx, key, after)
	if c.isOut(c.name) {
		// A connection that has gone silent looks like a watch without news.
		<-ctx.Done()
		return platform.Entry{}, ctx.Err()
	}
	return e, err
}

// fabric connects fake networks. Links can be cut in one direction.
type fabric struct {
	mu    sync.Mutex
	nodes map[string]*fakeNetwork
	cut   map[[2]string]bool
}

func newFabric() *fabric {
	return &fabric{nodes: make(map[string]*fakeNetwork), cut: make(map[[2]string]bool)}
}

// setCut cuts or mends all links to and from an instance. A cut link stays among the connected ones and hangs, as one whose
// packets are lost.
func (f *fabric) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := range f.nodes {
		f.cut[[2]string{name, other}] = cut
		f.cut[[2]string{other, name}] = cut
	}
}

func (f *fabric) node(name string) *fakeNetwork {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fabric) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

// network returns a network that is not connected yet, so that services can be registered.
func (f *fabric) network(name, dataCentre string) *fakeNetwork {
	self := peer.Identity{Instance: name, Region: dataCentre, DataCentre: dataCentre}
	return &fakeNetwork{fabric: f, self: self, handlers: make(map[string]peer.Handler)}
}

// join connects a network to all others.
func (f *fabric) join(n *fakeNetwork) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[n.self.Instance] = n
}

// fakeNetwork is a peer.Network in memory.
type fakeNetwork struct {
	fabric   *fabric
	self     peer.Identity
	handlers map[string]peer.Handler
	mu       sync.Mutex
	sent     int // bytes of messages
}

var _ peer.Network = (*fakeNetwork)(nil)

func (n *fakeNetwork) sentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

func (n *fakeNetwork) Self() peer.Identity                { return n.self }
func (n *fakeNetwork) Handle(name string, h peer.Handler) { n.handlers[name] = h }
func (n *fakeNetwork) SetPeers(map[string]string)         {}

func (n *fakeNetwork) Connected() []peer.Identity {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	var ids []peer.Identity
	for _, other := range n.fabric.nodes {
		if other != n {
			ids = append(ids, other.self)
		}
	}
	return ids
}

func (n *fakeNetwork) Call(ctx context.Context, instance, service string, req, resp proto.Message) error {
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

func (n *fakeNetwork) Open(ctx context.Context, instance, service string) (peer.Stream, error) {
	other := n.fabric.node(instance)
	if other == nil {
		return nil, peer.ErrUnknownPeer
	}
	if n.fabric.isCut(n.self.Instance, instance) {
		<-ctx.Done()
		return nil, peer.ErrBroken
	}
	ctx, cancel := context.WithCancel(ctx)
	there, back := make(chan []byte, 512), make(chan []byte, 512)
	failed := make(chan error, 1)
	local := &fakeStream{ctx: ctx, cancel: cancel, out: there, in: back, failed: failed, net: n}
	remote := &fakeStream{ctx: ctx, cancel: func() {}, out: back, in: there, net: other}
	go func() {
		if err := other.handlers[service](ctx, n.self, remote); err != nil {
			failed <- &peer.RemoteError{Instance: instance, Service: service, Message: err.Error()}
			return
		}
		_ = remote.CloseSend()
	}()
	return local, nil
}

type fakeStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	out    chan<- []byte
	in     <-chan []byte
	failed <-chan error
	once   sync.Once
	net    *fakeNetwork
}

func (s *fakeStream) Send(m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	s.net.mu.Lock()
	s.net.sent += len(b)
	s.net.mu.Unlock()
	select {
	case s.out <- b:
		return nil
	case <-s.ctx.Done():
		return peer.ErrBroken
	}
}

func (s *fakeStream) Recv(m proto.Message) error {
	select {
	case b, ok := <-s.in:
		if !ok {
			return io.EOF
		}
		return proto.Unmarshal(b, m)
	case err := <-s.failed:
		return err
	case <-s.ctx.Done():
		return peer.ErrBroken
	}
}

func (s *fakeStream) CloseSend() error {
	s.once.Do(func() { close(s.out) })
	return nil
}

func (s *fakeStream) Close() error {
	s.cancel()
	return nil
}
