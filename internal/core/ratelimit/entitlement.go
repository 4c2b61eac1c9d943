// Package ratelimit decides how an organisation's fleet-wide rate and burst are shared between the instances of the fleet.
//
// It has no goroutine, socket or wall clock: time comes in as clock.Instant, messages as values.
package ratelimit

import (
	"cmp"
	"encoding/binary"
	"maps"
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

// Limits are an organisation's declared rate and burst with what divides them.
type Limits struct {
	Rate  float64            // tokens per second
	Burst float64            // tokens
	Home  string             // region that holds everything; empty: all regions
	Split map[string]float64 // part of each region; nil: equal parts
}

// Organisation is what the ledger needs to know of an organisation.
type Organisation struct {
	Name    string
	Current Limits
	// Previous holds the terms that the current ones replaced. As long as some slot owner may still use them, a slot gets
	// the minimum of the current and all previous entitlements.
	Previous []Limits
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
func (t Limits) regionPart(regions []Region, name string) float64 {
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

// rankedSlots returns the first k slot indexes of a region in the organisation's rendezvous order.
func rankedSlots(organisation string, region Region, k int) []int {
	type ranked struct {
		hash  uint64
		index int
	}
	buf := make([]byte, 0, 64)
	buf = append(buf, organisation...)
	buf = append(buf, 0)
	buf = append(buf, region.Name...)
	buf = append(buf, 0)
	prefix := len(buf)
	first := make([]ranked, 0, min(k, region.Slots)+1)
	for index := range region.Slots {
		buf = binary.BigEndian.AppendUint64(buf[:prefix], uint64(index))
		x := ranked{xxhash.Sum64(buf), index}
		if len(first) == k && x.hash <= first[k-1].hash {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, x, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
		first = slices.Insert(first, at, x)
		first = first[:min(len(first), k)]
	}
	out := make([]int, len(first))
	for i, r := range first {
		out[i] = r.index
	}
	return out
}

// SlotShare is the entitlement of a slot.
type SlotShare struct {
	Slot  Slot
	Share Share
}

// Entitlements returns the share of each slot that has one: per slot the minimum of the current and all previous terms.
func Entitlements(org Organisation, regions []Region) map[Slot]Share {
	out := map[Slot]Share{}
	for _, x := range slotShares(org, regions) {
		out[x.Slot] = x.Share
	}
	return out
}

// slotShares returns the entitlements in the order of the regions.
func slotShares(org Organisation, regions []Region) []SlotShare {
	shares := divide(org.Name, org.Current, regions)
	for _, previous := range org.Previous {
		before := map[Slot]Share{}
		for _, x := range divide(org.Name, previous, regions) {
			before[x.Slot] = x.Share
		}
		for i, x := range shares {
			shares[i].Share = x.Share.min(before[x.Slot])
		}
	}
	return shares
}

// divide returns the slots' shares under the given terms.
func divide(organisation string, t Limits, regions []Region) []SlotShare {
	var out []SlotShare
	for _, region := range regions {
		part := t.regionPart(regions, region.Name)
		if part <= 0 || region.Slots <= 0 {
			continue
		}
		k := slotCount(t.Rate*part, region.Slots)
		share := Share{t.Rate * part / float64(k), t.Burst * part / float64(k)}
		for _, index := range rankedSlots(organisation, region, k) {
			out = append(out, SlotShare{Slot{region.Name, index}, share})
		}
	}
	return out
}

// equal reports whether two terms are the same.
func (t Limits) equal(o Limits) bool {
	return t.Rate == o.Rate && t.Burst == o.Burst && t.Home == o.Home && maps.Equal(t.Split, o.Split)
}
