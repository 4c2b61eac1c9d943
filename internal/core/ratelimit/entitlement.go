// Package ratelimit decides how an organisation's fleet-wide rate and burst are shared between the instances of the fleet.
//
// It has no goroutine, socket or wall clock: time comes in as clock.Instant, messages as values.
package ratelimit

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// slotRate is the regional rate (tokens/s) above which an organisation is spread over one more slot. At 34,000 organisations
// most of them then stay on one slot per region, which keeps a holder at a few hundred accounts.
const slotRate = 1000.0

// Region is a region with its number of slots.
type Region struct {
	Name  string
	Slots int
}

// Slot names one slot of a region.
type Slot struct {
	Region string
	Index  int
}

// Share is a part of an organisation's rate (tokens/s) and burst (tokens).
type Share struct {
	Rate  float64
	Burst float64
}

func (s Share) plus(o Share) Share  { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }
func (s Share) minus(o Share) Share { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }
func (s Share) min(o Share) Share {
	return Share{math.Min(s.Rate, o.Rate), math.Min(s.Burst, o.Burst)}
}

// Terms are an organisation's declared rate and burst with what divides them.
type Terms struct {
	Rate  float64            // tokens per second
	Burst float64            // tokens
	Home  string             // region that holds everything; empty: all regions
	Split map[string]float64 // part of each region; nil: equal parts
}

// Organisation is what the ledger needs to know of an organisation.
type Organisation struct {
	Name    string
	Current Terms
	// Previous holds the terms that the current ones replaced. As long as some slot owner may still use them, a slot gets
	// the minimum of the current and all previous entitlements.
	Previous []Terms
}

// Configuration is an immutable snapshot of the declarations.
type Configuration interface {
	// Revision is the revision in force.
	Revision() int64
	// Regions returns all regions in a fixed order.
	Regions() []Region
	// Organisation returns an organisation by name. Its Previous field is empty once every slot owner has the revision.
	Organisation(name string) (Organisation, bool)
}

// regionPart returns the part of the region, 0..1.
func (t Terms) regionPart(regions []Region, name string) float64 {
	if t.Home != "" {
		if t.Home == name {
			return 1
		}
		return 0
	}
	if len(t.Split) > 0 {
		return t.Split[name]
	}
	withSlots := 0
	for _, r := range regions {
		if r.Slots > 0 {
			withSlots++
		}
	}
	if withSlots == 0 {
		return 0
	}
	return 1 / float64(withSlots)
}

// slotCount returns over how many of the region's slots a regional rate is spread.
func slotCount(rate float64, slots int) int {
	return max(1, min(slots, int(math.Ceil(rate/slotRate))))
}

// rankedSlots returns the slot indexes of a region in the organisation's rendezvous order.
func rankedSlots(organisation string, region Region) []int {
	type ranked struct {
		index int
		hash  uint64
	}
	order := make([]ranked, region.Slots)
	buf := make([]byte, 0, len(organisation)+len(region.Name)+10)
	buf = append(buf, organisation...)
	buf = append(buf, 0)
	buf = append(buf, region.Name...)
	buf = append(buf, 0)
	for i := range order {
		order[i] = ranked{i, xxhash.Sum64(binary.BigEndian.AppendUint64(buf, uint64(i)))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.index, b.index))
	})
	out := make([]int, len(order))
	for i, r := range order {
		out[i] = r.index
	}
	return out
}

// Entitlements returns the share of each slot that has one: per slot the minimum of the current and all previous terms.
func Entitlements(org Organisation, regions []Region) map[Slot]Share {
	shares := map[Slot]Share{}
	for _, region := range regions {
		if region.Slots <= 0 {
			continue
		}
		ranked := rankedSlots(org.Name, region)
		addRegion(shares, org.Current, regions, region, ranked)
	}
	for _, previous := range org.Previous {
		before := map[Slot]Share{}
		for _, region := range regions {
			if region.Slots > 0 {
				addRegion(before, previous, regions, region, rankedSlots(org.Name, region))
			}
		}
		for slot, share := range shares {
			shares[slot] = share.min(before[slot])
		}
	}
	return shares
}

// addRegion adds the shares of one region under the given terms.
func addRegion(shares map[Slot]Share, t Terms, regions []Region, region Region, ranked []int) {
	part := t.regionPart(regions, region.Name)
	if part <= 0 {
		return
	}
	k := slotCount(t.Rate*part, region.Slots)
	share := Share{t.Rate * part / float64(k), t.Burst * part / float64(k)}
	for _, index := range ranked[:k] {
		shares[Slot{region.Name, index}] = share
	}
}
