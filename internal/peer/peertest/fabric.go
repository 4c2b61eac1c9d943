package peertest

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// defaultBreakAfter is the time after which a stream that has lost a message breaks, as a keepalive would end it.
const defaultBreakAfter = time.Second

// Fabric connects in-memory Networks and injects faults. It is safe for concurrent use.
type Fabric struct {
	mu         sync.Mutex
	nodes      map[string]*Network
	links      map[direction]*fault
	calls      map[*call]struct{}
	breakAfter time.Duration
	latency    func(from, to peer.Identity) time.Duration
	closed     bool
	work       sync.WaitGroup
}

type direction struct{ from, to string }

// fault is the state of a link in one direction.
type fault struct {
	cut        bool
	delay      time.Duration
	jitter     time.Duration
	duplicates int
}

// NewFabric returns a fabric that the test closes at its end. All calls in flight break then.
func NewFabric(t testing.TB) *Fabric {
	f := &Fabric{
		nodes:      map[string]*Network{},
		links:      map[direction]*fault{},
		calls:      map[*call]struct{}{},
		breakAfter: defaultBreakAfter,
	}
	t.Cleanup(f.Close)
	return f
}

// SetBreakAfter changes the time after which a stream that has lost a message breaks. The default is one second.
func (f *Fabric) SetBreakAfter(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breakAfter = d
}

// Add returns the network of an instance. An instance of the same name is replaced: its calls break.
func (f *Fabric) Add(id peer.Identity) *Network {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breakCalls(func(c *call) bool { return c.from.self.Instance == id.Instance || c.to.self.Instance == id.Instance })
	n := &Network{fabric: f, self: id, handlers: map[string]peer.Handler{}}
	f.nodes[id.Instance] = n
	return n
}

// Remove stops an instance: its calls break, and new calls to it are not sent.
func (f *Fabric) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.nodes, name)
	f.breakCalls(func(c *call) bool { return c.from.self.Instance == name || c.to.self.Instance == name })
}

// CutOneWay loses all messages in one direction from now on. Streams that lose one break later, with ErrBroken.
func (f *Fabric) CutOneWay(from, to string) { f.change(from, to, func(l *fault) { l.cut = true }) }

// Cut loses all messages between two instances.
func (f *Fabric) Cut(a, b string) {
	f.CutOneWay(a, b)
	f.CutOneWay(b, a)
}

// Heal ends a cut in both directions.
func (f *Fabric) Heal(a, b string) {
	f.change(a, b, func(l *fault) { l.cut = false })
	f.change(b, a, func(l *fault) { l.cut = false })
}

// Delay delays the messages in one direction by d plus a random part of jitter. Messages of a stream stay in order.
func (f *Fabric) Delay(from, to string, d, jitter time.Duration) {
	f.change(from, to, func(l *fault) { l.delay, l.jitter = d, jitter })
}

