package configstore

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

func testConfig(rates map[string]float64) *config.Config {
	cfg := &config.Config{Regions: []config.Region{
		{Name: "lima", DataCentres: []string{"lima-a"}, Slots: 2},
		{Name: "cusco", DataCentres: []string{"cusco-a"}, Slots: 2},
	}}
	for name, rate := range rates {
		cfg.Organisations = append(cfg.Organisations, config.Organisation{Name: name, Rate: rate, Burst: 10 * rate, Weight: 1})
	}
	return cfg
}

func newTestStore(kv platform.Store) *Store { return New(kv, Options{RetryFor: 2 * time.Second}) }

func mustApply(t *testing.T, s *Store, cfg *config.Config, change Change) *Result {
	t.Helper()
	r, err := s.Apply(t.Context(), cfg, change)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// viewOf loads the head in force as an instance does.
func viewOf(t *testing.T, s *Store) *configview.View {
	t.Helper()
	head, _, err := s.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	state := configview.NewState()
	missing, err := state.Missing(head)
	if err != nil {
		t.Fatal(err)
	}
	content, err := s.Content(t.Context(), head, missing)
	if err != nil {
		t.Fatal(err)
	}
	view, err := state.Accept(head, content)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// Guards against a store layout that an instance cannot read back.
func TestApplyAndIssueReachAView(t *testing.T) {
	s := newTestStore(newFakeKV())
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{Author: "ana"})
	key, _, err := s.IssueKey(t.Context(), "acme", Change{Author: "ana"})
	if err != nil {
		t.Fatal(err)
	}
	view := viewOf(t, s)
	org, id, status := view.Authenticate(key.Key)
	if status != configview.KeyValid || org.Name != "acme" || id != key.ID {
		t.Errorf("Authenticate = %v %q %v", org, id, status)
	}
	if configview.KeyRevision(key.ID) != view.Revision() {
		t.Errorf("key id %s does not start with revision %d", key.ID, view.Revision())
	}
	if _, _, status := view.Authenticate(key.Key + "x"); status != configview.KeyUnknown {
		t.Errorf("wrong secret: %v", status)
	}
	if _, err := s.Withdraw(t.Context(), []string{key.ID}, Change{Author: "ana"}); err != nil {
		t.Fatal(err)
	}
	if _, _, status := viewOf(t, s).Authenticate(key.Key); status != configview.KeyWithdrawn {
		t.Errorf("withdrawn key: %v", status)
	}
}

// Guards against an issued key that is lost with the next apply, and a withdrawn key that returns with a rollback.
func TestRollbackKeepsIssuedAndWithdrawnKeys(t *testing.T) {
	s := newTestStore(newFakeKV())
	first := mustApply(t, s, testConfig(map[string]float64{"acme": 100, "gone": 5}), Change{})
	withdrawn, _, err := s.IssueKey(t.Context(), "acme", Change{})
	if err != nil {
		t.Fatal(err)
	}
	second := mustApply(t, s, testConfig(map[string]float64{"acme": 200}), Change{})
	if _, err := s.Withdraw(t.Context(), []string{withdrawn.ID}, Change{}); err != nil {
		t.Fatal(err)
	}
	kept, _, err := s.IssueKey(t.Context(), "acme", Change{})
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Rollback(t.Context(), first.Head.Revision, Change{Note: "undo"})
	if err != nil {
		t.Fatal(err)
	}
	if r.Head.Revision <= second.Head.Revision || r.Head.Restores != first.Head.Revision {
		t.Errorf("rollback wrote %+v", r.Head)
	}
	view := viewOf(t, s)
	if o := view.Organisation("acme"); o == nil || o.Rate != 100 || view.Organisation("gone") == nil {
		t.Errorf("declarations were not restored: %+v", o)
	}
	if _, _, status := view.Authenticate(withdrawn.Key); status != configview.KeyWithdrawn {
		t.Errorf("withdrawn key is %v after the rollback", status)
	}
	if _, _, status := view.Authenticate(kept.Key); status != configview.KeyValid {
		t.Errorf("issued key is %v after the rollback", status)
	}
	heads, err := s.History(t.Context(), 100)
	if err != nil || len(heads) != 6 {
		t.Errorf("history has %d heads (%v), want 6", len(heads), err)
	}
}

// Guards against a key removed by a rollback to a revision where its organisation existed without it.
func TestRollbackBeforeAnyKey(t *testing.T) {
	s := newTestStore(newFakeKV())
	first := mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
	key, _, err := s.IssueKey(t.Context(), "acme", Change{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Rollback(t.Context(), first.Head.Revision, Change{}); err != nil {
		t.Fatal(err)
	}
	if _, _, status := viewOf(t, s).Authenticate(key.Key); status != configview.KeyValid {
		t.Errorf("issued key is %v after the rollback", status)
	}
}

// Guards against two operators of whom one overwrites the other's change unseen.
func TestLostRaceReportsBothChanges(t *testing.T) {
	kv := newFakeKV()
	s := newTestStore(kv)
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{Author: "ana"})
	raced := false
	kv.beforePut = func(key string, _ []byte) error {
		if key == HeadKey && !raced {
			raced = true
			mustApply(t, newTestStore(kv), testConfig(map[string]float64{"acme": 300}), Change{Author: "bea"})
		}
		return nil
	}
	_, err := s.Apply(t.Context(), testConfig(map[string]float64{"acme": 200}), Change{Author: "ana"})
	var race *RaceError
	if !errors.As(err, &race) {
		t.Fatalf("Apply = %v", err)
	}
	for _, want := range []string{"bea wrote revision 2 first", "rate: 100 -> 300", "rate: 100 -> 200"} {
		if !strings.Contains(race.Error(), want) {
			t.Errorf("error lacks %q:\n%s", want, race)
		}
	}
	if rate := viewOf(t, s).Organisation("acme").Rate; rate != 300 {
		t.Errorf("rate = %g, want the winner's 300", rate)
	}
}

// Guards against an apply that fails, or drops the key, because a key was issued meanwhile.
func TestApplyGoesTogetherWithAnIssuedKey(t *testing.T) {
	kv := newFakeKV()
	s := newTestStore(kv)
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
	var key *IssuedKey
	kv.beforePut = func(k string, _ []byte) error {
		if k == HeadKey && key == nil {
			key = new(IssuedKey)
			issued, _, err := newTestStore(kv).IssueKey(context.Background(), "acme", Change{})
			if err != nil {
				return err
			}
			*key = *issued
		}
		return nil
	}
	mustApply(t, s, testConfig(map[string]float64{"acme": 200}), Change{})
	view := viewOf(t, s)
	if _, _, status := view.Authenticate(key.Key); status != configview.KeyValid || view.Organisation("acme").Rate != 200 {
		t.Errorf("key %v, rate %g", status, view.Organisation("acme").Rate)
	}
}

// Guards against a change that is written twice, or reported as lost, after the answer of its write was lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	for name, effect := range map[string]bool{"took effect": true, "had no effect": false} {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			s := newTestStore(kv)
			mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
			failed := false
			lose := func(key string) error {
				if key != HeadKey || failed {
					return nil
				}
				failed = true
				return platform.ErrUnknownOutcome
			}
			if effect {
				kv.afterPut = lose
			} else {
				kv.beforePut = func(key string, _ []byte) error { return lose(key) }
			}
			r := mustApply(t, s, testConfig(map[string]float64{"acme": 200}), Change{})
			if r.Head.Revision != 2 || !failed {
				t.Errorf("revision %d, answer lost: %v", r.Head.Revision, failed)
			}
			if heads, _ := s.History(t.Context(), 10); len(heads) != 2 {
				t.Errorf("%d revisions were written", len(heads))
			}
		})
	}
}

