package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// role says how this instance probes a member.
type role int

const (
	roleNone role = iota
	roleHome
	roleForeign
)

// candidate is an instance that may probe for others.
type candidate struct {
	name       string
	hash       uint64
	region     string
	dataCentre string
}

// score is the rendezvous weight of a candidate for a key.
func score(key, candidate uint64) uint64 {
	// Finaliser of splitmix64: spreads the combined hashes evenly.
	x := key ^ (candidate * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// top returns the n candidates with the highest score for the key, in order.
func top(key uint64, candidates []candidate, n int) []candidate {
	type scored struct {
		candidate
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, c := range candidates {
		s := scored{c, score(key, c.hash)}
		if len(best) == n && (n == 0 || s.score <= best[n-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, at, s)
		if len(best) > n {
			best = best[:n]
		}
	}
	out := make([]candidate, len(best))
	for i, s := range best {
		out[i] = s.candidate
	}
	return out
}

// candidates returns the own instance and the usable members, in order of their names.
func (c *Core) candidates() []candidate {
	list := []candidate{{c.self.Name, xxhash.Sum64String(c.self.Name), c.self.Region, c.self.DataCentre}}
	for _, m := range c.members {
		if c.usable(m) {
			list = append(list, candidate{m.row.Name, m.hash, m.row.Region, m.row.DataCentre})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.name, b.name) })
	return list
}

// pools are the candidates by place.
type pools struct {
	all          []candidate
	byRegion     map[string][]candidate
	byDataCentre map[place][]candidate
	population   map[string]int // instances of a region, the unusable ones included
}

type place struct{ region, dataCentre string }

func (c *Core) pools() pools {
	p := pools{
		all:          c.candidates(),
		byRegion:     map[string][]candidate{},
		byDataCentre: map[place][]candidate{},
		population:   map[string]int{c.self.Region: 1},
	}
	for _, x := range p.all {
		p.byRegion[x.region] = append(p.byRegion[x.region], x)
		at := place{x.region, x.dataCentre}
		p.byDataCentre[at] = append(p.byDataCentre[at], x)
	}
	for _, m := range c.members {
		p.population[m.row.Region]++
	}
	return p
}

// homeProbers returns the probers of a target's home scope: some of its data centre, some of the rest of its region,
// and instances of other regions only as far as the region is too small. Suspected instances do not make it smaller: a
// region that is cut off still judges its own.
func (c *Core) homeProbers(p pools, target Row, key uint64) []candidate {
	want := c.params.DataCentreProbers + c.params.RegionProbers
	others := func(x candidate) bool { return x.name != target.Name }
	near := filter(p.byDataCentre[place{target.Region, target.DataCentre}], others)
	region := filter(p.byRegion[target.Region], func(x candidate) bool {
		return others(x) && x.dataCentre != target.DataCentre
	})
	fromRegion := min(len(region), c.params.RegionProbers)
	chosen := top(key, near, min(len(near), want-fromRegion, max(c.params.DataCentreProbers, want-len(region))))
	chosen = append(chosen, top(key, region, want-len(chosen))...)
	if missing := want - (p.population[target.Region] - 1); missing > 0 {
		far := filter(p.all, func(x candidate) bool { return others(x) && x.region != target.Region })
		chosen = append(chosen, top(key, far, missing)...)
	}
	return chosen
}

func filter(list []candidate, keep func(candidate) bool) []candidate {
	var kept []candidate
	for _, c := range list {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func contains(list []candidate, name string) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.name == name })
}

// assignRoles decides which members this instance probes.
func (c *Core) assignRoles(now clock.Instant) {
	p := c.pools()
	foreign := 0
	c.targets = c.targets[:0]
	for _, name := range c.names() {
		m := c.members[name]
		next := roleNone
		home := c.homeProbers(p, m.row, m.hash)
		switch {
		case contains(home, c.self.Name):
			next = roleHome
		case m.row.Region == c.self.Region:
		case foreign < c.params.MaxRemoteTargets && c.firstOfRegion(p, m):
			next = roleForeign
			foreign++
		}
		c.setRole(now, m, next)
		if next != roleNone {
			c.targets = append(c.targets, m)
		}
	}
}

func (c *Core) firstOfRegion(p pools, m *member) bool {
	first := top(m.hash, p.byRegion[c.self.Region], 1)
	return len(first) == 1 && first[0].name == c.self.Name
}

func (c *Core) setRole(now clock.Instant, m *member, next role) {
	former := m.role
	m.role = next
	switch {
	case next == roleNone:
		m.failures = 0
		m.ask = nil
		c.setUnreached(m, false)
	case former == roleNone:
		// A random start spreads the probes over the period.
		m.nextProbe = now.Add(c.spread(c.period(m)))
	}
}

func (c *Core) names() []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// helpers returns the instances to ask about a target: for the home scope its other probers, and for the own region's
// scope some of the region. Further ones see to it that a cut between two places is not taken for a failure.
func (c *Core) helpers(m *member) []string {
	p := c.pools()
	suits := func(x candidate) bool { return c.isOther(x) && x.name != m.row.Name }
	var chosen []candidate
	add := func(list []candidate, n int) {
		for _, x := range top(m.hash, filter(list, suits), n) {
			if !contains(chosen, x.name) {
				chosen = append(chosen, x)
			}
		}
	}
	foreign := m.row.Region != c.self.Region
	if m.role == roleHome {
		chosen = filter(c.homeProbers(p, m.row, m.hash), suits)
		for at, list := range p.byDataCentre {
			if at.region == m.row.Region && !hasPlace(chosen, at) {
				add(list, 1)
			}
		}
	}
	if m.role == roleHome && foreign {
		for region, list := range p.byRegion {
			if !hasRegion(chosen, region) {
				add(list, 1)
			}
		}
	}
	if foreign {
		add(p.byRegion[c.self.Region], c.params.RemoteHelpers)
	}
	names := make([]string, len(chosen))
	for i, x := range chosen {
		names[i] = x.name
	}
	slices.Sort(names)
	return names
}

func hasPlace(list []candidate, at place) bool {
	return slices.ContainsFunc(list, func(x candidate) bool { return x.region == at.region && x.dataCentre == at.dataCentre })
}

func hasRegion(list []candidate, region string) bool {
	return slices.ContainsFunc(list, func(x candidate) bool { return x.region == region })
}

func (c *Core) isOther(x candidate) bool { return x.name != c.self.Name }

// Recipients returns the instances that a message to a region goes to, or with an empty one to all: those of the own data
// centre, and one of each other data centre, which passes it on.
func (c *Core) Recipients(region string) (local, relays []string) { return c.recipients(region) }

func (c *Core) recipients(scope string) (local, relays []string) {
	p := c.pools()
	for at, list := range p.byDataCentre {
		if at == (place{c.self.Region, c.self.DataCentre}) {
			for _, x := range filter(list, c.isOther) {
				local = append(local, x.name)
			}
			continue
		}
		if scope != "" && at.region != scope {
			continue
		}
		relays = append(relays, top(xxhash.Sum64String(at.dataCentre), list, 1)[0].name)
	}
	slices.Sort(local)
	slices.Sort(relays)
	return local, relays
}

// AmongFirst reports whether this instance is among the n first for a key, of all usable instances of its region or, with
// dataCentre, of its data centre.
func (c *Core) AmongFirst(key string, n int, dataCentre bool) bool {
	p := c.pools()
	pool := p.byRegion[c.self.Region]
	if dataCentre {
		pool = p.byDataCentre[place{c.self.Region, c.self.DataCentre}]
	}
	return contains(top(xxhash.Sum64String(key), pool, n), c.self.Name)
}
