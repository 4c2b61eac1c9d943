package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Instances of a region tell each other what they have sent to the endpoints. A load report is up to three quarters of a
// second old, while a long prompt is worked through in a quarter: by reports alone, two instances keep sending short
// requests to endpoints that the other has just given a long prompt, and both see free places that are taken.
const (
	workService = "dispatch.work"
	// sharePeriod is the time between two messages to a neighbour, multiplied by their number. It makes at most 25 messages a
	// second of about 100 bytes out and as many in, 5 KB/s whatever the number of neighbours.
	sharePeriod = 40 * time.Millisecond
	// maxNeighbours is the number of neighbours up to which work is shared. Above it the messages would be older than the
	// reports, and the region has more endpoints to choose from.
	maxNeighbours = 6
	// fullPeriod is the time between two messages with all endpoints, which also show that an idle instance is there.
	fullPeriod = 500 * time.Millisecond
	// sharedFor is how long a neighbour's last message is believed.
	sharedFor = 1500 * time.Millisecond
	// shareTimeout bounds the opening of a stream and, beyond streamFor, a message. A neighbour gets no other one meanwhile.
	shareTimeout = time.Second
	// streamFor is how long a stream of messages is used. A message of a stream takes 39 bytes beyond its content, a call of
	// its own 250. A session that is to end waits for its streams, and a planned stop must not wait long.
	streamFor = 5 * time.Second
)

// sharing is what instances of the region have told each other. It is guarded by Dispatcher.mu.
type sharing struct {
	neighbours []string
	heard      map[string]*neighbourWork
	sequence   uint64
	fullAt     clock.Instant
	busy       map[string]bool // neighbours with a message on its way
	missed     map[string]bool // neighbours whose last message failed or was left out
	streams    map[string]*workStream
}

// workStream carries the messages to a neighbour.
type workStream struct {
	peer.Stream
	opened clock.Instant
	cancel context.CancelFunc
}

// neighbourWork is what a neighbour has at the endpoints.
type neighbourWork struct {
	incarnation uint64
	sequence    uint64
	at          clock.Instant
	work        map[string]ownWork
}

func newSharing() sharing {
	return sharing{heard: map[string]*neighbourWork{}, busy: map[string]bool{}, missed: map[string]bool{}, streams: map[string]*workStream{}}
}

// shareLoop tells the neighbours of changes until the dispatcher stops.
func (d *Dispatcher) shareLoop() {
	timer := time.NewTimer(sharePeriod)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		}
		neighbours := d.opts.Peers()
		d.share(neighbours)
		timer.Reset(sharePeriod * time.Duration(max(len(neighbours), 1)))
	}
}

// share sends what has changed to all neighbours that have answered the message before.
func (d *Dispatcher) share(neighbours []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shared.neighbours = neighbours
	if len(neighbours) == 0 || len(neighbours) > maxNeighbours {
		return
	}
	now := d.opts.Clock.Now()
	full := now.Sub(d.shared.fullAt) >= fullPeriod
	change := d.changedWork()
	if full {
		d.shared.fullAt = now
		change = d.allWork()
	} else if len(change.Endpoints) == 0 && len(d.shared.missed) == 0 {
		return
	}
	d.shared.sequence++
	change.Sequence = d.shared.sequence
	for _, name := range neighbours {
		if d.shared.busy[name] {
			d.shared.missed[name] = true
			continue
		}
		m := change
		if d.shared.missed[name] && !full {
			m = d.allWork()
			m.Sequence = change.Sequence
		}
		delete(d.shared.missed, name)
		d.shared.busy[name] = true
		d.spawn(func() { d.tell(name, m) })
	}
}

// changedWork lists the endpoints whose work has changed since the last message.
func (d *Dispatcher) changedWork() *wire.SentWork {
	m := &wire.SentWork{}
	for _, e := range d.endpoints {
		if e.load.changed {
			m.Endpoints = append(m.Endpoints, e.sentWork())
		}
		e.load.changed = false
	}
	return m
}

// allWork lists all endpoints that have work.
func (d *Dispatcher) allWork() *wire.SentWork {
	m := &wire.SentWork{Full: true}
	for _, e := range d.endpoints {
		if e.load.inFlight > 0 {
			m.Endpoints = append(m.Endpoints, e.sentWork())
		}
	}
	return m
}

