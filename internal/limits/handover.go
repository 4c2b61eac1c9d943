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
	for _, p := range s.opts.Peers.Peers() {
		if p.Region != s.self.Region || p.Leaving {
			continue
		}
		req.Incarnation = p.Incarnation
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp := &wire.HandoverResponse{}
		err := s.opts.Network.Call(callCtx, p.Name, serviceHandover, req, resp)
		cancel()
		if err == nil && resp.GetAccepted() {
			return &p, true
		}
		if err != nil && !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrUnknownPeer) {
			return &p, false
		}
	}
	return nil, false
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
		next := Record{Predecessors: r.Predecessors}
		if target != nil && slices.ContainsFunc(offered, func(x ratelimit.HandedSlot) bool { return x.Slot == slot }) {
			next.Owner = Predecessor{Name: target.Name, Incarnation: target.Incarnation}
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
		for _, g := range a.Given {
			handed.Given = append(handed.Given, &wire.HandedLoan{
				Id: g.ID, Receiver: g.Receiver, Share: shareToWire(g.Share), RemainingNanos: int64(g.Remaining),
			})
		}
		req.Accounts = append(req.Accounts, handed)
	}
	return req
}

// handleHandover takes over the slots of a stopping instance.
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
		held := s.slots.held[slot]
		if slot.Region != s.self.Region || held != nil && held.usable || handed.GetRevision() > s.conf.Revision() {
			return &wire.HandoverResponse{}, nil
		}
		slots = append(slots, ratelimit.HandedSlot{
			Slot: slot, Age: time.Duration(handed.GetAgeNanos()), Revision: handed.GetRevision(),
		})
	}
	for _, x := range slots {
		slot := x.Slot
		s.slots.held[slot] = &heldSlot{usable: true, resolved: true, speaksFor: []uint64{from.Incarnation}}
		s.slots.ownerOf[slot] = Predecessor{s.self.Instance, s.self.Incarnation, s.slots.listed}
		s.slots.spoken[slot] = slices.DeleteFunc(s.slots.spoken[slot], func(i uint64) bool { return i == from.Incarnation })
	}
	s.ledger.TakeOver(s.opts.Clock.Now(), slots, handedFromWire(req.GetAccounts()))
	return &wire.HandoverResponse{Accepted: true}, nil
}

func handedFromWire(in []*wire.HandedAccount) []ratelimit.HandedAccount {
	var out []ratelimit.HandedAccount
	for _, a := range in {
		handed := ratelimit.HandedAccount{Organisation: a.GetOrganisation(), Level: a.GetLevel()}
		for _, g := range a.GetGiven() {
			handed.Given = append(handed.Given, ratelimit.HandedLoan{
				ID: g.GetId(), Receiver: g.GetReceiver(), Share: shareFromWire(g.GetShare()),
				Remaining: time.Duration(g.GetRemainingNanos()),
			})
		}
		out = append(out, handed)
	}
	return out
}
