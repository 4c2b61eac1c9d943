package edge

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// The tests of this file run the instances of a region in virtual time: the real placement, membership and exchange of state, with
// faults of instances and endpoints by a seed.

// The bound that operators set: from limitContact after an endpoint first named a limit, it gets in any limitWindow at most
// limitExcess times what the limit allows and limitSlack requests, from instances that have passed on an answer with it limitTold ago
// or earlier.
const (
	limitContact = 6 * time.Second
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitTold    = 500 * time.Millisecond
)

// limitedRegion is a simulated region in which endpoints name limits.
type limitedRegion struct {
	*eventLoop
	name      string
	others    []*limitedRegion // that share its store and its clock
	t         *testing.T
	rng       *rand.Rand
	conf      *catalog.Configuration
	instances []*limitedInstance
	endpoints []*limitedEndpoint
	storeDown clock.Instant // until when the store answers nobody
	// callerRate is the number of requests per second that callers send to an instance.
	callerRate float64
	served     int
}

// limitedEndpoint is an endpoint with the requests that have reached it.
type limitedEndpoint struct {
	catalog.Endpoint
	limits   []namedLimit // in the order of time
	arrivals []limitedArrival
}

// namedLimit is what an endpoint names from a moment on.
type namedLimit struct {
	from    clock.Instant
	limited bool
	limit   float64
}

type limitedArrival struct {
	at      clock.Instant
	from    string
	counted bool // the sender had passed on the limit long enough before, and nothing excuses it
}

// limitedInstance is an instance of the region with its faults.
type limitedInstance struct {
	*Edge
	fleet        *testFleet
	name         string
	incarnation  uint64
	up           bool
	leaves       bool // it stops for good soon
	frozenUntil  clock.Instant
	peersCut     bool
	storeCut     bool
	excused      clock.Instant            // until when a fault excuses it
	told         map[string]clock.Instant // by endpoint: when it first passed on an answer with a limit
	announcement []byte                   // in the store
	leaseEnds    clock.Instant            // of its key in the store
	reportsTo    *limitedInstance
	source       *fleetview.Source // at reportsTo
	lastAnswer   clock.Instant     // of reportsTo
}

const limitedService = "s"

func newLimitedRegion(t *testing.T, seed uint64, instances, endpoints int, engine *catalog.Engine) *limitedRegion {
	l := &limitedRegion{t: t, rng: rand.New(rand.NewPCG(seed, 1)), eventLoop: &eventLoop{clk: &clock.Manual{}}, name: "south"}
	l.clk.Advance(time.Hour)
	l.populate(instances, endpoints, engine)
	return l
}

// populate starts the instances of a region and lists its endpoints.
func (l *limitedRegion) populate(instances, endpoints int, engine *catalog.Engine) {
	var err error
	l.conf, err = catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: limitedService, Engine: engine}}})
	if err != nil {
		l.t.Fatal(err)
	}
	for i := range endpoints {
		l.endpoints = append(l.endpoints, &limitedEndpoint{Endpoint: catalog.Endpoint{
			Incarnation: catalog.Incarnation{ID: fmt.Sprint(l.prefix(), "e", i), StartedAtMillis: 1}, Service: limitedService, Addr: fmt.Sprint("a", i), Slots: 64,
		}})
	}
	for i := range instances {
		l.instances = append(l.instances, &limitedInstance{name: fmt.Sprintf("%si%03d", l.prefix(), i)})
	}
	for _, i := range l.instances {
		l.startInstance(i)
	}
}

// prefix distinguishes the names of a region that has others beside it.
func (l *limitedRegion) prefix() string {
	if len(l.others) == 0 {
		return ""
	}
	return l.name + "-"
}

func (l *limitedRegion) random(most time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(most)))
}

// run processes events for a time.
func (l *limitedRegion) run(d time.Duration) {
	end := l.clk.Now().Add(d)
	for l.events.Len() > 0 && l.events[0].at <= end {
		l.runNext()
	}
	l.clk.Advance(end.Sub(l.clk.Now()))
}

