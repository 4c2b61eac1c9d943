package edge

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/core/triage"
)

const (
	// answerMargin is the time kept back from a caller's deadline and a route's timeout for the last answer to arrive.
	answerMargin = 30 * time.Millisecond
	// maxUnsent bounds the endpoints to which a request could not be sent, which do not count as attempts.
	maxUnsent = 4
	// defaultOutput is the output expected of a request that declares no number of tokens.
	defaultOutput = 256
	// unboundedTimeout stands for a route without timeout and a request without deadline.
	unboundedTimeout = 5 * time.Minute
	// noEndpointRetry is when callers come back if no endpoint is known: endpoints announce themselves every second or so.
	noEndpointRetry = time.Second
)

// exchange is one request of a caller.
type exchange struct {
	edge    *Edge
	w       http.ResponseWriter
	r       *http.Request
	arrived clock.Instant
	first   clock.Instant // when the caller came first, if it was refused then
	conf    *inForce
	head    RequestHead
	route   *catalog.Route
	org     *catalog.Organisation // nil on a public route
	service string
	homes   []string
	bound   bool
	cost    float64
	limit   clock.Instant // when the caller must have its final answer

	a         attempt
	attempts  int // endpoints that the request has reached
	unsent    int
	mayHave   bool            // an attempt may have run the request
	failed    *failedAnswer   // of an endpoint, passed on unless a repeat succeeds
	declined  map[string]bool // regions that had no place for the request
	wroteHead bool
	lastEvent string
	events    int

	outcome outcome
}

// outcome is what the log says of a request.
type outcome struct {
	status   int
	reason   string
	endpoint string
	instance string
	first    time.Duration // until the first byte of the answer
	// What decided: the expected times to a first output here and in the best other region, and the organisation's level with
	// the part of its rate that accrues here.
	here, elsewhere time.Duration
	level, part     float64
	returned        bool // the caller was refused before
	unread, copied  float64
	// viewAge is how long ago the other instances of the region were heard when the request was decided last, negative if never.
	viewAge time.Duration
}

// ServeHTTP answers a caller's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{edge: e, w: w, r: r, arrived: e.clock.Now()}
	e.metrics.inFlight(1)
	defer func() {
		e.metrics.inFlight(-1)
		x.report()
	}()
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if x.admit() {
		x.run()
	}
}

// admit checks the request up to its organisation's rate. It answers requests that go no further.
func (x *exchange) admit() bool {
	e := x.edge
	x.conf = e.state.configuration.Load()
	if x.conf == nil {
		return x.refuse(http.StatusServiceUnavailable, "no configuration is known yet", noEndpointRetry)
	}
	path := x.r.URL.EscapedPath()
	if raw, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(raw, "/") {
		path = raw
	}
	var err error
	x.head, err = e.options.Dialect.Request(x.r.Header)
	x.route = x.conf.Match(x.r.Host, path)
	if x.route == nil {
		return x.refuse(http.StatusNotFound, "no route matches the host and path", 0)
	}
	if !x.route.Public {
		if x.org = x.conf.OrganisationByKey(x.head.Key); x.org == nil {
			return x.refuse(http.StatusUnauthorized, "key is not known", 0)
		}
	}
	if err != nil {
		return x.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	x.setLimit()
	if end := clock.Instant(e.ends.Load()); end > 0 && x.limit > end {
		return x.refuse(http.StatusServiceUnavailable, "instance is stopping before the request would end", minRetryAfter)
	}
	body, ok := x.readBody()
	if !ok {
		return false
	}
	x.service = x.route.Service(x.head.ID)
	x.homes, x.bound = catalog.AllowedRegions(x.route, x.org)
	x.prepare(body)
	return x.takeFromRate()
}

// setLimit computes when the caller must have its final answer: at its deadline or at the route's timeout.
func (x *exchange) setLimit() {
	left := x.route.Timeout
	if left <= 0 {
		left = unboundedTimeout
	}
	if x.head.HasDeadline {
		left = min(left, x.head.Deadline)
	}
	x.limit = x.arrived.Add(left)
}

func (x *exchange) readBody() ([]byte, bool) {
	most := x.conf.Limits.BodyBytes
	if most <= 0 {
		most = maxBodyBytes
	}
	if x.r.ContentLength > most {
		return nil, x.refuse(http.StatusRequestEntityTooLarge, "body is too large", 0)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, most))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, x.refuse(http.StatusRequestEntityTooLarge, "body is too large", 0)
	}
	x.outcome.reason = "caller's body could not be read: " + err.Error()
	return nil, x.refuse(http.StatusBadRequest, "body could not be read", 0)
}

