// Package edge implements an entry instance of the gateway. It routes callers' requests by host and path, checks keys and
// rates, sends each request to an endpoint of its region or through an instance of another region, and forwards the answer. It
// reads the configuration, the endpoints and the other instances from the platform's store.
package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
	"dogwoodknot.example/dogwoodknot/internal/core/retrybudget"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens float64
}

// CachedPart is a prompt part in an engine's prefix cache.
type CachedPart struct {
	PromptPart
	Model string
}

// RequestHead holds what the headers of a caller's request say.
type RequestHead struct {
	ID          string
	Key         string // the caller's API key: never logged, never forwarded
	Deadline    time.Duration
	HasDeadline bool
	LastEventID string // id of the last event that the caller has received, if it resumes a stream

	Model           string
	PromptTokens    float64 // 0: not declared
	MaxOutputTokens float64
	LengthHint      float64      // expected output tokens, 0: not given
	Parts           []PromptPart // the first ones of the prompt
	PartIDs         []string     // of all parts of the prompt, in order
}

// EndpointHead holds what the headers of a request to an endpoint say.
type EndpointHead struct {
	Endpoint     string // its id; another endpoint that has taken over the address declines the request
	Organisation string // empty on a public route
	Deadline     time.Duration
	LastEventID  string
	// CopyFrom is the address of an endpoint from which cached prompt parts are copied first, empty for none.
	CopyFrom   string
	Urgency    int // 0 is the most urgent
	HasUrgency bool
}

// AnswerHead holds what the headers of an endpoint's answer say.
type AnswerHead struct {
	RequestID string        // of the request that it answers, empty if it names none
	NotRun    bool          // the endpoint has not run the request and never will
	Signed    bool          // the answer carries the endpoint's signature
	ColdFor   time.Duration // how much longer the endpoint is cold, 0 if it is not
	// RateLimit is the number of requests per second that the endpoint takes from all instances together, if RateLimited.
	RateLimit   float64
	RateLimited bool
	Load        EndpointLoad
	// Notice is what the answer asks of the instance. An answer of another endpoint than the one that was meant asks nothing.
	Notice endpointnotice.Said
}

// EndpointLoad is what an endpoint reports about its load.
type EndpointLoad struct {
	Running, Waiting, Slots int
	Known                   bool
	// Pace is how long work takes there now, relative to the usual time, if PaceKnown.
	Pace      float64
	PaceKnown bool
	// Invalid is the text of a load or a pace that cannot be right, empty if there is none.
	Invalid string
}

// Dialect encodes and decodes the platform's HTTP headers.
type Dialect interface {
	ParseRequest(h http.Header) (RequestHead, error)
	SetEndpointHeaders(h http.Header, to EndpointHead)
	ParseAnswer(status int, h http.Header) AnswerHead
	// AnswerRequestID reads the id of the request that an answer belongs to, empty if it names none.
	AnswerRequestID(h http.Header) string
	// CacheListPath is the path of the call that lists the contents of an engine's prefix cache. ParseCacheList decodes its
	// answer.
	CacheListPath() string
	ParseCacheList(body []byte) ([]CachedPart, error)
	// ReportPath is the path at which an engine reports its state. ParseReport returns when it was started, in Unix milliseconds.
	ReportPath() string
	ParseReport(body []byte) (startedAtMillis int64, err error)
	// StripKey removes the caller's API key.
	StripKey(h http.Header)
	FormatRetryAfter(d time.Duration) string
}

// Prefixes are the key prefixes in the store under which operators and endpoints write.
type Prefixes struct {
	Operator  string
	Endpoints string
}

// Documents decodes the keys and values that operators and endpoints write to the store.
type Documents interface {
	Prefixes() Prefixes
	IsConfiguration(key string) bool
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
	EndpointID(key string) (id string, ok bool)
	DecodeConfiguration(value []byte) (*catalog.Configuration, error)
	DecodeEndpoint(id string, value []byte, now clock.Instant) (catalog.Endpoint, error)
}

// Directory names the instances that callers should connect to.
type Directory interface {
	// Resolve returns the addresses of the instances that callers of a host in a region should connect to, and how long the
	// answer may be cached.
	Resolve(host, region string) (addrs []string, validFor time.Duration)
}

// Bounds are limits that the operators set.
type Bounds struct {
	Retries retrybudget.Limits
	// DirectoryTTL is the longest time for which callers cache an answer of the directory.
	DirectoryTTL time.Duration
	// BodyRate is the rate in bytes per second below which an arriving body counts as stalled. 0: a default.
	BodyRate int
	// BodyTimeout is how long one second's worth of a body, by BodyRate, may take to arrive. 0: a default.
	BodyTimeout time.Duration
}

// Options configure an Edge.
type Options struct {
	Self peer.Identity
	// Regions maps each data centre to its region.
	Regions    map[string]string
	CallerAddr string  // ip:port
	PeerAddr   string  // ip:port
	LinkMbps   float64 // bandwidth of the instance's link, 0: not known
	Cores      float64 // processors that the instance may use, 0: not known
	MemoryMB   float64 // memory that the instance may use, 0: not known
	// Utilisation returns which shares of its machine the instance has used since the last call. nil: not known.
	Utilisation func() strength.Utilisation
	FirstStart  bool // the whole system starts for the first time: instances wait for a relay before they read the store
	Bounds      Bounds

	Store     platform.Store
	Feed      platform.Feed
	Documents Documents
	Dialect   Dialect
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	Clock     clock.Clock
	Memory    *Memory // account of what is held for others. Nil: one of DefaultMemoryBytes
	Log       *zap.Logger
	Scope     tally.Scope
}

// Validate returns all problems of the options, joined.
func (o *Options) Validate() error {
	var findings []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			findings = append(findings, errors.Newf(format, args...))
		}
	}
	check(o.Self.Instance != "" && o.Self.Incarnation != 0, "instance name or incarnation is missing")
	check(o.Regions[o.Self.DataCentre] == o.Self.Region, "data centre %q is not in region %q", o.Self.DataCentre, o.Self.Region)
	check(o.CallerAddr != "" && o.PeerAddr != "", "caller or peer address is missing")
	check(o.LinkMbps >= 0, "bandwidth %v is negative", o.LinkMbps)
	check(o.Cores >= 0 && o.MemoryMB >= 0, "processors %v or memory %v is negative", o.Cores, o.MemoryMB)
	check(o.Bounds.DirectoryTTL > 0, "validity of the directory's answers must be positive")
	check(o.Bounds.Retries.Window > 0 && o.Bounds.Retries.Ratio >= 0 && o.Bounds.Retries.Allowance >= 0, "retry budget is not valid")
	return errors.Join(findings...)
}