// whileUp calls do as soon as the incarnation of an instance runs, unless it ends before.
func (l *limitedRegion) whileUp(i *limitedInstance, do func()) func() {
	incarnation := i.incarnation
	var try func()
	try = func() {
		switch wait := i.frozenUntil.Sub(l.clk.Now()); {
		case !i.up || i.incarnation != incarnation:
		case wait > 0:
			l.after(wait, try)
		default:
			do()
		}
	}
	return try
}

func (l *limitedRegion) startInstance(i *limitedInstance) {
	i.incarnation++
	i.up, i.told, i.reportsTo = true, make(map[string]clock.Instant), nil
	i.fleet = newTestFleetOf(l.t, l.clk, peer.Identity{Instance: i.name, Region: l.name, DataCentre: "a", Incarnation: i.incarnation})
	i.fleet.options.Regions = map[string]string{"a": l.name}
	for _, o := range l.others {
		i.fleet.options.Regions["a-"+o.name] = o.name // or else their announcements are not valid
	}
	i.Edge = testEdgeIn(l.t, i.fleet)
	l.setEndpoints(i)
	l.after(l.random(200*time.Millisecond), l.whileUp(i, func() { l.readStore(i) }))
	l.after(300*time.Millisecond, l.whileUp(i, func() { l.renew(i) }))
	l.after(l.random(tickMin), l.whileUp(i, func() { l.tick(i) }))
	l.after(l.random(parentCheckInterval), l.whileUp(i, func() { l.chooseParent(i) }))
}

func (l *limitedRegion) setEndpoints(i *limitedInstance) {
	var list []catalog.Endpoint
	for _, e := range l.endpoints {
		list = append(list, e.Endpoint)
	}
	i.pools.set(l.conf, map[string][]catalog.Endpoint{limitedService: list})
}

// readStore gives an instance the keys of the store now and then. One that the store does not answer reads through others.
func (l *limitedRegion) readStore(i *limitedInstance) {
	now := l.clk.Now()
	next := 50*time.Millisecond + l.random(400*time.Millisecond)
	if i.storeCut {
		next += storeUnavailableAfter
	}
	l.after(next, l.whileUp(i, func() { l.readStore(i) }))
	if now < l.storeDown {
		return
	}
	var all mirror.Update
	all.Reset = true
	for _, o := range l.storeInstances() {
		if o.leaseEnds > now {
			all.Changes = append(all.Changes, platform.Change{Entry: platform.Entry{Key: InstancePrefix + o.name, Value: o.announcement}})
		}
	}
	i.fleet.apply(all)
	i.fleet.removeUnresponsive()
}

// storeInstances returns the instances of all regions.
func (l *limitedRegion) storeInstances() []*limitedInstance {
	all := slices.Clone(l.instances)
	for _, o := range l.others {
		all = append(all, o.instances...)
	}
	return all
}

// renew keeps an instance's key in the store.
func (l *limitedRegion) renew(i *limitedInstance) {
	if now := l.clk.Now(); now >= l.storeDown && !i.storeCut {
		i.leaseEnds, i.announcement = now.Add(leaseTerm), encodeAnnouncement(l.t, i.name, l.name, i.incarnation)
	}
	l.after(renewInterval, l.whileUp(i, func() { l.renew(i) }))
}

func (i *limitedInstance) reaches(o *limitedInstance, now clock.Instant) bool {
	return o.up && now >= o.frozenUntil && !i.peersCut && !o.peersCut
}

// tick exchanges an instance's state with its parent.
func (l *limitedRegion) tick(i *limitedInstance) {
	now := l.clk.Now()
	l.after(i.view.interval(), l.whileUp(i, func() { l.tick(i) }))
	i.pools.tick()
	i.view.tick()
	parent := i.reportsTo
	if parent == nil {
		return
	}
	if !i.reaches(parent, now) {
		if now.Sub(i.lastAnswer) > max(minUnresponsive, unresponsiveTicks*i.view.interval()) {
			l.leaveParent(i, true)
			l.chooseParentNow(i)
		}
		return
	}
	if err := l.exchange(i, parent, now); err != nil {
		l.leaveParent(i, true)
		l.chooseParentNow(i)
	}
}

