package atmostonce

// IssuedRecords holds the records of the IDs that one incarnation (one start) of an instance has issued. The records are in memory
// only: if the incarnation ends without a handover, requests with its IDs must not run any more. IssuedRecords is not safe
// for concurrent use.
type IssuedRecords struct {
	answers    *AnswerCache
	budget     *Budget
	recs       records
	active     map[AttemptID]issuedOp
	horizon    int64
	handedOver bool
}

// issuedOp is a request that was sent and has not ended.
type issuedOp struct {
	ident   Ident
	keyTime int64
}

// NewIssuedRecords returns an empty set of records.
func NewIssuedRecords(answers *AnswerCache, budget *Budget) *IssuedRecords {
	return &IssuedRecords{answers: answers, budget: budget, recs: records{budget: budget}, active: map[AttemptID]issuedOp{}}
}

// Records returns the number of records held.
func (s *IssuedRecords) Records() int { return s.recs.count }

// HandedOver reports whether HandOver was called.
func (s *IssuedRecords) HandedOver() bool { return s.handedOver }

// Attempt decides on a request with an ID of this incarnation. It returns a Send or a Reply.
func (s *IssuedRecords) Attempt(now Time, id AttemptID, ident Ident, issuedAt int64) Action {
	s.expire(now)
	switch {
	case s.handedOver:
		return Reply{ID: id, Execution: NotRun, Reason: ReasonNotOwner}
	case checkAge(issuedAt, s.horizon, now.Wall) == ReasonExpired:
		return Reply{ID: id, Execution: Unknown, Reason: ReasonExpired}
	}
	if rec, ok := s.recs.get(ident.Key, issuedAt); ok {
		return replyToRetry(id, ident, rec, s.answers, false)
	}
	if s.budget.full() {
		return Reply{ID: id, Execution: NotRun, Reason: ReasonFull}
	}
	s.recs.put(ident.Key, issuedAt, record{ident.Body, stateActive})
	s.active[id] = issuedOp{ident, issuedAt}
	return Send{id}
}

// Finish records how a sent request ended.
func (s *IssuedRecords) Finish(f Finished) Reply {
	o, ok := s.active[f.ID]
	delete(s.active, f.ID)
	if ok && !s.handedOver {
		s.record(o, f)
	}
	return Reply{f.ID, f.Execution, ReasonRun, f.Answer}
}

// record updates the record of a request that has ended.
func (s *IssuedRecords) record(o issuedOp, f Finished) {
	switch f.Execution {
	case NotRun:
		s.recs.delete(o.ident.Key, o.keyTime)
	case Ran:
		s.recs.put(o.ident.Key, o.keyTime, record{o.ident.Body, stateRan})
		s.answers.Put(o.ident.Key, f.Answer, f.AnswerBytes)
	default:
		s.recs.put(o.ident.Key, o.keyTime, record{o.ident.Body, stateUnknown})
	}
}

// expire drops old records. IDs issued before the horizon are rejected from then on, even if the wall clock is set back.
func (s *IssuedRecords) expire(now Time) {
	if h := horizonAt(now.Wall); h > s.horizon {
		s.horizon = h
		s.recs.dropBefore(h)
	}
}

// HandedRecord is one record in a Handover.
type HandedRecord struct {
	Ident
	KeyTime int64 // Unix milliseconds
	Ran     bool  // false: unknown
}

// Handover holds the records of an incarnation for the instance that takes them over.
type Handover struct {
	Horizon int64 // Unix milliseconds
	Records []HandedRecord
}

// HandOver returns all records and removes them. From then on every attempt is rejected, whether or not another instance receives
// the records, since that instance may run requests with IDs that were not used yet. Requests that are still in progress are
// handed over as unknown.
func (s *IssuedRecords) HandOver() Handover {
	s.handedOver = true
	h := Handover{Horizon: s.horizon, Records: make([]HandedRecord, 0, s.recs.count)}
	for hour := range s.recs.hours {
		for k, rec := range s.recs.hours[hour] {
			// The start of the hour replaces the key's time: records are looked up and dropped by the hour.
			h.Records = append(h.Records, HandedRecord{Ident{k, rec.body}, hour * hourMillis, rec.state == stateRan})
		}
	}
	s.recs.clear()
	return h
}

// FromHandover returns the records of another incarnation, or false if they do not fit into the budget.
func FromHandover(h Handover, answers *AnswerCache, budget *Budget) (*IssuedRecords, bool) {
	if budget.used+len(h.Records) > budget.max {
		return nil, false
	}
	s := NewIssuedRecords(answers, budget)
	s.horizon = h.Horizon
	for _, r := range h.Records {
		st := stateUnknown
		if r.Ran {
			st = stateRan
		}
		s.recs.put(r.Key, r.KeyTime, record{r.Body, st})
	}
	return s, true
}
