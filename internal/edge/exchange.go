package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/fairshare"
	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/core/triage"
)

const (
	// answerMargin is subtracted from a caller's deadline and a route's timeout, so that the final answer arrives in time.
	answerMargin = 30 * time.Millisecond
	// maxUnsent bounds the endpoints to which a request could not be sent. They do not count as attempts.
	maxUnsent = 4
	// defaultOutputTokens is the number of output tokens that is expected of a request which declares none.
	defaultOutputTokens = 256
	// defaultTimeout bounds a request without deadline on a route without timeout.
	defaultTimeout = 5 * time.Minute
	// noEndpointRetryAfter is the Retry-After if no endpoint is known: endpoints announce themselves about every second.
	noEndpointRetryAfter = time.Second
)

// exchange is one request of a caller and its answer.
type exchange struct {
	edge         *Edge
	w            http.ResponseWriter
	r            *http.Request
	arrived      clock.Instant
	firstArrived clock.Instant // when the caller first sent the request; earlier than arrived for a retry of a rejected one
	promisedAt   clock.Instant // when it was promised capacity, if it has come back too early; 0: no promise
	conf         *inForce
	head         RequestHead
	route        *catalog.Route
	org          *catalog.Organisation // nil on a public route
	service      string
	homes        []string      // regions that may serve the request if homeBound
	homeBound    bool          // only homes may serve the request
	cost         float64       // charged to the organisation's rate
	deadline     clock.Instant // when the caller must have its final answer

	attempt     attempt
	attempts    int // endpoints that the request has reached or may have reached
	unsent      int
	mayHaveRun  bool            // an attempt may have run the request
	failed      *failedAnswer   // an endpoint's error answer, written to the caller unless a retry succeeds
	declined    map[string]bool // regions that had no capacity for the request
	wroteHead   bool
	keep        func() bool // once the answer has begun, Edge.EndUnanswered does not end the request
	lastEventID string
	eventStep   int64 // largest difference between the ids of successive events
	unnumbered  bool  // an event without id was written
	events      int

	held    *membudget.Holder // in the memory account, nil before the body is read
	outcome outcome
}

// outcome is what the log line of a request reports.
type outcome struct {
	status    int
	reason    string
	endpoint  string
	instance  string
	firstByte time.Duration // until the first byte of the answer
	// Inputs of the last decision: the expected times until the first output here and in the best remote region. For a request
	// beyond its organisation's rate: the organisation's level and the share of its rate that accrues here.
	expectedLocal, expectedRemote time.Duration
	rateLevel, rateShare          float64
	retry                         bool       // a retry of a request that was rejected before
	limit                         knownLimit // of the endpoint when the request was sent
	notice                        endpointnotice.Said
	unread, copied                float64
	pace                          float64 // of the chosen engine, 0: not known
	keptFromStreams               bool    // engines were passed over for the streams there
	blockedPart                   uint64  // the prompt part for which the request was rejected, 0: none
	// viewAge is the age of the view of the region's other instances at the last decision, negative if nothing was received
	// from them yet.
	viewAge time.Duration
	// flowShare is the share of the service's requests that the flow sends to other regions; sentByFlow says that it has sent this
	// one.
	flowShare  float64
	sentByFlow bool
	// asTold says that the request has come back at its promised time; promisedIn is the time until the promise made to its caller
	// when it was rejected, 0 for none.
	asTold     bool
	promisedIn time.Duration
}

// ServeHTTP answers a caller's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{edge: e, w: w, r: r, arrived: e.clock.Now()}
	e.metrics.inFlight(1)
	defer func() {
		x.closeMemory()
		e.metrics.inFlight(-1)
		x.recordOutcome()
	}()
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			panic(cause)
		} else if cause != nil {
			x.answerPanic(cause)
		}
	}()
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if x.admit() {
		x.run()
	}
}