func (e *endpoint) sentWork() *wire.EndpointWork {
	return &wire.EndpointWork{Name: e.config.Name, Requests: uint32(e.load.inFlight), PendingTokens: uint32(max(e.load.pending, 0))}
}

func (d *Dispatcher) tell(name string, m *wire.SentWork) {
	s, err := d.workStream(name)
	if err == nil {
		if err = s.Send(m); err != nil {
			s.cancel()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.shared.busy, name)
	if err != nil {
		d.shared.missed[name] = true // the reports take its place until it answers again
	}
}

// workStream returns the stream to a neighbour. Only the holder of busy[name] calls it.
func (d *Dispatcher) workStream(name string) (*workStream, error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	s := d.shared.streams[name]
	d.mu.Unlock()
	if s != nil && now.Sub(s.opened) < streamFor {
		return s, nil
	}
	if s != nil {
		d.forgetStream(name, s)
		// The neighbour ends the stream when it has read all; a failure means that it has ended already.
		_ = s.CloseSend()
	}
	ctx, cancel := context.WithTimeout(d.ctx, streamFor+shareTimeout)
	opening := time.AfterFunc(shareTimeout, cancel)
	stream, err := d.opts.Network.Open(ctx, name, workService)
	if err != nil || !opening.Stop() {
		cancel()
		if err == nil {
			err = errors.CombineErrors(context.DeadlineExceeded, stream.Close())
		}
		return nil, err
	}
	s = &workStream{Stream: stream, opened: now, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shared.streams[name] = s
	d.spawn(func() { d.awaitEnd(name, s) })
	return s, nil
}

// awaitEnd closes a stream when the neighbour has ended it, its session broke or its time is over.
func (d *Dispatcher) awaitEnd(name string, s *workStream) {
	// The neighbour sends no message, so that any result is the end.
	_ = s.Recv(&wire.SentWorkSeen{})
	d.forgetStream(name, s)
	s.cancel()
	_ = s.Close()
}

func (d *Dispatcher) forgetStream(name string, s *workStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shared.streams[name] == s {
		delete(d.shared.streams, name)
	}
}

// receiveWork takes the messages of a neighbour's stream until it ends or the dispatcher stops.
func (d *Dispatcher) receiveWork(_ context.Context, from peer.Identity, s peer.Stream) error {
	stop := context.AfterFunc(d.ctx, func() { _ = s.Close() })
	defer stop()
	for {
		m := &wire.SentWork{}
		if err := s.Recv(m); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		d.handleWork(from, m)
	}
}

// handleWork takes a neighbour's message over. Messages of another region or out of order are left out.
func (d *Dispatcher) handleWork(from peer.Identity, m *wire.SentWork) {
	if from.Region != d.opts.Region {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.shared.heard[from.Instance]
	if n == nil || n.incarnation != from.Incarnation {
		n = &neighbourWork{incarnation: from.Incarnation, work: map[string]ownWork{}}
		d.shared.heard[from.Instance] = n
	}
	if m.GetSequence() <= n.sequence {
		return
	}
	n.sequence, n.at = m.GetSequence(), d.opts.Clock.Now()
	if m.GetFull() {
		clear(n.work)
	}
	for _, w := range m.GetEndpoints() {
		n.work[w.GetName()] = ownWork{requests: int(w.GetRequests()), tokens: float64(w.GetPendingTokens())}
	}
	d.pumpAll()
}

// foreign returns the other instances' work at an endpoint: what they have told, or if one of them is silent what the
// endpoint has reported. The caller holds d.mu.
func (d *Dispatcher) foreign(e *endpoint, now clock.Instant) ownWork {
	if told, ok := d.told(e.config.Name, now); ok {
		return told
	}
	return ownWork{requests: e.load.foreignNow(now), tokens: e.load.foreignTokens}
}

func (d *Dispatcher) told(endpoint string, now clock.Instant) (ownWork, bool) {
	if len(d.shared.neighbours) == 0 || len(d.shared.neighbours) > maxNeighbours {
		return ownWork{}, false
	}
	var sum ownWork
	for _, name := range d.shared.neighbours {
		n := d.shared.heard[name]
		if n == nil || now.Sub(n.at) > sharedFor {
			return ownWork{}, false
		}
		sum.requests += n.work[endpoint].requests
		sum.tokens += n.work[endpoint].tokens
	}
	return sum, true
}
