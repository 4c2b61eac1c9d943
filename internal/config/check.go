package config

import (
	"encoding/hex"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
)

// splitTolerance covers the rounding of decimal parts in binary.
const splitTolerance = 1e-9

// maxTokens bounds rates and bursts so that sums over a day stay exact in a float64.
const maxTokens = 1e11

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	keyIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	methods      = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

// checker finds faults that need more than one field.
type checker struct {
	*collector
	cfg *Config
	at  func(path ...any) Position

	regions     map[string]*Region
	dataCentres map[string]string // region by data centre
	models      map[string]*Model
	services    map[string]bool
}

func check(cfg *Config, at func(path ...any) Position, c *collector) {
	k := &checker{
		collector:   c,
		cfg:         cfg,
		at:          at,
		regions:     make(map[string]*Region),
		dataCentres: make(map[string]string),
		models:      make(map[string]*Model),
		services:    make(map[string]bool),
	}
	k.checkRegions()
	k.checkModels()
	k.checkServices()
	k.checkEndpoints()
	k.checkRoutes()
	k.checkOrganisations()
}

// fault adds a finding at a path.
func (k *checker) fault(path []any, format string, args ...any) {
	k.addUnlessFound(k.at(path...), format, args...)
}

func path(steps ...any) []any { return steps }

func (k *checker) checkName(name string, p []any) {
	if !namePattern.MatchString(name) {
		k.fault(p, "name %q must have 1 to 63 letters, digits, dots, underscores or hyphens and start with a letter or digit", name)
	}
}

// repeated reports positions of texts that occur earlier in the list.
func (k *checker) checkRepeated(what string, list []string, p ...any) {
	first := make(map[string]int, len(list))
	for i, s := range list {
		if j, ok := first[s]; ok {
			k.fault(append(slices.Clone(p), i), "duplicate: %s %q is already listed at %s", what, s, k.at(append(slices.Clone(p), j)...))
			continue
		}
		first[s] = i
	}
}

// checkNames checks the names of a section. Duplicates within a file were found before the merge, so that any found
// here come from a configuration without files.
func (k *checker) checkNames(section string, names []string) {
	first := make(map[string]bool, len(names))
	for i, name := range names {
		k.checkName(name, path(section, i, "name"))
		if first[name] {
			k.fault(path(section, i, "name"), "duplicate: name %q is already declared", name)
		}
		first[name] = true
	}
}

func namesOf[T any](items []T, name func(*T) string) []string {
	names := make([]string, len(items))
	for i := range items {
		names[i] = name(&items[i])
	}
	return names
}

func (k *checker) checkRegions() {
	k.checkNames("regions", namesOf(k.cfg.Regions, func(r *Region) string { return r.Name }))
	slots := 0
	for i := range k.cfg.Regions {
		r := &k.cfg.Regions[i]
		k.regions[r.Name] = r
		slots += max(r.Slots, 0)
		if r.Slots < 0 || r.Slots > 10000 {
			k.fault(path("regions", i, "slots"), "slots must be between 0 and 10000, found %d", r.Slots)
		}
		if len(r.DataCentres) == 0 {
			k.fault(path("regions", i, "data_centres"), "region %q needs at least one data centre", r.Name)
		}
		for j, dc := range r.DataCentres {
			p := path("regions", i, "data_centres", j)
			k.checkName(dc, p)
			if other, ok := k.dataCentres[dc]; ok {
				k.fault(p, "duplicate: data centre %q already belongs to region %q", dc, other)
				continue
			}
			k.dataCentres[dc] = r.Name
		}
		k.checkRepeated("data centre", r.DrainDataCentres, "regions", i, "drain_data_centres")
		for j, dc := range r.DrainDataCentres {
			if !slices.Contains(r.DataCentres, dc) {
				k.fault(path("regions", i, "drain_data_centres", j), "data centre %q is not in region %q", dc, r.Name)
			}
		}
	}
	if len(k.cfg.Regions) == 0 {
		k.fault(path("regions"), "no region is declared")
	} else if slots == 0 {
		k.fault(path("regions"), "no region has slots, so no organisation could use its rate")
	}
}

