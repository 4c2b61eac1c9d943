package edge

import (
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/returns"
)

// rejections remembers requests that were rejected here and by the other instances of the region. The caller of a retry has been
// waiting since its first request: its answer is late earlier than that of a new request, and must not take the capacity of one
// that can be on time. It is safe for concurrent use.
type rejections struct {
	clock clock.Clock

	mu    sync.Mutex
	known *returns.Table
	log   numberedLog[returns.Entry] // those of this instance, to be reported to the others of the region
}

func newRejections(c clock.Clock) *rejections {
	return &rejections{clock: c, known: returns.NewTable(), log: numberedLog[returns.Entry]{maxEntries: returns.MaxEntries}}
}

// add remembers a request that was rejected with a Retry-After. promised says that there will be capacity for it then.
func (r *rejections) add(parts []placement.PromptPart, first clock.Instant, retryAfter time.Duration, promised bool) {
	if len(parts) == 0 {
		return
	}
	at := r.clock.Now().Add(retryAfter)
	entry := returns.Entry{Key: ownKey(parts), FirstArrived: first, Expires: at.Add(returns.Slack)}
	if promised {
		entry.PromisedAt = at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Add(entry)
	r.log.add(entry)
}

// ownKey returns the key of the prompt part that belongs to a request alone.
func ownKey(parts []placement.PromptPart) uint64 { return parts[len(parts)-1].Key }

// addReceived remembers a rejection by another instance. promisedIn is the time until its promise, 0 for none.
func (r *rejections) addReceived(key uint64, age, validFor, promisedIn time.Duration) {
	entry := returns.Received(r.clock.Now(), key, age, validFor, promisedIn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Add(entry)
}

// arrive returns what is known of a request that arrives now.
func (r *rejections) arrive(parts []placement.PromptPart, now clock.Instant) returns.Arrival {
	if len(parts) == 0 {
		return returns.Arrival{First: now}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Arrive(now, ownKey(parts))
}

// forget removes a request that does not come back.
func (r *rejections) forget(parts []placement.PromptPart) {
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Forget(ownKey(parts))
}

// since returns this instance's rejections from number n on, and the number of the next one.
func (r *rejections) since(n int64) ([]returns.Entry, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.since(n)
}
