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
		// Requests take their own deadlines for bodies and answers: a stream may last for minutes.
	}
}

// Serve answers callers on l until Shutdown. It returns nil after that.
func (g *Gateway) Serve(l net.Listener) error {
	bounded := newListener(l, g.opts.MaxConnections)
	g.listening.Store(bounded)
	err := g.server.Serve(bounded)
	if errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
		return nil
	}
	return err
}

// Ready reports whether new callers may be sent here.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.opts.Source.View().Revision() > 0 }

// Drain ends readiness: answers close their connections, and no more requests of other regions are taken. Requests that
// still arrive are served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Shutdown drains, stops listening and waits for the requests in flight, its own callers' and forwarded ones. It cuts none
// of them unless ctx ends first.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	_ = clock.Sleep(ctx, g.opts.StopDelay) // the rest of the stop goes on if ctx ends
	if l := g.listening.Load(); l != nil {
		l.stop()
	}
	g.conns.waitIdle(ctx, g.opts.StopDelay)
	err := g.server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		err = nil // the listener, which is closed before
	}
	if waitErr := g.forwards.wait(ctx); err == nil {
		err = waitErr
	}
	g.unsubscribe()
	return err
}

// Close ends all callers' connections at once.
func (g *Gateway) Close() error {
	g.unsubscribe()
	return g.server.Close()
}

// inFlight counts requests and lets one wait for the last.
type inFlight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n becomes 0, nil while nobody waits
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
