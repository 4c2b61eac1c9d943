package endpointrate

import (
	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Limiter is what one instance knows of the request rates that endpoints accept, and what it may send to them.
type Limiter struct {
	Statements *Register
	Senders    *Pacer
}

// NewLimiter returns the limiter of an instance that knows nothing yet.
func NewLimiter(self string) *Limiter {
	return &Limiter{Statements: NewRegister(), Senders: NewPacer(self)}
}

// Prune drops what is kept of endpoints that are not listed.
func (l *Limiter) Prune(now clock.Instant, listed func(id string) bool) {
	l.Statements.Prune(now, listed)
	l.Senders.Prune(now)
}

// Rate returns the request rate that the endpoint accepts from all instances: the lower one of what it has named and of coldRate,
// which counts while it is cold, or may be since it may have restarted. limited is false if it has no limit.
func (l *Limiter) Rate(endpoint catalog.Incarnation, cold bool, coldRate float64) (perSecond float64, limited bool) {
	if l.Statements.limited > 0 {
		perSecond, limited = l.Statements.Limit(endpoint)
	}
	cold = cold || l.Statements.MayHaveRestarted(endpoint)
	if cold && coldRate > 0 && (!limited || coldRate < perSecond) {
		return coldRate, true
	}
	return perSecond, limited
}
