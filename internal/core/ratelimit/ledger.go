package ratelimit

import (
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// DefaultTerm is the time for which a loan is granted.
	DefaultTerm = 10 * time.Second
	// DefaultMargin is the time for which a lender keeps a loan after its term, so that clock drift can't make the lender use the
	// share before the borrower has stopped. Crystal clocks drift by up to 200 ppm, which is 2 ms in a term.
	DefaultMargin = 20 * time.Millisecond
	// DefaultLoanRequestsPerSecond limits rebalancing to about 12 KB/s in and out of the 21 KB/s that a daemon may use: a request
	// with its response is 149 bytes, and a holder receives about as many requests as it sends.
	DefaultLoanRequestsPerSecond = 40
	// demandWindow is the time constant of the moving average of the requested tokens.
	demandWindow = 30 * time.Second
	// maxExpiryDelay is the longest time after the end of a loan at which the ledger may notice it without invalidating the charges
	// that the loan may have paid for. The caller advances every active account each second, so only a paused process exceeds it.
	maxExpiryDelay = 3 * time.Second
	// historyLimit is the number of configurations that are kept to compute the level of an organisation without an account.
	historyLimit = 6
)

// Options are the settings of a Ledger.
type Options struct {
	Self   string        // name of this holder
	Term   time.Duration // of loans, default DefaultTerm
	Margin time.Duration // for clock drift, default DefaultMargin
	// LoanRequestsPerSecond bounds the loan requests that Rebalance makes, on which no request of a client waits. Default
	// DefaultLoanRequestsPerSecond.
	LoanRequestsPerSecond int
	// FirstLoanID is the number before the first loan ID. A borrower may outlive this process and must not see an ID twice, so
	// callers pass a random number.
	FirstLoanID uint64
}

// slotState is the state of an owned slot.
type slotState struct {
	usable bool
	from   clock.Instant // when it became usable
}

// appliedConfiguration is a configuration and the time at which it came into force here.
type appliedConfiguration struct {
	from clock.Instant
	conf Configuration
}

// Ledger holds the slots, accounts and loans of one holder. It is not safe for concurrent use.
type Ledger struct {
	opts       Options
	disabled   disabledRules
	slots      map[Slot]slotState
	accounts   map[string]*account
	charges    map[uint64]charge
	history    []appliedConfiguration // oldest first; the last one is in force
	nextLoan   uint64
	nextCharge uint64
}

// disabledRules disables single safety rules. Only tests set it, to show that their checks detect a missing rule. The comments
// say what happens when a field is set.
type disabledRules struct {
	acceptLoanOnce    bool // a loan in a duplicated response is accepted again
	rejectLateReturns bool // returned tokens are accepted after the end of the term
	acceptReturnOnce  bool // tokens of a return are accepted although its share was already returned
	termFromRequest   bool // the borrower counts the term from the arrival of the response
	subtractLoans     bool // the lender does not subtract what it lends
	startEmpty        bool // an added slot starts with all tokens of its burst
	applyPrevious     bool // previous entitlements are ignored
	boundRelendTerm   bool // a loan backed by borrowed loans may outlive them
}

// charge is the tokens that an admitted request has taken and that are not settled yet.
type charge struct {
	organisation string
	tokens       float64
	epoch        uint64 // of the account at the admission
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	if opts.Term == 0 {
		opts.Term = DefaultTerm
	}
	if opts.Margin == 0 {
		opts.Margin = DefaultMargin
	}
	if opts.LoanRequestsPerSecond == 0 {
		opts.LoanRequestsPerSecond = DefaultLoanRequestsPerSecond
	}
	return &Ledger{
		opts:     opts,
		slots:    map[Slot]slotState{},
		accounts: map[string]*account{},
		charges:  map[uint64]charge{},
		nextLoan: opts.FirstLoanID,
	}
}

// Term returns the time for which loans are granted.
func (l *Ledger) Term() time.Duration { return l.opts.Term }

// TakeoverDelay returns the time for which a new owner of a slot waits after the previous owner has stopped: until the loans of the
// previous owner have expired.
func (l *Ledger) TakeoverDelay() time.Duration { return l.opts.Term + 2*l.opts.Margin }

// Accounts returns the number of organisations that have an account.
func (l *Ledger) Accounts() int { return len(l.accounts) }

// current returns the configuration in force, nil before the first.
func (l *Ledger) current() Configuration {
	if len(l.history) == 0 {
		return nil
	}
	return l.history[len(l.history)-1].conf
}

// Configure applies a configuration. An increased burst does not bring tokens at once; they accrue at the rate.
func (l *Ledger) Configure(now clock.Instant, conf Configuration) {
	for _, a := range l.accounts {
		a.advance(now)
	}
	l.history = append(l.history, appliedConfiguration{now, conf})
	if len(l.history) > historyLimit {
		l.history = append([]appliedConfiguration(nil), l.history[1:]...)
	}
	sameRegions := len(l.history) > 1 && slices.Equal(l.history[len(l.history)-2].conf.Regions(), conf.Regions())
	for name, a := range l.accounts {
		org, _ := conf.Organisation(name)
		if sameRegions && !a.previousApply && len(org.Previous) == 0 && a.limits.equal(org.Current) {
			continue
		}
		l.applyLimits(a, org)
	}
}

