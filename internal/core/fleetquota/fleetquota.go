// Package fleetquota holds organisations to their fleet-wide rate and burst where instances are told what the others have admitted,
// in sum for a group of them. It is pure and not safe for concurrent use.
//
// Each instance keeps one token bucket an organisation for the whole fleet and takes from it what it admits itself and what
// the others report. Reports are some hundred milliseconds old, so a sudden excess passes by that much, within the allowance
// that comes with the rate. A group, or an instance of one, that goes silent is taken to go on using the part of the rate that it
// used before, until it is known to have ended; an instance that hears nobody keeps to its own part in the same way. So both sides of
// a cut together stay within the rate without an exchange.
package fleetquota

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// UnresponsiveAfter is the age of a report after which its sender counts as silent: some intervals of reports, and 80 ms between regions.
	// Until then both sides of a cut use the whole rate, which the allowance of a tenth must cover.
	UnresponsiveAfter = 400 * time.Millisecond
	// firstReport is how long the first report of an instance may take until it counts as silent: instances report at once when
	// they learn of each other, and the way between regions takes 80 ms.
	firstReport = 200 * time.Millisecond
	// UsageWindow is the time over which a group's part of an organisation's use is averaged: long against bursts of
	// single requests, short against the daily peaks that move between regions.
	UsageWindow = 4 * time.Second
	// evenPart is the part of the rate that is divided evenly among instances whatever they used, so that callers who move
	// during a cut find something there.
	evenPart = 0.15
	// startLevel is the part of the burst that a new instance starts with. Its predecessor may just have spent the burst.
	startLevel = 0.15
	// unknownPart is the part of an even share that an instance takes which knows nothing of the use before a cut. It is low, since
	// the others divide the rate by that use and not evenly.
	unknownPart = 0.4
	// cutPart is the part of its share that a side of a cut takes: what the two sides know of the use before differs by the
	// reports that were under way.
	cutPart = 0.85
	// burstUse is the part of the burst that is handed out. When a fleet is cut, both sides spend the level that they had, and
	// the rest of the burst covers that.
	burstUse = 0.75
)

// Limit are an organisation's rate and burst. A rate of 0 means no limit.
type Limit struct {
	Rate  float64 // per second
	Burst float64
}

// Limiter is the state of all organisations at one instance.
type Limiter struct {
	terms map[string]Limit
	all   map[string]*account
	peers map[string]*peer
	// silent are instances that are not heard of while the rest of their group is.
	silent map[string]UnresponsiveInstance
	own    map[string]float64 // admitted here since the start
	// refunds are costs that were given back and are not yet set off against own, whose values never shrink.
	refunds map[string]float64
}

type account struct {
	name    string // of the organisation
	level   float64
	updated clock.Instant
	use     Average            // of this instance
	peers   map[string]peerUse // by group
	// frozen is the use of all instances when the first one went silent, nil while none is. Both sides of a cut divide the
	// rate by it, whatever is asked of them afterwards.
	frozen *frozenUse
}

type peerUse struct {
	incarnation uint64
	total       float64
	use         Average
	// ownUse is the use of this instance when the peer last reported.
	ownUse float64
}

type frozenUse struct {
	own    float64
	peers  map[string]float64 // by group, without its silent instances
	silent map[string]float64 // by instance
}

// PeerGroup is a group of instances that report together.
type PeerGroup struct {
	Incarnation uint64 // of the sender of its reports, whose totals start anew with it
	Instances   int    // that may be admitting requests and are not silent by themselves
}

// UnresponsiveInstance is an instance that may be admitting requests and is not heard of.
type UnresponsiveInstance struct {
	Group      string
	Usage      map[string]float64 // a second before its silence, by organisation
	UsageKnown bool               // it was heard long enough before for Uses to tell its part
}

type peer struct {
	incarnation uint64
	instances   int
	heard       clock.Instant
	since       clock.Instant // first report to this instance; 0: none
}

// Average is a moving average of a use per second.
type Average struct {
	rate float64
	at   clock.Instant
}

// AverageOf returns an average that has a value at a moment.
func AverageOf(perSecond float64, at clock.Instant) Average { return Average{rate: perSecond, at: at} }

// Add counts an amount used.
func (a *Average) Add(now clock.Instant, amount float64) {
	a.rate = a.Value(now) + amount/UsageWindow.Seconds()
	a.at = now
}

// Value is the use per second.
func (a *Average) Value(now clock.Instant) float64 {
	if a.rate == 0 {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/UsageWindow.Seconds())
}

