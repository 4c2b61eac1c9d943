// Package residency decides whether a request may be handled in a region. It is pure.
package residency

// Request is what the decision rests on.
type Request struct {
	// Home is the region that the organisation's data must stay in. Empty: any region.
	Home string
	// Here is the region of the deciding instance.
	Here string
	// From is the region that a forwarded request came from. Empty for a caller's own request.
	From string
	// HomeBoundService says that the service keeps its requests in the region of the caller's entry instance.
	HomeBoundService bool
}

// Decision tells what may be done with a request.
type Decision struct {
	// Serve says that the request may be handled here.
	Serve bool
	// Cross says that the request may be sent to another region.
	Cross bool
	// Region is where the caller must go if Serve is false. It is empty if there is no such region.
	Region string
}

// Decide applies the rules: a bound organisation's data stays in its home region, a home-bound service's requests stay
// in the region of the entry instance, and a request crosses between regions at most once.
func Decide(r Request) Decision {
	if r.Home != "" && r.Home != r.Here {
		return Decision{Region: r.Home}
	}
	if r.From != "" {
		return decideForwarded(r)
	}
	return Decision{Serve: true, Cross: r.Home == "" && !r.HomeBoundService}
}

// decideForwarded refuses data that should not have left the sender's region, even though it is here already: serving it
// would create answers and cache entries in a second region.
func decideForwarded(r Request) Decision {
	if r.Home != "" && r.Home != r.From {
		return Decision{Region: r.Home}
	}
	if r.HomeBoundService && r.From != r.Here {
		return Decision{Region: r.From}
	}
	return Decision{Serve: true}
}
