package fleetquota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// fleet is a set of ledgers that exchange reports with a delay, over links that may be cut.
type fleet struct {
	ledgers      []*Limiter
	now          clock.Instant
	cut          func(a, b int) bool
	pending      []report
	carry        []float64 // offered and not yet enough for a request, by instance
	incarnations []uint64
}

type report struct {
	at       clock.Instant
	from, to int
	used     map[string]float64
}

const (
	organisation = "o"
	period       = 200 * time.Millisecond // between reports
	delay        = 90 * time.Millisecond  // wide-area latency and scheduling
)

func newFleet(n int, terms Limit) *fleet {
	f := &fleet{now: clock.Instant(time.Hour), cut: func(int, int) bool { return false }}
	for i := range n {
		l := New()
		l.SetLimits(f.now, map[string]Limit{organisation: terms})
		peers := map[string]PeerGroup{}
		for j := range n {
			if j != i {
				peers[fmt.Sprint(j)] = PeerGroup{Incarnation: 1, Instances: 1}
			}
		}
		l.SetPeerGroups(f.now, peers)
		f.ledgers = append(f.ledgers, l)
		f.incarnations = append(f.incarnations, 1)
	}
	return f
}

// restart replaces an instance by its next incarnation, which knows nothing.
func (f *fleet) restart(i int, terms Limit) {
	f.incarnations[i]++
	f.ledgers[i] = New()
	f.ledgers[i].SetLimits(f.now, map[string]Limit{organisation: terms})
	f.pending = slices.DeleteFunc(f.pending, func(r report) bool { return r.from == i || r.to == i })
	for j, l := range f.ledgers {
		peers := map[string]PeerGroup{}
		for k, incarnation := range f.incarnations {
			if k != j {
				peers[fmt.Sprint(k)] = PeerGroup{Incarnation: incarnation, Instances: 1}
			}
		}
		l.SetPeerGroups(f.now, peers)
	}
}

// step advances the time by a period: every instance is offered its tokens in small requests, and reports go out.
func (f *fleet) step(offered []float64, cost float64) (admitted float64) {
	const parts = 20
	if f.carry == nil {
		f.carry = make([]float64, len(offered))
	}
	for range parts {
		f.now = f.now.Add(period / parts)
		f.deliver()
		for i, l := range f.ledgers {
			for f.carry[i] += offered[i] / parts; f.carry[i] >= cost; f.carry[i] -= cost {
				if ok, _ := l.Admit(f.now, organisation, cost); ok {
					admitted += cost
				}
			}
		}
	}
	for i, l := range f.ledgers {
		used := map[string]float64{}
		l.ForEachAdmitted(func(name string, total float64) { used[name] = total })
		for j := range f.ledgers {
			if i != j && !f.cut(i, j) {
				f.pending = append(f.pending, report{f.now.Add(delay), i, j, used})
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
		if !f.cut(r.from, r.to) {
			f.ledgers[r.to].RecordReport(f.now, fmt.Sprint(r.from), f.incarnations[r.from], r.used, f.now)
		}
	}
	f.pending = rest
}

// Guards against an organisation at several times its rate that gets more than its rate, its burst and the platform's allowance
// in a window, whatever the instances' shares, also while the fleet is cut into two groups, soon after one of them has restarted
// (found by a hunt: urmarol, deploy/days/zones-and-acknowledged-kills.toml --vary --seed 1039676098444).
func TestHotOrganisationStaysWithinItsRate(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		terms := Limit{Rate: 500_000, Burst: 500_000}
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		f := newFleet(n, terms)
		weights := make([]float64, n)
		sum := 0.0
		for i := range weights {
			weights[i] = rapid.Float64Range(0.05, 1).Draw(t, "weight")
			sum += weights[i]
		}
		group := rapid.IntRange(1, n-1).Draw(t, "group")
		cutAt := rapid.IntRange(60, 100).Draw(t, "cut")
		hotAt := rapid.IntRange(40, 100).Draw(t, "hot")
		factor := rapid.Float64Range(1, 5).Draw(t, "factor")
		restartAt, restarted := cutAt-rapid.IntRange(0, 30).Draw(t, "restart"), rapid.IntRange(0, n-1).Draw(t, "restarted")
		var admitted []float64
		for step := range 160 {
			if step == restartAt {
				f.restart(restarted, terms)
			}
			if step == cutAt {
				f.cut = func(a, b int) bool { return (a < group) != (b < group) }
			}
			load := 0.55
			if step >= hotAt {
				load *= factor
			}
			offered := make([]float64, n)
			for i, w := range weights {
				offered[i] = terms.Rate * load * w / sum * period.Seconds()
			}
			admitted = append(admitted, f.step(offered, 3000))
		}
		limit := (terms.Rate*window.Seconds()+terms.Burst)*1.1 + 110_000
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

// Guards against requests that are refused although the organisation stays within its rate, at any split of its load.
func TestWithinTheRateNothingIsRefused(t *testing.T) {
	terms := Limit{Rate: 500_000, Burst: 500_000}
	f := newFleet(4, terms)
	offered, admitted := 0.0, 0.0
	for step := range 300 {
		load := []float64{0.4, 0.1, 0.05, 0.05}
		if step > 150 {
			load[0], load[3] = load[3], load[0] // the daily peak moves to another region
		}
		for i := range load {
			load[i] *= terms.Rate * period.Seconds()
			offered += load[i]
		}
		admitted += f.step(load, 3000)
	}
	if refused := 1 - admitted/offered; refused > 0.01 {
		t.Errorf("%.1f%% refused at 60%% of the rate", refused*100)
	}
}

// Guards against a rate that stays reserved for an instance that is known to have ended.
func TestEndedInstanceFreesItsPart(t *testing.T) {
	terms := Limit{Rate: 1000, Burst: 1000}
	f := newFleet(2, terms)
	for range 50 {
		f.step([]float64{100, 100}, 10)
	}
	later := f.now.Add(10 * time.Second)
	if _, part := f.ledgers[0].Level(later, organisation); part > 0.8 {
		t.Errorf("with a silent instance, %.2f of the rate accrues", part)
	}
	f.ledgers[0].SetPeerGroups(later, map[string]PeerGroup{})
	if _, part := f.ledgers[0].Level(later, organisation); part != 1 {
		t.Errorf("after the instance has ended, %.2f of the rate accrues", part)
	}
}

// Guards against a withdrawn refund: costs given back are not charged to the fleet.
func TestRefund(t *testing.T) {
	l := New()
	l.SetLimits(0, map[string]Limit{organisation: {Rate: 1, Burst: 800}})
	if ok, _ := l.Admit(0, organisation, 100); !ok {
		t.Fatal("first request refused")
	}
	if ok, after := l.Admit(0, organisation, 100); ok || after <= 0 {
		t.Fatalf("second request: admitted %v, return after %v", ok, after)
	}
	l.Refund(0, organisation, 100)
	if ok, _ := l.Admit(0, organisation, 100); !ok {
		t.Error("request refused after a refund")
	}
	l.ForEachAdmitted(func(_ string, total float64) {
		if total != 100 {
			t.Errorf("%v reported as used, want 100", total)
		}
	})
}
