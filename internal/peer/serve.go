package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// drainService asks the peer to start no more calls on this session.
	drainService = "peer.drain"
	// headerTimeout bounds the wait for the first frame of a stream.
	headerTimeout = 10 * time.Second
	// readAhead is the number of frames that are read before the handler asks for them. Reading ahead shows that the
	// caller has gone while the handler is busy; the bound keeps the backpressure.
	readAhead = 4
	// maxRefusals bounds the refusals being written at once; streams beyond are closed without a reason.
	maxRefusals = 64
	// lingerTimeout bounds how long the rest of a request is read and dropped after the answer. The caller reads the
	// answer only when its request is written, which needs the window of the stream.
	lingerTimeout = 5 * time.Second
	// maxErrorText bounds the message of a handler's error in bytes.
	maxErrorText = 1 << 10
)

// acceptStreams serves the streams that the peer opens until the session ends.
func (t *Transport) acceptStreams(s *session) {
	defer t.forget(s)
	refusals := make(chan struct{}, maxRefusals)
	for {
		mux, err := s.mux.AcceptStream()
		if err != nil {
			if !s.mux.IsClosed() {
				t.log.Info("session failed", zap.String("peer", s.peer.Instance), zap.Error(err))
			}
			s.close()
			return
		}
		s.active.Add(1)
		s.touch()
		select {
		case t.inbound <- struct{}{}:
			t.spawnStream(s, mux, t.inbound, t.serve)
			continue
		default:
		}
		select {
		case refusals <- struct{}{}:
			t.spawnStream(s, mux, refusals, t.refuse)
		default:
			s.meter.name(mux.StreamID(), s.meter.other)
			closeQuietly(mux)
			s.release()
		}
	}
}

// spawnStream runs f for a stream, closes it and gives its slot back.
func (t *Transport) spawnStream(s *session, mux *yamux.Stream, slots chan struct{}, f func(*session, *yamux.Stream)) {
	spawned := t.spawn(func() {
		s.streams.add(mux)
		f(s, mux)
		closeQuietly(mux)
		s.streams.remove(mux)
		<-slots
		s.release()
	})
	if !spawned {
		closeQuietly(mux)
		<-slots
		s.release()
	}
}

func closeQuietly(mux *yamux.Stream) {
	// An error means that the session has ended, which the peer notices by itself.
	_ = mux.Close()
}

var errOverloaded = NewError(CodeOverloaded, "too many calls at once; the call was not run")

func (t *Transport) refuse(s *session, mux *yamux.Stream) {
	s.meter.name(mux.StreamID(), s.meter.other)
	s.streams.setDeadline(mux, time.Now().Add(headerTimeout))
	t.writeError(mux, errOverloaded)
	s.linger(mux)
}

// linger drops what the caller still sends until it closes the stream.
func (s *session) linger(mux *yamux.Stream) {
	s.streams.setReadDeadline(mux, time.Now().Add(lingerTimeout))
	// Any error ends the stream, as does the end of the input.
	_, _ = io.Copy(io.Discard, mux)
}

// writeError ends the stream with an error. It is best effort: without it, the caller sees a broken stream.
func (t *Transport) writeError(mux *yamux.Stream, err error) {
	out := &wire.CallError{Message: err.Error()}
	var remote *RemoteError
	if errors.As(err, &remote) {
		out.Code, out.Message = remote.Code, remote.Message
	}
	if len(out.Message) > maxErrorText {
		out.Message = fmt.Sprintf("%.*s", maxErrorText/4, out.Message)
	}
	frame, err := appendFrame(nil, frameError, out, t.options.MaxMessageBytes)
	if err != nil {
		return
	}
	if _, err := writeAll(mux, frame); err != nil {
		t.log.Debug("error was not delivered", zap.Error(err))
	}
}