// applyLimits applies the configuration in force to an account. Reduced limits reduce its borrowed shares and tokens in proportion.
func (l *Ledger) applyLimits(a *account, org Organisation) {
	before := a.share().Burst
	factor := Share{reductionFactor(a.limits.Rate, org.Current.Rate), reductionFactor(a.limits.Burst, org.Current.Burst)}
	if factor.Rate < 1 || factor.Burst < 1 {
		for i := range a.borrowed {
			a.borrowed[i].Rate *= factor.Rate
			a.borrowed[i].Burst *= factor.Burst
		}
		a.updateSums()
	}
	a.limits = org.Current
	l.setEntitlements(a, org, l.current())
	if after := a.share().Burst; after < before && a.level > 0 {
		a.level *= after / before
	}
	a.clip()
}

// reductionFactor returns the factor by which a limit was reduced, 1 if it was not.
func reductionFactor(before, after float64) float64 {
	if after >= before || before <= 0 {
		return 1
	}
	return after / before
}

// setEntitlements sets the entitlements and the own share of an account.
func (l *Ledger) setEntitlements(a *account, org Organisation, conf Configuration) {
	a.entitled = l.entitlements(org, conf)
	a.previousApply = len(org.Previous) > 0
	a.own = l.ownShare(a)
}

// entitlements returns the slots' shares of an organisation. An undeclared organisation has none.
func (l *Ledger) entitlements(org Organisation, conf Configuration) []SlotShare {
	if l.disabled.applyPrevious {
		org.Previous = nil
	}
	return slotShares(org, conf.Regions())
}

// ownShare returns the sum of the entitlements of the usable slots.
func (l *Ledger) ownShare(a *account) Share {
	var own Share
	for _, x := range a.entitled {
		if l.slots[x.Slot].usable {
			own = own.plus(x.Share)
		}
	}
	return own
}

// AddSlot starts the use of a slot, without tokens. The caller must be certain that the previous owner no longer uses the slot
// and that its loans have expired (see TakeoverDelay).
func (l *Ledger) AddSlot(now clock.Instant, slot Slot) {
	if l.slots[slot].usable {
		return
	}
	l.changeSlots(now, func() { l.slots[slot] = slotState{usable: true, from: now} })
	if l.disabled.startEmpty {
		for _, a := range l.accounts {
			a.level = a.share().Burst
		}
	}
}

// RemoveSlot ends the use of a slot at once. The tokens that the slot has accrued are discarded.
func (l *Ledger) RemoveSlot(now clock.Instant, slot Slot) {
	if !l.slots[slot].usable {
		return
	}
	l.changeSlots(now, func() { delete(l.slots, slot) })
}

// changeSlots changes the owned slots and recomputes the own shares. Accounts whose own share shrinks lose tokens in proportion.
func (l *Ledger) changeSlots(now clock.Instant, change func()) {
	for _, a := range l.accounts {
		a.advance(now)
	}
	change()
	for _, a := range l.accounts {
		own := l.ownShare(a)
		if own.Burst < a.own.Burst || own.Rate < a.own.Rate {
			before := a.share().Burst
			a.own = own
			if after := a.share().Burst; before > 0 && a.level > 0 {
				a.level *= math.Max(0, after) / before
			}
			a.epoch++
		}
		a.own = own
		a.clip()
	}
}

// Owns reports whether the slot is in use here.
func (l *Ledger) Owns(slot Slot) bool { return l.slots[slot].usable }

// account returns an organisation's account, advanced to now. It creates the account if there is none, and returns nil if the
// organisation is not declared.
func (l *Ledger) account(now clock.Instant, name string) *account {
	if a, ok := l.accounts[name]; ok {
		a.advance(now)
		return a
	}
	conf := l.current()
	if conf == nil {
		return nil
	}
	org, ok := conf.Organisation(name)
	if !ok {
		return nil
	}
	a := &account{updated: now, demandUpdated: now, limits: org.Current}
	l.setEntitlements(a, org, conf)
	if a.own != (Share{}) {
		a.level = math.Min(l.idleLevel(now, name), a.own.Burst)
	}
	l.accounts[name] = a
	return a
}

// idleLevel returns the tokens that the usable slots have accrued for an organisation without an account. Each slot accrues from
// the time at which it became usable, under the configurations that were in force since.
func (l *Ledger) idleLevel(now clock.Instant, name string) float64 {
	total := 0.0
	levels := map[Slot]float64{}
	var shares []SlotShare
	var before Organisation
	var regions []Region
	for i, past := range l.history {
		org, _ := past.conf.Organisation(name)
		unchanged := i > 0 && len(org.Previous) == 0 && len(before.Previous) == 0 && org.Current.equal(before.Current) &&
			slices.Equal(regions, past.conf.Regions())
		if !unchanged {
			shares = l.entitlements(org, past.conf)
		}
		before, regions = org, past.conf.Regions()
		until := now
		if i+1 < len(l.history) {
			until = l.history[i+1].from
		}
		levels = l.accrueSlots(levels, shares, past.from, until)
	}
	for _, level := range levels {
		total += level
	}
	return total
}

