package routing

import "math/rand/v2"

// Chooser selects the endpoint of a request.
type Chooser interface {
	// Choose returns the index of the endpoint for a prompt of the given size in tokens, or -1 if the request must wait.
	// With force, endpoints without capacity may be chosen too.
	Choose(cands []Candidate, promptTokens float64, force bool, rng *rand.Rand) int
}

var (
	_ Chooser = Policy{}
	_ Chooser = Random{}
	_ Chooser = LeastReported{}
)

// Random selects a random usable endpoint, with or without capacity, so that requests queue at the engines instead of here. It is
// a baseline for the experiments.
type Random struct{}

// Choose returns a random usable endpoint.
func (Random) Choose(cands []Candidate, _ float64, _ bool, rng *rand.Rand) int {
	usable := usable(cands, true)
	if len(usable) == 0 {
		return -1
	}
	return usable[rng.IntN(len(usable))]
}

// LeastReported selects the endpoint with the lowest load in its last load report, without the requests sent since. Like Random, it
// ignores capacity. It is a baseline for the experiments.
type LeastReported struct{}

// Choose returns the endpoint with the lowest reported load. Ties are broken at random.
func (LeastReported) Choose(cands []Candidate, _ float64, _ bool, rng *rand.Rand) int {
	usable := usable(cands, true)
	if len(usable) == 0 {
		return -1
	}
	rng.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	best := usable[0]
	for _, i := range usable[1:] {
		if cands[i].Reported < cands[best].Reported {
			best = i
		}
	}
	return best
}
