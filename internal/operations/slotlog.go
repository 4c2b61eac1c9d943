package operations

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// listPage is the number of log entries read at once. An entry has up to 50 KB, usually under 1 KB.
const listPage = 256

// logPrefix returns the prefix of a slot's log in the store.
func logPrefix(region string, slot int) string {
	return fmt.Sprintf("once/%s/%d/", region, slot)
}

// logKey returns the store key of an entry. The sequence has a fixed width, so that keys sort by it.
func logKey(region string, slot int, sequence uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix(region, slot), sequence)
}

// reconcile opens the logs of gained slots and drains those of lost ones.
func (s *Service) reconcile() {
	s.reconciling.Lock()
	defer s.reconciling.Unlock()
	owned := s.o.Slots.Owned()
	for l, e := range s.compareSlots(owned) {
		s.step(l, e)
	}
}

// compareSlots returns an event for each log: opened, still owned, or lost.
func (s *Service) compareSlots(owned []int) map[*slotLog]atmostonce.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	events := map[*slotLog]atmostonce.Event{}
	for slot, l := range s.logs {
		if slices.Contains(owned, slot) {
			events[l] = atmostonce.Resumed{}
		} else {
			events[l] = atmostonce.DrainStarted{}
		}
	}
	for _, slot := range owned {
		if s.logs[slot] == nil {
			l := s.newLog(slot)
			s.logs[slot] = l
			events[l] = atmostonce.Opened{}
		}
	}
	return events
}

func (s *Service) newLog(slot int) *slotLog {
	s.term++
	o := s.o.Log
	o.Incarnation = s.o.Network.Self().Incarnation
	o.LogNumber = s.term
	o.Revision = s.revision
	o.Answers = s.answers
	o.Budget = s.budget
	return &slotLog{slot: slot, core: atmostonce.NewLog(o), closed: make(chan struct{})}
}

// step passes an event to a log and carries out what follows.
func (s *Service) step(l *slotLog, e atmostonce.Event) {
	s.mu.Lock()
	actions := l.core.Step(s.now(), e)
	s.revision = max(s.revision, l.core.Revision())
	senders := make([]*waiter, len(actions))
	for i, a := range actions {
		if send, ok := a.(atmostonce.Send); ok {
			// Looked up here, since the caller may leave before the run starts.
			senders[i] = s.waiters[send.ID]
		}
	}
	s.mu.Unlock()
	for i, a := range actions {
		s.perform(l, a, senders[i])
	}
}

func (s *Service) perform(l *slotLog, a atmostonce.Action, sender *waiter) {
	switch a := a.(type) {
	case atmostonce.Reply:
		s.deliver(a)
	case atmostonce.Send:
		s.send(a.ID, sender, func(f atmostonce.Finished) { s.step(l, f) })
	case atmostonce.Put:
		s.spawn(func() { s.step(l, s.put(l, a.Entry)) })
	case atmostonce.Get:
		s.spawn(func() { s.step(l, s.get(l, a.Sequence)) })
	case atmostonce.List:
		s.spawn(func() { s.step(l, s.list(l, a.After)) })
	case atmostonce.Delete:
		s.spawn(func() { s.step(l, s.delete(l, a.Sequence)) })
	case atmostonce.Wake:
		s.wake(l, a)
	case atmostonce.Ready:
		s.o.Logger.Info("operation log taken over", zap.Int("slot", l.slot))
	case atmostonce.Closed:
		s.closeLog(l)
	}
}

func (s *Service) wake(l *slotLog, a atmostonce.Wake) {
	time.AfterFunc(a.At.Sub(s.o.Clock.Now()), func() {
		s.spawn(func() { s.step(l, atmostonce.Woken(a)) })
	})
}

// LogsReady returns the number of owned slots whose records are read, so that their operations are taken.
func (s *Service) LogsReady() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.logs {
		if l.core.Open() {
			n++
		}
	}
	return n
}

