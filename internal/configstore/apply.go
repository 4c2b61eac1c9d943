package configstore

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
)

// maxAttempts bounds how often a change that goes together with others' changes is built again after a lost race.
const maxAttempts = 20

// Change qualifies a write.
type Change struct {
	Author string
	Note   string
	// Above is the highest revision that any reachable instance has in force. The new revision is above it.
	Above int64
	// InForce is the lowest revision in force over all listed instances, 0 if one cannot be reached. Previous
	// entitlements that it covers are dropped.
	InForce int64
	// Expect refuses the write unless this revision is in force. 0 expects any.
	Expect int64
	// MoveRecords allows a change that moves idempotency records to another region.
	MoveRecords bool
}

// Result is a revision that is in the store.
type Result struct {
	Head    *configview.Head
	Changes []config.Change
	// Warnings are facts that the operator should know, such as declared keys that stay withdrawn.
	Warnings []string
}

// SlotsError reports a change of a region's number of slots, which owned shares and records depend on.
type SlotsError struct {
	Region   string
	Old, New int
}

// Error says which number must stay.
func (e *SlotsError) Error() string {
	return fmt.Sprintf("region %q has %d slots in force and %d in the new configuration: the number of slots of a region cannot change, since slots own records",
		e.Region, e.Old, e.New)
}

// ExpectError reports that another revision than the expected one is in the store.
type ExpectError struct {
	Expected, Found int64
}

// Error names both revisions.
func (e *ExpectError) Error() string {
	return fmt.Sprintf("revision %d is in the store, not the expected %d", e.Found, e.Expected)
}

// DryRun returns the changes that Apply would make, with the same checks.
func (s *Store) DryRun(ctx context.Context, cfg *config.Config) (*Snapshot, []config.Change, error) {
	base, err := s.Latest(ctx)
	if err != nil {
		return nil, nil, err
	}
	return base, config.Diff(base.Declared(), cfg), checkSlots(base.General, cfg)
}

// Apply puts declarations in force as a new revision. Issued keys stay, and withdrawn keys stay withdrawn.
// If another writer changed declarations in between, it returns *RaceError.
func (s *Store) Apply(ctx context.Context, cfg *config.Config, change Change) (*Result, error) {
	return s.replace(ctx, change, func(*Snapshot) (*config.Config, map[string][]config.Key, error) {
		return cfg, nil, nil
	}, 0)
}

// Rollback puts the declarations of an earlier revision in force again, as a new revision. Issued keys stay, and come back
// with organisations that come back; withdrawn keys stay withdrawn.
func (s *Store) Rollback(ctx context.Context, revision int64, change Change) (*Result, error) {
	h, err := s.At(ctx, revision)
	if err != nil {
		return nil, err
	}
	target, err := s.Snapshot(ctx, h)
	if err != nil {
		return nil, err
	}
	issued := make(map[string][]config.Key)
	for _, shard := range target.Shards {
		for _, o := range shard.Organisations {
			issued[o.Name] = o.Issued
		}
	}
	declared := target.Declared()
	for i := range declared.Organisations {
		declared.Organisations[i].Previous = nil
	}
	return s.replace(ctx, change, func(*Snapshot) (*config.Config, map[string][]config.Key, error) {
		return declared, issued, nil
	}, revision)
}

type declareFunc func(base *Snapshot) (cfg *config.Config, issued map[string][]config.Key, err error)

// replace writes a revision with new declarations. It builds the revision again after a lost race if the other writer
// changed no declarations, such as one that issued a key.
func (s *Store) replace(ctx context.Context, change Change, declare declareFunc, restores int64) (*Result, error) {
	first, err := s.Latest(ctx)
	if err != nil {
		return nil, err
	}
	base := first
	for range maxAttempts {
		if change.Expect != 0 && base.Revision() != change.Expect {
			return nil, &ExpectError{Expected: change.Expect, Found: base.Revision()}
		}
		cfg, issued, err := declare(base)
		if err != nil {
			return nil, err
		}
		result, err := s.write(ctx, base, cfg, issued, change, restores)
		if !errors.Is(err, errLost) {
			return result, err
		}
		current, err := s.Latest(ctx)
		if err != nil {
			return nil, err
		}
		theirs := config.Diff(first.Declared(), current.Declared())
		if len(theirs) > 0 || current.Head == nil {
			return nil, &RaceError{Base: first.Head, Current: current.Head, Theirs: theirs, Mine: config.Diff(first.Declared(), cfg)}
		}
		base = current
	}
	return nil, errors.Newf("the head changed %d times while this change was built", maxAttempts)
}