// Guards against a lost answer that is taken for a lost race when another writer has already built on the own head.
func TestLostAnswerBelowAnotherHead(t *testing.T) {
	kv := newFakeKV()
	s := newTestStore(kv)
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
	lost := false
	kv.afterPut = func(key string) error {
		if key != HeadKey || lost {
			return nil
		}
		lost = true
		if _, _, err := newTestStore(kv).IssueKey(context.Background(), "acme", Change{}); err != nil {
			t.Error(err)
		}
		return platform.ErrUnknownOutcome
	}
	r := mustApply(t, s, testConfig(map[string]float64{"acme": 200}), Change{})
	if r.Head.Revision != 2 {
		t.Errorf("revision %d was written, want 2", r.Head.Revision)
	}
	if view := viewOf(t, s); view.Revision() != 3 || view.Organisation("acme").Rate != 200 {
		t.Errorf("revision %d in the store", view.Revision())
	}
}

// Guards against a store outage that is reported as success or hangs.
func TestStoreOutIsReported(t *testing.T) {
	kv := newFakeKV()
	s := New(kv, Options{RetryFor: 100 * time.Millisecond})
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
	kv.beforePut = func(string, []byte) error { return platform.ErrUnavailable }
	if _, err := s.Apply(t.Context(), testConfig(map[string]float64{"acme": 200}), Change{}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Apply = %v", err)
	}
	kv.beforePut = func(key string, _ []byte) error {
		if key == HeadKey {
			return platform.ErrUnknownOutcome
		}
		return nil
	}
	_, err := s.Apply(t.Context(), testConfig(map[string]float64{"acme": 200}), Change{})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) || unknown.Revision != 2 {
		t.Errorf("Apply = %v", err)
	}
}

