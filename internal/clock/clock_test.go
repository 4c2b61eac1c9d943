package clock

import (
	"math"
	"testing"
)

// Guards against a time far ahead that wraps around to one in the past, so that a deadline has passed at once.
func TestInstantsDoNotOverflow(t *testing.T) {
	const last, first = Instant(math.MaxInt64), Instant(math.MinInt64)
	if got := Instant(5).Add(math.MaxInt64); got != last {
		t.Errorf("5 + the longest duration = %d", got)
	}
	if got := Instant(-5).Add(math.MinInt64); got != first {
		t.Errorf("-5 - the longest duration = %d", got)
	}
	if got := last.Sub(-5); got != math.MaxInt64 {
		t.Errorf("from -5 to the last instant: %d", got)
	}
	if got := first.Sub(5); got != math.MinInt64 {
		t.Errorf("from 5 to the first instant: %d", got)
	}
	if got := Instant(7).Add(-10).Sub(4); got != -7 {
		t.Errorf("7 - 10 - 4 = %d", got)
	}
}
