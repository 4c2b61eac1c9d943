package placement

import (
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

// partCache is what an endpoint is believed to hold: the most recently used parts that fit its memory.
type partCache struct {
	capacity float64 // tokens
	tokens   float64
	parts    *simplelru.LRU[uint64, float64]
}

func newPartCache(capacity float64) *partCache {
	c := &partCache{capacity: capacity}
	parts, err := simplelru.NewLRU(maxCachedParts, func(_ uint64, tokens float64) { c.tokens -= tokens })
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
	}
	for c.tokens > c.capacity && c.parts.Len() > len(parts) {
		c.parts.RemoveOldest()
	}
}

// held returns the tokens at the start of a prompt that need not be read again.
func (c *partCache) held(parts []Part) float64 {
	tokens := 0.0
	for _, p := range parts {
		if !c.parts.Contains(p.Key) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
