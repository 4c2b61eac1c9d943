package limits

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// settleWrites is the rate in writes/s at which the owners of all slots together write what they have applied. The
	// store takes several hundred writes/s, and lease renewals and claims need some of them.
	settleWrites = 150
	// settleDelay is the shortest time between two reads of the records for a change that has not settled.
	settleDelay = time.Second
)

// settling follows the latest change that replaced entitlements until the owners of all slots have applied it. Until then a
// slot gets no more than the replaced entitlements gave it.
type settling struct {
	// settled is a revision that the owners of all slots have applied. It never falls: whoever comes to own a slot later
	// uses it only with the configuration that was in the store at that time, or a later one.
	settled int64
	pending int64 // the change that the fields below are for
	// writeAt is when the applied revision is written, 0 while nothing is to be written.
	writeAt   clock.Instant
	readAt    clock.Instant
	readDelay time.Duration
}

// settle writes the applied revision into the records of own slots and reads those of others, both only after a revision
// that replaced entitlements. It returns the time until it is to be called again.
func (s *Service) settle(ctx context.Context) (next time.Duration, err error) {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	write, read := s.settleDue()
	if read {
		err = s.readSettled(ctx)
	}
	for slot, record := range write {
		err = errors.Join(err, s.writeApplied(ctx, slot, record))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(s.conf.view) // drops terms that have settled
	return s.settleDelay(), err
}

// settleDue returns the records to be written now, and whether to read.
func (s *Service) settleDue() (write map[ratelimit.Slot]storedRecord, read bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, x := s.opts.Clock.Now(), &s.settling
	window := s.settleWindow()
	if x.pending != s.conf.pending {
		*x = settling{settled: x.settled, pending: s.conf.pending, readDelay: window}
		// By then most owners have seen the view and written.
		x.readAt = now.Add(s.settleSpread() + settleDelay + jitter(settleDelay))
	}
	write = s.appliedUnwritten()
	switch {
	case len(write) == 0:
		x.writeAt = 0
	case x.writeAt == 0:
		x.writeAt = now.Add(jitter(s.settleSpread()))
	}
	if now < x.writeAt {
		write = nil
	} else if len(write) > 0 {
		x.writeAt = now.Add(window + jitter(window)) // for those that fail
	}
	// Later reads are those of the periodic refresh.
	if x.settled < x.pending && now >= x.readAt && x.readDelay < s.renewInterval() {
		read = true
		x.readAt = now.Add(x.readDelay + jitter(x.readDelay/4))
		x.readDelay *= 2
	}
	return write, read
}

// settleSpread is the time over which the owners spread their writes.
func (s *Service) settleSpread() time.Duration {
	slots := 0
	for _, r := range s.conf.regions {
		slots += r.Slots
	}
	return time.Duration(slots) * time.Second / settleWrites
}

// settleWindow is the time between the first reads, and between attempts to write.
func (s *Service) settleWindow() time.Duration { return max(settleDelay, s.settleSpread()) }

// settleDelay is the time until the next write or read, at most the period in which changes are noticed.
func (s *Service) settleDelay() time.Duration {
	now, next := s.opts.Clock.Now(), tickPeriod
	if at := s.settling.writeAt; at != 0 {
		next = min(next, at.Sub(now))
	}
	if s.settling.settled < s.settling.pending && s.settling.readAt > now {
		next = min(next, s.settling.readAt.Sub(now))
	}
	return max(next, time.Millisecond)
}

// jitter returns a random part of a duration.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// appliedUnwritten returns the records of slots in use here that lack a change that has been applied here.
func (s *Service) appliedUnwritten() map[ratelimit.Slot]storedRecord {
	s.noteApplied()
	if s.applied < s.conf.pending || s.stopping {
		return nil
	}
	var out map[ratelimit.Slot]storedRecord
	for slot, held := range s.slots.held {
		record, ok := s.slots.known[slot]
		own := ok && record.Owner.Incarnation == s.self.Incarnation && len(record.Predecessors) == 0
		if !held.usable || !own || record.Applied >= s.conf.pending {
			continue
		}
		if out == nil {
			out = map[ratelimit.Slot]storedRecord{}
		}
		out[slot] = record
	}
	return out
}

// writeApplied writes the applied revision into the record of an own slot. Another writer may have been first, or the answer
// may be lost; the record is then read before it is written again.
func (s *Service) writeApplied(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	next := record.Record
	next.Applied = s.AppliedRevision()
	err := s.putRecord(ctx, slot, next, record.revision)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.settling.readAt = min(s.settling.readAt, s.settling.writeAt)
		s.settling.readDelay = min(s.settling.readDelay, s.settleWindow())
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	}
	if held := s.slots.held[slot]; held != nil {
		held.revision = s.slots.known[slot].revision
	}
	s.noteSettled()
	return nil
}

// readSettled reads the records.
func (s *Service) readSettled(ctx context.Context) error {
	records, err := s.readRecords(ctx)
	if err != nil {
		return errors.Wrap(err, "read the records of slots")
	}
	s.mu.Lock()
	live := s.slots.live
	s.mu.Unlock()
	s.noteRecords(records, live)
	return nil
}

// noteSettled moves the settled revision on to what the records say. A slot without a record may be claimed by an instance
// that has not been heard of.
func (s *Service) noteSettled() {
	lowest := s.conf.Revision()
	for _, region := range s.conf.regions {
		for index := range region.Slots {
			lowest = min(lowest, s.slots.known[ratelimit.Slot{Region: region.Name, Index: index}].Applied)
		}
	}
	if lowest <= s.settling.settled {
		return
	}
	s.settling.settled = lowest
	if s.conf.pending > 0 && lowest >= s.conf.pending {
		s.opts.Log.Info("replaced entitlements have ended", zap.Int64("revision", lowest))
	}
}