func (l *limitedRegion) exchange(i, parent *limitedInstance, now clock.Instant) error {
	if d := parent.view.node.DigestFor(i.source); d != nil {
		events, err := i.view.node.ReceiveDigest(now, d)
		if err != nil {
			return err
		}
		i.lastAnswer = now
		i.applyEvents(events)
		i.view.apply()
	}
	return parent.view.node.ReceiveReport(now, i.source, i.view.node.NextReport(now))
}

func (l *limitedRegion) leaveParent(i *limitedInstance, exclude bool) {
	if i.reportsTo == nil {
		return
	}
	if exclude {
		i.fleet.excludeAsParent(i.reportsTo.name)
	}
	i.reportsTo.view.node.StreamEnded(i.source)
	i.view.node.ClearParent(l.clk.Now())
	i.reportsTo = nil
}

func (l *limitedRegion) chooseParent(i *limitedInstance) {
	l.after(parentCheckInterval, l.whileUp(i, func() { l.chooseParent(i) }))
	l.chooseParentNow(i)
}

// chooseParentNow makes an instance report to the one that its view of the members gives, if that one knows it.
func (l *limitedRegion) chooseParentNow(i *limitedInstance) {
	now := l.clk.Now()
	name, ok := i.fleet.parent()
	if !ok {
		l.leaveParent(i, false)
		return
	}
	if i.reportsTo != nil && i.reportsTo.name == name && i.reportsTo.incarnation == i.fleet.members[name].Incarnation {
		return
	}
	for _, o := range l.instances {
		if o.name != name {
			continue
		}
		if !i.reaches(o, now) || !o.fleet.knows(i.options.Self) {
			return
		}
		l.leaveParent(i, false)
		if i.view.node.SetParent(now, name) != nil {
			return
		}
		source, err := o.view.node.AddChild(i.options.Self)
		if err != nil {
			i.view.node.ClearParent(now)
			return
		}
		i.reportsTo, i.source, i.lastAnswer = o, source, now
	}
}

// callers sends requests to an instance, a number per second.
func (l *limitedRegion) callers(i *limitedInstance, perSecond float64) {
	l.after(time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if i.leaves && !i.up {
			return
		}
		l.callers(i, perSecond)
		if i.up && l.clk.Now() >= i.frozenUntil {
			l.seq++
			l.place(i, &attempt{id: fmt.Sprint("r", l.seq), service: limitedService, excluded: map[string]bool{},
				work: placement.Request{ID: fmt.Sprint("r", l.seq), PromptTokens: 100, OutputTokens: 50}})
		}
	})
}

// place sends a request to the endpoint that the instance chooses, if any.
func (l *limitedRegion) place(i *limitedInstance, a *attempt) {
	w := &waiter{attempt: a, placed: make(chan placement.Choice, 1)}
	if i.pools.tryPlace(i.pools.byService[limitedService], w) != "" {
		return
	}
	c := <-w.placed
	sentAt := l.clk.Now()
	for _, e := range l.endpoints {
		if e.ID == c.ID {
			l.after(time.Millisecond+l.random(2*time.Millisecond), func() { l.arrive(i, e, a, c, sentAt) })
		}
	}
}

func (e *limitedEndpoint) named(at clock.Instant) (limit float64, limited bool) {
	for _, n := range e.limits {
		if n.from <= at {
			limit, limited = n.limit, n.limited
		}
	}
	return limit, limited
}

// arrive runs a request at an endpoint, and gives the sender its answer.
func (l *limitedRegion) arrive(i *limitedInstance, e *limitedEndpoint, a *attempt, c placement.Choice, sentAt clock.Instant) {
	now := l.clk.Now()
	told, wasTold := i.told[e.ID]
	e.arrivals = append(e.arrivals, limitedArrival{at: now, from: i.name, counted: wasTold && now.Sub(told) >= limitTold && now >= i.excused})
	status, head := http.StatusOK, AnswerHead{Signed: true}
	took := 5*time.Millisecond + time.Duration(l.rng.ExpFloat64()*float64(150*time.Millisecond))
	kind := l.rng.IntN(100)
	switch {
	case kind < 5:
		status, head, took = http.StatusServiceUnavailable, AnswerHead{NotRun: true}, 0
	case kind < 8:
		status = http.StatusInternalServerError
	}
	l.after(took, func() {
		head.RateLimit, head.RateLimited = e.named(l.clk.Now())
		if kind >= 5 && kind < 8 {
			head.RateLimited = false
		}
		l.after(time.Millisecond, l.whileUp(i, func() { l.answer(i, e, a, c, sentAt, kind, status, head) }))
	})
}

