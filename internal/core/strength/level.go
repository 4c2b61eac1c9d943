package strength

import (
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Level is a coarse measure of how much of its machine an instance uses. It goes with the instance's status, which is sent only when it
// changes. Higher values than MaxLevel count as MaxLevel.
type Level uint8

const (
	// Relaxed is the level of an instance that uses little, or whose use is not known.
	Relaxed Level = iota
	// Busy is the level above 70% of the processor or the link, or half of the memory account.
	Busy
	// Saturating is the level above 85% of the processor or the link, or three quarters of the memory account.
	Saturating

	// MaxLevel is the highest level.
	MaxLevel = Saturating
)

// factor returns what the level multiplies the weight with. New callers come at about the rate at which old ones go, so that the
// utilisation follows the weight: 85% x 0.6 and 100% x 0.35 are well below 70%.
func (l Level) factor() float64 {
	return [...]float64{Relaxed: 1, Busy: 0.6, Saturating: 0.35}[min(l, MaxLevel)]
}

// Utilisation is the share of each resource that an instance uses, 0 to 1. A value of 0 may also mean that the share is not known.
type Utilisation struct {
	Processor, Link float64
	Memory          float64 // of the memory account
}

// pressure returns the share of the most used resource, with half of the memory account counted like 70% of the others.
func (u Utilisation) pressure() float64 {
	pressure := 0.0
	for _, share := range []float64{u.Processor, u.Link, u.Memory * riseAt[Busy] / 0.5} {
		if !math.IsNaN(share) {
			pressure = max(pressure, share)
		}
	}
	return min(pressure, 1)
}

// riseAt is the pressure from which on a level is reached, fallBelow the one below which it is left. The distance keeps the list of
// the directory steady, since callers drop connections to instances that are missing from a new list.
var (
	riseAt    = [...]float64{Busy: 0.70, Saturating: 0.85}
	fallBelow = [...]float64{Busy: 0.50, Saturating: 0.65}
)

const (
	// smoothing is the time constant of the pressure: bursts shorter than a second do not change the level.
	smoothing = time.Second
	// minHold is the least time at a level before a lower one follows: about the time for which callers of a former answer return.
	minHold = 4 * time.Second
)

// Gauge derives the level from the utilisation. The zero value is ready for use. It is not safe for concurrent use.
type Gauge struct {
	pressure float64
	at       clock.Instant // of the last update, 0: none
	level    Level
	changed  clock.Instant // when the level last changed
}

// Update records the utilisation since the last update, and returns the level.
func (g *Gauge) Update(now clock.Instant, u Utilisation) Level {
	if g.at > 0 && now > g.at {
		keep := math.Exp(-now.Sub(g.at).Seconds() / smoothing.Seconds())
		g.pressure = keep*g.pressure + (1-keep)*u.pressure()
	}
	g.at = now
	next := g.level
	for next < MaxLevel && g.pressure >= riseAt[next+1] {
		next++
	}
	if next == g.level && g.level > Relaxed && g.pressure < fallBelow[g.level] && now.Sub(g.changed) >= minHold {
		next--
	}
	if next != g.level {
		g.level, g.changed = next, now
	}
	return g.level
}

// Pressure returns the smoothed share of the most used resource.
func (g *Gauge) Pressure() float64 { return g.pressure }
