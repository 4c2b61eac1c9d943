package limits

import (
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

// ownership tells other packages which slots this instance owns. A slot counts as owned from its claim on, even while its
// predecessor may still use the slot's rate.
type ownership struct {
	reported    []int
	subscribers map[int]func()
	next        int
}

// Owned returns the slots of this instance's region that this instance owns, in order.
func (s *Service) Owned() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownedLocked()
}

func (s *Service) ownedLocked() []int {
	var out []int
	for slot := range s.slots.held {
		if slot.Region == s.self.Region {
			out = append(out, slot.Index)
		}
	}
	slices.Sort(out)
	return out
}

// Waiting returns the slots among them, in order, that a predecessor or loans of it may still use. This instance uses none of
// their rate.
func (s *Service) Waiting() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for slot, held := range s.slots.held {
		if !held.usable {
			out = append(out, slot.Index)
		}
	}
	slices.Sort(out)
	return out
}

// Owner returns the instance that owned a slot when the store was last read, or false if there was none.
func (s *Service) Owner(region string, slot int) (instance string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	instance = s.slots.ownerOf[ratelimit.Slot{Region: region, Index: slot}].Name
	return instance, instance != ""
}

// Subscribe calls f after Owned has changed. The returned function ends it.
func (s *Service) Subscribe(f func()) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownership.subscribers == nil {
		s.ownership.subscribers = make(map[int]func())
	}
	id := s.ownership.next
	s.ownership.next++
	s.ownership.subscribers[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.ownership.subscribers, id)
	}
}

// notifyOwned calls the subscribers if the owned slots differ from those last reported.
func (s *Service) notifyOwned() {
	s.mu.Lock()
	owned := s.ownedLocked()
	if slices.Equal(owned, s.ownership.reported) {
		s.mu.Unlock()
		return
	}
	s.ownership.reported = owned
	var calls []func()
	for _, f := range s.ownership.subscribers {
		calls = append(calls, f)
	}
	s.mu.Unlock()
	for _, f := range calls {
		f()
	}
}
