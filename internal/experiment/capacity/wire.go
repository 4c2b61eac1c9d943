package capacity

import (
	"context"
	"net"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	echoService  = "capacity.echo"
	probeService = "capacity.probe"
	wireCalls    = 300
)

// measureWire measures calls between instances: real sessions with TLS over loopback.
func measureWire(ctx context.Context, _ Options, s *Section) error {
	authority, err := certs.NewAuthority("capacity", time.Hour)
	if err != nil {
		return err
	}
	var counts counter
	a, err := newNode(authority, "a", &counts)
	if err != nil {
		return err
	}
	defer a.close(ctx)
	b, err := newNode(authority, "b", &counter{})
	if err != nil {
		return err
	}
	defer b.close(ctx)
	a.SetPeers(map[string]string{"b": b.addr})
	b.SetPeers(map[string]string{"a": a.addr})
	if _, err := callCost(ctx, a, &counts, echoService, wrapperspb.Bytes(nil), &wrapperspb.BytesValue{}); err != nil {
		return err
	}
	var bytes, nanos []Point
	for _, size := range []int{0, 256, 4096, 32768} {
		c, err := callCost(ctx, a, &counts, echoService, wrapperspb.Bytes(make([]byte, size)), &wrapperspb.BytesValue{})
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(size), c.wire})
		nanos = append(nanos, Point{float64(size), c.nanos})
	}
	if err := errors.Join(
		s.add("call with an empty answer, both directions", "bytes", "byte of the request", bytes...),
		s.add("call with an empty answer, processor time of both ends", "ns", "byte of the request", nanos...),
	); err != nil {
		return err
	}
	hb, err := callCost(ctx, a, &counts, probeService, heartbeat(), &wire.Heartbeat{})
	if err != nil {
		return err
	}
	s.fact("heartbeat and its answer on the wire", hb.wire, "bytes")
	s.fact("heartbeat and its answer, processor time of both ends", hb.nanos, "ns")
	return measureSessions(ctx, authority, s)
}

type node struct {
	*peer.Transport
	addr string
}

func newNode(authority *certs.Authority, name string, counts *counter) (*node, error) {
	now := time.Now()
	pem, err := authority.Issue(certs.Subject{Instance: name, NotBefore: now.Add(-time.Minute), NotAfter: now.Add(time.Hour)})
	if err != nil {
		return nil, err
	}
	credentials, err := peer.NewCredentials(pem)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	t, err := peer.New(peer.Options{
		Self: peer.Identity{Instance: name, Region: regionName(0), DataCentre: dataCentreName(0, 0), Incarnation: 1}, Credentials: credentials, Listener: l,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return counts.dial(ctx, "tcp", addr) },
	})
	if err != nil {
		return nil, err
	}
	t.Handle(echoService, peer.Unary(func(context.Context, peer.Identity, *wrapperspb.BytesValue) (proto.Message, error) {
		return &wrapperspb.BytesValue{}, nil
	}))
	t.Handle(probeService, peer.Unary(func(_ context.Context, _ peer.Identity, hb *wire.Heartbeat) (proto.Message, error) { return hb, nil }))
	t.Start()
	return &node{Transport: t, addr: l.Addr().String()}, nil
}

func (n *node) close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	_ = n.Close(ctx)
}

type wireCost struct{ wire, nanos float64 }

// callCost averages calls one after the other.
func callCost(ctx context.Context, from *node, counts *counter, service string, req, resp proto.Message) (wireCost, error) {
	before, cpu := counts.total(), cpuTime()
	for range wireCalls {
		if err := from.Call(ctx, "b", service, req, resp); err != nil {
			return wireCost{}, err
		}
	}
	if err := clock.Sleep(ctx, 20*time.Millisecond); err != nil { // the last bytes of the closing stream
		return wireCost{}, err
	}
	return wireCost{(counts.total() - before) / wireCalls, float64((cpuTime() - cpu).Nanoseconds()) / wireCalls}, nil
}

// measureSessions opens sessions from one instance to more and more others.
func measureSessions(ctx context.Context, authority *certs.Authority, s *Section) error {
	at := []int{4, 8, 16, 32}
	var counts counter
	hub, err := newNode(authority, "hub", &counts)
	if err != nil {
		return err
	}
	defer hub.close(ctx)
	addrs := map[string]string{}
	var nodes []*node
	var memory, handshake, cpu []float64
	base := memoryInUse()
	for _, n := range at {
		before, start, opened := counts.total(), cpuTime(), 0
		for len(nodes) < n {
			name := rowsOf(2 * plannedDaemons)[len(nodes)].Name
			other, err := newNode(authority, name, &counter{})
			if err != nil {
				return err
			}
			defer other.close(ctx)
			nodes = append(nodes, other)
			addrs[name] = other.addr
			hub.SetPeers(addrs)
			if err := hub.Call(ctx, name, echoService, wrapperspb.Bytes(nil), &wrapperspb.BytesValue{}); err != nil {
				return err
			}
			opened++
		}
		memory = append(memory, memoryInUse()-base)
		handshake = append(handshake, (counts.total()-before)/float64(opened))
		cpu = append(cpu, float64((cpuTime()-start).Nanoseconds())/float64(opened))
	}
	return errors.Join(
		s.add("memory of sessions, both ends with a transport", "bytes", "session", points(at, memory)...),
		s.add("bytes of a new session", "bytes", "session", points(at, handshake)...),
		s.add("processor time of a new session, both ends with a transport", "ns", "session", points(at, cpu)...),
	)
}

// memoryInUse is the memory of heap and stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
