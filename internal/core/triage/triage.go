// Package triage decides how a request is handled when its region is loaded: it is served at an endpoint of the local region,
// sent to another region, or rejected at once with a time to retry. The package does no I/O.
package triage

import "time"

const (
	// localFraction is the fraction of the objective up to which the expected time in the local region is accepted without
	// considering other regions. Sending a request to another region costs wide-area latency and traffic, and shared parts of
	// the prompt may have to be processed there again.
	localFraction = 0.6
	// remoteFraction is the fraction of the objective that the expected time in another region may take. It is below 1 because
	// such an estimate is older, and other regions may act on the same estimate.
	remoteFraction = 0.75
	// remoteShare is the share of the requests that go to another region on the same information, so that all instances together
	// do not overload that region before its next report arrives.
	remoteShare = 0.6
	// remoteShareLate is the same for requests that would be late in the local region.
	remoteShareLate = 0.75
	// lateFraction is the fraction of the remaining time within which the first output must be expected if the request can no
	// longer be on time. The rest is for the remaining output.
	lateFraction = 0.35
	// minRetryAfter and maxRetryFraction bound when a rejected caller should retry. Callers follow a retry time of up to a third
	// of their remaining time.
	minRetryAfter    = 150 * time.Millisecond
	maxRetryFraction = 0.33
)

// Estimate is the expected time to the first output of a request in a region, including the time to that region and back.
type Estimate struct {
	Available   bool // an endpoint there can serve the request
	FirstOutput time.Duration
}

// Input is what a decision is based on.
type Input struct {
	Local     Estimate
	LocalLate Estimate // local region, if all requests that can be on time go first
	Remote    []Estimate
	Objective time.Duration // time left until the first output counts as late; 0 or less: it is late already
	TimeLeft  time.Duration // time left until the caller must have its complete answer
	// Flow is the index in Remote of the region to which the flow between regions sends the request, -1 for none.
	Flow int
	// Promised says that the caller has come back at the time at which it was promised capacity here.
	Promised bool
}

// FastestRemote returns the shortest expected time in another region, or 0 if none is available.
func (in *Input) FastestRemote() time.Duration {
	if best := fastest(in.Remote); best >= 0 {
		return in.Remote[best].FirstOutput
	}
	return 0
}

// Action says how a request is handled.
type Action int

// Possible actions.
const (
	ServeLocally Action = iota
	ServeRemotely
	Reject
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Region is the index in Input.Remote of the chosen region, for ServeRemotely.
	Region int
	// ByFlow says that the flow between regions has chosen the region.
	ByFlow bool
	// Late says that the request is not expected to be on time, so that requests that can be go first.
	Late bool
	// RetryAfter is the time after which the caller of a rejected request should retry.
	RetryAfter time.Duration
}

// Decide decides how a request is handled. random returns numbers from 0 up to 1.
func Decide(in Input, random func() float64) Decision {
	if in.Promised && in.Local.Available && in.Local.FirstOutput <= scale(in.TimeLeft, lateFraction) {
		return Decision{Action: ServeLocally}
	}
	if in.Flow >= 0 && in.Remote[in.Flow].Available && in.Remote[in.Flow].FirstOutput <= in.Objective {
		return Decision{Action: ServeRemotely, Region: in.Flow, ByFlow: true}
	}
	best := fastest(in.Remote)
	if in.Local.Available && in.Local.FirstOutput <= scale(in.Objective, localFraction) {
		return Decision{Action: ServeLocally}
	}
	if best >= 0 && (!in.Local.Available || in.Remote[best].FirstOutput < in.Local.FirstOutput) {
		onTime := in.Remote[best].FirstOutput <= scale(in.Objective, remoteFraction)
		if !in.Local.Available && (onTime || in.Remote[best].FirstOutput <= scale(in.TimeLeft, lateFraction)) {
			return Decision{Action: ServeRemotely, Region: best, Late: !onTime}
		}
		chance := remoteShare
		if in.Local.FirstOutput > in.Objective {
			chance = remoteShareLate
		}
		if in.Local.Available && onTime && random() < chance {
			return Decision{Action: ServeRemotely, Region: best}
		}
	}
	if in.Local.Available && in.Local.FirstOutput <= in.Objective {
		return Decision{Action: ServeLocally}
	}
	if in.LocalLate.Available && in.LocalLate.FirstOutput <= scale(in.TimeLeft, lateFraction) {
		return Decision{Action: ServeLocally, Late: true}
	}
	return Decision{Action: Reject, RetryAfter: retryAfter(in, best)}
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func fastest(estimates []Estimate) int {
	best := -1
	for i, e := range estimates {
		if e.Available && (best < 0 || e.FirstOutput < estimates[best].FirstOutput) {
			best = i
		}
	}
	return best
}

// retryAfter returns the time until the shortest expected time has shrunk to localFraction of the objective, within bounds.
func retryAfter(in Input, best int) time.Duration {
	first := in.Local.FirstOutput
	if best >= 0 && (!in.Local.Available || in.Remote[best].FirstOutput < first) {
		first = in.Remote[best].FirstOutput
	}
	wait := max(first-scale(in.Objective, localFraction), minRetryAfter)
	return min(wait, max(scale(in.TimeLeft, maxRetryFraction), minRetryAfter))
}
