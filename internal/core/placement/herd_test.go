package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// herd is a region's instances before its plain endpoints in virtual time. They hear of each other's work some time later.
type herd struct {
	now       clock.Instant
	events    herdEvents
	rng       *rand.Rand
	pools     []*Pool
	waiting   [][]herdRequest
	endpoints map[string]*herdEndpoint
	seq       int
	told      int // instances that each instance is told there are

	served, declined, left int
}

type herdRequest struct {
	id string
	at clock.Instant
}

// herdEndpoint runs some requests at once, queues some and declines the rest.
type herdEndpoint struct {
	running int
	queue   []func()
}

const (
	herdSlots    = 6
	herdQueue    = 24
	herdWork     = 30 * time.Millisecond
	herdPatience = 300 * time.Millisecond // then a request goes to another region
	herdExchange = 80 * time.Millisecond
)

type herdEvent struct {
	at  clock.Instant
	seq int
	do  func()
}

type herdEvents []herdEvent

func (h herdEvents) Len() int { return len(h) }
func (h herdEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h herdEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *herdEvents) Push(x any)   { *h = append(*h, x.(herdEvent)) }
func (h *herdEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (h *herd) after(d time.Duration, do func()) {
	h.seq++
	heap.Push(&h.events, herdEvent{h.now.Add(d), h.seq, do})
}

// playHerd lets instances send requests to two endpoints for ten seconds, at a part of what these can run.
func playHerd(instances int, load float64, told int) *herd {
	h := &herd{now: clock.Instant(time.Hour), rng: rand.New(rand.NewPCG(1, 7)), endpoints: map[string]*herdEndpoint{}, told: told,
		waiting: make([][]herdRequest, instances)}
	var list []catalog.Endpoint
	for _, id := range []string{"e0", "e1"} {
		h.endpoints[id] = &herdEndpoint{}
		list = append(list, catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id}, Service: "s", Slots: herdSlots})
	}
	for range instances {
		p := NewPool(&catalog.Service{Name: "s"}, func(string, float64) float64 { return 0 })
		p.SetEndpoints(list)
		p.SetPeerLoad(h.now, nil, told)
		h.pools = append(h.pools, p)
	}
	rate := load * 2 * herdSlots / herdWork.Seconds()
	end := h.now.Add(10 * time.Second)
	var arrive func()
	arrive = func() {
		i := h.rng.IntN(instances)
		h.seq++
		h.waiting[i] = append(h.waiting[i], herdRequest{fmt.Sprint(h.seq), h.now})
		h.offer(i)
		h.after(time.Duration(h.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	h.after(0, arrive)
	var exchange func()
	exchange = func() {
		for i, p := range h.pools {
			others := map[string]Load{}
			for j, q := range h.pools {
				if j != i {
					q.OwnLoad(func(id string, w Load) { others[id] = others[id].Plus(w) })
				}
			}
			h.after(herdExchange/2, func() { p.SetPeerLoad(h.now, others, h.told) })
			h.offer(i)
		}
		h.after(herdExchange, exchange)
	}
	h.after(0, exchange)
	for h.now < end {
		e := heap.Pop(&h.events).(herdEvent)
		h.now = e.at
		e.do()
	}
	return h
}

// offer sends an instance's waiting requests as far as they find a place.
func (h *herd) offer(i int) {
	p := h.pools[i]
	for len(h.waiting[i]) > 0 {
		r := h.waiting[i][0]
		if h.now.Sub(r.at) > herdPatience {
			h.left++
			h.waiting[i] = h.waiting[i][1:]
			continue
		}
		w := Request{ID: r.id}
		c, reason := p.Choose(h.now, &w, Constraint{})
		if reason != "" {
			return
		}
		p.RecordSent(h.now, c, w)
		h.waiting[i] = h.waiting[i][1:]
		h.send(i, c, r)
	}
}

func (h *herd) send(i int, c Choice, r herdRequest) {
	e := h.endpoints[c.ID]
	end := func() {
		h.pools[i].RecordEnd(h.now, c.Endpoint, r.id)
		h.offer(i)
	}
	run := func() {
		e.running++
		h.after(time.Duration(h.rng.ExpFloat64()*float64(herdWork)), func() {
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
	case e.running < herdSlots:
		run()
	case len(e.queue) < herdQueue:
		e.queue = append(e.queue, run)
	default:
		h.declined++
		h.after(time.Millisecond, end)
	}
}

// Load pattern: forty instances of a region share the twelve places of a plain service that works for 30 ms a request, and hear of each
// other every 80 ms. Guards against requests that endpoints decline because all instances act on the same old report: each of them has
// one attempt (found on the large site: a sixth of the ledger's arrivals on a calm day).
func TestManyInstancesShareFewPlaces(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.4} {
		h := playHerd(40, load, 40)
		baseline := playHerd(40, load, 1) // each goes by the last report
		all := h.served + h.declined + h.left
		t.Logf("load %.1f: %d served, %d declined, %d left; by the last report %d, %d, %d", load, h.served, h.declined, h.left,
			baseline.served, baseline.declined, baseline.left)
		if h.declined*200 > all {
			t.Errorf("load %.1f: %d of %d requests are declined", load, h.declined, all)
		}
		if h.served < baseline.served*98/100 {
			t.Errorf("load %.1f: %d are served, %d by the last report", load, h.served, baseline.served)
		}
	}
	if h := playHerd(3, 0.8, 3); h.declined > 0 || h.left*100 > h.served {
		t.Errorf("three instances: %d served, %d declined, %d left", h.served, h.declined, h.left)
	}
}
