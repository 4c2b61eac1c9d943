// Package orderer sends to endpoints the orders to load and unload models that package orders decides. It holds the lease of its
// region's issuer, reads the state of the endpoints and sends them the orders.
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
	// generationBlock is the number of generations that are reserved in the store at once, so that one write is needed per block
	// and not per order.
	generationBlock = 100
	maxStateBytes   = 1 << 20
	maxLoadsDefault = 2
	// While no change is due, the endpoints of a region are read in turn over idleReadRounds rounds, at least minIdleReads of them
	// in each round. A state takes 330 bytes with its headers, so this takes 3 KB/s at 261 endpoints; reading all in each round would
	// take 87 KB/s, more than the 21 KB/s that a daemon may use.
	idleReadRounds = 30
	minIdleReads   = 8
	// triesPerRound is the average number of candidates of a region that try to acquire the lease in a round. If each tried, the
	// calls to the store would grow with the fleet: 390 of its 2,000 reads/s at 390 instances.
	triesPerRound = 4
	// defaultCandidates is the assumed number of candidates before the instance list was read, as when a whole fleet starts at once.
	defaultCandidates = 40
)

// Options are the settings of a Service.
type Options struct {
	Store       platform.Store
	Source      configsync.Source
	Clock       clock.Clock
	Region      string
	Instance    string
	Incarnation uint64
	// Ended reports whether an incarnation of an instance is known to have ended for good. Nil means that none has.
	Ended func(instance string, incarnation uint64) bool
	// Candidates returns the number of instances of the region that may hold the lease, including this one, or 0 if it is not
	// known yet. Nil means that this is the only one.
	Candidates func() int
	Client     *http.Client  // for calls to endpoints; nil: a client that follows no redirects
	Period     time.Duration // between rounds; 0: DefaultPeriod
	MaxLoads   int           // model loads in progress at once; 0: 2
	Log        *zap.Logger
	Metrics    tally.Scope
}

// Validate returns all problems of the options.
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
