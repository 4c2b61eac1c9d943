package ratelimit

import (
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// minRateLoan is the smallest loan of rate, as a fraction of the rate of both holders. While the response is in transit (80 ms
	// between regions) neither holder can use the rate, so small differences must not move rate back and forth.
	minRateLoan = 0.1
	// minIdleRateLoan is the same for a lender with a full level and low demand: the tokens that its rate brings are discarded
	// anyway.
	minIdleRateLoan = 0.001
	// minTokenLoan is the smallest number of tokens that is lent without a waiting request, and the smallest burst share that is
	// returned, each as a fraction of the burst.
	minTokenLoan = 0.02
	// keptFraction is the fraction of its tokens that a holder keeps for its own next requests unless requests elsewhere wait
	// for them.
	keptFraction = 0.1
	// refundReserve is the fraction of the open charges that is expected to be refunded; burst share is kept for the refunds.
	refundReserve = 0.25
	// fullFraction is the fraction of the burst share from which a level counts as full.
	fullFraction = 0.95
	// negligible is the rate (tokens/s) or burst (tokens) below which a share counts as 0.
	negligible = 1e-9
	// minRelendTerm is the shortest term of a loan that is backed by borrowed shares.
	minRelendTerm = 500 * time.Millisecond
	// renewBefore is the time before the end of a loan at which the borrower extends or returns it.
	renewBefore = 5 * time.Second
	// mergeThreshold is the number of loans of one organisation from one lender from which the next loan request merges them
	// into one.
	mergeThreshold = 4
	// maxLoansPerPair bounds the loans of one organisation to one borrower. Loans accumulate if requests to extend them are lost.
	maxLoansPerPair = 24
)

// loan is the record of a loan at its lender or its borrower.
type loan struct {
	ID   uint64
	peer string // the holder at the other end
	Share
	expires clock.Instant
}

// loanKey identifies a loan at its borrower.
type loanKey struct {
	lender string
	id     uint64
}

// LoanRequest asks another holder for a loan. Level, Share and Demand are those of the sender.
type LoanRequest struct {
	Organisation string
	Need         float64 // tokens that the requests waiting at the sender lack
	Level        float64
	Share        Share
	Demand       float64
	Fanout       int      // number of holders asked at the same time; 0: the message only extends or returns loans
	Extend       []uint64 // IDs of loans from the receiver that should be extended
	Returns      []LoanReturn
}

// LoanReturn returns a part of a running loan, or all of it, to the lender. The borrower no longer uses the part. A return that
// arrives twice or out of order does no harm: the lender takes the smaller remaining share, and no more tokens than the burst
// share that came back.
type LoanReturn struct {
	ID        uint64
	Remaining Share // of the loan, still with the borrower
	Tokens    float64
}

// Loan is a granted loan. The lender has already subtracted it from its own share and tokens.
type Loan struct {
	ID     uint64
	Share  Share
	Tokens float64
	Term   time.Duration
}

// LoanExtension merges running loans into one with a new ID and a new term. Term counts from the sending of the loan request.
type LoanExtension struct {
	IDs  []uint64
	ID   uint64
	Term time.Duration
}

// LoanResponse is the response to a LoanRequest.
type LoanResponse struct {
	Loan      *Loan
	Extended  *LoanExtension
	Returns   []LoanReturn // of loans that the receiver of the response had granted to its sender
	Borrowers []string     // other holders that the sender has lent to; they may have tokens
}

// NewLoanRequest returns a request for a loan of the needed tokens from a lender. fanout is the number of holders asked at the same
// time. If there are many loans from the lender, the request also extends them, which merges them into one.
func (l *Ledger) NewLoanRequest(now clock.Instant, organisation, lender string, need float64, fanout int) LoanRequest {
	a := l.account(now, organisation)
	if a == nil {
		return LoanRequest{Organisation: organisation, Fanout: fanout}
	}
	request := LoanRequest{
		Organisation: organisation, Need: need, Level: a.level, Share: a.share(), Demand: a.demandAt(now), Fanout: fanout,
	}
	request.Returns = l.returnExcessBurst(a, lender)
	request.Share = a.share()
	if countLoans(a.borrowed, lender) >= mergeThreshold {
		for _, x := range a.borrowed {
			if x.peer == lender {
				request.Extend = append(request.Extend, x.ID)
			}
		}
	}
	return request
}

