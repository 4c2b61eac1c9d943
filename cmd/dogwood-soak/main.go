// Command dogwood-soak runs dogwood-edge processes under random faults on this machine and checks their promises.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"dogwoodknot.example/dogwoodknot/internal/soak"
)

type settings struct {
	Binary  string        `help:"Path of dogwood-edge." required:"" type:"existingfile"`
	Seed    uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"Number of seeds, one after the other." default:"1"`
	Length  time.Duration `help:"Time of faults in each seed." default:"20s"`
	Callers int           `help:"Callers that send requests all the time." default:"12"`
	Logs    string        `help:"Folder for the processes' logs; seeds without findings leave none. Default: a temporary one."`
	Verbose bool          `help:"Print each fault." short:"v"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("dogwood-soak"), kong.Description("Fault soak of dogwood-edge with real processes."))
	failed, err := run(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dogwood-soak:", err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run plays the seeds and returns how many had findings.
func run(s settings) (failed int, err error) {
	for seed := s.Seed; seed < s.Seed+uint64(s.Seeds); seed++ {
		dir, err := os.MkdirTemp(s.Logs, fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return failed, err
		}
		o := soak.Options{Seed: seed, Length: s.Length, Binary: s.Binary, Dir: dir, Callers: s.Callers}
		if s.Verbose {
			o.Progress = os.Stdout
		}
		findings, err := soak.Run(context.Background(), o)
		if err != nil {
			return failed, fmt.Errorf("seed %d, logs in %s: %w", seed, dir, err)
		}
		if len(findings) == 0 {
			fmt.Printf("seed %d: no findings\n", seed)
			if err := os.RemoveAll(dir); err != nil {
				return failed, err
			}
			continue
		}
		failed++
		fmt.Printf("seed %d: %d findings, logs in %s\n", seed, len(findings), dir)
		for i, f := range findings {
			if i == maxShown {
				fmt.Println("  ...")
				break
			}
			fmt.Println("  " + f)
		}
	}
	return failed, nil
}

// maxShown bounds the findings that are printed of a seed.
const maxShown = 12
