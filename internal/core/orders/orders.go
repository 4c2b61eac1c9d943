// Package orders decides which orders to load, swap or unload models go to the endpoints of a region, and when.
//
// One issuer per region holds a lease in the platform's store. Endpoints that check fencing tokens refuse the orders of an
// issuer that has lost its lease. For the other endpoints the following rules prevent harm:
//
//   - An issuer sends orders to them only as long as the rest of its term leaves time for an order to end, and a new
//     issuer first waits until the last order of its predecessor has ended.
//   - An issuer that is paused between its check and its send can still send an order late. Orders to such endpoints are
//     sent one at a time, so that at most one order of a predecessor can be late. Until the predecessor is known to have
//     ended, one more ready copy of each model is kept than otherwise, so that the late order can't take the last one.
//   - Orders name a target state, so repeating one changes nothing, and a late order with an older target is noticed and
//     corrected when the endpoint's state is read.
//
// The package does no I/O: the caller passes the time in and performs the returned actions.
package orders

import (
	"sort"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// OrderTimeout bounds the time for sending an order and receiving its acknowledgement: the connection that carries it is
	// closed by then. The load that it starts may take longer.
	OrderTimeout = 2 * time.Second
	// DriftMargin covers the difference between the clock rates of two instances over a lease.
	DriftMargin = 500 * time.Millisecond
	// MaxObservationAge is the age up to which the observed state of an endpoint may be used for a decision.
	MaxObservationAge = 5 * time.Second
	// LoadTimeout is how long a load may take before the order is sent again.
	LoadTimeout = 10 * time.Minute
)

// Target is the wanted state of a model at an endpoint.
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

// ModelState is the observed state of a model at an endpoint.
type ModelState struct {
	Target
	Ready      bool
	Generation int64
}

// Term is the time for which the issuer holds its lease, as this instance measures it.
type Term struct {
	FencingToken int64         // store revision of the issuer record
	Until        clock.Instant // measured from before the grant or renewal was sent
	// EarliestUnfencedSend is when orders to endpoints that don't check fencing tokens may start: after the predecessor's lease
	// has expired and its last order has ended.
	EarliestUnfencedSend clock.Instant
	// PredecessorEnded says that the predecessor has handed over or is known to have ended, so that none of its orders can be
	// late.
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

// Blocked is a wanted change that must wait, and why.
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
	inProgress map[orderKey]sentOrder
	generation int64
}

type observation struct {
	at     clock.Instant
	models map[string]ModelState
}

type orderKey struct{ endpoint, model string }

type sentOrder struct {
	order    Order
	sentAt   clock.Instant
	accepted bool // the endpoint has accepted it; the load may still take time
}

// New returns an issuer without a lease. maxLoads bounds the loads in progress at once, because the weight store is
// rate-limited.
func New(maxLoads int) *Issuer {
	return &Issuer{
		maxLoads:   maxLoads,
		targets:    make(map[string]EndpointTarget),
		observed:   make(map[string]observation),
		inProgress: make(map[orderKey]sentOrder),
	}
}

// Acquired starts or renews the term. lastGeneration is the highest generation recorded by an earlier issuer.
func (s *Issuer) Acquired(t Term, lastGeneration int64) {
	s.term = &t
	s.generation = max(s.generation, lastGeneration)
}

// Lost ends the term. Orders in progress are dropped; the next issuer sees their effect when it reads the state of the
// endpoints.
func (s *Issuer) Lost() {
	s.term = nil
	clear(s.inProgress)
	clear(s.observed) // another issuer may change them before the next term
}

// SetTargets replaces the wanted state of all endpoints of the region.
func (s *Issuer) SetTargets(targets []EndpointTarget) {
	clear(s.targets)
	for _, t := range targets {
		s.targets[t.Name] = t
	}
}

// Observed records the state of an endpoint that was read from it. at is the time before the read was sent.
func (s *Issuer) Observed(endpoint string, models map[string]ModelState, at clock.Instant) {
	if last, ok := s.observed[endpoint]; ok && at.Before(last.at) {
		return
	}
	s.observed[endpoint] = observation{at: at, models: models}
	for key, f := range s.inProgress {
		if key.endpoint == endpoint && f.accepted && f.sentAt.Before(at) && completed(f.order, models) {
			delete(s.inProgress, key)
		}
	}
}

// Finished records that the sending of an order has ended. accepted is false if the endpoint refused the order or the outcome is
// unknown; the endpoint's state must then be read before any other order is sent to it.
func (s *Issuer) Finished(o Order, accepted bool) {
	key := orderKey{o.Endpoint, o.Model}
	f, ok := s.inProgress[key]
	if !ok || f.order.Generation != o.Generation {
		return
	}
	if !accepted {
		delete(s.inProgress, key)
		delete(s.observed, o.Endpoint)
		return
	}
	f.accepted = true
	s.inProgress[key] = f
}