// admit checks the request and charges it to its organisation's rate. It answers and returns false if the request goes no
// further.
func (x *exchange) admit() bool {
	e := x.edge
	x.conf = e.state.configuration.Load()
	if x.conf == nil {
		return x.reject(http.StatusServiceUnavailable, "no configuration is known yet", noEndpointRetryAfter)
	}
	path := x.r.URL.EscapedPath()
	if raw, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(raw, "/") {
		path = raw
	}
	var err error
	x.head, err = e.options.Dialect.ParseRequest(x.r.Header)
	x.route = x.conf.Match(x.r.Host, path)
	if x.route == nil {
		return x.reject(http.StatusNotFound, "no route matches the host and path", 0)
	}
	if x.route.Unusable {
		return x.reject(http.StatusServiceUnavailable, "the route's entry in the configuration cannot be used; the request has not run", noEndpointRetryAfter)
	}
	if !x.route.Public {
		if x.org = x.conf.OrganisationByKey(x.head.Key); x.org == nil {
			return x.reject(http.StatusUnauthorized, "key is not known", 0)
		}
	}
	if err != nil {
		return x.reject(http.StatusBadRequest, err.Error(), 0)
	}
	x.setDeadline()
	if !x.admitBeforeStop() {
		return false
	}
	body, ok := x.readBody()
	if !ok || !x.admitBeforeStop() { // a stop may have begun while the body arrived
		return false
	}
	x.service = x.route.Service(x.head.ID)
	x.homes, x.homeBound = catalog.AllowedRegions(x.route, x.org)
	x.prepareAttempt(body)
	return x.admitByRate()
}

// admitBeforeStop rejects a request that may outlast the process, once a stop has set its end. It returns false if it has.
func (x *exchange) admitBeforeStop() bool {
	if end := clock.Instant(x.edge.endsAt.Load()); end > 0 && x.deadline > end {
		return x.reject(http.StatusServiceUnavailable, "instance is stopping before the request would end", minRetryAfter)
	}
	return true
}

// setDeadline computes when the caller must have its final answer: at its deadline or at the route's timeout.
func (x *exchange) setDeadline() {
	left := x.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if x.head.HasDeadline {
		left = min(left, x.head.Deadline)
	}
	x.deadline = x.arrived.Add(left)
}

// prepareAttempt sets what all attempts have in common.
func (x *exchange) prepareAttempt(body [][]byte) {
	urgency := x.route.Priority
	if x.org != nil && x.org.HasPriority {
		urgency = x.org.Priority*urgencyStep + min(x.route.Priority, urgencyStep-1)
	}
	organisation := ""
	if x.org != nil {
		organisation = x.org.Name
	}
	work := x.work()
	arrival := x.recogniseReturn(work.Parts)
	x.attempt = attempt{
		id: x.head.ID, service: x.service, kind: x.route.Name, organisation: organisation,
		method: x.r.Method, uri: x.r.RequestURI, host: x.r.Host, header: x.forwardedHeader(), body: body,
		work: work, sharedParts: sharedParts(x.head.PartIDs), urgency: urgency, hasUrgency: x.conf.Service(x.service).Engine != nil,
		freshConnection: !x.route.Retryable(), lastEventID: x.head.LastEventID, deadline: x.deadline.Add(-answerMargin), promised: arrival.AsTold, shareCounted: arrival.Returned, onTimeBy: x.onTimeBy(), excluded: map[string]bool{},
	}
	x.lastEventID = x.head.LastEventID
}

// onTimeBy returns when the first output must arrive for the request to be on time.
func (x *exchange) onTimeBy() clock.Instant {
	if x.route.LatencyObjective <= 0 {
		return x.deadline
	}
	return min(x.deadline, x.firstArrived.Add(x.route.LatencyObjective))
}

// urgencyStep is the number of priorities of routes within one priority of organisations.
const urgencyStep = 3

