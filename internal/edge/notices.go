package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
)

var (
	// errWithheld is returned instead of a response if the endpoint must not get the request any more at the moment of sending.
	errWithheld = errors.New("endpoint must not get the request any more")
	// errStopping is returned instead of a response if requests in progress are given up at the moment of sending.
	errStopping = errors.New(stoppingReason)
)

// send sends a request to an endpoint, and records what it asks in the head and the trailer of its answer. It sends nothing if, once a
// connection is open, mayReceive returns false, requests in progress are given up or ctx has ended. An answer that arrives after its
// attempt was given up counts too.
func (e *Edge) send(ctx context.Context, endpoint catalog.Incarnation, addr string, req *endpointconn.Request, mayReceive func() bool) (*endpointconn.Response, AnswerHead, error) {
	id := req.ID
	req.Endpoint = endpoint
	req.BeforeSend = func() error {
		if e.pools.isClosed() {
			return errStopping
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if mayReceive() {
			return nil
		}
		e.metrics.requestWithheld()
		if e.pools.accepts(endpoint) {
			// Output on a connection from before a suspected restart shows that there was none.
			return errors.Mark(errWithheld, endpointconn.ErrKeepOpen)
		}
		return errWithheld
	}
	req.OnLateAnswer = func(status int, h http.Header) {
		e.observeNotice(id, endpoint, e.options.Dialect.ParseAnswer(status, h).Notice)
	}
	req.OnTrailer = req.OnLateAnswer
	resp, err := e.conns.Do(ctx, addr, req)
	if err != nil {
		return nil, AnswerHead{}, err
	}
	head := e.options.Dialect.ParseAnswer(resp.Status, resp.Header)
	e.observeNotice(id, endpoint, head.Notice)
	return resp, head, nil
}

// observeNotice records what an endpoint's answer asks.
func (e *Edge) observeNotice(request string, endpoint catalog.Incarnation, said endpointnotice.Said) {
	if said == (endpointnotice.Said{}) {
		return
	}
	now := e.clock.Now()
	if notice, changed := e.pools.observeNotice(now, endpoint, said); changed {
		e.logNotice(now, endpoint, notice, zap.String("request", request))
	}
}

// mergeNotices records what other instances know of endpoints.
func (e *Edge) mergeNotices(now clock.Instant, advice []endpointnotice.Advice) {
	for _, a := range advice {
		if notice, changed := e.pools.mergeNotice(now, a); changed {
			e.logNotice(now, a.Endpoint, notice, zap.Bool("told_by_instance", true))
		}
	}
}

func (e *Edge) logNotice(now clock.Instant, endpoint catalog.Incarnation, notice endpointnotice.Notice, source zap.Field) {
	e.log.Info("endpoint asks for no requests", zap.String("endpoint", endpoint.ID), zap.Int64("born", endpoint.StartedAtMillis),
		zap.Bool("leaving", notice.Leaving), zap.Duration("wait", max(0, notice.WaitUntil.Sub(now))), source)
}

// pruneNotices drops the notices that no longer bind.
func (e *Edge) pruneNotices() {
	now, listed := e.clock.Now(), e.state.knownIncarnation()
	e.metrics.notices(e.pools.pruneNotices(now, listed))
	e.metrics.slowEngines(e.pools.slowEngines(now))
	e.view.pruneNotices(now, listed)
}

// mayKeepConnections returns a function that reports whether idle connections to an address are kept: one of the endpoints that are
// listed there is not leaving.
func (e *Edge) mayKeepConnections() func(addr string) bool {
	e.state.mu.Lock()
	endpoints := make([]catalog.Endpoint, 0, len(e.state.endpoints))
	for _, listed := range e.state.endpoints {
		endpoints = append(endpoints, listed.Endpoint)
	}
	e.state.mu.Unlock()
	keep := make(map[string]bool, len(endpoints))
	e.pools.mu.Lock()
	defer e.pools.mu.Unlock()
	for _, listed := range endpoints {
		keep[listed.Addr] = keep[listed.Addr] || !e.pools.notices.Notice(listed.Incarnation).Leaving
	}
	return func(addr string) bool { return keep[addr] }
}

// unavailableRetryAfter returns the Retry-After of a request that no endpoint may get: the shortest time for which one of the service has
// asked to wait, or noEndpointRetryAfter if none has.
func (e *Edge) unavailableRetryAfter(service string) time.Duration {
	wait := e.pools.shortestWait(service)
	if wait <= 0 {
		return noEndpointRetryAfter
	}
	return wait + time.Duration(float64(wait)*maxRetrySpread*rand.Float64())
}

// maxRetrySpread is the part of a time to wait by which returns of callers are spread, so that they do not come at the same moment.
const maxRetrySpread = 0.25

// accepts reports whether an endpoint accepts requests of this instance.
func (p *pools) accepts(endpoint catalog.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.Notice(endpoint).Accepts(p.clock.Now())
}

func (p *pools) observeNotice(now clock.Instant, endpoint catalog.Incarnation, said endpointnotice.Said) (endpointnotice.Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	notice, changed := p.notices.Observe(now, endpoint, said)
	if changed {
		p.dispatchAll()
	}
	return notice, changed
}

func (p *pools) mergeNotice(now clock.Instant, a endpointnotice.Advice) (endpointnotice.Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.notices.Merge(now, a)
	return p.notices.Notice(a.Endpoint), changed
}

// advice returns what this instance tells the others of its region.
func (p *pools) advice(now clock.Instant) []endpointnotice.Advice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.Advice(now)
}

// pruneNotices returns the numbers of endpoints that are leaving and that have asked to wait.
func (p *pools) pruneNotices(now clock.Instant, listed func(catalog.Incarnation) bool) (leaving, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices.Prune(now, listed)
	return p.notices.Counts(now)
}

// shortestWait returns the shortest time for which an endpoint of the service still asks to wait, 0 if none does.
func (p *pools) shortestWait(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	if pool == nil {
		return 0
	}
	return pool.ShortestWait(p.clock.Now())
}

func (v *view) pruneNotices(now clock.Instant, listed func(catalog.Incarnation) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node.PruneNotices(now, listed)
}
