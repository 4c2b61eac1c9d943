// Package config holds the operators' declarations: one YAML base file and an overlay for each site.
//
// The struct tags drive the strict decoder, the merge of overlays and the reference page in docs/configuration.md:
// "yaml" names the field, "required" makes its absence a finding, "default" is the value of an absent field, "unit" is the
// unit of a number, and "key" is the field that identifies the items of a list when an overlay is merged.
package config

import (
	"slices"
	"time"
)

//go:generate go run ./gendoc

// Config is a checked declaration. It is immutable once loaded.
type Config struct {
	// Regions are the zones of the site. Their names appear in endpoints, homes and splits.
	Regions []Region `yaml:"regions" json:"regions" key:"name"`
	// Models are the models that callers name in their requests.
	Models []Model `yaml:"models" json:"models" key:"name"`
	// Endpoints are the back ends: engines and plain services.
	Endpoints []Endpoint `yaml:"endpoints" json:"endpoints" key:"name"`
	// Services are the plain services beside the engines.
	Services []Service `yaml:"services" json:"services" key:"name"`
	// Routes are the paths of plain services that callers may use.
	Routes []Route `yaml:"routes" json:"routes" key:"name"`
	// Organisations are the customers.
	Organisations []Organisation `yaml:"organisations" json:"organisations" key:"name"`
	// Platform states what the site's platform guarantees.
	Platform Platform `yaml:"platform" json:"platform"`
}

// Region is a zone that data may have to stay in.
type Region struct {
	// Name of the region.
	Name string `yaml:"name" json:"name" required:"true"`
	// DataCentres of the region. A data centre belongs to one region.
	DataCentres []string `yaml:"data_centres" json:"data_centres" required:"true"`
	// DrainDataCentres are those of the data centres whose endpoints get no new work and whose entry instances are left out
	// of the entries.
	DrainDataCentres []string `yaml:"drain_data_centres,omitempty" json:"drain_data_centres,omitempty"`
	// Slots is the number of slots that the region's rate shares are divided into: the largest number of entry
	// instances that can hold shares at once. It cannot be changed once applied. A region with 0 slots has endpoints only.
	Slots int `yaml:"slots" json:"slots" required:"true"`
}

// Platform says which guarantees the site's platform gives.
type Platform struct {
	// RemovalFinal says that an incarnation that was listed and is absent from a newer instance list has ended for good.
	RemovalFinal bool `yaml:"removal_final" json:"removal_final"`
}

// Organisation is a customer with its fleet-wide rate.
type Organisation struct {
	// Name of the organisation.
	Name string `yaml:"name" json:"name" required:"true"`
	// Rate that the organisation may use across all instances.
	Rate float64 `yaml:"rate" json:"rate" required:"true" unit:"tokens/s"`
	// Burst that the organisation may use at once across all instances.
	Burst float64 `yaml:"burst" json:"burst" required:"true" unit:"tokens"`
	// Weight is the organisation's part in the fair queue relative to others.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty" default:"1"`
	// Home is the region that the organisation's data must stay in. Empty: any region.
	Home string `yaml:"home,omitempty" json:"home,omitempty"`
	// RecordsRegion keeps the records of idempotency keys of an organisation without a home. Empty: chosen by hash.
	RecordsRegion string `yaml:"records_region,omitempty" json:"records_region,omitempty"`
	// Split gives each region's part of rate and burst; parts add up to 1. Empty: equal parts. Not with Home.
	// An overlay replaces it as a whole.
	Split map[string]float64 `yaml:"split,omitempty" json:"split,omitempty"`
	// Keys are declared key hashes. Keys issued with dogwoodctl are kept in the store only.
	Keys []Key `yaml:"keys,omitempty" json:"keys,omitempty" key:"id"`
	// Models that the organisation may use. Empty: all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Previous entitlements that some instance may still apply. Set by dogwoodctl apply, not declared.
	Previous []Entitlement `yaml:"-" json:"previous,omitempty"`
}

// Entitlement is what an organisation was entitled to before a revision replaced it.
type Entitlement struct {
	// Revision that replaced the entitlement.
	Revision int64   `json:"revision"`
	Rate     float64 `json:"rate"`  // tokens per second
	Burst    float64 `json:"burst"` // tokens
	Home     string  `json:"home,omitempty"`
	// Split holds the parts in force, equal parts written out, since regions may have been added. Empty with Home.
	Split map[string]float64 `json:"split,omitempty"`
}

// Key is a caller's key. Only the hash of its secret is kept.
type Key struct {
	// ID is the middle part of the key dk_<id>_<secret>.
	ID string `yaml:"id" json:"id" required:"true"`
	// SHA256 is the digest of the secret in hexadecimal.
	SHA256 string `yaml:"sha256" json:"sha256" required:"true"`
}

