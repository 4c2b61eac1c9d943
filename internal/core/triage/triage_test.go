package triage

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func here(first time.Duration) Offer { return Offer{Known: true, First: first} }

// Guards against requests that wait where they cannot be on time while another region could serve them, that cross for nothing,
// and that are held although they cannot be served.
func TestDecide(t *testing.T) {
	const objective, left = 800 * ms, 4000 * ms
	for name, tc := range map[string]struct {
		in   Input
		want Decision
	}{
		"calm":                 {Input{Here: here(100 * ms), Elsewhere: []Offer{here(50 * ms)}, Objective: objective, Left: left}, Decision{Action: ServeHere}},
		"busy, nothing better": {Input{Here: here(700 * ms), Elsewhere: []Offer{here(900 * ms)}, Objective: objective, Left: left}, Decision{Action: ServeHere}},
		"late here and there": {Input{Here: here(1200 * ms), HereLate: here(1300 * ms), Elsewhere: []Offer{here(1500 * ms)}, Objective: objective, Left: left},
			Decision{Action: ServeHere, Late: true}},
		"late, behind a long line": {Input{Here: here(900 * ms), HereLate: here(2000 * ms), Objective: objective, Left: left},
			Decision{Action: Refuse, RetryAfter: 420 * ms}},
		"no endpoint here":          {Input{Here: Offer{}, Elsewhere: []Offer{here(900 * ms), here(300 * ms)}, Objective: objective, Left: left}, Decision{Action: ServeElsewhere, Region: 1}},
		"no endpoint here, late":    {Input{Here: Offer{}, Elsewhere: []Offer{here(900 * ms)}, Objective: objective, Left: left}, Decision{Action: ServeElsewhere, Late: true}},
		"hopeless":                  {Input{Here: here(3000 * ms), Elsewhere: []Offer{here(2500 * ms)}, Objective: objective, Left: left}, Decision{Action: Refuse, RetryAfter: 1320 * ms}},
		"late already, free places": {Input{Here: here(60 * ms), HereLate: here(60 * ms), Elsewhere: nil, Objective: -100 * ms, Left: 3000 * ms}, Decision{Action: ServeHere, Late: true}},
		"nothing known":             {Input{Objective: objective, Left: left}, Decision{Action: Refuse, RetryAfter: minReturn}},
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
		if d := Decide(Input{Here: here(700 * ms), Elsewhere: []Offer{here(250 * ms)}, Objective: 800 * ms, Left: 4000 * ms}, rng.Float64); d.Action == ServeElsewhere {
			crossed++
		}
	}
	if crossed < 500 || crossed > 700 {
		t.Errorf("%d of 1000 requests cross, want about 600", crossed)
	}
}
