package members

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Names of the peer services of the package.
const (
	serviceProbe         = "members.probe"
	serviceIndirectProbe = "members.ask"
	servicePush          = "members.push"
	serviceSync          = "members.sync"
)

const (
	// indirectProbeMargin is the time that a helper's answer may take in addition to its own probe.
	indirectProbeMargin = 200 * time.Millisecond
	// pushTimeout is the timeout of a push to one instance, and of a synchronisation.
	pushTimeout = 2 * time.Second
	// maxParallelPushes is the largest number of pushes of one publication in progress at the same time.
	maxParallelPushes = 16
	// mismatchesBeforeSync is the number of consecutive heartbeats with a different digest after which views are
	// synchronised: one may be due to a report that is still in transit.
	mismatchesBeforeSync = 2
	// minSyncInterval is the shortest time between two synchronisations that this instance starts.
	minSyncInterval = time.Second
)

// heartbeat returns this instance's heartbeat.
func (s *Service) heartbeat() *wire.Heartbeat {
	payload := s.options.Payload()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	home, own := s.core.Digests()
	hb := &wire.Heartbeat{
		Incarnation:   s.self.Incarnation,
		Leaving:       s.leaving,
		ListVersion:   s.core.Version(),
		ListAgeMillis: s.listAgeMillis(now),
		HomeDigest:    home,
		RegionDigest:  own,
		Load:          payload.Load,
	}
	if self, _ := s.Snapshot().Member(s.self.Name); !self.Listed {
		hb.Row = EncodeRow(s.self)
	}
	return hb
}

// receiveHeartbeat passes on the payload of another instance's heartbeat, and synchronises views if they differ. roundTrip
// is 0 if the other instance sent the probe.
func (s *Service) receiveHeartbeat(from peer.Identity, hb *wire.Heartbeat, roundTrip time.Duration) {
	s.options.OnPayload(from, Payload{Load: hb.GetLoad(), RoundTrip: roundTrip})
	if s.shouldSync(from, hb) {
		s.spawn(func() { s.sync(from.Instance) })
	}
}

// shouldSync reports whether to synchronise views with the sender of a heartbeat because its list is newer or its digests
// differ repeatedly. If it returns true, it has set syncing.
func (s *Service) shouldSync(from peer.Identity, hb *wire.Heartbeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	version := s.core.Version()
	if hb.GetListVersion() == version && hb.GetListAgeMillis() > 0 {
		s.recordListConfirmed(now.Add(-time.Duration(hb.GetListAgeMillis()) * time.Millisecond))
	}
	home, own := s.core.Digests()
	differs := home != hb.GetHomeDigest() || (from.Region == s.self.Region && own != hb.GetRegionDigest())
	if differs && hb.GetListVersion() == version {
		s.mismatches[from.Instance]++
	} else {
		delete(s.mismatches, from.Instance)
	}
	newer := hb.GetListVersion() > version
	if s.syncing || now.Before(s.nextSync) || !(newer || s.mismatches[from.Instance] >= mismatchesBeforeSync) {
		return false
	}
	delete(s.mismatches, from.Instance)
	s.syncing = true
	return true
}

func (s *Service) handleProbe(_ context.Context, from peer.Identity, hb *wire.Heartbeat) (proto.Message, error) {
	row := membership.Row{Region: from.Region, DataCentre: from.DataCentre}
	if hb.GetRow() != nil {
		row = DecodeRow(hb.GetRow())
	}
	// The identity authenticated by the session takes precedence over the message.
	row.Name, row.Region, row.DataCentre, row.Incarnation = from.Instance, from.Region, from.DataCentre, from.Incarnation
	row.State = instanceState(hb.GetLeaving())
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		core.RecordContact(now, row)
		return nil
	})
	s.receiveHeartbeat(from, hb, 0)
	return s.heartbeat(), nil
}

