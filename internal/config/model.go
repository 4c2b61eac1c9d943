// Package config holds the operators' declarations: one YAML base file and an overlay for each site.
package config

import "time"

// Config is a checked declaration. It is immutable once loaded.
type Config struct {
	Regions       []Region       `yaml:"regions" json:"regions"`
	Models        []Model        `yaml:"models" json:"models"`
	Endpoints     []Endpoint     `yaml:"endpoints" json:"endpoints"`
	Services      []Service      `yaml:"services" json:"services"`
	Routes        []Route        `yaml:"routes" json:"routes"`
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Platform      Platform       `yaml:"platform" json:"platform"`
}

// Region is a zone that data may have to stay in.
type Region struct {
	Name        string   `yaml:"name" json:"name"`
	DataCentres []string `yaml:"data_centres" json:"data_centres"`
	// Slots is the number of slots that the region's rate shares are divided into: the largest number of entry
	// instances that can hold shares at once.
	Slots int `yaml:"slots" json:"slots"`
}

// Platform says which guarantees the site's platform gives.
type Platform struct {
	// RemovalFinal says that an incarnation that was listed and is absent from a newer instance list has ended for good.
	RemovalFinal bool `yaml:"removal_final" json:"removal_final"`
}

// Organisation is a customer with its fleet-wide rate.
type Organisation struct {
	Name  string  `yaml:"name" json:"name"`
	Rate  float64 `yaml:"rate" json:"rate"`   // tokens per second
	Burst float64 `yaml:"burst" json:"burst"` // tokens
	// Weight is the organisation's part in the fair queue relative to others. Default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Home is the region that the organisation's data must stay in. Empty: any region.
	Home string `yaml:"home,omitempty" json:"home,omitempty"`
	// RecordsRegion keeps the records of idempotency keys of an organisation without a home. Empty: chosen by hash.
	RecordsRegion string `yaml:"records_region,omitempty" json:"records_region,omitempty"`
	// Split gives each region's part of rate and burst; parts add up to 1. Empty: equal parts. Not with Home.
	Split map[string]float64 `yaml:"split,omitempty" json:"split,omitempty"`
	Keys  []Key              `yaml:"keys,omitempty" json:"keys,omitempty"`
	// Models that the organisation may use. Empty: all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
}

// Key is a caller's key. Only the hash of its secret is kept.
type Key struct {
	ID     string `yaml:"id" json:"id"`
	SHA256 string `yaml:"sha256" json:"sha256"` // hex digest of the secret
}

// Model is a model that callers name in their requests.
type Model struct {
	Name             string   `yaml:"name" json:"name"`
	Version          string   `yaml:"version" json:"version"`
	Adapters         []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	ContextTokens    int      `yaml:"context_tokens" json:"context_tokens"`         // prompt and output together
	DefaultMaxTokens int      `yaml:"default_max_tokens" json:"default_max_tokens"` // output limit if the caller gives none
	// LongPromptTokens is the prompt size from which a request counts as long work. Default 2,000.
	LongPromptTokens int `yaml:"long_prompt_tokens,omitempty" json:"long_prompt_tokens,omitempty"`
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
	Name       string       `yaml:"name" json:"name"`
	Kind       EndpointKind `yaml:"kind" json:"kind"`
	Addr       string       `yaml:"addr" json:"addr"` // ip:port
	Region     string       `yaml:"region" json:"region"`
	DataCentre string       `yaml:"data_centre" json:"data_centre"`
	Models     []string     `yaml:"models,omitempty" json:"models,omitempty"`   // of an engine
	Service    string       `yaml:"service,omitempty" json:"service,omitempty"` // of a plain service
	// ChecksFencing says that the endpoint refuses an order with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// Slots is the batch depth up to which requests are sent to an engine at once. Default 8.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// Drain stops new work to the endpoint.
	Drain bool `yaml:"drain,omitempty" json:"drain,omitempty"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// HomeBound keeps the service's requests in the region of the caller's entry instance.
	HomeBound bool `yaml:"home_bound,omitempty" json:"home_bound,omitempty"`
}

// Route declares a path of a plain service.
type Route struct {
	Name       string        `yaml:"name" json:"name"`
	Service    string        `yaml:"service" json:"service"`
	Method     string        `yaml:"method" json:"method"`
	Path       string        `yaml:"path" json:"path"` // pattern such as /deposits/{id}
	Idempotent bool          `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	Open       bool          `yaml:"open,omitempty" json:"open,omitempty"` // needs no key
	Deadline   time.Duration `yaml:"deadline" json:"deadline"`
	BodyLimit  int64         `yaml:"body_limit" json:"body_limit"` // bytes
	// Tokens that a call is charged. Default 1.
	Tokens int64 `yaml:"tokens,omitempty" json:"tokens,omitempty"`
}
