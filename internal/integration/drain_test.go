package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// ctl runs the operators' command and fails the test if it does not succeed.
func (d *deployment) ctl(t *testing.T, args ...string) {
	t.Helper()
	settings := []string{"--store", d.store().url(), "--instances", d.list().url(), "--author", "integration"}
	out, err := exec.Command(filepath.Join(d.dir, "dogwoodctl"), append(settings, args...)...).CombinedOutput()
	if err != nil {
		t.Errorf("dogwoodctl %v: %v: %s", args, err, out)
	}
}

// drain runs a command that drains something and returns when the drain must be in force. It is undone at the end of the test.
func (d *deployment) drain(t *testing.T, args ...string) {
	t.Helper()
	t.Cleanup(func() { d.ctl(t, append(args, "--undo", "--wait")...) })
	begun := time.Now()
	d.ctl(t, append(args, "--wait")...)
	if took := time.Since(begun); took > inForceWithin {
		t.Errorf("the drain was in force after %s", took)
	}
}

const (
	drainStreams = 6
	// drainTokens take 6 s, longer than a drain takes to be in force in a healthy deployment.
	drainTokens = 600
)

// streams are chats that run side by side.
type streams struct {
	sync.WaitGroup
	started, ended atomic.Int64
}

// follow starts streams at an instance and waits until all run and the engine serves at least one of them.
func (d *deployment) follow(t *testing.T, entry *instance, engine *standinProcess, name string) *streams {
	t.Helper()
	var callers streams
	before := d.engineCounts(t, engine).Received
	for n := range drainStreams {
		callers.Go(func() {
			prompt := fmt.Sprintf("%s %d", name, n)
			s := d.chat(entry, d.keys["general"], prompt, drainTokens, func(n int) {
				if n == 3 {
					callers.started.Add(1)
				}
			})
			callers.ended.Add(1)
			s.wantWhole(t, prompt, drainTokens)
		})
	}
	if !poll(callWithin, func() bool { return callers.started.Load() == drainStreams }) {
		t.Error("streams do not start")
	}
	if d.engineCounts(t, engine).Received == before {
		t.Errorf("%s serves none of the streams", engine.name)
	}
	return &callers
}

// wantInFlight fails the test unless all streams are still running.
func (s *streams) wantInFlight(t *testing.T) {
	t.Helper()
	if n := s.ended.Load(); n > 0 {
		t.Errorf("%d streams have ended before the drain was in force", n)
	}
}

// Point 11. Guards against new work at an endpoint that operators drain, and against streams in flight there that are cut.
func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	d := running(t)
	engine, entry := d.standin("engine-cusco-1"), d.instance("cusco-1")
	callers := d.follow(t, entry, engine, "drained endpoint")
	d.drain(t, "endpoints", "drain", engine.name)
	callers.wantInFlight(t)
	before := d.engineCounts(t, engine).Received
	for n := range 16 {
		prompt := fmt.Sprintf("after the drain %d", n)
		s := d.chat(entry, d.keys["general"], prompt, 2, nil)
		s.wantWhole(t, prompt, 2)
	}
	if n := d.engineCounts(t, engine).Received - before; n != 0 {
		t.Errorf("the drained endpoint got %d new requests", n)
	}
	callers.Wait()
	d.ctl(t, "endpoints", "drain", engine.name, "--undo", "--wait")
	d.wantWork(t, entry, engine)
}

// wantWork fails the test if an engine gets none of the chats at an instance.
func (d *deployment) wantWork(t *testing.T, entry *instance, engine *standinProcess) {
	t.Helper()
	before := d.engineCounts(t, engine).Received
	got := poll(readyWithin, func() bool {
		s := d.chat(entry, d.keys["general"], fmt.Sprintf("work again %d", time.Now().UnixNano()), 2, nil)
		return s.whole && d.engineCounts(t, engine).Received > before
	})
	if !got {
		t.Errorf("%s gets no work after the drain was undone", engine.name)
	}
}

// entries returns the names of the entries that an instance names to the callers of an organisation.
func (d *deployment) entries(t *testing.T, at *instance) []string {
	t.Helper()
	a := d.request(context.Background(), at, http.MethodGet, "/v1/entries", d.keys["general"], nil, "")
	var out struct{ Entries []struct{ Name string } }
	if err := json.Unmarshal([]byte(a.body), &out); err != nil || a.status != http.StatusOK {
		t.Fatalf("entries of %s: %+v", at.name, a)
	}
	var names []string
	for _, e := range out.Entries {
		names = append(names, e.Name)
	}
	return names
}

