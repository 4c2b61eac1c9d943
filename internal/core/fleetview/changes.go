package fleetview

import (
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// totals are numbers by organisation that only grow, with those that have changed since they were last taken.
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

func (t *totals) take() map[string]float64 {
	out := t.changed
	t.changed = make(map[string]float64)
	return out
}

// told is what a receiver knows of instances and endpoints.
type told struct {
	standings map[string]Status
	work      map[string]placement.PeerWork
}

func newTold() *told {
	return &told{standings: make(map[string]Status), work: make(map[string]placement.PeerWork)}
}

// instances returns what has changed since the receiver was told, which it is now.
func (t *told) instances(next map[string]Status) (changed []*wire.EdgeStanding, gone []string) {
	for name, s := range next {
		if before, known := t.standings[name]; !known || before != s {
			changed = append(changed, &wire.EdgeStanding{
				Name: name, Incarnation: s.Incarnation, Ready: s.Ready, Leaving: s.Leaving, Refusing: s.Rejecting, Far: s.Remote,
			})
		}
	}
	for name := range t.standings {
		if _, known := next[name]; !known {
			gone = append(gone, name)
		}
	}
	t.standings = next
	return changed, gone
}

// endpoints returns the work that has changed since the receiver was told, which it is now.
func (t *told) endpoints(next map[string]placement.PeerWork) (changed []*wire.EdgeEndpointWork) {
	for endpoint, w := range next {
		if t.work[endpoint] != w {
			changed = append(changed, encodeWork(endpoint, w))
		}
	}
	for endpoint, w := range t.work {
		if _, known := next[endpoint]; !known && w != (placement.PeerWork{}) {
			changed = append(changed, encodeWork(endpoint, placement.PeerWork{}))
		}
	}
	t.work = next
	return changed
}

func encodeWork(endpoint string, w placement.PeerWork) *wire.EdgeEndpointWork {
	return &wire.EdgeEndpointWork{
		Id: endpoint, Running: clip(float64(w.Running)), UnreadTokens: clip(w.Unread), MemoryTokens: clip(w.Memory),
	}
}

// clip rounds to a number that the wire holds. Rounding errors of sums may be a little below 0.
func clip(x float64) uint32 { return uint32(min(max(x+0.5, 0), 1<<31)) }

func takeStandings(into map[string]Status, changed []*wire.EdgeStanding, gone []string) {
	for _, s := range changed {
		into[s.GetName()] = Status{
			Incarnation: s.GetIncarnation(), Ready: s.GetReady(), Leaving: s.GetLeaving(), Rejecting: s.GetRefusing(), Remote: s.GetFar(),
		}
	}
	for _, name := range gone {
		delete(into, name)
	}
}

func takeWork(into map[string]placement.PeerWork, changed []*wire.EdgeEndpointWork) {
	for _, w := range changed {
		into[w.GetId()] = placement.PeerWork{
			Running: int(w.GetRunning()), Unread: float64(w.GetUnreadTokens()), Memory: float64(w.GetMemoryTokens()),
		}
		if into[w.GetId()] == (placement.PeerWork{}) {
			delete(into, w.GetId())
		}
	}
}

func encodeUses(uses map[string]float64) []*wire.EdgeOrganisationUse {
	out := make([]*wire.EdgeOrganisationUse, 0, len(uses))
	for organisation, used := range uses {
		out = append(out, &wire.EdgeOrganisationUse{Name: organisation, Used: used})
	}
	return out
}
