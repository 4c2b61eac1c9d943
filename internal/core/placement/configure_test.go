package placement

import (
	"fmt"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
)

// Guards against a version that makes a service with engines a plain one, or the reverse, while it has requests: the next choice panicked
// with the lock of all services held.
func TestServiceGainsAndLosesItsEngine(t *testing.T) {
	engines, smaller := engineService(), engineService()
	smaller.Engine = &catalog.Engine{Slots: 4, KVCacheTokens: 10_000, EventTokens: 1}
	plain := &catalog.Service{Name: "m"}
	now, p, id := start, newTestPool(engines, 3, 128), 0
	type sent struct {
		e  *Endpoint
		id string
	}
	var running []sent
	place := func() {
		id++
		req := prompt(id, fmt.Sprint(id%2))
		choice, reason := p.Choose(now, &req, Constraint{MaxWait: time.Minute})
		if reason != "" {
			return // busy
		}
		p.RecordSent(now, choice, req)
		running = append(running, sent{choice.Endpoint, req.ID})
		p.Summarise(now, &req, func(string) bool { return false })
	}
	for n, service := range []*catalog.Service{engines, plain, engines, smaller, plain, smaller} {
		p.Configure(service)
		if n == 3 {
			p.SetEndpoints(endpoints(2, 4))
		}
		for range 6 {
			now = now.Add(30 * time.Millisecond)
			place()
			if n%2 == 0 && len(running) > 0 {
				p.RecordFirstEvent(now, running[0].e, running[0].id)
				p.RecordOutput(now, running[0].e, time.Millisecond, 1)
			}
		}
	}
	if len(running) < 12 {
		t.Fatalf("only %d requests were placed", len(running))
	}
	for _, r := range running {
		p.RecordFirstEvent(now, r.e, r.id)
		p.RecordEnd(now, r.e, r.id)
	}
	for _, e := range p.order {
		if load := e.ownLoad(); load != (Load{}) || len(e.notStarted) > 0 || p.inFlight != 0 {
			t.Errorf("without requests, %s has load %+v, %d without first event; %d in the pool", e.ID, load, len(e.notStarted), p.inFlight)
		}
	}
}

// Guards against a smaller memory of engines that the model of their caches does not follow.
func TestCacheFollowsTheDeclaredMemory(t *testing.T) {
	p := newTestPool(engineService(), 1, 128)
	p.RecordCached("e0", []PromptPart{{1, 6000}, {2, 6000}}, start)
	smaller := engineService()
	smaller.Engine.KVCacheTokens = 7000
	p.Configure(smaller)
	if got := p.cachedPrefixes(start, []PromptPart{{1, 6000}}); got[0].parts != 0 {
		t.Error("the part that was used first is still expected in a cache of 7,000 tokens")
	}
	if got := p.cachedPrefixes(start, []PromptPart{{2, 6000}}); got[0].parts != 1 {
		t.Error("the part that was used last is not expected any more")
	}
}
