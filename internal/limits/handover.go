package limits

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// handOver stops the use of all slots here and passes them on to another instance of the region, else to the store.
func (s *Service) handOver(ctx context.Context) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil
	}
	s.stopping = true
	now := s.opts.Clock.Now()
	for slot, held := range s.slots.held {
		s.slots.spoken[slot] = append(s.slots.spoken[slot], held.speaksFor...)
		delete(s.slots.held, slot)
	}
	usable, accounts, returns := s.ledger.HandOver(now)
	s.mu.Unlock()
	returned := make(chan struct{}, len(returns))
	for giver, asks := range returns {
		go func() {
			s.borrow(giver, asks)
			returned <- struct{}{}
		}()
	}
	target, accepted := s.offerSlots(ctx, usable, accounts)
	for range returns {
		select {
		case <-returned:
		case <-ctx.Done():
		}
	}
	err := s.leaveRecords(ctx, usable, target)
	if accepted {
		// The new owner writes the records itself once the store answers.
		return nil
	}
	return err
}

// offerSlots sends the slots to one instance of the region after the other, until one has accepted them or may have: then
// nobody else may get them.
func (s *Service) offerSlots(
	ctx context.Context, slots []ratelimit.HandedSlot, accounts []ratelimit.HandedAccount,
) (target *Peer, accepted bool) {
	if len(slots) == 0 {
		return nil, false
	}
	req := handoverRequest(slots, accounts)
	req.Stopping = true
	for _, p := range s.heirs() {
		accepted, certain := s.callHandover(ctx, p, req)
		if accepted || !certain {
			return &p, accepted
		}
	}
	return nil, false
}

// heirs returns the instances of the region that may take slots over, those with the fewest slots first.
func (s *Service) heirs() []Peer {
	slots := s.slotsByOwner()
	var out []Peer
	for _, p := range s.opts.Peers.Peers() {
		if p.Region == s.self.Region && !p.Leaving {
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b Peer) int { return slots[a.Incarnation] - slots[b.Incarnation] })
	return out
}

// slotsByOwner counts the slots of the region by incarnation, as last read.
func (s *Service) slotsByOwner() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint64]int{}
	for slot, owner := range s.slots.ownerOf {
		if slot.Region == s.self.Region {
			out[owner.Incarnation]++
		}
	}
	return out
}

// callHandover offers slots to an instance. certain is false if the instance may have accepted without an answer.
func (s *Service) callHandover(ctx context.Context, p Peer, req *wire.HandoverRequest) (accepted, certain bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req.Incarnation = p.Incarnation
	resp := &wire.HandoverResponse{}
	err := s.opts.Network.Call(ctx, p.Name, serviceHandover, req, resp)
	if err != nil {
		return false, errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrUnknownPeer)
	}
	return resp.GetAccepted(), true
}

// shareSlots hands a slot to an instance of the region that has at least two fewer, so that instances that join later and
// those that took over from stopping ones come to equal parts. The store decides first: a lost message then costs the slot's
// tokens only.
func (s *Service) shareSlots(ctx context.Context) error {
	heirs := s.heirs()
	s.mu.Lock()
	usable := s.usableSlots()
	stopping, held := s.stopping, len(s.slots.held)
	s.mu.Unlock()
	if len(heirs) == 0 || len(usable) == 0 || stopping {
		return nil
	}
	heir := heirs[0]
	if held < s.slotsByOwner()[heir.Incarnation]+2 || !s.live(heir) {
		return nil
	}
	for _, slot := range usable {
		done, err := s.giveSlot(ctx, slot, heir)
		if done || err != nil {
			return err
		}
	}
	return nil
}

// live reports whether a peer had its holder key when the store was last read.
func (s *Service) live(p Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.live[holderKey(p.Name, p.Incarnation)]
}

// usableSlots returns the slots in use, in order.
func (s *Service) usableSlots() []ratelimit.Slot {
	var out []ratelimit.Slot
	for slot, held := range s.slots.held {
		if held.usable {
			out = append(out, slot)
		}
	}
	slices.SortFunc(out, func(a, b ratelimit.Slot) int { return a.Index - b.Index })
	return out
}

// giveSlot passes one slot on. It reports false if loans depend on the slot.
func (s *Service) giveSlot(ctx context.Context, slot ratelimit.Slot, heir Peer) (bool, error) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	held := s.slots.held[slot]
	record := s.slots.known[slot]
	if held == nil || record.Owner.Incarnation != s.self.Incarnation || len(record.Predecessors) > 0 {
		s.mu.Unlock()
		return false, nil
	}
	handed, accounts, ok := s.ledger.HandOverSlot(now, slot)
	if !ok {
		s.mu.Unlock()
		return false, nil
	}
	next := Predecessor{Name: heir.Name, Incarnation: heir.Incarnation}
	delete(s.slots.held, slot)
	s.slots.gave[slot] = next
	s.mu.Unlock()
	err := s.putRecord(ctx, slot, Record{Owner: next}, record.revision)
	if errors.IsAny(err, platform.ErrUnavailable, platform.ErrConflict) {
		// The record does not name the heir. Another writer, if there is one, waits until this instance confirms the end of its use.
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ledger.TakeOver(s.opts.Clock.Now(), []ratelimit.HandedSlot{handed}, accounts)
		s.slots.held[slot] = held
		delete(s.slots.gave, slot)
		if errors.Is(err, platform.ErrConflict) {
			return true, nil // the next refresh reads what the other writer left
		}
		return true, errors.Wrapf(err, "give %s to %s", slotKey(slot), heir.Name)
	}
	if err != nil {
		return true, err // the next refresh finds out who owns the slot
	}
	s.callHandover(ctx, heir, handoverRequest([]ratelimit.HandedSlot{handed}, accounts))
	return true, nil
}

