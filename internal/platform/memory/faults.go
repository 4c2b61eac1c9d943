// Package memory implements the platform's services in memory, with injected faults, for tests and for the servers of package
// standin.
//
// Leases, rate limits and the lag of the instance list follow the clock that is passed in. Injected latency uses real time,
// because the callers' time-outs do too.
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

// ErrRateLimited reports a call above the service's rate limit. Returned errors are also marked platform.ErrUnavailable.
var ErrRateLimited = errors.New("rate limit of the platform service is exceeded")

var (
	// ErrRateLimited itself has no mark: errors.Is treats any two errors with the same mark as equal, so it would match every
	// unavailable service.
	errRateLimited = errors.Mark(ErrRateLimited, platform.ErrUnavailable)
	errDown        = errors.Mark(errors.New("platform service is down"), platform.ErrUnavailable)
	errRestarted   = errors.Mark(errors.New("platform service has restarted"), platform.ErrUnavailable)
	errAnswerLost  = errors.Mark(errors.New("answer of the write was lost"), platform.ErrUnknownOutcome)
)

// Faults are the faults injected into one service.
type Faults struct {
	// Down rejects every call and ends waiting watches. No call takes effect.
	Down bool `json:"down,omitempty"`
	// Hang leaves every call without a response until its context ends. No call takes effect.
	Hang bool `json:"hang,omitempty"`
	// Latency is added to each call: half of it before the call takes effect and half after.
	Latency time.Duration `json:"latency_ns,omitempty"`
	// DropAnswers is the number of next writes that take effect but whose response is lost.
	DropAnswers int `json:"drop_answers,omitempty"`
	// DropWrites is the number of next writes that are lost before they take effect. The caller cannot distinguish them from
	// writes whose response is lost.
	DropWrites int `json:"drop_writes,omitempty"`
}

// Rates limits the calls of one service. Zero means no limit.
type Rates struct {
	Writes float64 `json:"writes,omitempty"` // per second
	Reads  float64 `json:"reads,omitempty"`  // per second; each call of Watch is one
}

// Counts are the numbers of calls by kind since the start. Rejected calls are counted in both fields.
type Counts struct {
	Calls   map[string]int64 `json:"calls"`
	Refused map[string]int64 `json:"refused"` // by rate limit or outage
}

// burstSeconds sizes the token bucket of a rate limit: the calls of a tenth of a second may come at once.
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

	mu            sync.Mutex
	faults        Faults
	writes        *rate.Limiter
	reads         *rate.Limiter
	counts        Counts
	faultsChanged chan struct{} // closed and replaced when the faults change
}

func newControl(clk clock.Clock, rates Rates) control {
	if clk == nil {
		clk = clock.Boot{}
	}
	return control{
		clk:           clk,
		writes:        newLimiter(rates.Writes),
		reads:         newLimiter(rates.Reads),
		counts:        Counts{Calls: map[string]int64{}, Refused: map[string]int64{}},
		faultsChanged: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (c *control) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// Faults returns the injected faults, with the remaining numbers of dropped writes and responses.
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

// callPlan holds the faults that apply to one admitted call.
type callPlan struct {
	hang       bool
	latency    time.Duration
	dropWrite  bool
	dropAnswer bool
}

func (c *control) admit(kind string, write bool) (callPlan, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Calls[kind]++
	if c.faults.Down {
		c.counts.Refused[kind]++
		return callPlan{}, errDown
	}
	if c.faults.Hang {
		return callPlan{hang: true}, nil
	}
	limiter := c.reads
	if write {
		limiter = c.writes
	}
	if limiter != nil && !limiter.AllowN(time.Unix(0, int64(c.clk.Now())), 1) {
		c.counts.Refused[kind]++
		return callPlan{}, errRateLimited
	}
	p := callPlan{latency: c.faults.Latency}
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

// down reports whether the service is down, so that waiting calls must end. It also returns a channel that is closed when the
// faults change.
func (c *control) down() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Down, c.faultsChanged
}

// read runs effect, which performs a read, under the injected faults.
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

// write runs effect, which performs a write, under the injected faults. If the caller's context ends during the latency before the
// write, it still takes effect later, like a request that was already sent.
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
		return unknownOutcome(ctx.Err())
	}
	if err := sleep(ctx, p.latency/2); err != nil {
		if !p.dropWrite {
			time.AfterFunc(p.latency/2, func() { _ = effect() })
		}
		return unknownOutcome(err)
	}
	if p.dropWrite {
		return errAnswerLost
	}
	err = effect()
	if waitErr := sleep(ctx, p.latency/2); waitErr != nil {
		return unknownOutcome(waitErr)
	}
	if p.dropAnswer {
		return errAnswerLost
	}
	return err
}

func unknownOutcome(err error) error {
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
