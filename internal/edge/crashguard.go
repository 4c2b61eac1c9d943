package edge

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/crashguard"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
)

// maxStandingLines bounds the lines about prompt parts that are logged at once.
const maxStandingLines = 32

// partGuard holds the crashes of endpoints and the prompt parts that are suspected of them. It is safe for concurrent use.
type partGuard struct {
	fleet *fleet
	self  string
	// crashes is the number of crashes that are known: while it is 0, no request needs a check.
	crashes atomic.Int64

	mu            sync.Mutex
	register      *crashguard.Register
	trials        map[uint64]clock.Instant       // when this instance last sent a request that tries a part
	logged        map[uint64]crashguard.Standing // as last logged
	loggedVersion uint64
}

func newPartGuard(f *fleet, self string) *partGuard {
	return &partGuard{fleet: f, self: self, register: crashguard.NewRegister(), trials: make(map[uint64]clock.Instant),
		logged: make(map[uint64]crashguard.Standing)}
}

// check decides on a request with the given parts. It changes nothing.
func (g *partGuard) check(now clock.Instant, parts []uint64) crashguard.Verdict {
	if g.crashes.Load() == 0 || len(parts) == 0 {
		return crashguard.Verdict{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkLocked(now, parts)
}

// admit decides like check on a request that is sent now if it may be.
func (g *partGuard) admit(now clock.Instant, parts []uint64) crashguard.Verdict {
	if g.crashes.Load() == 0 || len(parts) == 0 {
		return crashguard.Verdict{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.checkLocked(now, parts)
	for _, part := range v.Tried {
		g.trials[part] = now
	}
	return v
}

func (g *partGuard) checkLocked(now clock.Instant, parts []uint64) crashguard.Verdict {
	return g.register.Check(now, parts, func(part uint64, turn int64) bool {
		if last, tried := g.trials[part]; tried && now.Sub(last) < crashguard.Turn {
			return false
		}
		names := g.fleet.memberNames()
		if len(names) == 0 {
			return false
		}
		ranked := rendezvous.Top(formatPart(part), names, len(names))
		return ranked[turn%int64(len(ranked))] == g.self
	})
}

// recordCrash records attempts that broke when their endpoint crashed.
func (g *partGuard) recordCrash(now clock.Instant, endpoint catalog.Incarnation, attempts []brokenAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range attempts {
		g.register.Record(now, endpoint, b.brokeAt, b.brokeAt.Sub(b.sentAt), b.parts)
	}
	g.crashes.Store(int64(g.register.Len()))
}

// recordLife records that a request with a prompt has shown that an endpoint can run it. The parts are those that other requests may share.
func (g *partGuard) recordLife(now clock.Instant, parts []uint64) {
	if len(parts) == 0 && g.crashes.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.register.RecordLife(now, parts)
}

// merge adds what other instances know.
func (g *partGuard) merge(now clock.Instant, crashes []crashguard.Crash) {
	if len(crashes) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range crashes {
		g.register.Merge(now, c)
	}
	g.crashes.Store(int64(g.register.Len()))
}

// changes returns the crashes that have changed since a version, and the version that they lead to.
func (g *partGuard) changes(since uint64) ([]crashguard.Crash, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Crashes(since), g.register.Version()
}

// has reports whether a crash is known.
func (g *partGuard) has(endpoint catalog.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Has(endpoint)
}

// suspected reports whether a part of a crash is suspected of another one, too.
func (g *partGuard) suspected(c crashguard.Crash) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Suspected(c)
}

// prune drops what has expired, logs parts whose standing has changed, and returns the number of blocked parts.
func (g *partGuard) prune(now clock.Instant, log *zap.Logger) (blocked int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.register.Len() == 0 && len(g.logged) == 0 {
		return 0
	}
	g.register.Prune(now)
	g.crashes.Store(int64(g.register.Len()))
	for part, at := range g.trials {
		if now.Sub(at) >= crashguard.Turn {
			delete(g.trials, part)
		}
	}
	if version := g.register.Version(); version != g.loggedVersion || g.register.Len() == 0 {
		g.loggedVersion = version
		g.logStandings(now, log)
	}
	for _, s := range g.logged {
		if s.Blocked {
			blocked++
		}
	}
	return blocked
}

// logStandings logs the parts that are suspected of two crashes or more, blocked, or neither any more.
func (g *partGuard) logStandings(now clock.Instant, log *zap.Logger) {
	const suspected = 2
	standings, lines := g.register.Standings(), 0
	for part := range g.logged {
		if s, known := standings[part]; !known || s.Crashes < suspected {
			standings[part] = crashguard.Standing{Part: part}
		}
	}
	for part, s := range standings {
		before := g.logged[part]
		if s == before || s.Crashes < suspected && before.Crashes == 0 {
			continue
		}
		if lines++; lines > maxStandingLines {
			break
		}
		fields := []zap.Field{zap.String("part", formatPart(part)), zap.Int("crashes", s.Crashes), zap.Int("crashes_before", before.Crashes)}
		switch {
		case s.Blocked:
			log.Info("prompt part is blocked", append(fields, zap.Duration("for", s.Until.Sub(now)))...)
		case s.Crashes > 0:
			log.Info("prompt part is suspected of crashes", append(fields, zap.Bool("blocked_before", before.Blocked))...)
		default:
			log.Info("prompt part is not suspected any more", append(fields, zap.Bool("blocked_before", before.Blocked))...)
		}
		if g.logged[part] = s; s.Crashes == 0 {
			delete(g.logged, part)
		}
	}
}

// formatPart returns the key of a part as it is logged.
func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// endpointCrashed records the attempts that broke when an endpoint crashed.
func (e *Edge) endpointCrashed(endpoint catalog.Incarnation, attempts []brokenAttempt) {
	e.guard.recordCrash(e.clock.Now(), endpoint, attempts)
}

// pruneCrashes drops crashes that have expired and updates the gauge of blocked parts.
func (e *Edge) pruneCrashes() {
	now := e.clock.Now()
	e.metrics.blockedParts(e.guard.prune(now, e.log))
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	e.view.node.PruneCrashes(now)
}

// blockedFailure describes an attempt that was not sent because of a blocked prompt part.
func blockedFailure(v crashguard.Verdict) *failure {
	return &failure{kind: blocked, reason: "a part of the prompt has crashed endpoints", retryAfter: max(v.RetryAfter, time.Second), part: v.Part}
}
