package rates

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

const (
	organisation = "acme"
	lostHolder   = 3
	cutRegion    = "cusco"
	// callTimeout is the adapter's timeout of a loan message.
	callTimeout = 3 * time.Second
)

// holderPlace is where a holder runs.
type holderPlace struct {
	name, region string
	regionIndex  int
	inRegion     int // holders of its region
}

var places = []holderPlace{
	{"lima-1", "lima", 0, 2}, {"lima-2", "lima", 0, 2}, {"arequipa-1", "arequipa", 1, 1}, {"cusco-1", "cusco", 2, 1},
}

// configuration declares one organisation with equal parts of the regions.
type configuration struct{ o Options }

func (configuration) Revision() int64 { return 1 }
func (configuration) Regions() []ratelimit.Region {
	return []ratelimit.Region{{Name: "lima", Slots: 2}, {Name: "arequipa", Slots: 1}, {Name: "cusco", Slots: 1}}
}
func (c configuration) Organisation(name string) (ratelimit.Organisation, bool) {
	return ratelimit.Organisation{Name: name, Current: ratelimit.Limits{
		Rate: c.o.Rate, Burst: c.o.Burst, Split: map[string]float64{"lima": 0.5, "arequipa": 0.25, "cusco": 0.25},
	}}, name == organisation
}

// event is a call at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcome of a request.
type outcome struct {
	admitted bool
	asked    bool
	wait     time.Duration
}

// node is one holder.
type node struct {
	sim     *simulation
	place   holderPlace
	ledger  *ratelimit.Ledger
	puller  *ratelimit.WaitQueue
	waiting map[uint64]int // request by waiter
	failed  map[string]failure
}

type failure struct {
	until time.Duration
	delay time.Duration
}

// simulation is the fleet in virtual time.
type simulation struct {
	o        Options
	places   []holderPlace
	now      time.Duration
	queue    events
	seq      int
	nodes    []*node
	byName   map[string]*node
	requests []request
	outcomes []outcome
	result   Result
	spent    float64 // largest use of the windows that end now, less the rate
	spentAt  time.Duration
}

func newSimulation(o Options) *simulation {
	s := &simulation{o: o, places: places, byName: map[string]*node{}}
	for i, place := range places {
		n := &node{sim: s, place: place, waiting: map[uint64]int{}, failed: map[string]failure{}}
		n.ledger = ratelimit.New(ratelimit.Options{Self: place.name, FirstLoanID: uint64(i) << 40})
		n.puller = ratelimit.NewWaitQueue(ratelimit.WaitQueueOptions{
			Self: place.name, Region: place.region,
			InRegionTimeout: 50 * time.Millisecond, CrossRegionTimeout: 400 * time.Millisecond,
		}, n.ledger, n)
		n.ledger.Configure(s.instant(), configuration{o})
		s.nodes = append(s.nodes, n)
		s.byName[place.name] = n
		s.at(time.Duration(i+1)*170*time.Millisecond, n.tick)
	}
	for _, slot := range []ratelimit.Slot{{Region: "lima", Index: 0}, {Region: "lima", Index: 1}, {Region: "arequipa"}, {Region: "cusco"}} {
		s.byName[s.owner(slot)].ledger.AddSlot(s.instant(), slot)
	}
	return s
}

func (s *simulation) instant() clock.Instant { return clock.Instant(time.Hour + s.now) }

func (s *simulation) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

