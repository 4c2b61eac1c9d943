package faultmatrix

// Gaps returns the cells that ought to have tests and have none, as matrices without results. Where a test run brings results for
// such a cell, under the same condition, step and fault, the page shows the result.
func Gaps() []File {
	out := make([]File, len(gaps))
	for i, m := range gaps {
		out[i] = File{Matrix: m}
	}
	return out
}

// Faults of several matrices.
const (
	storeOut      = "store out"
	answerLost    = "write answer lost"
	linkCut       = "link cut"
	linkCutOneWay = "link cut in one direction"
	messageLate   = "message late or twice"
)

var gaps = []Matrix{
	{
		Condition: "issued ids are answered truly after a handover of their records",
		Note: "Tests without a matrix: lost answer, heir in doubt, next heir, incarnations, chunks (`internal/operations`). Real processes: the last\n" +
			"step of `TestPlannedStopUnderLoad` looks at slots, not at these records.",
		Steps:  []string{"heir chosen", "part of the records sent", "all records sent, not acknowledged", "acknowledged, notices to others not sent", "repeat at the heir"},
		Faults: []string{"stopping instance crashes", "heir crashes", "heir pauses", "heir stops as well", linkCut, linkCutOneWay, messageLate},
	},
	{
		Condition: "slots handed over are used by one instance at a time",
		Note:      "Tests without a matrix: lost answers and claims, pauses, generated faults (`internal/limits`).",
		Steps:     []string{"slots offered", "accepted, not acknowledged", "acknowledged, record not written", "record written"},
		Faults:    []string{"giver crashes", "heir crashes", "heir pauses", linkCut, storeOut, answerLost, "store restored with older data"},
	},
	{
		Condition: "loans keep all shares within rate and burst",
		Note:      "Tests without a matrix: generated schedules (`internal/core/ratelimit`), and `TestRateOverAllInstances` over all steps at once.",
		Steps:     []string{"asked", "lent, not received", "in use", "returned, not received", "lapsing"},
		Faults:    []string{"lender crashes", "borrower crashes", "lender pauses", "borrower pauses", linkCut, linkCutOneWay, messageLate, "slot changes owner", "rate changed by apply"},
	},
	{
		Condition: "the last ready copy of a model is not removed by an order",
		Note:      "Tests without a matrix: generated schedules (`internal/core/orders`), a crashed issuer and handover of the role (`internal/orderer`). None with real processes.",
		Steps:     []string{"lease taken", "intent written", "order sent", "order taken, not answered", "read back"},
		Faults:    []string{"issuer crashes", "issuer pauses", storeOut, answerLost, "endpoint crashes", "endpoint hangs", "endpoint ignores fencing", "another issuer", linkCut},
	},
	{
		Condition: "a drained or leaving endpoint gets no new work, and its work in flight ends whole",
		Note: "Tests without a matrix, without faults: `TestLeavingEndpointGetsNoNewWork`, `TestDrainedEndpointGetsNoNewWork`,\n" +
			"`TestDrainedDataCentreGetsNoNewWork` (real processes).",
		Steps:  []string{"drain written", "in force at some instances", "in force at all", "work in flight", "undone"},
		Faults: []string{"endpoint crashes", "stream breaks", storeOut, answerLost, "region cut off", "instance starts", "relay crashes", "all endpoints of a region drained"},
	},
	{
		Condition: "a planned stop cuts no request in flight",
		Note:      "Test without a matrix, without faults: `TestPlannedStopUnderLoad` (real processes).",
		Steps:     []string{"readiness off", "connections closing", "streams finishing", "handing over", "exiting"},
		Faults:    []string{"list out", storeOut, "endpoint crashes", "other region cut off", "heir crashes", "second stop in the region", "stop timeout passes"},
	},
	{
		Condition: "an accepted configuration comes into force everywhere and never reverts",
		Note:      "Tests without a matrix: `internal/configsync`, `internal/configstore`; real processes: `TestConfigurationInForceNeverReverts`.",
		Steps:     []string{"content written", "history written", "head written", "in force at the relay", "pushed to some"},
		Faults:    []string{"operator's command crashes", storeOut, answerLost, "store restored with older data", "relay crashes", "relay pauses", "region cut off", linkCutOneWay, "another operator's change"},
	},
	{
		Condition: "a withdrawn key stops working",
		Note:      "Tests without a matrix: `internal/configsync`; real processes: `TestWithdrawnKeys`, with the store down as the only fault.",
		Steps:     []string{"pushed to one instance", "relayed to some", "not yet in the store", "in the store", "open streams ending"},
		Faults:    []string{"instance crashes", "instance pauses", "instance starts", storeOut, "region cut off", linkCutOneWay},
	},
}
