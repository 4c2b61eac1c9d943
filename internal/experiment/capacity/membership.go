package capacity

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	probeTime = 9 * time.Second // three periods of the probes between regions in a small fleet, one at 390 daemons
	// probeTick is twice the tick of internal/members: the probes of a fleet at each tick take most of the run.
	probeTick = 100 * time.Millisecond
)

// measureMembership runs the cores of a whole fleet against each other in virtual time.
func measureMembership(_ context.Context, o Options, s *Section) error {
	at := sizes(o.Daemons)
	var probes, most, heard, memoryBytes, snapshot, snapshotBytes, roles, tick, entries, listBytes, changeBytes, platformBytes, first []float64
	for _, n := range at {
		f, err := newProbeFleet(n)
		if err != nil {
			return err
		}
		f.run()
		seconds := probeTime.Seconds()
		probes = append(probes, f.mean()/seconds)
		most = append(most, f.most()/seconds)
		heard = append(heard, f.heardMean())
		m, err := measureCore(n)
		if err != nil {
			return err
		}
		memoryBytes, roles, tick = append(memoryBytes, m.memory), append(roles, m.roles), append(tick, m.tick)
		snapshot, snapshotBytes = append(snapshot, m.snapshot.nanos), append(snapshotBytes, m.snapshot.bytes)
		entries, first = append(entries, m.entries), append(first, m.first)
		rows := rowsOf(n)
		listBytes = append(listBytes, float64(proto.Size(members.EncodeList(1, rows))))
		changeBytes = append(changeBytes, float64(proto.Size(members.EncodeListChange(1, rows, 2, rows[:n-1]))))
		text, err := json.Marshal(platform.InstancesJSON{Version: 1, Instances: append(rows, endpointRows(n*o.Endpoints/o.Daemons)...)})
		if err != nil {
			return err
		}
		platformBytes = append(platformBytes, float64(len(text)))
	}
	add := func(name, unit string, values []float64) error {
		return s.add(name, unit, "daemon", points(at, values)...)
	}
	if err := errors.Join(
		add("probes sent by a daemon, mean", "probes/s", probes),
		add("probes sent by a daemon, most", "probes/s", most),
		add("daemons that one exchanges heartbeats with", "daemons", heard),
		add("state memory", "bytes", memoryBytes),
		add("snapshot", "ns", snapshot),
		add("snapshot, allocated", "bytes", snapshotBytes),
		add("probers assigned after a change", "ns", roles),
		add("tick without a change", "ns", tick),
		add("rendezvous order of a data centre", "ns", first),
		add("entries ranked", "ns", entries),
		add("list between daemons", "bytes", listBytes),
		add("change of the list between daemons", "bytes", changeBytes),
		add("list of the platform with endpoints, JSON", "bytes", platformBytes),
	); err != nil {
		return err
	}
	s.fact("heartbeat with the load of 6 models and 2 services", float64(proto.Size(heartbeat())), "bytes")
	perRegion := o.Daemons / len(regionWeights)
	s.fact("interval of the reads of the list in a mean region", members.RegionPollInterval(time.Second, o.Daemons+o.Endpoints, perRegion).Seconds(), "s")
	return nil
}

// heartbeat is a heartbeat as daemons send it.
func heartbeat() *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Incarnation: 1 << 62, ListVersion: 100_000, ListAgeMillis: 12_345, HomeDigest: 1 << 62, RegionDigest: 1 << 62,
		Load: &wire.LoadSummary{},
	}
	for i := range modelCount {
		hb.Load.Pools = append(hb.Load.Pools, &wire.PoolLoad{Name: modelName(i), WaitMillis: 250, Free: 300})
	}
	for range 2 {
		hb.Load.Pools = append(hb.Load.Pools, &wire.PoolLoad{Name: "libro-pedidos", Service: true, WaitMillis: 20, Free: 128})
	}
	return hb
}

// probeFleet is the cores of a fleet, which reach each other without delay.
type probeFleet struct {
	now    clock.Instant
	rows   []membership.Row
	byName map[string]int
	cores  []*membership.Core
	sent   []int
	heard  []map[int]bool
}

func newCore(rows []membership.Row, self int, now clock.Instant) (*membership.Core, error) {
	c, err := membership.New(rows[self], membership.DefaultParams(), rand.New(rand.NewPCG(uint64(self), 1)))
	if err != nil {
		return nil, err
	}
	c.ApplyList(now, 1, rows)
	return c, nil
}

func newProbeFleet(n int) (*probeFleet, error) {
	f := &probeFleet{now: clock.Instant(time.Hour), rows: rowsOf(n), byName: map[string]int{}, sent: make([]int, n), heard: make([]map[int]bool, n)}
	for i, r := range f.rows {
		c, err := newCore(f.rows, i, f.now)
		if err != nil {
			return nil, err
		}
		f.cores = append(f.cores, c)
		f.byName[r.Name] = i
		f.heard[i] = map[int]bool{}
	}
	return f, nil
}

func (f *probeFleet) run() {
	end := f.now.Add(probeTime)
	for f.now < end {
		f.now = f.now.Add(probeTick)
		for i, c := range f.cores {
			for _, a := range c.Tick(f.now) {
				if p, ok := a.(membership.Probe); ok {
					f.probe(i, p)
				}
			}
		}
	}
}

func (f *probeFleet) probe(from int, p membership.Probe) {
	to := f.byName[p.Target.Instance]
	f.sent[from]++
	f.heard[from][to], f.heard[to][from] = true, true
	f.cores[to].RecordContact(f.now, f.rows[from])
	f.cores[from].ProbeResult(f.now, p, &membership.Answer{Incarnation: f.rows[to].Incarnation})
}

func (f *probeFleet) mean() float64 {
	total := 0
	for _, n := range f.sent {
		total += n
	}
	return float64(total) / float64(len(f.sent))
}

func (f *probeFleet) most() float64 {
	most := 0
	for _, n := range f.sent {
		most = max(most, n)
	}
	return float64(most)
}

func (f *probeFleet) heardMean() float64 {
	total := 0
	for _, h := range f.heard {
		total += len(h)
	}
	return float64(total) / float64(len(f.heard))
}

// coreCosts are the costs of one core.
type coreCosts struct {
	memory, roles, tick, entries, first float64
	snapshot                            cost
}

func measureCore(n int) (coreCosts, error) {
	rows := rowsOf(n)
	now := clock.Instant(time.Hour)
	core, size, err := heapOf(func() (*membership.Core, error) { return newCore(rows, 0, now) })
	if err != nil {
		return coreCosts{}, err
	}
	costs := coreCosts{memory: size}
	core.Tick(now)
	costs.tick = costOf(func() { core.Tick(now) }).nanos
	version := int64(1)
	costs.roles = costOf(func() {
		version++
		core.ApplyList(now, version, rows)
		core.Tick(now)
	}).nanos
	costs.snapshot = costOf(func() { core.Snapshot() })
	costs.first = costOf(func() { core.AmongFirst("list", 1, true) }).nanos
	snapshot := core.Snapshot()
	random := rand.New(rand.NewPCG(1, 1))
	costs.entries = costOf(func() {
		membership.RankEntries(snapshot, regionName(0), "organisation-00001", smallRate, nil, membership.DefaultEntryParams(), random)
	}).nanos
	return costs, nil
}
