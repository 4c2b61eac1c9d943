package routing

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Units of prompt sizes, as docs/platform.md defines them.
const (
	// BytesPerToken is the number of bytes of prompt text that count as one token.
	BytesPerToken = 4
	// TokensPerBlock is the number of tokens in a prefix block.
	TokensPerBlock = 64
	blockBytes     = BytesPerToken * TokensPerBlock
)

// EstimateTokens estimates the number of tokens in a text of the given length.
func EstimateTokens(bytes int) int64 { return int64((bytes + BytesPerToken - 1) / BytesPerToken) }

// PrefixBlockHashes returns the hashes of the complete prefix blocks of a prompt, at most maxBlocks. Each hash covers the block and
// all before it.
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

// Trust in what is known of prefix caches: the fraction with which a block counts as still cached.
const (
	// trustHalfLife is the age at which the trust in a block has halved, since endpoints report evictions late.
	trustHalfLife = 2 * time.Minute
	// trustAfterEventsLost is the factor by which lost cache events reduce the trust in a block that was known before.
	trustAfterEventsLost = 0.5
)

// PrefixCache records which prefix blocks one endpoint is believed to hold in its prefix cache.
type PrefixCache struct {
	blocks     *simplelru.LRU[uint64, cachedBlock]
	generation int // number of times that cache events were lost
}

// cachedBlock says when a block was last known to be cached.
type cachedBlock struct {
	at         clock.Instant
	generation int // of the PrefixCache at that time
}

// NewPrefixCache returns an empty record that holds up to the given number of blocks. It panics if the number is not positive.
func NewPrefixCache(blocks int) *PrefixCache {
	lru, err := simplelru.NewLRU[uint64, cachedBlock](blocks, nil)
	if err != nil {
		panic(err)
	}
	return &PrefixCache{blocks: lru}
}

// Stored records blocks that the endpoint has cached or is about to compute.
func (p *PrefixCache) Stored(blocks []uint64, now clock.Instant) {
	for _, b := range blocks {
		p.blocks.Add(b, cachedBlock{at: now, generation: p.generation})
	}
}

// Evicted removes blocks that the endpoint has evicted.
func (p *PrefixCache) Evicted(blocks []uint64) {
	for _, b := range blocks {
		p.blocks.Remove(b)
	}
}

// EventsLost records that cache events were lost, so that any known block may have been evicted.
func (p *PrefixCache) EventsLost() { p.generation++ }

// Reset removes all blocks. It is called when the endpoint has restarted.
func (p *PrefixCache) Reset() { p.blocks.Purge() }

// CachedTokens returns the number of tokens of a prompt's prefix that the endpoint is believed to have cached. Each block counts
// with the trust in it.
func (p *PrefixCache) CachedTokens(blocks []uint64, now clock.Instant) float64 {
	total := 0.0
	trust := 1.0 // a block is of use only with all earlier blocks, so the lowest trust counts
	for _, b := range blocks {
		k, ok := p.blocks.Peek(b)
		if !ok {
			break
		}
		age := now.Sub(k.at)
		own := math.Exp2(-float64(age) / float64(trustHalfLife))
		own *= math.Pow(trustAfterEventsLost, float64(p.generation-k.generation))
		trust = min(trust, own)
		total += trust * TokensPerBlock
	}
	return total
}