// closeLog forgets a closed log. If the slot is still owned, it is taken over again after a pause.
func (s *Service) closeLog(l *slotLog) {
	s.mu.Lock()
	if s.logs[l.slot] == l {
		delete(s.logs, l.slot)
	}
	stopping := s.stopping
	s.mu.Unlock()
	close(l.closed)
	if stopping {
		return
	}
	s.o.Logger.Info("operation log closed", zap.Int("slot", l.slot))
	time.AfterFunc(s.o.ReopenDelay, func() {
		s.spawn(s.reconcile)
	})
}

func (s *Service) region() string { return s.o.Network.Self().Region }

func (s *Service) put(l *slotLog, e atmostonce.Entry) atmostonce.Event {
	w := atmostonce.Written{Token: e.Token, Result: atmostonce.WriteUnknown}
	value, err := encodeEntry(e, s.secrets.SigningID())
	if err != nil {
		s.warn("encode log entry", zap.Int("slot", l.slot), zap.Error(err))
		w.Result = atmostonce.WriteRejected
		return w
	}
	ctx, cancel := context.WithTimeout(s.base, s.o.StoreTimeout)
	defer cancel()
	absent := platform.IfAbsent
	w.Revision, err = s.o.Store.Put(ctx, logKey(s.region(), l.slot, e.Sequence), value, platform.PutOptions{IfRevision: &absent})
	switch {
	case err == nil:
		w.Result = atmostonce.WriteDone
	case errors.Is(err, platform.ErrUnknownOutcome):
	case errors.Is(err, platform.ErrConflict):
		w.Result = atmostonce.WriteConflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		w.Result = atmostonce.WriteRejected
	}
	return w
}

func (s *Service) get(l *slotLog, sequence uint64) atmostonce.Event {
	ctx, cancel := context.WithTimeout(s.base, s.o.StoreTimeout)
	defer cancel()
	f := atmostonce.Fetched{Sequence: sequence, Result: atmostonce.ReadFailed}
	entry, err := s.o.Store.Get(ctx, logKey(s.region(), l.slot, sequence))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		f.Result = atmostonce.ReadAbsent
	case err == nil:
		f.Result = atmostonce.ReadFound
		// An entry that cannot be decoded is not this log's own: its zero token differs from every token written.
		e, err := decodeEntry(sequence, entry.Value, s.secrets)
		if err != nil {
			s.warn("read back log entry", zap.Int("slot", l.slot), zap.Error(err))
		}
		f.Token = e.Token
		f.Revision = entry.Revision
	}
	return f
}

func (s *Service) list(l *slotLog, after uint64) atmostonce.Event {
	ctx, cancel := context.WithTimeout(s.base, s.o.StoreTimeout)
	defer cancel()
	prefix := logPrefix(s.region(), l.slot)
	rows, err := s.o.Store.List(ctx, prefix, logKey(s.region(), l.slot, after), listPage)
	if err != nil {
		return atmostonce.Listed{Failed: true}
	}
	out := atmostonce.Listed{More: len(rows) == listPage}
	for _, row := range rows {
		e, err := s.decodeRow(prefix, row)
		if err != nil {
			// Claims that cannot be read must not be forgotten, so the log stays closed to new ones.
			s.warn("take over operation log", zap.String("key", row.Key), zap.Error(err))
			return atmostonce.Listed{Failed: true}
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

func (s *Service) decodeRow(prefix string, row platform.Entry) (atmostonce.Entry, error) {
	sequence, err := strconv.ParseUint(strings.TrimPrefix(row.Key, prefix), 10, 64)
	if err != nil {
		return atmostonce.Entry{}, errors.Wrap(err, "parse sequence")
	}
	e, err := decodeEntry(sequence, row.Value, s.secrets)
	e.Revision = row.Revision
	return e, err
}

func (s *Service) delete(l *slotLog, sequence uint64) atmostonce.Event {
	ctx, cancel := context.WithTimeout(s.base, s.o.StoreTimeout)
	defer cancel()
	err := s.o.Store.Delete(ctx, logKey(s.region(), l.slot, sequence), nil)
	failed := err != nil && !errors.Is(err, platform.ErrNotFound)
	return atmostonce.Deleted{Sequence: sequence, Failed: failed}
}
