package edge

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/strength"
)

// machine returns what this instance may use.
func (o *Options) machine() strength.Machine {
	return strength.Machine{Cores: o.Cores, LinkMbps: o.LinkMbps, MemoryMB: o.MemoryMB}
}

// machine returns what the announcing instance may use.
func (a *announcement) machine() strength.Machine {
	return strength.Machine{Cores: a.Cores, LinkMbps: a.LinkMbps, MemoryMB: a.MemoryMB}
}

// addresses returns the addresses of the candidates in alphabetical order, at most maxResolved.
func addresses(candidates []candidate) []string {
	var addrs []string
	for _, c := range candidates {
		addrs = append(addrs, c.addr)
	}
	slices.Sort(addrs)
	return addrs[:min(len(addrs), maxResolved)]
}

// namedInstances chooses the instances that the directory names by their strength, and logs changes of the answer. It is safe for
// concurrent use.
type namedInstances struct {
	log     *zap.Logger
	metrics *metrics

	mu   sync.Mutex
	last map[string]string // names of the last answer by the region of its first candidate
}

// named returns the addresses that the answering instance names out of equally preferred candidates.
func (n *namedInstances) named(answering string, candidates []candidate) []string {
	instances := make([]strength.Instance, len(candidates))
	byName := make(map[string]candidate, len(candidates))
	for i, c := range candidates {
		instances[i] = strength.Instance{Name: c.name, Region: c.region, Machine: c.machine, Level: c.level}
		byName[c.name] = c
	}
	chosen, distinct := strength.Named(answering, instances, maxResolved)
	if !distinct {
		return addresses(candidates)
	}
	out := make([]candidate, len(chosen))
	for i, in := range chosen {
		out[i] = byName[in.Name]
	}
	n.record(out, len(candidates))
	return addresses(out)
}

// record logs the answer if it differs from the last one for the region.
func (n *namedInstances) record(chosen []candidate, of int) {
	names := make([]string, len(chosen))
	for i, c := range chosen {
		names[i] = c.name
	}
	slices.Sort(names)
	n.metrics.named.Update(float64(len(names)))
	n.mu.Lock()
	defer n.mu.Unlock()
	region, answer := chosen[0].region, strings.Join(names, " ")
	if n.last[region] == answer {
		return
	}
	n.last[region] = answer
	n.log.Info("directory names other instances", zap.String("peer_region", region), zap.Strings("peers", names), zap.Int("candidates", of))
}

// utilisationGauge holds this instance's utilisation level.
type utilisationGauge struct {
	gauge strength.Gauge // used by maintain only
	level atomic.Uint32
}

func (u *utilisationGauge) current() strength.Level { return strength.Level(u.level.Load()) }

// measureUtilisation updates the level that this instance reports.
func (e *Edge) measureUtilisation() {
	if e.options.Utilisation == nil {
		return
	}
	used := e.options.Utilisation()
	before := e.utilisation.current()
	level := e.utilisation.gauge.Update(e.clock.Now(), used)
	e.utilisation.level.Store(uint32(level))
	e.metrics.utilisationLevel.Update(float64(level))
	e.metrics.pressure.Update(e.utilisation.gauge.Pressure())
	if level != before {
		e.log.Info("utilisation level has changed", zap.Uint8("level", uint8(level)), zap.Uint8("level_before", uint8(before)),
			zap.Float64("processor", used.Processor), zap.Float64("link", used.Link), zap.Float64("memory", used.Memory))
	}
}
