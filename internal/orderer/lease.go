package orderer

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/orders"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// intent is the lasting record of a region's issuer. It outlives the lease, so that a successor knows whose orders may be late.
type intent struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Generation  int64  `json:"generation"` // generations up to this one may be in use
	Released    bool   `json:"released"`   // handed over: no order of it can be late
}

// lease is the issuer's hold on its region.
type lease struct {
	id          platform.LeaseID
	fencing     int64
	until       clock.Instant
	renewAt     clock.Instant
	firstSend   clock.Instant
	predecessor intent
	reserved    int64 // generations up to this one are recorded
	intentRev   int64
}

func (s *Service) issuerKey() string { return "orders/" + s.opts.Region + "/issuer" }
func (s *Service) intentKey() string { return "orders/" + s.opts.Region + "/intent" }

// hold acquires or renews the lease. It reports whether this instance is the issuer now.
func (s *Service) hold(ctx context.Context) bool {
	now := s.opts.Clock.Now()
	if s.lease != nil && !now.Before(s.lease.until) {
		s.drop("lease has lapsed")
	}
	var err error
	switch {
	case s.lease == nil && !bids(s.opts.Candidates()):
	case s.lease == nil:
		err = s.acquire(ctx)
	case !now.Before(s.lease.renewAt):
		err = s.renew(ctx)
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		s.opts.Log.Debug("issuer's lease was not acquired or renewed", zap.Error(err))
	}
	return s.lease != nil
}

// bids reports whether one of n candidates looks for the lease in this round. The choice is random, so that a lapsed lease is
// found within a round or two whoever has failed.
func bids(n int) bool {
	if n <= 0 {
		n = unknownCandidates
	}
	return n <= bidsPerRound || rand.IntN(n) < bidsPerRound
}

func (s *Service) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := s.opts.Store.Get(ctx, s.issuerKey()); err == nil {
		return platform.ErrConflict // a read is cheaper than a lease for nothing
	} else if !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	asked := s.opts.Clock.Now()
	id, err := s.opts.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	absent := platform.IfAbsent
	revision, err := s.opts.Store.Put(ctx, s.issuerKey(), []byte(s.opts.Instance), platform.PutOptions{IfRevision: &absent, Lease: id})
	if err != nil {
		return errors.CombineErrors(err, s.opts.Store.Revoke(ctx, id))
	}
	l := &lease{
		id:      id,
		fencing: revision,
		until:   asked.Add(leaseTTL - orders.DriftMargin),
		renewAt: asked.Add(renewEvery),
	}
	if err := s.takeOver(ctx, l); err != nil {
		return errors.CombineErrors(err, s.opts.Store.Revoke(ctx, id))
	}
	s.lease = l
	s.opts.Log.Info("instance issues the orders of its region", zap.String("region", s.opts.Region), zap.Int64("fencing", revision))
	return nil
}

// takeOver reads the predecessor's record and writes the own one before the first order.
func (s *Service) takeOver(ctx context.Context, l *lease) error {
	entry, err := s.opts.Store.Get(ctx, s.intentKey())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		l.predecessor = intent{Released: true}
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(entry.Value, &l.predecessor); err != nil {
			return errors.Wrap(err, "issuer's record in the store")
		}
		l.intentRev = entry.Revision
	}
	l.firstSend = s.opts.Clock.Now()
	if !s.predecessorEnded(l) {
		// The predecessor's lease has lapsed, but its last order may still be in flight.
		l.firstSend = l.firstSend.Add(orders.OrderTimeout + orders.DriftMargin)
	}
	return s.writeIntent(ctx, l, l.predecessor.Generation+generationBlock, false)
}

func (s *Service) predecessorEnded(l *lease) bool {
	p := l.predecessor
	return p.Released || p.Incarnation == s.opts.Incarnation || s.opts.Ended(p.Instance, p.Incarnation)
}

func (s *Service) writeIntent(ctx context.Context, l *lease, generation int64, released bool) error {
	value, err := json.Marshal(intent{Instance: s.opts.Instance, Incarnation: s.opts.Incarnation, Generation: generation, Released: released})
	if err != nil {
		return err
	}
	revision, err := s.opts.Store.Put(ctx, s.intentKey(), value, platform.PutOptions{IfRevision: &l.intentRev})
	if err != nil {
		return err
	}
	l.intentRev = revision
	l.reserved = generation
	return nil
}

func (s *Service) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := s.opts.Clock.Now()
	err := s.opts.Store.Renew(ctx, s.lease.id)
	if errors.Is(err, platform.ErrLeaseLost) {
		s.drop("the store has ended the lease")
		return err
	}
	if err != nil {
		return err // the term runs on to its end
	}
	s.lease.until = asked.Add(leaseTTL - orders.DriftMargin)
	s.lease.renewAt = asked.Add(renewEvery)
	return nil
}

// reserve records more generations before they are used.
func (s *Service) reserve(ctx context.Context) error {
	if s.issuer.Generation()+int64(len(s.opts.Source.View().General().Endpoints)) <= s.lease.reserved {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := s.issuer.Generation() + int64(len(s.opts.Source.View().General().Endpoints)) + generationBlock
	return s.writeIntent(ctx, s.lease, next, false)
}

func (s *Service) drop(reason string) {
	s.opts.Log.Info("instance no longer issues orders", zap.String("region", s.opts.Region), zap.String("reason", reason))
	s.lease = nil
	s.issuer.Lost()
}

// release hands the issuer's role over: the record says that no order of this instance can be late.
func (s *Service) release(ctx context.Context) error {
	if s.lease == nil {
		return nil
	}
	l := s.lease
	s.drop("planned stop")
	if err := s.writeIntent(ctx, l, l.reserved, true); err != nil {
		return errors.Wrap(err, "record the hand-over of the issuer's role")
	}
	return s.opts.Store.Revoke(ctx, l.id)
}
