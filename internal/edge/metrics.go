package edge

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

// latencyBuckets range from a plain call to the longest stream.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second,
}

// metrics are the counters and histograms of an Edge.
type metrics struct {
	scope         tally.Scope
	inFlightGauge tally.Gauge
	inFlightCount atomic.Int64
	// forwardedGauge and forwardedCount are the attempts in progress for instances of other regions.
	forwardedGauge tally.Gauge
	forwardedCount atomic.Int64
	dialled        tally.Gauge
	reused         tally.Gauge
	viewAge        tally.Gauge
	treeRole       tally.Gauge
	treeChildren   tally.Gauge
	limited        tally.Gauge
	suspected      tally.Gauge // endpoints that may have restarted
	toLimited      tally.Counter
	crashed        tally.Counter
	reset          tally.Counter
	blocked        tally.Gauge
	rejected       tally.Counter
	leaving        tally.Gauge
	waiting        tally.Gauge
	withheld       tally.Counter
	withoutShare   tally.Gauge
	prefilled      tally.Gauge
	copied         tally.Gauge
	cached         tally.Gauge
	longPrompts    tally.Gauge
	slow           tally.Gauge
	kept           tally.Counter
	returns        returnMetrics
	aboveShare     tally.Counter
	organisations  tally.Gauge
	untrusted      tally.Counter // sessions refused because a certificate was not known yet
	storeReads     tally.Counter // lists of keys at a start that were read from the store itself
	relayReads     tally.Counter // those that were read through another instance
	storeRestored  tally.Counter // new eras of the store
	findings       tally.Gauge   // mistakes of the configuration in force
	panics         tally.Counter // panics that ended a request or a step of the process
	named          tally.Gauge
	// utilisationLevel and pressure are this instance's level and the share of its most used resource.
	utilisationLevel, pressure tally.Gauge
	mu                         sync.Mutex
	byStatus                   map[int]statusMetrics
}

type statusMetrics struct {
	requests tally.Counter
	latency  tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope: scope, inFlightGauge: scope.Gauge("requests_in_flight"), forwardedGauge: scope.Gauge("forwarded_attempts_in_flight"),
		dialled: scope.Gauge("endpoint_requests_on_new_connections"), reused: scope.Gauge("endpoint_requests_on_kept_connections"),
		viewAge: scope.Gauge("view_age_seconds"), treeRole: scope.Gauge("tree_role"), treeChildren: scope.Gauge("tree_children"),
		limited: scope.Gauge("limited_endpoints"), suspected: scope.Gauge("endpoints_that_may_have_restarted"), toLimited: scope.Counter("requests_to_limited_endpoints"),
		crashed: scope.Counter("attempts_broken_by_crash"), reset: scope.Counter("attempts_broken_otherwise"),
		blocked: scope.Gauge("blocked_prompt_parts"), rejected: scope.Counter("attempts_rejected_for_blocked_part"),
		leaving: scope.Gauge("leaving_endpoints"), waiting: scope.Gauge("waiting_endpoints"), withheld: scope.Counter("requests_withheld"),
		prefilled: scope.Gauge("prompt_tokens_prefilled"), copied: scope.Gauge("prompt_tokens_copied"), cached: scope.Gauge("prompt_tokens_cached"),
		withoutShare: scope.Gauge("choices_without_share"), longPrompts: scope.Gauge("long_prompt_engine_share"),
		slow: scope.Gauge("slow_engines"), kept: scope.Counter("requests_kept_from_streams"),
		returns: newReturnMetrics(scope), aboveShare: scope.Counter("requests_above_share"), organisations: scope.Gauge("organisations_with_shares"),
		storeRestored: scope.Counter("store_restored"), panics: scope.Counter("panics"), findings: scope.Gauge("configuration_findings"), untrusted: scope.Counter("sessions_not_trusted_yet"),
		storeReads: scope.Counter("start_reads_of_store"), relayReads: scope.Counter("start_reads_through_instance"),
		named: scope.Gauge("directory_named_instances"), utilisationLevel: scope.Gauge("utilisation_level"), pressure: scope.Gauge("utilisation"),
		byStatus: make(map[int]statusMetrics),
	}
}

