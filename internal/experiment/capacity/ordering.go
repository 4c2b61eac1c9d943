package capacity

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/orderer"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// measureOrders runs the issuers of one region's daemons, and the read-back of the one that holds the lease.
func measureOrders(ctx context.Context, o Options, s *Section) error {
	daemons := threeSizes(divide(o.Daemons)[0])
	var calls []float64
	for _, n := range daemons {
		r, err := runIssuers(ctx, n, 3, 2*o.RateTime)
		if err != nil {
			return err
		}
		calls = append(calls, r.calls)
	}
	endpoints := threeSizes(divide(o.Endpoints)[0])
	var bytes, reads, cpu []float64
	for _, n := range endpoints {
		r, err := runIssuers(ctx, 1, n, 2*o.RateTime)
		if err != nil {
			return err
		}
		bytes, reads, cpu = append(bytes, r.bytes), append(reads, r.states), append(cpu, r.cpu)
	}
	if err := errors.Join(
		s.add("store calls of a region's issuers", "calls/s", "daemon of the region", points(daemons, calls)...),
		s.add("states read by the issuer", "states/s", "endpoint of the region", points(endpoints, reads)...),
		s.add("states read by the issuer, bytes", "bytes/s", "endpoint of the region", points(endpoints, bytes)...),
		s.add("states read by the issuer, processor time of both ends", "ns/s", "endpoint of the region", points(endpoints, cpu)...),
	); err != nil {
		return err
	}
	s.fact("age up to which a state counts", observationAge.Seconds(), "s")
	return nil
}

type issuerRun struct{ calls, states, bytes, cpu float64 } // per second

func runIssuers(ctx context.Context, daemons, endpoints int, during time.Duration) (r issuerRun, err error) {
	endpoint, err := startEndpoint()
	if err != nil {
		return r, err
	}
	defer endpoint.close()
	cfg := generalOf(minDaemons, 0)
	for i := range endpoints {
		e := endpointsOf(max(2*endpoints, minEndpoints))[i]
		e.Addr, e.Region, e.Models = endpoint.addr, regionName(0), []string{modelName(0)}
		cfg.Endpoints = append(cfg.Endpoints, e)
	}
	view, err := viewOf(ctx, cfg)
	if err != nil {
		return r, err
	}
	store := memory.NewStore(memory.StoreOptions{})
	var counts counter
	transport := &http.Transport{DialContext: counts.dial, MaxIdleConnsPerHost: endpoints}
	defer transport.CloseIdleConnections()
	rows := rowsOf(3 * daemons)
	for i := range daemons {
		service := orderer.New(orderer.Options{
			Store: store, Source: view, Clock: clock.Boot{}, Region: regionName(0), Instance: rows[i].Name, Incarnation: rows[i].Incarnation,
			Candidates: func() int { return daemons }, Client: &http.Client{Transport: transport}, Log: zap.NewNop(), Metrics: tally.NoopScope,
		})
		if err := service.Start(ctx); err != nil {
			return r, err
		}
		defer func() { _ = service.Stop(context.WithoutCancel(ctx)) }()
	}
	if err := clock.Sleep(ctx, orderer.DefaultPeriod/2); err != nil {
		return r, err
	}
	before, states, bytes, cpu, start := storeCalls(store), endpoint.states.Load(), counts.total(), cpuTime(), time.Now()
	if err := clock.Sleep(ctx, during); err != nil {
		return r, err
	}
	seconds := time.Since(start).Seconds()
	return issuerRun{
		calls: (storeCalls(store) - before) / seconds, states: float64(endpoint.states.Load()-states) / seconds,
		bytes: (counts.total() - bytes) / seconds, cpu: float64((cpuTime() - cpu).Nanoseconds()) / seconds,
	}, nil
}

// storeCalls is the number of all calls at a store.
func storeCalls(s *memory.Store) float64 {
	total := 0.0
	for _, n := range s.Counts().Calls {
		total += float64(n)
	}
	return total
}
