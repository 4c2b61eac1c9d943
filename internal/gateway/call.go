package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/residency"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/limits"
)

// call is one request with what was found out about it.
type call struct {
	g         *Gateway
	id        string
	view      configsync.View
	org       *config.Organisation // nil on an open route
	keyID     string
	secret    string
	homeBound bool   // the service keeps its requests in the region
	from      string // region that forwarded the request, empty for a caller's own
	cross     bool   // may go to another region

	ctx    context.Context
	cancel context.CancelCauseFunc

	chargeMu sync.Mutex // an operation may still be about to run when its handler has ended
	charge   limits.Charge
	charged  bool
	over     bool // the handler has ended; nothing may be sent any more
	// mustFinish is set once a non-idempotent request may have reached an endpoint: ending it then would only lose its
	// answer. The mutex orders it with the end of the context.
	sendMu     sync.Mutex
	mustFinish bool
}

// permitted checks a view against what the call rests on: key, organisation and home.
func (c *call) permitted(v configsync.View) *apiError {
	if c.org == nil {
		return nil
	}
	if c.keyID != "" && v.KeyWithdrawn(c.keyID) {
		return errKeyWithdrawn
	}
	org := v.Organisation(c.org.Name)
	if org == nil {
		return errKeyWithdrawn
	}
	r := residency.Request{HomeRegion: org.Home, LocalRegion: c.g.opts.Region, ForwardedFrom: c.from, HomeBoundService: c.homeBound}
	if !residency.Decide(r).MayServe {
		return errMoved
	}
	return nil
}

// begin gives the call a context that ends with the caller, the deadline, or a withdrawn key. Once the call must finish, only
// the deadline ends it.
func (c *call) begin(parent context.Context, limit time.Duration) (end func(), err *apiError) {
	if deadline, ok := parent.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	ctx, stop := context.WithTimeout(ctx, limit)
	c.ctx, c.cancel = ctx, cancel
	detach := context.AfterFunc(parent, func() {
		c.endUnsent(context.Cause(parent))
	})
	unregister, err := c.g.register(c)
	if err != nil {
		detach()
		stop()
		return nil, err
	}
	return func() { detach(); unregister(); stop() }, nil
}

// endUnsent ends the call unless it must finish.
func (c *call) endUnsent(cause error) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if !c.mustFinish {
		c.cancel(cause)
	}
}

// admit charges the request.
func (c *call) admit(tokens int64) *apiError {
	if c.org == nil {
		return nil
	}
	charge, err := c.g.opts.Limiter.Admit(c.ctx, c.org.Name, tokens)
	if err == nil {
		return c.take(charge)
	}
	var refused *limits.RefusedError
	if errors.As(err, &refused) {
		return refuse(http.StatusTooManyRequests, "rate_limit_exceeded", refused.Error()).after(max(refused.RetryAfter, time.Second))
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return c.ended(cause)
	}
	return refuse(http.StatusServiceUnavailable, "admission_failed", "the request could not be charged").after(time.Second)
}

// ended describes a call that ended before anything was sent.
func (c *call) ended(cause error) *apiError {
	var e *dispatch.Error
	if errors.As(cause, &e) {
		return &apiError{failure: *e}
	}
	return refuse(http.StatusServiceUnavailable, dispatch.CodeTimeout, "the request's time has run out").after(time.Second)
}

// take keeps a charge, or gives it back if the call is over.
func (c *call) take(charge limits.Charge) *apiError {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	if c.over {
		c.g.opts.Limiter.Settle(charge, 0)
		return c.ended(context.Canceled)
	}
	c.charge, c.charged = charge, true
	return nil
}

// settle replaces the charge by the real use, at the end of the call. Nothing is sent after it.
func (c *call) settle(used int64) {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	c.over = true
	c.drop(used)
}

// drop settles the charge if there is one. The caller holds chargeMu.
func (c *call) drop(used int64) {
	if c.charged {
		c.g.opts.Limiter.Settle(c.charge, used)
		c.charged = false
	}
}

// lapsed returns the tokens of a charge whose shares may no longer be used, and drops it.
func (c *call) lapsed() (tokens int64, lapsed bool, err *apiError) {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	if c.over {
		return 0, false, c.ended(context.Canceled)
	}
	if !c.charged || c.g.opts.Limiter.StillValid(c.charge) {
		return 0, false, nil
	}
	tokens = c.charge.Tokens
	c.drop(0)
	return tokens, true, nil
}

// beforeSend checks, right before the first byte leaves, what may have changed while the request waited or the process was
// paused. The error ends the request as not sent.
func (c *call) beforeSend() error {
	if err := c.permitted(c.g.opts.Source.View()); err != nil {
		return &err.failure
	}
	tokens, lapsed, err := c.lapsed()
	if err != nil {
		return &err.failure
	}
	if !lapsed {
		return nil
	}
	// The shares are gone. The request is charged again from those held now.
	if err := c.admit(tokens); err != nil {
		return &err.failure
	}
	if _, lapsed, _ := c.lapsed(); !lapsed {
		return nil
	}
	return &refuse(http.StatusServiceUnavailable, "admission_failed", "the request's charge has lapsed").after(time.Second).failure
}

func (c *call) weight() float64 {
	if c.org == nil {
		return 1
	}
	return c.org.Weight
}

func (c *call) organisation() string {
	if c.org == nil {
		return ""
	}
	return c.org.Name
}
