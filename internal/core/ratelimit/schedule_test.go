package ratelimit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// step is one event of a generated schedule. A, B and C select holders, slots, messages or amounts, modulo the number that exists.
type step struct {
	Kind    int
	A, B, C int
}

// Kinds of steps. Their probabilities are in weights.
const (
	stepAdvance = iota
	stepAdmit
	stepSettle
	stepRequest
	stepRebalance
	stepDeliver
	stepDuplicate
	stepDrop
	stepPause
	stepResume
	stepCrash
	stepRestart
	stepClaim
	stepConfirm
	stepHandOver
	stepGiveSlot
	stepDeclare
	stepAdopt
	stepSweep
)

var weights = []struct{ kind, weight int }{
	{stepAdvance, 20}, {stepAdmit, 22}, {stepSettle, 5}, {stepRequest, 14}, {stepRebalance, 6}, {stepDeliver, 28},
	{stepDuplicate, 6}, {stepDrop, 3}, {stepPause, 2}, {stepResume, 3}, {stepCrash, 2}, {stepRestart, 5}, {stepClaim, 9},
	{stepConfirm, 9}, {stepHandOver, 1}, {stepGiveSlot, 3}, {stepDeclare, 2}, {stepAdopt, 6}, {stepSweep, 2},
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	var kinds []int
	for _, w := range weights {
		for range w.weight {
			kinds = append(kinds, w.kind)
		}
	}
	number := rapid.IntRange(0, 9999)
	return step{rapid.SampledFrom(kinds).Draw(t, "kind"), number.Draw(t, "a"), number.Draw(t, "b"), number.Draw(t, "c")}
}), 150, 500)

// testConfig is a configuration of one organisation.
type testConfig struct {
	revision int64
	regions  []Region
	org      Organisation
}

func (c *testConfig) Revision() int64   { return c.revision }
func (c *testConfig) Regions() []Region { return c.regions }
func (c *testConfig) Organisation(name string) (Organisation, bool) {
	return c.org, name == c.org.Name
}

// holder is an instance of the simulated fleet.
type holder struct {
	name     string
	region   string
	ledger   *Ledger
	offset   time.Duration // of its clock's origin
	drift    float64       // of its clock's rate
	paused   bool
	crashed  bool
	lifetime int // number of starts
	revision int64
	applied  int64 // highest revision that the holder has reported as applied
	charges  []openCharge
}

// openCharge is a charge that is not settled yet.
type openCharge struct {
	id     uint64
	tokens float64
}

// slotOwner is the record of a slot in the store.
type slotOwner struct {
	owner        *holder
	lifetime     int
	inUse        bool
	predecessors []predecessor
	certain      bool          // all predecessors are known to have ended their use
	readyAt      clock.Instant // start of the use, on the owner's clock
}

// predecessor is an earlier owner of a slot, one process of a holder.
type predecessor struct {
	holder   *holder
	lifetime int
}

// message is in transit between two holders. Exactly one of request and response is set.
type message struct {
	from, to *holder
	lifetime int // of the process that gets the response
	request  *LoanRequest
	response *LoanResponse
	asked    clock.Instant // when the request was sent, on its sender's clock
}

// world is the simulated fleet with its store and network.
type world struct {
	now            time.Duration
	regions        []Region
	holders        []*holder
	slots          map[Slot]*slotOwner
	order          []Slot
	messages       []message
	terms          []Limits // by revision; index 0 is revision 1
	disabled       disabledRules
	disabledCaller disabledCallerRules
	nextID         uint64
	spent          float64 // admitted tokens less rate times length, the largest value over all time windows that end now
	spentAt        time.Duration
	lastBound      Share
	borrowed       int // number of responses with a loan
}

// disabledCallerRules disables safety rules that the caller of a ledger has to follow.
type disabledCallerRules struct {
	waitForLoans       bool // a new owner does not wait until the predecessor's loans have expired
	waitForPredecessor bool // a new owner does not wait until the predecessor is known to have ended its use
	readLatestRevision bool // a new owner starts with an older revision than its predecessor's
}

const organisation = "acme"

