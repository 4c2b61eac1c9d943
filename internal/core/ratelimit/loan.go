package ratelimit

import (
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// maxWeight is the largest part of a pair's shares that moves to the asking side by demand. The rest lets the giver
	// serve its first requests without asking.
	maxWeight = 0.95
	// minGrant is the smallest part of a total rate or burst that is lent without need, so that small differences cause no loans.
	minGrant = 0.02
	// minSubTerm is the shortest term for which taken shares are lent on.
	minSubTerm = 500 * time.Millisecond
	// renewBefore is the time before the end of a loan from which it is extended or returned.
	renewBefore = 5 * time.Second
	// maxLoansPerPair bounds the loans of one organisation with one other holder.
	maxLoansPerPair = 24
)

// loan is one side's record of a loan.
type loan struct {
	ID    uint64
	other string // the other holder
	Share
	until clock.Instant
}

type loanKey struct {
	giver string
	id    uint64
}

// Ask is a request for a loan. Level, share and demand are the asking holder's.
type Ask struct {
	Organisation string
	Need         float64 // tokens that waiting requests lack
	Level        float64
	Share        Share
	Demand       float64
	Fanout       int      // holders asked at once
	Extend       []uint64 // loans from this giver that should go on
	Returns      []Return
}

// Return gives a loan back before its term ends.
type Return struct {
	ID     uint64
	Tokens float64
}

// Loan is a granted loan. The giver has subtracted it.
type Loan struct {
	ID     uint64
	Share  Share
	Tokens float64
	Term   time.Duration
}

// Extension gives a running loan a new term, counted from the ask.
type Extension struct {
	ID   uint64
	Term time.Duration
}

// Answer is the reply to an Ask.
type Answer struct {
	Loan     *Loan
	Extended []Extension
	Returns  []Return // loans that the asking holder had given to this one
	Holders  []string // holders that this one has lent to; they may have tokens
}

// Ask returns the state to send with a request for a loan.
func (l *Ledger) Ask(now clock.Instant, organisation string, need float64, fanout int) Ask {
	a := l.account(now, organisation)
	if a == nil {
		return Ask{Organisation: organisation, Fanout: fanout}
	}
	return Ask{
		Organisation: organisation, Need: need, Level: a.level, Share: a.share(), Demand: a.demandAt(now), Fanout: fanout,
	}
}

// Grant answers an ask: it gives back loans of the asking holder first, and lends from its own share for the rest.
func (l *Ledger) Grant(now clock.Instant, from string, ask Ask) Answer {
	var answer Answer
	a := l.account(now, ask.Organisation)
	if a == nil {
		return answer
	}
	for _, r := range ask.Returns {
		l.takeReturn(a, from, r)
	}
	for _, id := range ask.Extend {
		if term, ok := l.extend(now, a, from, id); ok {
			answer.Extended = append(answer.Extended, Extension{id, term})
		}
	}
	for _, x := range a.given {
		if x.other != from && !slices.Contains(answer.Holders, x.other) {
			answer.Holders = append(answer.Holders, x.other)
		}
	}
	want, tokens := l.wanted(now, a, ask)
	if tokens <= 0 && want.Rate <= 0 && want.Burst <= 0 {
		return answer
	}
	for i := 0; i < len(a.taken) && (tokens > 0 || want.Rate > 0); {
		x := a.taken[i]
		if x.other != from {
			i++
			continue
		}
		r, ok := l.giveBack(a, i, tokens)
		if !ok {
			i++
			continue
		}
		answer.Returns = append(answer.Returns, r)
		tokens -= r.Tokens
		want = want.minus(x.Share)
	}
	answer.Loan = l.lend(now, a, from, want, tokens)
	return answer
}

