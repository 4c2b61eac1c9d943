package fleetview

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Messages in the compact form hold names once a stream and numbers after that, in flat lists. Both forms are read.
const (
	// prefillUnit and memoryUnit are the units of loads, in tokens. The prefill of 16 tokens takes about a millisecond, and 64 tokens are a
	// small part of a request's memory; decisions of placement differ by more.
	prefillUnit, memoryUnit = 16, 64
	// usageUnit is the unit of usage. What is left over is kept for the next message, so that no usage is lost or added.
	usageUnit = 1.0 / 16
	// maxNames is the number of names of a stream from which on the numbering begins anew: some times the endpoints, organisations and
	// instances of a region.
	maxNames = 16384
)

// ErrBadNumber is returned for a message in the compact form that refers to a name that was not sent, or is cut.
var ErrBadNumber = errors.New("message refers to an unknown name")

// nameTable numbers the names that are sent on a stream.
type nameTable struct {
	numbers map[string]uint32
	names   []string
}

func newNameTable() *nameTable { return &nameTable{numbers: make(map[string]uint32)} }

func (t *nameTable) number(name string) uint32 {
	n, known := t.numbers[name]
	if !known {
		n = uint32(len(t.names))
		t.numbers[name] = n
		t.names = append(t.names, name)
	}
	return n
}

// receivedNames are the names received on a stream, by number.
type receivedNames []string

func (r receivedNames) name(number uint64) (string, error) {
	if number >= uint64(len(r)) {
		return "", ErrBadNumber
	}
	return r[number], nil
}

func (r *receivedNames) add(names []string) error {
	if len(*r)+len(names) > 2*maxNames {
		return ErrTooLarge
	}
	*r = append(*r, names...)
	return nil
}

// roundLoad rounds a load to the units of the compact form.
func roundLoad(l placement.Load) placement.Load {
	l.PendingPrefill = prefillUnit * float64(roundToUint32(l.PendingPrefill/prefillUnit))
	l.Memory = memoryUnit * float64(roundToUint32(l.Memory/memoryUnit))
	return l
}

// roundLoads rounds the loads of endpoints and leaves out those that have become empty.
func roundLoads(loads map[string]placement.Load) {
	for endpoint, l := range loads {
		if l = roundLoad(l); l == (placement.Load{}) {
			delete(loads, endpoint)
			continue
		}
		loads[endpoint] = l
	}
}

// packLoads packs loads, and the streams with a gap limit at each of them unless there are none.
func (t *nameTable) packLoads(list []*wire.EdgeEndpointWork) (packed, gaps []uint32) {
	packed = make([]uint32, 0, 4*len(list))
	for i, w := range list {
		packed = append(packed, t.number(w.GetId()), w.GetRunning(), w.GetUnreadTokens()/prefillUnit, w.GetMemoryTokens()/memoryUnit)
		if w.GetGapLimited() > 0 && gaps == nil {
			gaps = make([]uint32, i, len(list))
		}
		if gaps != nil {
			gaps = append(gaps, w.GetGapLimited())
		}
	}
	return packed, gaps
}

func (r receivedNames) unpackLoads(packed, gaps []uint32) ([]*wire.EdgeEndpointWork, error) {
	if len(packed)%4 != 0 || len(gaps) > 0 && len(gaps) != len(packed)/4 {
		return nil, ErrBadNumber
	}
	out := make([]*wire.EdgeEndpointWork, 0, len(packed)/4)
	for ; len(packed) > 0; packed = packed[4:] {
		id, err := r.name(uint64(packed[0]))
		if err != nil {
			return nil, err
		}
		out = append(out, &wire.EdgeEndpointWork{Id: id, Running: packed[1], UnreadTokens: units(packed[2], prefillUnit), MemoryTokens: units(packed[3], memoryUnit)})
	}
	for i, n := range gaps {
		out[i].GapLimited = n
	}
	return out, nil
}

// units returns n units of the given size, at most the largest number.
func units(n, size uint32) uint32 { return min(n, math.MaxUint32/size) * size }

