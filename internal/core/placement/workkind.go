package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// minLongPrompt is the smallest prompt in tokens that counts as long. Prompts are prefilled in chunks of some thousand tokens,
	// between which the streams of an engine get their next token.
	minLongPrompt = 2048.0
	// maxKindWait is how long a request waits for an engine of its kind before it takes another: two exchanges of loads.
	maxKindWait = 160 * time.Millisecond
	// kindWindow is the time constant of the division of the engines.
	kindWindow = time.Second
	// minLongShare and maxLongShare bound the fraction of the engines for long prompts.
	minLongShare, maxLongShare = 0.25, 0.6
	// minSeparatedEngines is the number of engines from which on they are divided: with fewer, one that is lost is a large part of
	// a kind.
	minSeparatedEngines = 6
	// promptMeanWindow is the number of requests after which an old prompt has half its weight in the mean.
	promptMeanWindow = 64.0
	// paceReportMaxAge is how long engines count as sharing their machines after one has reported its pace.
	paceReportMaxAge = 30 * time.Second
)

// workKinds divides the engines of a service between requests with long prompts and the others. A step of an engine takes several
// times as long with a chunk of a prompt, and longer still on a machine that is shared with others, so that the streams there miss
// the longest gap between their events. The engines are divided if they report their pace and have streams with such a limit.
type workKinds struct {
	longShare    float64 // fraction of the engines that prefer long prompts, 0 before the first update
	updated      clock.Instant
	engines      int
	meanPrompt   float64
	prefilled    Rate // prompt tokens that this instance's requests have engines prefill
	paceReported clock.Instant
	gapLimited   clock.Instant
}

// rank orders the engines by a hash of their ids, which is the same for all instances.
func (k *workKinds) rank(engines []*Endpoint) {
	byHash := slices.Clone(engines)
	slices.SortFunc(byHash, func(a, b *Endpoint) int { return cmp.Compare(spread("kind", a.ID), spread("kind", b.ID)) })
	for i, e := range byHash {
		e.kindRank = float64(i) / float64(len(byHash))
	}
	k.engines = len(engines)
}

// separated reports whether the engines are divided.
func (k *workKinds) separated(now clock.Instant) bool {
	return k.longShare > 0 && k.engines >= minSeparatedEngines && k.gapsAtRisk(now)
}

// gapsAtRisk reports whether engines share their machines and have streams with a gap limit.
func (k *workKinds) gapsAtRisk(now clock.Instant) bool {
	return k.paceReported > 0 && now.Sub(k.paceReported) < paceReportMaxAge && k.gapLimited > 0 && now.Sub(k.gapLimited) < paceReportMaxAge
}

// long reports whether a prompt counts as long.
func (k *workKinds) long(req *Request) bool {
	return req.PromptTokens >= max(minLongPrompt, k.meanPrompt)
}

// suits reports whether an engine prefers requests of this kind.
func (k *workKinds) suits(e *Endpoint, req *Request) bool {
	return k.long(req) == (e.kindRank < k.longShare)
}

// recordPlaced records a request that is placed at an engine, of which the engine has to prefill the given tokens.
func (k *workKinds) recordPlaced(now clock.Instant, req *Request, prefill float64) {
	if k.meanPrompt == 0 {
		k.meanPrompt = req.PromptTokens
	}
	k.meanPrompt += (req.PromptTokens - k.meanPrompt) * (1 - math.Exp2(-1/promptMeanWindow))
	k.prefilled.AddAmount(now, prefill)
	if req.MaxEventGap > 0 {
		k.gapLimited = now
	}
}

// updateKinds moves the division of the engines towards the present demand: the work of prefill and the slots in use, both as the
// number of engines that they would fill.
func (p *Pool) updateKinds(now clock.Instant) {
	k := &p.kinds
	if p.service.Engine == nil || now == 0 {
		return
	}
	elapsed := now.Sub(k.updated)
	if k.updated == 0 || elapsed > kindWindow {
		elapsed = kindWindow
	}
	k.updated = now
	requests, slots := 0, 0
	for _, e := range p.order {
		requests += e.load().Requests
		slots = max(slots, e.Slots)
	}
	prefill := k.prefilled.Value(now) / p.callerShare() / p.prefillRate.tokensIn(time.Second)
	decode := float64(requests) / float64(max(1, slots))
	share := (minLongShare + maxLongShare) / 2
	if prefill+decode > 0 {
		share = min(max(prefill/(prefill+decode), minLongShare), maxLongShare)
	}
	if k.longShare == 0 {
		k.longShare = share
	}
	k.longShare += (share - k.longShare) * min(1, elapsed.Seconds()/kindWindow.Seconds())
}

// LongPromptShare returns the fraction of the engines that prefer long prompts, 0 if engines are not divided.
func (p *Pool) LongPromptShare(now clock.Instant) float64 {
	if !p.kinds.separated(now) {
		return 0
	}
	return p.kinds.longShare
}

// RecordPaceReport records that an engine has reported its pace, which engines that share their machines do.
func (p *Pool) RecordPaceReport(now clock.Instant) { p.kinds.paceReported = now }

// anyOfKind reports whether an engine of the kind that suits a request could take it later.
func (p *Pool) anyOfKind(now clock.Instant, req *Request, ejected []bool, excluded func(id string) bool) bool {
	for i, e := range p.order {
		if p.kinds.suits(e, req) && p.usable(now, i, ejected, excluded) {
			return true
		}
	}
	return false
}
