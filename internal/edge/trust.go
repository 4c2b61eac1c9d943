package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

const (
	// announcementSpread is the time after its announcement in which others read it: the pause between their watches, and the call. A
	// session that is opened earlier is refused, which costs both sides a handshake.
	announcementSpread = 220 * time.Millisecond
	// announceWait is how long a start waits for its announcement before it opens sessions without it.
	announceWait = 2 * time.Second
	// trustWait is how long an instance that refuses a session, because it does not know the certificate yet, is still tried. Another
	// one would refuse it as well, and three hundred instances that try all others in turn take up their links with handshakes.
	trustWait = 2500 * time.Millisecond
	// trustRetry is the delay before such an instance is tried again.
	trustRetry = 150 * time.Millisecond
)

// trustWaits counts for how long sessions to an instance are refused. It is not safe for concurrent use.
type trustWaits struct {
	peer  string
	since clock.Instant
}

// wait reports whether a failure to use an instance only shows that one side does not know the other's certificate yet, and waits a moment
// then. Refusals that last for trustWait count as failures.
func (w *trustWaits) wait(ctx context.Context, e *Edge, name string, err error) bool {
	if !peer.IsUntrusted(err) {
		w.peer = ""
		return false
	}
	now := e.clock.Now()
	if w.peer != name {
		w.peer, w.since = name, now
	}
	if now.Sub(w.since) >= trustWait {
		w.peer = ""
		e.log.Info("instance does not know this one's certificate, or is not known; trying others", zap.String("peer", name), zap.Error(err))
		return false
	}
	e.metrics.untrusted.Inc(1)
	_ = clock.Sleep(ctx, trustRetry) // the caller checks ctx
	return true
}

// announced holds when this instance was first announced, 0 before.
type announced struct{ at atomic.Int64 }

func (a *announced) record(now clock.Instant) { a.at.CompareAndSwap(0, int64(now)) }

// spread reports whether others are likely to have read the announcement, or it has not been possible to announce this instance.
func (a *announced) spread(now, started clock.Instant) bool {
	at := clock.Instant(a.at.Load())
	return at > 0 && now.Sub(at) >= announcementSpread || now.Sub(started) >= announceWait
}

// awaitAnnounced waits until others are likely to accept sessions of this instance.
func (e *Edge) awaitAnnounced(ctx context.Context) {
	for !e.isKnownToOthers() && clock.Sleep(ctx, relayPollInterval) == nil {
	}
}

func (e *Edge) isKnownToOthers() bool { return e.announced.spread(e.clock.Now(), e.startedAt) }

// isOutranked reports whether an announced instance of the region ranks above this one, whether it answers or not.
func (f *fleet) isOutranked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Region == f.options.Self.Region && m.listed && !m.leaving && ranksAbove(m.name, m.LinkMbps, f.options.Self.Instance, f.options.LinkMbps) {
			return true
		}
	}
	return false
}