// work returns the prompt and the expected output of the request, and the pace that its answer needs.
func (x *exchange) work() placement.Request {
	w := placement.Request{ID: x.head.ID, PromptTokens: x.head.PromptTokens, OutputTokens: x.head.MaxOutputTokens, MaxEventGap: x.route.MaxEventGap}
	if x.head.LengthHint > 0 {
		w.OutputTokens = x.head.LengthHint
	}
	if w.OutputTokens == 0 && w.PromptTokens > 0 {
		w.OutputTokens = defaultOutputTokens
	}
	sum := 0.0
	for _, part := range x.head.Parts {
		w.Parts = append(w.Parts, placement.PromptPart{Key: placement.PartKey(x.head.Model, part.ID), Tokens: part.Tokens})
		sum += part.Tokens
	}
	w.PromptTokens = min(max(w.PromptTokens, sum), placement.MaxTokens)
	if typical := x.edge.outputs.record(x.route.Name, w.OutputTokens); typical > 0 {
		left := x.deadline.Sub(x.arrived)
		w.MaxTokenTime = saturate.Duration(float64(left) * generationFraction / typical)
	}
	return w
}

// sharedParts returns the keys of the parts that other requests may share: all but the last, which belongs to the request or its session.
// A part has the same key for all models.
func sharedParts(ids []string) []uint64 {
	var keys []uint64
	for _, id := range ids[:max(0, len(ids)-1)] {
		keys = append(keys, placement.PartKey("", id))
	}
	return keys
}

// generationFraction is the fraction of a request's time that generating an answer of typical length may take. An answer half
// as long again must fit too: one in six is longer than that.
const generationFraction = 0.55

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

// forwardedHeader returns the caller's headers that are sent to an endpoint.
func (x *exchange) forwardedHeader() http.Header {
	h := withoutHopByHop(x.r.Header)
	x.edge.options.Dialect.StripKey(h)
	h.Del("Content-Length") // the body is sent with its length
	return h
}

// admitByRate admits the request if its organisation's rate covers it, and rejects it otherwise.
func (x *exchange) admitByRate() bool {
	if x.org == nil {
		return true
	}
	x.cost = x.org.Cost(x.head.PromptTokens + x.head.MaxOutputTokens)
	admitted, retryAfter := x.edge.admitRate(x.org.Name, x.cost)
	if admitted {
		return true
	}
	x.outcome.rateLevel, x.outcome.rateShare = x.edge.rateLevel(x.org.Name)
	x.cost = 0
	return x.reject(http.StatusTooManyRequests, "organisation's rate is used up", retryAfter)
}

// run makes attempts until the caller has its answer or the request is given up.
func (x *exchange) run() {
	e := x.edge
	e.countForRetries(x.service)
	x.countDemand()
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(e.clock.Now()))
	defer cancel()
	x.keep = context.AfterFunc(e.unanswered, cancel)
	defer x.keep()
	for {
		x.attempt.lastEventID, x.attempt.sent = x.lastEventID, sentTo{}
		r, f := x.makeAttempt(ctx)
		if f != nil {
			x.outcome.reason, x.outcome.endpoint, x.outcome.notice = f.reason, f.endpoint, f.notice
			if f.kind.mayHaveArrived() {
				x.attempts++
			}
			if x.prepareRetry(ctx, f) {
				continue
			}
			x.answerFailure(ctx, f)
			return
		}
		x.attempts++
		x.forgetReturn()
		x.outcome.endpoint, x.outcome.instance = r.endpoint, r.instance
		x.outcome.unread, x.outcome.copied = r.unread, r.copied
		x.outcome.pace, x.outcome.keptFromStreams = r.pace, r.keptFromStreams
		x.outcome.limit, x.outcome.notice = r.limit, r.notice
		if f = x.writeAnswer(r); f == nil {
			return
		}
		x.outcome.reason = f.reason
		if !x.prepareRetry(ctx, f) {
			x.answerFailure(ctx, f)
			return
		}
	}
}

