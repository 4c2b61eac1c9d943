package edge

import (
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/catalog"
	"dogwoodknot.example/dogwoodknot/internal/core/endpointnotice"
)

// Guards against idle connections that are kept to an endpoint which is leaving, and against the close of those to an endpoint that has
// taken over its address or only asks to wait.
func TestIdleConnectionsToLeavingEndpoints(t *testing.T) {
	e, _ := testEdge(t)
	now := e.clock.Now()
	for id, addr := range map[string]string{"leaves": "a", "left": "b", "new": "b", "waits": "c"} {
		e.state.endpoints[id] = listedEndpoint{Endpoint: catalog.Endpoint{Incarnation: catalog.Incarnation{ID: id}, Addr: addr}}
	}
	for id, said := range map[string]endpointnotice.Said{"leaves": {Leaving: true}, "left": {Leaving: true}, "waits": {Wait: time.Second}} {
		e.observeNotice("r", catalog.Incarnation{ID: id}, said)
	}
	keep := e.mayKeepConnections()
	for addr, want := range map[string]bool{"a": false, "b": true, "c": true, "unlisted": false} {
		if keep(addr) != want {
			t.Errorf("connections to %s are kept: %v", addr, keep(addr))
		}
	}
	if leaving, waiting := e.pools.pruneNotices(now, e.state.knownIncarnation()); leaving != 2 || waiting != 1 {
		t.Errorf("%d endpoints leave and %d wait", leaving, waiting)
	}
}