// answer gives an instance an endpoint's answer. A request that was declined or has failed is sent once more.
func (l *limitedRegion) answer(i *limitedInstance, e *limitedEndpoint, a *attempt, c placement.Choice, sentAt clock.Instant, kind, status int, head AnswerHead) {
	const reset = 10 // kinds from 8 to here get no answer
	if kind < 8 || kind >= reset {
		i.observeLimit(a.id, c.Incarnation, status, head, sentAt)
		if _, wasTold := i.told[e.ID]; head.RateLimited && !wasTold {
			i.told[e.ID] = l.clk.Now()
		}
	}
	if i.pools.byService[limitedService].service.Engine != nil {
		i.pools.recordStart(limitedService, c.Endpoint, a.id)
	}
	i.pools.release(limitedService, c.Endpoint, a.id, resultNone)
	if kind >= reset {
		l.served++
	} else if len(a.excluded) == 0 {
		a.excluded[e.ID] = true
		l.place(i, a)
	}
}

// excuse excuses an instance until a while after a fault has ended.
func (i *limitedInstance) excuse(until clock.Instant) {
	const settling = time.Second
	i.excused = max(i.excused, until.Add(settling))
}

// fault injects a random fault.
func (l *limitedRegion) fault() {
	now := l.clk.Now()
	i := l.instances[l.rng.IntN(len(l.instances))]
	length := 300*time.Millisecond + l.random(5*time.Second)
	if !i.up || i.leaves || now < i.frozenUntil || i.peersCut || i.storeCut {
		return // it has a fault already
	}
	switch l.rng.IntN(8) {
	case 0, 1: // killed, or stopped so that its key is removed
		i.up = false
		if l.rng.IntN(2) == 0 {
			i.leaseEnds = now
		}
		i.excuse(now.Add(length + 300*time.Millisecond))
		l.after(length, func() {
			if !i.leaves {
				l.startInstance(i)
			}
		})
	case 2:
		i.frozenUntil = now.Add(length)
		i.excuse(i.frozenUntil)
	case 3:
		i.peersCut = true
		i.excuse(now.Add(length))
		l.after(length, func() { i.peersCut = false })
	case 4:
		i.storeCut = true
		i.excuse(now.Add(length))
		l.after(length, func() { i.storeCut = false })
	case 5:
		l.storeDown = now.Add(length)
	case 6: // instances join, and as many leave a moment later
		l.replace(1+l.rng.IntN(2), length)
	case 7: // an endpoint restarts
		e := l.endpoints[l.rng.IntN(len(l.endpoints))]
		if _, limited := e.named(now); !limited {
			e.StartedAtMillis++
			for _, o := range l.instances {
				l.after(l.random(time.Second), l.whileUp(o, func() { l.setEndpoints(o) }))
			}
		}
	}
}

// replace starts new instances and stops as many others after a while.
func (l *limitedRegion) replace(n int, after time.Duration) {
	for range n {
		i := l.instances[l.rng.IntN(len(l.instances))]
		if i.leaves {
			continue
		}
		i.leaves = true
		joins := &limitedInstance{name: fmt.Sprint(i.name, "+")}
		joins.excuse(l.clk.Now())
		l.instances = append(l.instances, joins)
		l.startInstance(joins)
		l.callers(joins, l.callerRate)
		l.after(after, func() {
			i.up, i.leaseEnds = false, l.clk.Now()
			l.instances = slices.DeleteFunc(l.instances, func(o *limitedInstance) bool { return o == i })
		})
	}
}

