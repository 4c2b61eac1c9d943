package configview

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// bucketCount divides a map so that a change copies a small part of it.
const bucketCount = 256

// buckets is an immutable map from strings, divided by hash. Its zero value is empty.
type buckets[V any] struct {
	parts [bucketCount]map[string]V
	size  int
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func (b *buckets[V]) get(key string) (V, bool) {
	v, ok := b.parts[bucketOf(key)][key]
	return v, ok
}

func (b *buckets[V]) each(f func(key string, v V) bool) {
	for _, part := range b.parts {
		for k, v := range part {
			if !f(k, v) {
				return
			}
		}
	}
}

// bucketEditor derives new buckets from old ones, which stay as they are.
type bucketEditor[V any] struct {
	next  *buckets[V]
	owned [bucketCount]bool
}

func edit[V any](b *buckets[V]) *bucketEditor[V] {
	next := *b
	return &bucketEditor[V]{next: &next}
}

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