// Grant handles a loan request and returns the response. It first returns loans that it has borrowed from the sender, and for the
// rest it lends from its own share.
func (l *Ledger) Grant(now clock.Instant, from string, request LoanRequest) LoanResponse {
	var response LoanResponse
	a := l.account(now, request.Organisation)
	if a == nil {
		return response
	}
	for _, r := range request.Returns {
		l.applyReturn(a, from, r)
	}
	response.Extended = l.extend(now, a, from, request.Extend)
	for _, other := range a.borrowers() {
		if other != from {
			response.Borrowers = append(response.Borrowers, other)
		}
	}
	if request.Fanout == 0 {
		return response // the request only returns or extends loans
	}
	rate, tokens := l.transferAmounts(now, a, request)
	want := Share{rate, math.Max(tokens, l.proportionalBurst(a, rate)+l.missingBurst(a, request))}
	for i := len(a.borrowed) - 1; i >= 0 && (want.Rate > 0 || tokens > 0); i-- {
		if a.borrowed[i].peer != from {
			continue
		}
		if r, returned, ok := l.returnLoan(a, i, want, tokens); ok {
			response.Returns = append(response.Returns, r)
			want = Share{math.Max(0, want.Rate-returned.Rate), math.Max(0, want.Burst-returned.Burst)}
			tokens = math.Max(0, tokens-r.Tokens)
		}
	}
	response.Loan = l.lend(now, a, from, want, tokens)
	return response
}

// missingBurst returns the burst share to lend so that the sender's burst is in proportion to its rate, as far as this holder
// has more burst than its own rate needs.
func (l *Ledger) missingBurst(a *account, request LoanRequest) float64 {
	mine := a.share()
	lack := l.proportionalBurst(a, request.Share.Rate) - request.Share.Burst
	spare := math.Min(mine.Burst-l.proportionalBurst(a, mine.Rate), a.unusedShare().Burst)
	if lack = math.Min(lack, spare); lack < minTokenLoan*a.limits.Burst {
		return 0
	}
	return lack / float64(request.Fanout)
}

// proportionalBurst returns the burst that is in proportion to a part of the rate.
func (l *Ledger) proportionalBurst(a *account, rate float64) float64 {
	if a.limits.Rate <= 0 {
		return 0
	}
	return a.limits.Burst * rate / a.limits.Rate
}

// unusedShare returns the share that is neither lent nor needed to hold the tokens here and the expected refunds.
func (a *account) unusedShare() Share {
	s := a.share()
	return Share{s.Rate, math.Max(0, s.Burst-math.Max(0, a.level)-refundReserve*a.openTokens)}
}

// transferAmounts returns the rate and tokens that should move to the sender of a loan request. The rate is divided in
// proportion to the demand of both holders, the tokens in proportion to their burst shares, with at least the tokens that
// waiting requests lack.
func (l *Ledger) transferAmounts(now clock.Instant, a *account, request LoanRequest) (rate, tokens float64) {
	mine, demand := a.share(), a.demandAt(now)
	level, theirs := math.Max(0, a.level), math.Max(0, request.Level)
	part := 1 / math.Max(1, float64(request.Fanout))
	pair := mine.Rate + request.Share.Rate
	smallest := minRateLoan
	if level >= fullFraction*mine.Burst && demand < 0.5*mine.Rate {
		smallest = minIdleRateLoan
	}
	if sum := demand + request.Demand; sum > 0 {
		rate = pair*request.Demand/sum - request.Share.Rate
	}
	if rate < smallest*pair {
		rate = 0
	}
	rate *= part
	if bursts := mine.Burst + request.Share.Burst; bursts > 0 {
		tokens = (level+theirs)*request.Share.Burst/bursts - theirs
		tokens = math.Min(tokens, (1-keptFraction)*level)
		if tokens < minTokenLoan*bursts {
			tokens = 0
		}
		tokens *= part
	}
	if mine.Rate > 0 {
		// Rate moves together with its part of the tokens, so that the ratio of tokens to rate stays the same at this holder.
		tokens = math.Max(tokens, level*math.Min(1, rate/mine.Rate))
	}
	return rate, math.Min(math.Max(tokens, request.Need), level)
}