// run plays the requests and returns their outcomes.
func (s *simulation) run(requests []request) []outcome {
	s.requests = requests
	s.outcomes = make([]outcome, len(requests))
	for i, r := range requests {
		s.at(r.at, func() { s.nodes[r.holder].arrive(i) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > s.o.Duration {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.outcomes
}

// lost reports whether a holder has crashed.
func (s *simulation) lost(n *node) bool {
	return s.o.Scenario == InstanceLost && n == s.nodes[lostHolder] && s.now >= s.o.faultAt()
}

// connected reports whether a message gets through now.
func (s *simulation) connected(a, b *node) bool {
	if s.lost(a) || s.lost(b) {
		return false
	}
	cut := s.o.Scenario == RegionCut && s.now >= s.o.faultAt() && s.now < s.o.faultAt()+cutLength
	return !cut || (a.place.region == cutRegion) == (b.place.region == cutRegion)
}

// spend notes tokens for the check of all windows.
func (s *simulation) spend(tokens float64) {
	s.spent = math.Max(0, s.spent-s.o.Rate*(s.now-s.spentAt).Seconds()) + tokens
	s.spent = math.Max(0, s.spent)
	s.spentAt = s.now
	s.result.OverRate = math.Max(s.result.OverRate, s.spent-s.o.Burst)
}

// owner returns the holder of a slot. It stays as it is while the store is out.
func (s *simulation) owner(slot ratelimit.Slot) string {
	if slot.Region != "lima" {
		return slot.Region + "-1"
	}
	if slot.Index == 1 && s.o.Scenario != NoSlot {
		return "lima-2"
	}
	return "lima-1"
}

// Owner implements ratelimit.Fleet.
func (n *node) Owner(slot ratelimit.Slot) string { return n.sim.owner(slot) }

// Region implements ratelimit.Fleet.
func (n *node) Region(name string) (string, bool) {
	other := n.sim.byName[name]
	return other.place.region, n.sim.now >= n.failed[name].until
}

// arrive handles a request.
func (n *node) arrive(i int) {
	s := n.sim
	r := s.requests[i]
	n.ledger.RecordDemand(s.instant(), organisation, r.charge)
	if id, ok := n.ledger.Admit(s.instant(), organisation, r.charge); ok {
		n.admitted(i, id, 0)
		return
	}
	if r.charge > s.o.Burst || s.lost(n) {
		return
	}
	s.outcomes[i].asked = true
	// The outcomes of a pull that ends at once come with the call that returns the id.
	id, do := n.puller.Wait(s.instant(), organisation, r.charge, s.o.Deadline >= 250*time.Millisecond, s.o.patience())
	n.waiting[id] = i
	n.perform(do)
}

// admitted books a request's admission and plans its settlement.
func (n *node) admitted(i int, charge uint64, wait time.Duration) {
	s := n.sim
	s.outcomes[i].admitted = true
	s.outcomes[i].wait = wait
	r := s.requests[i]
	s.spend(r.charge)
	s.at(s.now+r.duration, func() {
		if s.lost(n) {
			return
		}
		n.ledger.Settle(s.instant(), charge, r.used)
		s.spend(r.used - r.charge)
	})
}

// perform carries out what the puller decides.
func (n *node) perform(do ratelimit.Actions) {
	s := n.sim
	for _, o := range do.Outcomes {
		i, ok := n.waiting[o.WaiterID]
		if !ok {
			continue
		}
		delete(n.waiting, o.WaiterID)
		if o.Admitted {
			n.admitted(i, o.ChargeID, s.now-s.requests[i].at)
		}
	}
	for _, send := range do.Sends {
		n.send(send.To, []ratelimit.LoanRequest{send.Request})
	}
	for _, timer := range do.Timers {
		s.at(s.now+timer.After, func() { n.perform(n.puller.HandleTimeout(s.instant(), organisation, timer.ID)) })
	}
}

// send carries asks to another holder and its answers back.
func (n *node) send(name string, asks []ratelimit.LoanRequest) {
	s := n.sim
	to := s.byName[name]
	latency := inRegionLatency
	if to.place.region != n.place.region {
		latency = crossRegionLatency
	}
	asked := s.instant()
	s.result.Messages += 2
	done := false
	fail := func() {
		if done || s.lost(n) {
			return
		}
		done = true
		delay := min(8*time.Second, max(500*time.Millisecond, 2*n.failed[name].delay))
		n.failed[name] = failure{s.now + delay, delay}
		for _, ask := range asks {
			n.perform(n.puller.HandleResponse(s.instant(), ask.Organisation, name, nil))
		}
	}
	if !s.connected(n, to) {
		s.at(s.now+callTimeout, fail)
		return
	}
	s.at(s.now+latency, func() {
		if !s.connected(n, to) {
			s.at(s.now+callTimeout, fail)
			return
		}
		var answers []ratelimit.LoanResponse
		for _, ask := range asks {
			answers = append(answers, to.ledger.Grant(s.instant(), n.place.name, ask))
		}
		s.at(s.now+latency, func() {
			if !s.connected(n, to) {
				s.at(s.now+callTimeout, fail)
				return
			}
			done = true
			delete(n.failed, name)
			for i, ask := range asks {
				n.ledger.Accept(s.instant(), asked, name, ask.Organisation, answers[i])
				n.perform(n.puller.HandleResponse(s.instant(), ask.Organisation, name, answers[i].Borrowers))
				if excess, ok := n.ledger.ReturnExcess(s.instant(), ask.Organisation, name); ok {
					n.send(name, []ratelimit.LoanRequest{excess})
				}
			}
		})
	})
}

// tick rebalances each second.
func (n *node) tick() {
	s := n.sim
	if s.lost(n) {
		return
	}
	batches := n.ledger.Rebalance(s.instant(), n.owners)
	n.ledger.Sweep(s.instant())
	for _, p := range s.places {
		if asks := batches[p.name]; len(asks) > 0 {
			n.send(p.name, asks)
		}
	}
	s.at(s.now+time.Second, n.tick)
}

// owners returns the other owners of the organisation's slots.
func (n *node) owners(organisation string) []string {
	var out []string
	for _, x := range n.ledger.SlotShares(n.sim.instant(), organisation) {
		if name := n.sim.owner(x.Slot); name != n.place.name && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
