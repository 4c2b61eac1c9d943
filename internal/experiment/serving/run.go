package serving

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
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
	Duration time.Duration // of the counted part
	// WarmUp is the time before it, under the same load: slots start at level 0, caches are cold and nothing has been measured
	// that estimates rest on.
	WarmUp time.Duration
	// Rest is how long the control traffic without callers is counted before the warm-up.
	Rest time.Duration
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
	// BookingsSent counts those of the warm-up too, as Executions does.
	BookingsSent int
	Cost         Cost
	Refusals     Refusals
	Shares       map[string]float64 // goodput against the fair share, by organisation
	Failures     map[string]int     // by cause
	// WarmUpLimited counts the refusals over the rate before the counted part.
	WarmUpLimited int
	// HeapBytes is the live heap of the whole process at the end: instances, stand-ins and load generator.
	HeapBytes uint64
	// Control is the control traffic of the whole run and of a pause without callers before it.
	Control, Rest []ControlRow
}

// patience is how long a caller waits for its whole answer.
const patience = 30 * time.Second

// Run brings the deployment up, plays the workload and the fault, and sums the answers up.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Duration <= 0 {
		return nil, errors.New("duration must be positive")
	}
	if o.Rest <= 0 {
		return nil, errors.New("time of rest must be positive")
	}
	prepared := prepare(o.Site, o.Scenario, o.Policy)
	begun := time.Now()
	s, err := site.Start(ctx, prepared)
	if err != nil {
		return nil, err
	}
	defer stop(s)
	rest, err := controlAtRest(ctx, s, o.Rest)
	if err != nil {
		return nil, err
	}
	w := workload(prepared, o.Scenario, s.Keys, o.Seed, o.WarmUp+o.Duration)
	callers := newCallers(s)
	fault := make(chan error, 1)
	control := readControl(s)
	var filled time.Duration
	before := make(chan standin.EngineCounts, 1)
	results, err := load.Run(ctx, w, load.Options{
		Entries: callers.entries,
		Client:  callers.client,
		Timeout: patience,
		OnStart: func(start time.Time) {
			filled = start.Sub(begun)
			go func() { fault <- inject(ctx, o, s) }()
			time.AfterFunc(o.WarmUp, func() { before <- spent(s) })
		},
	})
	if err != nil {
		return nil, err
	}
	peak := readControl(s).since(control)
	if err := <-fault; err != nil {
		return nil, err
	}
	o.Site = prepared
	r := summarise(o, s, results, <-before, filled)
	r.Control, r.Rest = peak, rest
	return r, nil
}

func inject(ctx context.Context, o Options, s *site.Site) error {
	if o.Scenario.Fault == nil {
		return nil
	}
	if err := clock.Sleep(ctx, o.faultAt()); err != nil {
		return err
	}
	if err := o.Scenario.Fault(ctx, s); err != nil || o.Scenario.Return == nil {
		return err
	}
	if err := clock.Sleep(ctx, o.Duration/3); err != nil {
		return err
	}
	return o.Scenario.Return(s)
}

func (o Options) faultAt() time.Duration { return o.WarmUp + o.Duration/3 }

func stop(s *site.Site) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	// The deployment may have lost parts; the result is complete already.
	_ = s.Stop(ctx)
}

func summarise(o Options, s *site.Site, all []load.Result, before standin.EngineCounts, filled time.Duration) *Result {
	r := &Result{Options: o}
	var results []load.Result
	for _, one := range all {
		if one.Stream.Kind == load.Booking {
			r.BookingsSent++
		}
		switch {
		case one.At >= o.WarmUp:
			results = append(results, one)
		case one.Status == statusLimited:
			r.WarmUpLimited++
		}
	}
	r.Streams = load.Summarise(results, load.ByStream)
	r.Regions = load.Summarise(results, load.ByStreamAndRegion)
	r.Organisations = load.Summarise(results, load.ByOrganisation)
	r.Cost = cost(before, spent(s), r.Streams)
	w := window{from: o.WarmUp, filled: filled}
	if o.Scenario.Fault != nil {
		w.fault = o.faultAt()
	}
	r.Refusals = judge(all, o.Site.Organisations, o.greedy(), len(s.Instances), w)
	r.Shares = fairShares(results, o.Site.Organisations, o.Duration)
	r.Failures = failures(results, o.greedy())
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

// greedy is the organisation that sends more than its rate, or empty.
func (o Options) greedy() string {
	if o.Scenario.Greedy > 1 {
		return o.Site.Organisations[0].Name
	}
	return ""
}

// Worst returns the organisation with the longest p99 to the first token, and the ratio to the median organisation's. The
// organisation that sends more than its rate is left out.
func (r *Result) Worst() (name string, p99 time.Duration, ratio float64) {
	var rows []*load.Row
	for _, row := range r.Organisations {
		if row.Name == r.Options.greedy() {
			continue
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return "", 0, 0
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].FirstToken().P99 < rows[j].FirstToken().P99 })
	worst := rows[len(rows)-1]
	median := (rows[(len(rows)-1)/2].FirstToken().P99 + rows[len(rows)/2].FirstToken().P99) / 2
	return worst.Name, worst.FirstToken().P99, float64(worst.FirstToken().P99) / float64(max(median, 1))
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
		fmt.Fprintf(w, "\nbookings: %d sent, %d answered as run, %d not run, %d unknown; with the warm-up %d sent, %d executions, %d of them doubled\n", r.Bookings.Sent, r.Bookings.Whole,
			r.Bookings.Refused, r.Bookings.Unknown+r.Bookings.NoAnswer, r.BookingsSent, r.Executions, r.Doubled)
	}
	if err := r.writeControl(w); err != nil {
		return err
	}
	name, p99, ratio := r.Worst()
	_, err := fmt.Fprintf(w, "\nworst-served organisation: %s, first token p99 %v, %.2f times the median organisation's; heap of the process %d MiB\n",
		name, p99.Round(100*time.Microsecond), ratio, r.HeapBytes>>20)
	return err
}
