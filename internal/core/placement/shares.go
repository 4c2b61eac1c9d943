package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// shareDigests is the number of digests until what an instance has placed or ended shows in the digests of the others. For so
	// long a slot that one of its own requests has left is known to be free to it alone, and what is free is offered again with
	// each digest, so that each offers only a part of it.
	shareDigests = 2
	// keptFraction is the fraction of a prompt that an engine must hold already for the request to need no share of the
	// prompt budget. Requests with different shared parts prefer different engines, so that they do not all go to one.
	keptFraction = 0.5
	// minFreeForKept is the number of free slots from which on such a request needs no share of them either.
	minFreeForKept = 3
)

// shareUse is what this instance has used of its share of an engine's free capacity.
type shareUse struct {
	used Load // placed since the last digest
	// before is the number of this instance's requests there at each of the last digests, the newest first.
	before [shareDigests]int
}

// begin starts a new share with a digest.
func (s *shareUse) begin(ownRequests int) {
	copy(s.before[1:], s.before[:])
	s.before[0] = ownRequests
	s.used = Load{}
}

// peak returns the largest number of own requests at one of the last digests. The other instances may still count that many.
func (s *shareUse) peak() int {
	most := 0
	for _, n := range s.before {
		most = max(most, n)
	}
	return most
}

// withinShare reports whether a request fits into this instance's share of what is free at an engine: slots, memory and prompt
// tokens up to budget. All instances see the same free capacity at the same time; with a share for each, they do not offer it
// twice. contenders is the number of requests among which what is free is divided.
func (p *Pool) withinShare(e *Endpoint, req *Request, cached, budget, contenders float64) bool {
	turn := p.turn(e)
	// All instances together use what is free: a share that is smaller than the need is used whole by the instances whose turn
	// it is.
	within := func(free, used, need float64) bool {
		share := free/contenders - used
		return need <= share || turn*need < share
	}
	kept := cached >= keptFraction*req.PromptTokens
	peak := e.share.peak()
	if len(e.ownRequests) >= peak { // otherwise this instance uses a slot again that it has left
		free := e.Slots - e.peerLoad.Requests - peak
		if !(kept && free >= minFreeForKept) && !within(float64(free), float64(e.share.used.Requests), 1) {
			return false
		}
		// As at the digest: what was placed since counts as used.
		freeMemory := usableMemory*p.service.Engine.KVCacheTokens - e.peerLoad.Memory - e.ownMemory + e.share.used.Memory
		if !kept && !within(freeMemory, e.share.used.Memory, req.PromptTokens-cached+req.OutputTokens) {
			return false
		}
	}
	return kept || within(budget-e.peerLoad.PendingPrefill, e.share.used.PendingPrefill, req.PromptTokens-cached)
}

// contenders returns the number of requests among which instances divide what is free until their choices show in the digests. If
// requests wait, each instance may use all that it gets, in proportion to its callers; otherwise only the requests that are expected to arrive at all of them do.
func (p *Pool) contenders(now clock.Instant, queued bool) float64 {
	most := shareDigests / p.callerShare()
	if queued {
		return most
	}
	lag := float64(shareDigests) * p.exchange.Interval.Seconds()
	return min(most, 1+p.peerRate(p.placed.Value(now))*lag)
}

// turn returns the turn of this instance at an engine as a fraction of all instances, from 0 up to 1. The instances have different
// turns, which change with each exchange of loads.
func (p *Pool) turn(e *Endpoint) float64 {
	n := uint64(p.instances)
	first := xxhash.Sum64String(strconv.FormatUint(p.exchange.Number, 10) + "/" + e.ID)
	return float64((first%n+uint64(p.exchange.Position))%n) / float64(n)
}
