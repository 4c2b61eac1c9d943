package ratelimit

import (
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// DefaultTerm is the length of a loan.
	DefaultTerm = 10 * time.Second
	// DefaultMargin is added to the giver's count of a term. Crystal clocks drift by up to 200 ppm, which is 2 ms in a term.
	DefaultMargin = 20 * time.Millisecond
	// DefaultLoanRequestsPerSecond keeps rebalancing at about 12 KB/s in and out of the 21 KB/s that a daemon may use: an exchange
	// is 149 bytes, and a holder is asked as often as it asks.
	DefaultLoanRequestsPerSecond = 40
	// demandWindow is the time constant of the moving average of offered tokens.
	demandWindow = 30 * time.Second
	// lateExpiry is how late an expired loan may be noticed before charges that it may have paid for become invalid.
	// The adapter advances every active account each second, so that only a paused process notices later than this.
	lateExpiry = 3 * time.Second
	// historyLimit bounds the replaced configurations that are kept to compute the level of an inactive organisation.
	historyLimit = 6
)

// Options of a Ledger.
type Options struct {
	Self   string        // name of this holder
	Term   time.Duration // of loans, default DefaultTerm
	Margin time.Duration // for clock-rate drift, default DefaultMargin
	// LoanRequestsPerSecond bounds the asks for more that no request waits for. Default DefaultLoanRequestsPerSecond.
	LoanRequestsPerSecond int
	// FirstLoanID is the first loan id. Ids must not repeat for a receiver that outlives this holder, so an adapter
	// passes a random number.
	FirstLoanID uint64
}

// slotState is an owned slot.
type slotState struct {
	usable bool
	from   clock.Instant // since when usable
}

// pastConfiguration is a configuration with the instant from which it applied here.
type pastConfiguration struct {
	from clock.Instant
	conf Configuration
}

// Ledger is the state of one holder. It is not safe for concurrent use.
type Ledger struct {
	opts     Options
	rules    rules
	slots    map[Slot]slotState
	accounts map[string]*account
	charges  map[uint64]charge
	history  []pastConfiguration // oldest first; the last one is in force
	// complete says that history starts with the holder's first configuration.
	complete   bool
	nextLoan   uint64
	nextCharge uint64
}

// rules switches single rules off. Only tests set it, to show that their checks notice the fault.
type rules struct {
	addTwice        bool // a duplicated answer is accepted again
	lateReturn      bool // returned tokens are accepted after the end of the term
	returnTwice     bool // tokens of a return are accepted although its share was taken back before
	receiverLate    bool // the receiver counts the term from the arrival of the loan
	sendFirst       bool // the giver does not subtract what it lends
	fullLevel       bool // a gained slot starts with a full level
	noMinimum       bool // previous entitlements are ignored
	unboundedSubLet bool // a loan backed by taken loans may outlive them
}

type charge struct {
	organisation string
	tokens       float64
	epoch        uint64
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
		complete: true,
		nextLoan: opts.FirstLoanID,
	}
}

// Term returns the length of loans.
func (l *Ledger) Term() time.Duration { return l.opts.Term }

// TakeoverDelay is how long a new owner waits after its predecessor has stopped: until the predecessor's loans have ended.
func (l *Ledger) TakeoverDelay() time.Duration { return l.opts.Term + 2*l.opts.Margin }

// Accounts returns the number of organisations with state.
func (l *Ledger) Accounts() int { return len(l.accounts) }

func (l *Ledger) current() Configuration {
	if len(l.history) == 0 {
		return nil
	}
	return l.history[len(l.history)-1].conf
}

// Configure puts a configuration in force. Raised shares start without tokens for the raised part.
func (l *Ledger) Configure(now clock.Instant, conf Configuration) {
	for _, a := range l.accounts {
		a.advance(now)
	}
	l.history = append(l.history, pastConfiguration{now, conf})
	if len(l.history) > historyLimit {
		l.history = append([]pastConfiguration(nil), l.history[1:]...)
		l.complete = false
	}
	sameRegions := len(l.history) > 1 && slices.Equal(l.history[len(l.history)-2].conf.Regions(), conf.Regions())
	for name, a := range l.accounts {
		org, _ := conf.Organisation(name)
		if sameRegions && !a.limited && len(org.Previous) == 0 && a.total.equal(org.Current) {
			continue
		}
		l.rescale(a, org)
	}
}

// rescale applies the configuration in force to an account.
func (l *Ledger) rescale(a *account, org Organisation) {
	before := a.share().Burst
	factor := Share{scale(a.total.Rate, org.Current.Rate), scale(a.total.Burst, org.Current.Burst)}
	if factor.Rate < 1 || factor.Burst < 1 {
		for i := range a.taken {
			a.taken[i].Rate *= factor.Rate
			a.taken[i].Burst *= factor.Burst
		}
		a.sum()
	}
	a.total = org.Current
	l.entitle(a, org, l.current())
	if after := a.share().Burst; after < before && a.level > 0 {
		a.level *= after / before
	}
	a.clip()
}

// scale returns the factor for a total that falls, else 1.
func scale(before, after float64) float64 {
	if after >= before || before <= 0 {
		return 1
	}
	return after / before
}

// entitle computes the entitlements of an account.
func (l *Ledger) entitle(a *account, org Organisation, conf Configuration) {
	a.entitled = l.entitlements(org, conf)
	a.limited = len(org.Previous) > 0
	a.own = l.ownShare(a)
}

// entitlements returns the slots' shares of an organisation; a name that is not declared has none.
func (l *Ledger) entitlements(org Organisation, conf Configuration) []SlotShare {
	if l.rules.noMinimum {
		org.Previous = nil
	}
	return slotShares(org, conf.Regions())
}

