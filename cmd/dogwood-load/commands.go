package main

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/experiment/rates"
	"dogwoodknot.example/dogwoodknot/internal/experiment/serving"
	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// siteCommand runs scenarios on a deployment.
type siteCommand struct {
	Site     string        `help:"veletas or urmarol." enum:"veletas,urmarol" default:"veletas"`
	Scenario []string      `help:"Scenarios to run, or all." default:"all"`
	Baseline bool          `help:"Also run the baselines of the choice of endpoints."`
	Seed     uint64        `help:"Seed of arrivals and prompts." default:"1"`
	Duration time.Duration `help:"Length of the counted part of a run." default:"20s"`
	WarmUp   time.Duration `help:"Load before the counted part." default:"8s"`
	Rest     time.Duration `help:"How long control traffic is counted before the load." default:"5s"`
	Detail   bool          `help:"Also print each run's tables by region and organisation, and its control traffic by kind."`
}

// Run plays the scenarios one after the other and prints one table.
func (c *siteCommand) Run(ctx context.Context) error {
	options := site.Veletas()
	if c.Site == "urmarol" {
		options = site.Urmarol()
	}
	options.LogLevel = "error"
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	policies := serving.Policies[:1]
	if c.Baseline {
		policies = serving.Policies
	}
	var results []*serving.Result
	started := time.Now()
	for _, s := range scenarios {
		for _, p := range policies {
			r, err := serving.Run(ctx, serving.Options{Site: options, Scenario: s, Policy: p, Seed: c.Seed, Duration: c.Duration, WarmUp: c.WarmUp, Rest: c.Rest})
			if err != nil {
				// The runs that are complete are worth their time.
				return errors.CombineErrors(errors.Wrapf(err, "%s, %s", s.Name, p.Name), serving.WriteTable(os.Stdout, results))
			}
			fmt.Fprintf(os.Stderr, "%v: %s, %s, done\n", time.Since(started).Round(time.Second), s.Name, p.Name)
			results = append(results, r)
			if !c.Detail {
				continue
			}
			if err := r.Write(os.Stdout); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%s, seed %d, %v after %v of warm-up\n\n", options.Name, c.Seed, c.Duration, c.WarmUp)
	return errors.CombineErrors(serving.WriteTable(os.Stdout, results), serving.WriteControl(os.Stdout, results))
}

func (c *siteCommand) scenarios() ([]serving.Scenario, error) {
	if slices.Contains(c.Scenario, "all") {
		return serving.Scenarios, nil
	}
	var out []serving.Scenario
	for _, name := range c.Scenario {
		s, err := serving.FindScenario(name)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// ratesCommand runs the experiment of the rate shares.
type ratesCommand struct {
	Seed     uint64        `help:"Seed of the arrivals." default:"1"`
	Duration time.Duration `help:"Simulated time of a run." default:"10m"`
}

// Run prints the table of all scenarios.
func (c *ratesCommand) Run() error {
	_, err := rates.All(os.Stdout, c.Seed, c.Duration)
	return err
}

// runCommand sends load to a running system.
type runCommand struct {
	Entry        []string      `help:"Base URLs of entries on loopback addresses." required:""`
	Key          string        `help:"Key of the organisation." required:"" env:"DOGWOODKNOT_KEY"`
	Organisation string        `help:"Name of the organisation in the table." default:"organisation"`
	Model        string        `help:"Model to ask." required:""`
	PerSecond    float64       `help:"Requests per second." default:"10"`
	Prompt       int           `help:"Mean prompt tokens." default:"200"`
	Output       int           `help:"Output tokens." default:"32"`
	Seed         uint64        `help:"Seed of arrivals and prompts." default:"1"`
	Duration     time.Duration `help:"Length of the run." default:"10s"`
}

// Run plays one stream of chats and prints its table.
func (c *runCommand) Run(ctx context.Context) error {
	for _, e := range c.Entry {
		if err := checkLoopback(e); err != nil {
			return err
		}
	}
	w := load.Workload{Seed: c.Seed, Duration: c.Duration, Streams: []load.Stream{{
		Name: "chat", Kind: load.Chat, Organisation: c.Organisation, Key: c.Key, PerSecond: c.PerSecond, Model: c.Model,
		PromptTokens: c.Prompt, OutputTokens: c.Output, SharedPrefix: 0.5,
	}}}
	results, err := load.Run(ctx, w, load.Options{Entries: func(_ *load.Stream, n int) []string {
		return append(append([]string(nil), c.Entry[n%len(c.Entry):]...), c.Entry[:n%len(c.Entry)]...)
	}})
	if err != nil {
		return err
	}
	return load.WriteTable(os.Stdout, "stream", load.Summarise(results, load.ByStream))
}

// checkLoopback refuses entries elsewhere: the tool is for measurements on one machine.
func checkLoopback(entry string) error {
	u, err := url.Parse(entry)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return errors.Newf("entry %q is not at a loopback address", entry)
	}
	return nil
}
