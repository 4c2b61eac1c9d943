package faultmatrix

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a page that counts a missing or failed cell as held.
func TestPage(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(DirVariable, dir)
	m := Matrix{Condition: "runs once", Steps: []string{"send", "answer"}, Faults: []string{"crash", "cut"}}
	for test, cells := range map[string][]Cell{
		"TestA": {{m.Condition, "send", "crash", "TestA/send/crash", Held, ""}, {m.Condition, "send", "cut", "TestA/send/cut", Held, ""}},
		"TestB": {{m.Condition, "send", "cut", "TestB/send/cut", Failed, ""}, {m.Condition, "answer", "cut", "TestB/answer/cut", NotProved, ""}},
	} {
		if err := write(m, test, cells); err != nil {
			t.Fatal(err)
		}
	}
	files, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	page := Page(files)
	for _, want := range []string{
		"| step | crash | cut |\n",
		"| send | held | failed |\n",
		"| answer | not proved | not proved |\n",
		"4 cells: 1 held, 1 failed, 2 not proved. Tests: `TestA`, `TestB`.",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q:\n%s", want, page)
		}
	}
}

// Guards against a gap that is not on the page, one that hides a test's result, and one that is listed twice.
func TestGapsAreOnThePage(t *testing.T) {
	gaps := Gaps()
	if len(gaps) == 0 {
		t.Fatal("no gaps are declared")
	}
	seen := map[string]bool{}
	for _, g := range gaps {
		m := g.Matrix
		if seen[m.Condition] {
			t.Errorf("%q is declared twice", m.Condition)
		}
		seen[m.Condition] = true
		if len(m.Steps) == 0 || len(m.Faults) == 0 || len(g.Cells) > 0 {
			t.Errorf("%q: %d steps, %d faults, %d results", m.Condition, len(m.Steps), len(m.Faults), len(g.Cells))
		}
	}
	first := gaps[0].Matrix
	tested := File{
		Matrix: Matrix{Condition: first.Condition, Steps: first.Steps[:1], Faults: first.Faults[:1]},
		Cells:  []Cell{{first.Condition, first.Steps[0], first.Faults[0], "TestHandover/x", Held, ""}},
	}
	cells := 0
	for _, g := range gaps {
		cells += len(g.Matrix.Steps) * len(g.Matrix.Faults)
	}
	page := Page(WithGaps([]File{tested}, gaps))
	for _, want := range []string{
		fmt.Sprintf("All matrices: %d cells, 1 held, 0 failed, %d not proved.", cells, cells-1),
		fmt.Sprintf("%d cells: 1 held, 0 failed, %d not proved. Tests: `TestHandover`.", len(first.Steps)*len(first.Faults), len(first.Steps)*len(first.Faults)-1),
	} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	for _, g := range gaps {
		if !strings.Contains(page, "\n## "+g.Matrix.Condition+"\n") {
			t.Errorf("page lacks %q", g.Matrix.Condition)
		}
	}
}
