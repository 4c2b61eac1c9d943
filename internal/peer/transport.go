package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// maxHandshakes bounds the inbound connections that have not proved their identity yet.
	maxHandshakes = 64
	// housekeepingInterval is the interval of checks for idle sessions, expired certificates and eager dials.
	housekeepingInterval = 500 * time.Millisecond
	// eagerYield is how long the instance with the larger name waits for the other one's eager dial.
	eagerYield = 2 * time.Second
	// acceptRetry is the wait after a failed accept, for example when file descriptors have run out.
	acceptRetry = 50 * time.Millisecond
)

// errClosed reports a call on a transport that is closing.
var errClosed = errors.New("transport is closing")

// Transport is the Network over TCP. Create it with New, register services with Handle, then call Start.
type Transport struct {
	options Options
	self    Identity
	log     *zap.Logger
	metrics *metrics

	handlers map[string]*served
	started  atomic.Bool

	ctx     context.Context // ends when calls in flight are cut
	cancel  context.CancelFunc
	closing atomic.Bool
	workMu  sync.RWMutex // guards stopped against the start of work
	stopped bool
	work    sync.WaitGroup
	inbound chan struct{} // slots of calls being served

	peers atomic.Pointer[map[string]*remote] // read by each call, replaced under mu

	mu       sync.Mutex // guards the set of sessions and the replacement of peers
	sessions map[*session]struct{}
}

var _ Network = (*Transport)(nil)

// served is a registered service.
type served struct {
	handler Handler
	slots   chan struct{} // of calls being served
}

// New checks the options and returns a transport that is not started yet.
func New(options Options) (*Transport, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.fill()
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options:  options,
		self:     options.Self,
		log:      options.Logger.Named("peer"),
		metrics:  newMetrics(options.Scope, options.Traffic),
		handlers: map[string]*served{},
		ctx:      ctx,
		cancel:   cancel,
		inbound:  make(chan struct{}, options.MaxInboundStreams),
		sessions: map[*session]struct{}{},
	}
	t.peers.Store(&map[string]*remote{})
	return t, nil
}

// Self returns this instance's identity.
func (t *Transport) Self() Identity { return t.self }

// Handle registers a service. It panics if the name is taken or the transport has started.
func (t *Transport) Handle(service string, h Handler) {
	if t.started.Load() {
		panic("peer: Handle after Start: " + service)
	}
	if _, taken := t.handlers[service]; taken || service == drainService {
		panic("peer: service is registered twice: " + service)
	}
	t.handlers[service] = &served{handler: h, slots: make(chan struct{}, t.options.MaxServiceStreams)}
}

// Start accepts connections until Close.
func (t *Transport) Start() {
	if t.started.Swap(true) {
		panic("peer: Start was called twice")
	}
	t.work.Go(t.acceptConnections)
	t.work.Go(t.housekeep)
}

// Reload replaces the certificate and the CAs. Sessions whose peer the new CAs do not accept are drained and closed.
func (t *Transport) Reload(p PEM) error {
	former := t.options.Credentials.current.Load()
	if err := t.options.Credentials.Reload(p); err != nil {
		return err
	}
	if err := t.options.Credentials.checkOwnName(t.self); err != nil {
		t.options.Credentials.current.Store(former)
		return err
	}
	t.retireUntrusted()
	return nil
}

// Close stops accepting, lets the calls in flight finish until ctx ends, and closes all sessions. Further calls of
// Close do nothing.
func (t *Transport) Close(ctx context.Context) error {
	if t.closing.Swap(true) {
		return nil
	}
	err := t.options.Listener.Close()
	for _, s := range t.allSessions() {
		t.retire(s, true)
	}
	finished := make(chan struct{})
	go func() {
		t.waitForSessions()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		err = errors.CombineErrors(ctx.Err(), err)
	}
	t.cancel()
	for _, s := range t.allSessions() {
		s.close()
	}
	t.workMu.Lock()
	t.stopped = true
	t.workMu.Unlock()
	t.work.Wait()
	<-finished
	return err
}

// spawn runs f on a goroutine that Close waits for. It returns false if Close waits already.
func (t *Transport) spawn(f func()) bool {
	t.workMu.RLock()
	defer t.workMu.RUnlock()
	if t.stopped {
		return false
	}
	t.work.Go(f)
	return true
}

// waitForSessions returns when the last session is closed or the transport's context ends.
func (t *Transport) waitForSessions() {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for len(t.allSessions()) > 0 {
		select {
		case <-ticker.C:
		case <-t.ctx.Done():
			return
		}
	}
}

// SetPeers replaces the known peers and their addresses. The own name is ignored.
func (t *Transport) SetPeers(addrs map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*remote, len(addrs))
	for name, r := range *t.peers.Load() {
		if _, known := addrs[name]; known || r.open() {
			next[name] = r
		}
	}
	for name := range addrs {
		if next[name] == nil && name != t.self.Instance {
			next[name] = t.newRemote(name)
		}
	}
	for name, r := range next {
		if r.setAddr(addrs[name]) {
			// The same name at another address is another process.
			for _, s := range r.list() {
				t.retire(s, true)
			}
		}
	}
	t.peers.Store(&next)
}

