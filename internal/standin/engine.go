package standin

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Defaults of an engine. They stand for one runner with eight accelerators; tests set shorter times.
const (
	DefaultBatchSlots       = 8
	DefaultPrefillRate      = 8000.0                // tokens/s
	DefaultTokenInterval    = 20 * time.Millisecond // with one request in the batch
	DefaultOutputTokens     = 64                    // until the model ends its answer itself
	DefaultCacheBlocks      = 4096
	DefaultLoadBytesPerSec  = 2e9
	DefaultResumeWindow     = 10 * time.Second
	DefaultKeepFinished     = 30 * time.Second
	DefaultWeightBytes      = 2 << 30 // of a version when no weight store is set
	maxKeptRequests         = 20_000
	weightStoreRetry        = 50 * time.Millisecond
	maxWeightStoreRetry     = 2 * time.Second
	weightStoreCallDeadline = 5 * time.Second
)

// EngineModel is a model that an engine has loaded at its start.
type EngineModel struct {
	Name     string
	Version  string
	Adapters []string
}

// EngineOptions configure an engine. Zero values take the defaults.
type EngineOptions struct {
	Models []EngineModel
	Role   string
	// BatchSlots is the number of requests that the engine works on at once.
	BatchSlots int
	// PrefillRate is the number of prompt tokens that are processed per second, for all requests together.
	PrefillRate float64
	// TokenInterval is the time between tokens of a request that is alone in the batch.
	TokenInterval time.Duration
	// DepthSlowdown is the share by which a full batch lengthens the time between tokens: 1 doubles it.
	DepthSlowdown float64
	// MaxWaiting bounds the requests outside the batch; further ones get 503. 0: no bound.
	MaxWaiting int
	// ContextTokens bounds prompt and output together. 0: no bound.
	ContextTokens int
	// OutputTokens is the length of an answer unless the request's limit is lower.
	OutputTokens int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventDelay is the time after which a cache event is published.
	CacheEventDelay time.Duration
	// CacheEventGap is the probability that a cache event is lost; its sequence number is left out.
	CacheEventGap float64
	// Seed of the random losses of cache events.
	Seed uint64
	// ChecksFencing says that orders with an old fencing number are refused.
	ChecksFencing bool
	// Weights gives the size of a version; nil means that each has DefaultWeightBytes.
	Weights platform.WeightStore
	// LoadBytesPerSecond is the speed of loading weights.
	LoadBytesPerSecond float64
	// ResumeWindow is the time for which a request runs on without a reader before it is cancelled.
	ResumeWindow time.Duration
	// KeepFinished is the time for which the stream of a finished request can be resumed.
	KeepFinished time.Duration
}

// Validate returns all findings about the options, joined.
func (o EngineOptions) Validate() error {
	var found []error
	negative := func(name string, bad bool) {
		if bad {
			found = append(found, errors.Newf("engine option %s is negative", name))
		}
	}
	negative("BatchSlots", o.BatchSlots < 0)
	negative("PrefillRate", o.PrefillRate < 0)
	negative("TokenInterval", o.TokenInterval < 0)
	negative("DepthSlowdown", o.DepthSlowdown < 0)
	negative("MaxWaiting", o.MaxWaiting < 0)
	negative("ContextTokens", o.ContextTokens < 0)
	negative("OutputTokens", o.OutputTokens < 0)
	negative("CacheBlocks", o.CacheBlocks < 0)
	negative("LoadLag", o.LoadLag < 0)
	negative("CacheEventDelay", o.CacheEventDelay < 0)
	negative("LoadBytesPerSecond", o.LoadBytesPerSecond < 0)
	negative("ResumeWindow", o.ResumeWindow < 0)
	negative("KeepFinished", o.KeepFinished < 0)
	if o.CacheEventGap < 0 || o.CacheEventGap > 1 {
		found = append(found, errors.Newf("engine option CacheEventGap is %v, not a probability", o.CacheEventGap))
	}
	for i, m := range o.Models {
		if m.Name == "" || m.Version == "" {
			found = append(found, errors.Newf("engine model %d has no name or version", i))
		}
	}
	return errors.Join(found...)
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.BatchSlots = cmp.Or(o.BatchSlots, DefaultBatchSlots)
	o.PrefillRate = cmp.Or(o.PrefillRate, DefaultPrefillRate)
	o.TokenInterval = cmp.Or(o.TokenInterval, DefaultTokenInterval)
	o.OutputTokens = cmp.Or(o.OutputTokens, DefaultOutputTokens)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, DefaultCacheBlocks)
	o.LoadBytesPerSecond = cmp.Or(o.LoadBytesPerSecond, DefaultLoadBytesPerSec)
	o.ResumeWindow = cmp.Or(o.ResumeWindow, DefaultResumeWindow)
	o.KeepFinished = cmp.Or(o.KeepFinished, DefaultKeepFinished)
	return o
}

