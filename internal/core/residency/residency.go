// Package residency decides whether a request may be handled in a region. It is pure.
package residency

// Request is what the decision rests on.
type Request struct {
	// HomeRegion is the region that the organisation's data must stay in. Empty: any region.
	HomeRegion string
	// LocalRegion is the region of the deciding instance.
	LocalRegion string
	// ForwardedFrom is the region that a forwarded request came from. Empty for a caller's own request.
	ForwardedFrom string
	// HomeBoundService says that the service keeps its requests in the region of the caller's entry instance.
	HomeBoundService bool
}

// Decision tells what may be done with a request.
type Decision struct {
	// MayServe says that the request may be handled here.
	MayServe bool
	// MayForward says that the request may be sent to another region.
	MayForward bool
	// RedirectRegion is where the caller must go if Serve is false. It is empty if there is no such region.
	RedirectRegion string
}

// Decide applies the rules: a bound organisation's data stays in its home region, a home-bound service's requests stay
// in the region of the entry instance, and a request crosses between regions at most once.
func Decide(r Request) Decision {
	if r.HomeRegion != "" && r.HomeRegion != r.LocalRegion {
		return Decision{RedirectRegion: r.HomeRegion}
	}
	if r.ForwardedFrom != "" {
		return decideForwarded(r)
	}
	return Decision{MayServe: true, MayForward: r.HomeRegion == "" && !r.HomeBoundService}
}

// decideForwarded refuses data that should not have left the sender's region, even though it is here already: serving it
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
