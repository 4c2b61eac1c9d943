package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// regionSet is a set of simulated regions that share a store and a clock, with the summaries between their roots.
type regionSet struct {
	*eventLoop
	t       *testing.T
	rng     *rand.Rand
	regions []*limitedRegion
	links   map[string]*summaryLink // by both regions
	// cutUntil is until when nothing passes between two regions, by both.
	cutUntil map[string]clock.Instant
}

// summaryLink is a stream of summaries between two roots.
type summaryLink struct {
	from, to       *limitedInstance
	fromInc, toInc uint64
	link           *fleetview.SummaryStream
	source         *fleetview.Source
}

func newRegionSet(t *testing.T, rng *rand.Rand, regions int) *regionSet {
	r := &regionSet{t: t, rng: rng, eventLoop: &eventLoop{clk: &clock.Manual{}}, links: make(map[string]*summaryLink),
		cutUntil: make(map[string]clock.Instant)}
	r.clk.Advance(2 * time.Hour)
	for n := range regions {
		r.regions = append(r.regions, &limitedRegion{t: t, rng: rng, eventLoop: r.eventLoop, name: fmt.Sprint("r", n), callerRate: 1})
	}
	for _, l := range r.regions {
		for _, o := range r.regions {
			if o != l {
				l.others = append(l.others, o)
			}
		}
	}
	return r
}

// populate divides instances and endpoints between the regions and starts the exchange of summaries.
func (r *regionSet) populate(instances, endpoints int, engine *catalog.Engine) {
	for n, l := range r.regions {
		l.populate((instances+n)/len(r.regions), endpoints/len(r.regions), engine)
	}
	r.after(summaryInterval, r.summaries)
}

func (r *regionSet) run(length time.Duration) {
	end := r.clk.Now().Add(length)
	for r.events.Len() > 0 && r.events[0].at <= end {
		r.runNext()
	}
	r.clk.Advance(end.Sub(r.clk.Now()))
}

func (l *limitedRegion) root(now clock.Instant) *limitedInstance {
	for _, i := range l.instances {
		if i.up && now >= i.frozenUntil && !i.peersCut && i.view.node.IsRoot() {
			if name, has := i.fleet.parent(); !has || name == i.name {
				return i
			}
		}
	}
	return nil
}

// summaries exchanges summaries between the roots of the regions.
func (r *regionSet) summaries() {
	r.after(summaryInterval, r.summaries)
	now := r.clk.Now()
	for _, l := range r.regions {
		for _, o := range l.others {
			from, to := l.root(now), o.root(now)
			key := l.name + o.name
			if now < r.cutUntil[key] {
				delete(r.links, key)
				continue
			}
			if from == nil || to == nil {
				continue
			}
			k := r.links[key]
			if k == nil || k.from != from || k.to != to || k.fromInc != from.incarnation || k.toInc != to.incarnation {
				k = &summaryLink{from: from, to: to, fromInc: from.incarnation, toInc: to.incarnation}
				k.link = from.view.node.OpenSummaries(now, o.name)
				k.source = to.view.node.AddRemoteRoot(peer.Identity{Instance: from.name, Region: l.name, Incarnation: from.incarnation})
				r.links[key] = k
			}
			s := from.view.node.NextSummary(now, k.link)
			r.after(80*time.Millisecond, o.whileUp(to, func() {
				if r.links[key] == k && to.view.node.ReceiveSummary(r.clk.Now(), k.source, s) != nil {
					delete(r.links, key)
				}
			}))
		}
	}
}
