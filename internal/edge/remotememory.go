package edge

import (
	"sync"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

const (
	// inlineBody is the size in bytes up to which an attempt's copies of its body are part of requestBytes.
	inlineBody = 16 << 10
	// sendCopies is the number of copies of a body while it is sent to another instance: one joined, one encoded.
	sendCopies = 2
	// forwardedBytes is what an attempt for another instance costs beside its body.
	forwardedBytes = requestBytes + maxAnswerPart
)

// size returns the size of the attempt's body in bytes.
func (a *attempt) size() int {
	n := 0
	for _, part := range a.body {
		n += len(part)
	}
	return n
}

// reserveSend holds the copies of a body that is sent to another instance, until release is called.
func (e *Edge) reserveSend(a *attempt) (release func(), f *failure) {
	size := a.size()
	if size <= inlineBody {
		return func() {}, nil
	}
	h := e.memory.Open(0, membudget.Forwarded, membudget.Client{}, nil)
	release = sync.OnceFunc(func() { e.memory.Close(h) })
	if !e.memory.Grow(h, int64(size*sendCopies)) {
		release()
		e.memory.Record("attempts_rejected_for_memory", "attempt through another instance was not made for memory", zap.String("request", a.id))
		return nil, &failure{kind: notPlaced, reason: "no memory to send the request to another region", retryAfter: memoryRetryAfter}
	}
	return release, nil
}

// reserveForwarded holds an attempt for another instance until release is called.
func (e *Edge) reserveForwarded(a *attempt) (release func(), err error) {
	h := e.memory.Open(0, membudget.Forwarded, membudget.Client{}, nil)
	release = func() { e.memory.Close(h) }
	if e.memory.TryGrow(h, int64(forwardedBytes+a.size())) {
		return release, nil
	}
	release()
	e.memory.Record("attempts_rejected_for_memory", "attempt for another instance was rejected for memory", zap.String("request", a.id))
	return nil, peer.NewError(peer.CodeOverloaded, "no memory for the request; it has not run")
}

// ReserveMessage holds a message of n bytes of another instance until release is called. It returns false if there is no room. Messages by
// which instances exchange their state are few and always have room.
func (m *Memory) ReserveMessage(service string, n int) (release func(), ok bool) {
	h := m.Open(0, membudget.Messages, membudget.Client{}, nil)
	if service != serviceAttempt {
		m.Force(h, int64(n))
	} else if !m.TryGrow(h, int64(n)) {
		m.Close(h)
		m.Record("messages_rejected_for_memory", "message of another instance was rejected for memory", zap.String("service", service), zap.Int("bytes", n))
		return nil, false
	}
	return func() { m.Close(h) }, true
}