// prepare fills in what all attempts have in common.
func (x *exchange) prepare(body []byte) {
	urgency := x.route.Priority
	if x.org != nil && x.org.HasPriority {
		urgency = x.org.Priority*urgencyStep + min(x.route.Priority, urgencyStep-1)
	}
	organisation := ""
	if x.org != nil {
		organisation = x.org.Name
	}
	work := x.work()
	x.first, x.outcome.returned = x.edge.returns.firstCame(work.Parts, x.arrived)
	x.a = attempt{
		id: x.head.ID, service: x.service, organisation: organisation,
		method: x.r.Method, uri: x.r.RequestURI, host: x.r.Host, header: x.endToEnd(), body: body,
		work: work, urgency: urgency, hasUrgency: x.conf.Service(x.service).Engine != nil,
		once: !x.route.Retryable(), lastEvent: x.head.LastEvent, until: x.limit.Add(-answerMargin), onTimeBy: x.onTimeBy(), excluded: map[string]bool{},
	}
	x.lastEvent = x.head.LastEvent
}

// onTimeBy is when the first output must come for the request to be on time.
func (x *exchange) onTimeBy() clock.Instant {
	if x.route.LatencyObjective <= 0 {
		return x.limit
	}
	return min(x.limit, x.first.Add(x.route.LatencyObjective))
}

// urgencyStep is the number of ranks of routes within one rank of organisations.
const urgencyStep = 3

func (x *exchange) work() placement.Work {
	w := placement.Work{ID: x.head.ID, Prompt: x.head.PromptTokens, Output: x.head.MaxOutputTokens}
	if x.head.LengthHint > 0 {
		w.Output = x.head.LengthHint
	}
	if w.Output == 0 && w.Prompt > 0 {
		w.Output = defaultOutput
	}
	sum := 0.0
	for _, part := range x.head.Parts {
		w.Parts = append(w.Parts, placement.Part{Key: placement.PartKey(x.head.Model, part.ID), Tokens: part.Tokens})
		sum += part.Tokens
	}
	w.Prompt = max(w.Prompt, sum)
	if typical := x.edge.outputs.note(x.route.Name, w.Output); typical > 0 {
		left := x.limit.Sub(x.arrived)
		w.MaxPace = time.Duration(float64(left) * paceUse / typical)
	}
	return w
}

// paceUse is the part of a request's time that the generation of an answer of typical length may take. Half as long again
// must fit: one answer in six is longer than that.
const paceUse = 0.55

// hopByHop are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// withoutHopByHop returns a copy of the headers without those that concern one connection only.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

func (x *exchange) endToEnd() http.Header {
	h := withoutHopByHop(x.r.Header)
	x.edge.options.Dialect.StripKey(h)
	h.Del("Content-Length") // the body is sent with its length
	return h
}

// takeFromRate admits the request if its organisation's rate covers it.
func (x *exchange) takeFromRate() bool {
	if x.org == nil {
		return true
	}
	x.cost = x.org.Cost(x.head.PromptTokens + x.head.MaxOutputTokens)
	admitted, retryAfter := x.edge.admitRate(x.org.Name, x.cost)
	if admitted {
		return true
	}
	x.outcome.level, x.outcome.part = x.edge.rateLevel(x.org.Name)
	x.cost = 0
	return x.refuse(http.StatusTooManyRequests, "organisation's rate is used up", retryAfter)
}

// run makes attempts until the caller has its answer.
func (x *exchange) run() {
	e := x.edge
	e.countRequest(x.service)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.limit.Sub(e.clock.Now()))
	defer cancel()
	for {
		x.a.lastEvent = x.lastEvent
		r, f := x.attempt(ctx)
		if f != nil {
			x.outcome.reason, x.outcome.endpoint = f.reason, f.endpoint
			if x.again(ctx, f) {
				continue
			}
			x.giveUp(ctx, f)
			return
		}
		x.attempts++
		x.outcome.endpoint, x.outcome.instance = r.endpoint, r.instance
		x.outcome.unread, x.outcome.copied = r.unread, r.copied
		if f = x.pass(r); f == nil {
			return
		}
		x.outcome.reason = f.reason
		if !x.again(ctx, f) {
			x.giveUp(ctx, f)
			return
		}
	}
}

