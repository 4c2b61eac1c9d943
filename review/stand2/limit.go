package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

const (
	// settling is the time from the start until the callers come, and calm the time after that until the disruption.
	settling = 10 * time.Second
	calm     = 10 * time.Second
	// needs is how long the runner names its limit.
	needs = 30 * time.Second
	// namedLimit is what it names, in requests per second.
	namedLimit = 1e20
	// callersPerMachine is the number of clients at each machine.
	callersPerMachine = 8
	// maxLost and maxOwnEnds are those of the rules: more than three requests lost by a machine, and three ends on two machines.
	maxLost       = 3
	maxOwnEnds    = 3
	endedMachines = 2
)

// startDeployment starts the small deployment: four machines in three regions, and runners of both services in each region.
func startDeployment(ctx context.Context, w *world) error {
	configuration := platformtest.Configuration{Version: 7, Organisation: organisation, Key: apiKey, Host: host, Routes: []platformtest.Route{
		{Prefix: "/transfer/", Kind: "non_idempotent", Service: plainService},
		{Prefix: "/lookup/", Kind: "idempotent", Service: plainService},
		{Prefix: "/question/", Kind: "stream", Service: engineService},
	}}
	return w.startWithEngines(ctx, configuration.Encode())
}

// startWithEngines starts the small deployment with a configuration.
func (w *world) startWithEngines(ctx context.Context, configuration []byte) error {
	w.store.Put(platformtest.ConfigurationKey, configuration)
	for zone, engines := range map[string]int{"cluj-a": 3, "brasov-a": 2, "pitesti-a": 2} {
		if _, err := w.addRunner("app-"+zone, plainService, zone, 6, 60*time.Millisecond); err != nil {
			return err
		}
		for i := range engines {
			if _, err := w.addRunner(fmt.Sprintf("engine-%s-%d", zone, i), engineService, zone, 16, 0); err != nil {
				return err
			}
		}
	}
	return w.startMachines(ctx)
}

// counts are what the callers of a machine have seen.
type counts struct{ sent, served, refused, failed, unreached, lost int }

// playLimit: the only runner of the plain service in a region is in need and names a limit in its answers, a very high one.
func playLimit(ctx context.Context, w *world, trouble bool) (bool, error) {
	if err := startDeployment(ctx, w); err != nil {
		return false, err
	}
	var mu sync.Mutex
	seen := make(map[*machine]*counts)
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	for _, m := range w.machines {
		seen[m] = &counts{}
		for i := range callersPerMachine {
			load.Go(func() {
				c := newClient(fmt.Sprintf("%s-client-%d", m.name, i), m)
				defer c.http.CloseIdleConnections()
				for n := 0; callers.Err() == nil; n++ {
					path := []string{"/transfer/1", "/lookup/1", "/question/1"}[(n+i)%3]
					id, out := c.request(ctx, path)
					mu.Lock()
					w.count(seen[m], m, id, path, out)
					mu.Unlock()
					time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(calm)
	if trouble {
		for _, r := range w.runners {
			if r.service == plainService && r.zone == "cluj-a" {
				limit := namedLimit
				r.limit.Store(&limit)
				w.record.line("runner %s names a limit of %.0f requests a second in its answers", r.id, limit)
			}
		}
	}
	time.Sleep(needs)
	stop()
	load.Wait()
	isBroken, ended := false, 0
	for _, m := range w.machines {
		c := seen[m]
		w.record.line("%s: %d requests sent, %d served, %d refused, %d failed, %d without a connection; %d had been passed on to a runner when their kept connection was closed without an answer; its process has ended by itself %d times",
			m.name, c.sent, c.served, c.refused, c.failed, c.unreached, c.lost, m.ends())
		isBroken = isBroken || c.lost > maxLost
		if m.ends() >= maxOwnEnds {
			ended++
		}
	}
	w.record.line("machines whose processes ended by themselves three times or more: %d", ended)
	return isBroken || ended >= endedMachines, nil
}

// count adds an outcome. A request on a kept connection that a runner has run and that got no answer counts as lost, unless its deadline
// has passed.
func (w *world) count(c *counts, m *machine, id, path string, out outcome) {
	c.sent++
	switch {
	case out.err == nil && out.status < 300:
		c.served++
	case out.err == nil && (out.status == 429 || out.status == 503):
		c.refused++
		w.record.line("%s %s at %s: refused with %d", id, path, m.name, out.status)
	case out.err == nil:
		c.failed++
		w.record.line("%s %s at %s: status %d", id, path, m.name, out.status)
	case !out.sent:
		c.unreached++
	default:
		ran := w.ran(id)
		w.record.line("%s %s at %s: no answer: %v; kept connection: %v; runs: %d", id, path, m.name, out.err, out.kept, ran)
		if c.failed++; out.kept && out.closed() && ran > 0 {
			c.lost++
		}
	}
}
