// Package memory is the in-memory twin of the platform's services, for tests and for the stand-ins.
//
// Leases, rate limits and the lag of the instance list follow the clock that is passed in. Injected latency waits in
// real time, because the caller of a slow service waits in real time too.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// ErrRateLimited reports a call above the service's rate. Returned errors are also marked platform.ErrUnavailable.
var ErrRateLimited = errors.New("rate limit of the platform service is exceeded")

var (
	// The mark stands outside ErrRateLimited: errors.Is takes any two errors with the same mark for equal.
	errLimited   = errors.Mark(ErrRateLimited, platform.ErrUnavailable)
	errDown      = errors.Mark(errors.New("platform service is down"), platform.ErrUnavailable)
	errRestarted = errors.Mark(errors.New("platform service has restarted"), platform.ErrUnavailable)
	errLost      = errors.Mark(errors.New("answer of the write was lost"), platform.ErrUnknownOutcome)
)

// Faults are the injected faults of one service.
type Faults struct {
	// Down refuses every call and ends waiting watches. No call takes effect.
	Down bool `json:"down,omitempty"`
	// Hang leaves every call without an answer until its context ends. No call takes effect.
	Hang bool `json:"hang,omitempty"`
	// Latency is added to each call: half before it takes effect and half after.
	Latency time.Duration `json:"latency_ns,omitempty"`
	// DropAnswers is the number of next writes that take effect although their answer is lost.
	DropAnswers int `json:"drop_answers,omitempty"`
	// DropWrites is the number of next writes that are lost before they take effect. The caller cannot tell them from
	// writes with a lost answer.
	DropWrites int `json:"drop_writes,omitempty"`
}

// Rates limits the calls of one service. Zero means no limit.
type Rates struct {
	Writes float64 `json:"writes,omitempty"` // per second
	Reads  float64 `json:"reads,omitempty"`  // per second; each call of Watch is one
}

// Counts are the calls by kind since the start. Refused calls are counted in both fields.
type Counts struct {
	Calls   map[string]int64 `json:"calls"`
	Refused map[string]int64 `json:"refused"` // by rate limit or outage
}

// burstSeconds sizes the token bucket of a rate limit: a tenth of a second's calls may come at once.
const burstSeconds = 0.1

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// control applies faults, rates and counts to the calls of one service.
type control struct {
	clk clock.Clock

	mu      sync.Mutex
	faults  Faults
	writes  *rate.Limiter
	reads   *rate.Limiter
	counts  Counts
	changed chan struct{} // closed and replaced when the faults change
}

func newControl(clk clock.Clock, rates Rates) control {
	if clk == nil {
		clk = clock.Boot{}
	}
	return control{
		clk:     clk,
		writes:  newLimiter(rates.Writes),
		reads:   newLimiter(rates.Reads),
		counts:  Counts{Calls: map[string]int64{}, Refused: map[string]int64{}},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (c *control) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.changed)
	c.changed = make(chan struct{})
}

// Faults returns the injected faults that are left.
func (c *control) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// SetRates replaces the rate limits.
func (c *control) SetRates(r Rates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = newLimiter(r.Writes)
	c.reads = newLimiter(r.Reads)
}

// Counts returns a copy of the call counters.
func (c *control) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Counts{Calls: map[string]int64{}, Refused: map[string]int64{}}
	for kind, n := range c.counts.Calls {
		out.Calls[kind] = n
	}
	for kind, n := range c.counts.Refused {
		out.Refused[kind] = n
	}
	return out
}

// plan is what happens to one admitted call.
type plan struct {
	hang       bool
	latency    time.Duration
	dropWrite  bool
	dropAnswer bool
}

func (c *control) admit(kind string, write bool) (plan, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Calls[kind]++
	if c.faults.Down {
		c.counts.Refused[kind]++
		return plan{}, errDown
	}
	if c.faults.Hang {
		return plan{hang: true}, nil
	}
	limiter := c.reads
	if write {
		limiter = c.writes
	}
	if limiter != nil && !limiter.AllowN(time.Unix(0, int64(c.clk.Now())), 1) {
		c.counts.Refused[kind]++
		return plan{}, errLimited
	}
	p := plan{latency: c.faults.Latency}
	switch {
	case !write:
	case c.faults.DropWrites > 0:
		c.faults.DropWrites--
		p.dropWrite = true
	case c.faults.DropAnswers > 0:
		c.faults.DropAnswers--
		p.dropAnswer = true
	}
	return p, nil
}

// down reports whether waiting calls must end, and a channel that is closed when the faults change.
func (c *control) down() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Down, c.changed
}

// read runs the effect of a read under the injected faults.
func (c *control) read(ctx context.Context, kind string, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	p, err := c.admit(kind, false)
	if err != nil {
		return err
	}
	if p.hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := sleep(ctx, p.latency/2); err != nil {
		return err
	}
	err = effect()
	if waitErr := sleep(ctx, p.latency/2); waitErr != nil {
		return waitErr
	}
	return err
}

// write runs the effect of a write under the injected faults. A write whose caller gives up before it takes effect
// still takes effect, as a request does that is already on its way.
func (c *control) write(ctx context.Context, kind string, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	p, err := c.admit(kind, true)
	if err != nil {
		return err
	}
	if p.hang {
		<-ctx.Done()
		return unknown(ctx.Err())
	}
	if err := sleep(ctx, p.latency/2); err != nil {
		if !p.dropWrite {
			time.AfterFunc(p.latency/2, func() { _ = effect() })
		}
		return unknown(err)
	}
	if p.dropWrite {
		return errLost
	}
	err = effect()
	if waitErr := sleep(ctx, p.latency/2); waitErr != nil {
		return unknown(waitErr)
	}
	if p.dropAnswer {
		return errLost
	}
	return err
}

func unknown(err error) error {
	return errors.Mark(errors.Wrap(err, "no answer to the write"), platform.ErrUnknownOutcome)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
