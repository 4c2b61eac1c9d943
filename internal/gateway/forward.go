package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// forwardService is the name of the peer service that serves requests of remote regions.
const forwardService = "forward"

// bodyPartSize is the largest part of a body in one message, in bytes.
const bodyPartSize = 32 << 10

// answerSink receives the parts of a forwarded request's answer. A part whose function is nil is an error.
type answerSink struct {
	head  func(*wire.ForwardAnswerHead) error
	body  func([]byte) error
	event func([]byte) error
}

// forward sends a request to a remote instance and passes the answer to sink. It returns the end message of a complete answer, or
// a *dispatch.Error. check, if set, is called before the request is sent, and its error is returned. The request is sent at most once.
func (g *Gateway) forward(c *call, instance string, head *wire.ForwardHead, body []byte, check func() error, sink answerSink) (*wire.ForwardEnd, error) {
	head.Organisation, head.KeyId, head.RequestId = c.organisation(), c.keyID, c.id
	head.BodyBytes, head.Revision = int64(len(body)), c.view.Revision()
	s, err := g.opts.Network.Open(c.ctx, instance, forwardService)
	if err != nil {
		return nil, g.forwardError(c, err, operations.NotRun)
	}
	defer s.Close()
	if check != nil {
		if err := check(); err != nil {
			return nil, err
		}
	}
	// The peer may reject the request before it has read the body. Sending the body would then fill the stream's window and
	// block. So the body is sent in a goroutine while the answer is read, and the end of the answer ends both.
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = sendRequest(s, head, body) // receive returns an error for a broken stream, too
	}()
	end, err := g.receive(c, s, sink)
	s.Close()
	<-sent
	return end, err
}

func sendRequest(s peer.Stream, head *wire.ForwardHead, body []byte) error {
	if err := s.Send(&wire.ForwardRequest{Part: &wire.ForwardRequest_Head{Head: head}}); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), bodyPartSize)
		if err := s.Send(&wire.ForwardRequest{Part: &wire.ForwardRequest_Body{Body: body[:n]}}); err != nil {
			return err
		}
		body = body[n:]
	}
	return s.CloseSend()
}

// receive reads an answer until its end message.
func (g *Gateway) receive(c *call, s peer.Stream, sink answerSink) (*wire.ForwardEnd, error) {
	for {
		var m wire.ForwardResponse
		if err := s.Recv(&m); err != nil {
			return nil, g.forwardError(c, err, executionOf(err))
		}
		if err := context.Cause(c.ctx); err != nil {
			return nil, g.forwardError(c, err, operations.Unknown) // nothing is sent to the caller after its key was withdrawn
		}
		var err error
		switch part := m.Part.(type) {
		case *wire.ForwardResponse_Head:
			err = deliver(sink.head, part.Head)
		case *wire.ForwardResponse_Body:
			err = deliver(sink.body, part.Body)
		case *wire.ForwardResponse_Event:
			err = deliver(sink.event, part.Event)
		case *wire.ForwardResponse_End:
			if part.End.Code != "" {
				return nil, rejectionError(part.End)
			}
			return part.End, nil
		}
		if err != nil {
			return nil, g.forwardError(c, err, operations.Unknown)
		}
	}
}

// executionOf returns whether a forwarded request whose stream failed has run. Once it was sent, only the peer can report that it has
// not run: with a code for calls that are rejected before they reach a handler.
func executionOf(err error) operations.Execution {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case peer.CodeOverloaded, peer.CodeUnknownService, peer.CodeBadHeader:
			return operations.NotRun
		}
	}
	return operations.Unknown
}

var errUnexpectedPart = errors.New("the peer's answer has another form than the request asks for")

func deliver[T any](f func(T) error, v T) error {
	if f == nil {
		return errUnexpectedPart
	}
	return f(v)
}

// codeRegionUnreachable is the error code for a connection to a remote region that failed before the answer was complete.
const codeRegionUnreachable = "region_unreachable"

// forwardError returns the error of a forwarded request whose stream failed with err.
func (g *Gateway) forwardError(c *call, err error, ex operations.Execution) error {
	var e *dispatch.Error
	if cause := context.Cause(c.ctx); errors.As(cause, &e) || errors.As(err, &e) {
		out := *e
		out.Execution = ex
		return &out
	}
	status := http.StatusBadGateway
	if ex == operations.NotRun {
		status = http.StatusServiceUnavailable
	}
	return &dispatch.Error{
		Status: status, Code: codeRegionUnreachable, Message: "the other region gave no complete answer", RetryAfter: time.Second,
		Execution: ex,
	}
}

