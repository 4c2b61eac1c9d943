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
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
)

// Bounds of a region whose endpoints ask for no requests.
const (
	// noticeSlack is when nothing may reach an endpoint any more after it has asked an instance to wait. Operators allow two requests; none
	// is expected here.
	noticeSlack = 500 * time.Millisecond
	// adviceBound is when no instance may send to a leaving endpoint any more after one has been told, if there are no faults.
	adviceBound = 2 * time.Second
	// offerBound is when no instance may pass a request on to a region any more after its last endpoint has told one of the region that
	// it is leaving, if there are no faults.
	offerBound = adviceBound + unresponsiveAfter
	// noticeSettling is how long before the end of a run faults end and endpoints stop asking to wait.
	noticeSettling = 12 * time.Second
)

// noticeRegion is a simulated region in which endpoints leave and ask to wait.
type noticeRegion struct {
	*limitedRegion
	neighbours []*noticeRegion // that may pass requests on to it
	faults     bool
	leaving    map[catalog.Incarnation]bool
	busy       map[catalog.Incarnation]clock.Instant // until when an endpoint asks to wait
	told       map[toldKey]toldNotice
	advised    map[catalog.Incarnation]toldKey // an instance that knows of the leaving, most recently told
	servedBy   map[catalog.Incarnation]int
	asked      int // answers with a notice
	withheld   int // requests that were placed and not sent
	passedOn   int // requests of other regions
	failure    string
}

type toldKey struct {
	instance    string
	incarnation uint64
	endpoint    catalog.Incarnation
}

// toldNotice is what an instance has passed on of an endpoint.
type toldNotice struct {
	leavingAt        clock.Instant // 0: not told
	waitAt, waitEnds clock.Instant
}

func (l *noticeRegion) fail(format string, args ...any) {
	if l.failure == "" {
		l.failure = fmt.Sprint(time.Duration(l.clk.Now()), ": ", fmt.Sprintf(format, args...))
	}
}

// callers sends requests to an instance. Some are passed on to another region.
func (l *noticeRegion) callers(i *limitedInstance, perSecond float64) {
	l.after(time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		l.callers(i, perSecond)
		if !i.up || l.clk.Now() < i.frozenUntil {
			return
		}
		l.seq++
		maxWait := reconsiderInterval
		if l.rng.IntN(3) == 0 {
			maxWait = 2 * time.Second
		}
		id := fmt.Sprint("r", l.seq)
		a := &attempt{id: id, service: limitedService, excluded: map[string]bool{}, waitUntil: l.clk.Now().Add(maxWait),
			work: placement.Request{ID: id, PromptTokens: 100, OutputTokens: 50}}
		if len(l.neighbours) > 0 && l.rng.IntN(3) == 0 {
			l.passOn(i, a)
			return
		}
		l.place(i, a, l.clk.Now())
	})
}

// passOn sends a request through an instance of a region that offers its endpoints.
func (l *noticeRegion) passOn(i *limitedInstance, a *attempt) {
	now := l.clk.Now()
	all := func(string) bool { return true }
	to := l.neighbours[l.rng.IntN(len(l.neighbours))]
	through := to.instances[l.rng.IntN(len(to.instances))]
	offered := slices.ContainsFunc(i.fleet.remoteRegions(limitedService, all, all), func(r routing.RegionLoad) bool { return r.Region == to.name })
	if !offered || !i.reaches(through, now) {
		return
	}
	if since, all := to.allLeaveSince(); all && !l.faults && now > since.Add(offerBound) {
		l.fail("%s passes a request on to region %s, all of whose endpoints have been leaving for %s", i.name, to.name, now.Sub(since))
	}
	l.after(40*time.Millisecond+l.random(20*time.Millisecond), to.whileUp(through, func() {
		a.waitUntil = l.clk.Now().Add(time.Second)
		to.passedOn++
		to.place(through, a, now)
	}))
}

// allLeaveSince returns since when an instance has known of each of the endpoints that it is leaving, and false if one is not.
func (l *noticeRegion) allLeaveSince() (since clock.Instant, all bool) {
	for _, e := range l.endpoints {
		by, known := l.advised[e.Incarnation]
		if !known {
			return 0, false
		}
		since = max(since, l.told[by].leavingAt)
	}
	return since, true
}

// allLeave makes all endpoints leave, and start again after a while.
func (l *noticeRegion) allLeave() {
	for _, e := range l.endpoints {
		l.leaving[e.Incarnation] = true
	}
	l.after(6*time.Second, func() {
		for _, e := range l.endpoints {
			e.StartedAtMillis++
		}
		l.listAgain(time.Second)
	})
}