func (s *Store) write(ctx context.Context, base *Snapshot, cfg *config.Config, issued map[string][]config.Key, change Change, restores int64) (*Result, error) {
	if err := checkSlots(base.General, cfg); err != nil {
		return nil, err
	}
	if err := checkKeys(base, cfg, issued); err != nil {
		return nil, err
	}
	if err := s.checkRecords(base, cfg, change); err != nil {
		return nil, err
	}
	h := s.nextHead(base, change)
	h.Restores = restores
	shards := buildShards(base, cfg, issued, h.Revision, change.InForce)
	content := make(map[configview.Digest][]byte)
	general, err := configview.EncodeGeneral(cfg)
	if err != nil {
		return nil, errors.Wrap(err, "encode the general part")
	}
	h.General = configview.DigestOf(general)
	content[h.General] = general
	for i, shard := range shards {
		if err := setShard(h, i, shard, content); err != nil {
			return nil, err
		}
	}
	dropKnown(base.Head, h, content)
	if err := s.commit(ctx, base.storeRevision, h, content); err != nil {
		return nil, err
	}
	return &Result{
		Head:     h,
		Changes:  config.Diff(base.Declared(), cfg),
		Warnings: warnings(base, cfg, change),
	}, nil
}

// nextHead is a head above base and above every revision in force. It names the content of base.
func (s *Store) nextHead(base *Snapshot, change Change) *configview.Head {
	h := new(configview.Head)
	if base.Head != nil {
		*h = *base.Head
		h.Parent, h.ParentToken = base.Head.Revision, base.Head.Token
	}
	h.Revision = max(base.Revision(), change.Above) + 1
	h.Restores = 0
	h.Author, h.Note = change.Author, change.Note
	h.Time = s.opts.Now().UTC()
	h.Token = s.opts.NewToken()
	return h
}

func setShard(h *configview.Head, i int, shard *configview.Shard, content map[configview.Digest][]byte) error {
	value, err := shard.Encode()
	if err != nil {
		return errors.Wrapf(err, "encode shard %d", i)
	}
	h.Shards[i] = configview.DigestOf(value)
	if len(value) > 0 {
		content[h.Shards[i]] = value
	}
	return nil
}

// dropKnown removes content that the base names, which is in the store already.
func dropKnown(base, h *configview.Head, content map[configview.Digest][]byte) {
	if base == nil {
		return
	}
	delete(content, base.General)
	for _, d := range base.Shards {
		delete(content, d)
	}
}

func checkSlots(old, cfg *config.Config) error {
	slots := make(map[string]int, len(cfg.Regions))
	for _, r := range cfg.Regions {
		slots[r.Name] = r.Slots
	}
	for _, r := range old.Regions {
		if slots[r.Name] != r.Slots {
			return &SlotsError{Region: r.Name, Old: r.Slots, New: slots[r.Name]}
		}
	}
	return nil
}

// checkKeys refuses a declared key whose id was issued to another organisation.
func checkKeys(base *Snapshot, cfg *config.Config, restored map[string][]config.Key) error {
	owner := make(map[string]string)
	for name, keys := range restored {
		for _, k := range keys {
			owner[k.ID] = name
		}
	}
	for _, shard := range base.Shards {
		for _, o := range shard.Organisations {
			for _, k := range o.Issued {
				owner[k.ID] = o.Name
			}
		}
	}
	for _, o := range cfg.Organisations {
		for _, k := range o.Keys {
			if issuedTo, ok := owner[k.ID]; ok {
				return errors.Newf("organisation %q declares the key %s, which was issued to %q", o.Name, k.ID, issuedTo)
			}
		}
	}
	return nil
}

// warnings names what the operator should know of a change that is made nevertheless.
func warnings(base *Snapshot, cfg *config.Config, change Change) []string {
	var list []string
	if base.Head != nil && change.Above > base.Revision() {
		list = append(list, fmt.Sprintf("the store held revision %d, but an instance has revision %d in force: the store was restored from older data, "+
			"and keys issued or withdrawn between these revisions are not in it; withdraw such keys again", base.Revision(), change.Above))
	}
	return append(list, stayWithdrawn(base, cfg)...)
}

// MovedRecordsError reports a change that moves idempotency records of organisations to another region. A key that was used
// before the change would not be recognised after it, and its request could run twice.
type MovedRecordsError struct {
	Organisations []MovedRecords
}

