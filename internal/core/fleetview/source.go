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
	// MaxStatusAge is the age of an instance's last report up to which callers and requests are sent to it: some intervals of the exchange
	// between regions.
	MaxStatusAge = 1200 * time.Millisecond
	// maxInstances and maxEndpoints bound what is kept of one sender: ten times a region of the design's size.
	maxInstances = 1700
	maxEndpoints = 2600
	// maxEvents bounds the prompt parts and refusals that wait for the next message: a second of a region's requests.
	maxEvents = 2000
)

// Errors of messages. The stream that brought one ends.
var (
	ErrReplaced = errors.New("another stream of the instance has replaced this one")
	ErrOutOfOrder    = errors.New("message is out of order")
	ErrCycle    = errors.New("instances report to each other in a circle")
	ErrTooLarge = errors.New("message names too many instances or endpoints")
)

// Source is an instance that tells this one its state and that of all below it.
type Source struct {
	id        peer.Identity
	heard     clock.Instant
	since     clock.Instant // first report
	ended     bool          // its stream has ended
	began     bool          // its stream has brought a message
	number    uint64        // of the last message, also of an earlier stream
	version   int64
	standings map[string]Status
	work      map[string]placement.PeerWork
	silent    []*wire.EdgeSilent
	services  []*wire.EdgeServiceLoad
	use       averages           // of the region's own sources
	measured  map[string]float64 // use a second before it began to report to this instance, as it says
	known     bool               // use was measured long enough to tell a part of the rates

	sent         uint64 // state that it was sent last
	acknowledged uint64 // number that the present state includes
}

func newSource(id peer.Identity) *Source {
	return &Source{id: id, standings: make(map[string]Status), work: make(map[string]placement.PeerWork),
		use: make(averages)}
}

// takeMeasured takes the use of an instance before it began to report to this one.
func (s *Source) takeMeasured(now clock.Instant, m *wire.EdgeMeasuredUse) {
	s.measured, s.known = make(map[string]float64), s.known || m.GetKnown()
	for _, u := range m.GetUses() {
		s.measured[u.GetName()] = u.GetUsed()
		if _, has := s.use[u.GetName()]; !has {
			s.use[u.GetName()] = fleetquota.AverageOf(u.GetUsed(), now)
		}
	}
}

// message is what reports and summaries have in common.
type message interface {
	GetNumber() uint64
	GetConfigurationVersion() int64
	GetComplete() bool
	GetInstances() []*wire.EdgeStanding
	GetGone() []string
	GetSilent() []*wire.EdgeSilent
}

func (s *Source) take(now clock.Instant, m message, work []*wire.EdgeEndpointWork) error {
	if s.began && m.GetNumber() != s.number+1 || !s.began && (!m.GetComplete() || m.GetNumber() <= s.number) {
		return ErrOutOfOrder
	}
	s.began = true
	s.number, s.version, s.silent, s.heard = m.GetNumber(), m.GetConfigurationVersion(), m.GetSilent(), now
	if s.since == 0 {
		s.since = now
	}
	if m.GetComplete() {
		clear(s.standings)
		clear(s.work)
	}
	takeStandings(s.standings, m.GetInstances(), m.GetGone())
	takeWork(s.work, work)
	if len(s.standings) > maxInstances || len(s.work) > maxEndpoints {
		return ErrTooLarge
	}
	return nil
}

// averages are moving averages of use by organisation.
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
