package configstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// schedule runs operators' commands in a drawn order, with commands of another operator in the middle of their writes and
// with writes whose answer is lost, and keeps what the store must hold.
type schedule struct {
	t  *rapid.T
	kv *fakeKV
	s  *Store

	depth     int                // of commands in the middle of others
	issued    map[string]string  // live keys by id, acknowledged
	withdrawn map[string]bool    // acknowledged
	rates     map[string]float64 // declared by the last acknowledged change of declarations
	tokens    map[string]int64   // revision of each acknowledged write by its token
	declared  map[int64]float64  // rate of the first organisation by revision
}

const scheduleOrganisations = 3

func (s *schedule) faults(key string) error {
	if key != HeadKey {
		if s.depth < 2 && rapid.IntRange(0, 9).Draw(s.t, "interrupt content") == 0 {
			s.step()
		}
		return nil
	}
	if rapid.IntRange(0, 4).Draw(s.t, "lose the write") == 0 {
		return platform.ErrUnknownOutcome
	}
	if s.depth < 2 && rapid.IntRange(0, 3).Draw(s.t, "interrupt") == 0 {
		s.step()
	}
	return nil
}

func (s *schedule) step() {
	s.depth++
	defer func() { s.depth-- }()
	switch rapid.IntRange(0, 4).Draw(s.t, "command") {
	case 0:
		s.apply()
	case 1:
		s.issue()
	case 2:
		s.withdraw()
	case 3:
		s.rollback()
	case 4:
		s.prune()
	}
}

func (s *schedule) drawRates() map[string]float64 {
	rates := make(map[string]float64)
	for i := range scheduleOrganisations {
		rates[fmt.Sprintf("org-%d", i)] = float64(rapid.IntRange(1, 3).Draw(s.t, "rate")) * 1000
	}
	return rates
}

// acknowledged notes a write, or that it was refused without effect.
func (s *schedule) acknowledged(r *Result, err error) bool {
	var race *RaceError
	if errors.As(err, &race) {
		return false
	}
	if err != nil {
		s.t.Fatalf("%+v", err)
	}
	s.tokens[r.Head.Token] = r.Head.Revision
	return true
}

func (s *schedule) apply() {
	rates := s.drawRates()
	r, err := s.s.Apply(context.Background(), testConfig(rates), Change{})
	if s.acknowledged(r, err) {
		s.rates = rates
		s.declared[r.Head.Revision] = rates["org-0"]
	}
}

func (s *schedule) issue() {
	key, r, err := s.s.IssueKey(context.Background(), "org-0", Change{})
	if s.acknowledged(r, err) {
		s.issued[key.ID] = key.Key
	}
}

func (s *schedule) withdraw() {
	for _, id := range slices.Sorted(maps.Keys(s.issued)) {
		if s.withdrawn[id] {
			continue
		}
		r, err := s.s.Withdraw(context.Background(), []string{id}, Change{})
		if s.acknowledged(r, err) {
			s.withdrawn[id] = true
		}
		return
	}
}

// prune keeps enough history for the revisions that rollback and the final check need, so that what it removes is content that
// no head names, such as that of lost races.
func (s *schedule) prune() {
	r, err := s.s.Prune(context.Background(), 1000, Change{})
	if err != nil && strings.Contains(err.Error(), "nothing was removed") {
		return
	}
	if err != nil {
		s.t.Fatalf("%+v", err)
	}
	h, err := s.s.At(context.Background(), r.Revision)
	if err != nil {
		s.t.Fatalf("%+v", err)
	}
	s.tokens[h.Token] = h.Revision
}

