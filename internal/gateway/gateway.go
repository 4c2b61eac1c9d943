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

// Gateway serves the callers of one instance, and requests forwarded by instances of other regions.
type Gateway struct {
	opts    Options
	bodies  *semaphore.Weighted // bytes of bodies held
	routes  atomic.Pointer[routeTable]
	metrics *requestMetrics
	server  *http.Server

	draining atomic.Bool
	// listening is what Serve listens on.
	listening atomic.Pointer[listener]
	conns     connections
	forwards  inFlight // served for other regions

	mu   sync.Mutex
	open map[*call]struct{}

	unsubscribe func()
}

var _ operations.Runner = (*Gateway)(nil)

// New returns a gateway. It registers the forward service, so it must be called before the network starts.
func New(o Options) (*Gateway, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	g := &Gateway{opts: o, bodies: semaphore.NewWeighted(o.MaxBodyMemory), open: map[*call]struct{}{}, metrics: newRequestMetrics(o.Metrics)}
	g.server = g.newServer()
	g.unsubscribe = o.Source.Subscribe(g.applyView)
	if o.Network != nil {
		o.Network.Handle(forwardService, g.serveForward)
	}
	return g, nil
}

// errKeyWithdrawn ends requests whose key was withdrawn after they had begun.
var errKeyWithdrawn = refuse(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn")

// errMoved ends requests of an organisation whose home has changed.
var errMoved = refuse(http.StatusMisdirectedRequest, "wrong_region", "the organisation's data must stay in another region")

// applyView ends open requests that the new view no longer permits.
func (g *Gateway) applyView(v configsync.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		if err := c.permitted(v); err != nil {
			c.endUnsent(&err.failure)
		}
	}
}

// register makes a call end when its key is withdrawn. The returned function must be called at its end.
func (g *Gateway) register(c *call) (end func(), err *apiError) {
	g.mu.Lock()
	g.open[c] = struct{}{}
	g.mu.Unlock()
	end = func() {
		g.mu.Lock()
		delete(g.open, c)
		g.mu.Unlock()
		c.cancel(nil)
	}
	// A change between the check of the key and the registration has reached neither.
	if err := c.permitted(g.opts.Source.View()); err != nil {
		end()
		return nil, err
	}
	return end, nil
}

// newID returns an id that no other request has. It is also the id at the endpoint, so callers don't choose it.
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
	// A request with both a length and chunks is read by its chunks. Ending the connection after any chunked request
	// leaves no bytes that could be read as a second request.
	if g.draining.Load() || len(r.TransferEncoding) > 0 {
		h.Set("Connection", "close")
	}
	defer func() {
		if p := recover(); p != nil {
			g.panicked(w, id, p)
		}
	}()
	ctx, span := startRequest(r, id)
	defer span.End()
	g.table().router.ServeHTTP(w, r.WithContext(context.WithValue(ctx, requestIDKey{}, id)))
}

type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// panicked ends a request whose handler has failed. The connection is cut, since a part of an answer may have been sent.
func (g *Gateway) panicked(w http.ResponseWriter, id string, p any) {
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	g.opts.Logger.Error("handler failed", zap.String("request_id", id), zap.Any("panic", p), zap.Stack("stack"))
	asAPIError(errors.Newf("panic: %v", p)).writeTo(w)
	panic(http.ErrAbortHandler)
}
