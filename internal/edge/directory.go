package edge

import (
	"cmp"
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/strength"
)

const (
	// maxResolved is the number of addresses that callers accept.
	maxResolved = 64
	// resolveTTL is how long callers may cache an answer of the directory. It is short, because the callers of a small region
	// have no other address when an instance dies.
	resolveTTL = time.Second
	// newInstanceGrace is how long a listed instance from which nothing has been received yet counts as serving. Otherwise an
	// instance that has just started would name only itself until the first messages arrive.
	newInstanceGrace = 2 * time.Second
)

// candidateStatus is the status of an instance for the directory. Lower values are named first.
type candidateStatus int

const (
	serving      candidateStatus = iota // takes callers
	departing                           // takes requests for a moment longer
	closing                             // takes only requests that end before it stops
	unresponsive                        // listed in the store, but no recent message was received from it
	unsuitable                          // is never named
)

// candidate is an instance that the directory may name.
type candidate struct {
	addr    string
	region  string
	status  candidateStatus
	name    string
	machine strength.Machine
	level   strength.Level
}

// Resolve implements Directory.
func (e *Edge) Resolve(host, region string) ([]string, time.Duration) {
	homeRoutes := func(string) int { return 0 }
	if conf := e.state.configuration.Load(); conf != nil {
		homeRoutes = func(region string) int { return conf.CountHomeRoutes(host, region) }
	}
	candidates := append(e.fleet.candidates(), e.ownCandidate())
	return e.strongest.named(e.options.Self.Instance, preferred(candidates, region, homeRoutes)), min(resolveTTL, e.options.Bounds.DirectoryTTL)
}

func (e *Edge) ownCandidate() candidate {
	c := candidate{addr: e.options.CallerAddr, region: e.options.Self.Region, status: unsuitable,
		name: e.options.Self.Instance, machine: e.options.machine(), level: e.utilisation.current()}
	switch {
	case e.Ready():
		c.status = serving
	case e.leaving.Load() && !e.closing():
		c.status = departing
	case e.leaving.Load():
		c.status = closing
	}
	return c
}

// candidates returns the other instances as candidates of the directory.
func (f *fleet) candidates() []candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	var out []candidate
	for _, m := range f.members {
		c := candidate{addr: m.CallerAddr, region: m.Region, status: unsuitable, name: m.name, machine: m.machine(), level: m.level}
		switch {
		case m.usable(now), m.newlyListed(now):
			c.status = serving
		case m.leaving && now.Sub(m.lastReceived) <= unresponsiveAfter:
			c.status = departing
			if m.rejecting {
				c.status = closing
			}
		case m.listed && !m.leaving:
			c.status = unresponsive
		}
		out = append(out, c)
	}
	return out
}

// nearness ranks regions for callers of a host. Lower values are named first.
type nearness int

const (
	sameRegion nearness = iota
	homeRegion          // most of the host's home-bound routes may be served there
	otherRegion
	nearnesses
)

// preference orders candidates by status and nearness. Departing instances are named before serving ones of a region that must
// not see home-bound bodies, and the callers of a region always get an address if there is any.
var preference = [unsuitable][nearnesses]int{
	serving:      {sameRegion: 0, homeRegion: 1, otherRegion: 6},
	departing:    {sameRegion: 2, homeRegion: 3, otherRegion: 7},
	closing:      {sameRegion: 4, homeRegion: 5, otherRegion: 8},
	unresponsive: {sameRegion: 9, homeRegion: 10, otherRegion: 11},
}

// preferred returns the most preferred candidates for callers of a region. homeRoutes returns how many of the
// host's home-bound routes may be served in a region.
func preferred(candidates []candidate, region string, homeRoutes func(region string) int) []candidate {
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
		return preference[c.status][near]
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.status == unsuitable })
	if len(candidates) == 0 {
		return nil
	}
	best := rank(slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(rank(a), rank(b)) }))
	return slices.DeleteFunc(candidates, func(c candidate) bool { return rank(c) != best })
}
