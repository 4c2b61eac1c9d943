package edge

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxResolved is the number of addresses that callers take.
	maxResolved = 64
	// resolveFor is how long callers may use an answer of the directory: short, because a dead instance of a small region
	// leaves its callers with no other address.
	resolveFor = time.Second
	// introduction is how long a listed instance that has not been heard yet counts as serving: an instance that has just
	// started would otherwise name only itself until the first messages have come.
	introduction = 2 * time.Second
)

// standing ranks instances for the directory. Lower ones are named first.
type standing int

const (
	serving    standing = iota // takes callers
	departing                  // takes requests for a moment longer
	closing                    // takes only requests that end before it does
	unheard                    // announced, but not heard of
	unsuitable                 // is not named
)

// candidate is an instance as the directory sees it.
type candidate struct {
	addr     string
	region   string
	standing standing
}

// Resolve implements Directory.
func (e *Edge) Resolve(host, region string) ([]string, time.Duration) {
	homeRoutes := func(string) int { return 0 }
	if conf := e.state.configuration.Load(); conf != nil {
		homeRoutes = func(region string) int { return conf.CountHomeRoutes(host, region) }
	}
	candidates := append(e.fleet.candidates(), e.ownCandidate())
	return resolve(candidates, region, homeRoutes), min(resolveFor, e.options.Bounds.DirectoryTTL)
}

func (e *Edge) ownCandidate() candidate {
	c := candidate{addr: e.options.CallerAddr, region: e.options.Self.Region, standing: unsuitable}
	switch {
	case e.Ready():
		c.standing = serving
	case e.leaving.Load() && !e.closing():
		c.standing = departing
	case e.leaving.Load():
		c.standing = closing
	}
	return c
}

// candidates returns the other instances.
func (f *fleet) candidates() []candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var out []candidate
	for _, m := range f.members {
		c := candidate{addr: m.CallerAddr, region: m.Region, standing: unsuitable}
		switch {
		case m.usable(now), m.introduced(now):
			c.standing = serving
		case m.leaving && now.Sub(m.heard) <= heardFor:
			c.standing = departing
			if m.refusing {
				c.standing = closing
			}
		case m.listed && !m.leaving:
			c.standing = unheard
		}
		out = append(out, c)
	}
	return out
}

// nearness ranks regions for callers of a host. Lower ones are named first.
type nearness int

const (
	sameRegion nearness = iota
	homeRegion          // most of the host's home-bound routes may be served there
	otherRegion
	nearnesses
)

// preference orders the kinds of candidates by standing and nearness. Instances that depart are named before serving ones of a
// region in which home-bound bodies must not be, and a region is never left with nobody to ask.
var preference = [unsuitable][nearnesses]int{
	serving:   {sameRegion: 0, homeRegion: 1, otherRegion: 6},
	departing: {sameRegion: 2, homeRegion: 3, otherRegion: 7},
	closing:   {sameRegion: 4, homeRegion: 5, otherRegion: 8},
	unheard:   {sameRegion: 9, homeRegion: 10, otherRegion: 11},
}

// resolve returns the addresses of the preferred candidates for callers of a region. homeRoutes returns how many of the host's
// home-bound routes may be served in a region.
func resolve(candidates []candidate, region string, homeRoutes func(region string) int) []string {
	mostHomes := 0
	for _, c := range candidates {
		if c.region != region {
			mostHomes = max(mostHomes, homeRoutes(c.region))
		}
	}
	rank := func(c candidate) int {
		near := otherRegion
		switch {
		case c.region == region:
			near = sameRegion
		case homeRoutes(c.region) == mostHomes:
			near = homeRegion
		}
		return preference[c.standing][near]
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.standing == unsuitable })
	if len(candidates) == 0 {
		return nil
	}
	best := rank(slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(rank(a), rank(b)) }))
	var addrs []string
	for _, c := range candidates {
		if rank(c) == best {
			addrs = append(addrs, c.addr)
		}
	}
	slices.Sort(addrs)
	return addrs[:min(len(addrs), maxResolved)]
}
