package mutation

// edgeEntries switch off what keeps the rules of the edge daemon, with tests that need no bench.
var edgeEntries = []Entry{
	{
		Condition: 1, Mechanism: "edge: only home regions serve a bound request",
		File:     "internal/edge/exchange.go",
		Original: "return !x.declined[region] && (!x.bound || slices.Contains(x.homes, region))", Replacement: "return !x.declined[region]",
		Package: "./platform", Run: "^TestHomeBoundRequestsCrossOnce$",
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
		Package: "./internal/endpointconn", Run: "^TestForeignAnswersArePassedOver$",
	},
	{
		Condition: 10, Mechanism: "edge: a request that may have run is not sent again unless it may be repeated",
		File:     "internal/edge/exchange.go",
		Original: "if f.kind.mayHaveRun() && !x.route.Retryable() {", Replacement: "if false {",
		Package: "./platform", Run: "^TestNonIdempotentRequestsRunOnce$",
	},
	{
		Condition: 12, Mechanism: "edge: a stopping instance refuses what may outlast it",
		File:     "internal/edge/exchange.go",
		Original: "end > 0 && x.limit > end", Replacement: "end < 0 && x.limit > end",
		Package: "./platform", Run: "^TestClosingInstanceTakesShortRequestsOnly$",
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
		File:     "internal/edge/talk.go",
		Original: "func() { _ = stream.Close() }", Replacement: "func() {}",
		Package: "./internal/edge", Run: "^TestServedStreamsEndWithTheInstance$",
	},
	{
		Condition: 7, Mechanism: "edge: a part of the rates is kept for an instance that has gone silent",
		File:     "internal/core/fleetview/silent.go",
		Original: "if now.Sub(s.heard) > fleetquota.SilentAfter {", Replacement: "if false {",
		Package: "./internal/core/fleetview", Run: "^TestSilentInstancesAreNamed$",
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
		Original: "if earlier.GetNumber() > taken {", Replacement: "if earlier.GetNumber() > 0 && taken >= 0 {",
		Package: "./internal/core/fleetview", Run: "^TestUseCountsOnceWhateverWayItTakes$",
	},
	{
		Condition: 7, Mechanism: "edge: an instance does not report to one that reports to it",
		File:     "internal/core/fleetview/node.go",
		Original: "if slices.Contains(n.path, from.Instance) {", Replacement: "if false && slices.Contains(n.path, from.Instance) {",
		Package: "./internal/core/fleetview", Run: "^TestCirclesAreRefused$",
	},
}
