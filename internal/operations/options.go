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
	// MaxBytes bounds records and answers together. The oldest answers give way to records.
	MaxBytes int
	// StoreTimeout ends a store call. The outcome of a write is unknown then.
	StoreTimeout time.Duration
	// RunTimeout ends a run whose caller has set no deadline.
	RunTimeout time.Duration
	// ReopenDelay is the pause before an owned slot is taken over again after another instance has sealed its log.
	ReopenDelay time.Duration
	// Log holds the timing of the slot logs. Identity and bounds are filled in.
	Log atmostonce.LogOptions
}

// recordBytes is the memory of a record, measured: 87 bytes at 240,000, 73 at 300,000, depending on the growth of the maps.
const recordBytes = 87

// DefaultOptions returns the options used in production, without collaborators and secrets.
func DefaultOptions() Options {
	return Options{
		Clock:  clock.Boot{},
		Wall:   time.Now,
		Logger: zap.NewNop(),
		// Other control state takes 41 MB of 64 MB in the largest planned region (docs/CAPACITY.md), which leaves 2 MB spare
		// here. 240,000 records a daemon over 25 h are 1,040 operations/s of 390 daemons, where the store takes 80.
		MaxRecords:     240_000,
		MaxAnswerBytes: 8 << 20,
		MaxAnswers:     20_000,
		MaxBytes:       21_000_000,
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
	check(o.MaxBytes >= o.MaxRecords*recordBytes, "operations: the bound of bytes does not hold the bound of records")
	check(o.MaxAnswerBytes >= 0 && o.MaxAnswers >= 0, "operations: a bound of held answers is negative")
	check(o.StoreTimeout > 0 && o.RunTimeout > 0 && o.ReopenDelay > 0, "operations: a timeout is not positive")
	check(o.Log.MaxClaims > 0 && o.Log.MaxQueue > 0 && o.Log.ClaimTimeout > 0 && o.Log.StoreRetryDelay > 0,
		"operations: a bound or delay of the slot logs is not positive")
	_, err := atmostonce.NewSecrets(o.Secrets...)
	return errors.Join(errs, err)
}
