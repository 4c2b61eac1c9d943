package standin

import (
	"net/http"
	"time"
)

// Load is an engine's load report.
type Load struct {
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	QueuedTokens    int   `json:"queued_tokens"` // prompt tokens that are still to be prefilled, in queue and batch
	BatchSlots      int   `json:"batch_slots"`
	CacheBlocksUsed int   `json:"cache_blocks_used"`
	CacheBlocks     int   `json:"cache_blocks"`
	ReportedAtMs    int64 `json:"reported_at_ms"` // Unix time that the report describes
}

// loadSample is the load from a moment on.
type loadSample struct {
	at   time.Time
	load Load
}

// recordLoad keeps the present load for later reports. The caller holds the mutex, or is the only owner.
func (e *Engine) recordLoad(now time.Time) {
	load := Load{
		Running:         len(e.running),
		Waiting:         len(e.waiting),
		BatchSlots:      e.opts.BatchSlots,
		CacheBlocksUsed: e.cache.blocks.Len(),
		CacheBlocks:     e.opts.CacheBlocks,
	}
	for _, g := range e.waiting {
		load.QueuedTokens += g.promptTokens
	}
	for _, g := range e.running {
		load.QueuedTokens += int(g.prefillLeft)
	}
	if n := len(e.loads); n > 0 && e.loads[n-1].load == load {
		return
	}
	e.loads = append(e.loads, loadSample{at: now, load: load})
	e.pruneLoads(now)
}

// pruneLoads drops the samples that no report can show any more.
func (e *Engine) pruneLoads(now time.Time) {
	horizon := now.Add(-e.opts.LoadLag)
	first := 0
	for first+1 < len(e.loads) && !e.loads[first+1].at.After(horizon) {
		first++
	}
	e.loads = e.loads[first:]
}

// Load returns the report of the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FreezeReports {
		return e.frozen
	}
	return e.load(time.Now())
}

func (e *Engine) load(now time.Time) Load {
	e.pruneLoads(now)
	out := e.loads[0].load
	out.ReportedAtMs = now.Add(-e.opts.LoadLag).UnixMilli()
	return out
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Load())
}