// accrueSlots returns the levels of the usable slots at until, given their levels at from and constant shares in between.
func (l *Ledger) accrueSlots(levels map[Slot]float64, shares []SlotShare, from, until clock.Instant) map[Slot]float64 {
	out := map[Slot]float64{}
	for _, x := range shares {
		state := l.slots[x.Slot]
		if !state.usable {
			continue
		}
		level := math.Min(levels[x.Slot], x.Share.Burst)
		if since := max(from, state.from); until > since {
			level = math.Min(x.Share.Burst, level+x.Share.Rate*until.Sub(since).Seconds())
		}
		if l.disabled.startEmpty {
			level = x.Share.Burst
		}
		out[x.Slot] = level
	}
	return out
}

// RecordDemand records that a request for the tokens has arrived, whether or not it is admitted. It reports whether the
// organisation is declared.
func (l *Ledger) RecordDemand(now clock.Instant, organisation string, tokens float64) bool {
	a := l.account(now, organisation)
	if a == nil {
		return false
	}
	a.addDemand(now, tokens)
	return true
}

// Admit takes the tokens if this holder has them, and returns the ID of the charge.
func (l *Ledger) Admit(now clock.Instant, organisation string, tokens float64) (id uint64, ok bool) {
	a := l.account(now, organisation)
	if a == nil || a.level < tokens {
		return 0, false
	}
	a.level -= tokens
	a.openCharges++
	a.openTokens += tokens
	l.nextCharge++
	l.charges[l.nextCharge] = charge{organisation, tokens, a.epoch}
	return l.nextCharge, true
}

// ChargeValid reports whether the charge is open and the shares that it was taken from may still be used.
func (l *Ledger) ChargeValid(now clock.Instant, id uint64) bool {
	c, ok := l.charges[id]
	if !ok {
		return false
	}
	a := l.account(now, c.organisation)
	return a != nil && a.epoch == c.epoch
}

// Settle closes a charge and replaces its tokens by those really used. It reports false for a charge that is not open.
func (l *Ledger) Settle(now clock.Instant, id uint64, used float64) bool {
	c, ok := l.charges[id]
	if !ok {
		return false
	}
	delete(l.charges, id)
	if a := l.account(now, c.organisation); a != nil {
		a.openCharges--
		a.openTokens -= c.tokens
		a.level += c.tokens - used
		a.clip()
	}
	return true
}

// AccountState is the state of an organisation's account at this holder.
type AccountState struct {
	Rate     float64 // tokens/s that may be used now
	Burst    float64 // tokens
	Level    float64 // available tokens; negative: debt
	Demand   float64 // tokens/s requested
	Own      Share   // entitlement of the usable slots
	Lent     Share
	Borrowed Share
}

// AccountState returns the state of an organisation's account, false if the organisation is not declared.
func (l *Ledger) AccountState(now clock.Instant, organisation string) (AccountState, bool) {
	a := l.account(now, organisation)
	if a == nil {
		return AccountState{}, false
	}
	s := a.share()
	return AccountState{
		Rate: s.Rate, Burst: s.Burst, Level: a.level, Demand: a.demandAt(now),
		Own: a.own, Lent: a.lentSum, Borrowed: a.borrowedSum,
	}, true
}

// Applied reports whether the configuration in force is fully applied here: no account has lent more than its own and borrowed
// shares, which a reduced entitlement can cause until loans expire. Only then may the holder report the revision as applied.
func (l *Ledger) Applied(now clock.Instant) bool {
	const tolerance = 1e-6
	for _, a := range l.accounts {
		a.advance(now)
		s := a.own.plus(a.borrowedSum).minus(a.lentSum)
		if s.Rate < -tolerance || s.Burst < -tolerance {
			return false
		}
	}
	return true
}

// Sweep removes the accounts that can be recreated at any time: those with a full level and without loans, open charges or
// demand, and those of undeclared organisations without loans, open charges or demand.
func (l *Ledger) Sweep(now clock.Instant) {
	const idleDemand = 0.01 // tokens/s
	for name, a := range l.accounts {
		a.advance(now)
		_, exists := l.current().Organisation(name)
		idle := len(a.lent) == 0 && len(a.borrowed) == 0 && a.openCharges == 0 && len(a.acceptedLoans) == 0 && a.demandAt(now) < idleDemand
		if idle && (!exists || a.level >= a.share().Burst) {
			delete(l.accounts, name)
		}
	}
}

// SlotShares returns all slots, local or not, that have a share of the organisation's rate and burst, and their shares.
func (l *Ledger) SlotShares(now clock.Instant, organisation string) []SlotShare {
	a := l.account(now, organisation)
	if a == nil {
		return nil
	}
	return a.entitled
}