// boundAt returns the number of requests that the endpoint may get in the window that ends at a moment, and false if nothing binds it:
// it names no limit for a part of the window, or has begun to name one lately. If its limit changes, each counts for its part of the window.
func (e *limitedEndpoint) boundAt(at clock.Instant) (allowed float64, bound bool) {
	begins, since := at.Add(-limitWindow), at
	for n, named := range e.limits {
		ends := at
		if n+1 < len(e.limits) {
			ends = min(at, e.limits[n+1].from)
		}
		switch {
		case named.from > at:
		case !named.limited && ends >= begins:
			return 0, false
		case named.limited:
			if n == 0 || !e.limits[n-1].limited {
				since = named.from
			}
			allowed += limitExcess * named.limit * max(0, ends.Sub(max(begins, named.from)).Seconds())
		}
	}
	return allowed + limitSlack, at.Sub(since) >= limitContact
}

// check returns the first window in which the endpoint got more requests than it may, "" if there is none.
func (e *limitedEndpoint) check() string {
	first, counted := 0, 0
	for _, a := range e.arrivals {
		for ; a.at.Sub(e.arrivals[first].at) > limitWindow; first++ {
			if e.arrivals[first].counted {
				counted--
			}
		}
		if a.counted {
			counted++
		}
		if allowed, bound := e.boundAt(a.at); bound && float64(counted) > allowed {
			return fmt.Sprintf("endpoint %s got %d requests in the %s to %s, allowed %.1f; it named %+v", e.ID, counted, limitWindow, time.Duration(a.at), allowed, e.limits)
		}
	}
	return ""
}

// limitSeeds is set by hand for long runs, also of the sizes that take too long for each run of the tests.
var limitSeeds = flag.Uint64("limit-seeds", 0, "seeds of each size in TestNamedLimitHoldsAcrossInstances")

// Guards against an endpoint that names the request rate which it takes from all instances together and gets more: each instance by
// itself ignores the limit, or all together exceed it, as the set of instances changes, an instance resumes after a pause, is cut off
// or takes over, or requests are sent again.
func TestNamedLimitHoldsAcrossInstances(t *testing.T) {
	engine := &catalog.Engine{Slots: 64, KVCacheTokens: 400_000, EventTokens: 7}
	for _, tc := range []struct {
		instances, endpoints int
		seeds                uint64
		engine               *catalog.Engine
	}{
		{instances: 1, endpoints: 2, seeds: 3},
		{instances: 2, endpoints: 3, seeds: 10},
		{instances: 4, endpoints: 5, seeds: 10, engine: engine},
		{instances: 13, endpoints: 12, seeds: 5},
		{instances: 40, endpoints: 20, seeds: 1, engine: engine},
		{instances: 130, endpoints: 30, engine: engine},
		{instances: 390, endpoints: 30},
	} {
		for seed := range max(tc.seeds, *limitSeeds) {
			t.Run(fmt.Sprintf("%d instances, seed %d", tc.instances, seed), func(t *testing.T) {
				t.Parallel()
				l := newLimitedRegion(t, seed, tc.instances, tc.endpoints, tc.engine)
				l.playLimits(30*time.Second, true)
			})
		}
	}
}

