package edge

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

const (
	// badLoadInterval is the shortest time between two log lines about loads that cannot be read. An endpoint states its load in
	// each answer.
	badLoadInterval = 10 * time.Second
	// maxLoggedLoad bounds the text of such a load in bytes.
	maxLoggedLoad = 64
)

// badLoads bounds the log lines about loads that cannot be read. It is safe for concurrent use.
type badLoads struct {
	mu      sync.Mutex
	nextAt  clock.Instant
	skipped int // since the last line
}

// record records such a load. It reports whether to log it, and the number of those before that were not logged.
func (b *badLoads) record(now clock.Instant) (log bool, skipped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.nextAt {
		b.skipped++
		return false, 0
	}
	skipped = b.skipped
	b.nextAt, b.skipped = now.Add(badLoadInterval), 0
	return true, skipped
}

// observeLoad records the load that an answer states.
func (e *Edge) observeLoad(request, service string, endpoint *placement.Endpoint, id string, load EndpointLoad) {
	if load.Invalid != "" {
		if log, skipped := e.badLoads.record(e.clock.Now()); log {
			text := load.Invalid
			if len(text) > maxLoggedLoad {
				text = text[:maxLoggedLoad]
			}
			e.log.Warn("load stated by an endpoint cannot be read", zap.String("endpoint", id), zap.String("request", request),
				zap.String("load", strings.ToValidUTF8(text, "?")), zap.Int("not_logged", skipped))
		}
	}
	if load.PaceKnown {
		e.pools.recordLoad(service, endpoint, load)
	}
}

// recordLoad records what an endpoint has reported about its load and its pace.
func (p *pools) recordLoad(service string, e *placement.Endpoint, load EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byService[service].RecordLoad(p.clock.Now(), e, load.Running, load.Waiting, load.Pace)
}

// slowEngines returns the number of engines in a slow spell.
func (p *pools) slowEngines(now clock.Instant) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow := 0
	for _, pool := range p.byService {
		slow += pool.SlowEngines(now)
	}
	return slow
}

// mergePaces records the pace factors that other instances of the region have received.
func (p *pools) mergePaces(paces map[string]placement.Pace) {
	if len(paces) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		for endpoint, pace := range paces {
			pool.MergePace(endpoint, pace)
		}
	}
}
