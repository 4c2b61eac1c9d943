package configstore

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// RaceError reports that another writer changed the configuration first. Nothing of this writer's change is in force.
type RaceError struct {
	Base, Current *configview.Head // Base is nil if the store was empty
	Theirs        []config.Change  // from Base to Current
	Mine          []config.Change  // from Base to what this writer wanted
}

// Error shows both changes.
func (e *RaceError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s wrote revision %d first; this change is not in force", e.Current.Author, e.Current.Revision)
	writeChanges(&b, "their change", e.Theirs)
	writeChanges(&b, "this change", e.Mine)
	return b.String()
}

func writeChanges(b *strings.Builder, title string, changes []config.Change) {
	fmt.Fprintf(b, "\n%s:", title)
	if len(changes) == 0 {
		b.WriteString(" none")
	}
	for _, c := range changes {
		b.WriteString("\n  " + c.String())
	}
}

// UnknownOutcomeError reports a write whose answer was lost and that could not be read back in time. It may come into force.
type UnknownOutcomeError struct {
	Revision int64
	Token    string
	Cause    error
}

// Error names the revision whose fate is open.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether revision %d was written (token %s): %v", e.Revision, e.Token, e.Cause)
}

// Unwrap returns the store's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// errLost reports that the head is another writer's.
var errLost = errors.New("another writer changed the head first")

// commit writes content, the history entry and then the head, if the head is still the one at storeRevision.
// It returns errLost if it is not.
func (s *Store) commit(ctx context.Context, storeRevision int64, h *configview.Head, content map[configview.Digest][]byte) error {
	for d, value := range content {
		if err := s.putContent(ctx, keyOf(h, d), value); err != nil {
			return err
		}
	}
	value, err := h.Encode()
	if err != nil {
		return errors.Wrap(err, "encode the head")
	}
	if err := s.putContent(ctx, historyKey(h.Revision, h.Token), value); err != nil {
		return err
	}
	return s.swapHead(ctx, storeRevision, h, value)
}

// swapHead changes the head by compare-and-swap. An attempt whose answer was lost is read back by its token before the next
// one; all attempts expect the same store revision, so that at most one takes effect even if one is delayed.
func (s *Store) swapHead(ctx context.Context, storeRevision int64, h *configview.Head, value []byte) error {
	unknown := false
	err := s.retry(ctx, func() error {
		if unknown {
			done, err := s.written(ctx, storeRevision, h)
			if err != nil || done {
				return err
			}
		}
		_, err := s.kv.Put(ctx, HeadKey, value, platform.PutOptions{IfRevision: &storeRevision})
		if errors.Is(err, platform.ErrUnknownOutcome) {
			unknown = true
		}
		if errors.Is(err, platform.ErrConflict) {
			return s.afterConflict(ctx, storeRevision, h)
		}
		return err
	})
	if err != nil && unknown && !errors.Is(err, errLost) {
		return &UnknownOutcomeError{Revision: h.Revision, Token: h.Token, Cause: err}
	}
	return err
}

// afterConflict tells a lost race from an own earlier attempt that took effect.
func (s *Store) afterConflict(ctx context.Context, storeRevision int64, h *configview.Head) error {
	done, err := s.written(ctx, storeRevision, h)
	if err != nil {
		// The conflict itself is certain, but not who caused it.
		return errors.Mark(err, platform.ErrUnavailable)
	}
	if !done {
		return errLost
	}
	return nil
}

// written reads back whether the head, or one of its ancestors, is h. It returns errLost if the head is another one that
// was not built on h.
func (s *Store) written(ctx context.Context, storeRevision int64, h *configview.Head) (bool, error) {
	current, at, err := s.Head(ctx)
	if errors.Is(err, ErrNoConfiguration) {
		return false, nil
	}
	if err != nil {
		return false, errors.Mark(err, platform.ErrUnavailable)
	}
	if at == storeRevision {
		return false, nil
	}
	for {
		if current.Token == h.Token {
			return true, nil
		}
		if current.Parent < h.Revision {
			return false, errLost
		}
		current, err = s.past(ctx, current.Parent, current.ParentToken)
		if err != nil {
			return false, errors.Mark(err, platform.ErrUnavailable)
		}
	}
}
