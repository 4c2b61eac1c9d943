// Package operations makes non-idempotent requests run at most once: it keeps their records at one owner, in memory and in the store.
package operations

import (
	"context"
	"net/http"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
)

// Execution says whether a request ran.
type Execution string

// Values of the Dogwoodknot-Execution header.
const (
	// NotRun is said only if no byte of the request can have reached an endpoint.
	NotRun Execution = "not-run"
	// Ran means that the endpoint gave an answer.
	Ran Execution = "ran"
	// Unknown means that the request may have run.
	Unknown Execution = "unknown"
)

// MaxStatus is the highest status that HTTP defines for an answer.
const MaxStatus = 599

// Answer is a complete answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Digest returns the digest that makes two requests with a key the same. It covers everything that the endpoint acts on.
func Digest(organisation, method, pathWithQuery, contentType string, body []byte) [32]byte {
	return atmostonce.Digest(organisation, method, pathWithQuery, contentType, body)
}

// RunFunc sends the request to an endpoint. It is called at most once. The execution tells whether the endpoint may have seen it.
type RunFunc func(ctx context.Context) (*Answer, Execution, error)

// Request is a non-idempotent request with a key.
type Request struct {
	Organisation string
	Key          string // value of the Idempotency-Key header: a UUIDv7 or an id from Issue
	BodyDigest   [32]byte
	// Method and Path identify the call beside the body; a repeat with another one is refused as another request.
	Method, Path string
	// Forwardable is the whole request, for an owner at another instance. Nil for requests that must be run here.
	Forwardable *ForwardedRequest
	// StayInRegion refuses the request if its owner is an instance of another region.
	StayInRegion bool
}

// ForwardedRequest is what an owner at another instance needs to run the request there.
type ForwardedRequest struct {
	Route       string
	Method      string
	Path        string // with the query
	ContentType string
	Body        []byte
}

// Outcome is the result of Do. Answer is nil unless the first answer is still held.
type Outcome struct {
	Execution  Execution
	Answer     *Answer
	Status     int           // HTTP status for the caller if Answer is nil
	Code       string        // such as operation_in_progress, idempotency_key_reused
	Message    string        // for the caller
	RetryAfter time.Duration // 0: no repeat is advised
	Repeat     bool          // the answer belongs to an earlier request
}

// Operations runs keyed requests at most once.
type Operations interface {
	// Do runs the request through run, or gives the outcome of an earlier request with the key. It forwards
	// to the key's owner at another instance where needed; run is then called there through the owner's Runner.
	Do(ctx context.Context, req Request, run RunFunc) Outcome
	// Issue returns a new operation id for the organisation, owned by this instance.
	Issue(organisation string) (id string, err error)
}

// Runner runs a forwarded request at the owner. The gateway implements it.
type Runner interface {
	RunForwarded(ctx context.Context, organisation string, req *ForwardedRequest) (*Answer, Execution, error)
}
