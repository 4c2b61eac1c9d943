package main

import (
	"flag"
	"fmt"
	"os"
)

// scenarios return whether the rule held.
var scenarios = map[string]func(w *world, trouble bool) (held bool, err error){
	"cold-again": coldAgain,
	"idle":       idleRestart,
	"restarted":  restartedInstance,
	"wait":       longWait,
}

func main() {
	name := flag.String("scenario", "", "scenario to play")
	binary := flag.String("edge", "target/dogwood-edge", "dogwood-edge")
	record := flag.String("record", "record.txt", "file that tells what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *binary, *record))
}

func play(name, binary, record string) int {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return 2
	}
	w, err := newWorld(binary, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	held, err := scenario(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case !held:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
