package config

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a place in a configuration file. Line and column count from 1. The zero Position is unknown.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is a fault of a configuration and where it stands.
type Finding struct {
	Position
	Message string `json:"message"`
}

// String returns file:line:column: message.
func (f Finding) String() string {
	if f.File == "" {
		return f.Message
	}
	return f.Position.String() + ": " + f.Message
}

// Findings are all faults that were found together. As an error it lists one on each line.
type Findings []Finding

var _ error = Findings(nil)

// Error lists the findings, one on each line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// err returns the findings as an error, or nil if there are none.
func (fs Findings) err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// collector gathers findings.
type collector struct {
	files    map[string]int // order of the files
	findings Findings
	seen     map[Position]bool
}

func newCollector() *collector {
	return &collector{files: make(map[string]int), seen: make(map[Position]bool)}
}

func (c *collector) addFile(name string) {
	if _, ok := c.files[name]; !ok {
		c.files[name] = len(c.files)
	}
}

func (c *collector) add(pos Position, format string, args ...any) {
	c.seen[pos] = true
	c.findings = append(c.findings, Finding{Position: pos, Message: fmt.Sprintf(format, args...)})
}

// addUnlessFound adds a finding unless the position has one already, which this one would follow from.
func (c *collector) addUnlessFound(pos Position, format string, args ...any) {
	if pos.Line != 0 && c.seen[pos] {
		return
	}
	c.add(pos, format, args...)
}

func (c *collector) sorted() Findings {
	sort.SliceStable(c.findings, func(i, j int) bool {
		a, b := c.findings[i], c.findings[j]
		if a.File != b.File {
			return c.files[a.File] < c.files[b.File]
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return c.findings
}
