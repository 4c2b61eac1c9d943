package limits

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Services between instances.
const (
	serviceBorrow   = "limits.borrow"
	serviceDrop     = "limits.drop"
	serviceHandover = "limits.handover"
	serviceHeld     = "limits.held"
)

// amount makes a number from a message usable: a negative or undefined one counts as 0.
func amount(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

func shareToWire(s ratelimit.Share) *wire.RateShare {
	if s == (ratelimit.Share{}) {
		return nil
	}
	return &wire.RateShare{Rate: s.Rate, Burst: s.Burst}
}

func shareFromWire(s *wire.RateShare) ratelimit.Share {
	return ratelimit.Share{Rate: amount(s.GetRate()), Burst: amount(s.GetBurst())}
}

func returnsToWire(in []ratelimit.LoanReturn) []*wire.LoanReturn {
	var out []*wire.LoanReturn
	for _, r := range in {
		out = append(out, &wire.LoanReturn{Id: r.ID, Tokens: r.Tokens, Left: shareToWire(r.Remaining)})
	}
	return out
}

func returnsFromWire(in []*wire.LoanReturn) []ratelimit.LoanReturn {
	var out []ratelimit.LoanReturn
	for _, r := range in {
		out = append(out, ratelimit.LoanReturn{ID: r.GetId(), Tokens: amount(r.GetTokens()), Remaining: shareFromWire(r.GetLeft())})
	}
	return out
}

// AskToWire encodes an ask of a borrow call.
func AskToWire(a ratelimit.LoanRequest) *wire.LoanAsk {
	return &wire.LoanAsk{
		Organisation: a.Organisation, Need: a.Need, Level: a.Level, Share: shareToWire(a.Share),
		Demand: a.Demand, Fanout: uint32(a.Fanout), Extend: a.Extend, Returns: returnsToWire(a.Returns),
	}
}

func askFromWire(a *wire.LoanAsk) ratelimit.LoanRequest {
	return ratelimit.LoanRequest{
		Organisation: a.GetOrganisation(), Need: amount(a.GetNeed()), Level: amount(a.GetLevel()), Share: shareFromWire(a.GetShare()),
		Demand: amount(a.GetDemand()), Fanout: int(a.GetFanout()), Extend: a.GetExtend(), Returns: returnsFromWire(a.GetReturns()),
	}
}

// AnswerToWire encodes the answer to an ask.
func AnswerToWire(a ratelimit.LoanResponse) *wire.LoanAnswer {
	out := &wire.LoanAnswer{Returns: returnsToWire(a.Returns), Holders: a.Borrowers}
	if a.Loan != nil {
		out.Loan = &wire.Loan{
			Id: a.Loan.ID, Share: shareToWire(a.Loan.Share), Tokens: a.Loan.Tokens, TermNanos: int64(a.Loan.Term),
		}
	}
	if e := a.Extended; e != nil {
		out.Extended = &wire.LoanExtension{Ids: e.IDs, Id: e.ID, TermNanos: int64(e.Term)}
	}
	return out
}

func answerFromWire(a *wire.LoanAnswer) ratelimit.LoanResponse {
	out := ratelimit.LoanResponse{Returns: returnsFromWire(a.GetReturns()), Borrowers: a.GetHolders()}
	if x := a.GetLoan(); x != nil {
		out.Loan = &ratelimit.Loan{
			ID: x.GetId(), Share: shareFromWire(x.GetShare()), Tokens: amount(x.GetTokens()), Term: time.Duration(x.GetTermNanos()),
		}
	}
	if e := a.GetExtended(); e != nil {
		out.Extended = &ratelimit.LoanExtension{IDs: e.GetIds(), ID: e.GetId(), Term: time.Duration(e.GetTermNanos())}
	}
	return out
}

func slotToWire(s ratelimit.Slot) *wire.SlotRef {
	return &wire.SlotRef{Region: s.Region, Index: uint32(s.Index)}
}

func slotFromWire(s *wire.SlotRef) ratelimit.Slot {
	return ratelimit.Slot{Region: s.GetRegion(), Index: int(s.GetIndex())}
}