func (k *checker) checkModels() {
	k.checkNames("models", namesOf(k.cfg.Models, func(m *Model) string { return m.Name }))
	for i := range k.cfg.Models {
		m := &k.cfg.Models[i]
		k.models[m.Name] = m
		if m.Version == "" {
			k.fault(path("models", i, "version"), "version must not be empty")
		}
		if m.ContextTokens <= 0 {
			k.fault(path("models", i, "context_tokens"), "context_tokens must be above 0, found %d", m.ContextTokens)
		}
		if m.DefaultMaxTokens <= 0 {
			k.fault(path("models", i, "default_max_tokens"), "default_max_tokens must be above 0, found %d", m.DefaultMaxTokens)
		} else if m.DefaultMaxTokens >= m.ContextTokens && m.ContextTokens > 0 {
			k.fault(path("models", i, "default_max_tokens"), "default_max_tokens %d leaves no room for a prompt in context_tokens %d",
				m.DefaultMaxTokens, m.ContextTokens)
		}
		if m.LongPromptTokens < 0 {
			k.fault(path("models", i, "long_prompt_tokens"), "long_prompt_tokens must not be negative, found %d", m.LongPromptTokens)
		}
		k.checkRepeated("adapter", m.Adapters, "models", i, "adapters")
	}
}

func (k *checker) checkServices() {
	k.checkNames("services", namesOf(k.cfg.Services, func(s *Service) string { return s.Name }))
	for i := range k.cfg.Services {
		k.services[k.cfg.Services[i].Name] = true
	}
}

func (k *checker) checkEndpoints() {
	k.checkNames("endpoints", namesOf(k.cfg.Endpoints, func(e *Endpoint) string { return e.Name }))
	addrs := make(map[netip.AddrPort]int, len(k.cfg.Endpoints))
	for i := range k.cfg.Endpoints {
		e := &k.cfg.Endpoints[i]
		k.checkAddr(i, e, addrs)
		k.checkPlace(i, e)
		switch e.Kind {
		case KindEngine:
			k.checkEngine(i, e)
		case KindService:
			k.checkServiceEndpoint(i, e)
		default:
			k.fault(path("endpoints", i, "kind"), "kind must be %q or %q, found %q", KindEngine, KindService, e.Kind)
		}
		if e.Slots < 0 {
			k.fault(path("endpoints", i, "slots"), "slots must not be negative, found %d", e.Slots)
		}
	}
}

func (k *checker) checkAddr(i int, e *Endpoint, addrs map[netip.AddrPort]int) {
	p := path("endpoints", i, "addr")
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case err != nil:
		k.fault(p, "addr %q must be an IP address and port, such as 10.0.0.1:8000", e.Addr)
		return
	case addr.Port() == 0:
		k.fault(p, "addr %q has no port", e.Addr)
		return
	case addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		k.fault(p, "addr %q is not the address of one machine", e.Addr)
		return
	}
	if j, ok := addrs[addr]; ok {
		k.fault(p, "duplicate: addr %s already belongs to endpoint %q at %s", addr, k.cfg.Endpoints[j].Name, k.at("endpoints", j, "addr"))
		return
	}
	addrs[addr] = i
}

func (k *checker) checkPlace(i int, e *Endpoint) {
	if k.regions[e.Region] == nil {
		k.fault(path("endpoints", i, "region"), "region %q is not declared", e.Region)
		return
	}
	region, ok := k.dataCentres[e.DataCentre]
	if !ok {
		k.fault(path("endpoints", i, "data_centre"), "data centre %q is not declared", e.DataCentre)
	} else if region != e.Region {
		k.fault(path("endpoints", i, "data_centre"), "data centre %q belongs to region %q, not %q", e.DataCentre, region, e.Region)
	}
}

func (k *checker) checkEngine(i int, e *Endpoint) {
	if e.Service != "" {
		k.fault(path("endpoints", i, "service"), "an engine has no service")
	}
	if len(e.Models) == 0 {
		k.fault(path("endpoints", i, "models"), "engine %q serves no model", e.Name)
	}
	k.checkModelNames(e.Models, "endpoints", i, "models")
}

func (k *checker) checkModelNames(names []string, p ...any) {
	k.checkRepeated("model", names, p...)
	for j, name := range names {
		if k.models[name] == nil {
			k.fault(append(slices.Clone(p), j), "model %q is not declared", name)
		}
	}
}

