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

// Limits on the prefix blocks tracked for all endpoints together and for one. A block takes 116 bytes, so 64k blocks take 7.8 MB: with
// four times as many, an instance of the largest planned region exceeded its 64 MB for control state.
const (
	totalPrefixBlocks = 1 << 16
	minPrefixBlocks   = 1 << 8
	maxPrefixBlocks   = 1 << 15
)

// prefixBlocks returns the number of prefix blocks tracked for each of n endpoints.
func prefixBlocks(n int) int {
	return min(max(totalPrefixBlocks/max(n, 1), minPrefixBlocks), maxPrefixBlocks)
}

// endpoint is the client of one endpoint. Its state is guarded by Dispatcher.mu, its transports need no lock.
type endpoint struct {
	config  config.Endpoint
	baseURL string // http://ip:port

	pooled         *http.Transport                 // for requests that may be repeated or resumed
	reports        *http.Transport                 // for load reports and cache events, whose bytes are counted
	trafficCounter atomic.Pointer[traffic.Counter] // counts the bytes of the current poll; an endpoint is polled sequentially
	unpooled       *http.Transport                 // a new connection for each request, see newTransport

	state endpointState
}

// endpointState is the known load, health and prefix cache of an endpoint. It is guarded by Dispatcher.mu.
type endpointState struct {
	inFlight         int
	prefill          float64 // prompt tokens of own requests whose prefill is not done
	peerRequests     int     // requests of other instances, from the last load report
	peerPrefill      float64 // prompt tokens waiting for prefill of other instances, from the last load report
	ownAtReport      ownLoad // own load at the last load report
	reportedAt       clock.Instant
	reportedRequests int // requests in the last load report, of all instances
	reported         bool
	health           routing.Health
	prefix           *routing.PrefixCache
	cacheSequence    int64 // of the last cache event
	removed          bool  // no longer configured
	unpublished      bool  // own load has changed since it was last published to the peers
	missedReports    int   // consecutive failed polls for a load report
	attempts         map[*watchedAttempt]struct{}
}

// ownLoad is the load of one instance at an endpoint. A load report lags and may still count requests that have ended since, so the
// largest recent own load is subtracted from it to get the load of the other instances.
type ownLoad struct {
	requests int
	prefill  float64
}

func (l *endpointState) own() ownLoad { return ownLoad{requests: l.inFlight, prefill: l.prefill} }

func (w ownLoad) max(o ownLoad) ownLoad {
	return ownLoad{requests: max(w.requests, o.requests), prefill: max(w.prefill, o.prefill)}
}

// defaultSlots is the batch size of an engine that declares none. A plain service has no batch; serviceSlots only bounds the
// concurrent requests from one instance to it.
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
		config:   withSlots(c),
		baseURL:  "http://" + c.Addr,
		pooled:   newTransport(o, false),
		unpooled: newTransport(o, true),
		state:    endpointState{prefix: routing.NewPrefixCache(blocks), attempts: map[*watchedAttempt]struct{}{}},
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	o.Dial = traffic.Dial(o.Dial, e.trafficCounter.Load)
	e.reports = newTransport(o, false)
	return e
}

// maxResponseHeader bounds the header of an endpoint's response in bytes.
const maxResponseHeader = 64 << 10

// newTransport returns a transport without proxy, compression and HTTP/2.
//
// With noRetry each request has a connection of its own. net/http resends a request automatically when a reused connection fails
// before the response; on a new connection it never does, so a non-idempotent request cannot be sent twice.
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
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      noRetry,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// trackedConn records whether a byte may have been written to it, and calls beforeWrite right before the first byte of a request to
// check whether the request may still be sent.
type trackedConn struct {
	net.Conn
	written     atomic.Bool
	beforeWrite atomic.Pointer[func() error]
}

// Write marks the connection as written to before it writes, since a failed write may have sent some bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	if check := c.beforeWrite.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	c.written.Store(true)
	return c.Conn.Write(p)
}

// closeIdle closes the connections that no request uses.
func (e *endpoint) closeIdle() {
	e.pooled.CloseIdleConnections()
	e.unpooled.CloseIdleConnections()
	e.reports.CloseIdleConnections()
}
