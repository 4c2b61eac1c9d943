package mirror

import (
	"bytes"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// deletionsKeptFor is how long deleted keys are remembered. It is longer than the age of a copy that the store is restored from.
	deletionsKeptFor = time.Minute
	// forgetInterval is the interval at which older ones are forgotten.
	forgetInterval = 10 * time.Second
	// minHeldWait bounds from below the wait until held changes are due.
	minHeldWait = 10 * time.Millisecond
)

// Recovery says what happens to the keys after the store was restored from a copy, until their writers have written them again.
type Recovery struct {
	// HoldFor is how long an entry of the copy is withheld if a later one, or its deletion, is known.
	HoldFor time.Duration
	// KeepFor is how long a key that the copy lacks is kept.
	KeepFor time.Duration
	// Later reports whether what an entry says shows that it was written after the known one. nil: nothing ever does.
	Later func(known, shown platform.Entry) bool
	// Exempt reports whether the changes of a key are always passed on as the store shows them. nil: no key's.
	Exempt func(key string) bool
}

// history is what is known of each key. It decides which changes of a restored store are passed on. It is not safe for concurrent use.
type history struct {
	recovery   Recovery
	keys       map[string]knownKey
	held       map[string]heldChange
	era        int64         // of the store, 0 if it is not known
	restoredTo int64         // revision of the first list in this era, 0 in the first era that is known
	lostAt     clock.Instant // when the oldest change that the copy lacks was learned, 0 if there is none
	forgotAt   clock.Instant
}

type knownKey struct {
	platform.Change               // the last one that was passed on
	at              clock.Instant // when it was learned
	shownIn         int64         // last era in which the store has shown the key or its deletion
}

// heldChange is a change that a restored store shows. It is passed on when it is due, unless a later one arrives.
type heldChange struct {
	platform.Change
	due clock.Instant
}

func newHistory() *history {
	return &history{keys: make(map[string]knownKey), held: make(map[string]heldChange)}
}

// apply returns the update with the changes that are passed on.
func (h *history) apply(u Update, now clock.Instant) Update {
	if era := u.AsOf.Era; era != 0 && era != h.era {
		if u.Restored = h.era != 0; u.Restored {
			h.restoredTo, h.lostAt = u.AsOf.Revision, 0
			clear(h.held)
		}
		h.era = era
	}
	u.RestoredTo = h.restoredTo
	var changes []platform.Change
	present := make(map[string]bool, len(u.Changes))
	for _, c := range u.Changes {
		present[c.Key] = true
		if c, ok := h.decide(c, u.Reset, now); ok {
			changes = append(changes, c)
		}
	}
	if u.Reset {
		for key, k := range h.keys {
			if present[key] {
				continue
			}
			if k.Deleted {
				delete(h.held, key) // an entry of the copy that has gone too
				continue
			}
			if h.keeps(k, u.AsOf, now) {
				changes = append(changes, k.Change)
				continue
			}
			h.record(k.deletedBy(u.AsOf), now)
		}
	}
	if now.Sub(h.forgotAt) > forgetInterval {
		h.forgetDeleted(now)
	}
	u.Changes = changes
	return u
}

// decide returns the change that is passed on for one that the store shows, and false if there is none. In a list, the known entry is
// passed on again instead of one that is held.
func (h *history) decide(c platform.Change, inList bool, now clock.Instant) (platform.Change, bool) {
	k, known := h.keys[c.Key]
	doubtful := known && h.doubtful(c, k)
	unchanged := known && !k.Deleted && c.Revision == k.Revision && bytes.Equal(c.Value, k.Value)
	if doubtful && !unchanged {
		h.recordLoss(k)
	}
	if !doubtful || h.exempt(c.Key) {
		held, wasHeld := h.held[c.Key]
		if !known || c.Version().Compare(k.Version()) >= 0 {
			learned := now
			if unchanged {
				learned = k.at
			}
			h.record(c, learned)
		}
		// The deletion of an entry that was held changes nothing.
		return c, !(c.Deleted && known && k.Deleted && wasHeld && !held.Deleted)
	}
	k.shownIn = h.era
	h.keys[c.Key] = k
	if !unchanged {
		h.hold(c, h.recovery.HoldFor, now)
	}
	return k.Change, inList && !k.Deleted
}

