package placement

import (
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
)

// Capacity is what the usable engines of a pool can take from all instances.
type Capacity struct {
	Engines     int     // that accept any request rate
	Limited     int     // engines that accept only a request rate
	LimitedRate float64 // requests per second that those accept together
	Slots       float64 // of an engine, on average
}

// Capacity returns what the usable engines can take, or an empty Capacity for a plain service.
func (p *Pool) Capacity(now clock.Instant) Capacity {
	var c Capacity
	if p.service.Engine == nil {
		return c
	}
	ejected, slots := routing.Ejected(p.health, now), 0
	for i, e := range p.order {
		if !p.usable(now, i, ejected, nil) {
			continue
		}
		slots += e.Slots
		if perSecond, limited := p.rateLimit(now, e); limited {
			c.Limited++
			c.LimitedRate += perSecond
			continue
		}
		c.Engines++
	}
	c.Slots = float64(p.service.Engine.Slots)
	if n := c.Engines + c.Limited; n > 0 {
		c.Slots = float64(slots) / float64(n)
	}
	return c
}
