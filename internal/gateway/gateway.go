package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// Gateway serves the requests of callers that reach this instance, and requests that instances of remote regions forward to it.
type Gateway struct {
	opts    Options
	bodies  *semaphore.Weighted // bytes of request bodies held in memory
	routes  atomic.Pointer[routeTable]
	metrics *requestMetrics
	server  *http.Server

	draining atomic.Bool
	// listener is set by Serve.
	listener          atomic.Pointer[listener]
	conns             connections
	forwardedRequests inFlight // from remote regions

	mu        sync.Mutex
	openCalls map[*call]struct{}

	unsubscribe func()
}

var _ operations.Runner = (*Gateway)(nil)

// New returns a gateway. It registers the handler of forwarded requests, so it must be called before the network starts.
func New(o Options) (*Gateway, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	g := &Gateway{opts: o, bodies: semaphore.NewWeighted(o.MaxBodyMemory), openCalls: map[*call]struct{}{}, metrics: newRequestMetrics(o.Metrics)}
	g.server = g.newServer()
	g.unsubscribe = o.Source.Subscribe(g.applyView)
	if o.Network != nil {
		o.Network.Handle(forwardService, g.serveForward)
	}
	return g, nil
}

// errKeyWithdrawn ends requests whose key was withdrawn after they had started.
var errKeyWithdrawn = notRunError(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn")

// errWrongRegion ends requests of an organisation whose home region has changed to another one.
var errWrongRegion = notRunError(http.StatusMisdirectedRequest, "wrong_region", "the organisation's data must stay in another region")

// applyView ends open requests that the new configuration no longer permits. Non-idempotent requests that may have reached an
// endpoint are not ended (see call.mustFinish).
func (g *Gateway) applyView(v configsync.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.openCalls {
		if err := c.permitted(v); err != nil {
			c.cancelUnsent(&err.failure)
		}
	}
}

// register adds a call to those that applyView checks. The returned function removes it and must be called when the call ends.
func (g *Gateway) register(c *call) (end func(), err *apiError) {
	g.mu.Lock()
	g.openCalls[c] = struct{}{}
	g.mu.Unlock()
	end = func() {
		g.mu.Lock()
		delete(g.openCalls, c)
		g.mu.Unlock()
		c.cancel(nil)
	}
	// Check again: a configuration that came into force after the key was checked and before the registration was seen by
	// neither.
	if err := c.permitted(g.opts.Source.View()); err != nil {
		end()
		return nil, err
	}
	return end, nil
}

// newID returns a unique request id. Endpoints get the same id, so it is never taken from the caller.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := newID()
	h := w.Header()
	h.Set(headerRequestID, id)
	markServed(r.Context())
	// net/http ignores the Content-Length of a chunked request. Closing the connection after any chunked request prevents
	// request smuggling: bytes that follow it are never read as a second request.
	if g.draining.Load() || len(r.TransferEncoding) > 0 {
		h.Set("Connection", "close")
	}
	defer func() {
		if p := recover(); p != nil {
			g.handlePanic(w, id, p)
		}
	}()
	ctx, span := startRequest(r, id)
	defer span.End()
	g.currentRoutes().router.ServeHTTP(w, r.WithContext(context.WithValue(ctx, requestIDKey{}, id)))
}

type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// handlePanic logs the panic of a handler, answers with an internal error and closes the connection, since a part of the answer may
// have been sent already.
func (g *Gateway) handlePanic(w http.ResponseWriter, id string, p any) {
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	g.opts.Logger.Error("request handler panicked; the connection is closed", zap.String("request_id", id), zap.Any("panic", p), zap.Stack("stack"))
	asAPIError(errors.Newf("panic: %v", p)).writeTo(w)
	panic(http.ErrAbortHandler)
}
