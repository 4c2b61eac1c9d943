package fleetquota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// fleet is a set of limiters that exchange reports with a delay, over links that can be interrupted.
type fleet struct {
	limiters     []*Limiter
	now          clock.Instant
	disconnected func(a, b int) bool
	pending      []report
	remainder    []float64 // load offered to each instance that is not enough for a request yet
	incarnations []uint64
}

type report struct {
	at       clock.Instant
	from, to int
	admitted map[string]float64
}

const (
	organisation = "o"
	period       = 200 * time.Millisecond // between reports
	delay        = 90 * time.Millisecond  // wide-area latency and scheduling
)

func newFleet(n int, limit Limit) *fleet {
	f := &fleet{now: clock.Instant(time.Hour), disconnected: func(int, int) bool { return false }}
	for i := range n {
		l := New()
		l.SetLimits(f.now, map[string]Limit{organisation: limit})
		peers := map[string]PeerGroup{}
		for j := range n {
			if j != i {
				peers[fmt.Sprint(j)] = PeerGroup{Incarnation: 1, Instances: 1}
			}
		}
		l.SetPeerGroups(f.now, peers)
		f.limiters = append(f.limiters, l)
		f.incarnations = append(f.incarnations, 1)
	}
	return f
}

// restart replaces an instance by its next incarnation, which has no state.
func (f *fleet) restart(i int, limit Limit) {
	f.incarnations[i]++
	f.limiters[i] = New()
	f.limiters[i].SetLimits(f.now, map[string]Limit{organisation: limit})
	f.pending = slices.DeleteFunc(f.pending, func(r report) bool { return r.from == i || r.to == i })
	for j, l := range f.limiters {
		peers := map[string]PeerGroup{}
		for k, incarnation := range f.incarnations {
			if k != j {
				peers[fmt.Sprint(k)] = PeerGroup{Incarnation: incarnation, Instances: 1}
			}
		}
		l.SetPeerGroups(f.now, peers)
	}
}

// step advances the time by a period: every instance is offered its load in small requests, and reports are sent.
func (f *fleet) step(offered []float64, cost float64) (admitted float64) {
	const parts = 20
	if f.remainder == nil {
		f.remainder = make([]float64, len(offered))
	}
	for range parts {
		f.now = f.now.Add(period / parts)
		f.deliver()
		for i, l := range f.limiters {
			for f.remainder[i] += offered[i] / parts; f.remainder[i] >= cost; f.remainder[i] -= cost {
				if ok, _ := l.Admit(f.now, organisation, cost); ok {
					admitted += cost
				}
			}
		}
	}
	for i, l := range f.limiters {
		totals := map[string]float64{}
		l.ForEachAdmitted(func(name string, total float64) { totals[name] = total })
		for j := range f.limiters {
			if i != j && !f.disconnected(i, j) {
				f.pending = append(f.pending, report{f.now.Add(delay), i, j, totals})
			}
		}
	}
	return admitted
}

func (f *fleet) deliver() {
	rest := f.pending[:0]
	for _, r := range f.pending {
		if r.at > f.now {
			rest = append(rest, r)
			continue
		}
		if !f.disconnected(r.from, r.to) {
			f.limiters[r.to].RecordReport(f.now, fmt.Sprint(r.from), f.incarnations[r.from], r.admitted, f.now)
		}
	}
	f.pending = rest
}

