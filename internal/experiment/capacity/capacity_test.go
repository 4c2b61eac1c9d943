package capacity

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func smallOptions(only ...string) Options {
	return Options{
		Organisations: minOrganisations, Daemons: minDaemons, Endpoints: minEndpoints, Records: minRecords,
		RateTime: 50 * time.Millisecond, Only: only,
	}
}

// Guards against a section that fails, leaves work running, or measures fewer than three sizes of a quantity.
func TestSections(t *testing.T) {
	for _, name := range SectionNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // most sections wait for periods of a daemon
			r, err := Run(t.Context(), smallOptions(name))
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Sections) != 1 || len(r.Sections[0].Series) == 0 {
				t.Fatalf("sections %v", r.Sections)
			}
			for _, s := range r.Sections[0].Series {
				if len(s.Points) < 3 || s.Unit == "" || s.Per == "" {
					t.Errorf("series %q has %d points in %q per %q", s.Name, len(s.Points), s.Unit, s.Per)
				}
			}
		})
	}
}

// Guards against a JSON report that another program cannot read back, or that lacks the machine.
func TestReportAsJSON(t *testing.T) {
	r := &Report{Machine: thisMachine(), Options: smallOptions(), Sections: []Section{{Name: "a"}}}
	if err := r.Sections[0].add("b", "bytes", "daemon", Point{1, 10}, Point{2, 20}, Point{3, 30}); err != nil {
		t.Fatal(err)
	}
	r.Sections[0].fact("c", 7, "bytes")
	var text bytes.Buffer
	if err := r.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(text.Bytes(), &back); err != nil {
		t.Fatal(err)
	}
	series := back.Find("a", "b")
	if series == nil || !near(series.Fit.Slope, 10, 1e-9) || back.Machine.CPUs == 0 || !strings.HasPrefix(back.Machine.Go, "go") {
		t.Errorf("read back: %+v", back)
	}
	if v, ok := back.Fact("a", "c"); !ok || v != 7 {
		t.Errorf("fact is %v, %v", v, ok)
	}
	if back.Find("a", "x") != nil || back.Find("x", "b") != nil {
		t.Error("a series that was not measured is found")
	}
}

// Guards against sizes that leave a section without three different ones, and against a misspelt section that runs nothing.
func TestOptionsAreChecked(t *testing.T) {
	if err := Planned().Validate(); err != nil {
		t.Error(err)
	}
	bad := Options{Only: []string{"no-such-section"}}
	err := bad.Validate()
	if err == nil {
		t.Fatal("no error")
	}
	for _, part := range []string{"organisations", "daemons", "endpoints", "records", "time of a rate", "no-such-section"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not among the findings: %v", part, err)
		}
	}
}

// Guards against a fleet without the planned shape: a region without instances would leave its share of the state out.
func TestFleetShape(t *testing.T) {
	counts := map[string]int{}
	centres := map[string]bool{}
	for _, r := range rowsOf(plannedDaemons) {
		counts[r.Region]++
		centres[r.DataCentre] = true
	}
	if len(counts) != 5 || len(centres) != 15 {
		t.Errorf("%d regions, %d data centres", len(counts), len(centres))
	}
	if ratio := float64(counts[regionName(0)]) / float64(counts[regionName(4)]); ratio < 9 || ratio > 11 {
		t.Errorf("the largest region has %.1f times the instances of the smallest", ratio)
	}
	if n := len(rowsOf(plannedDaemons)); n != plannedDaemons {
		t.Errorf("%d rows", n)
	}
}
