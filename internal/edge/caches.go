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

const (
	// cacheListDelay separates the list calls of a starting instance, since each delays its engine for a moment.
	cacheListDelay = 20 * time.Millisecond
	// cacheListTimeout bounds one list call.
	cacheListTimeout = time.Second
	// maxCacheList bounds the answer in bytes: some thousand parts of 60 bytes.
	maxCacheList = 1 << 20
)

// loadCacheContents asks the region's engines once after the start for the contents of their prefix caches. Otherwise a restarted
// instance would send requests to engines that must process shared prompt parts which other engines have cached.
func (e *Edge) loadCacheContents(ctx context.Context) {
	for !e.Ready() {
		if clock.Sleep(ctx, dispatchInterval) != nil {
			return
		}
	}
	conf := e.state.configuration.Load()
	for name, list := range e.state.usable(e.options.Self.Region) {
		service := conf.Service(name)
		if service == nil || service.Engine == nil {
			continue
		}
		for _, endpoint := range list {
			if clock.Sleep(ctx, cacheListDelay) != nil {
				return
			}
			if limit := e.pools.limitOf(endpoint.Incarnation); limit.limited {
				e.log.Info("prefix cache of an engine that names a limit is not listed", zap.String("endpoint", endpoint.ID), zap.Float64("limit", limit.perSecond))
				continue
			}
			parts, err := e.listCache(ctx, endpoint)
			if err != nil {
				e.log.Info("prefix cache of an engine could not be listed; placing requests without it", zap.String("endpoint", endpoint.ID), zap.Error(err))
				continue
			}
			e.log.Info("prefix cache of an engine listed", zap.String("endpoint", endpoint.ID), zap.Int("parts", len(parts)))
			e.pools.recordCachedParts(name, endpoint.ID, parts)
		}
	}
}

func (e *Edge) listCache(ctx context.Context, endpoint catalog.Endpoint) ([]placement.PromptPart, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	sentAt := e.clock.Now()
	resp, head, err := e.send(ctx, endpoint.Incarnation, endpoint.Addr, &endpointconn.Request{
		Method: http.MethodGet, URI: e.options.Dialect.CacheListPath(), Host: endpoint.Addr, Header: http.Header{},
	}, func() bool { return e.pools.accepts(endpoint.Incarnation) })
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	e.observeLimit("", endpoint.Incarnation, resp.Status, head, sentAt)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCacheList))
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Newf("status %d", resp.Status)
	}
	cached, err := e.options.Dialect.ParseCacheList(body)
	if err != nil {
		return nil, err
	}
	parts := make([]placement.PromptPart, 0, len(cached))
	for _, c := range cached {
		parts = append(parts, placement.PromptPart{Key: placement.PartKey(c.Model, c.ID), Tokens: c.Tokens})
	}
	return parts, nil
}

// recordCachedParts records the prompt parts that an engine has in its prefix cache.
func (p *pools) recordCachedParts(service, endpoint string, parts []placement.PromptPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byService[service]; pool != nil {
		pool.RecordCached(endpoint, parts, p.clock.Now())
	}
}
