package main

import (
	"context"
	"os"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/experiment/capacity"
)

// capacityCommand measures the slopes that docs/CAPACITY.md is computed from.
type capacityCommand struct {
	Organisations int           `help:"Largest number of organisations." default:"34000"`
	Daemons       int           `help:"Largest number of daemons." default:"390"`
	Endpoints     int           `help:"Largest number of endpoints." default:"600"`
	Records       int           `help:"Largest number of at-most-once records of a daemon." default:"240000"`
	RateTime      time.Duration `help:"How long each rate of requests or operations is offered." default:"1s"`
	Section       []string      `help:"Sections to run. Default: all."`
	Output        string        `help:"table or json." enum:"table,json" default:"table"`
	Timeout       time.Duration `help:"The run fails after this time." default:"3m"`
}

// Run measures all sections and prints the report.
func (c *capacityCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := capacity.Run(ctx, capacity.Options{
		Organisations: c.Organisations, Daemons: c.Daemons, Endpoints: c.Endpoints, Records: c.Records,
		RateTime: c.RateTime, Only: c.Section,
	})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteTable(os.Stdout)
}
