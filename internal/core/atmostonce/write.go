package atmostonce

import "dogwoodknot.example/dogwoodknot/internal/clock"

// token returns a new token. It is unique among all writes to the store.
func (l *Log) token() Token {
	l.tokenNumber++
	return Token{l.opts.Incarnation, uint64(l.opts.LogNumber)<<32 | uint64(l.tokenNumber)}
}

// startWrite writes the next entry if one is due (see writeDue) or the queue holds enough claims for a full entry.
func (l *Log) startWrite(now Time) {
	if l.pending != nil || now.Boot < l.rejectUntil {
		return
	}
	due, any := l.writeDue()
	if !any {
		return
	}
	if now.Boot < due && len(l.queue) < l.opts.MaxClaims {
		l.wakeAt(due)
		return
	}
	n := min(len(l.queue), l.opts.MaxClaims)
	m := min(len(l.results), l.opts.MaxClaims)
	if m < len(l.results) {
		// A result must come before a later claim of its key, so claims wait until all results are written.
		n = 0
	}
	e := Entry{
		Sequence: l.lastSequence + 1,
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

// writeDue returns when the next entry is due, and whether there is anything to write.
func (l *Log) writeDue() (due clock.Instant, any bool) {
	if len(l.queue) > 0 {
		return l.queue[0].queued.Add(l.opts.GroupDelay), true
	}
	if max(l.horizon, l.lostHorizon) > l.recordedHorizon {
		return 0, true
	}
	if len(l.results) > 0 && l.draining {
		return 0, true
	}
	if len(l.results) > 0 {
		return l.resultsSince.Add(l.opts.ResultDelay), true
	}
	return 0, false
}

// newestKey returns the highest key time of an entry's claims and results.
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

// put starts the write of an entry with the claims of ops.
func (l *Log) put(now Time, e Entry, ops []*op) {
	l.pending = &pendingWrite{entry: e, ops: ops, startedAt: now.Boot}
	l.emit(Put{e})
}

// written handles the response to a Put.
func (l *Log) written(now Time, e Written) {
	f := l.pending
	if f == nil || f.entry.Token != e.Token {
		return
	}
	switch {
	case e.Result == WriteDone:
		l.recorded(now, e.Revision)
	case e.Result == WriteRejected && !f.outcomeUnknown && f.rejections < maxRejectedRetries:
		f.retryAt = now.Boot.Add(l.opts.RejectedRetryDelay << f.rejections)
		f.rejections++
	case e.Result == WriteRejected && !f.outcomeUnknown:
		l.giveUpWrite(now)
	case l.opts.disabled.readBack && e.Result == WriteUnknown:
		l.recorded(now, l.revision+1)
	case e.Result == WriteRejected:
		l.retryLater(now)
	default:
		// An earlier Put of the same entry may have caused the conflict, so the entry is read back as after a lost response.
		f.outcomeUnknown = true
		l.emit(Get{f.entry.Sequence})
	}
}

// fetched handles the response to a Get, which is sent if the outcome of a Put is unknown.
func (l *Log) fetched(now Time, e Fetched) {
	f := l.pending
	if f == nil || f.entry.Sequence != e.Sequence {
		return
	}
	switch {
	case e.Result == ReadFailed:
		l.retryLater(now)
	case e.Result == ReadFound && e.Token == f.entry.Token:
		l.recorded(now, e.Revision)
	case e.Result == ReadFound:
		l.sequenceTaken()
	case f.repeatedPuts > 0:
		// The entry is absent again. There is a delay before the next Put, in case the store answers reads but loses writes.
		f.repeatedPuts = 0
		l.retryLater(now)
	default:
		// The write may still take effect, so the same entry is written again with the same token.
		f.repeatedPuts++
		l.emit(Put{f.entry})
	}
}

func (l *Log) retryLater(now Time) {
	l.pending.retryAt = now.Boot.Add(l.opts.StoreRetryDelay)
}

// retry continues the write in progress after its delay.
func (l *Log) retry() {
	f := l.pending
	f.retryAt = 0
	if f.outcomeUnknown {
		l.emit(Get{f.entry.Sequence})
		return
	}
	l.emit(Put{f.entry})
}

// recorded handles a successful write: it sends the requests whose claims are now in the store. For those that may no longer be
// sent, the next entry gets the result that they did not run.
func (l *Log) recorded(now Time, revision int64) {
	f := l.pending
	l.pending = nil
	if revision <= l.revision {
		l.handleStoreRollback(now, f.entry.Seal)
	}
	l.revision = revision
	l.lastSequence = f.entry.Sequence
	l.recordedHorizon = max(l.recordedHorizon, f.entry.Horizon)
	l.entries = append(l.entries, entryMeta{f.entry.Sequence, f.entry.NewestKey, f.entry.Seal})
	if f.entry.Seal {
		l.sealSequence = f.entry.Sequence
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

// handleStoreRollback handles a store that was restored from older data and may have lost entries. An owner that has the
// records keeps using them, and raises the horizon for later owners so that these reject the keys. A new owner, which writes a
// seal, lacks the records, so it rejects all keys made so far.
func (l *Log) handleStoreRollback(now Time, seal bool) {
	l.lostHorizon = max(l.lostHorizon, l.newestKey+1)
	if seal {
		l.horizon = max(l.horizon, l.newestKey+1, now.Wall+MaxFuture.Milliseconds())
	}
}

// giveUpWrite gives up a write that certainly had no effect and rejects the waiting attempts.
func (l *Log) giveUpWrite(now Time) {
	f := l.pending
	l.pending = nil
	l.rejectUntil = now.Boot.Add(l.opts.StoreRetryDelay)
	l.wakeAt(l.rejectUntil)
	if f.entry.Seal {
		l.phase = phaseReading
		l.listAt = l.rejectUntil
		return
	}
	l.results = append(append([]Result(nil), f.entry.Results...), l.results...)
	for _, o := range append(f.ops, l.queue...) {
		l.reply(o, NotRun, ReasonStoreUnavailable, nil)
		l.release(o)
	}
	l.queue = nil
}

// sequenceTaken handles an entry of another owner at the sequence number that this log wanted to write.
func (l *Log) sequenceTaken() {
	if l.phase == phaseSealing {
		l.pending = nil
		l.startReading()
		return
	}
	l.close()
}

// startReading reads the entries after the last known one.
func (l *Log) startReading() {
	l.phase = phaseReading
	l.emit(List{l.lastSequence})
}

// listed loads a page of entries. After the last page it writes the seal, or opens the log if it is sealed.
func (l *Log) listed(now Time, e Listed) {
	if l.phase != phaseReading {
		return
	}
	if e.Failed {
		l.listAt = now.Boot.Add(l.opts.StoreRetryDelay)
		return
	}
	for _, entry := range e.Entries {
		l.load(entry)
	}
	if e.More {
		l.emit(List{l.lastSequence})
		return
	}
	l.recs.dropBefore(l.horizon)
	if l.isSealed() {
		l.phase = phaseOpen
		l.emit(Ready{})
		return
	}
	l.phase = phaseSealing
	l.put(now, Entry{Sequence: l.lastSequence + 1, Token: l.token(), Seal: true, Horizon: l.horizon}, nil)
}

// isSealed reports whether this log's own seal is the last entry and has the current horizon. If this owner was paused between
// reading and sealing, its seal may have taken the sequence number of an entry that was deleted meanwhile. Then the seal is not
// the last entry, since the last one is never deleted.
func (l *Log) isSealed() bool {
	r := l.opts.disabled
	return r.seal || l.sealSequence != 0 && (l.sealSequence == l.lastSequence && l.horizon <= l.recordedHorizon || r.readAfterSeal)
}

// load applies an entry of an earlier owner. For claims without a result it stays unknown whether the request ran.
func (l *Log) load(e Entry) {
	l.lastSequence = max(l.lastSequence, e.Sequence)
	l.revision = max(l.revision, e.Revision)
	l.newestKey = max(l.newestKey, e.NewestKey)
	l.horizon = max(l.horizon, e.Horizon)
	if l.opts.disabled.recordHorizon {
		l.horizon = 0
	}
	l.recordedHorizon = max(l.recordedHorizon, e.Horizon)
	l.entries = append(l.entries, entryMeta{e.Sequence, e.NewestKey, e.Seal})
	if e.Unreadable {
		// Retries of these claims can't be recognised, so all keys up to the newest of them are rejected.
		l.horizon = max(l.horizon, e.NewestKey+1)
		return
	}
	// An entry's results belong to claims of earlier entries. A key is claimed again only after the result that it did not run.
	for _, r := range e.Results {
		l.loadResult(r)
	}
	for _, c := range e.Claims {
		l.recs.put(c.Key, c.KeyTime, record{c.Body, stateUnknown})
	}
	for l.opts.Budget.full() {
		start, ok := l.recs.oldest()
		if !ok {
			return
		}
		l.horizon = max(l.horizon, start+hourMillis)
		l.recs.dropBefore(l.horizon)
	}
}

// loadResult applies a result to the record of its key.
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
