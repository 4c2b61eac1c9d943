package load

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Limits of a run.
const (
	requestTimeout  = 2 * time.Minute
	maxConnsPerHost = 4096
)

// Entries returns the base URLs of the entries that the caller of a stream's n-th request should use, best first.
type Entries func(s *Stream, n int) []string

// Options are the settings of a run.
type Options struct {
	Entries Entries
	// Client returns the client of a stream's callers, for injected latency. Nil: one client for all.
	Client func(s *Stream) *http.Client
	// Timeout is how long a caller waits for its whole answer. 0: two minutes.
	Timeout time.Duration
	// OnStart is called with the time at which the schedule starts.
	OnStart func(time.Time)
}

// Run plays the workload's arrivals at their times, whatever the answers do (open loop), and waits for all answers.
// Latencies count from the scheduled arrival, so a late start of a request is part of them.
func Run(ctx context.Context, w Workload, o Options) ([]Result, error) {
	for _, err := range w.Validate() {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnsPerHost,
		MaxConnsPerHost:     maxConnsPerHost,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	shared := &http.Client{Transport: transport}
	client := o.Client
	if client == nil {
		client = func(*Stream) *http.Client { return shared }
	}
	schedule := w.Schedule()
	timeout := cmp.Or(o.Timeout, requestTimeout)
	results := make([]Result, len(schedule))
	start := time.Now()
	if o.OnStart != nil {
		o.OnStart(start)
	}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for i, a := range schedule {
		due := start.Add(a.At)
		if err := clock.Sleep(ctx, time.Until(due)); err != nil {
			inFlight.Wait()
			return results[:i], err
		}
		inFlight.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			results[i] = sendToFirst(ctx, client(a.Stream), o.Entries(a.Stream, a.Number), a, due)
		})
	}
	inFlight.Wait()
	return results, nil
}

// sendToFirst tries the next entry only if a connection could not be made, which proves that the request was not sent.
func sendToFirst(ctx context.Context, client *http.Client, entries []string, a Arrival, due time.Time) Result {
	var r Result
	for _, base := range entries {
		r = send(ctx, client, base, a, due)
		if r.Status != 0 || !isDialError(r.Err) {
			return r
		}
	}
	return r
}

func isDialError(err error) bool {
	for err != nil {
		if op, ok := err.(*net.OpError); ok {
			return op.Op == "dial"
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}
