package edge

import (
	"cmp"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/core/membudget"
)

const (
	// bodyStep is the size of the buffers in which a body is read. It is counted and held in steps of this size, so that nothing is copied
	// when it grows.
	bodyStep = 64 << 10
	// firstStep is the size of the first buffer of a body whose size is not announced.
	firstStep = 4 << 10
	// usualHeaders is the size in bytes up to which headers are part of requestBytes.
	usualHeaders = 4 << 10
	// defaultBodyRate is the rate in bytes per second below which an arriving body counts as stalled. A caller behind 10 Mbit/s sends
	// 1,250,000 bytes per second.
	defaultBodyRate = 32 << 10
	// defaultBodyTimeout is how long one second's worth of a body may take to arrive.
	defaultBodyTimeout = 10 * time.Second
	// memoryRetryAfter is the Retry-After of a request for which there is no memory. Stalled bodies make room after membudget.StallAfter.
	memoryRetryAfter = time.Second
	// drainTimeout bounds the wait for the rest of a body after its rejection.
	drainTimeout = readRestTimeout
)

const (
	noMemoryReason  = "no memory for the request's body; the request has not run"
	tooLargeReason  = "body is too large"
	tooSlowReason   = "body arrives too slowly; the request has not run"
	unreadableError = "caller's body could not be read: "
)

