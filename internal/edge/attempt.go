package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/fairshare"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
)

// attempt is one try of a request at one endpoint, sent from here or through a remote instance.
type attempt struct {
	id              string // of the caller's request
	service         string
	kind            string // route of the caller's request, empty for an attempt for another instance
	organisation    string
	method          string
	uri             string
	host            string
	header          http.Header // as sent to the endpoint, except for what the dialect sets
	body            [][]byte    // in parts, so that a large one is not copied into one buffer
	work            placement.Request
	sharedParts     []uint64 // keys of the prompt parts that other requests may share, of all models alike
	urgency         int      // 0 is the most urgent
	hasUrgency      bool
	onTimeBy        clock.Instant   // when its first output must arrive to be on time
	late            bool            // it is not expected to be on time
	shareLevel      fairshare.Level // how much of its share of this instance's capacity its organisation has used
	shareCounted    bool            // it counts as demand of its organisation here
	promised        bool            // its caller has come back at the time at which it was promised capacity
	freshConnection bool            // needs a connection that an idle time-out will not close: it cannot be sent twice
	lastEventID     string
	deadline        clock.Instant // when the endpoint must have finished
	placeBy         clock.Instant // when an endpoint must have been found
	waitUntil       clock.Instant // until when it waits for an endpoint before other regions are considered again
	excluded        map[string]bool
	queuedSince     clock.Instant // when it began to wait for an endpoint, 0 if it does not wait
	waited          time.Duration // for the last endpoint
	sent            sentTo        // of the last try here
}

// lateUrgency is added to the urgency of requests that are late already, so that engines begin with those that can be on time.
const lateUrgency = 3

func (a *attempt) endpointUrgency() int {
	if a.late {
		return a.urgency + lateUrgency
	}
	return a.urgency
}

// failureKind says how an attempt without an answer ended.
type failureKind string

// Kinds of failures. Only the first four guarantee that the request has not run.
const (
	notPlaced failureKind = "not-placed" // no endpoint could take it
	notSent   failureKind = "not-sent"   // no byte has reached the endpoint
	notRun    failureKind = "not-run"    // the endpoint has declined it
	blocked   failureKind = "blocked"    // it was not sent, since a part of its prompt is blocked
	broken    failureKind = "broken"     // the connection broke; the request may have run
	badAnswer failureKind = "bad-answer" // what was received is not the answer to the request, which may have run
)

// mayHaveRun reports whether the request may have run.
func (k failureKind) mayHaveRun() bool {
	return k != notPlaced && k != notSent && k != notRun && k != blocked
}

// mayHaveArrived reports whether the request may have arrived at an endpoint, which may have declined it.
func (k failureKind) mayHaveArrived() bool { return k == notRun || k.mayHaveRun() }

// failure describes an attempt without an answer.
type failure struct {
	kind       failureKind
	endpoint   string // the one that was tried; empty for notPlaced
	reason     string
	region     string        // in which the attempt was made
	retryAfter time.Duration // for notPlaced and blocked; for notRun if all endpoints of the region ask for no requests
	part       uint64        // for blocked, 0 through another instance
	final      bool          // no other region is tried
	stopping   bool          // requests in progress here are given up, since the instance ends
	waiting    bool          // an endpoint of this region may still become available
	notice     endpointnotice.Said
}

// reply is the head of an endpoint's answer. Closing the body ends the attempt.
type reply struct {
	status   int
	header   http.Header
	body     io.ReadCloser
	endpoint string
	instance string // the one that sent the request to the endpoint
	// unread and copied are the prompt tokens that the endpoint was expected to process and to copy; 0 through another
	// instance.
	unread, copied float64
	// pace is the pace factor of the engine when it was chosen, 0 if not known. keptFromStreams says that other engines were passed
	// over for the streams there. Neither is known through another instance.
	pace            float64
	keptFromStreams bool
	// limit is the endpoint's when the request was sent; not known through another instance.
	limit knownLimit
	// notice is what the answer asks; not known through another instance.
	notice endpointnotice.Said
}

