// Package rendezvous implements rendezvous hashing: it ranks names by the hash of a key and the name. All who know the same
// names choose the same ones for a key, and a name that is added or removed moves only the keys that it is chosen for. The
// package does no I/O.
package rendezvous

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// First returns the name with the highest rank for the key, or "" without names.
func First(key string, names []string) string {
	first := Top(key, names, 1)
	if len(first) == 0 {
		return ""
	}
	return first[0]
}

// Top returns the n names with the highest ranks for the key, highest first, or all names if there are fewer.
func Top(key string, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, xxhash.Sum64String(key + "\x00" + name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.name, b.name))
	})
	out := make([]string, max(0, min(n, len(all))))
	for i := range out {
		out[i] = all[i].name
	}
	return out
}