// openMemory opens the request's entry in the memory account. It answers and returns false if there is no room.
func (x *exchange) openMemory() bool {
	m := x.edge.memory
	client := membudget.Client{Addr: clientAddr(x.r.RemoteAddr)}
	if x.org != nil {
		client.Key = x.org.Name
	}
	control := http.NewResponseController(x.w)
	x.held = m.Open(x.arrived, membudget.Arriving, client, func() {
		// The read of the body fails, and the request is rejected by its own goroutine. A connection that has ended needs no deadline.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	if m.Grow(x.held, requestBytes+x.headerBytes()) {
		return true
	}
	return x.rejectBody(http.StatusServiceUnavailable, noMemoryReason, "requests_rejected_for_memory", memoryRetryAfter)
}

// headerBytes returns what headers of more than usual size take: they are held as received and as sent to the endpoint.
func (x *exchange) headerBytes() int64 {
	n := 0
	for name, values := range x.r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	if n <= usualHeaders {
		return 0
	}
	return int64(2 * n)
}

// closeMemory gives back what the request holds.
func (x *exchange) closeMemory() {
	if x.held != nil {
		x.edge.memory.Close(x.held)
		x.held = nil
	}
}

// readBody reads the caller's body in buffers that are counted in the memory account. It answers and returns false if that fails.
func (x *exchange) readBody() ([][]byte, bool) {
	maxBytes := cmp.Or(max(x.conf.Limits.BodyBytes, 0), defaultMaxBodyBytes)
	if x.r.ContentLength > maxBytes {
		return nil, x.rejectBody(http.StatusRequestEntityTooLarge, tooLargeReason, "bodies_rejected_for_size", 0)
	}
	if !x.openMemory() {
		return nil, false
	}
	parts, err := x.readParts(maxBytes)
	switch {
	case x.edge.memory.closing(x.held):
		return nil, x.rejectBody(http.StatusServiceUnavailable, noMemoryReason, "bodies_closed_for_memory", memoryRetryAfter)
	case errors.Is(err, errNoMemory):
		return nil, x.rejectBody(http.StatusServiceUnavailable, noMemoryReason, "requests_rejected_for_memory", memoryRetryAfter)
	case errors.Is(err, errBodyTooLarge):
		return nil, x.rejectBody(http.StatusRequestEntityTooLarge, tooLargeReason, "bodies_rejected_for_size", 0)
	case isTimeout(err):
		return nil, x.rejectBody(http.StatusRequestTimeout, tooSlowReason, "bodies_closed_for_stalling", 0)
	case err != nil:
		x.outcome.reason = unreadableError + err.Error()
		return nil, x.rejectBody(http.StatusBadRequest, "body could not be read", "", 0)
	case !x.edge.memory.arrived(x.held):
		return nil, x.rejectBody(http.StatusServiceUnavailable, noMemoryReason, "bodies_closed_for_memory", memoryRetryAfter)
	}
	return parts, true
}

var (
	errNoMemory     = errors.New("no memory for the body")
	errBodyTooLarge = errors.New("body is over the limit")
)

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readParts reads the body up to its end, up to maxBytes, or until it makes no progress.
func (x *exchange) readParts(maxBytes int64) (whole [][]byte, err error) {
	if x.r.ContentLength == 0 || x.r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(x.w)
	bounds := x.edge.options.Bounds
	portion := int64(cmp.Or(bounds.BodyRate, defaultBodyRate))
	timeout := cmp.Or(bounds.BodyTimeout, defaultBodyTimeout)
	now := time.Now()
	end := now.Add(x.deadline.Sub(x.arrived)) // later, the request could not be served any more
	setDeadline := func(now time.Time) {
		t := now.Add(timeout)
		if end.Before(t) {
			t = end
		}
		_ = control.SetReadDeadline(t) // an error means that the connection has ended, which the read shows
	}
	setDeadline(now)
	var parts [][]byte
	defer func() {
		if err != nil {
			recycleBodyParts(parts)
		}
	}()
	var total, marked int64
	for {
		step := x.nextStep(total, maxBytes)
		if len(parts) > 0 { // the first small buffer is part of requestBytes
			step = bodyStep
		}
		if !x.edge.memory.Grow(x.held, int64(step)) {
			return nil, errNoMemory
		}
		part := newBodyPart(step)
		filled := 0
		for filled < len(part) {
			n, err := x.r.Body.Read(part[filled:])
			filled, total = filled+n, total+int64(n)
			if total > maxBytes {
				parts = append(parts, part)
				return nil, errBodyTooLarge
			}
			if err == io.EOF {
				_ = control.SetReadDeadline(time.Time{}) // fails only if the connection has ended
				return append(parts, part[:filled]), nil
			}
			if err != nil {
				parts = append(parts, part)
				return nil, err
			}
			if total-marked >= portion {
				marked = total
				x.held.Progressed(x.edge.clock.Now())
				setDeadline(time.Now())
			}
		}
		parts = append(parts, part)
	}
}

// bodyBuffers holds buffers of bodyStep bytes of bodies that did not arrive whole. Those of others may still be written to an endpoint's
// connection after their request has ended.
var bodyBuffers sync.Pool

func newBodyPart(size int) []byte {
	if size == bodyStep {
		if buffer, ok := bodyBuffers.Get().(*[bodyStep]byte); ok {
			return buffer[:]
		}
	}
	return make([]byte, size)
}

func recycleBodyParts(parts [][]byte) {
	for _, part := range parts {
		if len(part) == bodyStep {
			bodyBuffers.Put((*[bodyStep]byte)(part))
		}
	}
}

// nextStep returns the size of the first buffer of a body: the announced size, if it is small, and one byte for its end.
func (x *exchange) nextStep(total, maxBytes int64) int {
	if x.r.ContentLength > 0 {
		return int(min(x.r.ContentLength-total, bodyStep-1)) + 1
	}
	return int(min(firstStep-1, maxBytes)) + 1
}

// rejectBody rejects a request whose body has not arrived whole, and ends its connection, whose further bytes belong to no request. It
// always returns false.
func (x *exchange) rejectBody(status int, reason, metric string, retryAfter time.Duration) bool {
	if metric != "" {
		x.edge.memory.Record(metric, "request rejected before its body had arrived", zap.String("request", x.head.ID), zap.Int("status", status),
			zap.String("reason", reason), zap.String("caller", clientAddr(x.r.RemoteAddr)))
	}
	x.closeMemory()
	x.w.Header().Set("Connection", "close")
	// net/http reads some of the rest after the answer, which a caller that has stalled does not send.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(drainTimeout)) // fails only if the connection has ended
	return x.reject(status, reason, retryAfter)
}
