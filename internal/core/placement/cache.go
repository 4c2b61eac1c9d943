package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// PromptPart is a part of a prompt that requests may share. An endpoint that holds a part without those before it must read it again.
type PromptPart struct {
	Key    uint64
	Tokens float64
}

// PartKey returns the key of a part that is cached for a model.
func PartKey(model, id string) uint64 { return xxhash.Sum64String(model + "/" + id) }

// maxCachedParts bounds the parts that are remembered for an endpoint: an entry takes about 100 bytes, and an endpoint with
// memory for 400,000 tokens holds a few thousand parts of usual size.
const maxCachedParts = 4096

// holding is a part at an endpoint. It is read by then, or copied there.
type holding struct {
	endpoint *Endpoint
	readBy   clock.Instant
}

// holders are the endpoints of a pool that are believed to hold each part. Looking a prompt up here costs a lookup a part,
// where the caches of all endpoints would cost as many as there are endpoints.
type holders map[uint64][]holding

// set records that an endpoint holds a part, or holds it earlier than was known.
func (h holders) set(key uint64, e *Endpoint, readBy clock.Instant) {
	for i, at := range h[key] {
		if at.endpoint == e {
			h[key][i].readBy = min(at.readBy, readBy)
			return
		}
	}
	h[key] = append(h[key], holding{endpoint: e, readBy: readBy})
}

func (h holders) remove(key uint64, e *Endpoint) {
	list := h[key]
	i := slices.IndexFunc(list, func(at holding) bool { return at.endpoint == e })
	if i < 0 {
		return
	}
	last := len(list) - 1
	list[i], list[last] = list[last], holding{}
	if last == 0 {
		delete(h, key)
		return
	}
	h[key] = list[:last]
}

// partCache is what an endpoint is believed to hold: the most recently used parts that fit its memory.
type partCache struct {
	endpoint *Endpoint
	holders  holders // of the pool
	capacity float64 // tokens
	tokens   float64
	parts    *simplelru.LRU[uint64, float64]
}

func newPartCache(e *Endpoint, h holders, capacity float64) *partCache {
	c := &partCache{endpoint: e, holders: h, capacity: capacity}
	parts, err := simplelru.NewLRU(maxCachedParts, func(key uint64, tokens float64) {
		c.tokens -= tokens
		c.holders.remove(key, c.endpoint)
	})
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	c.parts = parts
	return c
}

// use records that the endpoint reads the parts and holds them at the latest by then.
func (c *partCache) use(parts []PromptPart, readBy clock.Instant) {
	for _, p := range parts {
		if _, known := c.parts.Get(p.Key); !known {
			c.parts.Add(p.Key, p.Tokens)
			c.tokens += p.Tokens
		}
		c.holders.set(p.Key, c.endpoint, readBy)
	}
	for c.tokens > c.capacity && c.parts.Len() > len(parts) {
		c.parts.RemoveOldest()
	}
}

// clear forgets all parts.
func (c *partCache) clear() { c.parts.Purge() }

// held is what an endpoint holds of a prompt from its start on, in tokens.
type held struct {
	parts  int
	tokens float64 // that it need not read again when it comes to the request
	copies float64 // of those, that another endpoint can copy now
}

// held returns, for each endpoint in order, what it holds of a prompt. The result is valid until the next call.
func (p *Pool) held(now clock.Instant, parts []PromptPart) []held {
	p.heldScratch = append(p.heldScratch[:0], make([]held, len(p.order))...)
	for i, part := range parts {
		found := false
		for _, at := range p.holders[part.Key] {
			h := &p.heldScratch[at.endpoint.index]
			if h.parts != i {
				continue
			}
			h.parts++
			if at.readBy <= now && h.copies == h.tokens {
				h.copies += part.Tokens
			}
			h.tokens += part.Tokens
			found = true
		}
		if !found {
			break
		}
	}
	return p.heldScratch
}