// New returns a ledger without organisations.
func New() *Limiter {
	return &Limiter{terms: map[string]Limit{}, all: map[string]*account{}, peers: map[string]*peer{}, own: map[string]float64{}, refunds: map[string]float64{}}
}

// SetLimits replaces the terms of all organisations. Levels above a new burst are lowered at once.
func (l *Limiter) SetLimits(now clock.Instant, terms map[string]Limit) {
	for name, a := range l.all {
		l.accrue(now, name, a)
		t, known := terms[name]
		if !known {
			delete(l.all, name)
			continue
		}
		a.level = math.Min(a.level, t.Burst*burstUse)
	}
	l.terms = terms
}

// SetPeerGroups tells which other instances may be admitting requests, by group. One that is left out is known to have ended.
func (l *Limiter) SetPeerGroups(now clock.Instant, peers map[string]PeerGroup) {
	l.accrueAll(now)
	for name, p := range l.peers {
		next, listed := peers[name]
		if !listed {
			delete(l.peers, name)
			for _, a := range l.all {
				delete(a.peers, name)
			}
			continue
		}
		p.instances = next.Instances
		if next.Incarnation != p.incarnation {
			// Its use so far is the best guess of what the new incarnation will use.
			p.incarnation, p.heard = next.Incarnation, now
		}
	}
	for name, next := range peers {
		if l.peers[name] == nil {
			l.peers[name] = &peer{incarnation: next.Incarnation, instances: next.Instances, heard: now.Add(firstReport - UnresponsiveAfter)}
		}
	}
}

func (l *Limiter) accrueAll(now clock.Instant) {
	for name, a := range l.all {
		l.accrue(now, name, a)
	}
}

// SetUnresponsive tells which instances are silent while their groups are heard, and reports whether they are others than before. Their
// groups do not count them.
func (l *Limiter) SetUnresponsive(now clock.Instant, silent map[string]UnresponsiveInstance) (changed bool) {
	same := len(silent) == len(l.silent)
	for name := range silent {
		_, known := l.silent[name]
		same = same && known
	}
	if same {
		return false
	}
	l.accrueAll(now)
	for _, a := range l.all {
		if a.frozen == nil {
			continue
		}
		// The part of the rate that a group was taken to use includes that of an instance which goes silent later.
		for name, s := range silent {
			if _, known := a.frozen.silent[name]; !known {
				a.frozen.add(name, s, a)
			}
		}
	}
	l.silent = silent
	return true
}

// RecordReport records a report of a group that was made at a moment: what it has admitted of organisations since the start of its
// incarnation. Those that it leaves out have not changed since its last report.
func (l *Limiter) RecordReport(now clock.Instant, name string, incarnation uint64, used map[string]float64, at clock.Instant) {
	p := l.peers[name]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, instances: 1}
		l.peers[name] = p
	}
	for organisation, total := range used {
		a := l.account(now, organisation)
		if a == nil {
			continue
		}
		l.accrue(now, organisation, a)
		before := a.peers[name]
		if before.incarnation != incarnation {
			// What it used before it was heard first tells nothing of its use now.
			before.incarnation, before.total = incarnation, total
		}
		if delta := total - before.total; delta > 0 {
			// Use during a silence was accounted for by the reserved part already.
			if now.Sub(p.heard) <= UnresponsiveAfter {
				a.level -= delta
			}
			before.use.Add(now, delta)
		}
		before.total = math.Max(total, before.total)
		a.peers[name] = before
	}
	if at > p.heard {
		for _, a := range l.all {
			if before, known := a.peers[name]; known {
				before.ownUse = a.use.Value(now)
				a.peers[name] = before
			}
		}
		p.heard = at
	}
	if p.since == 0 {
		p.since = at
	}
}

// ForEachAdmitted calls f with what this instance has admitted of each organisation since its start.
func (l *Limiter) ForEachAdmitted(f func(organisation string, total float64)) {
	for name, total := range l.own {
		f(name, total)
	}
}

// Admit takes the cost of a request from the organisation's rate. If it is not covered, nothing is taken and the request may
// come back after the returned time.
func (l *Limiter) Admit(now clock.Instant, organisation string, cost float64) (admitted bool, retryAfter time.Duration) {
	t, limited := l.terms[organisation]
	if !limited || t.Rate <= 0 {
		return true, 0
	}
	a := l.account(now, organisation)
	l.accrue(now, organisation, a)
	// A request above the burst passes on a full bucket and leaves a debt.
	need := math.Min(cost, t.Burst*burstUse*l.part(now, a))
	if a.level < need {
		rate := math.Max(t.Rate*l.part(now, a), t.Rate*0.01)
		return false, time.Duration((need - a.level) / rate * float64(time.Second))
	}
	a.level -= cost
	a.use.Add(now, cost)
	settled := math.Min(cost, l.refunds[organisation])
	l.refunds[organisation] -= settled
	l.own[organisation] += cost - settled
	return true, 0
}