// sentTo is what was believed of an endpoint when a request was sent to it.
type sentTo struct {
	incarnation  catalog.Incarnation
	rateLimited  bool          // it accepted only a request rate when it was chosen
	connectedFor time.Duration // age of the connection when the answer began, 0 without one
}

// fields returns the log fields of a request that was sent, none if that is not known.
func (s sentTo) fields() []zap.Field {
	if s.incarnation.ID == "" {
		return nil
	}
	return []zap.Field{zap.Int64("endpoint_born", s.incarnation.StartedAtMillis), zap.Bool("rate_limited", s.rateLimited),
		zap.Duration("connected_for", s.connectedFor)}
}

// stoppingReason is what callers are told of a request that was not sent since the instance ends.
const stoppingReason = "instance is stopping"

// stoppingFailure is the failure of a request that was not sent since requests in progress are given up.
func stoppingFailure() *failure {
	return &failure{kind: notPlaced, reason: stoppingReason, retryAfter: minRetryAfter, final: true, stopping: true}
}

// attemptLocal waits for an endpoint of this region and sends it the request.
func (e *Edge) attemptLocal(ctx context.Context, a *attempt) (*reply, *failure) {
	if v := e.guard.check(e.clock.Now(), a.sharedParts); v.Blocked {
		e.metrics.rejectedForPart()
		return nil, blockedFailure(v)
	}
	chosen, reason := e.pools.place(ctx, a)
	if reason == instanceStopping {
		return nil, stoppingFailure()
	}
	if reason != "" {
		return nil, &failure{kind: notPlaced, reason: string(reason), retryAfter: e.retryAfter(a.service)}
	}
	endpoint := chosen.Endpoint
	handedOver := false // to the body of the answer, whose Close ends the request at the endpoint
	result := resultNone
	defer func() {
		if !handedOver {
			e.pools.release(a.service, endpoint, a.work.ID, result)
		}
	}()
	left := a.deadline.Sub(e.clock.Now())
	if left <= 0 {
		return nil, &failure{kind: notPlaced, reason: "deadline", retryAfter: e.retryAfter(a.service)}
	}
	// The wait for an endpoint may have lasted longer than others needed to learn of a crash.
	if v := e.guard.admit(e.clock.Now(), a.sharedParts); v.Blocked {
		e.metrics.rejectedForPart()
		return nil, blockedFailure(v)
	}
	header := a.header.Clone()
	e.options.Dialect.SetEndpointHeaders(header, EndpointHead{
		Endpoint: chosen.ID, Organisation: a.organisation, Deadline: left, LastEventID: a.lastEventID, CopyFrom: chosen.CopyFrom,
		Urgency: a.endpointUrgency(), HasUrgency: a.hasUrgency,
	})
	if chosen.KeptFromStreams {
		e.metrics.keptFromStreams()
	}
	sentAt := e.clock.Now()
	a.sent = sentTo{incarnation: chosen.Incarnation, rateLimited: chosen.RateLimited}
	limit := e.pools.limitOf(chosen.Incarnation)
	if limit.limited {
		e.metrics.sentToLimited()
	}
	resp, head, err := e.send(ctx, chosen.Incarnation, chosen.Addr, &endpointconn.Request{
		ID: a.id, Method: a.method, URI: a.uri, Host: a.host, Header: header, Parts: a.body, FreshConnection: a.freshConnection,
		OnIdleClosed: func() { e.suspectRestart(a, chosen.Incarnation, chosen.Addr, "idle connection closed by the endpoint") },
	}, func() bool { return e.pools.mayReceive(a.service, chosen) })
	if errors.Is(err, errStopping) {
		return nil, stoppingFailure()
	}
	if errors.Is(err, errWithheld) {
		handedOver = true
		e.pools.release(a.service, endpoint, a.work.ID, resultNone)
		return e.attemptLocal(ctx, a) // at another endpoint, if there is one
	}
	if err != nil {
		var f *failure
		f, result = e.sendFailure(ctx, a, chosen, sentAt, err)
		return nil, f
	}
	a.sent.connectedFor = resp.ConnectedFor
	e.observeLimit(a.id, chosen.Incarnation, resp.Status, head, sentAt)
	if resp.Status == http.StatusMisdirectedRequest {
		e.state.recordMisdirected(chosen.Incarnation, chosen.Addr)
	}
	if resp.Status != http.StatusMisdirectedRequest { // else another endpoint than the one that was meant has sent it
		e.observeLoad(a.id, a.service, endpoint, chosen.ID, head.Load)
	}
	if head.ColdFor > 0 {
		e.pools.recordCold(endpoint, head.ColdFor)
	}
	r := &reply{status: resp.Status, header: resp.Header, endpoint: chosen.ID, instance: e.options.Self.Instance, unread: chosen.PrefillTokens, copied: chosen.CopiedTokens,
		pace: chosen.Pace, keptFromStreams: chosen.KeptFromStreams, limit: limit, notice: head.Notice}
	body := &endpointBody{ReadCloser: resp.Body, ctx: ctx, edge: e, attempt: a, endpoint: endpoint, incarnation: chosen.Incarnation, addr: chosen.Addr, sentAt: sentAt,
		connectedAt: e.clock.Now().Add(-resp.ConnectedFor), open: resp.Open,
		succeeds: resp.Status < http.StatusMultipleChoices && head.Signed, framed: resp.Framed, result: healthResultOf(resp.Status, head)}
	r.body, handedOver = body, true
	if kind, reason := classifyAnswer(resp.Status, resp.Header, head); kind != "" {
		discardBody(body)
		f := &failure{kind: kind, endpoint: chosen.ID, reason: reason, notice: head.Notice}
		if sum := e.pools.loadFor(&attempt{service: a.service}); kind == notRun && sum.Usable == 0 && sum.Withheld > 0 {
			f.retryAfter = e.unavailableRetryAfter(a.service)
		}
		return nil, f
	}
	return r, nil
}

