package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	coldFor = 3 * time.Second
	// coldRate, coldExcess and coldSlack are the figures of the sheet.
	coldRate, coldExcess, coldSlack = 3.5, 1.5, 3.0
	// askRate is the requests per second of all callers: the peak of a region with one instance and two engines.
	askRate = 51
	zone    = "pitesti-a"
)

// arrival is a request at an endpoint.
type arrival struct {
	sent, arrived time.Time
}

// period is a time in which an endpoint is cold.
type period struct {
	endpoint    *endpoint
	begin, ends time.Time
}

// region is a region with one instance and two engines, whose callers ask for streams.
type region struct {
	world   *world
	engines []*endpoint
	edge    *edgeProcess

	mu          sync.Mutex
	sentAt      map[string]time.Time
	arrivals    map[string][]arrival
	served, all int
	asked       int
	cold        []period
}

func newRegion(w *world) (*region, error) {
	g := &region{world: w, sentAt: make(map[string]time.Time), arrivals: make(map[string][]arrival)}
	for i := range 2 {
		e, err := w.startEndpoint(fmt.Sprintf("i-engine%d", i), "engine", zone, 128, func(e *endpoint) http.HandlerFunc {
			return func(rw http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(words.Headers["id"])
				g.mu.Lock()
				g.arrivals[e.id] = append(g.arrivals[e.id], arrival{g.sentAt[id], time.Now()})
				g.mu.Unlock()
				w.note("%s runs %s", e.id, id)
				stream(rw, r, e.id)
			}
		})
		if err != nil {
			return nil, err
		}
		g.engines = append(g.engines, e)
	}
	var err error
	if g.edge, err = w.startEdge("front-pitesti-a-1", zone); err != nil {
		return nil, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	// The rules hold for machines that have been in touch.
	time.Sleep(7 * time.Second)
	return g, nil
}

// ask sends askRate requests per second for a time. It returns when all are answered.
func (g *region) ask(length time.Duration) {
	var load sync.WaitGroup
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / askRate)))
		g.mu.Lock()
		g.asked++
		number := g.asked
		g.mu.Unlock()
		load.Go(func() { g.askOnce(client, number) })
	}
	load.Wait()
	client.CloseIdleConnections()
}

func (g *region) askOnce(client *http.Client, n int) {
	id := fmt.Sprintf("ask-%d", n)
	r, err := newRequest(http.MethodPost, g.edge.caller, "/ask/"+id, id, "question", 10*time.Second)
	if err != nil {
		return
	}
	r.Header.Set(words.Headers["model"], "m")
	r.Header.Set(words.Headers["tokens"], "825,290")
	r.Header.Set(words.Headers["parts"], fmt.Sprintf("aa01:119,%x:79,%x:627", n%285+1, n+100000))
	g.mu.Lock()
	g.sentAt[id] = time.Now()
	g.mu.Unlock()
	g.world.note("%s is sent", id)
	resp, err := client.Do(r)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body) // an answer that breaks off is not what is checked here
		_ = resp.Body.Close()
	}
	g.world.note("%s is answered %d", id, status)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all++
	if status == http.StatusOK {
		g.served++
	}
}

// recordCold records that an endpoint is cold from now on.
func (g *region) recordCold(e *endpoint) {
	g.world.note("%s is cold for %s", e.id, coldFor)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold = append(g.cold, period{e, time.Now(), time.Now().Add(coldFor)})
}