// lend subtracts a loan from the account and returns it, or returns nil if nothing can be lent.
func (l *Ledger) lend(now clock.Instant, a *account, to string, want Share, tokens float64) *Loan {
	mine := a.share()
	tokens = math.Max(0, math.Min(tokens, a.level))
	tokens = math.Min(tokens, mine.Burst)
	// The burst share that the remaining tokens need is kept.
	spare := mine.Burst - math.Max(0, a.level-tokens)
	give := Share{
		Rate:  math.Max(0, math.Min(want.Rate, mine.Rate)),
		Burst: math.Max(tokens, math.Min(want.Burst, spare)),
	}
	if give.Rate <= 0 && give.Burst <= 0 {
		return nil
	}
	if countLoans(a.lent, to) >= maxLoansPerPair {
		return nil
	}
	term := l.opts.Term
	if free := a.own.minus(a.lentSum); free.Rate < give.Rate || free.Burst < give.Burst {
		term = min(term, l.relendTerm(now, a))
		if term < minRelendTerm {
			return nil
		}
	}
	l.nextLoan++
	if !l.disabled.subtractLoans {
		a.lent = append(a.lent, loan{l.nextLoan, to, give, now.Add(term + l.opts.Margin)})
		a.updateSums()
		a.level -= tokens
		a.clip()
	}
	return &Loan{ID: l.nextLoan, Share: give, Tokens: tokens, Term: term}
}

// relendTerm returns the longest term of a loan that is backed by borrowed loans: it must end before any of them.
func (l *Ledger) relendTerm(now clock.Instant, a *account) time.Duration {
	if l.disabled.boundRelendTerm {
		return l.opts.Term
	}
	shortest := time.Duration(math.MaxInt64)
	for _, x := range a.borrowed {
		shortest = min(shortest, x.expires.Sub(now))
	}
	return shortest - l.opts.Margin
}

// extend merges loans to a borrower into one with a new term, unless the account no longer has the share that it lent. If the
// response is lost, the borrower still stops at the old end of the loans, which is earlier.
func (l *Ledger) extend(now clock.Instant, a *account, to string, ids []uint64) *LoanExtension {
	merged := loan{peer: to}
	var found []uint64
	for _, x := range a.lent {
		if x.peer == to && slices.Contains(ids, x.ID) {
			found = append(found, x.ID)
			merged.Share = merged.plus(x.Share)
			merged.expires = max(merged.expires, x.expires)
		}
	}
	if len(found) == 0 {
		return nil
	}
	term := l.opts.Term
	if free := a.own.minus(a.lentSum); free.Rate < 0 || free.Burst < 0 {
		if total := free.plus(a.borrowedSum); total.Rate < 0 || total.Burst < 0 {
			return nil
		}
		term = min(term, l.relendTerm(now, a))
		if term < minRelendTerm {
			return nil
		}
	}
	l.nextLoan++
	merged.ID = l.nextLoan
	merged.expires = max(merged.expires, now.Add(term+l.opts.Margin))
	a.lent = slices.DeleteFunc(a.lent, func(x loan) bool { return x.peer == to && slices.Contains(found, x.ID) })
	a.lent = append(a.lent, merged)
	a.updateSums()
	return &LoanExtension{found, merged.ID, term}
}

// acceptExtension replaces the extended loans, as far as they still exist here, by one loan.
func (l *Ledger) acceptExtension(asked clock.Instant, a *account, from string, e LoanExtension) {
	merged := loan{ID: e.ID, peer: from}
	rest := slices.DeleteFunc(slices.Clone(a.borrowed), func(x loan) bool {
		found := x.peer == from && slices.Contains(e.IDs, x.ID)
		if found {
			merged.Share = merged.plus(x.Share)
			merged.expires = max(merged.expires, asked.Add(e.Term))
		}
		return found
	})
	if len(rest) == len(a.borrowed) {
		return
	}
	a.borrowed = append(rest, merged)
	a.updateSums()
}