// mayServe reports whether a region may serve the request and has not declined it.
func (x *exchange) mayServe(region string) bool {
	return !x.declined[region] && (!x.homeBound || slices.Contains(x.homes, region))
}

// reconsiderInterval is how long a request waits for an endpoint here before other regions are considered again: several of their
// messages arrive in that time.
const reconsiderInterval = 250 * time.Millisecond

// makeAttempt makes one attempt here or in a remote region, or fails if the request cannot be served in time.
func (x *exchange) makeAttempt(ctx context.Context) (*reply, *failure) {
	x.attempt.placeBy = x.placementDeadline(x.edge.clock.Now())
	for {
		r, f := x.decideAndAttempt(ctx)
		if f == nil || !f.waiting || ctx.Err() != nil {
			return r, f
		}
	}
}

// decideAndAttempt chooses a region and makes an attempt there. A request that waits in this region is returned after a while
// with a failure marked as waiting, so that the region is chosen again.
func (x *exchange) decideAndAttempt(ctx context.Context) (*reply, *failure) {
	e := x.edge
	if e.pools.isClosed() {
		return nil, stoppingFailure()
	}
	self := e.options.Self.Region
	now := e.clock.Now()
	verdict := e.guard.check(now, x.attempt.sharedParts)
	if verdict.Blocked {
		e.metrics.rejectedForPart()
		return nil, blockedFailure(verdict)
	}
	var remotes []routing.RegionLoad
	if !verdict.Trial { // it is the turn of this instance, not of one in another region
		remotes = x.remotes()
	}
	in := triage.Input{Objective: x.attempt.onTimeBy.Sub(now), TimeLeft: x.deadline.Sub(now), Remote: x.offers(remotes), Flow: x.flowRegion(remotes),
		Promised: x.attempt.promised}
	if x.mayServe(self) {
		in.Local, in.LocalLate = e.pools.offers(&x.attempt, in.Objective)
	}
	d := triage.Decide(in, rand.Float64)
	x.attempt.late = d.Late
	x.recordFlow(in.Flow, d.ByFlow)
	x.outcome.expectedLocal, x.outcome.expectedRemote = in.Local.FirstOutput, in.FastestRemote()
	x.outcome.viewAge = e.view.age(now)
	switch {
	case d.Action == triage.ServeRemotely:
		r, f := e.attemptRemote(ctx, remotes[d.Region].Instance, &x.attempt, x.conf.Version)
		return r, x.recordDecline(f, remotes[d.Region].Region)
	case d.Action == triage.ServeLocally:
		x.attempt.waitUntil = min(x.attempt.placeBy, now.Add(reconsiderInterval))
		r, f := e.attemptLocal(ctx, &x.attempt)
		if f != nil && mayWaitHere(f) && e.clock.Now() < x.attempt.placeBy {
			f.waiting = true
			return r, f
		}
		return r, x.recordDecline(f, self)
	case !in.Local.Available && len(remotes) == 0:
		return nil, &failure{kind: notPlaced, reason: x.unavailableReason(), retryAfter: e.unavailableRetryAfter(x.service), final: true}
	}
	return nil, &failure{kind: notPlaced, reason: "expected wait is too long", retryAfter: d.RetryAfter, final: true}
}

// mayWaitHere reports whether an endpoint of this region may still become available to a request that got none.
func mayWaitHere(f *failure) bool {
	if f.kind != notPlaced || f.final {
		return false
	}
	switch placement.Reason(f.reason) {
	case placement.NoEndpoint, placement.AllWithheld, placementFailed:
		return false
	}
	return true
}

// unavailableReason says why no region can serve the request.
func (x *exchange) unavailableReason() string {
	switch sum := x.edge.pools.loadFor(&x.attempt); {
	case sum.Limited > 0:
		return "endpoints accept no more requests at their limited rate"
	case sum.Withheld > 0:
		return "endpoints are leaving or ask to wait"
	}
	return "no region that may serve the request has endpoints"
}

