// Package limits applies each organisation's fleet-wide rate and burst at one instance: it owns the slots of this instance
// and exchanges loans with other instances.
package limits

import (
	"context"
	"time"
)

// Charge is what Admit has taken. It must be settled exactly once.
type Charge struct {
	ID           uint64
	Organisation string
	Tokens       int64
}

// RefusedError reports a request that has no tokens. The request has not run.
type RefusedError struct {
	Organisation string
	RetryAfter   time.Duration // when the tokens are expected to be there
	Reason       string
}

// Error says which organisation lacks tokens and when to come back.
func (e *RefusedError) Error() string {
	return "organisation " + e.Organisation + " is over its rate: " + e.Reason + ", retry after " + e.RetryAfter.String()
}

// Limiter charges requests against organisations' rates.
type Limiter interface {
	// Admit takes tokens for a request, asking other instances for loans if the deadline of ctx leaves room.
	// It returns *RefusedError if there are none.
	Admit(ctx context.Context, organisation string, tokens int64) (Charge, error)
	// StillValid reports whether the shares that a charge was taken from may still be used. The caller checks it right
	// before the first byte goes to an endpoint, since the process may have been paused after Admit.
	StillValid(c Charge) bool
	// Settle replaces the charged tokens by the real use: the rest is refunded, or the excess becomes debt.
	Settle(c Charge, used int64)
}
