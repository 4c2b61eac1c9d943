package mutation

const integration = "./internal/integration"

// processEntries switch off at least one mechanism for each condition, with a test over real processes.
var processEntries = []Entry{
	{
		Condition: 1, Mechanism: "an instance outside the home refuses bound requests",
		File:     "internal/core/residency/residency.go",
		Original: `if r.HomeRegion != "" && r.HomeRegion != r.LocalRegion {`, Replacement: `if false {`,
		Package: integration, Run: "^TestResidency$",
	},
	{
		Condition: 1, Mechanism: "bound requests are not sent to other regions",
		File:        "internal/core/residency/residency.go",
		Original:    `MayForward: r.HomeRegion == "" && !r.HomeBoundService}`,
		Replacement: `MayForward: true}`,
		Package:     integration, Run: "^TestResidency$",
	},
	{
		Condition: 2, Mechanism: "a forwarded request is never passed on",
		File:     "internal/gateway/forward.go",
		Original: "\tif err != nil {\n\t\treturn nil, err\n\t}\n\tp := mc.Progress\n",
		Replacement: `	if remotes := g.opts.Regions.Model(m.Name); err != nil && len(remotes) > 0 {
		return g.forward(c, remotes[0].Instance, head, body, nil, answerSink{event: func(data []byte) error {
			return s.Send(&wire.ForwardResponse{Part: &wire.ForwardResponse_Event{Event: data}})
		}})
	}
	if err != nil {
		return nil, err
	}
	p := mc.Progress
`,
		Package: integration, Run: "^TestNoLoops$",
	},
	{
		Condition: 3, Mechanism: "slots stay in use while the store is out of reach",
		File:     "internal/limits/service.go",
		Original: `s.opts.Log.Warn("slots could not be refreshed", zap.Error(err))`,
		Replacement: `s.opts.Log.Warn("slots could not be refreshed", zap.Error(err))
			s.mu.Lock()
			var held []ratelimit.Slot
			for slot := range s.slots.held {
				held = append(held, slot)
			}
			s.mu.Unlock()
			for _, slot := range held {
				s.dropSlot(slot)
			}`,
		Package: integration, Run: "^TestIsolatedRegionServes$",
	},
	{
		Condition: 4, Mechanism: "the secret of a key is compared",
		File:        "internal/core/configview/key.go",
		Original:    `return subtle.ConstantTimeCompare(sum[:], r.sum[:]) == 1`,
		Replacement: `return subtle.ConstantTimeCompare(sum[:], r.sum[:]) >= 0`,
		Package:     integration, Run: "^TestWithdrawnKeys$",
	},
	{
		Condition: 5, Mechanism: "a request that contains its own secret is refused",
		File:     "internal/gateway/model.go",
		Original: `if containsSecret(p, c.secret) {`, Replacement: `if false {`,
		Package: integration, Run: "^TestNoCallersKeyAtEndpoints$",
	},
	{
		Condition: 5, Mechanism: "callers don't choose the request id that endpoints get",
		File:        "internal/gateway/gateway.go",
		Original:    "\tid := newID()\n",
		Replacement: "\tid := newID()\n\tif chosen := r.Header.Get(headerRequestID); chosen != \"\" {\n\t\tid = chosen\n\t}\n",
		Package:     integration, Run: "^TestNoCallersKeyAtEndpoints$",
	},
	{
		Condition: 6, Mechanism: "a withdrawn key is refused",
		File:        "internal/core/configview/view.go",
		Original:    "if v.KeyWithdrawn(id) {\n\t\treturn nil, id, KeyWithdrawn\n",
		Replacement: "if false {\n\t\treturn nil, id, KeyWithdrawn\n",
		Package:     integration, Run: "^TestWithdrawnKeys$",
	},
	{
		Condition: 6, Mechanism: "open streams of a withdrawn key end",
		File:     "internal/gateway/call.go",
		Original: `if c.keyID != "" && v.KeyWithdrawn(c.keyID) {`, Replacement: `if false {`,
		Package: integration, Run: "^TestWithdrawnKeys$",
	},
	{
		// Without the relay alone the exchange of states brings a withdrawal in time, and the test passes.
		Condition: 6, Mechanism: "instances learn of pushed withdrawals from one another, by relay or exchange",
		File:        "internal/configsync/withdraw.go",
		Original:    "func (s *Syncer) learn(ids []string, from peer.Identity) {\n",
		Replacement: "func (s *Syncer) learn(ids []string, from peer.Identity) {\n\tids = nil\n",
		Package:     integration, Run: "^TestWithdrawnKeys$",
	},
	{
		Condition: 7, Mechanism: "rate and burst are divided among slots",
		File:        "internal/core/ratelimit/entitlement.go",
		Original:    `share := Share{t.Rate * part / float64(k), t.Burst * part / float64(k)}`,
		Replacement: `share := Share{t.Rate, t.Burst}`,
		Package:     integration, Run: "^TestRateOverAllInstances$",
	},
	{
		Condition: 8, Mechanism: "a stream without its end event is not complete",
		File:        "internal/dispatch/model.go",
		Original:    "\t\tif err != nil {\n\t\t\treturn &brokenError{stalledOrErr(ctx, err)}\n",
		Replacement: "\t\tif err != nil {\n\t\t\treturn nil\n",
		Package:     integration, Run: "^TestWholeAnswers$",
	},
	{
		Condition: 8, Mechanism: "text that the caller has is left out of a further attempt",
		File:     "internal/dispatch/progress.go",
		Original: "\tif n <= 0 {\n\t\treturn 0, nil\n", Replacement: "\tif true {\n\t\treturn 0, nil\n",
		Package: integration, Run: "^TestWholeAnswers$",
	},
	{
		Condition: 9, Mechanism: "a written byte makes the outcome unknown",
		File:        "internal/dispatch/send.go",
		Original:    `if c := got.Load(); c == nil || (!reused.Load() && !c.written.Load()) {`,
		Replacement: `if c := got.Load(); c == nil || true {`,
		Package:     integration, Run: "^TestNotRunIsTrue$",
	},
	{
		Condition: 9, Mechanism: "only the peer itself says that a forwarded request has not run",
		File:        "internal/gateway/forward.go",
		Original:    "\treturn operations.Unknown\n}\n\nvar errUnexpectedPart",
		Replacement: "\treturn operations.NotRun\n}\n\nvar errUnexpectedPart",
		Package:     "./internal/gateway", Run: "^TestFaultMatrixForwardedBooking$",
	},
	{
		Condition: 10, Mechanism: "a repeat is recognised by its record",
		File:        "internal/core/atmostonce/log.go",
		Original:    `if rec, ok := l.recs.get(id.Key, e.KeyTime); ok {`,
		Replacement: `if rec, ok := l.recs.get(id.Key, e.KeyTime); ok && false {`,
		Package:     integration, Run: "^TestBookingsOnceUnderFaults$/concurrent/store_down",
	},
	{
		Condition: 10, Mechanism: "a repeat of an issued id is recognised by its record",
		File:        "internal/core/atmostonce/issued.go",
		Original:    `if rec, ok := s.recs.get(ident.Key, issuedAt); ok {`,
		Replacement: `if rec, ok := s.recs.get(ident.Key, issuedAt); ok && false {`,
		Package:     integration, Run: "^TestBookingsOnceUnderFaults$/concurrent/store_down",
	},
	{
		Condition: 10, Mechanism: "a new owner reads the claims of the one before",
		File:     "internal/core/atmostonce/write.go",
		Original: `l.recs.put(c.Key, c.KeyTime, record{c.Body, stateUnknown})`, Replacement: `_ = c`,
		Package: integration, Run: "^TestBookingOnceOwnerKilled$",
	},
	{
		Condition: 10, Mechanism: "a log entry is created only if absent",
		File:     "internal/operations/slotlog.go",
		Original: `platform.PutOptions{IfRevision: &absent})`, Replacement: "platform.PutOptions{})\n\t_ = absent",
		Package: integration, Run: "^TestBookingsOnceUnderFaults$/concurrent/owner_paused",
	},
	{
		Condition: 10, Mechanism: "a log entry is created only if absent (in one process)",
		File:     "internal/operations/slotlog.go",
		Original: `platform.PutOptions{IfRevision: &absent})`, Replacement: "platform.PutOptions{})\n\t_ = absent",
		Package: "./internal/operations", Run: "^TestFaultMatrixKeyed$",
	},
	{
		Condition: 11, Mechanism: "an endpoint that the platform lists as leaving gets no work",
		File:     "internal/dispatch/dispatcher.go",
		Original: `return d.opts.States == nil || !d.opts.States.Leaving(e.config.Name)`, Replacement: `return true`,
		Package: integration, Run: "^TestLeavingEndpointGetsNoNewWork$",
	},
	{
		Condition: 11, Mechanism: "an endpoint that operators drain gets no work",
		File:     "internal/dispatch/dispatcher.go",
		Original: `if e.state.removed || e.config.Drain {`, Replacement: `if e.state.removed {`,
		Package: integration, Run: "^TestDrainedEndpointGetsNoNewWork$",
	},
	{
		Condition: 11, Mechanism: "the endpoints of a drained data centre get no work",
		File:     "internal/dispatch/dispatcher.go",
		Original: `c.Drain = general.Drained(&c)`, Replacement: ``,
		Package: integration, Run: "^TestDrainedDataCentreGetsNoNewWork$",
	},
	{
		Condition: 11, Mechanism: "the instances of a drained data centre leave the entries",
		File:     "internal/core/membership/entries.go",
		Original: `if drained != nil && drained(m.DataCentre) {`, Replacement: `if false {`,
		Package: integration, Run: "^TestDrainedDataCentreGetsNoNewWork$",
	},
	{
		Condition: 11, Mechanism: "entries of all regions leave out a region that is drained",
		File:     "internal/daemon/adapters.go",
		Original: `if ranked.LastResort {`, Replacement: `if false {`,
		Package: integration, Run: "^TestDrainedRegionIsServedElsewhere$",
	},
	{
		Condition: 12, Mechanism: "a stop waits for the requests in flight",
		File:     "internal/gateway/server.go",
		Original: "g.conns.waitIdle(ctx, g.opts.StopDelay)\n\terr := g.server.Shutdown(ctx)\n", Replacement: "err := g.server.Close()\n",
		Package: integration, Run: "^TestPlannedStopUnderLoad$",
	},
	{
		Condition: 12, Mechanism: "a stop waits for callers' requests in flight (in one process)",
		File:     "internal/gateway/server.go",
		Original: "g.conns.waitIdle(ctx, g.opts.StopDelay)\n\terr := g.server.Shutdown(ctx)\n", Replacement: "err := g.server.Close()\n",
		Package: "./internal/gateway", Run: "^TestShutdownCutsNothing$",
	},
	{
		Condition: 12, Mechanism: "a stop waits for forwarded requests in flight (in one process)",
		File:     "internal/gateway/server.go",
		Original: `if waitErr := g.forwardedRequests.wait(ctx); err == nil {`, Replacement: `if waitErr := error(nil); err == nil {`,
		Package: "./internal/gateway", Run: "^TestShutdownWaitsForForwardedRequests$",
	},
	{
		Condition: 13, Mechanism: "only a higher revision is accepted",
		File:     "internal/core/configview/state.go",
		Original: `if h.Revision <= s.view.Revision() {`, Replacement: `if h.Revision == s.view.Revision() {`,
		Package: integration, Run: "^TestConfigurationInForceNeverReverts$",
	},
	{
		Condition: 13, Mechanism: "apply goes above the revisions in force",
		File:     "internal/configstore/apply.go",
		Original: `h.Revision = max(base.Revision(), change.Above) + 1`, Replacement: `h.Revision = base.Revision() + 1`,
		Package: integration, Run: "^TestConfigurationInForceNeverReverts$",
	},
	{
		Condition: 13, Mechanism: "the head changes by compare-and-swap",
		File:     "internal/configstore/commit.go",
		Original: `platform.PutOptions{IfRevision: &storeRevision})`, Replacement: `platform.PutOptions{})`,
		Package: integration, Run: "^TestConfigurationInForceNeverReverts$",
	},
}
