package membership

import (
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// homeReport returns the report of the member's home scope.
func (m *member) homeReport() Report {
	return Report{Target: m.ref(), Counter: m.homeCounter, Leaving: m.leaving}
}

// regionReport returns the report of this region's scope about a member.
func (c *Core) regionReport(m *member) Report {
	return Report{Scope: c.self.Region, Target: m.ref(), Counter: m.regionCounter, Overrules: m.overruledHome}
}

// publish returns the actions that send the reports to the recipients, one action for each scope.
func (c *Core) publish(reports []Report) []Action {
	var home, own []Report
	for _, r := range reports {
		switch {
		case r.Scope != "" && r.Counter == 0 && r.Overrules == 0:
		case r.Scope != "":
			own = append(own, r)
		default:
			home = append(home, r)
		}
	}
	var actions []Action
	for scope, list := range map[string][]Report{"": home, c.self.Region: own} {
		if len(list) == 0 {
			continue
		}
		local, relays := c.recipients(scope)
		if len(local)+len(relays) > 0 {
			actions = append(actions, Publish{Reports: list, Local: local, Relays: relays})
		}
	}
	return actions
}

// MergeReports applies reports of another instance. With relay, it returns an action that forwards the changed ones
// within this instance's data centre. A prober of a reported member that is suspect afterwards probes it at once: an
// answer refutes the suspicion, including one that this region's scope still holds after the home scope has ended its
// own.
func (c *Core) MergeReports(now clock.Instant, reports []Report, relay bool) []Action {
	var changedReports []Report
	for _, r := range reports {
		m := c.members[r.Target.Instance]
		if m == nil || m.ref() != r.Target {
			continue
		}
		if !c.mergeReport(m, r) {
			continue
		}
		c.markChanged()
		changedReports = append(changedReports, r)
		if r.Scope != "" && odd(r.Counter) {
			c.expediteProbes(now, m.row.Region)
		}
		if m.suspect(c.self.Region) {
			m.nextProbe = now
		}
	}
	if !relay || len(changedReports) == 0 {
		return nil
	}
	local, _ := c.recipients("")
	if len(local) == 0 {
		return nil
	}
	return []Action{Publish{Reports: changedReports, Local: local}}
}

// mergeReport raises the counters of a member to those of a report and reports whether the member has changed.
func (c *Core) mergeReport(m *member, r Report) (changed bool) {
	raise := func(field *uint32, value uint32) {
		if value > *field {
			*field = value
			changed = true
		}
	}
	switch r.Scope {
	case "":
		raise(&m.homeCounter, r.Counter)
		if r.Leaving && !m.leaving {
			m.leaving = true
			changed = true
		}
	case c.self.Region:
		raise(&m.regionCounter, r.Counter)
		raise(&m.overruledHome, r.Overrules)
	}
	return changed
}

// Reports returns what this instance knows of the members in addition to the list: the reports of the home scopes and
// of this region's scope.
func (c *Core) Reports() []Report {
	var reports []Report
	for _, name := range c.names() {
		m := c.members[name]
		if m.homeCounter > 0 || m.leaving {
			reports = append(reports, m.homeReport())
		}
		if m.regionCounter > 0 || m.overruledHome > 0 {
			reports = append(reports, c.regionReport(m))
		}
	}
	return reports
}

// Digests returns hashes of the reports of the home scopes and of this region's scope. Instances with the same list and
// the same digest have the same reports.
func (c *Core) Digests() (home, own uint64) {
	for _, m := range c.members {
		if m.homeCounter > 0 || m.leaving {
			home += hashReport(m, m.homeCounter, boolBit(m.leaving))
		}
		if m.regionCounter > 0 || m.overruledHome > 0 {
			own += hashReport(m, m.regionCounter, m.overruledHome)
		}
	}
	return home, own
}

func boolBit(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// hashReport returns the hash of one report. The hashes are added up, so that the order of members does not matter.
func hashReport(m *member, a, b uint32) uint64 {
	return score(m.hash^m.row.Incarnation, uint64(a)<<32|uint64(b)|1<<63)
}
