package members

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	// directoryTimeout bounds a call to the directory.
	directoryTimeout = 5 * time.Second
	// directoryCheck is how often the publisher compares the directory with what it has published: another instance
	// may have published during a partition.
	directoryCheck = time.Minute
	// directoryLongestWait bounds the wait after refused publications.
	directoryLongestWait = time.Minute
)

// directoryLoop publishes the region's entries as long as this instance is the region's publisher.
func (s *Service) directoryLoop() {
	failures := newBackoff(s.options.DirectoryInterval, directoryLongestWait)
	var known []platform.DirectoryEntry // what the directory holds, as far as this instance knows
	checked := time.Time{}
	for {
		wait := s.options.DirectoryInterval
		if s.publisher() {
			var err error
			if time.Since(checked) > directoryCheck {
				if known, err = s.lookup(); err == nil {
					checked = time.Now()
				}
			}
			if err == nil {
				known, err = s.publishEntries(known)
			}
			if err != nil {
				s.log.Warn("directory was not updated", zap.Error(err))
				wait = max(wait, failures.NextBackOff())
			} else {
				failures.Reset()
			}
		} else {
			checked = time.Time{}
		}
		if clock.Sleep(s.ctx, wait) != nil {
			return
		}
	}
}

// publisher reports whether this instance publishes for its region.
func (s *Service) publisher() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && s.core.Version() > 0 && s.core.AmongFirst("directory/"+s.self.Region, 1, false)
}

func (s *Service) lookup() ([]platform.DirectoryEntry, error) {
	ctx, cancel := context.WithTimeout(s.ctx, directoryTimeout)
	defer cancel()
	entries, err := s.options.Directory.Lookup(ctx, s.self.Region)
	sortEntries(entries)
	return entries, err
}

// publishEntries publishes the live instances if they differ from what the directory holds, and returns what it holds
// then.
func (s *Service) publishEntries(known []platform.DirectoryEntry) ([]platform.DirectoryEntry, error) {
	entries := directoryEntries(s.Snapshot(), s.self.Region, s.options.Drained)
	if len(entries) == 0 || slices.Equal(entries, known) {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, directoryTimeout)
	defer cancel()
	s.metrics.publications.Inc(1)
	if err := s.options.Directory.Publish(ctx, s.self.Region, entries); err != nil {
		return known, err
	}
	return entries, nil
}

// directoryEntries returns the live instances of a region, or the suspect ones if none is live. Those of drained data centres
// are left out; drained may be nil.
func directoryEntries(snapshot *membership.Snapshot, region string, drained func(dataCentre string) bool) []platform.DirectoryEntry {
	for _, state := range []membership.Status{membership.Live, membership.Suspect} {
		var entries []platform.DirectoryEntry
		for _, m := range snapshot.InRegion(region) {
			if m.Status == state && m.CallerAddr != "" && (drained == nil || !drained(m.DataCentre)) {
				entries = append(entries, platform.DirectoryEntry{
					Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, CallerAddr: m.CallerAddr,
				})
			}
		}
		if len(entries) > 0 {
			sortEntries(entries)
			return entries
		}
	}
	return nil
}

func sortEntries(entries []platform.DirectoryEntry) {
	slices.SortFunc(entries, func(a, b platform.DirectoryEntry) int { return cmp.Compare(a.Name, b.Name) })
}