// leaveRecords writes to the store that this instance owns no slot any more: the offered slots belong to the target, if there
// is one, and the others are free.
func (s *Service) leaveRecords(ctx context.Context, offered []ratelimit.HandedSlot, target *Peer) error {
	records, err := s.readRecords(ctx)
	if err != nil {
		return errors.Wrap(err, "give up slots")
	}
	var errs []error
	for slot, r := range records {
		if r.Owner.Incarnation != s.self.Incarnation {
			continue
		}
		next := Record{Predecessors: r.Predecessors, Applied: r.Applied}
		if target != nil && slices.ContainsFunc(offered, func(x ratelimit.HandedSlot) bool { return x.Slot == slot }) {
			next.Owner = Predecessor{Name: target.Name, Incarnation: target.Incarnation}
			next.Applied = 0 // the target writes what it has applied
		}
		errs = append(errs, s.writeRecord(ctx, slot, next, r.revision))
	}
	s.mu.Lock()
	lease := s.slots.lease
	s.mu.Unlock()
	if lease != 0 {
		if err := s.opts.Store.Revoke(ctx, lease); !errors.Is(err, platform.ErrLeaseLost) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func handoverRequest(slots []ratelimit.HandedSlot, accounts []ratelimit.HandedAccount) *wire.HandoverRequest {
	req := &wire.HandoverRequest{}
	for _, slot := range slots {
		req.Slots = append(req.Slots, &wire.HandedSlot{
			Slot: slotToWire(slot.Slot), AgeNanos: int64(slot.Age), Revision: slot.Revision,
		})
	}
	for _, a := range accounts {
		handed := &wire.HandedAccount{Organisation: a.Organisation, Level: a.Level}
		for _, g := range a.Lent {
			handed.Given = append(handed.Given, &wire.HandedLoan{
				Id: g.ID, Receiver: g.Borrower, Share: shareToWire(g.Share), RemainingNanos: int64(g.Remaining),
			})
		}
		req.Accounts = append(req.Accounts, handed)
	}
	return req
}

// handleHandover takes over slots of another instance.
func (s *Service) handleHandover(_ context.Context, from peer.Identity, req *wire.HandoverRequest) (proto.Message, error) {
	defer s.notifyOwned()
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.GetIncarnation() != s.self.Incarnation || from.Region != s.self.Region || s.stopping {
		return &wire.HandoverResponse{}, nil
	}
	var slots []ratelimit.HandedSlot
	for _, handed := range req.GetSlots() {
		slot := slotFromWire(handed.GetSlot())
		if !s.mayTakeOver(slot, from) || handed.GetRevision() > s.conf.Revision() {
			return &wire.HandoverResponse{}, nil
		}
		slots = append(slots, ratelimit.HandedSlot{
			Slot: slot, Age: time.Duration(handed.GetAgeNanos()), Revision: handed.GetRevision(),
		})
	}
	for _, x := range slots {
		held := &heldSlot{usable: true, resolved: true}
		if req.GetStopping() {
			held.speaksFor = []uint64{from.Incarnation}
		}
		s.slots.held[x.Slot] = held
		s.slots.ownerOf[x.Slot] = Predecessor{s.self.Instance, s.self.Incarnation, s.slots.listed}
		delete(s.slots.gave, x.Slot)
	}
	now := s.opts.Clock.Now()
	s.ledger.TakeOver(now, slots, handedFromWire(req.GetAccounts()))
	if !s.ledger.Applied(now) {
		s.applied = 0 // loans that came with the slots exceed the shares of the view in force here
	}
	return &wire.HandoverResponse{Accepted: true}, nil
}

// mayTakeOver reports whether a slot may come from the sender: by what was last read it belongs to the sender or to this
// instance. A message that was read late, after the slot went to a third instance, is refused.
func (s *Service) mayTakeOver(slot ratelimit.Slot, from peer.Identity) bool {
	held := s.slots.held[slot]
	if slot.Region != s.self.Region || held != nil && held.usable {
		return false
	}
	owner, known := s.slots.ownerOf[slot]
	return !known || owner.Incarnation == from.Incarnation || owner.Incarnation == s.self.Incarnation
}

func handedFromWire(in []*wire.HandedAccount) []ratelimit.HandedAccount {
	var out []ratelimit.HandedAccount
	for _, a := range in {
		handed := ratelimit.HandedAccount{Organisation: a.GetOrganisation(), Level: a.GetLevel()}
		for _, g := range a.GetGiven() {
			handed.Lent = append(handed.Lent, ratelimit.HandedLoan{
				ID: g.GetId(), Borrower: g.GetReceiver(), Share: shareFromWire(g.GetShare()),
				Remaining: time.Duration(g.GetRemainingNanos()),
			})
		}
		out = append(out, handed)
	}
	return out
}
