// Package orders decides which orders to load, swap or unload models go to the endpoints of a region, and when.
//
// One issuer per region holds a lease in the platform's store. Endpoints that check fencing numbers refuse an
// issuer that has lost its lease. For the others the safety argument is:
//
//   - An issuer sends to them only in the part of its term that leaves room for the flight of an order, and a new
//     issuer first waits until the last order of its predecessor has ended.
//   - An issuer that is paused between its check and its send can still emit an order late. Orders to such endpoints are
//     sent one at a time, so that at most one order of a predecessor can be late, and until the predecessor is known to
//     have ended, one ready copy more is kept than otherwise, so that the late order can't take the last one.
//   - Orders name a target state, so a repeat changes nothing, and a late older target is seen and corrected when the
//     endpoint's state is read back.
//
// The package is pure: the caller passes the time in and performs the returned actions.
package orders

import (
	"sort"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Timing of orders.
const (
	// OrderTimeout bounds an order: the connection that carries it is closed by then.
	OrderTimeout = 2 * time.Second
	// DriftMargin covers the difference between the clock rates of two instances over a lease.
	DriftMargin = 500 * time.Millisecond
	// MaxObservationAge is how old a read-back may be for a decision to rest on it.
	MaxObservationAge = 5 * time.Second
	// LoadTimeout is how long a load may take before the order is sent again.
	LoadTimeout = 10 * time.Minute
)

// Target is what an endpoint should serve of a model.
type Target struct {
	Version  string
	Adapters []string
	Role     string
}

// Equal reports whether two targets are the same.
func (t Target) Equal(u Target) bool {
	if t.Version != u.Version || t.Role != u.Role || len(t.Adapters) != len(u.Adapters) {
		return false
	}
	for i := range t.Adapters {
		if t.Adapters[i] != u.Adapters[i] {
			return false
		}
	}
	return true
}

// EndpointTarget is the wanted state of an endpoint.
type EndpointTarget struct {
	Name          string
	ChecksFencing bool
	Models        map[string]Target
}

// ModelState is a model at an endpoint as it was read back.
type ModelState struct {
	Target
	Ready      bool
	Generation int64
}

// Term is the issuer's lease as this instance counts it.
type Term struct {
	FencingToken int64         // store revision of the issuer record
	Until        clock.Instant // counted from before the grant or renewal was sent
	// EarliestUnfencedSend is when orders to endpoints that don't check fencing may start: after the predecessor's lease and the
	// flight of its last order.
	EarliestUnfencedSend clock.Instant
	// PredecessorEnded says that the predecessor handed over or is known to have ended, so that no order of it can be late.
	PredecessorEnded bool
}

// Order is a command to an endpoint.
type Order struct {
	Endpoint     string
	Model        string
	Unload       bool
	Target       Target
	Generation   int64
	FencingToken int64         // 0 for endpoints that don't check it
	Deadline     clock.Instant // the connection is closed by then
}

// Blocked is a wanted change that must wait.
type Blocked struct {
	Endpoint, Model string
	Reason          string
}

// Issuer is the state of one region's issuer. It is not safe for concurrent use.
type Issuer struct {
	maxLoads   int
	term       *Term
	targets    map[string]EndpointTarget
	observed   map[string]observation
	sent       map[orderKey]flight
	generation int64
}

type observation struct {
	at     clock.Instant
	models map[string]ModelState
}

type orderKey struct{ endpoint, model string }

type flight struct {
	order Order
	at    clock.Instant
	done  bool // the endpoint has accepted it; the load may still take time
}

// New returns an issuer without a lease. maxLoads bounds the loads under way at once, because the weight store is rate-limited.
func New(maxLoads int) *Issuer {
	return &Issuer{
		maxLoads: maxLoads,
		targets:  make(map[string]EndpointTarget),
		observed: make(map[string]observation),
		sent:     make(map[orderKey]flight),
	}
}

// Acquired starts or renews the term. lastGeneration is the highest generation that an earlier issuer recorded.
func (s *Issuer) Acquired(t Term, lastGeneration int64) {
	s.term = &t
	s.generation = max(s.generation, lastGeneration)
}

// Lost ends the term. Orders in flight are forgotten; their effect is seen when the next issuer reads back.
func (s *Issuer) Lost() {
	s.term = nil
	clear(s.sent)
	clear(s.observed) // another issuer may change them before the next term
}

// SetTargets replaces the wanted state of all endpoints of the region.
func (s *Issuer) SetTargets(targets []EndpointTarget) {
	clear(s.targets)
	for _, t := range targets {
		s.targets[t.Name] = t
	}
}

// Observed records what an endpoint answered when it was read back. at is the time before the read was sent.
func (s *Issuer) Observed(endpoint string, models map[string]ModelState, at clock.Instant) {
	if last, ok := s.observed[endpoint]; ok && at.Before(last.at) {
		return
	}
	s.observed[endpoint] = observation{at: at, models: models}
	for key, f := range s.sent {
		if key.endpoint == endpoint && f.done && f.at.Before(at) && settled(f.order, models) {
			delete(s.sent, key)
		}
	}
}

// Finished records the end of an order's flight. accepted is false if the endpoint refused it or the outcome is unknown;
// the state is then read back before anything else is sent to the endpoint.
func (s *Issuer) Finished(o Order, accepted bool) {
	key := orderKey{o.Endpoint, o.Model}
	f, ok := s.sent[key]
	if !ok || f.order.Generation != o.Generation {
		return
	}
	if !accepted {
		delete(s.sent, key)
		delete(s.observed, o.Endpoint)
		return
	}
	f.done = true
	s.sent[key] = f
}

// Generation returns the highest generation given out, for the intent record.
func (s *Issuer) Generation() int64 { return s.generation }

// EndpointsToRead returns the endpoints whose state decides about the changes that are due: those that were never read back, and those
// with a model that is to be changed at some endpoint, as of its last read-back of any age, or has an order under way.
func (s *Issuer) EndpointsToRead() map[string]bool {
	out := make(map[string]bool)
	models := make(map[string]bool)
	for key := range s.sent {
		models[key.model] = true
		out[key.endpoint] = true
	}
	for name, target := range s.targets {
		seen, ok := s.observed[name]
		if !ok {
			out[name] = true
			continue
		}
		if order := s.change(target, seen.models); order != nil {
			models[order.Model] = true
		}
	}
	for name, target := range s.targets {
		for model := range models {
			_, wanted := target.Models[model]
			_, has := s.observed[name].models[model]
			if wanted || has {
				out[name] = true
			}
		}
	}
	return out
}

// MaySend reports whether an order may leave now. The caller checks it right before the first byte, since the process may have been paused
// after Next.
func (s *Issuer) MaySend(o Order, now clock.Instant) bool {
	if s.term == nil || !now.Before(o.Deadline) {
		return false
	}
	if o.FencingToken != 0 {
		return o.FencingToken == s.term.FencingToken
	}
	return s.inSendWindow(now)
}

// Next returns the orders to send now and the changes that must wait, in a fixed order.
func (s *Issuer) Next(now clock.Instant) ([]Order, []Blocked) {
	if s.term == nil || !now.Before(s.term.Until) {
		return nil, nil
	}
	s.dropStale(now)
	var out []Order
	var blocked []Blocked
	for _, name := range s.endpointNames() {
		endpoint := s.targets[name]
		order, reason := s.nextFor(endpoint, now)
		if order == nil && reason == nil {
			continue
		}
		if reason != nil {
			blocked = append(blocked, *reason)
			continue
		}
		s.generation++
		order.Generation = s.generation
		s.sent[orderKey{order.Endpoint, order.Model}] = flight{order: *order, at: now}
		out = append(out, *order)
	}
	return out, blocked
}

// nextFor returns the one next order of an endpoint, or why its next change must wait.
func (s *Issuer) nextFor(e EndpointTarget, now clock.Instant) (*Order, *Blocked) {
	seen, ok := s.observed[e.Name]
	if !ok || now.Sub(seen.at) > MaxObservationAge {
		return nil, nil // read back first
	}
	if s.busy(e.Name) {
		return nil, nil
	}
	order := s.change(e, seen.models)
	if order == nil {
		return nil, nil
	}
	if reason := s.mustWait(e, order, seen.models, now); reason != "" {
		return nil, &Blocked{Endpoint: e.Name, Model: order.Model, Reason: reason}
	}
	order.Deadline = now.Add(OrderTimeout)
	if e.ChecksFencing {
		order.FencingToken = s.term.FencingToken
	}
	return order, nil
}

// change returns the first difference between the wanted and the observed state: loads and swaps before unloads.
func (s *Issuer) change(e EndpointTarget, models map[string]ModelState) *Order {
	for _, model := range sortedKeys(e.Models) {
		want := e.Models[model]
		have, ok := models[model]
		if !ok || !have.Equal(want) {
			return &Order{Endpoint: e.Name, Model: model, Target: want}
		}
	}
	for _, model := range sortedKeys(models) {
		if _, wanted := e.Models[model]; !wanted {
			return &Order{Endpoint: e.Name, Model: model, Unload: true, Target: models[model].Target}
		}
	}
	return nil
}

// mustWait returns why an order may not be sent now, or "".
func (s *Issuer) mustWait(e EndpointTarget, o *Order, models map[string]ModelState, now clock.Instant) string {
	if !e.ChecksFencing {
		if !s.inSendWindow(now) {
			return "outside the safe part of the lease term"
		}
		if s.unfencedInFlight() {
			return "another order to an endpoint without fencing is in flight"
		}
	}
	if !o.Unload && s.loads() >= s.maxLoads {
		return "as many loads are under way as the weight store allows"
	}
	if have, ok := models[o.Model]; ok && have.Ready && s.readyElsewhere(o.Model, e.Name, now) < s.copiesToKeep() {
		return "it would take one of the last ready copies of the model"
	}
	return ""
}

func (s *Issuer) inSendWindow(now clock.Instant) bool {
	lastSend := s.term.Until.Add(-OrderTimeout - DriftMargin)
	return !now.Before(s.term.EarliestUnfencedSend) && now.Before(lastSend)
}

// copiesToKeep is the number of ready copies that must remain elsewhere when one is taken.
func (s *Issuer) copiesToKeep() int {
	if s.term.PredecessorEnded {
		return 1
	}
	return 2 // one may still be taken by a late order of the predecessor
}

// readyElsewhere counts the ready copies of a model at other endpoints that are fresh and not about to change.
func (s *Issuer) readyElsewhere(model, except string, now clock.Instant) int {
	n := 0
	for name, seen := range s.observed {
		if name == except || now.Sub(seen.at) > MaxObservationAge {
			continue
		}
		if _, changing := s.sent[orderKey{name, model}]; changing {
			continue
		}
		if _, configured := s.targets[name]; configured && seen.models[model].Ready {
			n++
		}
	}
	return n
}

func (s *Issuer) busy(endpoint string) bool {
	for key := range s.sent {
		if key.endpoint == endpoint {
			return true
		}
	}
	return false
}

func (s *Issuer) unfencedInFlight() bool {
	for _, f := range s.sent {
		if f.order.FencingToken == 0 && !f.done {
			return true
		}
	}
	return false
}

func (s *Issuer) loads() int {
	n := 0
	for _, f := range s.sent {
		if !f.order.Unload {
			n++
		}
	}
	return n
}

// dropStale forgets loads that have taken too long, so that they are sent again.
func (s *Issuer) dropStale(now clock.Instant) {
	for key, f := range s.sent {
		if now.Sub(f.at) > LoadTimeout {
			delete(s.sent, key)
		}
	}
}

func settled(o Order, models map[string]ModelState) bool {
	have, ok := models[o.Model]
	if o.Unload {
		return !ok
	}
	// A later target of another issuer also ends this order.
	return ok && (have.Generation > o.Generation || have.Ready && have.Equal(o.Target))
}

func (s *Issuer) endpointNames() []string { return sortedKeys(s.targets) }

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
