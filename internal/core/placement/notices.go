package placement

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
)

// SetNotices sets the register of what endpoints ask of this instance. An endpoint that asks for no requests is not chosen and does not
// count as usable.
func (p *Pool) SetNotices(r *endpointnotice.Register) { p.notices = r }

// accepts reports whether the endpoint accepts requests of this instance.
func (p *Pool) accepts(now clock.Instant, e *Endpoint) bool {
	return p.notices.Notice(e.Incarnation).Accepts(now)
}

// ShortestWait returns the shortest time after which an endpoint that has asked to wait accepts requests again, 0 if there is none.
func (p *Pool) ShortestWait(now clock.Instant) time.Duration {
	shortest := time.Duration(0)
	for _, e := range p.order {
		notice := p.notices.Notice(e.Incarnation)
		if wait := notice.WaitUntil.Sub(now); !notice.Leaving && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}
