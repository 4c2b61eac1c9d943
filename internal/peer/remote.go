package peer

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// remote is what is known of one peer.
type remote struct {
	name    string
	current atomic.Pointer[session] // for new calls: the newest usable one of sessions

	mu        sync.Mutex
	sessions  []*session // open ones in the order of their adoption
	addr      string     // empty if only its sessions are known
	since     time.Time
	attempt   *dialAttempt
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time
	lastErr   error
}

// dialAttempt is a dial that any number of callers wait for.
type dialAttempt struct {
	done chan struct{}
	err  error
}

func (t *Transport) newRemote(name string) *remote {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = t.options.BackoffInitial
	b.MaxInterval = t.options.BackoffMax
	b.Multiplier = 2
	return &remote{name: name, backoff: b, since: time.Now()}
}

// setAddr stores the address and reports whether it replaces another one.
func (r *remote) setAddr(addr string) (moved bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr == addr {
		return false
	}
	moved = r.addr != "" && addr != ""
	r.addr = addr
	r.notBefore = time.Time{}
	r.backoff.Reset()
	return moved
}

// remoteFor returns the peer's entry, and creates it for a peer that has connected before it was listed.
func (t *Transport) remoteFor(name string) *remote {
	if r := (*t.peers.Load())[name]; r != nil {
		return r
	}
	next := make(map[string]*remote, len(*t.peers.Load())+1)
	for n, r := range *t.peers.Load() {
		next[n] = r
	}
	next[name] = t.newRemote(name)
	t.peers.Store(&next)
	return next[name]
}

// add takes a session as the newest one and returns the other usable ones.
func (r *remote) add(s *session) (others []*session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.sessions {
		if other.usable() {
			others = append(others, other)
		}
	}
	r.sessions = append(r.sessions, s)
	r.choose()
	r.notBefore = time.Time{} // the peer can be reached
	r.backoff.Reset()
	return others
}

// list returns the open sessions.
func (r *remote) list() []*session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sessions)
}

// open reports whether a session is open, draining ones included.
func (r *remote) open() bool { return len(r.list()) > 0 }

// remove takes out a closed session.
func (r *remote) remove(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions = slices.DeleteFunc(r.sessions, func(other *session) bool { return other == s })
	r.choose()
}

// reconsider chooses the session for new calls again after one was retired.
func (r *remote) reconsider() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose()
}

// choose is called under mu. The newest session has answered last.
func (r *remote) choose() {
	for _, s := range slices.Backward(r.sessions) {
		if s.usable() {
			r.current.Store(s)
			return
		}
	}
	r.current.Store(nil)
}

// join returns the dial in flight or starts one.
func (t *Transport) join(r *remote) (*dialAttempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != nil {
		return r.attempt, nil
	}
	if r.addr == "" {
		return nil, ErrUnknownPeer
	}
	if wait := time.Until(r.notBefore); wait > 0 {
		return nil, errors.Wrapf(r.lastErr, "next dial in %s", wait.Round(time.Millisecond))
	}
	attempt := &dialAttempt{done: make(chan struct{})}
	r.attempt = attempt
	addr := r.addr
	spawned := t.spawn(func() {
		attempt.err = t.dial(r.name, addr)
		r.finish(attempt)
	})
	if !spawned {
		r.attempt = nil
		return nil, errClosed
	}
	return attempt, nil
}

func (r *remote) finish(attempt *dialAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = nil
	if attempt.err != nil {
		r.lastErr = attempt.err
		r.notBefore = time.Now().Add(r.backoff.NextBackOff())
	}
	close(attempt.done)
}

func (t *Transport) dial(name, addr string) error {
	t.metrics.dials.Inc(1)
	ctx, cancel := context.WithTimeout(t.ctx, t.options.DialTimeout)
	defer cancel()
	raw, err := t.options.Dial(ctx, addr)
	if err == nil {
		conn := tls.Client(&countedConn{Conn: raw, metrics: t.metrics}, t.options.Credentials.clientConfig())
		err = t.establish(ctx, conn, name)
	}
	if err != nil {
		t.metrics.dialErrors.Inc(1)
		t.log.Info("dial failed", zap.String("peer", name), zap.String("addr", addr), zap.Error(err))
	}
	return err
}

// lost records since when the peer has no session and returns for how long. A zero time resets it.
func (r *remote) lost(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.IsZero() {
		r.since = time.Time{}
		return 0
	}
	if r.since.IsZero() {
		r.since = now
	}
	return now.Sub(r.since)
}