// serve runs the handler of one stream.
func (t *Transport) serve(s *session, mux *yamux.Stream) {
	header, size, err := t.readHeader(s, mux)
	if err != nil {
		s.meter.name(mux.StreamID(), s.meter.other)
		t.writeError(mux, NewError(CodeBadHeader, err.Error()))
		s.linger(mux)
		return
	}
	if header.GetService() == drainService {
		s.meter.name(mux.StreamID(), s.meter.other)
		t.serveDrain(s, mux)
		return
	}
	service := t.handlers[header.GetService()]
	if service == nil {
		s.meter.name(mux.StreamID(), s.meter.other)
		t.writeError(mux, NewError(CodeUnknownService, "service "+header.GetService()+" is not registered"))
		s.linger(mux)
		return
	}
	select {
	case service.slots <- struct{}{}:
		defer func() { <-service.slots }()
	default:
		s.meter.name(mux.StreamID(), s.meter.other)
		t.writeError(mux, errOverloaded)
		s.linger(mux)
		return
	}
	counters := t.metrics.service(header.GetService())
	counters.received(size)
	s.meter.name(mux.StreamID(), counters.traffic)

	ctx, cancel := context.WithCancel(t.ctx)
	if timeout := header.GetTimeoutNanos(); timeout > 0 {
		ctx, cancel = withTimeout(ctx, cancel, time.Duration(timeout))
	}
	defer cancel()
	ctx, span := t.startSpan(withTraceparent(ctx, header.GetTraceparent()), header.GetService(), s.peer.Instance, trace.SpanKindServer)
	stream := &serverStream{
		ctx:    ctx,
		mux:    mux,
		frames: make(chan inFrame, readAhead),
		sender: sender{limit: t.options.MaxMessageBytes, metrics: counters},
	}
	if t.options.Reserve != nil {
		stream.reserve = func(size int) (func(), bool) { return t.options.Reserve(header.GetService(), size) }
	}
	stop := context.AfterFunc(ctx, stream.unblock)
	var reading sync.WaitGroup
	reading.Go(func() { stream.read(cancel) })

	err = t.run(ctx, service.handler, s, stream, header.GetService())
	endSpan(span, err)
	stop()
	stream.conclude(t, err)
	cancel()
	stream.unblock()
	reading.Wait()
	for frame := range stream.frames { // those that the handler has not received
		frame.done()
	}
	if !stream.complete {
		s.linger(mux)
	}
}

// withTimeout adds a timeout to ctx and returns a cancel function for both.
func withTimeout(ctx context.Context, cancel context.CancelFunc, d time.Duration) (context.Context, context.CancelFunc) {
	timed, stop := context.WithTimeout(ctx, d)
	return timed, func() {
		stop()
		cancel()
	}
}

func (t *Transport) readHeader(s *session, mux *yamux.Stream) (*wire.CallHeader, int, error) {
	s.streams.setReadDeadline(mux, time.Now().Add(headerTimeout))
	kind, payload, err := readFrame(mux, t.options.MaxMessageBytes)
	if err != nil {
		return nil, 0, err
	}
	s.streams.setReadDeadline(mux, time.Time{})
	header := &wire.CallHeader{}
	if err := proto.Unmarshal(payload, header); err != nil || kind != frameHeader {
		return nil, 0, errors.New("first frame of the stream is not a call header")
	}
	return header, len(payload) + frameOverhead, nil
}

// run calls the handler. A panic ends this call only.
func (t *Transport) run(ctx context.Context, handler Handler, s *session, stream Stream, service string) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			t.log.Error("handler panicked", zap.String("service", service), zap.Any("reason", reason), zap.Stack("stack"))
			err = NewError(CodeInternal, "handler panicked")
		}
	}()
	return handler(ctx, s.peer, stream)
}

// inFrame is a frame or the error that ended the receiving side.
type inFrame struct {
	kind    frameKind
	payload []byte
	err     error
	release func() // gives back the memory of the payload; nil if none is reserved
}

func (f *inFrame) done() {
	if f.release != nil {
		f.release()
	}
}

// serverStream is the serving side of a stream.
type serverStream struct {
	ctx    context.Context
	mux    *yamux.Stream
	frames chan inFrame
	sender

	reserve func(size int) (release func(), ok bool) // nil: there is room for all messages

	complete bool // the caller has sent its last frame; written by read

	recvMu sync.Mutex
	over   error // guarded by recvMu
}

var (
	_ Stream     = (*serverStream)(nil)
	_ lastSender = (*serverStream)(nil)
)

