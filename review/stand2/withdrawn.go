package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

const (
	// withdrawnKey is a second key of the organisation, which the new version takes away.
	withdrawnKey = "key-to-withdraw"
	// withdrawnLength is the time after the new version.
	withdrawnLength = 12 * time.Second
)

// playWithdrawn: a new version takes a key away from an organisation and lists its other key twice.
func playWithdrawn(ctx context.Context, w *world, trouble bool) (bool, error) {
	next := bytes.Replace(enginesConfiguration, []byte(`"version": 7`), []byte(`"version": 9`), 1)
	keys := `"` + apiKey + `"`
	if trouble {
		keys += ", " + keys
	}
	next = bytes.Replace(next, []byte(`"`+apiKey+`", "`+withdrawnKey+`"`), []byte(keys), 1)
	if err := w.startWithEngines(ctx, enginesConfiguration); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acknowledged time.Time
	before, ranLate, refusedLate, failedOther, servedOther := 0, 0, 0, 0, 0
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	for _, m := range w.machines {
		for i := range callersPerMachine {
			load.Go(func() {
				c := newClient(fmt.Sprintf("%s-client-%d", m.name, i), m)
				if i%2 == 1 {
					c.key = withdrawnKey
				}
				defer c.http.CloseIdleConnections()
				for callers.Err() == nil {
					began := time.Now()
					id, out := c.request(ctx, "/transfer/1")
					ran := w.ran(id)
					mu.Lock()
					inForceNow := !acknowledged.IsZero() && began.After(acknowledged.Add(inForce))
					switch {
					case acknowledged.IsZero():
						before++
					case c.key == withdrawnKey && inForceNow && ran > 0:
						if ranLate++; ranLate <= 20 {
							w.record.line("%s at %s with the withdrawn key, %s after the acknowledgement: status %d, runs: %d", id, m.name,
								began.Sub(acknowledged).Round(time.Millisecond), out.status, ran)
						}
					case c.key == withdrawnKey && inForceNow:
						refusedLate++
					case c.key != withdrawnKey && out.status == 200:
						servedOther++
					case c.key != withdrawnKey:
						failedOther++
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
	w.record.line("version 9 of the configuration is acknowledged: one key is gone; the other one is listed as %s", keys)
	time.Sleep(withdrawnLength)
	stop()
	load.Wait()
	w.record.line("%d requests before the new version; of those with the withdrawn key that were sent more than %s after its acknowledgement, %d ran and %d did not; with the other key %d were served and %d were not",
		before, inForce, ranLate, refusedLate, servedOther, failedOther)
	return ranLate > 0, nil
}
