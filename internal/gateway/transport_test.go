package gateway

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

func newTransport(t *testing.T, authority *certs.Authority, name, region string) (*peer.Transport, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	id := peer.Identity{Instance: name, Region: region, DataCentre: region + "-a", Incarnation: 1}
	tr, err := peer.New(peer.Options{Self: id, Credentials: peertest.Credentials(t, authority, id), Listener: l})
	if err != nil {
		t.Fatal(err)
	}
	return tr, l.Addr().String()
}

// Guards against forwarding that works with the fake network only: on real sessions, stream windows fill up, and cancellations and ends
// of streams could get lost.
func TestForwardOverSessions(t *testing.T) {
	e, s := newEngine(t), newService(t)
	authority := peertest.NewAuthority(t)
	view := func() *fakeView { return testView(engineAt(e, "r1", "cusco"), serviceAt(s, "s1", "cusco")) }
	limaNet, limaAddr := newTransport(t, authority, "lima-1", "lima")
	cuscoNet, cuscoAddr := newTransport(t, authority, "cusco-1", "cusco")
	regions := &fakeRegions{[]routing.RegionLoad{{Region: "cusco", Instance: "cusco-1"}}}
	lima := start(t, "lima", view(), func(o *Options, _ *dispatch.Options) { o.Network, o.Regions = limaNet, regions })
	cusco := start(t, "cusco", view(), func(o *Options, _ *dispatch.Options) { o.Network = cuscoNet })
	for _, tr := range []*peer.Transport{limaNet, cuscoNet} {
		tr.SetPeers(map[string]string{"lima-1": limaAddr, "cusco-1": cuscoAddr})
		tr.Start()
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := tr.Close(ctx); err != nil {
				t.Errorf("close: %v", err)
			}
		})
	}
	a := lima.request(t, "POST", "/v1/chat/completions", workshopKey, chat(true, ""))
	if a.status != 200 || a.text(t) != fiveWords || !strings.HasSuffix(a.body, "data: [DONE]\n\n") || a.header.Get(headerServedRegion) != "cusco" {
		t.Fatalf("stream: %d %s", a.status, a.body)
	}
	large := strings.Repeat("weather vane ", 150000) // 1.9 MB, beyond a stream's window
	a = lima.request(t, "POST", "/v1/completions", workshopKey, `{"model":"taller-lm","max_tokens":1,"user":"`+large+`","prompt":"x"}`)
	if a.status != 200 {
		t.Fatalf("large: %d %s", a.status, a.body)
	}
	cusco.source.change(func(v *fakeView) { v.orgs["workshop"].Home = "lima" })
	begun := time.Now()
	a = lima.request(t, "POST", "/v1/completions", workshopKey, `{"model":"taller-lm","max_tokens":1,"user":"`+large+`","prompt":"x"}`)
	a.checkError(t, 421, "wrong_region", operations.NotRun)
	if took := time.Since(begun); took > 3*time.Second {
		t.Fatalf("declined after %v", took)
	}
	cusco.source.change(func(v *fakeView) { v.orgs["workshop"].Home = "" })
	e.mu.Lock()
	e.tokens, e.tokenInterval = 1000, 10*time.Millisecond
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	lima.startStream(t, ctx, workshopKey)
	cancel()
	eventually(t, "the engine in the remote region receives the cancellation", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.cancelled) == 1
	})
	lima.limiter.waitSettled(t)
}
