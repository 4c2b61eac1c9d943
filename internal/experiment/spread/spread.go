// Package spread measures how the callers of a lost entry instance spread over the others.
package spread

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/membership"
)

// Rates of the organisations, in tokens per second: one in largeEvery has largeRate, the others smallRate (docs/CAPACITY.md).
const (
	smallRate  = 100
	largeRate  = 20000
	largeEvery = 100
)

const region = "region"

// Result is what one lost instance does to the callers of one region.
type Result struct {
	Instances, Organisations int
	// Lost is the number of organisations whose first entry was the lost instance.
	Lost int
	// MaxOfMean is the largest number of them that one remaining instance gets, against the mean.
	MaxOfMean float64
	// RateGrowth is the largest rate that one remaining instance gets in addition, against the mean rate of an instance
	// before. Each organisation's rate is spread evenly over its entries; an even spread gives 1/(Instances-1).
	RateGrowth float64
	// UniformMaxOfMean is MaxOfMean of as many callers that each choose a remaining instance at random.
	UniformMaxOfMean float64
	// Moved are the organisations with another first entry although theirs was not lost, Changed those with another set of
	// entries although the lost instance was not in theirs.
	Moved, Changed int
}

// Measure loses one of n instances, chosen by the seed, under so many organisations.
func Measure(n, organisations int, seed uint64) (Result, error) {
	if n < 2 || organisations < 1 {
		return Result{}, errors.New("at least 2 instances and 1 organisation are needed")
	}
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	members := make([]membership.Member, n)
	for i := range members {
		members[i].Name, members[i].Region, members[i].Status = fmt.Sprintf("region-%d", i+1), region, membership.Live
	}
	lost := rng.IntN(n)
	gone := members[lost].Name
	before := &membership.Snapshot{Members: members}
	after := &membership.Snapshot{Members: slices.Delete(slices.Clone(members), lost, lost+1)}
	r := Result{Instances: n, Organisations: organisations}
	total := 0.0
	got, moved, uniform := make(map[string]float64), make(map[string]float64), make(map[int]float64)
	for i := range organisations {
		name, rate := fmt.Sprintf("organisation-%05d", i), float64(smallRate)
		if i%largeEvery == 0 {
			rate = largeRate
		}
		total += rate
		old, now := rank(before, name, rate, rng), rank(after, name, rate, rng)
		if old[0] == gone {
			r.Lost++
			got[now[0]]++
			uniform[rng.IntN(n-1)]++
		} else if old[0] != now[0] {
			r.Moved++
		}
		if !slices.Contains(old, gone) {
			if !slices.Equal(old, now) {
				r.Changed++
			}
			continue
		}
		for _, entry := range now {
			moved[entry] += rate / float64(len(now))
		}
		for _, entry := range old {
			if entry != gone {
				moved[entry] -= rate / float64(len(old))
			}
		}
	}
	r.MaxOfMean = maxOfMean(got, n-1)
	for _, rate := range moved {
		r.RateGrowth = max(r.RateGrowth, rate*float64(n)/total)
	}
	r.UniformMaxOfMean = maxOfMean(uniform, n-1)
	return r, nil
}

func rank(s *membership.Snapshot, organisation string, rate float64, rng *rand.Rand) []string {
	entries := membership.RankEntries(s, region, organisation, rate, nil, membership.DefaultEntryParams(), rng)
	names := make([]string, len(entries.Members))
	for i, m := range entries.Members {
		names[i] = m.Name
	}
	return names
}

func maxOfMean[K comparable](by map[K]float64, n int) float64 {
	most, sum := 0.0, 0.0
	for _, v := range by {
		most = max(most, v)
		sum += v
	}
	if sum == 0 {
		return 0
	}
	return most * float64(n) / sum
}

// UniformBound is the MaxOfMean that callers who each choose one of n instances at random exceed with a probability of at most
// p: the quantile of the binomial distribution, with p divided by n because any of the n may be the fullest.
func UniformBound(callers, n int, p float64) float64 {
	if n < 2 || callers < 1 {
		return 1
	}
	choice := 1 / float64(n)
	logTerm := float64(callers) * math.Log1p(-choice) // of no caller
	below, k := math.Exp(logTerm), 0
	for ; 1-below > p/float64(n) && k < callers; k++ {
		logTerm += math.Log(float64(callers-k)/float64(k+1)) + math.Log(choice) - math.Log1p(-choice)
		below += math.Exp(logTerm)
	}
	return float64(k) * float64(n) / float64(callers)
}

// Write measures each number of instances with the seeds from seed on and prints a table.
func Write(w io.Writer, instances []int, organisations, seeds int, seed uint64) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "instances\tseed\tcallers of the lost one\tmax/mean of the others\trandom choice\tbound (p 0.001)\tlargest growth of a rate\teven growth\tmoved without need\tother entries without need")
	for _, n := range instances {
		for k := range seeds {
			r, err := Measure(n, organisations, seed+uint64(k))
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.1f%%\t%.1f%%\t%d\t%d\n", n, seed+uint64(k), r.Lost, r.MaxOfMean, r.UniformMaxOfMean,
				UniformBound(r.Lost, n-1, 0.001), 100*r.RateGrowth, 100/float64(n-1), r.Moved, r.Changed)
		}
	}
	return t.Flush()
}