// listAgain gives the instances the endpoints within a time.
func (l *noticeRegion) listAgain(within time.Duration) {
	for _, i := range l.instances {
		l.after(l.random(within), l.whileUp(i, func() { l.setEndpoints(i) }))
	}
}

// place sends a request to the endpoint that the instance chooses, after a wait in its queue if need be.
func (l *noticeRegion) place(i *limitedInstance, a *attempt, received clock.Instant) {
	w := &waiter{attempt: a, placed: make(chan placement.Choice, 1)}
	pool := i.pools.byService[limitedService]
	if reason := i.pools.placeNow(pool, w); reason.Transient() {
		pool.enqueue(w)
	} else if reason != "" {
		return
	}
	withheldSince := l.clk.Now()
	var poll func()
	poll = func() {
		select {
		case c, placed := <-w.placed:
			if placed {
				l.connect(i, a, c, received)
			}
		default:
			if l.clk.Now() >= a.waitUntil {
				pool.remove(w)
				return
			}
			if !l.allWithheld(i) || i.frozenUntil > withheldSince {
				withheldSince = l.clk.Now()
			} else if waited := l.clk.Now().Sub(withheldSince); waited > 200*time.Millisecond {
				l.fail("a request waits at %s for %s although no endpoint accepts requests", i.name, waited)
			}
			l.after(10*time.Millisecond, l.whileUp(i, poll))
		}
	}
	poll()
}

func (l *noticeRegion) allWithheld(i *limitedInstance) bool {
	for _, e := range l.endpoints {
		if i.pools.accepts(e.Incarnation) {
			return false
		}
	}
	return true
}

// connect sends a request once a connection is open, unless the endpoint asks for none then.
func (l *noticeRegion) connect(i *limitedInstance, a *attempt, c placement.Choice, received clock.Instant) {
	dial := l.random(3 * time.Millisecond)
	if l.rng.IntN(10) == 0 {
		dial += l.random(900 * time.Millisecond)
	}
	l.after(dial, l.whileUp(i, func() {
		if !i.pools.accepts(c.Incarnation) {
			l.withheld++
			i.pools.release(limitedService, c.Endpoint, a.id, resultNone)
			l.place(i, a, received)
			return
		}
		l.after(l.random(3*time.Millisecond), func() { l.arrive(i, a, c, received) })
	}))
}

// arrive runs a request at an endpoint, if that still has its address, and gives the sender its answer.
func (l *noticeRegion) arrive(i *limitedInstance, a *attempt, c placement.Choice, received clock.Instant) {
	now := l.clk.Now()
	l.check(i, c.Incarnation, received)
	listed := false
	for _, e := range l.endpoints {
		listed = listed || e.Incarnation == c.Incarnation
	}
	status, head, took := http.StatusOK, AnswerHead{Signed: true}, 5*time.Millisecond+time.Duration(l.rng.ExpFloat64()*float64(150*time.Millisecond))
	kind := l.rng.IntN(20)
	ends, busy := l.busy[c.Incarnation]
	switch {
	case !listed:
		status, head, took = http.StatusMisdirectedRequest, AnswerHead{NotRun: true}, 0
	case busy && now < ends:
		status, head, took = http.StatusServiceUnavailable, AnswerHead{NotRun: kind > 0, Notice: endpointnotice.Said{Wait: ends.Sub(now)}}, 0
	case kind == 0:
		status, head, took = http.StatusServiceUnavailable, AnswerHead{NotRun: true}, 0
	case kind == 1:
		status = http.StatusInternalServerError
	}
	l.after(took, func() {
		head.Notice.Leaving = listed && l.leaving[c.Incarnation]
		l.after(time.Millisecond, l.whileUp(i, func() { l.answer(i, a, c, received, status, head) }))
	})
}

// check reports a request that an instance was told not to send.
func (l *noticeRegion) check(i *limitedInstance, endpoint catalog.Incarnation, received clock.Instant) {
	now, n := l.clk.Now(), l.told[toldKey{i.name, i.incarnation, endpoint}]
	if n.leavingAt != 0 && received > n.leavingAt {
		l.fail("a request received %s after %s had passed on that %v is leaving reaches it", received.Sub(n.leavingAt), i.name, endpoint)
	}
	if n.waitAt != 0 && now > n.waitAt.Add(noticeSlack) && now < n.waitEnds {
		l.fail("a request of %s reaches %v %s after it has asked to wait, for %s", i.name, endpoint, now.Sub(n.waitAt), n.waitEnds.Sub(n.waitAt))
	}
	// Without faults since then, all instances have heard of it from the one that was told.
	if by, known := l.advised[endpoint]; known && !l.faults {
		if first := l.told[by].leavingAt; received > first.Add(adviceBound) {
			l.fail("%s sends to %v %s after %s was told that it is leaving", i.name, endpoint, received.Sub(first), by.instance)
		}
	}
}