func newWorld(r disabledRules, f disabledCallerRules) *world {
	w := &world{
		regions: []Region{{"lima", 2}, {"cusco", 1}}, slots: map[Slot]*slotOwner{}, disabled: r, disabledCaller: f,
		terms: []Limits{{Rate: 3000, Burst: 90000}},
	}
	for i, region := range []string{"lima", "lima", "lima", "cusco", "cusco"} {
		h := &holder{
			name: fmt.Sprintf("%s-%d", region, i), region: region, offset: time.Duration(i+1) * time.Hour,
			drift: float64(i-2) * 100e-6,
		}
		w.startProcess(h)
		w.holders = append(w.holders, h)
	}
	for i, slot := range []Slot{{"lima", 0}, {"lima", 1}, {"cusco", 0}} {
		h := w.holders[[]int{0, 1, 3}[i]]
		w.slots[slot] = &slotOwner{owner: h, lifetime: h.lifetime, inUse: true, certain: true}
		w.order = append(w.order, slot)
		h.ledger.AddSlot(h.clock(w), slot)
	}
	w.now += 40 * time.Second // until all levels are full
	return w
}

// startProcess starts a new process of a holder.
func (w *world) startProcess(h *holder) {
	w.nextID += 1 << 32
	h.ledger = New(Options{Self: h.name, FirstLoanID: w.nextID})
	h.ledger.disabled = w.disabled
	h.crashed, h.paused, h.charges = false, false, nil
	h.lifetime++
	w.adopt(h, int64(len(w.terms)))
}

// clock returns the time on the holder's own clock.
func (h *holder) clock(w *world) clock.Instant {
	return clock.Instant(h.offset + time.Duration(float64(w.now)*(1+h.drift)))
}

func (h *holder) runs() bool { return !h.crashed && !h.paused }

// settled returns the revision that all slot owners have applied, 0 while a slot is not in use or its owner has stopped.
func (w *world) settled() int64 {
	lowest := int64(len(w.terms))
	for _, s := range w.slots {
		if !s.inUse {
			return 0
		}
		if s.lifetime != s.owner.lifetime || s.owner.crashed {
			return 0
		}
		lowest = min(lowest, s.owner.applied)
	}
	return lowest
}

// adopt configures a holder's ledger with a revision.
func (w *world) adopt(h *holder, revision int64) {
	settled := int64(0)
	if len(w.slots) > 0 {
		settled = w.settled()
	}
	conf := &testConfig{revision: revision, regions: w.regions}
	conf.org = Organisation{Name: organisation, Current: w.terms[revision-1]}
	for r := int64(1); r < revision; r++ {
		if r+1 > settled {
			conf.org.Previous = append(conf.org.Previous, w.terms[r-1])
		}
	}
	h.revision = revision
	h.ledger.Configure(h.clock(w), conf)
}

// noteApplied updates the revisions that the holders report as applied.
func (w *world) noteApplied() {
	for _, h := range w.holders {
		if h.runs() && h.applied < h.revision && h.ledger.Applied(h.clock(w)) {
			h.applied = h.revision
		}
	}
}

// bound returns the largest rate and the largest burst of the revisions that may be in use.
func (w *world) bound() Share {
	lowest := int64(len(w.terms))
	for _, h := range w.holders {
		if !h.crashed {
			lowest = min(lowest, h.applied)
		}
	}
	var b Share
	for _, t := range w.terms[max(0, lowest-1):] {
		b = Share{math.Max(b.Rate, t.Rate), math.Max(b.Burst, t.Burst)}
	}
	return b
}

// spend adds admitted tokens to spent, after subtracting what the rate has brought since the last call.
func (w *world) spend(tokens float64) {
	const clockTolerance = 1.001
	w.spent = math.Max(0, w.spent-w.bound().Rate*clockTolerance*(w.now-w.spentAt).Seconds())
	w.spentAt = w.now
	w.spent = math.Max(0, w.spent+tokens)
}

