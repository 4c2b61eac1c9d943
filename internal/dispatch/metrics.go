package dispatch

import "github.com/uber-go/tally/v4"

// metrics counts what the dispatcher does with requests.
type metrics struct {
	attempts      tally.Counter // requests sent to endpoints, first attempts included
	failures      tally.Counter // attempts that failed at the endpoint
	retries       tally.Counter // retries and hedges taken from the budget
	denied        tally.Counter // retries and hedges that the budget did not allow
	resumes       tally.Counter // streams resumed at the same endpoint
	shed          tally.Counter // requests rejected because they waited or would wait too long
	missedReports tally.Counter // failed polls for load reports
	queued        tally.Gauge   // waiting requests
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		attempts:      scope.Counter("attempts"),
		failures:      scope.Counter("failures"),
		retries:       scope.Counter("retries"),
		denied:        scope.Counter("retries_denied"),
		resumes:       scope.Counter("resumes"),
		shed:          scope.Counter("shed"),
		missedReports: scope.Counter("reports_missed"),
		queued:        scope.Gauge("queued"),
	}
}
