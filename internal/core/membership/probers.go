package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// role determines whether and as what this instance probes a member.
type role int

// Roles: none, prober of the member's home scope, and prober of this region for a member of a remote one.
const (
	roleNone role = iota
	roleHome
	roleRemote
)

// candidate is an instance that may probe other instances and forward messages.
type candidate struct {
	name       string
	hash       uint64
	region     string
	dataCentre string
}

// score returns the rendezvous weight of a candidate for a key.
func score(key, candidate uint64) uint64 {
	// Finaliser of splitmix64: distributes the combined hashes evenly.
	x := key ^ (candidate * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// topByScore returns the n candidates with the highest scores for the key, highest first.
func topByScore(key uint64, candidates []candidate, n int) []candidate {
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

// candidates returns this instance and the usable members, in order of their names.
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

// pools are the candidates by region and data centre.
type pools struct {
	all          []candidate
	byRegion     map[string][]candidate
	byDataCentre map[location][]candidate
	instances    map[string]int // instances of a region, unusable ones included
}

type location struct{ region, dataCentre string }

func (c *Core) pools() pools {
	p := pools{
		all:          c.candidates(),
		byRegion:     map[string][]candidate{},
		byDataCentre: map[location][]candidate{},
		instances:    map[string]int{c.self.Region: 1},
	}
	for _, x := range p.all {
		p.byRegion[x.region] = append(p.byRegion[x.region], x)
		at := location{x.region, x.dataCentre}
		p.byDataCentre[at] = append(p.byDataCentre[at], x)
	}
	for _, m := range c.members {
		p.instances[m.row.Region]++
	}
	return p
}

// homeProbers returns the probers of a target's home scope: some of its data centre, some of the rest of its region,
// and instances of remote regions only if the target's region has too few instances. Suspect instances count
// as present for that, so that a region that is cut off still decides about its own instances.
func (c *Core) homeProbers(p pools, target Row, key uint64) []candidate {
	want := c.params.DataCentreProbers + c.params.RegionProbers
	others := func(x candidate) bool { return x.name != target.Name }
	near := filter(p.byDataCentre[location{target.Region, target.DataCentre}], others)
	region := filter(p.byRegion[target.Region], func(x candidate) bool {
		return others(x) && x.dataCentre != target.DataCentre
	})
	fromRegion := min(len(region), c.params.RegionProbers)
	chosen := topByScore(key, near, min(len(near), want-fromRegion, max(c.params.DataCentreProbers, want-len(region))))
	chosen = append(chosen, topByScore(key, region, want-len(chosen))...)
	if missing := want - (p.instances[target.Region] - 1); missing > 0 {
		remote := filter(p.all, func(x candidate) bool { return others(x) && x.region != target.Region })
		chosen = append(chosen, topByScore(key, remote, missing)...)
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
	remoteTargets := 0
	c.targets = c.targets[:0]
	for _, name := range c.names() {
		m := c.members[name]
		next := roleNone
		home := c.homeProbers(p, m.row, m.hash)
		switch {
		case contains(home, c.self.Name):
			next = roleHome
		case m.row.Region == c.self.Region:
		case remoteTargets < c.params.MaxRemoteTargets && c.isRegionProber(p, m):
			next = roleRemote
			remoteTargets++
		}
		c.setRole(now, m, next)
		if next != roleNone {
			c.targets = append(c.targets, m)
		}
	}
}

// isRegionProber reports whether this instance is the one of its region that probes a member of a remote region.
func (c *Core) isRegionProber(p pools, m *member) bool {
	first := topByScore(m.hash, p.byRegion[c.self.Region], 1)
	return len(first) == 1 && first[0].name == c.self.Name
}

func (c *Core) setRole(now clock.Instant, m *member, next role) {
	former := m.role
	m.role = next
	switch {
	case next == roleNone:
		m.failures = 0
		m.pending = nil
		c.setUnreachable(m, false)
	case former == roleNone:
		// A random start distributes the probes over the period.
		m.nextProbe = now.Add(c.randomUpTo(c.period(m)))
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

// helpers returns the instances to ask for an indirect probe of a target: for the home scope its other probers, and for
// the scope of this region some instances of the region. For the home scope, one instance of each other data centre of
// the target's region is added and, if this instance is not in the target's region, one of each other region. So a
// broken connection between two places is not taken for a failure of the target.
func (c *Core) helpers(m *member) []string {
	p := c.pools()
	suits := func(x candidate) bool { return c.isOther(x) && x.name != m.row.Name }
	var chosen []candidate
	add := func(list []candidate, n int) {
		for _, x := range topByScore(m.hash, filter(list, suits), n) {
			if !contains(chosen, x.name) {
				chosen = append(chosen, x)
			}
		}
	}
	isRemote := m.row.Region != c.self.Region
	if m.role == roleHome {
		chosen = filter(c.homeProbers(p, m.row, m.hash), suits)
		for at, list := range p.byDataCentre {
			if at.region == m.row.Region && !hasLocation(chosen, at) {
				add(list, 1)
			}
		}
	}
	if m.role == roleHome && isRemote {
		for region, list := range p.byRegion {
			if !hasRegion(chosen, region) {
				add(list, 1)
			}
		}
	}
	if isRemote {
		add(p.byRegion[c.self.Region], c.params.RemoteHelpers)
	}
	names := make([]string, len(chosen))
	for i, x := range chosen {
		names[i] = x.name
	}
	slices.Sort(names)
	return names
}

func hasLocation(list []candidate, at location) bool {
	return slices.ContainsFunc(list, func(x candidate) bool { return x.region == at.region && x.dataCentre == at.dataCentre })
}

func hasRegion(list []candidate, region string) bool {
	return slices.ContainsFunc(list, func(x candidate) bool { return x.region == region })
}

func (c *Core) isOther(x candidate) bool { return x.name != c.self.Name }

// Recipients returns the instances that a message is sent to: local are all others in this instance's data centre;
// relays are one in each other data centre of a region, or of all regions if region is empty, and forward it within
// their data centre.
func (c *Core) Recipients(region string) (local, relays []string) { return c.recipients(region) }

func (c *Core) recipients(scope string) (local, relays []string) {
	p := c.pools()
	for at, list := range p.byDataCentre {
		if at == (location{c.self.Region, c.self.DataCentre}) {
			for _, x := range filter(list, c.isOther) {
				local = append(local, x.name)
			}
			continue
		}
		if scope != "" && at.region != scope {
			continue
		}
		relays = append(relays, topByScore(xxhash.Sum64String(at.dataCentre), list, 1)[0].name)
	}
	slices.Sort(local)
	slices.Sort(relays)
	return local, relays
}

// AmongFirst reports whether this instance is among the first n for a key. It considers all usable instances of its
// region, or with dataCentre those of its data centre.
func (c *Core) AmongFirst(key string, n int, dataCentre bool) bool {
	p := c.pools()
	pool := p.byRegion[c.self.Region]
	if dataCentre {
		pool = p.byDataCentre[location{c.self.Region, c.self.DataCentre}]
	}
	return contains(topByScore(xxhash.Sum64String(key), pool, n), c.self.Name)
}
