package edge

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// Guards against other regions that send their requests here because of an engine which names a limit and takes the next request at
// once, while the engines without a limit are busy.
func TestOtherRegionsLearnTheLoadWithoutLimitedEndpoints(t *testing.T) {
	l := newSimRegion(t, product, 3)
	for range 50 {
		l.clk.Advance(100 * time.Millisecond)
		l.pools.setSenders(l.clk.Now(), []string{"self"})
	}
	now := l.clk.Now()
	limit := func(engines ...int) {
		for _, i := range engines {
			l.pools.limiter.Statements.Observe(now, catalog.Incarnation{ID: l.engines[i].id}, 0, 1, true)
		}
	}
	limit(0, 1)
	busy := l.pool.Endpoint(l.engines[2].id)
	l.pool.RecordSent(now, placement.Choice{Endpoint: busy, Incarnation: busy.Incarnation, PrefillTokens: 100_000}, placement.Request{ID: "r", PromptTokens: 100_000})
	if sum := l.pool.worstLoad(now); sum.Usable != 1 || sum.Wait < time.Second {
		t.Errorf("other regions are told of %d usable engines and a wait of %s", sum.Usable, sum.Wait)
	}
	limit(2)
	if sum := l.pool.worstLoad(now); sum.Usable == 0 {
		t.Error("other regions are told of no usable engine, while all name a limit and take requests")
	}
}

// Guards against a log line that takes a limit for withdrawn since another instance tells of a suspicion and knows of no limit.
func TestSuspicionOfAnotherInstanceLeavesTheLimit(t *testing.T) {
	p, now := newPools(&clock.Manual{}, "self"), clock.Instant(time.Hour)
	endpoint := catalog.Incarnation{ID: "e", StartedAtMillis: 1}
	p.limiter.Statements.Observe(now, endpoint, now-1, 2, true)
	before, after := p.mergeStatement(now, endpointrate.Statement{Endpoint: endpoint, Restart: endpointrate.Suspicion{Raised: true, Version: 1}})
	if want := (knownLimit{2, true}); before.limit != want || after.limit != want || before.mayHaveRestarted || !after.mayHaveRestarted {
		t.Errorf("before %+v, after %+v", before, after)
	}
}
