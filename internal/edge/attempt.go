package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/endpointconn"
)

// attempt is one try of a request at one endpoint, here or at an instance of another region.
type attempt struct {
	id           string // of the caller's request
	service      string
	organisation string
	method       string
	uri          string
	host         string
	header       http.Header // as it goes to the endpoint, but for what the dialect sets
	body         []byte
	work         placement.Work
	urgency      int // 0 is first
	hasUrgency   bool
	onTimeBy     clock.Instant // when its first output must come to be on time
	late         bool          // it is not expected to be on time
	once         bool          // must not be lost to an idle time-out
	lastEvent    string
	until        clock.Instant // when the endpoint must have ended
	placeBy      clock.Instant // when it must have been placed
	waitUntil    clock.Instant // until when it waits for a place before it is decided again
	excluded     map[string]bool
}

// lateUrgency is added to the urgency of requests that are late already, so that engines begin with those that can be on time.
const lateUrgency = 3

func (a *attempt) endpointUrgency() int {
	if a.late {
		return a.urgency + lateUrgency
	}
	return a.urgency
}

// failureKind tells how an attempt without an answer has ended.
type failureKind string

// Kinds of failures. Only the first three say that the request has not run.
const (
	notPlaced failureKind = "not-placed" // no endpoint could take it
	notSent   failureKind = "not-sent"   // no byte has reached the endpoint
	notRun    failureKind = "not-run"    // the endpoint has declined it
	broken    failureKind = "broken"     // the connection broke; the request may have run
	badAnswer failureKind = "bad-answer" // what came back is not the request's answer; it may have run
)

// mayHaveRun reports whether the request may have run.
func (k failureKind) mayHaveRun() bool { return k != notPlaced && k != notSent && k != notRun }

// failure is an attempt without an answer.
type failure struct {
	kind       failureKind
	endpoint   string // that was tried; empty for notPlaced
	reason     string
	retryAfter time.Duration // for notPlaced
	final      bool          // no other region is asked
	waiting    bool          // the request may still find a place here
}

// reply is the head of an endpoint's answer. Closing the body ends the attempt.
type reply struct {
	status   int
	header   http.Header
	body     io.ReadCloser
	endpoint string
	instance string // that has sent the request to the endpoint
	// unread and copied are the prompt tokens that the endpoint was expected to read and to copy; 0 through another instance.
	unread, copied float64
}

// attemptHere places a request at an endpoint of this region and sends it.
func (e *Edge) attemptHere(ctx context.Context, a *attempt) (*reply, *failure) {
	chosen, reason := e.pools.place(ctx, a)
	if reason != "" {
		return nil, &failure{kind: notPlaced, reason: string(reason), retryAfter: e.comeBack(a.service)}
	}
	endpoint := chosen.Endpoint
	left := a.until.Sub(e.clock.Now())
	if left <= 0 {
		e.pools.release(a.service, endpoint, a.work.ID, verdictNone)
		return nil, &failure{kind: notPlaced, reason: "deadline", retryAfter: e.comeBack(a.service)}
	}
	header := a.header.Clone()
	e.options.Dialect.ToEndpoint(header, EndpointHead{
		Endpoint: chosen.ID, Organisation: a.organisation, Deadline: left, LastEvent: a.lastEvent, CopyFrom: chosen.CopyFrom,
		Urgency: a.endpointUrgency(), HasUrgency: a.hasUrgency,
	})
	resp, err := e.conns.Do(ctx, chosen.Addr, &endpointconn.Request{
		ID: a.id, Method: a.method, URI: a.uri, Host: a.host, Header: header, Body: a.body, FreshConnection: a.once,
	})
	if err != nil {
		return nil, e.sendFailed(ctx, a, chosen, err)
	}
	head := e.options.Dialect.Answer(resp.Status, resp.Header)
	if head.ColdFor > 0 {
		e.pools.coldFor(endpoint, head.ColdFor)
	}
	r := &reply{status: resp.Status, header: resp.Header, endpoint: chosen.ID, instance: e.options.Self.Instance, unread: chosen.Unread, copied: chosen.Copied}
	body := &endpointBody{ReadCloser: resp.Body, ctx: ctx, edge: e, attempt: a, endpoint: endpoint, verdict: verdictOf(resp.Status, head)}
	r.body = body
	if kind, reason := judge(resp.Status, resp.Header, head); kind != "" {
		drain(body)
		return nil, &failure{kind: kind, endpoint: chosen.ID, reason: reason}
	}
	return r, nil
}

