package operations

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Names of the peer services.
const (
	serviceDo         = "operations.do"
	serviceHandover   = "operations.handover"
	serviceHeirNotice = "operations.heir_notice"
	serviceHeirQuery  = "operations.heir_query"
)

func (s *Service) register() {
	n := s.o.Network
	n.Handle(serviceDo, s.handleDo)
	n.Handle(serviceHandover, s.handleHandover)
	n.Handle(serviceHeirNotice, peer.Unary(s.handleHeirNotice))
	n.Handle(serviceHeirQuery, peer.Unary(s.handleHeirQuery))
}

// forward sends the request to its owner. Only the owner itself can say "not run" once a byte has left this instance.
func (s *Service) forward(ctx context.Context, c call, owner string) Outcome {
	if c.forward == nil {
		return notRun(http.StatusServiceUnavailable, CodeOwnerAway, "the key is owned by another instance", retrySoon)
	}
	if len(c.forward.Body) > maxForwardedBody {
		return bodyTooLarge()
	}
	req := &wire.OperationDoRequest{
		Organisation: c.organisation,
		Key:          c.key.Canonical,
		Digest:       c.digest[:],
		Route:        c.forward.Route,
		Method:       c.forward.Method,
		Path:         c.forward.Path,
		ContentType:  []byte(c.forward.ContentType),
		Body:         firstPart(c.forward.Body),
		BodyBytes:    int64(len(c.forward.Body)),
	}
	resp, err := s.exchange(ctx, owner, req, c.forward.Body)
	switch {
	case resp == nil:
		return forwardFailed(err)
	case err != nil:
		return answerCut(resp)
	}
	return decodeOutcome(resp)
}

// exchange sends the request and returns the owner's response with its whole answer. An error beside a response says
// that the answer is not complete.
func (s *Service) exchange(ctx context.Context, owner string, req *wire.OperationDoRequest, body []byte) (*wire.OperationDoResponse, error) {
	stream, err := s.o.Network.Open(ctx, owner, serviceDo)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if err := stream.Send(req); err != nil {
		return nil, err
	}
	if err := sendRest(stream, body); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	resp := &wire.OperationDoResponse{}
	if err := stream.Recv(resp); err != nil {
		return nil, err
	}
	if a := resp.GetAnswer(); a != nil {
		a.Body, err = receiveRest(stream, a.GetBody(), a.GetBodyBytes())
	}
	return resp, err
}

// answerCut returns the outcome of an owner whose answer did not come whole. Its word on the execution holds.
func answerCut(resp *wire.OperationDoResponse) Outcome {
	return Outcome{
		Execution:  decodeExecution(resp.GetExecution()),
		Status:     http.StatusBadGateway,
		Code:       CodeAnswerCut,
		Message:    "the link to the owner of the key broke within the answer",
		RetryAfter: retrySoon,
		Repeat:     resp.GetRepeat(),
	}
}