// mayServe reports whether a region may serve the request and has not declined it.
func (x *exchange) mayServe(region string) bool {
	return !x.declined[region] && (!x.bound || slices.Contains(x.homes, region))
}

// reconsiderEvery is how long a request waits for an endpoint here before other regions are looked at again: some messages of
// theirs.
const reconsiderEvery = 250 * time.Millisecond

// attempt makes one attempt here or in another region, or decides that the request cannot be served in time.
func (x *exchange) attempt(ctx context.Context) (*reply, *failure) {
	x.a.placeBy = x.placeBy(x.edge.clock.Now())
	for {
		r, f := x.attemptOnce(ctx)
		if f == nil || !f.waiting || ctx.Err() != nil {
			return r, f
		}
	}
}

// attemptOnce decides where the request goes and makes the attempt there. A request that waits here comes back after a while to
// be decided again.
func (x *exchange) attemptOnce(ctx context.Context) (*reply, *failure) {
	e := x.edge
	self := e.options.Self.Region
	now := e.clock.Now()
	remotes := x.remotes()
	in := triage.Input{Objective: x.a.onTimeBy.Sub(now), Left: x.limit.Sub(now), Elsewhere: x.offers(remotes)}
	if x.mayServe(self) {
		in.Here, in.HereLate = e.pools.offers(&x.a, in.Objective)
	}
	d := triage.Decide(in, rand.Float64)
	x.a.late = d.Late
	x.outcome.here, x.outcome.elsewhere = in.Here.First, in.Quickest()
	x.outcome.viewAge = e.view.age(now)
	switch {
	case d.Action == triage.ServeElsewhere:
		r, f := e.attemptAt(ctx, remotes[d.Region].Instance, &x.a, x.conf.Version)
		return r, x.noteDecline(f, remotes[d.Region].Region)
	case d.Action == triage.ServeHere:
		x.a.waitUntil = min(x.a.placeBy, now.Add(reconsiderEvery))
		r, f := e.attemptHere(ctx, &x.a)
		if f != nil && f.kind == notPlaced && f.reason != string(placement.NoEndpoint) && e.clock.Now() < x.a.placeBy {
			f.waiting = true
			return r, f
		}
		return r, x.noteDecline(f, self)
	case !in.Here.Known && len(remotes) == 0:
		return nil, &failure{kind: notPlaced, reason: "no region that may serve the request has endpoints", retryAfter: noEndpointRetry, final: true}
	}
	return nil, &failure{kind: notPlaced, reason: "expected wait is too long", retryAfter: d.RetryAfter, final: true}
}

// offers returns the expected times to a first output in other regions.
func (x *exchange) offers(remotes []routing.RegionLoad) []triage.Offer {
	read := x.edge.pools.readTime(x.service, x.a.work.Unshared())
	out := make([]triage.Offer, 0, len(remotes))
	for _, r := range remotes {
		out = append(out, triage.Offer{Known: true, First: r.Wait + read + 2*r.OneWay})
	}
	return out
}

// noteDecline remembers a region that had no place for the request.
func (x *exchange) noteDecline(f *failure, region string) *failure {
	if f != nil && f.kind == notPlaced {
		if x.declined == nil {
			x.declined = make(map[string]bool)
		}
		x.declined[region] = true
	}
	return f
}

// elsewhere reports whether another region may take a request that one has declined.
func (x *exchange) elsewhere() bool {
	return x.mayServe(x.edge.options.Self.Region) && x.edge.pools.summary(&x.a).Usable > 0 ||
		len(x.remotes()) > 0
}

// remotes returns the other regions that may serve the request.
func (x *exchange) remotes() []routing.RegionLoad {
	return x.edge.fleet.regions(x.service, x.mayServe, func(region string) bool { return x.edge.state.serves(region, x.service) })
}

