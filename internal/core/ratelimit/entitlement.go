// Package ratelimit divides each organisation's rate and burst, which apply to the whole fleet, between the instances.
//
// Each region has a fixed number of slots, and each slot is entitled to a share of an organisation's rate and burst. An instance
// that owns slots or borrows shares is called a holder; its Ledger keeps one token bucket per organisation. Holders lend
// parts of their shares and tokens to each other for short terms, so that an organisation can use its whole rate wherever its
// requests arrive. The sum of all shares never exceeds the declared rate and burst.
//
// The package starts no goroutines, does no I/O and reads no wall clock: callers pass the time as clock.Instant and
// messages as values.
package ratelimit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
)

// ratePerSlot is the regional rate (tokens/s) per slot: an organisation is spread over one more slot of a region for each such
// step of its regional rate. At 34,000 organisations most of them then have one slot per region, so that a holder has only a
// few hundred accounts.
const ratePerSlot = 1000.0

// Region is a region and its number of slots.
type Region struct {
	Name  string
	Slots int
}

// Slot identifies one slot of a region.
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

// Limits are an organisation's declared rate and burst, and how they are divided between the regions.
type Limits struct {
	Rate  float64            // tokens per second
	Burst float64            // tokens
	Home  string             // region that gets the whole rate and burst; empty: all regions get a part
	Split map[string]float64 // fraction of each region; nil: equal parts
}

// Organisation is the configuration of an organisation as far as the ledger needs it.
type Organisation struct {
	Name    string
	Current Limits
	// Previous holds the replaced limits that some slot owner may still use. As long as there are any, a slot gets the minimum
	// of its current and all its previous entitlements.
	Previous []Limits
}

// Configuration is an immutable snapshot of the declared organisations and regions.
type Configuration interface {
	// Revision returns the revision of the snapshot.
	Revision() int64
	// Regions returns all regions in a fixed order.
	Regions() []Region
	// Organisation returns an organisation by name. Its Previous field is empty once every slot owner has applied the revision.
	Organisation(name string) (Organisation, bool)
}

// regionFraction returns the fraction, 0..1, of the rate and burst that the region gets.
func (t Limits) regionFraction(regions []Region, name string) float64 {
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

// slotCount returns the number of slots over which a regional rate is spread.
func slotCount(rate float64, slots int) int {
	return saturate.Int(math.Ceil(rate/ratePerSlot), 1, max(1, slots))
}

// rankedSlots returns the first k slot indexes of a region in the order of rendezvous hashing for the organisation.
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

// Entitlements returns the share of each slot that has one: the minimum over the current and all previous limits.
func Entitlements(org Organisation, regions []Region) map[Slot]Share {
	out := map[Slot]Share{}
	for _, x := range slotShares(org, regions) {
		out[x.Slot] = x.Share
	}
	return out
}

// slotShares returns the same as Entitlements, in the order of the regions.
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

// divide returns the slots' shares under the given limits.
func divide(organisation string, t Limits, regions []Region) []SlotShare {
	var out []SlotShare
	for _, region := range regions {
		part := t.regionFraction(regions, region.Name)
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

// equal reports whether two limits are the same.
func (t Limits) equal(o Limits) bool {
	return t.Rate == o.Rate && t.Burst == o.Burst && t.Home == o.Home && maps.Equal(t.Split, o.Split)
}