func (k *checker) checkServiceEndpoint(i int, e *Endpoint) {
	if len(e.Models) > 0 {
		k.fault(path("endpoints", i, "models"), "a plain service serves no models")
	}
	if e.ChecksFencing {
		k.fault(path("endpoints", i, "checks_fencing"), "a plain service takes no orders, so it checks no fencing numbers")
	}
	if e.Service == "" {
		k.fault(path("endpoints", i, "service"), "endpoint %q of kind service names no service", e.Name)
	} else if !k.services[e.Service] {
		k.fault(path("endpoints", i, "service"), "service %q is not declared", e.Service)
	}
}

func (k *checker) checkRoutes() {
	k.checkNames("routes", namesOf(k.cfg.Routes, func(r *Route) string { return r.Name }))
	patterns := make([][]string, len(k.cfg.Routes))
	for i := range k.cfg.Routes {
		r := &k.cfg.Routes[i]
		if !k.services[r.Service] {
			k.fault(path("routes", i, "service"), "service %q is not declared", r.Service)
		}
		if !slices.Contains(methods, r.Method) {
			k.fault(path("routes", i, "method"), "method must be one of %s, found %q", strings.Join(methods, ", "), r.Method)
		}
		if r.Deadline <= 0 {
			k.fault(path("routes", i, "deadline"), "deadline must be above 0, found %s", r.Deadline)
		}
		if r.BodyLimit < 0 {
			k.fault(path("routes", i, "body_limit"), "body_limit must not be negative, found %d", r.BodyLimit)
		}
		if r.Tokens < 0 {
			k.fault(path("routes", i, "tokens"), "tokens must not be negative, found %d", r.Tokens)
		}
		segments, reason := splitPattern(r.Path)
		if reason != "" {
			k.fault(path("routes", i, "path"), "path %q %s", r.Path, reason)
			continue
		}
		patterns[i] = segments
	}
	k.checkOverlaps(patterns)
}

// checkOverlaps reports pairs of routes that match a common request: which of them applied would depend on their order.
func (k *checker) checkOverlaps(patterns [][]string) {
	for i := range patterns {
		for j := range i {
			a, b := &k.cfg.Routes[j], &k.cfg.Routes[i]
			if patterns[i] == nil || patterns[j] == nil || a.Method != b.Method || !overlap(patterns[i], patterns[j]) {
				continue
			}
			k.fault(path("routes", i, "path"), "route %q overlaps route %q (%s %s) at %s", b.Name, a.Name, a.Method, a.Path, k.at("routes", j, "path"))
		}
	}
}

var (
	literalSegment   = regexp.MustCompile(`^[A-Za-z0-9._~!$&'()*+,=:@-]+$`)
	parameterSegment = regexp.MustCompile(`^\{[a-z][a-z0-9_]*\}$`)
)

// reservedPaths are first segments of paths that the instances serve themselves.
var reservedPaths = []string{"v1", "healthz", "readyz", "metrics"}

// splitPattern returns the segments of a path pattern, or what is wrong with it. A parameter is returned as "{}".
func splitPattern(pattern string) (segments []string, reason string) {
	rest, ok := strings.CutPrefix(pattern, "/")
	if !ok {
		return nil, "must start with /"
	}
	parameters := make(map[string]bool)
	for _, s := range strings.Split(rest, "/") {
		switch {
		case s == "":
			return nil, "has an empty segment"
		case s == "." || s == "..":
			return nil, "has a segment that clients remove"
		case parameterSegment.MatchString(s):
			if parameters[s] {
				return nil, "uses the parameter " + s + " twice"
			}
			parameters[s] = true
			segments = append(segments, "{}")
		case literalSegment.MatchString(s):
			segments = append(segments, s)
		default:
			return nil, "has the segment \"" + s + "\", which is neither plain text nor a parameter such as {id}"
		}
	}
	if slices.Contains(reservedPaths, segments[0]) {
		return nil, "starts with /" + segments[0] + ", which the instances serve themselves"
	}
	return segments, ""
}

// overlap reports whether a path exists that both patterns match.
func overlap(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] && a[i] != "{}" && b[i] != "{}" {
			return false
		}
	}
	return true
}

