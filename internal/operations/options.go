package operations

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Options are the settings and collaborators of a Service.
type Options struct {
	Network peer.Network
	Store   platform.Store
	Slots   Slots
	Config  configsync.Source
	Runner  Runner
	Clock   clock.Clock
	// Wall gives the time that keys are compared with.
	Wall func() time.Time
	// Secrets are the cluster secrets: the first signs, all are accepted. A secret must stay accepted for 26 hours
	// after another one has become the first, since the records of that time are hashed with it.
	Secrets [][]byte
	Logger  *zap.Logger

	// MaxRecords bounds the records in memory over all slots and issued ids.
	MaxRecords int
	// MaxAnswerBytes and MaxAnswers bound the first answers held for repeats.
	MaxAnswerBytes int
	MaxAnswers     int
	// StoreTimeout ends a store call. The outcome of a write is unknown then.
	StoreTimeout time.Duration
	// RunTimeout ends a run whose caller has set no deadline.
	RunTimeout time.Duration
	// ReopenDelay is the pause before an owned slot is taken over again after another instance has sealed its log.
	ReopenDelay time.Duration
	// Log holds the timing of the slot logs. Identity and bounds are filled in.
	Log atmostonce.LogOptions
}

// DefaultOptions returns the options used in production, without collaborators and secrets.
func DefaultOptions() Options {
	return Options{
		Clock:  clock.Boot{},
		Wall:   time.Now,
		Logger: zap.NewNop(),
		// 85 bytes a record measured: 26 MB, so that records and answers leave half of the 64 MB for other control state.
		MaxRecords:     300_000,
		MaxAnswerBytes: 8 << 20,
		MaxAnswers:     20_000,
		StoreTimeout:   time.Second,
		RunTimeout:     5 * time.Minute,
		ReopenDelay:    time.Second,
		Log:            atmostonce.DefaultLogOptions(),
	}
}

// Validate returns all findings.
func (o Options) Validate() error {
	var errs error
	check := func(ok bool, finding string) {
		if !ok {
			errs = errors.Join(errs, errors.New(finding))
		}
	}
	check(o.Network != nil, "operations: no peer network")
	check(o.Store != nil, "operations: no store")
	check(o.Slots != nil, "operations: no slots")
	check(o.Config != nil, "operations: no configuration source")
	check(o.Runner != nil, "operations: no runner")
	check(o.Clock != nil && o.Wall != nil, "operations: no clock")
	check(o.Logger != nil, "operations: no logger")
	check(o.MaxRecords > 0, "operations: the bound of records is not positive")
	check(o.MaxAnswerBytes >= 0 && o.MaxAnswers >= 0, "operations: a bound of held answers is negative")
	check(o.StoreTimeout > 0 && o.RunTimeout > 0 && o.ReopenDelay > 0, "operations: a timeout is not positive")
	check(o.Log.MaxClaims > 0 && o.Log.MaxQueue > 0 && o.Log.Patience > 0 && o.Log.StoreRetry > 0,
		"operations: a bound or delay of the slot logs is not positive")
	_, err := atmostonce.NewSecrets(o.Secrets...)
	return errors.Join(errs, err)
}
