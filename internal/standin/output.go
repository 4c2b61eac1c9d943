package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// tokenBytes is the length of a token: prompts are counted and output is written by it.
	tokenBytes = 4
	// blockTokens is the length of a prefix block in tokens.
	blockTokens = 64
	blockBytes  = blockTokens * tokenBytes
)

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int { return (len(prompt) + tokenBytes - 1) / tokenBytes }

// BlockHashes returns the chained hashes of the prompt's full blocks.
func BlockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var previous uint64
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		digest.Reset()
		var head [8]byte
		binary.BigEndian.PutUint64(head[:], previous)
		_, _ = digest.Write(head[:]) // never fails
		_, _ = digest.WriteString(prompt[:blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// OutputText returns the output tokens from (inclusive) to (exclusive) that every engine gives for the prompt.
func OutputText(prompt string, from, to int) string {
	return outputText(xxhash.Sum64String(prompt), from, to)
}

func outputText(seed uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.Write(outputToken(seed, i))
	}
	return b.String()
}

// outputToken returns three letters and a space, which depend on the seed and the position only.
func outputToken(seed uint64, i int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var in [16]byte
	binary.BigEndian.PutUint64(in[:8], seed)
	binary.BigEndian.PutUint64(in[8:], uint64(i))
	h := xxhash.Sum64(in[:])
	out := make([]byte, tokenBytes)
	for j := range tokenBytes - 1 {
		out[j] = letters[h%uint64(len(letters))]
		h /= uint64(len(letters))
	}
	out[tokenBytes-1] = ' '
	return out
}
