package edge

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// unreachableNetwork opens no call, and ends when the caller leaves.
type unreachableNetwork struct{ Network }

func (unreachableNetwork) Open(ctx context.Context, instance, service string) (peer.Stream, error) {
	if ctx.Err() != nil {
		return nil, peer.NotSent(instance, service, ctx.Err())
	}
	return nil, peer.NotSent(instance, service, context.DeadlineExceeded)
}

// Guards against requests that are rejected because the only instance which could serve them is taken for unreachable: the caller of an
// earlier request had left before it could be sent there.
func TestCallerThatLeavesMakesNoInstanceUnreachable(t *testing.T) {
	f := newTestFleet(t)
	f.list("n1", "north")
	f.receive("n1")
	e := &Edge{fleet: f.fleet, clock: f.clk, network: unreachableNetwork{}}
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, c := range []struct {
		ctx    context.Context
		usable bool
	}{{left, true}, {t.Context(), false}} {
		if _, failed := e.attemptRemote(c.ctx, "n1", &attempt{}, 1); failed == nil || failed.kind != notSent {
			t.Fatalf("the attempt ended with %+v", failed)
		}
		if usable := f.members["n1"].avoidUntil <= f.clk.Now(); usable != c.usable {
			t.Errorf("after an attempt whose caller has left: %v, the instance may be used: %v", c.ctx.Err() != nil, usable)
		}
	}
}

// Guards against a failure that is not told to the instance of the other region, since its reason quotes bytes of an endpoint's answer that
// are not UTF-8.
func TestFailureReasonsCanBeSent(t *testing.T) {
	if _, err := proto.Marshal(encodeFailure(&failure{kind: badAnswer, endpoint: "e", reason: "malformed header line: caf\xe9"})); err != nil {
		t.Error(err)
	}
}
