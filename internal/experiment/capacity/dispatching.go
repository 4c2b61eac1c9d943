package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
)

// measurePolling runs a dispatcher against endpoints that share one address, and counts the bytes of its connections.
func measurePolling(ctx context.Context, o Options, s *Section) error {
	// A round of the 261 endpoints of the largest region takes 16 s; the spacing makes the rate the same from 5 on.
	region := min(divide(o.Endpoints)[0], maxPolled)
	at := sizes(region)
	var rates, bytes, cpu []float64
	loadRate := 0.0
	for _, n := range at {
		p, err := poll(ctx, n, 0)
		if err != nil {
			return err
		}
		rates = append(rates, (p.loads+p.events)/p.seconds)
		loadRate = p.loads / p.seconds
		bytes = append(bytes, p.bytes/p.seconds)
		cpu = append(cpu, 1e9*p.cpu/p.seconds)
	}
	report := bytes[0] / rates[0]
	var byBlocks, nanosByBlocks []Point
	for _, blocks := range []int{0, 64, 512, 4096} {
		p, err := poll(ctx, eventEndpoints, blocks)
		if err != nil {
			return err
		}
		byBlocks = append(byBlocks, Point{float64(blocks), (p.bytes - p.loads*report) / p.events})
		nanosByBlocks = append(nanosByBlocks, Point{float64(blocks), 1e9 * p.cpu / p.events})
	}
	const per = "endpoint of the region"
	if err := errors.Join(
		s.add("reports read by a daemon", "reports/s", per, points(at, rates)...),
		s.add("reports read by a daemon, bytes", "bytes/s", per, points(at, bytes)...),
		s.add("processor time of reports, both ends", "ns/s", per, points(at, cpu)...),
		s.add("read of cache events", "bytes", "block", byBlocks...),
		s.add("read of cache events with the load reports beside it, processor time of both ends", "ns", "block", nanosByBlocks...),
	); err != nil {
		return err
	}
	s.fact("bytes of a report with its headers", report, "bytes")
	s.fact("time between load reports of an endpoint of the largest region", float64(divide(o.Endpoints)[0])/loadRate, "s")
	return measurePrefix(s)
}

const (
	maxPolled = 32
	// eventEndpoints are few, so that a read of the cache events comes about once a second.
	eventEndpoints = 8
	// eventPolls is the number of load reports of an endpoint that are awaited.
	eventPolls = 4
)

type polled struct{ loads, events, bytes, cpu, seconds float64 }

// poll runs a dispatcher of n endpoints for eventPolls load reports of each, in which the cache events of each are read once or twice.
func poll(ctx context.Context, n, blocks int) (p polled, err error) {
	endpoint, err := startEndpoint()
	if err != nil {
		return p, err
	}
	defer endpoint.close()
	endpoint.blocks.Store(int64(blocks))
	cfg := generalOf(minDaemons, 0)
	for i := range n {
		e := endpointsOf(max(n, minEndpoints))[i]
		e.Addr, e.Region = endpoint.addr, regionName(0)
		cfg.Endpoints = append(cfg.Endpoints, e)
	}
	view, err := viewOf(ctx, cfg)
	if err != nil {
		return p, err
	}
	var counts counter
	d, err := dispatch.New(dispatch.Options{Region: regionName(0), DataCentre: dataCentreName(0, 0), Source: view, Clock: clock.Boot{}, Dial: counts.dial})
	if err != nil {
		return p, err
	}
	d.Start()
	defer d.Stop()
	if err := waitForLoads(ctx, endpoint, n); err != nil {
		return p, err
	}
	start, cpu := time.Now(), cpuTime()
	loads, events, bytes := endpoint.loads.Load(), endpoint.events.Load(), counts.total()
	if err := waitForLoads(ctx, endpoint, (1+eventPolls)*n); err != nil {
		return p, err
	}
	return polled{
		loads: float64(endpoint.loads.Load() - loads), events: float64(endpoint.events.Load() - events),
		bytes: counts.total() - bytes, cpu: (cpuTime() - cpu).Seconds(), seconds: time.Since(start).Seconds(),
	}, nil
}

// waitForLoads waits until the load reports were read a number of times and the answers have arrived.
func waitForLoads(ctx context.Context, e *fakeEndpoint, reads int) error {
	for e.loads.Load() < int64(reads) {
		if err := clock.Sleep(ctx, 2*time.Millisecond); err != nil {
			return err
		}
	}
	return clock.Sleep(ctx, 50*time.Millisecond)
}

// measurePrefix measures what is remembered of the endpoints' cached prefixes.
func measurePrefix(s *Section) error {
	at := []int{1 << 12, 1 << 14, 1 << 16, 1 << 18}
	var bytes []float64
	for _, n := range at {
		_, size, err := heapOf(func() (*routing.PrefixCache, error) {
			c := routing.NewPrefixCache(n)
			blocks := make([]uint64, n)
			for i := range blocks {
				blocks[i] = uint64(i) * 0x9e3779b97f4a7c15
			}
			c.Stored(blocks, 1)
			return c, nil
		})
		if err != nil {
			return err
		}
		bytes = append(bytes, size)
	}
	return s.add("prefix index memory", "bytes", "block", points(at, bytes)...)
}