// inFlight adds n to the requests in flight.
func (m *metrics) inFlight(n int64) { m.inFlightGauge.Update(float64(m.inFlightCount.Add(n))) }

// forwarded adds n to the attempts in progress for instances of other regions.
func (m *metrics) forwarded(n int64) { m.forwardedGauge.Update(float64(m.forwardedCount.Add(n))) }

// connections records how many requests were sent to endpoints on new and on reused connections.
func (m *metrics) connections(dialled, reused int64) {
	m.dialled.Update(float64(dialled))
	m.reused.Update(float64(reused))
}

// role records the role of this instance in the tree of its region and how many instances report to it.
func (m *metrics) role(role, children int) {
	m.treeRole.Update(float64(role))
	m.treeChildren.Update(float64(children))
}

// limitedEndpoints records how many endpoints name a request rate, and how many may have restarted.
func (m *metrics) limitedEndpoints(limited, suspected int) {
	m.limited.Update(float64(limited))
	m.suspected.Update(float64(suspected))
}

// sentToLimited records that a request is sent to an endpoint that has named a request rate.
func (m *metrics) sentToLimited() { m.toLimited.Inc(1) }

// brokenAttempt records an attempt that broke without sign of life, and whether its endpoint had crashed.
func (m *metrics) brokenAttempt(crashed bool) {
	if crashed {
		m.crashed.Inc(1)
		return
	}
	m.reset.Inc(1)
}

// blockedParts records how many prompt parts are blocked.
func (m *metrics) blockedParts(n int) { m.blocked.Update(float64(n)) }

// rejectedForPart records an attempt that was not sent because a part of its prompt is blocked.
func (m *metrics) rejectedForPart() { m.rejected.Inc(1) }

// notices records how many endpoints are leaving, and how many others ask to wait.
func (m *metrics) notices(leaving, waiting int) {
	m.leaving.Update(float64(leaving))
	m.waiting.Update(float64(waiting))
}

// requestWithheld records that a request was not sent because its endpoint asked for none, or may have restarted, after it had been chosen.
func (m *metrics) requestWithheld() { m.withheld.Inc(1) }

// sharing records how many choices of an engine have found only capacity of which this instance had used its share, and the largest
// fraction of a service's engines that prefer long prompts, and the prompt tokens since the start by what engines did with them.
func (m *metrics) sharing(withoutShare int64, longPromptShare float64, prompts placement.PromptTokens) {
	m.withoutShare.Update(float64(withoutShare))
	m.longPrompts.Update(longPromptShare)
	m.prefilled.Update(prompts.Prefilled)
	m.copied.Update(prompts.Copied)
	m.cached.Update(prompts.Cached)
}

// slowEngines records how many engines are in a slow spell.
func (m *metrics) slowEngines(n int) { m.slow.Update(float64(n)) }

// keptFromStreams records a request for which engines were passed over because of the streams there.
func (m *metrics) keptFromStreams() { m.kept.Inc(1) }

// startReads records how keys were read at a start after a wait for the region's reader of the store.
func (m *metrics) startReads(fromStore bool) {
	if fromStore {
		m.storeReads.Inc(1)
		return
	}
	m.relayReads.Inc(1)
}

// request records an answered request. Status 0 means that the caller disconnected before the answer.
func (m *metrics) request(status int, took time.Duration) {
	m.mu.Lock()
	s, known := m.byStatus[status]
	if !known {
		scope := m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)})
		s = statusMetrics{requests: scope.Counter("requests"), latency: scope.Histogram("request_seconds", latencyBuckets)}
		m.byStatus[status] = s
	}
	m.mu.Unlock()
	s.requests.Inc(1)
	s.latency.RecordDuration(took)
}
