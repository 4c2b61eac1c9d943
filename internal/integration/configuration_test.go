package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/configstore"
)

var changeOfTest = configstore.Change{Author: "integration test"}

// apply runs the operators' command on a configuration in which the weight of an organisation is changed.
func (d *deployment) apply(t *testing.T, name string, weight int) (code int, output string) {
	t.Helper()
	text := strings.Replace(d.base(), "{name: general,", fmt.Sprintf("{name: general, weight: %d,", weight), 1)
	path := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(d.dir, "dogwoodctl"), "--store", d.store().url(), "--instances", d.list().url(), "--author", name, "apply", path)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// revisions returns the revision in force at each instance.
func (d *deployment) revisions(t *testing.T) []int64 {
	t.Helper()
	var out []int64
	for _, i := range d.instances {
		s, err := d.status(i)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, s.Revision)
	}
	return out
}

// inForce waits until every instance has a revision above the given one, all the same, and returns it.
func (d *deployment) inForce(t *testing.T, above int64) int64 {
	t.Helper()
	var seen []int64
	ok := poll(inForceWithin, func() bool {
		seen = d.revisions(t)
		for _, r := range seen {
			if r != seen[0] || r <= above {
				return false
			}
		}
		return true
	})
	if !ok {
		t.Fatalf("revisions in force after %s: %v, want one above %d", inForceWithin, seen, above)
	}
	return seen[0]
}

// Point 13. Guards against a configuration that is lost in a race of operators, is not in force everywhere within seconds, or
// reverts when the store comes back with older data.
func TestConfigurationInForceNeverReverts(t *testing.T) {
	d := running(t)
	first := d.inForce(t, 0)
	d.must(t, d.post(d.store().url()+"/standin/v1/snapshots/old", "{}"))

	type result struct {
		code   int
		output string
	}
	results := make(chan result, 2)
	for n, name := range []string{"ana", "beto"} {
		go func() {
			code, out := d.apply(t, name, n+2)
			results <- result{code, out}
		}()
	}
	a, b := <-results, <-results
	switch {
	case a.code == 0 && b.code == 4, a.code == 4 && b.code == 0:
	case a.code == 0 && b.code == 0:
		// One read the configuration after the other had written it, which is no race: both are in the history, one after the other.
		t.Log("the operators did not collide")
	default:
		t.Errorf("racing operators got codes %d and %d: %s\n%s", a.code, b.code, a.output, b.output)
	}
	second := d.inForce(t, first)

	d.must(t, d.post(d.store().url()+"/standin/v1/snapshots/old/restore", "{}"))
	if head, _, err := d.config.Head(t.Context()); err != nil || head.Revision != first {
		t.Errorf("the store does not hold the older data: %+v, %v", head, err)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n, r := range d.revisions(t) {
			if r < second {
				t.Fatalf("%s reverted from revision %d to %d", d.instances[n].name, second, r)
			}
		}
	}
	if code, out := d.apply(t, "carla", 4); code != 0 {
		t.Errorf("apply after the store lost data: code %d: %s", code, out)
	}
	d.inForce(t, second)
}
