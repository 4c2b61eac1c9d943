package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/prefixvalue"
)

// PromptPart is a section of a prompt that several requests may share, such as a common prefix. An endpoint can reuse a cached
// part only if it also holds all parts before it; otherwise it has to process the part again.
type PromptPart struct {
	Key    uint64
	Tokens float64
}

// PartKey returns the cache key of a prompt part for a model.
func PartKey(model, id string) uint64 { return xxhash.Sum64String(model + "/" + id) }

// maxCachedParts bounds the parts that are tracked for an endpoint: an entry takes about 100 bytes, and an endpoint with memory
// for 400,000 tokens holds a few thousand parts of usual size.
const maxCachedParts = 4096

// cachedAt says that an endpoint has a part in its prefix cache, or will have it at the time availableAt, when it has processed
// or copied it.
type cachedAt struct {
	endpoint    *Endpoint
	availableAt clock.Instant
	filled      float64 // prefixCache.filled at the last use
}

// partIndex lists, by part key, the endpoints of a pool that are believed to hold the part. Looking up a prompt takes one lookup
// per part; searching the cache of each endpoint would take one per part and endpoint.
type partIndex map[uint64][]cachedAt

// set records that an endpoint holds a part from the time availableAt on. An earlier time that is known already stays.
func (h partIndex) set(key uint64, e *Endpoint, availableAt clock.Instant) {
	for i, at := range h[key] {
		if at.endpoint == e {
			h[key][i].availableAt = min(at.availableAt, availableAt)
			h[key][i].filled = e.cache.filled
			return
		}
	}
	h[key] = append(h[key], cachedAt{endpoint: e, availableAt: availableAt, filled: e.cache.filled})
}

func (h partIndex) remove(key uint64, e *Endpoint) {
	list := h[key]
	i := slices.IndexFunc(list, func(at cachedAt) bool { return at.endpoint == e })
	if i < 0 {
		return
	}
	last := len(list) - 1
	list[i], list[last] = list[last], cachedAt{}
	if last == 0 {
		delete(h, key)
		return
	}
	h[key] = list[:last]
}

// prefixCache models the prefix cache of an endpoint: the most recently used parts that fit into its memory.
type prefixCache struct {
	endpoint *Endpoint
	index    partIndex // of the pool
	capacity float64   // in tokens
	tokens   float64
	filled   float64 // tokens that have been added since the start
	parts    *simplelru.LRU[uint64, float64]
}

func newPrefixCache(e *Endpoint, h partIndex, capacity float64) *prefixCache {
	c := &prefixCache{endpoint: e, index: h, capacity: capacity}
	parts, err := simplelru.NewLRU(maxCachedParts, func(key uint64, tokens float64) {
		c.tokens -= tokens
		c.index.remove(key, c.endpoint)
	})
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	c.parts = parts
	return c
}

// use records that the endpoint processes the parts and holds them from availableAt on at the latest.
func (c *prefixCache) use(parts []PromptPart, availableAt clock.Instant) {
	for _, p := range parts {
		if _, known := c.parts.Get(p.Key); !known {
			c.parts.Add(p.Key, p.Tokens)
			c.tokens += p.Tokens
			c.filled += p.Tokens
		}
		c.index.set(p.Key, c.endpoint, availableAt)
	}
	c.evict(len(parts))
}

// evict removes the oldest parts that do not fit, but not the last keep ones.
func (c *prefixCache) evict(keep int) {
	for c.tokens > c.capacity && c.parts.Len() > keep {
		c.parts.RemoveOldest()
	}
}

// resize sets the size of the cache in tokens.
func (c *prefixCache) resize(capacity float64) {
	c.capacity = capacity
	c.evict(0)
}

// clear removes all parts.
func (c *prefixCache) clear() { c.parts.Purge() }

// cachedPrefix is the part of a prompt, from its start on, that an endpoint holds.
type cachedPrefix struct {
	parts    int
	tokens   float64 // tokens that need not be processed again when the endpoint reaches the request, as expected
	copied   int     // parts that another endpoint can copy now
	copyable float64 // their tokens, as expected
}

// cachedPrefixes returns, for each endpoint in p.order, which prefix of a prompt it holds. The result is valid until the next
// call.
func (p *Pool) cachedPrefixes(now clock.Instant, parts []PromptPart) []cachedPrefix {
	p.prefixScratch = append(p.prefixScratch[:0], make([]cachedPrefix, len(p.order))...)
	for i, part := range parts {
		found := false
		for _, at := range p.partIndex[part.Key] {
			prefix := &p.prefixScratch[at.endpoint.index]
			if prefix.parts != i {
				continue
			}
			prefix.parts++
			cache := at.endpoint.cache
			tokens := part.Tokens * prefixvalue.Retained(cache.filled-at.filled, cache.capacity)
			if at.availableAt <= now && prefix.copied == i {
				prefix.copied++
				prefix.copyable += tokens
			}
			prefix.tokens += tokens
			found = true
		}
		if !found {
			break
		}
	}
	return p.prefixScratch
}
