package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// StreamFaultKind is a fault of one stream.
type StreamFaultKind string

// Kinds of stream faults.
const (
	// StreamTruncate ends the stream without the usage chunk and [DONE], as a complete HTTP answer.
	StreamTruncate StreamFaultKind = "truncate"
	// StreamBreak closes the connection.
	StreamBreak StreamFaultKind = "break"
	// StreamDie ends the engine; see Engine.Die.
	StreamDie StreamFaultKind = "die"
)

// StreamFault strikes one stream, or answer without a stream.
type StreamFault struct {
	Kind StreamFaultKind `json:"kind"`
	// RequestID limits the fault to a request. Empty: any.
	RequestID string `json:"request_id,omitempty"`
	// AfterTokens is the number of output tokens that the stream still sends.
	AfterTokens int `json:"after_tokens,omitempty"`
	// Forget cancels the request, so that its stream cannot be resumed.
	Forget bool `json:"forget,omitempty"`
	// Count is the number of streams it strikes. 0 means 1.
	Count int `json:"count,omitempty"`
}

// EngineFaults are the injected faults of an engine.
type EngineFaults struct {
	// Streams strike the next streams, the first matching one first.
	Streams []StreamFault `json:"streams,omitempty"`
	// Hang stops the work on all requests; connections and reports stay.
	Hang bool `json:"hang,omitempty"`
	// HangCalls leaves every new call without an answer.
	HangCalls bool `json:"hang_calls,omitempty"`
	// SlowFactor lengthens all work. Below 1 it has no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Leaving refuses new requests with 503; those inside are finished.
	Leaving bool `json:"leaving,omitempty"`
	// FreezeReports keeps the load report as it is.
	FreezeReports bool `json:"freeze_reports,omitempty"`
	// DropCacheEvents loses every cache event.
	DropCacheEvents bool `json:"drop_cache_events,omitempty"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.Streams = append([]StreamFault{}, f.Streams...)
	for i := range f.Streams {
		f.Streams[i].Count = max(1, f.Streams[i].Count)
	}
	if f.FreezeReports && !e.faults.FreezeReports {
		e.frozen = e.load(time.Now())
	}
	e.faults = f
	e.signal()
}

// Faults returns the injected faults that are left.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.faults
	out.Streams = append([]StreamFault{}, e.faults.Streams...)
	return out
}

// Die breaks every connection and loses all requests, the cache, and the orders received since the start. Until Revive,
// every new connection breaks as well.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.dead = true
	e.counts.Lost += int64(len(e.waiting) + len(e.running))
	for _, g := range slices.Concat(e.waiting, e.running, e.finished) {
		g.finish = finishCancelled
		g.notify()
	}
	e.waiting, e.running, e.finished = nil, nil, nil
	e.requests = map[string]*generation{}
	e.orders.reset(e.opts)
	e.cache = newPrefixCache(e.opts.CacheBlocks)
	e.recordLoad(time.Now())
}

// Revive starts a dead engine with the models of its options and an empty cache.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = false
	e.signal()
}

// Dead reports whether the engine has died and was not revived.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// gate breaks or holds the calls of an engine that is dead or hangs. Calls of tests pass.
func (e *Engine) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAdmin(r) {
			next.ServeHTTP(w, r)
			return
		}
		e.mu.Lock()
		dead, hang := e.dead, e.faults.HangCalls
		e.mu.Unlock()
		if dead || e.ctx.Err() != nil {
			breakConnection()
		}
		if hang {
			ctx, cancel := e.bind(r)
			defer cancel()
			<-ctx.Done()
			breakConnection()
		}
		next.ServeHTTP(w, r)
	})
}

// takeStreamFault takes the fault that strikes a stream of the request. Its kind is empty if there is none.
func (e *Engine) takeStreamFault(g *generation) StreamFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, f := range e.faults.Streams {
		if f.RequestID != "" && f.RequestID != g.id {
			continue
		}
		e.faults.Streams[i].Count--
		if e.faults.Streams[i].Count == 0 {
			e.faults.Streams = append(e.faults.Streams[:i:i], e.faults.Streams[i+1:]...)
		}
		return f
	}
	return StreamFault{}
}

// cut returns the position up to which a stream that started at from may send what was produced.
func (f StreamFault) cut(from, produced int) int {
	if f.Kind == "" {
		return produced
	}
	return min(produced, from+f.AfterTokens)
}

func (f StreamFault) reached(from, sent int) bool {
	return f.Kind != "" && sent >= from+f.AfterTokens
}

func breakingKind(kind StreamFaultKind) StreamFaultKind {
	if kind == StreamTruncate {
		return StreamBreak
	}
	return kind
}

// strike ends a stream by a fault.
func (e *Engine) strike(g *generation, f StreamFault) {
	if f.Forget {
		e.mu.Lock()
		e.stop(g, time.Now())
		delete(e.requests, g.id)
		e.mu.Unlock()
	}
	switch f.Kind {
	case StreamBreak:
		breakConnection()
	case StreamDie:
		e.Die()
		breakConnection()
	}
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var in EngineFaults
	if !readJSON(w, r, &in) {
		return
	}
	for _, f := range in.Streams {
		switch f.Kind {
		case StreamTruncate, StreamBreak, StreamDie:
		default:
			writeError(w, http.StatusBadRequest, "unknown_fault", "stream fault "+strconv.Quote(string(f.Kind))+" does not exist")
			return
		}
	}
	e.SetFaults(in)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Faults())
}

func (e *Engine) postDie(w http.ResponseWriter, _ *http.Request) {
	e.Die()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) postRevive(w http.ResponseWriter, _ *http.Request) {
	e.Revive()
	w.WriteHeader(http.StatusNoContent)
}
