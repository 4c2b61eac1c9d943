package load

import (
	"math/rand/v2"
	"strings"
)

// bytesPerToken is the size of a token that the stand-in engines and the gateway's estimate count with.
const bytesPerToken = 4

const letters = "abcdefghijklmnopqrstuvwxyz"

// prompt returns text of about n tokens: first the part that all requests of the organisation share, then text of its own.
func prompt(a Arrival) string {
	shared := int(float64(a.Stream.PromptTokens) * a.Stream.SharedPrefix)
	shared = min(shared, a.PromptTokens)
	var b strings.Builder
	b.Grow(a.PromptTokens * bytesPerToken)
	write(&b, rand.New(rand.NewPCG(hash(a.Stream.Organisation), 0)), shared)
	write(&b, rand.New(rand.NewPCG(a.Seed, 1)), a.PromptTokens-shared)
	return b.String()
}

// write adds n tokens: three letters and a space each.
func write(b *strings.Builder, rng *rand.Rand, n int) {
	for range n {
		for range bytesPerToken - 1 {
			b.WriteByte(letters[rng.IntN(len(letters))])
		}
		b.WriteByte(' ')
	}
}

// hash is FNV-1a, so that an organisation's shared text is the same in every run.
func hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}
