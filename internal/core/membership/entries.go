package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// EntryParams determine how many entries an organisation gets and how long they are valid.
type EntryParams struct {
	// MinEntries are given to even the smallest organisation, so that it has another entry when one fails.
	MinEntries int
	// RatePerEntry is the rate in tokens per second for which an organisation gets one more entry.
	RatePerEntry float64
	Validity     time.Duration // how long entries are valid; callers ask again afterwards
	// Jitter is the largest fraction of Validity that is subtracted at random, so that callers do not all ask again at
	// the same time.
	Jitter float64
}

// DefaultEntryParams returns parameters with one entry for each 1,500 tokens/s of an organisation's rate. That is less
// than half of the 3,300 tokens/s that one of 390 instances carries at the peak of 1.3 million tokens/s.
func DefaultEntryParams() EntryParams {
	return EntryParams{MinEntries: 2, RatePerEntry: 1500, Validity: 30 * time.Second, Jitter: 0.3}
}

// Validate returns all invalid parameters as one joined error.
func (p EntryParams) Validate() error {
	var findings []error
	if p.MinEntries < 1 {
		findings = append(findings, errors.New("MinEntries is not positive"))
	}
	if p.RatePerEntry <= 0 {
		findings = append(findings, errors.New("RatePerEntry is not positive"))
	}
	if p.Validity <= 0 {
		findings = append(findings, errors.New("Validity is not positive"))
	}
	if p.Jitter < 0 || p.Jitter >= 1 {
		findings = append(findings, errors.New("Jitter is not in [0,1)"))
	}
	return errors.Join(findings...)
}

// Entries are the instances that an organisation's callers should use, best first.
type Entries struct {
	Members  []Member
	ValidFor time.Duration
	// LastResort is true if there are only members that are leaving or in a drained data centre.
	LastResort bool
}

// RankEntries returns the entries of an organisation in a region. rate is the organisation's rate in tokens per second.
// Live instances come first, in the rendezvous order of the organisation. Suspect ones are added only if there are too
// few live ones; leaving ones, and those of drained data centres, only if there are no others. drained may be nil.
func RankEntries(s *Snapshot, region, organisation string, rate float64, drained func(dataCentre string) bool, p EntryParams, random *rand.Rand) Entries {
	byStatus := map[Status][]ranked{}
	key := xxhash.Sum64String(organisation)
	for i := range s.Members {
		if m := &s.Members[i]; m.Region == region {
			status := m.Status
			if drained != nil && drained(m.DataCentre) {
				status = Leaving
			}
			byStatus[status] = append(byStatus[status], ranked{m, score(key, xxhash.Sum64String(m.Name))})
		}
	}
	for _, list := range byStatus {
		slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	}
	want := p.count(rate)
	chosen := firstN(byStatus[Live], want)
	chosen = append(chosen, firstN(byStatus[Suspect], want-len(chosen))...)
	lastResort := len(chosen) == 0
	if lastResort {
		chosen = firstN(byStatus[Leaving], want)
	}
	shortened := float64(p.Validity) * (1 - p.Jitter*random.Float64())
	return Entries{Members: chosen, ValidFor: time.Duration(shortened), LastResort: lastResort}
}

// count returns the number of entries for a rate in tokens per second.
func (p EntryParams) count(rate float64) int {
	if rate <= 0 || math.IsNaN(rate) {
		return p.MinEntries
	}
	return p.MinEntries + int(min(math.Floor(rate/p.RatePerEntry), math.MaxInt16))
}

// ranked is a member with its rendezvous score for an organisation.
type ranked struct {
	member *Member
	score  uint64
}

func firstN(list []ranked, n int) []Member {
	var out []Member
	for _, r := range list[:max(0, min(n, len(list)))] {
		out = append(out, *r.member)
	}
	return out
}
