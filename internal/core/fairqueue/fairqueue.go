// Package fairqueue orders waiting model requests by weighted fair queueing, with the tokens of the requests as their cost:
// between the organisations within a class, and between the classes, so that neither class starves. The package does no I/O and
// is not safe for concurrent use.
package fairqueue

import (
	"container/heap"
	"math"
)

// Class distinguishes short interactive requests from long ones.
type Class int

// Classes of requests.
const (
	Short Class = iota
	Long
	classes
)

// DefaultShares are the shares of the drained tokens that the classes get while both wait. Short requests get three quarters: a
// person waits for the answer to a short request, while a long one may take a work shift.
var DefaultShares = [2]float64{Short: 3, Long: 1}

// Item is a waiting request.
type Item[T any] struct {
	Organisation string
	Weight       float64 // share relative to other organisations; values of 0 or less count as 1
	Class        Class
	Tokens       float64 // size of the request; values below 1 count as 1
	Value        T

	owner *organisation[T]
}

// Queue is a start-time fair queue with two levels. Start tags are computed only for the first item of an organisation, so that
// an item which is removed while waiting costs its organisation nothing.
type Queue[T any] struct {
	classes     [classes]*class[T]
	virtualTime float64 // virtual time of the queue between the classes
}

type class[T any] struct {
	share       float64
	startTag    float64 // virtual start time of the next item of the class
	virtualTime float64 // virtual time of the queue between the organisations
	heap        organisationHeap[T]
	byName      map[string]*organisation[T]
	tokens      float64
	length      int
}

type organisation[T any] struct {
	name     string
	class    *class[T]
	weight   float64
	startTag float64 // virtual start time of the first item
	tokens   float64
	items    []*Item[T]
	index    int // in the heap, -1 while no item waits
}

// New returns an empty queue that divides the drained tokens between the classes by the given shares. A share of 0 or less
// counts as 1.
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

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.classes[Short].length + q.classes[Long].length }

// Tokens returns the tokens of all waiting items.
func (q *Queue[T]) Tokens() float64 { return q.classes[Short].tokens + q.classes[Long].tokens }

// Push adds an item.
func (q *Queue[T]) Push(it *Item[T]) {
	it.Weight = positiveWeight(it.Weight)
	it.Tokens = math.Max(it.Tokens, 1)
	c := q.classes[it.Class]
	if c.length == 0 {
		c.startTag = math.Max(c.startTag, q.virtualTime)
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
		o.startTag = math.Max(o.startTag, c.virtualTime)
		heap.Push(&c.heap, o)
	}
}

// Pop removes and returns the next item, or nil.
func (q *Queue[T]) Pop() *Item[T] {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	q.virtualTime = math.Max(q.virtualTime, c.startTag)
	it := c.pop()
	c.startTag += it.Tokens / c.share
	q.resetIfEmpty()
	return it
}

// Peek returns the item that Pop would return, or nil.
func (q *Queue[T]) Peek() *Item[T] {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	return c.heap[0].items[0]
}

func (q *Queue[T]) nextClass() *class[T] {
	var best *class[T]
	for _, c := range q.classes {
		if c.length > 0 && (best == nil || c.startTag < best.startTag) {
			best = c
		}
	}
	return best
}

func (c *class[T]) pop() *Item[T] {
	o := c.heap[0]
	it := o.items[0]
	c.virtualTime = math.Max(c.virtualTime, o.startTag)
	o.startTag += it.Tokens / o.weight
	c.removeAt(o, 0)
	return it
}

// removeAt removes the item at position i of an organisation and restores the order.
func (c *class[T]) removeAt(o *organisation[T], i int) {
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
	c.pruneIdle()
}

// pruneIdle removes organisations without waiting items whose start tags no longer matter. It does so only when idle
// organisations outnumber the waiting ones, which keeps the cost per item constant.
func (c *class[T]) pruneIdle() {
	const minIdle = 64
	if len(c.byName)-len(c.heap) < len(c.heap)+minIdle {
		return
	}
	for name, o := range c.byName {
		if o.index < 0 && o.startTag <= c.virtualTime {
			delete(c.byName, name)
		}
	}
}

// resetIfEmpty restarts virtual time when nothing waits. This also bounds the loss of precision of the tags.
func (q *Queue[T]) resetIfEmpty() {
	if q.Len() > 0 {
		return
	}
	q.virtualTime = 0
	for _, c := range q.classes {
		c.startTag, c.virtualTime, c.tokens = 0, 0, 0
		clear(c.byName)
	}
}

// Remove removes an item and reports whether it was still waiting.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	o := it.owner
	if o == nil {
		return false
	}
	for i, other := range o.items {
		if other == it {
			o.class.removeAt(o, i)
			q.resetIfEmpty()
			return true
		}
	}
	return false
}

// TokensAhead estimates the tokens that would be drained before an item with the given properties if it were pushed now.
func (q *Queue[T]) TokensAhead(org string, weight float64, cl Class, tokens float64) float64 {
	c := q.classes[cl]
	weight = positiveWeight(weight)
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

func positiveWeight(w float64) float64 {
	if w <= 0 || math.IsNaN(w) {
		return 1
	}
	return w
}

type organisationHeap[T any] []*organisation[T]

func (h organisationHeap[T]) Len() int { return len(h) }

func (h organisationHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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