// doubtful reports whether a change may be from before the one that is known.
func (h *history) doubtful(c platform.Change, k knownKey) bool {
	if k.Era == 0 || c.Era <= k.Era || c.Version().WrittenAfter(k.Version(), h.restoredTo) {
		return false
	}
	return c.Deleted || k.Deleted || h.recovery.Later == nil || !h.recovery.Later(k.Entry, c.Entry)
}

// keeps reports whether a key that a list lacks is kept: it was written after the copy, and its writer may write it again.
func (h *history) keeps(k knownKey, asOf platform.Version, now clock.Instant) bool {
	if k.shownIn == 0 || k.shownIn >= asOf.Era {
		return false
	}
	h.recordLoss(k)
	if h.exempt(k.Key) {
		return false
	}
	return now < h.hold(k.deletedBy(asOf), h.recovery.KeepFor, now)
}

// deletedBy returns the deletion of a key that a list of the version asOf lacks. A revision of an earlier era says nothing about the order in
// the present one.
func (k knownKey) deletedBy(asOf platform.Version) platform.Change {
	revision := asOf.Revision
	if k.Era == asOf.Era || k.Era == 0 || asOf.Era == 0 {
		revision = max(revision, k.Revision)
	}
	return platform.Change{Entry: platform.Entry{Key: k.Key, Revision: revision, Era: asOf.Era}, Deleted: true}
}

// hold holds a change, and returns when it is due. A change that was held before of the same kind does not defer it.
func (h *history) hold(c platform.Change, duration time.Duration, now clock.Instant) clock.Instant {
	before, held := h.held[c.Key]
	if !held || before.Deleted != c.Deleted {
		before.due = now.Add(duration)
	}
	h.held[c.Key] = heldChange{c, before.due}
	return before.due
}

func (h *history) exempt(key string) bool { return h.recovery.Exempt != nil && h.recovery.Exempt(key) }

// record records a change that is passed on.
func (h *history) record(c platform.Change, learned clock.Instant) {
	delete(h.held, c.Key)
	h.keys[c.Key] = knownKey{c, learned, c.Era}
}

// recordLoss records that a restored store lacks the change that is known of a key.
func (h *history) recordLoss(k knownKey) {
	if h.lostAt == 0 || k.at < h.lostAt {
		h.lostAt = k.at
	}
}

// release returns the held changes that are due.
func (h *history) release(now clock.Instant) []platform.Change {
	var out []platform.Change
	for _, c := range h.held {
		if c.due <= now {
			out = append(out, c.Change)
			h.record(c.Change, now)
		}
	}
	return out
}

// postpone defers the held changes by an outage, in which no key could be written again.
func (h *history) postpone(outage time.Duration) {
	for key, c := range h.held {
		c.due = c.due.Add(outage)
		h.held[key] = c
	}
}

// wait returns the time until a held change is due, at most longest.
func (h *history) wait(now clock.Instant, longest time.Duration) time.Duration {
	for _, c := range h.held {
		longest = min(longest, max(c.due.Sub(now), minHeldWait))
	}
	return longest
}

// copyAge returns a lower bound of the age of the copy: how long ago the oldest change was learned that it lacks.
func (h *history) copyAge(now clock.Instant) time.Duration {
	if h.lostAt == 0 {
		return 0
	}
	return now.Sub(h.lostAt)
}

func (h *history) forgetDeleted(now clock.Instant) {
	h.forgotAt = now
	for key, k := range h.keys {
		if _, held := h.held[key]; k.Deleted && !held && now.Sub(k.at) > deletionsKeptFor {
			delete(h.keys, key)
		}
	}
}
