package edge

import (
	"net/http"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// observeLimit records what an endpoint's answer says about the request rate that it accepts. Only an answer to a request that it
// has run shows by its silence that the endpoint no longer names a limit.
func (e *Edge) observeLimit(request string, chosen placement.Choice, status int, head AnswerHead, sentAt clock.Instant) {
	ran := head.Signed && !head.NotRun && status < http.StatusInternalServerError
	if status == http.StatusMisdirectedRequest || !head.RateLimited && !ran {
		return
	}
	now := e.clock.Now()
	before, wasLimited, changed := e.pools.observeLimit(now, chosen.Incarnation, sentAt, head.RateLimit, head.RateLimited)
	if !changed {
		return
	}
	fields := []zap.Field{
		zap.String("endpoint", chosen.ID), zap.String("request", request), zap.Duration("sent_ago", now.Sub(sentAt)),
		zap.Bool("limited_before", wasLimited), zap.Float64("before", before),
	}
	if !head.RateLimited {
		e.log.Info("endpoint names no limit any more", fields...)
		return
	}
	e.log.Info("endpoint names a limit", append(fields, zap.Float64("limit", head.RateLimit))...)
}

// observeLimit records the limit in an endpoint's answer. It returns the limit before, and whether it has changed.
func (p *pools) observeLimit(now clock.Instant, endpoint catalog.Incarnation, sentAt clock.Instant, limit float64, limited bool) (before float64, wasLimited, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, wasLimited = p.limits.Limit(endpoint)
	return before, wasLimited, p.limits.Observe(now, endpoint, sentAt, limit, limited)
}

// limitOf returns the request rate that an endpoint has named, and false if it names none.
func (p *pools) limitOf(endpoint catalog.Incarnation) (perSecond float64, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Limit(endpoint)
}

// pruneLimits drops the limits of endpoints that have gone and returns the number of endpoints that name one.
func (p *pools) pruneLimits(listed func(id string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Prune(p.clock.Now(), listed)
	return p.limits.Limited()
}
