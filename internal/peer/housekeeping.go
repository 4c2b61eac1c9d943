package peer

import (
	"time"

	"go.uber.org/zap"
)

// makeRoom reports whether another session fits, if need be after the least recently used idle one is retired.
// It is called under mu.
func (t *Transport) makeRoom() bool {
	if len(t.sessions) < t.options.MaxSessions {
		return true
	}
	var oldest *session
	for s := range t.sessions {
		if s.active.Load() > 0 || s.retired.Load() {
			continue
		}
		if oldest == nil || s.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	t.retire(oldest, true)
	delete(t.sessions, oldest)
	return true
}

// housekeep closes idle and no longer trusted sessions and keeps the eager ones open.
func (t *Transport) housekeep() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-t.ctx.Done():
			return
		}
		if t.closing.Load() {
			return
		}
		eager := len(*t.peers.Load()) <= t.options.EagerPeers
		if eager {
			t.dialEagerly()
		}
		t.retireUntrusted()
		t.retireIdle(eager)
	}
}

func (t *Transport) retireUntrusted() {
	for _, s := range t.allSessions() {
		if !s.retired.Load() && !t.options.Credentials.stillValid(s.certificates) {
			t.log.Info("certificate of a session is no longer valid", zap.String("peer", s.peer.Instance))
			t.retire(s, true)
		}
	}
}

func (t *Transport) retireIdle(eager bool) {
	if eager {
		return
	}
	for _, s := range t.allSessions() {
		if s.active.Load() == 0 && s.idleFor() > t.options.IdleTimeout {
			t.retire(s, true)
		}
	}
}

// dialEagerly dials the known peers without a session. The instance with the smaller name dials first.
func (t *Transport) dialEagerly() {
	for name, r := range *t.peers.Load() {
		if r.current.Load().usable() {
			r.lost(time.Time{})
			continue
		}
		without := r.lost(time.Now())
		if name < t.self.Instance && without < eagerYield {
			continue
		}
		// Failures are logged by dial and repeated at the next tick after the backoff.
		_, _ = t.join(r)
	}
}