// held reports whether no cold endpoint got more requests in a second than is allowed. It fails if less than the given part of all requests
// was served.
func (g *region) held(served float64) (bool, error) {
	w := g.world
	g.mu.Lock()
	defer g.mu.Unlock()
	w.note("%d of %d requests are served", g.served, g.all)
	if float64(g.served) < served*float64(g.all) {
		return false, fmt.Errorf("%d of %d requests are served", g.served, g.all)
	}
	allowed, held := coldRate*coldExcess+coldSlack, true
	for _, c := range g.cold {
		most := 0
		list := g.arrivals[c.endpoint.id]
		for _, first := range list {
			if first.sent.Before(c.begin) {
				continue
			}
			n := 0
			for _, a := range list {
				if !a.sent.Before(first.sent) && !a.arrived.After(first.sent.Add(time.Second)) && !a.arrived.After(c.ends) {
					n++
				}
			}
			most = max(most, n)
		}
		w.note("%s, cold from %.3f s on, got at most %d requests that were sent and arrived within one second; allowed are %.2f",
			c.endpoint.id, c.begin.Sub(w.began).Seconds(), most, allowed)
		held = held && float64(most) <= allowed
	}
	return held, nil
}

// coldAgain plays endpoints that become cold again while they run, and say so in their entry and their health answers at that moment.
func coldAgain(w *world, trouble bool) (bool, error) {
	g, err := newRegion(w)
	if err != nil {
		return false, err
	}
	var load sync.WaitGroup
	load.Go(func() { g.ask(47 * time.Second) })
	time.Sleep(5 * time.Second)
	for n := range 6 {
		if e := g.engines[n%len(g.engines)]; trouble {
			g.recordCold(e)
			e.becomeCold(coldFor)
		}
		time.Sleep(7 * time.Second)
	}
	load.Wait()
	return g.held(0.5)
}

// idleRestart plays engines that crash while nobody asks for anything and start again under their ids, cold, as callers come back.
func idleRestart(w *world, trouble bool) (bool, error) {
	g, err := newRegion(w)
	if err != nil {
		return false, err
	}
	g.ask(3 * time.Second)
	for range 5 {
		time.Sleep(9 * time.Second)
		var restarts sync.WaitGroup
		for _, e := range g.engines {
			if !trouble {
				continue
			}
			w.note("%s crashes", e.id)
			restarts.Go(func() {
				if err := e.restart(1200*time.Millisecond, coldFor); err != nil {
					w.note("%s cannot start again: %v", e.id, err)
				}
				g.recordCold(e)
			})
		}
		restarts.Wait()
		g.ask(4 * time.Second)
	}
	return g.held(0.2)
}

// restartedInstance plays evacuations at whose end the engines are cold and the instance has just started.
func restartedInstance(w *world, trouble bool) (bool, error) {
	g, err := newRegion(w)
	if err != nil {
		return false, err
	}
	for _, e := range g.engines {
		e.quiet = true
	}
	var load sync.WaitGroup
	load.Go(func() { g.ask(75 * time.Second) })
	time.Sleep(3 * time.Second)
	for range 5 {
		w.note("%s is evacuated", zone)
		w.store.Put(words.EvacuationPrefix+zone, []byte("{}"))
		time.Sleep(7 * time.Second)
		if trouble {
			if err := w.kill(g.edge); err != nil {
				return false, err
			}
		}
		time.Sleep(800 * time.Millisecond)
		if trouble {
			if err := w.launch(g.edge); err != nil {
				return false, err
			}
			w.note("%s starts again", g.edge.name)
		}
		for _, e := range g.engines {
			g.recordCold(e)
			e.becomeCold(coldFor)
		}
		w.store.Delete(words.EvacuationPrefix + zone)
		w.note("%s is taken back", zone)
		time.Sleep(6 * time.Second)
	}
	load.Wait()
	return g.held(0.2)
}

// kill ends a process.
func (w *world) kill(e *edgeProcess) error {
	w.note("%s is killed", e.name)
	if err := e.cmd.Process.Kill(); err != nil {
		return err
	}
	<-e.done
	e.env = append(e.env, "DOGWOOD_EDGE_FIRST_START=false")
	return nil
}

// stream answers with seven events in 140 ms.
func stream(rw http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body) // the body says nothing
	sign(rw, r, id)
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for n := range 7 {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n+1, n+1); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
