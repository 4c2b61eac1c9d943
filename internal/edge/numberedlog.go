package edge

import "slices"

// numberedLog keeps the latest entries for readers that each go on from where they were: the other instances of the region. It is not
// safe for concurrent use.
type numberedLog[T any] struct {
	most    int   // entries that are kept for a reader that does not come
	first   int64 // number of the first entry that is kept
	entries []T
}

func (l *numberedLog[T]) add(entry T) {
	l.entries = append(l.entries, entry)
	if len(l.entries) > l.most {
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