// Guards against a revision that instances refuse because they hold a higher one from before the store was restored.
func TestApplyGoesAboveInstances(t *testing.T) {
	s := newTestStore(newFakeKV())
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
	r := mustApply(t, s, testConfig(map[string]float64{"acme": 200}), Change{Above: 57})
	if r.Head.Revision != 58 || r.Head.Parent != 1 {
		t.Errorf("head = %d with parent %d", r.Head.Revision, r.Head.Parent)
	}
	if _, err := s.At(t.Context(), 1); err != nil {
		t.Error(err)
	}
	if _, err := s.At(t.Context(), 30); err == nil {
		t.Error("revision 30 never existed")
	}
}

// Guards against slots that vanish with the records they own.
func TestApplyRefusesChangedSlots(t *testing.T) {
	s := newTestStore(newFakeKV())
	cfg := testConfig(map[string]float64{"acme": 100})
	mustApply(t, s, cfg, Change{})
	for name, change := range map[string]func(*config.Config){
		"fewer":   func(c *config.Config) { c.Regions[0].Slots = 1 },
		"more":    func(c *config.Config) { c.Regions[0].Slots = 3 },
		"removed": func(c *config.Config) { c.Regions = c.Regions[:1] },
	} {
		changed := testConfig(map[string]float64{"acme": 100})
		change(changed)
		var slots *SlotsError
		if _, err := s.Apply(t.Context(), changed, Change{}); !errors.As(err, &slots) {
			t.Errorf("%s: Apply = %v", name, err)
		}
	}
	more := testConfig(map[string]float64{"acme": 100})
	more.Regions = append(more.Regions, config.Region{Name: "arequipa", DataCentres: []string{"a"}, Slots: 1})
	r := mustApply(t, s, more, Change{})
	// The new region takes a third of the rate from the two others, which is a shift.
	o := viewOf(t, s).Organisation("acme")
	if len(o.Previous) != 1 || o.Previous[0].Revision != r.Head.Revision || o.Previous[0].Split["lima"] != 0.5 {
		t.Errorf("previous = %+v", o.Previous)
	}
}

// Guards against a change of rates whose raised slots are used before the lowered ones have heard of it.
func TestPreviousEntitlements(t *testing.T) {
	s := newTestStore(newFakeKV())
	split := func(lima float64) *config.Config {
		cfg := testConfig(map[string]float64{"acme": 100})
		cfg.Organisations[0].Split = map[string]float64{"lima": lima, "cusco": 1 - lima}
		return cfg
	}
	mustApply(t, s, split(0.5), Change{})
	mustApply(t, s, split(0.75), Change{InForce: 1})
	mustApply(t, s, split(0.25), Change{InForce: 1})
	previous := viewOf(t, s).Organisation("acme").Previous
	if len(previous) != 2 || previous[0].Split["lima"] != 0.5 || previous[1].Split["lima"] != 0.75 {
		t.Fatalf("previous = %+v", previous)
	}
	// Once all instances have revision 2 in force, only the later replacement is pending. A pure raise adds none.
	burst := split(0.25)
	burst.Organisations[0].Burst++
	mustApply(t, s, burst, Change{InForce: 2})
	previous = viewOf(t, s).Organisation("acme").Previous
	if len(previous) != 1 || previous[0].Revision != 3 {
		t.Fatalf("previous = %+v", previous)
	}
	// A pure lowering is recorded: a raise after it may be applied where the lowering was not.
	mustApply(t, s, split(0.25), Change{InForce: 4})
	previous = viewOf(t, s).Organisation("acme").Previous
	if len(previous) != 1 || previous[0].Revision != 5 || previous[0].Burst != 1001 {
		t.Fatalf("previous = %+v", previous)
	}
	// Removing and returning the organisation does not forget what it was entitled to.
	mustApply(t, s, testConfig(nil), Change{InForce: 5})
	mustApply(t, s, split(0.5), Change{InForce: 5})
	previous = viewOf(t, s).Organisation("acme").Previous
	if len(previous) != 1 || previous[0].Revision != 6 || previous[0].Split["lima"] != 0.25 {
		t.Fatalf("previous = %+v", previous)
	}
}

