// Package hops measures the time and memory that an entry instance adds to a request.
package hops

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// Options are the settings of a measurement.
type Options struct {
	Requests  int     // of each path, unloaded and under load
	PerSecond float64 // of all paths together, under load
	InFlight  int     // requests of each path that are held for the memory
	Rounds    int     // of the memory; odd, so that the median is one of them. The first also pays for pools that only grow.
	Seed      uint64
}

// Path is a way to the engine: its latencies are whole answers of one token, from the caller's send to the end.
type Path struct {
	Name             string
	Unloaded, Loaded []time.Duration
	// HeldBytes is the memory of the whole process for a request in flight, by round: caller, instances and engine.
	HeldBytes []float64

	url string
	key string
}

// Limits of a measurement.
const (
	maxRequests    = 100_000
	requestTimeout = 30 * time.Second
	holdTimeout    = 30 * time.Second
	// settleTime is the time in which ended requests are forgotten.
	settleTime = time.Second
)

const (
	model  = "knot-serve"
	near   = "near" // has the engine
	far    = "far"  // has none, so that its instance forwards
	client = "moara-alba"
)

func deployment(o Options) site.Options {
	return site.Options{
		Name: "hops", StoreRegion: near, Model: model, Service: "trace-app", LogLevel: "error", StopDelay: time.Millisecond, Direct: true,
		RemovalFinal: true, ListLag: 100 * time.Millisecond,
		Regions: []site.Region{
			{Name: near, DataCentres: []string{"near-1"}, Instances: 1, Runners: 1, Services: 1},
			{Name: far, DataCentres: []string{"far-1"}, Instances: 1},
		},
		Organisations: []site.Organisation{{Name: client, Rate: 1e9, Burst: 1e9}},
		Engine: standin.EngineOptions{
			PrefillRate: 1e9, TokenInterval: time.Millisecond, BatchSlots: max(4*o.InFlight, 1024), CacheBlocks: 64,
			ResumeWindow: 50 * time.Millisecond, KeepFinished: 50 * time.Millisecond,
		},
	}
}

// Run starts an engine and two entry instances without network delay and sends the same request over three paths.
func Run(ctx context.Context, o Options) ([]*Path, error) {
	if o.Requests < 1 || o.Requests > maxRequests || o.PerSecond <= 0 || o.InFlight < 1 {
		return nil, errors.Newf("requests must be 1 to %d, rate and requests in flight positive", maxRequests)
	}
	if o.Rounds < 1 || o.Rounds%2 == 0 {
		return nil, errors.Newf("rounds are %d, not a positive odd number", o.Rounds)
	}
	s, err := site.Start(ctx, deployment(o))
	if err != nil {
		return nil, err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Stop(ctx) // the measurement is complete
	}()
	key := s.Keys[client]
	paths := []*Path{
		{Name: "direct", url: s.Runners[0].URL()},
		{Name: "one instance", url: s.Instances[0].URL(), key: key},
		{Name: "two instances", url: s.Instances[1].URL(), key: key},
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * o.InFlight, DisableCompression: true}, Timeout: requestTimeout}
	defer c.CloseIdleConnections()
	if err := awaitFirst(ctx, c, paths); err != nil {
		return nil, err
	}
	if err := unloaded(ctx, c, paths, o); err != nil {
		return nil, err
	}
	if err := loaded(ctx, c, paths, o); err != nil {
		return nil, err
	}
	engine := s.Runners[0].Engine
	for range o.Rounds {
		for _, p := range paths {
			if err := hold(ctx, c, p, o.InFlight, engine); err != nil {
				return nil, err
			}
		}
	}
	return paths, nil
}

// awaitFirst waits until each path has answered, and warms its connections up.
func awaitFirst(ctx context.Context, c *http.Client, paths []*Path) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	const warm = 50
	for _, p := range paths {
		for done := 0; done < warm; {
			if _, err := p.send(ctx, c); err == nil {
				done++
			} else if clock.Sleep(ctx, 20*time.Millisecond) != nil {
				return errors.Wrapf(err, "%s", p.Name)
			}
		}
	}
	return nil
}

const servedRegionHeader = "Dogwoodknot-Served-Region"

const requestBody = `{"model":"` + model + `","messages":[{"role":"user","content":"Where is roll 7?"}],"max_tokens":1}`

// send returns the time of a whole answer.
func (p *Path) send(ctx context.Context, c *http.Client) (time.Duration, error) {
	begun := time.Now()
	resp, err := p.open(ctx, c, requestBody)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return time.Since(begun), nil
}

