package edge

import (
	"context"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// suspectRestart records that a connection to an endpoint has ended or could not be opened. If its service has a cold phase, the endpoint
// gets no more than the cold rate until its entry, an older connection or time shows that it is not cold.
func (e *Edge) suspectRestart(a *attempt, endpoint catalog.Incarnation, reason string) {
	if e.pools.suspectRestart(a.service, endpoint) {
		e.logSuspicion(endpoint, true, reason, zap.String("request", a.id))
	}
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
		for _, endpoint := range e.pools.tick() {
			e.logSuspicion(endpoint, false, "it has answered for a cold period")
		}
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
