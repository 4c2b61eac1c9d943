package configsync

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// relaysPerDataCentre is how many instances of another data centre are sent a withdrawal directly. They pass it on to
// their neighbours; two, so that one failed instance does not delay it until the next exchange.
const relaysPerDataCentre = 2

// Withdraw stops key ids at this instance at once and relays them to all others. It writes nothing to the store, which the
// caller does. It returns when every peer has answered or failed; a peer that failed hears of them by the exchange of
// states.
func (s *Syncer) Withdraw(ctx context.Context, ids []string) {
	fresh := s.hold.withdraw(ids)
	if len(fresh) == 0 || s.opts.Network == nil {
		return
	}
	s.opts.Log.Info("keys withdrawn", zap.Strings("key_ids", fresh))
	s.relayWithdrawals(ctx, s.withdrawalTargets(), fresh)
}

// withdrawalTargets returns all neighbours and a few instances of each other data centre.
func (s *Syncer) withdrawalTargets() []string {
	targets := s.neighbours()
	self := s.opts.Network.Self()
	others := make(map[string][]string)
	for _, p := range s.peers() {
		if p.DataCentre != self.DataCentre {
			others[p.DataCentre] = append(others[p.DataCentre], p.Instance)
		}
	}
	for dc, names := range others {
		targets = append(targets, rendezvous.Top(dc, names, relaysPerDataCentre)...)
	}
	return targets
}

func (s *Syncer) relayWithdrawals(ctx context.Context, names, ids []string) {
	each(names, func(name string) {
		for chunk := range slices.Chunk(ids, withdrawalsPerMessage) {
			req := &wire.ConfigWithdrawals{KeyIds: chunk}
			if err := s.call(ctx, name, serviceWithdraw, req, new(wire.ConfigWithdrawals)); err != nil {
				s.opts.Log.Debug("relay of withdrawn keys failed", zap.String("peer", name), zap.Error(err))
				return
			}
		}
	})
}

// exchangeWithdrawals compares the whole set with a peer's, range by range, so that both hold the union. A difference is rare:
// it follows a lost message or a partition. A peer that holds much more in one range sends a part; the next exchange goes on.
func (s *Syncer) exchangeWithdrawals(ctx context.Context, name string) error {
	ids := s.Snapshot().Withdrawn()
	after := ""
	for {
		chunk := ids[:min(len(ids), withdrawalsPerMessage)]
		ids = ids[len(chunk):]
		req := &wire.ConfigWithdrawals{KeyIds: chunk, Compare: true, After: after}
		if len(ids) > 0 {
			after = chunk[len(chunk)-1]
			req.Until = after
		}
		resp := new(wire.ConfigWithdrawals)
		if err := s.call(ctx, name, serviceWithdraw, req, resp); err != nil {
			return err
		}
		s.learn(resp.KeyIds, peer.Identity{Instance: name})
		if len(ids) == 0 {
			return nil
		}
	}
}

// learn adds ids that came from a peer. Ids from another data centre are passed on to the neighbours.
func (s *Syncer) learn(ids []string, from peer.Identity) {
	fresh := s.hold.withdraw(ids)
	if len(fresh) == 0 || from.DataCentre == s.opts.Network.Self().DataCentre {
		return
	}
	names := slices.DeleteFunc(s.neighbours(), func(n string) bool { return n == from.Instance })
	s.background(func(ctx context.Context) { s.relayWithdrawals(ctx, names, fresh) })
}

func (s *Syncer) serveWithdraw(_ context.Context, from peer.Identity, req *wire.ConfigWithdrawals) (protoMessage, error) {
	s.learn(req.KeyIds, from)
	resp := new(wire.ConfigWithdrawals)
	if req.Compare {
		more := without(inRange(s.Snapshot().Withdrawn(), req.After, req.Until), req.KeyIds)
		resp.KeyIds = more[:min(len(more), withdrawalsPerMessage)]
	}
	return resp, nil
}

// inRange returns the sorted ids above after and up to until, where an empty until is no bound.
func inRange(ids []string, after, until string) []string {
	from, _ := slices.BinarySearch(ids, after)
	for from < len(ids) && ids[from] <= after {
		from++
	}
	to := len(ids)
	if until != "" {
		at, found := slices.BinarySearch(ids, until)
		to = at
		if found {
			to++
		}
	}
	return ids[from:max(from, to)]
}

// without returns the ids that are not in known.
func without(ids, known []string) []string {
	set := make(map[string]struct{}, len(known))
	for _, id := range known {
		set[id] = struct{}{}
	}
	return slices.DeleteFunc(ids, func(id string) bool {
		_, ok := set[id]
		return ok
	})
}
