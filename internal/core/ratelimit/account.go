package ratelimit

import (
	"math"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// account is the state of one organisation at this holder.
type account struct {
	own           Share // entitlement of the usable slots
	lent          []loan
	borrowed      []loan
	lentSum       Share         // sum of lent
	borrowedSum   Share         // sum of borrowed
	level         float64       // available tokens; negative: debt
	updated       clock.Instant // level includes the accrual up to this time
	demand        float64       // tokens/s requested, moving average as of offered
	demandUpdated clock.Instant
	openCharges   int // unsettled charges
	// openTokens is the sum of the unsettled charges.
	openTokens float64
	// lateTokens is the number of tokens taken by requests that the level did not cover on their arrival. It decreases as the
	// bucket fills up: a full bucket would have discarded these tokens.
	lateTokens float64
	epoch      uint64 // incremented when shares that open charges were taken from can no longer be used
	limits     Limits
	// entitled holds the shares of all slots, local or not, under the configuration in force.
	entitled      []SlotShare
	previousApply bool // previous limits still reduce the entitlements
	// acceptedLoans holds the accepted loans until their term ends, since a duplicate response may arrive after the loan was
	// returned.
	acceptedLoans map[loanKey]clock.Instant
}

// share returns the rate and burst that may be used now. It is 0 if the own share was reduced below what is lent.
func (a *account) share() Share {
	s := a.own.plus(a.borrowedSum).minus(a.lentSum)
	return Share{math.Max(0, s.Rate), math.Max(0, s.Burst)}
}

// updateSums recomputes the sums of the lent and borrowed shares. It must be called after each change of the loans.
func (a *account) updateSums() {
	a.lentSum, a.borrowedSum = Share{}, Share{}
	for _, x := range a.lent {
		a.lentSum = a.lentSum.plus(x.Share)
	}
	for _, x := range a.borrowed {
		a.borrowedSum = a.borrowedSum.plus(x.Share)
	}
}

// clip discards the tokens that exceed the burst share.
func (a *account) clip() { a.level = math.Min(a.level, a.share().Burst) }

// accrue adds the tokens that the rate has brought between the last update and t.
func (a *account) accrue(t clock.Instant) {
	if t <= a.updated {
		return
	}
	s := a.share()
	a.level = math.Min(math.Max(s.Burst, a.level), a.level+s.Rate*t.Sub(a.updated).Seconds())
	a.updated = t
	a.clip()
	a.lateTokens = math.Max(0, math.Min(a.lateTokens, s.Burst-a.level))
}

// advance brings the account up to date: it accrues tokens and expires loans, in the order in which their terms end.
func (a *account) advance(now clock.Instant) {
	for {
		next := now
		for _, x := range a.lent {
			next = min(next, max(x.expires, a.updated))
		}
		for _, x := range a.borrowed {
			next = min(next, max(x.expires, a.updated))
		}
		a.accrue(next)
		a.expireLoans(next, now)
		if next >= now {
			break
		}
	}
	for key, until := range a.acceptedLoans {
		if until <= now {
			delete(a.acceptedLoans, key)
		}
	}
}

// expireLoans removes the loans whose term has ended at t. now is the current time: if the end of a borrowed loan is noticed too
// late, the charges that it may have paid for become invalid.
func (a *account) expireLoans(t, now clock.Instant) {
	lent, borrowed := a.lent[:0], a.borrowed[:0]
	for _, x := range a.lent {
		if x.expires > t {
			lent = append(lent, x)
		}
	}
	for _, x := range a.borrowed {
		if x.expires > t {
			borrowed = append(borrowed, x)
		} else if now.Sub(x.expires) > maxExpiryDelay {
			a.epoch++
		}
	}
	if len(lent) == len(a.lent) && len(borrowed) == len(a.borrowed) {
		return
	}
	a.lent, a.borrowed = lent, borrowed
	a.updateSums()
	a.clip()
}

// addDemand adds the tokens of a request to the demand.
func (a *account) addDemand(now clock.Instant, tokens float64) {
	a.demand = a.demandAt(now) + tokens/demandWindow.Seconds()
	a.demandUpdated = now
}

// demandAt returns the demand (tokens/s), decayed up to now.
func (a *account) demandAt(now clock.Instant) float64 {
	if a.demand == 0 {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandUpdated).Seconds()/demandWindow.Seconds())
}
