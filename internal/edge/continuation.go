package edge

import (
	"strconv"

	"dogwoodknot.example/dogwoodknot/internal/sse"
)

// continuation checks that the events of one endpoint's answer continue those that the caller already has.
type continuation struct {
	resumed bool  // the caller has events of an earlier endpoint
	last    int64 // id of the last event that the caller has, if resumed
	step    int64 // largest difference between the ids of successive events so far
	begun   bool  // this answer has continued the stream
}

// continuation returns the check for the next answer to the request.
func (x *exchange) continuation() continuation {
	c := continuation{resumed: x.wroteHead, step: max(1, x.eventStep)}
	c.last, _ = strconv.ParseInt(x.lastEventID, 10, 64) // canResume has checked the id of a begun stream
	return c
}

// check returns why an event cannot be written to the caller, or "" if it can. Events that the caller already has are not checked.
// A resumed stream must go on with the next id: an event without one may be an error of the endpoint, and a higher id shows that
// events are missing.
func (c *continuation) check(event sse.Event) string {
	if event.Foreign {
		return "endpoint has sent lines that are no event"
	}
	if c.resumed && event.Empty && event.Unknown {
		return "resumed stream holds fields that belong to no event" // an error text, or the headers of another answer
	}
	if !c.resumed || event.Empty {
		return ""
	}
	id, err := strconv.ParseInt(event.ID, 10, 64)
	switch {
	case err != nil:
		return "resumed stream holds an event without a numeric id"
	case !c.begun && id > c.last+c.step:
		return "resumed stream goes on at event " + event.ID + " after event " + strconv.FormatInt(c.last, 10)
	}
	c.begun = true
	return ""
}

// checkEnd returns why the stream is not complete although the endpoint's answer has ended without an error, or "" if it is. An answer
// that resumes a stream without any further event may come from an endpoint that has ended right after its head.
func (c *continuation) checkEnd() string {
	if c.resumed && !c.begun {
		return "resumed stream has no further event"
	}
	return ""
}

// canResume reports whether another endpoint's answer can be joined to what the caller has: nothing yet, or
// events that all have numeric ids.
func (x *exchange) canResume() bool {
	_, err := strconv.ParseInt(x.lastEventID, 10, 64)
	return !x.wroteHead || err == nil && !x.unnumbered
}

// recordEvent records an event that was written to the caller.
func (x *exchange) recordEvent(event sse.Event) {
	x.events++
	if event.ID == "" {
		x.unnumbered = x.unnumbered || !event.Empty
		return
	}
	next, err := strconv.ParseInt(event.ID, 10, 64)
	before, beforeErr := strconv.ParseInt(x.lastEventID, 10, 64)
	if x.lastEventID == "" {
		before, beforeErr = 0, nil
	}
	if err == nil && beforeErr == nil {
		x.eventStep = max(x.eventStep, next-before)
	}
	x.lastEventID = event.ID
}
