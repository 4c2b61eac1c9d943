package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// protocolVersion is the version of the session protocol that the Hello states.
	protocolVersion = 1
	// maxHelloBytes bounds what an instance reads before the peer's name is checked.
	maxHelloBytes = 4 << 10
	// acceptBacklog bounds the streams that the peer has opened and that are not accepted yet.
	acceptBacklog = 256
	// streamCloseTimeout resets a stream that only one side has closed. It also bounds how long a slow reader may
	// take over the rest of a finished answer, because a reset drops what it has not read.
	streamCloseTimeout = 2 * time.Minute
	// streamWindow is the receive window of a stream in bytes: what a slow reader can make this instance hold. At a
	// round trip of 160 ms it lets one stream carry 6.5 MB/s.
	streamWindow = 1 << 20
	// drainPoll is the interval at which a draining session looks for calls in flight.
	drainPoll = 10 * time.Millisecond
	// drainCallTimeout bounds the message that asks the peer to open no more streams.
	drainCallTimeout = 2 * time.Second
)

// session is a yamux session with one peer.
type session struct {
	transport    *Transport
	mux          *yamux.Session
	streams      *liveStreams
	meter        *sessionMeter
	peer         Identity
	dialled      bool // by this instance
	certificates []*x509.Certificate

	retired  atomic.Bool  // no new call is started on it
	active   atomic.Int64 // calls in flight in both directions
	starting atomic.Int64 // own calls that have not written their first frames yet
	lastUsed atomic.Int64 // time.Time as UnixNano
}

func helloOf(id Identity) *wire.Hello {
	return &wire.Hello{
		Instance:    id.Instance,
		Region:      id.Region,
		DataCentre:  id.DataCentre,
		Incarnation: id.Incarnation,
		Protocol:    protocolVersion,
	}
}

// handshake exchanges the Hello messages and checks the peer's against its certificate. expected is the
// instance that was dialled; it is empty on the accepting side.
func (t *Transport) handshake(ctx context.Context, conn *tls.Conn, expected string) (Identity, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return Identity{}, err
		}
	}
	if err := conn.HandshakeContext(ctx); err != nil {
		return Identity{}, errors.Wrap(err, "TLS handshake")
	}
	dialling := expected != ""
	if dialling {
		if err := sendHello(conn, t.self); err != nil {
			return Identity{}, err
		}
	}
	id, err := receiveHello(conn, conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return Identity{}, err
	}
	if dialling && id.Instance != expected {
		return Identity{}, errors.Newf("instance %q answers at the address of %q", id.Instance, expected)
	}
	if id.Instance == t.self.Instance {
		return Identity{}, errors.Newf("peer has this instance's own name %q", id.Instance)
	}
	if !dialling {
		if err := sendHello(conn, t.self); err != nil {
			return Identity{}, err
		}
	}
	return id, conn.SetDeadline(time.Time{})
}

func sendHello(w io.Writer, self Identity) error {
	frame, err := appendFrame(nil, frameHeader, helloOf(self), maxHelloBytes)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return errors.Wrap(err, "send Hello")
}

func receiveHello(r io.Reader, leaf *x509.Certificate) (Identity, error) {
	kind, payload, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return Identity{}, errors.Wrap(err, "read Hello")
	}
	hello := &wire.Hello{}
	if err := proto.Unmarshal(payload, hello); err != nil || kind != frameHeader {
		return Identity{}, errors.New("first frame of the peer is not a Hello")
	}
	if hello.GetProtocol() != protocolVersion {
		return Identity{}, errors.Newf("peer speaks protocol version %d, expected %d", hello.GetProtocol(), protocolVersion)
	}
	if err := checkName(leaf, hello); err != nil {
		return Identity{}, err
	}
	return Identity{
		Instance:    hello.GetInstance(),
		Region:      hello.GetRegion(),
		DataCentre:  hello.GetDataCentre(),
		Incarnation: hello.GetIncarnation(),
	}, nil
}

