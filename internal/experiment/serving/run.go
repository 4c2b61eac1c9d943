package serving

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// Options are the settings of an experiment.
type Options struct {
	Site     site.Options
	Scenario Scenario
	Policy   Policy
	Seed     uint64
	Duration time.Duration
}

// Result is what the callers saw.
type Result struct {
	Options       Options
	Streams       []*load.Row
	Regions       []*load.Row // by stream and caller's region
	Organisations []*load.Row
	// Executions counts the bookings that the plain services executed, Doubled those executed more than once.
	Executions, Doubled int64
	Bookings            *load.Row
	// HeapBytes is the live heap of the whole process at the end: instances, stand-ins and load generator.
	HeapBytes uint64
	// Control is the control traffic of the whole run and of a pause without callers before it.
	Control, Rest []ControlRow
}

// Run brings the deployment up, plays the workload and the fault, and sums the answers up.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Duration <= 0 {
		return nil, errors.New("duration must be positive")
	}
	prepared := prepare(o.Site, o.Scenario, o.Policy)
	s, err := site.Start(ctx, prepared)
	if err != nil {
		return nil, err
	}
	defer stop(s)
	rest, err := controlAtRest(ctx, s)
	if err != nil {
		return nil, err
	}
	w := workload(prepared, o.Scenario, s.Keys, o.Seed, o.Duration)
	callers := newCallers(s)
	fault := make(chan error, 1)
	before := readControl(s)
	results, err := load.Run(ctx, w, load.Options{
		Entries: callers.entries,
		Client:  callers.client,
		OnStart: func(time.Time) { go func() { fault <- inject(ctx, o, s) }() },
	})
	if err != nil {
		return nil, err
	}
	peak := readControl(s).since(before)
	if err := <-fault; err != nil {
		return nil, err
	}
	r := summarise(o, s, results)
	r.Control, r.Rest = peak, rest
	return r, nil
}

func inject(ctx context.Context, o Options, s *site.Site) error {
	if o.Scenario.Fault == nil {
		return nil
	}
	timer := time.NewTimer(o.Duration / 3)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return o.Scenario.Fault(ctx, s)
	}
}

func stop(s *site.Site) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	// The deployment may have lost parts; the result is complete already.
	_ = s.Stop(ctx)
}

func summarise(o Options, s *site.Site, results []load.Result) *Result {
	r := &Result{Options: o, Streams: load.Summarise(results, load.ByStream), Regions: load.Summarise(results, load.ByStreamAndRegion), Organisations: load.Summarise(results, load.ByOrganisation)}
	for _, row := range r.Streams {
		if row.Name == "booking" {
			r.Bookings = row
		}
	}
	for _, e := range s.Services {
		counts := e.Service.Executions()
		for digest, n := range counts.ByBodyDigest {
			if digest != standin.BodyDigest(nil) { // lookups have no body
				r.countBooking(n)
			}
		}
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	r.HeapBytes = mem.HeapAlloc
	return r
}

func (r *Result) countBooking(executions int64) {
	r.Executions += executions
	if executions > 1 {
		r.Doubled += executions - 1
	}
}

// Worst returns the organisation with the longest p99 to the first token, and the ratio to the median organisation's. The
// organisation that sends more than its rate is left out.
func (r *Result) Worst() (name string, p99 time.Duration, ratio float64) {
	var rows []*load.Row
	for _, row := range r.Organisations {
		if r.Options.Scenario.Greedy > 1 && row.Name == r.Options.Site.Organisations[0].Name {
			continue
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return "", 0, 0
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].FirstToken().P99 < rows[j].FirstToken().P99 })
	worst, median := rows[len(rows)-1], rows[len(rows)/2]
	return worst.Name, worst.FirstToken().P99, float64(worst.FirstToken().P99) / float64(max(median.FirstToken().P99, 1))
}

// Write prints the result as tables.
func (r *Result) Write(w io.Writer) error {
	fmt.Fprintf(w, "\n### %s, %s, %s, seed %d, %v\n\n", r.Options.Site.Name, r.Options.Scenario.Name, r.Options.Policy.Name, r.Options.Seed, r.Options.Duration)
	if err := load.WriteTable(w, "stream", r.Streams); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := load.WriteTable(w, "stream and region", r.Regions); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := load.WriteTable(w, "organisation", r.Organisations); err != nil {
		return err
	}
	if r.Bookings != nil {
		fmt.Fprintf(w, "\nbookings: %d sent, %d answered as run, %d not run, %d unknown; %d executions, %d of them doubled\n", r.Bookings.Sent, r.Bookings.Whole,
			r.Bookings.Refused, r.Bookings.Unknown+r.Bookings.NoAnswer, r.Executions, r.Doubled)
	}
	if err := r.writeControl(w); err != nil {
		return err
	}
	name, p99, ratio := r.Worst()
	_, err := fmt.Fprintf(w, "\nworst-served organisation: %s, first token p99 %v, %.2f times the median organisation's; heap of the process %d MiB\n",
		name, p99.Round(100*time.Microsecond), ratio, r.HeapBytes>>20)
	return err
}
