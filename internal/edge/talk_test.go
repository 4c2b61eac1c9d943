package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// told is what an instance knows of another one from its messages.
type told struct {
	work map[string]placement.PeerWork
	used map[string]float64
}

func (k *told) take(s *wire.EdgeState) {
	if s.GetComplete() {
		k.work = map[string]placement.PeerWork{}
	}
	for _, w := range s.GetEndpoints() {
		k.work[w.GetId()] = placement.PeerWork{Running: int(w.GetRunning()), Unread: float64(w.GetUnreadTokens()), Memory: float64(w.GetMemoryTokens())}
		if w.GetRunning() == 0 {
			delete(k.work, w.GetId())
		}
	}
	for _, o := range s.GetOrganisations() {
		k.used[o.GetName()] = o.GetUsed()
	}
}

// Guards against work or use that other instances keep on counting, or never hear of, because messages hold only what has changed.
func TestMessagesOfChangesAddUp(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	o := &Options{Clock: clk, Log: zap.NewNop()}
	e := &Edge{options: *o, clock: clk, state: newState(o), quota: fleetquota.New(), returns: newReturns(clk),
		pools: newPools(clk, func(string, float64) float64 { return 0 })}
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 16, KVTokens: 1e6}}
	conf, err := catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{service}})
	if err != nil {
		t.Fatal(err)
	}
	var list []catalog.Endpoint
	for i := range 6 {
		list = append(list, catalog.Endpoint{Incarnation: catalog.Incarnation{ID: fmt.Sprint("e", i)}, Service: "s", Slots: 16})
	}
	e.pools.set(conf, map[string][]catalog.Endpoint{"s": list})
	pool := e.pools.byService["s"]
	e.quota.SetTerms(clk.Now(), map[string]fleetquota.Terms{"a": {Rate: 1e6, Burst: 1e6}, "b": {Rate: 1e6, Burst: 1e6}})

	rng := rand.New(rand.NewPCG(1, 7))
	teller := teller{edge: e, near: true}
	other := told{used: map[string]float64{}}
	type running struct {
		endpoint *placement.Endpoint
		id       string
	}
	var under []running
	changes := 0
	for n := range 400 {
		now := clk.Advance(nearEvery)
		switch rng.IntN(3) {
		case 0:
			w := placement.Work{ID: fmt.Sprint(n), Prompt: 100, Output: 10}
			if c, reason := pool.Choose(now, &w, placement.Constraint{}); reason == "" {
				pool.Begin(now, c, w)
				under = append(under, running{c.Endpoint, w.ID})
			}
			e.admitRate([]string{"a", "b"}[rng.IntN(2)], 50)
		case 1:
			if len(under) > 0 {
				pool.End(now, under[0].endpoint, under[0].id)
				under = under[1:]
			}
		}
		message := teller.next(n%completeEvery == 0)
		if !message.GetComplete() {
			changes += len(message.GetEndpoints())
		}
		other.take(message)
		want := map[string]placement.PeerWork{}
		pool.OwnWork(func(id string, w placement.PeerWork) {
			if w.Running > 0 {
				want[id] = w
			}
		})
		if !maps.Equal(other.work, want) {
			t.Fatalf("after message %d the other instance knows %v, the work is %v", n, other.work, want)
		}
		e.quota.Used(func(name string, total float64) {
			if other.used[name] != total {
				t.Fatalf("after message %d the other instance knows a use of %v by %s, it is %v", n, other.used[name], name, total)
			}
		})
	}
	if changes > 400 {
		t.Errorf("%d endpoints are told in 400 messages with one change each at most", changes)
	}
}
