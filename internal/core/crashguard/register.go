// Package crashguard finds prompt parts that crash the endpoints which begin to answer a request with them, and decides which requests
// are not sent for that reason.
//
// A Register holds crashes of endpoints with the parts of the requests that were there without a sign of life. Instances exchange their
// crashes and unite them, in any order and however often they receive them: what is known of a crash only grows. The package does no
// I/O, reads no clock and is not safe for concurrent use.
package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
)

const (
	// MaxCrashes bounds the crashes that are kept. Of each, partsKept parts are kept in any case, and maxMoreParts of all crashes beyond
	// that. The largest message stays below 2 MB.
	MaxCrashes   = 512
	partsKept    = 128
	maxMoreParts = 32768
	// maxLives bounds the parts whose last sign of life is kept.
	maxLives = 8192
	// retention is how long a crash counts. It holds several blocks of the longest kind, so that a part that crashes each trial stays
	// blocked: with an hour, and blocks of 10 min, the first crashes expired, blocks began at 30 s again, and 88 trials came in a day.
	retention = 4 * 24 * time.Hour
	// aliveBefore is how long before a crash a sign of life is taken into account.
	aliveBefore = 30 * time.Second
	// minTimeStep is the smallest correction of a time that is recorded and passed on. Ages that pass through several instances
	// differ by their latencies.
	minTimeStep = 50 * time.Millisecond
)

// Suspect says how a part was involved in a crash: it belongs to a request that was at the endpoint without a sign of life.
type Suspect struct {
	Lead time.Duration // how long before the crash the first request with the part was sent to the endpoint
	// WasAlive says that a request with the part had shown life shortly before, and Cleared that one has shown life since.
	WasAlive bool
	Cleared  bool
	// Grouped says that the crash counts together with an earlier one of the part. Times differ between registers by less than
	// minTimeStep, so that one decides and the others follow.
	Grouped bool
	// Single says that the crash counts by itself, whatever other crashes there were at its time: the part was in most of these, and
	// endpoints have gone on to run requests since.
	Single bool
}

// Crash is the crash of an incarnation of an endpoint.
type Crash struct {
	Endpoint catalog.Incarnation
	At       clock.Instant // of the first attempt that broke
	Parts    map[uint64]Suspect
	// Version grows with each change of the crash here. Registers of different instances number their changes independently.
	Version uint64

	firstLife clock.Instant // first sign of life after the crash that this instance has seen, 0: none
	outlived  bool          // there were signs of life for outlivedAfter
}

// Register holds the crashes that are known.
type Register struct {
	crashes map[catalog.Incarnation]*Crash
	byPart  map[uint64][]*Crash
	more    int                                   // parts of crashes beyond partsKept
	recent  []*Crash                              // those that were not outlived yet
	lives   *simplelru.LRU[uint64, clock.Instant] // last sign of life that this instance has seen, by part
	version uint64
}

// NewRegister returns a register without crashes.
func NewRegister() *Register {
	lives, err := simplelru.NewLRU[uint64, clock.Instant](maxLives, nil)
	if err != nil {
		panic(err) // only for a size of 0 or less
	}
	return &Register{crashes: make(map[catalog.Incarnation]*Crash), byPart: make(map[uint64][]*Crash), lives: lives}
}

// Len returns the number of crashes, and Version a number that grows with each change of one.
func (r *Register) Len() int        { return len(r.crashes) }
func (r *Register) Version() uint64 { return r.version }

// Record records an attempt that was sent lead before its endpoint crashed, and had shown no life. It reports whether anything is new.
func (r *Register) Record(now clock.Instant, endpoint catalog.Incarnation, at clock.Instant, lead time.Duration, parts []uint64) bool {
	c := Crash{Endpoint: endpoint, At: at, Parts: make(map[uint64]Suspect, len(parts))}
	for _, p := range parts {
		c.Parts[p] = Suspect{Lead: lead}
	}
	return r.Merge(now, c)
}

// Merge adds what another instance knows of a crash, and reports whether anything is new.
func (r *Register) Merge(now clock.Instant, c Crash) bool {
	if now.Sub(c.At) > retention {
		return false
	}
	known := r.crashes[c.Endpoint]
	changed := false
	switch {
	case known == nil:
		if len(r.crashes) >= MaxCrashes && !r.makeRoom(c) {
			return false
		}
		known = &Crash{Endpoint: c.Endpoint, At: min(c.At, now), Parts: make(map[uint64]Suspect)}
		r.crashes[c.Endpoint] = known
		r.recent = append(r.recent, known)
		changed = true
	case c.At <= known.At.Add(-minTimeStep):
		known.At = c.At
		changed = true
	}
	for _, part := range slices.Sorted(maps.Keys(c.Parts)) {
		changed = r.mergePart(known, part, c.Parts[part]) || changed
	}
	if changed {
		r.touch(known)
		r.groupNear(known)
		if known.outlived {
			r.judgeSingle(known)
		}
	}
	return changed
}