// rejectionError converts a peer's error to a *dispatch.Error. A status that is no HTTP error is replaced by 502.
func rejectionError(end *wire.ForwardEnd) error {
	ex := operations.Execution(end.Execution)
	if ex != operations.NotRun && ex != operations.Ran {
		ex = operations.Unknown
	}
	status := int(end.Status)
	if status < http.StatusBadRequest || status > 599 {
		status = http.StatusBadGateway
	}
	return &dispatch.Error{
		Status: status, Code: end.Code, Message: end.Message, RetryAfter: time.Duration(end.RetryAfterNanos), Execution: ex,
	}
}

func (g *Gateway) modelForwardHead(mc *dispatch.ModelCall, stream bool) *wire.ForwardHead {
	return &wire.ForwardHead{Method: http.MethodPost, Path: mc.Path, Relief: !mc.LocalFailed && g.opts.Dispatcher.ServesModel(mc.Model), Model: &wire.ModelCall{
		Model: mc.Model, Stream: stream, PromptTokens: mc.PromptTokens, MaxTokens: mc.MaxTokens,
		Blocks: mc.PrefixBlocks, SingleChoice: mc.Progress.SingleChoice,
	}}
}

func (g *Gateway) forwardStream(c *call, instance string, mc *dispatch.ModelCall, sink func([]byte) error) error {
	if err := mc.Progress.BeginAttempt(); err != nil {
		return err
	}
	_, err := g.forward(c, instance, g.modelForwardHead(mc, true), mc.Body, mc.BeforeSend, answerSink{event: func(data []byte) error {
		out, err := mc.Progress.Accept(data)
		if err != nil || out == nil {
			return err
		}
		return sink(out)
	}})
	return err
}

func (g *Gateway) forwardPlain(c *call, instance string, mc *dispatch.ModelCall) (*operations.Answer, dispatch.Usage, error) {
	a, end, err := g.forwardUnary(c, instance, g.modelForwardHead(mc, false), mc.Body, mc.BeforeSend)
	if err != nil {
		return nil, dispatch.Usage{}, err
	}
	return a, dispatch.Usage{PromptTokens: end.PromptTokens, OutputTokens: end.OutputTokens, Known: end.UsageKnown}, nil
}

func (g *Gateway) forwardService(c *call, instance, route string, sc *dispatch.ServiceCall) (*operations.Answer, operations.Execution, error) {
	head := &wire.ForwardHead{
		Route: route, Method: sc.Method, Path: sc.Path, ContentType: []byte(sc.ContentType), Accept: []byte(sc.Accept),
	}
	a, _, err := g.forwardUnary(c, instance, head, sc.Body, sc.BeforeSend)
	if err != nil {
		return nil, asAPIError(err).Execution, err
	}
	return a, operations.Ran, nil
}

// maxForwardedAnswer bounds the body of a non-streamed answer of a remote region, in bytes.
const maxForwardedAnswer = 8 << 20

// forwardUnary forwards a request and returns its answer, which is not streamed.
func (g *Gateway) forwardUnary(c *call, instance string, head *wire.ForwardHead, body []byte, check func() error) (*operations.Answer, *wire.ForwardEnd, error) {
	var a *operations.Answer
	sink := answerSink{
		head: func(h *wire.ForwardAnswerHead) error {
			if h.Status < http.StatusOK || h.Status > operations.MaxStatus {
				return errors.Newf("answer through another instance has status %d", h.Status)
			}
			a = &operations.Answer{Status: int(h.Status), Header: http.Header{}}
			for _, kv := range h.Headers {
				a.Header.Add(kv.Name, string(kv.Value))
			}
			return nil
		},
		body: func(part []byte) error {
			if a == nil || len(a.Body)+len(part) > maxForwardedAnswer {
				return errUnexpectedPart
			}
			a.Body = append(a.Body, part...)
			return nil
		},
	}
	end, err := g.forward(c, instance, head, body, check, sink)
	if err == nil && a == nil {
		err = g.forwardError(c, errUnexpectedPart, operations.Unknown)
	}
	if err != nil {
		return nil, nil, err
	}
	return a, end, nil
}

// maxReliefWait is the longest expected wait at which this region still accepts requests from a region that could serve them itself.
// The sender decided by an older summary, and a request that returns to it has spent two network latencies.
const maxReliefWait = 200 * time.Millisecond

