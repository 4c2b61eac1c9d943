// Package atmostonce decides which non-idempotent requests with an idempotency key may be sent to an endpoint, so that none of
// them runs twice.
//
// Keys are divided into slots, and each slot is owned by one instance at a time. The owner's Log holds the records of the slot.
// Before a request is sent, a claim for its key is written to the slot's log in the store. The stored log is a sequence of
// entries, each created only if its sequence number is not taken. A new owner reads the log and then writes a seal, an entry at
// the next sequence number, so that an earlier owner can't append any more. IssuedRecords holds the records of IDs issued by the
// system, in memory only.
//
// The package does no I/O. A Log is a state machine: it takes events and the current time, and returns actions for its caller.
package atmostonce

import (
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Time is the current time on the boot clock (see package clock) and on the wall clock.
type Time struct {
	Boot clock.Instant // for delays and deadlines
	Wall int64         // Unix milliseconds, for the times that keys carry
}

// Key is the truncated keyed hash (MAC) of an organisation and an idempotency key.
type Key [16]byte

// Body is the truncated keyed hash (MAC) of a request without its key.
type Body [16]byte

// Ident identifies a request. Key and Body are computed with the same cluster secret.
type Ident struct {
	Key  Key
	Body Body
}

// AttemptID identifies one attempt of a request at the owner of its key's slot.
type AttemptID uint64

// Token identifies a store write, so that the writer recognises its own entry when it reads it back.
type Token struct {
	Incarnation uint64
	Number      uint64
}

// Claim records that the writer of the entry may send the request of a key.
type Claim struct {
	Ident
	KeyTime int64 // Unix milliseconds
}

// Result records how the request of an earlier claim ended.
type Result struct {
	Key     Key
	KeyTime int64 // Unix milliseconds
	Ran     bool  // false: it did not run, so the key may be claimed again
}

// Entry is one entry of a slot's log in the store.
type Entry struct {
	Sequence uint64
	Token    Token
	Seal     bool
	// Horizon is a time in Unix milliseconds. Records of keys with an earlier time may have been deleted, so these keys
	// are rejected for ever.
	Horizon int64
	Claims  []Claim
	Results []Result
	// Unreadable says that the claims were made with a cluster secret that this instance does not have.
	Unreadable bool
	// Revision is the store's revision of the entry. It is not part of the stored value.
	Revision int64
	// NewestKey is the highest key time of the entry's claims and results, in Unix milliseconds.
	NewestKey int64
}

// Execution says whether the request of an attempt ran.
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

// Reason is the reason for a reply.
type Reason uint8

// Reasons of replies.
const (
	// ReasonRun means that the attempt itself was sent and has ended.
	ReasonRun Reason = iota + 1
	// ReasonAnswer means that an earlier attempt ran; the reply has its answer.
	ReasonAnswer
	// ReasonAnswerEvicted means that an earlier attempt ran and its answer is not in the AnswerCache.
	ReasonAnswerEvicted
	// ReasonInProgress means that an earlier attempt has not ended.
	ReasonInProgress
	// ReasonUnknown means that an earlier attempt may have run.
	ReasonUnknown
	// ReasonBodyMismatch means that the key was used with a different request.
	ReasonBodyMismatch
	// ReasonExpired means that records as old as the key are no longer kept.
	ReasonExpired
	// ReasonKeyInFuture means that the key's time is too far in the future.
	ReasonKeyInFuture
	// ReasonFull means that the bound of records or of waiting claims is reached.
	ReasonFull
	// ReasonTakeover means that this instance, the new owner of the slot, has not finished reading the log.
	ReasonTakeover
	// ReasonNotOwner means that this instance does not own the slot, or gives up its ownership.
	ReasonNotOwner
	// ReasonStoreUnavailable means that the claim could not be written to the store.
	ReasonStoreUnavailable
	// ReasonCancelled means that the caller no longer waits.
	ReasonCancelled
)

// Event is an input of a Log.
type Event interface{ event() }

// Events of a Log.
type (
	// Opened starts the takeover: reading and sealing the slot's log.
	Opened struct{}
	// Listed is the response to a List action.
	Listed struct {
		Entries []Entry
		More    bool
		Failed  bool
	}
	// Attempted is a request with a key.
	Attempted struct {
		ID AttemptID
		// Idents identify the request under each accepted cluster secret, the one for new claims first.
		Idents   []Ident
		KeyTime  int64         // Unix milliseconds
		Deadline clock.Instant // latest time to send the request, 0 for none
	}
	// Cancelled says that the caller no longer waits for the attempt.
	Cancelled struct{ ID AttemptID }
	// Written is the response to a Put action.
	Written struct {
		Token    Token
		Result   WriteResult
		Revision int64 // of the entry, for WriteDone
	}
	// Fetched is the response to a Get action.
	Fetched struct {
		Sequence uint64
		Result   ReadResult
		Token    Token // of the entry, if found
		Revision int64 // of the entry, if found
	}
	// Finished is the response to a Send action. Answer is any value; it is put into the AnswerCache.
	Finished struct {
		ID          AttemptID
		Execution   Execution
		Answer      any
		AnswerBytes int
	}
	// Deleted is the response to a Delete action.
	Deleted struct {
		Sequence uint64
		Failed   bool
	}
	// Woken says that the time of a Wake action has come.
	Woken struct{ At clock.Instant }
	// DrainStarted says that the instance stops or no longer owns the slot. New attempts are rejected, those in progress end
	// normally, and Closed follows once all results are written. Another owner's seal closes the log earlier.
	DrainStarted struct{}
	// Resumed says that this instance owns the slot again before the log was closed.
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
	// WriteConflict means that an entry with the sequence number exists.
	WriteConflict
	// WriteRejected means that the store has rejected the write, so that it certainly has no effect.
	WriteRejected
	// WriteUnknown means that the store's response was lost.
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

// Actions of a Log. The caller responds to each Put, Get, List, Delete and Send with exactly one event.
type (
	// List reads the entries after a sequence number, in order.
	List struct{ After uint64 }
	// Put creates an entry unless its sequence number is taken.
	Put struct{ Entry Entry }
	// Get reads an entry.
	Get struct{ Sequence uint64 }
	// Delete removes an entry.
	Delete struct{ Sequence uint64 }
	// Send sends the request of an attempt to an endpoint. The response is Finished.
	Send struct{ ID AttemptID }
	// Reply ends an attempt. Each attempt gets exactly one.
	Reply struct {
		ID        AttemptID
		Execution Execution
		Reason    Reason
		Answer    any
	}
	// Wake asks for a Woken event at a time.
	Wake struct{ At clock.Instant }
	// Ready says that the takeover is finished.
	Ready struct{}
	// Closed says that the log accepts no more attempts. Requests that were sent still end normally.
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
