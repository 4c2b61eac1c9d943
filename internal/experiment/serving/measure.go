package serving

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

const statusLimited = http.StatusTooManyRequests

// Targets, set by the users.
const (
	maxWrongful     = 0.001 // of the requests at 60% of the rate
	maxWrongfulLate = 0.01  // from two seconds after an instance was lost
	maxWorst        = 1.3   // worst organisation's p99 against the median's, under a five-fold sender
	minGain         = 0.3   // p99 under random choice, at the peak
)

// Cost is what the engines spent while the counted part of a run lasted. Work for requests that were repeated, given up or lost
// is part of it.
type Cost struct {
	Busy      time.Duration // time of engine steps with work in the batch, all engines
	Prefilled int64         // prompt tokens computed
	Generated int64         // output tokens computed
	Delivered int64         // output tokens of complete answers
}

// PerThousand is the busy engine seconds for a thousand delivered tokens.
func (c Cost) PerThousand() float64 { return c.Busy.Seconds() * 1000 / float64(max(c.Delivered, 1)) }

// PrefilledPerToken is the prompt tokens computed for a delivered token.
func (c Cost) PrefilledPerToken() float64 { return float64(c.Prefilled) / float64(max(c.Delivered, 1)) }

// WastedPart is the part of the generated tokens that no complete answer holds.
func (c Cost) WastedPart() float64 {
	return max(0, 1-float64(c.Delivered)/float64(max(c.Generated, 1)))
}

// spent sums up the counters of all engines.
func spent(s *site.Site) standin.EngineCounts {
	var out standin.EngineCounts
	for _, r := range s.Runners {
		c := r.Engine.Counts()
		out.BusyNanos += c.BusyNanos
		out.PrefilledTokens += c.PrefilledTokens
		out.OutputTokens += c.OutputTokens
	}
	return out
}

func cost(before, after standin.EngineCounts, rows []*load.Row) Cost {
	c := Cost{
		Busy:      time.Duration(after.BusyNanos - before.BusyNanos),
		Prefilled: after.PrefilledTokens - before.PrefilledTokens,
		Generated: after.OutputTokens - before.OutputTokens,
	}
	for _, r := range rows {
		c.Delivered += int64(r.Tokens)
	}
	return c
}

// fairShares returns for each organisation the charge of its complete answers relative to its fair share: what it asked for, or
// its rate and burst if that is less.
func fairShares(results []load.Result, organisations []site.Organisation, measured time.Duration) map[string]float64 {
	asked, served := make(map[string]float64), make(map[string]float64)
	for _, r := range results {
		asked[r.Stream.Organisation] += charge(r)
		if r.Whole {
			served[r.Stream.Organisation] += charge(r)
		}
	}
	out := make(map[string]float64)
	for _, o := range organisations {
		if fair := min(asked[o.Name], o.Rate*measured.Seconds()+o.Burst); fair > 0 {
			out[o.Name] = served[o.Name] / fair
		}
	}
	return out
}

// leastShare returns the organisation with the least goodput against its fair share.
func (r *Result) leastShare() (string, float64) {
	name, least := "", 0.0
	for _, n := range slices.Sorted(maps.Keys(r.Shares)) {
		if name == "" || r.Shares[n] < least {
			name, least = n, r.Shares[n]
		}
	}
	return name, least
}

// failures counts the requests without a complete answer by cause, without the refusals of an organisation that exceeds its rate.
func failures(results []load.Result, greedy string) map[string]int {
	out := make(map[string]int)
	for _, r := range results {
		if why := r.Failure(); why != "" && (r.Status != statusLimited || r.Stream.Organisation != greedy) {
			out[string(r.Stream.Kind)+" "+why]++
		}
	}
	return out
}

// Target is a line of the report.
type Target struct {
	Name string
	Seen string
	Met  bool
}

