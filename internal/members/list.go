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
	// pollTimeout is the timeout of one read of the list.
	pollTimeout = 5 * time.Second
	// pollJitter is the largest random delay of a poll, as a fraction of the poll interval. It keeps the regions from
	// polling at the same moment.
	pollJitter = 0.1
	// rowBytes is the estimated size of a row of the list in JSON.
	rowBytes = 240
	// pollBytesPerSecond is the average number of bytes per second that polls may cost each instance: a fifth of the
	// limit for all control traffic.
	pollBytesPerSecond = 4000
	// maxListAgeIntervals is the age of the list, in poll intervals, beyond which an instance polls although it is
	// another instance's turn.
	maxListAgeIntervals = 3
	// maxPollBackoff is the longest wait after failed polls.
	maxPollBackoff = 30 * time.Second
	// announceTimeout is the timeout of one announcement.
	announceTimeout = 5 * time.Second
	// announceRetryInterval is the wait before this instance announces its row again if the list does not show it.
	announceRetryInterval = 30 * time.Second
	// announceCheckInterval is how often this instance compares its row with the list.
	announceCheckInterval = time.Second
)

// RegionPollInterval returns the time between two polls by a region with the given number of instances: base, or longer
// if reading a list of that many rows every base interval would cost each instance more than pollBytesPerSecond.
func RegionPollInterval(base time.Duration, rows, instances int) time.Duration {
	cost := float64(rows) * rowBytes / (pollBytesPerSecond * float64(max(1, instances)))
	return max(base, time.Duration(cost*float64(time.Second)))
}

// listAgeMillis returns the age of the current list in milliseconds, at least 1, or 0 if it is unknown. The caller holds
// mu.
func (s *Service) listAgeMillis(now clock.Instant) uint32 {
	if !s.polled {
		return 0
	}
	age := max(1, now.Sub(s.polledAt).Milliseconds())
	return uint32(min(age, math.MaxUint32))
}

// recordListConfirmed records that a poll at the given time returned the current list. The caller holds mu.
func (s *Service) recordListConfirmed(at clock.Instant) {
	if !s.polled || s.polledAt.Before(at) {
		s.polledAt, s.polled = at, true
	}
}

// pollLoop polls when it is this instance's turn. Time is divided into intervals, and rendezvous hashing of the
// interval's number selects the instance of the region that polls in it. If the clocks or views of instances differ, an
// interval may have two polls or none.
func (s *Service) pollLoop() {
	failures := newBackoff(s.options.MinPollInterval/4, maxPollBackoff)
	wait := time.Duration(0)
	for {
		if clock.Sleep(s.ctx, wait) != nil {
			return
		}
		interval := s.pollInterval()
		now := time.Now()
		turn := now.UnixNano() / int64(interval)
		wait = time.Unix(0, (turn+1)*int64(interval)).Sub(now) + time.Duration(rand.Float64()*pollJitter*float64(interval))
		if !s.shouldPollNow(turn, interval) {
			continue
		}
		if err := s.poll(); err != nil {
			if s.ctx.Err() != nil {
				return
			}
			s.metrics.pollErrors.Inc(1)
			s.log.Warn("instance list could not be read; trying again after a backoff if no other instance polls", zap.Error(err))
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
	return RegionPollInterval(s.options.MinPollInterval, int(s.listRowCount.Load()), instances)
}

func newBackoff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = longest
	b.Reset()
	return b
}

// shouldPollNow reports whether it is this instance's turn, or the list is so old that the polls of others seem to fail.
func (s *Service) shouldPollNow(turn int64, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.polled || s.clock.Now().Sub(s.polledAt) > maxListAgeIntervals*interval {
		return true
	}
	return s.core.AmongFirst(fmt.Sprintf("list/%s/%d", s.self.Region, turn), 1, false)
}

// poll reads the list and pushes a newer version to the other instances of the region.
func (s *Service) poll() error {
	s.metrics.polls.Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
	defer cancel()
	started := s.clock.Now()
	rows, version, err := s.options.List.Instances(ctx)
	if err != nil {
		return err
	}
	s.listRowCount.Store(int64(len(rows)))
	var push *wire.ListUpdate
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		base, before := core.Version(), core.List()
		if core.ApplyList(now, version, rows) {
			s.setLeavingEndpoints(leavingEndpointsOf(rows))
			if base > 0 {
				push = EncodeListChange(base, before, version, core.List())
				push.LeavingEndpoints = s.leavingEndpointNames()
				push.TotalRows = int64(len(rows))
			}
		}
		if version >= base {
			s.recordListConfirmed(started)
		}
		return nil
	})
	if push != nil {
		push.AgeMillis = uint32(s.clock.Now().Sub(started).Milliseconds())
		local, relays := s.pushRecipients()
		s.pushAll(local, &wire.MembersPush{List: push})
		s.pushAll(relays, &wire.MembersPush{List: push, Relay: true})
	}
	return nil
}

