package membership

import (
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

func (m *member) homeReport() Report {
	return Report{Target: m.ref(), Counter: m.home, Leaving: m.leaving}
}

func (c *Core) ownReport(m *member) Report {
	return Report{Scope: c.self.Region, Target: m.ref(), Counter: m.own, Overrules: m.overrule}
}

// publish returns the actions that spread the reports, one for each scope.
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

// MergeReports takes reports of another instance. With relay, it returns what is new for the own data centre. A prober of the
// target probes it at once: an answer refutes a suspicion, also one of its own region after the home scope has ended its.
func (c *Core) MergeReports(now clock.Instant, reports []Report, relay bool) []Action {
	var news []Report
	for _, r := range reports {
		m := c.members[r.Target.Instance]
		if m == nil || m.ref() != r.Target {
			continue
		}
		if !c.mergeOne(m, r) {
			continue
		}
		c.touch()
		news = append(news, r)
		if r.Scope != "" && odd(r.Counter) {
			c.hurry(now, m.row.Region)
		}
		if m.suspect(c.self.Region) {
			m.nextProbe = now
		}
	}
	if !relay || len(news) == 0 {
		return nil
	}
	local, _ := c.recipients("")
	if len(local) == 0 {
		return nil
	}
	return []Action{Publish{Reports: news, Local: local}}
}

// mergeOne takes over what is newer in a report and says whether anything was.
func (c *Core) mergeOne(m *member, r Report) (changed bool) {
	raise := func(field *uint32, value uint32) {
		if value > *field {
			*field = value
			changed = true
		}
	}
	switch r.Scope {
	case "":
		raise(&m.home, r.Counter)
		if r.Leaving && !m.leaving {
			m.leaving = true
			changed = true
		}
	case c.self.Region:
		raise(&m.own, r.Counter)
		raise(&m.overrule, r.Overrules)
	}
	return changed
}

// Reports returns what this instance knows beyond the list: the home scope, and the scope of its region.
func (c *Core) Reports() []Report {
	var reports []Report
	for _, name := range c.names() {
		m := c.members[name]
		if m.home > 0 || m.leaving {
			reports = append(reports, m.homeReport())
		}
		if m.own > 0 || m.overrule > 0 {
			reports = append(reports, c.ownReport(m))
		}
	}
	return reports
}

// Digests returns hashes of the reports of the home scope and of the own region's scope. Instances with the same
// list and the same digest have the same reports.
func (c *Core) Digests() (home, own uint64) {
	for _, m := range c.members {
		if m.home > 0 || m.leaving {
			home += digest(m, m.home, boolBit(m.leaving))
		}
		if m.own > 0 || m.overrule > 0 {
			own += digest(m, m.own, m.overrule)
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

// digest hashes one report. The sum over members does not depend on their order.
func digest(m *member, a, b uint32) uint64 {
	return score(m.hash^m.row.Incarnation, uint64(a)<<32|uint64(b)|1<<63)
}
