package limits

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// renewInterval grows with the square root of the fleet, so that the store's calls do too.
func (s *Service) renewInterval() time.Duration {
	n := float64(len(s.opts.Peers.Peers()) + 1)
	return time.Duration(float64(s.opts.RenewBase) * math.Max(1, math.Sqrt(n/4)))
}

// refreshDelay is the renewal interval, or a short time while slots of the region have no owner.
func (s *Service) refreshDelay() time.Duration {
	interval := s.renewInterval()
	s.mu.Lock()
	defer s.mu.Unlock()
	short := len(s.slots.unclaimed) > 0 || len(s.slots.ownerOf) == 0
	for _, held := range s.slots.held {
		short = short || !held.resolved
	}
	if short {
		return interval / 3
	}
	return interval
}

// refresh renews the lease, reads the slots' records, gives up lost slots, resolves predecessors and claims free slots.
func (s *Service) refresh(ctx context.Context) error {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	defer s.notifyOwned()
	if err := s.keepLease(ctx); err != nil {
		return errors.Wrap(err, "renew the lease of slots")
	}
	records, err := s.readRecords(ctx)
	if err != nil {
		return errors.Wrap(err, "read the records of slots")
	}
	alive, err := listAll(ctx, s.opts.Store, holderPrefix)
	if err != nil {
		return errors.Wrap(err, "read the holders of slots")
	}
	s.readInstanceList(ctx)
	live := map[string]bool{}
	for _, e := range alive {
		live[e.Key] = true
	}
	s.noteRecords(records, live)
	s.vouch(ctx, records)
	errs := []error{s.restoreRecords(ctx, records)}
	for slot, record := range records {
		if slot.Region == s.self.Region {
			errs = append(errs, s.reviewSlot(ctx, slot, record))
		}
	}
	errs = append(errs, s.claimFree(ctx, records, live), s.shareSlots(ctx))
	s.mu.Lock()
	s.useReadySlots(s.opts.Clock.Now())
	s.mu.Unlock()
	return errors.Join(errs...)
}

// keepLease renews the lease, or takes a new one, and writes the holder key. A key whose write got no response is written again under
// the same lease: the first write may be carried out seconds later, and under a lease that is no longer renewed the key would expire.
func (s *Service) keepLease(ctx context.Context) error {
	s.mu.Lock()
	lease, written := s.slots.lease, s.slots.holderWritten
	s.mu.Unlock()
	if lease != 0 {
		err := s.opts.Store.Renew(ctx, lease)
		switch {
		case errors.Is(err, platform.ErrLeaseLost):
			lease = 0
		case err != nil || written:
			return err
		}
	}
	if lease == 0 {
		var err error
		if lease, err = s.opts.Store.Grant(ctx, leaseIntervals*s.renewInterval()); err != nil {
			return err
		}
		s.setLease(lease, false)
	}
	key := holderKey(s.self.Instance, s.self.Incarnation)
	if _, err := s.opts.Store.Put(ctx, key, []byte("{}"), platform.PutOptions{Lease: lease}); err != nil {
		return err
	}
	s.setLease(lease, true)
	return nil
}

func (s *Service) setLease(lease platform.LeaseID, holderWritten bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.lease, s.slots.holderWritten = lease, holderWritten
}

// reviewSlot compares a record with what this instance holds.
func (s *Service) reviewSlot(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	s.mu.Lock()
	held := s.slots.held[slot]
	heir, gave := s.slots.gave[slot]
	s.mu.Unlock()
	if record.Owner.Incarnation == s.self.Incarnation {
		if gave {
			return s.writeRecord(ctx, slot, Record{Owner: heir, Predecessors: record.Predecessors}, record.revision)
		}
		return s.reviewOwned(ctx, slot, record)
	}
	s.mu.Lock()
	mine := held != nil && slices.Contains(held.speaksFor, record.Owner.Incarnation)
	s.mu.Unlock()
	if mine {
		// Handed over here while the store could not be written.
		return s.writeRecord(ctx, slot, Record{Owner: s.identity(), Applied: s.AppliedRevision()}, record.revision)
	}
	s.dropSlot(slot)
	return s.confirmDropped(ctx, slot, record)
}

