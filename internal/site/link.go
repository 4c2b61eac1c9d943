package site

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// Place is where one end of a connection is.
type Place struct {
	Region     string
	DataCentre string
}

// Latency holds one-way latencies.
type Latency struct {
	DataCentres time.Duration // between data centres of a region
	Regions     time.Duration
	Clients     time.Duration // between a caller and any instance of its region
}

// clientDataCentre marks a place of callers.
const clientDataCentre = "clients"

// Links delays and cuts connections between places of one process. Only dialled connections go through it.
type Links struct {
	latency Latency

	mu     sync.Mutex
	places map[string]Place // by ip:port
	cut    map[[2]string]bool
	healed *sync.Cond
}

// NewLinks returns links without cuts.
func NewLinks(l Latency) *Links {
	n := &Links{latency: l, places: make(map[string]Place), cut: make(map[[2]string]bool)}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// SetPlace says where an address is. Unknown addresses are next to everyone.
func (n *Links) SetPlace(addr string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = p
}

// Cut holds back all bytes from one region to another until Heal, like a network that drops packets.
func (n *Links) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = true
}

// Isolate cuts a region from all others in both directions.
func (n *Links) Isolate(region string) { n.Cut(region, anyRegion); n.Cut(anyRegion, region) }

// Heal ends all cuts.
func (n *Links) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.healed.Broadcast()
}

// anyRegion stands for all other regions in a cut.
const anyRegion = "*"

func (n *Links) isCut(from, to Place) bool {
	if from.Region == to.Region {
		return false
	}
	return n.cut[[2]string{from.Region, to.Region}] || n.cut[[2]string{from.Region, anyRegion}] || n.cut[[2]string{anyRegion, to.Region}]
}

// pass waits until a byte may go from one place to another, or the connection has ended.
func (n *Links) pass(from, to Place, ended <-chan struct{}) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.isCut(from, to) {
		select {
		case <-ended:
			return false
		default:
		}
		n.healed.Wait()
	}
	return true
}

func (n *Links) delay(a, b Place) time.Duration {
	switch {
	case a.Region == "" || b.Region == "":
		return 0
	case a.Region != b.Region:
		return n.latency.Regions
	case a.DataCentre == clientDataCentre || b.DataCentre == clientDataCentre:
		return n.latency.Clients
	case a.DataCentre != b.DataCentre:
		return n.latency.DataCentres
	default:
		return 0
	}
}

// Dialer returns a dialler for a process at a place.
func (n *Links) Dialer(from Place) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[addr]
		cut := n.isCut(from, to) || n.isCut(to, from)
		n.mu.Unlock()
		if cut {
			// A connection attempt into a cut gets no answer.
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		delay := n.delay(from, to)
		if err := clock.Sleep(ctx, 2*delay); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || from.Region == "" || to.Region == "" {
			return conn, err
		}
		return n.relay(conn, from, to, delay), nil
	}
}

// relayedConn is the near end of a relayed connection, with the addresses of the far one.
type relayedConn struct {
	net.Conn
	far net.Conn
}

func (c relayedConn) LocalAddr() net.Addr  { return c.far.LocalAddr() }
func (c relayedConn) RemoteAddr() net.Addr { return c.far.RemoteAddr() }

func (n *Links) relay(far net.Conn, from, to Place, delay time.Duration) net.Conn {
	near, inner := net.Pipe()
	ended := make(chan struct{})
	var once sync.Once
	end := func() {
		once.Do(func() {
			close(ended)
			far.Close()
			inner.Close()
			// A pass that waits for the end of a cut must see that the connection has ended.
			n.mu.Lock()
			n.healed.Broadcast()
			n.mu.Unlock()
		})
	}
	go n.carry(inner, far, from, to, delay, ended, end)
	go n.carry(far, inner, to, from, delay, ended, end)
	return relayedConn{near, far}
}

// packet is a piece of a stream and when it arrives.
type packet struct {
	data []byte
	due  time.Time
}

// Sizes of a relay: what is in flight at once in one direction is bounded, like a TCP window.
const (
	packetBytes  = 32 << 10
	packetWindow = 256
)

func (n *Links) carry(src, dst net.Conn, from, to Place, delay time.Duration, ended <-chan struct{}, end func()) {
	flight := make(chan packet, packetWindow)
	go func() {
		defer end()
		for p := range flight {
			time.Sleep(time.Until(p.due))
			if !n.pass(from, to, ended) {
				return
			}
			if _, err := dst.Write(p.data); err != nil {
				return
			}
		}
	}()
	defer close(flight)
	for {
		buf := make([]byte, packetBytes)
		k, err := src.Read(buf)
		if k > 0 {
			select {
			case flight <- packet{data: buf[:k], due: time.Now().Add(delay)}:
			case <-ended:
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				end()
			}
			return
		}
	}
}
