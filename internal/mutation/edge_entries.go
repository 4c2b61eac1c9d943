package mutation

// edgeEntries switch off what keeps the rules of the edge daemon, with tests that need no bench.
var edgeEntries = []Entry{
	{
		Condition: 1, Mechanism: "edge: only home regions serve a bound request",
		File:     "internal/edge/exchange.go",
		Original: "return !x.declined[region] && (!x.homeBound || slices.Contains(x.homes, region))", Replacement: "return !x.declined[region]",
		Package: "./platform", Run: "^TestHomeBoundRequestsRunInHomeRegion$",
	},
	{
		Condition: 7, Mechanism: "edge: a request is covered by the organisation's level",
		File:     "internal/core/fleetquota/fleetquota.go",
		Original: "if a.level < need {", Replacement: "if false && a.level < need {",
		Package: "./internal/core/fleetquota", Run: "^TestHotOrganisationStaysWithinItsRate$",
	},
	{
		Condition: 8, Mechanism: "edge: answers to other requests are passed over",
		File:     "internal/endpointconn/conn.go",
		Original: `if id == "" || id == req.ID {`, Replacement: `if id == "" || id != "" {`,
		Package: "./internal/endpointconn", Run: "^TestAnswersToOtherRequestsAreSkipped$",
	},
	{
		Condition: 10, Mechanism: "edge: a request that may have run is not sent again unless it may be repeated",
		File:     "internal/edge/exchange.go",
		Original: "if f.kind.mayHaveRun() && !x.route.Retryable() {", Replacement: "if false {",
		Package: "./platform", Run: "^TestNonIdempotentRequestsRunOnce$",
	},
	{
		Condition: 9, Mechanism: "edge: a status that promises not run is passed on only if its endpoint states it",
		File:     "internal/edge/attempt.go",
		Original: "case promisesNotRun(status):", Replacement: "case promisesNotRun(status) && head.NotRun:",
		Package: "./platform", Run: "^TestAttemptsThatMayHaveRunAreCounted$",
	},
	{
		Condition: 9, Mechanism: "a resume that was not sent does not make its stream one that was not sent",
		File:     "internal/dispatch/model.go",
		Original: "err = resumeFailure(resumeErr)", Replacement: "err = resumeErr",
		Package: "./internal/dispatch", Run: "^TestUnsentResumeIsNotAnUnsentStream$",
	},
	{
		Condition: 10, Mechanism: "edge: an attempt that may have run counts toward max_attempts",
		File:     "internal/edge/attempt.go",
		Original: "return k == notRun || k.mayHaveRun()", Replacement: "return k == notRun",
		Package: "./platform", Run: "^TestAttemptsThatMayHaveRunAreCounted$",
	},
	{
		Condition: 10, Mechanism: "edge: a declined attempt counts toward max_attempts",
		File:     "internal/edge/attempt.go",
		Original: "return k == notRun || k.mayHaveRun()", Replacement: "return k.mayHaveRun()",
		Package: "./platform", Run: "^TestAttemptsThatMayHaveRunAreCounted$",
	},
	{
		Condition: 12, Mechanism: "edge: a stopping instance refuses what may outlast it",
		File:     "internal/edge/exchange.go",
		Original: "end > 0 && x.deadline > end", Replacement: "end < 0 && x.deadline > end",
		Package: "./platform", Run: "^TestStoppingInstanceAdmitsShortRequestsOnly$",
	},
	{
		Condition: 13, Mechanism: "edge: only a higher version is accepted",
		File:     "internal/edge/state.go",
		Original: "if next.Version <= s.version() {", Replacement: "if next.Version < 0 {",
		Package: "./platform", Run: "^TestOperatorsChanges$",
	},
	{
		Condition: 3, Mechanism: "edge: streams of an ended session rest",
		File:     "internal/peer/streams.go",
		Original: "\tc.streams.end()\n", Replacement: "",
		Package: "./internal/peer", Run: "^TestStreamsOfAnEndedSessionRest$",
	},
	{
		Condition: 12, Mechanism: "edge: a planned stop ends the streams of state",
		File:     "internal/edge/reporting.go",
		Original: "func() { _ = stream.Close() }", Replacement: "func() {}",
		Package: "./internal/edge", Run: "^TestServedStreamsEndWithTheInstance$",
	},
	{
		Condition: 7, Mechanism: "edge: a part of the rates is kept for an instance that has gone silent",
		File:     "internal/core/fleetview/silent.go",
		Original: "if now.Sub(s.lastReceived) > fleetquota.UnresponsiveAfter {", Replacement: "if false {",
		Package: "./internal/core/fleetview", Run: "^TestUnresponsiveInstancesAreListed$",
	},
	{
		Condition: 7, Mechanism: "edge: a new root keeps a part of the rates for those that it has not heard",
		File:     "internal/core/fleetview/silent.go",
		Original: "if len(names) == 0 {", Replacement: "if len(names) >= 0 {",
		Package: "./internal/core/fleetview", Run: "^TestRatesHoldThroughARoot$",
	},
	{
		Condition: 7, Mechanism: "edge: use that was on its way counts once",
		File:     "internal/core/fleetview/node.go",
		Original: "if earlier.GetNumber() > received {", Replacement: "if earlier.GetNumber() > 0 && received >= 0 {",
		Package: "./internal/core/fleetview", Run: "^TestUsageCountsOnceWhenParentsChange$",
	},
	{
		Condition: 7, Mechanism: "edge: an instance does not report to one that reports to it",
		File:     "internal/core/fleetview/node.go",
		Original: "if slices.Contains(n.ancestors, from.Instance) {", Replacement: "if false && slices.Contains(n.ancestors, from.Instance) {",
		Package: "./internal/core/fleetview", Run: "^TestReportingCyclesAreRejected$",
	},
	{
		Condition: 7, Mechanism: "edge: the rate that an endpoint names counts in the choice",
		File:     "internal/core/endpointrate/limiter.go",
		Original: "if l.Statements.limited > 0 {", Replacement: "if false {",
		Package: "./internal/edge", Run: "^TestNamedLimitHoldsAcrossInstances$",
	},
	{
		Condition: 7, Mechanism: "edge: few instances send to an endpoint with a rate",
		File:     "internal/core/endpointrate/pacer.go",
		Original: "senders := rendezvous.Top(key.endpoint, set.names, key.count)", Replacement: "senders := rendezvous.Top(key.endpoint, set.names, len(set.names))",
		Package: "./internal/core/endpointrate", Run: "^TestFewInstancesAreSenders$",
	},
	{
		Condition: 7, Mechanism: "edge: senders before and after a change of the members do not add up",
		File:     "internal/core/endpointrate/pacer.go",
		Original: "info.isSender = info.isSender && slices.Contains(senders, p.self)", Replacement: "info.isSender = slices.Contains(senders, p.self)",
		Package: "./internal/core/endpointrate", Run: "^TestReplacedSendersKeepTheRateTogether$",
	},
	{
		Condition: 7, Mechanism: "edge: an instance that was paused sends nothing to endpoints with a rate until its view is settled",
		File:     "internal/core/endpointrate/pacer.go",
		Original: "if now.Sub(p.lastCall) > maxPause {", Replacement: "if false {",
		Package: "./internal/core/endpointrate", Run: "^TestSenderWaitsUntilItsViewIsSettled$",
	},
	{
		Condition: 7, Mechanism: "edge: an instance that starts waits until it knows the members",
		File:     "internal/core/endpointrate/pacer.go",
		Original: "if len(p.sets) == 0 || now.Sub(p.knownSince) < handOverTime {", Replacement: "if len(p.sets) == 0 {",
		Package: "./internal/core/endpointrate", Run: "^TestReplacedSendersKeepTheRateTogether$",
	},
	{
		Condition: 7, Mechanism: "edge: an answer to an earlier request does not lift a limit",
		File:     "internal/core/endpointrate/register.go",
		Original: "!limited && (!e.Limited || sentAt <= e.statedAt)", Replacement: "!limited && !e.Limited",
		Package: "./internal/core/endpointrate", Run: "^TestLimitIsWithdrawnByLaterAnswersOnly$",
	},
	{
		Condition: 7, Mechanism: "edge: instances tell each other which rates endpoints name",
		File:     "internal/edge/view.go",
		Original: "o.Limits = e.pools.limitStatements()", Replacement: "o.Limits = nil",
		Package: "./internal/edge", Run: "^TestLimitedEndpointStaysInUse$",
	},
}
