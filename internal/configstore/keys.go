package configstore

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
)

// secretBytes is the length of a key's secret: too long to be guessed, so that no slow hash is needed.
const secretBytes = 32

// keyRandomBytes tells keys apart that are issued at the same revision by different writers.
const keyRandomBytes = 6

// IssuedKey is a new key. Its secret is kept nowhere.
type IssuedKey struct {
	ID  string
	Key string // as the caller presents it
}

// IssueKey adds a key to an organisation as a new revision.
func (s *Store) IssueKey(ctx context.Context, organisation string, change Change) (*IssuedKey, *Result, error) {
	secret := make([]byte, secretBytes)
	random := make([]byte, keyRandomBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error
	_, _ = rand.Read(random)
	text := base64.RawURLEncoding.EncodeToString(secret)
	var issued *IssuedKey
	result, err := s.changeShard(ctx, configview.ShardOf(organisation), change, func(h *configview.Head, shard *configview.Shard) (bool, error) {
		for i := range shard.Organisations {
			o := &shard.Organisations[i]
			if o.Name != organisation {
				continue
			}
			id := configview.FormatKeyID(h.Revision, hex.EncodeToString(random))
			o.Issued = append(o.Issued, config.Key{ID: id, SHA256: configview.HashSecret(text)})
			issued = &IssuedKey{ID: id, Key: configview.FormatKey(id, text)}
			return true, nil
		}
		return false, errors.Newf("organisation %q is not in the configuration in force", organisation)
	})
	if err != nil {
		return nil, nil, err
	}
	return issued, result, nil
}

// Withdraw records key ids as withdrawn. Ids that are recorded already need no new revision. An id is recorded in the shard of
// its own hash, since its organisation may be unknown or gone.
func (s *Store) Withdraw(ctx context.Context, ids []string, change Change) (*Result, error) {
	byShard := make(map[int][]string)
	for _, id := range ids {
		i := configview.ShardOf(id)
		byShard[i] = append(byShard[i], id)
	}
	return s.changeShards(ctx, byShard, change, func(_ *configview.Head, shard *configview.Shard, ids []string) (bool, error) {
		known := make(map[string]bool, len(shard.Withdrawn))
		for _, id := range shard.Withdrawn {
			known[id] = true
		}
		changed := false
		for _, id := range ids {
			if !known[id] {
				known[id], changed = true, true
				shard.Withdrawn = append(shard.Withdrawn, id)
			}
		}
		return changed, nil
	})
}

func (s *Store) changeShard(ctx context.Context, i int, change Change, f func(*configview.Head, *configview.Shard) (bool, error)) (*Result, error) {
	return s.changeShards(ctx, map[int][]string{i: nil}, change, func(h *configview.Head, shard *configview.Shard, _ []string) (bool, error) {
		return f(h, shard)
	})
}

// changeShards changes a few shards and reads no others. It builds the change again after a lost race, since it goes together
// with any other change.
func (s *Store) changeShards(ctx context.Context, shards map[int][]string, change Change,
	f func(*configview.Head, *configview.Shard, []string) (bool, error)) (*Result, error) {
	return rebuild(func() (*Result, error) {
		head, at, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		h := s.nextHead(&Snapshot{Head: head}, change)
		content := make(map[configview.Digest][]byte)
		changed := false
		for i, arg := range shards {
			shard, err := s.readShard(ctx, head, i)
			if err != nil {
				return nil, err
			}
			differs, err := f(h, shard, arg)
			if err != nil {
				return nil, err
			}
			if err := setShard(h, i, shard, content); err != nil {
				return nil, err
			}
			changed = changed || differs
		}
		if !changed {
			return &Result{Head: head}, nil
		}
		dropKnown(head, h, content)
		if err := s.commit(ctx, at, h, content); err != nil {
			return nil, err
		}
		return &Result{Head: h}, nil
	})
}

// rebuild builds and commits a change again after a lost race.
func rebuild(change func() (*Result, error)) (*Result, error) {
	for range maxAttempts {
		result, err := change()
		if !errors.Is(err, errLost) {
			return result, err
		}
	}
	return nil, errors.Newf("the head changed %d times while this change was built", maxAttempts)
}

func (s *Store) readShard(ctx context.Context, h *configview.Head, i int) (*configview.Shard, error) {
	d := h.Shards[i]
	if d == "" {
		return new(configview.Shard), nil
	}
	content, err := s.Content(ctx, h, []configview.Digest{d})
	if err != nil {
		return nil, err
	}
	return configview.DecodeShard(content[d])
}

// KeyInfo is a key as operators see it.
type KeyInfo struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation,omitempty"` // empty for a withdrawn key that is kept nowhere else
	Source       string `json:"source"`                 // declared, issued or withdrawn
	Withdrawn    bool   `json:"withdrawn"`
}

// Keys lists the keys of one organisation, or of all and all withdrawn ids if the name is empty.
func (s *Snapshot) Keys(organisation string) []KeyInfo {
	withdrawn := s.Withdrawn()
	var keys []KeyInfo
	add := func(o *configview.ShardOrganisation, list []config.Key, source string) {
		for _, k := range list {
			keys = append(keys, KeyInfo{ID: k.ID, Organisation: o.Name, Source: source, Withdrawn: withdrawn[k.ID]})
			delete(withdrawn, k.ID)
		}
	}
	for _, shard := range s.Shards {
		for i := range shard.Organisations {
			o := &shard.Organisations[i]
			if organisation == "" || o.Name == organisation {
				add(o, o.Keys, "declared")
				add(o, o.Issued, "issued")
			}
		}
	}
	if organisation == "" {
		for id := range withdrawn {
			keys = append(keys, KeyInfo{ID: id, Source: "withdrawn", Withdrawn: true})
		}
	}
	slices.SortFunc(keys, func(a, b KeyInfo) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
	return keys
}
