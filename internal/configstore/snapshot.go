package configstore

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
)

// Snapshot is a revision with all its content.
type Snapshot struct {
	Head    *configview.Head // nil for an empty store
	General *config.Config
	Shards  [configview.Shards]*configview.Shard

	storeRevision int64
}

func emptySnapshot() *Snapshot {
	s := &Snapshot{General: new(config.Config)}
	for i := range s.Shards {
		s.Shards[i] = new(configview.Shard)
	}
	return s
}

// Revision of the snapshot, 0 for an empty store.
func (s *Snapshot) Revision() int64 {
	if s.Head == nil {
		return 0
	}
	return s.Head.Revision
}

// Declared returns the declarations, organisations in order of their names. Issued keys are not among them.
func (s *Snapshot) Declared() *config.Config {
	cfg := *s.General
	cfg.Organisations = nil
	for _, shard := range s.Shards {
		for i := range shard.Organisations {
			cfg.Organisations = append(cfg.Organisations, shard.Organisations[i].Organisation)
		}
	}
	slices.SortFunc(cfg.Organisations, func(a, b config.Organisation) int { return strings.Compare(a.Name, b.Name) })
	return &cfg
}

// Organisation returns an organisation with its issued keys, or nil.
func (s *Snapshot) Organisation(name string) *configview.ShardOrganisation {
	shard := s.Shards[configview.ShardOf(name)]
	for i := range shard.Organisations {
		if shard.Organisations[i].Name == name {
			return &shard.Organisations[i]
		}
	}
	return nil
}

// Withdrawn returns the set of withdrawn key ids.
func (s *Snapshot) Withdrawn() map[string]bool {
	ids := make(map[string]bool)
	for _, shard := range s.Shards {
		for _, id := range shard.Withdrawn {
			ids[id] = true
		}
	}
	return ids
}

// Latest reads the configuration in force. An empty store gives an empty snapshot.
func (s *Store) Latest(ctx context.Context) (*Snapshot, error) {
	h, at, err := s.Head(ctx)
	if errors.Is(err, ErrNoConfiguration) {
		return emptySnapshot(), nil
	}
	if err != nil {
		return nil, err
	}
	snapshot, err := s.Snapshot(ctx, h)
	if err != nil {
		return nil, err
	}
	snapshot.storeRevision = at
	return snapshot, nil
}

// Snapshot reads all content of a head.
func (s *Store) Snapshot(ctx context.Context, h *configview.Head) (*Snapshot, error) {
	var digests []configview.Digest
	for _, d := range append([]configview.Digest{h.General}, h.Shards[:]...) {
		if d != "" {
			digests = append(digests, d)
		}
	}
	content, err := s.Content(ctx, h, digests)
	if err != nil {
		return nil, err
	}
	snapshot := &Snapshot{Head: h}
	if snapshot.General, err = configview.DecodeGeneral(content[h.General]); err != nil {
		return nil, err
	}
	for i, d := range h.Shards {
		if snapshot.Shards[i], err = configview.DecodeShard(content[d]); err != nil {
			return nil, errors.Wrapf(err, "shard %d", i)
		}
	}
	return snapshot, nil
}
