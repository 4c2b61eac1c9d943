// Package residency decides in which regions a request may be handled. It does no I/O.
package residency

// Request is what the decision is based on.
type Request struct {
	// HomeRegion is the region that the organisation's data must stay in. Empty: any region.
	HomeRegion string
	// LocalRegion is the region of the deciding instance.
	LocalRegion string
	// ForwardedFrom is the region that a forwarded request came from. Empty for a caller's own request.
	ForwardedFrom string
	// HomeBoundService says that the service keeps its requests in the region of the instance that received the request from the
	// caller.
	HomeBoundService bool
}

// Decision says what may be done with a request.
type Decision struct {
	// MayServe says that the request may be handled in the local region.
	MayServe bool
	// MayForward says that the request may be sent to another region.
	MayForward bool
	// RedirectRegion is the region that the caller must use if MayServe is false, or empty if there is none.
	RedirectRegion string
}

// Decide applies these rules: data of an organisation with a home region stays there; requests of a home-bound service stay in
// the region of the instance that received them from the caller; and a request is forwarded between regions at most once.
func Decide(r Request) Decision {
	if r.HomeRegion != "" && r.HomeRegion != r.LocalRegion {
		return Decision{RedirectRegion: r.HomeRegion}
	}
	if r.ForwardedFrom != "" {
		return decideForwarded(r)
	}
	return Decision{MayServe: true, MayForward: r.HomeRegion == "" && !r.HomeBoundService}
}

// decideForwarded rejects data that should not have left the sender's region, although it has arrived here already: serving it
// would create answers and cache entries in a second region.
func decideForwarded(r Request) Decision {
	if r.HomeRegion != "" && r.HomeRegion != r.ForwardedFrom {
		return Decision{RedirectRegion: r.HomeRegion}
	}
	if r.HomeBoundService && r.ForwardedFrom != r.LocalRegion {
		return Decision{RedirectRegion: r.ForwardedFrom}
	}
	return Decision{MayServe: true}
}
