package membership

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// periodJitter is the part of the period by which probes vary, so that probers do not fall into step.
const periodJitter = 0.1

// pauseMargin is how much later than its timeout a probe's failure may be noted by a process that was not paused.
const pauseMargin = time.Second

func (c *Core) period(m *member) time.Duration {
	period := c.params.HomePeriod
	if m.role == roleForeign {
		period = c.params.RemotePeriod
	}
	if m.suspect(c.self.Region) || m.unreached {
		return period // its return should be noticed soon
	}
	scale := math.Sqrt(float64(len(c.members)+1) / float64(c.params.ScaleFrom))
	return time.Duration(float64(period) * max(1, scale))
}

func (c *Core) spread(d time.Duration) time.Duration {
	return time.Duration(c.random.Float64() * float64(d))
}

// Tick returns the probes that are due.
func (c *Core) Tick(now clock.Instant) []Action {
	c.expireUnlisted(now)
	c.refresh(now)
	var actions []Action
	for _, m := range c.targets {
		if m.inFlight || now.Before(m.nextProbe) {
			continue
		}
		m.inFlight = true
		period := c.period(m)
		jitter := time.Duration(periodJitter * (2*c.random.Float64() - 1) * float64(period))
		m.nextProbe = now.Add(period + jitter)
		actions = append(actions, Probe{Target: m.ref(), SentAt: now})
	}
	return actions
}

// refresh assigns the roles again after a change.
func (c *Core) refresh(now clock.Instant) {
	if c.changed {
		c.changed = false
		c.assignRoles(now)
	}
}

// Answer is what a probed instance states of itself.
type Answer struct {
	Incarnation uint64
	Leaving     bool
}

// ProbeResult takes the outcome of a probe; answer is nil if it failed. It is also called for probes that an asked
// instance has made for another one.
func (c *Core) ProbeResult(now clock.Instant, probe Probe, answer *Answer) []Action {
	m := c.members[probe.Target.Instance]
	if m == nil {
		return nil
	}
	if answer != nil {
		return c.answered(now, m, *answer)
	}
	m.inFlight = false
	if m.ref() != probe.Target || m.role == roleNone {
		return nil
	}
	// A probe that took much longer than its timeout shows that this process was paused, not that the target failed.
	if now.Sub(probe.SentAt) > c.params.ProbeTimeout+pauseMargin {
		return nil
	}
	m.failures++
	if m.failures < c.params.FailuresBeforeIndirect {
		m.nextProbe = now // repeated at once: one lost probe must not cost a period
	}
	return c.afterFailure(now, m)
}

func (c *Core) answered(now clock.Instant, m *member, answer Answer) []Action {
	if answer.Incarnation != m.row.Incarnation {
		state := platform.StateLive
		if answer.Leaving {
			state = platform.StateLeaving
		}
		c.RecordContact(now, Row{Name: m.row.Name, Incarnation: answer.Incarnation, State: state})
		m = c.members[m.row.Name]
		if m.row.Incarnation != answer.Incarnation {
			m.inFlight = false
			return nil // a process that has ended or was replaced
		}
	}
	m.inFlight = false
	m.failures = 0
	m.ask = nil
	c.setUnreached(m, false)
	m.answered, m.answer = true, now
	m.contact, m.hasContact = now, true
	var reports []Report
	if answer.Leaving && !m.leaving {
		m.leaving = true
		c.touch()
		reports = append(reports, m.homeReport())
	}
	return c.publish(append(reports, c.refute(m)...))
}

// refute ends a suspicion after a direct answer and returns the reports about it.
func (c *Core) refute(m *member) []Report {
	if !m.suspect(c.self.Region) && !(c.inHomeScope(m) && odd(m.home)) {
		return nil
	}
	c.touch()
	if c.inHomeScope(m) {
		if odd(m.home) {
			m.home++
		}
		if odd(m.own) {
			m.own++
		}
		return []Report{m.homeReport(), c.ownReport(m)}
	}
	if odd(m.own) {
		m.own++
	}
	if odd(m.home) {
		m.overrule = m.home
	}
	return []Report{c.ownReport(m)}
}

// inHomeScope reports whether this instance's evidence counts for the target's home scope.
func (c *Core) inHomeScope(m *member) bool {
	return m.row.Region == c.self.Region || m.role == roleHome
}

// afterFailure asks other instances once enough probes have failed.
func (c *Core) afterFailure(now clock.Instant, m *member) []Action {
	if m.failures < c.params.FailuresBeforeIndirect || m.ask != nil || now.Before(m.nextAsk) || m.suspect(c.self.Region) {
		return nil
	}
	m.nextAsk = now.Add(c.params.IndirectRetryAfter)
	peers := c.helpers(m)
	if len(peers) == 0 {
		c.setUnreached(m, true)
		return nil
	}
	m.ask = &openAsk{waiting: map[string]bool{}}
	for _, name := range peers {
		m.ask.waiting[name] = true
	}
	return []Action{IndirectProbe{Target: m.ref(), Helpers: peers}}
}

// IndirectProbeResult takes the verdict of an asked instance. Once all have answered or failed to, a suspicion is confirmed if
// at least one has not reached the target and none has: for the home scope among all asked instances, for the own
// region's scope among those of the region.
func (c *Core) IndirectProbeResult(now clock.Instant, target Ref, from string, verdict Verdict) []Action {
	m := c.members[target.Instance]
	if m == nil || m.ref() != target || m.ask == nil || !m.ask.waiting[from] {
		return nil
	}
	delete(m.ask.waiting, from)
	m.ask.all.add(verdict)
	if helper := c.members[from]; helper != nil && helper.row.Region == c.self.Region {
		m.ask.ownRegion.add(verdict)
	}
	if len(m.ask.waiting) > 0 {
		return nil
	}
	ask := m.ask
	m.ask = nil
	c.setUnreached(m, true)
	if m.suspect(c.self.Region) {
		return nil
	}
	switch {
	case m.role == roleHome && ask.all.confirms():
		m.home++
		c.touch()
		return c.publish([]Report{m.homeReport()})
	case m.row.Region != c.self.Region && ask.ownRegion.confirms():
		m.own++
		c.touch()
		c.hurry(now, m.row.Region)
		return c.publish([]Report{c.ownReport(m)})
	}
	return nil
}

// hurry brings forward the probes of another region's instances after one of them was suspected: the way to all of them
// may have been cut. It does so at most once in IndirectRetryAfter, to bound the traffic.
func (c *Core) hurry(now clock.Instant, region string) {
	if last, done := c.hurried[region]; done && now.Sub(last) < c.params.IndirectRetryAfter {
		return
	}
	c.hurried[region] = now
	for _, m := range c.targets {
		if m.role != roleForeign || m.row.Region != region {
			continue
		}
		if next := now.Add(c.spread(c.params.HomePeriod)); next.Before(m.nextProbe) {
			m.nextProbe = next
		}
	}
}

// Knows reports whether this instance knows the target. If so, the adapter probes it now, passes the outcome to
// ProbeResult and replies with it. An earlier answer would not do: the target may have failed since.
func (c *Core) Knows(target Ref) bool {
	m := c.members[target.Instance]
	return m != nil && m.ref() == target
}
