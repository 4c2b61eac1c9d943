package membership

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Member is an instance in a snapshot.
type Member struct {
	Row
	Status Status // Live, Suspect or Leaving; Row.State is what the list says
	// Unreachable says that this instance gets no answer from the member although its scope does not suspect it:
	// others reach it, or nobody else could be asked.
	Unreachable bool
	Listed    bool // the list shows this incarnation
	Self      bool
}

// Usable reports whether this instance should send requests to the member: it is live and not known to be out of reach
// from here. Entries for callers go by Status alone, since callers have ways of their own.
func (m Member) Usable() bool { return m.Status == Live && !m.Unreachable }

// Snapshot is an immutable view. Its methods need no lock.
type Snapshot struct {
	Version int64 // of the list, 0 before the first
	Members []Member
	// EntryCount is the number of entry instances in the list. Intervals that scale with the fleet use it.
	EntryCount int
	byName     map[string]int
	removed    map[Ref]bool
}

// Snapshot returns the current view, with the own instance.
func (c *Core) Snapshot() *Snapshot {
	s := &Snapshot{
		Version:    c.version,
		EntryCount: len(c.listed),
		byName:     make(map[string]int, len(c.members)+1),
		removed:    maps.Clone(c.gone),
	}
	s.Members = append(s.Members, c.selfMember())
	for _, m := range c.members {
		_, listed := c.listed[m.ref()]
		s.Members = append(s.Members, Member{
			Row: m.row, Status: c.status(m), Unreachable: m.unreached, Listed: listed,
		})
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i, m := range s.Members {
		s.byName[m.Name] = i
	}
	return s
}

func (c *Core) selfMember() Member {
	status := Live
	if c.self.State == platform.StateLeaving {
		status = Leaving
	}
	_, listed := c.listed[refOf(c.self)]
	return Member{Row: c.self, Status: status, Listed: listed, Self: true}
}

func (c *Core) status(m *member) Status {
	switch {
	case m.leaving:
		return Leaving
	case m.suspect(c.self.Region):
		return Suspect
	default:
		return Live
	}
}

// Member returns an instance by name.
func (s *Snapshot) Member(name string) (Member, bool) {
	i, found := s.byName[name]
	if !found {
		return Member{}, false
	}
	return s.Members[i], true
}

// StatusOf returns the state of a process. It is Gone only if the list once showed that incarnation and a newer version
// does not. An incarnation that was never seen has no state.
func (s *Snapshot) StatusOf(ref Ref) (state Status, known bool) {
	if s.removed[ref] {
		return Gone, true
	}
	if m, found := s.Member(ref.Instance); found && m.Incarnation == ref.Incarnation {
		return m.Status, true
	}
	return Gone, false
}

// InRegion returns the instances of a region, in order of their names.
func (s *Snapshot) InRegion(region string) []Member {
	var found []Member
	for _, m := range s.Members {
		if m.Region == region {
			found = append(found, m)
		}
	}
	return found
}
