package main

import (
	"os"

	"dogwoodknot.example/dogwoodknot/internal/experiment/spread"
)

// spreadCommand measures where the callers of a lost instance go.
type spreadCommand struct {
	Organisations int    `help:"Number of organisations." default:"34000"`
	Instances     []int  `help:"Numbers of instances." default:"4,12,390"`
	Seed          uint64 `help:"First seed: which instance is lost." default:"1"`
	Seeds         int    `help:"Number of seeds for each number of instances." default:"2"`
}

// Run prints the table.
func (c *spreadCommand) Run() error {
	return spread.Write(os.Stdout, c.Instances, c.Organisations, c.Seeds, c.Seed)
}
