package netdial

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a peer that is found late after a cut, since the first packet to it was lost, and against connections that are left open.
func TestStaggeredFindsAPeerThatIsBack(t *testing.T) {
	const every, timeout = 20 * time.Millisecond, 2 * time.Second
	var attempts, open atomic.Int64
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts.Add(1) <= 3 {
			<-ctx.Done() // lost
			return nil, ctx.Err()
		}
		client, _ := net.Pipe()
		open.Add(1)
		return countedConn{client, &open}, nil
	}
	began := time.Now()
	conn, err := Staggered(dial, every, timeout)(t.Context(), "tcp", "peer")
	if err != nil || time.Since(began) > timeout/2 {
		t.Fatalf("%v after %s", err, time.Since(began))
	}
	_ = conn.Close()
	for end := time.Now().Add(timeout); open.Load() != 0; time.Sleep(every) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are left open", open.Load())
		}
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}

// Guards against attempts that go on after the peer has refused one, or beyond the time-out.
func TestStaggeredEnds(t *testing.T) {
	refused := errors.New("refused")
	var attempts atomic.Int64
	_, err := Staggered(func(context.Context, string, string) (net.Conn, error) {
		attempts.Add(1)
		return nil, refused
	}, time.Millisecond, time.Second)(t.Context(), "tcp", "peer")
	if !errors.Is(err, refused) || attempts.Load() != 1 {
		t.Errorf("%v after %d attempts", err, attempts.Load())
	}
	began := time.Now()
	_, err = Staggered(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, 10*time.Millisecond, 50*time.Millisecond)(t.Context(), "tcp", "peer")
	if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) > time.Second {
		t.Errorf("%v after %s", err, time.Since(began))
	}
}