func (t *nameTable) packUses(to []uint64, list []*wire.EdgeOrganisationUse) []uint64 {
	for _, u := range list {
		to = append(to, uint64(t.number(u.GetName())), saturate.Uint64(u.GetUsed()/usageUnit))
	}
	return to
}

func (r receivedNames) unpackUses(packed []uint64) ([]*wire.EdgeOrganisationUse, error) {
	if len(packed)%2 != 0 {
		return nil, ErrBadNumber
	}
	out := make([]*wire.EdgeOrganisationUse, 0, len(packed)/2)
	for ; len(packed) > 0; packed = packed[2:] {
		name, err := r.name(packed[0])
		if err != nil {
			return nil, err
		}
		out = append(out, &wire.EdgeOrganisationUse{Name: name, Used: float64(packed[1]) * usageUnit})
	}
	return out, nil
}

// takeWholeUnits returns the usage in whole units and leaves the rest.
func takeWholeUnits(usage map[string]float64) (whole, rest map[string]float64) {
	whole, rest = make(map[string]float64, len(usage)), make(map[string]float64)
	for organisation, used := range usage {
		units := float64(saturate.Uint64(used/usageUnit)) * usageUnit
		if units > 0 {
			whole[organisation] = units
		}
		if used > units {
			rest[organisation] = used - units
		}
	}
	return whole, rest
}

// packedParts are prompt parts in the compact form.
type packedParts struct {
	lists   []uint32
	keys    []uint64
	tokens  []uint32
	origins []uint32
}

func (t *nameTable) packParts(list []*wire.EdgeEndpointParts) (p packedParts) {
	for _, e := range list {
		n := min(len(e.GetKeys()), len(e.GetTokens()))
		p.lists = append(p.lists, t.number(e.GetId()), uint32(n))
		p.keys, p.tokens = append(p.keys, e.GetKeys()[:n]...), append(p.tokens, e.GetTokens()[:n]...)
		p.origins = append(p.origins, e.GetOrigin())
	}
	return p
}

func (r receivedNames) unpackParts(p packedParts) ([]*wire.EdgeEndpointParts, error) {
	if len(p.lists) != 2*len(p.origins) || len(p.keys) != len(p.tokens) {
		return nil, ErrBadNumber
	}
	var out []*wire.EdgeEndpointParts
	for k, origin := range p.origins {
		id, err := r.name(uint64(p.lists[2*k]))
		n := int(p.lists[2*k+1])
		if err != nil || n > len(p.keys) {
			return nil, ErrBadNumber
		}
		out = append(out, &wire.EdgeEndpointParts{Id: id, Keys: p.keys[:n], Tokens: p.tokens[:n], Origin: origin})
		p.keys, p.tokens = p.keys[n:], p.tokens[n:]
	}
	return out, nil
}

// incarnationSeparator separates the name of an instance and its incarnation in a name of a descendant.
const incarnationSeparator = " "

func (t *nameTable) packDescendants(list []*wire.EdgeDescendantUse) (out []uint64) {
	for _, d := range list {
		resent := uint64(0)
		if d.GetResent() {
			resent = 1
		}
		name := d.GetName() + incarnationSeparator + strconv.FormatUint(d.GetIncarnation(), 36)
		out = t.packUses(append(out, uint64(t.number(name)), d.GetNumber(), resent, uint64(len(d.GetUses()))), d.GetUses())
	}
	return out
}

func (r receivedNames) unpackDescendants(packed []uint64) (out []*wire.EdgeDescendantUse, err error) {
	for len(packed) > 0 {
		if len(packed) < 4 || packed[3] > uint64(len(packed)-4)/2 {
			return nil, ErrBadNumber
		}
		full, err := r.name(packed[0])
		if err != nil {
			return nil, err
		}
		at := strings.LastIndex(full, incarnationSeparator)
		if at < 0 {
			return nil, ErrBadNumber
		}
		incarnation, err := strconv.ParseUint(full[at+len(incarnationSeparator):], 36, 64)
		if err != nil {
			return nil, ErrBadNumber
		}
		end := 4 + 2*packed[3]
		uses, err := r.unpackUses(packed[4:end])
		if err != nil {
			return nil, err
		}
		out = append(out, &wire.EdgeDescendantUse{Name: full[:at], Incarnation: incarnation, Number: packed[1], Resent: packed[2] != 0, Uses: uses})
		packed = packed[end:]
	}
	return out, nil
}

