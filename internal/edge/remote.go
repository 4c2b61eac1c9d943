package edge

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// serviceAttempt is the peer service that makes an attempt for an instance of another region. A request that arrives this way
// is never sent on to a third instance.
const serviceAttempt = "edge.attempt"

// serviceTouch is the peer service that does nothing: calling it opens a session.
const serviceTouch = "edge.touch"

func serveTouch(context.Context, peer.Identity, *wire.EdgeDocumentRequest) (proto.Message, error) {
	return &wire.EdgeDocumentRequest{}, nil
}

// connectPartners opens sessions with the remote instances that requests are sent to, so that no request waits for a handshake.
func (e *Edge) connectPartners(ctx context.Context) {
	if !e.isKnownToOthers() {
		return
	}
	connected := make(map[string]bool)
	for _, id := range e.network.Connected() {
		connected[id.Instance] = true
	}
	for _, name := range e.fleet.partnerNames() {
		if connected[name] {
			continue
		}
		e.goroutines.Go(func() {
			if err := e.ping(ctx, name); err != nil {
				e.log.Debug("session with a remote instance could not be opened; trying again", zap.String("peer", name), zap.Error(err))
			}
		})
	}
}

// ping calls an instance and returns an error if it does not answer.
func (e *Edge) ping(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return e.network.Call(ctx, name, serviceTouch, &wire.EdgeDocumentRequest{}, &wire.EdgeDocumentRequest{})
}

// maxAnswerPart is the largest part of an answer that is sent to the calling instance in one message.
const maxAnswerPart = 16 << 10

// attemptRemote makes an attempt through an instance of a remote region.
func (e *Edge) attemptRemote(ctx context.Context, instance string, a *attempt, version int64) (*reply, *failure) {
	release, f := e.reserveSend(a)
	if f != nil {
		return nil, f
	}
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	stream, err := e.network.Open(ctx, instance, serviceAttempt)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // the caller has not left
			e.fleet.markUnreachable(instance)
		}
		cancel()
		return nil, &failure{kind: notSent, reason: "instance " + instance + ": " + err.Error()}
	}
	err = stream.Send(e.encodeAttempt(a, version))
	release()
	if err != nil {
		closeStream(stream, cancel)
		return nil, e.remoteFailure(instance, err)
	}
	var answer wire.EdgeAnswer
	if err := stream.Recv(&answer); err != nil {
		closeStream(stream, cancel)
		return nil, e.remoteFailure(instance, err)
	}
	if end := answer.GetEnd(); end != nil {
		closeStream(stream, cancel)
		return nil, &failure{
			kind: failureKind(end.GetFailure()), endpoint: end.GetEndpoint(), reason: instance + ": " + end.GetReason(),
			retryAfter: min(max(0, time.Duration(end.GetRetryAfterNanos())), maxRemoteRetryAfter),
		}
	}
	head := answer.GetHead()
	if head == nil {
		closeStream(stream, cancel)
		return nil, &failure{kind: badAnswer, reason: "instance " + instance + " has sent an answer without a head"}
	}
	status := int(head.GetStatus())
	if status < http.StatusOK || status > endpointconn.MaxStatus {
		closeStream(stream, cancel)
		return nil, &failure{kind: badAnswer, endpoint: head.GetEndpoint(), reason: "instance " + instance + " has sent an answer with status " + strconv.Itoa(status)}
	}
	return &reply{
		status: status, header: decodeHeaders(head.GetHeaders()), endpoint: head.GetEndpoint(), instance: instance,
		body: &remoteBody{stream: stream, cancel: cancel},
	}, nil
}

// maxRemoteRetryAfter bounds the Retry-After that another instance names: the longest for which endpoints may ask, and its spread.
const maxRemoteRetryAfter = 2 * endpointnotice.MaxWait

// codeStopping marks the error of an instance that ends before the attempt would. It has not sent the request to any endpoint.
const codeStopping = "stopping"

// remoteFailure describes an attempt whose call to the remote instance failed. That instance may have sent the request to an
// endpoint, unless the kind is notSent.
func (e *Edge) remoteFailure(instance string, err error) *failure {
	f := &failure{kind: broken, reason: "instance " + instance + ": " + err.Error()}
	switch {
	case isCode(err, codeStopping):
		f.kind = notSent
		e.fleet.markUnreachable(instance)
	case errors.Is(err, peer.ErrNotSent), isCode(err, peer.CodeOverloaded):
		f.kind = notSent
	}
	return f
}

func closeStream(s peer.Stream, cancel context.CancelFunc) {
	// The outcome of the call is known, so an error of the stream does not matter.
	_ = s.Close()
	cancel()
}

