// Package capacity measures how the state, messages and times of each part grow with the size of the system. It runs the real
// packages and codecs at three sizes or more and fits a line through each series. docs/CAPACITY.md multiplies the slopes.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Machine says where a run took place.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	OS   string `json:"os"`
	Arch string `json:"arch"`
}

// Series is one quantity at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"` // of the values
	Per    string  `json:"per"`  // unit of the sizes
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Fact is one quantity at the planned size.
type Fact struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Section is what one experiment has measured.
type Section struct {
	Name    string        `json:"name"`
	Series  []Series      `json:"series"`
	Facts   []Fact        `json:"facts,omitempty"`
	Elapsed time.Duration `json:"elapsed_ns"`
}

// Report is the result of a run.
type Report struct {
	Machine  Machine   `json:"machine"`
	Started  time.Time `json:"started"`
	Options  Options   `json:"options"`
	Sections []Section `json:"sections"`
	PeakHeap uint64    `json:"peak_heap_bytes"` // largest memory that the process has taken from the system
}

func thisMachine() Machine {
	return Machine{CPUs: runtime.NumCPU(), Go: runtime.Version(), OS: runtime.GOOS, Arch: runtime.GOARCH}
}

// add fits a series and appends it.
func (s *Section) add(name, unit, per string, points ...Point) error {
	fit, err := FitLine(points)
	if err != nil {
		return errors.Wrapf(err, "series %q", name)
	}
	s.Series = append(s.Series, Series{Name: name, Unit: unit, Per: per, Points: points, Fit: fit})
	return nil
}

func (s *Section) fact(name string, value float64, unit string) {
	s.Facts = append(s.Facts, Fact{name, value, unit})
}

// Find returns a series by the names of its section and itself, or nil.
func (r *Report) Find(section, series string) *Series {
	for i := range r.Sections {
		if r.Sections[i].Name != section {
			continue
		}
		for j := range r.Sections[i].Series {
			if r.Sections[i].Series[j].Name == series {
				return &r.Sections[i].Series[j]
			}
		}
	}
	return nil
}

// Fact returns the value of a fact, false if it was not measured.
func (r *Report) Fact(section, name string) (float64, bool) {
	for _, s := range r.Sections {
		for _, f := range s.Facts {
			if s.Name == section && f.Name == name {
				return f.Value, true
			}
		}
	}
	return 0, false
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d CPUs, %s %s/%s, %s\n", r.Machine.CPUs, r.Machine.Go, r.Machine.OS, r.Machine.Arch, r.Started.Format(time.RFC3339))
	for _, s := range r.Sections {
		fmt.Fprintf(t, "\n%s (%.1f s)\n", s.Name, s.Elapsed.Seconds())
		for _, x := range s.Series {
			fmt.Fprintf(t, "  %s\t%s + %s %s per %s\tresidual %.0f%%\t%s\t%s\n", x.Name, number(x.Fit.Intercept), number(x.Fit.Slope),
				x.Unit, x.Per, 100*x.Fit.Residual, bendText(x), pointsText(x.Points))
		}
		for _, f := range s.Facts {
			fmt.Fprintf(t, "  %s\t%s %s\n", f.Name, number(f.Value), f.Unit)
		}
	}
	fmt.Fprintf(t, "\nmemory taken from the system\t%s bytes\n", number(float64(r.PeakHeap)))
	return t.Flush()
}

func bendText(s Series) string {
	if s.Fit.Bend == 0 {
		return "straight"
	}
	return fmt.Sprintf("bends at %s to %s", number(s.Fit.Bend), number(s.Fit.BendSlope))
}

func pointsText(points []Point) string {
	text := ""
	for _, p := range points {
		text += fmt.Sprintf("%s:%s ", number(p.Size), number(p.Value))
	}
	return text
}

// number prints four significant digits without an exponent.
func number(x float64) string {
	if math.Abs(x) >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.4g", x)
}
