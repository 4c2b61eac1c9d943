package fleetview

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
)

// Guards against an instance that never learns of a limit which an endpoint has named to another one, or of its end: after a change of
// the root or of parents, after a pause, or because it was stated while no stream was open.
func TestStatementsOfEndpointsReachAllInstances(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newRegion(t, "r", 2+rng.IntN(6))
		r.allReportTo(r.instances[0])
		for range 12 {
			r.steps(rng.IntN(4))
			i := r.instances[rng.IntN(len(r.instances))]
			switch rng.IntN(4) {
			case 0:
				r.allReportTo(i)
			case 1:
				if i.reportsTo != nil {
					r.reportTo(i, nil) // it acts as a second root for a while
				}
			case 2:
				i.paused = !i.paused
			default:
				e := catalog.Incarnation{ID: fmt.Sprint("e", rng.IntN(3)), StartedAtMillis: 1}
				for _, s := range i.Limits() {
					i.limits.Merge(r.now, s)
				}
				i.limits.Observe(r.now, e, r.now, 1+rng.Float64(), rng.IntN(3) > 0)
				i.limits.Observe(r.now.Add(1), e, r.now.Add(1), 0, false)
			}
		}
		for _, i := range r.instances {
			i.paused = false
		}
		r.allReportTo(r.instances[0])
		r.steps(6)
		want := r.instances[0].Limits()
		for _, i := range r.instances {
			if got := i.Limits(); !slices.Equal(got, want) {
				t.Errorf("seed %d: %s has %+v, the root %+v", seed, i.id.Instance, got, want)
			}
		}
		r.steps(2)
		if changed := r.instances[0].sentToChildren.limitChanges(want); len(changed) != 0 {
			t.Errorf("seed %d: %d statements are sent again although nothing has changed", seed, len(changed))
		}
	}
}

// Guards against an instance that is never told that an endpoint is leaving, or is told again and again, and against a time to wait that
// binds instances which were not told by the endpoint.
func TestNoticesOfEndpointsReachAllInstances(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		r := newRegion(t, "r", 2+rng.IntN(6))
		r.allReportTo(r.instances[0])
		own := make(map[*instance]*endpointnotice.Register)
		for range 12 {
			r.steps(rng.IntN(4))
			i := r.instances[rng.IntN(len(r.instances))]
			switch rng.IntN(4) {
			case 0:
				r.allReportTo(i)
			case 1:
				if i.reportsTo != nil {
					r.reportTo(i, nil)
				}
			case 2:
				i.paused = !i.paused
			default:
				e := catalog.Incarnation{ID: fmt.Sprint("e", rng.IntN(5)), StartedAtMillis: int64(rng.IntN(2))}
				if own[i] == nil {
					own[i] = endpointnotice.NewRegister()
				}
				own[i].Observe(r.now, e, endpointnotice.Said{Leaving: rng.IntN(2) == 0, Wait: 10 * time.Second})
				i.notices.Observe(r.now, e, endpointnotice.Said{Leaving: own[i].Notice(e).Leaving})
			}
		}
		for _, i := range r.instances {
			i.paused = false
		}
		r.allReportTo(r.instances[0])
		r.steps(6)
		want := endpointnotice.NewRegister()
		for _, o := range own {
			for _, a := range o.Advice(r.now) {
				want.Merge(r.now, a)
			}
		}
		for _, i := range r.instances {
			if got := i.Notices(r.now); !slices.Equal(got, want.Advice(r.now)) || i.notices.Len() != len(got) {
				t.Errorf("seed %d: %s has %+v, want %+v", seed, i.id.Instance, got, want.Advice(r.now))
			}
		}
		r.steps(2)
		if changed := r.instances[0].sentToChildren.noticeChanges(want.Advice(r.now)); len(changed) != 0 {
			t.Errorf("seed %d: %d notices are sent again although nothing has changed", seed, len(changed))
		}
	}
}

// Guards against messages by which one instance makes another keep statements without end.
func TestStatementsOfEndpointsAreBounded(t *testing.T) {
	r := newRegion(t, "r", 2)
	r.allReportTo(r.instances[0])
	r.steps(3)
	for n := range maxEndpoints + 1 {
		r.instances[1].limits.Merge(r.now, endpointrate.Statement{Endpoint: catalog.Incarnation{ID: fmt.Sprint(n)}, Version: 1})
	}
	child := r.instances[1]
	child.SetOwnState(r.now, OwnState{Limits: child.limits.Statements()})
	if err := r.instances[0].ReceiveReport(r.now, child.source, child.NextReport(r.now)); err != ErrTooLarge {
		t.Errorf("%d statements: %v", maxEndpoints+1, err)
	}
	r = newRegion(t, "r", 2)
	r.allReportTo(r.instances[0])
	r.steps(3)
	child = r.instances[1]
	for n := range maxEndpoints + 1 {
		child.notices.Merge(r.now, endpointnotice.Advice{Endpoint: catalog.Incarnation{ID: fmt.Sprint(n)}, Leaving: true})
	}
	if err := r.instances[0].ReceiveReport(r.now, child.source, child.NextReport(r.now)); err != ErrTooLarge {
		t.Errorf("%d notices: %v", maxEndpoints+1, err)
	}
}