func (l *noticeRegion) answer(i *limitedInstance, a *attempt, c placement.Choice, received clock.Instant, status int, head AnswerHead) {
	now := l.clk.Now()
	key := toldKey{i.name, i.incarnation, c.Incarnation}
	n := l.told[key]
	if head.Notice.Leaving && n.leavingAt == 0 {
		n.leavingAt = now
		if _, known := l.advised[c.Incarnation]; !known {
			l.advised[c.Incarnation] = key
		}
	}
	if head.Notice.Wait > 0 && now.Add(head.Notice.Wait) > n.waitEnds {
		n.waitAt, n.waitEnds = now, now.Add(head.Notice.Wait)
	}
	if head.Notice != (endpointnotice.Said{}) {
		l.asked++
	}
	l.told[key] = n
	i.observeNotice(a.id, c.Incarnation, head.Notice)
	if i.pools.byService[limitedService].service.Engine != nil {
		i.pools.recordStart(limitedService, c.Endpoint, a.id)
	}
	i.pools.release(limitedService, c.Endpoint, a.id, resultNone)
	if status == http.StatusOK {
		l.servedBy[c.Incarnation]++
	} else if len(a.excluded) == 0 {
		a.excluded[c.ID] = true
		l.place(i, a, received)
	}
}

// disturbInstances injects a fault of an instance, of the store or of the exchange between instances.
func (l *noticeRegion) disturbInstances() {
	i, now, length := l.instances[l.rng.IntN(len(l.instances))], l.clk.Now(), 300*time.Millisecond+l.random(4*time.Second)
	if !i.up || now < i.frozenUntil || i.peersCut || i.storeCut {
		return
	}
	switch l.rng.IntN(5) {
	case 0:
		i.up = false
		l.after(length, func() { l.startInstance(i) })
	case 1:
		i.frozenUntil = now.Add(length)
	case 2:
		i.peersCut = true
		l.after(length, func() { i.peersCut = false })
	case 3:
		i.storeCut = true
		l.after(length, func() { i.storeCut = false })
	case 4:
		l.storeDown = now.Add(length)
	}
}

// disturbEndpoint makes an endpoint leave or ask to wait, or gives its id and address to a new one.
func (l *noticeRegion) disturbEndpoint() {
	e, now := l.endpoints[l.rng.IntN(len(l.endpoints))], l.clk.Now()
	switch l.rng.IntN(4) {
	case 0:
		l.leaving[e.Incarnation] = true
	case 1:
		if !l.leaving[e.Incarnation] {
			return
		}
		e.StartedAtMillis++
		l.listAgain(time.Second)
	default:
		l.busy[e.Incarnation] = now.Add(100*time.Millisecond + l.random(8*time.Second))
	}
}

// noticeSeeds is set by hand for long runs.
var noticeSeeds = flag.Uint64("notice-seeds", 0, "seeds of each size in TestNoticesHoldAcrossInstances")

// Guards against requests that reach an endpoint after it has told the instance that it is leaving, or before the time is over for which
// it has asked to wait: as other instances come and go, instances start again, are paused or cut off, requests wait, are sent again or
// need long for a connection, and endpoints start again with the same id and address. Guards also against an instance that its region
// does not tell of a leaving endpoint, and against a new endpoint that is not used because of the one before it.
func TestNoticesHoldAcrossInstances(t *testing.T) {
	engine := &catalog.Engine{Slots: 8, KVCacheTokens: 400_000, EventTokens: 7}
	for _, tc := range []struct {
		regions, instances, endpoints int
		seeds                         uint64
		engine                        *catalog.Engine
	}{
		{regions: 1, instances: 1, endpoints: 2, seeds: 4}, {regions: 1, instances: 4, endpoints: 5, seeds: 6, engine: engine},
		{regions: 1, instances: 36, endpoints: 12, seeds: 2}, {regions: 1, instances: 390, endpoints: 30},
		{regions: 2, instances: 4, endpoints: 8, seeds: 6, engine: engine}, {regions: 3, instances: 36, endpoints: 18, seeds: 2}, {regions: 3, instances: 390, endpoints: 36},
	} {
		for seed := range max(tc.seeds, *noticeSeeds) {
			name := fmt.Sprintf("%d instances, seed %d", tc.instances, seed)
			if tc.regions > 1 {
				name = fmt.Sprintf("%d regions, %s", tc.regions, name)
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if tc.regions == 1 {
					newNoticeRegion(newLimitedRegion(t, seed, tc.instances, tc.endpoints, tc.engine), seed).play(20 * time.Second)
					return
				}
				set := newRegionSet(t, rand.New(rand.NewPCG(seed, 3)), tc.regions)
				set.populate(tc.instances, tc.endpoints, tc.engine)
				playRegions(set, seed, 20*time.Second)
			})
		}
	}
}

