package edge

import (
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
)

const (
	// DefaultMemoryBytes is the size of the account if the memory of the process is not known.
	DefaultMemoryBytes = 128 << 20
	// ConnectionBytes is what an open connection of a caller costs: a goroutine with its stack, and read and write buffers of 4 KiB each.
	ConnectionBytes = 20 << 10
	// requestBytes is what a request costs beside its body: headers, timers, and a connection to an endpoint.
	requestBytes = 16 << 10
	// roomTimeout bounds the wait for the memory of holders that were closed. They release it within milliseconds.
	roomTimeout = time.Second
	// memoryLogInterval is the shortest interval between log lines of one event.
	memoryLogInterval = time.Second
)

// Memory is the account of what the process holds on behalf of others. It is safe for concurrent use.
type Memory struct {
	clock clock.Clock
	log   *zap.Logger
	scope tally.Scope

	mu      sync.Mutex
	account *membudget.Account
	room    chan struct{} // closed when memory is released; nil if nobody waits for it
	lines   map[string]*eventLine
}

// eventLine bounds the log lines of one event.
type eventLine struct {
	counter tally.Counter
	last    clock.Instant
	count   int64 // since the last line
}

// NewMemory returns an account of limit bytes.
func NewMemory(limit int64, c clock.Clock, log *zap.Logger, scope tally.Scope) *Memory {
	return &Memory{clock: c, log: log, scope: scope, account: membudget.New(limit), lines: make(map[string]*eventLine)}
}

// Open adds a holder that holds nothing yet. abort, if not nil, is called at most once with the account locked, to end a holder that was
// chosen to make room; it must not block.
func (m *Memory) Open(now clock.Instant, kind membudget.Kind, client membudget.Client, abort func()) *membudget.Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.account.Open(now, kind, client)
	if abort != nil {
		h.Owner = abort
	}
	return h
}

// Grow asks for n more bytes and waits a little for the memory of others that are closed for it. It returns false if there is no room.
func (m *Memory) Grow(h *membudget.Holder, n int64) bool { return m.grow(h, n, roomTimeout) }

// TryGrow asks for n more bytes without waiting. Holders that were closed for it may make room for a later demand.
func (m *Memory) TryGrow(h *membudget.Holder, n int64) bool { return m.grow(h, n, 0) }

func (m *Memory) grow(h *membudget.Holder, n int64, wait time.Duration) bool {
	if m.growIfFits(h, n) { // the usual case needs no clock
		return true
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		outcome, room := m.growOrAbort(h, n)
		if outcome != membudget.Wait {
			return outcome == membudget.Granted
		}
		if wait == 0 {
			return false
		}
		select {
		case <-room:
		case <-timeout.C:
			return false
		}
	}
}

func (m *Memory) growIfFits(h *membudget.Holder, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.account.Fits(h, n) {
		return false
	}
	m.account.Force(h, n)
	return true
}

// growOrAbort asks for n more bytes and aborts the holders that are chosen to make room. If that is to be waited for, room is closed when
// there is some.
func (m *Memory) growOrAbort(h *membudget.Holder, n int64) (outcome membudget.Outcome, room <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome, chosen := m.account.Grow(m.clock.Now(), h, n)
	for _, c := range chosen {
		if abort, ok := c.Owner.(func()); ok {
			abort()
		}
	}
	if outcome == membudget.Wait && m.room == nil {
		m.room = make(chan struct{})
	}
	return outcome, m.room
}

// Force adds n bytes that are held in any case.
func (m *Memory) Force(h *membudget.Holder, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Force(h, n)
}

// AddConnection counts a new connection of a caller. It returns false if one is to be closed.
func (m *Memory) AddConnection(h *membudget.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Force(h, ConnectionBytes)
	return !m.account.TooManyConnections()
}

// Used returns the bytes that are held.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Used()
}

// Shrink gives n bytes back.
func (m *Memory) Shrink(h *membudget.Holder, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Shrink(h, n)
	m.released()
}

// Close gives back all that the holder holds.
func (m *Memory) Close(h *membudget.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Close(h)
	m.released()
}

// released wakes those that wait for room. The caller holds mu.
func (m *Memory) released() {
	if m.room != nil {
		close(m.room)
		m.room = nil
	}
}

// arrived turns an arriving holder into a request, which is not closed any more. It returns false if the holder was chosen before.
func (m *Memory) arrived(h *membudget.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Arrived(h)
}

// closing reports whether a holder was chosen to make room.
func (m *Memory) closing(h *membudget.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return h.Closing()
}

// Record counts an event that follows from a limit of memory, descriptors or progress, and logs it at most once in memoryLogInterval with
// the number of events since.
func (m *Memory) Record(metric, message string, fields ...zap.Field) {
	now := m.clock.Now()
	m.mu.Lock()
	line := m.lines[metric]
	if line == nil {
		line = &eventLine{counter: m.scope.Counter(metric), last: now.Add(-memoryLogInterval)}
		m.lines[metric] = line
	}
	line.count++
	count, due := line.count, now.Sub(line.last) >= memoryLogInterval
	if due {
		line.count, line.last = 0, now
	}
	used, limit := m.account.Used(), m.account.Limit()
	m.mu.Unlock()
	line.counter.Inc(1)
	if due {
		m.log.Info(message, append(fields, zap.Int64("times", count), zap.Int64("held_bytes", used), zap.Int64("account_bytes", limit))...)
	}
}

// UpdateGauges updates the gauges of held bytes by kind and of callers' connections.
func (m *Memory) UpdateGauges() {
	for k, name := range membudget.Kinds {
		m.mu.Lock()
		held := m.account.Held(membudget.Kind(k))
		m.mu.Unlock()
		m.scope.Tagged(map[string]string{"kind": name}).Gauge("held_bytes").Update(float64(held))
		if membudget.Kind(k) == membudget.Connections {
			m.scope.Gauge("caller_connections").Update(float64(held / ConnectionBytes))
		}
	}
	m.scope.Gauge("held_bytes_limit").Update(float64(m.account.Limit()))
}

// clientAddr returns the address of a connection's other side without its port.
func clientAddr(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
