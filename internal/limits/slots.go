package limits

import (
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// heldSlot is a slot that this instance owns.
type heldSlot struct {
	usable   bool
	resolved bool          // no predecessor may use it
	readyAt  clock.Instant // if resolved: when the predecessor's loans have ended
	fresh    bool          // the slot never had an owner
	// minRevision is the store's configuration revision after the predecessor's end. An older view could grant the slot
	// what other slots have received since.
	minRevision int64
	// speaksFor are the stopped incarnations that handed the slot over and may still stand in its record.
	speaksFor []uint64
	// revision of the record that last named this instance, and the incarnations that owned the slot before.
	revision int64
	ended    []uint64
}

// slotTable is what this instance knows of the slots.
type slotTable struct {
	held     map[ratelimit.Slot]*heldSlot
	ownerOf  map[ratelimit.Slot]Predecessor
	spoken   map[ratelimit.Slot][]uint64      // incarnations whose use has ended here, by slot
	known    map[ratelimit.Slot]storedRecord  // as last read
	live     map[string]bool                  // holder keys, as last read
	gave     map[ratelimit.Slot]Predecessor   // to whom slots were passed on whose records still name this instance
	suspects map[ratelimit.Slot][]Predecessor // owners that the store has forgotten
	// vouched says that every listed instance of the region has told which slots it holds since the records were first read.
	// From then on this instance itself notices a store with older data.
	vouched bool
	// vouchedRevision is the highest configuration revision that they had in force. The head of a store with older data may
	// be lower.
	vouchedRevision int64

	lease platform.LeaseID
	// holderWritten says that the store has confirmed the holder key under the lease.
	holderWritten bool
	listed        int64                            // version of the instance list that had this incarnation
	unclaimed     map[ratelimit.Slot]clock.Instant // since when a slot was seen without a live owner
}

func newSlotTable() slotTable {
	return slotTable{
		held:      map[ratelimit.Slot]*heldSlot{},
		ownerOf:   map[ratelimit.Slot]Predecessor{},
		spoken:    map[ratelimit.Slot][]uint64{},
		unclaimed: map[ratelimit.Slot]clock.Instant{},
		gave:      map[ratelimit.Slot]Predecessor{},
		suspects:  map[ratelimit.Slot][]Predecessor{},
	}
}

// owners returns the distinct owners of the slots without self.
func (t *slotTable) owners(slots []ratelimit.SlotShare, self string) []string {
	var out []string
	for _, x := range slots {
		if name := t.ownerOf[x.Slot].Name; name != "" && name != self && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// suspect notes an incarnation that may use a slot although the record does not name it.
func (t *slotTable) suspect(slot ratelimit.Slot, p Predecessor) {
	same := func(o Predecessor) bool { return o.Incarnation == p.Incarnation }
	if !slices.ContainsFunc(t.suspects[slot], same) {
		t.suspects[slot] = append(t.suspects[slot], p)
	}
}

// heldSlots copies the slots that this instance owns.
func (s *Service) heldSlots() map[ratelimit.Slot]heldSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[ratelimit.Slot]heldSlot{}
	for slot, held := range s.slots.held {
		out[slot] = *held
	}
	return out
}
