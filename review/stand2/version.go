package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

//go:embed engines.json
var enginesConfiguration []byte

const (
	// versionCalm is the time before the new version, and versionLength the one after it.
	versionCalm   = 8 * time.Second
	versionLength = 20 * time.Second
	// routeTimeout is that of the routes of the plain service, and answerSlack how much later an answer may come by the rule.
	routeTimeout = 1200 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// inForce is the time after its acknowledgement from which on the requests count.
	inForce = 4 * time.Second
)

// nextVersion returns the configuration with a higher version and one more route. Without engine, its model service is declared as a plain
// one.
func nextVersion(withEngine bool) ([]byte, error) {
	var doc map[string]any
	if err := json.Unmarshal(enginesConfiguration, &doc); err != nil {
		return nil, err
	}
	doc["version"] = 9
	routes := doc["routes"].([]any)
	more := map[string]any{}
	for name, value := range routes[len(routes)-1].(map[string]any) {
		more[name] = value
	}
	more["name"], more["prefix"] = "lot-history", "/history/"
	doc["routes"] = append(routes, more)
	if !withEngine {
		delete(doc["services"].([]any)[0].(map[string]any), engineService)
	}
	return json.Marshal(doc)
}

// playVersion: a new version of the configuration declares the model service as a plain one.
func playVersion(ctx context.Context, w *world, trouble bool) (bool, error) {
	next, err := nextVersion(!trouble)
	if err != nil {
		return false, err
	}
	if err := w.startWithEngines(ctx, enginesConfiguration); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acknowledged time.Time
	late, unanswered, answered, before := 0, 0, 0, 0
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	for _, m := range w.machines {
		for i := range callersPerMachine {
			load.Go(func() {
				c := newClient(fmt.Sprintf("%s-client-%d", m.name, i), m)
				defer c.http.CloseIdleConnections()
				for n := 0; callers.Err() == nil; n++ {
					path := []string{"/transfer/1", "/lookup/1", "/question/1"}[(n+i)%3]
					began := time.Now()
					id, out := c.request(ctx, path)
					took := time.Since(began)
					mu.Lock()
					counts := path != "/question/1" && !acknowledged.IsZero() && began.After(acknowledged.Add(inForce))
					switch {
					case acknowledged.IsZero():
						if before++; out.err != nil || out.status != 200 {
							w.record.line("%s %s at %s before the new version: status %d, %v", id, path, m.name, out.status, out.err)
						}
					case out.err == nil && took <= routeTimeout:
						answered++
					case counts && took > routeTimeout:
						if late++; out.err != nil || took > routeTimeout+answerSlack {
							unanswered++
						}
						w.record.line("%s %s at %s: no answer at the route's time-out; after %s status %d, %v", id, path, m.name, took.Round(time.Millisecond), out.status, out.err)
					}
					mu.Unlock()
					time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(versionCalm)
	w.store.Put(platformtest.ConfigurationKey, next)
	mu.Lock()
	acknowledged = time.Now()
	mu.Unlock()
	w.record.line("version 9 of the configuration is acknowledged: one more route; the model service is declared with engines: %v", !trouble)
	time.Sleep(versionLength)
	ready := 0
	for _, m := range w.machines {
		if status, err := get(ctx, "http://"+m.ready+platformtest.ReadyPath); err == nil && status == 200 {
			ready++
		}
	}
	stop()
	load.Wait()
	w.record.line("%d requests before the new version; after it %d were answered in time; of the %d on plain routes that were sent more than %s after its acknowledgement and were unanswered at their route's time-out, %d had no answer %s later; %d of %d machines say that they are ready",
		before, answered, late, inForce, unanswered, answerSlack, ready, len(w.machines))
	return 2*unanswered > late, nil
}
