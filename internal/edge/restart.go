package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
)

// suspectRestart records that a connection to an endpoint has ended or could not be opened. If its service has a cold phase, the endpoint
// gets no more than the cold rate until its entry, an older connection or time shows that it is not cold.
func (e *Edge) suspectRestart(a *attempt, endpoint catalog.Incarnation, addr, reason string) {
	if !e.pools.suspectRestart(a.service, endpoint) {
		return
	}
	e.logSuspicion(endpoint, true, reason, zap.String("request", a.id))
	if e.pools.isEngine(a.service) {
		e.spawn(func(ctx context.Context) { e.askForStart(ctx, endpoint, addr) })
	}
}

const (
	// reportTimeout bounds the call for an engine's report.
	reportTimeout = time.Second
	// maxReport bounds the answer in bytes.
	maxReport = 64 << 10
)

// askForStart asks an engine that may have restarted when it was started.
func (e *Edge) askForStart(ctx context.Context, endpoint catalog.Incarnation, addr string) {
	askedAt := e.clock.Now()
	started, err := e.readStart(ctx, endpoint, addr)
	if err != nil {
		e.log.Info("engine that may have restarted does not say when it was started", zap.String("endpoint", endpoint.ID), zap.Error(err))
		return
	}
	if e.pools.recordStarted(askedAt, catalog.Incarnation{ID: endpoint.ID, StartedAtMillis: started}) {
		e.logSuspicion(endpoint, false, "it reports the start that is known of it")
	}
}

func (e *Edge) readStart(ctx context.Context, endpoint catalog.Incarnation, addr string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, _, err := e.send(ctx, endpoint, addr, &endpointconn.Request{
		Method: http.MethodGet, URI: e.options.Dialect.ReportPath(), Host: addr, Header: http.Header{},
	}, func() bool { return e.pools.accepts(endpoint) })
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return 0, err
	}
	if resp.Status != http.StatusOK {
		return 0, errors.Newf("status %d", resp.Status)
	}
	return e.options.Dialect.ParseReport(body)
}

func (p *pools) isEngine(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	return pool != nil && pool.service.Engine != nil
}

// recordStarted records that an endpoint has reported its start, and reports whether that dispels a suspicion.
func (p *pools) recordStarted(askedAt clock.Instant, running catalog.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Statements.RecordRunning(p.clock.Now(), askedAt, running)
}

// recordContinuity records output of an endpoint.
func (e *Edge) recordContinuity(b *endpointBody) {
	if e.pools.mayHaveRestarted(b.incarnation) && b.open() && e.pools.recordContinuity(b.attempt.service, b.incarnation, b.connectedAt) {
		e.logSuspicion(b.incarnation, false, "output on an older connection", zap.String("request", b.attempt.id))
	}
}

// runPools offers waiting requests to the endpoints at each interval until ctx ends.
func (e *Edge) runPools(ctx context.Context) {
	for clock.Sleep(ctx, dispatchInterval) == nil {
		e.contain("dispatch", func() {
			for _, endpoint := range e.pools.tick() {
				e.logSuspicion(endpoint, false, "it has answered for a cold period")
			}
		})
	}
}

func (e *Edge) logSuspicion(endpoint catalog.Incarnation, raised bool, reason string, fields ...zap.Field) {
	fields = append(fields, zap.String("endpoint", endpoint.ID), zap.Int64("born", endpoint.StartedAtMillis), zap.String("reason", reason))
	if raised {
		e.log.Info("endpoint may have restarted; it gets its cold rate at most", fields...)
		return
	}
	e.log.Info("endpoint is not suspected of a restart any more", fields...)
}

func (p *pools) suspectRestart(service string, endpoint catalog.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	if pool == nil || pool.service.ColdRate <= 0 {
		return false
	}
	listed := pool.Endpoint(endpoint.ID)
	return listed != nil && listed.Incarnation == endpoint && p.limiter.Statements.Suspect(p.clock.Now(), endpoint)
}

func (p *pools) mayHaveRestarted(endpoint catalog.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Statements.MayHaveRestarted(endpoint)
}

func (p *pools) recordContinuity(service string, endpoint catalog.Incarnation, connectedAt clock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byService[service]
	return pool != nil && p.limiter.Statements.RecordOutput(p.clock.Now(), endpoint, connectedAt, pool.service.ColdPeriod)
}

// mayReceive reports whether a request may still be sent to the endpoint that was chosen for it. One that was chosen at a higher
// rate than the cold rate may not if the endpoint accepts only that since, or has restarted.
func (p *pools) mayReceive(service string, chosen placement.Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.notices.Notice(chosen.Incarnation).Accepts(p.clock.Now()) {
		return false
	}
	pool := p.byService[service]
	if pool == nil || chosen.RateLimited && chosen.Rate <= pool.service.ColdRate {
		return true
	}
	listed := pool.Endpoint(chosen.ID)
	if listed == nil {
		return true
	}
	if listed.Incarnation != chosen.Incarnation {
		return false
	}
	// Without a cold rate the request would be placed there at any rate again.
	return pool.service.ColdRate <= 0 || !p.limiter.Statements.MayHaveRestarted(chosen.Incarnation)
}
