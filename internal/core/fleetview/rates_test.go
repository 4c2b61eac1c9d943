package fleetview

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
)

// ratedInstance is an instance with its ledger of rates.
type ratedInstance struct {
	*instance
	ledger *fleetquota.Limiter
	carry  float64
}

// Guards against an organisation that offers several times its rate and gets more in a window than its rate, its burst
// and the platform's allowance, while instances exchange their usage through a root. Some instances are cut off from
// the root, each on its own. In some cases the root is cut off as well, until the others report to another one.
func TestRatesHoldThroughARoot(t *testing.T) {
	const (
		window  = 8 * time.Second
		rate    = 500_000.0
		burst   = 500_000.0
		cost    = 3000.0
		perTick = 10 // requests are offered this many times per interval
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "instances")
		cutRoot := rapid.Bool().Draw(t, "root")
		cuts := rapid.IntRange(1, n-1).Draw(t, "cuts")
		cutAt := rapid.IntRange(250, 400).Draw(t, "cut")
		hotAt := rapid.IntRange(200, 400).Draw(t, "hot")
		factor := rapid.Float64Range(1, 5).Draw(t, "factor")
		var weights []float64
		sum := 0.0
		for range n {
			w := rapid.Float64Range(0.05, 1).Draw(t, "weight")
			weights, sum = append(weights, w), sum+w
		}
		r := newRegion(nil, "r", n)
		sizes := map[string]int{"r": n - 1}
		var all []*ratedInstance
		for _, i := range r.instances {
			l := fleetquota.New()
			l.SetLimits(r.now, map[string]fleetquota.Limit{"o": {Rate: rate, Burst: burst}})
			l.SetPeerGroups(r.now, LedgerPeers(sizes, nil))
			all = append(all, &ratedInstance{instance: i, ledger: l})
		}
		connectToRoot(t, r, r.instances[0], r.instances[1:])
		var admitted []float64
		isCut := func(k int) bool { return cutRoot && k == 0 || k >= n-cuts && k > 0 }
		for step := range 700 {
			if step == cutAt {
				for k, i := range r.instances {
					i.isolated = isCut(k)
				}
			}
			if cutRoot && step == cutAt+10 { // after the time without messages that makes instances leave a parent
				var rest []*instance
				for k, i := range r.instances {
					if !isCut(k) {
						rest = append(rest, i)
					}
				}
				for _, i := range r.instances {
					if i.isolated && i.reportsTo != nil {
						stopReporting(i, r.now)
					}
				}
				if len(rest) > 0 {
					connectToRoot(t, r, rest[0], rest[1:])
				}
			}
			if !cutRoot && step == cutAt+10 {
				for _, i := range r.instances {
					if i.isolated {
						stopReporting(i, r.now)
					}
				}
			}
			load := 0.55
			if step >= hotAt {
				load *= factor
			}
			sumAdmitted := 0.0
			before := r.now
			for part := range perTick {
				now := before.Add(interval * time.Duration(part) / perTick)
				for k, i := range all {
					for i.carry += rate * load * weights[k] / sum * interval.Seconds() / perTick; i.carry >= cost; i.carry -= cost {
						if ok, _ := i.ledger.Admit(now, "o", cost); ok {
							sumAdmitted += cost
						}
					}
				}
			}
			for _, i := range all {
				i.ledger.ForEachAdmitted(func(name string, total float64) { i.usage[name] = total })
			}
			stepConnected(t, r)
			for _, i := range all {
				rates := RateInputs{Usage: i.PeerUsage(), Unresponsive: i.Unresponsive(r.now)}
				rates.UpdateLedger(r.now, i.ledger, func(string) (string, bool) { return "r", true }, sizes)
			}
			admitted = append(admitted, sumAdmitted)
		}
		limit := (rate*window.Seconds()+burst)*1.1 + 110_000
		inWindow := 0.0
		per := int(window / interval)
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

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Fatal(args ...any)
}

func check(t fataler, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// stopReporting ends the stream of an instance to its parent.
func stopReporting(i *instance, now clock.Instant) {
	if i.reportsTo != nil {
		i.reportsTo.StreamEnded(i.source)
		i.ClearParent(now)
		i.reportsTo = nil
	}
}

// connectToRoot makes instances report to a root from now on.
func connectToRoot(t fataler, r *region, root *instance, rest []*instance) {
	stopReporting(root, r.now)
	for _, i := range rest {
		stopReporting(i, r.now)
		check(t, i.SetParent(r.now, root.id.Instance))
		source, err := root.AddChild(i.id)
		check(t, err)
		i.reportsTo, i.source = root, source
	}
}

// stepConnected advances the time by an interval, in which isolated instances exchange no messages.
func stepConnected(t fataler, r *region) {
	r.now = r.now.Add(interval)
	for _, i := range r.instances {
		uses := map[string]float64{}
		for k, v := range i.usage {
			uses[k] = v
		}
		i.SetOwnState(r.now, OwnState{Status: Status{Incarnation: 1, Ready: true}, Usage: uses})
		check(t, i.Tick(r.now))
	}
	for _, i := range r.instances {
		if i.reportsTo == nil || i.isolated || i.reportsTo.isolated {
			continue
		}
		if d := i.reportsTo.DigestFor(i.source); d != nil {
			_, err := i.ReceiveDigest(r.now, d)
			check(t, err)
		}
		check(t, i.reportsTo.ReceiveReport(r.now, i.source, i.NextReport(r.now)))
	}
}

// Guards against requests that are rejected although the organisation stays within its rate, while the instances of a
// region exchange their usage through a root.
func TestNoRejectionsWithinRateThroughARoot(t *testing.T) {
	const rate, n = 500_000.0, 5
	r := newRegion(t, "r", n)
	sizes := map[string]int{"r": n - 1}
	var ledgers []*fleetquota.Limiter
	for range n {
		l := fleetquota.New()
		l.SetLimits(r.now, map[string]fleetquota.Limit{"o": {Rate: rate, Burst: rate}})
		l.SetPeerGroups(r.now, LedgerPeers(sizes, nil))
		ledgers = append(ledgers, l)
	}
	connectToRoot(t, r, r.instances[0], r.instances[1:])
	requests, rejected := 0, 0
	for step := range 1200 {
		for k, l := range ledgers {
			// The peak of the day moves from one instance to another.
			load := 0.05
			if k == step/300 {
				load = 0.4
			}
			for offered := rate * load * interval.Seconds(); offered > 0; offered -= 1000 {
				if ok, _ := l.Admit(r.now, "o", 1000); !ok {
					rejected++
				}
				requests++
			}
			l.ForEachAdmitted(func(name string, total float64) { r.instances[k].usage[name] = total })
		}
		stepConnected(t, r)
		for k, i := range r.instances {
			rates := RateInputs{Usage: i.PeerUsage(), Unresponsive: i.Unresponsive(r.now)}
			rates.UpdateLedger(r.now, ledgers[k], func(string) (string, bool) { return "r", true }, sizes)
		}
	}
	if rejected*100 > requests {
		t.Errorf("%d of %d requests are rejected at 60%% of the rate", rejected, requests)
	}
}
