// Package rates measures wrongful refusals: requests that the shared rates refuse although one ideal token bucket with the
// same charges admits them. It runs the decisions of internal/core/ratelimit in seeded virtual time.
package rates

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/limits"
)

// Scenario is a pattern of load and faults.
type Scenario string

// Scenarios.
const (
	Even         Scenario = "even"           // the same load at each holder
	OneInstance  Scenario = "one-instance"   // all load at one holder
	MovingPeak   Scenario = "moving-peak"    // a daily peak that moves between the regions, shortened to 20 min
	InstanceLost Scenario = "instance-lost"  // one holder is lost and its share is not reclaimed; its load moves to the others
	RegionCut    Scenario = "region-cut"     // one region reaches no other
	StoreOut     Scenario = "store-out"      // the store is out for ten minutes with a moving peak
	FiveTimes    Scenario = "five-times"     // five times the rate is sent, evenly
	FiveTimesOne Scenario = "five-times-one" // five times the rate is sent to one instance
	NoSlot       Scenario = "no-slot"        // the same load at each holder; one owns both slots of its region, another none
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Even, OneInstance, MovingPeak, InstanceLost, RegionCut, StoreOut, FiveTimes, FiveTimesOne, NoSlot}

// Options of a run.
type Options struct {
	Seed     uint64
	Scenario Scenario
	Load     float64       // part of the rate that is used, such as 0.6; ignored by the five-times scenarios
	Duration time.Duration // default one hour
	Rate     float64       // tokens/s, default 4,000
	Burst    float64       // tokens, default 40,000
	// Deadline is the time that callers give a request. Default 10 s, which leaves room for other regions.
	Deadline time.Duration
	// MaxPatience bounds the time that a request waits for accrual. Default limits.DefaultPatience; negative: none.
	MaxPatience time.Duration
}

const (
	inRegionLatency    = time.Millisecond
	crossRegionLatency = 80 * time.Millisecond
	// warmUp is left out of the result: all levels start empty, the ideal bucket's too.
	warmUp = time.Minute
	// faultAfter is the part of the duration after which the scenario's fault begins.
	faultAfter = 1.0 / 3
	// lostGrace is the time after a lost instance from which its target counts.
	lostGrace = 2 * time.Second
	// peakPeriod is the length of the shortened day.
	peakPeriod = 20 * time.Minute
	cutLength  = 10 * time.Minute
)

// Result of a run. Counts are of requests after the warm-up, and for InstanceLost from 2 s after the loss.
type Result struct {
	Options       Options
	Requests      int
	IdealRefused  int
	Refused       int
	Wrongful      int // refused, but admitted by the ideal bucket
	Static        int // wrongful refusals of static quarter shares
	InFirst2s     int // wrongful refusals within 2 s of a lost instance, not in Wrongful
	InFirst2sOf   int // requests then
	CutWrongful   int // of Wrongful: at the region that is cut off
	Admitted      float64
	IdealAdmitted float64       // tokens
	Waited        int           // requests that asked other holders
	MeanWait      time.Duration // of those that were admitted
	WorstWait     time.Duration
	Messages      int     // loan messages, both directions
	OverRate      float64 // largest use of any window above the rate, less the burst; must not be positive
}

// WrongfulShare is the part of requests that were refused wrongfully.
func (r Result) WrongfulShare() float64 { return share(r.Wrongful, r.Requests) }

// StaticShare is the same for static quarter shares.
func (r Result) StaticShare() float64 { return share(r.Static, r.Requests) }

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = time.Hour
	}
	if o.Rate == 0 {
		o.Rate = 4000
	}
	if o.Burst == 0 {
		o.Burst = 40_000
	}
	if o.Deadline == 0 {
		o.Deadline = 10 * time.Second
	}
	if o.MaxPatience == 0 {
		o.MaxPatience = limits.DefaultPatience
	}
	if o.Scenario == FiveTimes || o.Scenario == FiveTimesOne {
		o.Load = 5
	}
	return o
}