// Model is a model that callers name in their requests.
type Model struct {
	// Name of the model.
	Name string `yaml:"name" json:"name" required:"true"`
	// Version of the weights that engines shall serve.
	Version string `yaml:"version" json:"version" required:"true"`
	// Adapters that engines shall load with the model.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// ContextTokens is the limit for prompt and output together.
	ContextTokens int `yaml:"context_tokens" json:"context_tokens" required:"true" unit:"tokens"`
	// DefaultMaxTokens is the output limit if the caller gives none.
	DefaultMaxTokens int `yaml:"default_max_tokens" json:"default_max_tokens" required:"true" unit:"tokens"`
	// LongPromptTokens is the prompt size from which a request counts as long work.
	LongPromptTokens int `yaml:"long_prompt_tokens,omitempty" json:"long_prompt_tokens,omitempty" default:"2000" unit:"tokens"`
}

// EndpointKind tells model engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Endpoint is a back end that requests are sent to.
type Endpoint struct {
	// Name of the endpoint.
	Name string `yaml:"name" json:"name" required:"true"`
	// Kind is engine or service.
	Kind EndpointKind `yaml:"kind" json:"kind" required:"true"`
	// Addr is the IP address and port. Host names are refused.
	Addr string `yaml:"addr" json:"addr" required:"true"`
	// Region that the endpoint is in.
	Region string `yaml:"region" json:"region" required:"true"`
	// DataCentre that the endpoint is in. It belongs to the region.
	DataCentre string `yaml:"data_centre" json:"data_centre" required:"true"`
	// Models that an engine may serve.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Service that a plain service endpoint runs.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// ChecksFencing says that the endpoint refuses an order with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// Slots is the batch depth up to which requests are sent to an engine at once.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty" default:"8"`
	// Drain stops new work to the endpoint.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
}

// Drained reports whether an endpoint gets no new work, by its own declaration or by that of its data centre.
func (c *Config) Drained(e *Endpoint) bool { return e.Drain || c.DataCentreDrained(e.DataCentre) }

// DataCentreDrained reports whether a data centre is declared to take no new work.
func (c *Config) DataCentreDrained(name string) bool {
	for i := range c.Regions {
		if slices.Contains(c.Regions[i].DrainDataCentres, name) {
			return true
		}
	}
	return false
}

// Service is a plain service beside the engines.
type Service struct {
	// Name of the service.
	Name string `yaml:"name" json:"name" required:"true"`
	// HomeBound keeps the service's requests in the region of the caller's entry instance.
	HomeBound bool `yaml:"home_bound,omitempty" json:"home_bound,omitempty"`
}

// Route declares a path of a plain service. An undeclared path is refused.
type Route struct {
	// Name of the route.
	Name string `yaml:"name" json:"name" required:"true"`
	// Service that serves the route.
	Service string `yaml:"service" json:"service" required:"true"`
	// Method is the HTTP method in capitals.
	Method string `yaml:"method" json:"method" required:"true"`
	// Path is a pattern such as /deposits/{id}. A parameter matches one path segment. Two routes with the same method
	// must not match the same path.
	Path string `yaml:"path" json:"path" required:"true"`
	// Idempotent allows the request to be sent again after a failure.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Open routes need no key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// Deadline of a call, with a unit such as 30s.
	Deadline time.Duration `yaml:"deadline" json:"deadline" required:"true" unit:"duration"`
	// BodyLimit is the largest request body. Suffixes kB, MB, KiB and MiB are understood.
	BodyLimit int64 `yaml:"body_limit" json:"body_limit" default:"1MiB" unit:"bytes"`
	// Tokens that a call is charged.
	Tokens int64 `yaml:"tokens,omitempty" json:"tokens,omitempty" default:"1" unit:"tokens"`
}

// Parts returns each region's part of the organisation's rate and burst. The parts add up to 1: everything in the home, else
// the declared split, else equal parts for the regions that have slots.
func (o *Organisation) Parts(regions []Region) map[string]float64 {
	if o.Home != "" {
		return map[string]float64{o.Home: 1}
	}
	if len(o.Split) > 0 {
		return o.Split
	}
	return equalParts(regions)
}

func equalParts(regions []Region) map[string]float64 {
	n := 0
	for _, r := range regions {
		if r.Slots > 0 {
			n++
		}
	}
	parts := make(map[string]float64, n)
	for _, r := range regions {
		if r.Slots > 0 {
			parts[r.Name] = 1 / float64(n)
		}
	}
	return parts
}
