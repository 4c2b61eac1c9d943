package routing

import (
	"math"
	"sort"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Limits of outlier ejection.
const (
	// MaxEjectedFraction is the largest part of a group that may be ejected at once; of two endpoints it is one. A fault that
	// hits more endpoints is more likely on this side, or leaves nothing better to use.
	MaxEjectedFraction = 1.0 / 3
	// failuresToEject is the number of failures in a row after which an endpoint is left out.
	failuresToEject = 3
	// firstEjection doubles with each further ejection up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// paceHalfLife is the number of observations after which an old pace counts half.
	paceHalfLife = 8
)

// Health is the record of one endpoint's recent answers.
type Health struct {
	failures  int // in a row
	failedAt  clock.Instant
	ejections int
	until     clock.Instant
	pace      float64 // moving mean of seconds per unit of work, 0 before the first
}

// Succeeded records an answer that took so long for each unit of work. A pace of 0 leaves the mean as it is.
func (h *Health) Succeeded(pace float64) {
	h.failures = 0
	if h.ejections > 0 {
		h.ejections--
	}
	if pace <= 0 {
		return
	}
	if h.pace == 0 {
		h.pace = pace
		return
	}
	keep := math.Exp2(-1.0 / paceHalfLife)
	h.pace = h.pace*keep + pace*(1-keep)
}

// Failed records a failure of the endpoint, not of the request.
func (h *Health) Failed(now clock.Instant) {
	h.failures++
	h.failedAt = now
	if h.failures < failuresToEject {
		return
	}
	h.failures = failuresToEject - 1 // the next failure after the ejection counts at once
	wait := min(firstEjection<<min(h.ejections, 5), maxEjection)
	h.ejections++
	h.until = now.Add(wait)
}

// MarkUnresponsive records that the endpoint has not answered for a while, which ejects it at once.
func (h *Health) MarkUnresponsive(now clock.Instant) {
	h.failures = failuresToEject - 1
	h.Failed(now)
}

// Failures is the number of failures in a row, 0 once the last lies so far back that the endpoint is worth a try again.
func (h *Health) Failures(now clock.Instant) int {
	if h.failures > 0 && now.Sub(h.failedAt) > maxEjection {
		return 0
	}
	return h.failures
}

// Probing reports whether the endpoint was ejected and has not answered since: it then gets one request at a time.
func (h *Health) Probing() bool { return h.ejections > 0 && h.failures >= failuresToEject-1 }

// IsEjected reports whether the endpoint is ejected.
func (h *Health) IsEjected(now clock.Instant) bool { return now.Before(h.until) }

// Ejected tells for each endpoint of a group whether it is left out, never more than MaxEjectedFraction of them. Those whose
// ejection lasts longest stay out.
func Ejected(group []*Health, now clock.Instant) []bool {
	out := make([]bool, len(group))
	var failed []int
	for i, h := range group {
		if now.Before(h.until) {
			failed = append(failed, i)
		}
	}
	sort.SliceStable(failed, func(a, b int) bool { return group[failed[a]].until > group[failed[b]].until })
	allowed := int(float64(len(group)) * MaxEjectedFraction)
	if len(group) == 2 {
		allowed = 1
	}
	for _, i := range failed[:min(allowed, len(failed))] {
		out[i] = true
	}
	return out
}

// Slowness returns each endpoint's pace relative to the median of the group, between 1 and a bound: a slow endpoint gets
// less work, and enough of it to be seen recovering.
func Slowness(group []*Health) []float64 {
	const bound = 4
	out := make([]float64, len(group))
	var known []float64
	for _, h := range group {
		if h.pace > 0 {
			known = append(known, h.pace)
		}
	}
	sort.Float64s(known)
	for i, h := range group {
		out[i] = 1
		if h.pace > 0 && len(known) >= 3 {
			out[i] = min(max(h.pace/known[(len(known)-1)/2], 1), bound)
		}
	}
	return out
}
