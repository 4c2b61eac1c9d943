package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Keys in the store.
const (
	// slotPrefix holds a Record per slot, without a lease: slots/<region>/<index>.
	slotPrefix = "slots/"
	// holderPrefix holds a key per slot owner under the owner's lease: slot-holders/<name>/<incarnation>. A slot whose
	// owner has no such key has lapsed. The record itself outlives the lease, so that the next owner knows the predecessor.
	holderPrefix = "slot-holders/"
	// headKey holds the head of the configuration.
	headKey = "config/head"
)

const (
	listPage = 1000
	// leaseIntervals is the length of the lease in renewal intervals.
	leaseIntervals = 3
)

// Predecessor is an incarnation that may still use a slot.
type Predecessor struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// ListedVersion is a version of the instance list that had the incarnation; 0 if it was never seen listed.
	ListedVersion int64 `json:"listed_version,omitempty"`
}

// Record says who owns a slot. The owner uses it only when no predecessor is left.
type Record struct {
	Owner        Predecessor   `json:"owner"` // the zero value for a slot that was given up
	Predecessors []Predecessor `json:"predecessors,omitempty"`
	// Applied is a configuration revision that all have applied who may use the slot or loans from it, 0 if none is known.
	// It is written only for revisions that replace entitlements, so that it may be lower than what is in force.
	Applied int64 `json:"applied,omitempty"`
}

// storedRecord is a record as it was read.
type storedRecord struct {
	Record
	revision int64
}

func slotKey(slot ratelimit.Slot) string {
	return slotPrefix + slot.Region + "/" + strconv.Itoa(slot.Index)
}

func parseSlotKey(key string) (ratelimit.Slot, bool) {
	rest := strings.TrimPrefix(key, slotPrefix)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return ratelimit.Slot{}, false
	}
	index, err := strconv.Atoi(rest[i+1:])
	return ratelimit.Slot{Region: rest[:i], Index: index}, err == nil
}

func holderKey(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%016x", holderPrefix, name, incarnation)
}

