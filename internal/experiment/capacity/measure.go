package capacity

import (
	"runtime"
	"time"
)

// heapOf returns the heap bytes that the value made by f keeps alive.
func heapOf[T any](f func() (T, error)) (T, float64, error) {
	before := heap()
	v, err := f()
	after := heap()
	return v, float64(after) - float64(before), err
}

func heap() uint64 {
	runtime.GC()
	runtime.GC() // frees what finalizers of the first have released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cost is the price of one call.
type cost struct {
	nanos float64
	bytes float64 // allocated
}

// minSample is the shortest time that a cost is averaged over.
const minSample = 20 * time.Millisecond

// costOf calls f repeatedly and returns the fastest of three averages: other work on the machine only adds time.
func costOf(f func()) cost {
	f()
	best := cost{}
	for try := range 3 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		n := 0
		start := time.Now()
		for time.Since(start) < minSample {
			f()
			n++
		}
		elapsed := float64(time.Since(start).Nanoseconds()) / float64(n)
		runtime.ReadMemStats(&after)
		if try == 0 || elapsed < best.nanos {
			best = cost{elapsed, float64(after.TotalAlloc-before.TotalAlloc) / float64(n)}
		}
	}
	return best
}

// sizes returns a quarter, half and all of a size, or its eighth as well if that is still 1 or more.
func sizes(full int) []int {
	out := []int{max(1, full/4), max(2, full/2), max(3, full)}
	if full/8 >= 1 && full/8 < out[0] {
		out = append([]int{full / 8}, out...)
	}
	return out
}

// threeSizes returns a quarter, half and all of a size, for experiments that take seconds at each.
func threeSizes(full int) []int {
	s := sizes(full)
	return s[len(s)-3:]
}

// points pairs sizes with values.
func points(at []int, values []float64) []Point {
	out := make([]Point, len(at))
	for i := range at {
		out[i] = Point{float64(at[i]), values[i]}
	}
	return out
}
