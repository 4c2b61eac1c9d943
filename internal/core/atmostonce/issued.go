package atmostonce

// IssuedRecords holds the records of the ids that one incarnation of an instance has issued. The records are in memory only:
// when the incarnation has ended without a handover, nobody may run the ids any more. Issued is not safe for
// concurrent use.
type IssuedRecords struct {
	answers *AnswerCache
	budget  *Budget
	recs    records
	active  map[AttemptID]issuedOp
	horizon int64
	handed  bool
}

type issuedOp struct {
	ident   Ident
	keyTime int64
}

// NewIssuedRecords returns an issuer's records.
func NewIssuedRecords(answers *AnswerCache, budget *Budget) *IssuedRecords {
	return &IssuedRecords{answers: answers, budget: budget, recs: records{budget: budget}, active: map[AttemptID]issuedOp{}}
}

// Records returns the number of records held.
func (s *IssuedRecords) Records() int { return s.recs.count }

// HandedOver reports whether HandOver was called.
func (s *IssuedRecords) HandedOver() bool { return s.handed }

// Attempt decides on a request with an id of this incarnation. It returns Send or Reply.
func (s *IssuedRecords) Attempt(now Time, id AttemptID, ident Ident, issuedAt int64) Action {
	s.expire(now)
	switch {
	case s.handed:
		return Reply{ID: id, Execution: NotRun, Reason: ReasonNotOwner}
	case checkAge(issuedAt, s.horizon, now.Wall) == ReasonExpired:
		return Reply{ID: id, Execution: Unknown, Reason: ReasonExpired}
	}
	if rec, ok := s.recs.get(ident.Key, issuedAt); ok {
		return repeat(id, ident, rec, s.answers, false)
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
	if ok && !s.handed {
		s.record(o, f)
	}
	return Reply{f.ID, f.Execution, ReasonRun, f.Answer}
}

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

// expire forgets old records. Ids issued before the horizon are refused from then on, whatever the wall clock does.
func (s *IssuedRecords) expire(now Time) {
	if h := horizonAt(now.Wall); h > s.horizon {
		s.horizon = h
		s.recs.forget(h)
	}
}

// HandedRecord is a record in a handover.
type HandedRecord struct {
	Ident
	KeyTime int64 // Unix milliseconds
	Ran     bool  // false: unknown
}

// Handover are the records of an incarnation for its heir.
type Handover struct {
	Horizon int64 // Unix milliseconds
	Records []HandedRecord
}

// HandOver ends the issuer's work and returns its records. From then on it refuses every attempt, whether or not an heir
// takes the records, since the heir may run the ids that were not used yet. Requests that still run are handed over
// as unknown.
func (s *IssuedRecords) HandOver() Handover {
	s.handed = true
	h := Handover{Horizon: s.horizon, Records: make([]HandedRecord, 0, s.recs.count)}
	for hour := range s.recs.hours {
		for k, rec := range s.recs.hours[hour] {
			// The start of the hour stands for the key's time: records are found and forgotten by the hour.
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
