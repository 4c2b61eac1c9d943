package peer_test

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

func TestMain(m *testing.M) {
	// toxiproxy leaves these goroutines behind if a proxy stops while it passes data on. No code of this project has
	// them on its stack.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/toxics.(*NoopToxic).Pipe"),
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/stream.(*ChanWriter).Write"))
}

// node is a transport under test.
type node struct {
	*peer.Transport
	addr  string
	calls atomic.Int64 // handler runs of "echo"
}

func identity(name string) peer.Identity {
	return peer.Identity{Instance: name, Region: "lima", DataCentre: "lima-a", Incarnation: incarnations.Add(1)}
}

var incarnations atomic.Uint64

// startNode starts a transport with the services that the tests call. change may adapt the options.
func startNode(t testing.TB, authority *certs.Authority, name string, change func(*peer.Options)) *node {
	t.Helper()
	id := identity(name)
	return startIdentity(t, id, peertest.Credentials(t, authority, id), change)
}

func startIdentity(t testing.TB, id peer.Identity, credentials *peer.Credentials, change func(*peer.Options)) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options := peer.Options{
		Self: id, Credentials: credentials, Listener: listener, EagerPeers: -1,
		DialTimeout: 3 * time.Second, BackoffInitial: 10 * time.Millisecond, BackoffMax: 50 * time.Millisecond,
		DrainTimeout: 5 * time.Second,
	}
	if change != nil {
		change(&options)
	}
	transport, err := peer.New(options)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{Transport: transport, addr: listener.Addr().String()}
	n.Handle("echo", peer.Unary(func(_ context.Context, from peer.Identity, req *wrapperspb.StringValue) (proto.Message, error) {
		n.calls.Add(1)
		return wrapperspb.String(from.Instance + ":" + req.Value), nil
	}))
	n.Handle("fail", peer.Unary(func(context.Context, peer.Identity, *wrapperspb.StringValue) (proto.Message, error) {
		return nil, peer.NewError("refused", "not today")
	}))
	n.Handle("deadline", peer.Unary(func(ctx context.Context, _ peer.Identity, _ *wrapperspb.StringValue) (proto.Message, error) {
		deadline, _ := ctx.Deadline()
		return durationpb.New(time.Until(deadline)), nil
	}))
	n.Handle("flood", flood)
	n.Handle("hold", func(ctx context.Context, _ peer.Identity, s peer.Stream) error {
		if err := s.Send(wrapperspb.String("running")); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	n.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if err := n.Close(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("close %s: %v", id.Instance, err)
		}
	})
	return n
}

// flood sends as many messages as the request says.
func flood(_ context.Context, _ peer.Identity, s peer.Stream) error {
	count := &wrapperspb.Int64Value{}
	if err := s.Recv(count); err != nil {
		return err
	}
	block := wrapperspb.Bytes(make([]byte, 64<<10))
	for range count.Value {
		if err := s.Send(block); err != nil {
			return err
		}
	}
	return nil
}

func within(t testing.TB, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func (n *node) echo(ctx context.Context, instance, text string) (string, error) {
	resp := &wrapperspb.StringValue{}
	err := n.Call(ctx, instance, "echo", wrapperspb.String(text), resp)
	return resp.Value, err
}

func link(nodes ...*node) {
	addrs := map[string]string{}
	for _, n := range nodes {
		addrs[n.Self().Instance] = n.addr
	}
	for _, n := range nodes {
		n.SetPeers(addrs)
	}
}

// eventually fails the test if the condition does not hold in time.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against calls that lose the request, the response or the caller's identity.
func TestCall(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	link(a, b)
	for i := range 100 {
		text := fmt.Sprint(i, rand.Text())
		got, err := a.echo(within(t, time.Second), "b", text)
		if err != nil || got != "a:"+text {
			t.Fatalf("call %d: got %q, %v", i, got, err)
		}
	}
	if got := b.Connected(); len(got) != 1 || got[0] != a.Self() {
		t.Errorf("b is connected with %v", got)
	}
	// The session serves calls in the other direction too.
	if _, err := b.echo(within(t, time.Second), "a", "back"); err != nil {
		t.Error(err)
	}
}

// Guards against errors of a handler that look like transport errors, and against a deadline that is not passed on.
func TestCallErrorsAndDeadline(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	link(a, b)
	ctx := within(t, 3*time.Second)

	var remote *peer.RemoteError
	err := a.Call(ctx, "b", "fail", wrapperspb.String(""), &wrapperspb.StringValue{})
	if !errors.As(err, &remote) || remote.Code != "refused" || remote.Instance != "b" || remote.Service != "fail" {
		t.Errorf("got %v", err)
	}
	if errors.Is(err, peer.ErrBroken) || errors.Is(err, peer.ErrNotSent) {
		t.Errorf("error of the handler is marked as transport error: %v", err)
	}
	err = a.Call(ctx, "b", "absent", wrapperspb.String(""), &wrapperspb.StringValue{})
	if !errors.As(err, &remote) || remote.Code != peer.CodeUnknownService {
		t.Errorf("got %v", err)
	}
	if err := a.Call(ctx, "c", "echo", wrapperspb.String(""), &wrapperspb.StringValue{}); !errors.Is(err, peer.ErrUnknownPeer) || !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("got %v", err)
	}
	left := &durationpb.Duration{}
	if err := a.Call(ctx, "b", "deadline", wrapperspb.String(""), left); err != nil {
		t.Fatal(err)
	}
	if d := left.AsDuration(); d <= 0 || d > 3*time.Second {
		t.Errorf("handler has %v left", d)
	}
	big := wrapperspb.Bytes(make([]byte, 5<<20))
	if err := a.Call(ctx, "b", "echo", big, &wrapperspb.StringValue{}); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("oversized request: got %v", err)
	}
}

