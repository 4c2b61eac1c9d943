package edge

import "slices"

// numberedLog keeps the latest entries under consecutive numbers, so that a reader can continue where it stopped. It holds what
// is reported to the other instances of the region. It is not safe for concurrent use.
type numberedLog[T any] struct {
	maxEntries int   // bound on the entries kept for a reader that does not read
	first      int64 // number of the oldest entry that is kept
	entries    []T
}

func (l *numberedLog[T]) add(entry T) {
	l.entries = append(l.entries, entry)
	if len(l.entries) > l.maxEntries {
		drop := len(l.entries) / 2
		l.entries = slices.Clone(l.entries[drop:])
		l.first += int64(drop)
	}
}

// since returns the entries from number n on, and the number of the next one.
func (l *numberedLog[T]) since(n int64) ([]T, int64) {
	next := l.first + int64(len(l.entries))
	from := min(max(n-l.first, 0), int64(len(l.entries)))
	return slices.Clone(l.entries[from:]), next
}