// offers returns the expected times until the first output in remote regions.
func (x *exchange) offers(remotes []routing.RegionLoad) []triage.Estimate {
	read := x.edge.pools.readTime(x.service, x.attempt.work.UnsharedTokens())
	out := make([]triage.Estimate, 0, len(remotes))
	for _, r := range remotes {
		out = append(out, triage.Estimate{Available: true, FirstOutput: r.Wait + read + 2*r.OneWay})
	}
	return out
}

// recordDecline records in which region an attempt has failed, and that it had no capacity for the request if that is the failure. It
// returns f.
func (x *exchange) recordDecline(f *failure, region string) *failure {
	if f == nil {
		return nil
	}
	f.region = region
	if f.kind == notPlaced {
		x.setDeclined(region)
	}
	return f
}

func (x *exchange) setDeclined(region string) {
	if x.declined == nil {
		x.declined = make(map[string]bool)
	}
	x.declined[region] = true
}

// retryAfter returns when the caller of a request that has not run should retry.
func (x *exchange) retryAfter(f *failure) time.Duration {
	if f.kind == notRun && f.retryAfter > 0 {
		// All endpoints of that region ask for none. Another region may, although this request has no attempt left.
		if x.setDeclined(f.region); x.hasRegionLeft() {
			return minRetryAfter
		}
	}
	return max(f.retryAfter, minRetryAfter)
}

// hasRegionLeft reports whether any region is left that may take a request which one has declined.
func (x *exchange) hasRegionLeft() bool {
	return x.mayServe(x.edge.options.Self.Region) && x.edge.pools.loadFor(&x.attempt).Usable > 0 ||
		len(x.remotes()) > 0
}

// remotes returns the remote regions that may serve the request.
func (x *exchange) remotes() []routing.RegionLoad {
	return x.edge.fleet.remoteRegions(x.service, x.mayServe, func(region string) bool { return x.edge.state.serves(region, x.service) })
}

// placementDeadline returns until when the request may wait for an endpoint: while it can be on time, or for a fraction of the
// remaining time if that is longer.
func (x *exchange) placementDeadline(now clock.Instant) clock.Instant {
	return max(x.attempt.onTimeBy, now.Add(time.Duration(float64(x.deadline.Sub(now))*maxWaitFraction)))
}

// maxWaitFraction is the fraction of the remaining time that a request may wait for an endpoint. Most of the time is needed to
// run it, and a caller whose request is rejected needs some of it for a retry.
const maxWaitFraction = 0.25

// prepareRetry reports whether a failed request is attempted once more, and records what the failure means for the next attempt.
func (x *exchange) prepareRetry(ctx context.Context, f *failure) bool {
	if f.endpoint != "" {
		x.attempt.excluded[f.endpoint] = true
	}
	x.mayHaveRun = x.mayHaveRun || f.kind.mayHaveRun()
	if ctx.Err() != nil {
		return false
	}
	if f.kind == blocked {
		x.outcome.blockedPart = f.part
		return false
	}
	if f.kind == notPlaced {
		return !f.final && x.hasRegionLeft()
	}
	if f.kind == notSent {
		x.unsent++
		return x.unsent <= maxUnsent
	}
	if x.attempts >= x.route.MaxAttempts || !x.canResume() {
		return false
	}
	if f.kind.mayHaveRun() && !x.route.Retryable() {
		return false
	}
	return x.edge.mayRetry(x.service)
}

// answerFailure answers a request after its last attempt has failed.
func (x *exchange) answerFailure(ctx context.Context, f *failure) {
	callerLeft := x.r.Context().Err() != nil
	if callerLeft {
		x.outcome.reason = "caller has left"
	}
	if x.wroteHead || callerLeft {
		// An answer that has begun cannot be completed, and only closing the connection shows that. A caller may have closed only its
		// own direction; returning would send it the end of the stream, or an empty answer with status 200.
		x.breakOff()
	}
	if x.failed != nil {
		x.writeFailedAnswer()
		return
	}
	if !x.mayHaveRun {
		x.refund()
		retryAfter := x.promiseRetry(f, x.retryAfter(f))
		x.reject(http.StatusServiceUnavailable, f.callerText(), retryAfter)
		return
	}
	if ctx.Err() != nil {
		x.reject(http.StatusGatewayTimeout, timeoutText, 0)
		return
	}
	x.reject(http.StatusBadGateway, f.callerText(), 0)
}

