package edge

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

func version(era, revision int64) platform.Version {
	return platform.Version{Era: era, Revision: revision}
}

// eraNetwork answers each call as of an era.
type eraNetwork struct {
	Network
	era int64
}

func (n eraNetwork) Call(_ context.Context, _, _ string, _, answer proto.Message) error {
	proto.Merge(answer, &wire.EdgeFeedAnswer{AsOf: 7, Era: n.era, Changes: []*wire.EdgeFeedChange{{Key: "p/a"}}})
	return nil
}

// Guards against an instance that returns to the state before a restore, because it reads through one that has not noticed it yet.
func TestNoReadOfAnEarlierEra(t *testing.T) {
	for name, tc := range map[string]struct {
		seen, answered int64
		direct         int   // reads of the store itself
		era            int64 // of the result
	}{
		"an earlier era":                   {seen: 3, answered: 2, direct: 1, era: 0},
		"a later era":                      {seen: 3, answered: 4, era: 4},
		"an instance that knows of no era": {seen: 3, answered: 0, era: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			for _, name := range []string{"a", "b", "c"} {
				f.listMachine(name, "south", strength.Machine{LinkMbps: 100})
				f.recordStatuses(map[string]fleetview.ReceivedStatus{name: {Status: fleetview.Status{Incarnation: 1, Ready: true}, ReceivedAt: f.clk.Now()}})
			}
			e := &Edge{clock: f.clk, log: zap.NewNop(), metrics: newMetrics(tally.NoopScope), fleet: f.fleet, network: eraNetwork{era: tc.answered},
				options: Options{Self: peer.Identity{Instance: "self", Region: "south"}}}
			store := &countedFeed{}
			feed := &relayedFeed{edge: e, prefix: "p/", direct: store, era: tc.seen}
			entries, asOf, err := feed.ListAll(t.Context(), "p/")
			if tc.direct > 0 {
				if err != nil || store.reads != tc.direct {
					t.Errorf("%d reads of the store, %v", store.reads, err)
				}
				return
			}
			if err != nil || store.reads != 0 || asOf != version(tc.era, 7) || entries[0].Era != tc.era {
				t.Errorf("%v as of %v, %d reads of the store, %v", entries, asOf, store.reads, err)
			}
		})
	}
}

// Guards against a restore of the store that shows in no metric, or in several counts of one instance.
func TestRestoresAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	e := &Edge{metrics: newMetrics(scope)}
	for _, prefix := range []string{"p/", InstancePrefix} {
		feed := &relayedFeed{edge: e, prefix: prefix}
		for _, era := range []int64{0, 2, 2, 0, 3} {
			asOf := version(era, 1)
			if err := feed.admit(&asOf); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := scope.Snapshot().Counters()["store_restored+"].Value(); n != 1 {
		t.Errorf("%d restores are counted, want 1", n)
	}
}
