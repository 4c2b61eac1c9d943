package capacity

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// declarations present the planned organisations to a ledger.
type declarations struct {
	revision int64
	regions  []ratelimit.Region
	byName   map[string]ratelimit.Organisation
}

var _ ratelimit.Configuration = (*declarations)(nil)

// Revision returns the revision.
func (d *declarations) Revision() int64 { return d.revision }

// Regions returns the regions with their slots.
func (d *declarations) Regions() []ratelimit.Region { return d.regions }

// Organisation returns a declared organisation.
func (d *declarations) Organisation(name string) (ratelimit.Organisation, bool) {
	o, ok := d.byName[name]
	return o, ok
}

func declare(organisations, slots int) *declarations {
	d := &declarations{revision: 1, byName: make(map[string]ratelimit.Organisation, organisations)}
	for region, count := range divide(slots) {
		d.regions = append(d.regions, ratelimit.Region{Name: regionName(region), Slots: count})
	}
	for i := range organisations {
		o := organisation(i)
		d.byName[o.Name] = ratelimit.Organisation{Name: o.Name, Current: ratelimit.Limits{Rate: o.Rate, Burst: o.Burst, Home: o.Home}}
	}
	return d
}

// warmUp is the time after which a new slot holds a full burst.
const warmUp = 2 * burstTime * time.Second

// measureLedger measures the state of active organisations at one holder, admissions and the work of each second.
func measureLedger(_ context.Context, o Options, s *Section) error {
	d := declare(o.Organisations, o.Daemons)
	if err := measureSlotShares(d, s); err != nil {
		return err
	}
	at := sizes(min(o.Organisations, maxActive))
	var bytes, admit, rebalance, configure []float64
	for _, n := range at {
		now := clock.Instant(time.Hour)
		ledger, size, err := heapOf(func() (*ratelimit.Ledger, error) { return activeLedger(d, n, now) })
		if err != nil {
			return err
		}
		bytes = append(bytes, size)
		random := rand.New(rand.NewPCG(1, uint64(n)))
		admit = append(admit, costOf(func() {
			now = now.Add(time.Microsecond)
			name := organisationName(random.IntN(n))
			ledger.RecordDemand(now, name, 1)
			if id, ok := ledger.Admit(now, name, 1); ok {
				ledger.ChargeValid(now, id)
				ledger.Settle(now, id, 1)
			}
		}).nanos)
		rebalance = append(rebalance, costOf(func() {
			now = now.Add(time.Millisecond)
			ledger.Rebalance(now, func(string) []string { return nil })
			ledger.Sweep(now)
		}).nanos)
		next := *d
		configure = append(configure, costOf(func() {
			next.revision++
			now = now.Add(time.Millisecond)
			ledger.Configure(now, &next)
		}).nanos)
	}
	const per = "active organisation"
	if err := errors.Join(
		s.add("account memory", "bytes", per, points(at, bytes)...),
		s.add("admission with settlement", "ns", per, points(at, admit)...),
		s.add("work of one second", "ns", per, points(at, rebalance)...),
		s.add("change of the configuration", "ns", per, points(at, configure)...),
	); err != nil {
		return err
	}
	return measureLoans(d, s)
}

// maxActive bounds the organisations that are active at one holder. A holder owns shares of a few hundred.
const maxActive = 4000

// activeLedger returns a holder of all slots, each organisation with an account.
func activeLedger(d *declarations, active int, now clock.Instant) (*ratelimit.Ledger, error) {
	l := ratelimit.New(ratelimit.Options{Self: "entry-0-000"})
	l.Configure(now.Add(-warmUp), d)
	for _, r := range d.regions {
		for i := range r.Slots {
			l.AddSlot(now.Add(-warmUp), ratelimit.Slot{Region: r.Name, Index: i})
		}
	}
	for i := range active {
		name := organisationName(i)
		l.RecordDemand(now, name, 10)
		if _, ok := l.Admit(now, name, 10); !ok {
			return nil, errors.Newf("organisation %s has no tokens", name)
		}
	}
	return l, nil
}

// measureSlotShares counts the organisations that one slot holds a share of.
func measureSlotShares(d *declarations, s *Section) error {
	at := sizes(len(d.byName))
	var mean, most []float64
	for _, n := range at {
		counts := map[ratelimit.Slot]int{}
		for i := range n {
			for slot := range ratelimit.Entitlements(d.byName[organisationName(i)], d.regions) {
				counts[slot]++
			}
		}
		total, largest, slots := 0, 0, 0
		for _, r := range d.regions {
			slots += r.Slots
		}
		for _, c := range counts {
			total += c
			largest = max(largest, c)
		}
		mean = append(mean, float64(total)/float64(slots))
		most = append(most, float64(largest))
	}
	if err := s.add("shares of a slot, mean", "shares", "organisation", points(at, mean)...); err != nil {
		return err
	}
	if err := s.add("shares of a slot, most", "shares", "organisation", points(at, most)...); err != nil {
		return err
	}
	name := organisationName(1)
	s.fact("entitlements of an organisation computed", costOf(func() { ratelimit.Entitlements(d.byName[name], d.regions) }).nanos, "ns")
	return nil
}