// minRetryAfter is the shortest Retry-After of a rejected request: requests in progress need some steps of the engine to end.
const minRetryAfter = 100 * time.Millisecond

// refund returns to the organisation's rate what the request was charged.
func (x *exchange) refund() {
	if x.org != nil && x.cost > 0 {
		x.edge.refundRate(x.org.Name, x.cost)
	}
}

// recordOutcome logs the request and updates the metrics.
func (x *exchange) recordOutcome() {
	e := x.edge
	took := e.clock.Now().Sub(x.arrived)
	e.metrics.request(x.outcome.status, took)
	if x.attempt.shareLevel > fairshare.Within {
		e.metrics.aboveShare.Inc(1)
	}
	fields := []zap.Field{
		zap.String("request", x.head.ID), zap.Int("status", x.outcome.status), zap.String("reason", x.outcome.reason),
		zap.Duration("took", took), zap.Duration("first", x.outcome.firstByte),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.Stringer("kind", x.route.Kind),
			zap.Int64("configuration", x.conf.Version), zap.Duration("configuration_age", x.arrived.Sub(x.conf.since)))
	}
	if x.org != nil {
		fields = append(fields, zap.String("organisation", x.org.Name))
		if x.outcome.status == http.StatusTooManyRequests {
			fields = append(fields, zap.Float64("level", x.outcome.rateLevel), zap.Float64("rate_part", x.outcome.rateShare))
		}
	}
	if x.service != "" {
		fields = append(fields, zap.String("service", x.service), zap.String("endpoint", x.outcome.endpoint), zap.String("via", x.outcome.instance),
			zap.Int("attempts", x.attempts), zap.Int("unsent", x.unsent), zap.Strings("tried", slices.Sorted(maps.Keys(x.attempt.excluded))),
			zap.Int("events", x.events), zap.Duration("left", x.deadline.Sub(x.arrived)-took),
			zap.Duration("expected_here", x.outcome.expectedLocal), zap.Duration("expected_elsewhere", x.outcome.expectedRemote), zap.Bool("late", x.attempt.late), zap.Duration("view_age", x.outcome.viewAge), zap.Duration("waited", x.attempt.waited),
			zap.Bool("returned", x.outcome.retry), zap.Bool("as_told", x.outcome.asTold), zap.Duration("promised_in", x.outcome.promisedIn), zap.Bool("above_share", x.attempt.shareLevel > fairshare.Within), zap.Float64("flow_share", x.outcome.flowShare), zap.Bool("sent_by_flow", x.outcome.sentByFlow), zap.Float64("unread_tokens", x.outcome.unread), zap.Float64("copied_tokens", x.outcome.copied))
	}
	if x.outcome.pace > 0 {
		fields = append(fields, zap.Float64("pace", x.outcome.pace), zap.Bool("kept_from_streams", x.outcome.keptFromStreams))
	}
	if x.outcome.limit.limited {
		fields = append(fields, zap.Float64("endpoint_limit", x.outcome.limit.perSecond))
	}
	fields = append(fields, x.attempt.sent.fields()...)
	if x.outcome.blockedPart != 0 {
		fields = append(fields, zap.String("blocked_part", formatPart(x.outcome.blockedPart)))
	}
	if x.outcome.notice != (endpointnotice.Said{}) {
		fields = append(fields, zap.Bool("endpoint_leaving", x.outcome.notice.Leaving), zap.Duration("endpoint_wait", x.outcome.notice.Wait))
	}
	e.requestLog.Info("request", fields...)
}