// serveForward serves a request forwarded by a remote region at endpoints of this region. It never forwards it further.
func (g *Gateway) serveForward(ctx context.Context, from peer.Identity, s peer.Stream) error {
	g.forwardedRequests.add()
	defer g.forwardedRequests.done()
	end, err := g.receiveForward(ctx, from, s)
	if err != nil {
		e := asAPIError(err)
		end = &wire.ForwardEnd{
			Execution: string(e.Execution), Status: int32(e.Status), Code: cmp.Or(e.Code, "failed"), Message: e.Message,
			RetryAfterNanos: int64(e.RetryAfter),
		}
	}
	if err := s.Send(&wire.ForwardResponse{Part: &wire.ForwardResponse_End{End: end}}); err != nil {
		return err
	}
	return s.CloseSend()
}

func (g *Gateway) receiveForward(ctx context.Context, from peer.Identity, s peer.Stream) (*wire.ForwardEnd, error) {
	var m wire.ForwardRequest
	if err := s.Recv(&m); err != nil {
		return nil, notRunError(http.StatusBadRequest, "invalid_forward", "the request has no head")
	}
	head := m.GetHead()
	if head == nil {
		return nil, notRunError(http.StatusBadRequest, "invalid_forward", "the request has no head")
	}
	c, limit, deadline, err := g.acceptForward(from, head)
	if err != nil {
		return nil, err
	}
	if head.BodyBytes < 0 || head.BodyBytes > limit {
		return nil, tooLarge()
	}
	if !g.bodies.TryAcquire(head.BodyBytes) {
		return nil, notRunError(http.StatusServiceUnavailable, "overloaded", "too many requests are being read").after(time.Second)
	}
	defer g.bodies.Release(head.BodyBytes)
	body, err := receiveBody(s, head.BodyBytes)
	if err != nil {
		return nil, err
	}
	end, err := c.begin(ctx, deadline)
	if err != nil {
		return nil, err
	}
	defer end()
	if head.Model != nil {
		return g.runForwardedModel(c, head, body, s)
	}
	return g.runForwardedService(c, head, body, s)
}

// acceptForward checks a forwarded request against the configuration in force on this instance, whatever the sender's is. It also
// returns the limit of the body in bytes and the time limit of the request.
func (g *Gateway) acceptForward(from peer.Identity, head *wire.ForwardHead) (c *call, limit int64, deadline time.Duration, err *apiError) {
	if g.draining.Load() {
		return nil, 0, 0, notRunError(http.StatusServiceUnavailable, "declined", "the instance is stopping").after(time.Second)
	}
	v := g.opts.Source.View()
	c = &call{g: g, id: newID(), view: v, keyID: head.KeyId, fromRegion: from.Region}
	limit, deadline = g.opts.MaxModelBody, g.opts.ModelDeadline
	open := false
	if head.Model == nil {
		route := findRoute(v.General(), head.Route)
		if route == nil || route.Method != head.Method {
			return nil, 0, 0, notRunError(http.StatusServiceUnavailable, "declined", "the route is not known here").after(staleViewRetry)
		}
		service := findService(v.General(), route.Service)
		c.homeBound, open = service != nil && service.HomeBound, route.Open
		limit, deadline = cmp.Or(route.BodyLimit, g.opts.MaxServiceBody), cmp.Or(route.Deadline, g.opts.ServiceDeadline)
	}
	if !open {
		c.org = v.Organisation(head.Organisation)
		if c.org == nil || head.KeyId == "" {
			return nil, 0, 0, notRunError(http.StatusServiceUnavailable, "declined", "the organisation is not known here").after(staleViewRetry)
		}
	}
	if c.homeBound && from.Region != g.opts.Region {
		return nil, 0, 0, errWrongRegion
	}
	if err := c.permitted(v); err != nil {
		return nil, 0, 0, err
	}
	return c, limit, deadline, nil
}

func receiveBody(s peer.Stream, size int64) ([]byte, *apiError) {
	incomplete := notRunError(http.StatusBadRequest, "body_incomplete", "the forwarded body is not whole")
	body := make([]byte, 0, size)
	for {
		var m wire.ForwardRequest
		err := s.Recv(&m)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || int64(len(body)+len(m.GetBody())) > size {
			return nil, incomplete
		}
		body = append(body, m.GetBody()...)
	}
	if int64(len(body)) != size {
		return nil, incomplete
	}
	return body, nil
}

