// Package fleetquota limits organisations to their fleet-wide rate and burst. Instances receive from each other, summed up by
// group (a region), what the others have admitted. The package does no I/O and is not safe for concurrent use.
//
// Each instance keeps one token bucket per organisation for the whole fleet and takes from it what it admits itself and what the
// others report. Reports are some hundred milliseconds old, so a sudden excess gets through for that time; the rate's allowance
// covers this. If a group, or a single instance of one, becomes unresponsive, the others assume that it goes on using the
// fraction of the rate that it used before, and reserve this fraction until it is known to have ended. An instance that receives
// nothing from others keeps to its own fraction in the same way. So the two sides of a network partition together stay within
// the rate without communicating.
package fleetquota

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

const (
	// UnresponsiveAfter is the age of the last report after which its sender counts as unresponsive: some report intervals, plus
	// 80 ms between regions. Until then both sides of a network partition use the whole rate, which the rate's allowance of a
	// tenth must cover.
	UnresponsiveAfter = 400 * time.Millisecond
	// firstReportTimeout is the time after which an instance counts as unresponsive if no report has arrived from it: instances
	// report as soon as they learn of each other, and a message between regions takes 80 ms.
	firstReportTimeout = 200 * time.Millisecond
	// UsageWindow is the time constant of the average usage of a group. It is long compared with bursts of single requests and
	// short compared with the daily peaks that move between regions.
	UsageWindow = 4 * time.Second
	// evenFraction is the fraction of the rate that is divided evenly among instances whatever they used before, so that callers
	// who move to other instances during a partition find some of the rate there.
	evenFraction = 0.15
	// initialLevel is the fraction of the burst that a new instance starts with. Its predecessor may have spent the burst just
	// before.
	initialLevel = 0.15
	// unknownUsageFraction is the fraction of an even share that an instance takes if it does not know the usage before a
	// partition. It is low because the others divide the rate by that usage and not evenly.
	unknownUsageFraction = 0.4
	// partitionFraction is the fraction of its share that a side of a partition takes: the two sides know different values of
	// the usage before, because some reports were still on their way.
	partitionFraction = 0.85
	// usableBurst is the fraction of the burst that is handed out. When the fleet is partitioned, both sides spend the level
	// that they had, and the rest of the burst covers that.
	usableBurst = 0.75
)

// Limit is the rate and burst of an organisation. A rate of 0 means no limit.
type Limit struct {
	Rate  float64 // per second
	Burst float64
}

// Limiter holds the state of all limited organisations at one instance.
type Limiter struct {
	limits   map[string]Limit
	accounts map[string]*account
	groups   map[string]*group
	// unresponsive are instances from which nothing arrives although their groups report.
	unresponsive map[string]UnresponsiveInstance
	admitted     map[string]float64 // total admitted by this instance since its start, by organisation
	// refunds are refunded costs that have not been deducted from the totals yet: totals never decrease, so refunds reduce what
	// later requests add.
	refunds map[string]float64
}

type account struct {
	name    string // of the organisation
	level   float64
	updated clock.Instant
	usage   Average               // of this instance
	groups  map[string]groupUsage // by group
	// frozen is the usage of all instances at the time when the first one became unresponsive, nil while none is. Both sides of
	// a partition divide the rate by it, whatever their load is afterwards.
	frozen *frozenUsage
}

type groupUsage struct {
	incarnation uint64
	total       float64
	usage       Average
	// ownUsage is the usage of this instance at the time of the group's last report.
	ownUsage float64
}

type frozenUsage struct {
	own          float64
	groups       map[string]float64 // by group, without its unresponsive instances
	unresponsive map[string]float64 // by instance
}

// PeerGroup is a group of instances, usually a region, whose usage is reported in one sum.
type PeerGroup struct {
	Incarnation uint64 // of the sender of the reports, whose totals restart with it
	Instances   int    // number that may be admitting requests and are not unresponsive individually
}

// UnresponsiveInstance is an instance that may be admitting requests and from which nothing has arrived for a time.
type UnresponsiveInstance struct {
	Group      string
	Usage      map[string]float64 // per second before it became unresponsive, by organisation
	UsageKnown bool               // it was reported for long enough before for Usage to be representative
}

type group struct {
	incarnation uint64
	instances   int
	lastReport  clock.Instant
	firstReport clock.Instant // when its first report reached this instance; 0: none did
}

// Average is an exponentially decaying average of usage per second.
type Average struct {
	rate float64
	at   clock.Instant
}

// AverageOf returns an average with the given value at a moment.
func AverageOf(perSecond float64, at clock.Instant) Average { return Average{rate: perSecond, at: at} }

// Add adds a used amount.
func (a *Average) Add(now clock.Instant, amount float64) {
	a.rate = a.Value(now) + amount/UsageWindow.Seconds()
	a.at = now
}

// Value returns the usage per second.
func (a *Average) Value(now clock.Instant) float64 {
	if a.rate == 0 {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/UsageWindow.Seconds())
}

