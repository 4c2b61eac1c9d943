package edgedaemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// Guards against a planned stop that waits for own callers only: the instance leaves the fleet, and what waits there for an endpoint is
// given up, while requests of another region are still in progress.
func TestStopWaitsForForwardedRequests(t *testing.T) {
	store := platformtest.NewStore(t)
	start := func(name, region string) (*Daemon, Settings) {
		s := settings(t, store.Addr)
		s.Name, s.Region, s.DataCentre, s.Regions, s.Grace = name, region, region+"-a", `{"north-a":"north","south-a":"south"}`, 4
		d, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		return d, s
	}
	arrived, finish := make(chan struct{}, 8), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), platformtest.RequestID(r.Header))
		if r.URL.Path == "/again/long" {
			arrived <- struct{}{}
			<-finish
		}
	}))
	defer endpoint.Close()
	store.Put(platformtest.EndpointKey("e1"), platformtest.EndpointEntry{
		Service: "plain", Addr: strings.TrimPrefix(endpoint.URL, "http://"), DataCentre: "south-a", Slots: 8, State: "ready",
	}.Encode())
	store.Put(platformtest.ConfigurationKey, platformtest.Configuration{Version: 1, Organisation: "o", Key: "k", Host: "h",
		Routes: []platformtest.Route{{Prefix: "/again/", Kind: "idempotent", Service: "plain"}}}.Encode())
	north, s := start("n1", "north")
	south, _ := start("s1", "south")
	call := func(id, path string, deadline time.Duration) int {
		status, _ := callInstance(t, s, id, path, deadline) // status 0 tells of an error
		return status
	}
	waitFor(t, "the south does not serve callers of the north", func() bool { return call("probe", "/again/", 5*time.Second) == http.StatusOK })
	answer := make(chan int, 1)
	go func() { answer <- call("long", "/again/long", 3200*time.Millisecond) }()
	<-arrived
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop(t, south)
	}()
	time.Sleep(time.Duration((4*idleStopFraction + 0.3) * float64(time.Second))) // an idle instance would have ended
	if !store.Has("dogwoodknot/instances/s1") {
		t.Error("the instance has left the fleet with a request of another region in progress")
	}
	close(finish)
	if got := <-answer; got != http.StatusOK {
		t.Errorf("the request that was in progress at the stop ends with status %d", got)
	}
	<-stopped
	stop(t, north)
}
