package endpointrate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/rendezvous"
)

const (
	start = clock.Instant(time.Hour)
	step  = 50 * time.Millisecond
)

// advance ticks a pacer up to a time, as a running process does.
func advance(p *Pacer, from, to clock.Instant) {
	for now := from; now <= to; now = now.Add(step) {
		p.Tick(now)
	}
}

// settled returns the pacer of an instance that has known the members for long.
func settled(self string, now clock.Instant, names ...string) *Pacer {
	p := NewPacer(self)
	p.SetMembers(now.Add(-2*handOverTime), names)
	advance(p, now.Add(-2*handOverTime), now)
	return p
}

// Guards against many instances that each send a first request to an endpoint which accepts only a rate, and against none that does.
func TestFewInstancesAreSenders(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for limit, want := range map[float64]int{0: 2, 1: 2, 3.5: 2, 4: 3, 10: 4, 100: 8} {
		sum, senders := 0.0, 0
		for _, self := range names {
			if p := settled(self, start, names...); p.MaySend(start, "e", limit) {
				senders++
				sum += p.share("e", limit)
			}
		}
		if senders != want || sum > max(limit, minRate) {
			t.Errorf("limit %.1f: %d instances send %.2f requests/s, want %d", limit, senders, sum, want)
		}
	}
}

// Guards against an instance that sends at its share right after it has started, while it knows no members or others do not know
// it, or right after a pause in which others may have taken over.
func TestSenderWaitsUntilItsViewIsSettled(t *testing.T) {
	p := NewPacer("a")
	now := start
	run := func(d time.Duration) {
		advance(p, now, now.Add(d))
		now = now.Add(d)
	}
	expect := func(when string, want bool) {
		t.Helper()
		if got := p.MaySend(now, "e", 2); got != want {
			t.Errorf("%s: may send: %v", when, got)
		}
	}
	run(2 * handOverTime)
	expect("without members", false)
	p.SetMembers(now, []string{"b"})
	run(2 * handOverTime)
	expect("unknown to the others", false)
	p.SetMembers(now, []string{"a", "b"})
	run(handOverTime - step)
	expect("just listed", false)
	run(3 * step)
	expect("settled", true)
	now = now.Add(maxPause + step) // the process stands still
	expect("after a pause", false)
	run(handOverTime - step)
	expect("shortly after a pause", false)
	run(2 * step)
	expect("settled after a pause", true)
	for i := range 2 * maxMemberSets {
		p.SetMembers(now, []string{"a", "b", fmt.Sprint("c", i)})
		run(step)
	}
	expect("after many changes", false)
	p.SetMembers(now, []string{"a", "b"})
	run(handOverTime + 2*step)
	expect("after the changes have ended", true)
}

// Guards against senders before and after a change of the members that send at the same time: all senders are replaced at once, by
// instances that join or by others because they lose their membership, and each instance learns of it after a delay of its own. Guards
// as well against an endpoint that gets nothing after that.
func TestReplacedSendersKeepTheRateTogether(t *testing.T) {
	const (
		window     = 4 * time.Second
		coldWindow = time.Second
		mostDelay  = 2800 * time.Millisecond
	)
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := 0.2 + 12*rng.Float64()
		before := make([]string, 1+rng.IntN(12))
		for i := range before {
			before[i] = fmt.Sprint("old", seed, "-", i)
		}
		after := slices.Clone(before)
		var gone []string
		if rng.IntN(2) == 0 && len(before) > 4 { // the highest ranked lose their membership, and go on until they learn of it
			gone = rendezvous.Top("e", before, len(before)/2)
			after = slices.DeleteFunc(after, func(name string) bool { return slices.Contains(gone, name) })
		}
		all := slices.Clone(before)
		for i := range before { // joiners that rank above all others
			if len(after) < len(before) {
				break // nobody joins
			}
			for n := 0; ; n++ {
				name := fmt.Sprint("new", i, "-", n)
				if rendezvous.First("e", append([]string{name}, before...)) == name {
					after, all = append(after, name), append(all, name)
					break
				}
			}
		}
		pacers, learns := make(map[string]*Pacer), make(map[string]clock.Instant)
		for _, name := range before {
			pacers[name] = settled(name, start, before...)
			learns[name] = start.Add(time.Duration(rng.Int64N(int64(mostDelay))))
			if len(gone) > 0 && !slices.Contains(gone, name) {
				learns[name] = start
			} else if len(gone) > 0 {
				learns[name] = start.Add(mostDelay)
			}
		}
		for _, name := range all[len(before):] {
			pacers[name] = NewPacer(name)
			learns[name] = start.Add(time.Duration(rng.Int64N(int64(mostDelay) / 4)))
		}
		var sent []clock.Instant
		for now := start; now < start.Add(20*time.Second); now = now.Add(step) {
			for _, name := range all {
				p := pacers[name]
				if p.Tick(now); now >= learns[name] {
					p.SetMembers(now, after)
				}
				if p.MaySend(now, "e", limit) {
					p.RecordSent(now, "e")
					sent = append(sent, now)
				}
			}
		}
		for i, at := range sent {
			inWindow, inSecond := 0, 0
			for _, other := range sent[:i+1] {
				if at.Sub(other) <= window {
					inWindow++
				}
				if at.Sub(other) < coldWindow {
					inSecond++
				}
			}
			if allowed := 1.5*limit*window.Seconds() + 5; float64(inWindow) > allowed {
				t.Fatalf("seed %d: %d requests in %s at a limit of %.2f a second, allowed %.1f", seed, inWindow, window, limit, allowed)
			}
			if allowed := 1.5*limit + 3; float64(inSecond) > allowed {
				t.Fatalf("seed %d: %d requests in a second at a cold rate of %.2f, allowed %.1f", seed, inSecond, limit, allowed)
			}
		}
		if last := sent[len(sent)-1]; last < start.Add(20*time.Second-8*time.Second) {
			t.Errorf("seed %d: no request after %s", seed, last.Sub(start))
		}
	}
}

// Guards against a limit of any size that ends the process: the number of senders of a limit of 1e20 requests/s overflowed.
func TestLimitsOfAnySizeAreShared(t *testing.T) {
	for _, limit := range []float64{1e20, 1 << 62, math.MaxInt64, math.MaxFloat64, math.Inf(1), math.NaN(), -1, math.SmallestNonzeroFloat64} {
		p := settled("a", start, "a", "b", "c")
		p.MaySend(start, "e", limit)
		if rate := p.share("e", limit); !(rate >= 0) || rate > MaxRate {
			t.Errorf("share of a limit of %v requests/s is %v", limit, rate)
		}
		if limit >= 1e20 && !p.MaySend(start, "e", limit) {
			t.Errorf("a limit of %v requests/s, which binds nobody, keeps requests from the endpoint", limit)
		}
	}
}
