package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{120, "an instance could not listen after a restart and said nothing; a hangup ended one whose libraries were being initialised"},
}

// Guards against faults that show only with real processes: a short run of a fixed seed, and each seed that ever failed.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "dogwood-edge")
	if out, err := exec.Command("go", "build", "-o", binary, "dogwoodknot.example/dogwoodknot/cmd/dogwood-edge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := []uint64{1}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		findings, err := Run(context.Background(), Options{Seed: seed, Length: 12 * time.Second, Binary: binary, Dir: t.TempDir(), Callers: 6})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, f := range findings {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}
