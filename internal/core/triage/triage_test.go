package triage

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func here(first time.Duration) Estimate { return Estimate{Available: true, FirstOutput: first} }

// Guards against requests that wait where they cannot be on time while another region could serve them, that cross for nothing,
// and that are held although they cannot be served.
func TestDecide(t *testing.T) {
	const objective, left = 800 * ms, 4000 * ms
	for name, tc := range map[string]struct {
		in   Input
		want Decision
	}{
		"calm":                 {Input{Local: here(100 * ms), Remote: []Estimate{here(50 * ms)}, Objective: objective, TimeLeft: left}, Decision{Action: ServeLocally}},
		"busy, nothing better": {Input{Local: here(700 * ms), Remote: []Estimate{here(900 * ms)}, Objective: objective, TimeLeft: left}, Decision{Action: ServeLocally}},
		"late here and there": {Input{Local: here(1200 * ms), LocalLate: here(1300 * ms), Remote: []Estimate{here(1500 * ms)}, Objective: objective, TimeLeft: left},
			Decision{Action: ServeLocally, Late: true}},
		"late, behind a long line": {Input{Local: here(900 * ms), LocalLate: here(2000 * ms), Objective: objective, TimeLeft: left},
			Decision{Action: Reject, RetryAfter: 420 * ms}},
		"no endpoint here":          {Input{Local: Estimate{}, Remote: []Estimate{here(900 * ms), here(300 * ms)}, Objective: objective, TimeLeft: left}, Decision{Action: ServeRemotely, Region: 1}},
		"no endpoint here, late":    {Input{Local: Estimate{}, Remote: []Estimate{here(900 * ms)}, Objective: objective, TimeLeft: left}, Decision{Action: ServeRemotely, Late: true}},
		"hopeless":                  {Input{Local: here(3000 * ms), Remote: []Estimate{here(2500 * ms)}, Objective: objective, TimeLeft: left}, Decision{Action: Reject, RetryAfter: 1320 * ms}},
		"late already, free places": {Input{Local: here(60 * ms), LocalLate: here(60 * ms), Remote: nil, Objective: -100 * ms, TimeLeft: 3000 * ms}, Decision{Action: ServeLocally, Late: true}},
		"nothing known":             {Input{Objective: objective, TimeLeft: left}, Decision{Action: Reject, RetryAfter: minReturn}},
	} {
		if got := Decide(tc.in, rand.New(rand.NewPCG(1, 1)).Float64); got != tc.want {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
}

// Guards against all requests of a loaded region going to another one on the same information.
func TestPartOfTheRequestsCrosses(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	crossed := 0
	for range 1000 {
		if d := Decide(Input{Local: here(700 * ms), Remote: []Estimate{here(250 * ms)}, Objective: 800 * ms, TimeLeft: 4000 * ms}, rng.Float64); d.Action == ServeRemotely {
			crossed++
		}
	}
	if crossed < 500 || crossed > 700 {
		t.Errorf("%d of 1000 requests cross, want about 600", crossed)
	}
}
