// Package triage decides where a request goes when its region is loaded: to an endpoint here, to another region, or back to the
// caller at once with a time to return. It is pure.
package triage

import "time"

const (
	// localPart is the part of the objective up to which the expected wait here is accepted without a look at other regions.
	// Crossing costs wide-area latency and traffic, and the prompt's shared parts may have to be read there.
	localPart = 0.6
	// remotePart is the part of the objective that an offer of another region may take: it is older, and other regions may
	// answer it too.
	remotePart = 0.75
	// crossing is the part of the requests that go to another region on the same information, so that all instances
	// together do not overload it before it can tell.
	crossing = 0.6
	// crossingLate is the same for requests that would be late here.
	crossingLate = 0.75
	// latePart is the part of the remaining time within which a request must be expected to begin if it can no longer be on
	// time. The rest is for its work.
	latePart = 0.35
	// minReturn and maxReturnPart bound when a refused caller comes back. Callers follow it up to a third of their time.
	minReturn     = 150 * time.Millisecond
	maxReturnPart = 0.33
)

// Estimate is the expected time to the first output of a request in a region, its way there and back included.
type Estimate struct {
	Available   bool // something there can serve the request
	FirstOutput time.Duration
}

// Input is what a decision rests on.
type Input struct {
	Local     Estimate
	LocalLate Estimate // here, behind all requests that can be on time
	Remote    []Estimate
	Objective time.Duration // that is left until the first output counts as late; 0 or less: it is late already
	TimeLeft  time.Duration // until the caller must have its final answer
}

// FastestRemote is the shortest expected time in another region, 0 if none is known.
func (in *Input) FastestRemote() time.Duration {
	if best := quickest(in.Remote); best >= 0 {
		return in.Remote[best].FirstOutput
	}
	return 0
}

// Action is what is done with a request.
type Action int

// Actions.
const (
	ServeLocally Action = iota
	ServeRemotely
	Reject
)

// Decision tells what is done with a request.
type Decision struct {
	Action Action
	// Region is the index of the offer for ServeRemotely.
	Region int
	// Late says that the request is not expected to be on time: requests that can be go first.
	Late bool
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
}

// Decide applies the policy. random returns numbers from 0 up to 1.
func Decide(in Input, random func() float64) Decision {
	best := quickest(in.Remote)
	if in.Local.Available && in.Local.FirstOutput <= part(in.Objective, localPart) {
		return Decision{Action: ServeLocally}
	}
	if best >= 0 && (!in.Local.Available || in.Remote[best].FirstOutput < in.Local.FirstOutput) {
		onTime := in.Remote[best].FirstOutput <= part(in.Objective, remotePart)
		if !in.Local.Available && (onTime || in.Remote[best].FirstOutput <= part(in.TimeLeft, latePart)) {
			return Decision{Action: ServeRemotely, Region: best, Late: !onTime}
		}
		chance := crossing
		if in.Local.FirstOutput > in.Objective {
			chance = crossingLate
		}
		if in.Local.Available && onTime && random() < chance {
			return Decision{Action: ServeRemotely, Region: best}
		}
	}
	if in.Local.Available && in.Local.FirstOutput <= in.Objective {
		return Decision{Action: ServeLocally}
	}
	if in.LocalLate.Available && in.LocalLate.FirstOutput <= part(in.TimeLeft, latePart) {
		return Decision{Action: ServeLocally, Late: true}
	}
	return Decision{Action: Reject, RetryAfter: comeBack(in, best)}
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }

func quickest(offers []Estimate) int {
	best := -1
	for i, o := range offers {
		if o.Available && (best < 0 || o.FirstOutput < offers[best].FirstOutput) {
			best = i
		}
	}
	return best
}

// comeBack is when the shortest queue will have shrunk to what the objective allows.
func comeBack(in Input, best int) time.Duration {
	first := in.Local.FirstOutput
	if best >= 0 && (!in.Local.Available || in.Remote[best].FirstOutput < first) {
		first = in.Remote[best].FirstOutput
	}
	wait := max(first-part(in.Objective, localPart), minReturn)
	return min(wait, max(part(in.TimeLeft, maxReturnPart), minReturn))
}