// New returns a limiter without organisations.
func New() *Limiter {
	return &Limiter{limits: map[string]Limit{}, accounts: map[string]*account{}, groups: map[string]*group{}, admitted: map[string]float64{}, refunds: map[string]float64{}}
}

// SetLimits replaces the limits of all organisations. A level above a new burst is lowered at once.
func (l *Limiter) SetLimits(now clock.Instant, limits map[string]Limit) {
	for name, a := range l.accounts {
		l.accrue(now, name, a)
		t, known := limits[name]
		if !known {
			delete(l.accounts, name)
			continue
		}
		a.level = math.Min(a.level, t.Burst*usableBurst)
	}
	l.limits = limits
}

// SetPeerGroups replaces the other instances that may be admitting requests, by group. A group that is left out is known to have
// ended.
func (l *Limiter) SetPeerGroups(now clock.Instant, groups map[string]PeerGroup) {
	l.accrueAll(now)
	for name, g := range l.groups {
		next, listed := groups[name]
		if !listed {
			delete(l.groups, name)
			for _, a := range l.accounts {
				delete(a.groups, name)
			}
			continue
		}
		g.instances = next.Instances
		if next.Incarnation != g.incarnation {
			// The usage so far is the best estimate for the new incarnation.
			g.incarnation, g.lastReport = next.Incarnation, now
		}
	}
	for name, next := range groups {
		if l.groups[name] == nil {
			l.groups[name] = &group{incarnation: next.Incarnation, instances: next.Instances, lastReport: now.Add(firstReportTimeout - UnresponsiveAfter)}
		}
	}
}

func (l *Limiter) accrueAll(now clock.Instant) {
	for name, a := range l.accounts {
		l.accrue(now, name, a)
	}
}

// SetUnresponsive replaces the instances that are unresponsive although their groups report, and reports whether the set has
// changed. The groups do not count these instances.
func (l *Limiter) SetUnresponsive(now clock.Instant, unresponsive map[string]UnresponsiveInstance) (changed bool) {
	same := len(unresponsive) == len(l.unresponsive)
	for name := range unresponsive {
		_, known := l.unresponsive[name]
		same = same && known
	}
	if same {
		return false
	}
	l.accrueAll(now)
	for _, a := range l.accounts {
		if a.frozen == nil {
			continue
		}
		// The fraction of the rate that is reserved for a group includes that of an instance which becomes unresponsive later.
		for name, s := range unresponsive {
			if _, known := a.frozen.unresponsive[name]; !known {
				a.frozen.addUnresponsive(name, s, a)
			}
		}
	}
	l.unresponsive = unresponsive
	return true
}

// RecordReport records a report of a group that was made at the given time: the totals that it has admitted for organisations
// since the start of the incarnation. The totals of organisations that are left out have not changed since the last report.
func (l *Limiter) RecordReport(now clock.Instant, name string, incarnation uint64, totals map[string]float64, reportedAt clock.Instant) {
	sender := l.groups[name]
	if sender == nil || sender.incarnation != incarnation {
		sender = &group{incarnation: incarnation, instances: 1}
		l.groups[name] = sender
	}
	for organisation, total := range totals {
		a := l.account(now, organisation)
		if a == nil {
			continue
		}
		l.accrue(now, organisation, a)
		previous := a.groups[name]
		if previous.incarnation != incarnation {
			// What the group used before its first report says nothing about its usage now.
			previous.incarnation, previous.total = incarnation, total
		}
		if delta := total - previous.total; delta > 0 {
			// What the group used while it was unresponsive has been accounted for by the reserved fraction.
			if now.Sub(sender.lastReport) <= UnresponsiveAfter {
				a.level -= delta
			}
			previous.usage.Add(now, delta)
		}
		previous.total = math.Max(total, previous.total)
		a.groups[name] = previous
	}
	if reportedAt > sender.lastReport {
		for _, a := range l.accounts {
			if before, known := a.groups[name]; known {
				before.ownUsage = a.usage.Value(now)
				a.groups[name] = before
			}
		}
		sender.lastReport = reportedAt
	}
	if sender.firstReport == 0 {
		sender.firstReport = reportedAt
	}
}

// ForEachAdmitted calls f with the total that this instance has admitted for each organisation since its start, less the refunds
// that have been deducted so far.
func (l *Limiter) ForEachAdmitted(f func(organisation string, total float64)) {
	for name, total := range l.admitted {
		f(name, total)
	}
}

// Admit takes the cost of a request from the organisation's rate. If the rate doesn't cover it, nothing is taken, and the
// request may be retried after the returned time.
func (l *Limiter) Admit(now clock.Instant, organisation string, cost float64) (admitted bool, retryAfter time.Duration) {
	t, limited := l.limits[organisation]
	if !limited || t.Rate <= 0 {
		return true, 0
	}
	a := l.account(now, organisation)
	l.accrue(now, organisation, a)
	// A request that costs more than the burst is admitted on a full bucket and leaves a negative level.
	need := math.Min(cost, t.Burst*usableBurst*l.usableFraction(now, a))
	if a.level < need {
		rate := math.Max(t.Rate*l.usableFraction(now, a), t.Rate*0.01)
		return false, saturate.Seconds((need - a.level) / rate)
	}
	a.level -= cost
	a.usage.Add(now, cost)
	settled := math.Min(cost, l.refunds[organisation])
	l.refunds[organisation] -= settled
	l.admitted[organisation] += cost - settled
	return true, 0
}

