// Command stand2 plays a case of the second review: it starts dogwood-edge processes with the command and the environment of the deploy
// file, beside stand-ins of the store, of endpoints, of callers and of the platform that restarts what has ended. It ends with 1 if the
// rule of the case was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxRun bounds a case.
const maxRun = 110 * time.Second

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(ctx context.Context, w *world, trouble bool) (bool, error){
	"limit":     playLimit,
	"leftover":  playLeftover,
	"version":   playVersion,
	"withdrawn": playWithdrawn,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/dogwood-edge", "built dogwood-edge")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", *name)
		return failed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	w, err := newWorld(*binary, *out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	isBroken, err := play(ctx, w, *trouble)
	switch {
	case err != nil:
		w.record.line("case could not run: %v", err)
		return failed
	case isBroken:
		w.record.line("result: the rule was broken")
		return broken
	}
	w.record.line("result: the rule held")
	return held
}