// Connected returns the identities of the peers with a live session, in order of their names.
func (t *Transport) Connected() []Identity {
	var found []Identity
	for _, r := range *t.peers.Load() {
		if s := r.current.Load(); s.usable() {
			found = append(found, s.peer)
		}
	}
	slices.SortFunc(found, func(a, b Identity) int { return cmp.Compare(a.Instance, b.Instance) })
	return found
}

// sessionAttempts bounds the rounds of session: a new session may be given up at once for the peer's own dial.
const sessionAttempts = 3

// session returns a live session with the peer. It dials if there is none, and fails at once while the
// peer's backoff runs.
func (t *Transport) session(ctx context.Context, name string) (*session, error) {
	r := (*t.peers.Load())[name]
	if r == nil {
		return nil, ErrUnknownPeer
	}
	for range sessionAttempts {
		if s := r.current.Load(); s.usable() {
			return s, nil
		}
		if t.closing.Load() {
			return nil, errClosed
		}
		attempt, err := t.join(r)
		if err != nil {
			return nil, err
		}
		select {
		case <-attempt.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if s := r.current.Load(); s.usable() {
			return s, nil // also if the own dial failed and the peer's succeeded
		}
		if attempt.err != nil {
			return nil, attempt.err
		}
	}
	return nil, errors.New("session was closed")
}

// establish takes a connection through the handshake and adds its session. It closes the connection on failure.
func (t *Transport) establish(ctx context.Context, conn *tls.Conn, expected string) error {
	id, err := t.handshake(ctx, conn, expected)
	if err == nil {
		var s *session
		if s, err = t.newSession(conn, id, expected != ""); err == nil {
			return t.adopt(s)
		}
	}
	// The peer may not read a closing alert, so the wait for it is bounded by the connection's deadline.
	if closeErr := conn.Close(); closeErr != nil {
		t.log.Debug("close connection", zap.Error(closeErr))
	}
	return err
}

func (t *Transport) acceptConnections() {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		raw, err := t.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || t.closing.Load() {
			if err == nil {
				raw.Close()
			}
			return
		}
		if err != nil {
			t.log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptRetry)
			continue
		}
		handshakes <- struct{}{}
		spawned := t.spawn(func() {
			defer func() { <-handshakes }()
			t.accept(raw)
		})
		if !spawned {
			raw.Close()
			return
		}
	}
}

func (t *Transport) accept(raw net.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, t.options.DialTimeout)
	defer cancel()
	conn := tls.Server(&countedConn{Conn: raw, metrics: t.metrics}, t.options.Credentials.serverConfig())
	if err := t.establish(ctx, conn, ""); err != nil {
		t.metrics.refused.Inc(1)
		t.log.Info("connection refused", zap.Stringer("addr", raw.RemoteAddr()), zap.Error(err))
	}
}

// adopt makes a new session the peer's current one and settles which of several sessions stays.
func (t *Transport) adopt(s *session) error {
	t.mu.Lock()
	if t.closing.Load() || !t.makeRoom() {
		t.mu.Unlock()
		s.close()
		return errors.New("no session is accepted: limit reached or closing")
	}
	t.sessions[s] = struct{}{}
	t.metrics.sessions.Update(float64(len(t.sessions)))
	r := t.remoteFor(s.peer.Instance)
	others := r.add(s)
	t.mu.Unlock()

	if !t.spawn(func() { t.acceptStreams(s) }) {
		t.forget(s)
		s.close()
		return errClosed
	}
	for _, other := range others {
		t.settle(other, s)
	}
	t.log.Debug("session is up", zap.String("peer", s.peer.Instance), zap.Bool("dialled", s.dialled))
	return nil
}

// settle keeps one of two sessions with a peer. Both instances come to the same choice: the newer one, unless
// the two were dialled from opposite sides by the same processes. Then the preferred one stays if it answers,
// since the peer may have lost it before this instance noticed.
func (t *Transport) settle(former, newer *session) {
	crossed := former.dialled != newer.dialled && former.peer.Incarnation == newer.peer.Incarnation
	if !crossed || newer.preferred() {
		t.retire(former, true)
		return
	}
	t.spawn(func() {
		if _, err := former.mux.Ping(); err != nil {
			// Calls in flight on it may still get their answers; the keepalive ends it if it is dead.
			t.retire(former, true)
			return
		}
		if former.usable() {
			t.retire(newer, true)
		}
	})
}

// retire starts no more calls on the session and closes it once its calls have ended. ask is false if the peer has
// retired it first.
func (t *Transport) retire(s *session, ask bool) {
	if s.retired.Swap(true) {
		return
	}
	if r := (*t.peers.Load())[s.peer.Instance]; r != nil {
		r.reconsider()
	}
	if !t.spawn(func() { s.drain(ask) }) {
		s.close()
	}
}

// forget removes a closed session.
func (t *Transport) forget(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	t.metrics.sessions.Update(float64(len(t.sessions)))
	if r := (*t.peers.Load())[s.peer.Instance]; r != nil {
		r.remove(s)
	}
}

func (t *Transport) allSessions() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		all = append(all, s)
	}
	return all
}
