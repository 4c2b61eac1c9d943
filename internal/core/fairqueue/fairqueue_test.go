package fairqueue

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var organisations = []string{"a", "b", "c", "d"}

// Guards against an organisation or class that starves while it waits, and against lost or duplicated items.
func TestEveryItemLeavesOnceAndNothingStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](DefaultShares)
		weights := map[string]float64{"a": 1, "b": 2, "c": 5, "d": 0}
		waiting := map[int]*Item[int]{}
		passed := map[int]float64{} // tokens popped while the item waited
		bound := map[int]float64{}
		next := 0
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				org := rapid.SampledFrom(organisations).Draw(t, "organisation")
				it := &Item[int]{
					Organisation: org, Weight: weights[org], Value: next,
					Class:  Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Tokens: float64(rapid.IntRange(1, 1000).Draw(t, "tokens")),
				}
				q.Push(it)
				waiting[next] = it
				bound[next] = starvationBound(waiting, it)
				next++
			case 2, 3:
				it := q.Pop()
				if (it == nil) != (len(waiting) == 0) {
					t.Fatalf("popped %v with %d waiting", it, len(waiting))
				}
				if it == nil {
					continue
				}
				if waiting[it.Value] != it {
					t.Fatalf("item %d left twice", it.Value)
				}
				delete(waiting, it.Value)
				for id := range waiting {
					passed[id] += it.Tokens
					if passed[id] > bound[id] {
						t.Fatalf("item %d waited for %.0f tokens, bound %.0f", id, passed[id], bound[id])
					}
				}
			case 4:
				for id, it := range waiting {
					if !q.Remove(it) {
						t.Fatalf("waiting item %d was not found", id)
					}
					delete(waiting, id)
					break
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("length %d, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// starvationBound returns a generous limit for the tokens that may be popped before an item, whatever arrives later: the tokens
// of its organisation scaled by all weights and by the class shares, plus one item of the largest size for each competing queue.
func starvationBound(waiting map[int]*Item[int], it *Item[int]) float64 {
	own := 0.0
	for _, o := range waiting {
		if o.Organisation == it.Organisation && o.Class == it.Class {
			own += o.Tokens
		}
	}
	const largest, totalWeight = 1000.0, 9.0
	inClass := (own+largest)/it.Weight*totalWeight + largest*float64(len(organisations))
	share := 4 / DefaultShares[it.Class]
	return inClass*share + 4*largest
}

// Guards against shares that do not follow the weights while all organisations wait.
func TestSharesFollowWeights(t *testing.T) {
	q := New[int](DefaultShares)
	for range 2000 {
		q.Push(&Item[int]{Organisation: "small", Weight: 1, Tokens: 100})
		q.Push(&Item[int]{Organisation: "large", Weight: 3, Tokens: 50})
		q.Push(&Item[int]{Organisation: "large", Weight: 3, Class: Long, Tokens: 400})
	}
	got := map[string]float64{}
	long := 0.0
	for range 1000 {
		it := q.Pop()
		if it.Class == Long {
			long += it.Tokens
			continue
		}
		got[it.Organisation] += it.Tokens
	}
	if r := got["large"] / got["small"]; math.Abs(r-3) > 0.1 {
		t.Fatalf("large got %.2f times the tokens of small, want 3", r)
	}
	if r := (got["large"] + got["small"]) / long; math.Abs(r-3) > 0.2 {
		t.Fatalf("short got %.2f times the tokens of long, want 3", r)
	}
}

// Guards against an estimate that counts all waiting requests of an organisation with many of them, so that requests of other
// organisations which would be served soon are rejected.
func TestTokensAheadCountsOnlyTheFairShareOfOthers(t *testing.T) {
	q := New[int](DefaultShares)
	for range 1000 {
		q.Push(&Item[int]{Organisation: "flood", Tokens: 100})
	}
	if a := q.TokensAhead("quiet", 1, Short, 100); a > 100 {
		t.Fatalf("%.0f tokens ahead of a quiet organisation, want at most 100", a)
	}
	if a := q.TokensAhead("flood", 1, Short, 100); a != 100000 {
		t.Fatalf("%.0f tokens ahead of the flooding organisation, want 100000", a)
	}
}
