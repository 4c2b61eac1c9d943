package edge

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

const (
	// maxRejections bounds the rejections that are remembered: a region at the size expected in two years rejects some hundred
	// requests a second in an overload, and each is remembered for a second or two.
	maxRejections = 4096
	// retrySlack is how much later than its Retry-After a retry is still recognised: it may need a new connection, and a lost
	// packet may have to be sent again.
	retrySlack = 600 * time.Millisecond
)

// rejection is a request that was rejected and may be retried.
type rejection struct {
	key          uint64        // of the prompt part that belongs to the request alone
	firstArrived clock.Instant // when the caller sent the request first
	expires      clock.Instant // when a retry is no longer expected
}

// rejections remembers requests that were rejected here and by the other instances of the region. The caller of a retry has been
// waiting since its first request: its answer is late earlier than that of a new request, and must not take the capacity of one
// that can be on time. It is safe for concurrent use.
type rejections struct {
	clock clock.Clock

	mu    sync.Mutex
	known *simplelru.LRU[uint64, rejection]
	log   numberedLog[rejection] // those of this instance, to be reported to the others of the region
}

func newRejections(c clock.Clock) *rejections {
	known, err := simplelru.NewLRU[uint64, rejection](maxRejections, nil)
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	return &rejections{clock: c, known: known, log: numberedLog[rejection]{maxEntries: maxRejections}}
}

// add remembers a request that was rejected with a Retry-After.
func (r *rejections) add(parts []placement.PromptPart, first clock.Instant, retryAfter time.Duration) {
	if len(parts) == 0 {
		return
	}
	entry := rejection{key: parts[len(parts)-1].Key, firstArrived: first, expires: r.clock.Now().Add(retryAfter + retrySlack)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Add(entry.key, entry)
	r.log.add(entry)
}

// addReceived remembers a rejection by another instance.
func (r *rejections) addReceived(key uint64, age, validFor time.Duration) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Add(key, rejection{key: key, firstArrived: now.Add(-age), expires: now.Add(validFor)})
}

// takeFirstArrival returns when the caller of a request that arrives now sent it first, and whether it was rejected then. The
// rejection is forgotten.
func (r *rejections) takeFirstArrival(parts []placement.PromptPart, now clock.Instant) (clock.Instant, bool) {
	if len(parts) == 0 {
		return now, false
	}
	key := parts[len(parts)-1].Key
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.known.Peek(key)
	if !known {
		return now, false
	}
	r.known.Remove(key)
	if now > entry.expires {
		return now, false
	}
	return min(entry.firstArrived, now), true
}

// since returns this instance's rejections from number n on, and the number of the next one.
func (r *rejections) since(n int64) ([]rejection, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.since(n)
}