// pushRecipients returns the instances to which a list is pushed: all of this data centre (local), and one of each other
// data centre of the region (relays), which pushes it on within its data centre.
func (s *Service) pushRecipients() (local, relays []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Recipients(s.self.Region)
}

// handlePush applies a list update and merges reports. It forwards the update within the data centre if the sender asks
// for that. If the update does not apply to the current version, the instances synchronise their views instead.
func (s *Service) handlePush(_ context.Context, from peer.Identity, req *wire.MembersPush) (proto.Message, error) {
	var missed, newer bool
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		before := core.Version()
		missed = !s.applyUpdate(now, core, req.GetList())
		newer = core.Version() > before
		return core.MergeReports(now, decodeReports(req.GetReports()), req.GetRelay())
	})
	if missed {
		s.startSync(from.Instance)
	}
	if newer && req.GetRelay() {
		s.spawn(func() {
			local, _ := s.pushRecipients()
			s.pushAll(local, &wire.MembersPush{List: req.GetList()})
		})
	}
	return &wire.MembersPushed{ListVersion: s.Snapshot().Version}, nil
}

// applyUpdate merges a list update and reports whether the view is now at least at its version. The caller holds mu.
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
		core.ApplyList(now, update.GetVersion(), applyListChange(before, update))
		s.setLeavingEndpoints(update.GetLeavingEndpoints())
		s.listRowCount.Store(update.GetTotalRows())
	}
	s.recordListConfirmed(now.Add(-time.Duration(update.GetAgeMillis()) * time.Millisecond))
	return true
}

// startSync synchronises views with a peer unless a synchronisation is in progress.
func (s *Service) startSync(name string) {
	s.mu.Lock()
	busy := s.syncing
	s.syncing = true
	s.mu.Unlock()
	if !busy {
		s.spawn(func() { s.sync(name) })
	}
}

// sync exchanges reports with a peer and applies its list if that is newer. The caller has set syncing.
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
		s.nextSync = now.Add(minSyncInterval)
		if err != nil {
			return nil
		}
		s.applyUpdate(now, core, resp.GetList())
		return core.MergeReports(now, decodeReports(resp.GetReports()), true)
	})
	if err != nil {
		s.log.Debug("synchronisation of views failed", zap.String("peer", name), zap.Error(err))
	}
}

func (s *Service) handleSync(_ context.Context, _ peer.Identity, req *wire.MembersSync) (proto.Message, error) {
	resp := &wire.MembersState{}
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		if core.Version() > req.GetListVersion() {
			resp.List = EncodeList(core.Version(), core.List())
			resp.List.AgeMillis = s.listAgeMillis(now)
			resp.List.LeavingEndpoints = s.leavingEndpointNames()
			resp.List.TotalRows = s.listRowCount.Load()
		}
		resp.Reports = EncodeReports(core.Reports())
		return core.MergeReports(now, decodeReports(req.GetReports()), true)
	})
	return resp, nil
}

// Leave marks the instance as leaving, in heartbeats and in the list. It retries the announcement until the platform
// accepts it or ctx ends.
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
	row.State = instanceState(s.leaving)
	s.mu.Unlock()
	return s.options.List.Announce(ctx, row)
}

// announceLoop announces this instance's row until the list shows it, and again if the row disappears.
func (s *Service) announceLoop() {
	failures := newBackoff(announceCheckInterval/4, announceRetryInterval)
	for {
		wait := announceCheckInterval
		if !s.ownRowListed() {
			wait = announceRetryInterval
			if err := s.announce(s.ctx); err != nil {
				s.log.Warn("announcement of this instance failed; retrying after a backoff", zap.Error(err))
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
