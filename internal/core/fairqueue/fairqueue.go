// Package fairqueue orders waiting model requests: weighted fair in tokens between organisations within a class, and
// weighted fair in tokens between the classes, so that neither class waits for ever. It is pure and not safe for
// concurrent use.
package fairqueue

import (
	"container/heap"
	"math"
)

// Class tells short interactive work from long work.
type Class int

// Classes of work.
const (
	Short Class = iota
	Long
	classes
)

// DefaultShares is the part of the drained tokens that each class gets while both wait.
// Short work gets three quarters: a short request waits for one person, a long one for a shift.
var DefaultShares = [2]float64{Short: 3, Long: 1}

// Item is a waiting request.
type Item[T any] struct {
	Organisation string
	Weight       float64 // part of the organisation relative to others; values of 0 or less count as 1
	Class        Class
	Tokens       float64 // work that the request stands for; values below 1 count as 1
	Value        T

	owner *organisation[T]
}

// Queue is a start-time fair queue with two levels. Tags are computed for the first item of an organisation only, so that a
// removed item costs its organisation nothing.
type Queue[T any] struct {
	classes [classes]*class[T]
	virtual float64 // virtual time between the classes
}

type class[T any] struct {
	share   float64
	tag     float64 // virtual start of the class's next item
	virtual float64 // virtual time between the organisations
	heap    organisationHeap[T]
	byName  map[string]*organisation[T]
	tokens  float64
	length  int
}

type organisation[T any] struct {
	name   string
	class  *class[T]
	weight float64
	tag    float64 // virtual start of the first item
	tokens float64
	items  []*Item[T]
	index  int // in the heap, -1 while no item waits
}

// New returns an empty queue in which the classes share the drained tokens as given.
func New[T any](shares [2]float64) *Queue[T] {
	q := &Queue[T]{}
	for i := range q.classes {
		share := shares[i]
		if share <= 0 {
			share = 1
		}
		q.classes[i] = &class[T]{share: share, byName: map[string]*organisation[T]{}}
	}
	return q
}

// Len is the number of waiting items.
func (q *Queue[T]) Len() int { return q.classes[Short].length + q.classes[Long].length }

// Tokens is the work of all waiting items.
func (q *Queue[T]) Tokens() float64 { return q.classes[Short].tokens + q.classes[Long].tokens }

// Push adds an item.
func (q *Queue[T]) Push(it *Item[T]) {
	it.Weight = positive(it.Weight)
	it.Tokens = math.Max(it.Tokens, 1)
	c := q.classes[it.Class]
	if c.length == 0 {
		c.tag = math.Max(c.tag, q.virtual)
	}
	c.push(it)
}

func (c *class[T]) push(it *Item[T]) {
	o := c.byName[it.Organisation]
	if o == nil {
		o = &organisation[T]{name: it.Organisation, class: c, index: -1}
		c.byName[it.Organisation] = o
	}
	o.weight = it.Weight
	it.owner = o
	o.items = append(o.items, it)
	o.tokens += it.Tokens
	c.tokens += it.Tokens
	c.length++
	if o.index < 0 {
		o.tag = math.Max(o.tag, c.virtual)
		heap.Push(&c.heap, o)
	}
}

// Pop removes and returns the next item, or nil.
func (q *Queue[T]) Pop() *Item[T] {
	c := q.next()
	if c == nil {
		return nil
	}
	q.virtual = math.Max(q.virtual, c.tag)
	it := c.pop()
	c.tag += it.Tokens / c.share
	q.reset()
	return it
}

// Peek returns the item that Pop would return, or nil.
func (q *Queue[T]) Peek() *Item[T] {
	c := q.next()
	if c == nil {
		return nil
	}
	return c.heap[0].items[0]
}

func (q *Queue[T]) next() *class[T] {
	var best *class[T]
	for _, c := range q.classes {
		if c.length > 0 && (best == nil || c.tag < best.tag) {
			best = c
		}
	}
	return best
}

func (c *class[T]) pop() *Item[T] {
	o := c.heap[0]
	it := o.items[0]
	c.virtual = math.Max(c.virtual, o.tag)
	o.tag += it.Tokens / o.weight
	c.drop(o, 0)
	return it
}

// drop removes the item at position i of an organisation and restores the order.
func (c *class[T]) drop(o *organisation[T], i int) {
	it := o.items[i]
	o.items[i] = nil
	o.items = append(o.items[:i], o.items[i+1:]...)
	it.owner = nil
	o.tokens -= it.Tokens
	c.tokens -= it.Tokens
	c.length--
	if len(o.items) > 0 {
		heap.Fix(&c.heap, o.index)
		return
	}
	heap.Remove(&c.heap, o.index)
	c.forget()
}

// forget drops idle organisations whose tags no longer matter. It runs when idle ones outnumber waiting ones, which keeps
// its cost per item constant.
func (c *class[T]) forget() {
	const minIdle = 64
	if len(c.byName)-len(c.heap) < len(c.heap)+minIdle {
		return
	}
	for name, o := range c.byName {
		if o.index < 0 && o.tag <= c.virtual {
			delete(c.byName, name)
		}
	}
}

// reset starts virtual time again when nothing waits. It also bounds the loss of precision of the tags.
func (q *Queue[T]) reset() {
	if q.Len() > 0 {
		return
	}
	q.virtual = 0
	for _, c := range q.classes {
		c.tag, c.virtual, c.tokens = 0, 0, 0
		clear(c.byName)
	}
}

// Remove takes a waiting item out and reports whether it was still there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	o := it.owner
	if o == nil {
		return false
	}
	for i, other := range o.items {
		if other == it {
			o.class.drop(o, i)
			q.reset()
			return true
		}
	}
	return false
}

// TokensAhead estimates the tokens that are drained before an item of the given kind that is pushed now.
func (q *Queue[T]) TokensAhead(org string, weight float64, cl Class, tokens float64) float64 {
	c := q.classes[cl]
	weight = positive(weight)
	own := 0.0
	if o := c.byName[org]; o != nil {
		own = o.tokens
	}
	ahead := own
	rounds := (own + math.Max(tokens, 1)) / weight
	for _, o := range c.heap {
		if o.name != org {
			ahead += math.Min(o.tokens, rounds*o.weight)
		}
	}
	other := q.classes[Short+Long-cl]
	return ahead + math.Min(other.tokens, (ahead+tokens)*other.share/c.share)
}

func positive(w float64) float64 {
	if w <= 0 || math.IsNaN(w) {
		return 1
	}
	return w
}

type organisationHeap[T any] []*organisation[T]

func (h organisationHeap[T]) Len() int { return len(h) }

func (h organisationHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].name < h[j].name
}

func (h organisationHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *organisationHeap[T]) Push(x any) {
	o := x.(*organisation[T])
	o.index = len(*h)
	*h = append(*h, o)
}

func (h *organisationHeap[T]) Pop() any {
	old := *h
	o := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	o.index = -1
	return o
}
