package crashguard

import (
	"slices"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// minCrashes is the number of successive crashes at which a part is blocked, and minCrashesAlive that of a part which had shown life
	// shortly before the first of them.
	minCrashes      = 3
	minCrashesAlive = 6
	// minSingle is the number of crashes that count by themselves at which a part is blocked, also if they came side by side. Operators
	// accept no requests with the part, but for a few, after that many crashes.
	minSingle = 5
	// outlivedAfter is how long endpoints must have run requests since a crash until it is outlived. When all endpoints have crashed, the
	// parts of many requests show life in that time.
	outlivedAfter = 2 * time.Second
	// separateAfter is the time between two crashes from which on they count as successive, also if the requests of the second were sent
	// before the first: endpoints that fail for one common reason do so within it.
	separateAfter = time.Second
	// trialSkew is by how much the end of a block may differ between instances, which know the times of crashes with different delays. A
	// crash that comes this long before the end was caused by a trial too, or else some instances would extend the block and others not.
	trialSkew = 5 * time.Second
	// Turn is the time of one instance alone to try a part once its block has run out, until it is the next one's turn. It sends its request
	// in the first part of it, turnOpen, so that the next instance knows by its own turn that the request has crashed an endpoint.
	Turn     = 15 * time.Second
	turnOpen = 5 * time.Second
)

// blocks are how long a part is blocked: at first, and after each trial that crashed an endpoint again. Operators accept three more
// requests with the part in a day, and one is kept for a request that was sent at the same time as a trial.
var blocks = [...]time.Duration{30 * time.Second, 10 * time.Minute, 24 * time.Hour}

// Standing is what the crashes say about a part.
type Standing struct {
	Part    uint64
	Crashes int // successive ones
	Blocked bool
	// Until is when the block runs out, if the part is blocked. After that it may be tried.
	Until clock.Instant
}

// successive returns the crashes of a part that were not caused by one common event, and the others. Each of the first was a while after
// the one before, or its request was sent after that. An event that ends many endpoints at once counts once for all parts that were there.
func successive(part uint64, crashes []*Crash) (out, grouped []*Crash) {
	for _, c := range crashes {
		s, together := c.Parts[part], false
		if len(out) > 0 {
			last := out[len(out)-1].At
			together = s.Grouped || c.At.Add(-s.Lead) < last && c.At.Sub(last) < separateAfter
		}
		if together {
			grouped = append(grouped, c)
		} else {
			out = append(out, c)
		}
	}
	return out, grouped
}

// suffices reports whether crashes are enough to block a part, and the time of the one that was: a number of the given successive ones, or
// minSingle that count by themselves. Requests that are sent side by side crash their endpoints side by side.
func suffices(part uint64, crashes, counted []*Crash, successiveNeeded int) (at clock.Instant, enough bool) {
	if len(counted) >= successiveNeeded {
		at, enough = counted[successiveNeeded-1].At, true
	}
	single := 0
	for _, c := range crashes {
		if c.Parts[part].Single {
			single++
		}
		if single == minSingle {
			if !enough || c.At < at {
				at = c.At
			}
			return at, true
		}
	}
	return at, enough
}

// Standing returns what the crashes say about a part.
func (r *Register) Standing(part uint64) Standing {
	return standingOf(part, r.uncleared(part))
}

func standingOf(part uint64, crashes []*Crash) Standing {
	counted, _ := successive(part, crashes)
	s := Standing{Part: part, Crashes: len(counted)}
	need := minCrashes
	if len(crashes) > 0 && crashes[0].Parts[part].WasAlive {
		need = minCrashesAlive
	}
	var began clock.Instant
	if began, s.Blocked = suffices(part, crashes, counted, need); !s.Blocked {
		return s
	}
	trials := 0
	s.Until = began.Add(blocks[trials])
	for _, c := range crashes {
		if c.At <= began {
			continue
		}
		// An earlier one is of a request that was on its way when the block began, or whose instance did not know of the block.
		if c.At > s.Until.Add(-trialSkew) {
			trials = min(trials+1, len(blocks)-1)
		}
		s.Until = max(s.Until, c.At.Add(blocks[trials]))
	}
	return s
}

// Standings returns the standing of each part that a crash counts against, by part.
func (r *Register) Standings() map[uint64]Standing {
	out := make(map[uint64]Standing)
	for part := range r.byPart {
		if s := r.Standing(part); s.Crashes > 0 {
			out[part] = s
		}
	}
	return out
}

// Verdict says whether a request may be sent.
type Verdict struct {
	Blocked    bool
	Part       uint64        // the one that blocks the request, or in whose turn it is sent
	RetryAfter time.Duration // until the request may be tried, if it is blocked
	Trial      bool          // the request tries parts whose blocks have run out
	Tried      []uint64      // these parts
}

// Check decides on a request with the given parts that other requests may share. mayTry reports whether this instance may send a request
// that tries a part in a turn; turns are numbered from 0 since the end of the part's block. Of several parts that a request tries, the
// one with the most crashes decides, so that requests with other parts beside it are tried in the same turns.
func (r *Register) Check(now clock.Instant, parts []uint64, mayTry func(part uint64, turn int64) bool) Verdict {
	var v Verdict
	var decides Standing
	most := 0
	for _, part := range parts {
		if len(r.byPart[part]) < minCrashes {
			continue
		}
		crashes := r.uncleared(part)
		s := standingOf(part, crashes)
		if !s.Blocked || r.explained(part, crashes, parts) {
			continue
		}
		if left := s.Until.Sub(now); left > 0 {
			v = Verdict{Blocked: true, Part: part, RetryAfter: max(v.RetryAfter, left)}
		}
		v.Tried = append(v.Tried, part)
		if len(crashes) > most || len(crashes) == most && part < decides.Part {
			decides, most = s, len(crashes)
		}
	}
	if v.Blocked || most == 0 {
		v.Tried = nil
		return v
	}
	since := now.Sub(decides.Until)
	if since%Turn >= turnOpen || !mayTry(decides.Part, int64(since/Turn)) {
		return Verdict{Blocked: true, Part: decides.Part, RetryAfter: Turn - since%Turn}
	}
	v.Trial, v.Part = true, decides.Part
	return v
}

// explained reports whether another part, which the request does not have, explains the crashes of one of its parts: it was in all of
// them, or it was in as many crashes and what is left without it is too little for a block. If two parts explain each other's crashes, a
// request with one of them may be sent: its crash tells them apart, while a block of both would reject sound requests for long.
func (r *Register) explained(part uint64, crashes []*Crash, request []uint64) bool {
	tried := make(map[uint64]bool)
	for _, c := range crashes {
		for other, s := range c.Parts {
			if s.Cleared || len(r.byPart[other]) < minCrashes || tried[other] || slices.Contains(request, other) {
				continue
			}
			tried[other] = true
			if r.explains(other, part, crashes) {
				return true
			}
		}
	}
	return false
}

func (r *Register) explains(other, part uint64, crashes []*Crash) bool {
	others := r.uncleared(other)
	if !explainsBlock(other, others) {
		return false
	}
	var without []*Crash
	for _, c := range crashes {
		if s, has := c.Parts[other]; !has || s.Cleared {
			without = append(without, c)
		}
	}
	return !explainsBlock(part, without) && (len(without) == 0 || len(others) >= len(crashes))
}

// explainsBlock reports whether crashes are enough to block a part that had shown no life before.
func explainsBlock(part uint64, crashes []*Crash) bool {
	counted, _ := successive(part, crashes)
	_, enough := suffices(part, crashes, counted, minCrashes)
	return enough
}
