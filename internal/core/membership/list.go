package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// ApplyList replaces the current version of the platform's list if the given one is newer, and reports whether it is.
// Incarnations that the former version contains and the new one does not are gone.
func (c *Core) ApplyList(now clock.Instant, version int64, rows []Row) bool {
	if version <= c.listVersion {
		return false
	}
	next := make(map[Ref]Row, len(rows))
	for _, row := range rows {
		if row.Kind == platform.KindEntry && row.Name != "" {
			next[refOf(row)] = row
		}
	}
	for ref := range c.listed {
		if _, still := next[ref]; !still {
			c.markGone(ref)
		}
	}
	c.listVersion = version
	c.listed = next
	for _, ref := range sortedRefs(next) {
		c.applyRow(now, next[ref])
	}
	c.markChanged()
	return true
}

// markGone records an incarnation as gone and removes it from the members.
func (c *Core) markGone(ref Ref) {
	if !c.gone[ref] {
		c.gone[ref] = true
		c.goneOrder = append(c.goneOrder, ref)
	}
	if len(c.goneOrder) > maxGone {
		delete(c.gone, c.goneOrder[0])
		c.goneOrder = c.goneOrder[1:]
	}
	delete(c.superseded, ref)
	if m := c.members[ref.Instance]; m != nil && m.ref() == ref {
		delete(c.members, ref.Instance)
	}
}

func (c *Core) applyRow(now clock.Instant, row Row) {
	if row.Name == c.self.Name {
		return
	}
	ref := refOf(row)
	if c.gone[ref] {
		// The platform has listed the incarnation again; the list takes precedence.
		delete(c.gone, ref)
		c.goneOrder = slices.DeleteFunc(c.goneOrder, func(r Ref) bool { return r == ref })
	}
	m := c.members[row.Name]
	switch {
	case m == nil:
		m = c.addMember(now, row)
	case m.ref() == ref:
		m.row = row
	case c.newerThanList(now, m):
		return
	default:
		m = c.addMember(now, row)
	}
	m.leaving = m.leaving || row.State == platform.StateLeaving
}

// newerThanList reports whether a member is kept although the list contains another incarnation of its name. That is so
// if the list does not contain the member's incarnation, but this instance was in contact with it recently: then the
// list is out of date.
func (c *Core) newerThanList(now clock.Instant, m *member) bool {
	_, listed := c.listed[m.ref()]
	return !listed && m.hasContact && now.Sub(m.lastContact) < c.params.UnlistedTimeout && !m.suspect(c.self.Region)
}

// addMember adds a member without any history.
func (c *Core) addMember(now clock.Instant, row Row) *member {
	m := &member{row: row, hash: xxhash.Sum64String(row.Name)}
	m.nextProbe = now
	c.members[row.Name] = m
	c.markChanged()
	return m
}

// RecordContact records that a message arrived from a process, with the row that the process sent about itself. A
// process that the list does not contain yet becomes a member, unless the list has ended it or a newer process has
// replaced it under its name.
func (c *Core) RecordContact(now clock.Instant, row Row) {
	ref := refOf(row)
	if row.Name == c.self.Name || row.Incarnation == 0 || c.gone[ref] {
		return
	}
	if at, old := c.superseded[ref]; old && c.listVersion <= at {
		return
	}
	m := c.members[row.Name]
	if m == nil {
		if row.PeerAddr == "" {
			return
		}
		m = c.addMember(now, row)
	} else if m.ref() != ref {
		m = c.replace(now, m, row)
	}
	m.lastContact, m.hasContact = now, true
	if row.State == platform.StateLeaving && !m.leaving {
		m.leaving = true
		c.markChanged()
	}
}

// replace makes a newer process a member in place of m, which has the same name. A row without an address keeps the
// address and place of m.
func (c *Core) replace(now clock.Instant, m *member, row Row) *member {
	c.superseded[m.ref()] = c.listVersion
	delete(c.superseded, refOf(row))
	if row.PeerAddr == "" {
		incarnation, state := row.Incarnation, row.State
		row = m.row
		row.Incarnation, row.State = incarnation, state
	}
	return c.addMember(now, row)
}

// expiryCheckInterval is the interval of the search for unlisted members to remove.
const expiryCheckInterval = time.Second

// expireUnlisted removes members that are not in the list and that this instance has had no contact with for
// UnlistedTimeout.
func (c *Core) expireUnlisted(now clock.Instant) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryCheckInterval)
	for name, m := range c.members {
		if _, listed := c.listed[m.ref()]; listed || now.Sub(m.lastContact) < c.params.UnlistedTimeout {
			continue
		}
		delete(c.members, name)
		c.markChanged()
		// The list may contain another process of that name.
		for ref, row := range c.listed {
			if ref.Instance == name {
				c.addMember(now, row)
				delete(c.superseded, ref)
			}
		}
	}
}

// Version returns the version of the current list, 0 before the first.
func (c *Core) Version() int64 { return c.listVersion }

// List returns the rows of the current list in order of their names.
func (c *Core) List() []Row {
	rows := make([]Row, 0, len(c.listed))
	for _, row := range c.listed {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return rows
}

func sortedRefs(rows map[Ref]Row) []Ref {
	refs := make([]Ref, 0, len(rows))
	for ref := range rows {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b Ref) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return refs
}

// ListedSelf returns the row of this instance in the current list.
func (c *Core) ListedSelf() (row Row, listed bool) {
	row, listed = c.listed[refOf(c.self)]
	return row, listed
}
