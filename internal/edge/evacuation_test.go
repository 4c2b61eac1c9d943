package edge

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// evacuationDocuments takes keys that begin with "out/" for evacuations, and other values for the time for which an endpoint is cold.
type evacuationDocuments struct{ Documents }

func (evacuationDocuments) IsConfiguration(string) bool { return false }

func (evacuationDocuments) EvacuatedDataCentre(key string) (string, bool) {
	return strings.CutPrefix(key, "out/")
}

func (evacuationDocuments) EndpointID(key string) (string, bool) { return key, true }

func (evacuationDocuments) DecodeEndpoint(id string, value []byte, now clock.Instant) (catalog.Endpoint, error) {
	left, err := time.ParseDuration(string(value))
	e := catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id, StartedAtMillis: 1}, Service: "m", Addr: "10.0.0.1:" + id, DataCentre: "a"}
	if left > 0 {
		e.ColdUntil = now.Add(left)
	}
	return e, err
}

// Guards against a cold endpoint that gets the requests which the others of its data centre may not take after an evacuation, since its last
// entry from before the end arrives after it; and against one that stays limited although it has said since that it is not cold.
func TestEntriesFromBeforeTheEndOfAnEvacuation(t *testing.T) {
	const coldPeriod = 3 * time.Second
	put := func(key, value string, revision int64) platform.Change {
		return platform.Change{Entry: platform.Entry{Key: key, Value: []byte(value), Revision: revision}}
	}
	deleted := func(key string, revision int64) platform.Change {
		return platform.Change{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true}
	}
	for name, tc := range map[string]struct {
		operator []mirror.Update // revision 20 ends the evacuation
		entry    platform.Change // arrives after that
		want     time.Duration   // for which the endpoint is cold
	}{
		"an entry from before": {
			[]mirror.Update{{Changes: []platform.Change{put("out/a", "", 10)}}, {Changes: []platform.Change{deleted("out/a", 20)}}}, put("1", "0s", 19), coldPeriod,
		},
		"the first entry of an endpoint, from before": {
			[]mirror.Update{{Changes: []platform.Change{put("out/a", "", 10)}}, {Changes: []platform.Change{deleted("out/a", 20)}}}, put("2", "0s", 19), coldPeriod,
		},
		"an entry from after": {
			[]mirror.Update{{Changes: []platform.Change{put("out/a", "", 10)}}, {Changes: []platform.Change{deleted("out/a", 20)}}}, put("1", "0s", 21), 0,
		},
		"a cold entry from after": {
			[]mirror.Update{{Changes: []platform.Change{put("out/a", "", 10)}}, {Changes: []platform.Change{deleted("out/a", 20)}}}, put("1", "2s", 21), 2 * time.Second,
		},
		"a cold entry from before": {
			[]mirror.Update{{Changes: []platform.Change{put("out/a", "", 10)}}, {Changes: []platform.Change{deleted("out/a", 20)}}}, put("1", "5s", 19), 5 * time.Second,
		},
		"the end is found in a list": {
			[]mirror.Update{{Reset: true, AsOf: platform.Version{Revision: 12}, Changes: []platform.Change{put("out/a", "", 10)}}, {Reset: true, AsOf: platform.Version{Revision: 25}}}, put("1", "0s", 19), coldPeriod,
		},
		"begin and end are read at once": {
			[]mirror.Update{{Changes: []platform.Change{put("out/a", "", 10), deleted("out/a", 20)}}}, put("1", "0s", 19), coldPeriod,
		},
		"another data centre": {
			[]mirror.Update{{Changes: []platform.Change{put("out/b", "", 10)}}, {Changes: []platform.Change{deleted("out/b", 20)}}}, put("1", "0s", 19), 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			clk := &clock.Manual{}
			clk.Advance(time.Hour)
			s := newState(&Options{Clock: clk, Log: zap.NewNop(), Regions: map[string]string{"a": "north", "b": "north"}, Documents: evacuationDocuments{}})
			s.onChange = func() {}
			conf, err := catalog.New(catalog.Declaration{Version: 1, Services: []*catalog.Service{{Name: "m", ColdPeriod: coldPeriod}}})
			if err != nil {
				t.Fatal(err)
			}
			s.configuration.Store(&inForce{Configuration: conf})
			s.applyEndpoints(mirror.Update{Reset: true, AsOf: platform.Version{Revision: 5}, Changes: []platform.Change{put("1", "0s", 5)}})
			for _, u := range tc.operator {
				s.applyOperator(u)
			}
			s.applyEndpoints(mirror.Update{Changes: []platform.Change{tc.entry}})
			if got := max(s.endpoints[tc.entry.Key].ColdUntil.Sub(clk.Now()), 0); got != tc.want {
				t.Errorf("the endpoint is cold for %s, want %s", got, tc.want)
			}
			clk.Advance(coldPeriod)
			s.applyOperator(tc.operator[len(tc.operator)-1]) // read again from another source
			if got := s.endpoints["1"].ColdUntil.Sub(clk.Now()); got > 2*time.Second {
				t.Errorf("the endpoint is cold for another %s after the same end is read again", got)
			}
		})
	}
}
