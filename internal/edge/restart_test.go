package edge

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// restartLab is the pools of an instance with one endpoint.
type restartLab struct {
	*pools
	clk      *clock.Manual
	endpoint catalog.Incarnation
}

func newRestartLab(t *testing.T, coldRate float64) *restartLab {
	t.Helper()
	l := &restartLab{clk: &clock.Manual{}, endpoint: catalog.Incarnation{ID: "e", StartedAtMillis: 1}}
	l.clk.Advance(time.Hour)
	l.pools = newPools(l.clk, "self")
	l.configure(t, coldRate)
	for range 50 {
		l.clk.Advance(100 * time.Millisecond)
		l.setSenders(l.clk.Now(), []string{"self"})
	}
	return l
}

func (l *restartLab) configure(t *testing.T, coldRate float64) {
	t.Helper()
	conf, err := catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: "s", ColdRate: coldRate, ColdPeriod: 3 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	l.set(conf, map[string][]catalog.Endpoint{"s": {{Incarnation: l.endpoint, Service: "s", Addr: "a", Slots: 8}}})
}

func (l *restartLab) choose(t *testing.T) placement.Choice {
	t.Helper()
	choice, reason := l.byService["s"].Choose(l.clk.Now(), &placement.Request{ID: "r"}, placement.Constraint{})
	if reason != "" {
		t.Fatalf("no endpoint is chosen: %s", reason)
	}
	return choice
}

// Guards against requests that are placed and withheld again and again without end: an endpoint of a service without a cold rate is chosen
// at any rate also if it may have restarted.
func TestRequestsToServicesWithoutColdRateAreNotWithheld(t *testing.T) {
	for name, restart := range map[string]func(*restartLab, *testing.T){
		"another instance knows of a later start": func(l *restartLab, _ *testing.T) {
			l.limiter.Statements.Merge(l.clk.Now(), endpointrate.Statement{Endpoint: catalog.Incarnation{ID: "e", StartedAtMillis: 2}})
		},
		"the configuration takes the cold rate back": func(l *restartLab, t *testing.T) {
			l.configure(t, 3.5)
			if !l.suspectRestart("s", l.endpoint) {
				t.Fatal("the endpoint is not suspected")
			}
			l.configure(t, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRestartLab(t, 0)
			restart(l, t)
			if choice := l.choose(t); !l.mayReceive("s", choice) {
				t.Errorf("the request is withheld, and placed at the same endpoint again (rate limited: %v)", choice.RateLimited)
			}
		})
	}
}

// Guards against requests that were chosen at a rate that the endpoint had named and are sent although it may have restarted and accepts
// only its cold rate.
func TestRequestChosenAtANamedRateIsWithheldAfterARestart(t *testing.T) {
	const coldRate = 3.5
	for name, c := range map[string]struct {
		named    float64
		receives bool
	}{
		"above the cold rate": {50, false},
		"below the cold rate": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRestartLab(t, coldRate)
			l.limiter.Statements.Observe(l.clk.Now(), l.endpoint, 0, c.named, true)
			choice := l.choose(t)
			if !choice.RateLimited || !l.mayReceive("s", choice) {
				t.Fatalf("before the restart: rate limited %v, may receive %v", choice.RateLimited, l.mayReceive("s", choice))
			}
			l.suspectRestart("s", l.endpoint)
			if l.mayReceive("s", choice) != c.receives {
				t.Errorf("may receive after the restart: %v, want %v", !c.receives, c.receives)
			}
		})
	}
}
