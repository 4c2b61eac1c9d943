package standin

import (
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Finish reasons of a generation.
const (
	finishStop      = "stop"      // the answer is complete
	finishLength    = "length"    // the request's limit was reached
	finishCancelled = "cancelled" // no valid end: the stream breaks
)

// generation is a request in the engine. Its fields are guarded by the engine's mutex, except for those above the line.
type generation struct {
	id           string
	model        string
	chat         bool
	seed         uint64
	promptTokens int
	limit        int // output tokens
	limitReason  string
	priority     int
	sequence     uint64
	created      time.Time

	blocks      []uint64
	prefillLeft float64 // tokens
	cached      int     // prompt tokens that were in the prefix cache
	produced    int
	finish      string        // empty while it waits or runs
	finishedAt  time.Time     // zero while it waits or runs
	changed     chan struct{} // closed and replaced when produced or finish changes
	readers     int
	detachedAt  time.Time // when the last reader left
}

func (g *generation) done() bool { return g.finish != "" }

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// less orders the waiting requests: lower priority values first, then by arrival.
func less(a, b *generation) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.sequence < b.sequence
}

// enqueue adds a request. The caller holds the mutex.
func (e *Engine) enqueue(g *generation) {
	i, _ := slices.BinarySearchFunc(e.waiting, g, func(have, want *generation) int {
		if less(have, want) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, g)
	if _, known := e.requests[g.id]; known {
		e.counts.DuplicateIDs++
	}
	e.requests[g.id] = g
	e.recordLoad(time.Now())
	e.signal()
}

// run is the batch loop: each step gives every request in the batch one token, and the prompts in it some prefill.
func (e *Engine) run() {
	defer e.loops.Done()
	due := time.Now()
	for {
		step, work := e.beginStep()
		if !work {
			select {
			case <-e.ctx.Done():
				return
			case <-e.wake:
			case <-time.After(e.idlePeriod()):
				// Requests without a reader are looked for while the engine hangs, too.
			}
			due = time.Now()
			continue
		}
		// Steps follow each other by due times, so that a late timer does not slow the engine down. A step that is late
		// by more than its own length does not shorten the ones after it.
		due = due.Add(step)
		if late := time.Since(due); late > step {
			due = time.Now()
		}
		if clock.Sleep(e.ctx, time.Until(due)) != nil {
			return
		}
		e.endStep(step)
	}
}

func (e *Engine) idlePeriod() time.Duration { return max(10*time.Millisecond, e.opts.ResumeWindow/4) }

// beginStep fills the batch and returns the length of the next step, or false if there is nothing to do.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.dropAbandoned(now)
	e.forgetFinished(now)
	if e.dead || e.faults.Hang {
		return 0, false
	}
	for len(e.running) < e.opts.BatchSlots && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(g)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	e.counts.MaxBatch = max(e.counts.MaxBatch, len(e.running))
	e.recordLoad(now)
	return e.stepLength(), true
}

// start looks up the request's prefix. At least one token is always computed, since its output is needed.
func (e *Engine) start(g *generation) {
	g.cached = min(e.cache.lookup(g.blocks)*blockTokens, g.promptTokens)
	g.prefillLeft = float64(max(1, g.promptTokens-g.cached))
	e.counts.PromptTokens += int64(g.promptTokens)
	e.counts.CachedTokens += int64(g.cached)
	e.running = append(e.running, g)
}

// stepLength is the time between tokens at the present depth. A batch that only prefills ends its step with the first
// prompt.
func (e *Engine) stepLength() time.Duration {
	slow := max(1, e.faults.SlowFactor)
	depth := float64(len(e.running)-1) / float64(max(1, e.opts.BatchSlots-1))
	step := time.Duration(float64(e.opts.TokenInterval) * (1 + e.opts.DepthSlowdown*depth) * slow)
	for _, g := range e.running {
		if g.prefillLeft == 0 {
			return step
		}
	}
	prefill := time.Duration(e.running[0].prefillLeft / e.opts.PrefillRate * slow * float64(time.Second))
	return min(step, max(prefill, time.Microsecond))
}

// endStep applies the work of a step.
func (e *Engine) endStep(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.counts.BusyNanos += int64(step)
	budget := step.Seconds() * e.opts.PrefillRate / max(1, e.faults.SlowFactor)
	prefilled := 0.0
	for _, g := range e.running {
		if g.prefillLeft > 0 {
			// Rounding of the step to nanoseconds must not leave a rest that costs another step.
			const rounding = 1e-3
			used := min(budget, g.prefillLeft)
			budget -= used
			g.prefillLeft -= used
			prefilled += used
			if g.prefillLeft > rounding {
				continue
			}
			g.prefillLeft = 0
			e.storeBlocks(g, now)
		}
		e.produce(g, now)
	}
	e.counts.PrefilledTokens += int64(prefilled + 0.5)
	e.running = slices.DeleteFunc(e.running, (*generation).done)
	e.recordLoad(now)
}

// produce adds one output token. The last step of a prefill gives the first one.
func (e *Engine) produce(g *generation, now time.Time) {
	g.produced++
	e.counts.OutputTokens++
	if g.produced < g.limit {
		g.notify()
		return
	}
	e.counts.Finished++
	e.end(g, g.limitReason, now)
}

// end marks a request as ended and keeps it for resumes.
func (e *Engine) end(g *generation, reason string, now time.Time) {
	g.finish = reason
	g.finishedAt = now
	g.blocks = nil
	e.finished = append(e.finished, g)
	g.notify()
}

// stop ends a request early and takes it out of queue and batch. The caller holds the mutex.
func (e *Engine) stop(g *generation, now time.Time) bool {
	if g.done() {
		return false
	}
	e.end(g, finishCancelled, now)
	e.waiting = slices.DeleteFunc(e.waiting, (*generation).done)
	e.running = slices.DeleteFunc(e.running, (*generation).done)
	e.recordLoad(now)
	return true
}

// dropAbandoned cancels the requests that nobody has read for the resume window.
func (e *Engine) dropAbandoned(now time.Time) {
	var left []*generation
	for _, list := range [][]*generation{e.waiting, e.running} {
		for _, g := range list {
			if g.readers == 0 && now.Sub(g.detachedAt) > e.opts.ResumeWindow {
				left = append(left, g)
			}
		}
	}
	for _, g := range left {
		if e.stop(g, now) {
			e.counts.Abandoned++
		}
	}
}

// forgetFinished drops the requests whose time to be resumed has passed.
func (e *Engine) forgetFinished(now time.Time) {
	done := 0
	for _, g := range e.finished {
		if now.Sub(g.finishedAt) < e.opts.KeepFinished && len(e.finished)-done <= maxKeptRequests {
			break
		}
		if e.requests[g.id] == g {
			delete(e.requests, g.id)
		}
		done++
	}
	e.finished = e.finished[done:]
}
