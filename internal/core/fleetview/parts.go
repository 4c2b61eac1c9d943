package fleetview

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// partResendInterval is the time for which a prompt part at an endpoint is not sent again. Receivers keep it for as long as their copy
	// of the endpoint's cache has room; repeats only bring the order of its parts up to date. An endpoint that loses its cache counts as
	// holding the part for this time after its next use at most.
	partResendInterval = 2 * time.Second
	// maxSentParts bounds the parts that are remembered as sent: those of some seconds of a region's requests.
	maxSentParts = 50_000
)

// sentPart is a prompt part at an endpoint.
type sentPart struct {
	endpoint string
	key      uint64
}

// sentParts are the prompt parts that were sent to the parent or the children lately. The zero value is empty.
type sentParts struct {
	current, previous map[sentPart]clock.Instant // those before rotated are in previous
	rotated           clock.Instant
}

// sentLately reports whether a part was sent within partResendInterval, and records that it is sent otherwise.
func (s *sentParts) sentLately(now clock.Instant, p sentPart) bool {
	if s.current == nil || now.Sub(s.rotated) >= partResendInterval || len(s.current) >= maxSentParts {
		s.previous, s.current, s.rotated = s.current, make(map[sentPart]clock.Instant), now
	}
	at, known := s.current[p]
	if !known {
		at, known = s.previous[p]
	}
	if known && now.Sub(at) < partResendInterval {
		return true
	}
	s.current[p] = now
	return false
}

// withoutSent returns the prompt parts without those that were sent lately.
func (s *sentParts) withoutSent(now clock.Instant, list []*wire.EdgeEndpointParts) []*wire.EdgeEndpointParts {
	var out []*wire.EdgeEndpointParts
	for _, e := range list {
		left := &wire.EdgeEndpointParts{Id: e.GetId(), Origin: e.GetOrigin()}
		for k, key := range e.GetKeys() {
			if k < len(e.GetTokens()) && !s.sentLately(now, sentPart{e.GetId(), key}) {
				left.Keys, left.Tokens = append(left.Keys, key), append(left.Tokens, e.GetTokens()[k])
			}
		}
		if len(left.Keys) > 0 {
			out = append(out, left)
		}
	}
	return out
}
