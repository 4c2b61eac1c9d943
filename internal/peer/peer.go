// Package peer connects the instances of the system: yamux sessions over mutual TLS that carry
// protobuf messages to named services.
package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Errors of calls between instances.
var (
	// ErrNotSent reports a call of which no byte has left this instance.
	ErrNotSent = errors.New("message was not sent to the peer")
	// ErrBroken reports a call that was sent, in part or whole, and has no complete answer.
	ErrBroken = errors.New("connection to the peer broke before the answer was complete")
	// ErrUnknownPeer reports an instance name without a known address.
	ErrUnknownPeer = errors.New("peer is not known")
)

// Identity is what a session proves of the instance at its other end. It comes from the peer's certificate and the handshake,
// never from a message.
type Identity struct {
	Instance    string
	Region      string
	DataCentre  string
	Incarnation uint64
}

// Stream carries messages of one call in both directions, with backpressure of its own.
type Stream interface {
	// Send writes a message. It blocks while the receiver's window is full.
	Send(m proto.Message) error
	// Recv reads the next message into m. It returns io.EOF after the peer's CloseSend,
	// and an error marked ErrBroken if the stream ended without one.
	Recv(m proto.Message) error
	// CloseSend tells the peer that no message follows.
	CloseSend() error
	// Close ends the stream in both directions. It is safe to call twice.
	Close() error
}

// Handler serves the calls of a named service. An error that it returns reaches the caller as *RemoteError.
// ctx ends when the stream breaks or the caller cancels.
type Handler func(ctx context.Context, from Identity, s Stream) error

// RemoteError is an error that the peer's handler has returned.
type RemoteError struct {
	Instance string
	Service  string
	Code     string // short machine-readable reason, may be empty
	Message  string
}

// Error describes the failure with the peer and service it came from.
func (e *RemoteError) Error() string {
	return e.Instance + ": " + e.Service + ": " + e.Message
}

// Network is the set of sessions to other instances. Services find each other by name, such as "limits.borrow".
type Network interface {
	// Self returns this instance's identity.
	Self() Identity
	// Handle registers a service. It panics if the name is taken, and must be called before Start.
	Handle(service string, h Handler)
	// Call sends one request and reads one response. The error tells with ErrNotSent whether the peer may have seen it.
	Call(ctx context.Context, instance, service string, req, resp proto.Message) error
	// Open starts a call with any number of messages in both directions.
	Open(ctx context.Context, instance, service string) (Stream, error)
	// SetPeers replaces the known peers and their addresses (ip:port by instance name).
	SetPeers(addrs map[string]string)
	// Connected returns the identities of the peers with a live session.
	Connected() []Identity
}

// lastSender is a stream that can send its last message together with the end.
type lastSender interface{ sendLast(proto.Message) error }

// Unary adapts a function with one request and one response to a Handler.
func Unary[Req any, PReq interface {
	*Req
	proto.Message
}](f func(ctx context.Context, from Identity, req PReq) (proto.Message, error)) Handler {
	return func(ctx context.Context, from Identity, s Stream) error {
		req := PReq(new(Req))
		if err := s.Recv(req); err != nil {
			return err
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return err
		}
		if last, ok := s.(lastSender); ok {
			return last.sendLast(resp)
		}
		return s.Send(resp)
	}
}
