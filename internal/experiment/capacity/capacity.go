package capacity

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes planned in two years, docs/design.md section 1.
const (
	plannedOrganisations = 34_000
	plannedDaemons       = 390
	plannedEndpoints     = 600
	plannedRecords       = 240_000 // bound of a daemon, operations.DefaultOptions
)

// Options of a run. Each size is the largest that is measured; smaller ones are fractions of it.
type Options struct {
	Organisations int `json:"organisations"`
	Daemons       int `json:"daemons"`
	Endpoints     int `json:"endpoints"`
	Records       int `json:"records"`
	// RateTime is how long each rate of requests or operations is offered.
	RateTime time.Duration `json:"rate_time_ns"`
	// Only holds the names of the sections to run. Empty: all.
	Only []string `json:"only,omitempty"`
}

// Planned returns the sizes of two years.
func Planned() Options {
	return Options{Organisations: plannedOrganisations, Daemons: plannedDaemons, Endpoints: plannedEndpoints, Records: plannedRecords, RateTime: defaultRateTime}
}

// defaultRateTime gives 20 operations at the lowest rate.
const defaultRateTime = time.Second

// Smallest sizes at which all sections still have three different ones.
const (
	minOrganisations = 200
	minDaemons       = 24
	minEndpoints     = 24
	minRecords       = 100
)

// Validate returns all findings joined.
func (o Options) Validate() error {
	var findings []error
	check := func(name string, value, smallest int) {
		if value < smallest {
			findings = append(findings, errors.Newf("%s is %d, the smallest size is %d", name, value, smallest))
		}
	}
	check("organisations", o.Organisations, minOrganisations)
	check("daemons", o.Daemons, minDaemons)
	check("endpoints", o.Endpoints, minEndpoints)
	check("records", o.Records, minRecords)
	if o.RateTime <= 0 {
		findings = append(findings, errors.New("the time of a rate is not positive"))
	}
	for _, name := range o.Only {
		if !slices.Contains(SectionNames(), name) {
			findings = append(findings, errors.Newf("section %q does not exist, there are %s", name, strings.Join(SectionNames(), ", ")))
		}
	}
	return errors.Join(findings...)
}

type experiment struct {
	name string
	run  func(ctx context.Context, o Options, s *Section) error
}

var experiments = []experiment{
	{"configuration", measureConfiguration},
	{"ledger", measureLedger},
	{"membership", measureMembership},
	{"records", measureRecords},
	{"slots", measureSlots},
	{"relay", measureRelay},
	{"restart", measureRestart},
	{"sessions", measureWire},
	{"polling", measurePolling},
	{"orders", measureOrders},
	{"requests", measureRequests},
}

// SectionNames returns the names of all sections in the order in which they run.
func SectionNames() []string {
	names := make([]string, len(experiments))
	for i, e := range experiments {
		names[i] = e.name
	}
	return names
}

// Run measures the sections one after the other.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	r := &Report{Machine: thisMachine(), Started: time.Now().UTC(), Options: o}
	for _, e := range experiments {
		if len(o.Only) > 0 && !slices.Contains(o.Only, e.name) {
			continue
		}
		s := Section{Name: e.name}
		start := time.Now()
		if err := e.run(ctx, o, &s); err != nil {
			return nil, errors.Wrapf(err, "section %s", e.name)
		}
		s.Elapsed = time.Since(start)
		r.Sections = append(r.Sections, s)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.PeakHeap = m.Sys
	return r, nil
}
