package ratelimit

import (
	"cmp"
	"math"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Rebalance returns the asks of this second by giver: extensions and returns of loans that end soon, and requests for more
// where the demand exceeds the share, the emptiest first, up to LoanRequestsPerSecond. owners gives the holders of the organisation's slots without this one.
func (l *Ledger) Rebalance(now clock.Instant, owners func(organisation string) []string) map[string][]LoanRequest {
	out := map[string][]LoanRequest{}
	var short []shortAccount
	for name, a := range l.accounts {
		a.advance(now)
		if a.needsMore(a.demandAt(now)) {
			short = append(short, shortAccount{name, part(a.level, a.share().Burst)})
			continue
		}
		if len(a.taken) > 0 {
			l.rebalance(now, name, a, nil, out)
		}
	}
	slices.SortFunc(short, func(a, b shortAccount) int {
		return cmp.Or(cmp.Compare(a.filled, b.filled), cmp.Compare(a.name, b.name))
	})
	left := l.opts.LoanRequestsPerSecond
	for _, x := range short {
		var givers []string
		if left > 0 {
			givers = owners(x.name)
			for _, other := range l.accounts[x.name].borrowers() {
				if !slices.Contains(givers, other) {
					givers = append(givers, other)
				}
			}
			left -= len(givers)
		}
		l.rebalance(now, x.name, l.accounts[x.name], givers, out)
	}
	return out
}

// shortAccount is an organisation that needs more.
type shortAccount struct {
	name   string
	filled float64 // level by burst share
}

// rebalance returns an organisation's asks: about its loans, and for more from the givers.
func (l *Ledger) rebalance(now clock.Instant, name string, a *account, givers []string, out map[string][]LoanRequest) {
	demand := a.demandAt(now)
	byGiver := map[string]*LoanRequest{}
	ask := func(giver string) *LoanRequest {
		if byGiver[giver] == nil {
			byGiver[giver] = &LoanRequest{Organisation: name}
		}
		return byGiver[giver]
	}
	for _, giver := range a.givers() {
		if returns := l.returnExcess(a, giver); len(returns) > 0 {
			ask(giver).Returns = returns
		}
	}
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
		r, _, ok := l.giveBack(a, i, x.Share, a.level*part(x.Burst, a.share().Burst))
		if ok {
			ask(x.other).Returns = append(ask(x.other).Returns, r)
		}
		if r.Remaining.Rate > 0 || r.Remaining.Burst > 0 || !ok {
			i++
		}
	}
	for _, giver := range givers {
		ask(giver).Fanout = len(givers)
	}
	for giver, x := range byGiver {
		x.Level, x.Share, x.Demand = a.level, a.share(), demand
		out[giver] = append(out[giver], *x)
	}
}

// Borrowers returns the holders that this one has lent an organisation's share to. They may have tokens when this one has
// none, even if they own no slot.
func (l *Ledger) Borrowers(organisation string) []string {
	if a := l.accounts[organisation]; a != nil {
		return a.borrowers()
	}
	return nil
}

func (a *account) borrowers() []string {
	var out []string
	for _, x := range a.given {
		if !slices.Contains(out, x.other) {
			out = append(out, x.other)
		}
	}
	return out
}

// givers returns the holders that this one has taken loans from.
func (a *account) givers() []string {
	var out []string
	for _, x := range a.taken {
		if !slices.Contains(out, x.other) {
			out = append(out, x.other)
		}
	}
	return out
}

// ReturnExcess gives the burst share back that came with a holder's loan and is not needed any more. The caller sends the returns to
// the giver at once: until then its level is limited by the burst share that it lent.
func (l *Ledger) ReturnExcess(now clock.Instant, organisation, giver string) (LoanRequest, bool) {
	a := l.account(now, organisation)
	if a == nil {
		return LoanRequest{}, false
	}
	returns := l.returnExcess(a, giver)
	return LoanRequest{Organisation: organisation, Returns: returns}, len(returns) > 0
}

// returnExcess gives back burst share taken from a holder that exceeds what belongs to the rate share here and what the tokens
// and expected refunds need.
func (l *Ledger) returnExcess(a *account, giver string) []LoanReturn {
	excess := math.Min(a.free().Burst, a.share().Burst-l.burstFor(a, a.share().Rate))
	if excess < minTokens*a.total.Burst {
		return nil
	}
	var out []LoanReturn
	for i := len(a.taken) - 1; i >= 0 && excess > 0; i-- {
		if a.taken[i].other != giver {
			continue
		}
		if r, drop, ok := l.giveBack(a, i, Share{0, excess}, 0); ok {
			out = append(out, r)
			excess -= drop.Burst
		}
	}
	return out
}

// needsMore reports whether the holder should ask for more without a waiting request. Most organisations use little of their
// rate and never ask.
func (a *account) needsMore(demand float64) bool {
	s := a.share()
	if demand <= 0 || a.level >= fullLevel*s.Burst && s.Burst >= 0.8*a.total.Burst*part(s.Rate, a.total.Rate) {
		return false
	}
	return a.level < 0.5*s.Burst || demand > 0.5*s.Rate
}

func part(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return math.Min(1, a/b)
}