func (k *checker) checkOrganisations() {
	k.checkNames("organisations", namesOf(k.cfg.Organisations, func(o *Organisation) string { return o.Name }))
	keys := make(map[string]Position)
	for i := range k.cfg.Organisations {
		o := &k.cfg.Organisations[i]
		k.checkRate(i, o)
		k.checkHome(i, o)
		k.checkSplit(i, o)
		k.checkModelNames(o.Models, "organisations", i, "models")
		k.checkBurst(i, o)
		k.checkKeys(i, o, keys)
	}
}

func (k *checker) checkRate(i int, o *Organisation) {
	for _, f := range []struct {
		name  string
		value float64
	}{{"rate", o.Rate}, {"burst", o.Burst}} {
		if !(f.value > 0 && f.value <= maxTokens) {
			k.fault(path("organisations", i, f.name), "%s must be above 0 and at most %g, found %g", f.name, float64(maxTokens), f.value)
		}
	}
	if !(o.Weight >= 0 && o.Weight <= 1e6) {
		k.fault(path("organisations", i, "weight"), "weight must be between 0 (default) and 1e6, found %g", o.Weight)
	}
}

func (k *checker) checkHome(i int, o *Organisation) {
	if o.Home != "" {
		k.checkHolder(o.Home, "home", "organisations", i, "home")
	}
	if o.RecordsRegion == "" {
		return
	}
	p := path("organisations", i, "records_region")
	if o.Home != "" && o.RecordsRegion != o.Home {
		k.fault(p, "records of an organisation with a home stay there; remove records_region")
		return
	}
	k.checkHolder(o.RecordsRegion, "records_region", p...)
}

// checkHolder checks a region that shall hold shares or records, which live in slots.
func (k *checker) checkHolder(region, what string, p ...any) {
	r := k.regions[region]
	if r == nil {
		k.fault(p, "%s: region %q is not declared", what, region)
	} else if r.Slots == 0 {
		k.fault(p, "%s: region %q has no slots", what, region)
	}
}

func (k *checker) checkSplit(i int, o *Organisation) {
	if len(o.Split) == 0 {
		return
	}
	if o.Home != "" {
		k.fault(path("organisations", i, "split"), "an organisation with a home has no split: everything is in %q", o.Home)
		return
	}
	sum := 0.0
	bad := false
	for _, region := range sortedNames(o.Split) {
		part := o.Split[region]
		p := path("organisations", i, "split", region)
		if !(part >= 0 && part <= 1) {
			k.fault(p, "the part of region %q must be between 0 and 1, found %g", region, part)
			bad = true
		}
		if part > 0 || k.regions[region] == nil {
			k.checkHolder(region, "split", p...)
		}
		sum += part
	}
	if !bad && math.Abs(sum-1) > splitTolerance {
		k.fault(path("organisations", i, "split"), "the parts add up to %.10g, not 1", sum)
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// checkBurst reports a burst that no request with the default output limit would fit in, so that each would be refused for ever.
func (k *checker) checkBurst(i int, o *Organisation) {
	for _, m := range k.cfg.Models {
		if len(o.Models) > 0 && !slices.Contains(o.Models, m.Name) {
			continue
		}
		if o.Burst > 0 && o.Burst < float64(m.DefaultMaxTokens) {
			k.fault(path("organisations", i, "burst"), "burst %g is below default_max_tokens %d of model %q: no request with the default would ever be admitted",
				o.Burst, m.DefaultMaxTokens, m.Name)
			return
		}
	}
}

func (k *checker) checkKeys(i int, o *Organisation, keys map[string]Position) {
	for j, key := range o.Keys {
		p := path("organisations", i, "keys", j, "id")
		if !keyIDPattern.MatchString(key.ID) {
			k.fault(p, "key id %q must have 1 to 63 small letters, digits and hyphens", key.ID)
		} else if first, ok := keys[key.ID]; ok {
			k.fault(p, "duplicate: key id %q is already declared at %s", key.ID, first)
		} else {
			keys[key.ID] = k.at(p...)
		}
		if digest, err := hex.DecodeString(key.SHA256); err != nil || len(digest) != 32 {
			k.fault(path("organisations", i, "keys", j, "sha256"), "sha256 must be 64 hexadecimal digits")
		}
	}
}
