package atmostonce

import "dogwoodknot.example/dogwoodknot/internal/clock"

func (l *Log) token() Token {
	l.number++
	return Token{l.o.Incarnation, uint64(l.o.LogNumber)<<32 | uint64(l.number)}
}

// startWrite writes the next entry when a group is complete, results have waited long enough or the horizon has changed.
func (l *Log) startWrite(now Time) {
	if l.flight != nil || now.Boot < l.refuseUntil {
		return
	}
	due, any := l.writeDue()
	if !any {
		return
	}
	if now.Boot < due && len(l.queue) < l.o.MaxClaims {
		l.wakeAt(due)
		return
	}
	n := min(len(l.queue), l.o.MaxClaims)
	m := min(len(l.results), l.o.MaxClaims)
	if m < len(l.results) {
		// A result must precede a later claim of its key, therefore claims wait until all results are written.
		n = 0
	}
	e := Entry{
		Sequence: l.last + 1,
		Token:    l.token(),
		Horizon:  max(l.horizon, l.lostHorizon),
		Results:  append([]Result(nil), l.results[:m]...),
	}
	l.results = l.results[m:]
	ops := append([]*op(nil), l.queue[:n]...)
	l.queue = append([]*op(nil), l.queue[n:]...)
	for _, o := range ops {
		e.Claims = append(e.Claims, Claim{o.ident, o.keyTime})
	}
	e.NewestKey = newestKey(e)
	l.put(now, e, ops)
}

// writeDue returns when the next entry is to be written, and whether there is anything to write.
func (l *Log) writeDue() (due clock.Instant, any bool) {
	if len(l.queue) > 0 {
		return l.queue[0].queued.Add(l.o.GroupDelay), true
	}
	if max(l.horizon, l.lostHorizon) > l.recordedHorizon {
		return 0, true
	}
	if len(l.results) > 0 && l.draining {
		return 0, true
	}
	if len(l.results) > 0 {
		return l.resultsSince.Add(l.o.ResultDelay), true
	}
	return 0, false
}

func newestKey(e Entry) int64 {
	var t int64
	for _, c := range e.Claims {
		t = max(t, c.KeyTime)
	}
	for _, r := range e.Results {
		t = max(t, r.KeyTime)
	}
	return t
}

func (l *Log) put(now Time, e Entry, ops []*op) {
	l.flight = &flight{entry: e, ops: ops, since: now.Boot}
	l.emit(Put{e})
}

func (l *Log) written(now Time, e Written) {
	f := l.flight
	if f == nil || f.entry.Token != e.Token {
		return
	}
	switch {
	case e.Result == WriteDone:
		l.recorded(now, e.Revision)
	case e.Result == WriteRejected && !f.doubt && f.refused < refusedTries:
		f.retryAt = now.Boot.Add(l.o.RejectedRetryDelay << f.refused)
		f.refused++
	case e.Result == WriteRejected && !f.doubt:
		l.refusedByStore(now)
	case l.o.rules.noReadBack && e.Result == WriteUnknown:
		l.recorded(now, l.revision+1)
	case e.Result == WriteRejected:
		l.retryLater(now)
	default:
		// A conflict may come from an earlier try of the same write, so it is read back like a lost answer.
		f.doubt = true
		l.emit(Get{f.entry.Sequence})
	}
}

func (l *Log) fetched(now Time, e Fetched) {
	f := l.flight
	if f == nil || f.entry.Sequence != e.Sequence {
		return
	}
	switch {
	case e.Result == ReadFailed:
		l.retryLater(now)
	case e.Result == ReadFound && e.Token == f.entry.Token:
		l.recorded(now, e.Revision)
	case e.Result == ReadFound:
		l.overtaken()
	case f.tries > 0:
		// Absent again: the next try waits, in case the store answers reads and loses writes.
		f.tries = 0
		l.retryLater(now)
	default:
		// The write may still be on its way, therefore the same entry is written again under the same token.
		f.tries++
		l.emit(Put{f.entry})
	}
}

func (l *Log) retryLater(now Time) {
	l.flight.retryAt = now.Boot.Add(l.o.StoreRetryDelay)
}

// retry moves a write on whose delay has passed.
func (l *Log) retry() {
	f := l.flight
	f.retryAt = 0
	if f.doubt {
		l.emit(Get{f.entry.Sequence})
		return
	}
	l.emit(Put{f.entry})
}

