package endpointrate

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const coldPeriod = 2 * time.Second

// output is output of an endpoint.
type output struct {
	after     time.Duration // since the suspicion
	connected clock.Instant // when its connection was opened
}

// Guards against an endpoint that gets requests at any rate although it may have started again, and against a sound one that stays limited
// although a connection from before the suspicion is in use.
func TestSuspicionLastsUntilTheEndpointHasShownThatItIsNotCold(t *testing.T) {
	const suspected = clock.Instant(time.Hour)
	old, young := suspected.Add(-10*time.Second), suspected.Add(-time.Second)
	for name, c := range map[string]struct {
		outputs []output
		until   time.Duration // when it is not suspected any more, 0: it stays suspected
	}{
		"no answer":                     {nil, 0},
		"output on an older connection": {[]output{{500 * time.Millisecond, old}}, 500 * time.Millisecond},
		"output on an older connection that may have been sent before": {[]output{{50 * time.Millisecond, old}}, 0},
		"output on a connection that may be one to the new process":    {[]output{{500 * time.Millisecond, young}}, 500*time.Millisecond + coldPeriod},
		"output on a later connection, again and again":                {[]output{{500 * time.Millisecond, suspected + 1}, {1500 * time.Millisecond, suspected + 2}}, 500*time.Millisecond + coldPeriod},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLimiter("self")
			if !l.Statements.Suspect(suspected, endpoint) || l.Statements.Suspect(suspected, endpoint) {
				t.Error("the suspicion is not new, or is new twice")
			}
			until, outputs := time.Duration(0), c.outputs
			for after := time.Duration(0); after < 10*time.Second; after += 50 * time.Millisecond {
				now := suspected.Add(after)
				if len(outputs) > 0 && outputs[0].after == after {
					l.Statements.RecordOutput(now, endpoint, outputs[0].connected, coldPeriod)
					outputs = outputs[1:]
				}
				l.Statements.EndSuspicions(now)
				rate, limited := l.Rate(endpoint, false, 3)
				if limited && rate != 3 || limited != l.Statements.MayHaveRestarted(endpoint) {
					t.Fatalf("after %s: rate %v, limited %v", after, rate, limited)
				}
				if !limited && until == 0 {
					until = after
				}
			}
			if until != c.until {
				t.Errorf("suspected for %s, want %s", until, c.until)
			}
		})
	}
}

// Guards against a second crash within a suspicion that counts for nothing, so that the engine gets all requests a cold period after its
// first start.
func TestSecondBreakRenewsTheSuspicion(t *testing.T) {
	r, now := NewRegister(), clock.Instant(time.Hour)
	r.Suspect(now, endpoint)
	r.RecordOutput(now.Add(time.Second), endpoint, now.Add(time.Second), coldPeriod)
	if !r.Suspect(now.Add(2*time.Second), endpoint) {
		t.Error("a break after an answer is not new")
	}
	r.RecordOutput(now.Add(2500*time.Millisecond), endpoint, now.Add(2500*time.Millisecond), coldPeriod)
	if r.EndSuspicions(now.Add(time.Second + coldPeriod)); !r.MayHaveRestarted(endpoint) {
		t.Error("the suspicion ends with that of the first break")
	}
	if r.EndSuspicions(now.Add(2500*time.Millisecond + coldPeriod)); r.MayHaveRestarted(endpoint) {
		t.Error("the suspicion does not end")
	}
}

// Guards against an instance that has not read the entry of a new start yet and learns from another one only that nothing is suspected any
// more.
func TestEarlierIncarnationStaysLimitedOnceALaterOneIsKnown(t *testing.T) {
	now := clock.Instant(time.Hour)
	first, second := NewRegister(), NewRegister()
	next := catalog.Incarnation{ID: endpoint.ID, StartedAtMillis: endpoint.StartedAtMillis + 1}
	for _, r := range []*Register{first, second} {
		r.Suspect(now, endpoint)
	}
	first.Replace(now, next)
	for _, s := range first.Statements() {
		second.Merge(now, s)
	}
	if first.MayHaveRestarted(next) || second.MayHaveRestarted(next) {
		t.Error("the new start is suspected")
	}
	if !second.MayHaveRestarted(endpoint) {
		t.Error("the earlier start is not limited any more")
	}
	if first.Suspected() != 0 || second.Suspected() != 0 {
		t.Errorf("%d and %d suspicions are counted", first.Suspected(), second.Suspected())
	}
}

