package limits

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Keys in the store.
const (
	// slotPrefix holds a Record per slot, without a lease: slots/<region>/<index>.
	slotPrefix = "slots/"
	// holderPrefix holds a key per slot owner under the owner's lease: slot-holders/<name>/<incarnation>. A slot whose
	// owner has no such key has lapsed. The record itself outlives the lease, so that the next owner knows the predecessor.
	holderPrefix = "slot-holders/"
	// headKey holds the head of the configuration.
	headKey = "config/head"
)

const (
	listPage = 1000
	// leaseIntervals is the length of the lease in renewal intervals.
	leaseIntervals = 3
)

// Predecessor is an incarnation that may still use a slot.
type Predecessor struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// ListedVersion is a version of the instance list that had the incarnation; 0 if it was never seen listed.
	ListedVersion int64 `json:"listed_version,omitempty"`
}

// Record says who owns a slot. The owner uses it only when no predecessor is left.
type Record struct {
	Owner        Predecessor   `json:"owner"` // the zero value for a slot that was given up
	Predecessors []Predecessor `json:"predecessors,omitempty"`
}

// storedRecord is a record as it was read.
type storedRecord struct {
	Record
	revision int64
}

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
	vouched   bool
	lease     platform.LeaseID
	listed    int64                            // version of the instance list that had this incarnation
	unclaimed map[ratelimit.Slot]clock.Instant // since when a slot was seen without a live owner
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

// renewInterval grows with the square root of the fleet, so that the store's calls do too.
func (s *Service) renewInterval() time.Duration {
	n := float64(len(s.opts.Peers.Peers()) + 1)
	return time.Duration(float64(s.opts.RenewBase) * math.Max(1, math.Sqrt(n/4)))
}

// refreshDelay is the renewal interval, or a short time while slots of the region have no owner.
func (s *Service) refreshDelay() time.Duration {
	interval := s.renewInterval()
	s.mu.Lock()
	defer s.mu.Unlock()
	short := len(s.slots.unclaimed) > 0 || len(s.slots.ownerOf) == 0
	for _, held := range s.slots.held {
		short = short || !held.resolved
	}
	if short {
		return interval / 3
	}
	return interval
}

func slotKey(slot ratelimit.Slot) string {
	return slotPrefix + slot.Region + "/" + strconv.Itoa(slot.Index)
}

func parseSlotKey(key string) (ratelimit.Slot, bool) {
	rest := strings.TrimPrefix(key, slotPrefix)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return ratelimit.Slot{}, false
	}
	index, err := strconv.Atoi(rest[i+1:])
	return ratelimit.Slot{Region: rest[:i], Index: index}, err == nil
}

func holderKey(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%016x", holderPrefix, name, incarnation)
}

// refresh renews the lease, reads the slots' records, gives up lost slots, resolves predecessors and claims free slots.
func (s *Service) refresh(ctx context.Context) error {
	defer s.notifyOwned()
	if err := s.keepLease(ctx); err != nil {
		return errors.Wrap(err, "renew the lease of slots")
	}
	records, err := s.readRecords(ctx)
	if err != nil {
		return errors.Wrap(err, "read the records of slots")
	}
	alive, err := listAll(ctx, s.opts.Store, holderPrefix)
	if err != nil {
		return errors.Wrap(err, "read the holders of slots")
	}
	s.readInstanceList(ctx)
	live := map[string]bool{}
	for _, e := range alive {
		live[e.Key] = true
	}
	s.noteRecords(records, live)
	s.vouch(ctx, records)
	errs := []error{s.restoreRecords(ctx, records)}
	for slot, record := range records {
		if slot.Region == s.self.Region {
			errs = append(errs, s.reviewSlot(ctx, slot, record))
		}
	}
	errs = append(errs, s.claimFree(ctx, records, live), s.shareSlots(ctx))
	s.mu.Lock()
	s.useReadySlots(s.opts.Clock.Now())
	s.mu.Unlock()
	return errors.Join(errs...)
}

