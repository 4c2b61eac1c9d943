// Package strength compares the machines of a region's instances, and chooses the instances that callers are named by how strong and
// how utilised each is. The package does no I/O and uses no clock.
package strength

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minWeight is the least probability with which an instance is named: with less, a weak instance would lose nearly all callers
	// although it serves some as well as the others.
	minWeight = 0.15
	// MinNamed is the number of instances that an answer names at least, so that callers have two others when one dies.
	MinNamed = 3
)

// Machine is what an instance may use. A value of 0 is not known.
type Machine struct {
	Cores    float64 // processors, as a number that may be below 1
	LinkMbps float64 // bandwidth of the link in Mbit/s
	MemoryMB float64
}

// Strongest returns the largest of each value.
func Strongest(machines []Machine) Machine {
	var out Machine
	for _, m := range machines {
		out = Machine{Cores: max(out.Cores, m.Cores), LinkMbps: max(out.LinkMbps, m.LinkMbps), MemoryMB: max(out.MemoryMB, m.MemoryMB)}
	}
	return out
}

// Relative returns the strength of the machine compared with the strongest one, at most 1: the least ratio of the values that are known
// of both.
func (m Machine) Relative(strongest Machine) float64 {
	least := 1.0
	for _, v := range [][2]float64{{m.Cores, strongest.Cores}, {m.LinkMbps, strongest.LinkMbps}, {m.MemoryMB, strongest.MemoryMB}} {
		if v[0] > 0 && v[1] > 0 {
			least = min(least, v[0]/v[1])
		}
	}
	return least
}

// Instance is an instance that may be named.
type Instance struct {
	Name    string
	Region  string
	Machine Machine
	Level   Level
}

// Named returns the instances that the answering instance names, at most limit, and their weights by name. An instance is named
// with its weight as probability: its strength relative to the strongest of its region, lowered by its utilisation level. The choice
// depends on a hash of both names, so that the same instance gives the same answer until a weight changes, and a changed weight adds or
// removes only that instance. At least MinNamed are named, or all. It returns false if nothing distinguishes the instances: nothing is
// known of any machine, or all machines and levels are equal.
func Named(answering string, instances []Instance, limit int) ([]Instance, bool) {
	weights, distinct := Weights(instances)
	if !distinct {
		return nil, false
	}
	type ranked struct {
		Instance
		rank float64 // below 1 if the instance is named by its weight
	}
	all := make([]ranked, len(instances))
	for i, in := range instances {
		all[i] = ranked{in, uniform(answering, in.Name) / weights[i]}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name)) })
	var out []Instance
	for i, r := range all {
		if i >= limit || i >= MinNamed && r.rank >= 1 {
			break
		}
		out = append(out, r.Instance)
	}
	return out, true
}

// Weights returns the weight of each instance, and whether anything distinguishes them.
func Weights(instances []Instance) (weights []float64, distinct bool) {
	byRegion := make(map[string][]Machine)
	known := false
	for _, in := range instances {
		byRegion[in.Region] = append(byRegion[in.Region], in.Machine)
		known = known || in.Machine != Machine{}
	}
	strongest := make(map[string]Machine, len(byRegion))
	for region, machines := range byRegion {
		strongest[region] = Strongest(machines)
	}
	for _, in := range instances {
		w := max(in.Machine.Relative(strongest[in.Region])*in.Level.factor(), minWeight)
		weights = append(weights, w)
		distinct = distinct || known && w < 1
	}
	return weights, distinct
}

// uniform returns a number in [0, 1) that depends only on the two names.
func uniform(a, b string) float64 {
	return float64(xxhash.Sum64String(a+"\x00"+b)>>11) / (1 << 53)
}

// ByBandwidth sorts names, which are in an order of preference, by classes of bandwidth: first those with more than half of the largest
// bandwidth, then those with more than a quarter, and so on. Within a class the order remains, so that different instances use different
// ones of the largest class instead of all the same few. Without any known bandwidth the order does not change.
func ByBandwidth(names []string, linkMbps func(name string) float64) []string {
	largest := 0.0
	for _, name := range names {
		largest = max(largest, linkMbps(name))
	}
	if largest <= 0 {
		return names
	}
	class := func(name string) float64 {
		if link := linkMbps(name); link > 0 {
			return math.Ceil(math.Log2(largest/link) - 1)
		}
		return math.Inf(1)
	}
	out := slices.Clone(names)
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(max(class(a), 0), max(class(b), 0)) })
	return out
}
