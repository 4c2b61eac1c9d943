// Package enginemodel models a model engine in virtual time: continuous batching, prompts read in chunks between output tokens, and
// a cache of prompt parts that yields the least recently used. It drives decisions under load without a network.
package enginemodel

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Figures of an engine. The defaults are those that the users' deployments name.
type Figures struct {
	Slots         int
	StepMs        float64 // a batch step with one request
	StepMsPerSlot float64 // more for each further request
	ReadPerMs     float64 // prompt tokens read in a millisecond
	Chunk         float64 // prompt tokens read between two output tokens
	Memory        float64 // tokens
	EventTokens   int     // output tokens in one event
}

// Default are the figures of the users' engines today.
var Default = Figures{Slots: 128, StepMs: 3.41, StepMsPerSlot: 0.097, ReadPerMs: 112, Chunk: 1024, Memory: 370_000, EventTokens: 7}

// Part is a part of a prompt.
type Part struct {
	Key    uint64
	Tokens float64
}

// Request is a request at an engine.
type Request struct {
	ID     string
	Parts  []Part
	Prompt float64
	Output int // tokens

	unread   float64
	produced int
}

// Event tells of a request's progress.
type Event struct {
	Request *Request
	First   bool // its first output
	Ended   bool
}

// maxParts bounds the parts that a cache holds; its memory is the tighter bound.
const maxParts = 1 << 16

// Engine is an engine that is stepped by its owner.
type Engine struct {
	figures Figures
	Dark    bool // makes no progress
	running []*Request
	cache   *simplelru.LRU[uint64, float64]
	cached  float64
	Read    float64 // prompt tokens read since the start
}

// New returns an idle engine.
func New(f Figures) *Engine {
	e := &Engine{figures: f}
	cache, err := simplelru.NewLRU(maxParts, func(_ uint64, tokens float64) { e.cached -= tokens })
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	e.cache = cache
	return e
}

// Busy reports whether a step would do anything.
func (e *Engine) Busy() bool { return len(e.running) > 0 && !e.Dark }

// Running is the number of requests in the batch and waiting for it.
func (e *Engine) Running() int { return len(e.running) }

// Add takes a request. Those beyond the slots wait in order.
func (e *Engine) Add(r *Request) {
	r.unread = r.Prompt
	for _, p := range r.Parts {
		if _, held := e.cache.Get(p.Key); !held {
			break
		}
		r.unread -= p.Tokens
	}
	for _, p := range r.Parts {
		if !e.cache.Contains(p.Key) {
			e.cache.Add(p.Key, p.Tokens)
			e.cached += p.Tokens
		}
	}
	for e.cached > e.figures.Memory && e.cache.Len() > 1 {
		e.cache.RemoveOldest()
	}
	e.running = append(e.running, r)
}

// Cancel removes a request.
func (e *Engine) Cancel(r *Request) {
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

// Step runs one batch step: it reads a chunk of the first unread prompt and makes an output token of each request that is read. It
// returns how long that takes and what has happened at its end.
func (e *Engine) Step() (time.Duration, []Event) {
	batch := e.running[:min(len(e.running), e.figures.Slots)]
	budget := e.figures.Chunk
	for _, r := range batch {
		read := min(r.unread, budget)
		r.unread -= read
		budget -= read
		e.Read += read
	}
	ms := e.figures.StepMs + e.figures.StepMsPerSlot*float64(len(batch)) + (e.figures.Chunk-budget)/e.figures.ReadPerMs
	var events []Event
	rest := e.running[:0:0]
	for i, r := range e.running {
		if i < len(batch) && r.unread <= 0 {
			r.produced++
			first := r.produced == min(e.figures.EventTokens, r.Output)
			if ended := r.produced >= r.Output; first || ended {
				events = append(events, Event{Request: r, First: first, Ended: ended})
				if ended {
					continue
				}
			}
		}
		rest = append(rest, r)
	}
	e.running = rest
	return time.Duration(ms * float64(time.Millisecond)), events
}
