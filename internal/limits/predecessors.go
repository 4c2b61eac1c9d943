package limits

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// unresolved returns the predecessors that may still use the slot.
func (s *Service) unresolved(ctx context.Context, slot ratelimit.Slot, predecessors []Predecessor) []Predecessor {
	var left []Predecessor
	for _, p := range predecessors {
		if p.Incarnation == s.self.Incarnation || s.removedForGood(ctx, p) || s.confirmedByPeer(ctx, slot, p) {
			continue
		}
		left = append(left, p)
	}
	return left
}

// removedForGood reports whether the platform has removed the incarnation from its list and says that removal is final.
func (s *Service) removedForGood(ctx context.Context, p Predecessor) bool {
	s.mu.Lock()
	final := s.conf.view.General().Platform.RemovalFinal
	s.mu.Unlock()
	if !final || s.opts.Instances == nil || p.ListedVersion == 0 {
		return false
	}
	rows, version, err := s.opts.Instances.Instances(ctx)
	if err != nil || version <= p.ListedVersion {
		return false
	}
	return !slices.ContainsFunc(rows, func(r platform.ListedInstance) bool {
		return r.Name == p.Name && r.Incarnation == p.Incarnation
	})
}

// confirmedByPeer asks the predecessor itself to drop the slot.
func (s *Service) confirmedByPeer(ctx context.Context, slot ratelimit.Slot, p Predecessor) bool {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CrossRegionTimeout)
	defer cancel()
	req := &wire.DropRequest{Slot: slotToWire(slot), Incarnation: p.Incarnation}
	resp := &wire.DropResponse{}
	err := s.opts.Network.Call(ctx, p.Name, serviceDrop, req, resp)
	return err == nil && resp.GetDropped()
}

// handleDrop gives up a slot that another instance has claimed. It confirms only for this incarnation.
func (s *Service) handleDrop(_ context.Context, from peer.Identity, req *wire.DropRequest) (proto.Message, error) {
	if req.GetIncarnation() != s.self.Incarnation || from.Region != s.self.Region {
		return &wire.DropResponse{}, nil
	}
	slot := slotFromWire(req.GetSlot())
	s.dropSlot(slot)
	s.mu.Lock()
	s.slots.ownerOf[slot] = Predecessor{Name: from.Instance, Incarnation: from.Incarnation}
	s.mu.Unlock()
	s.notifyOwned()
	return &wire.DropResponse{Dropped: true}, nil
}

// askHeld asks the instances of the region which slots they hold. revision is the highest configuration revision in force
// among them. complete is false if one did not answer.
func (s *Service) askHeld(ctx context.Context) (held map[ratelimit.Slot]Predecessor, revision int64, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CrossRegionTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	held, complete = map[ratelimit.Slot]Predecessor{}, true
	for _, p := range s.opts.Peers.Peers() {
		if p.Region != s.self.Region {
			continue
		}
		wg.Go(func() {
			resp := &wire.HeldResponse{}
			err := s.opts.Network.Call(ctx, p.Name, serviceHeld, &wire.HeldRequest{}, resp)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || resp.GetIncarnation() != p.Incarnation {
				complete = false
				return
			}
			revision = max(revision, resp.GetRevision())
			for _, slot := range resp.GetSlots() {
				held[slotFromWire(slot)] = Predecessor{Name: p.Name, Incarnation: p.Incarnation}
			}
		})
	}
	wg.Wait()
	return held, revision, complete
}

// vouch compares the records that this instance reads first with what the region's instances hold: it cannot know whether the
// store has come back with older data before. Until all have answered it uses no slot that it has claimed.
func (s *Service) vouch(ctx context.Context, records map[ratelimit.Slot]storedRecord) {
	s.mu.Lock()
	vouched := s.slots.vouched
	s.mu.Unlock()
	if vouched {
		return
	}
	held, revision, complete := s.askHeld(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for slot, p := range held {
		if records[slot].Owner.Incarnation != p.Incarnation {
			s.slots.suspect(slot, p)
		}
	}
	s.slots.vouched = complete
	s.slots.vouchedRevision = max(s.slots.vouchedRevision, revision)
}

// handleHeld lists the slots that this instance owns.
func (s *Service) handleHeld(context.Context, peer.Identity, *wire.HeldRequest) (proto.Message, error) {
	resp := &wire.HeldResponse{Incarnation: s.self.Incarnation, Revision: s.opts.Config.View().Revision()}
	for slot := range s.heldSlots() {
		resp.Slots = append(resp.Slots, slotToWire(slot))
	}
	return resp, nil
}
