package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const start = clock.Instant(time.Hour)

func engineService() *catalog.Service {
	return &catalog.Service{Name: "m", ColdRate: 3.5, ColdPeriod: 3 * time.Second,
		Engine: &catalog.Engine{Slots: 128, KVCacheTokens: 369_000, EventTokens: 7}}
}

func endpoints(n, slots int) []catalog.Endpoint {
	var out []catalog.Endpoint
	for i := range n {
		out = append(out, catalog.Endpoint{
			Incarnation: catalog.Incarnation{ID: fmt.Sprintf("e%d", i)}, Service: "m", Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots,
		})
	}
	return out
}

func newTestPool(service *catalog.Service, n, slots int) *Pool {
	p := NewPool(service, func(_ string, rate float64) float64 { return rate / 2 })
	p.SetEndpoints(endpoints(n, slots))
	return p
}

// prompt returns work with a shared part of the given subject and a part of its own.
func prompt(id int, subject string) Work {
	shared := PartKey("m", subject)
	return Work{ID: fmt.Sprint(id), Prompt: 9000, Output: 50,
		Parts: []Part{{Key: shared, Tokens: 6000}, {Key: PartKey("m", fmt.Sprint("own ", id)), Tokens: 3000}}}
}

func (p *Pool) mustBegin(t *testing.T, now clock.Instant, w Work) Choice {
	t.Helper()
	c, reason := p.Choose(now, &w, Constraint{})
	if reason != "" {
		t.Fatalf("request %s has no endpoint: %s", w.ID, reason)
	}
	p.Begin(now, c, w)
	return c
}

// Guards against shared prompt parts that are read again at every engine: few subjects in a calm region stay where they are
// held.
func TestSharedPartsStayWhereTheyAreHeld(t *testing.T) {
	p := newTestPool(engineService(), 4, 128)
	where := map[string]map[string]bool{}
	now := start
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		subject := fmt.Sprint("s", i%20)
		w := prompt(i, subject)
		c := p.mustBegin(t, now, w)
		if where[subject] == nil {
			where[subject] = map[string]bool{}
		}
		where[subject][c.Endpoint.ID] = true
		p.Started(now.Add(100*time.Millisecond), c.Endpoint, w.ID)
		p.End(now.Add(time.Second), c.Endpoint, w.ID)
	}
	for subject, at := range where {
		if len(at) > 1 {
			t.Errorf("%s was read at %d endpoints", subject, len(at))
		}
	}
}

// Guards against engines that read what another engine of the region could copy to them.
func TestBusyHolderIsCopiedFrom(t *testing.T) {
	service := engineService()
	service.Engine.CopyRate = 2.5e6
	p := newTestPool(service, 2, 128)
	first := p.mustBegin(t, start, prompt(0, "s"))
	p.Started(start.Add(100*time.Millisecond), first.Endpoint, "0")
	now := start.Add(time.Second)
	for i := range 3 { // more than the holder reads in a moment
		w := prompt(10+i, fmt.Sprint("other ", i))
		c, reason := p.Choose(now, &w, Constraint{Excluded: func(id string) bool { return id != first.ID }})
		if reason != "" {
			t.Fatal(reason)
		}
		p.Begin(now, c, w)
	}
	second := p.mustBegin(t, now, prompt(1, "s"))
	if second.Endpoint == first.Endpoint {
		t.Fatal("the second request waits behind three others although the other engine could copy")
	}
	if second.CopyFrom != first.Endpoint.Addr {
		t.Errorf("copies from %q, want %q", second.CopyFrom, first.Endpoint.Addr)
	}
	if e := second.Endpoint; e.unread > 3100 {
		t.Errorf("%v tokens are to be read after the copy, want those of the request alone", e.unread)
	}
}

// Guards against prompts of one subject that come together and are each read whole: a part cannot be copied before it is read, and the
// engine that is reading it need not read it again (found on the grown deployments, where a quarter of what engines read had been read
// by another one).
func TestPartsBeingReadAreNotCopied(t *testing.T) {
	service := engineService()
	service.Engine.CopyRate = 2.5e6
	p := newTestPool(service, 2, 128)
	first := p.mustBegin(t, start, prompt(0, "s"))
	second := p.mustBegin(t, start, prompt(1, "s"))
	if second.CopyFrom != "" {
		t.Errorf("a part that is being read is to be copied from %s", second.CopyFrom)
	}
	if second.Endpoint != first.Endpoint || second.Unread > 3100 {
		t.Errorf("the second request goes to %s and reads %v tokens, want it behind the first and its own part read", second.ID, second.Unread)
	}
	p.Started(start.Add(200*time.Millisecond), first.Endpoint, "0")
	now := start.Add(time.Second)
	w := prompt(2, "s")
	third, reason := p.Choose(now, &w, Constraint{Excluded: func(id string) bool { return id == first.ID }})
	if reason != "" || third.CopyFrom != first.Addr {
		t.Errorf("once it is read it is copied from %q, want %q (%s)", third.CopyFrom, first.Addr, reason)
	}
}

