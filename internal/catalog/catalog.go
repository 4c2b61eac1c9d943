// Package catalog holds the operator's configuration for a platform that lists its endpoints itself: routes, services,
// organisations and limits. A Configuration is immutable once New has returned it.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind determines whether requests of a route may be retried.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by server-sent events; they run at most once unless the route is resumable.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	}
	return fmt.Sprintf("kind(%d)", int(k))
}

// Target is a service that serves part of a route.
type Target struct {
	Service string
	Weight  float64 // relative to the route's other targets
}

// Route declares where the requests of a host and path prefix go.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time that a request may wait
	LatencyObjective time.Duration // longest latency, or time to the first event of a stream, that counts as on time
	MaxEventGap      time.Duration // longest pause between events that counts as on time
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxAttempts      int      // endpoints to which one request may be sent
	Public           bool     // needs no key
	Sticky           bool     // requests share prompt prefixes
	Resumable        bool     // a stream may continue at another endpoint
	HomeRegions      []string // regions that may serve it; empty: all
	// Unusable says that the declaration has no service for the requests of the route. They are rejected, and not served by a route with a
	// shorter prefix.
	Unusable bool
}

// rank orders routes with prefixes of the same length: those that can be used go first.
func (r *Route) rank() int {
	if r.Unusable {
		return 1
	}
	return 0
}

// Retryable reports whether a request may be sent to another endpoint even if the first one may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, chosen by the weights of the targets. The same ID always gives the same
// service.
func (r *Route) Service(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	h := fnv.New64a()
	h.Write([]byte(requestID))
	at := float64(mix(h.Sum64())>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// mix spreads a hash over all bits (the finaliser of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int     // requests in a batch
	KVCacheTokens float64 // memory for prompts and answers, in tokens
	// EventTokens is the number of output tokens that one event of a stream holds; 1 if it is not declared.
	EventTokens float64
	// CopyRate is the rate, in tokens per second, at which an engine copies cached prompt parts from another one; 0: it cannot
	// copy.
	CopyRate float64
}

// Service is a set of endpoints of the same kind.
type Service struct {
	Name       string
	ColdPeriod time.Duration // time after its start during which an endpoint is cold
	ColdRate   float64       // requests/s that a cold endpoint can take; 0: no limit
	Engine     *Engine       // nil for a plain service
}

// Organisation is a customer with its keys and its fleet-wide rate.
type Organisation struct {
	Name          string
	Keys          []string
	Priority      int  // takes precedence over the route's; valid if HasPriority
	HasPriority   bool // false: the route's priority counts
	CountTokens   bool // rate and burst count tokens; otherwise requests
	DefaultTokens float64
	Rate          float64 // per second; 0: no limit
	Burst         float64
	HomeRegions   []string // regions that may serve it; empty: all
}

// Cost returns how much of the organisation's rate a request uses. tokens is 0 for a request that declares none.
func (o *Organisation) Cost(tokens float64) float64 {
	switch {
	case !o.CountTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return o.DefaultTokens
}

// Limits holds the size and time limits for callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one checked version of the operator's declarations.
type Configuration struct {
	Version int64
	Limits  Limits
	// Findings are the mistakes of the declaration with their positions. What each concerns is left out or has a default.
	Findings      []error
	routes        map[string][]*Route // by host, longest prefix first, then those that can be used
	services      map[string]*Service
	organisations map[string]*Organisation
	keys          map[[sha256.Size]byte]*Organisation
	routeless     bool // routes are declared, and none of them can be used
}

// Declaration is the content of a configuration before it is checked. Entries that the decoder has left out are nil, so that positions in
// findings are those in the document.
type Declaration struct {
	Version       int64
	Routes        []*Route
	Services      []*Service
	Organisations []*Organisation
	Limits        Limits
	Findings      []error // of the decoder, which has left out what they concern
}

// New checks a declaration and returns its configuration. A mistake concerns as little of it as possible, so that the rest of the version
// comes into force: a key that was withdrawn, or a route that has gone, has nothing to do with a mistake elsewhere. It fails if the version is
// none.
func New(d Declaration) (*Configuration, error) {
	if d.Version < 0 {
		return nil, errors.Newf("version %d is negative", d.Version)
	}
	c := &Configuration{
		Version:       d.Version,
		Limits:        d.Limits,
		Findings:      d.Findings,
		routes:        make(map[string][]*Route),
		services:      make(map[string]*Service),
		organisations: make(map[string]*Organisation),
		keys:          make(map[[sha256.Size]byte]*Organisation),
	}
	for i, s := range d.Services {
		if s != nil {
			c.report(c.addService(s), "services[%d] %q", i, s.Name)
		}
	}
	usable := 0
	for i, r := range d.Routes {
		if r == nil {
			continue
		}
		c.report(c.addRoute(r), "routes[%d] %q", i, r.Name)
		if !r.Unusable {
			usable++
		}
	}
	for i, o := range d.Organisations {
		if o != nil {
			c.report(c.addOrganisation(o), "organisations[%d] %q", i, o.Name)
		}
	}
	c.routeless = usable == 0 && len(d.Routes) > 0
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.rank(), b.rank()))
		})
	}
	return c, nil
}

// Following returns the configuration that comes into force after the one before, which may be nil. If none of the routes that it declares
// can be used, routes and services of the one before remain in force; keys and rates do not.
func (c *Configuration) Following(before *Configuration) *Configuration {
	if !c.routeless || before == nil {
		return c
	}
	next := *c
	next.routes, next.services = before.routes, before.services
	next.Findings = append(slices.Clone(c.Findings), errors.New("no declared route can be used; those in force before remain"))
	return &next
}

