package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

func drawTerms(t *rapid.T, regions []Region, label string) Limits {
	terms := Limits{
		Rate:  rapid.Float64Range(0, 50_000).Draw(t, label+" rate"),
		Burst: rapid.Float64Range(0, 500_000).Draw(t, label+" burst"),
	}
	switch rapid.IntRange(0, 2).Draw(t, label+" kind") {
	case 1:
		terms.Home = regions[rapid.IntRange(0, len(regions)-1).Draw(t, label+" home")].Name
	case 2:
		terms.Split = map[string]float64{}
		left := 1.0
		for i, r := range regions {
			part := left
			if i < len(regions)-1 {
				part = left * rapid.Float64Range(0, 1).Draw(t, label+" part")
			}
			terms.Split[r.Name] = part
			left -= part
		}
	}
	return terms
}

func sumOf(shares map[Slot]Share) Share {
	var sum Share
	for _, s := range shares {
		sum = sum.plus(s)
	}
	return sum
}

// Entitlements must add up to the declared rate and burst, and must not exceed any previous limits that a slot owner may still use.
func TestEntitlementsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var regions []Region
		for i := range rapid.IntRange(1, 5).Draw(t, "regions") {
			regions = append(regions, Region{fmt.Sprintf("r%d", i), rapid.IntRange(1, 30).Draw(t, "slots")})
		}
		org := Organisation{Name: rapid.StringN(1, 8, 8).Draw(t, "name"), Current: drawTerms(t, regions, "current")}
		plain := Entitlements(org, regions)
		sum := sumOf(plain)
		if math.Abs(sum.Rate-org.Current.Rate) > 1e-6 || math.Abs(sum.Burst-org.Current.Burst) > 1e-6 {
			t.Fatalf("entitlements add up to %v, want %v", sum, org.Current)
		}
		for range rapid.IntRange(0, 3).Draw(t, "previous") {
			org.Previous = append(org.Previous, drawTerms(t, regions, "previous"))
		}
		limited := Entitlements(org, regions)
		for _, previous := range org.Previous {
			before := Entitlements(Organisation{Name: org.Name, Current: previous}, regions)
			for slot, s := range limited {
				if s.Rate > before[slot].Rate || s.Burst > before[slot].Burst || s.Rate > plain[slot].Rate || s.Burst > plain[slot].Burst {
					t.Fatalf("slot %v has %v, before %v, now %v", slot, s, before[slot], plain[slot])
				}
			}
		}
	})
}

// The state of a holder must stay small: at 34,000 organisations a slot may serve only a few hundred of them.
func TestSmallOrganisationsUseOneSlotPerRegion(t *testing.T) {
	regions := []Region{{"a", 78}, {"b", 78}, {"c", 78}, {"d", 78}, {"e", 78}}
	perSlot := map[Slot]int{}
	const organisations = 5000
	for i := range organisations {
		for slot := range Entitlements(Organisation{Name: fmt.Sprintf("org-%d", i), Current: Limits{Rate: 400, Burst: 4000}}, regions) {
			perSlot[slot]++
		}
	}
	for slot, n := range perSlot {
		if mean := organisations / 78; n > 2*mean || n < mean/2 {
			t.Fatalf("slot %v has %d organisations, mean %d", slot, n, mean)
		}
	}
}