// recorded sends the requests whose claims are in the log.
func (l *Log) recorded(now Time, revision int64) {
	f := l.flight
	l.flight = nil
	if revision <= l.revision {
		l.storeWentBack(now, f.entry.Seal)
	}
	l.revision = revision
	l.last = f.entry.Sequence
	l.recordedHorizon = max(l.recordedHorizon, f.entry.Horizon)
	l.entries = append(l.entries, entryMeta{f.entry.Sequence, f.entry.NewestKey, f.entry.Seal})
	if f.entry.Seal {
		l.sealed = f.entry.Sequence
		l.startReading()
		return
	}
	for _, o := range f.ops {
		if !o.dropped && now.Boot < o.deadline {
			o.sent = true
			l.emit(Send{o.id})
			continue
		}
		l.reply(o, NotRun, ReasonStoreUnavailable, nil)
		l.release(o)
		l.addResult(now, Result{o.ident.Key, o.keyTime, false})
	}
}

// storeWentBack covers the entries that a store with older data may have lost. An owner with the records keeps serving
// them and lets later owners refuse their keys. A new owner lacks the records, therefore it refuses all keys made so far.
func (l *Log) storeWentBack(now Time, seal bool) {
	l.lostHorizon = max(l.lostHorizon, l.newestKey+1)
	if seal {
		l.horizon = max(l.horizon, l.newestKey+1, now.Wall+MaxFuture.Milliseconds())
	}
}

// refusedByStore ends the attempts of a write that certainly had no effect.
func (l *Log) refusedByStore(now Time) {
	f := l.flight
	l.flight = nil
	l.refuseUntil = now.Boot.Add(l.o.StoreRetryDelay)
	l.wakeAt(l.refuseUntil)
	if f.entry.Seal {
		l.phase = phaseReading
		l.listAt = l.refuseUntil
		return
	}
	l.results = append(append([]Result(nil), f.entry.Results...), l.results...)
	for _, o := range append(f.ops, l.queue...) {
		l.reply(o, NotRun, ReasonStoreUnavailable, nil)
		l.release(o)
	}
	l.queue = nil
}

// overtaken handles an entry of another owner at this log's next sequence.
func (l *Log) overtaken() {
	if l.phase == phaseSealing {
		l.flight = nil
		l.startReading()
		return
	}
	l.close()
}

func (l *Log) startReading() {
	l.phase = phaseReading
	l.emit(List{l.last})
}

// listed takes over a page of the log and writes the seal after the last one.
func (l *Log) listed(now Time, e Listed) {
	if l.phase != phaseReading {
		return
	}
	if e.Failed {
		l.listAt = now.Boot.Add(l.o.StoreRetryDelay)
		return
	}
	for _, entry := range e.Entries {
		l.load(entry)
	}
	if e.More {
		l.emit(List{l.last})
		return
	}
	l.recs.forget(l.horizon)
	if l.isSealed() {
		l.phase = phaseOpen
		l.emit(Ready{})
		return
	}
	l.phase = phaseSealing
	l.put(now, Entry{Sequence: l.last + 1, Token: l.token(), Seal: true, Horizon: l.horizon}, nil)
}

// isSealed reports whether this log's own seal is the last entry and carries the horizon. The seal may also have filled the place of an entry
// that was deleted while this owner was paused between reading and sealing. Then later entries exist, since the last
// one is never deleted.
func (l *Log) isSealed() bool {
	r := l.o.rules
	return r.noSeal || l.sealed != 0 && (l.sealed == l.last && l.horizon <= l.recordedHorizon || r.noSealRead)
}

// load applies an entry of an earlier owner. Its claims without a result are unknown for ever.
func (l *Log) load(e Entry) {
	l.last = max(l.last, e.Sequence)
	l.revision = max(l.revision, e.Revision)
	l.newestKey = max(l.newestKey, e.NewestKey)
	l.horizon = max(l.horizon, e.Horizon)
	if l.o.rules.noHorizon {
		l.horizon = 0
	}
	l.recordedHorizon = max(l.recordedHorizon, e.Horizon)
	l.entries = append(l.entries, entryMeta{e.Sequence, e.NewestKey, e.Seal})
	if e.Unreadable {
		// Repeats of these claims cannot be recognised, therefore all keys up to the newest of them are refused.
		l.horizon = max(l.horizon, e.NewestKey+1)
		return
	}
	// An entry's results belong to claims of earlier entries. A key is claimed again only after its "not run".
	for _, r := range e.Results {
		l.loadResult(r)
	}
	for _, c := range e.Claims {
		l.recs.put(c.Key, c.KeyTime, record{c.Body, stateUnknown})
	}
	for l.o.Budget.full() {
		start, ok := l.recs.oldest()
		if !ok {
			return
		}
		l.horizon = max(l.horizon, start+hourMillis)
		l.recs.forget(l.horizon)
	}
}

func (l *Log) loadResult(r Result) {
	rec, ok := l.recs.get(r.Key, r.KeyTime)
	switch {
	case !ok:
	case r.Ran:
		rec.state = stateRan
		l.recs.put(r.Key, r.KeyTime, rec)
	default:
		l.recs.delete(r.Key, r.KeyTime)
	}
}