// Guards against an organisation that offers several times its rate and is admitted more than its rate, its burst and the
// platform's allowance in a window, whatever the instances' shares; also during a network partition into two groups, and soon
// after one instance has restarted. Found by a randomised run on the urmarol deployment
// (deploy/days/zones-and-acknowledged-kills.toml --vary --seed 1039676098444).
func TestHotOrganisationStaysWithinItsRate(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		orgLimit := Limit{Rate: 500_000, Burst: 500_000}
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		f := newFleet(n, orgLimit)
		weights := make([]float64, n)
		sum := 0.0
		for i := range weights {
			weights[i] = rapid.Float64Range(0.05, 1).Draw(t, "weight")
			sum += weights[i]
		}
		group := rapid.IntRange(1, n-1).Draw(t, "group")
		partitionAt := rapid.IntRange(60, 100).Draw(t, "cut")
		overloadAt := rapid.IntRange(40, 100).Draw(t, "hot")
		factor := rapid.Float64Range(1, 5).Draw(t, "factor")
		restartAt, restarted := partitionAt-rapid.IntRange(0, 30).Draw(t, "restart"), rapid.IntRange(0, n-1).Draw(t, "restarted")
		var admitted []float64
		for step := range 160 {
			if step == restartAt {
				f.restart(restarted, orgLimit)
			}
			if step == partitionAt {
				f.disconnected = func(a, b int) bool { return (a < group) != (b < group) }
			}
			load := 0.55
			if step >= overloadAt {
				load *= factor
			}
			offered := make([]float64, n)
			for i, w := range weights {
				offered[i] = orgLimit.Rate * load * w / sum * period.Seconds()
			}
			admitted = append(admitted, f.step(offered, 3000))
		}
		limit := (orgLimit.Rate*window.Seconds()+orgLimit.Burst)*1.1 + 110_000
		inWindow := 0.0
		per := int(window / period)
		for i, a := range admitted {
			inWindow += a
			if i >= per {
				inWindow -= admitted[i-per]
			}
			if inWindow > limit {
				t.Fatalf("%.0f tokens admitted in a window that ends at step %d, limit %.0f", inWindow, i, limit)
			}
		}
	})
}

// Guards against requests that are rejected although the organisation stays within its rate, however its load is split.
func TestWithinTheRateNothingIsRejected(t *testing.T) {
	limit := Limit{Rate: 500_000, Burst: 500_000}
	f := newFleet(4, limit)
	offered, admitted := 0.0, 0.0
	for step := range 300 {
		load := []float64{0.4, 0.1, 0.05, 0.05}
		if step > 150 {
			load[0], load[3] = load[3], load[0] // the daily peak moves to another region
		}
		for i := range load {
			load[i] *= limit.Rate * period.Seconds()
			offered += load[i]
		}
		admitted += f.step(load, 3000)
	}
	if rejected := 1 - admitted/offered; rejected > 0.01 {
		t.Errorf("%.1f%% rejected at 60%% of the rate", rejected*100)
	}
}

// Guards against a rate that stays reserved for an instance that is known to have ended.
func TestEndedInstanceFreesItsShare(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	f := newFleet(2, limit)
	for range 50 {
		f.step([]float64{100, 100}, 10)
	}
	later := f.now.Add(10 * time.Second)
	if _, fraction := f.limiters[0].Level(later, organisation); fraction > 0.8 {
		t.Errorf("with an unresponsive instance, %.2f of the rate accrues", fraction)
	}
	f.limiters[0].SetPeerGroups(later, map[string]PeerGroup{})
	if _, part := f.limiters[0].Level(later, organisation); part != 1 {
		t.Errorf("after the instance has ended, %.2f of the rate accrues", part)
	}
}

// Guards against refunded costs that are still charged to the fleet.
func TestRefund(t *testing.T) {
	l := New()
	l.SetLimits(0, map[string]Limit{organisation: {Rate: 1, Burst: 800}})
	if ok, _ := l.Admit(0, organisation, 100); !ok {
		t.Fatal("first request rejected")
	}
	if ok, after := l.Admit(0, organisation, 100); ok || after <= 0 {
		t.Fatalf("second request: admitted %v, retry after %v", ok, after)
	}
	l.Refund(0, organisation, 100)
	if ok, _ := l.Admit(0, organisation, 100); !ok {
		t.Error("request rejected after a refund")
	}
	l.ForEachAdmitted(func(_ string, total float64) {
		if total != 100 {
			t.Errorf("%v reported as admitted, want 100", total)
		}
	})
}