// Refund gives back the cost of a request that was admitted but not run.
func (l *Limiter) Refund(now clock.Instant, organisation string, cost float64) {
	a := l.account(now, organisation)
	if a == nil {
		return
	}
	l.accrue(now, organisation, a)
	l.refunds[organisation] += cost
	a.level = math.Min(a.level+cost, l.limits[organisation].Burst*usableBurst)
}

// Level returns the organisation's level and the fraction of its rate that accrues at this instance, for logs.
func (l *Limiter) Level(now clock.Instant, organisation string) (level, fraction float64) {
	a := l.account(now, organisation)
	if a == nil {
		return 0, 1
	}
	l.accrue(now, organisation, a)
	return a.level, l.usableFraction(now, a)
}

func (l *Limiter) account(now clock.Instant, organisation string) *account {
	t, limited := l.limits[organisation]
	if !limited || t.Rate <= 0 {
		return nil
	}
	a := l.accounts[organisation]
	if a == nil {
		a = &account{name: organisation, level: t.Burst * initialLevel, updated: now, groups: map[string]groupUsage{}}
		l.accounts[organisation] = a
	}
	return a
}

func (l *Limiter) accrue(now clock.Instant, organisation string, a *account) {
	t := l.limits[organisation]
	if now > a.updated {
		fraction := l.usableFraction(now, a)
		// The burst is divided like the rate, so that the two sides of a partition do not both spend all of it.
		a.level = math.Min(t.Burst*usableBurst*fraction, a.level+t.Rate*fraction*now.Sub(a.updated).Seconds())
	}
	a.updated = now
}

// usableFraction returns the fraction of the rate that the instances in contact may use: all of it, less what is reserved for
// unresponsive ones.
func (l *Limiter) usableFraction(now clock.Instant, a *account) float64 {
	instances, unresponsiveInstances := 1, len(l.unresponsive)
	usageKnown := true
	for _, g := range l.groups {
		instances += g.instances
		if g.unresponsive(now) {
			unresponsiveInstances += g.instances
			usageKnown = usageKnown && g.firstReport > 0 && g.lastReport.Sub(g.firstReport) >= UsageWindow/2
		}
	}
	for _, s := range l.unresponsive {
		instances++
		usageKnown = usageKnown && s.UsageKnown
	}
	if unresponsiveInstances == 0 {
		a.frozen = nil
		return 1
	}
	if a.frozen == nil {
		a.frozen = l.freeze(now, a)
	}
	even := float64(unresponsiveInstances) / float64(instances)
	total, reserved := a.frozen.own, 0.0
	for name, p := range l.groups {
		total += a.frozen.groups[name]
		if p.unresponsive(now) {
			reserved += a.frozen.groups[name]
		}
	}
	for name := range l.unresponsive {
		total += a.frozen.unresponsive[name]
		reserved += a.frozen.unresponsive[name]
	}
	if total <= 0 || !usageKnown {
		// The usage of an unresponsive instance is not known or was measured for a moment only, as right after a start: it may
		// be using more than an even share.
		return unknownUsageFraction * (1 - even)
	}
	return partitionFraction * (1 - (evenFraction*even + (1-evenFraction)*reserved/total))
}

func (p *group) unresponsive(now clock.Instant) bool {
	return p.instances > 0 && now.Sub(p.lastReport) > UnresponsiveAfter
}

// freeze returns the usage of all instances at the time when the first unresponsive one last reported, and takes from the level
// what the unresponsive ones are assumed to have used since.
func (l *Limiter) freeze(now clock.Instant, a *account) *frozenUsage {
	f := &frozenUsage{own: a.usage.Value(now), groups: make(map[string]float64, len(l.groups)), unresponsive: make(map[string]float64)}
	for name, g := range l.groups {
		u := a.groups[name]
		f.groups[name] = u.usage.Value(min(now, g.lastReport))
		if g.unresponsive(now) {
			f.own = u.ownUsage
			a.level -= f.groups[name] * now.Sub(g.lastReport).Seconds()
		}
	}
	for name, s := range l.unresponsive {
		f.addUnresponsive(name, s, a)
	}
	return f
}

// addUnresponsive moves the usage of an unresponsive instance out of that of its group.
func (f *frozenUsage) addUnresponsive(name string, s UnresponsiveInstance, a *account) {
	use := s.Usage[a.name]
	f.unresponsive[name] = use
	f.groups[s.Group] = math.Max(0, f.groups[s.Group]-use)
	a.level -= use * UnresponsiveAfter.Seconds()
}
