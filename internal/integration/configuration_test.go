package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// renewal is the time between two looks of an instance at the slots, with four instances.
const renewal = 3 * time.Second

var changeOfTest = configstore.Change{Author: "integration test"}

// headGate returns the URL of a way to the store that holds writes of the configuration's head back until two of them have come.
// Both have been built on the same head then, so that their writers collide for certain.
func headGate(t *testing.T, store string) string {
	t.Helper()
	var writers atomic.Int64
	both := make(chan struct{})
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/"+configstore.HeadKey) {
			if writers.Add(1) == 2 {
				close(both)
			}
			select {
			case <-both:
			case <-time.After(callWithin):
				t.Error("only one operator writes the head")
			}
		}
		passOn(w, r, store)
	}))
	t.Cleanup(gate.Close)
	return gate.URL
}

// passOn sends a request to the store and its answer back.
func passOn(w http.ResponseWriter, r *http.Request, store string) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, store+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	req.Header, req.ContentLength = r.Header.Clone(), r.ContentLength
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body) // the command reports a cut answer
}

// apply runs the operators' command on a configuration in which the weight of an organisation is changed.
func (d *deployment) apply(t *testing.T, store, name string, weight int) (code int, output string) {
	t.Helper()
	text := strings.Replace(d.base(), "{name: general,", fmt.Sprintf("{name: general, weight: %d,", weight), 1)
	path := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(d.dir, "dogwoodctl"), "--store", store, "--instances", d.list().url(), "--author", name, "apply", path)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// revisions returns the revision in force at each instance.
func (d *deployment) revisions(t *testing.T) []int64 {
	t.Helper()
	var out []int64
	for _, i := range d.instances {
		s, err := d.status(i)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, s.Revision)
	}
	return out
}

// inForce waits until every instance has a revision above the given one, all the same, and returns it.
func (d *deployment) inForce(t *testing.T, above int64) int64 {
	t.Helper()
	var seen []int64
	ok := poll(inForceWithin, func() bool {
		seen = d.revisions(t)
		for _, r := range seen {
			if r != seen[0] || r <= above {
				return false
			}
		}
		return true
	})
	if !ok {
		t.Fatalf("revisions in force after %s: %v, want one above %d", inForceWithin, seen, above)
	}
	return seen[0]
}

// Point 13. Guards against a configuration that is lost in a race of operators, is not in force everywhere within seconds, or
// reverts when the store comes back with older data.
func TestConfigurationInForceNeverReverts(t *testing.T) {
	d := running(t)
	first := d.inForce(t, 0)
	if !poll(readyWithin, func() bool { return d.slotsRecorded(t) }) {
		t.Fatalf("records of slots are not those of their owners: %s", d.slotRecords())
	}
	d.must(t, d.post(d.store().url()+"/standin/v1/snapshots/old", "{}"))

	type result struct {
		code   int
		output string
	}
	results := make(chan result, 2)
	gate := headGate(t, d.store().url())
	for n, name := range []string{"ana", "beto"} {
		go func() {
			code, out := d.apply(t, gate, name, n+2)
			results <- result{code, out}
		}()
	}
	a, b := <-results, <-results
	switch {
	case a.code == 0 && b.code == 4, a.code == 4 && b.code == 0:
	default:
		t.Errorf("racing operators got codes %d and %d: %s\n%s", a.code, b.code, a.output, b.output)
	}
	second := d.inForce(t, first)

	d.must(t, d.post(d.store().url()+"/standin/v1/snapshots/old/restore", "{}"))
	if head, _, err := d.config.Head(t.Context()); err != nil || head.Revision != first {
		t.Errorf("the store does not hold the older data: %+v, %v", head, err)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n, r := range d.revisions(t) {
			if r < second {
				t.Fatalf("%s reverted from revision %d to %d", d.instances[n].name, second, r)
			}
		}
	}
	if code, out := d.apply(t, d.store().url(), "carla", 4); code != 0 {
		t.Errorf("apply after the store lost data: code %d: %s", code, out)
	}
	d.inForce(t, second)
}

// slotsRecorded returns whether the store names the instances that hold the slots as their owners, with no predecessor.
func (d *deployment) slotsRecorded(t *testing.T) bool {
	t.Helper()
	var out platform.EntriesJSON
	if err := d.getJSON(d.store().url()+"/v1/kv?prefix=slots/", &out); err != nil {
		t.Fatal(err)
	}
	recorded := 0
	for _, e := range out.Entries {
		var r limits.Record
		if err := json.Unmarshal(e.Value, &r); err != nil {
			t.Fatal(err)
		}
		for _, i := range d.instances {
			s, err := d.status(i)
			if err != nil || s.Incarnation != r.Owner.Incarnation || len(r.Predecessors) > 0 {
				continue
			}
			for _, index := range s.Slots {
				if e.Key == fmt.Sprintf("slots/%s/%d", i.at.region, index) {
					recorded++
				}
			}
		}
	}
	return recorded == len(d.instances)
}

// Guards against a slot that nobody uses any more, with its share of rates and its records, after the store has come back with
// data from before one instance gave the slot to another. The giver reads the older data first.
func TestSlotsAfterStoreWithOlderData(t *testing.T) {
	d := running(t)
	giver, taker := d.instance("lima-1"), d.instance("lima-2")
	t.Cleanup(func() {
		if t.Failed() {
			d.kill(giver.process) // a new incarnation claims the slot, so that other tests can run
			d.must(t, d.dropFromList(giver))
		}
	})
	d.kill(taker.process)
	d.must(t, d.dropFromList(taker))
	ownsBoth := func() bool {
		s, err := d.status(giver)
		return err == nil && len(s.Slots) == 2 && !d.hasPredecessors(t)
	}
	if !poll(readyWithin, ownsBoth) {
		t.Fatalf("%s has not claimed the slots of the killed instance: %s", giver.name, d.slotRecords())
	}
	d.must(t, d.network.acceptAll())
	d.must(t, d.startInstance(taker))
	holds := func() bool {
		return strings.Contains(d.holders(), fmt.Sprintf("%s/%016x", taker.name, d.incarnation(taker)))
	}
	if !poll(readyWithin, holds) {
		t.Fatalf("%s takes no lease", taker.name)
	}
	d.must(t, d.post(d.store().url()+"/standin/v1/snapshots/before", "{}"))
	if !ownsBoth() {
		t.Fatal("the slot was given before the data was kept")
	}
	if err := d.awaitReady(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(renewal + time.Second) // both have read the record of the slot that was given
	d.must(t, taker.signal(syscall.SIGSTOP))
	d.must(t, d.post(d.store().url()+"/standin/v1/snapshots/before/restore", "{}"))
	time.Sleep(renewal + time.Second)
	// Further writes bring the store's revisions above those that the taker knows from before.
	for range 10 {
		if _, _, err := d.config.IssueKey(t.Context(), "general", changeOfTest); err != nil {
			t.Fatal(err)
		}
	}
	d.must(t, taker.signal(syscall.SIGCONT))
	time.Sleep(2 * renewal) // both have seen that the record has changed
	if err := d.awaitReady(); err != nil {
		t.Error(err)
	}
}

// incarnation returns an instance's incarnation, or 0 while it does not answer.
func (d *deployment) incarnation(i *instance) uint64 {
	s, err := d.status(i)
	if err != nil {
		return 0
	}
	return s.Incarnation
}

// hasPredecessors returns whether a slot's record names a former owner that may still use it.
func (d *deployment) hasPredecessors(t *testing.T) bool {
	t.Helper()
	return strings.Contains(d.slotRecords(), `"predecessors"`)
}
