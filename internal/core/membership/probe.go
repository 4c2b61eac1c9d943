package membership

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// periodJitter is the largest fraction by which the period of probes varies at random, so that probers do not
// synchronise.
const periodJitter = 0.1

// pauseMargin is how long after the timeout a failed probe may be reported by a process that was not paused.
const pauseMargin = time.Second

// period returns the time between probes of a member by this instance.
func (c *Core) period(m *member) time.Duration {
	period := c.params.HomePeriod
	if m.role == roleRemote {
		period = c.params.RemotePeriod
	}
	if m.suspect(c.self.Region) || m.unreachable {
		return period // not scaled, so that its recovery is detected early
	}
	scale := math.Sqrt(float64(len(c.members)+1) / float64(c.params.ScaleFrom))
	return time.Duration(float64(period) * max(1, scale))
}

// randomUpTo returns a random duration between 0 and d.
func (c *Core) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Float64() * float64(d))
}

// Tick removes expired members and returns the probes that are due.
func (c *Core) Tick(now clock.Instant) []Action {
	c.expireUnlisted(now)
	c.refreshRoles(now)
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

// refreshRoles assigns the roles again if the view has changed.
func (c *Core) refreshRoles(now clock.Instant) {
	if c.rolesOutdated {
		c.rolesOutdated = false
		c.assignRoles(now)
	}
}

// Answer is what a probed instance reports about itself.
type Answer struct {
	Incarnation uint64
	Leaving     bool
}

// ProbeResult handles the outcome of a probe; answer is nil if it failed. It is also called for probes that this
// instance has made on behalf of another one.
func (c *Core) ProbeResult(now clock.Instant, probe Probe, answer *Answer) []Action {
	m := c.members[probe.Target.Instance]
	if m == nil {
		return nil
	}
	if answer != nil {
		return c.probeAnswered(now, m, *answer)
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
		m.nextProbe = now // repeated at once, so that one lost probe does not delay detection by a period
	}
	return c.afterFailure(now, m)
}

// probeAnswered handles an answer to a probe. It refutes a suspicion, and shows whether the process is the known one.
func (c *Core) probeAnswered(now clock.Instant, m *member, answer Answer) []Action {
	if answer.Incarnation != m.row.Incarnation {
		state := platform.StateLive
		if answer.Leaving {
			state = platform.StateLeaving
		}
		c.RecordContact(now, Row{Name: m.row.Name, Incarnation: answer.Incarnation, State: state})
		m = c.members[m.row.Name]
		if m.row.Incarnation != answer.Incarnation {
			m.inFlight = false
			return nil // the answer comes from a process that has ended or was replaced
		}
	}
	m.inFlight = false
	m.failures = 0
	m.pending = nil
	c.setUnreachable(m, false)
	m.lastContact, m.hasContact = now, true
	var reports []Report
	if answer.Leaving && !m.leaving {
		m.leaving = true
		c.markChanged()
		reports = append(reports, m.homeReport())
	}
	return c.publish(append(reports, c.refute(m)...))
}

// refute ends the suspicion of a member after a direct answer and returns the reports about it.
func (c *Core) refute(m *member) []Report {
	if !m.suspect(c.self.Region) && !(c.inHomeScope(m) && odd(m.homeCounter)) {
		return nil
	}
	c.markChanged()
	if c.inHomeScope(m) {
		if odd(m.homeCounter) {
			m.homeCounter++
		}
		if odd(m.regionCounter) {
			m.regionCounter++
		}
		return []Report{m.homeReport(), c.regionReport(m)}
	}
	if odd(m.regionCounter) {
		m.regionCounter++
	}
	if odd(m.homeCounter) {
		m.overruledHome = m.homeCounter
	}
	return []Report{c.regionReport(m)}
}

// inHomeScope reports whether the outcome of this instance's probes counts for the home scope of the target.
func (c *Core) inHomeScope(m *member) bool {
	return m.row.Region == c.self.Region || m.role == roleHome
}

// afterFailure starts an indirect probe once enough probes have failed in succession.
func (c *Core) afterFailure(now clock.Instant, m *member) []Action {
	if m.failures < c.params.FailuresBeforeIndirect || m.pending != nil || now.Before(m.nextIndirect) || m.suspect(c.self.Region) {
		return nil
	}
	m.nextIndirect = now.Add(c.params.IndirectRetryAfter)
	peers := c.helpers(m)
	if len(peers) == 0 {
		c.setUnreachable(m, true)
		return nil
	}
	m.pending = &pendingIndirect{waiting: map[string]bool{}}
	for _, name := range peers {
		m.pending.waiting[name] = true
	}
	return []Action{IndirectProbe{Target: m.ref(), Helpers: peers}}
}

// IndirectProbeResult handles the verdict of an asked instance. When all verdicts have arrived, a missing answer being
// Unknown, a suspicion is confirmed if at least one instance has not reached the target and none has. The home scope
// counts the verdicts of all asked instances; the scope of this region counts those of the region's instances.
func (c *Core) IndirectProbeResult(now clock.Instant, target Ref, from string, verdict Verdict) []Action {
	m := c.members[target.Instance]
	if m == nil || m.ref() != target || m.pending == nil || !m.pending.waiting[from] {
		return nil
	}
	delete(m.pending.waiting, from)
	m.pending.all.add(verdict)
	if helper := c.members[from]; helper != nil && helper.row.Region == c.self.Region {
		m.pending.region.add(verdict)
	}
	if len(m.pending.waiting) > 0 {
		return nil
	}
	pending := m.pending
	m.pending = nil
	c.setUnreachable(m, true)
	if m.suspect(c.self.Region) {
		return nil
	}
	switch {
	case m.role == roleHome && pending.all.confirms():
		m.homeCounter++
		c.markChanged()
		return c.publish([]Report{m.homeReport()})
	case m.row.Region != c.self.Region && pending.region.confirms():
		m.regionCounter++
		c.markChanged()
		c.expediteProbes(now, m.row.Region)
		return c.publish([]Report{c.regionReport(m)})
	}
	return nil
}

// expediteProbes brings forward the probes of a remote region's instances after one of them became suspect, since the
// connection to all of them may be cut. It does so at most once in IndirectRetryAfter per region, to limit the traffic.
func (c *Core) expediteProbes(now clock.Instant, region string) {
	if last, done := c.lastExpedited[region]; done && now.Sub(last) < c.params.IndirectRetryAfter {
		return
	}
	c.lastExpedited[region] = now
	for _, m := range c.targets {
		if m.role != roleRemote || m.row.Region != region {
			continue
		}
		if next := now.Add(c.randomUpTo(c.params.HomePeriod)); next.Before(m.nextProbe) {
			m.nextProbe = next
		}
	}
}

// Knows reports whether this instance knows the target of another instance's indirect probe. If so, the caller probes
// the target now, passes the outcome to ProbeResult and replies with it. An earlier answer is not sufficient: the
// target may have failed since.
func (c *Core) Knows(target Ref) bool {
	m := c.members[target.Instance]
	return m != nil && m.ref() == target
}