// read passes frames on until the caller closes the stream, and then ends the handler's context.
func (s *serverStream) read(cancel context.CancelFunc) {
	defer close(s.frames)
	defer cancel()
	for {
		var release func()
		kind, payload, err := readFrameIf(s.mux, s.limit, func(size int) (err error) {
			release, err = s.admit(size)
			return err
		})
		if err == nil {
			s.metrics.received(len(payload) + frameOverhead)
			s.complete = s.complete || kind == frameEnd
		}
		select {
		case s.frames <- inFrame{kind: kind, payload: payload, err: err, release: release}:
		case <-s.ctx.Done():
			if release != nil {
				release()
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// largeMessage is the size in bytes above which room is asked for a message before it is read.
const largeMessage = 64 << 10

var errNoMemory = NewError(CodeOverloaded, "no memory for the message; it was not handled")

// admit asks for room for a message.
func (s *serverStream) admit(size int) (release func(), err error) {
	if s.reserve == nil || size <= largeMessage {
		return nil, nil
	}
	release, ok := s.reserve(size)
	if !ok {
		return nil, errNoMemory
	}
	return release, nil
}

// unblock ends blocked reads and writes.
func (s *serverStream) unblock() { interrupt(s.mux) }

// Send writes a message.
func (s *serverStream) Send(m proto.Message) error {
	return s.send(frameMessage, m)
}

// CloseSend tells the caller that no message follows.
func (s *serverStream) CloseSend() error {
	return s.send(frameEnd, nil)
}

func (s *serverStream) send(kind frameKind, m proto.Message) error {
	return s.sender.send(s.mux, kind, m, s.broken)
}

// sendLast writes the only response of a call and its end at once, which saves a frame and a TLS record.
func (s *serverStream) sendLast(m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.ended {
		return errors.New("message after CloseSend")
	}
	frames, err := appendFrame(nil, frameMessage, m, s.limit)
	if err == nil {
		frames, err = appendFrame(frames, frameEnd, nil, s.limit)
	}
	if err != nil {
		return err
	}
	if _, err := writeAll(s.mux, frames); err != nil {
		return s.broken(err)
	}
	s.ended = true
	s.metrics.sent(len(frames))
	return nil
}

func (s *serverStream) broken(err error) error {
	if ctxErr := s.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	return errors.Mark(errors.Wrap(err, "stream of the caller"), ErrBroken)
}

// Recv reads the next message of the caller.
func (s *serverStream) Recv(m proto.Message) error {
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	if s.over != nil {
		return s.over
	}
	frame, open := <-s.frames
	defer frame.done()
	switch {
	case !open:
		s.over = s.broken(errors.New("caller has gone"))
	case frame.err != nil:
		s.over = s.broken(unexpected(frame.err))
	case frame.kind == frameEnd:
		s.over = io.EOF
	case frame.kind != frameMessage:
		s.over = s.broken(errors.Newf("unexpected frame of kind %d", frame.kind))
	default:
		return proto.Unmarshal(frame.payload, m)
	}
	return s.over
}

// Close ends the stream in both directions without an answer.
func (s *serverStream) Close() error {
	s.sendMu.Lock()
	s.ended = true
	s.sendMu.Unlock()
	s.unblock()
	return s.mux.Close()
}

// conclude sends the handler's outcome, unless the handler has closed the stream.
func (s *serverStream) conclude(t *Transport, err error) {
	if err == nil {
		// The handler's last write has told whether the caller is still there.
		_ = s.CloseSend()
		return
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if !s.ended {
		s.ended = true
		t.writeError(s.mux, err)
	}
}

// serveDrain retires the session on this side and confirms that no stream follows.
func (t *Transport) serveDrain(s *session, mux *yamux.Stream) {
	t.retire(s, false)
	ctx, cancel := context.WithTimeout(t.ctx, drainCallTimeout)
	s.waitStarted(ctx)
	cancel()
	frame, err := appendFrame(nil, frameMessage, &emptypb.Empty{}, maxHelloBytes)
	if err == nil {
		_, err = writeAll(mux, frame)
	}
	if err != nil {
		t.log.Debug("drain was not confirmed", zap.Error(err))
	}
}

// askToDrain tells the peer to open no more streams on the session, and waits for its answer.
func (s *session) askToDrain(ctx context.Context) {
	mux, err := s.mux.OpenStream()
	if err != nil {
		return
	}
	s.meter.name(mux.StreamID(), s.meter.other)
	s.streams.add(mux)
	defer s.streams.remove(mux)
	defer closeQuietly(mux)
	deadline, _ := ctx.Deadline()
	s.streams.setDeadline(mux, deadline)
	frame, err := appendFrame(nil, frameHeader, &wire.CallHeader{Service: drainService}, maxHelloBytes)
	if err != nil {
		return
	}
	if _, err := writeAll(mux, frame); err != nil {
		return
	}
	if _, _, err := readFrame(mux, maxHelloBytes); err != nil {
		s.transport.log.Debug("peer has not confirmed the drain", zap.String("peer", s.peer.Instance), zap.Error(err))
	}
}
