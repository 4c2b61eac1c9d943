package edge

// Texts of errors that callers get after attempts that have reached an endpoint or may have. They never quote what an endpoint has sent: it may
// belong to another caller. The log line of the request has the cause.
const (
	notSentText   = "no endpoint could be reached; the request has not run"
	notRunText    = "endpoints declined the request; it has not run"
	brokenText    = "the connection to the endpoint broke before the answer was complete; the request may have run"
	badAnswerText = "what the endpoint sent is not an answer to the request, which may have run"
	timeoutText   = "the time for the request is over; it may have run"
	unknownText   = "the request could not be completed; it may have run"
)

// callerText returns what the caller is told of a failure. The reasons of requests that got no endpoint are all of instances themselves.
func (f *failure) callerText() string {
	switch f.kind {
	case notPlaced, blocked:
		return f.reason
	case notSent:
		return notSentText
	case notRun:
		return notRunText
	case broken:
		return brokenText
	case badAnswer:
		return badAnswerText
	}
	return unknownText
}
