package fleetview

import (
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// MaxStatusAge is the age of an instance's last status up to which callers and requests are sent to it. It covers
	// several intervals of the exchange between regions.
	MaxStatusAge = 1200 * time.Millisecond
	// maxInstances and maxEndpoints limit the state kept of one sender, to ten times the size of a region that the
	// design assumes.
	maxInstances = 1700
	maxEndpoints = 2600
	// maxEvents limits the prompt parts and rejections that are queued for the next message, to those of one second of
	// a region's requests.
	maxEvents = 2000
)

// Errors returned for received messages, or for a stream that may not be opened. The stream of such a message ends.
var (
	ErrReplaced   = errors.New("another stream of the instance has replaced this one")
	ErrOutOfOrder = errors.New("message is out of order")
	ErrCycle      = errors.New("instances report to each other in a circle")
	ErrTooLarge   = errors.New("message names too many instances or endpoints")
)

// Source is an instance whose messages this one receives: a child or the root of a remote region. A message holds the
// state of the sender and its descendants. This instance itself is also kept as a source.
type Source struct {
	id             peer.Identity
	lastReceived   clock.Instant // last message
	firstReceived  clock.Instant // first message
	ended          bool          // its stream has ended
	started        bool          // a message has arrived on its stream
	lastNumber     uint64        // of the last message, also of an earlier stream
	configVersion  int64
	statuses       map[string]Status         // of the sender and its descendants, by name
	loads          map[string]placement.Load // by endpoint
	unresponsive   []*wire.EdgeSilent
	services       []*wire.EdgeServiceLoad
	demand         []*wire.EdgeServiceLoad // of the callers of the sender and its descendants
	averageUsage   averages                // per second; only for sources of the region
	measuredBefore map[string]float64      // usage per second before it began to report to this instance, as it states
	usageKnown     bool                    // usage was measured for long enough to derive a part of the rates from it

	names              receivedNames
	lastSentState      uint64 // number of the last state sent to it
	acknowledgedReport uint64 // number of its last report that the current state includes
	settledReport      uint64 // number of its last report that has reached the region's root, if this instance is not the root
}

func newSource(id peer.Identity) *Source {
	return &Source{id: id, statuses: make(map[string]Status), loads: make(map[string]placement.Load),
		averageUsage: make(averages)}
}

// receiveMeasured stores the usage that an instance measured before it began to report to this one.
func (s *Source) receiveMeasured(now clock.Instant, m *wire.EdgeMeasuredUse) {
	s.measuredBefore, s.usageKnown = make(map[string]float64), s.usageKnown || m.GetKnown()
	for _, u := range m.GetUses() {
		s.measuredBefore[u.GetName()] = usedBy(u)
		if _, has := s.averageUsage[u.GetName()]; !has {
			s.averageUsage[u.GetName()] = fleetquota.AverageOf(usedBy(u), now)
		}
	}
}

// message is the common part of reports and summaries.
type message interface {
	GetNumber() uint64
	GetConfigurationVersion() int64
	GetComplete() bool
	GetInstances() []*wire.EdgeStanding
	GetGone() []string
	GetSilent() []*wire.EdgeSilent
}

// receive applies a message. It returns ErrOutOfOrder if the message does not follow the last one, or if a stream does
// not begin with a complete state.
func (s *Source) receive(now clock.Instant, m message, loads []*wire.EdgeEndpointWork) error {
	if s.started && m.GetNumber() != s.lastNumber+1 || !s.started && (!m.GetComplete() || m.GetNumber() <= s.lastNumber) {
		return ErrOutOfOrder
	}
	s.started = true
	s.lastNumber, s.configVersion, s.unresponsive, s.lastReceived = m.GetNumber(), m.GetConfigurationVersion(), m.GetSilent(), now
	if s.firstReceived == 0 {
		s.firstReceived = now
	}
	if m.GetComplete() {
		clear(s.statuses)
		clear(s.loads)
	}
	applyStatuses(s.statuses, m.GetInstances(), m.GetGone())
	applyLoads(s.loads, loads)
	if len(s.statuses) > maxInstances || len(s.loads) > maxEndpoints {
		return ErrTooLarge
	}
	return nil
}

// averages are moving averages of usage per second, by organisation.
type averages map[string]fleetquota.Average

func (a averages) add(now clock.Instant, organisation string, amount float64) {
	average := a[organisation]
	average.Add(now, amount)
	a[organisation] = average
}

func (a averages) at(now clock.Instant) map[string]float64 {
	out := make(map[string]float64, len(a))
	for organisation, average := range a {
		out[organisation] = average.Value(now)
	}
	return out
}