// Guards against an engine that has gone dark and keeps the requests of the subjects that it holds, until its connections time out.
func TestSilentEngineIsAvoided(t *testing.T) {
	p := newTestPool(engineService(), 2, 128)
	first := p.mustBegin(t, start, prompt(0, "s"))
	p.Started(start.Add(100*time.Millisecond), first.Endpoint, "0")
	p.End(start.Add(200*time.Millisecond), first.Endpoint, "0")
	now := start.Add(time.Second)
	if c := p.mustBegin(t, now, prompt(1, "s")); c.Endpoint != first.Endpoint {
		t.Fatal("a held subject is sent elsewhere")
	}
	if c := p.mustBegin(t, now.Add(700*time.Millisecond), prompt(2, "s")); c.Endpoint == first.Endpoint {
		t.Error("an engine that has owed a first event for half a second gets the next request")
	}
	p.Produced(now.Add(700*time.Millisecond), first.Endpoint, 50*time.Millisecond, 1)
	if first.Endpoint.silence(now.Add(800*time.Millisecond)) != 0 {
		t.Error("an engine that gives output of other requests counts as silent")
	}
}

// Guards against a cold endpoint that gets more than it bears in a second from two instances that do not know of each other's
// requests, when a region's endpoints come back together.
func TestColdEndpointsArePaced(t *testing.T) {
	const rate, excess, slack = 3.5, 1.5, 3.0
	cold := endpoints(2, 128)
	for i := range cold {
		cold[i].ColdUntil = start.Add(3 * time.Second)
	}
	sent := map[string][]clock.Instant{}
	for range 2 {
		p := newTestPool(engineService(), 0, 0)
		p.SetEndpoints(cold)
		for i, now := 0, start; now < start.Add(3*time.Second); i, now = i+1, now.Add(10*time.Millisecond) {
			w := prompt(i, "s")
			if c, reason := p.Choose(now, &w, Constraint{}); reason == "" {
				p.Begin(now, c, w)
				sent[c.Endpoint.ID] = append(sent[c.Endpoint.ID], now)
			}
		}
	}
	for id, at := range sent {
		for _, from := range at {
			n := 0
			for _, other := range at {
				if other >= from && other.Sub(from) < time.Second {
					n++
				}
			}
			if float64(n) > rate*excess+slack {
				t.Errorf("%s gets %d requests in a second", id, n)
			}
		}
	}
	if len(sent) != 2 {
		t.Error("cold endpoints get nothing")
	}
}

// Guards against batches in which no answer ends in time: with a burst of long answers, an engine takes no more requests once an
// output token takes too long.
func TestSlowEngineTakesNoMore(t *testing.T) {
	p := newTestPool(engineService(), 1, 128)
	w := prompt(0, "s")
	w.MaxPace = 15 * time.Millisecond
	for i := range minCrowd {
		w.ID = fmt.Sprint(i)
		p.mustBegin(t, start, w)
	}
	e := p.Endpoint("e0")
	for i := range 50 {
		p.Produced(start.Add(time.Duration(i)*20*time.Millisecond), e, 140*time.Millisecond, 1) // 7 tokens in 140 ms
	}
	now := start.Add(time.Second)
	if _, reason := p.Choose(now, &w, Constraint{}); reason != AllBusy {
		t.Errorf("at 20 ms a token, a request that bears 15 ms: reason %q", reason)
	}
	w.MaxPace = 25 * time.Millisecond
	if _, reason := p.Choose(now, &w, Constraint{}); reason != "" {
		t.Errorf("at 20 ms a token, a request that bears 25 ms is refused: %q", reason)
	}
	w.MaxPace = 15 * time.Millisecond
	if _, reason := p.Choose(now.Add(2*paceValid), &w, Constraint{}); reason != "" {
		t.Errorf("a pace that is no longer measured still refuses: %q", reason)
	}
}

