package spread

import "testing"

// Guards against callers of a lost instance that herd at one of the others, and against callers that move without need.
func TestCallersOfALostInstanceSpread(t *testing.T) {
	// Two callers meet at one of two instances with probability 1/2.
	if often, seldom := UniformBound(2, 2, 0.4), UniformBound(2, 2, 0.6); often != 2 || seldom != 1 {
		t.Errorf("bounds of two callers at two instances are %v and %v", often, seldom)
	}
	for _, c := range []struct{ instances, organisations int }{{4, 34000}, {12, 34000}, {390, 4000}} {
		for seed := range uint64(3) {
			r, err := Measure(c.instances, c.organisations, seed)
			if err != nil {
				t.Fatal(err)
			}
			const p = 1e-6
			if bound := UniformBound(r.Lost, c.instances-1, p); r.Lost == 0 || r.MaxOfMean > bound {
				t.Errorf("seed %d: %+v: one instance gets more than %.3f of the mean", seed, r, bound)
			}
			if r.Moved != 0 || r.Changed != 0 {
				t.Errorf("seed %d: %+v: callers that were not affected move", seed, r)
			}
		}
	}
}