// classifyAnswer returns an empty kind if an endpoint's answer can be passed on to the caller, or else the kind of failure and
// its reason.
func classifyAnswer(status int, h http.Header, head AnswerHead) (failureKind, string) {
	switch {
	case head.NotRun:
		return notRun, "endpoint declined with " + http.StatusText(status)
	case promisesNotRun(status):
		return badAnswer, "endpoint answered with " + http.StatusText(status) + " but does not state that the request has not run"
	case status < http.StatusMultipleChoices && !head.Signed:
		return badAnswer, "success without the endpoint's signature"
	case h.Get("Content-Encoding") != "":
		return badAnswer, "answer with an encoding that was not asked for"
	}
	return "", ""
}

// promisesNotRun reports whether a status promises a caller that its request has not run and never will. An endpoint makes that promise
// only with AnswerHead.NotRun, so its status alone must not be passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// healthResultOf returns what an answer shows about the health of its endpoint.
func healthResultOf(status int, head AnswerHead) healthResult {
	switch {
	case head.NotRun && status == http.StatusMisdirectedRequest:
		return resultUnreachable // another endpoint has its address
	case head.NotRun:
		return resultNone // it is full, which its load shows
	case status >= http.StatusInternalServerError:
		return resultFailed
	}
	return resultSucceeded
}

// sendFailure classifies the error of an attempt that failed before an answer began, and returns what it shows about the endpoint.
func (e *Edge) sendFailure(ctx context.Context, a *attempt, chosen placement.Choice, sentAt clock.Instant, err error) (*failure, healthResult) {
	f := &failure{kind: broken, endpoint: chosen.ID, reason: err.Error()}
	v := resultFailed
	switch {
	case ctx.Err() != nil:
		v = resultNone
		f.reason = ctx.Err().Error()
		if errors.Is(err, endpointconn.ErrNotSent) {
			f.kind = notSent
		}
	case errors.Is(err, endpointconn.ErrNotSent):
		f.kind = notSent
		v = resultUnreachable
	case errors.Is(err, endpointconn.ErrBadAnswer):
		f.kind = badAnswer
	case errors.Is(err, syscall.ETIMEDOUT):
		// The kernel has given up the connection. A reset or close, in contrast, comes from an endpoint that is alive.
		v = resultUnreachable
	}
	if v == resultUnreachable {
		e.conns.CloseIdle(chosen.Addr)
	}
	if (f.kind == broken || f.kind == notSent) && ctx.Err() == nil {
		e.suspectRestart(a, chosen.Incarnation, chosen.Addr, f.reason)
	}
	if f.kind == broken && ctx.Err() == nil {
		e.examineBroken(a, chosen.Incarnation, chosen.Addr, sentAt, false, f.reason)
	}
	return f, v
}

