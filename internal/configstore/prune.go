package configstore

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// prunePage is the number of entries in one list call. Entries come with their values, of some 60 KB at 34,000 organisations.
const prunePage = 64

// Pruned says what Prune has removed.
type Pruned struct {
	Revision int64 `json:"revision"` // written to shut out writers that started earlier
	Kept     int   `json:"kept"`     // revisions in the history
	Contents int   `json:"contents"` // removed
	Heads    int   `json:"heads"`    // removed from the history, lost races included
}

// Prune removes history beyond the latest revisions and the content that only it names. At 560 changes a day some 33 MB of
// content would be added daily.
//
// A writer may rely on content that it found in the store although no head names it yet. So Prune first lists what there is and
// then writes a revision without changes: a writer that started before loses its race, builds again and writes the content
// that it needs, which changes the store revision that the removal depends on.
func (s *Store) Prune(ctx context.Context, keep int, change Change) (*Pruned, error) {
	listed, err := s.listContent(ctx)
	if err != nil {
		return nil, err
	}
	head, at, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	h := s.nextHead(&Snapshot{Head: head}, change)
	if err := s.commit(ctx, at, h, nil); err != nil {
		if errors.Is(err, errLost) {
			return nil, errors.New("the configuration changed meanwhile; nothing was removed, repeat the command")
		}
		return nil, err
	}
	heads, err := s.History(ctx, max(keep, 1)+1)
	if err != nil {
		return nil, err
	}
	needed := make(map[string]bool)
	for _, h := range heads {
		needed[historyKey(h.Revision, h.Token)] = true
		needed[generalPrefix+string(h.General)] = true
		for _, d := range h.Shards {
			needed[shardPrefix+string(d)] = true
		}
	}
	result := &Pruned{Revision: h.Revision, Kept: len(heads)}
	for key, revision := range listed {
		if needed[key] {
			continue
		}
		removed, err := s.remove(ctx, key, revision)
		if err != nil {
			return result, err
		}
		switch {
		case !removed:
		case strings.HasPrefix(key, historyPrefix):
			result.Heads++
		default:
			result.Contents++
		}
	}
	return result, nil
}

// listContent returns the store revisions of all content and history entries by key.
func (s *Store) listContent(ctx context.Context) (map[string]int64, error) {
	listed := make(map[string]int64)
	for _, prefix := range []string{generalPrefix, shardPrefix, historyPrefix} {
		after := ""
		for {
			var page []platform.Entry
			err := s.retry(ctx, func() (err error) {
				page, err = s.kv.List(ctx, prefix, after, prunePage)
				return err
			})
			if err != nil {
				return nil, errors.Wrapf(err, "list %s", prefix)
			}
			for _, e := range page {
				listed[e.Key] = e.Revision
				after = e.Key
			}
			if len(page) < prunePage {
				break
			}
		}
	}
	return listed, nil
}

// remove deletes a key unless it was written again.
func (s *Store) remove(ctx context.Context, key string, revision int64) (bool, error) {
	removed := false
	err := s.retry(ctx, func() error {
		err := s.kv.Delete(ctx, key, &revision)
		switch {
		case err == nil:
			removed = true
		case errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrConflict):
			return nil
		}
		return err
	})
	return removed, errors.Wrapf(err, "remove %s", key)
}

// touch writes content again that is in the store already, so that a concurrent Prune does not remove it.
func (s *Store) touch(ctx context.Context, key string, value []byte) error {
	e, err := s.kv.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return errors.Mark(err, platform.ErrUnavailable) // removed meanwhile: write it again
	}
	if err != nil {
		return err
	}
	if configview.DigestOf(e.Value) != configview.DigestOf(value) {
		return errors.Newf("store key %s holds other content than its digest says", key)
	}
	_, err = s.kv.Put(ctx, key, value, platform.PutOptions{IfRevision: &e.Revision})
	if errors.Is(err, platform.ErrConflict) {
		return errors.Mark(err, platform.ErrUnavailable) // touched or removed by another: look again
	}
	return err
}
