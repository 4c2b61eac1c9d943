package configview

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// ErrNotHigher is returned for a head whose revision is not above the one in force.
var ErrNotHigher = errors.New("revision is not above the one in force")

// MissingError reports that the content for some digests of a head was not supplied.
type MissingError struct {
	Digests []Digest
}

// Error returns a message with the number of missing parts.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%d parts of the configuration are missing", len(e.Digests))
}

// State holds the view in force, and accepts revisions and withdrawals. It is not safe for concurrent use; the views
// that it returns are.
type State struct {
	view *View
}

// NewState returns a state that has accepted no revision yet.
func NewState() *State {
	return &State{view: Empty()}
}

// View returns the view in force.
func (s *State) View() *View { return s.view }

// Missing returns the digests of the content that Accept needs for a head. It returns ErrNotHigher for a head that
// would be rejected.
func (s *State) Missing(h *Head) ([]Digest, error) {
	if h.Revision <= s.view.Revision() {
		return nil, errors.Wrapf(ErrNotHigher, "revision %d against %d", h.Revision, s.view.Revision())
	}
	current := s.view.head
	var missing []Digest
	if h.General != "" && (current == nil || current.General != h.General) {
		missing = append(missing, h.General)
	}
	for i, d := range h.Shards {
		if d != "" && (current == nil || current.Shards[i] != d) {
			missing = append(missing, d)
		}
	}
	return missing, nil
}

// Accept puts a higher revision in force, completely or not at all. content contains the parts that Missing has
// returned; content that does not match its digest is rejected.
func (s *State) Accept(h *Head, content map[Digest][]byte) (*View, error) {
	missing, err := s.Missing(h)
	if err != nil {
		return nil, err
	}
	if err := checkContent(missing, content); err != nil {
		return nil, err
	}
	next := *s.view
	next.head = h
	current := s.view.head
	if current == nil {
		current = new(Head)
	}
	if current.General != h.General {
		next.general, err = DecodeGeneral(content[h.General])
		if err != nil {
			return nil, err
		}
	}
	keys, withdrawn := edit(s.view.keys), edit(s.view.withdrawn)
	added := make(map[string]storedKey)
	for i, d := range h.Shards {
		if current.Shards[i] == d {
			continue
		}
		shard, err := DecodeShard(content[d])
		if err != nil {
			return nil, errors.Wrapf(err, "shard %d", i)
		}
		next.replaceShard(i, shard, keys, added, withdrawn)
	}
	// A key may move between shards, so keys are added only after all shards have removed their former ones.
	for id, ref := range added {
		keys.set(id, ref)
	}
	next.keys, next.withdrawn = keys.done(), withdrawn.done()
	s.view = &next
	return s.view, nil
}

func checkContent(missing []Digest, content map[Digest][]byte) error {
	var absent []Digest
	for _, d := range missing {
		c, ok := content[d]
		if !ok {
			absent = append(absent, d)
			continue
		}
		if DigestOf(c) != d {
			return errors.Newf("content does not have the digest %s", d)
		}
	}
	if len(absent) > 0 {
		return &MissingError{Digests: absent}
	}
	return nil
}

// replaceShard replaces the organisations of a shard. It collects new and changed keys in added, and only adds to the
// withdrawn ids.
func (v *View) replaceShard(i int, shard *Shard, keys *bucketEditor[storedKey], added map[string]storedKey, withdrawn *bucketEditor[struct{}]) {
	old := v.shards[i]
	fresh := make(map[string]*config.Organisation, len(shard.Organisations))
	wanted := make(map[string]storedKey)
	for j := range shard.Organisations {
		o := shard.Organisations[j].Organisation
		o.Keys = slices.Concat(o.Keys, shard.Organisations[j].Issued)
		fresh[o.Name] = &o
		for _, key := range o.Keys {
			if ref, ok := newStoredKey(o.Name, key); ok {
				wanted[key.ID] = ref
			}
		}
	}
	for _, o := range old {
		for _, key := range o.Keys {
			ref, ok := wanted[key.ID]
			if ok {
				if known, _ := keys.next.get(key.ID); known == ref {
					delete(wanted, key.ID)
				}
				continue
			}
			// A key that has moved to another shard is added again later, from added.
			keys.remove(key.ID)
		}
	}
	for id, ref := range wanted {
		added[id] = ref
	}
	for _, id := range shard.Withdrawn {
		v.withdraw(id, withdrawn)
	}
	v.shards[i] = fresh
	v.count += len(fresh) - len(old)
}

// Withdraw adds key ids to the withdrawn set. It returns the ids that were not in the set, and the view in force.
func (s *State) Withdraw(ids []string) (fresh []string, view *View) {
	next := *s.view
	withdrawn := edit(s.view.withdrawn)
	for _, id := range ids {
		if next.withdraw(id, withdrawn) {
			fresh = append(fresh, id)
		}
	}
	if len(fresh) > 0 {
		next.withdrawn = withdrawn.done()
		s.view = &next
	}
	return fresh, s.view
}

// Withdrawn returns all withdrawn key ids in order.
func (v *View) Withdrawn() []string {
	ids := make([]string, 0, v.withdrawn.size)
	v.withdrawn.each(func(id string, _ struct{}) bool {
		ids = append(ids, id)
		return true
	})
	slices.Sort(ids)
	return ids
}

// WithdrawnDigest returns a digest of the set of withdrawn key ids, by which two instances can compare their sets.
func (v *View) WithdrawnDigest() uint64 { return v.withdrawnDigest }

// withdraw adds an id to the edited set and to the digest, and reports whether the id was new.
func (v *View) withdraw(id string, set *bucketEditor[struct{}]) bool {
	if _, ok := set.next.get(id); ok || id == "" {
		return false
	}
	set.set(id, struct{}{})
	v.withdrawnDigest ^= xxhash.Sum64String(id)
	return true
}
