package limits

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// claimFree claims slots of the region that have no live owner: at once up to an equal part, and more of them when they
// have stayed free for a renewal interval.
func (s *Service) claimFree(ctx context.Context, records map[ratelimit.Slot]storedRecord, live map[string]bool) error {
	slots := 0
	for _, r := range s.regions() {
		if r.Name == s.self.Region {
			slots = r.Slots
		}
	}
	inRegion := 1
	for _, p := range s.opts.Peers.Peers() {
		if p.Region == s.self.Region && !p.Leaving {
			inRegion++
		}
	}
	fair := (slots + inRegion - 1) / inRegion
	elsewhere := sync.OnceValue(func() map[ratelimit.Slot]Predecessor {
		held, _, _ := s.askHeld(ctx)
		return held
	})
	now := s.opts.Clock.Now()
	var errs []error
	for _, index := range claimOrder(s.self.Instance, slots) {
		slot := ratelimit.Slot{Region: s.self.Region, Index: index}
		record, exists := records[slot]
		s.mu.Lock()
		stopping, held := s.stopping, len(s.slots.held)
		holds := s.slots.held[slot] != nil
		free := !holds && (!exists || !live[holderKey(record.Owner.Name, record.Owner.Incarnation)])
		since, seen := s.slots.unclaimed[slot]
		switch {
		case !free:
			delete(s.slots.unclaimed, slot)
		case !seen:
			since = now
			s.slots.unclaimed[slot] = now
		}
		s.mu.Unlock()
		if !free || stopping || (held >= fair && now.Sub(since) < s.renewInterval()) {
			continue
		}
		if !exists && elsewhere()[slot] != (Predecessor{}) {
			continue // its owner restores the record
		}
		errs = append(errs, s.claim(ctx, slot, record, exists))
	}
	return errors.Join(errs...)
}

func (s *Service) regions() []ratelimit.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conf.regions
}

// claimOrder returns the indexes of a region's slots in an order of the instance's own. If all claimed from the first one on, a
// whole fleet that starts at once would write as many claims as the square of its instances, nearly all in vain.
func claimOrder(instance string, slots int) []int {
	order := make([]int, slots)
	hashes := make([]uint64, slots)
	for i := range order {
		order[i] = i
		hashes[i] = xxhash.Sum64String(instance + "\x00" + strconv.Itoa(i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	return order
}

// claim makes this instance the owner of a slot. The former owner stays a predecessor until its use has surely ended.
func (s *Service) claim(ctx context.Context, slot ratelimit.Slot, record storedRecord, exists bool) error {
	next := Record{Owner: s.identity(), Predecessors: slices.Clone(record.Predecessors)}
	s.mu.Lock()
	if len(s.slots.suspects[slot]) == 0 {
		// What holds for the predecessors goes on to hold only as far as this instance has applied it too.
		next.Applied = min(record.Applied, s.applied)
	}
	before := append([]Predecessor{record.Owner}, s.slots.suspects[slot]...)
	s.mu.Unlock()
	for _, p := range before {
		if p != (Predecessor{}) && p.Incarnation != s.self.Incarnation {
			next.Predecessors = append(withoutIncarnations(next.Predecessors, []uint64{p.Incarnation}), p)
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	revision, err := s.opts.Store.Put(ctx, slotKey(slot), value, platform.PutOptions{IfRevision: &record.revision})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.slots.held[slot] = &heldSlot{fresh: !exists && len(next.Predecessors) == 0}
	s.slots.ownerOf[slot] = next.Owner
	s.slots.known[slot] = storedRecord{next, revision}
	delete(s.slots.unclaimed, slot)
	delete(s.slots.gave, slot)
	s.mu.Unlock()
	return s.reviewOwned(ctx, slot, storedRecord{next, revision})
}
