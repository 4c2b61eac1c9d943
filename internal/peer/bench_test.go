package peer_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
)

// BenchmarkCall measures unary calls over loopback, from one caller and from many.
func BenchmarkCall(b *testing.B) {
	authority := peertest.NewAuthority(b)
	caller, server := startNode(b, authority, "a", nil), startNode(b, authority, "b", nil)
	link(caller, server)
	call := func(b *testing.B) {
		if err := caller.Call(context.Background(), "b", "echo", wrapperspb.String("x"), &wrapperspb.StringValue{}); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			call(b)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call(b)
			}
		})
	})
}

// BenchmarkStream measures one stream of 64 KiB messages over loopback.
func BenchmarkStream(b *testing.B) {
	authority := peertest.NewAuthority(b)
	caller, server := startNode(b, authority, "a", nil), startNode(b, authority, "b", nil)
	link(caller, server)
	s, err := caller.Open(context.Background(), "b", "flood")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	if err := s.Send(wrapperspb.Int64(1 << 40)); err != nil {
		b.Fatal(err)
	}
	b.SetBytes(64 << 10)
	for b.Loop() {
		if err := s.Recv(&wrapperspb.BytesValue{}); err != nil {
			b.Fatal(err)
		}
	}
}
