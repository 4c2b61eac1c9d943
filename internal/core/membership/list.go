package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// ApplyList merges a version of the platform's list and reports whether it was newer than the one in force.
// Incarnations that the former version shows and this one does not are gone.
func (c *Core) ApplyList(now clock.Instant, version int64, rows []Row) bool {
	if version <= c.version {
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
			c.end(ref)
		}
	}
	c.version = version
	c.listed = next
	for _, ref := range sortedRefs(next) {
		c.applyRow(now, next[ref])
	}
	c.touch()
	return true
}

// end makes an incarnation gone.
func (c *Core) end(ref Ref) {
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
		// The platform has listed it again: the list decides.
		delete(c.gone, ref)
		c.goneOrder = slices.DeleteFunc(c.goneOrder, func(r Ref) bool { return r == ref })
	}
	m := c.members[row.Name]
	switch {
	case m == nil:
		m = c.admit(now, row)
	case m.ref() == ref:
		m.row = row
	case c.fresherThanList(now, m):
		return
	default:
		m = c.admit(now, row)
	}
	m.leaving = m.leaving || row.State == platform.StateLeaving
}

// fresherThanList reports whether a member with another incarnation than the listed one is kept: the list lags, and
// this process has been in contact lately.
func (c *Core) fresherThanList(now clock.Instant, m *member) bool {
	_, listed := c.listed[m.ref()]
	return !listed && m.hasContact && now.Sub(m.contact) < c.params.UnlistedTimeout && !m.suspect(c.self.Region)
}

// admit adds a member without any history.
func (c *Core) admit(now clock.Instant, row Row) *member {
	m := &member{row: row, hash: xxhash.Sum64String(row.Name)}
	m.nextProbe = now
	c.members[row.Name] = m
	c.touch()
	return m
}

// RecordContact notes a direct sign of a process, with the row that it states of itself. A process that the list does not
// show yet is admitted, unless the list has ended it or a newer process has taken its name.
func (c *Core) RecordContact(now clock.Instant, row Row) {
	ref := refOf(row)
	if row.Name == c.self.Name || row.Incarnation == 0 || c.gone[ref] {
		return
	}
	if at, old := c.superseded[ref]; old && c.version <= at {
		return
	}
	m := c.members[row.Name]
	if m == nil {
		if row.PeerAddr == "" {
			return
		}
		m = c.admit(now, row)
	} else if m.ref() != ref {
		m = c.replace(now, m, row)
	}
	m.contact, m.hasContact = now, true
	if row.State == platform.StateLeaving && !m.leaving {
		m.leaving = true
		c.touch()
	}
}

// replace admits a newer process under the name of m.
func (c *Core) replace(now clock.Instant, m *member, row Row) *member {
	c.superseded[m.ref()] = c.version
	delete(c.superseded, refOf(row))
	if row.PeerAddr == "" {
		incarnation, state := row.Incarnation, row.State
		row = m.row
		row.Incarnation, row.State = incarnation, state
	}
	return c.admit(now, row)
}

// expiryCheck is how often unlisted processes are looked for.
const expiryCheck = time.Second

// expireUnlisted forgets processes that the list does not show and that give no more signs.
func (c *Core) expireUnlisted(now clock.Instant) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryCheck)
	for name, m := range c.members {
		if _, listed := c.listed[m.ref()]; listed || now.Sub(m.contact) < c.params.UnlistedTimeout {
			continue
		}
		delete(c.members, name)
		c.touch()
		// The list may show another process of that name.
		for ref, row := range c.listed {
			if ref.Instance == name {
				c.admit(now, row)
				delete(c.superseded, ref)
			}
		}
	}
}

// Version returns the version of the list in force, 0 before the first.
func (c *Core) Version() int64 { return c.version }

// List returns the rows of the list in force in order of their names.
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

// ListedSelf returns the own row as the list in force shows it.
func (c *Core) ListedSelf() (row Row, listed bool) {
	row, listed = c.listed[refOf(c.self)]
	return row, listed
}