// wanted returns the share and tokens that should move to the asking holder: by demand, and at least what it needs.
func (l *Ledger) wanted(now clock.Instant, a *account, ask Ask) (Share, float64) {
	weight := 0.5
	demand := a.demandAt(now)
	if sum := demand + ask.Demand; sum > 0 {
		weight = math.Min(maxWeight, ask.Demand/sum)
	}
	part := 1 / math.Max(1, float64(ask.Fanout))
	mine := a.share()
	level, theirs := math.Max(0, a.level), math.Max(0, ask.Level)
	want := Share{
		Rate:  (weight*(mine.Rate+ask.Share.Rate) - ask.Share.Rate) * part,
		Burst: (weight*(mine.Burst+ask.Share.Burst) - ask.Share.Burst) * part,
	}
	tokens := (weight*(level+theirs) - theirs) * part
	if want.Rate < minGrant*a.total.Rate {
		want.Rate = 0
	}
	if want.Burst < minGrant*a.total.Burst {
		want.Burst = 0
	}
	if tokens < minGrant*a.total.Burst {
		tokens = 0
	}
	tokens = math.Min(math.Max(tokens, ask.Need), level)
	want.Burst = math.Max(want.Burst, tokens)
	return want, tokens
}

// lend subtracts a loan from the account and returns it, or nil if there is nothing to lend.
func (l *Ledger) lend(now clock.Instant, a *account, to string, want Share, tokens float64) *Loan {
	mine := a.share()
	tokens = math.Max(0, math.Min(tokens, a.level))
	give := Share{
		Rate:  math.Max(0, math.Min(want.Rate, mine.Rate)),
		Burst: math.Max(0, math.Min(math.Max(want.Burst, tokens), mine.Burst)),
	}
	tokens = math.Min(tokens, give.Burst)
	if give.Rate <= 0 && give.Burst <= 0 {
		return nil
	}
	if count(a.given, to) >= maxLoansPerPair {
		return nil
	}
	term := l.opts.Term
	if free := a.own.minus(a.givenS); free.Rate < give.Rate || free.Burst < give.Burst {
		term = min(term, l.subTerm(now, a))
		if term < minSubTerm {
			return nil
		}
	}
	l.nextLoan++
	if !l.rules.sendFirst {
		a.given = append(a.given, loan{l.nextLoan, to, give, now.Add(term + l.opts.Margin)})
		a.sum()
		a.level -= tokens
		a.clip()
	}
	return &Loan{ID: l.nextLoan, Share: give, Tokens: tokens, Term: term}
}

// subTerm is the longest term of a loan that is backed by taken loans: it ends before any of them.
func (l *Ledger) subTerm(now clock.Instant, a *account) time.Duration {
	if l.rules.unboundedSubLet {
		return l.opts.Term
	}
	shortest := time.Duration(math.MaxInt64)
	for _, x := range a.taken {
		shortest = min(shortest, x.until.Sub(now))
	}
	return shortest - l.opts.Margin
}

// extend gives a loan a new term, unless the account no longer has what it lent.
func (l *Ledger) extend(now clock.Instant, a *account, to string, id uint64) (time.Duration, bool) {
	i := slices.IndexFunc(a.given, func(x loan) bool { return x.other == to && x.ID == id })
	if i < 0 {
		return 0, false
	}
	term := l.opts.Term
	if free := a.own.minus(a.givenS); free.Rate < 0 || free.Burst < 0 {
		if total := free.plus(a.takenS); total.Rate < 0 || total.Burst < 0 {
			return 0, false
		}
		term = min(term, l.subTerm(now, a))
		if term < minSubTerm {
			return 0, false
		}
	}
	a.given[i].until = max(a.given[i].until, now.Add(term+l.opts.Margin))
	return term, true
}

// giveBack removes the taken loan i from the account and returns it with up to the wanted tokens. It reports false if shares
// given on depend on it.
func (l *Ledger) giveBack(a *account, i int, tokens float64) (Return, bool) {
	x := a.taken[i]
	left := a.own.plus(a.takenS).minus(a.givenS).minus(x.Share)
	if left.Rate < 0 || left.Burst < 0 {
		return Return{}, false
	}
	// Tokens that no longer fit the remaining burst share go along.
	tokens = math.Max(tokens, a.level-left.Burst)
	tokens = math.Max(0, math.Min(tokens, math.Min(a.level, x.Burst)))
	a.taken = slices.Delete(a.taken, i, i+1)
	a.sum()
	a.level -= tokens
	a.clip()
	return Return{ID: x.ID, Tokens: tokens}, true
}