// Guards against handlers that keep running after their caller has gone.
func TestCancelReachesHandler(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	ended := make(chan struct{}, 2)
	c := startNodeWith(t, authority, "c", "watch", func(ctx context.Context, _ peer.Identity, s peer.Stream) error {
		if err := s.Send(wrapperspb.String("running")); err != nil {
			return err
		}
		<-ctx.Done()
		ended <- struct{}{}
		return ctx.Err()
	})
	link(a, b, c)
	for _, leave := range []func(peer.Stream, context.CancelFunc){
		func(s peer.Stream, _ context.CancelFunc) { s.Close() },
		func(_ peer.Stream, cancel context.CancelFunc) { cancel() },
	} {
		ctx, cancel := context.WithCancel(within(t, 5*time.Second))
		s, err := a.Open(ctx, "c", "watch")
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
			t.Fatal(err)
		}
		leave(s, cancel)
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			t.Error("handler still runs 2 s after the caller has gone")
		}
		s.Close()
		cancel()
	}
}

func startNodeWith(t *testing.T, authority *certs.Authority, name, service string, h peer.Handler) *node {
	t.Helper()
	id := identity(name)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport, err := peer.New(peer.Options{Self: id, Credentials: peertest.Credentials(t, authority, id), Listener: listener})
	if err != nil {
		t.Fatal(err)
	}
	transport.Handle(service, h)
	transport.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		transport.Close(ctx)
	})
	return &node{Transport: transport, addr: listener.Addr().String()}
}

// Guards against a stream that breaks off and looks as if the peer had ended it.
func TestBrokenStreamIsNotTheEnd(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a := startNode(t, authority, "a", nil)
	b := startNodeWith(t, authority, "b", "half", func(_ context.Context, _ peer.Identity, s peer.Stream) error {
		if err := s.Send(wrapperspb.String("part")); err != nil {
			return err
		}
		return s.Close()
	})
	link(a, b)
	s, err := a.Open(within(t, 5*time.Second), "b", "half")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := s.Recv(&wrapperspb.StringValue{}); errors.Is(err, io.EOF) || !errors.Is(err, peer.ErrBroken) {
			t.Fatalf("got %v", err)
		}
	}
}

// Guards against a reader that does not read and thereby stops calls on other streams of the session.
func TestSlowReaderAmongFastOnes(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	link(a, b)
	ctx := within(t, 20*time.Second)
	const blocks = 200 // 12.8 MB, far more than the window
	slow, err := a.Open(ctx, "b", "flood")
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.Send(wrapperspb.Int64(blocks)); err != nil {
		t.Fatal(err)
	}
	for i := range 200 {
		start := time.Now()
		if _, err := a.echo(ctx, "b", "fast"); err != nil {
			t.Fatalf("call %d beside the slow reader: %v", i, err)
		}
		if took := time.Since(start); took > time.Second {
			t.Fatalf("call %d beside the slow reader took %v", i, took)
		}
	}
	read := 0
	for {
		err := slow.Recv(&wrapperspb.BytesValue{})
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		read++
	}
	if read != blocks {
		t.Errorf("slow reader got %d of %d messages", read, blocks)
	}
}

// Guards against two sessions per pair after simultaneous dials, and against calls that break while one is given up.
func TestSimultaneousDials(t *testing.T) {
	authority := peertest.NewAuthority(t)
	for range 10 {
		a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
		link(a, b)
		var wg sync.WaitGroup
		for i := range 20 {
			from, to := a, "b"
			if i%2 == 1 {
				from, to = b, "a"
			}
			wg.Go(func() {
				for range 5 {
					if _, err := from.echo(within(t, 3*time.Second), to, "x"); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		eventually(t, "one session per pair", func() bool {
			return a.SessionCount() == 1 && b.SessionCount() == 1
		})
	}
}

// Guards against peers of another cluster, of another name or with an expired certificate.
func TestRefusedCertificates(t *testing.T) {
	authority, other := peertest.NewAuthority(t), peertest.NewAuthority(t)
	server := startNode(t, authority, "server", nil)
	cases := []struct {
		name      string
		authority *certs.Authority
		subject   certs.Subject
		trust     *certs.Authority
	}{
		{"wrong CA of the caller", other, certs.Subject{Instance: "a"}, authority},
		{"wrong CA of the server", authority, certs.Subject{Instance: "a"}, other},
		{"expired", authority, certs.Subject{Instance: "a", NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(-time.Minute)}, authority},
		{"other region", authority, certs.Subject{Instance: "a", Region: "cusco", DataCentre: "cusco-a"}, authority},
		{"other instance", authority, certs.Subject{Instance: "b"}, authority},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.subject.NotAfter.IsZero() {
				c.subject.NotAfter = time.Now().Add(time.Hour)
			}
			issued := peertest.IssueSubject(t, c.authority, c.subject)
			issued.CA = c.trust.PEM()
			conn, err := peer.DialHello(server.addr, issued, peer.Identity{Instance: "a", Region: "lima", DataCentre: "lima-a", Incarnation: 7}, "server")
			if err == nil {
				conn.Close()
				t.Fatal("session was accepted")
			}
			if len(server.Connected()) != 0 {
				t.Errorf("server lists a session: %v", server.Connected())
			}
		})
	}
}

// Guards against a reply from an instance that is not the one that was dialled.
func TestServerNameMismatch(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	a.SetPeers(map[string]string{"c": b.addr})
	_, err := a.echo(within(t, time.Second), "c", "x")
	if !errors.Is(err, peer.ErrNotSent) || !strings.Contains(err.Error(), `"b"`) {
		t.Errorf("got %v", err)
	}
	if b.calls.Load() != 0 {
		t.Error("the other instance ran the call")
	}
}
