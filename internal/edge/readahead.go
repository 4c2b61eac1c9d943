package edge

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
)

const (
	// readAheadInterval is the interval of checks for callers that take no bytes. A write that lasts through a whole interval is blocked;
	// endpoints cut off an answer that remains unread for some seconds.
	readAheadInterval = 150 * time.Millisecond
	// maxReadAhead bounds what is read of one answer ahead of its caller, in bytes.
	maxReadAhead = 4 << 20
	// readAheadStep is the size of the buffers in which it is held.
	readAheadStep = 16 << 10
)

// readAhead is the body of an answer. While a write to the caller is blocked, it reads the rest into a buffer that is counted in the memory
// account, so that the endpoint does not cut the answer off. One goroutine reads, writes and closes it.
type readAhead struct {
	src    io.ReadCloser
	list   *readAheads
	listed bool
	// writes is odd while a write to the caller is in progress.
	writes atomic.Uint64
	seen   uint64 // writes at the last check; used by the check only

	mu      sync.Mutex
	changed *sync.Cond
	pumping bool // src is read and closed by pump
	held    *membudget.Holder
	parts   [][]byte
	size    int   // bytes in parts
	err     error // of src, once parts have been read
	closed  bool
}

// readAheads are the answers that are being written to callers.
type readAheads struct {
	memory *Memory
	mu     sync.Mutex
	open   map[*readAhead]struct{}
}

func newReadAheads(m *Memory) *readAheads {
	return &readAheads{memory: m, open: make(map[*readAhead]struct{})}
}

func (l *readAheads) wrap(body io.ReadCloser) *readAhead {
	b := &readAhead{src: body, list: l}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// run starts to read ahead where a write is blocked, until ctx ends.
func (l *readAheads) run(ctx context.Context) {
	var all []*readAhead
	for clock.Sleep(ctx, readAheadInterval) == nil {
		l.mu.Lock()
		all = all[:0]
		for b := range l.open {
			all = append(all, b)
		}
		l.mu.Unlock()
		for _, b := range all {
			b.check()
		}
		clear(all)
	}
}

// check starts to read ahead if the write that was in progress at the last check still is.
func (b *readAhead) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := b.writes.Load()
	blocked := writes%2 == 1 && writes == b.seen
	b.seen = writes
	if b.pumping {
		b.changed.Broadcast() // there may be memory again
	} else if blocked && !b.closed {
		// The goroutine that writes cannot be in a read of src, and the next one sees pumping.
		b.pumping = true
		b.held = b.list.memory.Open(0, membudget.Answers, membudget.Client{}, nil)
		go b.pump()
	}
}

// pump reads src until it ends or the body is closed.
func (b *readAhead) pump() {
	scratch := make([]byte, readAheadStep)
	for b.waitForRoom() {
		n, err := b.src.Read(scratch)
		b.mu.Lock()
		b.store(scratch[:n])
		b.err = err
		b.changed.Broadcast()
		b.mu.Unlock()
		if err != nil {
			break
		}
	}
	_ = b.src.Close() // what is needed of it has been read
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		b.changed.Wait()
	}
	b.parts = nil
	b.list.memory.Close(b.held)
}

// waitForRoom waits until one step may be held. It returns false once the body is closed.
func (b *readAhead) waitForRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if b.size == 0 && b.held.Bytes() <= readAheadStep { // the answer goes on in any case
			b.list.memory.Force(b.held, 2*readAheadStep-b.held.Bytes())
			return true
		}
		if b.size+readAheadStep <= maxReadAhead && b.list.memory.TryGrow(b.held, readAheadStep) {
			return true
		}
		b.changed.Wait()
	}
	return false
}

// store appends to the buffer and gives back what of the step was not needed. The caller holds mu.
func (b *readAhead) store(data []byte) {
	b.size += len(data)
	for len(data) > 0 {
		if last := len(b.parts) - 1; last >= 0 && len(b.parts[last]) < cap(b.parts[last]) {
			n := min(len(data), cap(b.parts[last])-len(b.parts[last]))
			b.parts[last], data = append(b.parts[last], data[:n]...), data[n:]
			continue
		}
		b.parts = append(b.parts, make([]byte, 0, readAheadStep))
	}
	b.settle()
}

// settle makes the account hold what the buffer and the next read take.
func (b *readAhead) settle() {
	if excess := b.held.Bytes() - int64(len(b.parts)+1)*readAheadStep; excess > 0 {
		b.list.memory.Shrink(b.held, excess)
	} else if excess < 0 {
		b.list.memory.Force(b.held, -excess)
	}
}

// Read implements io.Reader.
func (b *readAhead) Read(p []byte) (int, error) {
	b.mu.Lock()
	if !b.pumping {
		b.mu.Unlock()
		return b.src.Read(p)
	}
	defer b.mu.Unlock()
	for b.size == 0 && b.err == nil {
		b.changed.Wait()
	}
	if b.size == 0 {
		return 0, b.err
	}
	n := copy(p, b.parts[0])
	b.size -= n
	if n == len(b.parts[0]) {
		b.parts = b.parts[1:]
	} else {
		b.parts[0] = b.parts[0][n:]
	}
	b.settle()
	b.changed.Broadcast()
	return n, nil
}

// Close ends the answer. A read of src that is in progress ends with the attempt's context.
func (b *readAhead) Close() error {
	if b.listed {
		b.list.mu.Lock()
		delete(b.list.open, b)
		b.list.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.closed = true
	if b.pumping {
		b.changed.Broadcast()
		return nil
	}
	return b.src.Close()
}

// callerWriter writes an answer to its caller and marks the time that this takes.
type callerWriter struct {
	w     io.Writer
	flush *http.ResponseController // nil: no flush
	ahead *readAhead
}

func (c callerWriter) Write(p []byte) (int, error) {
	b := c.ahead
	if !b.listed {
		b.listed = true
		b.list.mu.Lock()
		b.list.open[b] = struct{}{}
		b.list.mu.Unlock()
	}
	b.writes.Add(1)
	defer b.writes.Add(1)
	n, err := c.w.Write(p)
	if err == nil && c.flush != nil {
		err = c.flush.Flush()
	}
	return n, err
}