// EngineCounts are the requests of an engine since its start.
type EngineCounts struct {
	Received     int64 `json:"received"`
	Refused      int64 `json:"refused"` // unknown model, bad body, leaving, queue full
	Finished     int64 `json:"finished"`
	Cancelled    int64 `json:"cancelled"` // by DELETE
	Abandoned    int64 `json:"abandoned"` // no reader for the resume window
	Lost         int64 `json:"lost"`      // by a death of the engine
	Resumed      int64 `json:"resumed"`
	DuplicateIDs int64 `json:"duplicate_ids"` // requests with the id of an earlier one
	OutputTokens int64 `json:"output_tokens"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// PrefilledTokens are the prompt tokens that were computed, for requests without an answer too.
	PrefilledTokens int64 `json:"prefilled_tokens"`
	// BusyNanos is the time of the steps with work in the batch, in nanoseconds.
	BusyNanos int64 `json:"busy_nanos"`
	MaxBatch  int   `json:"max_batch"` // deepest batch so far
}

// Engine is a model engine with continuous batching.
type Engine struct {
	closer
	opts    EngineOptions
	markers *Markers
	handler http.Handler
	loops   sync.WaitGroup
	wake    chan struct{} // holds one signal: there is work, or the faults have changed

	mu       sync.Mutex
	rng      *rand.Rand
	sequence uint64 // of requests, for the order of arrival
	waiting  []*generation
	running  []*generation
	requests map[string]*generation // the latest of each id
	finished []*generation          // in the order of their end
	cache    *prefixCache
	loads    []loadSample
	frozen   Load // the report while FreezeReports is set
	orders   orderState
	faults   EngineFaults
	dead     bool
	counts   EngineCounts
}

// NewEngine returns a running engine. Close ends it.
func NewEngine(opts EngineOptions) (*Engine, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	e := &Engine{
		closer:   newCloser(),
		opts:     opts,
		markers:  NewMarkers(),
		wake:     make(chan struct{}, 1),
		rng:      rand.New(rand.NewPCG(opts.Seed, 0)),
		requests: map[string]*generation{},
		cache:    newPrefixCache(opts.CacheBlocks),
	}
	e.orders = newOrderState(opts)
	e.recordLoad(time.Now())
	e.handler = e.markers.wrap(e.gate(e.routes()))
	e.loops.Add(1)
	go e.run()
	return e, nil
}

func (e *Engine) routes() http.Handler {
	r := newRouter()
	e.markers.register(r)
	r.HandleFunc("/v1/chat/completions", e.chat).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.completion).Methods(http.MethodPost)
	r.HandleFunc("/engine/v1/requests/{id}/stream", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/engine/v1/requests/{id}", e.cancelRequest).Methods(http.MethodDelete)
	r.HandleFunc("/engine/v1/load", e.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/engine/v1/cache-events", e.getCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/engine/v1/state", e.getState).Methods(http.MethodGet)
	r.HandleFunc("/engine/v1/orders/{model}", e.putOrder).Methods(http.MethodPut)
	r.HandleFunc("/engine/v1/orders/{model}", e.deleteOrder).Methods(http.MethodDelete)
	r.HandleFunc(adminPrefix+"faults", e.postFaults).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"faults", e.getFaults).Methods(http.MethodGet)
	r.HandleFunc(adminPrefix+"die", e.postDie).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"revive", e.postRevive).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"counts", e.getCounts).Methods(http.MethodGet)
	r.HandleFunc(adminPrefix+"orders", e.getOrders).Methods(http.MethodGet)
	return r
}

// Handler returns the HTTP handler.
func (e *Engine) Handler() http.Handler { return e.handler }

// Markers returns the strings that requests are searched for.
func (e *Engine) Markers() *Markers { return e.markers }

// Close ends the engine, its streams and its loading.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel() // under the mutex, so that no load starts after it
	e.mu.Unlock()
	e.loops.Wait()
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}

// signal wakes the batch loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
