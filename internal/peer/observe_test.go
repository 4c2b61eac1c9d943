package peer_test

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

// Guards against hops that are missing in a request's trace, and against traces of calls that belong to none.
func TestSpanOfEachHop(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	traced := func(o *peer.Options) { o.Tracer = provider.Tracer("test") }
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", traced), startNode(t, authority, "b", traced)
	link(a, b)
	if _, err := a.echo(within(t, 3*time.Second), "b", "outside of a trace"); err != nil {
		t.Fatal(err)
	}
	if spans := exporter.GetSpans(); len(spans) != 0 {
		t.Errorf("call outside of a trace has %d spans", len(spans))
	}
	ctx, root := provider.Tracer("test").Start(within(t, 3*time.Second), "request")
	if _, err := a.echo(ctx, "b", "in a trace"); err != nil {
		t.Fatal(err)
	}
	root.End()
	eventually(t, "three spans", func() bool { return len(exporter.GetSpans()) == 3 })
	byKind := map[trace.SpanKind]tracetest.SpanStub{}
	for _, span := range exporter.GetSpans() {
		byKind[span.SpanKind] = span
	}
	client, server := byKind[trace.SpanKindClient], byKind[trace.SpanKindServer]
	if client.Parent.SpanID() != root.SpanContext().SpanID() || server.Parent.SpanID() != client.SpanContext.SpanID() {
		t.Errorf("spans are not parent and child: %v, %v, %v", root.SpanContext(), client.Parent, server.Parent)
	}
	if server.SpanContext.TraceID() != root.SpanContext().TraceID() {
		t.Error("the peer's span is in another trace")
	}
}

// Guards against control traffic that the metrics do not show, by service and direction.
func TestTrafficCounters(t *testing.T) {
	scopes := map[string]tally.TestScope{"a": tally.NewTestScope("", nil), "b": tally.NewTestScope("", nil)}
	counted := func(o *peer.Options) { o.Scope = scopes[o.Self.Instance] }
	authority := peertest.NewAuthority(t)
	a, b := startNode(t, authority, "a", counted), startNode(t, authority, "b", counted)
	link(a, b)
	const calls = 5
	for range calls {
		if _, err := a.echo(within(t, 3*time.Second), "b", "0123456789"); err != nil {
			t.Fatal(err)
		}
	}
	value := func(at, name string) int64 {
		for _, c := range scopes[at].Snapshot().Counters() {
			if c.Name() == "peer."+name && (c.Tags()["service"] == "echo" || len(c.Tags()) == 0) {
				return c.Value()
			}
		}
		return 0
	}
	for _, c := range []struct {
		at, name string
		min      int64
	}{
		{"a", "messages_sent", calls}, {"a", "messages_received", calls}, {"a", "message_bytes_sent", 10 * calls},
		{"b", "messages_sent", calls}, {"b", "messages_received", calls}, {"b", "message_bytes_received", 10 * calls},
		{"a", "bytes_sent", 1000}, {"a", "bytes_received", 1000}, {"b", "bytes_sent", 1000},
	} {
		// An instance counts what it has sent after the write, when the other one may have read it already.
		eventually(t, fmt.Sprintf("%s: %s is at least %d", c.at, c.name, c.min), func() bool { return value(c.at, c.name) >= c.min })
	}
}

// Guards against a SIGHUP that does not bring the new certificate into force.
func TestReloadOnHangup(t *testing.T) {
	former, next := peertest.NewAuthority(t), peertest.NewAuthority(t)
	a, b := startNode(t, former, "a", nil), startNode(t, next, "b", nil)
	link(a, b)
	if _, err := a.echo(within(t, 3*time.Second), "b", "x"); err == nil {
		t.Fatal("instances of two CAs reach each other")
	}
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.ReloadOnHangup(ctx, func() (peer.PEM, error) {
			select {
			case loaded <- struct{}{}:
			default:
			}
			return peertest.Issue(t, next, a.Self()), nil
		})
	}()
	defer func() {
		cancel()
		<-ended
	}()
	// Without a handler, SIGHUP would end this process.
	spare := make(chan os.Signal, 1)
	signal.Notify(spare, syscall.SIGHUP)
	defer signal.Stop(spare)
	eventually(t, "signal arrives", func() bool {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-loaded:
			return true
		case <-time.After(100 * time.Millisecond):
			return false
		}
	})
	eventually(t, "instances reach each other", func() bool {
		_, err := a.echo(within(t, time.Second), "b", "x")
		return err == nil
	})
}
