package edge

import (
	"math"
	"sync"
)

// outputHalfLife is the number of requests of a route after which an old one counts half in the mean.
const outputHalfLife = 50

// outputMeans tracks how many output tokens the requests of each route are expected to have.
type outputMeans struct {
	mu   sync.Mutex
	mean map[string]float64 // by route
}

// record records a request's expected output and returns the route's mean.
func (o *outputMeans) record(route string, tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mean == nil {
		o.mean = make(map[string]float64)
	}
	keep := math.Exp2(-1.0 / outputHalfLife)
	mean, known := o.mean[route]
	if !known {
		mean = tokens
	}
	o.mean[route] = mean*keep + tokens*(1-keep)
	return o.mean[route]
}