// keepLease renews the lease, or takes a new one with the holder key.
func (s *Service) keepLease(ctx context.Context) error {
	s.mu.Lock()
	lease := s.slots.lease
	s.mu.Unlock()
	if lease != 0 {
		err := s.opts.Store.Renew(ctx, lease)
		if !errors.Is(err, platform.ErrLeaseLost) {
			return err
		}
	}
	lease, err := s.opts.Store.Grant(ctx, leaseIntervals*s.renewInterval())
	if err != nil {
		return err
	}
	key := holderKey(s.self.Instance, s.self.Incarnation)
	if _, err := s.opts.Store.Put(ctx, key, []byte("{}"), platform.PutOptions{Lease: lease}); err != nil {
		return err
	}
	s.mu.Lock()
	s.slots.lease = lease
	s.mu.Unlock()
	return nil
}

// listAll reads all keys with a prefix.
func listAll(ctx context.Context, store platform.Store, prefix string) ([]platform.Entry, error) {
	var all []platform.Entry
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, listPage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < listPage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

func (s *Service) readRecords(ctx context.Context) (map[ratelimit.Slot]storedRecord, error) {
	return readRecords(ctx, s.opts.Store)
}

func readRecords(ctx context.Context, store platform.Store) (map[ratelimit.Slot]storedRecord, error) {
	entries, err := listAll(ctx, store, slotPrefix)
	if err != nil {
		return nil, err
	}
	records := map[ratelimit.Slot]storedRecord{}
	for _, e := range entries {
		slot, ok := parseSlotKey(e.Key)
		if !ok {
			return nil, errors.Newf("key %q is not a slot", e.Key)
		}
		r := storedRecord{revision: e.Revision}
		if err := json.Unmarshal(e.Value, &r.Record); err != nil {
			return nil, errors.Wrapf(err, "record of slot %q", e.Key)
		}
		records[slot] = r
	}
	return records, nil
}

// noteRecords updates what is known of the slots. Owners and predecessors that a store with older data has
// forgotten are kept as suspects.
func (s *Service) noteRecords(records map[ratelimit.Slot]storedRecord, live map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for slot, before := range s.slots.known {
		now, ok := records[slot]
		if ok && now.revision >= before.revision {
			continue
		}
		for _, p := range append(slices.Clone(before.Predecessors), before.Owner) {
			if p != (Predecessor{}) && p.Incarnation != now.Owner.Incarnation {
				s.slots.suspect(slot, p)
			}
		}
	}
	s.slots.known, s.slots.live = records, live
	clear(s.slots.ownerOf)
	for slot, r := range records {
		s.slots.ownerOf[slot] = r.Owner
		if r.Owner.Incarnation != s.self.Incarnation {
			delete(s.slots.gave, slot)
		}
	}
}

// restoreRecords writes the records of slots in use here that a store with older data has forgotten, or that name an owner
// from before this one.
func (s *Service) restoreRecords(ctx context.Context, records map[ratelimit.Slot]storedRecord) error {
	var errs []error
	for slot, held := range s.heldSlots() {
		record, exists := records[slot]
		older := exists && record.revision < held.revision && slices.Contains(held.ended, record.Owner.Incarnation)
		if !held.usable || exists && !older {
			continue
		}
		delete(records, slot) // read again with the next refresh
		if _, err := s.putRecord(ctx, slot, Record{Owner: s.identity()}, record.revision); err != nil {
			errs = append(errs, err)
			continue
		}
		s.opts.Log.Warn("record of a slot was restored", zap.String("slot", slotKey(slot)))
	}
	return errors.Join(errs...)
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

// identity is this instance as a record names it.
func (s *Service) identity() Predecessor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Predecessor{s.self.Instance, s.self.Incarnation, s.slots.listed}
}

// writeRecord replaces a record. revision 0 creates it.
func (s *Service) writeRecord(ctx context.Context, slot ratelimit.Slot, r Record, revision int64) error {
	_, err := s.putRecord(ctx, slot, r, revision)
	if errors.Is(err, platform.ErrConflict) {
		return nil // the next refresh reads what the other writer left
	}
	return err
}

// putRecord is writeRecord with the revision that was written, and an error if another writer was first.
func (s *Service) putRecord(ctx context.Context, slot ratelimit.Slot, r Record, revision int64) (written int64, err error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return s.opts.Store.Put(ctx, slotKey(slot), value, platform.PutOptions{IfRevision: &revision})
}

// reviewSlot compares a record with what this instance holds.
func (s *Service) reviewSlot(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	s.mu.Lock()
	held := s.slots.held[slot]
	heir, gave := s.slots.gave[slot]
	s.mu.Unlock()
	if record.Owner.Incarnation == s.self.Incarnation {
		if gave {
			return s.writeRecord(ctx, slot, Record{heir, record.Predecessors}, record.revision)
		}
		return s.reviewOwned(ctx, slot, record)
	}
	s.mu.Lock()
	mine := held != nil && slices.Contains(held.speaksFor, record.Owner.Incarnation)
	s.mu.Unlock()
	if mine {
		// Handed over here while the store could not be written.
		return s.writeRecord(ctx, slot, Record{Owner: s.identity()}, record.revision)
	}
	s.dropSlot(slot)
	return s.confirmDropped(ctx, slot, record)
}

// recordForgotten names the owners that the store has forgotten as predecessors. They are suspects no longer once that is written:
// one that then takes itself out of the record has ended its use, and must not be written again. If the store goes back
// once more, the record that was written is newer than the one read, and they become suspects again.
func (s *Service) recordForgotten(ctx context.Context, slot ratelimit.Slot, record storedRecord, forgotten []Predecessor) error {
	next := Record{s.identity(), append(slices.Clone(record.Predecessors), forgotten...)}
	revision, err := s.putRecord(ctx, slot, next, record.revision)
	if errors.Is(err, platform.ErrConflict) {
		return nil // the next refresh reads what the other writer left
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.known[slot] = storedRecord{Record: next, revision: revision}
	delete(s.slots.suspects, slot)
	return nil
}

// confirmDropped takes the incarnations whose use has ended here out of the predecessors.
func (s *Service) confirmDropped(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	s.mu.Lock()
	ended := append([]uint64{s.self.Incarnation}, s.slots.spoken[slot]...)
	s.mu.Unlock()
	left := withoutIncarnations(record.Predecessors, ended)
	if len(left) == len(record.Predecessors) {
		return nil
	}
	return s.writeRecord(ctx, slot, Record{record.Owner, left}, record.revision)
}

func withoutIncarnation(in []uint64, incarnation uint64) []uint64 {
	return slices.DeleteFunc(in, func(i uint64) bool { return i == incarnation })
}

func withoutIncarnations(in []Predecessor, ended []uint64) []Predecessor {
	var out []Predecessor
	for _, p := range in {
		if !slices.Contains(ended, p.Incarnation) {
			out = append(out, p)
		}
	}
	return out
}

// dropSlot ends the use of a slot here.
func (s *Service) dropSlot(slot ratelimit.Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.slots.held[slot]
	if held == nil {
		return
	}
	s.ledger.LoseSlot(s.opts.Clock.Now(), slot)
	s.slots.spoken[slot] = append(s.slots.spoken[slot], held.speaksFor...)
	delete(s.slots.held, slot)
	s.opts.Log.Info("slot was lost", zap.String("slot", slotKey(slot)))
}

// reviewOwned resolves the predecessors of a slot whose record names this instance.
func (s *Service) reviewOwned(ctx context.Context, slot ratelimit.Slot, record storedRecord) error {
	s.mu.Lock()
	held := s.slots.held[slot]
	if forgotten := s.forgotten(slot, record.Predecessors); len(forgotten) > 0 && (held == nil || !held.usable) {
		// The store has older data: those that it has forgotten may still use the slot.
		if held != nil {
			held.resolved, held.fresh = false, false
		}
		s.mu.Unlock()
		return s.recordForgotten(ctx, slot, record, forgotten)
	}
	if held == nil {
		// A claim whose answer was lost, or a handover through the store.
		held = &heldSlot{}
		s.slots.held[slot] = held
	}
	held.revision = record.revision
	held.fresh = held.fresh && len(record.Predecessors) == 0
	for _, p := range record.Predecessors {
		held.ended = append(withoutIncarnation(held.ended, p.Incarnation), p.Incarnation)
	}
	s.slots.spoken[slot] = append(s.slots.spoken[slot], held.speaksFor...)
	held.speaksFor = nil
	delete(s.slots.suspects, slot)
	usable, fresh, identity := held.usable, held.fresh, Predecessor{s.self.Instance, s.self.Incarnation, s.slots.listed}
	s.mu.Unlock()
	if usable && len(record.Predecessors) == 0 && record.Owner == identity {
		return nil
	}
	left := record.Predecessors
	if len(left) > 0 {
		left = s.unresolved(ctx, slot, left)
	}
	if len(left) < len(record.Predecessors) || record.Owner != identity {
		_, err := s.putRecord(ctx, slot, Record{identity, left}, record.revision)
		if errors.Is(err, platform.ErrConflict) {
			return nil // reviewed again with the next refresh
		}
		if err != nil {
			return err
		}
	}
	if len(left) > 0 || usable {
		return nil
	}
	revision, err := s.headRevision(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held.resolved && s.slots.vouched {
		held.resolved = true
		held.minRevision = revision
		held.readyAt = s.opts.Clock.Now()
		if !fresh {
			held.readyAt = held.readyAt.Add(s.ledger.QuietTime())
		}
	}
	return nil
}

// headRevision reads the revision of the configuration in the store, 0 if there is none.
func (s *Service) headRevision(ctx context.Context) (int64, error) {
	entry, err := s.opts.Store.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var head struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return 0, errors.Wrapf(err, "read %s", headKey)
	}
	return head.Revision, nil
}

// settledRevision is the revision that the owners of all slots have reported. A slot without a known owner counts as 0.
func (s *Service) settledRevision() int64 {
	if s.opts.Reported == nil {
		return 0
	}
	lowest := s.conf.Revision()
	for _, region := range s.conf.regions {
		for index := range region.Slots {
			owner := s.slots.ownerOf[ratelimit.Slot{Region: region.Name, Index: index}]
			revision, known := int64(0), false
			if owner.Incarnation == s.self.Incarnation {
				revision, known = s.appliedRevision(), true
			} else if owner.Name != "" {
				revision, known = s.opts.Reported(owner.Name, owner.Incarnation)
			}
			if !known {
				return 0
			}
			lowest = min(lowest, revision)
		}
	}
	return lowest
}

// forgotten returns the suspects of a slot that are not among its predecessors.
func (s *Service) forgotten(slot ratelimit.Slot, predecessors []Predecessor) []Predecessor {
	var out []Predecessor
	for _, p := range s.slots.suspects[slot] {
		same := func(o Predecessor) bool { return o.Incarnation == p.Incarnation }
		if p.Incarnation != s.self.Incarnation && !slices.ContainsFunc(predecessors, same) && !slices.ContainsFunc(out, same) {
			out = append(out, p)
		}
	}
	return out
}

// useReadySlots starts the use of slots whose predecessors and their loans have ended.
func (s *Service) useReadySlots(now clock.Instant) {
	for slot, held := range s.slots.held {
		if held.resolved && !held.usable && now >= held.readyAt && s.conf.Revision() >= held.minRevision {
			held.usable = true
			s.ledger.GainSlot(now, slot)
			s.opts.Log.Info("slot is in use", zap.String("slot", slotKey(slot)))
		}
	}
}

// unresolved returns the predecessors that may still use the slot.
func (s *Service) unresolved(ctx context.Context, slot ratelimit.Slot, predecessors []Predecessor) []Predecessor {
	var left []Predecessor
	for _, p := range predecessors {
		if p.Incarnation == s.self.Incarnation || s.removedForGood(ctx, p) || s.confirmedByPeer(ctx, slot, p) {
			continue
		}
		left = append(left, p)
	}
	return left
}

// removedForGood reports whether the platform has removed the incarnation from its list and says that removal is final.
func (s *Service) removedForGood(ctx context.Context, p Predecessor) bool {
	s.mu.Lock()
	final := s.conf.view.General().Platform.RemovalFinal
	s.mu.Unlock()
	if !final || s.opts.Instances == nil || p.ListedVersion == 0 {
		return false
	}
	rows, version, err := s.opts.Instances.Instances(ctx)
	if err != nil || version <= p.ListedVersion {
		return false
	}
	return !slices.ContainsFunc(rows, func(r platform.ListedInstance) bool {
		return r.Name == p.Name && r.Incarnation == p.Incarnation
	})
}

// readInstanceList notes the first version of the list that has this incarnation.
func (s *Service) readInstanceList(ctx context.Context) {
	s.mu.Lock()
	listed := s.slots.listed
	s.mu.Unlock()
	if listed != 0 || s.opts.Instances == nil {
		return
	}
	rows, version, err := s.opts.Instances.Instances(ctx)
	if err != nil {
		return
	}
	for _, r := range rows {
		if r.Name == s.self.Instance && r.Incarnation == s.self.Incarnation {
			s.mu.Lock()
			s.slots.listed = version
			s.mu.Unlock()
		}
	}
}

// confirmedByPeer asks the predecessor itself to drop the slot.
func (s *Service) confirmedByPeer(ctx context.Context, slot ratelimit.Slot, p Predecessor) bool {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CrossRegionTimeout)
	defer cancel()
	req := &wire.DropRequest{Slot: slotToWire(slot), Incarnation: p.Incarnation}
	resp := &wire.DropResponse{}
	err := s.opts.Network.Call(ctx, p.Name, serviceDrop, req, resp)
	return err == nil && resp.GetDropped()
}

// handleDrop gives up a slot that another instance has claimed. It confirms only for this incarnation.
func (s *Service) handleDrop(_ context.Context, from peer.Identity, req *wire.DropRequest) (proto.Message, error) {
	if req.GetIncarnation() != s.self.Incarnation || from.Region != s.self.Region {
		return &wire.DropResponse{}, nil
	}
	slot := slotFromWire(req.GetSlot())
	s.dropSlot(slot)
	s.mu.Lock()
	s.slots.ownerOf[slot] = Predecessor{Name: from.Instance, Incarnation: from.Incarnation}
	s.mu.Unlock()
	s.notifyOwned()
	return &wire.DropResponse{Dropped: true}, nil
}

// askHeld asks the instances of the region which slots they hold. complete is false if one did not answer.
func (s *Service) askHeld(ctx context.Context) (held map[ratelimit.Slot]Predecessor, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CrossRegionTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	held, complete = map[ratelimit.Slot]Predecessor{}, true
	for _, p := range s.opts.Peers.Peers() {
		if p.Region != s.self.Region {
			continue
		}
		wg.Go(func() {
			resp := &wire.HeldResponse{}
			err := s.opts.Network.Call(ctx, p.Name, serviceHeld, &wire.HeldRequest{}, resp)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || resp.GetIncarnation() != p.Incarnation {
				complete = false
				return
			}
			for _, slot := range resp.GetSlots() {
				held[slotFromWire(slot)] = Predecessor{Name: p.Name, Incarnation: p.Incarnation}
			}
		})
	}
	wg.Wait()
	return held, complete
}

// vouch compares the records that this instance reads first with what the region's instances hold: it cannot know whether the
// store has come back with older data before. Until all have answered it uses no slot that it has claimed.
func (s *Service) vouch(ctx context.Context, records map[ratelimit.Slot]storedRecord) {
	s.mu.Lock()
	vouched := s.slots.vouched
	s.mu.Unlock()
	if vouched {
		return
	}
	held, complete := s.askHeld(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for slot, p := range held {
		if records[slot].Owner.Incarnation != p.Incarnation {
			s.slots.suspect(slot, p)
		}
	}
	s.slots.vouched = complete
}

// handleHeld lists the slots that this instance owns.
func (s *Service) handleHeld(context.Context, peer.Identity, *wire.HeldRequest) (proto.Message, error) {
	resp := &wire.HeldResponse{Incarnation: s.self.Incarnation}
	for slot := range s.heldSlots() {
		resp.Slots = append(resp.Slots, slotToWire(slot))
	}
	return resp, nil
}

// claimFree claims slots of the region that have no live owner: at once up to an equal part, and more of them when they
// have stayed free for a renewal interval.
func (s *Service) claimFree(ctx context.Context, records map[ratelimit.Slot]storedRecord, live map[string]bool) error {
	slots := 0
	for _, r := range s.regions() {
		if r.Name == s.self.Region {
			slots = r.Slots
		}
	}
	inRegion := 1
	for _, p := range s.opts.Peers.Peers() {
		if p.Region == s.self.Region && !p.Leaving {
			inRegion++
		}
	}
	fair := (slots + inRegion - 1) / inRegion
	elsewhere := sync.OnceValue(func() map[ratelimit.Slot]Predecessor {
		held, _ := s.askHeld(ctx)
		return held
	})
	now := s.opts.Clock.Now()
	var errs []error
	for _, index := range claimOrder(s.self.Instance, slots) {
		slot := ratelimit.Slot{Region: s.self.Region, Index: index}
		record, exists := records[slot]
		s.mu.Lock()
		stopping, held := s.stopping, len(s.slots.held)
		holds := s.slots.held[slot] != nil
		free := !holds && (!exists || !live[holderKey(record.Owner.Name, record.Owner.Incarnation)])
		since, seen := s.slots.unclaimed[slot]
		switch {
		case !free:
			delete(s.slots.unclaimed, slot)
		case !seen:
			since = now
			s.slots.unclaimed[slot] = now
		}
		s.mu.Unlock()
		if !free || stopping || (held >= fair && now.Sub(since) < s.renewInterval()) {
			continue
		}
		if !exists && elsewhere()[slot] != (Predecessor{}) {
			continue // its owner restores the record
		}
		errs = append(errs, s.claim(ctx, slot, record, exists))
	}
	return errors.Join(errs...)
}

func (s *Service) regions() []ratelimit.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conf.regions
}

// claimOrder returns the indexes of a region's slots in an order of the instance's own. If all claimed from the first one on, a
// whole fleet that starts at once would write as many claims as the square of its instances, nearly all in vain.
func claimOrder(instance string, slots int) []int {
	order := make([]int, slots)
	hashes := make([]uint64, slots)
	for i := range order {
		order[i] = i
		hashes[i] = xxhash.Sum64String(instance + "\x00" + strconv.Itoa(i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	return order
}

// claim makes this instance the owner of a slot. The former owner stays a predecessor until its use has surely ended.
func (s *Service) claim(ctx context.Context, slot ratelimit.Slot, record storedRecord, exists bool) error {
	next := Record{Owner: s.identity(), Predecessors: slices.Clone(record.Predecessors)}
	s.mu.Lock()
	before := append([]Predecessor{record.Owner}, s.slots.suspects[slot]...)
	s.mu.Unlock()
	for _, p := range before {
		if p != (Predecessor{}) && p.Incarnation != s.self.Incarnation {
			next.Predecessors = append(withoutIncarnations(next.Predecessors, []uint64{p.Incarnation}), p)
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	revision, err := s.opts.Store.Put(ctx, slotKey(slot), value, platform.PutOptions{IfRevision: &record.revision})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.slots.held[slot] = &heldSlot{fresh: !exists && len(next.Predecessors) == 0}
	s.slots.ownerOf[slot] = next.Owner
	delete(s.slots.unclaimed, slot)
	delete(s.slots.gave, slot)
	s.mu.Unlock()
	return s.reviewOwned(ctx, slot, storedRecord{next, revision})
}

// Release declares an incarnation dead on an operator's word: its slots may be claimed without it as a predecessor.
func Release(ctx context.Context, store platform.Store, incarnation uint64) (released int, err error) {
	records, err := readRecords(ctx, store)
	if err != nil {
		return 0, err
	}
	var errs []error
	for slot, r := range records {
		next := Record{r.Owner, withoutIncarnations(r.Predecessors, []uint64{incarnation})}
		if r.Owner.Incarnation == incarnation {
			next.Owner = Predecessor{}
		}
		if next.Owner == r.Owner && len(next.Predecessors) == len(r.Predecessors) {
			continue
		}
		value, err := json.Marshal(next)
		if err != nil {
			return released, err
		}
		if _, err := store.Put(ctx, slotKey(slot), value, platform.PutOptions{IfRevision: &r.revision}); err != nil {
			errs = append(errs, errors.Wrapf(err, "release slot %s", slotKey(slot)))
			continue
		}
		released++
	}
	return released, errors.Join(errs...)
}
