// Package gateway serves callers over HTTP. It checks a request's key and data residency, charges the organisation's rate, and
// sends the request to an endpoint of this region or forwards it to an instance of a remote region.
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

// Entry is an instance that callers may send requests to.
type Entry struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	CallerAddr string `json:"caller_addr"` // ip:port
}

// Entries ranks the live instances for an organisation.
type Entries interface {
	// Entries returns the instances of a region for an organisation, best first, and how long the answer is valid. An empty
	// region stands for all regions.
	Entries(organisation, region string) (entries []Entry, valid time.Duration)
}

// RemoteRegions provides the last known load of the remote regions.
type RemoteRegions interface {
	// ForModel returns the load of the remote regions that serve a model.
	ForModel(name string) []routing.RegionLoad
	// ForService returns the load of the remote regions that have endpoints of a service.
	ForService(name string) []routing.RegionLoad
}

// Dispatcher sends requests to the endpoints of this region. See dispatch.Dispatcher for its methods.
type Dispatcher interface {
	Stream(ctx context.Context, c *dispatch.ModelCall, sink func(data []byte) error) error
	Complete(ctx context.Context, c *dispatch.ModelCall) (*operations.Answer, dispatch.Usage, error)
	Call(ctx context.Context, c *dispatch.ServiceCall) (*operations.Answer, operations.Execution, error)
	ServesModel(model string) bool
	ServesService(service string) bool
	RecordRequest()
	AllowRetry() bool
	EstimateWait(model, organisation string, weight float64, class fairqueue.Class, tokens float64) time.Duration
}

var _ Dispatcher = (*dispatch.Dispatcher)(nil)

// Options configure a Gateway. Zero values of times and sizes stand for the defaults.
type Options struct {
	Region     string
	Source     configsync.Source
	Limiter    limits.Limiter
	Dispatcher Dispatcher
	// Operations may be nil: requests with an idempotency key are then rejected.
	Operations operations.Operations
	// Network may be nil: no requests are then forwarded to remote regions or accepted from them.
	Network peer.Network
	// Entries and Regions may be nil: no entries are then named to callers, and no requests forwarded.
	Entries Entries
	Regions RemoteRegions
	Clock   clock.Clock
	Logger  *zap.Logger
	// Metrics may be nil: no metrics are then recorded.
	Metrics tally.Scope

	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to read a request's body. One second is added to it for each BodyRate bytes.
	BodyTimeout time.Duration
	BodyRate    int64 // bytes per second
	// WriteTimeout limits the time to write an event of a stream, or a whole answer. For the latter, one second is added for each
	// BodyRate bytes.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which connections without a request are closed.
	IdleTimeout time.Duration
	// ModelDeadline limits a model request, ServiceDeadline a route that declares no deadline.
	ModelDeadline, ServiceDeadline time.Duration
	// MaxHeader bounds a header, MaxModelBody the body of a model request, MaxServiceBody that of a route that declares no
	// limit, in bytes.
	MaxHeader                    int
	MaxModelBody, MaxServiceBody int64
	// MaxBodyMemory bounds the sum of the request bodies held in memory, in bytes.
	MaxBodyMemory int64
	// MaxConnections bounds the number of callers' connections.
	MaxConnections int
	// StopDelay is the time between the start of draining and the end of listening at a planned stop.
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

// Validate returns the errors of all invalid options, joined.
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

// findModel returns the declared model of that name, or nil.
func findModel(c *config.Config, name string) *config.Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// findService returns the declared service of that name, or nil.
func findService(c *config.Config, name string) *config.Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// findRoute returns the declared route of that name, or nil.
func findRoute(c *config.Config, name string) *config.Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// mayUse reports whether an organisation may use a model. An organisation that lists no models may use all.
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