// targets returns those that hold for the scenario. random is the result with random choice, or nil.
func (r *Result) targets(random *Result) []Target {
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	out := []Target{{"no booking twice", fmt.Sprintf("%d", r.Doubled), r.Doubled == 0}}
	j := r.Refusals
	if r.Options.Scenario.LosesInstance {
		p := part(j.LateWrongful, j.LateRequests)
		out = append(out, Target{"wrongful refusals from 2 s after the loss under 1%", fmt.Sprintf("%.2f%%", 100*p), p < maxWrongfulLate})
	} else {
		p := part(j.Wrongful, j.Requests)
		out = append(out, Target{"wrongful refusals under 0.1%", fmt.Sprintf("%.2f%%", 100*p), p < maxWrongful})
	}
	if r.Options.Scenario.Greedy > 1 {
		name, _, ratio := r.Worst()
		seen := fmt.Sprintf("%.2f, %s with %d first tokens", ratio, name, r.answered(name))
		out = append(out, Target{"worst organisation's p99 within 1.3 of the median's", seen, ratio <= maxWorst})
	}
	if r.Options.Scenario.Peak && random != nil {
		for _, stream := range []string{"long", "short"} {
			own, other := r.stream(stream).FirstToken().P99, random.stream(stream).FirstToken().P99
			gain := 1 - float64(own)/float64(max(other, 1))
			out = append(out, Target{stream + " p99 30% under random choice", fmt.Sprintf("%.0f%%", 100*gain), gain >= minGain})
		}
	}
	return out
}

// answered tells how much an organisation's p99 rests on: below 100 first tokens it is the slowest of them.
func (r *Result) answered(organisation string) int {
	for _, row := range r.Organisations {
		if row.Name == organisation {
			return row.Answered()
		}
	}
	return 0
}

func (r *Result) stream(name string) *load.Row {
	for _, row := range r.Streams {
		if row.Name == name {
			return row
		}
	}
	return load.EmptyRow(name)
}

// WriteTable prints the results of all runs as one table, then the targets and the failures of each run.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tpolicy\tengine s/1000 tokens\tprefill/token\twasted\tlong first ms\tshort first ms\tlong between ms\tshort between ms\tremote\tworst/median p99\tleast goodput/fair share\twrongful\tstatic shares\tbookings sent/run/doubled\tfailed")
	for _, r := range results {
		worst, _, ratio := r.Worst()
		least, share := r.leastShare()
		long, short := r.stream("long"), r.stream("short")
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.1f%%\t%s\t%s\t%s\t%s\t%.1f%%\t%.2f %s\t%.3f %s\t%d of %d\t%d\t%d/%d/%d\t%d\n",
			r.Options.Scenario.Name, r.Options.Policy.Name, r.Cost.PerThousand(), r.Cost.PrefilledPerToken(), 100*r.Cost.WastedPart(),
			long.FirstToken(), short.FirstToken(), long.BetweenTokens(), short.BetweenTokens(), 100*r.remote(), ratio, worst, share, least,
			r.Refusals.Wrongful, r.Refusals.Requests, r.Refusals.StaticWrongful, r.BookingsSent, r.Executions, r.Doubled, r.failed())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	random := make(map[string]*Result)
	for _, r := range results {
		if r.Options.Policy.Name == policyRandom {
			random[r.Options.Scenario.Name] = r
		}
	}
	for _, r := range results {
		if r.Options.Policy.Chooser == nil {
			for _, target := range r.targets(random[r.Options.Scenario.Name]) {
				verdict := "MISSED"
				if target.Met {
					verdict = "met"
				}
				fmt.Fprintf(w, "%s: %s: %s (%s)\n", r.Options.Scenario.Name, target.Name, verdict, target.Seen)
			}
		}
	}
	fmt.Fprintln(w)
	for _, r := range results {
		if len(r.Failures) > 0 {
			fmt.Fprintf(w, "%s, %s, failed: %s\n", r.Options.Scenario.Name, r.Options.Policy.Name, counted(r.Failures))
		}
	}
	return nil
}

func counted(by map[string]int) string {
	names := slices.SortedFunc(maps.Keys(by), func(a, b string) int {
		if by[a] != by[b] {
			return by[b] - by[a]
		}
		return strings.Compare(a, b)
	})
	for i, n := range names {
		names[i] = fmt.Sprintf("%d %s", by[n], n)
	}
	return strings.Join(names, "; ")
}

func (r *Result) remote() float64 {
	remote, sent := 0, 0
	for _, row := range r.Streams {
		remote += row.Remote
		sent += row.Sent
	}
	return float64(remote) / float64(max(sent, 1))
}

func (r *Result) failed() int {
	n := 0
	for _, k := range r.Failures {
		n += k
	}
	return n
}
