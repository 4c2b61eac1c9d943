// Command cmd runs the test of each mutation and prints whether it fails, as a Markdown table for docs/PROOFS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/mutation"
)

type options struct {
	Root     string        `default:"." type:"existingdir" help:"Directory of go.mod."`
	Only     string        `help:"Run the entries whose condition, mechanism or test match, such as '^11 '." placeholder:"REGEXP"`
	Timeout  time.Duration `default:"4m" help:"Bound of each test."`
	Parallel int           `default:"1" help:"Tests that run at once. The integration tests start some 15 processes each."`
	Baseline bool          `default:"true" negatable:"" help:"Run each test on the unchanged source first."`
	Verbose  bool          `help:"Print the output of tests that do not fail as they should."`
}

func main() {
	var o options
	k := kong.Parse(&o, kong.Description("Switches mechanisms off, one at a time, and checks that their tests fail."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	k.FatalIfErrorf(run(ctx, o))
}

func run(ctx context.Context, o options) error {
	only, err := regexp.Compile(o.Only)
	if err != nil {
		return err
	}
	var rows []mutation.Row
	for _, e := range mutation.Entries {
		if only.MatchString(fmt.Sprintf("%d %s %s", e.Condition, e.Mechanism, e.Run)) {
			rows = append(rows, mutation.Row{Entry: e})
		}
	}
	r := mutation.Runner{Root: o.Root, Timeout: o.Timeout}
	baselines := &baselines{runner: r, done: map[string]func() mutation.Result{}}
	errs := make([]error, len(rows))
	var tests sync.WaitGroup
	places := make(chan struct{}, max(o.Parallel, 1))
	for i := range rows {
		places <- struct{}{}
		tests.Go(func() {
			defer func() { <-places }()
			row := &rows[i]
			if o.Baseline {
				row.Baseline = baselines.result(ctx, row.Entry)
			}
			row.Result, errs[i] = r.Mutant(ctx, row.Entry)
			report(row, o.Verbose)
		})
	}
	tests.Wait()
	fmt.Print("\n" + mutation.Markdown(rows))
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return verdict(rows)
}

// report prints a row as soon as it is known, on standard error.
func report(row *mutation.Row, verbose bool) {
	fmt.Fprintf(os.Stderr, "%2d %s: %s (%.0f s) %s\n", row.Condition, row.Mechanism, row.Verdict(), row.Result.Took.Seconds(), row.Result.Detail)
	if b := row.Baseline.Outcome; b != "" && b != mutation.Passed {
		fmt.Fprintf(os.Stderr, "   unchanged source: %s: %s\n", b, row.Baseline.Detail)
		if verbose {
			fmt.Fprintln(os.Stderr, row.Baseline.Output)
		}
		return
	}
	if verbose && !row.Proved() {
		fmt.Fprintln(os.Stderr, row.Result.Output)
	}
}

func verdict(rows []mutation.Row) error {
	missing := 0
	for _, r := range rows {
		if !r.Proved() {
			missing++
		}
	}
	if missing > 0 {
		return errors.Newf("%d of %d entries are not proved", missing, len(rows))
	}
	return nil
}

// baselines runs each test once on the unchanged source, though several entries may have it.
type baselines struct {
	runner mutation.Runner
	mu     sync.Mutex
	done   map[string]func() mutation.Result
}

func (b *baselines) result(ctx context.Context, e mutation.Entry) mutation.Result {
	b.mu.Lock()
	key := e.Package + " " + e.Run
	if b.done[key] == nil {
		b.done[key] = sync.OnceValue(func() mutation.Result { return b.runner.Baseline(ctx, e) })
	}
	f := b.done[key]
	b.mu.Unlock()
	return f()
}