// Guards against work counted twice or for ever: after all requests have ended, nothing is under way, whatever the order of
// their events.
func TestWorkIsReturned(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := newTestPool(engineService(), 3, 128)
	type open struct {
		c Choice
		w Work
	}
	var running []open
	now := start
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		w := prompt(i, fmt.Sprint(rng.IntN(30)))
		if c, reason := p.Choose(now, &w, Constraint{}); reason == "" {
			p.Begin(now, c, w)
			running = append(running, open{c, w})
		}
		for len(running) > 0 && rng.IntN(3) > 0 {
			j := rng.IntN(len(running))
			o := running[j]
			if rng.IntN(2) == 0 {
				p.Started(now, o.c.Endpoint, o.w.ID)
				continue
			}
			p.End(now, o.c.Endpoint, o.w.ID)
			running = append(running[:j], running[j+1:]...)
		}
	}
	for _, o := range running {
		p.End(now, o.c.Endpoint, o.w.ID)
	}
	p.OwnWork(func(id string, w PeerWork) {
		if w.Running != 0 || w.Unread > 1e-6 || w.Memory > 1e-6 {
			t.Errorf("%s still has %+v", id, w)
		}
	})
}

// Guards against two instances that fill the same endpoint because neither knows of the other's requests.
func TestPeersWorkCounts(t *testing.T) {
	p := newTestPool(&catalog.Service{Name: "m"}, 2, 2)
	p.SetOthers(start, map[string]PeerWork{"e0": {Running: 3}}, 2)
	for i := range 3 {
		if c := p.mustBegin(t, start, Work{ID: fmt.Sprint(i)}); c.Endpoint.ID != "e1" {
			t.Fatalf("request %d goes to %s, which another instance has filled", i, c.Endpoint.ID)
		}
	}
	w := Work{ID: "last"}
	if _, reason := p.Choose(start, &w, Constraint{}); reason != AllBusy {
		t.Errorf("with all places taken the reason is %q", reason)
	}
	if _, reason := p.Choose(start.Add(2*PeerWorkAge), &w, Constraint{}); reason != "" {
		t.Errorf("a silent instance's work counts for ever: %q", reason)
	}
}

// Guards against work of other instances that counts twice after it is told again, or for ever after a message left it out.
func TestPeersWorkIsReplaced(t *testing.T) {
	p := newTestPool(&catalog.Service{Name: "m"}, 2, 2)
	others := func() (running [2]int) {
		for i := range running {
			running[i] = p.Endpoint(fmt.Sprint("e", i)).load().Running
		}
		return running
	}
	p.SetOthers(start, map[string]PeerWork{"e0": {Running: 3, Unread: 10}}, 2)
	p.SetOthers(start, map[string]PeerWork{"e0": {Running: 3, Unread: 5}}, 2)
	if got := others(); got != [2]int{3, 0} {
		t.Errorf("work counts as %v, want 3 at the first endpoint", got)
	}
	p.SetOthers(start, map[string]PeerWork{"e1": {Running: 1}}, 2)
	if got := others(); got != [2]int{0, 1} {
		t.Errorf("work counts as %v, want 1 at the second endpoint, which alone was told last", got)
	}
	p.Choose(start.Add(PeerWorkAge+1), &Work{ID: "r"}, Constraint{})
	if got := others(); got != [2]int{} {
		t.Errorf("after a silence the work counts as %v", got)
	}
}

// Guards against parts that are still looked for at an endpoint after its memory has yielded them, or after it has gone.
func TestHoldersFollowCaches(t *testing.T) {
	p := newTestPool(engineService(), 2, 128)
	first, second := Part{Key: 1, Tokens: 200_000}, Part{Key: 2, Tokens: 200_000}
	p.Holds("e0", []Part{first}, start)
	p.Holds("e0", []Part{second}, start)
	p.Holds("e1", []Part{first, {Key: 3, Tokens: 10}}, start)
	if held := p.held(start, []Part{first, {Key: 3, Tokens: 10}}); held[0].tokens != 0 || held[1].tokens != 200_010 {
		t.Errorf("the prompt is taken to be held as %v, want only at the second", held)
	}
	if held := p.held(start, []Part{{Key: 9, Tokens: 1}, first}); held[0].tokens != 0 || held[1].tokens != 0 {
		t.Errorf("parts behind one that is not held count: %v", held)
	}
	p.SetEndpoints(endpoints(1, 128))
	if held := p.held(start, []Part{first}); len(held) != 1 || held[0].tokens != 0 || len(p.holders[1]) != 0 {
		t.Errorf("an endpoint that has gone is still taken to hold the part: %v", held)
	}
}