// dropSlot ends the use of a slot here.
func (s *Service) dropSlot(slot ratelimit.Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.slots.held[slot]
	if held == nil {
		return
	}
	s.ledger.RemoveSlot(s.opts.Clock.Now(), slot)
	s.slots.spoken[slot] = append(s.slots.spoken[slot], held.speaksFor...)
	delete(s.slots.held, slot)
	s.opts.Log.Info("slot was lost", zap.String("slot", slotKey(slot)))
}

// reviewOwned resolves the predecessors of a slot whose record names this instance.
func (s *Service) reviewOwned(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	held, usable, forgotten := s.noteOwned(slot, record)
	if len(forgotten) > 0 {
		return s.recordForgotten(ctx, slot, record, forgotten)
	}
	identity := s.identity()
	if usable && len(record.Predecessors) == 0 && record.Owner == identity {
		return nil
	}
	left := record.Predecessors
	if len(left) > 0 {
		left = s.unresolved(ctx, slot, left)
	}
	if len(left) < len(record.Predecessors) || record.Owner != identity {
		applied := s.AppliedRevision()
		if !usable || len(left) > 0 {
			applied = min(record.Applied, applied)
		}
		err := s.putRecord(ctx, slot, Record{identity, left, applied}, record.revision)
		if errors.Is(err, platform.ErrConflict) {
			return nil // reviewed again with the next refresh
		}
		if err != nil {
			return err
		}
	}
	if len(left) > 0 || usable {
		return nil
	}
	return s.resolve(ctx, held)
}

// noteOwned notes what the record of an own slot says. forgotten are owners that a store with older data has forgotten as
// predecessors and that may still use the slot; then nothing else is noted.
func (s *Service) noteOwned(slot ratelimit.Slot, record storedRecord) (held *heldSlot, usable bool, forgotten []Predecessor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held = s.slots.held[slot]
	if forgotten = s.forgotten(slot, record.Predecessors); len(forgotten) > 0 && (held == nil || !held.usable) {
		if held != nil {
			held.resolved, held.fresh = false, false
		}
		return held, false, forgotten
	}
	if held == nil {
		// A claim whose answer was lost, or a handover through the store.
		held = &heldSlot{}
		s.slots.held[slot] = held
	}
	held.revision = record.revision
	held.fresh = held.fresh && len(record.Predecessors) == 0
	for _, p := range record.Predecessors {
		held.ended = append(withoutIncarnation(held.ended, p.Incarnation), p.Incarnation)
	}
	s.slots.spoken[slot] = append(s.slots.spoken[slot], held.speaksFor...)
	held.speaksFor = nil
	delete(s.slots.suspects, slot)
	return held, held.usable, nil
}

// resolve notes that no predecessor uses a slot any more, and when it may be used here: at once if it is fresh, else when the
// loans of its predecessors have ended.
func (s *Service) resolve(ctx context.Context, held *heldSlot) error {
	revision, err := s.headRevision(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held.resolved || !s.slots.vouched {
		return nil
	}
	held.resolved = true
	held.minRevision = max(revision, s.slots.vouchedRevision)
	held.readyAt = s.opts.Clock.Now()
	if !held.fresh {
		held.readyAt = held.readyAt.Add(s.ledger.TakeoverDelay())
	}
	return nil
}

// headRevision reads the revision of the configuration in the store, 0 if there is none.
func (s *Service) headRevision(ctx context.Context) (int64, error) {
	entry, err := s.opts.Store.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var head struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return 0, errors.Wrapf(err, "read %s", headKey)
	}
	return head.Revision, nil
}

// useReadySlots starts the use of slots whose predecessors and their loans have ended.
func (s *Service) useReadySlots(now clock.Instant) {
	for slot, held := range s.slots.held {
		if held.resolved && !held.usable && now >= held.readyAt && s.conf.Revision() >= held.minRevision {
			held.usable = true
			s.ledger.AddSlot(now, slot)
			s.opts.Log.Info("slot is in use", zap.String("slot", slotKey(slot)))
		}
	}
}

// readInstanceList notes the first version of the list that has this incarnation.
func (s *Service) readInstanceList(ctx context.Context) {
	s.mu.Lock()
	listed := s.slots.listed
	s.mu.Unlock()
	if listed != 0 || s.opts.Instances == nil {
		return
	}
	rows, version, err := s.opts.Instances.Instances(ctx)
	if err != nil {
		return
	}
	for _, r := range rows {
		if r.Name == s.self.Instance && r.Incarnation == s.self.Incarnation {
			s.mu.Lock()
			s.slots.listed = version
			s.mu.Unlock()
		}
	}
}
