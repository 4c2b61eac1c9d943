package ratelimit

import (
	"math"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// account is the state of one organisation.
type account struct {
	own     Share // of the usable slots
	given   []loan
	taken   []loan
	givenS  Share // sums of given and taken
	takenS  Share
	level   float64 // tokens; negative: debt
	updated clock.Instant
	demand  float64 // tokens/s offered, moving average
	offered clock.Instant
	open    int // unsettled charges
	// openTokens is the sum of the unsettled charges.
	openTokens float64
	// late are the tokens of requests that the level did not cover when they came, until the bucket would have been full.
	late  float64
	epoch uint64 // changes when shares that charges were taken from are gone
	total Limits
	// entitled are the shares of all slots under the configuration in force.
	entitled []SlotShare
	limited  bool // previous terms limit the entitlements
	// seen holds the accepted loans until their term ends, since a duplicate may arrive after the loan was given back.
	seen map[loanKey]clock.Instant
}

// share returns the rate and burst that may be used now. Shares that were lowered below the loans given count as 0.
func (a *account) share() Share {
	s := a.own.plus(a.takenS).minus(a.givenS)
	return Share{math.Max(0, s.Rate), math.Max(0, s.Burst)}
}

// sum recomputes the sums of the loans.
func (a *account) sum() {
	a.givenS, a.takenS = Share{}, Share{}
	for _, x := range a.given {
		a.givenS = a.givenS.plus(x.Share)
	}
	for _, x := range a.taken {
		a.takenS = a.takenS.plus(x.Share)
	}
}

// clip drops the tokens above the burst share.
func (a *account) clip() { a.level = math.Min(a.level, a.share().Burst) }

// accrue adds the tokens of the time until t.
func (a *account) accrue(t clock.Instant) {
	if t <= a.updated {
		return
	}
	s := a.share()
	a.level = math.Min(math.Max(s.Burst, a.level), a.level+s.Rate*t.Sub(a.updated).Seconds())
	a.updated = t
	a.clip()
	a.late = math.Max(0, math.Min(a.late, s.Burst-a.level))
}

// advance accrues tokens and ends loans in the order of their terms.
func (a *account) advance(now clock.Instant) {
	for {
		next := now
		for _, x := range a.given {
			next = min(next, max(x.until, a.updated))
		}
		for _, x := range a.taken {
			next = min(next, max(x.until, a.updated))
		}
		a.accrue(next)
		a.expire(next, now)
		if next >= now {
			break
		}
	}
	for key, until := range a.seen {
		if until <= now {
			delete(a.seen, key)
		}
	}
}

// expire ends the loans whose term has ended at t. now tells how late that was noticed.
func (a *account) expire(t, now clock.Instant) {
	given, taken := a.given[:0], a.taken[:0]
	for _, x := range a.given {
		if x.until > t {
			given = append(given, x)
		}
	}
	for _, x := range a.taken {
		if x.until > t {
			taken = append(taken, x)
		} else if now.Sub(x.until) > lateExpiry {
			a.epoch++
		}
	}
	if len(given) == len(a.given) && len(taken) == len(a.taken) {
		return
	}
	a.given, a.taken = given, taken
	a.sum()
	a.clip()
}

// offer notes the tokens of a request in the demand.
func (a *account) offer(now clock.Instant, tokens float64) {
	a.demand = a.demandAt(now) + tokens/demandWindow.Seconds()
	a.offered = now
}

func (a *account) demandAt(now clock.Instant) float64 {
	if a.demand == 0 {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.offered).Seconds()/demandWindow.Seconds())
}
