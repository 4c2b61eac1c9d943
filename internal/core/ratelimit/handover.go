package ratelimit

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// HandedLoan is a loan given by a holder that hands its slots over.
type HandedLoan struct {
	ID        uint64
	Borrower  string
	Share     Share
	Remaining time.Duration // of the giver's count
}

// HandedAccount is an organisation's state at a holder that hands its slots over.
type HandedAccount struct {
	Organisation string
	Level        float64 // tokens; negative: debt
	Lent         []HandedLoan
}

// HandedSlot is a slot that is handed over. Organisations without a HandedAccount have filled up for Age under the
// configuration Revision.
type HandedSlot struct {
	Slot     Slot
	Age      time.Duration
	Revision int64
}

// HandOver ends the use of all slots and loans. It returns what the next owner of the slots needs, and the returns of taken
// loans by giver.
func (l *Ledger) HandOver(now clock.Instant) ([]HandedSlot, []HandedAccount, map[string][]LoanRequest) {
	returns := map[string][]LoanRequest{}
	var handed []HandedAccount
	for name, a := range l.accounts {
		a.advance(now)
		for i := len(a.taken) - 1; i >= 0; i-- {
			x := a.taken[i]
			if r, _, ok := l.giveBack(a, i, x.Share, 0); ok {
				returns[x.other] = append(returns[x.other], LoanRequest{Organisation: name, Returns: []LoanReturn{r}})
			}
		}
		// What remains taken backs loans given on: those end with it, so neither is handed over as own share.
		out := HandedAccount{Organisation: name, Level: min(a.level, max(0, a.own.Burst-a.givenS.Burst))}
		for _, x := range a.given {
			out.Lent = append(out.Lent, HandedLoan{x.ID, x.other, x.Share, x.until.Sub(now)})
		}
		handed = append(handed, out)
		a.own, a.level = Share{}, min(0, a.level)
		a.given, a.taken = nil, nil
		a.sum()
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

// TakeOver uses slots from now on with the state that their former owner handed over. The former owner has dropped them.
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
			a.given = append(a.given, loan{g.ID, g.Borrower, g.Share, now.Add(g.Remaining + l.opts.Margin)})
		}
		a.sum()
		a.level += h.Level
		a.clip()
	}
}

// HandOverSlot ends the use of one slot of a holder that goes on. It reports false, and changes nothing, if loans that were
// given depend on the slot. TakeOver at this holder undoes it.
func (l *Ledger) HandOverSlot(now clock.Instant, slot Slot) (HandedSlot, []HandedAccount, bool) {
	if !l.slots[slot].usable || len(l.history) == 0 {
		return HandedSlot{}, nil, false
	}
	for _, a := range l.accounts {
		a.advance(now)
		if left := a.own.minus(a.givenS).minus(a.shareOf(slot)); left.Rate < -negligible || left.Burst < -negligible {
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

// shareOf returns the organisation's share of a slot.
func (a *account) shareOf(slot Slot) Share {
	for _, x := range a.entitled {
		if x.Slot == slot {
			return x.Share
		}
	}
	return Share{}
}
