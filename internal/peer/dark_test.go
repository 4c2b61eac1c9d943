package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

// slowClose is how long the close of a darkConn takes. The close of a real connection waits until its readers and writers have run once
// more, which takes as long on a busy machine.
const slowClose = 500 * time.Millisecond

// darkConn is a connection to a machine that may lose power: from then on nothing arrives, and writes wait for room in buffers that
// nobody empties.
type darkConn struct {
	net.Conn
	dark   *atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *darkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.dark.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *darkConn) Write(b []byte) (int, error) {
	if c.dark.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *darkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		time.Sleep(slowClose)
	})
	return c.Conn.Close()
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against streams of an ended session that take all processor time until its connection is closed: reads there neither wait nor
// return. With a hundred of them a process stood still for four seconds (seed 1050369150588 of
// deploy/days/zones-and-acknowledged-kills.toml), served nothing, and went on with requests whose callers had left.
func TestStreamsOfAnEndedSessionRest(t *testing.T) {
	var dark atomic.Bool
	authority := peertest.NewAuthority(t)
	b := startNode(t, authority, "b", nil)
	a := startNode(t, authority, "a", func(o *peer.Options) {
		shortTimeouts(o)
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return &darkConn{Conn: raw, dark: &dark, closed: make(chan struct{})}, nil
		}
	})
	a.SetPeers(map[string]string{"b": b.addr})
	var ended sync.WaitGroup
	for range 8 {
		s, err := a.Open(within(t, 20*time.Second), "b", "hold")
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
			t.Fatal(err)
		}
		ended.Go(func() {
			if err := s.Recv(&wrapperspb.StringValue{}); err == nil {
				t.Error("a stream to a dark instance got a message")
			}
		})
	}
	used, start := processorTime(t), time.Now()
	dark.Store(true)
	ended.Wait()
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("streams broke %v after the instance went dark", took)
	}
	time.Sleep(slowClose)
	if spent := processorTime(t) - used; spent > slowClose/2 {
		t.Errorf("%v of processor time went by while the session ended", spent)
	}
}
