package saturate

import (
	"math"
	"testing"
	"time"
)

// Guards against conversions whose result depends on the processor.
func TestNumbersOutOfRange(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, c := range []struct {
		x        float64
		whole    int // within [0, 10]
		duration time.Duration
		u32      uint32
		u64      uint64
		finite   float64 // within [0, 10]
	}{
		{nan, 0, 0, 0, 0, 0},
		{inf, 10, math.MaxInt64, math.MaxUint32, math.MaxUint64, 10},
		{-inf, 0, math.MinInt64, 0, 0, 0},
		{1e300, 10, math.MaxInt64, math.MaxUint32, math.MaxUint64, 10},
		{math.MaxInt64, 10, math.MaxInt64, math.MaxUint32, 1 << 63, 10},
		{-1e19, 0, math.MinInt64, 0, 0, 0},
		{3.9, 3, 3, 3, 3, 3.9},
	} {
		if got := Int(c.x, 0, 10); got != c.whole {
			t.Errorf("Int(%v) = %d, want %d", c.x, got, c.whole)
		}
		if got := Duration(c.x); got != c.duration {
			t.Errorf("Duration(%v) = %d, want %d", c.x, got, c.duration)
		}
		if got := Uint32(c.x); got != c.u32 {
			t.Errorf("Uint32(%v) = %d, want %d", c.x, got, c.u32)
		}
		if got := Uint64(c.x); got != c.u64 {
			t.Errorf("Uint64(%v) = %d, want %d", c.x, got, c.u64)
		}
		if got := Finite(c.x, 0, 10); got != c.finite {
			t.Errorf("Finite(%v) = %v, want %v", c.x, got, c.finite)
		}
	}
	if got := Millis(math.MaxInt64); got != math.MaxUint32 {
		t.Errorf("Millis of the longest duration = %d", got)
	}
}