// groupNear records which crashes count together with earlier ones, of those that share parts with a crash and were at its time.
func (r *Register) groupNear(c *Crash) {
	near := r.near(c)
	if len(near) < 2 {
		return
	}
	for part := range c.Parts {
		with := 0
		for _, o := range near {
			if _, has := o.Parts[part]; has {
				with++
			}
		}
		if with < 2 {
			continue
		}
		_, grouped := successive(part, r.uncleared(part))
		for _, o := range grouped {
			if s := o.Parts[part]; !s.Grouped {
				s.Grouped = true
				o.Parts[part] = s
				r.touch(o)
			}
		}
	}
}

// near returns the crashes at the time of a crash, including that one.
func (r *Register) near(c *Crash) []*Crash {
	var out []*Crash
	for _, o := range r.crashes {
		if max(o.At.Sub(c.At), c.At.Sub(o.At)) < separateAfter {
			out = append(out, o)
		}
	}
	return out
}

func (r *Register) mergePart(c *Crash, part uint64, s Suspect) bool {
	before, known := c.Parts[part]
	after := before
	if s.Lead >= before.Lead+minTimeStep || !known {
		after.Lead = s.Lead
	}
	life, seen := r.lives.Peek(part)
	after.Single = before.Single || s.Single
	after.Grouped = before.Grouped || s.Grouped
	after.Cleared = before.Cleared || s.Cleared || seen && life > c.At
	after.WasAlive = before.WasAlive || s.WasAlive || seen && life <= c.At && c.At.Sub(life) <= aliveBefore
	switch {
	case !known:
		return r.addPart(c, part, after)
	case after == before:
		return false
	}
	c.Parts[part] = after
	return true
}

// addPart adds a part to a crash if there is room for it, and reports whether there was.
func (r *Register) addPart(c *Crash, part uint64, s Suspect) bool {
	if len(c.Parts) >= partsKept {
		if r.more >= maxMoreParts && (s.Cleared || !r.forgetCleared(c) && !r.trimOldest(c)) {
			return false
		}
		r.more++
	}
	c.Parts[part] = s
	r.byPart[part] = append(r.byPart[part], c)
	return true
}

// forgetCleared removes the parts that a crash does not count against, down to partsKept, and reports whether there were any.
func (r *Register) forgetCleared(c *Crash) (removed bool) {
	for _, part := range slices.Sorted(maps.Keys(c.Parts)) {
		if len(c.Parts) > partsKept && c.Parts[part].Cleared {
			r.removePart(c, part)
			removed = true
		}
	}
	return removed
}

