package edge

import (
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Guards against requests that are sent to a crashed endpoint at an address that another one has taken over: that one declines
// them, and a request with one attempt is lost (found on the grown deployments, 93 requests in four seconds after a crash).
func TestCrashedEndpointGivesWayAtItsAddress(t *testing.T) {
	s := newState(&Options{Clock: &clock.Manual{}, Log: zap.NewNop(), Regions: map[string]string{"a": "north"}})
	list := func(id, service, addr string, born int64) {
		s.endpoints[id] = listedEndpoint{Endpoint: catalog.Endpoint{
			Incarnation: catalog.Incarnation{ID: id, StartedAtMillis: born}, Service: service, Addr: addr, DataCentre: "a"}}
	}
	list("old", "m", "10.0.0.1:1", 100)
	list("new", "m", "10.0.0.1:1", 200)
	list("other", "m", "10.0.0.2:1", 50)
	list("taken", "m", "10.0.0.3:1", 60)
	list("foreign", "ledger", "10.0.0.3:1", 70)
	usable := s.usable("north")
	ids := map[string]bool{}
	for _, e := range usable["m"] {
		ids[e.ID] = true
	}
	if len(ids) != 2 || !ids["new"] || !ids["other"] {
		t.Errorf("usable endpoints are %v, want the newest of each address", ids)
	}
	if len(usable["ledger"]) != 1 {
		t.Errorf("%d endpoints of the service that took an address, want 1", len(usable["ledger"]))
	}
}

// Guards against an entry of another writer that hides a good endpoint by repeating its address with a later start: as soon as a request
// to it was declined as misdirected the good one is used, also when the entry is renewed, and for a while only.
func TestMisdirectedEndpointGivesWay(t *testing.T) {
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	s := newState(&Options{Clock: clk, Log: zap.NewNop(), Regions: map[string]string{"a": "north"}, Documents: bornDocuments{}})
	changes := 0
	s.onChange = func() { changes++ }
	entry := func(id, born string, revision int64) platform.Change {
		return platform.Change{Entry: platform.Entry{Key: id, Value: []byte(born), Revision: revision}}
	}
	used := func(want string) {
		t.Helper()
		if list := s.usable("north")["m"]; len(list) != 1 || list[0].ID != want {
			t.Errorf("usable endpoints are %v, want %s", list, want)
		}
	}
	s.applyEndpoints(mirror.Update{Reset: true, Changes: []platform.Change{entry("good", "100", 1), entry("odd", "200", 2)}})
	used("odd")
	changes = 0
	s.recordMisdirected(catalog.Incarnation{ID: "odd", StartedAtMillis: 199}, "10.0.0.1:1")
	used("odd")
	for range 3 {
		s.recordMisdirected(catalog.Incarnation{ID: "odd", StartedAtMillis: 200}, "10.0.0.1:1")
	}
	used("good")
	if changes != 1 {
		t.Errorf("%d changes of the endpoints, want 1", changes)
	}
	s.applyEndpoints(mirror.Update{Changes: []platform.Change{entry("odd", "200", 3)}})
	used("good")
	s.applyEndpoints(mirror.Update{Changes: []platform.Change{entry("odd", "201", 4)}})
	used("odd")
	s.recordMisdirected(catalog.Incarnation{ID: "odd", StartedAtMillis: 201}, "10.0.0.1:1")
	s.applyEndpoints(mirror.Update{Changes: []platform.Change{{Entry: platform.Entry{Key: "good"}, Deleted: true}}})
	used("odd")
	s.applyEndpoints(mirror.Update{Changes: []platform.Change{entry("good", "100", 5)}})
	used("good")
	clk.Advance(misdirectedFor)
	used("odd")
}

// bornDocuments takes the value of an entry for the start of an endpoint at one address.
type bornDocuments struct{ Documents }

func (bornDocuments) EndpointID(key string) (string, bool) { return key, true }

func (bornDocuments) DecodeEndpoint(id string, value []byte, _ clock.Instant) (catalog.Endpoint, error) {
	born, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id, StartedAtMillis: born}, Service: "m", Addr: "10.0.0.1:1", DataCentre: "a"}, err
}
