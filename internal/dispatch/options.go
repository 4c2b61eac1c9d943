// Package dispatch sends requests to the endpoints of its region. It chooses the endpoint, queues requests while all engine batches are
// full, retries failed attempts, resumes broken streams and cancels abandoned requests.
package dispatch

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// EndpointStates reports which endpoints the platform is about to remove.
type EndpointStates interface {
	// Leaving reports whether the endpoint of that name is listed as leaving.
	Leaving(name string) bool
}

// Options configure a Dispatcher. Zero values of times and sizes stand for the defaults.
type Options struct {
	Region     string
	DataCentre string
	Source     configsync.Source
	Clock      clock.Clock
	Logger     *zap.Logger
	// Metrics may be nil: nothing is counted then.
	Metrics tally.Scope
	// Traffic counts the bytes of load reports and cache events. Nil: they are not counted.
	Traffic *traffic.Meter
	// States may be nil: no endpoint is then listed as leaving.
	States EndpointStates
	// InstanceCount returns the number of instances that send requests to the region's endpoints, this one included. Nil: 2.
	InstanceCount func() int
	// Network publishes this instance's load at endpoints to the other instances of the region. Nil: they know it from load reports only.
	Network peer.Network
	// Peers returns the live other instances of the region. Required with Network.
	Peers func() []string
	// Chooser picks endpoints. Nil: routing.DefaultPolicy.
	Chooser routing.Chooser
	// Seed starts the random source of the endpoint choice. 0 takes one from the system.
	Seed uint64

	// PollInterval is the time between two polls of an endpoint's load report. With many endpoints it is longer, see pollInterval.
	PollInterval time.Duration
	// Dial opens connections to endpoints. Nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// ReportTimeout limits a poll for a load report.
	ReportTimeout time.Duration
	// DialTimeout limits the opening of a connection to an endpoint.
	DialTimeout time.Duration
	// FirstTokenTimeout limits the wait for the first token of an attempt, StallTimeout that for each further event of a stream.
	FirstTokenTimeout, StallTimeout time.Duration
	// ShortWait and LongWait are the longest times that requests of the two classes may wait for an endpoint.
	ShortWait, LongWait time.Duration
	// MaxQueued bounds the number of requests queued for a model or plain service.
	MaxQueued int
	// MaxAnswerBytes bounds the body of a response that is not streamed.
	MaxAnswerBytes int64
	// MaxAttempts bounds the attempts of a request, each at another endpoint if possible.
	MaxAttempts int
}

// Defaults of Options.
const (
	defaultPollInterval  = 250 * time.Millisecond
	defaultReportTimeout = time.Second
	defaultDialTimeout   = time.Second
	defaultFirstTimeout  = 60 * time.Second
	defaultStallTimeout  = 20 * time.Second
	defaultShortWait     = 5 * time.Second
	defaultLongWait      = 60 * time.Second
	defaultMaxQueued     = 4096
	defaultMaxAnswer     = 8 << 20
	defaultSharers       = 2
	defaultMaxAttempts   = 3
)

// Validate returns all errors of the options, joined, or nil.
func (o Options) Validate() error {
	var found []error
	if o.Region == "" {
		found = append(found, errors.New("dispatch: region is not set"))
	}
	if o.Network != nil && o.Peers == nil {
		found = append(found, errors.New("dispatch: peers are not set"))
	}
	if o.Source == nil {
		found = append(found, errors.New("dispatch: source of the configuration is not set"))
	}
	for _, d := range []time.Duration{o.PollInterval, o.ReportTimeout, o.DialTimeout, o.FirstTokenTimeout, o.StallTimeout, o.ShortWait, o.LongWait} {
		if d < 0 {
			found = append(found, errors.Newf("dispatch: time %v is negative", d))
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
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.InstanceCount == nil {
		o.InstanceCount = func() int { return defaultSharers }
	}
	if o.Chooser == nil {
		o.Chooser = routing.DefaultPolicy
	}
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.ReportTimeout = cmp.Or(o.ReportTimeout, defaultReportTimeout)
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.FirstTokenTimeout = cmp.Or(o.FirstTokenTimeout, defaultFirstTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, defaultStallTimeout)
	o.ShortWait = cmp.Or(o.ShortWait, defaultShortWait)
	o.LongWait = cmp.Or(o.LongWait, defaultLongWait)
	o.MaxQueued = cmp.Or(o.MaxQueued, defaultMaxQueued)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, defaultMaxAnswer)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	return o
}
