package capacity

import (
	"math"
	"testing"
)

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance*math.Max(1, math.Abs(b)) }

// Guards against a slope or intercept that the page would multiply by the planned size.
func TestFitLine(t *testing.T) {
	f, err := FitLine([]Point{{400, 1700}, {100, 500}, {200, 900}})
	if err != nil {
		t.Fatal(err)
	}
	if !near(f.Slope, 4, 1e-9) || !near(f.Intercept, 100, 1e-9) || f.Residual > 1e-9 || f.Bend != 0 {
		t.Errorf("slope %g, intercept %g, residual %g, bend %g", f.Slope, f.Intercept, f.Residual, f.Bend)
	}
	if v := f.At(1000); !near(v, 4100, 1e-9) {
		t.Errorf("value at 1000 is %g", v)
	}
}

// Guards against growth faster than linear that goes unnoticed, and against a noisy flat series that is called bent.
func TestFitFindsBend(t *testing.T) {
	f, err := FitLine([]Point{{1, 1}, {2, 2}, {4, 4}, {8, 64}})
	if err != nil {
		t.Fatal(err)
	}
	if f.Bend != 4 || !near(f.BendSlope, 15, 1e-9) {
		t.Errorf("bend at %g with slope %g", f.Bend, f.BendSlope)
	}
	f, err = FitLine([]Point{{1, 100}, {2, 101}, {4, 99}, {8, 102}})
	if err != nil {
		t.Fatal(err)
	}
	if f.Bend != 0 {
		t.Errorf("a flat series bends at %g", f.Bend)
	}
}

// Guards against a line through too few sizes, which would hide any bend.
func TestFitRefusesFewSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}}, {{1, 1}, {2, 2}, {2, 3}}} {
		if _, err := FitLine(points); err == nil {
			t.Errorf("no error for %v", points)
		}
	}
}
