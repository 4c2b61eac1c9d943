package edge

import (
	"math"
	"sync"
)

// outputsHalfLife is the number of requests of a route after which an old one counts half in its typical output.
const outputsHalfLife = 50

// outputs learns how many tokens the answers of each route are expected to have.
type outputs struct {
	mu   sync.Mutex
	mean map[string]float64 // by route
}

// note records a request's expected output and returns the route's mean.
func (o *outputs) note(route string, tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mean == nil {
		o.mean = make(map[string]float64)
	}
	keep := math.Exp2(-1.0 / outputsHalfLife)
	mean, known := o.mean[route]
	if !known {
		mean = tokens
	}
	o.mean[route] = mean*keep + tokens*(1-keep)
	return o.mean[route]
}
