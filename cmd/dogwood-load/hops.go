package main

import (
	"context"
	"os"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/experiment/hops"
)

// hopsCommand measures what an entry instance adds to a request.
type hopsCommand struct {
	Requests  int           `help:"Requests of each path." default:"2000"`
	PerSecond float64       `help:"Requests per second of all paths together, under load." default:"300"`
	InFlight  int           `help:"Requests of each path that are held for the memory." default:"400"`
	Rounds    int           `help:"Rounds of the memory, an odd number. The table shows their median." default:"5"`
	Seed      uint64        `help:"Seed of the arrivals under load." default:"1"`
	Timeout   time.Duration `help:"The run fails after this time." default:"2m"`
}

// Run measures all paths and prints the table.
func (c *hopsCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	paths, err := hops.Run(ctx, hops.Options{Requests: c.Requests, PerSecond: c.PerSecond, InFlight: c.InFlight, Rounds: c.Rounds, Seed: c.Seed})
	if err != nil {
		return err
	}
	return hops.Write(os.Stdout, paths)
}
