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

// call is the state of one request.
type call struct {
	g              *Gateway
	id             string
	view           configsync.View
	org            *config.Organisation // nil on an open route
	keyID          string
	secret         string
	homeBound      bool   // requests of the service must not leave the region
	fromRegion     string // region that forwarded the request, empty if the caller sent it to this instance
	mayLeaveRegion bool   // may be forwarded to a remote region

	ctx    context.Context
	cancel context.CancelCauseFunc

	chargeMu sync.Mutex // an operation with an idempotency key may outlive its handler
	charge   limits.Charge
	charged  bool
	finished bool // the charge is settled; nothing may be sent to an endpoint any more
	// mustFinish is set right before a non-idempotent request is sent to an endpoint: cancelling it after that would only lose
	// its answer. sendMu guards it, so that the call is either cancelled before it is sent, or not at all.
	sendMu     sync.Mutex
	mustFinish bool
}

// permitted returns an error if, by the configuration v, the call's key is withdrawn, its organisation is gone or its data must stay in
// another region.
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
	r := residency.Request{HomeRegion: org.Home, LocalRegion: c.g.opts.Region, ForwardedFrom: c.fromRegion, HomeBoundService: c.homeBound}
	if !residency.Decide(r).MayServe {
		return errWrongRegion
	}
	return nil
}

// begin sets the call's context. It ends when the caller disconnects, after limit, or when a new configuration no longer permits the
// call. With mustFinish set, only the time limit ends it. The returned function must be called when the call ends.
func (c *call) begin(parent context.Context, limit time.Duration) (end func(), err *apiError) {
	if deadline, ok := parent.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	ctx, stop := context.WithTimeout(ctx, limit)
	c.ctx, c.cancel = ctx, cancel
	detach := context.AfterFunc(parent, func() {
		c.cancelUnsent(context.Cause(parent))
	})
	unregister, err := c.g.register(c)
	if err != nil {
		detach()
		stop()
		return nil, err
	}
	return func() { detach(); unregister(); stop() }, nil
}

// cancelUnsent cancels the call unless mustFinish is set.
func (c *call) cancelUnsent(cause error) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if !c.mustFinish {
		c.cancel(cause)
	}
}

// admit charges the request to its organisation's rate. Requests of open routes have no organisation and are not charged.
func (c *call) admit(tokens int64) *apiError {
	if c.org == nil {
		return nil
	}
	charge, err := c.g.opts.Limiter.Admit(c.ctx, c.org.Name, tokens)
	if err == nil {
		return c.keepCharge(charge)
	}
	var refused *limits.RefusedError
	if errors.As(err, &refused) {
		return notRunError(http.StatusTooManyRequests, "rate_limit_exceeded", refused.Error()).after(max(refused.RetryAfter, time.Second))
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return c.endError(cause)
	}
	return notRunError(http.StatusServiceUnavailable, "admission_failed", "the request could not be charged").after(time.Second)
}

// endError returns the error of a call that was cancelled before it was sent to an endpoint.
func (c *call) endError(cause error) *apiError {
	var e *dispatch.Error
	if errors.As(cause, &e) {
		return &apiError{failure: *e}
	}
	return notRunError(http.StatusServiceUnavailable, dispatch.CodeTimeout, "the request's time has run out").after(time.Second)
}

// keepCharge stores a charge, or returns its tokens if the call is settled already.
func (c *call) keepCharge(charge limits.Charge) *apiError {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	if c.finished {
		c.g.opts.Limiter.Settle(charge, 0)
		return c.endError(context.Canceled)
	}
	c.charge, c.charged = charge, true
	return nil
}

// settle replaces the charge by the actual usage, at the end of the call. Nothing is sent to an endpoint after it.
func (c *call) settle(used int64) {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	c.finished = true
	c.settleCharge(used)
}

// settleCharge settles the stored charge, if there is one. The caller holds chargeMu.
func (c *call) settleCharge(used int64) {
	if c.charged {
		c.g.opts.Limiter.Settle(c.charge, used)
		c.charged = false
	}
}

// dropExpiredCharge settles the charge with a usage of 0 if its shares of the rate may no longer be used, and returns its tokens.
func (c *call) dropExpiredCharge() (tokens int64, expired bool, err *apiError) {
	c.chargeMu.Lock()
	defer c.chargeMu.Unlock()
	if c.finished {
		return 0, false, c.endError(context.Canceled)
	}
	if !c.charged || c.g.opts.Limiter.StillValid(c.charge) {
		return 0, false, nil
	}
	tokens = c.charge.Tokens
	c.settleCharge(0)
	return tokens, true, nil
}

// beforeSend is called right before the request is sent to an endpoint. It checks what may have changed while the request was queued
// or the process paused: the configuration and the charge. If it returns an error, the request is not sent.
func (c *call) beforeSend() error {
	if err := c.permitted(c.g.opts.Source.View()); err != nil {
		return &err.failure
	}
	tokens, expired, err := c.dropExpiredCharge()
	if err != nil {
		return &err.failure
	}
	if !expired {
		return nil
	}
	// The charge has expired. Charge again, from the shares held now.
	if err := c.admit(tokens); err != nil {
		return &err.failure
	}
	if _, expired, _ := c.dropExpiredCharge(); !expired {
		return nil
	}
	return &notRunError(http.StatusServiceUnavailable, "admission_failed", "the request's charge has lapsed").after(time.Second).failure
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