// check compares the holders' shares and the admitted tokens with the declared rate and burst.
func (w *world) check() error {
	const tolerance = 1e-3
	w.noteApplied()
	b := w.bound()
	sum, levels := Share{}, 0.0
	for _, h := range w.holders {
		if h.crashed {
			continue
		}
		u, _ := h.ledger.AccountState(h.clock(w), organisation)
		sum = sum.plus(Share{u.Rate, u.Burst})
		levels += math.Max(0, u.Level)
		if u.Level > u.Burst+tolerance {
			return fmt.Errorf("level %.3f of %s is above its burst share %.3f", u.Level, h.name, u.Burst)
		}
	}
	transit := w.inTransit()
	sum = sum.plus(transit)
	if sum.Rate > b.Rate+tolerance {
		return fmt.Errorf("rate shares add up to %.3f of %.3f", sum.Rate, b.Rate)
	}
	if sum.Burst > b.Burst+tolerance {
		return fmt.Errorf("burst shares add up to %.3f of %.3f", sum.Burst, b.Burst)
	}
	w.spend(0)
	if b.Burst < w.lastBound.Burst || b.Rate < w.lastBound.Rate {
		// Time windows that began under a larger declaration are not checked against the new one.
		w.spent = math.Min(w.spent, math.Max(0, b.Burst-levels))
	}
	w.lastBound = b
	// The levels are included, since requests could take these tokens at this moment.
	if w.spent+levels > b.Burst+tolerance {
		return fmt.Errorf("a time window may admit %.3f tokens above the rate, burst %.3f", w.spent+levels, b.Burst)
	}
	return nil
}

// inTransit returns the sum of the loans whose responses are in transit and may still be accepted.
func (w *world) inTransit() Share {
	var sum Share
	counted := map[uint64]bool{}
	for _, m := range w.messages {
		if m.response == nil || m.response.Loan == nil || m.to.crashed || m.lifetime != m.to.lifetime || counted[m.response.Loan.ID] {
			continue
		}
		counted[m.response.Loan.ID] = true
		a := m.to.ledger.accounts[organisation]
		_, seen := a.acceptedLoans[loanKey{m.from.name, m.response.Loan.ID}]
		if !seen && m.asked.Add(m.response.Loan.Term) > m.to.clock(w) {
			sum = sum.plus(m.response.Loan.Share)
		}
	}
	return sum
}

// apply runs one step. It does nothing if the step is not possible in the current state.
func (w *world) apply(s step) {
	h := w.holders[s.A%len(w.holders)]
	other := w.holders[s.B%len(w.holders)]
	slot := w.order[s.A%len(w.order)]
	switch s.Kind {
	case stepAdvance:
		// Mostly short, sometimes past the end of loans.
		w.now += time.Duration(1+s.A%1000) * time.Millisecond
		if s.B%10 == 0 {
			w.now += time.Duration(s.C%12) * time.Second
		}
	case stepAdmit:
		if h.runs() {
			tokens := float64(1 + s.B*2)
			if s.C%4 == 0 { // all tokens, so that time windows come close to the bound
				u, _ := h.ledger.AccountState(h.clock(w), organisation)
				tokens = math.Max(1, u.Level)
			}
			w.admit(h, tokens)
		}
	case stepSettle:
		w.settle(h, s.B, float64(s.C%150)/100)
	case stepRequest:
		if h.runs() && h != other {
			request := h.ledger.NewLoanRequest(h.clock(w), organisation, other.name, float64(s.C*2), 1+s.C%3)
			w.messages = append(w.messages, message{from: h, to: other, request: &request, asked: h.clock(w), lifetime: h.lifetime})
		}
	case stepRebalance:
		w.rebalance(h)
	case stepDeliver, stepDuplicate:
		if n := len(w.messages); n > 0 {
			w.deliver(s.B%n, s.Kind == stepDuplicate)
		}
	case stepDrop:
		if n := len(w.messages); n > 0 {
			w.messages = slices.Delete(w.messages, s.B%n, s.B%n+1)
		}
	case stepPause:
		h.paused = !h.crashed
	case stepResume:
		h.paused = false
	case stepCrash:
		h.crashed, h.paused = true, false
	case stepRestart:
		if h.crashed {
			w.startProcess(h)
		}
	case stepClaim:
		w.claim(slot, other)
	case stepConfirm:
		w.confirm(slot)
	case stepHandOver:
		w.handOver(h, other, s.C%2 == 0)
	case stepGiveSlot:
		w.giveSlot(slot, other, s.C)
	case stepDeclare:
		w.declare(s)
	case stepAdopt:
		if h.runs() {
			w.adopt(h, max(h.revision, int64(1+s.B%len(w.terms))))
		}
	case stepSweep:
		if h.runs() {
			h.ledger.Sweep(h.clock(w))
		}
	}
}