// listAll reads all keys with a prefix.
func listAll(ctx context.Context, store platform.Store, prefix string) ([]platform.Entry, error) {
	var all []platform.Entry
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, listPage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < listPage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

func (s *Service) readRecords(ctx context.Context) (map[ratelimit.Slot]storedRecord, error) {
	return readRecords(ctx, s.opts.Store)
}

func readRecords(ctx context.Context, store platform.Store) (map[ratelimit.Slot]storedRecord, error) {
	entries, err := listAll(ctx, store, slotPrefix)
	if err != nil {
		return nil, err
	}
	records := map[ratelimit.Slot]storedRecord{}
	for _, e := range entries {
		slot, ok := parseSlotKey(e.Key)
		if !ok {
			return nil, errors.Newf("key %q is not a slot", e.Key)
		}
		r := storedRecord{revision: e.Revision}
		if err := json.Unmarshal(e.Value, &r.Record); err != nil {
			return nil, errors.Wrapf(err, "record of slot %q", e.Key)
		}
		records[slot] = r
	}
	return records, nil
}

// noteRecords updates what is known of the slots. Owners and predecessors that a store with older data has
// forgotten are kept as suspects.
func (s *Service) noteRecords(records map[ratelimit.Slot]storedRecord, live map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for slot, before := range s.slots.known {
		now, ok := records[slot]
		if ok && now.revision >= before.revision {
			continue
		}
		for _, p := range append(slices.Clone(before.Predecessors), before.Owner) {
			if p != (Predecessor{}) && p.Incarnation != now.Owner.Incarnation {
				s.slots.suspect(slot, p)
			}
		}
	}
	s.slots.known, s.slots.live = records, live
	s.noteSettled()
	clear(s.slots.ownerOf)
	for slot, r := range records {
		s.slots.ownerOf[slot] = r.Owner
		if r.Owner.Incarnation != s.self.Incarnation {
			delete(s.slots.gave, slot)
		}
	}
}

// restoreRecords writes the records of slots in use here that a store with older data has forgotten, or that name an owner
// from before this one.
func (s *Service) restoreRecords(ctx context.Context, records map[ratelimit.Slot]storedRecord) error {
	var errs []error
	for slot, held := range s.heldSlots() {
		record, exists := records[slot]
		older := exists && record.revision < held.revision && slices.Contains(held.ended, record.Owner.Incarnation)
		if !held.usable || exists && !older {
			continue
		}
		delete(records, slot) // read again with the next refresh
		next := Record{Owner: s.identity(), Applied: s.AppliedRevision()}
		err := s.putRecord(ctx, slot, next, record.revision)
		if errors.Is(err, platform.ErrConflict) {
			continue // the next refresh reads what the other writer left
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s.opts.Log.Warn("record of a slot was restored", zap.String("slot", slotKey(slot)))
	}
	return errors.Join(errs...)
}

// identity is this instance as a record names it.
func (s *Service) identity() Predecessor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Predecessor{s.self.Instance, s.self.Incarnation, s.slots.listed}
}

// writeRecord replaces a record. revision 0 creates it.
func (s *Service) writeRecord(ctx context.Context, slot ratelimit.Slot, r Record, revision int64) error {
	err := s.putRecord(ctx, slot, r, revision)
	if errors.Is(err, platform.ErrConflict) {
		return nil // the next refresh reads what the other writer left
	}
	return err
}

// putRecord is writeRecord with an error if another writer was first. The written record is known from then on: a second
// write in the same refresh must expect its revision.
func (s *Service) putRecord(ctx context.Context, slot ratelimit.Slot, r Record, revision int64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	written, err := s.opts.Store.Put(ctx, slotKey(slot), value, platform.PutOptions{IfRevision: &revision})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.known[slot] = storedRecord{Record: r, revision: written}
	return nil
}

// recordForgotten names the owners that the store has forgotten as predecessors. They are suspects no longer once that is written:
// one that then takes itself out of the record has ended its use, and must not be written again. If the store goes back
// once more, the record that was written is newer than the one read, and they become suspects again.
func (s *Service) recordForgotten(ctx context.Context, slot ratelimit.Slot, record storedRecord, forgotten []Predecessor) error {
	next := Record{Owner: s.identity(), Predecessors: append(slices.Clone(record.Predecessors), forgotten...)}
	err := s.putRecord(ctx, slot, next, record.revision)
	if errors.Is(err, platform.ErrConflict) {
		return nil // the next refresh reads what the other writer left
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slots.suspects, slot)
	return nil
}

// confirmDropped takes the incarnations whose use has ended here out of the predecessors.
func (s *Service) confirmDropped(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	s.mu.Lock()
	ended := append([]uint64{s.self.Incarnation}, s.slots.spoken[slot]...)
	s.mu.Unlock()
	left := withoutIncarnations(record.Predecessors, ended)
	if len(left) == len(record.Predecessors) {
		return nil
	}
	return s.writeRecord(ctx, slot, Record{record.Owner, left, record.Applied}, record.revision)
}

func withoutIncarnation(in []uint64, incarnation uint64) []uint64 {
	return slices.DeleteFunc(in, func(i uint64) bool { return i == incarnation })
}

func withoutIncarnations(in []Predecessor, ended []uint64) []Predecessor {
	var out []Predecessor
	for _, p := range in {
		if !slices.Contains(ended, p.Incarnation) {
			out = append(out, p)
		}
	}
	return out
}

// forgotten returns the suspects of a slot that are not among its predecessors.
func (s *Service) forgotten(slot ratelimit.Slot, predecessors []Predecessor) []Predecessor {
	var out []Predecessor
	for _, p := range s.slots.suspects[slot] {
		same := func(o Predecessor) bool { return o.Incarnation == p.Incarnation }
		if p.Incarnation != s.self.Incarnation && !slices.ContainsFunc(predecessors, same) && !slices.ContainsFunc(out, same) {
			out = append(out, p)
		}
	}
	return out
}

// Release declares an incarnation dead on an operator's word: its slots may be claimed without it as a predecessor.
func Release(ctx context.Context, store platform.Store, incarnation uint64) (released int, err error) {
	records, err := readRecords(ctx, store)
	if err != nil {
		return 0, err
	}
	var errs []error
	for slot, r := range records {
		next := Record{r.Owner, withoutIncarnations(r.Predecessors, []uint64{incarnation}), r.Applied}
		if r.Owner.Incarnation == incarnation {
			next.Owner = Predecessor{}
		}
		if next.Owner == r.Owner && len(next.Predecessors) == len(r.Predecessors) {
			continue
		}
		value, err := json.Marshal(next)
		if err != nil {
			return released, err
		}
		if _, err := store.Put(ctx, slotKey(slot), value, platform.PutOptions{IfRevision: &r.revision}); err != nil {
			errs = append(errs, errors.Wrapf(err, "release slot %s", slotKey(slot)))
			continue
		}
		released++
	}
	return released, errors.Join(errs...)
}