func (s *schedule) rollback() {
	for _, revision := range slices.Sorted(maps.Keys(s.declared)) {
		if rapid.Bool().Draw(s.t, "another revision") {
			continue
		}
		h, err := s.s.At(context.Background(), revision)
		if err != nil {
			s.t.Fatalf("%+v", err)
		}
		target, err := s.s.Snapshot(context.Background(), h)
		if err != nil {
			s.t.Fatalf("%+v", err)
		}
		r, err := s.s.Rollback(context.Background(), revision, Change{})
		if s.acknowledged(r, err) {
			s.rates = make(map[string]float64)
			for _, o := range target.Declared().Organisations {
				s.rates[o.Name] = o.Rate
			}
			s.declared[r.Head.Revision] = s.declared[revision]
		}
		return
	}
}

func (s *schedule) check() {
	snapshot, err := s.s.Latest(context.Background())
	if err != nil {
		s.t.Fatalf("%+v", err)
	}
	view := scheduleView(s.t, s.s)
	for id, key := range s.issued {
		want := configview.KeyValid
		if s.withdrawn[id] {
			want = configview.KeyWithdrawn
		}
		_, _, got := view.Authenticate(key)
		if got != want {
			s.t.Fatalf("key %s is %v, want %v", id, got, want)
		}
	}
	for name, rate := range s.rates {
		if o := snapshot.Organisation(name); o == nil || o.Rate != rate {
			s.t.Fatalf("%s: %+v, want rate %g", name, o, rate)
		}
	}
	s.checkHistory()
}

// checkHistory finds each acknowledged write once, with its revision.
func (s *schedule) checkHistory() {
	heads, err := s.s.History(context.Background(), 1000)
	if err != nil {
		s.t.Fatalf("%+v", err)
	}
	seen := make(map[string]int64)
	for i, h := range heads {
		if i > 0 && h.Revision >= heads[i-1].Revision {
			s.t.Fatalf("revision %d is below %d in the history", heads[i-1].Revision, h.Revision)
		}
		seen[h.Token] = h.Revision
	}
	if len(seen) != len(s.tokens) || len(heads) != len(seen) {
		s.t.Fatalf("%d heads with %d tokens, %d writes were acknowledged", len(heads), len(seen), len(s.tokens))
	}
	for token, revision := range s.tokens {
		if seen[token] != revision {
			s.t.Fatalf("write %s of revision %d is in the history as %d", token, revision, seen[token])
		}
	}
}

func scheduleView(t *rapid.T, s *Store) *configview.View {
	head, _, err := s.Head(context.Background())
	if err != nil {
		t.Fatalf("%+v", err)
	}
	state := configview.NewState()
	missing, err := state.Missing(head)
	if err != nil {
		t.Fatalf("%+v", err)
	}
	content, err := s.Content(context.Background(), head, missing)
	if err != nil {
		t.Fatalf("%+v", err)
	}
	view, err := state.Accept(head, content)
	if err != nil {
		t.Fatalf("%+v", err)
	}
	return view
}

// Guards against acknowledged changes that are lost, written twice or undone by another operator's command, and against
// withdrawn keys that return, under races and lost answers.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV()
		s := &schedule{
			t: t, kv: kv, s: New(kv, Options{RetryFor: 10 * time.Second, RetryPause: 10 * time.Microsecond}),
			issued: make(map[string]string), withdrawn: make(map[string]bool), tokens: make(map[string]int64), declared: make(map[int64]float64),
		}
		s.apply()
		kv.beforePut = func(key string, _ []byte) error { return s.faults(key) }
		kv.beforeDelete = func() {
			if s.depth < 2 && rapid.IntRange(0, 3).Draw(t, "interrupt a removal") == 0 {
				s.step()
			}
		}
		kv.afterPut = func(key string) error {
			if key == HeadKey && rapid.IntRange(0, 4).Draw(t, "lose the answer") == 0 {
				return platform.ErrUnknownOutcome
			}
			return nil
		}
		for range rapid.IntRange(1, 6).Draw(t, "commands") {
			s.step()
		}
		kv.beforePut, kv.afterPut, kv.beforeDelete = nil, nil, nil
		s.check()
	})
}