// maxDiscarded bounds how much is read of an answer that is not used, so that its connection can be reused.
const maxDiscarded = 64 << 10

func discardBody(body io.ReadCloser) {
	// A connection whose answer cannot be read to its end is closed.
	_, _ = io.CopyN(io.Discard, body, maxDiscarded)
	_ = body.Close()
}

// endpointBody is the body of an endpoint's answer. Reading and closing it records the first output, the pace and the end of
// the request in the pools.
type endpointBody struct {
	io.ReadCloser
	ctx      context.Context // of the attempt
	edge     *Edge
	attempt  *attempt
	endpoint *placement.Endpoint // its description may be replaced at any time
	// incarnation and addr are those that the request was sent to.
	incarnation catalog.Incarnation
	addr        string
	sentAt      clock.Instant
	connectedAt clock.Instant // when its connection was opened
	open        func() bool   // whether the endpoint has not closed the connection yet
	succeeds    bool          // the head is that of a success
	framed      bool          // its end is known by a length or by chunks
	life        lifeDetector
	result      healthResult
	begun       bool
	lastOutput  clock.Instant // of the last output
	ended       bool          // the end of the answer was recorded
	closed      bool
}

func (b *endpointBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.recordOutput(p[:n])
		if b.life.read(p[:n]) {
			b.recordLife()
		}
	}
	if err != nil && err != io.EOF {
		b.result = resultFailed
		if b.ctx.Err() != nil {
			b.result = resultNone
		} else {
			b.edge.suspectRestart(b.attempt, b.incarnation, b.addr, "answer: "+err.Error())
		}
	}
	if err != nil {
		b.recordEnd(err)
	}
	return n, err
}

// recordLife records that the endpoint can run the request.
func (b *endpointBody) recordLife() {
	hasPrompt := len(b.attempt.sharedParts) > 0 || len(b.attempt.work.Parts) > 0
	if b.succeeds && hasPrompt {
		b.edge.guard.recordLife(b.edge.clock.Now(), b.attempt.sharedParts)
	}
}

// errGivenUp is the end of an answer that is closed before it was read to its end.
var errGivenUp = errors.New("given up")

// recordEnd examines an answer that has ended without sign of life. The end of one without length or chunks may be that of its endpoint. A
// caller that leaves once the answer has begun may do so a moment before the endpoint crashes on its request.
func (b *endpointBody) recordEnd(err error) {
	if b.ended || b.life.alive {
		return
	}
	b.ended = true
	givenUp := err == errGivenUp || b.ctx.Err() != nil
	switch {
	case err == io.EOF && b.framed:
		b.recordLife()
	case b.begun || !givenUp:
		b.edge.examineBroken(b.attempt, b.incarnation, b.addr, b.sentAt, givenUp, "answer: "+err.Error())
	}
}

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// recordOutput records the first output of the request, and the pace of the engine after that.
func (b *endpointBody) recordOutput(part []byte) {
	now := b.edge.clock.Now()
	b.edge.recordContinuity(b)
	if !b.begun {
		b.begun = true
		b.edge.pools.recordStart(b.attempt.service, b.endpoint, b.attempt.work.ID)
	} else if events := bytes.Count(part, eventEnd); events > 0 {
		b.edge.pools.recordEvents(b.attempt.service, b.endpoint, now.Sub(b.lastOutput), events)
	}
	b.lastOutput = now
}

// Close ends the attempt. It is called once the answer is complete, has failed or is no longer needed.
func (b *endpointBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	defer func() {
		b.edge.pools.release(b.attempt.service, b.endpoint, b.attempt.work.ID, b.result)
		if b.begun {
			b.edge.pools.recordHeld(b.attempt, b.edge.clock.Now().Sub(b.sentAt))
		}
	}()
	b.recordEnd(errGivenUp)
	return b.ReadCloser.Close()
}
