// Package members maintains an instance's view of the other instances: it polls the platform's instance list, probes a
// few instances, exchanges reports of failures, and publishes the live instances to the platform's directory.
package members

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Default values of Options.
const (
	defaultMinPollInterval   = time.Second
	defaultDirectoryInterval = 5 * time.Second
)

// Payload is the part of a heartbeat that other packages supply and consume.
type Payload struct {
	Load *wire.LoadSummary
	// RoundTrip is the round-trip time of the probe whose answer carried the payload, or 0 if the other instance sent the
	// probe.
	RoundTrip time.Duration
}

// Options configures a Service. Zero fields take their defaults, except for those marked as required.
type Options struct {
	Network   peer.Network          // required
	List      platform.InstanceList // required
	Directory platform.Directory    // nil: this instance publishes no entries
	Clock     clock.Clock           // default: the boot clock
	Self      membership.Row        // required; Kind and State are set by the service

	Params      membership.Params
	EntryParams membership.EntryParams
	// Drained reports whether a data centre takes no new callers; nil: none is drained. It must not block.
	Drained func(dataCentre string) bool

	// MinPollInterval is the interval at which one instance of each region reads the list. The interval is longer if the
	// list is large and the region small.
	MinPollInterval time.Duration
	// DirectoryInterval is the shortest time between two publications.
	DirectoryInterval time.Duration

	// Payload supplies the payload of this instance's heartbeats; nil: an empty payload.
	Payload func() Payload
	// OnPayload consumes the payload of each heartbeat received. It must not block.
	OnPayload func(from peer.Identity, p Payload)

	Logger *zap.Logger
	Scope  tally.Scope
}

// Validate returns all errors in the options, joined.
func (o *Options) Validate() error {
	var findings []error
	check := func(ok bool, text string) {
		if !ok {
			findings = append(findings, errors.New(text))
		}
	}
	check(o.Network != nil, "Network is missing")
	check(o.List != nil, "List is missing")
	check(o.Self.Name != "", "Self.Name is empty")
	check(o.Self.Region != "", "Self.Region is empty")
	check(o.Self.DataCentre != "", "Self.DataCentre is empty")
	check(o.Self.Incarnation != 0, "Self.Incarnation is 0")
	check(o.Self.PeerAddr != "", "Self.PeerAddr is empty")
	check(o.MinPollInterval >= 0, "MinPollInterval is negative")
	check(o.DirectoryInterval >= 0, "DirectoryInterval is negative")
	if o.Params != (membership.Params{}) {
		findings = append(findings, o.Params.Validate())
	}
	if o.EntryParams != (membership.EntryParams{}) {
		findings = append(findings, o.EntryParams.Validate())
	}
	return errors.Join(findings...)
}

func (o *Options) setDefaults() {
	o.Params = cmp.Or(o.Params, membership.DefaultParams())
	o.EntryParams = cmp.Or(o.EntryParams, membership.DefaultEntryParams())
	o.MinPollInterval = cmp.Or(o.MinPollInterval, defaultMinPollInterval)
	o.DirectoryInterval = cmp.Or(o.DirectoryInterval, defaultDirectoryInterval)
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Payload == nil {
		o.Payload = func() Payload { return Payload{} }
	}
	if o.OnPayload == nil {
		o.OnPayload = func(peer.Identity, Payload) {}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Self.Kind = platform.KindEntry
	o.Self.State = platform.StateLive
}
