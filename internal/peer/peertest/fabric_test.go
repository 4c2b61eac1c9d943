package peertest_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

// setup connects a and b in a fabric. b counts the runs of "echo".
func setup(t *testing.T) (f *peertest.Fabric, a, b *peertest.Network, runs *atomic.Int64) {
	t.Helper()
	f = peertest.NewFabric(t)
	a = f.Add(peer.Identity{Instance: "a", Incarnation: 1})
	b = f.Add(peer.Identity{Instance: "b", Incarnation: 2})
	runs = &atomic.Int64{}
	b.Handle("echo", peer.Unary(func(_ context.Context, from peer.Identity, req *wrapperspb.StringValue) (proto.Message, error) {
		runs.Add(1)
		return wrapperspb.String(from.Instance + ":" + req.Value), nil
	}))
	b.Handle("fail", peer.Unary(func(context.Context, peer.Identity, *wrapperspb.StringValue) (proto.Message, error) {
		return nil, peer.NewError("refused", "no")
	}))
	b.Handle("hold", func(ctx context.Context, _ peer.Identity, s peer.Stream) error {
		if err := s.Send(wrapperspb.String("running")); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	return f, a, b, runs
}

func echo(n *peertest.Network, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	resp := &wrapperspb.StringValue{}
	if err := n.Call(ctx, "b", "echo", wrapperspb.String("x"), resp); err != nil {
		return err
	}
	if resp.Value != "a:x" {
		return errors.New("wrong response " + resp.Value)
	}
	return nil
}

// Guards against faults of the in-memory network that differ from those of connections: a cut that is reported as not
// sent, a lost response whose request did not run, and a delay or duplicate that does not happen.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(f *peertest.Fabric)
		want   error // nil: success
		runs   int64
		took   time.Duration
	}{
		{"none", func(*peertest.Fabric) {}, nil, 1, 0},
		{"cut towards the peer", func(f *peertest.Fabric) { f.CutOneWay("a", "b") }, peer.ErrBroken, 0, time.Second},
		{"cut from the peer", func(f *peertest.Fabric) { f.CutOneWay("b", "a") }, peer.ErrBroken, 1, time.Second},
		{"both", func(f *peertest.Fabric) { f.Cut("a", "b") }, peer.ErrBroken, 0, time.Second},
		{"healed", func(f *peertest.Fabric) { f.Cut("a", "b"); f.Heal("a", "b") }, nil, 1, 0},
		{"delay", func(f *peertest.Fabric) { f.Delay("a", "b", 50*time.Millisecond, 0) }, nil, 1, 50 * time.Millisecond},
		{"duplicates", func(f *peertest.Fabric) { f.Duplicate("a", "b", 2) }, nil, 3, 0},
		{"removed", func(f *peertest.Fabric) { f.Remove("b") }, peer.ErrNotSent, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, _, runs := setup(t)
				c.inject(f)
				start := time.Now()
				err := echo(a, 10*time.Second)
				if took := time.Since(start); took < c.took || took > c.took+time.Second {
					t.Errorf("took %v, want about %v", took, c.took)
				}
				synctest.Wait()
				if c.want == nil && err != nil || c.want != nil && !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if errors.Is(err, peer.ErrBroken) && errors.Is(err, peer.ErrNotSent) {
					t.Errorf("error is of two kinds: %v", err)
				}
				if n := runs.Load(); n != c.runs {
					t.Errorf("handler ran %d times, want %d", n, c.runs)
				}
			})
		})
	}
}

// Guards against a deadline, an error of the handler, an unknown peer or a broken call that looks like another outcome.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, _, _ := setup(t)
		f.CutOneWay("a", "b")
		if err := echo(a, 10*time.Millisecond); !errors.Is(err, peer.ErrBroken) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("deadline: got %v", err)
		}
		f.Heal("a", "b")
		ctx := context.Background()
		var remote *peer.RemoteError
		if err := a.Call(ctx, "b", "fail", wrapperspb.String(""), wrapperspb.String("")); !errors.As(err, &remote) || remote.Code != "refused" {
			t.Errorf("handler's error: got %v", err)
		}
		if err := a.Call(ctx, "b", "absent", wrapperspb.String(""), wrapperspb.String("")); !errors.As(err, &remote) || remote.Code != peer.CodeUnknownService {
			t.Errorf("unknown service: got %v", err)
		}
		if err := a.Call(ctx, "c", "echo", wrapperspb.String(""), wrapperspb.String("")); !errors.Is(err, peer.ErrUnknownPeer) || !errors.Is(err, peer.ErrNotSent) {
			t.Errorf("unknown peer: got %v", err)
		}
		s, err := a.Open(ctx, "b", "hold")
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
			t.Fatal(err)
		}
		f.Break("a", "b")
		if err := s.Recv(&wrapperspb.StringValue{}); !errors.Is(err, peer.ErrBroken) || errors.Is(err, io.EOF) {
			t.Errorf("broken stream: got %v", err)
		}
	})
}
