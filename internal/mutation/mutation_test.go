package mutation

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

// Guards against entries whose original text has changed or moved, which would no longer switch anything off.
func TestEntriesApply(t *testing.T) {
	for _, e := range Entries {
		if _, err := e.Apply(root); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a condition without an entry that runs real processes, and against names that differ from the design page's.
func TestEveryConditionHasAnEntry(t *testing.T) {
	design, err := os.ReadFile(filepath.Join(root, "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	for n, name := range Conditions {
		if !strings.Contains(string(design), fmt.Sprintf("\n%d. %s\n", n, name)) {
			t.Errorf("docs/design.md has no condition %d: %s", n, name)
		}
		found := false
		for _, e := range Entries {
			found = found || e.Condition == n && e.Package == integration
		}
		if !found {
			t.Errorf("condition %d has no entry with an integration test", n)
		}
	}
	for _, e := range Entries {
		if Conditions[e.Condition] == "" {
			t.Errorf("%s: there is no condition %d", e.Mechanism, e.Condition)
		}
	}
}

// Guards against an entry that names a test that does not exist: go test would run nothing.
func TestEntriesNameTests(t *testing.T) {
	for _, e := range Entries {
		name, _, _ := strings.Cut(e.Run, "/")
		if !regexp.MustCompile(`^\^Test\w+\$$`).MatchString(name) {
			t.Errorf("%s: pattern %q names no single test", e.Mechanism, e.Run)
		}
		files, err := filepath.Glob(filepath.Join(root, e.Package, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, f := range files {
			content, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			found = found || strings.Contains(string(content), "\nfunc "+strings.Trim(name, "^$")+"(t *testing.T)")
		}
		if !found {
			t.Errorf("%s: %s has no test %s", e.Mechanism, e.Package, name)
		}
	}
}

// Guards against a run that did not test anything and counts as a failing test.
func TestClassify(t *testing.T) {
	const run = `{"Action":"run","Test":"TestA"}` + "\n"
	failed := errors.New("exit status 1")
	for _, c := range []struct {
		name, output string
		err          error
		want         Outcome
	}{
		{"fails", run + `{"Action":"output","Test":"TestA","Output":"a_test.go:3: two answers\n"}` + "\n" + `{"Action":"fail","Test":"TestA"}` + "\n", failed, Failed},
		{"passes", run + `{"Action":"pass","Test":"TestA"}` + "\n", nil, Passed},
		{"no test", `{"Action":"pass"}` + "\n", nil, Invalid},
		{"build", `{"Action":"output","Output":"FAIL\tx [build failed]\n"}` + "\n" + `{"Action":"fail"}` + "\n", failed, Invalid},
		{"build of the binaries", run + `{"Action":"output","Test":"TestA","Output":"deployment_test.go:1: deployment did not start: build: exit status 1\n"}` + "\n" + `{"Action":"fail","Test":"TestA"}` + "\n", failed, Invalid},
		{"timeout", run + `{"Action":"output","Test":"TestA","Output":"panic: test timed out after 4m0s\n"}` + "\n" + `{"Action":"fail","Test":"TestA"}` + "\n", failed, Invalid},
		{"panic", run + `{"Action":"output","Test":"TestA","Output":"panic: nil map\n"}` + "\n" + `{"Action":"fail","Test":"TestA"}` + "\n", failed, Invalid},
		{"process ended", run, failed, Invalid},
	} {
		if got := classify([]byte(c.output), c.err); got.Outcome != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against a table that counts a test that fails anyway, or passes, as a proof.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		baseline, outcome Outcome
		proved            bool
	}{
		{Passed, Failed, true}, {"", Failed, true}, {Failed, Failed, false}, {Invalid, Failed, false}, {Passed, Passed, false}, {Passed, Invalid, false},
	} {
		r := Row{Baseline: Result{Outcome: c.baseline}, Result: Result{Outcome: c.outcome}}
		if r.Proved() != c.proved || c.proved != strings.HasPrefix(r.Verdict(), "fails") {
			t.Errorf("unchanged %q, switched off %q: %s", c.baseline, c.outcome, r.Verdict())
		}
	}
}
