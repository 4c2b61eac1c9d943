package capacity

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// bendAt is the change of the local slope, relative to the slope before, from which a series counts as bent.
const bendAt = 0.25

// Point is a measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a straight line through the points, by least squares.
type Fit struct {
	Slope     float64 `json:"slope"` // value per unit of size
	Intercept float64 `json:"intercept"`
	// Residual is the largest distance of a point from the line, relative to the largest value.
	Residual float64 `json:"residual"`
	// Bend is the size from which the slope differs by more than a quarter from the slope before it, 0 if it never does.
	Bend float64 `json:"bend,omitempty"`
	// BendSlope is the slope from Bend on.
	BendSlope float64 `json:"bend_slope,omitempty"`
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// FitLine fits a line through three or more points of different sizes.
func FitLine(points []Point) (Fit, error) {
	sorted := slices.Clone(points)
	slices.SortFunc(sorted, func(a, b Point) int { return compare(a.Size, b.Size) })
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Size == sorted[i-1].Size {
			return Fit{}, errors.Newf("size %g was measured twice", sorted[i].Size)
		}
	}
	if len(sorted) < 3 {
		return Fit{}, errors.Newf("a fit takes 3 sizes, there are %d", len(sorted))
	}
	f := leastSquares(sorted)
	f.Residual = residual(sorted, f)
	f.Bend, f.BendSlope = bend(sorted)
	return f, nil
}

func leastSquares(points []Point) Fit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var xy, xx float64
	for _, p := range points {
		xy += (p.Size - meanX) * (p.Value - meanY)
		xx += (p.Size - meanX) * (p.Size - meanX)
	}
	slope := xy / xx
	return Fit{Slope: slope, Intercept: meanY - slope*meanX}
}

func residual(points []Point, f Fit) float64 {
	var distance, largest float64
	for _, p := range points {
		distance = math.Max(distance, math.Abs(p.Value-f.At(p.Size)))
		largest = math.Max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return 0
	}
	return distance / largest
}

// bend returns the first size at which the local slope changes, and the slope after it. Differences below bendAt of a
// tenth of the largest value are noise of a flat series.
func bend(points []Point) (size, slope float64) {
	largest := 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Value))
	}
	span := points[len(points)-1].Size - points[0].Size
	for i := 2; i < len(points); i++ {
		before := slopeOf(points[i-2], points[i-1])
		after := slopeOf(points[i-1], points[i])
		change := math.Abs(after - before)
		if change > bendAt*math.Abs(before) && change*span > bendAt*largest {
			return points[i-1].Size, after
		}
	}
	return 0, 0
}

func slopeOf(a, b Point) float64 { return (b.Value - a.Value) / (b.Size - a.Size) }

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
