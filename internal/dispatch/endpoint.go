package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// Prefix blocks remembered for all endpoints together and for one. A block takes 116 bytes, so that 64k take 7.8 MB: with
// four times as many, a daemon of the largest planned region exceeded its 64 MB for control state.
const (
	prefixBudget   = 1 << 16
	minPrefixBlock = 1 << 8
	maxPrefixBlock = 1 << 15
)

// prefixBlocks is the number of prefix blocks remembered for each of n endpoints.
func prefixBlocks(n int) int {
	return min(max(prefixBudget/max(n, 1), minPrefixBlock), maxPrefixBlock)
}

// endpoint is the client of one endpoint. Its connections are plain fields; its load is guarded by Dispatcher.mu.
type endpoint struct {
	config config.Endpoint
	base   string // http://ip:port

	pooled *http.Transport                 // for requests that may be repeated or resumed
	report *http.Transport                 // for load reports and cache events, whose bytes are counted
	kind   atomic.Pointer[traffic.Counter] // of the report under way; reports of an endpoint follow each other
	single *http.Transport                 // a new connection for each request, see noRetry

	load load
}

// load is what is known of an endpoint's work. It is guarded by Dispatcher.mu.
type load struct {
	inFlight      int
	pending       float64 // own prompt tokens that the endpoint has not worked through
	foreign       int     // requests of other instances, as reported
	foreignTokens float64 // their waiting tokens
	last          ownWork // at the last report
	reportedAt    clock.Instant
	reportedTotal int // requests in the last report, whoever sent them
	reported      bool
	health        routing.Health
	prefix        *routing.PrefixCache
	sequence      int64 // of the last cache event
	gone          bool  // no longer configured
	changed       bool  // own work has changed since the neighbours were told
	silent        int   // load reports in a row that did not come
	attempts      map[*attemptWatch]struct{}
}

// ownWork is this instance's work at an endpoint. A report lags, so that it may still count work that has ended since; the
// largest recent figure is taken for own when the other instances' work is told from it.
type ownWork struct {
	requests int
	tokens   float64
}

func (l *load) own() ownWork { return ownWork{requests: l.inFlight, tokens: l.pending} }

func (w ownWork) atLeast(o ownWork) ownWork {
	return ownWork{requests: max(w.requests, o.requests), tokens: max(w.tokens, o.tokens)}
}

// defaultSlots is the batch depth of an engine that declares none. A plain service has no batch; serviceSlots only bounds the
// requests that one instance sends to it at once.
const (
	defaultSlots = 8
	serviceSlots = 64
)

func withSlots(c config.Endpoint) config.Endpoint {
	switch {
	case c.Kind == config.KindService:
		c.Slots = serviceSlots
	case c.Slots <= 0:
		c.Slots = defaultSlots
	}
	return c
}

func newEndpoint(c config.Endpoint, o Options, blocks int) *endpoint {
	e := &endpoint{
		config: withSlots(c),
		base:   "http://" + c.Addr,
		pooled: newTransport(o, false),
		single: newTransport(o, true),
		load:   load{prefix: routing.NewPrefixCache(blocks), attempts: map[*attemptWatch]struct{}{}},
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	o.Dial = traffic.Dial(o.Dial, e.kind.Load)
	e.report = newTransport(o, false)
	return e
}

// maxResponseHeader bounds the header of an endpoint's answer in bytes.
const maxResponseHeader = 64 << 10

// newTransport returns a transport without proxy, compression and HTTP/2.
//
// With noRetry each request has a connection of its own. net/http sends a request again on its own when a reused connection
// fails before the answer; on a new connection it never does, so a non-idempotent request cannot be sent twice.
func newTransport(o Options, noRetry bool) *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      noRetry,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// countedConn knows whether a byte may have left through it, and checks right before the first byte of a request whether the
// request may still be sent.
type countedConn struct {
	net.Conn
	written atomic.Bool
	check   atomic.Pointer[func() error]
}

// Write marks the connection before it writes: a failed write may have sent a part.
func (c *countedConn) Write(p []byte) (int, error) {
	if check := c.check.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	c.written.Store(true)
	return c.Conn.Write(p)
}

// closeIdle ends the connections that no request uses.
func (e *endpoint) closeIdle() {
	e.pooled.CloseIdleConnections()
	e.single.CloseIdleConnections()
	e.report.CloseIdleConnections()
}