// measureLoans lets holders exchange loans for a minute of virtual time, all load of each organisation on one of them.
func measureLoans(d *declarations, s *Section) error {
	at := []int{4, 8, 16, 32}
	var messages, asks, bytes []float64
	for _, holders := range at {
		x := newExchange(d, holders)
		x.run()
		seconds := exchangeTime.Seconds()
		messages = append(messages, float64(x.messages)/seconds/float64(holders))
		asks = append(asks, float64(x.asks)/seconds/float64(holders))
		bytes = append(bytes, float64(x.bytes)/seconds/float64(holders))
	}
	if err := errors.Join(
		s.add("loan calls a second of a holder", "calls/s", "holder", points(at, messages)...),
		s.add("asks a second of a holder", "asks/s", "holder", points(at, asks)...),
		s.add("loan messages of a holder", "bytes/s", "holder", points(at, bytes)...),
	); err != nil {
		return err
	}
	last := len(at) - 1
	s.fact("bytes of an ask with its answer", bytes[last]/asks[last], "bytes")
	return nil
}

const (
	exchangeTime = time.Minute
	// activePerHolder is the number of organisations that use most of their rate at each holder in the exchange.
	activePerHolder = 20
)

// exchange is a set of holders that lend to each other without delay.
type exchange struct {
	now            clock.Instant
	names          []string
	ledgers        []*ratelimit.Ledger
	conf           *declarations
	owners         map[ratelimit.Slot]string
	index          map[string]int
	messages, asks int
	bytes          int
	activeByHolder [][]string
}

func newExchange(d *declarations, holders int) *exchange {
	x := &exchange{now: clock.Instant(time.Hour), owners: map[ratelimit.Slot]string{}, index: map[string]int{}}
	x.conf = &declarations{revision: 1, byName: d.byName, regions: []ratelimit.Region{{Name: regionName(0), Slots: holders}}}
	for i := range holders {
		name := rowsOf(holders)[i].Name
		l := ratelimit.New(ratelimit.Options{Self: name, FirstLoanID: uint64(i) << 32})
		slot := ratelimit.Slot{Region: regionName(0), Index: i}
		l.Configure(x.now.Add(-warmUp), x.conf)
		l.AddSlot(x.now.Add(-warmUp), slot)
		x.owners[slot], x.index[name] = name, i
		x.names, x.ledgers = append(x.names, name), append(x.ledgers, l)
	}
	x.assign(holders)
	return x
}

// assign gives each holder organisations without a home elsewhere, whose callers all use that holder.
func (x *exchange) assign(holders int) {
	x.activeByHolder = make([][]string, holders)
	next := 0
	for i := 0; next < holders*activePerHolder && i < len(x.conf.byName); i++ {
		if o := x.conf.byName[organisationName(i)]; o.Current.Home == "" {
			x.activeByHolder[next%holders] = append(x.activeByHolder[next%holders], o.Name)
			next++
		}
	}
}

// loadPart is the part of its rate that each active organisation offers.
const loadPart = 0.6

func (x *exchange) run() {
	end := x.now.Add(exchangeTime)
	for x.now < end {
		for i, l := range x.ledgers {
			for _, name := range x.activeByHolder[i] {
				tokens := loadPart * x.conf.byName[name].Current.Rate
				l.RecordDemand(x.now, name, tokens)
				if id, ok := l.Admit(x.now, name, tokens); ok {
					l.Settle(x.now, id, tokens)
				}
			}
		}
		for i := range x.ledgers {
			x.rebalance(i)
		}
		x.now = x.now.Add(time.Second)
	}
}

func (x *exchange) rebalance(i int) {
	l := x.ledgers[i]
	batches := l.Rebalance(x.now, func(organisation string) []string {
		var out []string
		for _, slot := range l.SlotShares(x.now, organisation) {
			if name := x.owners[slot.Slot]; name != x.names[i] {
				out = append(out, name)
			}
		}
		return out
	})
	l.Sweep(x.now)
	for giver, asks := range batches {
		x.call(i, giver, asks)
	}
}

// call carries one borrow call, encoded by package limits.
func (x *exchange) call(from int, giver string, asks []ratelimit.LoanRequest) {
	g := x.ledgers[x.index[giver]]
	req, resp := &wire.BorrowRequest{}, &wire.BorrowResponse{}
	for _, a := range asks {
		answer := g.Grant(x.now, x.names[from], a)
		x.ledgers[from].Accept(x.now, x.now, giver, a.Organisation, answer)
		req.Asks = append(req.Asks, limits.AskToWire(a))
		resp.Answers = append(resp.Answers, limits.AnswerToWire(answer))
	}
	x.messages++
	x.asks += len(asks)
	x.bytes += proto.Size(req) + proto.Size(resp)
}
