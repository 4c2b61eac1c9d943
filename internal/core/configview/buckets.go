package configview

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts that a map is divided into. A change copies only the parts that it affects.
const bucketCount = 256

// buckets is an immutable map with string keys, divided into parts by the hash of the key. Its zero value is empty.
type buckets[V any] struct {
	parts [bucketCount]map[string]V
	size  int
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func (b *buckets[V]) get(key string) (V, bool) {
	v, ok := b.parts[bucketOf(key)][key]
	return v, ok
}

// each calls f for each entry until f returns false.
func (b *buckets[V]) each(f func(key string, v V) bool) {
	for _, part := range b.parts {
		for k, v := range part {
			if !f(k, v) {
				return
			}
		}
	}
}

// bucketEditor builds a changed copy of buckets. It copies only the parts that change, and leaves the original as it
// is.
type bucketEditor[V any] struct {
	next  *buckets[V]
	owned [bucketCount]bool // parts that were copied for this editor
}

func edit[V any](b *buckets[V]) *bucketEditor[V] {
	next := *b
	return &bucketEditor[V]{next: &next}
}

// own returns a part that the editor may change. It copies the part first if it belongs to the original.
func (e *bucketEditor[V]) own(i int) map[string]V {
	if !e.owned[i] {
		part := maps.Clone(e.next.parts[i])
		if part == nil {
			part = make(map[string]V)
		}
		e.next.parts[i] = part
		e.owned[i] = true
	}
	return e.next.parts[i]
}

func (e *bucketEditor[V]) set(key string, v V) {
	part := e.own(bucketOf(key))
	if _, ok := part[key]; !ok {
		e.next.size++
	}
	part[key] = v
}

func (e *bucketEditor[V]) remove(key string) {
	i := bucketOf(key)
	if _, ok := e.next.parts[i][key]; !ok {
		return
	}
	delete(e.own(i), key)
	e.next.size--
}

func (e *bucketEditor[V]) done() *buckets[V] { return e.next }
