package ratelimit

import (
	"cmp"
	"math"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Rebalance returns the loan requests to send now, by lender. It is called once a second. The requests extend or return loans
// that end soon, and ask for more where needsMore says so, up to LoanRequestsPerSecond and lowest levels first. owners returns
// the other holders that own slots of the organisation.
func (l *Ledger) Rebalance(now clock.Instant, owners func(organisation string) []string) map[string][]LoanRequest {
	out := map[string][]LoanRequest{}
	var short []shortAccount
	for name, a := range l.accounts {
		a.advance(now)
		if a.needsMore(a.demandAt(now)) {
			short = append(short, shortAccount{name, fraction(a.level, a.share().Burst)})
			continue
		}
		if len(a.borrowed) > 0 {
			l.rebalanceAccount(now, name, a, nil, out)
		}
	}
	slices.SortFunc(short, func(a, b shortAccount) int {
		return cmp.Or(cmp.Compare(a.levelFraction, b.levelFraction), cmp.Compare(a.name, b.name))
	})
	left := l.opts.LoanRequestsPerSecond
	for _, x := range short {
		var lenders []string
		if left > 0 {
			lenders = owners(x.name)
			for _, other := range l.accounts[x.name].borrowers() {
				if !slices.Contains(lenders, other) {
					lenders = append(lenders, other)
				}
			}
			left -= len(lenders)
		}
		l.rebalanceAccount(now, x.name, l.accounts[x.name], lenders, out)
	}
	return out
}

// shortAccount is an organisation that needs more rate or tokens.
type shortAccount struct {
	name          string
	levelFraction float64 // level as a fraction of the burst share
}

// rebalanceAccount adds an organisation's loan requests to out: those that extend or return its loans, and those that ask for more.
func (l *Ledger) rebalanceAccount(now clock.Instant, name string, a *account, lenders []string, out map[string][]LoanRequest) {
	demand := a.demandAt(now)
	byLender := map[string]*LoanRequest{}
	requestTo := func(lender string) *LoanRequest {
		if byLender[lender] == nil {
			byLender[lender] = &LoanRequest{Organisation: name}
		}
		return byLender[lender]
	}
	for _, lender := range a.lenders() {
		if returns := l.returnExcessBurst(a, lender); len(returns) > 0 {
			requestTo(lender).Returns = returns
		}
	}
	for i := 0; i < len(a.borrowed); {
		x := a.borrowed[i]
		if x.expires.Sub(now) > renewBefore {
			i++
			continue
		}
		if demand > a.share().Rate-x.Rate || demand > 0.5*a.share().Rate {
			requestTo(x.peer).Extend = append(requestTo(x.peer).Extend, x.ID)
			i++
			continue
		}
		r, _, ok := l.returnLoan(a, i, x.Share, a.level*fraction(x.Burst, a.share().Burst))
		if ok {
			requestTo(x.peer).Returns = append(requestTo(x.peer).Returns, r)
		}
		if r.Remaining.Rate > 0 || r.Remaining.Burst > 0 || !ok {
			i++
		}
	}
	for _, lender := range lenders {
		requestTo(lender).Fanout = len(lenders)
	}
	for lender, x := range byLender {
		x.Level, x.Share, x.Demand = a.level, a.share(), demand
		out[lender] = append(out[lender], *x)
	}
}

// Borrowers returns the holders to which this one has lent a share of an organisation. They may have tokens when this one has
// none, even if they own no slot.
func (l *Ledger) Borrowers(organisation string) []string {
	if a := l.accounts[organisation]; a != nil {
		return a.borrowers()
	}
	return nil
}

func (a *account) borrowers() []string {
	var out []string
	for _, x := range a.lent {
		if !slices.Contains(out, x.peer) {
			out = append(out, x.peer)
		}
	}
	return out
}

// lenders returns the holders from which this one has borrowed.
func (a *account) lenders() []string {
	var out []string
	for _, x := range a.borrowed {
		if !slices.Contains(out, x.peer) {
			out = append(out, x.peer)
		}
	}
	return out
}

// ReturnExcess returns the burst share that was borrowed from a holder and is no longer needed. The caller sends the result to
// the lender at once: until it arrives, the lender can hold fewer tokens. It reports false if there is nothing to return.
func (l *Ledger) ReturnExcess(now clock.Instant, organisation, lender string) (LoanRequest, bool) {
	a := l.account(now, organisation)
	if a == nil {
		return LoanRequest{}, false
	}
	returns := l.returnExcessBurst(a, lender)
	return LoanRequest{Organisation: organisation, Returns: returns}, len(returns) > 0
}

// returnExcessBurst returns the burst share borrowed from a holder that is neither in proportion to the rate share here nor needed
// for the tokens and expected refunds.
func (l *Ledger) returnExcessBurst(a *account, lender string) []LoanReturn {
	excess := math.Min(a.unusedShare().Burst, a.share().Burst-l.proportionalBurst(a, a.share().Rate))
	if excess < minTokenLoan*a.limits.Burst {
		return nil
	}
	var out []LoanReturn
	for i := len(a.borrowed) - 1; i >= 0 && excess > 0; i-- {
		if a.borrowed[i].peer != lender {
			continue
		}
		if r, returned, ok := l.returnLoan(a, i, Share{0, excess}, 0); ok {
			out = append(out, r)
			excess -= returned.Burst
		}
	}
	return out
}

// needsMore reports whether the holder should request a loan although no request waits for tokens. Most organisations use little
// of their rate and never need one.
func (a *account) needsMore(demand float64) bool {
	s := a.share()
	if demand <= 0 || a.level >= fullFraction*s.Burst && s.Burst >= 0.8*a.limits.Burst*fraction(s.Rate, a.limits.Rate) {
		return false
	}
	return a.level < 0.5*s.Burst || demand > 0.5*s.Rate
}

// fraction returns a/b, at most 1, and 0 if b is not positive.
func fraction(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return math.Min(1, a/b)
}