func (g *Gateway) runForwardedModel(c *call, head *wire.ForwardHead, body []byte, s peer.Stream) (*wire.ForwardEnd, error) {
	m := findModel(c.view.General(), head.Model.Model)
	if m == nil || !g.opts.Dispatcher.ServesModel(m.Name) {
		return nil, notRunError(http.StatusServiceUnavailable, "declined", "no endpoint here serves the model").after(time.Second)
	}
	tokens := float64(head.Model.PromptTokens + head.Model.MaxTokens)
	if head.Relief && g.opts.Dispatcher.EstimateWait(m.Name, c.org.Name, c.org.Weight, classOf(m, head.Model.PromptTokens), tokens) > maxReliefWait {
		return nil, notRunError(http.StatusServiceUnavailable, "declined", "requests already wait here").after(time.Second)
	}
	if head.Path != modelPaths[chatCompletion] && head.Path != modelPaths[textCompletion] {
		return nil, notRunError(http.StatusBadRequest, "invalid_forward", "the path is no model path")
	}
	mc := &dispatch.ModelCall{
		ID: c.id, Organisation: c.org.Name, Weight: c.org.Weight, Model: m.Name, Path: head.Path, Body: body,
		PromptTokens: head.Model.PromptTokens, MaxTokens: head.Model.MaxTokens, PrefixBlocks: head.Model.Blocks,
		Class: classOf(m, head.Model.PromptTokens), BeforeSend: c.beforeSend,
		Progress: &dispatch.Progress{SingleChoice: head.Model.SingleChoice},
	}
	if !head.Model.Stream {
		a, usage, err := g.opts.Dispatcher.Complete(c.ctx, mc)
		if err != nil {
			return nil, err
		}
		return sendAnswer(s, a, usage)
	}
	err := g.opts.Dispatcher.Stream(c.ctx, mc, func(data []byte) error {
		return s.Send(&wire.ForwardResponse{Part: &wire.ForwardResponse_Event{Event: data}})
	})
	if err != nil {
		return nil, err
	}
	p := mc.Progress
	return successEnd(dispatch.Usage{PromptTokens: p.PromptTokens, OutputTokens: p.OutputTokens, Known: p.UsageKnown}), nil
}

func (g *Gateway) runForwardedService(c *call, head *wire.ForwardHead, body []byte, s peer.Stream) (*wire.ForwardEnd, error) {
	route := findRoute(c.view.General(), head.Route)
	sc := &dispatch.ServiceCall{
		ID: c.id, Organisation: c.organisation(), Weight: c.weight(), Service: route.Service, Method: head.Method,
		Path: head.Path, ContentType: string(head.ContentType), Accept: string(head.Accept), Body: body, Idempotent: route.Idempotent,
		BeforeSend: c.beforeSend,
	}
	if !sc.Idempotent {
		sc.BeforeSend = c.beforeSingleSend
	}
	a, _, err := g.opts.Dispatcher.Call(c.ctx, sc)
	if err != nil {
		return nil, err
	}
	return sendAnswer(s, a, dispatch.Usage{})
}

func successEnd(u dispatch.Usage) *wire.ForwardEnd {
	return &wire.ForwardEnd{
		Execution: string(operations.Ran), PromptTokens: u.PromptTokens, OutputTokens: u.OutputTokens, UsageKnown: u.Known,
	}
}

// sendAnswer sends an answer that is not streamed, and returns its end message.
func sendAnswer(s peer.Stream, a *operations.Answer, u dispatch.Usage) (*wire.ForwardEnd, error) {
	head := &wire.ForwardAnswerHead{Status: int32(a.Status)}
	for name, values := range a.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &wire.ForwardHeader{Name: name, Value: []byte(v)})
		}
	}
	if err := s.Send(&wire.ForwardResponse{Part: &wire.ForwardResponse_Head{Head: head}}); err != nil {
		return nil, answerNotDelivered(err)
	}
	for body := a.Body; len(body) > 0; {
		n := min(len(body), bodyPartSize)
		if err := s.Send(&wire.ForwardResponse{Part: &wire.ForwardResponse_Body{Body: body[:n]}}); err != nil {
			return nil, answerNotDelivered(err)
		}
		body = body[n:]
	}
	return successEnd(u), nil
}

func answerNotDelivered(err error) error {
	return &dispatch.Error{
		Status: http.StatusBadGateway, Code: "answer_not_delivered", Message: "the answer could not be sent back: " + strconv.Quote(err.Error()),
		Execution: operations.Ran,
	}
}
