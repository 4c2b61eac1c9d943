package members

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// pollTimeout bounds a read of the list.
	pollTimeout = 5 * time.Second
	// pollSpread is the part of the interval by which polls come late, so that regions do not poll in step.
	pollSpread = 0.1
	// rowBytes is the size of a row of the list in JSON.
	rowBytes = 240
	// pollBudget is what polls may cost each instance in bytes per second on average: a fifth of the limit of all
	// control traffic.
	pollBudget = 4000
	// staleIntervals is the age of the list, in poll intervals, from which an instance polls although others should.
	staleIntervals = 3
	// longestPollBackoff bounds the wait after failed polls.
	longestPollBackoff = 30 * time.Second
	// announceTimeout bounds an announcement.
	announceTimeout = 5 * time.Second
	// announceRepeat is the wait before the own row is announced again if the list does not show it.
	announceRepeat = 30 * time.Second
	// announceCheck is how often the own row is compared with the list.
	announceCheck = time.Second
)

// RegionPollInterval returns the time between two polls of a region with the given number of instances. It grows where
// a list with that many rows would cost them more than pollBudget.
func RegionPollInterval(base time.Duration, rows, instances int) time.Duration {
	cost := float64(rows) * rowBytes / (pollBudget * float64(max(1, instances)))
	return max(base, time.Duration(cost*float64(time.Second)))
}

// listAgeMillis returns the age of the list in force, at least 1, or 0 if it is unknown. It is called under mu.
func (s *Service) listAgeMillis(now clock.Instant) uint32 {
	if !s.polled {
		return 0
	}
	age := max(1, now.Sub(s.polledAt).Milliseconds())
	return uint32(min(age, math.MaxUint32))
}

// confirmList notes that the list in force was polled at an instant. It is called under mu.
func (s *Service) confirmList(at clock.Instant) {
	if !s.polled || s.polledAt.Before(at) {
		s.polledAt, s.polled = at, true
	}
}

// pollLoop polls when it is this instance's turn. Time is divided into intervals, and rendezvous hashing of the
// interval's number gives the instance of the region that polls in it. Clocks that differ, or views, cost a poll too
// many or too few.
func (s *Service) pollLoop() {
	failures := newBackoff(s.options.MinPollInterval/4, longestPollBackoff)
	wait := time.Duration(0)
	for {
		if clock.Sleep(s.ctx, wait) != nil {
			return
		}
		interval := s.pollInterval()
		now := time.Now()
		turn := now.UnixNano() / int64(interval)
		wait = time.Unix(0, (turn+1)*int64(interval)).Sub(now) + time.Duration(rand.Float64()*pollSpread*float64(interval))
		if !s.shouldPoll(turn, interval) {
			continue
		}
		if err := s.poll(); err != nil {
			if s.ctx.Err() != nil {
				return
			}
			s.metrics.pollErrors.Inc(1)
			s.log.Warn("instance list could not be read", zap.Error(err))
			wait = failures.NextBackOff()
		} else {
			failures.Reset()
		}
	}
}

func (s *Service) pollInterval() time.Duration {
	instances := 0
	for _, m := range s.Snapshot().InRegion(s.self.Region) {
		if m.Status == membership.Live {
			instances++
		}
	}
	return RegionPollInterval(s.options.MinPollInterval, int(s.listRows.Load()), instances)
}

func newBackoff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = longest
	b.Reset()
	return b
}

// shouldPoll reports whether it is this instance's turn, or the list is so old that the others seem to fail.
func (s *Service) shouldPoll(turn int64, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.polled || s.clock.Now().Sub(s.polledAt) > staleIntervals*interval {
		return true
	}
	return s.core.First(fmt.Sprintf("list/%s/%d", s.self.Region, turn), 1, false)
}

// poll reads the list and pushes a newer version to the region.
func (s *Service) poll() error {
	s.metrics.polls.Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
	defer cancel()
	started := s.clock.Now()
	rows, version, err := s.options.List.Instances(ctx)
	if err != nil {
		return err
	}
	s.listRows.Store(int64(len(rows)))
	var push *wire.ListUpdate
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		base, before := core.Version(), core.List()
		if core.ApplyList(now, version, rows) {
			s.setLeavingEndpoints(leavingEndpoints(rows))
			if base > 0 {
				push = EncodeListChange(base, before, version, core.List())
				push.LeavingEndpoints = s.endpointNames()
				push.TotalRows = int64(len(rows))
			}
		}
		if version >= base {
			s.confirmList(started)
		}
		return nil
	})
	if push != nil {
		push.AgeMillis = uint32(s.clock.Now().Sub(started).Milliseconds())
		local, relays := s.regionPeers()
		s.pushAll(local, &wire.MembersPush{List: push})
		s.pushAll(relays, &wire.MembersPush{List: push, Relay: true})
	}
	return nil
}

// regionPeers returns the instances that a list goes to: those of the own data centre, and one of each other one of the
// region.
func (s *Service) regionPeers() (local, relays []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Recipients(s.self.Region)
}

