package edge

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// crashCheckDelay is the time between the end of a connection and the check whether its endpoint has crashed: the kernel closes
	// the sockets of a process that ends one after the other.
	crashCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout bounds the connection that is opened for a check. A sound endpoint of the region accepts it within
	// milliseconds.
	crashCheckTimeout = 500 * time.Millisecond
	// crashReuse is how long the result that an endpoint has crashed is used for other attempts that broke there.
	crashReuse = time.Second
	// maxCheckedEndpoints bounds the checks at the same time, and maxBrokenPerCheck the attempts that wait for the result of one: each
	// waiting attempt was in progress at one endpoint.
	maxCheckedEndpoints = 256
	maxBrokenPerCheck   = 256
)

// brokenAttempt is an attempt that ended before the request showed that the endpoint can run it.
type brokenAttempt struct {
	request string
	parts   []uint64 // that other requests may share
	sentAt  clock.Instant
	brokeAt clock.Instant
	givenUp bool // its caller had left, or the answer was not needed any more
	reason  string
}

// crashChecks tells endpoints that have crashed from connections that were reset, answers that were lost and overload: after an attempt
// has broken, it opens a connection to the endpoint. It is safe for concurrent use.
type crashChecks struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	clock   clock.Clock
	log     *zap.Logger
	metrics *metrics
	// onCrash is called with the attempts that broke when an endpoint crashed. It must not block.
	onCrash func(endpoint catalog.Incarnation, attempts []brokenAttempt)

	mu        sync.Mutex
	endpoints map[catalog.Incarnation]*crashCheck
}

// crashCheck is the check of one incarnation of an endpoint.
type crashCheck struct {
	running bool
	pending []brokenAttempt
	downAt  clock.Instant // when it was last found to be down, 0: never
}

func newCrashChecks(o *Options, m *metrics) *crashChecks {
	return &crashChecks{dial: o.Dial, clock: o.Clock, log: o.Log, metrics: m, endpoints: make(map[catalog.Incarnation]*crashCheck)}
}

// examine checks whether the endpoint of a broken attempt has crashed, on a goroutine that spawn starts unless the endpoint is being
// checked already or was found to be down a moment ago.
func (c *crashChecks) examine(spawn func(func(ctx context.Context)), endpoint catalog.Incarnation, addr string, b brokenAttempt) {
	now := c.clock.Now()
	c.mu.Lock()
	maps.DeleteFunc(c.endpoints, func(_ catalog.Incarnation, e *crashCheck) bool { return !e.running && now.Sub(e.downAt) > crashReuse })
	check := c.endpoints[endpoint]
	if check != nil && !check.running {
		c.mu.Unlock()
		c.report(endpoint, []brokenAttempt{b}, true)
		return
	}
	if check == nil {
		if len(c.endpoints) >= maxCheckedEndpoints {
			c.mu.Unlock()
			return
		}
		check = &crashCheck{}
		c.endpoints[endpoint] = check
	}
	if len(check.pending) < maxBrokenPerCheck {
		check.pending = append(check.pending, b)
	}
	start := !check.running
	check.running = true
	c.mu.Unlock()
	if start {
		spawn(func(ctx context.Context) { c.run(ctx, endpoint, addr, check) })
	}
}

// run checks an endpoint until no attempt is left that broke after the check before.
func (c *crashChecks) run(ctx context.Context, endpoint catalog.Incarnation, addr string, check *crashCheck) {
	for {
		sleepErr := clock.Sleep(ctx, crashCheckDelay)
		attempts := c.takePending(check)
		down := sleepErr == nil && !c.accepts(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if down {
			attempts = append(attempts, c.takePending(check)...)
		}
		c.report(endpoint, attempts, down)
		c.mu.Lock()
		if check.running = len(check.pending) > 0; !check.running {
			if check.downAt = c.clock.Now(); !down {
				delete(c.endpoints, endpoint)
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

func (c *crashChecks) takePending(check *crashCheck) []brokenAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := check.pending
	check.pending = nil
	return out
}

// accepts reports whether the endpoint accepts a connection.
func (c *crashChecks) accepts(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent on it
	return true
}

func (c *crashChecks) report(endpoint catalog.Incarnation, attempts []brokenAttempt, crashed bool) {
	for _, b := range attempts {
		if b.givenUp && !crashed {
			continue
		}
		c.log.Info("attempt broke without sign of life", zap.String("request", b.request), zap.String("endpoint", endpoint.ID),
			zap.Int64("born", endpoint.StartedAtMillis), zap.Bool("endpoint_crashed", crashed), zap.Duration("after", b.brokeAt.Sub(b.sentAt)),
			zap.Int("shared_parts", len(b.parts)), zap.String("reason", b.reason))
		c.metrics.brokenAttempt(crashed)
	}
	if crashed && c.onCrash != nil && len(attempts) > 0 {
		c.onCrash(endpoint, attempts)
	}
}

// examineBroken checks whether the endpoint of an attempt has crashed, after its connection has ended or the attempt was given up.
func (e *Edge) examineBroken(a *attempt, endpoint catalog.Incarnation, addr string, sentAt clock.Instant, givenUp bool, reason string) {
	if e.ctx.Err() != nil {
		return
	}
	e.crashes.examine(e.spawn, endpoint, addr, brokenAttempt{request: a.id, parts: a.sharedParts, sentAt: sentAt, brokeAt: e.clock.Now(), givenUp: givenUp, reason: reason})
}

// lifeDetector finds the sign of life in an answer: its second event, or its end. An endpoint that crashes on a request may have sent the
// head of the answer or a first event before.
type lifeDetector struct {
	events     int
	endsInLine bool // the bytes read last end with a line feed
	alive      bool
}

// lifeEvents is the number of events that show life.
const lifeEvents = 2

// read takes bytes of the answer, and reports whether they have brought the sign of life.
func (d *lifeDetector) read(part []byte) bool {
	if d.alive {
		return false
	}
	for _, b := range part {
		if b == '\n' && d.endsInLine {
			d.events++
			d.endsInLine = false
			continue
		}
		d.endsInLine = b == '\n' || b == '\r' && d.endsInLine
	}
	d.alive = d.events >= lifeEvents
	return d.alive
}
