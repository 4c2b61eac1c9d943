package edge

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/fleetview"
	"dogwoodknot.example/dogwoodknot/internal/core/strength"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

func version(era, revision int64) platform.Version {
	return platform.Version{Era: era, Revision: revision}
}

func written(era int64, key, value string, revision int64) platform.Change {
	return platform.Change{Entry: platform.Entry{Key: key, Value: []byte(value), Revision: revision, Era: era}}
}

// Guards against entries that are ignored after a restore, since the store has given out lower revisions, or that count as older than an end
// of an evacuation from before the restore; and against an end that goes unnoticed for the same reason.
func TestEntriesAfterARestoreAreNotOlder(t *testing.T) {
	const coldPeriod = 3 * time.Second
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	s := newState(&Options{Clock: clk, Log: zap.NewNop(), Regions: map[string]string{"a": "north"}, Documents: evacuationDocuments{}})
	s.onChange = func() {}
	conf, err := catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: "m", ColdPeriod: coldPeriod}}})
	if err != nil {
		t.Fatal(err)
	}
	s.configuration.Store(&inForce{Configuration: conf})
	cold := func(want time.Duration, when string) {
		t.Helper()
		if got := max(s.endpoints["1"].ColdUntil.Sub(clk.Now()), 0); got != want {
			t.Errorf("%s: the endpoint is cold for %s, want %s", when, got, want)
		}
	}
	ended := func(era, revision int64) platform.Change {
		return platform.Change{Entry: platform.Entry{Key: "out/a", Revision: revision, Era: era}, Deleted: true}
	}
	s.applyEndpoints(mirror.Update{Reset: true, AsOf: version(1, 60), Changes: []platform.Change{written(1, "1", "0s", 60)}})
	s.applyOperator(mirror.Update{AsOf: version(1, 50), Changes: []platform.Change{written(1, "out/a", "", 40), ended(1, 50)}})
	clk.Advance(time.Second)
	restored := mirror.Update{Reset: true, AsOf: version(2, 45), Restored: true, RestoredTo: 45}
	s.applyOperator(restored)
	restored.Changes = []platform.Change{written(1, "1", "0s", 60)} // kept
	s.applyEndpoints(restored)
	s.applyEndpoints(mirror.Update{AsOf: version(2, 46), RestoredTo: 45, Changes: []platform.Change{written(2, "1", "1s", 46)}})
	cold(time.Second, "written again after the end of the evacuation")
	s.applyEndpoints(mirror.Update{AsOf: version(2, 47), RestoredTo: 45, Changes: []platform.Change{written(2, "1", "0s", 44)}})
	cold(time.Second, "an older entry")
	s.applyOperator(mirror.Update{AsOf: version(2, 49), Changes: []platform.Change{written(2, "out/a", "", 48), ended(2, 49)}})
	cold(coldPeriod, "another evacuation begins and ends between two reads")
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

// Guards against crashes that are not in the store any more when all instances restart after it was restored from a copy.
func TestLostCrashesAreWrittenAgain(t *testing.T) {
	store := memory.NewStore(memory.StoreOptions{})
	k := newCrashKeeper(t, store, time.Unix(1e9, 0), time.Hour)
	listed := func(era int64) {
		k.edge.fleet.onChange = func() {}
		k.edge.fleet.apply(mirror.Update{AsOf: version(era, 100)})
	}
	listed(1)
	before := store.Snapshot()
	k.crash(1, 5)
	k.run(5 * time.Second)
	if k.keys() != 1 {
		t.Fatalf("%d keys after a crash", k.keys())
	}
	store.Restore(before)
	listed(2)
	k.run(time.Second)
	if k.keys() != 1 {
		t.Errorf("%d keys after the restore, want 1", k.keys())
	}
}

// statedDocuments reads an entry of an endpoint as its start and "draining".
type statedDocuments struct{ Documents }

func (statedDocuments) EndpointID(key string) (string, bool) { return strings.CutPrefix(key, "e/") }

func (statedDocuments) DecodeEndpoint(id string, value []byte, _ clock.Instant) (catalog.Endpoint, error) {
	start, draining := strings.CutSuffix(string(value), " draining")
	millis, err := strconv.ParseInt(start, 10, 64)
	return catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id, StartedAtMillis: millis}, Draining: draining}, err
}

// Guards against an earlier incarnation of an endpoint, or one that did not drain yet, that counts as later than the known entry.
func TestEntriesThatSayThatTheyAreLater(t *testing.T) {
	s := newState(&Options{Clock: &clock.Manual{}, Log: zap.NewNop(), Documents: statedDocuments{}})
	for _, tc := range []struct {
		key, entry, other string
		want              bool
	}{
		{"e/1", "5", "5", false},
		{"e/1", "5 draining", "5", true},
		{"e/1", "5", "5 draining", false},
		{"e/1", "5 draining", "5 draining", false},
		{"e/1", "6", "5 draining", true},
		{"e/1", "5 draining", "6", false},
		{"e/1", "x", "5", false},
		{"e/1", "6", "x", false},
		{"p/1", "6", "5", false},
	} {
		if got := s.laterEntry(platform.Entry{Key: tc.key, Value: []byte(tc.other)}, platform.Entry{Key: tc.key, Value: []byte(tc.entry)}); got != tc.want {
			t.Errorf("%s: %q after %q: later is %v", tc.key, tc.entry, tc.other, got)
		}
	}
}