func (w *world) admit(h *holder, tokens float64) {
	h.ledger.RecordDemand(h.clock(w), organisation, tokens)
	if id, ok := h.ledger.Admit(h.clock(w), organisation, tokens); ok {
		h.charges = append(h.charges, openCharge{id, tokens})
		w.spend(tokens)
	}
}

// settle settles a charge at a multiple of its tokens. A refund may be spent again; debt does not count as admitted.
func (w *world) settle(h *holder, which int, part float64) {
	if !h.runs() || len(h.charges) == 0 {
		return
	}
	i := which % len(h.charges)
	c := h.charges[i]
	h.charges = slices.Delete(h.charges, i, i+1)
	h.ledger.Settle(h.clock(w), c.id, c.tokens*part)
	w.spend(math.Min(0, c.tokens*part-c.tokens))
}

func (w *world) rebalance(h *holder) {
	if !h.runs() {
		return
	}
	batches := h.ledger.Rebalance(h.clock(w), func(string) []string {
		var owners []string
		for _, slot := range w.order {
			if o := w.slots[slot].owner; o != h && !slices.Contains(owners, o.name) {
				owners = append(owners, o.name)
			}
		}
		return owners
	})
	for _, to := range w.holders {
		for _, request := range batches[to.name] {
			w.messages = append(w.messages, message{from: h, to: to, request: &request, asked: h.clock(w), lifetime: h.lifetime})
		}
	}
}

