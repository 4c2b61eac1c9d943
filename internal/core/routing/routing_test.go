package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

func drawCandidates(t *rapid.T) []Candidate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{
			Slots:        rapid.IntRange(1, 8).Draw(t, "slots"),
			InFlight:     rapid.IntRange(0, 8).Draw(t, "in flight"),
			PeerInFlight: rapid.IntRange(0, 4).Draw(t, "foreign"),
			QueuedTokens: float64(rapid.IntRange(0, 5000).Draw(t, "queued")),
			CachedTokens: float64(rapid.IntRange(0, 4000).Draw(t, "cached")),
			Slowness:     rapid.Float64Range(1, 4).Draw(t, "slowness"),
			Ejected:      rapid.Bool().Draw(t, "ejected"),
			Avoid:        rapid.Bool().Draw(t, "avoid"),
		}
	}), 1, 12).Draw(t, "candidates")
}

// Guards against choosing an endpoint without capacity, against choosing none although one has capacity, and against choosing
// an ejected or avoided endpoint while there are others, even if these are full: an endpoint that fails requests at once would
// get the whole queue.
func TestChooseTakesOnlyUsableEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cands := drawCandidates(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		i := DefaultPolicy.Choose(cands, 1000, false, rng)
		free, good, freeGood := 0, 0, 0
		for _, c := range cands {
			if c.Free() {
				free++
			}
			if !c.Ejected && !c.Avoid {
				good++
				if c.Free() {
					freeGood++
				}
			}
		}
		if good > 0 {
			free = freeGood // the request waits rather than use an ejected or avoided endpoint
		}
		if (i < 0) != (free == 0) {
			t.Fatalf("chose %d with %d usable endpoints", i, free)
		}
		if i < 0 {
			return
		}
		if !cands[i].Free() {
			t.Fatalf("chose endpoint %d, which has no capacity", i)
		}
		if good > 0 && (cands[i].Ejected || cands[i].Avoid) {
			t.Fatalf("chose endpoint %d, which is ejected or to be avoided, although there are %d others", i, good)
		}
	})
}

// Guards against prefix affinity that sends all requests with a common prefix to one endpoint until its capacity is used up.
func TestAffinityIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	cands := make([]Candidate, 4)
	for i := range cands {
		cands[i].Slots = 8
	}
	cands[2].CachedTokens = 4000
	if i := DefaultPolicy.Choose(cands, 4096, false, rng); i != 2 {
		t.Fatalf("chose %d, want 2, which has the prefix cached", i)
	}
	for range 12 {
		i := DefaultPolicy.Choose(cands, 4096, false, rng)
		cands[i].InFlight++
	}
	if cands[2].InFlight > 7 {
		t.Fatalf("%d of 12 requests went to the endpoint with the cached prefix, want at most 7", cands[2].InFlight)
	}
}

// Guards against ejecting so many endpoints that the remaining ones are overloaded.
func TestEjectionLeavesMostOfTheGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "endpoints")
		group := make([]*Health, n)
		now := clock.Instant(0)
		for i := range group {
			group[i] = &Health{}
			for range rapid.IntRange(0, 8).Draw(t, "failures") {
				group[i].Failed(now)
			}
		}
		out := 0
		for _, e := range Ejected(group, now) {
			if e {
				out++
			}
		}
		if out > n/3 && !(n == 2 && out == 1) {
			t.Fatalf("%d of %d endpoints are ejected", out, n)
		}
		for _, e := range Ejected(group, now.Add(maxEjection)) {
			if e {
				t.Fatal("an endpoint is still ejected after the longest ejection")
			}
		}
	})
}

// Guards against records of prefix caches that count in full although they are old or cache events were lost.
func TestPrefixTrustFallsWithAgeAndGaps(t *testing.T) {
	prompt := make([]byte, 10*blockBytes+17)
	blocks := PrefixBlockHashes(prompt, 100)
	if len(blocks) != 10 {
		t.Fatalf("%d blocks, want 10: a partial block has none", len(blocks))
	}
	c := NewPrefixCache(100)
	c.Stored(blocks, 0)
	if got := c.CachedTokens(blocks, 0); got != 640 {
		t.Fatalf("%.0f tokens cached, want 640", got)
	}
	if got := c.CachedTokens(blocks, clock.Instant(trustHalfLife)); got != 320 {
		t.Fatalf("%.0f tokens after the half-life, want 320", got)
	}
	c.EventsLost()
	if got := c.CachedTokens(blocks, 0); got != 320 {
		t.Fatalf("%.0f tokens after lost events, want 320", got)
	}
	c.Evicted(blocks[3:4])
	if got := c.CachedTokens(blocks, 0); got != 96 {
		t.Fatalf("%.0f tokens with the fourth block evicted, want 96", got)
	}
}

// Guards against forwarding that saves no time, and against all instances forwarding to the same region at once.
func TestRegionChoiceIsDamped(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	remote := []RegionLoad{{Region: "cusco", Wait: 0, OneWay: 80 * time.Millisecond}}
	if i := ChooseRegion(300*time.Millisecond, true, remote, rng); i != -1 {
		t.Fatal("forwarded although the saved wait is below the cost")
	}
	forwarded := 0
	for range 1000 {
		if ChooseRegion(10*time.Second, true, remote, rng) == 0 {
			forwarded++
		}
	}
	if forwarded < 400 || forwarded > 600 {
		t.Fatalf("%d of 1000 requests were forwarded, want about half", forwarded)
	}
	remote[0].Age = time.Hour
	if i := ChooseRegion(10*time.Second, true, remote, rng); i != -1 {
		t.Fatal("forwarded on the basis of an old summary")
	}
	if i := ChooseRegion(0, false, remote, rng); i != 0 {
		t.Fatal("a request that cannot be served here must go to the only region that may serve it")
	}
}
