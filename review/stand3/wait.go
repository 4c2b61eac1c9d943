package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// longWait plays an endpoint that turns requests away with a Retry-After of 90 s.
func longWait(w *world, trouble bool) (held bool, err error) {
	const wait = 90 * time.Second
	var mu sync.Mutex
	var declinedAt time.Time
	var late int
	if _, err = w.startEndpoint("i-plain0", "plain", "pitesti-a", 6, func(e *endpoint) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the body says nothing
			id := r.Header.Get(words.Headers["id"])
			mu.Lock()
			decline := trouble && declinedAt.IsZero() && w.since() > 12*time.Second
			if decline {
				declinedAt = time.Now()
			} else if !declinedAt.IsZero() && time.Since(declinedAt) > 500*time.Millisecond && time.Since(declinedAt) < wait {
				late++
			}
			mu.Unlock()
			if decline {
				w.note("%s turns %s away and wants nothing for %s", e.id, id, wait)
				rw.Header().Set(words.Headers["id"], id)
				rw.Header().Set(words.Headers["not_run"], "1")
				rw.Header().Set("Retry-After", fmt.Sprint(wait.Seconds()))
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.note("%s runs %s", e.id, id)
			time.Sleep(15 * time.Millisecond)
			sign(rw, r, e.id)
			_, _ = io.WriteString(rw, "booked") // the caller may have left
		}
	}); err != nil {
		return false, err
	}
	if _, err := w.startEdge("front-pitesti-a-1", "pitesti-a"); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	client := &http.Client{Timeout: 5 * time.Second}
	served := 0
	for n := 0; w.since() < 78*time.Second; n++ {
		id := fmt.Sprintf("look-%d", n)
		r, err := newRequest(http.MethodGet, w.edges[0].caller, "/look/"+id, id, "", 2500*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.note("%s is sent", id)
		if resp, err := client.Do(r); err == nil {
			if resp.StatusCode == http.StatusOK {
				served++
			}
			w.note("%s is answered %d, Retry-After %q", id, resp.StatusCode, resp.Header.Get("Retry-After"))
			_, _ = io.Copy(io.Discard, resp.Body) // the status tells enough
			_ = resp.Body.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if served == 0 || trouble && declinedAt.IsZero() {
		return false, fmt.Errorf("%d requests were served, none was turned away", served)
	}
	w.note("%d requests reached the endpoint between 0.5 s and %s after it had asked for none; allowed are 2", late, wait)
	return late <= 2, nil
}
