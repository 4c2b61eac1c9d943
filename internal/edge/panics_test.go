package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Guards against a panic in the choice of an endpoint that leaves the lock of all services held, or counts the request at an endpoint.
func TestPanicInAChoiceEndsOneRequest(t *testing.T) {
	l := newSimRegion(t, product, 1)
	panics := 0
	l.pools.reportPanic = func(string, any) { panics++ }
	newAttempt := func(id string) *attempt {
		return &attempt{id: id, service: simService, work: placement.Request{ID: id, PromptTokens: 100}, waitUntil: l.clk.Now().Add(time.Second)}
	}
	statements := l.pools.limiter.Statements
	l.pools.limiter.Statements = nil
	if _, reason := l.pools.place(t.Context(), newAttempt("a")); reason != placementFailed {
		t.Errorf("reason %q, want %q", reason, placementFailed)
	}
	waiting := &waiter{attempt: newAttempt("b"), placed: make(chan placement.Choice, 1)}
	l.pool.enqueue(waiting)
	l.pools.mu.Lock()
	l.pools.dispatch(l.pool)
	l.pools.mu.Unlock()
	if _, placed := <-waiting.placed; placed || waiting.rejected != placementFailed || len(l.pool.waiting) > 0 {
		t.Errorf("the waiting request got a place: %v; it was rejected for %q, %d wait", placed, waiting.rejected, len(l.pool.waiting))
	}
	l.pools.limiter.Statements = statements

	// After the choice: the request was counted already.
	rates := l.pool.placementRates
	l.pool.placementRates = nil
	if _, reason := l.pools.place(t.Context(), newAttempt("c")); reason != placementFailed {
		t.Errorf("reason %q, want %q", reason, placementFailed)
	}
	l.pool.placementRates = rates
	l.pool.OwnLoad(func(endpoint string, load placement.Load) {
		if load != (placement.Load{}) {
			t.Errorf("%s has load %+v without a request", endpoint, load)
		}
	})
	choice, reason := l.pools.place(t.Context(), newAttempt("d"))
	if reason != "" || panics != 3 {
		t.Fatalf("reason %q after %d panics", reason, panics)
	}
	l.pools.release(simService, choice.Endpoint, "d", resultSucceeded)
}

// Guards against a panic that closes the caller's connection without an answer.
func TestPanicInARequestIsAnswered(t *testing.T) {
	e := &Edge{clock: &clock.Manual{}, log: zap.NewNop(), requestLog: zap.NewNop(), metrics: newMetrics(tally.NoopScope)}
	e.memory = NewMemory(DefaultMemoryBytes, e.clock, e.log, tally.NoopScope)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", nil)) // without a state, admit panics
	if w.Code != http.StatusBadGateway || e.metrics.inFlightCount.Load() != 0 {
		t.Errorf("status %d, %d requests in flight", w.Code, e.metrics.inFlightCount.Load())
	}
}

// Guards against a step of the process whose panic ends it.
func TestPanicInAStepIsContained(t *testing.T) {
	e := &Edge{log: zap.NewNop(), metrics: newMetrics(tally.NoopScope)}
	if err := e.containError("step", func() error { panic("step") }); !errors.Is(err, errPanicked) {
		t.Errorf("error is %v", err)
	}
	if err := e.containError("step", func() error { return context.Canceled }); !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v", err)
	}
}

// panickingDocuments panics at the entry "odd".
type panickingDocuments struct{ bornDocuments }

func (d panickingDocuments) DecodeEndpoint(id string, value []byte, now clock.Instant) (catalog.Endpoint, error) {
	if id == "odd" {
		panic(id)
	}
	return d.bornDocuments.DecodeEndpoint(id, value, now)
}

// Guards against a panic in an update of the store that leaves the state or the members locked.
func TestPanicInAnUpdateHoldsNoLock(t *testing.T) {
	e := &Edge{log: zap.NewNop(), metrics: newMetrics(tally.NoopScope)}
	s := newState(&Options{Clock: &clock.Manual{}, Log: zap.NewNop(), Regions: map[string]string{"a": "north"}, Documents: panickingDocuments{}})
	s.onChange = func() {}
	for _, id := range []string{"odd", "good"} {
		update := mirror.Update{Changes: []platform.Change{{Entry: platform.Entry{Key: id, Value: []byte("1"), Revision: 1}}}}
		e.contain("update", func() { s.applyEndpoints(update) })
	}
	if list := s.usable("north")["m"]; len(list) != 1 || list[0].ID != "good" {
		t.Errorf("usable endpoints are %v", list)
	}
	f := newFleet(&Options{Clock: &clock.Manual{}, Log: zap.NewNop()})
	f.members = nil // an announcement that is read now panics
	value := []byte(`{"incarnation":"1","region":"north","caller_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2"}`)
	e.contain("update", func() {
		f.apply(mirror.Update{Changes: []platform.Change{{Entry: platform.Entry{Key: InstancePrefix + "other", Value: value}}}})
	})
	if n := f.size(); n != 1 {
		t.Errorf("%d instances", n)
	}
}
