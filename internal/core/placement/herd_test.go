package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointrate"
)

// simulation runs the instances of a region and its plain endpoints in virtual time. Instances receive each other's load with a
// delay.
type simulation struct {
	now            clock.Instant
	events         simEvents
	rng            *rand.Rand
	pools          []*Pool
	waiting        [][]simRequest
	endpoints      map[string]*simEndpoint
	seq            int
	knownInstances int // number of instances that each instance assumes in the region

	served, declined, forwarded int
}

type simRequest struct {
	id string
	at clock.Instant
}

// simEndpoint runs some requests at once, queues some and declines the rest.
type simEndpoint struct {
	running int
	queue   []func()
}

const (
	simSlots           = 6
	simQueueLength     = 24
	simServiceTime     = 30 * time.Millisecond
	simMaxWait         = 300 * time.Millisecond // then a request goes to another region
	simMessageInterval = 80 * time.Millisecond
)

type simEvent struct {
	at  clock.Instant
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (h *simulation) after(d time.Duration, do func()) {
	h.seq++
	heap.Push(&h.events, simEvent{h.now.Add(d), h.seq, do})
}

// simulate lets instances send requests to two endpoints for ten seconds. load is relative to the capacity of the endpoints.
func simulate(instances int, load float64, knownInstances int) *simulation {
	h := &simulation{now: clock.Instant(time.Hour), rng: rand.New(rand.NewPCG(1, 7)), endpoints: map[string]*simEndpoint{}, knownInstances: knownInstances,
		waiting: make([][]simRequest, instances)}
	var list []catalog.Endpoint
	for _, id := range []string{"e0", "e1"} {
		h.endpoints[id] = &simEndpoint{}
		list = append(list, catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id}, Service: "s", Slots: simSlots})
	}
	for range instances {
		p := NewPool(&catalog.Service{Name: "s"}, endpointrate.NewLimiter("a"))
		p.SetEndpoints(list)
		p.SetPeerLoad(h.now, nil, knownInstances)
		h.pools = append(h.pools, p)
	}
	rate := load * 2 * simSlots / simServiceTime.Seconds()
	end := h.now.Add(10 * time.Second)
	var arrive func()
	arrive = func() {
		i := h.rng.IntN(instances)
		h.seq++
		h.waiting[i] = append(h.waiting[i], simRequest{fmt.Sprint(h.seq), h.now})
		h.dispatch(i)
		h.after(time.Duration(h.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	h.after(0, arrive)
	var exchange func()
	exchange = func() {
		for i, p := range h.pools {
			others := map[string]Load{}
			for j, q := range h.pools {
				if j != i {
					q.OwnLoad(func(id string, load Load) { others[id] = others[id].Plus(load) })
				}
			}
			h.after(simMessageInterval/2, func() { p.SetPeerLoad(h.now, others, h.knownInstances) })
			h.dispatch(i)
		}
		h.after(simMessageInterval, exchange)
	}
	h.after(0, exchange)
	for h.now < end {
		e := heap.Pop(&h.events).(simEvent)
		h.now = e.at
		e.do()
	}
	return h
}

// dispatch sends an instance's waiting requests as far as there is capacity.
func (h *simulation) dispatch(i int) {
	p := h.pools[i]
	for len(h.waiting[i]) > 0 {
		r := h.waiting[i][0]
		if h.now.Sub(r.at) > simMaxWait {
			h.forwarded++
			h.waiting[i] = h.waiting[i][1:]
			continue
		}
		req := Request{ID: r.id}
		c, reason := p.Choose(h.now, &req, Constraint{})
		if reason != "" {
			return
		}
		p.RecordSent(h.now, c, req)
		h.waiting[i] = h.waiting[i][1:]
		h.send(i, c, r)
	}
}

func (h *simulation) send(i int, c Choice, r simRequest) {
	e := h.endpoints[c.ID]
	end := func() {
		h.pools[i].RecordEnd(h.now, c.Endpoint, r.id)
		h.dispatch(i)
	}
	run := func() {
		e.running++
		h.after(time.Duration(h.rng.ExpFloat64()*float64(simServiceTime)), func() {
			e.running--
			h.served++
			end()
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	}
	switch {
	case e.running < simSlots:
		run()
	case len(e.queue) < simQueueLength:
		e.queue = append(e.queue, run)
	default:
		h.declined++
		h.after(time.Millisecond, end)
	}
}

// Load pattern: forty instances of a region share the twelve slots of a plain service that takes 30 ms per request, and receive
// each other's load every 80 ms. Guards against requests that endpoints decline because all instances act on the same outdated
// load; such a request has only one attempt. On the large deployment this was a sixth of the requests of one service (the
// ledger) on a calm day.
func TestManyInstancesShareFewPlaces(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.4} {
		h := simulate(40, load, 40)
		baseline := simulate(40, load, 1) // each instance relies on the last load received
		all := h.served + h.declined + h.forwarded
		t.Logf("load %.1f: %d served, %d declined, %d forwarded; relying on the last load received: %d, %d, %d", load, h.served, h.declined, h.forwarded,
			baseline.served, baseline.declined, baseline.forwarded)
		if h.declined*200 > all {
			t.Errorf("load %.1f: %d of %d requests are declined", load, h.declined, all)
		}
		if h.served < baseline.served*98/100 {
			t.Errorf("load %.1f: %d are served, %d when relying on the last load received", load, h.served, baseline.served)
		}
	}
	if h := simulate(3, 0.8, 3); h.declined > 0 || h.forwarded*100 > h.served {
		t.Errorf("three instances: %d served, %d declined, %d forwarded", h.served, h.declined, h.forwarded)
	}
}
