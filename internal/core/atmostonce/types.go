// Package atmostonce decides which non-idempotent requests with a key may be sent to an endpoint.
//
// A Log holds the records of one slot: a claim is in the slot's log in the store before the request is sent. The log
// is a sequence of entries, each created only if absent. A new owner reads the log and writes a seal at the next
// sequence, so that no entry of an earlier owner can follow. Issued holds the records of ids issued by the system,
// in memory only.
//
// The package does no I/O. Events and times go in, actions come out.
package atmostonce

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Time is the current time as both clocks show it.
type Time struct {
	Boot clock.Instant // for delays and deadlines
	Wall int64         // Unix milliseconds, for the times that keys carry
}

// Key is the truncated MAC of an organisation and its key.
type Key [16]byte

// Body is the truncated MAC of a request without its key.
type Body [16]byte

// Ident names a request under one cluster secret.
type Ident struct {
	Key  Key
	Body Body
}

// AttemptID names a call of one caller at one owner.
type AttemptID uint64

// Token marks a store write, so that its writer recognises it when it reads the entry back.
type Token struct {
	Incarnation uint64
	Number      uint64
}

// Claim says that the request of a key may be sent by the writer of the entry.
type Claim struct {
	Ident
	KeyTime int64 // Unix milliseconds
}

// Result says how the request of an earlier claim ended.
type Result struct {
	Key     Key
	KeyTime int64 // Unix milliseconds
	Ran     bool  // false: not run, so that the key may be claimed again
}

// Entry is an entry of a slot's log.
type Entry struct {
	Sequence uint64
	Token    Token
	Seal     bool
	// Horizon is a time in Unix milliseconds. Records of keys with an earlier time may have been deleted, therefore
	// these keys are refused for ever.
	Horizon int64
	Claims  []Claim
	Results []Result
	// Unreadable says that the claims were made under a secret that this instance does not have.
	Unreadable bool
	// Revision is the store's revision of the entry. It is not part of the value.
	Revision int64
	// NewestKey is the highest key time of the entry's claims and results, in Unix milliseconds.
	NewestKey int64
}

// Execution says whether an attempt's request ran.
type Execution uint8

// Values of Execution.
const (
	NotRun Execution = iota + 1
	Ran
	Unknown
)

// String returns the value of the Dogwoodknot-Execution header.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason is the cause of a reply.
type Reason uint8

// Reasons of replies.
const (
	// ReasonRun is the result of the attempt's own run.
	ReasonRun Reason = iota + 1
	// ReasonAnswer is the first answer of an earlier attempt.
	ReasonAnswer
	// ReasonAnswerEvicted means that the request ran and its answer is no longer held.
	ReasonAnswerEvicted
	// ReasonInProgress means that an earlier attempt has not ended.
	ReasonInProgress
	// ReasonUnknown means that an earlier attempt may have run.
	ReasonUnknown
	// ReasonBodyMismatch means that the key was used with another request.
	ReasonBodyMismatch
	// ReasonExpired means that records as old as the key are no longer kept.
	ReasonExpired
	// ReasonKeyInFuture means that the key's time lies too far in the future.
	ReasonKeyInFuture
	// ReasonFull means that no more records fit into memory.
	ReasonFull
	// ReasonTakeover means that the new owner has not read the log yet.
	ReasonTakeover
	// ReasonNotOwner means that another instance owns the slot.
	ReasonNotOwner
	// ReasonStoreUnavailable means that the claim could not be recorded.
	ReasonStoreUnavailable
	// ReasonCancelled means that the caller has gone.
	ReasonCancelled
)

// Event is an input of a Log.
type Event interface{ event() }

// Events of a Log.
type (
	// Opened starts the takeover.
	Opened struct{}
	// Listed answers a List action.
	Listed struct {
		Entries []Entry
		More    bool
		Failed  bool
	}
	// Attempted is a request with a key.
	Attempted struct {
		ID AttemptID
		// Idents name the request under each accepted secret, the one for new claims first.
		Idents   []Ident
		KeyTime  int64         // Unix milliseconds
		Deadline clock.Instant // latest time of the send, 0 for none
	}
	// Cancelled says that nobody waits for the attempt any more.
	Cancelled struct{ ID AttemptID }
	// Written answers a Put action.
	Written struct {
		Token    Token
		Result   WriteResult
		Revision int64 // of the entry, if done
	}
	// Fetched answers a Get action.
	Fetched struct {
		Sequence uint64
		Result   ReadResult
		Token    Token // of the entry, if found
		Revision int64 // of the entry, if found
	}
	// Finished ends a Send action. Answer is any value, held for repeats up to a bound.
	Finished struct {
		ID          AttemptID
		Execution   Execution
		Answer      any
		AnswerBytes int
	}
	// Deleted answers a Delete action.
	Deleted struct {
		Sequence uint64
		Failed   bool
	}
	// Woken says that the time of a Wake action has come.
	Woken struct{ At clock.Instant }
	// DrainStarted says that the slot was lost or that the instance stops. New attempts are refused, those under way end, and
	// Closed follows once all results are recorded. Another owner's seal closes the log earlier.
	DrainStarted struct{}
	// Resumed says that the slot was regained before the log was closed.
	Resumed struct{}
)

func (Opened) event()       {}
func (Listed) event()       {}
func (Attempted) event()    {}
func (Cancelled) event()    {}
func (Written) event()      {}
func (Fetched) event()      {}
func (Finished) event()     {}
func (Deleted) event()      {}
func (Woken) event()        {}
func (DrainStarted) event() {}
func (Resumed) event()      {}

// WriteResult is the outcome of a store write.
type WriteResult uint8

// Outcomes of a store write.
const (
	WriteDone WriteResult = iota + 1
	// WriteConflict means that the entry exists.
	WriteConflict
	// WriteRejected means that the store has refused the write.
	WriteRejected
	// WriteUnknown means that the answer was lost.
	WriteUnknown
)

// ReadResult is the outcome of a store read.
type ReadResult uint8

// Outcomes of a store read.
const (
	ReadFound ReadResult = iota + 1
	ReadAbsent
	ReadFailed
)

// Action is an output of a Log.
type Action interface{ action() }

// Actions of a Log. A Put, Get, List or Delete is answered by exactly one event.
type (
	// List reads the entries after a sequence in order.
	List struct{ After uint64 }
	// Put creates an entry if absent.
	Put struct{ Entry Entry }
	// Get reads an entry.
	Get struct{ Sequence uint64 }
	// Delete removes an entry.
	Delete struct{ Sequence uint64 }
	// Send sends the attempt's request to an endpoint. It is answered by Finished.
	Send struct{ ID AttemptID }
	// Reply ends an attempt. Each attempt gets exactly one.
	Reply struct {
		ID        AttemptID
		Execution Execution
		Reason    Reason
		Answer    any
	}
	// Wake asks for Ticked at an instant.
	Wake struct{ At clock.Instant }
	// Ready says that the takeover is finished.
	Ready struct{}
	// Closed says that the log takes no more attempts. Running ones still end.
	Closed struct{}
)

func (List) action()   {}
func (Put) action()    {}
func (Get) action()    {}
func (Delete) action() {}
func (Send) action()   {}
func (Reply) action()  {}
func (Wake) action()   {}
func (Ready) action()  {}
func (Closed) action() {}

// Limits of keys and records.
const (
	// Retention is the age up to which a key is accepted.
	Retention = 24 * time.Hour
	// RetentionSlack is how much longer than Retention a record is kept.
	RetentionSlack = time.Hour
	// MaxFuture is how far ahead of the owner's clock a key's time may be.
	MaxFuture = 5 * time.Minute
)