// Points 8 and 11. Guards against new work at the endpoints of a data centre that operators drain, callers that are sent to its
// instances, requests that no other data centre serves, and streams in flight that are cut. lima-a has all endpoints of its
// region but one engine.
func TestDrainedDataCentreGetsNoNewWork(t *testing.T) {
	d := running(t)
	engine, service := d.standin("engine-lima-1"), d.standin("service-lima")
	inside, outside := d.instance("lima-1"), d.instance("lima-2")
	if names := d.entries(t, outside); !slices.Contains(names, inside.name) {
		t.Errorf("%s is not among the entries before the drain: %v", inside.name, names)
	}
	callers := d.follow(t, inside, engine, "drained data centre")
	d.drain(t, "data-centre", "drain", inside.at.dataCentre)
	callers.wantInFlight(t)
	engineBefore, serviceBefore := d.engineCounts(t, engine).Received, d.received(t, service)
	for n := range 16 {
		entry := d.instances[n%2] // lima-1 and lima-2
		prompt := fmt.Sprintf("after the drain %d", n)
		s := d.chat(entry, d.keys["general"], prompt, 2, nil)
		s.wantWhole(t, prompt, 2)
		body := fmt.Sprintf(`{"drained":%d}`, n)
		if a := d.book(entry, "general", "", body); a.execution != "ran" || a.region == "lima" {
			t.Errorf("%s: booking: %+v", entry.name, a)
		}
		if got := d.executions(t, body); got != 1 {
			t.Errorf("booking %d was executed %d times", n, got)
		}
	}
	if n := d.engineCounts(t, engine).Received - engineBefore; n != 0 {
		t.Errorf("the drained data centre's engine got %d new requests", n)
	}
	if n := d.received(t, service) - serviceBefore; n != 0 {
		t.Errorf("the drained data centre's service got %d new requests", n)
	}
	for _, i := range d.instances {
		if names := d.entries(t, i); slices.Contains(names, inside.name) || !slices.Contains(names, outside.name) {
			t.Errorf("entries that %s names: %v", i.name, names)
		}
	}
	callers.Wait()
	d.ctl(t, "data-centre", "drain", inside.at.dataCentre, "--undo", "--wait")
	d.wantWork(t, inside, engine)
	if a := d.book(inside, "general", "", `{"drained":"no more"}`); a.execution != "ran" || a.region != "lima" {
		t.Errorf("booking after the drain was undone: %+v", a)
	}
	if names := d.entries(t, outside); !slices.Contains(names, inside.name) {
		t.Errorf("%s is not among the entries after the drain was undone: %v", inside.name, names)
	}
}

// Point 11. Guards against callers that are left without service where the only data centre of a region is drained, and
// against entries that still name its instance.
func TestDrainedRegionIsServedElsewhere(t *testing.T) {
	d := running(t)
	alone := d.instance("cusco-1")
	d.drain(t, "data-centre", "drain", alone.at.dataCentre)
	const prompt, body = "no endpoint in cusco", `{"drained":"cusco"}`
	s := d.chat(alone, d.keys["general"], prompt, 8, nil)
	s.wantWhole(t, prompt, 8)
	if s.region == alone.at.region {
		t.Errorf("chat was served in %s", s.region)
	}
	if a := d.book(alone, "general", "", body); a.execution != "ran" || a.region == alone.at.region {
		t.Errorf("booking: %+v", a)
	}
	if n := d.executions(t, body); n != 1 {
		t.Errorf("booking was executed %d times", n)
	}
	for _, i := range d.instances {
		if names := d.entries(t, i); slices.Contains(names, alone.name) || len(names) < 3 {
			t.Errorf("entries that %s names: %v", i.name, names)
		}
	}
}

// received returns the requests that have reached a plain service.
func (d *deployment) received(t *testing.T, s *standinProcess) int64 {
	t.Helper()
	var e struct {
		Received int64 `json:"received"`
	}
	if err := d.getJSON(s.url()+"/service/v1/executions", &e); err != nil {
		t.Fatal(err)
	}
	return e.Received
}