// SetLatency sets the one-way delay of all links without a Delay of their own.
func (f *Fabric) SetLatency(latency func(from, to peer.Identity) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

// Duplicate runs the handler of each further call in one direction n more times, as if the call had been repeated.
// The caller gets the response of the first run.
func (f *Fabric) Duplicate(from, to string, n int) {
	f.change(from, to, func(l *fault) { l.duplicates = n })
}

// Break ends all calls in flight between two instances with ErrBroken.
func (f *Fabric) Break(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breakCalls(func(c *call) bool {
		from, to := c.from.self.Instance, c.to.self.Instance
		return (from == a && to == b) || (from == b && to == a)
	})
}

// Close breaks all calls and waits for their handlers.
func (f *Fabric) Close() {
	f.mu.Lock()
	f.closed = true
	f.breakCalls(func(*call) bool { return true })
	f.mu.Unlock()
	f.work.Wait()
}

func (f *Fabric) change(from, to string, apply func(*fault)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply(f.link(from, to))
}

// noFault is the state of a link that no fault was injected into.
var noFault = &fault{}

// look returns the state of a link without creating one. It is called under mu.
func (f *Fabric) look(from, to string) *fault {
	if l := f.links[direction{from, to}]; l != nil {
		return l
	}
	return noFault
}

// link is called under mu.
func (f *Fabric) link(from, to string) *fault {
	key := direction{from, to}
	if f.links[key] == nil {
		f.links[key] = &fault{}
	}
	return f.links[key]
}

// breakCalls is called under mu.
func (f *Fabric) breakCalls(affected func(*call) bool) {
	for c := range f.calls {
		if affected(c) {
			c.end(errors.New("connection was cut"))
			delete(f.calls, c)
		}
	}
}

// passage decides about one message: whether it is lost, and when it arrives.
func (f *Fabric) passage(from, to peer.Identity) (lost bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.look(from.Instance, to.Instance)
	delay = l.delay
	if delay == 0 && f.latency != nil {
		delay = f.latency(from, to)
	}
	if l.jitter > 0 {
		delay += rand.N(l.jitter)
	}
	return l.cut, delay
}

func (f *Fabric) forget(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c)
}

// Network is the in-memory Network of one instance.
type Network struct {
	fabric *Fabric
	self   peer.Identity

	// Guarded by the fabric's mu.
	handlers map[string]peer.Handler
	known    map[string]string // nil: all instances of the fabric

	traffic counters
}

type counters struct{ started, served, sent, received atomic.Int64 }

// Traffic is what an instance has sent and received. Bytes are those of the frames of package peer, without the
// overhead of sessions, TLS and TCP.
type Traffic struct {
	CallsStarted  int64
	CallsServed   int64
	BytesSent     int64
	BytesReceived int64
}

// Traffic returns the counts since the instance was added.
func (n *Network) Traffic() Traffic {
	return Traffic{
		CallsStarted:  n.traffic.started.Load(),
		CallsServed:   n.traffic.served.Load(),
		BytesSent:     n.traffic.sent.Load(),
		BytesReceived: n.traffic.received.Load(),
	}
}

var _ peer.Network = (*Network)(nil)

// Self returns the instance's identity.
func (n *Network) Self() peer.Identity { return n.self }

// Handle registers a service. It panics if the name is taken.
func (n *Network) Handle(service string, h peer.Handler) {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	if n.handlers[service] != nil {
		panic("peertest: service is registered twice: " + service)
	}
	n.handlers[service] = h
}

// SetPeers restricts the known peers to the given names. Before the first call, all instances of the fabric are known.
func (n *Network) SetPeers(addrs map[string]string) {
	known := make(map[string]string, len(addrs))
	for name, addr := range addrs {
		known[name] = addr
	}
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	n.known = known
}

// Connected returns the known instances that run, in order of their names.
func (n *Network) Connected() []peer.Identity {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	var found []peer.Identity
	for name, other := range n.fabric.nodes {
		if other != n && n.knows(name) {
			found = append(found, other.self)
		}
	}
	slices.SortFunc(found, func(a, b peer.Identity) int { return cmp.Compare(a.Instance, b.Instance) })
	return found
}

func (n *Network) knows(name string) bool {
	if n.known == nil {
		return n.fabric.nodes[name] != nil
	}
	_, known := n.known[name]
	return known
}

// reach returns the instance to call and the number of handler runs.
func (n *Network) reach(ctx context.Context, name, service string) (*Network, int, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, peer.NotSent(name, service, err)
	}
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	if !n.knows(name) {
		return nil, 0, peer.NotSent(name, service, peer.ErrUnknownPeer)
	}
	to := n.fabric.nodes[name]
	if to == nil || n.fabric.closed || n.fabric.nodes[n.self.Instance] != n {
		return nil, 0, peer.NotSent(name, service, errors.New("instance does not run"))
	}
	return to, 1 + n.fabric.look(n.self.Instance, name).duplicates, nil
}
