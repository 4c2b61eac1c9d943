package edge

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
)

const (
	// maxRefusals bounds the refusals that are remembered: a region of the two-year size refuses some hundred a second in an
	// overload, and each is remembered for a second or two.
	maxRefusals = 4096
	// returnSlack is how much later than asked a refused caller may come back and is still known: a new connection, and a
	// lost packet that is sent again.
	returnSlack = 600 * time.Millisecond
)

// refusal is a request that was refused and may come back.
type refusal struct {
	key     uint64        // of the prompt part that belongs to the request alone
	first   clock.Instant // when the caller came first
	expires clock.Instant // when its return is no longer expected
}

// returns remembers refused requests, here and at the other instances of the region. A caller that comes back has been waiting since
// it came first: its answer is late earlier than that of a new request, and must not take the place of one that can be on time.
// It is safe for concurrent use.
type returns struct {
	clock clock.Clock

	mu    sync.Mutex
	known *simplelru.LRU[uint64, refusal]
	log   numberedLog[refusal] // own ones, for the other instances of the region
}

func newReturns(c clock.Clock) *returns {
	known, err := simplelru.NewLRU[uint64, refusal](maxRefusals, nil)
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	return &returns{clock: c, known: known, log: numberedLog[refusal]{most: maxRefusals}}
}

// refused remembers a request that was asked to come back after a while.
func (r *returns) refused(parts []placement.PromptPart, first clock.Instant, retryAfter time.Duration) {
	if len(parts) == 0 {
		return
	}
	entry := refusal{key: parts[len(parts)-1].Key, first: first, expires: r.clock.Now().Add(retryAfter + returnSlack)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Add(entry.key, entry)
	r.log.add(entry)
}

// heard remembers a refusal of another instance.
func (r *returns) heard(key uint64, age, validFor time.Duration) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known.Add(key, refusal{key: key, first: now.Add(-age), expires: now.Add(validFor)})
}

// firstCame returns when the caller of a request that arrives now came first, and whether it was refused then. The refusal is
// forgotten.
func (r *returns) firstCame(parts []placement.PromptPart, now clock.Instant) (clock.Instant, bool) {
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
	return min(entry.first, now), true
}

// since returns the own refusals from number n on, and the number of the next one.
func (r *returns) since(n int64) ([]refusal, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.since(n)
}
