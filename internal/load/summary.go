package load

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	significant      = 3
)

// Row summarises the results of a stream name or an organisation.
type Row struct {
	Name     string
	Sent     int
	Whole    int // complete answers with status 200
	Refused  int // answers that say "not run"
	Limited  int // of these, over the organisation's rate
	Unknown  int
	Broken   int // answers cut short
	NoAnswer int
	Tokens   int
	Remote   int // served in another region than the caller's
	first    *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

// Quantile is a latency at p50, p99 and p99.9.
type Quantile struct {
	P50, P99, P999 time.Duration
}

// FirstToken returns the time to the first token.
func (r *Row) FirstToken() Quantile { return quantile(r.first) }

// Answered is the number of requests with a first token.
func (r *Row) Answered() int { return int(r.first.TotalCount()) }

// BetweenTokens returns the time between tokens.
func (r *Row) BetweenTokens() Quantile { return quantile(r.gaps) }

// Total returns the time to the end of a complete answer.
func (r *Row) Total() Quantile { return quantile(r.total) }

// Goodput is the part of the requests with a complete answer.
func (r *Row) Goodput() float64 {
	if r.Sent == 0 {
		return 1
	}
	return float64(r.Whole) / float64(r.Sent)
}

// Group names the row that a result belongs to.
type Group func(Result) string

// ByStream groups by the streams' names.
func ByStream(r Result) string { return r.Stream.Name }

// ByOrganisation groups by organisation.
func ByOrganisation(r Result) string { return r.Stream.Organisation }

// ByStreamAndRegion groups by the streams' names and the callers' regions.
func ByStreamAndRegion(r Result) string { return r.Stream.Name + " " + r.Stream.Region }

// Summarise adds results up into rows, ordered by name.
func Summarise(results []Result, group Group) []*Row {
	rows := make(map[string]*Row)
	for _, r := range results {
		if r.Stream == nil {
			continue // not sent: the run was cut short
		}
		name := group(r)
		row, ok := rows[name]
		if !ok {
			row = newRow(name)
			rows[name] = row
		}
		row.add(r)
	}
	out := make([]*Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, row)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// EmptyRow returns a row without requests.
func EmptyRow(name string) *Row { return newRow(name) }

func newRow(name string) *Row {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significant) }
	return &Row{Name: name, first: h(), gaps: h(), total: h()}
}

func (r *Row) add(res Result) {
	r.Sent++
	r.Tokens += res.Tokens
	if res.ServedRegion != "" && res.ServedRegion != res.Stream.Region {
		r.Remote++
	}
	switch {
	case res.Status == 0:
		r.NoAnswer++
	case res.Status == http.StatusOK && res.Whole:
		r.Whole++
		record(r.total, res.Total)
	case res.Status == http.StatusOK:
		r.Broken++
	case res.Execution == "not-run":
		r.Refused++
	default:
		r.Unknown++
	}
	if res.Status == http.StatusTooManyRequests {
		r.Limited++
	}
	if res.FirstToken > 0 {
		record(r.first, res.FirstToken)
	}
	for _, gap := range res.Gaps {
		record(r.gaps, gap)
	}
}

// record clamps a latency into the histogram's range, so that no value is lost.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The clamped value is always in range, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func quantile(h *hdrhistogram.Histogram) Quantile {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantile{P50: at(50), P99: at(99), P999: at(99.9)}
}

// WriteTable prints rows. Times are in milliseconds as p50/p99/p99.9.
func WriteTable(w io.Writer, title string, rows []*Row) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tsent\twhole\trefused\tlimited\tunknown\tbroken\tno answer\tremote\tfirst token ms\tbetween tokens ms\ttotal ms\n", title)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\n", r.Name, r.Sent, r.Whole, r.Refused, r.Limited,
			r.Unknown, r.Broken, r.NoAnswer, 100*float64(r.Remote)/float64(max(r.Sent, 1)),
			r.FirstToken(), r.BetweenTokens(), r.Total())
	}
	return t.Flush()
}

// String gives the three latencies in milliseconds.
func (q Quantile) String() string {
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
	return strings.Join([]string{ms(q.P50), ms(q.P99), ms(q.P999)}, "/")
}
