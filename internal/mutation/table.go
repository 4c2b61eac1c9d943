package mutation

import (
	"fmt"
	"strings"
)

// Row is an entry with the results of its test.
type Row struct {
	Entry
	// Baseline is the result on the unchanged source; its outcome is empty if it was not run.
	Baseline Result
	Result   Result
}

// Proved reports whether the test fails without the mechanism, and with it does not.
func (r Row) Proved() bool {
	return r.Result.Outcome == Failed && (r.Baseline.Outcome == Passed || r.Baseline.Outcome == "")
}

// Verdict is the text for the table.
func (r Row) Verdict() string {
	switch {
	case r.Result.Outcome == Invalid:
		return "error: " + r.Result.Detail
	case r.Result.Outcome == Passed:
		return "NOT PROVED: the test passes"
	case !r.Proved():
		return "error: on the unchanged source too: " + string(r.Baseline.Outcome)
	case r.Baseline.Outcome == "":
		return "fails; unchanged source not run"
	}
	return "fails"
}

// test is the short name of the entry's test.
func (r Row) test() string {
	return strings.TrimPrefix(r.Package, "./internal/") + " " + r.Run
}

// Markdown returns the rows as a table.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| point | mechanism switched off | test | without it the test | seconds |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %d | %s | `%s` | %s | %.0f |\n", r.Condition, r.Mechanism, strings.ReplaceAll(r.test(), "|", `\|`), r.Verdict(), r.Result.Took.Seconds())
	}
	return b.String()
}
