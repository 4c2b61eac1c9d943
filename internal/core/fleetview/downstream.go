package fleetview

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Tick makes the next state for the instances below.
func (n *Node) Tick(now clock.Instant) error {
	n.dropUnsent(now)
	n.state++
	n.changes, n.whole = nil, nil
	receivers, whole := false, false
	for name, s := range n.sources {
		if s.began {
			s.acknowledged = s.number
		}
		if name == n.self.Instance || s.ended || !s.began {
			continue
		}
		receivers = true
		whole = whole || s.sent == 0 || s.sent+1 < n.state
	}
	uses, events := n.region.take(), n.events.take()
	farUses := make(map[string]map[string]float64, len(n.regions))
	for name, r := range n.regions {
		farUses[name] = r.down.take()
	}
	if !receivers {
		n.told = nil
		return nil
	}
	state := &wire.EdgeFleetState{
		ConfigurationVersion: n.version, Path: append([]string{n.self.Instance}, n.path...),
		Parts: events.PromptParts, Refusals: events.Rejections, Silent: n.Unresponsive(now),
	}
	standings, work := n.standings(now), n.workAbove(now)
	n.addWorkBelow(now, work, nil)
	var err error
	if whole {
		next := newTold()
		state.Complete = true
		state.Instances, _ = next.instances(standings)
		state.Endpoints = next.endpoints(work)
		state.Regions = n.regionStates(now, n.region.values, func(name string) map[string]float64 { return n.regions[name].down.values })
		if n.whole, err = proto.Marshal(state); err != nil {
			return errors.Wrap(err, "encode the whole state")
		}
	}
	if n.told == nil {
		n.told = newTold()
		n.told.instances(standings)
		n.told.endpoints(work)
		return nil
	}
	state.Complete = false
	state.Instances, state.Gone = n.told.instances(standings)
	state.Endpoints = n.told.endpoints(work)
	state.Regions = n.regionStates(now, uses, func(name string) map[string]float64 { return farUses[name] })
	n.changes, err = proto.Marshal(state)
	return errors.Wrap(err, "encode the changes of the state")
}

func (n *Node) standings(now clock.Instant) map[string]Status {
	heard := n.Statuses(now)
	out := make(map[string]Status, len(heard))
	for name, h := range heard {
		out[name] = h.Status
	}
	return out
}

func (n *Node) regionStates(now clock.Instant, own map[string]float64, far func(name string) map[string]float64) []*wire.EdgeRegionState {
	out := []*wire.EdgeRegionState{{Region: n.self.Region, Uses: encodeUses(own)}}
	for name, r := range n.regions {
		if now.Sub(r.heard) > maxAge {
			continue
		}
		out = append(out, &wire.EdgeRegionState{
			Region: name, AgeMillis: uint32(now.Sub(r.heard).Milliseconds()), Uses: encodeUses(far(name)), Services: r.services,
		})
	}
	return out
}

// maxAge is the age up to which the state of a region is passed on: long after it counts as silent.
const maxAge = time.Minute

// DigestFor returns the present state for an instance below, or nil if there is none for it yet.
func (n *Node) DigestFor(s *Source) *wire.EdgeDigest {
	d := &wire.EdgeDigest{Acknowledged: s.acknowledged}
	switch {
	case n.sources[s.id.Instance] != s || s.sent == n.state || s.acknowledged == 0:
		return nil
	case s.sent > 0 && s.sent+1 == n.state && n.changes != nil:
		d.State = n.changes
	case n.whole != nil:
		d.State = n.whole
	default:
		return nil
	}
	s.sent = n.state
	return d
}

// SummaryStream is what another region has been told by this root.
type SummaryStream struct {
	number uint64
	told   *told
	unsent map[string]float64
	sentAt clock.Instant
}

// OpenSummaries begins a stream of summaries to the root of another region.
func (n *Node) OpenSummaries(now clock.Instant, region string) *SummaryStream {
	l := n.links[region]
	if l == nil {
		l = &SummaryStream{unsent: make(map[string]float64)}
		n.links[region] = l
	}
	if now.Sub(l.sentAt) > fleetquota.SilentAfter {
		clear(l.unsent) // the other region has taken a part of the rate to be used
	}
	l.number, l.told = 0, newTold()
	return l
}

// NextSummary returns the next summary for another region.
func (n *Node) NextSummary(now clock.Instant, l *SummaryStream) *wire.EdgeSummary {
	l.number++
	s := &wire.EdgeSummary{
		Number: l.number, Complete: l.number == 1, ConfigurationVersion: n.version, Uses: encodeUses(l.unsent),
		Services: n.own().services, Silent: n.reportedSilent(now),
	}
	s.Instances, s.Gone = l.told.instances(n.below(now))
	l.unsent, l.sentAt = make(map[string]float64), now
	return s
}

// AddRemoteRoot begins a stream of summaries of another region's root.
func (n *Node) AddRemoteRoot(from peer.Identity) *Source {
	s := newSource(from)
	n.far[from.Instance] = s
	return s
}

// ReceiveSummary takes a summary of another region's root.
func (n *Node) ReceiveSummary(now clock.Instant, s *Source, m *wire.EdgeSummary) error {
	if n.far[s.id.Instance] != s {
		return ErrReplaced
	}
	first := !s.began
	if err := s.take(now, m, nil); err != nil {
		return err
	}
	far := n.farRegion(s.id.Region)
	for _, u := range m.GetUses() {
		if !first || now.Sub(far.heard) <= fleetquota.SilentAfter {
			far.add(u.GetName(), u.GetUsed())
		}
	}
	far.heard, far.services = now, m.GetServices()
	return nil
}

func (n *Node) farRegion(name string) *farRegion {
	r := n.regions[name]
	if r == nil {
		r = &farRegion{down: newTotals(), local: newTotals()}
		n.regions[name] = r
	}
	return r
}

func (r *farRegion) add(organisation string, amount float64) {
	r.down.add(organisation, amount)
	r.local.add(organisation, amount)
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