// ownShare returns the sum of the usable slots' entitlements.
func (l *Ledger) ownShare(a *account) Share {
	var own Share
	for _, x := range a.entitled {
		if l.slots[x.Slot].usable {
			own = own.plus(x.Share)
		}
	}
	return own
}

// AddSlot starts the use of a slot from now on, without tokens. The caller is certain that the predecessor has ended its
// use and that its loans have ended (TakeoverDelay).
func (l *Ledger) AddSlot(now clock.Instant, slot Slot) {
	if l.slots[slot].usable {
		return
	}
	l.changeSlots(now, func() { l.slots[slot] = slotState{usable: true, from: now} })
	if l.rules.fullLevel {
		for _, a := range l.accounts {
			a.level = a.share().Burst
		}
	}
}

// RemoveSlot ends the use of a slot at once. The tokens that it held are dropped.
func (l *Ledger) RemoveSlot(now clock.Instant, slot Slot) {
	if !l.slots[slot].usable {
		return
	}
	l.changeSlots(now, func() { delete(l.slots, slot) })
}

// changeSlots recomputes the own shares around a change of the owned slots.
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

// account returns an organisation's state up to date, creating it if the organisation exists, else nil.
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
	a := &account{updated: now, offered: now, total: org.Current}
	l.entitle(a, org, conf)
	if a.own != (Share{}) {
		a.level = math.Min(l.idleLevel(now, name), a.own.Burst)
	}
	l.accounts[name] = a
	return a
}

// idleLevel returns the tokens that an organisation without an account has gathered in the usable slots: each slot filled
// up since it became usable and since its share was last changed.
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
		levels = l.fill(levels, shares, past.from, until)
	}
	for _, level := range levels {
		total += level
	}
	return total
}

// fill returns the levels of the usable slots after a time under constant shares.
func (l *Ledger) fill(levels map[Slot]float64, shares []SlotShare, from, until clock.Instant) map[Slot]float64 {
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
		if l.rules.fullLevel {
			level = x.Share.Burst
		}
		out[x.Slot] = level
	}
	return out
}

// RecordDemand notes that a request for the tokens has arrived, whether or not it is admitted. It reports whether the organisation
// exists.
func (l *Ledger) RecordDemand(now clock.Instant, organisation string, tokens float64) bool {
	a := l.account(now, organisation)
	if a == nil {
		return false
	}
	a.offer(now, tokens)
	return true
}

// Admit takes the tokens if this holder has them.
func (l *Ledger) Admit(now clock.Instant, organisation string, tokens float64) (id uint64, ok bool) {
	a := l.account(now, organisation)
	if a == nil || a.level < tokens {
		return 0, false
	}
	a.level -= tokens
	a.open++
	a.openTokens += tokens
	l.nextCharge++
	l.charges[l.nextCharge] = charge{organisation, tokens, a.epoch}
	return l.nextCharge, true
}

// ChargeValid reports whether the shares that the charge was taken from may still be used.
func (l *Ledger) ChargeValid(now clock.Instant, id uint64) bool {
	c, ok := l.charges[id]
	if !ok {
		return false
	}
	a := l.account(now, c.organisation)
	return a != nil && a.epoch == c.epoch
}

// Settle replaces a charge by the real use. It reports false for a charge that is not open.
func (l *Ledger) Settle(now clock.Instant, id uint64, used float64) bool {
	c, ok := l.charges[id]
	if !ok {
		return false
	}
	delete(l.charges, id)
	if a := l.account(now, c.organisation); a != nil {
		a.open--
		a.openTokens -= c.tokens
		a.level += c.tokens - used
		a.clip()
	}
	return true
}

// AccountState is an organisation's state at this holder.
type AccountState struct {
	Rate     float64 // tokens/s share
	Burst    float64 // tokens
	Level    float64 // tokens, negative: debt
	Demand   float64 // tokens/s offered
	Own      Share   // of the usable slots
	Lent     Share
	Borrowed Share
}

// AccountState returns the state of an organisation, false if it does not exist.
func (l *Ledger) AccountState(now clock.Instant, organisation string) (AccountState, bool) {
	a := l.account(now, organisation)
	if a == nil {
		return AccountState{}, false
	}
	s := a.share()
	return AccountState{
		Rate: s.Rate, Burst: s.Burst, Level: a.level, Demand: a.demandAt(now),
		Own: a.own, Lent: a.givenS, Borrowed: a.takenS,
	}, true
}

// Applied reports whether every share lowered by the configuration in force is lowered here: no loan exceeds the
// entitlement that it was given from. Only then may the holder report the revision as in force.
func (l *Ledger) Applied(now clock.Instant) bool {
	const tolerance = 1e-6
	for _, a := range l.accounts {
		a.advance(now)
		s := a.own.plus(a.takenS).minus(a.givenS)
		if s.Rate < -tolerance || s.Burst < -tolerance {
			return false
		}
	}
	return true
}

// Sweep drops the state of organisations that can be computed anew: full level, no loans, no open charges, no demand.
func (l *Ledger) Sweep(now clock.Instant) {
	const idleDemand = 0.01 // tokens/s
	for name, a := range l.accounts {
		a.advance(now)
		_, exists := l.current().Organisation(name)
		idle := len(a.given) == 0 && len(a.taken) == 0 && a.open == 0 && len(a.seen) == 0 && a.demandAt(now) < idleDemand
		if idle && (!exists || a.level >= a.share().Burst) {
			delete(l.accounts, name)
		}
	}
}

// SlotShares returns the slots that have a share of the organisation.
func (l *Ledger) SlotShares(now clock.Instant, organisation string) []SlotShare {
	a := l.account(now, organisation)
	if a == nil {
		return nil
	}
	return a.entitled
}
