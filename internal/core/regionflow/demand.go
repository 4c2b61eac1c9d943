package regionflow

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

const (
	// kindHalfLife is the number of requests of a kind after which an old one counts half in the kind's means.
	kindHalfLife = 50.0
	// maxKinds bounds the kinds of which means are kept. Kinds are routes; a configuration has far fewer for one service.
	maxKinds = 1024
)

// Demand measures what the callers of one instance ask of a service. Each request counts when it first arrives, whether it is
// served here, elsewhere or rejected: with the means of its kind, which follow the requests that this instance has placed.
// The zero value is ready for use. It is not safe for concurrent use.
type Demand struct {
	kinds                                        map[string]*kindMeans
	tokens, slotSeconds, requests, movable, home placement.Rate
}

// kindMeans are the means of the requests of one kind.
type kindMeans struct {
	placed   bool
	prefill  float64 // prompt tokens that an engine had to process
	ended    bool
	slotTime float64 // seconds in a slot
}

// mean moves a mean towards a sample. The first sample replaces it.
func mean(before, sample float64, known bool) float64 {
	if !known {
		return sample
	}
	return before + (sample-before)*(1-math.Exp2(-1/kindHalfLife))
}

func (d *Demand) kind(name string) *kindMeans {
	k := d.kinds[name]
	if k == nil {
		if d.kinds == nil || len(d.kinds) >= maxKinds {
			d.kinds = make(map[string]*kindMeans)
		}
		k = &kindMeans{}
		d.kinds[name] = k
	}
	return k
}

// RecordArrival counts a caller's first attempt. prompt is the size of its prompt in tokens, which counts until a request of its
// kind has been placed. movable says that another region may serve it.
func (d *Demand) RecordArrival(now clock.Instant, kind string, prompt float64, movable bool) {
	k := d.kind(kind)
	tokens := k.prefill
	if !k.placed {
		tokens = prompt
	}
	d.tokens.AddAmount(now, tokens)
	d.slotSeconds.AddAmount(now, k.slotTime)
	d.requests.Add(now)
	if movable {
		d.movable.Add(now)
	} else {
		d.home.Add(now)
	}
}

// RecordPlaced records how many prompt tokens an engine has to process for a request.
func (d *Demand) RecordPlaced(kind string, prefill float64) {
	k := d.kind(kind)
	k.prefill, k.placed = mean(k.prefill, prefill, k.placed), true
}

// RecordEnded records how long a request has held its slot.
func (d *Demand) RecordEnded(kind string, held time.Duration) {
	k := d.kind(kind)
	k.slotTime, k.ended = mean(k.slotTime, held.Seconds(), k.ended), true
}

// Tokens returns the prompt tokens per second that engines have to process.
func (d *Demand) Tokens(now clock.Instant) float64 { return d.tokens.Value(now) }

// Slots returns the mean number of slots in use.
func (d *Demand) Slots(now clock.Instant) float64 { return d.slotSeconds.Value(now) }

// Requests returns the requests per second.
func (d *Demand) Requests(now clock.Instant) float64 { return d.requests.Value(now) }

// MovableFraction returns the fraction of the requests that another region may serve, 1 if there are none.
func (d *Demand) MovableFraction(now clock.Instant) float64 {
	movable, home := d.movable.Value(now), d.home.Value(now)
	if movable+home <= 0 {
		return 1
	}
	return movable / (movable + home)
}
