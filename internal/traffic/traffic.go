// Package traffic counts the bytes of an instance's connections by kind and direction, so that control traffic can be held
// against its limit.
package traffic

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Kinds of HTTP traffic. Traffic between instances has the name of its service as kind.
const (
	EndpointReports = "endpoint.reports"
	CacheEvents     = "endpoint.cache_events"
	EndpointOrders  = "endpoint.orders"
	Store           = "store"
	StoreRecords    = "store.records" // records of keyed operations
	InstanceList    = "instance_list"
	Directory       = "directory"
	PeerSessions    = "peer.sessions" // handshakes and pings
)

// dataKinds carry requests and answers of callers. All other kinds are control traffic.
var dataKinds = map[string]bool{"forward": true, "operations.do": true, "edge.attempt": true}

// Meter counts bytes by kind. Bytes include TLS and HTTP or yamux framing, but not TCP and IP headers. A nil Meter counts
// nothing.
type Meter struct {
	scope tally.Scope
	kinds sync.Map // name -> *Counter
}

// NewMeter returns a meter that reports control_bytes and data_bytes with the tags kind and direction.
func NewMeter(scope tally.Scope) *Meter { return &Meter{scope: scope} }

// Counter counts the bytes of one kind. A nil Counter counts nothing.
type Counter struct {
	sent, received             atomic.Int64
	reportSent, reportReceived tally.Counter
}

// Kind returns the counter of a kind. Callers pass only names of this program, so the number of tags is bounded.
func (m *Meter) Kind(name string) *Counter {
	if m == nil {
		return nil
	}
	if found, ok := m.kinds.Load(name); ok {
		return found.(*Counter)
	}
	metric := "control_bytes"
	if dataKinds[name] {
		metric = "data_bytes"
	}
	direction := func(d string) tally.Counter {
		return m.scope.Tagged(map[string]string{"kind": name, "direction": d}).Counter(metric)
	}
	made, _ := m.kinds.LoadOrStore(name, &Counter{reportSent: direction("sent"), reportReceived: direction("received")})
	return made.(*Counter)
}

// Sent counts n bytes that left the instance.
func (c *Counter) Sent(n int) {
	if c != nil && n > 0 {
		c.sent.Add(int64(n))
		c.reportSent.Inc(int64(n))
	}
}

// Received counts n bytes that reached the instance.
func (c *Counter) Received(n int) {
	if c != nil && n > 0 {
		c.received.Add(int64(n))
		c.reportReceived.Inc(int64(n))
	}
}

// Bytes are the totals of a kind since the start.
type Bytes struct{ Sent, Received int64 }

// Control returns the totals of each kind of control traffic.
func (m *Meter) Control() map[string]Bytes {
	out := map[string]Bytes{}
	m.kinds.Range(func(name, c any) bool {
		if !dataKinds[name.(string)] {
			out[name.(string)] = Bytes{c.(*Counter).sent.Load(), c.(*Counter).received.Load()}
		}
		return true
	})
	return out
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns dial with connections whose bytes go to the counter that kind returns at the time. A nil dial connects by TCP.
func Dial(dial DialFunc, kind func() *Counter) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn{c, kind}, nil
	}
}

type conn struct {
	net.Conn
	kind func() *Counter
}

// Read counts what was read.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.kind().Received(n)
	return n, err
}

// Write counts what was written.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.kind().Sent(n)
	return n, err
}
