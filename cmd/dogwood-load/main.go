// Command dogwood-load measures the system: seeded open-loop load, experiments against baselines and capacity slopes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type command struct {
	Site     siteCommand     `cmd:"" help:"Run a whole deployment with stand-ins in this process under load and faults."`
	Rates    ratesCommand    `cmd:"" help:"Measure wrongful refusals of the rate shares in virtual time."`
	Run      runCommand      `cmd:"" help:"Send load to a running system."`
	Capacity capacityCommand `cmd:"" help:"Measure how state, messages and times grow with the size of the system."`
	Spread   spreadCommand   `cmd:"" help:"Measure how the callers of a lost instance spread over the others."`
	Hops     hopsCommand     `cmd:"" help:"Measure the time and memory that an entry instance adds to a request."`
}

func main() {
	var c command
	parsed := kong.Parse(&c,
		kong.Name("dogwood-load"),
		kong.Description("Measures the gateway: load, experiments and capacity slopes. All traffic goes to loopback addresses."),
		kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "dogwood-load:", err)
		os.Exit(1)
	}
}
