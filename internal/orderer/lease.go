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

// issuerRecord is the record of a region's issuer in the store. It outlives the lease, so that the successor knows whose orders may still
// arrive late.
type issuerRecord struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Generation  int64  `json:"generation"` // generations up to this one may have been used
	Released    bool   `json:"released"`   // the role was handed over: no order of this issuer can arrive late
}

// lease is the lease of a region's issuer, as held by this instance.
type lease struct {
	id                 platform.LeaseID
	fencing            int64
	until              clock.Instant
	renewAt            clock.Instant
	firstSend          clock.Instant
	predecessor        issuerRecord
	reservedGeneration int64 // generations up to this one are reserved in the store
	recordRevision     int64
}

func (s *Service) issuerKey() string { return "orders/" + s.opts.Region + "/issuer" }
func (s *Service) recordKey() string { return "orders/" + s.opts.Region + "/intent" }

// ensureLease acquires or renews the lease if that is due. It reports whether this instance is the issuer.
func (s *Service) ensureLease(ctx context.Context) bool {
	now := s.opts.Clock.Now()
	if s.lease != nil && !now.Before(s.lease.until) {
		s.dropLease("lease has lapsed")
	}
	var err error
	switch {
	case s.lease == nil && !triesForLease(s.opts.Candidates()):
	case s.lease == nil:
		err = s.acquire(ctx)
	case !now.Before(s.lease.renewAt):
		err = s.renew(ctx)
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		s.opts.Log.Debug("issuer's lease was not acquired or renewed; trying again in a later round", zap.Error(err))
	}
	return s.lease != nil
}

// triesForLease reports whether this instance, one of n candidates, tries to acquire the lease in this round. The choice is random, so that an
// expired lease is acquired within a round or two, whichever instances have failed.
func triesForLease(n int) bool {
	if n <= 0 {
		n = defaultCandidates
	}
	return n <= triesPerRound || rand.IntN(n) < triesPerRound
}

func (s *Service) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := s.opts.Store.Get(ctx, s.issuerKey()); err == nil {
		return platform.ErrConflict // a read costs less than a lease that is then not used
	} else if !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	requestedAt := s.opts.Clock.Now()
	id, err := s.opts.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	absent := platform.IfAbsent
	revision, err := s.opts.Store.Put(ctx, s.issuerKey(), []byte(s.opts.Instance), platform.PutOptions{IfRevision: &absent, Lease: id})
	if err != nil {
		return errors.CombineErrors(err, s.revokeUnused(ctx, id))
	}
	l := &lease{
		id:      id,
		fencing: revision,
		until:   requestedAt.Add(leaseTTL - orders.DriftMargin),
		renewAt: requestedAt.Add(renewEvery),
	}
	if err := s.takeOver(ctx, l); err != nil {
		return errors.CombineErrors(err, s.revokeUnused(ctx, id))
	}
	s.lease = l
	s.opts.Log.Info("instance has acquired the issuer's lease and now issues the orders of its region", zap.String("region", s.opts.Region), zap.Int64("fencing", revision))
	return nil
}

// revokeUnused revokes a lease whose acquisition failed, also if ctx has ended: that may be why it failed.
func (s *Service) revokeUnused(ctx context.Context, id platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	return s.opts.Store.Revoke(ctx, id)
}

// takeOver reads the predecessor's record and replaces it by one of this instance, before the first order.
func (s *Service) takeOver(ctx context.Context, l *lease) error {
	entry, err := s.opts.Store.Get(ctx, s.recordKey())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		l.predecessor = issuerRecord{Released: true}
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(entry.Value, &l.predecessor); err != nil {
			return errors.Wrap(err, "issuer's record in the store")
		}
		l.recordRevision = entry.Revision
	}
	l.firstSend = s.opts.Clock.Now()
	if !s.predecessorEnded(l) {
		// The predecessor's lease has expired, but its last order may still be in flight.
		l.firstSend = l.firstSend.Add(orders.OrderTimeout + orders.DriftMargin)
	}
	return s.writeRecord(ctx, l, l.predecessor.Generation+generationBlock, false)
}

func (s *Service) predecessorEnded(l *lease) bool {
	p := l.predecessor
	return p.Released || p.Incarnation == s.opts.Incarnation || s.opts.Ended(p.Instance, p.Incarnation)
}

func (s *Service) writeRecord(ctx context.Context, l *lease, generation int64, released bool) error {
	value, err := json.Marshal(issuerRecord{Instance: s.opts.Instance, Incarnation: s.opts.Incarnation, Generation: generation, Released: released})
	if err != nil {
		return err
	}
	revision, err := s.opts.Store.Put(ctx, s.recordKey(), value, platform.PutOptions{IfRevision: &l.recordRevision})
	if err != nil {
		return err
	}
	l.recordRevision = revision
	l.reservedGeneration = generation
	return nil
}

func (s *Service) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requestedAt := s.opts.Clock.Now()
	err := s.opts.Store.Renew(ctx, s.lease.id)
	if errors.Is(err, platform.ErrLeaseLost) {
		s.dropLease("the store has ended the lease")
		return err
	}
	if err != nil {
		return err // the current term stays valid until its end
	}
	s.lease.until = requestedAt.Add(leaseTTL - orders.DriftMargin)
	s.lease.renewAt = requestedAt.Add(renewEvery)
	return nil
}

// reserveGenerations reserves more generations in the store if the next round could use more than are reserved.
func (s *Service) reserveGenerations(ctx context.Context) error {
	if s.issuer.Generation()+int64(len(s.opts.Source.View().General().Endpoints)) <= s.lease.reservedGeneration {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := s.issuer.Generation() + int64(len(s.opts.Source.View().General().Endpoints)) + generationBlock
	return s.writeRecord(ctx, s.lease, next, false)
}

func (s *Service) dropLease(reason string) {
	s.opts.Log.Info("instance no longer issues orders", zap.String("region", s.opts.Region), zap.String("reason", reason))
	s.lease = nil
	s.issuer.Lost()
}

// handOver hands the issuer's role over to a successor: it records that no order of this instance can arrive late, and revokes the
// lease.
func (s *Service) handOver(ctx context.Context) error {
	if s.lease == nil {
		return nil
	}
	l := s.lease
	s.dropLease("planned stop")
	if err := s.writeRecord(ctx, l, l.reservedGeneration, true); err != nil {
		return errors.Wrap(err, "record the hand-over of the issuer's role")
	}
	return s.opts.Store.Revoke(ctx, l.id)
}
