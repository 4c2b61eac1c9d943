package endpointrate

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// continuityMargin is how much longer than a suspicion a connection must have been open for its output to dispel the suspicion. An end
	// may be noticed late, when an idle connection is used again, and other instances learn of it later still; a younger connection may
	// be one to the new process.
	continuityMargin = 3 * time.Second
	// settlingTime is how long after a suspicion output does not dispel it yet: the connections of a process that ends are closed one after
	// the other, and what it had sent before may still be read.
	settlingTime = 100 * time.Millisecond
)

// Suspect records that a connection to an endpoint has ended without a reason, or that none could be opened: the endpoint may have ended
// and may start again under its id. It reports whether that is new. A later break gets a version of its own also while nothing has arrived
// since the first one: another instance may have dispelled that.
func (r *Register) Suspect(now clock.Instant, endpoint catalog.Incarnation) bool {
	s := Statement{Endpoint: endpoint, Restart: Suspicion{Raised: true, Version: 1}}
	unanswered := false
	if e := r.entries[endpoint.ID]; e != nil && e.Endpoint == endpoint {
		unanswered = e.Restart.Raised && e.warmAt == 0
		if unanswered && now.Sub(e.suspectedAt) < settlingTime {
			return false
		}
		s.Restart.Version = e.Restart.Version + 1
	}
	return r.Merge(now, s) && !unanswered
}

// RecordOutput records output of an endpoint on a connection that was opened at connectedAt and is still open. It reports whether that
// dispels a suspicion: a connection does not outlast the process that it was opened to, so that this has run since before the first
// suspicion, or for longer than coldPeriod. Without such a connection the endpoint counts as cold for coldPeriod from its first output on.
func (r *Register) RecordOutput(now clock.Instant, endpoint catalog.Incarnation, connectedAt clock.Instant, coldPeriod time.Duration) bool {
	if r.suspected == 0 { // most often
		return false
	}
	e := r.entries[endpoint.ID]
	if e == nil || e.Endpoint != endpoint || !e.Restart.Raised {
		return false
	}
	if connectedAt.Add(continuityMargin) < e.suspectedSince || connectedAt.Add(coldPeriod) <= now {
		return now.Sub(e.suspectedAt) >= settlingTime && r.dispel(now, e)
	}
	if e.warmAt == 0 {
		e.warmAt = now.Add(coldPeriod)
	}
	return false
}

// EndSuspicions ends the suspicions of endpoints that have answered a cold period ago, and returns these endpoints.
func (r *Register) EndSuspicions(now clock.Instant) (ended []catalog.Incarnation) {
	if r.suspected == 0 {
		return nil
	}
	for _, e := range r.entries {
		if e.Restart.Raised && e.warmAt > 0 && now >= e.warmAt {
			r.dispel(now, e)
			ended = append(ended, e.Endpoint)
		}
	}
	return ended
}

// RecordRunning records which incarnation of an endpoint has answered a call that was made at askedAt. It reports whether that dispels a
// suspicion: one that was raised after the call may be due to a later end.
func (r *Register) RecordRunning(now, askedAt clock.Instant, running catalog.Incarnation) bool {
	r.Replace(now, running)
	e := r.entries[running.ID]
	return e != nil && e.Endpoint == running && e.Restart.Raised && e.suspectedAt <= askedAt && r.dispel(now, e)
}

func (r *Register) dispel(now clock.Instant, e *entry) bool {
	return r.Merge(now, Statement{Endpoint: e.Endpoint, Restart: Suspicion{Version: e.Restart.Version + 1}})
}

// Replace drops what is known of earlier incarnations of a listed endpoint. Instances that still list the earlier one learn by the exchange of
// statements that it has ended.
func (r *Register) Replace(now clock.Instant, listed catalog.Incarnation) {
	if e := r.entries[listed.ID]; e != nil && e.Endpoint.StartedAtMillis < listed.StartedAtMillis {
		r.Merge(now, Statement{Endpoint: listed})
	}
}

// MayHaveRestarted reports whether an incarnation may have ended, so that another one may be at its address, or has ended since a later one is
// known.
func (r *Register) MayHaveRestarted(endpoint catalog.Incarnation) bool {
	e := r.entries[endpoint.ID]
	if e == nil || e.Endpoint.StartedAtMillis < endpoint.StartedAtMillis {
		return false
	}
	return e.Endpoint != endpoint || e.Restart.Raised
}

// Suspected returns the number of endpoints that may have restarted.
func (r *Register) Suspected() int { return r.suspected }
