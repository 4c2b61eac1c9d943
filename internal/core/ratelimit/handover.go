package ratelimit

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// HandedLoan is a loan granted by a holder that hands its slots over.
type HandedLoan struct {
	ID        uint64
	Borrower  string
	Share     Share
	Remaining time.Duration // time until the loan expires at the lender, its margin included
}

// HandedAccount is an organisation's state at a holder that hands its slots over.
type HandedAccount struct {
	Organisation string
	Level        float64 // tokens; negative: debt
	Lent         []HandedLoan
}

// HandedSlot is a slot that is handed over. For organisations without a HandedAccount, the slot has accrued tokens for Age under
// the configuration with the given Revision.
type HandedSlot struct {
	Slot     Slot
	Age      time.Duration
	Revision int64
}

// HandOver ends the use of all slots and loans. It returns the slots and accounts for the next owner of the slots, and the
// messages that return the borrowed loans, by lender.
func (l *Ledger) HandOver(now clock.Instant) ([]HandedSlot, []HandedAccount, map[string][]LoanRequest) {
	returns := map[string][]LoanRequest{}
	var handed []HandedAccount
	for name, a := range l.accounts {
		a.advance(now)
		for i := len(a.borrowed) - 1; i >= 0; i-- {
			x := a.borrowed[i]
			if r, _, ok := l.returnLoan(a, i, x.Share, 0); ok {
				returns[x.peer] = append(returns[x.peer], LoanRequest{Organisation: name, Returns: []LoanReturn{r}})
			}
		}
		// Borrowed shares that could not be returned are needed for loans to others. Those loans end first, so neither is handed
		// over as own share.
		out := HandedAccount{Organisation: name, Level: min(a.level, max(0, a.own.Burst-a.lentSum.Burst))}
		for _, x := range a.lent {
			out.Lent = append(out.Lent, HandedLoan{x.ID, x.peer, x.Share, x.expires.Sub(now)})
		}
		handed = append(handed, out)
		a.own, a.level = Share{}, min(0, a.level)
		a.lent, a.borrowed = nil, nil
		a.updateSums()
		a.epoch++
	}
	var slots []HandedSlot
	for slot, state := range l.slots {
		handedSlot := HandedSlot{Slot: slot}
		if n := len(l.history); n > 0 {
			handedSlot.Age = now.Sub(max(state.from, l.history[n-1].from))
			handedSlot.Revision = l.history[n-1].conf.Revision()
		}
		slots = append(slots, handedSlot)
	}
	clear(l.slots)
	return slots, handed, returns
}

// TakeOver starts the use of slots with the state that their former owner handed over. The former owner no longer uses them.
func (l *Ledger) TakeOver(now clock.Instant, slots []HandedSlot, accounts []HandedAccount) {
	handed := map[string]bool{}
	for _, h := range accounts {
		handed[h.Organisation] = true
		l.account(now, h.Organisation)
	}
	for _, x := range slots {
		if l.slots[x.Slot].usable {
			continue
		}
		l.AddSlot(now, x.Slot)
		if conf := l.current(); conf == nil || conf.Revision() != x.Revision {
			continue
		}
		l.slots[x.Slot] = slotState{usable: true, from: now.Add(-x.Age)}
		for name, a := range l.accounts {
			if share := a.shareOf(x.Slot); !handed[name] {
				a.level += math.Min(share.Burst, share.Rate*x.Age.Seconds())
				a.clip()
			}
		}
	}
	for _, h := range accounts {
		a := l.account(now, h.Organisation)
		if a == nil {
			continue
		}
		for _, g := range h.Lent {
			a.lent = append(a.lent, loan{g.ID, g.Borrower, g.Share, now.Add(g.Remaining + l.opts.Margin)})
		}
		a.updateSums()
		a.level += h.Level
		a.clip()
	}
}

// HandOverSlot ends the use of one slot, while the holder keeps running. It reports false and changes nothing if the slot's
// share is needed for loans to others. Calling TakeOver at this holder with the result undoes it.
func (l *Ledger) HandOverSlot(now clock.Instant, slot Slot) (HandedSlot, []HandedAccount, bool) {
	if !l.slots[slot].usable || len(l.history) == 0 {
		return HandedSlot{}, nil, false
	}
	for _, a := range l.accounts {
		a.advance(now)
		if left := a.own.minus(a.lentSum).minus(a.shareOf(slot)); left.Rate < -negligible || left.Burst < -negligible {
			return HandedSlot{}, nil, false
		}
	}
	last := l.history[len(l.history)-1]
	out := HandedSlot{Slot: slot, Age: now.Sub(max(l.slots[slot].from, last.from)), Revision: last.conf.Revision()}
	var handed []HandedAccount
	for name, a := range l.accounts {
		share := a.shareOf(slot)
		if share == (Share{}) {
			continue
		}
		level := 0.0
		if mine := a.share(); mine.Burst > 0 && a.level > 0 {
			level = math.Min(share.Burst, a.level*share.Burst/mine.Burst)
		}
		a.own = a.own.minus(share)
		a.level -= level
		a.clip()
		handed = append(handed, HandedAccount{Organisation: name, Level: level})
	}
	delete(l.slots, slot)
	return out, handed, true
}

// shareOf returns the organisation's share at a slot, zero if it has none.
func (a *account) shareOf(slot Slot) Share {
	for _, x := range a.entitled {
		if x.Slot == slot {
			return x.Share
		}
	}
	return Share{}
}
