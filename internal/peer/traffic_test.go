package peer_test

import (
	"context"
	"math"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// countingConn counts writes and bytes in both directions.
type countingConn struct {
	net.Conn
	counts *connCounts
}

type connCounts struct{ writes, sent, received atomic.Int64 }

func (c countingConn) Write(b []byte) (int, error) {
	c.counts.writes.Add(1)
	c.counts.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.received.Add(int64(n))
	return n, err
}

// Guards the figures that the estimate of control traffic uses: the bytes that a unary call adds to its messages.
func TestBytesPerCall(t *testing.T) {
	const (
		calls          = 200
		maxSentPerCall = 200 // bytes beyond the message, TLS included
		maxBackPerCall = 150
		maxWrites      = 2.2 // request and end of the stream, with a margin for pings
	)
	authority := peertest.NewAuthority(t)
	counts := &connCounts{}
	a := startNode(t, authority, "a", func(o *peer.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return countingConn{conn, counts}, err
		}
	})
	b := startNode(t, authority, "b", nil)
	link(a, b)
	ctx := within(t, 10*time.Second)
	if _, err := a.echo(ctx, "b", ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	writes, sent, received := counts.writes.Load(), counts.sent.Load(), counts.received.Load()
	var response int
	for range calls {
		resp := &wrapperspb.StringValue{}
		if err := a.Call(ctx, "b", "echo", wrapperspb.String(""), resp); err != nil {
			t.Fatal(err)
		}
		response += len(resp.Value) + 2
	}
	time.Sleep(50 * time.Millisecond)
	perWrite := float64(counts.writes.Load()-writes) / calls
	perSent := float64(counts.sent.Load()-sent) / calls
	perReceived := float64(counts.received.Load()-received-int64(response)) / calls
	t.Logf("per call without messages: %.2f writes, %.1f bytes sent, %.1f bytes received", perWrite, perSent, perReceived)
	if perSent > maxSentPerCall || perReceived > maxBackPerCall || perWrite > maxWrites {
		t.Error("a call costs more than the estimate of control traffic assumes")
	}
}

// Guards against control traffic that the meter misses or counts for another service.
func TestMeterCountsAllBytes(t *testing.T) {
	const calls, large = 200, 100 << 10
	authority := peertest.NewAuthority(t)
	counts := &connCounts{}
	meters := map[string]*traffic.Meter{"a": traffic.NewMeter(tally.NoopScope), "b": traffic.NewMeter(tally.NoopScope)}
	a := startNode(t, authority, "a", func(o *peer.Options) {
		o.Traffic = meters["a"]
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return countingConn{conn, counts}, err
		}
	})
	b := startNode(t, authority, "b", func(o *peer.Options) { o.Traffic = meters["b"] })
	link(a, b)
	ctx := within(t, 10*time.Second)
	for range calls {
		if _, err := a.echo(ctx, "b", ""); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.echo(ctx, "b", strings.Repeat("x", large)); err != nil {
		t.Fatal(err)
	}
	if err := a.Call(ctx, "b", "fail", wrapperspb.String(""), &wrapperspb.StringValue{}); err == nil {
		t.Fatal("the call of a failing service succeeded")
	}
	time.Sleep(50 * time.Millisecond)
	for name, m := range meters {
		sent, received := counts.sent.Load(), counts.received.Load()
		if name == "b" {
			sent, received = received, sent
		}
		var sum traffic.Bytes
		for _, k := range m.Control() {
			sum.Sent += k.Sent
			sum.Received += k.Received
		}
		if off := math.Abs(float64(sum.Sent-sent)) + math.Abs(float64(sum.Received-received)); off > 0.01*float64(sent+received) {
			t.Errorf("%s counted %+v, its connection carried %d and %d bytes", name, sum, sent, received)
		}
		if echo, fail := m.Control()["echo"], m.Control()["fail"]; echo.Sent+echo.Received < 2*large || fail.Sent == 0 || fail.Sent > 500 {
			t.Errorf("%s counted %+v for echo, %+v for fail", name, echo, fail)
		}
	}
}