func (p *Path) open(ctx context.Context, c *http.Client, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if p.key != "" {
		req.Header.Set("Authorization", "Bearer "+p.key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Newf("%s: status %d", p.Name, resp.StatusCode)
	}
	if region := resp.Header.Get(servedRegionHeader); p.key != "" && region != near {
		resp.Body.Close()
		return nil, errors.Newf("%s: served in region %q", p.Name, region)
	}
	return resp, nil
}

// unloaded sends one request at a time, over the paths in turn.
func unloaded(ctx context.Context, c *http.Client, paths []*Path, o Options) error {
	for range o.Requests {
		for _, p := range paths {
			d, err := p.send(ctx, c)
			if err != nil {
				return err
			}
			p.Unloaded = append(p.Unloaded, d)
		}
	}
	return nil
}

// loaded sends requests at random times whatever the answers do, over the paths in turn. Latencies count from the time at which a
// request was due.
func loaded(ctx context.Context, c *http.Client, paths []*Path, o Options) error {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var mu sync.Mutex
	var failed error
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	due := time.Now()
	for i := range o.Requests * len(paths) {
		due = due.Add(time.Duration(rng.ExpFloat64() / o.PerSecond * float64(time.Second)))
		if clock.Sleep(ctx, time.Until(due)) != nil {
			return ctx.Err()
		}
		p, at := paths[i%len(paths)], due
		inFlight.Go(func() {
			_, err := p.send(ctx, c)
			d := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			p.Loaded = append(p.Loaded, d)
		})
	}
	inFlight.Wait()
	return failed
}

// hold opens streams that the engine does not continue and measures the process's memory.
func hold(ctx context.Context, c *http.Client, p *Path, n int, engine *standin.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	// The rests of the path before have to be gone: connections, and requests that the engine keeps for resumes.
	c.CloseIdleConnections()
	if clock.Sleep(ctx, settleTime) != nil {
		return ctx.Err()
	}
	before := memory()
	engine.SetFaults(standin.EngineFaults{Hang: true})
	defer engine.SetFaults(standin.EngineFaults{})
	received := engine.Counts().Received
	var open sync.WaitGroup
	defer open.Wait()
	held, release := context.WithCancel(ctx)
	defer release()
	for range n {
		open.Go(func() {
			// The request is given up below, so that its error is expected.
			if resp, err := p.open(held, c, requestBody); err == nil {
				resp.Body.Close()
			}
		})
	}
	for engine.Counts().Received < received+int64(n) {
		if clock.Sleep(ctx, time.Millisecond) != nil {
			return errors.Newf("%s: %d of %d requests have reached the engine", p.Name, engine.Counts().Received-received, n)
		}
	}
	p.HeldBytes = append(p.HeldBytes, (memory()-before)/float64(n))
	return nil
}

// memory is the live heap and the stacks in bytes.
func memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Quantile returns the latency below which the part q of them lies.
func Quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// held is the median of the rounds.
func (p *Path) held() float64 { return slices.Sorted(slices.Values(p.HeldBytes))[len(p.HeldBytes)/2] }

// maxAdded is the users' target for the median time that an instance adds.
const maxAdded = time.Millisecond

// Write prints the latencies, what each instance adds to the path before it, and whether the target is met.
func Write(w io.Writer, paths []*Path) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "path\tunloaded p50/p99 ms\tadded p50\tunder load p50/p99 ms\tadded p50\tKiB held by a request\tadded")
	for i, p := range paths {
		before := paths[max(i-1, 0)]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\n", p.Name,
			pair(p.Unloaded), ms(added(before.Unloaded, p.Unloaded)), pair(p.Loaded), ms(added(before.Loaded, p.Loaded)),
			p.held()/1024, (p.held()-before.held())/1024)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, p := range paths[1:] {
		verdict := "met"
		if added(paths[i].Unloaded, p.Unloaded) >= maxAdded || added(paths[i].Loaded, p.Loaded) >= maxAdded {
			verdict = "MISSED"
		}
		fmt.Fprintf(w, "%s: added median under 1 ms: %s\n", p.Name, verdict)
	}
	return nil
}

func added(before, after []time.Duration) time.Duration {
	return Quantile(after, 0.5) - Quantile(before, 0.5)
}

func pair(latencies []time.Duration) string {
	return ms(Quantile(latencies, 0.5)) + "/" + ms(Quantile(latencies, 0.99))
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond)) }
