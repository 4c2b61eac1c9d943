package ratelimit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// manyOrganisations is a configuration that declares the same limits for every name.
type manyOrganisations struct {
	regions []Region
	terms   Limits
}

func (manyOrganisations) Revision() int64     { return 1 }
func (c manyOrganisations) Regions() []Region { return c.regions }
func (c manyOrganisations) Organisation(name string) (Organisation, bool) {
	return Organisation{Name: name, Current: c.terms}, true
}

var sizes = []int{340, 3_400, 34_000}

// fleetOfSlots returns the regions of the fleet size expected in two years: 5 regions and 390 instances.
func fleetOfSlots() []Region {
	return []Region{{"a", 78}, {"b", 78}, {"c", 78}, {"d", 78}, {"e", 78}}
}

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("organisation-%05d", i)
	}
	return out
}

// owner returns a ledger that owns all slots of region a, and a time at which all levels are full.
func owner(name string) (*Ledger, clock.Instant) {
	l := New(Options{Self: name})
	now := clock.Instant(time.Hour)
	l.Configure(now, manyOrganisations{fleetOfSlots(), Limits{Rate: 400, Burst: 4000}})
	for i := range 78 {
		l.AddSlot(now, Slot{"a", i})
	}
	return l, now.Add(time.Minute)
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, now := owner("a-1")
			orgs := names(n)
			for _, org := range orgs {
				l.RecordDemand(now, org, 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				org := orgs[i%n]
				l.RecordDemand(now, org, 1)
				if id, ok := l.Admit(now, org, 1); ok {
					l.Settle(now, id, 1)
				}
			}
		})
	}
}

// BenchmarkAccountBytes measures the memory that an active organisation takes.
func BenchmarkAccountBytes(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			orgs := names(n)
			for range b.N {
				l, now := owner("a-1")
				before := heap()
				for _, org := range orgs {
					l.RecordDemand(now, org, 1)
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "bytes/org")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLoan measures one loan: request, grant and acceptance, with the return of excess burst share.
func BenchmarkLoan(b *testing.B) {
	lender, now := owner("a-1")
	borrower := New(Options{Self: "b-1", FirstLoanID: 1 << 40})
	borrower.Configure(now, manyOrganisations{fleetOfSlots(), Limits{Rate: 400, Burst: 4000}})
	orgs := names(3_400)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(3 * time.Millisecond)
		org := orgs[i%len(orgs)]
		borrower.RecordDemand(now, org, 10)
		response := lender.Grant(now, "b-1", borrower.NewLoanRequest(now, org, "a-1", 10, 1))
		borrower.Accept(now, now, "a-1", org, response)
	}
}

// BenchmarkSecond measures what a holder does once a second for its active organisations: rebalancing and sweeping.
func BenchmarkSecond(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, now := owner("a-1")
			for _, org := range names(n) {
				l.RecordDemand(now, org, 500)
				l.Admit(now, org, 500)
			}
			owners := func(string) []string { return []string{"b-1", "c-1"} }
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				l.Rebalance(now, owners)
				l.Sweep(now)
			}
		})
	}
}