// request is one generated request.
type request struct {
	at       time.Duration
	holder   int
	charge   float64
	used     float64
	duration time.Duration
}

// meanUse is the expected use of a request in tokens, as requests draws it.
const meanUse = 0.8*(200+200*0.6) + 0.2*(4000+1000*0.6)

// drawRequests draws the arrivals of a run: Poisson, four in five short questions and one in five long dossiers.
func drawRequests(o Options, holders []holderPlace) []request {
	rng := rand.New(rand.NewPCG(o.Seed, 0x7261746573))
	perSecond := o.Load * o.Rate / meanUse
	var out []request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		t := time.Duration(at * float64(time.Second))
		if t >= o.Duration {
			return out
		}
		r := request{at: t, holder: pickHolder(rng, o, holders, t)}
		prompt, output := 50+300*rng.Float64(), 100+200*rng.Float64()
		if rng.Float64() < 0.2 {
			prompt, output = 1000+6000*rng.Float64(), 500+1000*rng.Float64()
		}
		part := 0.2 + 0.8*rng.Float64() // of the largest output
		r.charge = math.Round(prompt + output)
		r.used = math.Round(prompt + output*part)
		r.duration = time.Duration((0.5 + output*part/100) * float64(time.Second))
		out = append(out, r)
	}
}

// pickHolder chooses the entry of a request.
func pickHolder(rng *rand.Rand, o Options, holders []holderPlace, t time.Duration) int {
	weights := make([]float64, len(holders))
	for i, h := range holders {
		weights[i] = 1
		switch o.Scenario {
		case OneInstance, FiveTimesOne:
			if i != 0 {
				weights[i] = 0
			}
		case MovingPeak, StoreOut:
			phase := 2 * math.Pi * (t.Seconds()/peakPeriod.Seconds() + float64(h.regionIndex)/3)
			weights[i] = math.Max(0.02, 1+math.Cos(phase)) / float64(h.inRegion)
		case InstanceLost:
			if i == lostHolder && t >= o.faultAt() {
				weights[i] = 0
			}
		}
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return 0
}

// counts reports whether a request at t belongs to the result.
func (o Options) counts(t time.Duration) bool {
	return t >= warmUp && (o.Scenario != InstanceLost || t >= o.faultAt()+lostGrace)
}

// patience is the time that a request may wait for accrual, as package limits sets it.
func (o Options) patience() time.Duration { return min(o.Deadline/2, o.MaxPatience) }

func (o Options) faultAt() time.Duration { return time.Duration(float64(o.Duration) * faultAfter) }

// bucket is an ideal token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) advance(t time.Duration) {
	b.level = math.Min(b.burst, b.level+b.rate*(t-b.at).Seconds())
	b.at = t
}