// placeBy is until when the request may wait for an endpoint: while it can be on time, and a part of the rest after that.
func (x *exchange) placeBy(now clock.Instant) clock.Instant {
	return max(x.a.onTimeBy, now.Add(time.Duration(float64(x.limit.Sub(now))*waitPart)))
}

// waitPart is the part of the remaining time that a request may wait for an endpoint. Most of it is needed for the work, and
// callers whose request is refused need some to come back.
const waitPart = 0.25

// again decides whether a failed request is attempted once more, and notes what the failure means for the next attempt.
func (x *exchange) again(ctx context.Context, f *failure) bool {
	if f.endpoint != "" {
		x.a.excluded[f.endpoint] = true
	}
	x.mayHave = x.mayHave || f.kind.mayHaveRun()
	if ctx.Err() != nil {
		return false
	}
	if f.kind == notPlaced {
		return !f.final && x.elsewhere()
	}
	if f.kind == notSent {
		x.unsent++
		return x.unsent <= maxUnsent
	}
	if f.kind == notRun {
		x.attempts++
	}
	if x.attempts >= x.route.MaxAttempts {
		return false
	}
	if f.kind.mayHaveRun() && !x.route.Retryable() {
		return false
	}
	return x.edge.mayRepeat(x.service)
}

// giveUp tells the caller that the request has failed.
func (x *exchange) giveUp(ctx context.Context, f *failure) {
	if x.r.Context().Err() != nil {
		x.outcome.reason = "caller has left"
		return
	}
	if x.wroteHead {
		// The answer has begun and cannot be completed: only a broken connection says so.
		panic(http.ErrAbortHandler)
	}
	if x.failed != nil {
		x.passFailed()
		return
	}
	if !x.mayHave {
		x.refund()
		retryAfter := max(f.retryAfter, minRetryAfter)
		x.edge.returns.refused(x.a.work.Parts, x.first, retryAfter)
		x.refuse(http.StatusServiceUnavailable, f.reason, retryAfter)
		return
	}
	if ctx.Err() != nil {
		x.refuse(http.StatusGatewayTimeout, "timeout: "+f.reason, 0)
		return
	}
	x.refuse(http.StatusBadGateway, f.reason, 0)
}

// minRetryAfter is the shortest time after which a refused caller comes back: work under way needs some steps to end.
const minRetryAfter = 100 * time.Millisecond

func (x *exchange) refund() {
	if x.org != nil && x.cost > 0 {
		x.edge.refundRate(x.org.Name, x.cost)
	}
}

// report writes the request's line of the log and its metrics.
func (x *exchange) report() {
	e := x.edge
	took := e.clock.Now().Sub(x.arrived)
	e.metrics.request(x.outcome.status, took)
	fields := []zap.Field{
		zap.String("request", x.head.ID), zap.Int("status", x.outcome.status), zap.String("reason", x.outcome.reason),
		zap.Duration("took", took), zap.Duration("first", x.outcome.first),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.Stringer("kind", x.route.Kind),
			zap.Int64("configuration", x.conf.Version), zap.Duration("configuration_age", x.arrived.Sub(x.conf.since)))
	}
	if x.org != nil {
		fields = append(fields, zap.String("organisation", x.org.Name))
		if x.outcome.status == http.StatusTooManyRequests {
			fields = append(fields, zap.Float64("level", x.outcome.level), zap.Float64("rate_part", x.outcome.part))
		}
	}
	if x.service != "" {
		fields = append(fields, zap.String("service", x.service), zap.String("endpoint", x.outcome.endpoint), zap.String("via", x.outcome.instance),
			zap.Int("attempts", x.attempts), zap.Int("unsent", x.unsent), zap.Strings("tried", slices.Sorted(maps.Keys(x.a.excluded))),
			zap.Int("events", x.events), zap.Duration("left", x.limit.Sub(x.arrived)-took),
			zap.Duration("expected_here", x.outcome.here), zap.Duration("expected_elsewhere", x.outcome.elsewhere), zap.Bool("late", x.a.late), zap.Duration("view_age", x.outcome.viewAge),
			zap.Bool("returned", x.outcome.returned), zap.Float64("unread_tokens", x.outcome.unread), zap.Float64("copied_tokens", x.outcome.copied))
	}
	e.requestLog.Info("request", fields...)
}
