package edge

import (
	"github.com/cockroachdb/errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// outageGrace is how long an endpoint that disappeared from the store during an outage of the store, or when it was restored, is still
	// used after that: endpoints that are alive are listed again within about two seconds.
	outageGrace = 2200 * time.Millisecond
	// minOutage is the shortest outage of the store after which the entries of live endpoints may have expired.
	minOutage = time.Second
)

// state is this instance's view of the operators' configuration and of the endpoints. Requests read snapshots; updates come
// from the mirrors of the store and from other instances.
type state struct {
	options *Options
	log     *zap.Logger

	configuration atomic.Pointer[inForce]
	endpointsRead atomic.Bool // the endpoints have been read once

	mu        sync.Mutex
	endpoints map[string]listedEndpoint // by id
	evacuated map[string]bool           // data centres that take no requests
	returned  map[string]evacuationEnd  // data centres that take requests again
	// restoredTo is a revision of the present era of the store, above which entries of endpoints were written in it.
	restoredTo int64
	graceEnds  clock.Instant // for endpoints that disappeared during an outage
	invalid    entryErrors   // by id of the endpoint

	invalidDocuments entryErrors // configurations by source

	// onChange is called, without the lock, after the configuration or the usable endpoints have changed.
	onChange func()
}

// inForce is the configuration in force, with the document that it was decoded from.
type inForce struct {
	*catalog.Configuration
	document []byte
	since    clock.Instant
}

type listedEndpoint struct {
	catalog.Endpoint
	version platform.Version
	missing bool // its entry has disappeared, but it is used until graceEnds
	// elsewhereUntil is until when another endpoint is believed to have its address, because a request was declined as misdirected.
	elsewhereUntil clock.Instant
}

// evacuationChange says whether a data centre takes no requests, as of a version of the store.
type evacuationChange struct {
	evacuated bool
	version   platform.Version
}

// evacuationEnd is when a data centre has begun to take requests again.
type evacuationEnd struct {
	at      clock.Instant    // when this instance learned of it
	version platform.Version // of the store, or a later one at which it had ended
}

// misdirectedFor is how long an endpoint that does not answer at its address gives way to others that are listed there.
const misdirectedFor = 10 * time.Second

func newState(o *Options) *state {
	return &state{options: o, log: o.Log, endpoints: make(map[string]listedEndpoint), invalid: make(entryErrors), invalidDocuments: make(entryErrors),
		evacuated: make(map[string]bool), returned: make(map[string]evacuationEnd)}
}

// version returns the version of the configuration in force, 0 before the first.
func (s *state) version() int64 {
	if c := s.configuration.Load(); c != nil {
		return c.Version
	}
	return 0
}

// accept puts a configuration in force if it is newer than the present one. If the document is not valid, the present one
// remains in force.
func (s *state) accept(document []byte, source string) {
	next, err := s.options.Documents.DecodeConfiguration(document)
	s.mu.Lock()
	text, changed := s.invalidDocuments.record(source, err)
	s.mu.Unlock()
	if changed {
		s.log.Error("configuration cannot be used", zap.String("source", source), zap.String("error", text), zap.Int64("in_force", s.version()))
	}
	if err != nil {
		return
	}
	next, before, replaced := s.replaceConfiguration(next, document)
	if !replaced {
		return
	}
	if len(next.Findings) > 0 {
		s.log.Error("configuration has entries that cannot be used; the others are in force", zap.Int64("version", next.Version),
			zap.Int("findings", len(next.Findings)), zap.String("error", boundedError(errors.Join(next.Findings...))))
	}
	s.log.Info("configuration in force", zap.Int64("version", next.Version), zap.Int64("before", before), zap.String("source", source))
	s.onChange()
}

// replaceConfiguration replaces the configuration in force if the next one is newer. It returns what is in force then and the version before.
func (s *state) replaceConfiguration(next *catalog.Configuration, document []byte) (after *catalog.Configuration, before int64, replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before = s.version(); next.Version <= before {
		return next, before, false
	}
	if c := s.configuration.Load(); c != nil {
		next = next.Following(c.Configuration)
	}
	s.configuration.Store(&inForce{Configuration: next, document: document, since: s.options.Clock.Now()})
	return next, before, true
}