// deliver delivers message i. With keep it stays in transit, so that it can arrive again.
func (w *world) deliver(i int, keep bool) {
	m := w.messages[i]
	if !m.to.runs() {
		return
	}
	if !keep {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	if m.request != nil {
		response := m.to.ledger.Grant(m.to.clock(w), m.from.name, *m.request)
		w.messages = append(w.messages, message{from: m.to, to: m.from, response: &response, asked: m.asked, lifetime: m.lifetime})
		return
	}
	if m.lifetime != m.to.lifetime {
		return // the process that made the call has ended
	}
	if m.response.Loan != nil {
		w.borrowed++
	}
	m.to.ledger.Accept(m.to.clock(w), m.asked, m.from.name, organisation, *m.response)
	if excess, ok := m.to.ledger.ReturnExcess(m.to.clock(w), organisation, m.from.name); ok {
		w.messages = append(w.messages, message{
			from: m.to, to: m.from, request: &excess, asked: m.to.clock(w), lifetime: m.to.lifetime,
		})
	}
}

// claim makes a holder of the region the owner of a slot whose owner does not run. confirm starts the use.
func (w *world) claim(slot Slot, h *holder) {
	s := w.slots[slot]
	alive := s.owner.runs() && s.lifetime == s.owner.lifetime
	if alive || !h.runs() || h.region != slot.Region {
		return
	}
	s.predecessors = append(s.predecessors, predecessor{s.owner, s.lifetime})
	s.owner, s.lifetime, s.inUse, s.certain = h, h.lifetime, false, false
}

// confirm removes the predecessors that are known to have ended their use, and starts the use of the slot once the takeover delay
// has passed.
func (w *world) confirm(slot Slot) {
	s := w.slots[slot]
	if s.inUse || !s.owner.runs() || s.lifetime != s.owner.lifetime {
		return
	}
	now := s.owner.clock(w)
	if !s.certain {
		s.predecessors = slices.DeleteFunc(s.predecessors, func(p predecessor) bool {
			ended := p.holder.crashed || p.lifetime != p.holder.lifetime
			if !ended && p.holder.runs() {
				p.holder.ledger.RemoveSlot(p.holder.clock(w), slot)
				ended = true
			}
			return ended || w.disabledCaller.waitForPredecessor
		})
		if len(s.predecessors) > 0 {
			return
		}
		s.certain = true
		s.readyAt = now.Add(s.owner.ledger.TakeoverDelay())
	}
	// The latest revision is read from the store after the predecessor has ended its use.
	if w.disabledCaller.waitForLoans || now >= s.readyAt {
		if !w.disabledCaller.readLatestRevision {
			w.adopt(s.owner, int64(len(w.terms)))
		}
		s.owner.ledger.AddSlot(now, slot)
		s.inUse = true
	}
}

// handOver passes all slots of a holder to another and stops it. If the message is lost, the new owner waits for the takeover
// delay.
func (w *world) handOver(h, to *holder, lost bool) {
	if !h.runs() || !to.runs() || h == to || h.region != to.region || to.revision < h.revision {
		return
	}
	slots, accounts, returns := h.ledger.HandOver(h.clock(w))
	for _, giver := range w.holders {
		for _, request := range returns[giver.name] {
			w.messages = append(w.messages, message{from: h, to: giver, request: &request, asked: h.clock(w), lifetime: h.lifetime})
		}
	}
	if !lost {
		to.ledger.TakeOver(to.clock(w), slots, accounts)
	}
	for _, slot := range w.order {
		s := w.slots[slot]
		if s.owner != h || s.lifetime != h.lifetime {
			continue
		}
		s.owner, s.lifetime = to, to.lifetime
		if lost && s.inUse {
			s.inUse = false
			s.readyAt = to.clock(w).Add(to.ledger.TakeoverDelay())
		}
	}
	h.crashed = true
}

// giveSlot passes one slot of a holder that keeps running to another. how selects what happens: the store rejects the new
// owner, the message arrives, or it is lost.
func (w *world) giveSlot(slot Slot, to *holder, how int) {
	s := w.slots[slot]
	h := s.owner
	if !s.inUse || s.lifetime != h.lifetime || !h.runs() || !to.runs() || h == to || to.region != slot.Region || to.revision < h.revision {
		return
	}
	handed, accounts, ok := h.ledger.HandOverSlot(h.clock(w), slot)
	if !ok {
		return
	}
	switch how % 3 {
	case 0:
		h.ledger.TakeOver(h.clock(w), []HandedSlot{handed}, accounts)
		return
	case 1:
		to.ledger.TakeOver(to.clock(w), []HandedSlot{handed}, accounts)
	case 2:
		s.inUse = false
		s.readyAt = to.clock(w).Add(to.ledger.TakeoverDelay())
	}
	s.owner, s.lifetime, s.certain, s.predecessors = to, to.lifetime, true, nil
}

// declare adds a revision with changed limits.
func (w *world) declare(s step) {
	t := w.terms[len(w.terms)-1]
	switch s.A % 4 {
	case 0:
		t.Rate, t.Burst = float64(1000+s.B%5000), float64(30000+s.C*10)
	case 1:
		part := float64(s.B%11) / 10
		t.Home, t.Split = "", map[string]float64{"lima": part, "cusco": 1 - part}
	case 2:
		t.Home = []string{"lima", "cusco"}[s.B%2]
	case 3:
		t.Home, t.Split = "", nil
	}
	w.terms = append(w.terms, t)
}

// simulate runs a schedule and returns an error at the first step after which check fails.
func simulate(w *world, schedule []step) error {
	for i, s := range schedule {
		w.apply(s)
		if err := w.check(); err != nil {
			return fmt.Errorf("step %d %+v: %w", i, s, err)
		}
	}
	return nil
}

// The holders' shares and the admitted tokens must stay within the declared rate and burst, whatever the schedule.
func TestSharesNeverExceedDeclaration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(newWorld(disabledRules{}, disabledCallerRules{}), steps.Draw(t, "schedule")); err != nil {
			t.Fatal(err)
		}
	})
}

