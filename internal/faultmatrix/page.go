package faultmatrix

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxColumns is the number of faults up to which they are the columns of a table.
const maxColumns = 12

// Read returns the matrices of all files of a directory, sorted by condition. Files of one condition are merged.
func Read(dir string) ([]File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "list fault matrices")
	}
	merged := map[string]*File{}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read fault matrix")
		}
		var f File
		if err := json.Unmarshal(b, &f); err != nil {
			return nil, errors.Wrapf(err, "decode %s", name)
		}
		merge(merged, f)
	}
	return sorted(merged), nil
}

// WithGaps adds the cells of gaps to the results of tests.
func WithGaps(files, gaps []File) []File {
	merged := map[string]*File{}
	for _, f := range append(append([]File{}, files...), gaps...) {
		merge(merged, f)
	}
	return sorted(merged)
}

func sorted(merged map[string]*File) []File {
	out := make([]File, 0, len(merged))
	for _, f := range merged {
		out = append(out, *f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Matrix.Condition < out[j].Matrix.Condition })
	return out
}

func merge(merged map[string]*File, f File) {
	m := merged[f.Matrix.Condition]
	if m == nil {
		merged[f.Matrix.Condition] = &f
		return
	}
	m.Matrix.Steps = union(m.Matrix.Steps, f.Matrix.Steps)
	m.Matrix.Faults = union(m.Matrix.Faults, f.Matrix.Faults)
	m.Cells = append(m.Cells, f.Cells...)
	if m.Matrix.Note == "" {
		m.Matrix.Note = f.Matrix.Note
	}
}

func union(a, b []string) []string {
	for _, s := range b {
		found := false
		for _, have := range a {
			found = found || have == s
		}
		if !found {
			a = append(a, s)
		}
	}
	return a
}

// result returns the worst result of a cell. A cell without a test is not proved.
func (f File) result(step, fault string) string {
	worst := ""
	rank := map[string]int{"": 0, Held: 1, NotProved: 2, Failed: 3}
	for _, c := range f.Cells {
		if c.Step != step || c.Fault != fault {
			continue
		}
		if rank[c.Result] > rank[worst] {
			worst = c.Result
		}
	}
	if worst == "" {
		return NotProved
	}
	return worst
}

// Page returns the Markdown page of the matrices.
func Page(files []File) string {
	var b strings.Builder
	b.WriteString("# Faults\n\nGenerated from test results by `go run ./internal/faultmatrix/cmd`; do not edit.\n\n")
	b.WriteString("A cell holds if the condition held when the fault came while a request was at the step. \"Not proved\" means\nthat no test covers the cell. Matrices without tests are declared in internal/faultmatrix/gaps.go; their notes name the tests that\n" +
		"cover a condition in another way.\n")
	b.WriteString(total(files))
	for _, f := range files {
		f.section(&b)
	}
	return b.String()
}

// total returns the sum over all matrices as a paragraph.
func total(files []File) string {
	counts, cells := map[string]int{}, 0
	for _, f := range files {
		for _, step := range f.Matrix.Steps {
			for _, fault := range f.Matrix.Faults {
				counts[f.result(step, fault)]++
				cells++
			}
		}
	}
	return fmt.Sprintf("\nAll matrices: %d cells, %d held, %d failed, %d not proved.\n", cells, counts[Held], counts[Failed], counts[NotProved])
}

func (f File) section(b *strings.Builder) {
	fmt.Fprintf(b, "\n## %s\n", f.Matrix.Condition)
	if f.Matrix.Note != "" {
		fmt.Fprintf(b, "\n%s\n", f.Matrix.Note)
	}
	counts := map[string]int{}
	cell := func(step, fault string) string {
		result := f.result(step, fault)
		counts[result]++
		return result
	}
	if len(f.Matrix.Faults) <= maxColumns {
		table(b, "step", f.Matrix.Steps, f.Matrix.Faults, cell)
	} else {
		table(b, "fault", f.Matrix.Faults, f.Matrix.Steps, func(fault, step string) string { return cell(step, fault) })
	}
	total := len(f.Matrix.Steps) * len(f.Matrix.Faults)
	fmt.Fprintf(b, "\n%d cells: %d held, %d failed, %d not proved. Tests: %s.\n", total, counts[Held], counts[Failed], counts[NotProved], f.tests())
}

func table(b *strings.Builder, corner string, rows, columns []string, cell func(row, column string) string) {
	fmt.Fprintf(b, "\n| %s | %s |\n|%s\n", corner, strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)+1))
	for _, row := range rows {
		fmt.Fprintf(b, "| %s |", row)
		for _, column := range columns {
			fmt.Fprintf(b, " %s |", cell(row, column))
		}
		b.WriteString("\n")
	}
}

// tests returns the names of the top-level tests behind the matrix.
func (f File) tests() string {
	seen := map[string]bool{}
	var names []string
	for _, c := range f.Cells {
		name := "`" + strings.SplitN(c.Test, "/", 2)[0] + "`"
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