// handlePush takes a step of the list and reports, and passes a step on if the sender asks for it. A step that does not
// apply to the version in force is made up for by an exchange with the sender.
func (s *Service) handlePush(_ context.Context, from peer.Identity, req *wire.MembersPush) (proto.Message, error) {
	var missed, newer bool
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		before := core.Version()
		missed = !s.applyUpdate(now, core, req.GetList())
		newer = core.Version() > before
		return core.Merge(now, decodeReports(req.GetReports()), req.GetRelay())
	})
	if missed {
		s.startSync(from.Instance)
	}
	if newer && req.GetRelay() {
		s.spawn(func() {
			local, _ := s.regionPeers()
			s.pushAll(local, &wire.MembersPush{List: req.GetList()})
		})
	}
	return &wire.MembersPushed{ListVersion: s.Snapshot().Version}, nil
}

// applyUpdate merges a list update and reports whether the view is now at least at its version. It is called under mu.
func (s *Service) applyUpdate(now clock.Instant, core *membership.Core, update *wire.ListUpdate) bool {
	if update == nil || update.GetVersion() < core.Version() {
		return true
	}
	if update.GetVersion() > core.Version() {
		if base := update.GetBase(); base != 0 && base != core.Version() {
			return false
		}
		var before []membership.Row
		if update.GetBase() != 0 {
			before = core.List()
		}
		core.ApplyList(now, update.GetVersion(), applyChange(before, update))
		s.setLeavingEndpoints(update.GetLeavingEndpoints())
		s.listRows.Store(update.GetTotalRows())
	}
	s.confirmList(now.Add(-time.Duration(update.GetAgeMillis()) * time.Millisecond))
	return true
}

// startSync exchanges views with a peer unless an exchange is under way.
func (s *Service) startSync(name string) {
	s.mu.Lock()
	busy := s.syncing
	s.syncing = true
	s.mu.Unlock()
	if !busy {
		s.spawn(func() { s.sync(name) })
	}
}

// sync exchanges reports with a peer and takes its list if that is newer. The caller has set syncing.
func (s *Service) sync(name string) {
	s.metrics.syncs.Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, pushTimeout)
	defer cancel()
	s.mu.Lock()
	req := &wire.MembersSync{ListVersion: s.core.Version(), Reports: EncodeReports(s.core.Reports())}
	s.mu.Unlock()
	resp := &wire.MembersState{}
	err := s.network.Call(ctx, name, serviceSync, req, resp)
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		s.syncing = false
		s.nextSync = now.Add(syncGap)
		if err != nil {
			return nil
		}
		s.applyUpdate(now, core, resp.GetList())
		return core.Merge(now, decodeReports(resp.GetReports()), true)
	})
	if err != nil {
		s.log.Debug("exchange failed", zap.String("peer", name), zap.Error(err))
	}
}

func (s *Service) handleSync(_ context.Context, _ peer.Identity, req *wire.MembersSync) (proto.Message, error) {
	resp := &wire.MembersState{}
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		if core.Version() > req.GetListVersion() {
			resp.List = EncodeList(core.Version(), core.List())
			resp.List.AgeMillis = s.listAgeMillis(now)
			resp.List.LeavingEndpoints = s.endpointNames()
			resp.List.TotalRows = s.listRows.Load()
		}
		resp.Reports = EncodeReports(core.Reports())
		return core.Merge(now, decodeReports(req.GetReports()), true)
	})
	return resp, nil
}

// Leave marks the instance as leaving, in heartbeats and in the list. The announcement is repeated until the platform
// has taken it or ctx ends.
func (s *Service) Leave(ctx context.Context) error {
	s.update(func(_ clock.Instant, core *membership.Core) []membership.Action {
		s.leaving = true
		core.SetLeaving()
		return nil
	})
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, s.announce(ctx)
	}, backoff.WithMaxElapsedTime(0))
	return err
}

func (s *Service) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	s.mu.Lock()
	row := s.self
	row.State = stateOf(s.leaving)
	s.mu.Unlock()
	return s.options.List.Announce(ctx, row)
}

// announceLoop announces the own row until the list shows it, and again if it is lost.
func (s *Service) announceLoop() {
	failures := newBackoff(announceCheck/4, announceRepeat)
	for {
		wait := announceCheck
		if !s.ownRowListed() {
			wait = announceRepeat
			if err := s.announce(s.ctx); err != nil {
				s.log.Warn("announcement failed", zap.Error(err))
				wait = failures.NextBackOff()
			} else {
				failures.Reset()
			}
		}
		if clock.Sleep(s.ctx, wait) != nil {
			return
		}
	}
}

func (s *Service) ownRowListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, listed := s.core.ListedSelf()
	return listed && (row.State == platform.StateLeaving) == s.leaving &&
		row.PeerAddr == s.self.PeerAddr && row.CallerAddr == s.self.CallerAddr
}