// Generation returns the highest generation assigned so far, which the caller records in the store.
func (s *Issuer) Generation() int64 { return s.generation }

// EndpointsToRead returns the endpoints whose state is needed to decide about the pending changes: those that were never
// observed, those with an order in progress, and those that have or should have a model which has an order in progress or
// differs from its target at some endpoint, as last observed.
func (s *Issuer) EndpointsToRead() map[string]bool {
	out := make(map[string]bool)
	models := make(map[string]bool)
	for key := range s.inProgress {
		models[key.model] = true
		out[key.endpoint] = true
	}
	for name, target := range s.targets {
		seen, ok := s.observed[name]
		if !ok {
			out[name] = true
			continue
		}
		if order := s.nextChange(target, seen.models); order != nil {
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

// MaySend reports whether an order may be sent now. The caller checks it right before the first byte, since the process may have
// been paused after Next.
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
	s.dropTimedOut(now)
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
		s.inProgress[orderKey{order.Endpoint, order.Model}] = sentOrder{order: *order, sentAt: now}
		out = append(out, *order)
	}
	return out, blocked
}

// nextFor returns the next order of an endpoint, or why its next change must wait, or neither.
func (s *Issuer) nextFor(e EndpointTarget, now clock.Instant) (*Order, *Blocked) {
	seen, ok := s.observed[e.Name]
	if !ok || now.Sub(seen.at) > MaxObservationAge {
		return nil, nil // its state must be read first
	}
	if s.hasOrderInProgress(e.Name) {
		return nil, nil
	}
	order := s.nextChange(e, seen.models)
	if order == nil {
		return nil, nil
	}
	if reason := s.blockedReason(e, order, seen.models, now); reason != "" {
		return nil, &Blocked{Endpoint: e.Name, Model: order.Model, Reason: reason}
	}
	order.Deadline = now.Add(OrderTimeout)
	if e.ChecksFencing {
		order.FencingToken = s.term.FencingToken
	}
	return order, nil
}

// nextChange returns an order for the first difference between the wanted and the observed state, or nil: loads and swaps come
// before unloads.
func (s *Issuer) nextChange(e EndpointTarget, models map[string]ModelState) *Order {
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

// blockedReason returns why an order may not be sent now, or "".
func (s *Issuer) blockedReason(e EndpointTarget, o *Order, models map[string]ModelState, now clock.Instant) string {
	if !e.ChecksFencing {
		if !s.inSendWindow(now) {
			return "outside the safe part of the lease term"
		}
		if s.unfencedInProgress() {
			return "another order to an endpoint without fencing is in flight"
		}
	}
	if !o.Unload && s.loadsInProgress() >= s.maxLoads {
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

// copiesToKeep returns the number of ready copies that must remain at other endpoints when one is taken.
func (s *Issuer) copiesToKeep() int {
	if s.term.PredecessorEnded {
		return 1
	}
	return 2 // a late order of the predecessor may still take one of them
}

// readyElsewhere counts the ready copies of a model at other endpoints that were observed recently and have no order in
// progress.
func (s *Issuer) readyElsewhere(model, except string, now clock.Instant) int {
	n := 0
	for name, seen := range s.observed {
		if name == except || now.Sub(seen.at) > MaxObservationAge {
			continue
		}
		if _, changing := s.inProgress[orderKey{name, model}]; changing {
			continue
		}
		if _, configured := s.targets[name]; configured && seen.models[model].Ready {
			n++
		}
	}
	return n
}

func (s *Issuer) hasOrderInProgress(endpoint string) bool {
	for key := range s.inProgress {
		if key.endpoint == endpoint {
			return true
		}
	}
	return false
}

func (s *Issuer) unfencedInProgress() bool {
	for _, f := range s.inProgress {
		if f.order.FencingToken == 0 && !f.accepted {
			return true
		}
	}
	return false
}

func (s *Issuer) loadsInProgress() int {
	n := 0
	for _, f := range s.inProgress {
		if !f.order.Unload {
			n++
		}
	}
	return n
}

// dropTimedOut removes orders, usually loads, that have been in progress for longer than LoadTimeout, so that they are sent again.
func (s *Issuer) dropTimedOut(now clock.Instant) {
	for key, f := range s.inProgress {
		if now.Sub(f.sentAt) > LoadTimeout {
			delete(s.inProgress, key)
		}
	}
}

func completed(o Order, models map[string]ModelState) bool {
	have, ok := models[o.Model]
	if o.Unload {
		return !ok
	}
	// A later target set by another issuer also completes this order.
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
