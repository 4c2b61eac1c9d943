package members

import (
	"context"
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
	// pollJitter is the part of the interval by which polls vary.
	pollJitter = 0.2
	// staleIntervals is the age of the list, in poll intervals, from which an instance polls although it is no poller.
	staleIntervals = 3
	// scaleBase is the number of instances up to which the poll interval does not grow.
	scaleBase = 4
	// announceTimeout bounds an announcement.
	announceTimeout = 5 * time.Second
	// announceRepeat is the wait before the own row is announced again if the list does not show it.
	announceRepeat = 30 * time.Second
	// announceCheck is how often the own row is compared with the list.
	announceCheck = time.Second
)

// PollInterval returns the time between two polls of one poller in a fleet of n instances.
func PollInterval(base time.Duration, n int) time.Duration {
	return time.Duration(float64(base) * math.Sqrt(math.Max(1, float64(n)/scaleBase)))
}

// PollerCount returns the number of pollers in a data centre with n instances: 1 up to 4, 3 at 26.
func PollerCount(n int) int {
	return max(1, int(math.Ceil(math.Sqrt(float64(n))/2)))
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

func (s *Service) pollLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failures := newBackoff(s.options.PollBase/4, 4*s.options.PollBase)
	for {
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			return
		}
		interval := PollInterval(s.options.PollBase, s.Snapshot().EntryCount)
		wait := jittered(interval, pollJitter)
		if s.shouldPoll(interval) {
			if err := s.poll(); err != nil {
				s.metrics.pollErrors.Inc(1)
				s.log.Warn("instance list could not be read", zap.Error(err))
				wait = max(wait/2, failures.NextBackOff())
			} else {
				failures.Reset()
			}
		}
		timer.Reset(wait)
	}
}

func newBackoff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = longest
	b.Reset()
	return b
}

func jittered(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * (1 + part*(2*rand.Float64()-1)))
}

// shouldPoll reports whether this instance is a poller of its data centre, or has to poll because the list is old.
func (s *Service) shouldPoll(interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.polled || s.clock.Now().Sub(s.polledAt) > staleIntervals*interval {
		return true
	}
	peers := 0
	for _, m := range s.Snapshot().InRegion(s.self.Region) {
		if m.DataCentre == s.self.DataCentre && m.Status == membership.Live {
			peers++
		}
	}
	return s.core.First("list/"+s.self.DataCentre, PollerCount(peers), true)
}

// poll reads the list and pushes a newer version to the own data centre.
func (s *Service) poll() error {
	s.metrics.polls.Inc(1)
	ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
	defer cancel()
	started := s.clock.Now()
	rows, version, err := s.options.List.Instances(ctx)
	if err != nil {
		return err
	}
	var push *wire.ListUpdate
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		base, before := core.Version(), core.List()
		if core.ApplyList(now, version, rows) && base > 0 {
			push = EncodeListChange(base, before, version, core.List())
		}
		if version >= base {
			s.confirmList(started)
		}
		return nil
	})
	if push != nil {
		push.AgeMillis = uint32(s.clock.Now().Sub(started).Milliseconds())
		s.pushAll(s.dataCentrePeers(), &wire.MembersPush{List: push})
	}
	return nil
}

func (s *Service) dataCentrePeers() []string {
	var names []string
	for _, m := range s.Snapshot().InRegion(s.self.Region) {
		if m.DataCentre == s.self.DataCentre && !m.Self && m.Status != membership.Suspect {
			names = append(names, m.Name)
		}
	}
	return names
}

// handlePush takes a step of the list and reports. A step that does not apply to the version in force is made up for by
// an exchange with the sender.
func (s *Service) handlePush(_ context.Context, from peer.Identity, req *wire.MembersPush) (proto.Message, error) {
	missed := false
	s.update(func(now clock.Instant, core *membership.Core) []membership.Action {
		missed = !s.applyUpdate(now, core, req.GetList())
		return core.Merge(now, decodeReports(req.GetReports()), req.GetRelay())
	})
	if missed {
		s.startSync(from.Instance)
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
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
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
