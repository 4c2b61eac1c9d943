package hops

import (
	"regexp"
	"strings"
	"testing"
	"time"
)

// Guards against a report that calls a missed target met, and against latencies added to the wrong path.
func TestWriteComparesWithThePathBefore(t *testing.T) {
	path := func(name string, d time.Duration, held ...float64) *Path {
		return &Path{Name: name, Unloaded: []time.Duration{d}, Loaded: []time.Duration{d}, HeldBytes: held}
	}
	var b strings.Builder
	err := Write(&b, []*Path{
		path("direct", time.Millisecond, 1024, 9000, 0), path("one instance", 1500*time.Microsecond, 3072),
		path("two instances", 2500*time.Microsecond, 4096),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1.50/1.50  *0.50 .* 3.0 +2.0", "one instance: added median under 1 ms: met", "two instances: added median under 1 ms: MISSED"} {
		if !regexp.MustCompile(want).MatchString(b.String()) {
			t.Errorf("report lacks %q:\n%s", want, b.String())
		}
	}
}

// Guards against paths that don't take the way that they are named after: Run fails if a request is served elsewhere.
func TestRunMeasuresEveryPath(t *testing.T) {
	o := Options{Requests: 5, PerSecond: 100, InFlight: 5, Rounds: 1, Seed: 1}
	paths, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range paths {
		if len(p.Unloaded) != 5 || len(p.Loaded) != 5 || len(p.HeldBytes) != o.Rounds {
			t.Errorf("%s: %d, %d latencies, %d rounds", p.Name, len(p.Unloaded), len(p.Loaded), len(p.HeldBytes))
		}
	}
	for _, wrong := range []Options{
		{},
		{PerSecond: 100, InFlight: 5, Rounds: 1},
		{Requests: 5, PerSecond: 100, InFlight: 5},
		{Requests: 5, PerSecond: 100, InFlight: 5, Rounds: 2},
	} {
		if _, err := Run(t.Context(), wrong); err == nil {
			t.Errorf("%+v: no error", wrong)
		}
	}
}
