package configsync

import (
	"sync"

	"dogwoodknot.example/dogwoodknot/internal/core/configview"
)

// publisher calls subscribers on one goroutine, in the order of the views.
type publisher struct {
	mu      sync.Mutex
	pending []*configview.View
	wake    chan struct{}
	subs    map[int]func(View)
	nextSub int
}

func newPublisher() *publisher {
	return &publisher{wake: make(chan struct{}, 1), subs: make(map[int]func(View))}
}

func (p *publisher) add(v *configview.View) {
	p.mu.Lock()
	p.pending = append(p.pending, v)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// subscribe registers f for views that are published from now on. After cancel has returned, f is not called again, except
// for a call that is running.
func (p *publisher) subscribe(f func(View)) (cancel func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.nextSub
	p.nextSub++
	p.subs[id] = f
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subs, id)
	}
}

func (p *publisher) next() *configview.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return nil
	}
	v := p.pending[0]
	p.pending = p.pending[1:]
	return v
}

// subscribers returns the current subscribers in the order of their subscription.
func (p *publisher) subscribers() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]int, 0, len(p.subs))
	for id := range p.nextSub {
		if _, ok := p.subs[id]; ok {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *publisher) get(id int) func(View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subs[id]
}

func (p *publisher) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-p.wake:
		}
		for v := p.next(); v != nil; v = p.next() {
			for _, id := range p.subscribers() {
				if f := p.get(id); f != nil {
					f(v)
				}
			}
		}
	}
}