// Guards against a cold endpoint that gets more requests in a second than it accepts from all instances, while these are killed all at
// once or one by one. Nothing excuses an instance here.
func TestColdRateHoldsThroughRestarts(t *testing.T) {
	const coldRate, allowed = 3.5, 3.5*1.5 + 3
	for seed := range uint64(10) {
		l := newLimitedRegion(t, seed, 1+int(seed), 3, nil)
		var err error
		if l.conf, err = catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: limitedService, ColdRate: coldRate}}}); err != nil {
			t.Fatal(err)
		}
		for _, e := range l.endpoints {
			e.ColdUntil = l.clk.Now().Add(time.Hour)
		}
		for _, i := range l.instances {
			l.setEndpoints(i)
		}
		l.run(5 * time.Second)
		for _, i := range l.instances {
			l.callers(i, 200/float64(len(l.instances)))
		}
		for range 10 {
			all := l.rng.IntN(3) == 0
			for _, i := range l.instances {
				if all || l.rng.IntN(4) == 0 {
					i.up = false
					l.after(l.random(time.Second), func() { l.startInstance(i) })
				}
			}
			l.run(time.Second + l.random(3*time.Second))
		}
		l.run(10 * time.Second)
		for _, e := range l.endpoints {
			for _, a := range e.arrivals {
				if n := e.arrivalsIn(a.at, a.at.Add(time.Second)); float64(n) > allowed {
					t.Fatalf("seed %d: endpoint %s got %d requests in a second, allowed %.1f", seed, e.ID, n, allowed)
				}
			}
			if n := e.arrivalsIn(l.clk.Now().Add(-5*time.Second), l.clk.Now()); n == 0 {
				t.Errorf("seed %d: endpoint %s gets nothing after the last restart", seed, e.ID)
			}
		}
	}
}

// Guards against an endpoint that names a limit and gets far less than that, also when instances come and go, or that gets no more
// after it names none any more.
func TestLimitedEndpointStaysInUse(t *testing.T) {
	for _, n := range []int{1, 4, 20} {
		for _, limit := range []float64{0, 0.5, 2, 8} {
			t.Run(fmt.Sprintf("%d instances, %.1f a second", n, limit), func(t *testing.T) {
				t.Parallel()
				l := newLimitedRegion(t, 1, n, 4, nil)
				l.run(5 * time.Second)
				for _, i := range l.instances {
					l.callers(i, 160/float64(n))
				}
				start, e := l.clk.Now().Add(time.Second), l.endpoints[0]
				e.limits = []namedLimit{{start, true, limit}, {start.Add(30 * time.Second), false, 0}}
				l.run(50 * time.Second)
				if got, want := e.arrivalsIn(start.Add(10*time.Second), start.Add(30*time.Second)), limit*20; float64(got) < 0.6*want || got == 0 {
					t.Errorf("%d requests in 20 s at a limit of %.1f a second", got, limit)
				}
				if got, other := e.arrivalsIn(start.Add(45*time.Second), start.Add(50*time.Second)), l.endpoints[1].arrivalsIn(start.Add(45*time.Second), start.Add(50*time.Second)); got < other/2 {
					t.Errorf("15 s after the limit has ended, %d requests in 5 s, another endpoint gets %d", got, other)
				}
			})
		}
	}
}

// arrivalsIn returns the number of requests that reached the endpoint in a span.
func (e *limitedEndpoint) arrivalsIn(from, to clock.Instant) int {
	n := 0
	for _, a := range e.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

// playLimits lets endpoints name limits and checks the bound. With faults, those come at random.
func (l *limitedRegion) playLimits(length time.Duration, faults bool) {
	l.t.Helper()
	l.run(5 * time.Second)
	l.callerRate = 120 / float64(len(l.instances))
	for _, i := range l.instances {
		l.callers(i, l.callerRate)
	}
	l.run(2 * time.Second)
	start := l.clk.Now()
	perSecond := func() float64 {
		if l.rng.IntN(4) == 0 {
			return 3 + 12*l.rng.Float64() // enough for several senders
		}
		return 0.2 + 3*l.rng.Float64()
	}
	limited := l.endpoints[:1+l.rng.IntN(len(l.endpoints)/2)]
	for _, e := range limited {
		at := start.Add(l.random(time.Second))
		e.limits = []namedLimit{{at, true, perSecond()}}
		for range l.rng.IntN(3) { // it names other limits, and none in between
			at = at.Add(8*time.Second + l.random(6*time.Second))
			e.limits = append(e.limits, namedLimit{at, l.rng.IntN(3) > 0, perSecond()})
		}
	}
	if faults {
		for at := time.Duration(0); at < length; at += l.random(3 * time.Second) {
			l.after(at, l.fault)
		}
	}
	l.run(length)
	for _, e := range limited {
		if broken := e.check(); broken != "" {
			l.t.Error(broken)
		}
	}
	if l.served == 0 {
		l.t.Error("no request was served")
	}
}