// probe sends a heartbeat to the target and passes the outcome to the core. It reports whether the target answered with
// the expected incarnation.
func (s *Service) probe(p membership.Probe) (reached bool) {
	s.metrics.probes.Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Params.ProbeTimeout)
	defer cancel()
	hb := &wire.Heartbeat{}
	sent := s.clock.Now()
	err := s.network.Call(ctx, p.Target.Instance, serviceProbe, s.heartbeat(), hb)
	if s.ctx.Err() != nil {
		return false
	}
	var answer *membership.Answer
	if err != nil {
		s.metrics.probeErrors.Inc(1)
		s.log.Debug("probe of instance failed", zap.String("target", p.Target.Instance), zap.Error(err))
	} else {
		answer = &membership.Answer{Incarnation: hb.GetIncarnation(), Leaving: hb.GetLeaving()}
	}
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		return core.ProbeResult(now, p, answer)
	})
	if answer == nil {
		return false
	}
	s.receiveHeartbeat(s.identityOf(p.Target.Instance, hb.GetIncarnation()), hb, s.clock.Now().Sub(sent))
	return answer.Incarnation == p.Target.Incarnation
}

func (s *Service) identityOf(name string, incarnation uint64) peer.Identity {
	m, _ := s.Snapshot().Member(name)
	return peer.Identity{Instance: name, Region: m.Region, DataCentre: m.DataCentre, Incarnation: incarnation}
}

// probeIndirectly asks another instance to probe the target and passes its verdict to the core.
func (s *Service) probeIndirectly(target membership.Ref, name string) {
	s.metrics.indirectProbes.Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Params.ProbeTimeout+indirectProbeMargin)
	defer cancel()
	resp := &wire.MembersVerdict{}
	verdict := membership.Unknown
	if err := s.network.Call(ctx, name, serviceIndirectProbe, &wire.MembersAsk{Target: encodeRef(target)}, resp); err == nil {
		verdict = decodeVerdict(resp.GetVerdict())
	}
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		return core.IndirectProbeResult(now, target, name, verdict)
	})
}

func decodeVerdict(v wire.MembersVerdict_Verdict) membership.Verdict {
	switch v {
	case wire.MembersVerdict_VERDICT_REACHED:
		return membership.Reached
	case wire.MembersVerdict_VERDICT_UNREACHED:
		return membership.Unreached
	default:
		return membership.Unknown
	}
}

func (s *Service) handleIndirectProbe(_ context.Context, _ peer.Identity, req *wire.MembersAsk) (proto.Message, error) {
	target := decodeRef(req.GetTarget())
	known := false
	now := s.clock.Now()
	s.update(func(_ clock.Instant, core *membership.Core) []membership.Action {
		known = core.Knows(target)
		return nil
	})
	verdict := wire.MembersVerdict_VERDICT_UNSPECIFIED
	switch {
	case !known:
	case s.probe(membership.Probe{Target: target, SentAt: now}):
		verdict = wire.MembersVerdict_VERDICT_REACHED
	default:
		verdict = wire.MembersVerdict_VERDICT_UNREACHED
	}
	return &wire.MembersVerdict{Verdict: verdict}, nil
}

// publish pushes reports to their recipients.
func (s *Service) publish(p membership.Publish) {
	reports := EncodeReports(p.Reports)
	s.pushAll(p.Local, &wire.MembersPush{Reports: reports})
	s.pushAll(p.Relays, &wire.MembersPush{Reports: reports, Relay: true})
}

// pushAll pushes a message to each of the instances. A failed push is not retried: the comparison of digests in
// heartbeats finds the difference later.
func (s *Service) pushAll(names []string, message *wire.MembersPush) {
	var group errgroup.Group
	group.SetLimit(maxParallelPushes)
	for _, name := range names {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(s.ctx, pushTimeout)
			defer cancel()
			s.metrics.pushes.Inc(1)
			if err := s.network.Call(ctx, name, servicePush, message, &wire.MembersPushed{}); err != nil {
				s.metrics.pushErrors.Inc(1)
				s.log.Debug("push to instance failed; heartbeats will reveal the difference", zap.String("target", name), zap.Error(err))
			}
			return nil
		})
	}
	// The functions of the group never return an error.
	_ = group.Wait()
}
