package faultmatrix

import (
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