// returnLoan returns up to the wanted share of the borrowed loan i, with tokens. It returns the message for the lender and the
// returned share, and false if nothing can be returned.
func (l *Ledger) returnLoan(a *account, i int, want Share, tokens float64) (LoanReturn, Share, bool) {
	x, mine := &a.borrowed[i], a.share()
	level := math.Max(0, a.level)
	tokens = math.Min(tokens, math.Min(x.Burst, level))
	returned := Share{
		Rate:  math.Max(0, math.Min(want.Rate, math.Min(x.Rate, mine.Rate))),
		Burst: math.Max(0, math.Min(math.Max(want.Burst, tokens), math.Min(x.Burst, mine.Burst))),
	}
	if returned.Rate < negligible && returned.Burst < negligible {
		return LoanReturn{}, Share{}, false
	}
	// Tokens that exceed the remaining burst share are returned as well.
	tokens = math.Min(returned.Burst, math.Max(tokens, level-(mine.Burst-returned.Burst)))
	x.Share = x.minus(returned)
	r := LoanReturn{x.ID, x.Share, tokens}
	if x.Rate < negligible && x.Burst < negligible {
		a.borrowed = slices.Delete(a.borrowed, i, i+1)
	}
	a.updateSums()
	a.level -= tokens
	a.clip()
	return r, returned, true
}

// applyReturn applies the return of a part of a loan to its lender. A return after the loan's term is ignored: the share is
// already back and accrues tokens, and the returned ones would come on top.
func (l *Ledger) applyReturn(a *account, from string, r LoanReturn) {
	i := slices.IndexFunc(a.lent, func(x loan) bool { return x.peer == from && x.ID == r.ID })
	if i < 0 {
		if l.disabled.rejectLateReturns {
			a.level += r.Tokens
		}
		return
	}
	x := &a.lent[i]
	left := x.min(r.Remaining)
	tokens := math.Min(r.Tokens, x.Burst-left.Burst)
	if l.disabled.acceptReturnOnce {
		tokens = r.Tokens
	}
	x.Share = left
	if left.Rate < negligible && left.Burst < negligible {
		a.lent = slices.Delete(a.lent, i, i+1)
	}
	a.updateSums()
	a.level += math.Max(0, tokens)
	a.clip()
}

// Accept applies the response to a loan request that was sent at the time asked. A response that arrives twice is applied once.
func (l *Ledger) Accept(now, asked clock.Instant, from, organisation string, response LoanResponse) {
	a := l.account(now, organisation)
	if a == nil {
		return
	}
	for _, r := range response.Returns {
		l.applyReturn(a, from, r)
	}
	if response.Extended != nil {
		l.acceptExtension(asked, a, from, *response.Extended)
	}
	if response.Loan != nil {
		l.acceptLoan(now, asked, a, from, *response.Loan)
	}
}

// acceptLoan adds a loan unless its term has ended or it was added before.
func (l *Ledger) acceptLoan(now, asked clock.Instant, a *account, from string, x Loan) {
	until := asked.Add(x.Term)
	if l.disabled.termFromRequest {
		until = now.Add(x.Term)
	}
	if until <= now {
		return
	}
	key := loanKey{from, x.ID}
	if _, ok := a.acceptedLoans[key]; ok && !l.disabled.acceptLoanOnce {
		return
	}
	if a.acceptedLoans == nil {
		a.acceptedLoans = map[loanKey]clock.Instant{}
	}
	a.acceptedLoans[key] = until
	a.borrowed = append(a.borrowed, loan{x.ID, from, x.Share, until})
	a.updateSums()
	a.level += x.Tokens
	a.clip()
}

// countLoans returns the number of loans with a holder.
func countLoans(loans []loan, other string) int {
	n := 0
	for _, x := range loans {
		if x.peer == other {
			n++
		}
	}
	return n
}
