// Package load drives a running system with seeded open-loop traffic and summarises what callers saw.
package load

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is what a stream of requests asks for.
type Kind string

// Kinds of requests.
const (
	Chat    Kind = "chat"    // streaming chat completion
	Lookup  Kind = "lookup"  // idempotent call of a plain service
	Booking Kind = "booking" // non-idempotent call of a plain service with an idempotency key
)

// Stream is a Poisson stream of like requests of one organisation from one region.
type Stream struct {
	Name         string // row of the table, such as "long" or "short"
	Kind         Kind
	Organisation string
	Key          string
	Region       string
	PerSecond    float64
	Model        string // of Chat
	PromptTokens int    // mean of Chat; a request has between half and one and a half of it
	OutputTokens int    // of Chat
	// SharedPrefix is the part of the prompt, 0 to 1, that is the same for all requests of the organisation.
	SharedPrefix float64
	Path         string // of Lookup and Booking
	// From and To bound the stream within the run; To 0 is the run's end.
	From, To time.Duration
}

// Workload is a set of streams over a time. The same seed gives the same arrivals and prompts.
type Workload struct {
	Seed     uint64
	Duration time.Duration
	Streams  []Stream
}

// MaxArrivals bounds a run.
const MaxArrivals = 2_000_000

// Validate returns every problem of the workload.
func (w Workload) Validate() []error {
	var problems []error
	if w.Duration <= 0 {
		problems = append(problems, errors.New("duration must be positive"))
	}
	expected := 0.0
	for _, s := range w.Streams {
		if s.PerSecond < 0 {
			problems = append(problems, errors.Newf("stream %s: rate must not be negative", s.Name))
		}
		expected += s.PerSecond * w.Duration.Seconds()
	}
	if expected > MaxArrivals {
		problems = append(problems, errors.Newf("%.0f arrivals are more than %d", expected, MaxArrivals))
	}
	return problems
}

// Arrival is one request of the schedule.
type Arrival struct {
	At           time.Duration // since the start of the run
	Stream       *Stream
	Number       int // within the stream
	PromptTokens int
	Seed         uint64
}

// Schedule returns the arrivals in order of time.
func (w Workload) Schedule() []Arrival {
	var out []Arrival
	for i := range w.Streams {
		out = append(out, w.arrivals(i)...)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}

func (w Workload) arrivals(i int) []Arrival {
	s := &w.Streams[i]
	if s.PerSecond == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(w.Seed, uint64(i)))
	end := w.Duration
	if s.To > 0 {
		end = min(end, s.To)
	}
	var out []Arrival
	at := s.From
	for {
		at += time.Duration(rng.ExpFloat64() / s.PerSecond * float64(time.Second))
		if at >= end {
			return out
		}
		prompt := s.PromptTokens/2 + rng.IntN(s.PromptTokens+1)
		out = append(out, Arrival{At: at, Stream: s, Number: len(out), PromptTokens: prompt, Seed: rng.Uint64()})
	}
}