// applyOperator applies changes of the operators' keys.
func (s *state) applyOperator(u mirror.Update) {
	changes := make(map[string]evacuationChange)
	for _, c := range u.Changes {
		if s.options.Documents.IsConfiguration(c.Key) && !c.Deleted {
			s.accept(c.Value, "store")
			continue
		}
		if dataCentre, ok := s.options.Documents.EvacuatedDataCentre(c.Key); ok {
			changes[dataCentre] = evacuationChange{!c.Deleted, c.Version()}
		}
	}
	if len(changes) > 0 || u.Reset {
		s.evacuate(changes, u)
	}
}

// evacuate sets which data centres take no requests. With a reset, those that changes does not name take requests again. The whole
// evacuation of one that takes requests again may lie between two reads.
func (s *state) evacuate(changes map[string]evacuationChange, u mirror.Update) {
	if s.setEvacuated(changes, u) {
		s.onChange()
	}
}

func (s *state) setEvacuated(changes map[string]evacuationChange, u mirror.Update) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Reset {
		for dataCentre := range s.evacuated {
			if _, named := changes[dataCentre]; !named {
				changes[dataCentre] = evacuationChange{false, u.AsOf}
			}
		}
	}
	for dataCentre, c := range changes {
		wasEvacuated := s.evacuated[dataCentre]
		if !c.evacuated && c.version.Compare(s.returned[dataCentre].version) > 0 {
			wasEvacuated = true // perhaps between two reads only
		}
		if c.evacuated == wasEvacuated {
			continue
		}
		changed = true
		s.log.Info("data centre evacuation", zap.String("data_centre", dataCentre), zap.Bool("evacuated", c.evacuated))
		if c.evacuated {
			s.evacuated[dataCentre] = true
			continue
		}
		delete(s.evacuated, dataCentre)
		s.returned[dataCentre] = evacuationEnd{s.options.Clock.Now(), c.version}
		for id, e := range s.endpoints {
			if e.DataCentre == dataCentre {
				e.ColdUntil = s.coldUntil(e)
				s.endpoints[id] = e
			}
		}
	}
	return changed
}

// coldUntil returns until when an endpoint is cold. One whose entry is older than the return of its data centre counts as cold from then on:
// its cache was dropped. The entry may arrive after the return.
func (s *state) coldUntil(e listedEndpoint) clock.Instant {
	conf := s.configuration.Load()
	end, ok := s.returned[e.DataCentre]
	if !ok || e.version.WrittenAfter(end.version, s.restoredTo) || conf == nil {
		return e.ColdUntil
	}
	service := conf.Service(e.Service)
	if service == nil {
		return e.ColdUntil
	}
	return max(e.ColdUntil, end.at.Add(service.ColdPeriod))
}

// applyEndpoints applies changes of the endpoints' keys.
func (s *state) applyEndpoints(u mirror.Update) {
	if s.setEndpoints(u) {
		s.onChange()
	}
}

func (s *state) setEndpoints(u mirror.Update) (changed bool) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoredTo = u.RestoredTo
	if u.Outage >= minOutage || u.Restored {
		s.graceEnds = now.Add(outageGrace)
	}
	present := make(map[string]bool)
	changed = u.Reset && !s.endpointsRead.Load()
	for _, c := range u.Changes {
		id, ok := s.options.Documents.EndpointID(c.Key)
		if !ok {
			continue
		}
		present[id] = true
		if c.Deleted {
			delete(s.invalid, id)
			changed = s.removeEntry(id, now) || changed
			continue
		}
		changed = s.applyEntry(id, c, now) || changed
	}
	if u.Reset {
		s.invalid.retain(present)
		for id := range s.endpoints {
			if !present[id] {
				changed = s.removeEntry(id, now) || changed
			}
		}
	}
	s.endpointsRead.Store(true)
	return changed
}

