package fleetview

import (
	"maps"
	"math"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	// maxSentPaceAge is the age up to which a pace factor is sent on. Receivers let older ones decay.
	maxSentPaceAge = time.Second
	// keptPaceAge is how long a pace factor is kept: until it has decayed to about 1 at all receivers.
	keptPaceAge = 3 * time.Second
	// minPaceChange is the smallest relative change of a pace factor that is sent.
	minPaceChange = 0.1
	// negligiblePace is the excess over 1 to which an old factor decays before its return to 1 need not be sent.
	negligiblePace = 0.01
	// maxPaceHundredths bounds the factors that are accepted, as those of answers are.
	maxPaceHundredths = 10_000
)

// paces holds the newest pace factors by endpoint.
type paces map[string]placement.Pace

// merge records a factor unless a newer one is known.
func (p paces) merge(endpoint string, pace placement.Pace) {
	if pace.At > p[endpoint].At {
		p[endpoint] = pace
	}
}

// prune drops factors that have no effect any more.
func (p paces) prune(now clock.Instant) {
	maps.DeleteFunc(p, func(_ string, pace placement.Pace) bool { return now.Sub(pace.At) > keptPaceAge })
}

// changes returns the factors that differ from what a receiver assumes by what it was sent, and records them as sent.
func (p paces) changes(now clock.Instant, current paces) (changed []*wire.EdgeEndpointPace) {
	p.prune(now)
	for endpoint, pace := range current {
		age := now.Sub(pace.At)
		if age > maxSentPaceAge {
			continue
		}
		value, assumed := pace.Value(now), p[endpoint].Value(now)
		returned := value == 1 && assumed > 1+negligiblePace
		if math.Abs(value-assumed) < minPaceChange*assumed && !returned {
			continue
		}
		p[endpoint] = pace
		changed = append(changed, &wire.EdgeEndpointPace{
			Id: endpoint, PaceHundredths: roundToUint32(100 * max(1, pace.Factor)), AgeMillis: saturate.Millis(age),
		})
	}
	return changed
}

// mergePaces records the pace factors of a message, and in known as those that its sender has.
func (n *Node) mergePaces(now clock.Instant, list []*wire.EdgeEndpointPace, known paces) error {
	if len(list) > maxEndpoints {
		return ErrTooLarge
	}
	for _, e := range list {
		factor, age := e.GetPaceHundredths(), millis(e.GetAgeMillis())
		if factor == 0 || factor > maxPaceHundredths || age > keptPaceAge {
			continue
		}
		pace := placement.Pace{Factor: float64(factor) / 100, At: now.Add(-age)}
		n.paces.merge(e.GetId(), pace)
		if known != nil {
			known.merge(e.GetId(), pace)
		}
	}
	if len(n.paces) > maxEndpoints {
		return ErrTooLarge
	}
	return nil
}

// Paces returns the newest pace factors of the region's endpoints.
func (n *Node) Paces() map[string]placement.Pace { return maps.Clone(n.paces) }
