package routing

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Sizes of prompts, as docs/platform.md defines them.
const (
	// BytesPerToken is the number of bytes of prompt text that count as a token.
	BytesPerToken = 4
	// TokensPerBlock is the number of tokens of a prefix block.
	TokensPerBlock = 64
	blockBytes     = BytesPerToken * TokensPerBlock
)

// EstimateTokens estimates the tokens of a text.
func EstimateTokens(bytes int) int64 { return int64((bytes + BytesPerToken - 1) / BytesPerToken) }

// PrefixBlockHashes returns the chained hashes of the whole prefix blocks of a prompt, at most maxBlocks.
func PrefixBlockHashes(prompt []byte, maxBlocks int) []uint64 {
	n := min(len(prompt)/blockBytes, maxBlocks)
	out := make([]uint64, 0, n)
	buf := make([]byte, 8+blockBytes)
	previous := uint64(0)
	for i := range n {
		binary.BigEndian.PutUint64(buf, previous)
		copy(buf[8:], prompt[i*blockBytes:(i+1)*blockBytes])
		previous = xxhash.Sum64(buf)
		out = append(out, previous)
	}
	return out
}

// Trust in cache knowledge.
const (
	// knowledgeHalfLife is the age at which a block counts half: an endpoint evicts without telling at once.
	knowledgeHalfLife = 2 * time.Minute
	// gapTrust is the trust that is left in a block that was known before a gap in the cache events.
	gapTrust = 0.5
)

// PrefixCache is what is known of one endpoint's cached prefix blocks.
type PrefixCache struct {
	blocks     *simplelru.LRU[uint64, knowledge]
	generation int // counts gaps
}

type knowledge struct {
	at         clock.Instant
	generation int
}

// NewPrefixCache remembers up to the given number of blocks. It panics if that is not positive.
func NewPrefixCache(blocks int) *PrefixCache {
	lru, err := simplelru.NewLRU[uint64, knowledge](blocks, nil)
	if err != nil {
		panic(err)
	}
	return &PrefixCache{blocks: lru}
}

// Stored records blocks that the endpoint holds or is about to compute.
func (p *PrefixCache) Stored(blocks []uint64, now clock.Instant) {
	for _, b := range blocks {
		p.blocks.Add(b, knowledge{at: now, generation: p.generation})
	}
}

// Evicted forgets blocks.
func (p *PrefixCache) Evicted(blocks []uint64) {
	for _, b := range blocks {
		p.blocks.Remove(b)
	}
}

// EventsLost records that cache events were lost: what is known may have been evicted since.
func (p *PrefixCache) EventsLost() { p.generation++ }

// Reset forgets everything, as after a restart of the endpoint.
func (p *PrefixCache) Reset() { p.blocks.Purge() }

// CachedTokens returns the tokens of a prompt that the endpoint is believed to hold, scaled by the trust in each block.
func (p *PrefixCache) CachedTokens(blocks []uint64, now clock.Instant) float64 {
	total := 0.0
	trust := 1.0 // a prefix is no more certain than its earlier blocks
	for _, b := range blocks {
		k, ok := p.blocks.Peek(b)
		if !ok {
			break
		}
		age := now.Sub(k.at)
		own := math.Exp2(-float64(age) / float64(knowledgeHalfLife))
		own *= math.Pow(gapTrust, float64(p.generation-k.generation))
		trust = min(trust, own)
		total += trust * TokensPerBlock
	}
	return total
}