// Guards against promises of early first events: the mean of the rates of single requests lets the quick ones weigh most, and a first
// event takes as many steps of a crowded batch as it holds tokens (found on the heaviest days, where measured times were two and a half
// times the expected ones and requests were refused after a wait instead of at once).
func TestExpectedTimesMatchMeasuredOnes(t *testing.T) {
	service := engineService()
	service.Engine.EventTokens = 10
	p := newTestPool(service, 1, 128)
	e := p.Endpoint("e0")
	now := start
	const pace = 12 * time.Millisecond
	var expected, measured time.Duration
	for i := range 400 {
		p.Produced(now, e, 10*pace, 1)
		w := Work{ID: fmt.Sprint(i), Prompt: 9000, Output: 50}
		c, reason := p.Choose(now, &w, Constraint{})
		if reason != "" {
			t.Fatal(reason)
		}
		p.Begin(now, c, w)
		// One in two is read behind others that came later and are more urgent.
		took := 10*pace + 90*time.Millisecond
		if i%2 == 0 {
			took += 600 * time.Millisecond
		}
		if i >= 200 {
			expected += c.Wait
			measured += took
		}
		now = now.Add(took)
		p.Started(now, e, w.ID)
		p.End(now, e, w.ID)
	}
	if ratio := float64(measured) / float64(expected); ratio < 0.85 || ratio > 1.15 {
		t.Errorf("first events take %.2f times as long as expected", ratio)
	}
}

// Guards against an endpoint that has gone and is found again as a holder, when the first event of its last request comes.
func TestFirstEventOfAGoneEndpoint(t *testing.T) {
	p := newTestPool(engineService(), 3, 128)
	var last Choice
	for i := range 3 {
		last = p.mustBegin(t, start, prompt(i, fmt.Sprint(i)))
	}
	gone := last.Endpoint
	var rest []catalog.Endpoint
	for _, e := range endpoints(3, 128) {
		if e.ID != gone.ID {
			rest = append(rest, e)
		}
	}
	p.SetEndpoints(rest)
	p.Started(start.Add(time.Second), gone, "2")
	p.End(start.Add(2*time.Second), gone, "2")
	if c := p.mustBegin(t, start.Add(3*time.Second), prompt(3, "2")); c.Endpoint == gone {
		t.Error("a request goes to an endpoint that has gone")
	}
}

// Guards against knowledge of an endpoint's cache that survives its restart under the same id.
func TestRestartForgets(t *testing.T) {
	p := newTestPool(engineService(), 1, 128)
	c := p.mustBegin(t, start, prompt(0, "s"))
	p.End(start, c.Endpoint, "0")
	again := endpoints(1, 128)
	again[0].StartedAtMillis = 7
	p.SetEndpoints(again)
	p.mustBegin(t, start, prompt(1, "s"))
	if e := p.Endpoint("e0"); e.unread != 9000 {
		t.Errorf("%v tokens are to be read after the restart, want all 9000", e.unread)
	}
}

// Guards against an endpoint that fails all its requests and keeps getting them.
func TestFailingEndpointIsLeftOut(t *testing.T) {
	p := newTestPool(&catalog.Service{Name: "m"}, 3, 4)
	for range 3 {
		p.Endpoint("e0").Health.Failed(start)
	}
	for i := range 6 {
		if c := p.mustBegin(t, start, Work{ID: fmt.Sprint(i)}); c.Endpoint.ID == "e0" {
			t.Fatal("an ejected endpoint gets a request")
		}
	}
}

// Guards against the largest prompts finding no place at any engine, idle ones included: their own reading is no backlog (found on a
// quiet day of the grown deployment, where they were refused or late).
func TestLargestPromptFindsAnIdleEngine(t *testing.T) {
	p := newTestPool(engineService(), 2, 128)
	limit := Constraint{MaxWait: 300 * time.Millisecond}
	w := Work{ID: "large", Prompt: 45_000, Output: 50}
	c, reason := p.Choose(start, &w, limit)
	if reason != "" {
		t.Fatalf("no place at an idle engine: %s", reason)
	}
	p.Begin(start, c, w)
	if next, reason := p.Choose(start, &Work{ID: "next", Prompt: 1000}, limit); reason != "" || next.Endpoint == c.Endpoint {
		t.Errorf("the next request goes behind the large one: %q", reason)
	}
}