func (e *Edge) encodeAttempt(a *attempt, version int64) *wire.EdgeRequest {
	now := e.clock.Now()
	req := &wire.EdgeRequest{
		Id: []byte(a.id), ConfigurationVersion: version, Organisation: a.organisation, Service: a.service,
		Method: a.method, Uri: []byte(a.uri), Host: []byte(a.host), Headers: encodeHeaders(a.header), Body: slices.Concat(a.body...),
		LeftNanos: int64(a.deadline.Sub(now) - remoteReserve), MaxWaitNanos: int64(a.placeBy.Sub(now)),
		LastEvent: []byte(a.lastEventID), Urgency: int32(a.urgency), HasUrgency: a.hasUrgency, Once: a.freshConnection,
		PromptTokens: a.work.PromptTokens, OutputTokens: a.work.OutputTokens, Late: a.late, MaxPaceNanos: int64(a.work.MaxTokenTime), OnTimeNanos: int64(a.onTimeBy.Sub(now)),
		MaxEventGapNanos: int64(a.work.MaxEventGap),
	}
	for id := range a.excluded {
		req.Excluded = append(req.Excluded, id)
	}
	for _, p := range a.work.Parts {
		req.PartKeys = append(req.PartKeys, p.Key)
		req.PartTokens = append(req.PartTokens, p.Tokens)
	}
	return req
}

// remoteReserve is subtracted from the time of an attempt in a remote region for the way of its answer: one wide-area latency.
const remoteReserve = 80 * time.Millisecond

func encodeHeaders(h http.Header) []*wire.ForwardHeader {
	out := make([]*wire.ForwardHeader, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.ForwardHeader{Name: name, Value: []byte(v)})
		}
	}
	return out
}

func decodeHeaders(list []*wire.ForwardHeader) http.Header {
	h := make(http.Header, len(list))
	for _, v := range list {
		h[v.GetName()] = append(h[v.GetName()], string(v.GetValue()))
	}
	return h
}

// remoteBody is the body of an answer that arrives through another instance.
type remoteBody struct {
	stream peer.Stream
	cancel context.CancelFunc
	rest   []byte
	ended  error
}

// Read returns io.EOF only after the other instance has reported that the answer is complete.
func (b *remoteBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended != nil {
			return 0, b.ended
		}
		var answer wire.EdgeAnswer
		if err := b.stream.Recv(&answer); err != nil {
			b.ended = errors.Wrap(err, "answer through another instance")
			if errors.Is(err, io.EOF) {
				b.ended = io.ErrUnexpectedEOF
			}
			return 0, b.ended
		}
		b.take(&answer)
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *remoteBody) take(answer *wire.EdgeAnswer) {
	end := answer.GetEnd()
	if end == nil {
		b.rest = answer.GetBody()
		return
	}
	b.ended = io.EOF
	if end.GetFailure() != "" {
		b.ended = errors.Newf("answer through another instance: %s", end.GetReason())
	}
}

// Close cancels the rest of the attempt.
func (b *remoteBody) Close() error {
	closeStream(b.stream, b.cancel)
	return nil
}

// serveAttempt makes an attempt for an instance of another region.
func (e *Edge) serveAttempt(ctx context.Context, from peer.Identity, s peer.Stream) error {
	var req wire.EdgeRequest
	if err := s.Recv(&req); err != nil {
		return err
	}
	a := e.decodeAttempt(&req)
	release, err := e.reserveForwarded(a)
	if err != nil {
		return err
	}
	defer release()
	// It counts before the check, so that a stop which has set the end sees every attempt that passed the check.
	e.metrics.forwarded(1)
	defer e.metrics.forwarded(-1)
	if end := clock.Instant(e.forwardedEndsAt.Load()); end > 0 && a.deadline > end {
		e.requestLog.Info("attempt for another instance declined", zap.String("request", a.id), zap.String("peer", from.Instance),
			zap.Duration("beyond_stop", a.deadline.Sub(end)))
		return peer.NewError(codeStopping, "instance is stopping before the request would end")
	}
	began := e.clock.Now()
	endpoint, f, err := e.forwardAnswer(ctx, a, s)
	e.logForwarded(from, a, began, endpoint, f, err)
	return err
}

