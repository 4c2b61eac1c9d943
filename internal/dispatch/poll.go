package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// pollSpacing limits the load reports of all endpoints together to about 17 a second. A report takes about 300 bytes with its headers,
// which makes 5 KB/s of the 21 KB/s allowed for control traffic.
const pollSpacing = 60 * time.Millisecond

// pollsWhilePublished is the number of poll intervals between two polls of an endpoint while all peers publish their load at it. The load
// report then only shows that the endpoint still responds.
const pollsWhilePublished = 2

// pollInterval returns the time between two polls of an endpoint whose peer load is known from its load reports only.
func (d *Dispatcher) pollInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.basePollInterval()
}

// basePollInterval is pollInterval for callers that hold d.mu.
func (d *Dispatcher) basePollInterval() time.Duration {
	return max(d.opts.PollInterval, time.Duration(len(d.endpoints))*pollSpacing)
}

// loadPollDelay returns the time until the next poll of an endpoint's load report. An endpoint that missed the last poll is polled at the
// shorter interval.
func (d *Dispatcher) loadPollDelay(e *endpoint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	interval := d.basePollInterval()
	if _, published := d.publishedPeerLoad(e.config.Name, d.opts.Clock.Now()); published && e.state.missedReports == 0 {
		return pollsWhilePublished * interval
	}
	return interval
}

// startPolling starts the polling of an engine, unless it runs already. Plain services are not polled. The caller holds d.mu.
func (d *Dispatcher) startPolling(e *endpoint) {
	if e.config.Kind == config.KindService || d.cancelPolling[e] != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelPolling[e] = cancel
	d.runInBackground(func() {
		defer cancel()
		d.pollLoop(ctx, e)
	})
}

// Cache events are polled less often than load reports, since engines publish them with a delay. cacheSpacing limits the polls of all
// endpoints together to about 8 a second.
const (
	cacheInterval = time.Second
	cacheSpacing  = 130 * time.Millisecond
)

// maxCacheEndpoints is the number of endpoints up to which cache events are polled. Each instance of a region polls all of them: at 261
// engines that would take 435 KB/s, computed from 24.6 bytes an event, while control traffic may take 21 KB/s. Without the events, the
// requests that this instance sends still fill its prefix caches, and the ranking of entries leads an organisation to the same few
// instances.
const maxCacheEndpoints = 16

// readsCacheEvents reports whether the region has few enough endpoints for every instance to poll their cache events.
func (d *Dispatcher) readsCacheEvents() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.endpoints) <= maxCacheEndpoints
}

func (d *Dispatcher) pollLoop(ctx context.Context, e *endpoint) {
	// The random delay spreads the polls of the engines over the interval.
	timer := time.NewTimer(rand.N(d.pollInterval()))
	defer timer.Stop()
	var loadAt, cacheAt clock.Instant // times of the next polls
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if now := d.opts.Clock.Now(); !now.Before(loadAt) {
			d.pollLoad(ctx, e)
			loadAt = now.Add(d.loadPollDelay(e))
		}
		next := loadAt
		if d.readsCacheEvents() {
			if now := d.opts.Clock.Now(); !now.Before(cacheAt) {
				d.pollCache(ctx, e)
				cacheAt = now.Add(d.cachePollDelay())
			}
			next = min(loadAt, cacheAt)
		}
		timer.Reset(next.Sub(d.opts.Clock.Now()))
	}
}

// cachePollDelay returns the time until the next poll of an endpoint's cache events.
func (d *Dispatcher) cachePollDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(cacheInterval, d.opts.PollInterval, time.Duration(len(d.endpoints))*cacheSpacing)
}

type loadReport struct {
	Running      int     `json:"running"`
	Waiting      int     `json:"waiting"`
	QueuedTokens float64 `json:"queued_tokens"`
}

func (d *Dispatcher) pollLoad(ctx context.Context, e *endpoint) {
	d.mu.Lock()
	before := e.state.own()
	d.mu.Unlock()
	var r loadReport
	e.trafficCounter.Store(d.opts.Traffic.Kind(traffic.EndpointReports))
	if err := d.getJSON(ctx, e, "/engine/v1/load", &r); err != nil {
		if ctx.Err() == nil {
			d.reportMissed(e)
		}
		return // the last report is used until maxReportAge
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	own := before.max(e.state.own()).max(e.state.ownAtReport)
	e.state.ownAtReport = e.state.own()
	e.state.peerRequests = max(r.Running+r.Waiting-own.requests, 0)
	e.state.peerPrefill = max(r.QueuedTokens-own.prefill, 0)
	e.state.reportedRequests = r.Running + r.Waiting
	e.state.reportedAt = d.opts.Clock.Now()
	e.state.reported = true
	e.state.missedReports = 0
	d.grantSlotsInAllPools()
}

type cacheReport struct {
	Sequence int64 `json:"sequence"`
	Events   []struct {
		Sequence int64    `json:"sequence"`
		Kind     string   `json:"kind"`
		Blocks   []string `json:"blocks"`
	} `json:"events"`
}

func (d *Dispatcher) pollCache(ctx context.Context, e *endpoint) {
	d.mu.Lock()
	after := e.state.cacheSequence
	d.mu.Unlock()
	var r cacheReport
	e.trafficCounter.Store(d.opts.Traffic.Kind(traffic.CacheEvents))
	if err := d.getJSON(ctx, e, "/engine/v1/cache-events?after="+strconv.FormatInt(after, 10), &r); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyCache(e, &r)
}

// applyCache updates the prefix cache of an endpoint from its cache events. The caller holds d.mu.
func (d *Dispatcher) applyCache(e *endpoint, r *cacheReport) {
	now := d.opts.Clock.Now()
	if r.Sequence < e.state.cacheSequence {
		e.state.prefix.Reset() // the endpoint has restarted with an empty cache
		e.state.cacheSequence = 0
	}
	for _, ev := range r.Events {
		if ev.Sequence <= e.state.cacheSequence {
			continue
		}
		if ev.Sequence > e.state.cacheSequence+1 {
			e.state.prefix.EventsLost()
		}
		e.state.cacheSequence = ev.Sequence
		blocks := parseBlocks(ev.Blocks)
		if ev.Kind == "evicted" {
			e.state.prefix.Evicted(blocks)
			continue
		}
		e.state.prefix.Stored(blocks, now)
	}
}

func parseBlocks(hashes []string) []uint64 {
	out := make([]uint64, 0, len(hashes))
	for _, h := range hashes {
		if v, err := strconv.ParseUint(h, 16, 64); err == nil {
			out = append(out, v)
		}
	}
	return out
}

// maxReport bounds a load report or a list of cache events in bytes.
const maxReport = 1 << 20

func (d *Dispatcher) getJSON(ctx context.Context, e *endpoint, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, d.opts.ReportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+path, nil)
	if err != nil {
		return err
	}
	req.Header["User-Agent"] = nil // the default header would add 32 bytes to each poll
	resp, err := d.send(e.reports, req, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatus(resp)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(into)
}
