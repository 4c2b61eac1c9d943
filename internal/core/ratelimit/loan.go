package ratelimit

import (
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// minMove is the smallest part of two holders' rate that moves between them. A loan of rate gains nothing for anyone while
	// it is on its way (80 ms between regions), so small differences must not move rate to and fro.
	minMove = 0.1
	// minIdleMove is the same for a holder whose level is full and whose demand is low: what it gains is lost anyway.
	minIdleMove = 0.001
	// minTokens is the smallest part of a burst share that is lent without need or given back.
	minTokens = 0.02
	// keepLevel is the part of its tokens that a holder keeps for its own next requests unless others wait for them.
	keepLevel = 0.1
	// refundReserve is the part of the open charges that is expected back; burst share is kept for it.
	refundReserve = 0.25
	// fullLevel is the part of the burst share from which a holder needs no further tokens.
	fullLevel = 0.95
	// negligible is the rate (tokens/s) or burst (tokens) below which a loan is over.
	negligible = 1e-9
	// minSubTerm is the shortest term for which taken shares are lent on.
	minSubTerm = 500 * time.Millisecond
	// renewBefore is the time before the end of a loan from which it is extended or returned.
	renewBefore = 5 * time.Second
	// mergeLoans is the number of loans of one organisation from one holder that are made one with the next ask.
	mergeLoans = 4
	// maxLoansPerPair bounds the loans of one organisation with one other holder whose asks for extension are lost.
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

// LoanRequest is a request for a loan. Level, share and demand are the asking holder's.
type LoanRequest struct {
	Organisation string
	Need         float64 // tokens that waiting requests lack
	Level        float64
	Share        Share
	Demand       float64
	Fanout       int      // holders asked at once
	Extend       []uint64 // loans from this giver that should go on
	Returns      []LoanReturn
}

// LoanReturn gives a part of a running loan back, or all of it. The holder that took the loan has dropped the part. A repeated or
// overtaken return changes nothing more, because the giver takes the smaller share and only tokens that fit into what came back.
type LoanReturn struct {
	ID        uint64
	Remaining Share // of the loan
	Tokens    float64
}

// Loan is a granted loan. The giver has subtracted it.
type Loan struct {
	ID     uint64
	Share  Share
	Tokens float64
	Term   time.Duration
}

// LoanExtension gives running loans a new term, counted from the ask, as one loan with a new id.
type LoanExtension struct {
	IDs  []uint64
	ID   uint64
	Term time.Duration
}

// LoanResponse is the reply to an Ask.
type LoanResponse struct {
	Loan      *Loan
	Extended  *LoanExtension
	Returns   []LoanReturn // of loans that the asking holder had given to this one
	Borrowers []string     // holders that this one has lent to; they may have tokens
}

// NewLoanRequest returns the state to send to a giver with a request for a loan. Several loans from it are extended on the way, which
// makes one of them.
func (l *Ledger) NewLoanRequest(now clock.Instant, organisation, giver string, need float64, fanout int) LoanRequest {
	a := l.account(now, organisation)
	if a == nil {
		return LoanRequest{Organisation: organisation, Fanout: fanout}
	}
	ask := LoanRequest{
		Organisation: organisation, Need: need, Level: a.level, Share: a.share(), Demand: a.demandAt(now), Fanout: fanout,
	}
	ask.Returns = l.returnExcess(a, giver)
	ask.Share = a.share()
	if count(a.taken, giver) >= mergeLoans {
		for _, x := range a.taken {
			if x.other == giver {
				ask.Extend = append(ask.Extend, x.ID)
			}
		}
	}
	return ask
}

// Grant answers an ask: it gives back loans of the asking holder first, and lends from its own share for the rest.
func (l *Ledger) Grant(now clock.Instant, from string, ask LoanRequest) LoanResponse {
	var answer LoanResponse
	a := l.account(now, ask.Organisation)
	if a == nil {
		return answer
	}
	for _, r := range ask.Returns {
		l.takeReturn(a, from, r)
	}
	answer.Extended = l.extend(now, a, from, ask.Extend)
	for _, other := range a.borrowers() {
		if other != from {
			answer.Borrowers = append(answer.Borrowers, other)
		}
	}
	if ask.Fanout == 0 {
		return answer // only gives back or extends
	}
	rate, tokens := l.wanted(now, a, ask)
	want := Share{rate, math.Max(tokens, l.burstFor(a, rate)+l.burstLack(a, ask))}
	for i := len(a.taken) - 1; i >= 0 && (want.Rate > 0 || tokens > 0); i-- {
		if a.taken[i].other != from {
			continue
		}
		if r, drop, ok := l.giveBack(a, i, want, tokens); ok {
			answer.Returns = append(answer.Returns, r)
			want = Share{math.Max(0, want.Rate-drop.Rate), math.Max(0, want.Burst-drop.Burst)}
			tokens = math.Max(0, tokens-r.Tokens)
		}
	}
	answer.Loan = l.lend(now, a, from, want, tokens)
	return answer
}

// burstLack returns the burst share that the asking holder lacks for its rate and that this one has beyond its own.
func (l *Ledger) burstLack(a *account, ask LoanRequest) float64 {
	mine := a.share()
	lack := l.burstFor(a, ask.Share.Rate) - ask.Share.Burst
	spare := math.Min(mine.Burst-l.burstFor(a, mine.Rate), a.free().Burst)
	if lack = math.Min(lack, spare); lack < minTokens*a.total.Burst {
		return 0
	}
	return lack / float64(ask.Fanout)
}

// burstFor returns the part of the burst that belongs to a part of the rate.
func (l *Ledger) burstFor(a *account, rate float64) float64 {
	if a.total.Rate <= 0 {
		return 0
	}
	return a.total.Burst * rate / a.total.Rate
}

// free returns the share that is neither needed for loans given nor for the tokens here and the refunds expected.
func (a *account) free() Share {
	s := a.share()
	return Share{s.Rate, math.Max(0, s.Burst-math.Max(0, a.level)-refundReserve*a.openTokens)}
}

// wanted returns the rate and tokens that should move to the asking holder: rate by demand, tokens by rate, and at least the
// tokens that its waiting requests lack.
func (l *Ledger) wanted(now clock.Instant, a *account, ask LoanRequest) (rate, tokens float64) {
	mine, demand := a.share(), a.demandAt(now)
	level, theirs := math.Max(0, a.level), math.Max(0, ask.Level)
	part := 1 / math.Max(1, float64(ask.Fanout))
	pair := mine.Rate + ask.Share.Rate
	smallest := minMove
	if level >= fullLevel*mine.Burst && demand < 0.5*mine.Rate {
		smallest = minIdleMove
	}
	if sum := demand + ask.Demand; sum > 0 {
		rate = pair*ask.Demand/sum - ask.Share.Rate
	}
	if rate < smallest*pair {
		rate = 0
	}
	rate *= part
	if bursts := mine.Burst + ask.Share.Burst; bursts > 0 {
		tokens = (level+theirs)*ask.Share.Burst/bursts - theirs
		tokens = math.Min(tokens, (1-keepLevel)*level)
		if tokens < minTokens*bursts {
			tokens = 0
		}
		tokens *= part
	}
	if mine.Rate > 0 {
		// Rate moves with its part of the tokens, so that both holders stay as full as they are.
		tokens = math.Max(tokens, level*math.Min(1, rate/mine.Rate))
	}
	return rate, math.Min(math.Max(tokens, ask.Need), level)
}

// lend subtracts a loan from the account and returns it, or nil if there is nothing to lend.
func (l *Ledger) lend(now clock.Instant, a *account, to string, want Share, tokens float64) *Loan {
	mine := a.share()
	tokens = math.Max(0, math.Min(tokens, a.level))
	tokens = math.Min(tokens, mine.Burst)
	// Burst share that holds the remaining tokens stays.
	spare := mine.Burst - math.Max(0, a.level-tokens)
	give := Share{
		Rate:  math.Max(0, math.Min(want.Rate, mine.Rate)),
		Burst: math.Max(tokens, math.Min(want.Burst, spare)),
	}
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

// extend makes one loan with a new term of the given loans, unless the account no longer has what it lent. If the answer is
// lost, the receiver drops the loans at their old end, which is earlier.
func (l *Ledger) extend(now clock.Instant, a *account, to string, ids []uint64) *LoanExtension {
	merged := loan{other: to}
	var found []uint64
	for _, x := range a.given {
		if x.other == to && slices.Contains(ids, x.ID) {
			found = append(found, x.ID)
			merged.Share = merged.plus(x.Share)
			merged.until = max(merged.until, x.until)
		}
	}
	if len(found) == 0 {
		return nil
	}
	term := l.opts.Term
	if free := a.own.minus(a.givenS); free.Rate < 0 || free.Burst < 0 {
		if total := free.plus(a.takenS); total.Rate < 0 || total.Burst < 0 {
			return nil
		}
		term = min(term, l.subTerm(now, a))
		if term < minSubTerm {
			return nil
		}
	}
	l.nextLoan++
	merged.ID = l.nextLoan
	merged.until = max(merged.until, now.Add(term+l.opts.Margin))
	a.given = slices.DeleteFunc(a.given, func(x loan) bool { return x.other == to && slices.Contains(found, x.ID) })
	a.given = append(a.given, merged)
	a.sum()
	return &LoanExtension{found, merged.ID, term}
}

// acceptExtension replaces those of the extended loans that are still here by one loan.
func (l *Ledger) acceptExtension(asked clock.Instant, a *account, from string, e LoanExtension) {
	merged := loan{ID: e.ID, other: from}
	rest := slices.DeleteFunc(slices.Clone(a.taken), func(x loan) bool {
		found := x.other == from && slices.Contains(e.IDs, x.ID)
		if found {
			merged.Share = merged.plus(x.Share)
			merged.until = max(merged.until, asked.Add(e.Term))
		}
		return found
	})
	if len(rest) == len(a.taken) {
		return
	}
	a.taken = append(rest, merged)
	a.sum()
}

// giveBack drops up to a share of the taken loan i and returns it with tokens. It reports false if nothing can be dropped.
func (l *Ledger) giveBack(a *account, i int, want Share, tokens float64) (LoanReturn, Share, bool) {
	x, mine := &a.taken[i], a.share()
	level := math.Max(0, a.level)
	tokens = math.Min(tokens, math.Min(x.Burst, level))
	drop := Share{
		Rate:  math.Max(0, math.Min(want.Rate, math.Min(x.Rate, mine.Rate))),
		Burst: math.Max(0, math.Min(math.Max(want.Burst, tokens), math.Min(x.Burst, mine.Burst))),
	}
	if drop.Rate < negligible && drop.Burst < negligible {
		return LoanReturn{}, Share{}, false
	}
	// Tokens that no longer fit the remaining burst share go along.
	tokens = math.Min(drop.Burst, math.Max(tokens, level-(mine.Burst-drop.Burst)))
	x.Share = x.minus(drop)
	r := LoanReturn{x.ID, x.Share, tokens}
	if x.Rate < negligible && x.Burst < negligible {
		a.taken = slices.Delete(a.taken, i, i+1)
	}
	a.sum()
	a.level -= tokens
	a.clip()
	return r, drop, true
}

// takeReturn takes a part of a given loan back. After its term it is ignored: the share is already back, and more tokens would
// exceed it.
func (l *Ledger) takeReturn(a *account, from string, r LoanReturn) {
	i := slices.IndexFunc(a.given, func(x loan) bool { return x.other == from && x.ID == r.ID })
	if i < 0 {
		if l.rules.lateReturn {
			a.level += r.Tokens
		}
		return
	}
	x := &a.given[i]
	left := x.min(r.Remaining)
	tokens := math.Min(r.Tokens, x.Burst-left.Burst)
	if l.rules.returnTwice {
		tokens = r.Tokens
	}
	x.Share = left
	if left.Rate < negligible && left.Burst < negligible {
		a.given = slices.Delete(a.given, i, i+1)
	}
	a.sum()
	a.level += math.Max(0, tokens)
	a.clip()
}

// Accept books the answer to an ask that was sent at asked. An answer that comes twice is booked once.
func (l *Ledger) Accept(now, asked clock.Instant, from, organisation string, answer LoanResponse) {
	a := l.account(now, organisation)
	if a == nil {
		return
	}
	for _, r := range answer.Returns {
		l.takeReturn(a, from, r)
	}
	if answer.Extended != nil {
		l.acceptExtension(asked, a, from, *answer.Extended)
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
