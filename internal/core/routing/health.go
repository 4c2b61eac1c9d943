package routing

import (
	"math"
	"sort"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Limits of outlier ejection.
const (
	// MaxEjectedFraction is the largest fraction of a group that may be ejected at once; of two endpoints, one may be. If more
	// endpoints fail, the fault is more likely at this instance, or no better endpoints are left.
	MaxEjectedFraction = 1.0 / 3
	// failuresToEject is the number of consecutive failures after which an endpoint is ejected.
	failuresToEject = 3
	// firstEjection is the duration of the first ejection. It doubles with each further ejection, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// paceHalfLife is the number of observations after which the weight of an observation has halved.
	paceHalfLife = 8
)

// Health tracks the recent successes and failures of one endpoint.
type Health struct {
	failures     int           // consecutive
	failedAt     clock.Instant // time of the last failure
	ejections    int           // recent ejections: each success takes one off
	ejectedUntil clock.Instant // end of the last ejection
	pace         float64       // moving mean of the seconds per unit of work, 0 before the first observation
}

// Succeeded records a successful request. pace is its time in seconds per unit of work, in a unit of the caller's choice. A
// pace of 0 is not included in the mean.
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

// Failed records a failed request, if the endpoint is at fault. Enough consecutive failures eject it.
func (h *Health) Failed(now clock.Instant) {
	h.failures++
	h.failedAt = now
	if h.failures < failuresToEject {
		return
	}
	h.failures = failuresToEject - 1 // one more failure after the ejection ejects it again
	wait := min(firstEjection<<min(h.ejections, 5), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(wait)
}

// MarkUnresponsive records that the endpoint has not responded for a time. This ejects it at once.
func (h *Health) MarkUnresponsive(now clock.Instant) {
	h.failures = failuresToEject - 1
	h.Failed(now)
}

// Failures returns the number of consecutive failures. It returns 0 if the last one is older than the longest ejection, since the
// endpoint is then worth another try.
func (h *Health) Failures(now clock.Instant) int {
	if h.failures > 0 && now.Sub(h.failedAt) > maxEjection {
		return 0
	}
	return h.failures
}

// Probing reports whether the endpoint was ejected and no request has succeeded since. It then gets one request at a time.
func (h *Health) Probing() bool { return h.ejections > 0 && h.failures >= failuresToEject-1 }

// IsEjected reports whether the endpoint is ejected, regardless of the bound that Ejected applies to its group.
func (h *Health) IsEjected(now clock.Instant) bool { return now.Before(h.ejectedUntil) }

// Ejected reports for each endpoint of a group whether to leave it out. It leaves out at most MaxEjectedFraction of the group,
// those with the latest end of ejection first.
func Ejected(group []*Health, now clock.Instant) []bool {
	out := make([]bool, len(group))
	var failed []int
	for i, h := range group {
		if now.Before(h.ejectedUntil) {
			failed = append(failed, i)
		}
	}
	sort.SliceStable(failed, func(a, b int) bool { return group[failed[a]].ejectedUntil > group[failed[b]].ejectedUntil })
	allowed := int(float64(len(group)) * MaxEjectedFraction)
	if len(group) == 2 {
		allowed = 1
	}
	for _, i := range failed[:min(allowed, len(failed))] {
		out[i] = true
	}
	return out
}

// Slowness returns each endpoint's pace relative to the median of the group, limited to between 1 and 4. The bound lets a slow
// endpoint still get enough requests to show that it has recovered.
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