// takeReturn takes a given loan back. After its term it is ignored: the share is already back, and more tokens would exceed it.
func (l *Ledger) takeReturn(a *account, from string, r Return) {
	i := slices.IndexFunc(a.given, func(x loan) bool { return x.other == from && x.ID == r.ID })
	if i < 0 {
		if l.rules.lateReturn {
			a.level += r.Tokens
		}
		return
	}
	tokens := math.Min(r.Tokens, a.given[i].Burst)
	a.given = slices.Delete(a.given, i, i+1)
	a.sum()
	a.level += tokens
	a.clip()
}

// Accept books the answer to an ask that was sent at asked. An answer that comes twice is booked once.
func (l *Ledger) Accept(now, asked clock.Instant, from, organisation string, answer Answer) {
	a := l.account(now, organisation)
	if a == nil {
		return
	}
	for _, r := range answer.Returns {
		l.takeReturn(a, from, r)
	}
	for _, e := range answer.Extended {
		i := slices.IndexFunc(a.taken, func(x loan) bool { return x.other == from && x.ID == e.ID })
		if i >= 0 {
			a.taken[i].until = max(a.taken[i].until, asked.Add(e.Term))
		}
	}
	if answer.Loan != nil {
		l.acceptLoan(now, asked, a, from, *answer.Loan)
	}
}

// acceptLoan adds a loan unless its term has ended or it was added before.
func (l *Ledger) acceptLoan(now, asked clock.Instant, a *account, from string, x Loan) {
	until := asked.Add(x.Term)
	if l.rules.receiverLate {
		until = now.Add(x.Term)
	}
	if until <= now {
		return
	}
	key := loanKey{from, x.ID}
	if _, ok := a.seen[key]; ok && !l.rules.addTwice {
		return
	}
	if a.seen == nil {
		a.seen = map[loanKey]clock.Instant{}
	}
	a.seen[key] = until
	a.taken = append(a.taken, loan{x.ID, from, x.Share, until})
	a.sum()
	a.level += x.Tokens
	a.clip()
}

func count(loans []loan, other string) int {
	n := 0
	for _, x := range loans {
		if x.other == other {
			n++
		}
	}
	return n
}

// Rebalance returns the asks of this second by giver: extensions and returns of loans that end soon, and requests for more
// where the demand exceeds the share. owners gives the holders of the organisation's slots without this one.
func (l *Ledger) Rebalance(now clock.Instant, owners func(organisation string) []string) map[string][]Ask {
	out := map[string][]Ask{}
	for name, a := range l.accounts {
		a.advance(now)
		l.rebalance(now, name, a, owners, out)
	}
	return out
}

func (l *Ledger) rebalance(now clock.Instant, name string, a *account, owners func(string) []string, out map[string][]Ask) {
	byGiver := map[string]*Ask{}
	ask := func(giver string) *Ask {
		if byGiver[giver] == nil {
			byGiver[giver] = &Ask{Organisation: name}
		}
		return byGiver[giver]
	}
	demand := a.demandAt(now)
	for i := 0; i < len(a.taken); {
		x := a.taken[i]
		if x.until.Sub(now) > renewBefore {
			i++
			continue
		}
		if demand > a.share().Rate-x.Rate || demand > 0.5*a.share().Rate {
			ask(x.other).Extend = append(ask(x.other).Extend, x.ID)
			i++
			continue
		}
		r, ok := l.giveBack(a, i, a.level*part(x.Burst, a.share().Burst))
		if !ok {
			ask(x.other).Extend = append(ask(x.other).Extend, x.ID)
			i++
			continue
		}
		ask(x.other).Returns = append(ask(x.other).Returns, r)
	}
	// A holder that gains tokens faster than they are asked for, or is half full, needs no more.
	if demand > 0 && (a.level < 0.5*a.share().Burst || demand > a.share().Rate) {
		for _, giver := range owners(name) {
			ask(giver)
		}
	}
	for giver, x := range byGiver {
		x.Level, x.Share, x.Demand, x.Fanout = a.level, a.share(), demand, len(byGiver)
		out[giver] = append(out[giver], *x)
	}
}

func part(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return math.Min(1, a/b)
}
