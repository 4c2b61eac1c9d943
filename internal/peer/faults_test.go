package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

// shortTimeouts make a transport notice a dead connection within half a second.
func shortTimeouts(o *peer.Options) {
	o.KeepAlive, o.WriteTimeout, o.DialTimeout = 150*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond
}

// proxied is a proxy in front of a node.
type proxied struct {
	t *testing.T
	*toxiproxy.Proxy
}

func proxyTo(t *testing.T, n *node) *proxied {
	t.Helper()
	return &proxied{t, peertest.Proxy(t, n.Self().Instance, n.addr)}
}

// swallow drops all data in one direction ("upstream" is towards the node) and keeps the connections open.
func (p *proxied) swallow(direction string) {
	p.t.Helper()
	toxic := fmt.Sprintf(`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, direction, direction)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxied) heal() { p.Toxics.ResetToxics(context.Background()) }

// pair starts a and b with a proxy between them, through which only a dials.
func pair(t *testing.T, change func(*peer.Options)) (a, b *node, p *proxied) {
	t.Helper()
	authority := peertest.NewAuthority(t)
	a, b = startNode(t, authority, "a", change), startNode(t, authority, "b", change)
	p = proxyTo(t, b)
	a.SetPeers(map[string]string{"b": p.Listen})
	if _, err := a.echo(within(t, 3*time.Second), "b", "first"); err != nil {
		t.Fatal(err)
	}
	return a, b, p
}

// Guards against a cut connection that leaves a call waiting, a handler running, or a wrong claim that nothing was sent.
func TestCutMidCall(t *testing.T) {
	a, _, p := pair(t, nil)
	s, err := a.Open(within(t, 10*time.Second), "b", "hold")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
		t.Fatal(err)
	}
	p.Stop()
	start := time.Now()
	err = s.Recv(&wrapperspb.StringValue{})
	if !errors.Is(err, peer.ErrBroken) || errors.Is(err, peer.ErrNotSent) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("cut was noticed after %v", took)
	}
	if _, err := a.echo(within(t, time.Second), "b", "x"); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("call to a stopped peer: got %v", err)
	}
}

// Guards against one-way cuts and half-open connections that hold calls until their deadline, or that are reported as
// not sent although the peer may have run the call.
func TestSilentConnection(t *testing.T) {
	cases := []struct {
		name       string
		directions []string
		runs       int64 // of the handler during the cut
	}{
		{"towards the peer", []string{"upstream"}, 0},
		{"from the peer", []string{"downstream"}, 1},
		{"half-open", []string{"upstream", "downstream"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b, p := pair(t, shortTimeouts)
			before := b.calls.Load()
			for _, direction := range c.directions {
				p.swallow(direction)
			}
			start := time.Now()
			_, err := a.echo(within(t, 10*time.Second), "b", "lost")
			if !errors.Is(err, peer.ErrBroken) || errors.Is(err, peer.ErrNotSent) {
				t.Errorf("got %v", err)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("cut was noticed after %v", took)
			}
			if runs := b.calls.Load() - before; runs != c.runs {
				t.Errorf("handler ran %d times, want %d", runs, c.runs)
			}
			// A dial during the cut does not get through either, and says so.
			if _, err := a.echo(within(t, 3*time.Second), "b", "lost"); !errors.Is(err, peer.ErrNotSent) {
				t.Errorf("dial during the cut: got %v", err)
			}
			p.heal()
			eventually(t, "calls work again", func() bool {
				_, err := a.echo(within(t, time.Second), "b", "again")
				return err == nil
			})
		})
	}
}

// Guards against a deadline that a silent connection can outlast.
func TestDeadlineOnSilentConnection(t *testing.T) {
	a, _, p := pair(t, nil)
	p.swallow("upstream")
	start := time.Now()
	_, err := a.echo(within(t, 100*time.Millisecond), "b", "lost")
	if !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, peer.ErrBroken) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("call with a deadline of 100 ms took %v", took)
	}
}

// Guards against an instance that stays unreachable after its restart, and against a session of the former process.
func TestReconnectAfterRestart(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", shortTimeouts), startNode(t, authority, "b", shortTimeouts)
	link(a, b)
	if _, err := a.echo(within(t, time.Second), "b", "x"); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(within(t, 2*time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := a.echo(within(t, time.Second), "b", "x"); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("call to a stopped peer: got %v", err)
	}
	successor := startNode(t, authority, "b", shortTimeouts)
	link(a, successor)
	eventually(t, "successor answers", func() bool {
		_, err := a.echo(within(t, time.Second), "b", "x")
		return err == nil
	})
	if got := a.Connected(); len(got) != 1 || got[0] != successor.Self() {
		t.Errorf("connected with %v, want %v", got, successor.Self())
	}
}

// ledger records which calls a handler has run.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) record(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Guards against ErrNotSent for a call that the peer has run: the caller would run it again elsewhere. Connections are
// cut and restored all the time while calls run.
func TestNotSentIsTrue(t *testing.T) {
	authority := peertest.NewAuthority(t)
	l := &ledger{runs: map[string]int{}}
	a := startNode(t, authority, "a", shortTimeouts)
	b := startNodeWith(t, authority, "b", "record", func(_ context.Context, _ peer.Identity, s peer.Stream) error {
		id := &wrapperspb.StringValue{}
		if err := s.Recv(id); err != nil {
			return err
		}
		l.record(id.Value)
		return s.Send(id)
	})
	p := proxyTo(t, b)
	a.SetPeers(map[string]string{"b": p.Listen})
	stop := time.Now().Add(3 * time.Second)
	var succeeded, unsent, brokenCalls atomic.Int64
	var callers sync.WaitGroup
	for caller := range 16 {
		callers.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				id := fmt.Sprintf("%d-%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				err := a.Call(ctx, "b", "record", wrapperspb.String(id), &wrapperspb.StringValue{})
				cancel()
				switch {
				case err == nil:
					succeeded.Add(1)
					if n := l.count(id); n != 1 {
						t.Errorf("answered call ran %d times", n)
					}
				case errors.Is(err, peer.ErrNotSent):
					unsent.Add(1)
					defer func() { // looked at when all calls have ended
						if n := l.count(id); n != 0 {
							t.Errorf("call reported as not sent ran %d times: %v", n, err)
						}
					}()
					time.Sleep(time.Millisecond)
				case errors.Is(err, peer.ErrBroken):
					brokenCalls.Add(1)
				default:
					t.Errorf("error of no kind: %v", err)
				}
			}
		})
	}
	for time.Now().Before(stop) {
		// A session takes several round trips, and longer on a busy machine. Without one the cut meets no call in flight.
		before := succeeded.Load()
		for waited := time.Now(); succeeded.Load() == before && time.Since(waited) < time.Second; time.Sleep(time.Millisecond) {
		}
		time.Sleep(40 * time.Millisecond)
		p.Stop()
		time.Sleep(5 * time.Millisecond)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	callers.Wait()
	t.Logf("%d calls succeeded, %d were not sent, %d broke", succeeded.Load(), unsent.Load(), brokenCalls.Load())
	if succeeded.Load() == 0 || unsent.Load() == 0 || brokenCalls.Load() == 0 {
		t.Error("not all outcomes occurred")
	}
}

// Guards against calls that fail while certificates and CA are replaced, and against sessions that outlive the
// trust in their certificate.
func TestRotationUnderTraffic(t *testing.T) {
	former, next := peertest.NewAuthority(t), peertest.NewAuthority(t)
	a, b := startNode(t, former, "a", nil), startNode(t, former, "b", nil)
	link(a, b)
	done := make(chan struct{})
	var traffic sync.WaitGroup
	var calls atomic.Int64
	for i := range 8 {
		from, to := a, "b"
		if i%2 == 1 {
			from, to = b, "a"
		}
		traffic.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if _, err := from.echo(within(t, 5*time.Second), to, "x"); err != nil {
					t.Errorf("call during the rotation: %v", err)
				}
				calls.Add(1)
			}
		})
	}
	both := append(append([]byte{}, former.PEM()...), next.PEM()...)
	reload := func(n *node, issuer *certs.Authority, ca []byte) {
		issued := peertest.Issue(t, issuer, n.Self())
		issued.CA = ca
		if err := n.Reload(issued); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, step := range []func(n *node){
		func(n *node) { reload(n, former, both) },
		func(n *node) { reload(n, next, both) },
		func(n *node) { reload(n, next, next.PEM()) },
	} {
		step(a)
		step(b)
	}
	time.Sleep(100 * time.Millisecond)
	close(done)
	traffic.Wait()
	t.Logf("%d calls", calls.Load())
	for _, n := range []*node{a, b} {
		for _, issuer := range n.SessionIssuers() {
			if issuer != string(next.KeyID()) {
				t.Errorf("%s keeps a session under the former CA", n.Self().Instance)
			}
		}
	}
	issued := peertest.Issue(t, former, a.Self())
	issued.CA = both
	if conn, err := peer.DialHello(b.addr, issued, a.Self(), "b"); err == nil {
		conn.Close()
		t.Error("certificate of the former CA is still accepted")
	}
}

// Guards against a rotation that takes another instance's certificate or broken content.
func TestReloadRefusesWrongContent(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	link(a, b)
	if err := a.Reload(peertest.Issue(t, authority, b.Self())); err == nil {
		t.Error("certificate of another instance was taken")
	}
	if err := a.Reload(peer.PEM{}); err == nil {
		t.Error("empty content was taken")
	}
	if _, err := a.echo(within(t, 3*time.Second), "b", "x"); err != nil {
		t.Errorf("call after refused reloads: %v", err)
	}
}

// Guards against a session that goes on after the peer's certificate has expired.
func TestCertificateExpiresDuringSession(t *testing.T) {
	authority := peertest.NewAuthority(t)
	id := identity("a")
	issued := peertest.IssueSubject(t, authority, certs.Subject{
		Instance: id.Instance, Region: id.Region, DataCentre: id.DataCentre, NotAfter: time.Now().Add(2 * time.Second),
	})
	credentials, err := peer.NewCredentials(issued)
	if err != nil {
		t.Fatal(err)
	}
	a, b := startIdentity(t, id, credentials, nil), startNode(t, authority, "b", nil)
	link(a, b)
	if _, err := a.echo(within(t, time.Second), "b", "x"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "session has ended", func() bool { return len(b.Connected()) == 0 })
	// A call may still get through between b's decision and its message to a.
	eventually(t, "calls with the expired certificate are not sent", func() bool {
		_, err := a.echo(within(t, time.Second), "b", "x")
		return errors.Is(err, peer.ErrNotSent)
	})
	if len(b.Connected()) != 0 {
		t.Error("session with the expired certificate came back")
	}
}

// Guards against an unbounded number of calls served at once, against long calls that keep out those of other services,
// and against a refusal that hides that nothing ran.
func TestInboundStreamLimits(t *testing.T) {
	cases := []struct {
		name           string
		total, service int
		other          string // code of a call of another service while the limit is reached
	}{
		{"in total", 3, 3, peer.CodeOverloaded},
		{"of one service", 5, 3, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			authority := peertest.NewAuthority(t)
			a := startNode(t, authority, "a", nil)
			b := startNode(t, authority, "b", func(o *peer.Options) { o.MaxInboundStreams, o.MaxServiceStreams = c.total, c.service })
			link(a, b)
			ctx := within(t, 5*time.Second)
			var held []peer.Stream
			for range 3 {
				s, err := a.Open(ctx, "b", "hold")
				if err != nil {
					t.Fatal(err)
				}
				if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
					t.Fatal(err)
				}
				held = append(held, s)
			}
			if code := codeOf(a.Call(ctx, "b", "hold", wrapperspb.String(""), &wrapperspb.StringValue{})); code != peer.CodeOverloaded {
				t.Errorf("call beyond the limit: code %q", code)
			}
			_, err := a.echo(ctx, "b", "x")
			if code := codeOf(err); code != c.other || (c.other == "") != (err == nil) {
				t.Errorf("call of another service: %v", err)
			}
			if c.other != "" && b.calls.Load() != 0 {
				t.Error("refused call has run")
			}
			for _, s := range held {
				s.Close()
			}
			eventually(t, "calls are served again", func() bool {
				s, err := a.Open(ctx, "b", "hold")
				if err != nil {
					return false
				}
				defer s.Close()
				return s.Recv(&wrapperspb.StringValue{}) == nil
			})
		})
	}
}

func codeOf(err error) string {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return remote.Code
	}
	return ""
}

// Guards against an unbounded number of sessions: an idle one makes room for a new one.
func TestSessionLimit(t *testing.T) {
	authority := peertest.NewAuthority(t)
	hub := startNode(t, authority, "hub", func(o *peer.Options) { o.MaxSessions = 2 })
	nodes := []*node{hub}
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		nodes = append(nodes, startNode(t, authority, name, nil))
	}
	link(nodes...)
	for range 3 {
		for _, n := range nodes[1:] {
			if _, err := hub.echo(within(t, 3*time.Second), n.Self().Instance, "x"); err != nil {
				t.Errorf("call to %s: %v", n.Self().Instance, err)
			}
			if c := len(hub.Connected()); c > 2 {
				t.Errorf("%d sessions, limit 2", c)
			}
		}
	}
}

// Guards against a stop that cuts calls in flight, and against one that waits for them for ever.
func TestGracefulClose(t *testing.T) {
	authority := peertest.NewAuthority(t)
	release := make(chan struct{})
	a := startNode(t, authority, "a", nil)
	b := startNodeWith(t, authority, "b", "wait", func(ctx context.Context, _ peer.Identity, s peer.Stream) error {
		if err := s.Send(wrapperspb.String("running")); err != nil {
			return err
		}
		select {
		case <-release:
			return s.Send(wrapperspb.String("done"))
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	link(a, b)
	s, err := a.Open(within(t, 10*time.Second), "b", "wait")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got := &wrapperspb.StringValue{}
	if err := s.Recv(got); err != nil {
		t.Fatal(err)
	}
	closed := make(chan error, 1)
	go func() { closed <- b.Close(within(t, 5*time.Second)) }()
	eventually(t, "new calls are not sent", func() bool {
		return errors.Is(a.Call(within(t, time.Second), "b", "wait", got, got), peer.ErrNotSent)
	})
	close(release)
	if err := s.Recv(got); err != nil || got.Value != "done" {
		t.Errorf("call in flight: got %q, %v", got.Value, err)
	}
	s.Close()
	select {
	case err := <-closed:
		if err != nil {
			t.Errorf("close: %v", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("close waits although no call is in flight")
	}
}

// Guards against connections that say nothing, or something else than TLS, and hold up those of other instances.
func TestForeignConnections(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", nil), startNode(t, authority, "b", nil)
	for i := range 30 {
		conn, err := net.Dial("tcp", b.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: b\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
		}
	}
	link(a, b)
	start := time.Now()
	if _, err := a.echo(within(t, 3*time.Second), "b", "x"); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("call took %v", took)
	}
	if got := b.Connected(); len(got) != 1 || got[0].Instance != "a" {
		t.Errorf("b is connected with %v", got)
	}
}

// Guards against a refusal that a caller does not read because it is still sending a request beyond the window.
func TestRefusalOfLargeRequest(t *testing.T) {
	authority := peertest.NewAuthority(t)
	a := startNode(t, authority, "a", nil)
	cases := []struct {
		name, service, want string
		total               int  // calls that the peer serves at once
		held                bool // a call of "hold" is being served
	}{
		{"unknown service", "absent", peer.CodeUnknownService, 10, false},
		{"limit of the service", "hold", peer.CodeOverloaded, 10, true},
		{"limit in total", "echo", peer.CodeOverloaded, 1, true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startNode(t, authority, fmt.Sprint("b", i), func(o *peer.Options) { o.MaxInboundStreams, o.MaxServiceStreams = c.total, 1 })
			link(a, b)
			name := b.Self().Instance
			ctx := within(t, 10*time.Second)
			if c.held {
				s, err := a.Open(ctx, name, "hold")
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				if err := s.Recv(&wrapperspb.StringValue{}); err != nil {
					t.Fatal(err)
				}
			}
			start := time.Now()
			err := a.Call(ctx, name, c.service, wrapperspb.Bytes(make([]byte, 3<<20)), &wrapperspb.StringValue{})
			if code := codeOf(err); code != c.want {
				t.Errorf("got %v, want code %q", err, c.want)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("refusal took %v", took)
			}
		})
	}
}
