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

// pollSpacing bounds the load reports of all endpoints together to about 17 a second: a report takes about 300 bytes with
// its headers, 5 KB/s of the 21 KB/s that control may take.
const pollSpacing = 60 * time.Millisecond

// toldPolls is how many intervals pass between two reports of an endpoint while all neighbours tell their work at it: the
// report then shows only that the endpoint answers.
const toldPolls = 2

// pollInterval is the time between two reports of an endpoint of which nothing else is known.
func (d *Dispatcher) pollInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.basePollInterval()
}

// basePollInterval is pollInterval for callers that hold d.mu.
func (d *Dispatcher) basePollInterval() time.Duration {
	return max(d.opts.PollInterval, time.Duration(len(d.endpoints))*pollSpacing)
}

// nextPoll is the time until the next report of an endpoint. One that has not answered is asked again soon.
func (d *Dispatcher) nextPoll(e *endpoint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	interval := d.basePollInterval()
	if _, told := d.told(e.config.Name, d.opts.Clock.Now()); told && e.load.silent == 0 {
		return toldPolls * interval
	}
	return interval
}

// poll begins to read the reports of an engine. The caller holds d.mu.
func (d *Dispatcher) poll(e *endpoint) {
	if e.config.Kind == config.KindService || d.polling[e] != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.polling[e] = cancel
	d.spawn(func() {
		defer cancel()
		d.pollLoop(ctx, e)
	})
}

// Cache events are read less often than reports, since they arrive late anyway. cacheSpacing bounds the reads of all endpoints
// together to about 8 a second.
const (
	cacheInterval = time.Second
	cacheSpacing  = 130 * time.Millisecond
)

// maxCacheEndpoints is the number of endpoints up to which cache events are read. Each daemon of a region would read all of them:
// at 261 engines that is 435 KB/s, computed from 24.6 bytes an event, of the 21 KB/s that control may take. Own dispatches
// still fill the prefix index, and the ranking of entries brings an organisation to the same few daemons.
const maxCacheEndpoints = 16

// readsCacheEvents reports whether the region is small enough for every daemon to read the cache events.
func (d *Dispatcher) readsCacheEvents() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.endpoints) <= maxCacheEndpoints
}

func (d *Dispatcher) pollLoop(ctx context.Context, e *endpoint) {
	// Without the random delay, a daemon would read all its engines in the same instant.
	timer := time.NewTimer(rand.N(d.pollInterval()))
	defer timer.Stop()
	var loadAt, cacheAt clock.Instant // of the next reads
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if now := d.opts.Clock.Now(); !now.Before(loadAt) {
			d.pollLoad(ctx, e)
			loadAt = now.Add(d.nextPoll(e))
		}
		next := loadAt
		if d.readsCacheEvents() {
			if now := d.opts.Clock.Now(); !now.Before(cacheAt) {
				d.pollCache(ctx, e)
				cacheAt = now.Add(d.nextCacheRead())
			}
			next = min(loadAt, cacheAt)
		}
		timer.Reset(next.Sub(d.opts.Clock.Now()))
	}
}

// nextCacheRead is the time between two reads of an endpoint's cache events.
func (d *Dispatcher) nextCacheRead() time.Duration {
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
	before := e.load.own()
	d.mu.Unlock()
	var r loadReport
	e.kind.Store(d.opts.Traffic.Kind(traffic.EndpointReports))
	if err := d.get(ctx, e, "/engine/v1/load", &r); err != nil {
		if ctx.Err() == nil {
			d.unreported(e)
		}
		return // the old report expires
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	own := before.atLeast(e.load.own()).atLeast(e.load.last)
	e.load.last = e.load.own()
	e.load.foreign = max(r.Running+r.Waiting-own.requests, 0)
	e.load.foreignTokens = max(r.QueuedTokens-own.tokens, 0)
	e.load.reportedTotal = r.Running + r.Waiting
	e.load.reportedAt = d.opts.Clock.Now()
	e.load.reported = true
	e.load.silent = 0
	d.pumpAll()
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
	after := e.load.sequence
	d.mu.Unlock()
	var r cacheReport
	e.kind.Store(d.opts.Traffic.Kind(traffic.CacheEvents))
	if err := d.get(ctx, e, "/engine/v1/cache-events?after="+strconv.FormatInt(after, 10), &r); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyCache(e, &r)
}

// applyCache takes over cache events. The caller holds d.mu.
func (d *Dispatcher) applyCache(e *endpoint, r *cacheReport) {
	now := d.opts.Clock.Now()
	if r.Sequence < e.load.sequence {
		e.load.prefix.Reset() // the endpoint has started again with an empty cache
		e.load.sequence = 0
	}
	for _, ev := range r.Events {
		if ev.Sequence <= e.load.sequence {
			continue
		}
		if ev.Sequence > e.load.sequence+1 {
			e.load.prefix.EventsLost()
		}
		e.load.sequence = ev.Sequence
		blocks := parseBlocks(ev.Blocks)
		if ev.Kind == "evicted" {
			e.load.prefix.Evicted(blocks)
			continue
		}
		e.load.prefix.Stored(blocks, now)
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

// maxReport bounds a report in bytes.
const maxReport = 1 << 20

func (d *Dispatcher) get(ctx context.Context, e *endpoint, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, d.opts.ReportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return err
	}
	req.Header["User-Agent"] = nil // the default takes 32 bytes of each report
	resp, err := d.send(e.report, req, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatus(resp)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(into)
}
