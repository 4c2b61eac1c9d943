package dispatch

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/saturate"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Instances of a region publish their load at the endpoints to each other. A load report is up to three quarters of a second old, while
// the prefill of a long prompt takes a quarter of a second. With load reports alone, two instances would keep sending short requests to
// endpoints that have just received a long prompt from the other, and both would see free slots that are already taken.
const (
	loadService = "dispatch.work"
	// publishPeriod, multiplied by the number of peers, is the time between two messages to a peer. That makes at most 25 messages a second
	// of about 100 bytes sent and as many received, 5 KB/s for any number of peers.
	publishPeriod = 40 * time.Millisecond
	// maxSharingPeers is the number of peers up to which load is published. With more, the messages would be older than the load reports,
	// and the region has more endpoints to choose from.
	maxSharingPeers = 6
	// fullLoadPeriod is the time between two messages with all endpoints, which also show that an idle instance is running.
	fullLoadPeriod = 500 * time.Millisecond
	// maxPeerLoadAge is the age up to which a peer's last message is used.
	maxPeerLoadAge = 1500 * time.Millisecond
	// sendTimeout limits the opening of a stream and, beyond maxStreamAge, a message. No other message is sent to the peer meanwhile.
	sendTimeout = time.Second
	// maxStreamAge is the age up to which a stream is used for messages. The overhead of a message is 39 bytes on a stream and 250 bytes
	// as a call of its own. A session waits for its streams before it ends, and a planned stop must not wait long.
	maxStreamAge = 5 * time.Second
)

// peerLoadSharing is the state of the exchange of load with the other instances of the region. It is guarded by Dispatcher.mu.
type peerLoadSharing struct {
	peers      []string
	received   map[string]*receivedLoad
	sequence   uint64
	lastFullAt clock.Instant
	sending    map[string]bool // peers to which a message is being sent
	needsFull  map[string]bool // peers whose last message failed or was skipped
	streams    map[string]*loadStream
}

// loadStream is a stream for the messages to a peer.
type loadStream struct {
	peer.Stream
	opened clock.Instant
	cancel context.CancelFunc
}

// receivedLoad is the load of a peer, as received from it.
type receivedLoad struct {
	incarnation uint64
	sequence    uint64
	receivedAt  clock.Instant
	loads       map[string]ownLoad
}

func newPeerLoadSharing() peerLoadSharing {
	return peerLoadSharing{received: map[string]*receivedLoad{}, sending: map[string]bool{}, needsFull: map[string]bool{}, streams: map[string]*loadStream{}}
}

// publishLoop publishes the own load to the peers until the dispatcher stops.
func (d *Dispatcher) publishLoop() {
	timer := time.NewTimer(publishPeriod)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		}
		peers := d.opts.Peers()
		d.publishLoad(peers)
		timer.Reset(publishPeriod * time.Duration(max(len(peers), 1)))
	}
}

// publishLoad sends the load that has changed to all peers except those to which a message is still being sent. A peer that missed a
// message gets the whole load instead.
func (d *Dispatcher) publishLoad(peers []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads.peers = peers
	maps.DeleteFunc(d.peerLoads.needsFull, func(name string, _ bool) bool { return !slices.Contains(peers, name) })
	if len(peers) == 0 || len(peers) > maxSharingPeers {
		return
	}
	now := d.opts.Clock.Now()
	full := now.Sub(d.peerLoads.lastFullAt) >= fullLoadPeriod
	change := d.changedLoad()
	if full {
		d.peerLoads.lastFullAt = now
		change = d.fullLoad()
	} else if len(change.Endpoints) == 0 && len(d.peerLoads.needsFull) == 0 {
		return
	}
	d.peerLoads.sequence++
	change.Sequence = d.peerLoads.sequence
	for _, name := range peers {
		if d.peerLoads.sending[name] {
			d.peerLoads.needsFull[name] = true
			continue
		}
		m := change
		if d.peerLoads.needsFull[name] && !full {
			m = d.fullLoad()
			m.Sequence = change.Sequence
		}
		delete(d.peerLoads.needsFull, name)
		d.peerLoads.sending[name] = true
		d.runInBackground(func() { d.sendLoad(name, m) })
	}
}

// changedLoad returns the load at the endpoints where it has changed since the last message, and marks it as published. The caller holds
// d.mu.
func (d *Dispatcher) changedLoad() *wire.SentWork {
	m := &wire.SentWork{}
	for _, e := range d.endpoints {
		if e.state.unpublished {
			m.Endpoints = append(m.Endpoints, e.wireLoad())
		}
		e.state.unpublished = false
	}
	return m
}

// fullLoad returns the load at all endpoints with requests in progress. The caller holds d.mu.
func (d *Dispatcher) fullLoad() *wire.SentWork {
	m := &wire.SentWork{Full: true}
	for _, e := range d.endpoints {
		if e.state.inFlight > 0 {
			m.Endpoints = append(m.Endpoints, e.wireLoad())
		}
	}
	return m
}

