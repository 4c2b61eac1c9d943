// Package prefixvalue weighs what a cached part of a prompt saves. All values are in prompt tokens that an engine processes: the cost of
// an engine for a request is a sum of such values. The package does no I/O and uses no clock.
package prefixvalue

const (
	// certainFraction is the fraction of an engine's cache that may have been filled since the last use of a part while the part
	// is certainly still there. What other instances have sent there, and how much memory running requests take, is known only
	// roughly, so that the part may be evicted before the whole cache has been filled.
	certainFraction = 0.7
	// leastRetained is the probability at which a part counts that is just about to be evicted.
	leastRetained = 0.3
	// byteCost is the cost of a copied token relative to one that is processed, for its bytes on the link between engines. They
	// are paid for at about a third of a token that is processed again.
	byteCost = 0.3
	// setupTokens is the cost of setting up a copy: a few milliseconds.
	setupTokens = 300.0
)

// Retained returns the probability that an engine still holds a part of a prompt when a request for it starts. filled is the number of
// tokens that have been added to the cache since the part was last used, capacity the size of the cache in tokens.
func Retained(filled, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	used := filled / capacity
	switch {
	case used <= certainFraction:
		return 1
	case used >= 1:
		return leastRetained
	}
	return 1 - (1-leastRetained)*(used-certainFraction)/(1-certainFraction)
}

// Copy is the cost of copying cached tokens from another engine.
type Copy struct {
	Wait float64 // prompt tokens that the engine could process in the time of the copy
	Cost float64 // with what the bytes cost
}

// CopyOf returns the cost of copying a number of tokens. prefillRate and copyRate are in tokens per second.
func CopyOf(tokens, prefillRate, copyRate float64) Copy {
	if tokens <= 0 || copyRate <= 0 {
		return Copy{}
	}
	wait := setupTokens + tokens*prefillRate/copyRate
	return Copy{Wait: wait, Cost: max(wait, byteCost*tokens)}
}

// Worthwhile reports whether a copy costs less than processing the tokens.
func (c Copy) Worthwhile(tokens float64) bool { return c.Cost > 0 && c.Cost < tokens }
