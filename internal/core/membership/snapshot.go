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
	Status Status // Live, Suspect or Leaving; Row.State is the state in the platform's list
	// Unreachable is true if this instance gets no answer from the member although its scope does not suspect it: other
	// instances reach it, or none could be asked.
	Unreachable bool
	Listed      bool // the list contains this incarnation
	Self        bool // this instance
}

// Usable reports whether this instance should send requests to the member: it is live, and this instance can reach it.
// The entries for callers depend on Status alone, because callers reach members over other paths.
func (m Member) Usable() bool { return m.Status == Live && !m.Unreachable }

// Snapshot is an immutable view of the membership. Its methods may be called concurrently.
type Snapshot struct {
	Version int64 // of the list, 0 before the first
	Members []Member
	// EntryCount is the number of entry instances in the list. Intervals that grow with the number of instances depend
	// on it.
	EntryCount int
	byName     map[string]int
	gone       map[Ref]bool
}

// Snapshot returns the current view, including this instance.
func (c *Core) Snapshot() *Snapshot {
	s := &Snapshot{
		Version:    c.listVersion,
		EntryCount: len(c.listed),
		byName:     make(map[string]int, len(c.members)+1),
		gone:       maps.Clone(c.gone),
	}
	s.Members = append(s.Members, c.selfMember())
	for _, m := range c.members {
		_, listed := c.listed[m.ref()]
		s.Members = append(s.Members, Member{
			Row: m.row, Status: c.status(m), Unreachable: m.unreachable, Listed: listed,
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

// StatusOf returns the status of a process, and false if the process is unknown. The status is Gone only if an earlier
// version of the list contained the incarnation and the current one does not.
func (s *Snapshot) StatusOf(ref Ref) (status Status, known bool) {
	if s.gone[ref] {
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
