package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// writeChunk is the most that one stream writes before frames of other streams get their turn.
	writeChunk = 16 << 10
	// startAttempts is how often a call of which nothing was sent is started. Repeats cover sessions that ended while
	// they were being chosen, as after simultaneous dials.
	startAttempts = 3
)

// deadlinePassed is a time in the past, which ends blocked reads and writes of a stream.
var deadlinePassed = time.Unix(1, 0)

// writeAll writes b in chunks and returns how much of it may have been sent.
func writeAll(w io.Writer, b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		end := min(sent+writeChunk, len(b))
		n, err := w.Write(b[sent:end])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// clientStream is the calling side of a stream.
type clientStream struct {
	ctx     context.Context
	session *session
	mux     *yamux.Stream
	service string
	span    trace.Span
	sender

	finished atomic.Pointer[error] // outcome of the receiving side
	stop     func() bool           // ends the watch on ctx
	closed   atomic.Bool
}

var _ Stream = (*clientStream)(nil)

// Call sends one request and reads one response.
func (t *Transport) Call(ctx context.Context, instance, service string, req, resp proto.Message) error {
	s, err := t.start(ctx, instance, service, req)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Recv(resp); err != nil {
		if errors.Is(err, io.EOF) {
			return s.fail(errors.New("peer has sent no response"))
		}
		return err
	}
	return nil
}

// Open starts a call with any number of messages in both directions. The call ends with ctx.
func (t *Transport) Open(ctx context.Context, instance, service string) (Stream, error) {
	s, err := t.start(ctx, instance, service, nil)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// start opens a stream and sends the header, with the only request of a unary call in the same write.
func (t *Transport) start(ctx context.Context, instance, service string, req proto.Message) (*clientStream, error) {
	ctx, span := t.startSpan(ctx, service, instance, trace.SpanKindClient)
	s, err := t.startOnSession(ctx, instance, service, req, span)
	if err != nil {
		endSpan(span, err)
		return nil, err
	}
	return s, nil
}

func (t *Transport) startOnSession(
	ctx context.Context, instance, service string, req proto.Message, span trace.Span,
) (*clientStream, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(instance, service, err)
	}
	counters := t.metrics.service(service)
	var err error
	for range startAttempts {
		var on *session
		if on, err = t.session(ctx, instance); err != nil {
			return nil, notSent(instance, service, err)
		}
		var opening []byte
		if opening, err = t.openingFrames(ctx, service, req); err != nil {
			return nil, notSent(instance, service, err)
		}
		s := &clientStream{
			ctx: ctx, session: on, service: service, span: span,
			sender: sender{limit: t.options.MaxMessageBytes, metrics: counters, ended: req != nil},
		}
		if err = t.begin(s, opening); err == nil {
			counters.sent(len(opening))
			return s, nil
		}
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

func (t *Transport) openingFrames(ctx context.Context, service string, req proto.Message) ([]byte, error) {
	header := &wire.CallHeader{Service: service, Traceparent: traceparent(ctx)}
	if deadline, ok := ctx.Deadline(); ok {
		header.TimeoutNanos = int64(max(time.Until(deadline), 1))
	}
	b, err := appendFrame(nil, frameHeader, header, t.options.MaxMessageBytes)
	if err != nil || req == nil {
		return b, err
	}
	if b, err = appendFrame(b, frameMessage, req, t.options.MaxMessageBytes); err != nil {
		return nil, err
	}
	return appendFrame(b, frameEnd, nil, t.options.MaxMessageBytes)
}

// Phases of a starting call. Whoever leaves phaseWriting behind decides whether the caller still takes the stream.
const (
	phaseOpening   = iota // nothing of the call has been given to the session
	phaseWriting          // the peer may see the call
	phaseDone             // the opening frames are written or have failed
	phaseAbandoned        // the caller has gone
)

// begin opens the stream and writes the opening frames. yamux cannot interrupt either on a stalled connection, so
// both run on a goroutine of their own that the caller leaves behind when its context ends.
func (t *Transport) begin(s *clientStream, opening []byte) error {
	peer := s.session.peer.Instance
	if !s.session.acquire() {
		return notSent(peer, s.service, errors.New("session is closing"))
	}
	var phase atomic.Int32
	outcome := make(chan error, 1)
	spawned := t.spawn(func() {
		err := s.open(&phase, opening)
		s.session.started()
		if !phase.CompareAndSwap(phaseWriting, phaseDone) && phase.Load() == phaseAbandoned {
			s.discard()
			return
		}
		if err != nil {
			s.discard()
		}
		outcome <- err
	})
	if !spawned {
		s.session.started()
		s.session.release()
		return notSent(peer, s.service, errClosed)
	}
	select {
	case err := <-outcome:
		return err
	case <-s.ctx.Done():
	}
	if phase.CompareAndSwap(phaseOpening, phaseAbandoned) {
		return notSent(peer, s.service, s.ctx.Err())
	}
	if phase.CompareAndSwap(phaseWriting, phaseAbandoned) {
		return broken(peer, s.service, s.ctx.Err())
	}
	return <-outcome
}

// open runs on the goroutine of begin.
func (s *clientStream) open(phase *atomic.Int32, opening []byte) error {
	peer := s.session.peer.Instance
	mux, err := s.session.mux.OpenStream()
	if err != nil {
		return notSent(peer, s.service, err)
	}
	s.mux = mux
	s.session.streams.add(mux)
	s.session.meter.name(mux.StreamID(), s.metrics.traffic)
	s.stop = context.AfterFunc(s.ctx, s.abort)
	if !phase.CompareAndSwap(phaseOpening, phaseWriting) {
		return notSent(peer, s.service, s.ctx.Err())
	}
	sent, err := writeAll(mux, opening)
	if err == nil {
		return nil
	}
	if sent == 0 && refusedBeforeSending(err) {
		return notSent(peer, s.service, err)
	}
	s.session.closeIfStalled(err)
	return broken(peer, s.service, err)
}

// refusedBeforeSending reports whether yamux gives this error of a first write only before it queues any byte: the
// stream was reset or closed, or its window was empty until the deadline. Session errors such as ErrSessionShutdown
// do not tell, since the bytes may have been on their way.
func refusedBeforeSending(err error) bool {
	return errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) ||
		errors.Is(err, yamux.ErrTimeout)
}

// closeIfStalled ends a session on which a write has timed out: part of a frame may be lost, and yamux then
// loses count of the window.
func (s *session) closeIfStalled(err error) {
	if errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		s.transport.spawn(s.close)
	}
}

// discard ends a stream whose caller never got it.
func (s *clientStream) discard() {
	if s.mux != nil {
		s.stop()
		s.closeMux()
	}
	s.session.release()
}

// abort ends blocked reads and writes when the caller's context ends, and tells the peer.
func (s *clientStream) abort() {
	interrupt(s.mux)
	s.closeMux()
}

func (s *clientStream) closeMux() {
	s.session.streams.remove(s.mux)
	// An error means that the session has ended, which the reading side reports.
	_ = s.mux.Close()
}

// Send writes a message.
func (s *clientStream) Send(m proto.Message) error {
	return s.send(frameMessage, m)
}

// CloseSend tells the peer that no message follows.
func (s *clientStream) CloseSend() error {
	return s.send(frameEnd, nil)
}

func (s *clientStream) send(kind frameKind, m proto.Message) error {
	return s.sender.send(s.mux, kind, m, func(err error) error {
		s.session.closeIfStalled(err)
		return s.fail(err)
	})
}

// Recv reads the next message.
func (s *clientStream) Recv(m proto.Message) error {
	if done := s.finished.Load(); done != nil {
		return *done
	}
	kind, payload, err := readFrame(s.mux, s.limit)
	if err != nil {
		return s.finish(s.fail(unexpected(err)))
	}
	s.metrics.received(len(payload) + frameOverhead)
	switch kind {
	case frameMessage:
		if err := proto.Unmarshal(payload, m); err != nil {
			return s.finish(s.fail(errors.Wrap(err, "decode message")))
		}
		return nil
	case frameEnd:
		return s.finish(io.EOF)
	case frameError:
		return s.finish(s.remoteError(payload))
	default:
		return s.finish(s.fail(errors.Newf("unexpected frame of kind %d", kind)))
	}
}

func (s *clientStream) remoteError(payload []byte) error {
	text := &wire.CallError{}
	if err := proto.Unmarshal(payload, text); err != nil {
		return s.fail(errors.Wrap(err, "decode error"))
	}
	return &RemoteError{
		Instance: s.session.peer.Instance,
		Service:  s.service,
		Code:     text.GetCode(),
		Message:  text.GetMessage(),
	}
}

// finish keeps the outcome, so that later calls of Recv return it too.
func (s *clientStream) finish(err error) error {
	s.finished.CompareAndSwap(nil, &err)
	return err
}

// fail returns the error of a call that was sent. The context's error goes before that of the stream it has ended.
func (s *clientStream) fail(err error) error {
	if ctxErr := s.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	return broken(s.session.peer.Instance, s.service, err)
}

// unexpected replaces io.EOF, which Recv returns only for a stream that the other side has ended by a frame.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close ends the stream in both directions. The peer's handler sees its context end if it is still running.
func (s *clientStream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.stop()
	var outcome error
	if done := s.finished.Load(); done != nil && !errors.Is(*done, io.EOF) {
		outcome = *done
	}
	endSpan(s.span, outcome)
	interrupt(s.mux)
	closing := func() {
		s.closeMux()
		s.session.release()
	}
	// Writing the last frame can block on a stalled connection, for which the caller does not wait.
	if !s.session.transport.spawn(closing) {
		closing()
	}
	return nil
}
