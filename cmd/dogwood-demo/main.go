// Command dogwood-demo runs a whole deployment in one process over loopback and shows the main job.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"dogwoodknot.example/dogwoodknot/internal/demo"
)

type command struct {
	Timeout time.Duration `help:"Longest run." default:"2m"`
}

func main() {
	var c command
	kong.Parse(&c, kong.Name("dogwood-demo"), kong.Description("Shows the gateway's main job in one process over loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := demo.Run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dogwood-demo:", err)
		os.Exit(1)
	}
}
