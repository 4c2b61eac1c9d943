package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxCacheEvents bounds the events that an engine keeps for readers. Older ones are a gap.
	maxCacheEvents = 4096
	// maxAnswerBlocks ends an answer to a reader after this many block hashes, about 40 KB. The reader asks again from
	// the answer's sequence number. Without it, a reader that starts late got several megabytes at once.
	maxAnswerBlocks = 2048
)

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Kind     string   `json:"kind"`
	Blocks   []string `json:"blocks"` // hex block hashes
}

// CacheEvents is the answer to a reader of cache events.
type CacheEvents struct {
	Sequence uint64       `json:"sequence"` // up to which the events are given, lost ones included
	Events   []CacheEvent `json:"events"`
}

// prefixCache holds the blocks of prompts, bounded by number.
type prefixCache struct {
	blocks   *simplelru.LRU[uint64, struct{}]
	size     int
	sequence uint64
	events   []datedEvent
}

type datedEvent struct {
	CacheEvent
	at   time.Time
	lost bool
}

func newPrefixCache(size int) *prefixCache {
	// The size was validated, which is the only error of NewLRU.
	blocks, _ := simplelru.NewLRU[uint64, struct{}](size, nil)
	return &prefixCache{blocks: blocks, size: size}
}

// lookup returns how many blocks of the chain are cached from its start, and marks them as used.
func (c *prefixCache) lookup(chain []uint64) int {
	for i, hash := range chain {
		if _, ok := c.blocks.Get(hash); !ok {
			return i
		}
	}
	return len(chain)
}

// store adds the blocks of a chain and returns the new and the evicted ones. The chain is added from its end, so that
// its first blocks are the last to be evicted.
func (c *prefixCache) store(chain []uint64) (stored, evicted []string) {
	if len(chain) > c.size {
		chain = chain[:c.size]
	}
	added := map[uint64]bool{}
	for i := len(chain) - 1; i >= 0; i-- {
		hash := chain[i]
		if _, ok := c.blocks.Get(hash); ok {
			continue
		}
		if c.blocks.Len() == c.size {
			old, _, _ := c.blocks.RemoveOldest()
			evicted = append(evicted, hexHash(old))
		}
		c.blocks.Add(hash, struct{}{})
		added[hash] = true
	}
	for _, hash := range chain {
		if added[hash] && c.blocks.Contains(hash) {
			stored = append(stored, hexHash(hash))
		}
	}
	return stored, evicted
}

func hexHash(hash uint64) string {
	s := strconv.FormatUint(hash, 16)
	return "0000000000000000"[len(s):] + s
}

// storeBlocks caches the prompt of a request whose prefill is complete, and publishes the change.
func (e *Engine) storeBlocks(g *generation, now time.Time) {
	stored, evicted := e.cache.store(g.blocks)
	e.publish(CacheEvicted, evicted, now)
	e.publish(CacheStored, stored, now)
}

func (e *Engine) publish(kind string, blocks []string, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	c := e.cache
	c.sequence++
	c.events = append(c.events, datedEvent{
		CacheEvent: CacheEvent{Sequence: c.sequence, Kind: kind, Blocks: blocks},
		at:         now,
		lost:       e.faults.DropCacheEvents || e.rng.Float64() < e.opts.CacheEventGap,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, ok := queryInt(w, r.URL.Query(), "after", 0)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, e.CacheEvents(uint64(max(0, after))))
}

// CacheEvents returns the published events after a sequence number.
func (e *Engine) CacheEvents(after uint64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	horizon := time.Now().Add(-e.opts.CacheEventDelay)
	out := CacheEvents{Events: []CacheEvent{}}
	blocks := 0
	for _, event := range e.cache.events {
		if event.at.After(horizon) || blocks >= maxAnswerBlocks {
			break
		}
		out.Sequence = event.Sequence
		if event.Sequence > after && !event.lost {
			out.Events = append(out.Events, event.CacheEvent)
			blocks += len(event.Blocks)
		}
	}
	return out
}
