package edge

import (
	"net/http"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
)

// observeLimit records what an endpoint's answer says about the request rate that it accepts. Only an answer to a request that it
// has run shows by its silence that the endpoint no longer names a limit.
func (e *Edge) observeLimit(request string, endpoint catalog.Incarnation, status int, head AnswerHead, sentAt clock.Instant) {
	ran := head.Signed && !head.NotRun && status < http.StatusInternalServerError
	if status == http.StatusMisdirectedRequest || !head.RateLimited && !ran {
		return
	}
	now := e.clock.Now()
	before, changed := e.pools.updateLimit(endpoint, func(r *endpointrate.Register) bool {
		return r.Observe(now, endpoint, sentAt, head.RateLimit, head.RateLimited)
	})
	if changed {
		e.logLimit(endpoint, before, head.RateLimit, head.RateLimited, zap.String("request", request), zap.Duration("sent_ago", now.Sub(sentAt)))
	}
}

// mergeLimits records what other instances know of the request rates that endpoints accept.
func (e *Edge) mergeLimits(now clock.Instant, statements []endpointrate.Statement) {
	for _, s := range statements {
		before, after := e.pools.mergeStatement(now, s)
		if after.limit != before.limit {
			e.logLimit(s.Endpoint, before.limit, after.limit.perSecond, after.limit.limited, zap.Uint64("version", s.Version))
		}
		if after.mayHaveRestarted != before.mayHaveRestarted {
			e.logSuspicion(s.Endpoint, after.mayHaveRestarted, "told by another instance")
		}
	}
}

// knownLimit is the request rate that an endpoint has named, if limited.
type knownLimit struct {
	perSecond float64
	limited   bool
}

// logLimit logs a change of an endpoint's limit. source says how this instance has learned of it: by an answer, or by the version of a
// statement that another instance has passed on.
func (e *Edge) logLimit(endpoint catalog.Incarnation, before knownLimit, limit float64, limited bool, source ...zap.Field) {
	fields := append(source, zap.String("endpoint", endpoint.ID), zap.Int64("born", endpoint.StartedAtMillis),
		zap.Bool("limited_before", before.limited), zap.Float64("before", before.perSecond))
	if limited {
		e.log.Info("endpoint names a limit", append(fields, zap.Float64("limit", limit))...)
		return
	}
	e.log.Info("endpoint names no limit any more", fields...)
}

// updateLimit updates the register and returns the endpoint's limit before, and whether the update has changed it.
func (p *pools) updateLimit(endpoint catalog.Incarnation, update func(*endpointrate.Register) bool) (before knownLimit, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before.perSecond, before.limited = p.limiter.Statements.Limit(endpoint)
	return before, update(p.limiter.Statements)
}

// knownRate is what is known of the request rate that an endpoint accepts.
type knownRate struct {
	limit            knownLimit
	mayHaveRestarted bool
}

// mergeStatement records what another instance knows of an endpoint, and returns what was known before and after.
func (p *pools) mergeStatement(now clock.Instant, s endpointrate.Statement) (before, after knownRate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := func() (k knownRate) {
		k.limit.perSecond, k.limit.limited = p.limiter.Statements.Limit(s.Endpoint)
		k.mayHaveRestarted = p.limiter.Statements.MayHaveRestarted(s.Endpoint)
		return k
	}
	before = known()
	p.limiter.Statements.Merge(now, s)
	return before, known()
}

// limitStatements returns what this instance knows of the request rates that endpoints accept.
func (p *pools) limitStatements() []endpointrate.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Statements.Statements()
}

// limitOf returns the request rate that an endpoint has named.
func (p *pools) limitOf(endpoint catalog.Incarnation) knownLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	perSecond, limited := p.limiter.Statements.Limit(endpoint)
	return knownLimit{perSecond, limited}
}

// pruneLimits drops the limits of endpoints that have gone.
func (e *Edge) pruneLimits() {
	now, listed := e.clock.Now(), e.state.knownID()
	e.metrics.organisations.Update(float64(e.pools.organisationsWithShares()))
	e.metrics.limitedEndpoints(e.pools.pruneLimits(now, listed))
	e.view.pruneLimits(now, listed)
}

// pruneLimits drops the limits of endpoints that have gone and returns the numbers of endpoints that name one and that may have restarted.
func (p *pools) pruneLimits(now clock.Instant, listed func(id string) bool) (limited, suspected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Prune(now, listed)
	return p.limiter.Statements.Limited(), p.limiter.Statements.Suspected()
}

func (v *view) pruneLimits(now clock.Instant, listed func(id string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node.PruneLimits(now, listed)
}

// setSenders replaces the instances that may send requests to endpoints which accept only a request rate.
func (p *pools) setSenders(now clock.Instant, names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Senders.SetMembers(now, names)
}

// updateSenders makes the members of the region the senders, once they are known.
func (e *Edge) updateSenders() {
	if names, read := e.fleet.regionMembers(); read {
		e.pools.setSenders(e.clock.Now(), names)
	}
}
