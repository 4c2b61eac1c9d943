package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// leaseTerm is how long an announcement outlives its instance. It bounds how long the directory names a dead instance that
	// no other could reach, and must be longer than two lost renewals take.
	leaseTerm = 5 * time.Second
	// renewInterval is the interval of lease renewals. Each is a call to the store; two within a term may be lost.
	renewInterval = 1650 * time.Millisecond
	// announceRetryDelay is the delay after a failed announcement.
	announceRetryDelay = 300 * time.Millisecond
)

// announcer keeps this instance's key in the store. All its writes are conditional on the key's revision: a write whose response is
// lost may be carried out seconds later, and would otherwise bind the key to a lease that is no longer renewed. It is not safe for
// concurrent use.
type announcer struct {
	edge  *Edge
	key   string
	value announcement

	lease platform.LeaseID
	era   int64 // of the store when the lease was granted, or one in which it is known to be this instance's; 0 if it is not known
	// revision is that of the key, platform.IfAbsent if it does not exist. It must be read if known is false.
	revision int64
	known    bool
}

// errRestored reports that the store has lost the announcement or its lease because it was restored from a copy.
var errRestored = errors.New("store was restored from a copy without the announcement")

// announce keeps this instance's key in the store until ctx ends, and then removes it.
func (e *Edge) announce(ctx context.Context, value announcement) {
	// At the first start of the system there are no keys of earlier incarnations, so that nothing has to be read.
	a := announcer{edge: e, key: InstancePrefix + e.options.Self.Instance, value: value, known: e.options.FirstStart}
	for ctx.Err() == nil {
		a.era = e.fleet.eraOfStore()
		lease, err := e.options.Store.Grant(ctx, leaseTerm)
		if err == nil {
			a.lease = lease
			err = a.write(ctx)
		}
		if err != nil {
			e.log.Warn("instance could not be announced in the store; trying again", zap.Error(err))
			if clock.Sleep(ctx, announceRetryDelay) != nil {
				return
			}
			continue
		}
		e.log.Info("instance announced", zap.Int64("lease", int64(lease)), zap.Int64("revision", a.revision))
		err = a.keepLease(ctx)
		if ctx.Err() != nil {
			if a.ownsLease() {
				e.revokeLease(lease)
			}
			return
		}
		a.known = false // the store has removed or changed the key
		e.log.Warn("lease lost", zap.Int64("lease", int64(lease)), zap.Error(err))
	}
}

// write writes the key if nothing has changed it since its revision was read, whatever it holds: nobody but this instance and earlier
// incarnations writes it.
func (a *announcer) write(ctx context.Context) error {
	if !a.known {
		if _, err := a.read(ctx); err != nil {
			return err
		}
	}
	value := a.value
	value.Leaving = a.edge.leaving.Load()
	if !a.edge.fleet.announcesCertificate() {
		value.Certificate = nil
	}
	content, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	expected := a.revision
	a.revision, err = a.edge.options.Store.Put(ctx, a.key, content, platform.PutOptions{IfRevision: &expected, Lease: a.lease})
	a.known = err == nil
	if err == nil {
		a.edge.announced.record(a.edge.clock.Now())
	}
	return errors.Wrap(err, "write announcement")
}

// read reads the key's revision, and reports whether the key holds what would be written now.
func (a *announcer) read(ctx context.Context) (announced bool, err error) {
	entry, err := a.edge.options.Store.Get(ctx, a.key)
	if errors.Is(err, platform.ErrNotFound) {
		a.revision, a.known = platform.IfAbsent, true
		return false, nil
	}
	if err != nil {
		a.known = false
		return false, errors.Wrap(err, "read announcement")
	}
	a.revision, a.known = entry.Revision, true
	var value announcement
	return json.Unmarshal(entry.Value, &value) == nil && value.Incarnation == a.value.Incarnation &&
		value.Leaving == a.edge.leaving.Load() && entry.Lease == a.lease &&
		(len(value.Certificate) > 0 || !a.edge.fleet.announcesCertificate()), nil
}

// restore writes the key again if it no longer holds the announcement. The copy of the store that reported so may be out of date. If the key is
// not as it was written although its lease has not ended, it returns errRestored: nobody else writes it, and the era of the lease may be unknown.
func (a *announcer) restore(ctx context.Context) error {
	written, revision := a.known, a.revision
	announced, err := a.read(ctx)
	if err != nil || announced {
		return err
	}
	if written && a.revision != revision {
		return errRestored
	}
	if err := a.write(ctx); err != nil {
		return err
	}
	a.edge.log.Warn("announcement was not in the store; it has been written again", zap.Int64("lease", int64(a.lease)),
		zap.Int64("revision", a.revision))
	return nil
}

// ownsLease reports whether the lease is still this instance's. After a restore of the store the same id may be another instance's, unless
// the key has survived as it was written: then the copy had the lease too.
func (a *announcer) ownsLease() bool {
	era := a.edge.fleet.eraOfStore()
	if a.era != 0 && !a.edge.fleet.survivedRestore(platform.Version{Era: a.era, Revision: a.revision}) {
		return false
	}
	a.era = era
	return true
}

// keepLease renews the lease until ctx ends or the store reports that it has expired. It writes the announcement again when the
// instance begins to leave, and when the key is lost.
func (a *announcer) keepLease(ctx context.Context) error {
	e := a.edge
	timer := time.NewTicker(renewInterval)
	defer timer.Stop()
	left := e.leavingBegan
	outdated := false          // the key could not be brought up to date
	var retry <-chan time.Time // before the next renewal, after a write that may succeed soon
	for {
		var err error
		var update func(context.Context) error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-left:
			left, update = nil, a.write
		case <-e.fleet.selfUnlisted:
			update = a.restore
		case <-retry:
			retry, update = nil, a.restore
		case <-timer.C:
		}
		if !a.ownsLease() {
			return errRestored
		}
		if update != nil {
			err = update(ctx)
		} else {
			renewed := e.options.Store.Renew(ctx, a.lease)
			if renewed != nil && !errors.Is(renewed, platform.ErrLeaseLost) {
				e.log.Debug("lease could not be renewed; trying again", zap.Error(renewed))
				continue
			}
			if err = renewed; err == nil && (outdated || !e.fleet.isSelfListed()) {
				err = a.restore(ctx) // the copy of the store may have missed that the key was there
			}
		}
		if errors.Is(err, platform.ErrLeaseLost) || errors.Is(err, errRestored) {
			return err
		}
		if outdated = err != nil; outdated && ctx.Err() == nil {
			e.log.Warn("announcement could not be written; trying again", zap.Bool("leaving", e.leaving.Load()), zap.Error(err))
		}
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
			retry = time.After(announceRetryDelay)
		}
	}
}

// revokeLease revokes the lease, so that others see at once that this instance has gone.
func (e *Edge) revokeLease(lease platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := e.options.Store.Revoke(ctx, lease); err != nil {
		e.log.Warn("announcement could not be removed; it expires with its lease", zap.Error(err))
	}
}