func newNoticeRegion(l *limitedRegion, seed uint64) *noticeRegion {
	return &noticeRegion{
		limitedRegion: l, faults: seed%2 == 1, leaving: make(map[catalog.Incarnation]bool),
		busy: make(map[catalog.Incarnation]clock.Instant), told: make(map[toldKey]toldNotice), advised: make(map[catalog.Incarnation]toldKey),
		servedBy: make(map[catalog.Incarnation]int),
	}
}

// playRegions plays regions that pass requests on to each other.
func playRegions(set *regionSet, seed uint64, length time.Duration) {
	var regions []*noticeRegion
	for _, l := range set.regions {
		regions = append(regions, newNoticeRegion(l, seed))
	}
	for n, l := range regions {
		l.neighbours = slices.Concat(regions[:n], regions[n+1:])
	}
	set.run(5 * time.Second)
	for _, l := range regions {
		l.begin(length, 150/float64(len(regions)))
	}
	set.after(set.regions[0].random(length/2), regions[0].allLeave)
	set.run(length)
	for _, l := range regions {
		l.settle()
	}
	set.run(noticeSettling)
	for _, l := range regions {
		l.finish()
		if l.passedOn == 0 {
			l.t.Errorf("no request of another region reaches region %s", l.name)
		}
		l.t.Logf("%d requests of other regions reach region %s", l.passedOn, l.name)
	}
}

func (l *noticeRegion) play(length time.Duration) {
	l.run(5 * time.Second)
	l.begin(length, 150)
	l.run(length)
	l.settle()
	l.run(noticeSettling)
	l.finish()
}

// begin sends requests, a number per second, and lets endpoints leave and ask to wait for a time.
func (l *noticeRegion) begin(length time.Duration, perSecond float64) {
	for _, i := range l.instances {
		l.callers(i, perSecond/float64(len(l.instances)))
	}
	for at := time.Duration(0); at < length; at += l.random(2 * time.Second) {
		l.after(at, l.disturbEndpoint)
		if l.faults {
			l.after(at+l.random(time.Second), l.disturbInstances)
		}
	}
}

// settle checks what the region offers and starts all its endpoints again.
func (l *noticeRegion) settle() {
	// The root offers other regions nothing if no endpoint accepts requests of it.
	for _, i := range l.instances {
		if sum := i.pools.byService[limitedService].worstLoad(l.clk.Now()); l.allWithheld(i) && sum.Usable > 0 {
			l.fail("%s offers %d endpoints to other regions, none accepts requests", i.name, sum.Usable)
		}
	}
	for _, e := range l.endpoints {
		e.StartedAtMillis++
	}
	for _, i := range l.instances {
		l.after(time.Second, l.whileUp(i, func() { l.setEndpoints(i) }))
	}
}

// finish checks that the new endpoints are used.
func (l *noticeRegion) finish() {
	served := 0
	for _, e := range l.endpoints {
		served += l.servedBy[e.Incarnation]
		for _, i := range l.instances {
			if !i.pools.accepts(e.Incarnation) {
				l.fail("%s still withholds requests from %v, which has asked for nothing since its start", i.name, e.Incarnation)
			}
		}
	}
	if served == 0 {
		l.fail("the new endpoints have served nothing in %s", noticeSettling)
	}
	l.t.Logf("requests served by new endpoints: %v", l.servedBy)
	if l.failure != "" {
		l.t.Error(l.failure)
	}
	if l.asked == 0 {
		l.t.Error("no endpoint has asked for anything")
	}
	l.t.Logf("%d answers with notices, %d requests withheld", l.asked, l.withheld)
}