func (b *bucket) admit(t time.Duration, tokens float64) bool {
	b.advance(t)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

func (b *bucket) refund(t time.Duration, tokens float64) {
	b.advance(t)
	b.level = math.Min(b.burst, b.level+tokens)
}

// idealRun returns which requests buckets admit, one bucket for all or one for each holder, and the tokens admitted.
func idealRun(o Options, requests []request, buckets []bucket) (admitted []bool, tokens float64) {
	type refund struct {
		at     time.Duration
		bucket int
		tokens float64
	}
	var refunds []refund
	admitted = make([]bool, len(requests))
	for i, r := range requests {
		var due []refund
		refunds = slices.DeleteFunc(refunds, func(x refund) bool {
			if x.at <= r.at {
				due = append(due, x)
			}
			return x.at <= r.at
		})
		slices.SortFunc(due, func(a, b refund) int { return int(a.at - b.at) })
		for _, x := range due {
			buckets[x.bucket].refund(x.at, x.tokens)
		}
		b := r.holder % len(buckets)
		if buckets[b].admit(r.at, r.charge) {
			admitted[i] = true
			if o.counts(r.at) {
				tokens += r.used
			}
			refunds = append(refunds, refund{r.at + r.duration, b, r.charge - r.used})
		}
	}
	return admitted, tokens
}

// Run runs one scenario.
func Run(o Options) Result {
	o = o.withDefaults()
	s := newSimulation(o)
	requests := drawRequests(o, s.places)
	ideal, idealTokens := idealRun(o, requests, []bucket{{rate: o.Rate, burst: o.Burst}})
	var quarters []bucket
	for range s.places {
		n := float64(len(s.places))
		quarters = append(quarters, bucket{rate: o.Rate / n, burst: o.Burst / n})
	}
	static, _ := idealRun(o, requests, quarters)
	outcomes := s.run(requests)
	result := s.result
	result.Options = o
	result.IdealAdmitted = idealTokens
	var waits time.Duration
	admittedAfterWait := 0
	for i, r := range requests {
		if r.at < warmUp {
			continue
		}
		wrongful := ideal[i] && !outcomes[i].admitted
		if o.Scenario == InstanceLost && r.at < o.faultAt()+lostGrace {
			if r.at >= o.faultAt() {
				result.InFirst2sOf++
				if wrongful {
					result.InFirst2s++
				}
			}
			continue
		}
		result.Requests++
		if !ideal[i] {
			result.IdealRefused++
		}
		if !outcomes[i].admitted {
			result.Refused++
		}
		if ideal[i] && !static[i] {
			result.Static++
		}
		if wrongful {
			result.Wrongful++
			if o.Scenario == RegionCut && s.places[r.holder].region == cutRegion {
				result.CutWrongful++
			}
		}
		if outcomes[i].admitted {
			result.Admitted += r.used
		}
		if outcomes[i].asked {
			result.Waited++
			if outcomes[i].admitted {
				admittedAfterWait++
				waits += outcomes[i].wait
				result.WorstWait = max(result.WorstWait, outcomes[i].wait)
			}
		}
	}
	if admittedAfterWait > 0 {
		result.MeanWait = waits / time.Duration(admittedAfterWait)
	}
	return result
}

// All runs every scenario at 60% and 90% of the rate and writes a table.
func All(w io.Writer, seed uint64, duration time.Duration) ([]Result, error) {
	var results []Result
	for _, scenario := range Scenarios {
		loads := []float64{0.6, 0.9}
		if scenario == FiveTimes || scenario == FiveTimesOne {
			loads = []float64{5}
		}
		for _, load := range loads {
			results = append(results, Run(Options{Seed: seed, Scenario: scenario, Load: load, Duration: duration}))
		}
	}
	return results, Write(w, results)
}

// Write prints results as a table.
func Write(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tload\trequests\tideal refused\twrongful\tstatic quarters\ttokens/ideal\tasked\tmean wait\tworst wait\tmessages/s\tover rate\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.0f%%\t%d\t%.3f%%\t%.3f%%\t%.3f%%\t%.4f\t%.2f%%\t%s\t%s\t%.1f\t%.1f\t\n",
			r.Options.Scenario, 100*r.Options.Load, r.Requests, 100*share(r.IdealRefused, r.Requests), 100*r.WrongfulShare(),
			100*r.StaticShare(), r.Admitted/r.IdealAdmitted, 100*share(r.Waited, r.Requests),
			r.MeanWait.Round(time.Millisecond), r.WorstWait.Round(time.Millisecond),
			float64(r.Messages)/r.Options.Duration.Seconds(), r.OverRate)
		if r.InFirst2sOf > 0 {
			fmt.Fprintf(t, "  first 2 s\t\t%d\t\t%.3f%%\t\n", r.InFirst2sOf, 100*share(r.InFirst2s, r.InFirst2sOf))
		}
		if r.CutWrongful > 0 {
			fmt.Fprintf(t, "  at the region cut off\t\t\t\t%d of %d\t\n", r.CutWrongful, r.Wrongful)
		}
	}
	return t.Flush()
}