// report adds the findings of one entry.
func (c *Configuration) report(findings []error, position string, args ...any) {
	for _, err := range findings {
		c.Findings = append(c.Findings, errors.Wrapf(err, position, args...))
	}
}

// addService adds a service. One without a valid engine is a plain one.
func (c *Configuration) addService(s *Service) (findings []error) {
	if s.Name == "" {
		return []error{errors.New("name is empty; the service is left out")}
	}
	if c.services[s.Name] != nil {
		return []error{errors.New("name is used twice; the first service counts")}
	}
	if !isFiniteNonNegative(s.ColdRate) {
		findings = append(findings, errors.Newf("cold rate %v is not a number of 0 or more; there is no cold rate", s.ColdRate))
		s.ColdRate = 0
	}
	if s.Engine != nil && !(s.Engine.Slots > 0 && s.Engine.KVCacheTokens > 0) {
		findings = append(findings, errors.New("an engine needs slots and memory above 0; it counts as a plain service"))
		s.Engine = nil
	}
	c.services[s.Name] = s
	return findings
}

// addRoute adds a route with the targets that are declared. It becomes unusable if none is.
func (c *Configuration) addRoute(r *Route) (findings []error) {
	if !strings.HasPrefix(r.Prefix, "/") {
		r.Unusable = true
		return []error{errors.Newf("prefix %q does not begin with a slash; the route is left out", r.Prefix)}
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		findings = append(findings, errors.Newf("prefix %q does not end with a slash; one is added", r.Prefix))
		r.Prefix += "/"
	}
	declared := make([]Target, 0, len(r.Targets))
	for _, t := range r.Targets {
		if c.services[t.Service] == nil {
			findings = append(findings, errors.Newf("service %q is not declared; it gets no requests", t.Service))
			continue
		}
		if !isFiniteNonNegative(t.Weight) {
			findings = append(findings, errors.Newf("weight %v of service %q is not a number of 0 or more; it is taken for 0", t.Weight, t.Service))
			t.Weight = 0
		}
		declared = append(declared, t)
	}
	if r.Targets = declared; len(declared) == 0 && !r.Unusable {
		findings = append(findings, errors.New("no service is left; requests are rejected"))
		r.Unusable = true
	}
	host := canonicalHost(r.Host)
	c.routes[host] = append(c.routes[host], r)
	return findings
}

// addOrganisation adds an organisation with its keys. A key may be listed repeatedly, but not by two organisations.
func (c *Configuration) addOrganisation(o *Organisation) (findings []error) {
	if o.Name == "" {
		return []error{errors.New("name is empty; the organisation is left out")}
	}
	if known := c.organisations[o.Name]; known != nil {
		findings = append(findings, errors.New("name is used twice; the first organisation counts, with the keys of both"))
		return append(findings, c.addKeys(known, o.Keys)...)
	}
	if !isFiniteNonNegative(o.Rate) || !isFiniteNonNegative(o.Burst) || !isFiniteNonNegative(o.DefaultTokens) {
		return []error{errors.New("rate, burst and plain tokens must be numbers of 0 or more; the organisation is left out")}
	}
	c.organisations[o.Name] = o
	return c.addKeys(o, o.Keys)
}

func (c *Configuration) addKeys(o *Organisation, keys []string) (findings []error) {
	for i, key := range keys {
		if key == "" {
			findings = append(findings, errors.Newf("keys[%d] is empty; it is left out", i))
			continue
		}
		digest := sha256.Sum256([]byte(key))
		if other := c.keys[digest]; other != nil && other != o {
			findings = append(findings, errors.Newf("keys[%d] is held by organisation %q too, which keeps it", i, other.Name))
			continue
		}
		c.keys[digest] = o
	}
	return findings
}

// isFiniteNonNegative reports whether x is a number of 0 or more.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Match returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.routes[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CountHomeRoutes returns the number of the host's routes that are restricted to home regions, the given region among
// them.
func (c *Configuration) CountHomeRoutes(host, region string) int {
	n := 0
	for _, r := range c.routes[canonicalHost(host)] {
		if !r.Unusable && len(r.HomeRegions) > 0 && slices.Contains(r.HomeRegions, region) {
			n++
		}
	}
	return n
}

// canonicalHost returns a host name in lower case and without the port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns a declared service, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Organisation returns a declared organisation, or nil.
func (c *Configuration) Organisation(name string) *Organisation { return c.organisations[name] }

// Organisations calls f for each organisation, in no order.
func (c *Configuration) Organisations(f func(*Organisation)) {
	for _, o := range c.organisations {
		f(o)
	}
}

// OrganisationByKey returns the organisation that holds a key, or nil. The lookup uses a digest of the
// key, so that its duration reveals nothing about the key.
func (c *Configuration) OrganisationByKey(key string) *Organisation {
	return c.keys[sha256.Sum256([]byte(key))]
}

// AllowedRegions returns the regions that may handle a request of the route for the organisation (nil on a public route). bound
// is false if all regions may. If both have home regions, only those in common are returned, possibly none.
func AllowedRegions(r *Route, o *Organisation) (regions []string, bound bool) {
	if o == nil || len(o.HomeRegions) == 0 {
		return r.HomeRegions, len(r.HomeRegions) > 0
	}
	if len(r.HomeRegions) == 0 {
		return o.HomeRegions, true
	}
	for _, home := range r.HomeRegions {
		if slices.Contains(o.HomeRegions, home) {
			regions = append(regions, home)
		}
	}
	return regions, true
}
