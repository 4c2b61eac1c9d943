package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// metrics count the traffic between instances. Bytes of connections include TLS, but not TCP and IP headers.
type metrics struct {
	scope         tally.Scope
	bytesSent     tally.Counter
	bytesReceived tally.Counter
	dials         tally.Counter
	dialErrors    tally.Counter
	refused       tally.Counter // inbound connections that failed the handshake or a limit
	sessions      tally.Gauge
	traffic       *traffic.Meter
	byService     sync.Map // service name -> *serviceMetrics
}

// serviceMetrics count the frames of one service. The service tag tells control traffic from forwarded requests.
type serviceMetrics struct {
	messagesSent     tally.Counter
	messagesReceived tally.Counter
	bytesSent        tally.Counter
	bytesReceived    tally.Counter
	traffic          *traffic.Counter
}

func newMetrics(scope tally.Scope, meter *traffic.Meter) *metrics {
	scope = scope.SubScope("peer")
	return &metrics{
		scope:         scope,
		traffic:       meter,
		bytesSent:     scope.Counter("bytes_sent"),
		bytesReceived: scope.Counter("bytes_received"),
		dials:         scope.Counter("dials"),
		dialErrors:    scope.Counter("dial_errors"),
		refused:       scope.Counter("connections_refused"),
		sessions:      scope.Gauge("sessions"),
	}
}

// service returns the counters of a service. Callers pass only names of this program, so the number of tags is bounded.
func (m *metrics) service(name string) *serviceMetrics {
	if found, ok := m.byService.Load(name); ok {
		return found.(*serviceMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"service": name})
	made, _ := m.byService.LoadOrStore(name, &serviceMetrics{
		messagesSent:     scope.Counter("messages_sent"),
		messagesReceived: scope.Counter("messages_received"),
		bytesSent:        scope.Counter("message_bytes_sent"),
		bytesReceived:    scope.Counter("message_bytes_received"),
		traffic:          m.traffic.Kind(name),
	})
	return made.(*serviceMetrics)
}

func (m *serviceMetrics) sent(bytes int) {
	m.messagesSent.Inc(1)
	m.bytesSent.Inc(int64(bytes))
}

func (m *serviceMetrics) received(bytes int) {
	m.messagesReceived.Inc(1)
	m.bytesReceived.Inc(int64(bytes))
}

// countedConn counts the bytes of a connection below TLS.
type countedConn struct {
	net.Conn
	metrics        *metrics
	sent, received atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.bytesReceived.Inc(int64(n))
	c.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.bytesSent.Inc(int64(n))
	c.sent.Add(int64(n))
	return n, err
}