// MovedRecords says where the records of an organisation are looked for.
type MovedRecords struct {
	Organisation string `json:"organisation"`
	From         string `json:"from"`
	To           string `json:"to"`
}

// Error names the organisations and how to avoid the move.
func (e *MovedRecordsError) Error() string {
	var b strings.Builder
	b.WriteString("idempotency records would move to another region, and repeats of requests that ran there would run again:")
	const shown = 10
	for _, m := range e.Organisations[:min(shown, len(e.Organisations))] {
		fmt.Fprintf(&b, "\n  %s: from %s to %s", m.Organisation, m.From, m.To)
	}
	if more := len(e.Organisations) - shown; more > 0 {
		fmt.Fprintf(&b, "\n  and %d more", more)
	}
	b.WriteString("\nset records_region to the old region where there is no home, or allow the move")
	return b.String()
}

func (s *Store) checkRecords(base *Snapshot, cfg *config.Config, change Change) error {
	if s.opts.RecordRegion == nil || change.MoveRecords {
		return nil
	}
	var moved []MovedRecords
	for i := range cfg.Organisations {
		o := &cfg.Organisations[i]
		old := base.Organisation(o.Name)
		if old == nil {
			continue
		}
		from, to := s.opts.RecordRegion(base.General, &old.Organisation), s.opts.RecordRegion(cfg, o)
		if from != to {
			moved = append(moved, MovedRecords{o.Name, from, to})
		}
	}
	if len(moved) > 0 {
		return &MovedRecordsError{Organisations: moved}
	}
	return nil
}

// stayWithdrawn names declared keys that are withdrawn.
func stayWithdrawn(base *Snapshot, cfg *config.Config) []string {
	withdrawn := base.Withdrawn()
	var warnings []string
	for _, o := range cfg.Organisations {
		for _, k := range o.Keys {
			if withdrawn[k.ID] {
				warnings = append(warnings, fmt.Sprintf("key %s of organisation %s is declared but stays withdrawn", k.ID, o.Name))
			}
		}
	}
	return warnings
}

// buildShards divides organisations into shards, with what is kept from base.
func buildShards(base *Snapshot, cfg *config.Config, restored map[string][]config.Key, revision, inForce int64) [configview.Shards]*configview.Shard {
	var shards [configview.Shards]*configview.Shard
	for i := range shards {
		shards[i] = &configview.Shard{Withdrawn: slices.Clone(base.Shards[i].Withdrawn)}
	}
	withdrawn := base.Withdrawn()
	present := make(map[string]bool, len(cfg.Organisations))
	before := make(map[string]*configview.ShardOrganisation)
	removed := make(map[string][]config.Entitlement)
	for _, shard := range base.Shards {
		for i := range shard.Organisations {
			before[shard.Organisations[i].Name] = &shard.Organisations[i]
		}
		for _, r := range shard.Removed {
			removed[r.Name] = r.Previous
		}
	}
	for _, o := range cfg.Organisations {
		present[o.Name] = true
		next := configview.ShardOrganisation{Organisation: o}
		keys := slices.Clone(restored[o.Name])
		old := before[o.Name]
		if old != nil {
			keys = append(keys, old.Issued...)
		}
		next.Issued = liveKeys(keys, withdrawn)
		next.Previous = previousOf(old, removed[o.Name], &o, base.General.Regions, cfg.Regions, revision, inForce)
		i := configview.ShardOf(o.Name)
		shards[i].Organisations = append(shards[i].Organisations, next)
	}
	for name, old := range before {
		if !present[name] {
			removed[name] = append(slices.Clone(old.Previous), entitlementOf(&old.Organisation, base.General.Regions, revision))
		}
	}
	for name, previous := range removed {
		previous = pending(previous, inForce)
		if present[name] || len(previous) == 0 {
			continue
		}
		i := configview.ShardOf(name)
		shards[i].Removed = append(shards[i].Removed, configview.RemovedOrganisation{Name: name, Previous: previous})
	}
	return shards
}

// liveKeys drops withdrawn and repeated keys and orders them, so that equal sets have equal content.
func liveKeys(keys []config.Key, withdrawn map[string]bool) []config.Key {
	keys = slices.DeleteFunc(keys, func(k config.Key) bool { return withdrawn[k.ID] })
	slices.SortFunc(keys, func(a, b config.Key) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(keys, func(a, b config.Key) bool { return a.ID == b.ID })
}
