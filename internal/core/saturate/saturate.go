// Package saturate converts numbers to types that may not hold them: a number out of range becomes the nearest value in range. The result of
// a plain conversion is then not defined by the language and differs between processors.
package saturate

import (
	"math"
	"time"
)

// Int returns x without its fraction, bounded to [lowest, highest]. NaN becomes lowest.
func Int(x float64, lowest, highest int) int {
	switch {
	case !(x > float64(lowest)): // or NaN
		return lowest
	case x >= float64(highest):
		return highest
	}
	return int(x)
}

// Uint32 returns x without its fraction, bounded to the range of uint32. NaN becomes 0.
func Uint32(x float64) uint32 {
	switch {
	case !(x > 0):
		return 0
	case x >= math.MaxUint32:
		return math.MaxUint32
	}
	return uint32(x)
}

// Millis returns d in whole milliseconds, bounded to the range of uint32.
func Millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// Uint64 returns x without its fraction, bounded to the range of uint64. NaN becomes 0.
func Uint64(x float64) uint64 {
	switch {
	case !(x > 0):
		return 0
	case x >= math.MaxUint64:
		return math.MaxUint64
	}
	return uint64(x)
}

// Duration returns the given number of nanoseconds, bounded to the range of time.Duration. NaN becomes 0.
func Duration(nanoseconds float64) time.Duration {
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= math.MaxInt64:
		return math.MaxInt64
	case nanoseconds <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(nanoseconds)
}

// Seconds returns the given number of seconds, bounded to the range of time.Duration. NaN becomes 0.
func Seconds(s float64) time.Duration { return Duration(s * float64(time.Second)) }

// Finite returns x bounded to [lowest, highest]. NaN becomes lowest.
func Finite(x, lowest, highest float64) float64 {
	if !(x > lowest) {
		return lowest
	}
	return min(x, highest)
}