// judge tells whether what an endpoint has sent is an answer to pass on.
func judge(status int, h http.Header, head AnswerHead) (failureKind, string) {
	switch {
	case head.NotRun:
		return notRun, "endpoint declined with " + http.StatusText(status)
	case status < http.StatusMultipleChoices && !head.Signed:
		return badAnswer, "success without the endpoint's signature"
	case h.Get("Content-Encoding") != "":
		return badAnswer, "answer with an encoding that was not asked for"
	}
	return "", ""
}

func verdictOf(status int, head AnswerHead) verdict {
	switch {
	case head.NotRun && status == http.StatusMisdirectedRequest:
		return verdictSilent // another endpoint has its address
	case head.NotRun:
		return verdictNone // it is full, which its load tells
	case status >= http.StatusInternalServerError:
		return verdictFailed
	}
	return verdictGood
}

// sendFailed ends an attempt whose answer has not begun.
func (e *Edge) sendFailed(ctx context.Context, a *attempt, chosen placement.Choice, err error) *failure {
	f := &failure{kind: broken, endpoint: chosen.ID, reason: err.Error()}
	v := verdictFailed
	switch {
	case ctx.Err() != nil:
		v = verdictNone
		f.reason = ctx.Err().Error()
	case errors.Is(err, endpointconn.ErrNotSent):
		f.kind = notSent
		v = verdictSilent
	case errors.Is(err, endpointconn.ErrBadAnswer):
		f.kind = badAnswer
	case errors.Is(err, syscall.ETIMEDOUT):
		// The kernel has given the connection up; a reset or close comes from an endpoint that lives.
		v = verdictSilent
	}
	if v == verdictSilent {
		e.conns.CloseIdle(chosen.Addr)
	}
	e.pools.release(a.service, chosen.Endpoint, a.work.ID, v)
	return f
}

// maxDrained bounds what is read of an answer that is not passed on, to keep its connection.
const maxDrained = 64 << 10

func drain(body io.ReadCloser) {
	// A connection whose answer cannot be read to its end is closed.
	_, _ = io.CopyN(io.Discard, body, maxDrained)
	_ = body.Close()
}

// endpointBody is the body of an endpoint's answer. It tells placement of the first byte and of the end.
type endpointBody struct {
	io.ReadCloser
	ctx      context.Context // of the attempt
	edge     *Edge
	attempt  *attempt
	endpoint *placement.Endpoint
	verdict  verdict
	begun    bool
	last     clock.Instant // of the last output
	closed   bool
}

func (b *endpointBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress(p[:n])
	}
	if err != nil && err != io.EOF {
		b.verdict = verdictFailed
		if b.ctx.Err() != nil {
			b.verdict = verdictNone
		}
	}
	return n, err
}

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// progress tells placement of the first output and of an engine's pace.
func (b *endpointBody) progress(part []byte) {
	now := b.edge.clock.Now()
	if !b.begun {
		b.begun = true
		b.edge.pools.started(b.attempt.service, b.endpoint, b.attempt.work.ID)
	} else if events := bytes.Count(part, eventEnd); events > 0 {
		b.edge.pools.produced(b.attempt.service, b.endpoint, now.Sub(b.last), events)
	}
	b.last = now
}

// Close ends the attempt. It is called once the answer is complete, has failed or is no longer wanted.
func (b *endpointBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.edge.pools.release(b.attempt.service, b.endpoint, b.attempt.work.ID, b.verdict)
	return err
}
