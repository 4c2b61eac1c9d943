package edge

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// slowNetwork answers each call with one key after a delay.
type slowNetwork struct {
	Network
	delay time.Duration
}

func (n slowNetwork) Call(ctx context.Context, _, _ string, _, answer proto.Message) error {
	if err := clock.Sleep(ctx, n.delay); err != nil {
		return err
	}
	proto.Merge(answer, &wire.EdgeFeedAnswer{AsOf: 7, Changes: []*wire.EdgeFeedChange{{Key: "p/a"}}})
	return nil
}

// countedFeed counts the reads of the store.
type countedFeed struct{ reads int }

func (f *countedFeed) ListAll(context.Context, string) ([]platform.Entry, platform.Version, error) {
	f.reads++
	return nil, platform.Version{Revision: 1}, nil
}

func (f *countedFeed) WatchPrefix(context.Context, string, platform.Version, time.Duration) ([]platform.Change, platform.Version, error) {
	f.reads++
	return nil, platform.Version{Revision: 1}, nil
}

// Guards against instances that all turn to the store after a restart, because the list of all announcements takes longer than 0.3 s from
// the instance that sends it to a hundred others.
func TestSlowListOfTheRelayIsAwaited(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"a", "b", "c"} {
		f.listMachine(name, "south", strength.Machine{LinkMbps: 100})
		f.recordStatuses(map[string]fleetview.ReceivedStatus{name: {Status: fleetview.Status{Incarnation: 1, Ready: true}, ReceivedAt: f.clk.Now()}})
	}
	e := &Edge{clock: f.clk, log: zap.NewNop(), metrics: newMetrics(tally.NoopScope), fleet: f.fleet, network: slowNetwork{delay: 700 * time.Millisecond},
		options: Options{Self: peer.Identity{Instance: "self", Region: "south"}}}
	store := &countedFeed{}
	feed := &relayedFeed{edge: e, prefix: "p/", direct: store}
	entries, asOf, err := feed.ListAll(t.Context(), "p/")
	if err != nil || len(entries) != 1 || asOf.Revision != 7 || store.reads != 0 {
		t.Errorf("%d entries as of %d, %d reads of the store, %v", len(entries), asOf, store.reads, err)
	}
}

// Guards against a restarted instance that learns its parent's new certificate only seconds after the parent has been restarted too: until then
// the two cannot exchange messages, and all instances of the region read the store themselves.
func TestRestartedInstanceLearnsNewCertificatesSoon(t *testing.T) {
	f := newTestFleet(t)
	f.read = true
	f.listMachine("a", "south", strength.Machine{LinkMbps: 100})
	for _, firstStart := range []bool{true, false} {
		e := &Edge{clock: f.clk, log: zap.NewNop(), fleet: f.fleet, options: Options{FirstStart: firstStart}}
		feed := &relayedFeed{edge: e, prefix: InstancePrefix, startedAt: f.clk.Now()}
		if pause := feed.startPause(); firstStart != (pause == crowdPause) || !firstStart && pause > restartWait/4 {
			t.Errorf("first start %t: a pause of %s", firstStart, pause)
		}
	}
}