// trimOldest removes parts beyond partsKept of the oldest crash but one, and reports whether there were any: at first those that it does
// not count against, and then those that were in no other crash.
func (r *Register) trimOldest(but *Crash) (removed bool) {
	var oldest *Crash
	for _, c := range r.crashes {
		if c != but && len(c.Parts) > partsKept && (oldest == nil || c.At < oldest.At) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	r.forgetCleared(oldest)
	for _, shared := range []bool{false, true} {
		for _, part := range slices.Sorted(maps.Keys(oldest.Parts)) {
			if len(oldest.Parts) > partsKept && len(r.byPart[part]) > 1 == shared {
				r.removePart(oldest, part)
			}
		}
	}
	return true
}

func (r *Register) removePart(c *Crash, part uint64) {
	if len(c.Parts) > partsKept {
		r.more--
	}
	delete(c.Parts, part)
	r.forgetPart(part, c)
}

// RecordLife records that a request with the parts has shown life, and reports whether that changes a crash.
func (r *Register) RecordLife(now clock.Instant, parts []uint64) (changed bool) {
	for _, part := range parts {
		r.lives.Add(part, now)
		for _, c := range r.byPart[part] {
			if s := c.Parts[part]; !s.Cleared && now >= c.At {
				s.Cleared = true
				c.Parts[part] = s
				r.touch(c)
				changed = true
			}
		}
	}
	return r.outlive(now) || changed
}

// outlive records a sign of life for the crashes before it, and reports whether that changes one of them.
func (r *Register) outlive(now clock.Instant) (changed bool) {
	for _, c := range slices.Clone(r.recent) {
		switch {
		case now < c.At:
		case c.firstLife == 0:
			c.firstLife = now
		case now.Sub(c.firstLife) >= outlivedAfter:
			c.outlived = true
			r.forgetRecent(c)
			changed = r.judgeSingle(c) || changed
		}
	}
	return changed
}

// judgeSingle decides for which parts an outlived crash counts by itself, and reports whether there is a new one.
func (r *Register) judgeSingle(c *Crash) (changed bool) {
	near := r.near(c)
	for part, s := range c.Parts {
		if s.Cleared || s.Single {
			continue
		}
		with := 0
		for _, o := range near {
			if other, has := o.Parts[part]; has && !other.Cleared {
				with++
			}
		}
		if 2*with >= len(near) {
			s.Single = true
			c.Parts[part] = s
			changed = true
		}
	}
	if changed {
		r.touch(c)
	}
	return changed
}

func (r *Register) forgetRecent(c *Crash) {
	r.recent = slices.DeleteFunc(r.recent, func(o *Crash) bool { return o == c })
}

func (r *Register) touch(c *Crash) {
	r.version++
	c.Version = r.version
}

// Prune drops crashes that have expired.
func (r *Register) Prune(now clock.Instant) {
	for _, c := range r.crashes {
		if now.Sub(c.At) > retention {
			r.remove(c)
		}
	}
}

// makeRoom removes the oldest crash that blocks no part, or else the oldest of all. It returns false if the new crash ranks below that
// one. Without crashes that block a part, its block would end early.
func (r *Register) makeRoom(c Crash) bool {
	counts := make(map[uint64]int) // of the crashes that count against a part
	blocks := func(c *Crash, need int) bool {
		for part, s := range c.Parts {
			if s.Cleared {
				continue
			}
			n, known := counts[part]
			if !known {
				n = r.countUncleared(part, minCrashes)
				counts[part] = n
			}
			if n >= need {
				return true
			}
		}
		return false
	}
	var lowest *Crash
	lowestBlocks := false
	for _, o := range r.crashes {
		if b := blocks(o, minCrashes); lowest == nil || ranksBelow(o.At, b, lowest.At, lowestBlocks) {
			lowest, lowestBlocks = o, b
		}
	}
	if !ranksBelow(lowest.At, lowestBlocks, c.At, blocks(&c, minCrashes-1)) {
		return false
	}
	r.remove(lowest)
	return true
}

// ranksBelow reports whether a crash gives way to another.
func ranksBelow(at clock.Instant, blocking bool, otherAt clock.Instant, otherBlocking bool) bool {
	if blocking != otherBlocking {
		return otherBlocking
	}
	return at < otherAt
}

func (r *Register) remove(c *Crash) {
	delete(r.crashes, c.Endpoint)
	r.more -= max(0, len(c.Parts)-partsKept)
	r.forgetRecent(c)
	for part := range c.Parts {
		r.forgetPart(part, c)
	}
}

func (r *Register) forgetPart(part uint64, c *Crash) {
	r.byPart[part] = slices.DeleteFunc(r.byPart[part], func(o *Crash) bool { return o == c })
	if len(r.byPart[part]) == 0 {
		delete(r.byPart, part)
	}
}

// Crashes returns the crashes that have changed since a version of this register, 0 for all.
func (r *Register) Crashes(since uint64) []Crash {
	var out []Crash
	for _, c := range r.crashes {
		if c.Version > since {
			copied := *c
			copied.Parts = maps.Clone(c.Parts)
			out = append(out, copied)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// Has reports whether a crash is known.
func (r *Register) Has(endpoint catalog.Incarnation) bool { return r.crashes[endpoint] != nil }

// Suspected reports whether another crash than the given one counts against one of its parts, too.
func (r *Register) Suspected(c Crash) bool {
	for part, s := range c.Parts {
		if !s.Cleared && r.countUncleared(part, 2) == 2 {
			return true
		}
	}
	return false
}

// countUncleared counts the crashes that count against a part, up to a number.
func (r *Register) countUncleared(part uint64, most int) (n int) {
	for _, c := range r.byPart[part] {
		if !c.Parts[part].Cleared {
			if n++; n == most {
				break
			}
		}
	}
	return n
}

// uncleared returns the crashes that count against a part, in the order of time.
func (r *Register) uncleared(part uint64) []*Crash {
	var out []*Crash
	for _, c := range r.byPart[part] {
		if !c.Parts[part].Cleared {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	return out
}