func bodyTooLarge() Outcome {
	return notRun(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is too large for the owner of the key", 0)
}

func forwardFailed(err error) Outcome {
	if errors.Is(err, peer.ErrUnknownPeer) {
		return notRun(http.StatusServiceUnavailable, codeUnlisted, "the owner of the key has no known address", retrySoon)
	}
	if errors.Is(err, peer.ErrNotSent) {
		return notRun(http.StatusServiceUnavailable, CodeOwnerAway, "the owner of the key cannot be reached", retrySoon)
	}
	var remote *peer.RemoteError
	if errors.As(err, &remote) && handlerNotRun(remote.Code) {
		return notRun(http.StatusServiceUnavailable, CodeOwnerAway, "the owner of the key takes no calls at present", retrySoon)
	}
	o := unknown(http.StatusBadGateway, CodeUnknown, "the link to the owner of the key broke before its answer came")
	o.RetryAfter = retrySoon
	return o
}

// handlerNotRun reports whether the peer itself says with the code that its handler has not run.
func handlerNotRun(code string) bool {
	return code == peer.CodeUnknownService || code == peer.CodeOverloaded || code == peer.CodeBadHeader
}

// handleDo runs a forwarded request, or refuses it if this instance is not the key's owner. It never forwards it again.
func (s *Service) handleDo(ctx context.Context, from peer.Identity, stream peer.Stream) error {
	req := &wire.OperationDoRequest{}
	if err := stream.Recv(req); err != nil {
		return err
	}
	if req.GetBodyBytes() > maxForwardedBody {
		return stream.Send(encodeOutcome(bodyTooLarge()))
	}
	var err error
	if req.Body, err = receiveRest(stream, req.GetBody(), req.GetBodyBytes()); err != nil {
		return err
	}
	o := s.doForwarded(ctx, from, req)
	if err := stream.Send(encodeOutcome(o)); err != nil {
		return err
	}
	if o.Answer == nil {
		return nil
	}
	return sendRest(stream, o.Answer.Body)
}

func (s *Service) doForwarded(ctx context.Context, from peer.Identity, req *wire.OperationDoRequest) Outcome {
	key, err := s.secrets.ParseKey(req.GetOrganisation(), req.GetKey())
	if err != nil || len(req.GetDigest()) != len(call{}.digest) {
		return notRun(http.StatusBadRequest, CodeMalformedKey, "the forwarded key is not valid at its owner", 0)
	}
	c := call{organisation: req.GetOrganisation(), key: key, digest: [32]byte(req.GetDigest())}
	f := &ForwardedRequest{
		Route:       req.GetRoute(),
		Method:      req.GetMethod(),
		Path:        req.GetPath(),
		ContentType: string(req.GetContentType()),
		Body:        req.GetBody(),
	}
	c.run = func(ctx context.Context) (*Answer, Execution, error) {
		return s.o.Runner.RunForwarded(ctx, c.organisation, f)
	}
	if refused := s.refuseRegion(c, from); refused != nil {
		return *refused
	}
	if key.Issued != nil {
		return s.runIssued(ctx, c)
	}
	p, refused := s.placeOf(c)
	if refused != nil {
		return *refused
	}
	return s.runKeyed(ctx, c, p)
}

// refuseRegion refuses a request of a bound organisation that would leave or enter its home over this hop.
func (s *Service) refuseRegion(c call, from peer.Identity) *Outcome {
	org := s.o.Config.View().Organisation(c.organisation)
	if org == nil {
		o := notRun(http.StatusForbidden, CodeOrganisation, "the organisation is not known at the key's owner", retrySoon)
		return &o
	}
	if org.Home != "" && (org.Home != s.region() || org.Home != from.Region) {
		o := notRun(http.StatusMisdirectedRequest, CodeOwnerChanged, "the organisation is bound to another region", 0)
		return &o
	}
	return nil
}

func encodeOutcome(o Outcome) *wire.OperationDoResponse {
	resp := &wire.OperationDoResponse{
		Execution:        encodeExecution(o.Execution),
		Status:           int32(o.Status),
		Code:             o.Code,
		Message:          o.Message,
		RetryAfterMillis: o.RetryAfter.Milliseconds(),
		Repeat:           o.Repeat,
	}
	if o.Answer != nil {
		resp.Answer = &wire.OperationAnswer{
			Status:    int32(o.Answer.Status),
			Body:      firstPart(o.Answer.Body),
			BodyBytes: int64(len(o.Answer.Body)),
		}
		for name, values := range o.Answer.Header {
			h := &wire.OperationHeader{Name: name}
			for _, v := range values {
				h.Values = append(h.Values, []byte(v))
			}
			resp.Answer.Headers = append(resp.Answer.Headers, h)
		}
	}
	return resp
}

func decodeOutcome(resp *wire.OperationDoResponse) Outcome {
	o := Outcome{
		Execution:  decodeExecution(resp.GetExecution()),
		Status:     int(resp.GetStatus()),
		Code:       resp.GetCode(),
		Message:    resp.GetMessage(),
		RetryAfter: time.Duration(resp.GetRetryAfterMillis()) * time.Millisecond,
		Repeat:     resp.GetRepeat(),
	}
	if a := resp.GetAnswer(); a != nil {
		o.Answer = &Answer{Status: int(a.GetStatus()), Header: http.Header{}, Body: a.GetBody()}
		for _, h := range a.GetHeaders() {
			for _, v := range h.GetValues() {
				o.Answer.Header[h.GetName()] = append(o.Answer.Header[h.GetName()], string(v))
			}
		}
	}
	return o
}

func encodeExecution(e Execution) wire.OperationExecution {
	switch e {
	case NotRun:
		return wire.OperationExecution_OPERATION_EXECUTION_NOT_RUN
	case Ran:
		return wire.OperationExecution_OPERATION_EXECUTION_RAN
	default:
		return wire.OperationExecution_OPERATION_EXECUTION_UNKNOWN
	}
}

func decodeExecution(e wire.OperationExecution) Execution {
	switch e {
	case wire.OperationExecution_OPERATION_EXECUTION_NOT_RUN:
		return NotRun
	case wire.OperationExecution_OPERATION_EXECUTION_RAN:
		return Ran
	default:
		return Unknown
	}
}

// runIssued runs a request with an issued id if this instance answers for its incarnation.
func (s *Service) runIssued(ctx context.Context, c call) Outcome {
	if !s.holds(c.key.Issued.GetIncarnation()) {
		return notRun(http.StatusServiceUnavailable, codeNotHolder, "the instance does not hold the records of this id", retrySoon)
	}
	id, w, refused := s.begin(ctx, c.run)
	if refused != nil {
		return *refused
	}
	s.mu.Lock()
	issuer := s.issued[c.key.Issued.GetIncarnation()]
	action := issuer.Attempt(s.now(), id, atmostonce.IssuedIdent(c.key.Canonical, c.digest), c.key.Time)
	s.mu.Unlock()
	if r, refused := action.(atmostonce.Reply); refused {
		s.deliver(r)
		return s.await(ctx, w, func() {})
	}
	s.send(id, w, func(f atmostonce.Finished) {
		s.mu.Lock()
		r := issuer.Finish(f)
		s.mu.Unlock()
		s.deliver(r)
	})
	return s.await(ctx, w, func() {
		// The request was sent, so that only "unknown" is true until it ends.
		s.deliver(atmostonce.Reply{ID: id, Execution: atmostonce.Unknown, Reason: atmostonce.ReasonCancelled})
	})
}

// doIssued runs a request with an issued id at the instance that answers for the issuer.
func (s *Service) doIssued(ctx context.Context, c call) Outcome {
	id := c.key.Issued
	org := s.o.Config.View().Organisation(c.organisation)
	if org == nil {
		return notRun(http.StatusForbidden, CodeOrganisation, "the organisation is not known at this instance", retrySoon)
	}
	if org.Home != "" && org.Home != id.GetRegion() {
		return unknown(http.StatusConflict, CodeIssuerGone, "the operation id was issued outside the organisation's home region")
	}
	if c.stay && id.GetRegion() != s.region() {
		return otherRegion()
	}
	if s.holds(id.GetIncarnation()) {
		return s.runIssued(ctx, c)
	}
	target := id.GetInstance()
	if h, ok := s.heirs.Get(id.GetIncarnation()); ok {
		target = h.instance
	}
	o := s.forward(ctx, c, target)
	if !untaken(o) {
		return o
	}
	// The instance has not taken the request, so that an heir may.
	s.heirs.Remove(id.GetIncarnation())
	if h, ok := s.findHeir(ctx, id); ok {
		o = s.forward(ctx, c, h.instance)
	}
	switch o.Code {
	case codeNotHolder:
		return issuerGone()
	case codeUnlisted:
		if s.o.Wall().Sub(time.UnixMilli(id.GetIssuedAtMillis())) >= issuerListed {
			return issuerGone()
		}
		o = unknown(http.StatusConflict, CodeIssuerUnknown, "the instance that issued the id is not known here; the request may have run")
		o.RetryAfter = retrySoon
	}
	return o
}

// untaken reports whether a forwarded request was certainly not taken by the instance that was asked.
func untaken(o Outcome) bool {
	return o.Execution == NotRun && (o.Code == codeNotHolder || o.Code == codeUnlisted || o.Code == CodeOwnerAway || o.Code == CodeStopping)
}

// holds reports whether this instance answers for the ids of an incarnation.
func (s *Service) holds(incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	issuer := s.issued[incarnation]
	return issuer != nil && !issuer.HandedOver()
}

func issuerGone() Outcome {
	return unknown(http.StatusConflict, CodeIssuerGone, "the instance that issued the id has ended; the request may have run and is never run again")
}
