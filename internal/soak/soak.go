// Package soak runs real dogwood-edge processes against stand-ins on one machine, injects faults from outside them by a seed, and
// checks what callers and endpoints see while it runs.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// regions of the soak's data centres.
var regions = map[string]string{"north-a": "north", "south-a": "south"}

// Options of a run.
type Options struct {
	Seed     uint64
	Length   time.Duration // of the faults
	Binary   string        // of dogwood-edge
	Dir      string        // for the processes' logs
	Callers  int
	Progress io.Writer // told each fault
}

const (
	grace = 8 * time.Second
	// recovery is when all must be served again after the last fault has ended.
	recovery = 12 * time.Second
)

// instance is a dogwood-edge process with the proxies before its ports and its store.
type instance struct {
	name, dataCentre                   string
	caller, ready, directory, peerReal string
	peer, store                        *proxy
	options                            *Options

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	running bool
	ending  bool // its end is part of a fault
	report  func(format string, args ...any)
}

// soak is a run.
type soak struct {
	options     Options
	rng         *rand.Rand
	store       *platformtest.Store
	ledger      *ledger
	instances   []*instance
	endpoints   []*endpoint
	version     int
	routes      []string
	requests    atomic.Int64
	disturbedMu sync.Mutex
	disturbed   []disturbance // in the order of their beginning
	served      atomic.Int64
}

// Run plays a seed and returns what it found, empty if every check held.
func Run(ctx context.Context, o Options) (findings []string, err error) {
	s := &soak{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), store: platformtest.StartStore(), ledger: &ledger{runs: make(map[string]int)}}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if !s.allServed(20 * time.Second) {
		return nil, errors.New("not all instances serve after the start")
	}
	callers, stopCallers := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i := range o.Callers {
		load.Go(func() { s.call(callers, i) })
	}
	s.faults(ctx)
	if !s.allServed(recovery) {
		s.ledger.report("not all instances serve %s after the last fault", recovery)
	}
	stopCallers()
	load.Wait()
	s.note("%d requests, %d served", s.requests.Load(), s.served.Load())
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.ledger.problems, nil
}

func (s *soak) note(format string, args ...any) {
	if s.options.Progress != nil {
		_, _ = fmt.Fprintf(s.options.Progress, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
	}
}

// start brings up three instances in two regions, and two endpoints of each service in each region.
func (s *soak) start() error {
	for dataCentre, region := range regions {
		for _, service := range []string{"plain", "engine"} {
			for i := range 2 {
				e, err := startEndpoint(fmt.Sprintf("%s-%s-%d", service, region, i), service, dataCentre, s.store, s.ledger)
				if err != nil {
					return err
				}
				s.endpoints = append(s.endpoints, e)
			}
		}
	}
	s.configure()
	for i, dataCentre := range []string{"north-a", "north-a", "south-a"} {
		in, err := s.newInstance(fmt.Sprintf("edge-%d", i), dataCentre)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) configure() {
	s.version++
	s.store.Put(platformtest.ConfigurationKey, configuration(s.version, s.routes))
}

func (s *soak) newInstance(name, dataCentre string) (*instance, error) {
	in := &instance{name: name, dataCentre: dataCentre, options: &s.options, report: s.ledger.report}
	var err error
	for _, addr := range []*string{&in.caller, &in.ready, &in.directory, &in.peerReal} {
		if *addr, err = instancePorts.FreeAddr(); err != nil {
			return nil, err
		}
	}
	if in.peer, err = newProxy(in.peerReal); err != nil {
		return nil, err
	}
	in.store, err = newProxy(s.store.Addr)
	return in, err
}

// instancePorts are the ports of instances, which keep them through restarts.
var instancePorts = platformtest.NewPorts(20_000, 12_000)

func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(in.options.Dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	in.cmd = exec.Command(in.options.Binary, "--name", in.name, "--region", regions[in.dataCentre], "--data-centre", in.dataCentre,
		"--regions", regionsJSON, "--caller-addr", in.caller, "--ready-addr", in.ready, "--directory-addr", in.directory,
		"--peer-addr", in.peerReal, "--advertise-peer", in.peer.addr, "--store", in.store.addr, "--grace", fmt.Sprint(grace.Seconds()))
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	in.running, in.ending = true, false
	ended := make(chan struct{})
	in.ended = ended
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		in.mu.Lock()
		if !in.ending {
			in.report("%s has ended by itself: %v", in.name, err)
		}
		in.mu.Unlock()
		_ = log.Close()
		close(ended)
	}(in.cmd)
	return nil
}

func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running {
		in.ending = in.ending || sig == syscall.SIGKILL || sig == syscall.SIGTERM
		_ = in.cmd.Process.Signal(sig) // it may have ended by itself, which the checks see
	}
}

// awaitEnd reports whether the process ends within a time.
func (in *instance) awaitEnd(within time.Duration) bool {
	select {
	case <-in.ended:
	case <-time.After(within):
		return false
	}
	in.mu.Lock()
	in.running = false
	in.mu.Unlock()
	return true
}

func (in *instance) alive() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running
}

// allServed waits until each instance answers each kind of request, and reports whether that came within the time.
func (s *soak) allServed(within time.Duration) bool {
	deadline := time.Now().Add(within)
	for _, in := range s.instances {
		for _, path := range append([]string{"/once/", "/again/", "/resume/"}, s.routes...) {
			client := newCaller(fmt.Sprintf("check-%d", time.Now().UnixNano()))
			for {
				if outcome := s.request(context.Background(), client, in, path, key); outcome.served {
					break
				}
				if time.Now().After(deadline) {
					s.note("%s does not serve %s", in.name, path)
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
			client.close()
		}
	}
	return true
}

func (s *soak) close() {
	for _, in := range s.instances {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		if in.ended != nil {
			<-in.ended
		}
		in.peer.close()
		in.store.close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	s.store.Close()
}