// applyEntry applies an endpoint's entry. It reports whether that changes where requests may go.
func (s *state) applyEntry(id string, c platform.Change, now clock.Instant) bool {
	before, known := s.endpoints[id]
	if known && !before.missing && c.Version().Compare(before.version) <= 0 {
		return false
	}
	next, err := s.options.Documents.DecodeEndpoint(id, c.Value, now)
	if text, changed := s.invalid.record(id, err); changed {
		s.log.Warn("endpoint entry cannot be used", zap.String("endpoint", id), zap.String("error", text), zap.Int64("revision", c.Revision))
	}
	if err != nil {
		// Its own writer no longer vouches for it, so it is not used for a moment longer after an outage either.
		if known {
			s.forgetEndpoint(id)
		}
		return known
	}
	listed := listedEndpoint{Endpoint: next, version: c.Version()}
	if known && before.Incarnation == next.Incarnation && before.Addr == next.Addr {
		listed.elsewhereUntil = before.elsewhereUntil
	}
	listed.ColdUntil = s.coldUntil(listed)
	s.endpoints[id] = listed
	same := known && !before.missing && equivalent(before.Endpoint, listed.Endpoint)
	if !known || !same {
		s.log.Info("endpoint listed", zap.String("endpoint", id), zap.String("service", next.Service), zap.String("addr", next.Addr),
			zap.String("data_centre", next.DataCentre), zap.Bool("draining", next.Draining), zap.Int64("born", next.StartedAtMillis),
			zap.Bool("cold", listed.ColdUntil > now), zap.Int64("revision", c.Revision))
	}
	return !same
}

// equivalent reports whether two entries of an endpoint are equivalent for the choice of endpoints.
func equivalent(a, b catalog.Endpoint) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Addr == b.Addr && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Draining == b.Draining && a.ColdUntil == b.ColdUntil
}

// equivalentEntry reports whether an endpoint's new entry is equivalent to the one before: most entries only renew it.
func (s *state) equivalentEntry(before, after platform.Entry) bool {
	id, ok := s.options.Documents.EndpointID(after.Key)
	if !ok {
		return true
	}
	now := s.options.Clock.Now()
	a, errA := s.options.Documents.DecodeEndpoint(id, before.Value, now)
	b, errB := s.options.Documents.DecodeEndpoint(id, after.Value, now)
	if errA != nil || errB != nil {
		return errA != nil && errB != nil // neither names an endpoint
	}
	return equivalent(a, b)
}

// laterEntry reports whether what an endpoint's entry says shows that it was written after another one: it names a later start, or the same
// one as draining, which an endpoint does until it ends.
func (s *state) laterEntry(before, after platform.Entry) bool {
	id, ok := s.options.Documents.EndpointID(after.Key)
	if !ok {
		return false
	}
	now := s.options.Clock.Now()
	a, errA := s.options.Documents.DecodeEndpoint(id, before.Value, now)
	b, errB := s.options.Documents.DecodeEndpoint(id, after.Value, now)
	if errA != nil || errB != nil {
		return false
	}
	return b.StartedAtMillis > a.StartedAtMillis || b.StartedAtMillis == a.StartedAtMillis && b.Draining && !a.Draining
}

// removeEntry removes an endpoint whose entry is gone, and reports whether that changes where requests may go. Right after an
// outage of the store the endpoint is used for a moment longer.
func (s *state) removeEntry(id string, now clock.Instant) bool {
	e, known := s.endpoints[id]
	if !known || e.missing {
		return false
	}
	if now < s.graceEnds && !e.Draining {
		e.missing = true
		s.endpoints[id] = e
		s.log.Info("endpoint lapsed during the store's outage", zap.String("endpoint", id))
		time.AfterFunc(s.graceEnds.Sub(now), s.endGrace)
		return false
	}
	s.forgetEndpoint(id)
	return true
}

// forgetEndpoint removes an endpoint that is known. The caller holds mu.
func (s *state) forgetEndpoint(id string) {
	s.log.Info("endpoint gone", zap.String("endpoint", id), zap.String("service", s.endpoints[id].Service))
	delete(s.endpoints, id)
}

