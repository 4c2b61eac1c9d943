package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is how often counters are passed on to the reporter.
const metricsInterval = time.Second

// Metrics is the root scope of a process with its page in the Prometheus text format.
type Metrics struct {
	tally.Scope
	// Handler serves the text format.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope whose names start with prefix. Close it to end its reporting goroutine.
func NewMetrics(prefix string, tags map[string]string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(error) {
			// The default panics; a metric that is defined twice must not end the process.
		},
	})
	if reporter == nil {
		return nil, errors.New("create the metrics reporter")
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: sanitizer(),
	}, metricsInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Close reports once more and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitizer allows the characters of instance, region and endpoint names in tag values, which the default replaces.
func sanitizer() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = append([]rune{'-', '.', '/', ' '}, o.ValueCharacters.Characters...)
	return &o
}
