package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

func (g *Gateway) newServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.opts.HeaderTimeout,
		IdleTimeout:       g.opts.IdleTimeout,
		MaxHeaderBytes:    g.opts.MaxHeader,
		ConnContext:       withConn,
		ConnState:         g.connState,
		// There are no read and write timeouts for whole requests, since a stream may last for minutes. The handlers set
		// deadlines for bodies and answers.
	}
}

// Serve serves callers on l until Shutdown or Close, after which it returns nil.
func (g *Gateway) Serve(l net.Listener) error {
	bounded := newListener(l, g.opts.MaxConnections)
	g.listener.Store(bounded)
	err := g.server.Serve(bounded)
	if errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
		return nil
	}
	return err
}

// Ready reports whether new callers may be sent to this instance: it has a configuration and is not draining.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.opts.Source.View().Revision() > 0 }

// Drain makes the instance not ready. From then on, answers close their connections, and requests of remote regions are rejected.
// Callers' requests that still arrive are served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Shutdown drains, stops listening and waits for the requests in flight, both callers' and forwarded ones. It ends none of them early
// unless ctx ends first.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	_ = clock.Sleep(ctx, g.opts.StopDelay) // if ctx has ended, the remaining steps are still done
	if l := g.listener.Load(); l != nil {
		l.stop()
	}
	g.conns.waitIdle(ctx, g.opts.StopDelay)
	err := g.server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		err = nil // the listener was closed above
	}
	if waitErr := g.forwardedRequests.wait(ctx); err == nil {
		err = waitErr
	}
	g.unsubscribe()
	return err
}

// Close closes all callers' connections at once.
func (g *Gateway) Close() error {
	g.unsubscribe()
	return g.server.Close()
}

// inFlight counts requests in flight. wait blocks until there are none.
type inFlight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n becomes 0, nil unless wait is blocked
}

func (f *inFlight) add() {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
}

func (f *inFlight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