// Refund gives back the cost of a request that was not run.
func (l *Limiter) Refund(now clock.Instant, organisation string, cost float64) {
	a := l.account(now, organisation)
	if a == nil {
		return
	}
	l.accrue(now, organisation, a)
	l.refunds[organisation] += cost
	a.level = math.Min(a.level+cost, l.terms[organisation].Burst*burstUse)
}

// Level returns the organisation's level and the part of its rate that accrues here, for logs.
func (l *Limiter) Level(now clock.Instant, organisation string) (level, part float64) {
	a := l.account(now, organisation)
	if a == nil {
		return 0, 1
	}
	l.accrue(now, organisation, a)
	return a.level, l.part(now, a)
}

func (l *Limiter) account(now clock.Instant, organisation string) *account {
	t, limited := l.terms[organisation]
	if !limited || t.Rate <= 0 {
		return nil
	}
	a := l.all[organisation]
	if a == nil {
		a = &account{name: organisation, level: t.Burst * startLevel, updated: now, peers: map[string]peerUse{}}
		l.all[organisation] = a
	}
	return a
}

func (l *Limiter) accrue(now clock.Instant, organisation string, a *account) {
	t := l.terms[organisation]
	if now > a.updated {
		part := l.part(now, a)
		// The burst is divided like the rate, so that both sides of a cut do not spend it whole.
		a.level = math.Min(t.Burst*burstUse*part, a.level+t.Rate*part*now.Sub(a.updated).Seconds())
	}
	a.updated = now
}

// part is the part of the rate that the instances in contact may use: all of it, less what silent ones are taken to use.
func (l *Limiter) part(now clock.Instant, a *account) float64 {
	instances, silentInstances := 1, len(l.silent)
	known := true
	for _, p := range l.peers {
		instances += p.instances
		if p.silent(now) {
			silentInstances += p.instances
			known = known && p.since > 0 && p.heard.Sub(p.since) >= UsageWindow/2
		}
	}
	for _, s := range l.silent {
		instances++
		known = known && s.UsageKnown
	}
	if silentInstances == 0 {
		a.frozen = nil
		return 1
	}
	if a.frozen == nil {
		a.frozen = l.freeze(now, a)
	}
	even := float64(silentInstances) / float64(instances)
	total, reserved := a.frozen.own, 0.0
	for name, p := range l.peers {
		total += a.frozen.peers[name]
		if p.silent(now) {
			reserved += a.frozen.peers[name]
		}
	}
	for name := range l.silent {
		total += a.frozen.silent[name]
		reserved += a.frozen.silent[name]
	}
	if total <= 0 || !known {
		// The use of a silent one is not known or was measured for a moment only, as right after a start: it may be using more
		// than an even part.
		return unknownPart * (1 - even)
	}
	return cutPart * (1 - (evenPart*even + (1-evenPart)*reserved/total))
}

func (p *peer) silent(now clock.Instant) bool {
	return p.instances > 0 && now.Sub(p.heard) > UnresponsiveAfter
}

// freeze notes the use of all instances as it was when the first silent one was last heard, and takes from the level what the
// silent ones are taken to have used since.
func (l *Limiter) freeze(now clock.Instant, a *account) *frozenUse {
	f := &frozenUse{own: a.use.Value(now), peers: make(map[string]float64, len(l.peers)), silent: make(map[string]float64)}
	for name, p := range l.peers {
		u := a.peers[name]
		f.peers[name] = u.use.Value(min(now, p.heard))
		if p.silent(now) {
			f.own = u.ownUse
			a.level -= f.peers[name] * now.Sub(p.heard).Seconds()
		}
	}
	for name, s := range l.silent {
		f.add(name, s, a)
	}
	return f
}

// add moves the use of a silent instance out of that of its group.
func (f *frozenUse) add(name string, s UnresponsiveInstance, a *account) {
	use := s.Usage[a.name]
	f.silent[name] = use
	f.peers[s.Group] = math.Max(0, f.peers[s.Group]-use)
	a.level -= use * UnresponsiveAfter.Seconds()
}