// Guards against a limit that is lost with a suspicion, or the other way round.
func TestSuspicionAndLimitAreIndependent(t *testing.T) {
	r, now := NewRegister(), clock.Instant(time.Hour)
	r.Observe(now, endpoint, now-1, 2, true)
	r.Suspect(now, endpoint)
	if limit, limited := r.Limit(endpoint); !limited || limit != 2 || !r.MayHaveRestarted(endpoint) {
		t.Errorf("limit %v, limited %v, suspected %v", limit, limited, r.MayHaveRestarted(endpoint))
	}
	r.Observe(now.Add(time.Second), endpoint, now.Add(time.Millisecond), 0, false)
	if _, limited := r.Limit(endpoint); limited || !r.MayHaveRestarted(endpoint) {
		t.Errorf("after the limit: limited %v, suspected %v", limited, r.MayHaveRestarted(endpoint))
	}
}

// Guards against a crash that is forgotten because a later break was none: a connection that is older than the later suspicion may be one
// to the process that was started after the crash.
func TestConnectionFromBetweenTwoSuspicionsDoesNotDispelTheFirst(t *testing.T) {
	const coldPeriod = 10 * time.Second
	r, crashed := NewRegister(), clock.Instant(time.Hour)
	at := crashed.Add
	r.Suspect(crashed, endpoint)
	connectedAt := at(500 * time.Millisecond)
	r.RecordOutput(at(time.Second), endpoint, connectedAt, coldPeriod)
	if !r.Suspect(at(5*time.Second), endpoint) {
		t.Error("a break after an answer is not new")
	}
	if r.RecordOutput(at(5500*time.Millisecond), endpoint, connectedAt, coldPeriod) || !r.MayHaveRestarted(endpoint) {
		t.Error("output on a connection from after the crash dispels the suspicion of it")
	}
	if !r.RecordOutput(connectedAt.Add(coldPeriod), endpoint, connectedAt, coldPeriod) || r.MayHaveRestarted(endpoint) {
		t.Error("output on a connection that has been open for a cold period does not dispel the suspicion")
	}
}

// Guards against a crash that counts for nothing since it was noticed during a suspicion that another instance has dispelled at that moment.
func TestBreakDuringASuspicionOutlastsItsEndElsewhere(t *testing.T) {
	first, second := NewRegister(), NewRegister()
	now := clock.Instant(time.Hour)
	exchange := func(from, to *Register) {
		for _, s := range from.Statements() {
			to.Merge(now, s)
		}
	}
	first.Suspect(now, endpoint)
	exchange(first, second)
	now = now.Add(200 * time.Millisecond)
	if !second.RecordOutput(now, endpoint, now.Add(-time.Minute), coldPeriod) {
		t.Fatal("output on an older connection does not dispel the suspicion")
	}
	now = now.Add(10 * time.Millisecond)
	if first.Suspect(now, endpoint) {
		t.Error("the endpoint is suspected already")
	}
	exchange(second, first)
	exchange(first, second)
	if !first.MayHaveRestarted(endpoint) || !second.MayHaveRestarted(endpoint) {
		t.Error("the break after the output is forgotten")
	}
}

// Guards against a sound engine that stays limited although it has reported its start after the break, and against one that counts as
// sound although it has reported a later start than its entry.
func TestReportedStartSettlesASuspicion(t *testing.T) {
	now := clock.Instant(time.Hour)
	next := catalog.Incarnation{ID: endpoint.ID, StartedAtMillis: endpoint.StartedAtMillis + 1}
	for name, c := range map[string]struct {
		running   catalog.Incarnation
		suspected bool // the start that is listed
	}{
		"the start that is listed": {endpoint, false},
		"a later start":            {next, true},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := NewRegister(), NewRegister()
			for _, r := range []*Register{first, second} {
				r.Suspect(now, endpoint)
			}
			if first.RecordRunning(now+1, now, c.running) == c.suspected {
				t.Errorf("dispelled: %v", c.suspected)
			}
			for _, s := range first.Statements() {
				second.Merge(now+2, s)
			}
			for _, r := range []*Register{first, second} {
				if r.MayHaveRestarted(endpoint) != c.suspected || r.MayHaveRestarted(next) {
					t.Errorf("listed start suspected: %v, later one: %v", r.MayHaveRestarted(endpoint), r.MayHaveRestarted(next))
				}
			}
		})
	}
}

// Guards against an answer of the process before a crash that ends the suspicion which the crash has raised while the answer was on its way.
func TestStartReportedBeforeABreakDoesNotSettleIt(t *testing.T) {
	r, now := NewRegister(), clock.Instant(time.Hour)
	r.Suspect(now, endpoint)
	if later := now.Add(2 * settlingTime); r.Suspect(later, endpoint) {
		t.Error("a break while nothing has arrived is new")
	}
	if r.RecordRunning(now.Add(3*settlingTime), now.Add(settlingTime), endpoint) || !r.MayHaveRestarted(endpoint) {
		t.Error("an answer to a call from before the last break ends the suspicion")
	}
	if !r.RecordRunning(now.Add(4*settlingTime), now.Add(3*settlingTime), endpoint) || r.MayHaveRestarted(endpoint) {
		t.Error("an answer to a call from after the last break does not end the suspicion")
	}
}
