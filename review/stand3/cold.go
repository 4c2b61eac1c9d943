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
)

// arrival is a request at an endpoint.
type arrival struct {
	sent, arrived time.Time
}

// coldAgain plays endpoints that become cold again while they run, and say so in their entry and their health answers at that moment.
func coldAgain(w *world, trouble bool) (held bool, err error) {
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	arrivals := make(map[string][]arrival)
	var engines []*endpoint
	for i := range 2 {
		e, err := w.startEndpoint(fmt.Sprintf("i-engine%d", i), "engine", "pitesti-a", 128, func(e *endpoint) http.HandlerFunc {
			return func(rw http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(words.Headers["id"])
				mu.Lock()
				arrivals[e.id] = append(arrivals[e.id], arrival{sentAt[id], time.Now()})
				mu.Unlock()
				w.note("%s runs %s", e.id, id)
				stream(rw, r, e.id)
			}
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if _, err := w.startEdge("front-pitesti-a-1", "pitesti-a"); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	// The rules hold for machines that have been in touch.
	time.Sleep(7 * time.Second)
	stop := make(chan struct{})
	var load sync.WaitGroup
	served, all := 0, 0
	load.Go(func() {
		client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		ticker := time.NewTicker(time.Second / askRate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("ask-%d", n)
			load.Go(func() {
				r, err := newRequest(http.MethodPost, w.edges[0].caller, "/ask/"+id, id, "question", 10*time.Second)
				if err != nil {
					return
				}
				r.Header.Set(words.Headers["model"], "m")
				r.Header.Set(words.Headers["tokens"], "825,290")
				r.Header.Set(words.Headers["parts"], fmt.Sprintf("aa01:119,%x:79,%x:627", n%285+1, n+100000))
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				w.note("%s is sent", id)
				resp, err := client.Do(r)
				status := 0
				if err == nil {
					status = resp.StatusCode
					_, _ = io.Copy(io.Discard, resp.Body) // an answer that breaks off is not what this scenario checks
					_ = resp.Body.Close()
				}
				mu.Lock()
				all++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
				w.note("%s is answered %d", id, status)
			})
		}
	})
	time.Sleep(5 * time.Second)
	type period struct {
		endpoint    *endpoint
		begin, ends time.Time
	}
	var cold []period
	for n := range 6 {
		e := engines[n%len(engines)]
		if trouble {
			e.mu.Lock()
			now := time.Now()
			e.coldUntil = now.Add(coldFor)
			e.mu.Unlock()
			e.write()
			w.note("%s is cold for %s", e.id, coldFor)
			cold = append(cold, period{e, now, now.Add(coldFor)})
		}
		time.Sleep(7 * time.Second)
	}
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.note("%d of %d requests are served", served, all)
	if served*2 < all {
		return false, fmt.Errorf("%d of %d requests are served", served, all)
	}
	allowed := coldRate*coldExcess + coldSlack
	held = true
	for _, c := range cold {
		most := 0
		list := arrivals[c.endpoint.id]
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
