package peer

import (
	"github.com/cockroachdb/errors"
)

// Codes of RemoteError that the serving side itself returns. With each of them, the handler has not run.
const (
	// CodeUnknownService reports a service that the peer has not registered.
	CodeUnknownService = "unknown-service"
	// CodeOverloaded reports that the peer has reached its limit of concurrent calls.
	CodeOverloaded = "overloaded"
	// CodeBadHeader reports a call whose first frame is not a valid header.
	CodeBadHeader = "bad-header"
)

// CodeInternal reports a handler that panicked.
const CodeInternal = "internal"

// NewError returns an error for a handler whose code and message reach the caller.
func NewError(code, message string) error {
	return &RemoteError{Code: code, Message: message}
}

// failure is a failed call. kind is ErrNotSent, ErrBroken or ErrUnknownPeer.
type failure struct {
	kind     error
	instance string
	service  string
	cause    error
}

// Error names the peer, the service, the kind and the cause.
func (f *failure) Error() string {
	text := "call " + f.service + " of " + f.instance + ": " + f.kind.Error()
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the cause, for example the context's error.
func (f *failure) Unwrap() error { return f.cause }

// Is matches the kind. A call to an unknown peer was not sent either.
func (f *failure) Is(target error) bool {
	if target == f.kind {
		return true
	}
	return target == ErrNotSent && f.kind == ErrUnknownPeer
}

func notSent(instance, service string, cause error) error {
	if errors.Is(cause, ErrUnknownPeer) {
		return &failure{kind: ErrUnknownPeer, instance: instance, service: service}
	}
	return &failure{kind: ErrNotSent, instance: instance, service: service, cause: cause}
}

func broken(instance, service string, cause error) error {
	return &failure{kind: ErrBroken, instance: instance, service: service, cause: cause}
}

// NotSent returns the error of a call of which no byte has left this instance. It is for other implementations of
// Network.
func NotSent(instance, service string, cause error) error { return notSent(instance, service, cause) }

// Broken returns the error of a call that was sent and has no complete answer. It is for other implementations of
// Network.
func Broken(instance, service string, cause error) error { return broken(instance, service, cause) }
