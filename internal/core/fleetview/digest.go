package fleetview

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetquota"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Tick prepares the next state for the children. It encodes the changes since the previous state and, if a child needs
// it, also the complete state.
func (n *Node) Tick(now clock.Instant) error {
	n.dropStaleUsage(now)
	n.paces.prune(now)
	n.tickedAt = now
	n.stateNumber++
	n.encodedChanges, n.encodedComplete = nil, nil
	haveReceivers, needComplete := false, false
	for name, s := range n.sources {
		if s.started {
			s.acknowledgedReport = s.lastNumber
		}
		if name == n.self.Instance || s.ended || !s.started {
			continue
		}
		haveReceivers = true
		needComplete = needComplete || s.lastSentState == 0 || s.lastSentState+1 < n.stateNumber
	}
	usageChanges, events := n.regionUsage.takeChanged(), n.childEvents.take()
	remoteUsage := make(map[string]map[string]float64, len(n.remoteRegions))
	for name, r := range n.remoteRegions {
		remoteUsage[name] = r.forChildren.takeChanged()
	}
	if !haveReceivers {
		n.sentToChildren = nil
		return nil
	}
	state := &wire.EdgeFleetState{
		ConfigurationVersion: n.configVersion, Path: append([]string{n.self.Instance}, n.ancestors...),
		Parts: events.PromptParts, Refusals: events.Rejections, Silent: n.Unresponsive(now), Number: n.RootStateNumber(),
	}
	statuses, load, limits := n.statusesWithoutTimes(now), n.loadOutsideSubtree(now), n.limits.Statements()
	n.addSubtreeLoad(now, load, nil)
	if n.compact {
		roundLoads(load)
	}
	if len(n.childNames.names) > maxNames {
		n.childNames, n.sentToChildren, needComplete = newNameTable(), nil, true
	}
	namesBefore := len(n.childNames.names)
	needComplete = needComplete || n.sentToChildren == nil
	if needComplete {
		next := newSentState()
		state.Complete = true
		state.Instances, _ = next.statusChanges(statuses)
		state.Endpoints = next.loadChanges(load)
		state.Limits = next.limitChanges(limits)
		state.Crashes = next.crashChanges(now, n.crashes)
		state.Notices = next.noticeChanges(n.notices.Advice(now))
		state.Paces = next.paces.changes(now, n.paces)
		state.Regions = n.regionStates(now, n.regionUsage.values, func(name string) map[string]float64 { return n.remoteRegions[name].forChildren.values })
	}
	complete := state
	if n.sentToChildren == nil {
		n.sentToChildren = newSentState()
		n.sentToChildren.statusChanges(statuses)
		n.sentToChildren.loadChanges(load)
		n.sentToChildren.limitChanges(limits)
		n.sentToChildren.crashChanges(now, n.crashes)
		n.sentToChildren.noticeChanges(n.notices.Advice(now))
		n.sentToChildren.paces.changes(now, n.paces)
		n.sentServices(complete)
		return n.encodeStates(complete, nil, namesBefore)
	}
	state = &wire.EdgeFleetState{
		ConfigurationVersion: state.ConfigurationVersion, Path: state.Path, Parts: state.Parts, Refusals: state.Refusals, Silent: state.Silent, Number: state.Number,
	}
	state.Instances, state.Gone = n.sentToChildren.statusChanges(statuses)
	state.Endpoints = n.sentToChildren.loadChanges(load)
	state.Limits = n.sentToChildren.limitChanges(limits)
	state.Crashes = n.sentToChildren.crashChanges(now, n.crashes)
	state.Notices = n.sentToChildren.noticeChanges(n.notices.Advice(now))
	state.Paces = n.sentToChildren.paces.changes(now, n.paces)
	state.Regions = n.regionStates(now, usageChanges, func(name string) map[string]float64 { return remoteUsage[name] })
	if n.compact {
		n.withoutSentServices(state)
	}
	n.sentServices(state)
	return n.encodeStates(complete, state, namesBefore)
}

// encodeStates encodes the complete state if it is one, and the changes if they are not nil. The names from namesBefore on are new to those
// that receive changes.
func (n *Node) encodeStates(complete, changes *wire.EdgeFleetState, namesBefore int) error {
	states := []*wire.EdgeFleetState{changes}
	if complete.GetComplete() {
		states = append(states, complete)
	}
	if n.compact {
		for _, s := range states {
			if s != nil {
				n.childNames.packState(s)
			}
		}
		complete.Names = n.childNames.names
		if changes != nil {
			changes.Names = n.childNames.names[namesBefore:]
		}
	}
	var err error
	if complete.GetComplete() {
		if n.encodedComplete, err = proto.Marshal(complete); err != nil {
			return errors.Wrap(err, "encode the complete state")
		}
	}
	if changes != nil {
		n.encodedChanges, err = proto.Marshal(changes)
	}
	return errors.Wrap(err, "encode the changes of the state")
}

// sentServices records the services of remote regions that a state holds as sent to the children.
func (n *Node) sentServices(s *wire.EdgeFleetState) {
	for _, r := range s.GetRegions() {
		if remote := n.remoteRegions[r.GetRegion()]; remote != nil {
			remote.servicesSent = remote.servicesVersion
		}
	}
}

// withoutSentServices leaves out the services of remote regions that the children have.
func (n *Node) withoutSentServices(s *wire.EdgeFleetState) {
	for _, r := range s.GetRegions() {
		if remote := n.remoteRegions[r.GetRegion()]; remote != nil && remote.servicesSent == remote.servicesVersion {
			r.Services, r.SameServices = nil, true
		}
	}
}

