package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Part is a part of a prompt that requests may share. An endpoint that holds a part without those before it must read it again.
type Part struct {
	Key    uint64
	Tokens float64
}

// PartKey returns the key of a part that is cached for a model.
func PartKey(model, id string) uint64 { return xxhash.Sum64String(model + "/" + id) }

// maxCachedParts bounds the parts that are remembered for an endpoint: an entry takes about 100 bytes, and an endpoint with
// memory for 400,000 tokens holds a few thousand parts of usual size.
const maxCachedParts = 4096

// holders are the endpoints of a pool that are believed to hold each part. Looking a prompt up here costs a lookup a part,
// where the caches of all endpoints would cost as many as there are endpoints.
type holders map[uint64][]*Endpoint

func (h holders) add(key uint64, e *Endpoint) { h[key] = append(h[key], e) }

func (h holders) remove(key uint64, e *Endpoint) {
	list := h[key]
	i := slices.Index(list, e)
	if i < 0 {
		return
	}
	last := len(list) - 1
	list[i], list[last] = list[last], nil
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

// use records that the endpoint reads the parts now.
func (c *partCache) use(parts []Part) {
	for _, p := range parts {
		if _, known := c.parts.Get(p.Key); known {
			continue
		}
		c.parts.Add(p.Key, p.Tokens)
		c.tokens += p.Tokens
		c.holders.add(p.Key, c.endpoint)
	}
	for c.tokens > c.capacity && c.parts.Len() > len(parts) {
		c.parts.RemoveOldest()
	}
}

// clear forgets all parts.
func (c *partCache) clear() { c.parts.Purge() }

// held returns, for each endpoint in order, the tokens at the start of a prompt that it need not read again. The result is valid
// until the next call.
func (p *Pool) held(parts []Part) []float64 {
	p.heldTokens = append(p.heldTokens[:0], make([]float64, len(p.order))...)
	p.heldParts = append(p.heldParts[:0], make([]int, len(p.order))...)
	for i, part := range parts {
		found := false
		for _, e := range p.holders[part.Key] {
			if p.heldParts[e.index] == i {
				p.heldParts[e.index]++
				p.heldTokens[e.index] += part.Tokens
				found = true
			}
		}
		if !found {
			break
		}
	}
	return p.heldTokens
}
