package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// fault is something that happens from outside, and its end.
type fault struct {
	name    string
	run     func(s *soak, in *instance, length time.Duration)
	unaware bool // an instance may not know meanwhile which limit an endpoint names
}

// faults of instances, of the store and of endpoints. Signals come in series, and several faults overlap.
var kinds = []fault{
	{"kill", func(s *soak, in *instance, d time.Duration) {
		in.signal(syscall.SIGKILL)
		in.awaitEnd(grace)
		time.Sleep(d / 4)
		s.restart(in)
	}, true},
	{"planned stop", func(s *soak, in *instance, _ time.Duration) {
		in.signal(syscall.SIGTERM)
		if !in.awaitEnd(grace) {
			s.ledger.report("%s has not ended %s after SIGTERM", in.name, grace)
			in.signal(syscall.SIGKILL)
			in.awaitEnd(grace)
		}
		s.restart(in)
	}, true},
	{"pause", func(_ *soak, in *instance, d time.Duration) {
		in.signal(syscall.SIGSTOP)
		time.Sleep(d)
		in.signal(syscall.SIGCONT)
	}, true},
	{"hangups", func(_ *soak, in *instance, d time.Duration) {
		time.Sleep(runtimeStart)
		for range 5 {
			in.signal(syscall.SIGHUP)
			time.Sleep(d / 5)
		}
	}, false},
	{"store silent", func(_ *soak, in *instance, d time.Duration) {
		in.store.set(0, true, true)
		time.Sleep(d)
		in.store.set(0, false, false)
	}, false},
	{"store slow", func(_ *soak, in *instance, d time.Duration) {
		in.store.set(200*time.Millisecond, false, false)
		time.Sleep(d)
		in.store.set(0, false, false)
	}, false},
	{"store connections reset", func(_ *soak, in *instance, _ time.Duration) { in.store.resetAll() }, false},
	{"store down for all", func(s *soak, _ *instance, d time.Duration) {
		s.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(d)
		s.store.SetErrorStatus(0)
	}, false},
	{"store loses answers", func(s *soak, _ *instance, _ time.Duration) { s.store.DropAnswers(3) }, false},
	{"store history dropped", func(s *soak, _ *instance, _ time.Duration) { s.store.Compact() }, false},
	{"peers cut one way", func(_ *soak, in *instance, d time.Duration) {
		in.peer.set(0, true, false)
		time.Sleep(d)
		in.peer.set(0, false, false)
	}, true},
	{"peers slow", func(_ *soak, in *instance, d time.Duration) {
		in.peer.set(100*time.Millisecond, false, false)
		time.Sleep(d)
		in.peer.set(0, false, false)
	}, true},
	{"peer connections reset", func(_ *soak, in *instance, _ time.Duration) { in.peer.resetAll() }, true},
	{"endpoint breaks answers off", func(s *soak, _ *instance, d time.Duration) {
		e := s.endpoints[s.pick(len(s.endpoints))]
		e.failing.Store(true)
		time.Sleep(d)
		e.failing.Store(false)
	}, true},
	{"endpoint silent", func(s *soak, _ *instance, d time.Duration) {
		e := s.endpoints[s.pick(len(s.endpoints))]
		e.proxy.set(0, false, true)
		time.Sleep(d)
		e.proxy.set(0, false, false)
	}, true},
	{"endpoint connections reset", func(s *soak, _ *instance, _ time.Duration) {
		s.endpoints[s.pick(len(s.endpoints))].proxy.resetAll()
	}, false},
	{"endpoint drains", func(s *soak, _ *instance, d time.Duration) {
		e := s.endpoints[s.pick(len(s.endpoints))]
		e.list("draining")
		time.Sleep(drainBound + d)
		e.list("ready")
	}, false},
	{"configuration", func(s *soak, _ *instance, _ time.Duration) { s.addRoute() }, false},
}

// runtimeStart is how long a process takes until a Go program can catch signals: 60 starts were ended by a hangup in their first
// milliseconds only, and by none after 10 ms.
const runtimeStart = 50 * time.Millisecond

// choices guards the random source and the configuration, which overlapping faults share.
var choices sync.Mutex

func (s *soak) pick(n int) int {
	choices.Lock()
	defer choices.Unlock()
	return s.rng.IntN(n)
}

func (s *soak) addRoute() {
	choices.Lock()
	defer choices.Unlock()
	s.routes = append(s.routes, fmt.Sprintf("/again/%d/", len(s.routes)))
	s.configure()
}

func (s *soak) restart(in *instance) {
	if err := in.start(); err != nil {
		s.ledger.report("%s could not be started: %v", in.name, err)
	}
}

const (
	// maxOverlap is the number of faults at a time.
	maxOverlap = 3
	// maxFault and pauseBetween bound the length of a fault and the time until the next one begins.
	maxFault     = 4 * time.Second
	pauseBetween = 1500 * time.Millisecond
)

// faults injects faults until the run's length is over and returns when all have ended. An instance has one fault of its process
// at a time.
func (s *soak) faults(ctx context.Context) {
	var open sync.WaitGroup
	open.Go(func() { s.nameLimits(ctx) })
	open.Go(func() { s.askForNone(ctx) })
	slots := make(chan struct{}, maxOverlap)
	busy := make([]sync.Mutex, len(s.instances))
	for end := time.Now().Add(s.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		f, i := kinds[s.pick(len(kinds))], s.pick(len(s.instances))
		length := time.Duration(s.pick(int(maxFault)))
		slots <- struct{}{}
		open.Go(func() {
			defer func() { <-slots }()
			busy[i].Lock()
			defer busy[i].Unlock()
			s.note("%s, %s, %s", f.name, s.instances[i].name, length.Round(time.Millisecond))
			run := func() { f.run(s, s.instances[i], length) }
			if f.unaware {
				s.disturb(run)
			} else {
				run()
			}
		})
		time.Sleep(time.Duration(s.pick(int(pauseBetween))))
	}
	open.Wait()
}
