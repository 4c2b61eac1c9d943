// Package faultmatrix collects the results of tests that apply each fault at each step of a protocol, so that
// docs/FAULTS.md can be generated from test runs.
package faultmatrix

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
)

// DirVariable names the environment variable with the directory that results are written to.
const DirVariable = "DOGWOODKNOT_FAULTS_DIR"

// Results of cells.
const (
	Held      = "held"
	Failed    = "failed"
	NotProved = "not proved"
)

// Cell is one step with one fault.
type Cell struct {
	Condition string `json:"condition"`
	Step      string `json:"step"`
	Fault     string `json:"fault"`
	Test      string `json:"test"`
	Result    string `json:"result"`
	Note      string `json:"note,omitempty"`
}

// Matrix is a condition that must hold whichever fault comes at whichever step.
type Matrix struct {
	Condition string `json:"condition"`
	// Note says how the tests bring the faults about, and what they leave out.
	Note   string   `json:"note,omitempty"`
	Steps  []string `json:"steps"`
	Faults []string `json:"faults"`
}

// File is what a test run writes: the cells that it should have and those it has.
type File struct {
	Matrix Matrix `json:"matrix"`
	Cells  []Cell `json:"cells"`
}

// Run runs f as a parallel subtest for each cell and writes the results if DirVariable is set. A cell that a -run
// pattern leaves out is missing from the file and counts as not proved.
func (m Matrix) Run(t *testing.T, f func(t *testing.T, step, fault string)) {
	t.Helper()
	var mu sync.Mutex
	var cells []Cell
	for _, step := range m.Steps {
		for _, fault := range m.Faults {
			t.Run(step+"/"+fault, func(t *testing.T) {
				t.Parallel()
				t.Cleanup(func() {
					mu.Lock()
					defer mu.Unlock()
					cells = append(cells, Cell{m.Condition, step, fault, t.Name(), result(t), ""})
				})
				f(t, step, fault)
			})
		}
	}
	t.Cleanup(func() {
		if err := write(m, t.Name(), cells); err != nil {
			t.Error(err)
		}
	})
}

func result(t *testing.T) string {
	switch {
	case t.Failed():
		return Failed
	case t.Skipped():
		return NotProved
	}
	return Held
}

func write(m Matrix, test string, cells []Cell) error {
	dir := os.Getenv(DirVariable)
	if dir == "" {
		return nil
	}
	b, err := json.MarshalIndent(File{m, cells}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode fault matrix")
	}
	name := strings.ReplaceAll(test, "/", "_") + ".json"
	return errors.Wrap(os.WriteFile(filepath.Join(dir, name), append(b, '\n'), 0o644), "write fault matrix")
}