// Accounts must exist for active organisations only. They are removed when idle and full, and recreated with the tokens that have
// accrued meanwhile.
func TestStateFollowsActiveOrganisations(t *testing.T) {
	regions := []Region{{"lima", 1}}
	l := New(Options{Self: "lima-1"})
	now := clock.Instant(time.Hour)
	l.Configure(now, &testConfig{1, regions, Organisation{Name: organisation, Current: Limits{Rate: 10, Burst: 100}}})
	l.AddSlot(now, Slot{"lima", 0})
	now = now.Add(4 * time.Second)
	if u, _ := l.AccountState(now, organisation); math.Abs(u.Level-40) > 1e-9 {
		t.Fatalf("level %v after 4 s, want 40: an added slot starts empty", u.Level)
	}
	l.Sweep(now)
	if l.Accounts() != 1 {
		t.Fatal("an account that is not full was dropped")
	}
	now = now.Add(time.Minute)
	l.Sweep(now)
	if l.Accounts() != 0 {
		t.Fatal("an idle full account was kept")
	}
	// An increased burst brings no tokens at once, even if the organisation is idle.
	now = now.Add(time.Minute)
	l.Configure(now, &testConfig{2, regions, Organisation{Name: organisation, Current: Limits{Rate: 10, Burst: 1000}}})
	now = now.Add(time.Second)
	if u, _ := l.AccountState(now, organisation); math.Abs(u.Level-110) > 1e-9 {
		t.Fatalf("level %v a second after the burst was increased, want 110", u.Level)
	}
	if _, ok := l.AccountState(now, "nobody"); ok || l.Accounts() != 1 {
		t.Fatal("an account was created for an undeclared organisation")
	}
}

// Debt must reduce later tokens, and a charge must become invalid if a loan that may have paid for it expired while the process was
// paused.
func TestDebtAndValidity(t *testing.T) {
	regions := []Region{{"lima", 1}, {"cusco", 1}}
	conf := &testConfig{1, regions, Organisation{Name: organisation, Current: Limits{Rate: 20, Burst: 200}}}
	now := clock.Instant(time.Hour)
	lender, borrower := New(Options{Self: "lima-1"}), New(Options{Self: "cusco-1", FirstLoanID: 1 << 40})
	for l, slot := range map[*Ledger]Slot{lender: {"lima", 0}, borrower: {"cusco", 0}} {
		l.Configure(now, conf)
		l.AddSlot(now, slot)
	}
	now = now.Add(20 * time.Second)
	response := lender.Grant(now, "cusco-1", borrower.NewLoanRequest(now, organisation, "lima-1", 50, 1))
	borrower.Accept(now, now, "lima-1", organisation, response)
	id, ok := borrower.Admit(now, organisation, 150)
	if !ok || !borrower.ChargeValid(now, id) {
		t.Fatal("a loan of 50 tokens did not admit 150 with an own level of 100")
	}
	second, ok := borrower.Admit(now, organisation, 0)
	if !ok {
		t.Fatal("a request for 0 tokens was rejected")
	}
	now = now.Add(time.Minute) // the process is paused
	if borrower.ChargeValid(now, id) {
		t.Fatal("the charge is valid although its loan ended long ago")
	}
	borrower.Settle(now, second, 300)
	if u, _ := borrower.AccountState(now, organisation); u.Level >= -199 {
		t.Fatalf("level %v after a debt of 300 with a level of at most 100", u.Level)
	}
	if resp := borrower.Grant(now, "lima-1", lender.NewLoanRequest(now, organisation, "cusco-1", 10, 1)); resp.Loan != nil && resp.Loan.Tokens > 0 {
		t.Fatal("a holder in debt lent tokens")
	}
}

// Rebalancing of many organisations must stay within its share of the control traffic and serve those with the lowest level first.
func TestRebalancingIsBounded(t *testing.T) {
	l, now := owner("a-1")
	for i, name := range names(500) {
		l.RecordDemand(now, name, 500)
		if _, ok := l.Admit(now, name, float64(500+i/2)); !ok {
			t.Fatal("an account with enough tokens rejected a request")
		}
	}
	batches := l.Rebalance(now, func(string) []string { return []string{"b-1", "c-1"} })
	if len(batches["b-1"]) != DefaultLoanRequestsPerSecond/2 || len(batches["c-1"]) != DefaultLoanRequestsPerSecond/2 {
		t.Fatalf("%d and %d loan requests, want half of the bound each", len(batches["b-1"]), len(batches["c-1"]))
	}
	for _, request := range batches["b-1"] {
		if request.Level > 800-500-480/2 {
			t.Fatalf("a loan was requested for %s with a level of %v before others with less", request.Organisation, request.Level)
		}
	}
}