func (e *endpoint) wireLoad() *wire.EndpointWork {
	return &wire.EndpointWork{Name: e.config.Name, Requests: uint32(e.state.inFlight), PendingTokens: saturate.Uint32(e.state.prefill)}
}

func (d *Dispatcher) sendLoad(name string, m *wire.SentWork) {
	s, err := d.loadStreamTo(name)
	if err == nil {
		if err = s.Send(m); err != nil {
			s.cancel()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peerLoads.sending, name)
	if err != nil {
		d.peerLoads.needsFull[name] = true // the next message to this peer is a full one
	}
}

// loadStreamTo returns the stream to a peer, and opens one if there is none or it is too old. The caller has set sending[name].
func (d *Dispatcher) loadStreamTo(name string) (*loadStream, error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	s := d.peerLoads.streams[name]
	d.mu.Unlock()
	if s != nil && now.Sub(s.opened) < maxStreamAge {
		return s, nil
	}
	if s != nil {
		d.forgetStream(name, s)
		// The peer ends the stream when it has read all messages; an error means that the stream has already ended.
		_ = s.CloseSend()
	}
	ctx, cancel := context.WithTimeout(d.ctx, maxStreamAge+sendTimeout)
	opening := time.AfterFunc(sendTimeout, cancel)
	stream, err := d.opts.Network.Open(ctx, name, loadService)
	if err != nil || !opening.Stop() {
		cancel()
		if err == nil {
			err = errors.CombineErrors(context.DeadlineExceeded, stream.Close())
		}
		return nil, err
	}
	s = &loadStream{Stream: stream, opened: now, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads.streams[name] = s
	d.runInBackground(func() { d.awaitEnd(name, s) })
	return s, nil
}

// awaitEnd closes a stream when the peer has ended it, its session has failed or its context has expired.
func (d *Dispatcher) awaitEnd(name string, s *loadStream) {
	// The peer sends no messages, so any result means the end of the stream.
	_ = s.Recv(&wire.SentWorkSeen{})
	d.forgetStream(name, s)
	s.cancel()
	_ = s.Close()
}

func (d *Dispatcher) forgetStream(name string, s *loadStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peerLoads.streams[name] == s {
		delete(d.peerLoads.streams, name)
	}
}

// receiveLoad receives the messages of a peer's stream until it ends or the dispatcher stops.
func (d *Dispatcher) receiveLoad(_ context.Context, from peer.Identity, s peer.Stream) error {
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
		d.handleLoad(from, m)
	}
}

// handleLoad updates the received load of a peer from its message. Messages from another region or out of order are ignored.
func (d *Dispatcher) handleLoad(from peer.Identity, m *wire.SentWork) {
	if from.Region != d.opts.Region {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.peerLoads.received[from.Instance]
	if n == nil || n.incarnation != from.Incarnation {
		n = &receivedLoad{incarnation: from.Incarnation, loads: map[string]ownLoad{}}
		d.peerLoads.received[from.Instance] = n
	}
	if m.GetSequence() <= n.sequence {
		return
	}
	n.sequence, n.receivedAt = m.GetSequence(), d.opts.Clock.Now()
	if m.GetFull() {
		clear(n.loads)
	}
	for _, w := range m.GetEndpoints() {
		n.loads[w.GetName()] = ownLoad{requests: int(w.GetRequests()), prefill: float64(w.GetPendingTokens())}
	}
	d.grantSlotsInAllPools()
}

// peerLoadAt returns the load of the other instances at an endpoint: as published by them, or, if one of them is unresponsive, as derived
// from the endpoint's load report. The caller holds d.mu.
func (d *Dispatcher) peerLoadAt(e *endpoint, now clock.Instant) ownLoad {
	if load, ok := d.publishedPeerLoad(e.config.Name, now); ok {
		return load
	}
	return e.state.reportedPeerLoad(now)
}

// publishedPeerLoad returns the sum of the peers' published loads at an endpoint. It returns false if there are no peers, too many, or one
// whose last message is too old. The caller holds d.mu.
func (d *Dispatcher) publishedPeerLoad(endpoint string, now clock.Instant) (ownLoad, bool) {
	if len(d.peerLoads.peers) == 0 || len(d.peerLoads.peers) > maxSharingPeers {
		return ownLoad{}, false
	}
	var sum ownLoad
	for _, name := range d.peerLoads.peers {
		n := d.peerLoads.received[name]
		if n == nil || now.Sub(n.receivedAt) > maxPeerLoadAge {
			return ownLoad{}, false
		}
		sum.requests += n.loads[endpoint].requests
		sum.prefill += n.loads[endpoint].prefill
	}
	return sum, true
}
