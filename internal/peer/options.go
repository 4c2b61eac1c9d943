package peer

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// Defaults of Options.
const (
	defaultMaxMessageBytes   = 4 << 20
	defaultMaxSessions       = 512
	defaultMaxInboundStreams = 4096
	defaultMaxServiceStreams = 1536 // of 4096: two services that are full leave a quarter to all others
	defaultEagerPeers        = 16
	defaultDialTimeout       = 3 * time.Second
	defaultKeepAlive         = 10 * time.Second
	defaultWriteTimeout      = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultDrainTimeout      = 30 * time.Second
	defaultBackoffInitial    = 50 * time.Millisecond
	defaultBackoffMax        = 3 * time.Second
	minMaxMessageBytes       = 1 << 10
)

// Options configure a Transport. Zero fields take the defaults, except for those marked as required.
type Options struct {
	Self        Identity     // required
	Credentials *Credentials // required
	Listener    net.Listener // required; Close closes it

	// Dial connects to a peer's address. Default: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	MaxMessageBytes   int // largest encoded message in bytes
	MaxSessions       int // sessions in both directions; the least recently used idle one makes room
	MaxInboundStreams int // calls served at once; further ones are refused with CodeOverloaded
	// MaxServiceStreams bounds the calls of one service that are served at once, so that long forwarded requests
	// leave room for control calls.
	MaxServiceStreams int
	// Reserve is asked before a message of more than 64 KiB is read for a service, with its size in bytes. release is called once the
	// message has been decoded. If there is no room, the call is refused with CodeOverloaded. Nil: there always is.
	Reserve func(service string, bytes int) (release func(), ok bool)
	// EagerPeers is the number of known peers up to which sessions are kept open without a call, so that a small
	// fleet never waits for a handshake. Larger fleets connect at the first call. Negative: never.
	EagerPeers int

	DialTimeout    time.Duration // TCP, TLS and Hello together
	KeepAlive      time.Duration // interval of pings on a session
	WriteTimeout   time.Duration // a write or ping that takes longer ends the session
	IdleTimeout    time.Duration // sessions without a call for this long are closed
	DrainTimeout   time.Duration // time that the calls of a closing session may still take
	BackoffInitial time.Duration // wait after the first failed dial
	BackoffMax     time.Duration // longest wait between dials, before jitter

	Logger *zap.Logger
	Scope  tally.Scope
	// Traffic counts the bytes of each service with their framing. Nil: they are not counted.
	Traffic *traffic.Meter
	Tracer  trace.Tracer
}

// Validate returns all findings joined.
func (o *Options) Validate() error {
	var findings []error
	check := func(ok bool, text string) {
		if !ok {
			findings = append(findings, errors.New(text))
		}
	}
	check(o.Self.Instance != "", "Self.Instance is empty")
	check(o.Self.Incarnation != 0, "Self.Incarnation is 0")
	check(o.Credentials != nil, "Credentials are missing")
	check(o.Listener != nil, "Listener is missing")
	check(o.MaxMessageBytes == 0 || o.MaxMessageBytes >= minMaxMessageBytes, "MaxMessageBytes is below 1 KiB")
	check(o.MaxSessions >= 0, "MaxSessions is negative")
	check(o.MaxInboundStreams >= 0, "MaxInboundStreams is negative")
	check(o.MaxServiceStreams >= 0, "MaxServiceStreams is negative")
	for name, d := range map[string]time.Duration{
		"DialTimeout": o.DialTimeout, "KeepAlive": o.KeepAlive, "WriteTimeout": o.WriteTimeout,
		"IdleTimeout": o.IdleTimeout, "DrainTimeout": o.DrainTimeout,
		"BackoffInitial": o.BackoffInitial, "BackoffMax": o.BackoffMax,
	} {
		check(d >= 0, name+" is negative")
	}
	if o.Credentials != nil && o.Self.Instance != "" {
		if err := o.Credentials.checkOwnName(o.Self); err != nil {
			findings = append(findings, err)
		}
	}
	return errors.Join(findings...)
}

func (o *Options) fill() {
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
	o.MaxSessions = cmp.Or(o.MaxSessions, defaultMaxSessions)
	o.MaxInboundStreams = cmp.Or(o.MaxInboundStreams, defaultMaxInboundStreams)
	o.MaxServiceStreams = cmp.Or(o.MaxServiceStreams, min(defaultMaxServiceStreams, o.MaxInboundStreams))
	o.EagerPeers = cmp.Or(o.EagerPeers, defaultEagerPeers)
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.KeepAlive = cmp.Or(o.KeepAlive, defaultKeepAlive)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainTimeout)
	o.BackoffInitial = cmp.Or(o.BackoffInitial, defaultBackoffInitial)
	o.BackoffMax = cmp.Or(o.BackoffMax, defaultBackoffMax)
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Tracer == nil {
		o.Tracer = otel.Tracer("dogwoodknot/peer")
	}
}
