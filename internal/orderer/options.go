// Package orderer sends the orders that package orders decides: it holds the issuer's lease of its region, reads the state
// of the endpoints back and carries orders to them.
package orderer

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Defaults and limits.
const (
	DefaultPeriod = time.Second
	leaseTTL      = 15 * time.Second
	renewEvery    = 5 * time.Second
	storeTimeout  = 2 * time.Second
	readTimeout   = time.Second
	// generationBlock is how many generations are reserved in the store at once, so that a write is needed per block and
	// not per order.
	generationBlock = 100
	maxStateBytes   = 1 << 20
	maxLoadsDefault = 2
	// A state takes 330 bytes with its headers. While nothing is to be changed, a region's endpoints are read over quietRounds,
	// minQuietReads of them a round at least: 3 KB/s at 261 endpoints, where reading all takes 87 KB/s of a daemon's 21.
	quietRounds   = 30
	minQuietReads = 8
	// bidsPerRound is how many candidates of a region look for the lease in a round, on average. With one look of each, the
	// store's calls would grow with the fleet: 390 reads/s of 2,000 at 390 instances.
	bidsPerRound = 4
	// unknownCandidates is taken for their number before the instance list was read, as when a whole fleet starts at once.
	unknownCandidates = 40
)

// Options are the settings of a Service.
type Options struct {
	Store       platform.Store
	Source      configsync.Source
	Clock       clock.Clock
	Region      string
	Instance    string
	Incarnation uint64
	// Ended reports whether an incarnation is known to have ended for good. Nil: never known.
	Ended func(instance string, incarnation uint64) bool
	// Candidates returns the number of instances of the region that may hold the lease, this one included, 0 if it is not
	// known yet. Nil: this is the only one.
	Candidates func() int
	Client     *http.Client  // towards endpoints; nil: a client without redirects
	Period     time.Duration // between rounds; 0: DefaultPeriod
	MaxLoads   int           // loads under way at once; 0: 2
	Log        *zap.Logger
	Metrics    tally.Scope
}

// Validate returns every problem of the options.
func (o Options) Validate() []error {
	var problems []error
	if o.Store == nil || o.Source == nil || o.Clock == nil || o.Log == nil || o.Metrics == nil {
		problems = append(problems, errors.New("orders need a store, a configuration source, a clock, a logger and metrics"))
	}
	if o.Region == "" || o.Instance == "" {
		problems = append(problems, errors.New("orders need the region and name of the instance"))
	}
	if o.Period < 0 || o.MaxLoads < 0 {
		problems = append(problems, errors.New("period and load limit must not be negative"))
	}
	return problems
}

func (o Options) withDefaults() Options {
	if o.Period == 0 {
		o.Period = DefaultPeriod
	}
	if o.MaxLoads == 0 {
		o.MaxLoads = maxLoadsDefault
	}
	if o.Ended == nil {
		o.Ended = func(string, uint64) bool { return false }
	}
	if o.Candidates == nil {
		o.Candidates = func() int { return 1 }
	}
	if o.Client == nil {
		o.Client = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	return o
}
