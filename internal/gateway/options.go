// Package gateway answers callers over HTTP: it checks keys and residency, charges, and passes requests to endpoints of this
// region or to an instance of another one.
package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/fairqueue"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// Entry is an instance that callers may use.
type Entry struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	CallerAddr string `json:"caller_addr"` // ip:port
}

// Entries ranks the live instances.
type Entries interface {
	// Entries returns the instances of a region for an organisation, best first, and how long the answer holds. An empty
	// region stands for all regions.
	Entries(organisation, region string) (entries []Entry, valid time.Duration)
}

// RemoteRegions gives the last known load of the other regions.
type RemoteRegions interface {
	// ForModel returns the summaries of the regions that serve a model.
	ForModel(name string) []routing.RegionLoad
	// ForService returns the summaries of the regions that have a plain service.
	ForService(name string) []routing.RegionLoad
}

// Dispatcher sends requests to the endpoints of this region.
type Dispatcher interface {
	Stream(ctx context.Context, c *dispatch.ModelCall, sink func(data []byte) error) error
	Plain(ctx context.Context, c *dispatch.ModelCall) (*operations.Answer, dispatch.Usage, error)
	Call(ctx context.Context, c *dispatch.ServiceCall) (*operations.Answer, operations.Execution, error)
	Serves(model string) bool
	ServesService(service string) bool
	EarnRetry()
	SpendRetry() bool
	Wait(model, organisation string, weight float64, class fairqueue.Class, tokens float64) time.Duration
}

var _ Dispatcher = (*dispatch.Dispatcher)(nil)

// Options configure a Gateway. Zero values of times and sizes stand for the defaults.
type Options struct {
	Region     string
	Source     configsync.Source
	Limiter    limits.Limiter
	Dispatcher Dispatcher
	// Operations may be nil: idempotency keys are then refused.
	Operations operations.Operations
	// Network may be nil: nothing is then forwarded or taken from other regions.
	Network peer.Network
	// Entries and Regions may be nil.
	Entries Entries
	Regions RemoteRegions
	Clock   clock.Clock
	Logger  *zap.Logger
	// Metrics may be nil: nothing is counted then.
	Metrics tally.Scope

	// HeaderTimeout limits the time for a request's header.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time for a request's body, to which a second is added for each BodyRate bytes.
	BodyTimeout time.Duration
	BodyRate    int64 // bytes per second
	// WriteTimeout limits how long the caller may take to read a part of an answer.
	WriteTimeout time.Duration
	// IdleTimeout ends connections without a request.
	IdleTimeout time.Duration
	// ModelDeadline limits a model request, ServiceDeadline a route that declares no deadline.
	ModelDeadline, ServiceDeadline time.Duration
	// MaxHeader bounds a header, MaxModelBody the body of a model request, MaxServiceBody that of a route that declares no
	// limit, in bytes.
	MaxHeader                    int
	MaxModelBody, MaxServiceBody int64
	// MaxBodyMemory bounds the bodies held at once, in bytes.
	MaxBodyMemory int64
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// StopDelay is the time between the end of readiness and the end of listening at a planned stop.
	StopDelay time.Duration
}

// Defaults of Options.
const (
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultBodyRate        = 64 << 10
	defaultWriteTimeout    = 30 * time.Second
	defaultIdleTimeout     = time.Minute
	defaultModelDeadline   = 10 * time.Minute
	defaultServiceDeadline = 30 * time.Second
	defaultMaxHeader       = 16 << 10
	defaultMaxModelBody    = 4 << 20
	defaultMaxServiceBody  = 1 << 20
	defaultMaxBodyMemory   = 256 << 20
	defaultMaxConnections  = 20000
	defaultStopDelay       = 5 * time.Second
)

// Validate returns all findings, joined.
func (o Options) Validate() error {
	var found []error
	if o.Region == "" {
		found = append(found, errors.New("gateway: region is not set"))
	}
	if o.Source == nil {
		found = append(found, errors.New("gateway: source of the configuration is not set"))
	}
	if o.Limiter == nil {
		found = append(found, errors.New("gateway: limiter is not set"))
	}
	if o.Dispatcher == nil {
		found = append(found, errors.New("gateway: dispatcher is not set"))
	}
	for _, d := range []time.Duration{o.HeaderTimeout, o.BodyTimeout, o.WriteTimeout, o.IdleTimeout, o.ModelDeadline,
		o.ServiceDeadline, o.StopDelay} {
		if d < 0 {
			found = append(found, errors.Newf("gateway: time %v is negative", d))
		}
	}
	for _, n := range []int64{int64(o.MaxHeader), o.MaxModelBody, o.MaxServiceBody, o.MaxBodyMemory, o.BodyRate,
		int64(o.MaxConnections)} {
		if n < 0 {
			found = append(found, errors.Newf("gateway: size %d is negative", n))
		}
	}
	return errors.Join(found...)
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, defaultHeaderTimeout)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, defaultBodyTimeout)
	o.BodyRate = cmp.Or(o.BodyRate, defaultBodyRate)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.ModelDeadline = cmp.Or(o.ModelDeadline, defaultModelDeadline)
	o.ServiceDeadline = cmp.Or(o.ServiceDeadline, defaultServiceDeadline)
	o.MaxHeader = cmp.Or(o.MaxHeader, defaultMaxHeader)
	o.MaxModelBody = cmp.Or(o.MaxModelBody, defaultMaxModelBody)
	o.MaxServiceBody = cmp.Or(o.MaxServiceBody, defaultMaxServiceBody)
	o.MaxBodyMemory = cmp.Or(o.MaxBodyMemory, defaultMaxBodyMemory)
	o.MaxConnections = cmp.Or(o.MaxConnections, defaultMaxConnections)
	o.StopDelay = cmp.Or(o.StopDelay, defaultStopDelay)
	return o
}

// findModel returns a declared model, or nil.
func findModel(c *config.Config, name string) *config.Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// findService returns a declared service, or nil.
func findService(c *config.Config, name string) *config.Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// findRoute returns a declared route, or nil.
func findRoute(c *config.Config, name string) *config.Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// mayUse reports whether an organisation may use a model.
func mayUse(org *config.Organisation, model string) bool {
	if len(org.Models) == 0 {
		return true
	}
	for _, m := range org.Models {
		if m == model {
			return true
		}
	}
	return false
}