// Guards against a raise that waits for the whole fleet although it takes nothing from any slot, and against one that spreads
// the organisation over more slots and so lowers the first.
func TestPureRaiseRecordsNothing(t *testing.T) {
	s := newTestStore(newFakeKV())
	mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
	mustApply(t, s, testConfig(map[string]float64{"acme": 200}), Change{})
	if previous := viewOf(t, s).Organisation("acme").Previous; len(previous) != 0 {
		t.Errorf("previous = %+v after a pure raise", previous)
	}
	mustApply(t, s, testConfig(map[string]float64{"acme": 2000}), Change{})
	mustApply(t, s, testConfig(map[string]float64{"acme": 2400}), Change{})
	previous := viewOf(t, s).Organisation("acme").Previous
	if len(previous) != 1 || previous[0].Rate != 2000 || previous[0].Revision != 4 {
		t.Errorf("previous = %+v after a spread over more slots", previous)
	}
}

// Guards against a key id that two organisations share.
func TestDeclaredKeyMustNotBeIssued(t *testing.T) {
	s := newTestStore(newFakeKV())
	mustApply(t, s, testConfig(map[string]float64{"acme": 100, "other": 1}), Change{})
	key, _, err := s.IssueKey(t.Context(), "acme", Change{})
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(map[string]float64{"acme": 100, "other": 1})
	cfg.Organisations[0].Keys = []config.Key{{ID: key.ID, SHA256: configview.HashSecret("x")}}
	if _, err := s.Apply(t.Context(), cfg, Change{}); err == nil || !strings.Contains(err.Error(), key.ID) {
		t.Errorf("Apply = %v", err)
	}
}

// Guards against a key that is issued by rewriting all shards: at 34,000 organisations only one may change.
func TestIssueWritesOneShard(t *testing.T) {
	kv := newFakeKV()
	s := newTestStore(kv)
	rates := make(map[string]float64)
	for i := range 2000 {
		rates[fmt.Sprintf("org-%d", i)] = 10
	}
	mustApply(t, s, testConfig(rates), Change{})
	var written []string
	kv.beforePut = func(key string, _ []byte) error {
		written = append(written, key)
		return nil
	}
	kv.reads.Store(0)
	if _, _, err := s.IssueKey(t.Context(), "org-7", Change{}); err != nil {
		t.Fatal(err)
	}
	if len(written) != 3 || kv.reads.Load() != 2 {
		t.Errorf("wrote %v with %d reads", written, kv.reads.Load())
	}
}

// Guards against a store that fills up, and against a prune that removes what is still named.
func TestPrune(t *testing.T) {
	kv := newFakeKV()
	s := newTestStore(kv)
	for i := range 10 {
		mustApply(t, s, testConfig(map[string]float64{"acme": float64(100 + i)}), Change{})
	}
	r, err := s.Prune(t.Context(), 3, Change{Author: "ana", Note: "prune"})
	if err != nil {
		t.Fatal(err)
	}
	// The revision that prune writes is kept beside the three. The 10 applies share one general part.
	if r.Revision != 11 || r.Kept != 4 || r.Heads != 7 || r.Contents != 7 {
		t.Errorf("pruned %+v", r)
	}
	if rate := viewOf(t, s).Organisation("acme").Rate; rate != 109 {
		t.Errorf("rate = %g", rate)
	}
	if _, err := s.Rollback(t.Context(), 8, Change{}); err != nil {
		t.Error(err)
	}
	if _, err := s.Rollback(t.Context(), 2, Change{}); err == nil {
		t.Error("rolled back to a revision that is gone")
	}
}

// Guards against a writer that found its content in the store, had it removed by a prune, and put a head in force that no
// instance can load.
func TestPruneDuringApply(t *testing.T) {
	for _, when := range []string{"before its head", "before the removal"} {
		t.Run(when, func(t *testing.T) {
			kv := newFakeKV()
			s := newTestStore(kv)
			mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{})
			mustApply(t, s, testConfig(map[string]float64{"acme": 50}), Change{})
			mustApply(t, s, testConfig(map[string]float64{"acme": 60}), Change{InForce: 2})
			// The content of revision 1, which only the history names.
			again := func() { mustApply(t, s, testConfig(map[string]float64{"acme": 100}), Change{InForce: 3}) }
			done := false
			once := func(f func()) func() {
				return func() {
					if !done {
						done = true
						f()
					}
				}
			}
			prune := func() {
				if _, err := s.Prune(t.Context(), 1, Change{}); err != nil {
					t.Error(err)
				}
			}
			if when == "before its head" {
				f := once(prune)
				kv.beforePut = func(key string, _ []byte) error {
					if key == HeadKey {
						f()
					}
					return nil
				}
				again()
			} else {
				kv.beforeDelete = once(again)
				prune()
			}
			if rate := viewOf(t, s).Organisation("acme").Rate; rate != 100 || !done {
				t.Errorf("rate = %g", rate)
			}
		})
	}
}