// compactMessage is a message whose loads and prompt parts may be in the compact form.
type compactMessage interface {
	GetComplete() bool
	GetNames() []string
	GetLoads() []uint32
	GetLoadGaps() []uint32
	GetPartLists() []uint32
	GetPartKeys() []uint64
	GetPartTokens() []uint32
	GetPartOrigins() []uint32
}

// unpackCommon takes the names of a message, and returns its compact loads and prompt parts.
func (r *receivedNames) unpackCommon(m compactMessage) ([]*wire.EdgeEndpointWork, []*wire.EdgeEndpointParts, error) {
	if m.GetComplete() {
		*r = nil
	}
	if err := r.add(m.GetNames()); err != nil {
		return nil, nil, err
	}
	loads, err := r.unpackLoads(m.GetLoads(), m.GetLoadGaps())
	if err != nil {
		return nil, nil, err
	}
	parts, err := r.unpackParts(packedParts{m.GetPartLists(), m.GetPartKeys(), m.GetPartTokens(), m.GetPartOrigins()})
	return loads, parts, err
}

// packReport puts a report into the compact form.
func (t *nameTable) packReport(r *wire.EdgeReport) {
	before := len(t.names)
	r.Loads, r.LoadGaps = t.packLoads(r.GetEndpoints())
	r.Endpoints = nil
	r.Used, r.Uses = t.packUses(nil, r.GetUses()), nil
	parts := t.packParts(r.GetParts())
	r.PartLists, r.PartKeys, r.PartTokens, r.PartOrigins, r.Parts = parts.lists, parts.keys, parts.tokens, parts.origins, nil
	r.DescendantsUsed, r.Descendants = t.packDescendants(r.GetDescendants()), nil
	r.Names = t.names[before:]
}

// unpackReport reads the compact fields of a report into the others.
func (r *receivedNames) unpackReport(m *wire.EdgeReport) error {
	loads, parts, err := r.unpackCommon(m)
	if err != nil {
		return err
	}
	uses, err := r.unpackUses(m.GetUsed())
	if err != nil {
		return err
	}
	descendants, err := r.unpackDescendants(m.GetDescendantsUsed())
	if err != nil {
		return err
	}
	m.Endpoints, m.Uses, m.Parts = append(m.Endpoints, loads...), append(m.Uses, uses...), append(m.Parts, parts...)
	m.Descendants = append(m.Descendants, descendants...)
	return nil
}

// packState puts a state into the compact form, without the names.
func (t *nameTable) packState(s *wire.EdgeFleetState) {
	s.Loads, s.LoadGaps = t.packLoads(s.GetEndpoints())
	s.Endpoints = nil
	parts := t.packParts(s.GetParts())
	s.PartLists, s.PartKeys, s.PartTokens, s.PartOrigins, s.Parts = parts.lists, parts.keys, parts.tokens, parts.origins, nil
	for _, region := range s.GetRegions() {
		region.Used, region.Uses = t.packUses(nil, region.GetUses()), nil
	}
}

// unpackState reads the compact fields of a state into the others.
func (r *receivedNames) unpackState(m *wire.EdgeFleetState) error {
	loads, parts, err := r.unpackCommon(m)
	if err != nil {
		return err
	}
	m.Endpoints, m.Parts = append(m.Endpoints, loads...), append(m.Parts, parts...)
	for _, region := range m.GetRegions() {
		uses, err := r.unpackUses(region.GetUsed())
		if err != nil {
			return err
		}
		region.Uses = append(region.Uses, uses...)
	}
	return nil
}
