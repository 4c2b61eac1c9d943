package serving

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

const (
	// controlLimit is the limit of a daemon's control traffic in bytes a second, both directions together.
	controlLimit = 21_000
)

// ControlRow is the mean control traffic of an instance.
type ControlRow struct {
	Instance string
	// PerSecond holds the bytes a second of each kind, both directions together.
	PerSecond map[string]float64
	// Sent and Received are the sums over the kinds in bytes a second.
	Sent, Received float64
}

// controlReading holds the totals of all instances at a time.
type controlReading struct {
	at     time.Time
	totals map[string]map[string]traffic.Bytes // by instance and kind
}

func readControl(s *site.Site) controlReading {
	r := controlReading{time.Now(), map[string]map[string]traffic.Bytes{}}
	for _, i := range s.Instances {
		r.totals[i.Name] = i.Daemon.ControlTraffic()
	}
	return r
}

func (r controlReading) since(before controlReading) []ControlRow {
	seconds := r.at.Sub(before.at).Seconds()
	var rows []ControlRow
	for instance, kinds := range r.totals {
		row := ControlRow{Instance: instance, PerSecond: map[string]float64{}}
		for kind, b := range kinds {
			was := before.totals[instance][kind]
			sent, received := float64(b.Sent-was.Sent)/seconds, float64(b.Received-was.Received)/seconds
			row.PerSecond[kind] = sent + received
			row.Sent += sent
			row.Received += received
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Instance < rows[j].Instance })
	return rows
}

// controlAtRest counts the traffic of the deployment before its load for d.
func controlAtRest(ctx context.Context, s *site.Site, d time.Duration) ([]ControlRow, error) {
	before := readControl(s)
	if err := clock.Sleep(ctx, d); err != nil {
		return nil, err
	}
	return readControl(s).since(before), nil
}

func (r *Result) writeControl(w io.Writer) error {
	for _, part := range []struct {
		name string
		rows []ControlRow
	}{{"under load", r.Control}, {"at rest", r.Rest}} {
		fmt.Fprintf(w, "\ncontrol traffic %s, KB/s of each instance, both directions:\n\n", part.name)
		if err := writeControlTable(w, part.rows); err != nil {
			return err
		}
	}
	return nil
}

// WriteControl prints the instance with the most control traffic of each run.
func WriteControl(w io.Writer, results []*Result) error {
	for _, r := range results {
		load, rest := highest(r.Control), highest(r.Rest)
		_, err := fmt.Fprintf(w, "%s, %s: control traffic at most %.1f KB/s under load (%s), %.1f at rest (%s), limit %.0f\n", r.Options.Scenario.Name,
			r.Options.Policy.Name, load.total()/1000, load.Instance, rest.total()/1000, rest.Instance, controlLimit/1000.0)
		if err != nil {
			return err
		}
	}
	return nil
}

func (r ControlRow) total() float64 { return r.Sent + r.Received }

func highest(rows []ControlRow) ControlRow {
	return slices.MaxFunc(rows, func(a, b ControlRow) int { return cmp.Compare(a.total(), b.total()) })
}

func writeControlTable(w io.Writer, rows []ControlRow) error {
	seen := map[string]bool{}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "kind")
	for _, row := range rows {
		fmt.Fprintf(t, "\t%s", row.Instance)
		for kind, rate := range row.PerSecond {
			seen[kind] = seen[kind] || rate > 0
		}
	}
	fmt.Fprintln(t)
	var kinds []string
	for kind, used := range seen {
		if used {
			kinds = append(kinds, kind)
		}
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprint(t, kind)
		for _, row := range rows {
			fmt.Fprintf(t, "\t%.2f", row.PerSecond[kind]/1000)
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "sum (sent + received)")
	for _, row := range rows {
		over := ""
		if row.total() > controlLimit {
			over = " OVER"
		}
		fmt.Fprintf(t, "\t%.2f (%.2f + %.2f)%s", row.total()/1000, row.Sent/1000, row.Received/1000, over)
	}
	fmt.Fprintln(t)
	return t.Flush()
}
