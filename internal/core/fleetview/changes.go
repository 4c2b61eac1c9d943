package fleetview

import (
	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/crashguard"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// totals holds counters by organisation that only grow, and those that have changed since the last call of takeChanged.
type totals struct {
	values  map[string]float64
	changed map[string]float64
}

func newTotals() totals {
	return totals{values: make(map[string]float64), changed: make(map[string]float64)}
}

func (t *totals) add(organisation string, amount float64) {
	if amount > 0 {
		t.values[organisation] += amount
		t.changed[organisation] = t.values[organisation]
	}
}

// takeChanged returns the totals that have changed since its last call.
func (t *totals) takeChanged() map[string]float64 {
	out := t.changed
	t.changed = make(map[string]float64)
	return out
}

// sentState is the state of instances and endpoints that a receiver has been sent.
type sentState struct {
	statuses map[string]Status
	loads    map[string]placement.Load
	limits   map[string]endpointrate.Statement // by endpoint
	crashes  uint64                            // version of this node's register up to which crashes were sent
	notices  map[endpointnotice.Advice]bool
	paces    paces
}

func newSentState() *sentState {
	return &sentState{statuses: make(map[string]Status), loads: make(map[string]placement.Load), limits: make(map[string]endpointrate.Statement),
		paces: make(paces)}
}

// statusChanges returns the difference between the statuses sent before and next, and records next as sent.
func (t *sentState) statusChanges(next map[string]Status) (changed []*wire.EdgeStanding, gone []string) {
	for name, s := range next {
		if before, known := t.statuses[name]; !known || before != s {
			changed = append(changed, &wire.EdgeStanding{
				Name: name, Incarnation: s.Incarnation, Ready: s.Ready, Leaving: s.Leaving, Refusing: s.Rejecting, Far: s.Remote,
				UtilisationLevel: uint32(s.Level),
			})
		}
	}
	for name := range t.statuses {
		if _, known := next[name]; !known {
			gone = append(gone, name)
		}
	}
	t.statuses = next
	return changed, gone
}

// loadChanges returns the loads in next that differ from those sent before, and records next as sent. An endpoint
// without load that had some before is returned with an empty load.
func (t *sentState) loadChanges(next map[string]placement.Load) (changed []*wire.EdgeEndpointWork) {
	for endpoint, w := range next {
		if t.loads[endpoint] != w {
			changed = append(changed, encodeLoad(endpoint, w))
		}
	}
	for endpoint, w := range t.loads {
		if _, known := next[endpoint]; !known && w != (placement.Load{}) {
			changed = append(changed, encodeLoad(endpoint, placement.Load{}))
		}
	}
	t.loads = next
	return changed
}

// limitChanges returns the statements that differ from those sent before, and records them as sent.
func (t *sentState) limitChanges(statements []endpointrate.Statement) (changed []*wire.EdgeEndpointLimit) {
	for _, s := range statements {
		if t.limits[s.Endpoint.ID] == s {
			continue
		}
		t.limits[s.Endpoint.ID] = s
		changed = append(changed, &wire.EdgeEndpointLimit{
			Id: s.Endpoint.ID, StartedMillis: s.Endpoint.StartedAtMillis, Limited: s.Limited, PerSecond: s.Limit, Version: s.Version,
			MayHaveRestarted: s.Restart.Raised, RestartVersion: s.Restart.Version,
		})
	}
	return changed
}

// mergeLimits records the statements of a message.
func (n *Node) mergeLimits(now clock.Instant, limits []*wire.EdgeEndpointLimit) error {
	for _, l := range limits {
		s, ok := endpointrate.Statement{
			Endpoint: catalog.Incarnation{ID: l.GetId(), StartedAtMillis: l.GetStartedMillis()},
			Limited:  l.GetLimited(), Limit: l.GetPerSecond(), Version: l.GetVersion(),
			Restart: endpointrate.Suspicion{Raised: l.GetMayHaveRestarted(), Version: l.GetRestartVersion()},
		}.Bounded()
		if ok {
			n.limits.Merge(now, s)
		}
	}
	if n.limits.Len() > maxEndpoints {
		return ErrTooLarge
	}
	return nil
}

// crashChanges returns the crashes that have changed since those sent before, and records them as sent. Times go as ages that are rounded
// down: a receiver that knows the crash keeps its own, earlier time.
func (t *sentState) crashChanges(now clock.Instant, register *crashguard.Register) (changed []*wire.EdgeEndpointCrash) {
	for _, c := range register.Crashes(t.crashes) {
		changed = append(changed, EncodeCrash(now, c))
	}
	t.crashes = register.Version()
	return changed
}

// mergeCrashes records the crashes of a message.
func (n *Node) mergeCrashes(now clock.Instant, crashes []*wire.EdgeEndpointCrash) error {
	if len(crashes) > crashguard.MaxCrashes {
		return ErrTooLarge
	}
	for _, c := range crashes {
		n.crashes.Merge(now, DecodeCrash(now, c))
	}
	return nil
}

// EncodeCrash encodes a crash with its age.
func EncodeCrash(now clock.Instant, c crashguard.Crash) *wire.EdgeEndpointCrash {
	out := &wire.EdgeEndpointCrash{Id: c.Endpoint.ID, StartedMillis: c.Endpoint.StartedAtMillis, AgeMillis: saturate.Millis(now.Sub(c.At))}
	for key, s := range c.Parts {
		out.Parts = append(out.Parts, &wire.EdgeSuspectPart{Key: key, LeadMillis: saturate.Millis(s.Lead),
			WasAlive: s.WasAlive, Cleared: s.Cleared, Grouped: s.Grouped, Single: s.Single})
	}
	return out
}

// DecodeCrash decodes a crash.
func DecodeCrash(now clock.Instant, c *wire.EdgeEndpointCrash) crashguard.Crash {
	parts := make(map[uint64]crashguard.Suspect, len(c.GetParts()))
	for _, p := range c.GetParts() {
		parts[p.GetKey()] = crashguard.Suspect{Lead: millis(p.GetLeadMillis()), WasAlive: p.GetWasAlive(), Cleared: p.GetCleared(),
			Grouped: p.GetGrouped(), Single: p.GetSingle()}
	}
	return crashguard.Crash{
		Endpoint: catalog.Incarnation{ID: c.GetId(), StartedAtMillis: c.GetStartedMillis()}, At: now.Add(-millis(c.GetAgeMillis())), Parts: parts,
	}
}

func encodeLoad(endpoint string, w placement.Load) *wire.EdgeEndpointWork {
	return &wire.EdgeEndpointWork{
		Id: endpoint, Running: roundToUint32(float64(w.Requests)), UnreadTokens: roundToUint32(w.PendingPrefill), MemoryTokens: roundToUint32(w.Memory),
		GapLimited: uint32(max(0, w.GapLimited)),
	}
}

// roundToUint32 rounds x to the nearest integer and clamps it to [0, 1<<31]. Rounding errors in sums may make x
// slightly negative.
func roundToUint32(x float64) uint32 { return saturate.Uint32(min(x+0.5, 1<<31)) }

// applyStatuses applies the changes of a message to a set of statuses.
func applyStatuses(into map[string]Status, changed []*wire.EdgeStanding, gone []string) {
	for _, s := range changed {
		into[s.GetName()] = Status{
			Incarnation: s.GetIncarnation(), Ready: s.GetReady(), Leaving: s.GetLeaving(), Rejecting: s.GetRefusing(), Remote: s.GetFar(),
			Level: strength.Level(min(s.GetUtilisationLevel(), uint32(strength.MaxLevel))),
		}
	}
	for _, name := range gone {
		delete(into, name)
	}
}

// applyLoads applies the changed loads of a message. An empty load removes its endpoint.
func applyLoads(into map[string]placement.Load, changed []*wire.EdgeEndpointWork) {
	for _, w := range changed {
		into[w.GetId()] = placement.Load{
			Requests: int(w.GetRunning()), PendingPrefill: float64(w.GetUnreadTokens()), Memory: float64(w.GetMemoryTokens()),
			GapLimited: int(w.GetGapLimited()),
		}
		if into[w.GetId()] == (placement.Load{}) {
			delete(into, w.GetId())
		}
	}
}

// maxUse bounds the usage that another instance may report, so that sums stay numbers.
const maxUse = 1e18

// usedBy returns what an organisation has used according to another instance.
func usedBy(u *wire.EdgeOrganisationUse) float64 { return saturate.Finite(u.GetUsed(), 0, maxUse) }

func encodeUsage(usage map[string]float64) []*wire.EdgeOrganisationUse {
	out := make([]*wire.EdgeOrganisationUse, 0, len(usage))
	for organisation, used := range usage {
		out = append(out, &wire.EdgeOrganisationUse{Name: organisation, Used: used})
	}
	return out
}
