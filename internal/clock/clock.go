// Package clock gives the time that terms, leases and rates are computed with.
//
// Terms use the boot clock instead of the wall clock: it is never set back, and it also
// advances while the process is paused or the machine is suspended, so that a holder that wakes up
// sees that its lease has lapsed.
package clock

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time in nanoseconds since an arbitrary origin of one machine.
// Instants of different machines must not be compared.
type Instant int64

// Add returns the instant d after i, or the last or first one that there is if it lies beyond.
func (i Instant) Add(d time.Duration) Instant {
	sum := i + Instant(d)
	switch {
	case d > 0 && sum < i:
		return math.MaxInt64
	case d < 0 && sum > i:
		return math.MinInt64
	}
	return sum
}

// Sub returns the duration from j to i, or the longest that there is if it is longer.
func (i Instant) Sub(j Instant) time.Duration {
	difference := time.Duration(i - j)
	switch {
	case i > j && difference < 0:
		return math.MaxInt64
	case i < j && difference > 0:
		return math.MinInt64
	}
	return difference
}

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Clock reads the current instant.
type Clock interface {
	Now() Instant
}

// Boot reads CLOCK_BOOTTIME.
type Boot struct{}

var _ Clock = Boot{}

// Now returns the time since the machine booted, suspensions included.
// It panics where the kernel has no CLOCK_BOOTTIME, since no lease could be checked there.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return Instant(ts.Nano())
}

// Manual is a clock that moves only when it is told to. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Instant
}

var _ Clock = (*Manual)(nil)

// Now returns the instant that the clock was last moved to.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock by d and returns the new instant.
func (m *Manual) Advance(d time.Duration) Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	return m.now
}