// statusesWithoutTimes returns Statuses without the times of receipt.
func (n *Node) statusesWithoutTimes(now clock.Instant) map[string]Status {
	received := n.Statuses(now)
	out := make(map[string]Status, len(received))
	for name, h := range received {
		out[name] = h.Status
	}
	return out
}

// regionStates returns the state of this region and of the remote regions that are not older than maxRegionAge. own is
// the usage to include for this region; remoteUsage returns that of a remote region.
func (n *Node) regionStates(now clock.Instant, own map[string]float64, remoteUsage func(name string) map[string]float64) []*wire.EdgeRegionState {
	out := []*wire.EdgeRegionState{{Region: n.self.Region, Uses: encodeUsage(own), Services: WithEngines(n.RegionServices(now))}}
	for name, r := range n.remoteRegions {
		if now.Sub(r.lastReceived) > maxRegionAge {
			continue
		}
		out = append(out, &wire.EdgeRegionState{
			Region: name, AgeMillis: saturate.Millis(now.Sub(r.lastReceived)), Uses: encodeUsage(remoteUsage(name)), Services: r.services,
		})
	}
	return out
}

// maxRegionAge is the age up to which the last state of a remote region is still sent to children. It is far longer
// than the time after which a region counts as unresponsive.
const maxRegionAge = time.Minute

// DigestFor returns the digest with the current state for a child, or nil if the child has it already, its stream was
// replaced, it has not reported yet, or the state is not available in the form that it needs.
func (n *Node) DigestFor(s *Source) *wire.EdgeDigest {
	d := &wire.EdgeDigest{Acknowledged: s.acknowledgedReport}
	if n.keepsUsage(n.tickedAt) {
		d.Unsettled = s.acknowledgedReport - min(s.settledReport, s.acknowledgedReport)
	}
	switch {
	case n.sources[s.id.Instance] != s || s.lastSentState == n.stateNumber || s.acknowledgedReport == 0:
		return nil
	case s.lastSentState > 0 && s.lastSentState+1 == n.stateNumber && n.encodedChanges != nil:
		d.State = n.encodedChanges
	case n.encodedComplete != nil:
		d.State = n.encodedComplete
	default:
		return nil
	}
	s.lastSentState = n.stateNumber
	return d
}

// SummaryStream is a stream of summaries from this root to the root of a remote region.
type SummaryStream struct {
	number      uint64             // of the last summary
	sent        *sentState         // state that the remote region has been sent
	unsentUsage map[string]float64 // usage of this region that has not been sent yet, by organisation
	lastSent    clock.Instant      // when the last summary was made
}

// OpenSummaries begins a stream of summaries to the root of a remote region.
func (n *Node) OpenSummaries(now clock.Instant, region string) *SummaryStream {
	l := n.summaryStreams[region]
	if l == nil {
		l = &SummaryStream{unsentUsage: make(map[string]float64)}
		n.summaryStreams[region] = l
	}
	if now.Sub(l.lastSent) > fleetquota.UnresponsiveAfter {
		clear(l.unsentUsage) // by now the remote region reserves a part of the rate for this one
	}
	l.number, l.sent = 0, newSentState()
	return l
}

// NextSummary returns the next summary for a remote region.
func (n *Node) NextSummary(now clock.Instant, l *SummaryStream) *wire.EdgeSummary {
	l.number++
	s := &wire.EdgeSummary{
		Number: l.number, Complete: l.number == 1, ConfigurationVersion: n.configVersion, Uses: encodeUsage(l.unsentUsage),
		Services: n.RegionServices(now), Silent: n.reportedUnresponsive(now), Crashes: l.sent.crashChanges(now, n.crashes),
	}
	s.Instances, s.Gone = l.sent.statusChanges(n.subtreeStatuses(now))
	l.unsentUsage, l.lastSent = make(map[string]float64), now
	return s
}

// AddRemoteRoot begins a stream of summaries received from the root of a remote region.
func (n *Node) AddRemoteRoot(from peer.Identity) *Source {
	s := newSource(from)
	n.remoteRoots[from.Instance] = s
	return s
}

// ReceiveSummary applies a summary received from the root of a remote region.
func (n *Node) ReceiveSummary(now clock.Instant, s *Source, m *wire.EdgeSummary) error {
	if n.remoteRoots[s.id.Instance] != s {
		return ErrReplaced
	}
	first := !s.started
	if err := s.receive(now, m, nil); err != nil {
		return err
	}
	if err := n.mergeCrashes(now, m.GetCrashes()); err != nil {
		return err
	}
	remote := n.remoteRegion(s.id.Region)
	for _, u := range m.GetUses() {
		if !first || now.Sub(remote.lastReceived) <= fleetquota.UnresponsiveAfter {
			remote.add(u.GetName(), usedBy(u))
		}
	}
	remote.lastReceived = now
	remote.setServices(m.GetServices())
	return nil
}

func (n *Node) remoteRegion(name string) *remoteRegion {
	r := n.remoteRegions[name]
	if r == nil {
		r = &remoteRegion{forChildren: newTotals(), forSelf: newTotals()}
		n.remoteRegions[name] = r
	}
	return r
}

func (r *remoteRegion) setServices(services []*wire.EdgeServiceLoad) {
	r.services = services
	r.servicesVersion++
}

func (r *remoteRegion) add(organisation string, amount float64) {
	r.forChildren.add(organisation, amount)
	r.forSelf.add(organisation, amount)
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