// forwardAnswer makes an attempt and sends its answer to the calling instance. It returns the endpoint that answered, the failure that the
// calling instance is told, and the error of the stream to that instance.
func (e *Edge) forwardAnswer(ctx context.Context, a *attempt, s peer.Stream) (endpoint string, f *failure, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.deadline.Sub(e.clock.Now()))
	defer cancel()
	keep := context.AfterFunc(e.unanswered, cancel)
	defer keep()
	r, f := e.attemptLocal(ctx, a)
	keep()
	if f != nil && f.stopping {
		return "", f, peer.NewError(codeStopping, stoppingReason) // the calling instance tries another one of this region
	}
	if f != nil {
		return f.endpoint, f, s.Send(encodeFailure(f))
	}
	defer r.body.Close()
	if err := s.Send(&wire.EdgeAnswer{Part: &wire.EdgeAnswer_Head{Head: &wire.EdgeAnswerHead{
		Status: int32(r.status), Headers: encodeHeaders(r.header), Endpoint: r.endpoint,
	}}}); err != nil {
		return r.endpoint, nil, err
	}
	buf := make([]byte, maxAnswerPart)
	for {
		n, err := r.body.Read(buf)
		if n > 0 {
			if err := s.Send(&wire.EdgeAnswer{Part: &wire.EdgeAnswer_Body{Body: buf[:n]}}); err != nil {
				return r.endpoint, nil, err
			}
		}
		if err == io.EOF {
			return r.endpoint, nil, s.Send(&wire.EdgeAnswer{Part: &wire.EdgeAnswer_End{End: &wire.EdgeAnswerEnd{}}})
		}
		if err != nil {
			f := &failure{kind: broken, endpoint: r.endpoint, reason: err.Error()}
			return r.endpoint, f, s.Send(encodeFailure(f))
		}
	}
}

// logForwarded logs how an attempt for another instance has ended.
func (e *Edge) logForwarded(from peer.Identity, a *attempt, began clock.Instant, endpoint string, f *failure, err error) {
	now := e.clock.Now()
	fields := []zap.Field{
		zap.String("request", a.id), zap.String("peer", from.Instance), zap.String("service", a.service), zap.String("endpoint", endpoint),
		zap.Duration("took", now.Sub(began)), zap.Duration("left", a.deadline.Sub(now)), zap.Bool("stopping", e.leaving.Load()),
	}
	switch {
	case f != nil:
		fields = append(fields, zap.String("failure", string(f.kind)), zap.String("reason", f.reason))
	case err != nil:
		fields = append(fields, zap.String("failure", "answer could not be sent to the calling instance"))
	}
	e.requestLog.Info("attempt for another instance", append(append(fields, a.sent.fields()...), zap.Error(err))...)
}

func encodeFailure(f *failure) proto.Message {
	return &wire.EdgeAnswer{Part: &wire.EdgeAnswer_End{End: &wire.EdgeAnswerEnd{
		Failure: string(f.kind), Reason: strings.ToValidUTF8(f.reason, "?"), Endpoint: f.endpoint, RetryAfterNanos: int64(f.retryAfter),
	}}}
}

func (e *Edge) decodeAttempt(req *wire.EdgeRequest) *attempt {
	now := e.clock.Now()
	a := &attempt{
		id: string(req.GetId()), service: req.GetService(), organisation: req.GetOrganisation(),
		method: req.GetMethod(), uri: string(req.GetUri()), host: string(req.GetHost()), header: decodeHeaders(req.GetHeaders()), body: [][]byte{req.GetBody()},
		work: placement.Request{ID: string(req.GetId()), PromptTokens: tokens(req.GetPromptTokens()), OutputTokens: tokens(req.GetOutputTokens()),
			MaxTokenTime: time.Duration(max(0, req.GetMaxPaceNanos())), MaxEventGap: time.Duration(max(0, req.GetMaxEventGapNanos()))},
		urgency: int(req.GetUrgency()), hasUrgency: req.GetHasUrgency(), freshConnection: req.GetOnce(), lastEventID: string(req.GetLastEvent()),
		deadline: now.Add(time.Duration(req.GetLeftNanos())), placeBy: now.Add(time.Duration(req.GetMaxWaitNanos())),
		waitUntil: now.Add(time.Duration(req.GetMaxWaitNanos())),
		late:      req.GetLate(), onTimeBy: now.Add(time.Duration(req.GetOnTimeNanos())),
		excluded: make(map[string]bool, len(req.GetExcluded())),
	}
	for _, id := range req.GetExcluded() {
		a.excluded[id] = true
	}
	// A head that cannot be parsed was rejected by the instance that the caller reached, and has no parts.
	if head, err := e.options.Dialect.ParseRequest(a.header); err == nil {
		a.sharedParts = sharedParts(head.PartIDs)
	}
	partTokens := req.GetPartTokens()
	for i, key := range req.GetPartKeys() {
		if i < len(partTokens) {
			a.work.Parts = append(a.work.Parts, placement.PromptPart{Key: key, Tokens: tokens(partTokens[i])})
		}
	}
	return a
}

// tokens returns a number of tokens of another instance's message within the range that is believed.
func tokens(n float64) float64 { return saturate.Finite(n, 0, placement.MaxTokens) }