// staleOwnerSchedule moves the whole rate to cusco, and all slot owners adopt this. Then a holder without slots that has not
// received the new revision claims a slot of lima. Generated schedules rarely reach this state.
var staleOwnerSchedule = []step{
	{stepDeclare, 1, 0, 0}, {stepAdopt, 0, 1, 0}, {stepAdopt, 1, 1, 0}, {stepAdopt, 3, 1, 0}, {stepAdopt, 3, 1, 0},
	{stepCrash, 0, 0, 0}, {stepClaim, 0, 2, 0}, {stepConfirm, 0, 0, 0}, {stepAdvance, 999, 10, 11}, {stepConfirm, 0, 0, 0},
}

// repeatedReturnSchedule makes a loan, takes tokens at both holders, and delivers the return of a part of the loan twice. In
// generated schedules the tokens counted twice are discarded elsewhere before they exceed the burst.
var repeatedReturnSchedule = []step{
	{stepRequest, 3, 0, 9999}, {stepDeliver, 0, 0, 0}, {stepDeliver, 0, 0, 0}, {stepAdmit, 0, 0, 4}, {stepAdmit, 3, 7500, 1},
	{stepRequest, 0, 3, 999}, {stepDeliver, 0, 0, 0}, {stepDuplicate, 0, 0, 0}, {stepDeliver, 0, 0, 0},
}

// runningLoanSchedule makes a loan, then crashes the lender and claims its slot before the loan expires.
var runningLoanSchedule = []step{
	{stepRequest, 3, 0, 9999}, {stepDeliver, 0, 0, 0}, {stepDeliver, 0, 0, 0},
	{stepCrash, 0, 0, 0}, {stepClaim, 0, 2, 0}, {stepConfirm, 0, 0, 0}, {stepConfirm, 0, 0, 0},
}

// Guards against checks that cannot fail: the schedules pass with all rules, and with any one rule disabled some schedule must
// fail.
func TestChecksDetectDisabledRules(t *testing.T) {
	const schedules = 300
	cases := []struct {
		name   string
		rules  disabledRules
		faults disabledCallerRules
	}{
		{"duplicated loan is added twice", disabledRules{acceptLoanOnce: true}, disabledCallerRules{}},
		{"late return is accepted", disabledRules{rejectLateReturns: true}, disabledCallerRules{}},
		{"repeated return is accepted twice", disabledRules{acceptReturnOnce: true}, disabledCallerRules{}},
		{"receiver counts the term from arrival", disabledRules{termFromRequest: true}, disabledCallerRules{}},
		{"giver does not subtract", disabledRules{subtractLoans: true}, disabledCallerRules{}},
		{"gained slot starts full", disabledRules{startEmpty: true}, disabledCallerRules{}},
		{"previous entitlements are ignored", disabledRules{applyPrevious: true}, disabledCallerRules{}},
		{"lent-on loan outlives its backing", disabledRules{boundRelendTerm: true}, disabledCallerRules{}},
		{"new owner does not wait for loans", disabledRules{}, disabledCallerRules{waitForLoans: true}},
		{"new owner does not wait for certainty", disabledRules{}, disabledCallerRules{waitForPredecessor: true}},
		{"new owner has an old revision", disabledRules{}, disabledCallerRules{readLatestRevision: true}},
	}
	schedule := make([][]step, schedules)
	loans := 0
	for seed := range schedule {
		switch seed {
		case 0:
			schedule[seed] = staleOwnerSchedule
		case 1:
			schedule[seed] = repeatedReturnSchedule
		case 2:
			schedule[seed] = runningLoanSchedule
		default:
			schedule[seed] = steps.Example(seed)
		}
		w := newWorld(disabledRules{}, disabledCallerRules{})
		if err := simulate(w, schedule[seed]); err != nil {
			t.Fatalf("seed %d fails with all rules: %v", seed, err)
		}
		loans += w.borrowed
	}
	if loans < schedules {
		t.Fatalf("only %d loans in %d schedules, want at least one per schedule on average", loans, schedules)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range schedule {
				if err := simulate(newWorld(c.rules, c.faults), schedule[seed]); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("%d schedules passed although a rule is disabled", schedules)
		})
	}
}