// endGrace removes the endpoints that were not listed again after an outage.
func (s *state) endGrace() {
	if s.forgetMissing() {
		s.onChange()
	}
}

func (s *state) forgetMissing() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints {
		if e.missing {
			s.forgetEndpoint(id)
			changed = true
		}
	}
	return changed
}

// usable returns the endpoints of the region that may receive requests, by service.
func (s *state) usable(region string) map[string][]catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newestByAddr()
	out := make(map[string][]catalog.Endpoint)
	for _, e := range s.endpoints {
		// The entry of a crashed endpoint remains for seconds, even if another one has taken over its address.
		if s.mayUse(e, region) && e.StartedAtMillis == newest[e.Addr] {
			out[e.Service] = append(out[e.Service], e.Endpoint)
		}
	}
	return out
}

// newestByAddr returns the start of the latest endpoint at each address. An entry of another writer may repeat an address: those that
// name no known service or data centre do not count, and those that were found not to be there count only if no other is listed there.
func (s *state) newestByAddr() map[string]int64 {
	conf, now := s.configuration.Load(), s.options.Clock.Now()
	there, elsewhere := make(map[string]int64, len(s.endpoints)), make(map[string]int64)
	for _, e := range s.endpoints {
		if s.options.Regions[e.DataCentre] == "" || conf != nil && conf.Service(e.Service) == nil {
			continue
		}
		starts := there
		if now < e.elsewhereUntil {
			starts = elsewhere
		}
		starts[e.Addr] = max(starts[e.Addr], e.StartedAtMillis)
	}
	for addr, start := range elsewhere {
		if _, known := there[addr]; !known {
			there[addr] = start
		}
	}
	return there
}

// recordMisdirected records that another endpoint has answered at the address of an endpoint.
func (s *state) recordMisdirected(endpoint catalog.Incarnation, addr string) {
	now := s.options.Clock.Now()
	s.mu.Lock()
	e, known := s.endpoints[endpoint.ID]
	changed := known && e.Incarnation == endpoint && e.Addr == addr && e.elsewhereUntil <= now
	if changed {
		e.elsewhereUntil = now.Add(misdirectedFor)
		s.endpoints[endpoint.ID] = e
		s.log.Info("another endpoint has the address of a listed one", zap.String("endpoint", endpoint.ID), zap.String("addr", addr))
	}
	s.mu.Unlock()
	if changed {
		s.onChange()
	}
}

// serves reports whether a region has an endpoint of the service that may receive requests.
func (s *state) serves(region, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.Service == service && s.mayUse(e, region) {
			return true
		}
	}
	return false
}

// mayUse reports whether an endpoint of the region may receive requests.
func (s *state) mayUse(e listedEndpoint, region string) bool {
	return s.options.Regions[e.DataCentre] == region && !s.evacuated[e.DataCentre] && !e.Draining
}

// knownID returns a function that reports whether an id is that of a listed endpoint.
func (s *state) knownID() func(id string) bool {
	return listed(s, func(e catalog.Endpoint) string { return e.ID })
}

// knownIncarnation returns a function that reports whether an incarnation of an endpoint is listed.
func (s *state) knownIncarnation() func(catalog.Incarnation) bool {
	return listed(s, func(e catalog.Endpoint) catalog.Incarnation { return e.Incarnation })
}

// listed returns a function that reports whether a listed endpoint has the given key.
func listed[K comparable](s *state, keyOf func(catalog.Endpoint) K) func(key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[K]bool, len(s.endpoints))
	for _, e := range s.endpoints {
		known[keyOf(e.Endpoint)] = true
	}
	return func(key K) bool { return known[key] }
}

// terms returns the rates of all organisations.
func (c *inForce) terms() map[string]fleetquota.Limit {
	out := make(map[string]fleetquota.Limit)
	c.Organisations(func(o *catalog.Organisation) {
		out[o.Name] = fleetquota.Limit{Rate: o.Rate, Burst: o.Burst}
	})
	return out
}