// newSession starts yamux on a connection that has passed the handshake.
func (t *Transport) newSession(conn *tls.Conn, id Identity, dialled bool) (*session, error) {
	config := &yamux.Config{
		AcceptBacklog:          acceptBacklog,
		EnableKeepAlive:        true,
		KeepAliveInterval:      t.options.KeepAlive,
		ConnectionWriteTimeout: t.options.WriteTimeout,
		MaxStreamWindowSize:    streamWindow,
		StreamCloseTimeout:     streamCloseTimeout,
		LogOutput:              logWriter{t.log.With(zap.String("peer", id.Instance))},
	}
	meter := newSessionMeter(t.options.Traffic)
	if raw, ok := conn.NetConn().(*countedConn); ok {
		meter.other.Sent(int(raw.sent.Load()))
		meter.other.Received(int(raw.received.Load()))
	}
	streams := newLiveStreams()
	wrapped := &endingConn{Conn: &coalescingConn{Conn: conn, meter: meter}, streams: streams}
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	mux, err := start(wrapped, config)
	if err != nil {
		return nil, errors.Wrap(err, "start session")
	}
	s := &session{
		transport:    t,
		mux:          mux,
		streams:      streams,
		meter:        meter,
		peer:         id,
		dialled:      dialled,
		certificates: conn.ConnectionState().PeerCertificates,
	}
	s.touch()
	return s, nil
}

func (s *session) touch() { s.lastUsed.Store(time.Now().UnixNano()) }

func (s *session) idleFor() time.Duration {
	return time.Since(time.Unix(0, s.lastUsed.Load()))
}

// usable reports whether new calls may start on the session.
func (s *session) usable() bool {
	return s != nil && !s.retired.Load() && !s.mux.IsClosed()
}

// acquire counts a call on the session, until started and release. It fails if the session takes no new calls.
func (s *session) acquire() bool {
	s.active.Add(1)
	s.starting.Add(1)
	if s.retired.Load() {
		s.started()
		s.active.Add(-1)
		return false
	}
	s.touch()
	return true
}

// started notes that a call has written its first frames or has given up.
func (s *session) started() { s.starting.Add(-1) }

func (s *session) release() {
	s.touch()
	s.active.Add(-1)
}

// preferred reports whether this is the session to keep if both instances have dialled each other:
// the one that the instance with the smaller name has dialled.
func (s *session) preferred() bool {
	selfIsSmaller := s.transport.self.Instance < s.peer.Instance
	return s.dialled == selfIsSmaller
}

// drain waits until no call is in flight and closes the session. With ask, the peer is first told to start no
// more calls. Its answer arrives behind all streams that it has opened before, so that none is cut. Without ask, the
// peer has told so, and closes the session itself: it alone knows whether its last calls have started.
func (s *session) drain(ask bool) {
	deadline := time.NewTimer(s.transport.options.DrainTimeout)
	defer deadline.Stop()
	if ask {
		ctx, cancel := context.WithTimeout(context.Background(), drainCallTimeout)
		s.askToDrain(ctx)
		cancel()
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	// A stream stays counted by yamux until both sides have closed it, so the peer has read its answer.
	for !ask || s.active.Load() > 0 || s.mux.NumStreams() > 0 {
		select {
		case <-ticker.C:
			continue
		case <-s.mux.CloseChan():
		case <-deadline.C:
		case <-s.transport.ctx.Done():
		}
		break
	}
	s.close()
}

// waitStarted returns when no own call is about to open a stream on the retired session, or at the deadline.
func (s *session) waitStarted(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.starting.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) close() {
	if err := s.mux.Close(); err != nil {
		s.transport.log.Debug("close session", zap.String("peer", s.peer.Instance), zap.Error(err))
	}
}

// logWriter sends yamux's log lines to the instance's log at debug level: each of them ends in an error of a
// call or session that is reported there.
type logWriter struct{ log *zap.Logger }

func (w logWriter) Write(line []byte) (int, error) {
	w.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

var _ net.Conn = (*coalescingConn)(nil)
