package serving

import (
	"sort"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// bucket is a token bucket that one place keeps, without any delay.
type bucket struct {
	rate, burst, level float64
	last               time.Duration
}

// newBucket returns a bucket that has filled from 0 for so long.
func newBucket(rate, burst float64, filled time.Duration) *bucket {
	return &bucket{rate: rate, burst: burst, level: min(rate*filled.Seconds(), burst)}
}

func (b *bucket) has(at time.Duration, tokens float64) bool {
	b.level = min(b.level+(at-b.last).Seconds()*b.rate, b.burst)
	b.last = at
	return b.level >= tokens
}

// Refusals compares the refusals over the rate with an ideal bucket that is charged for the same requests and has level 0 when
// the deployment starts, as the slots have.
type Refusals struct {
	// Requests are the requests of organisations that send within their rate, Wrongful those of them that were refused over
	// the rate although the ideal bucket held their charge.
	Requests, Wrongful int
	// StaticWrongful counts what fixed equal shares of rate and burst at every instance would have refused wrongly, computed
	// from the same arrivals at the same instances.
	StaticWrongful int
	// LateRequests and LateWrongful count from two seconds after the fault on.
	LateRequests, LateWrongful int
}

// lateAfter is the time after a fault from which wrongful refusals have a target of their own.
const lateAfter = 2 * time.Second

// window is the part of a run that counts, and when the fault came.
type window struct {
	from  time.Duration
	fault time.Duration // 0: none
	// filled is the time between the start of the deployment, when slots have level 0, and the start of the load.
	filled time.Duration
}

// judge replays the requests of the organisations that send within their rate.
func judge(results []load.Result, organisations []site.Organisation, greedy string, instances int, w window) Refusals {
	var out Refusals
	for _, org := range organisations {
		if org.Name == greedy {
			continue
		}
		var own []load.Result
		for _, r := range results {
			if r.Stream != nil && r.Stream.Organisation == org.Name {
				own = append(own, r)
			}
		}
		sort.SliceStable(own, func(a, b int) bool { return own[a].At < own[b].At })
		out.replay(own, org, instances, w)
	}
	return out
}

func (o *Refusals) replay(own []load.Result, org site.Organisation, instances int, w window) {
	ideal := newBucket(org.Rate, org.Burst, w.filled)
	static := make(map[string]*bucket)
	n := float64(instances)
	for _, r := range own {
		share := static[r.Entry]
		if share == nil {
			share = newBucket(org.Rate/n, org.Burst/n, w.filled)
			static[r.Entry] = share
		}
		charged := charge(r)
		allowed := ideal.has(r.At, charged)
		allowedByShare := share.has(r.At, charged)
		if allowedByShare {
			share.level -= used(r, charged)
		}
		limited := r.Status == statusLimited
		if !limited {
			ideal.level -= used(r, charged)
		}
		if r.At < w.from {
			continue
		}
		late := w.fault > 0 && r.At >= w.fault+lateAfter
		o.Requests++
		if late {
			o.LateRequests++
		}
		if allowed && !allowedByShare {
			o.StaticWrongful++
		}
		if allowed && limited {
			o.Wrongful++
			if late {
				o.LateWrongful++
			}
		}
	}
}

// charge is what the gateway takes on arrival: prompt and longest answer of a model request, one token of a service call.
func charge(r load.Result) float64 {
	if r.Stream.Kind != load.Chat {
		return 1
	}
	return float64(r.PromptTokens + r.Stream.OutputTokens)
}

// used is what stays charged. A refused request that did not run costs nothing; it would have cost its charge if admitted.
func used(r load.Result, charged float64) float64 {
	if r.Execution == "not-run" && r.Status != statusLimited {
		return 0
	}
	return charged
}
