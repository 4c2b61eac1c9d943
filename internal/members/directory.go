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
	// directoryTimeout is the timeout of a call to the directory.
	directoryTimeout = 5 * time.Second
	// directoryCheckInterval is how often the publisher compares the directory with what it has published: another
	// instance may have published during a partition.
	directoryCheckInterval = time.Minute
	// maxDirectoryBackoff is the longest wait after failed publications.
	maxDirectoryBackoff = time.Minute
)

// directoryLoop publishes the region's entries while this instance is the region's publisher.
func (s *Service) directoryLoop() {
	failures := newBackoff(s.options.DirectoryInterval, maxDirectoryBackoff)
	var known []platform.DirectoryEntry // what the directory holds, as far as this instance knows
	checked := time.Time{}
	for {
		wait := s.options.DirectoryInterval
		if s.isPublisher() {
			var err error
			if time.Since(checked) > directoryCheckInterval {
				if known, err = s.lookupDirectory(); err == nil {
					checked = time.Now()
				}
			}
			if err == nil {
				known, err = s.publishEntries(known)
			}
			if err != nil {
				s.log.Warn("directory was not updated; retrying after a backoff", zap.Error(err))
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

// isPublisher reports whether this instance publishes for its region.
func (s *Service) isPublisher() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && s.core.Version() > 0 && s.core.AmongFirst("directory/"+s.self.Region, 1, false)
}

func (s *Service) lookupDirectory() ([]platform.DirectoryEntry, error) {
	ctx, cancel := context.WithTimeout(s.ctx, directoryTimeout)
	defer cancel()
	entries, err := s.options.Directory.Lookup(ctx, s.self.Region)
	sortEntries(entries)
	return entries, err
}

// publishEntries publishes the live instances if they differ from known, the entries of the directory, and returns the
// entries that the directory holds afterwards.
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

// directoryEntries returns the live instances of a region, or the suspect ones if none is live. Instances of drained data
// centres are left out; drained may be nil.
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
