// Command cases runs the cases of the review that are scripts. Each starts processes of dogwood-edge with the settings of the deploy
// file on loopback addresses, with stand-ins of the platform's store, of runners and of clients, and checks one rule by what these see.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// maxLength bounds a case. The processes end within a second after that.
const maxLength = 115 * time.Second

// errBroken marks the result of a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// cases by name.
var cases = map[string]func(*bed) error{
	"parallel-prompts": parallelPrompts,
	"late-write":       lateWrite,
	"many-parts":       manyParts,
	"restarts":         restarts,
	"evacuation":       evacuation,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME PATH-OF-DOGWOOD-EDGE RECORD-FILE")
		return couldntRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return couldntRun
	}
	defer r.close()
	b, err := newBed(os.Args[2], r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("result: the case could not run: %v", err)
		return couldntRun
	}
	defer b.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](b) }()
	select {
	case err = <-done:
	case <-stopped:
		err = errors.New("stopped by a signal")
	case <-time.After(maxLength):
		err = fmt.Errorf("not done after %s", maxLength)
	}
	switch {
	case err == nil:
		r.say("result: the rule held")
		return ruleHeld
	case errors.Is(err, errBroken):
		r.say("result: %v", err)
		return ruleBroken
	}
	r.say("result: the case could not run: %v", err)
	return couldntRun
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
