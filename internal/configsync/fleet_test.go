package configsync

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/configstore"
)

// inForceWithin is the time within which a change must be in force everywhere.
const inForceWithin = 7 * time.Second

// fleetSize is the number of instances in five data centres. DOGWOODKNOT_FLEET sets another, such as 390 for the size of two
// years in a trial.
func fleetSize(t *testing.T) int {
	text := os.Getenv("DOGWOODKNOT_FLEET")
	if text == "" {
		return 20
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a change that takes too long to reach a fleet with the periods of a daemon, also when a relay hangs right before
// it, and against instances that load the store while nothing changes.
func TestFleetWithDaemonPeriods(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	const dataCentres = 5
	f := newFleet(t)
	f.exchange, f.timeout, f.watch = 0, 0, 0 // the defaults
	n := fleetSize(t)
	f.apply(100)
	for i := range n {
		f.start(fmt.Sprintf("i-%d", i), fmt.Sprintf("dc-%d", i%dataCentres))
	}
	const idle = 4 * time.Second
	reads, sent := f.totals()
	time.Sleep(idle)
	readsAfter, sentAfter := f.totals()
	perSecond := float64(readsAfter-reads) / idle.Seconds()
	t.Logf("idle: %.1f reads/s of the store, %.0f bytes/s sent by each of %d", perSecond, float64(sentAfter-sent)/idle.Seconds()/float64(n), n)
	// Each relay reads the head and watches it every 3 s; the fake counts reads of the head only.
	if perSecond > dataCentres {
		t.Errorf("%.1f reads/s of the store while nothing changes", perSecond)
	}
	f.measure("change", func() { f.apply(200) })
	hung := f.relayOf("dc-0")
	f.fabric.setCut(hung, true)
	f.kv.setOut(hung, true)
	delete(f.syncers, hung)
	f.measure("change with a hung relay", func() { f.apply(300) })
	key, r, err := f.store.IssueKey(t.Context(), "acme", configstore.Change{})
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor(r.Head.Revision)
	start := time.Now()
	for _, s := range f.syncers {
		s.Withdraw(context.Background(), []string{key.ID})
		break
	}
	for name, s := range f.syncers {
		eventually(t, "key withdrawn at "+name, func() bool { return s.View().KeyWithdrawn(key.ID) })
	}
	t.Logf("withdrawal in force everywhere after %s", time.Since(start).Round(time.Millisecond))
	if d := time.Since(start); d > inForceWithin {
		t.Errorf("withdrawal took %s", d)
	}
}

// measure makes a change and checks when it is in force at all instances.
func (f *fleet) measure(what string, change func()) {
	f.t.Helper()
	change()
	start := time.Now()
	head, _, err := f.store.Head(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	f.waitFor(head.Revision)
	d := time.Since(start)
	f.t.Logf("%s in force everywhere after %s", what, d.Round(time.Millisecond))
	if d > inForceWithin {
		f.t.Errorf("%s took %s", what, d)
	}
}

// totals returns the reads of the store and the bytes that all instances have sent.
func (f *fleet) totals() (reads, sent int) {
	for name, s := range f.syncers {
		reads += f.kv.readsOf(name)
		sent += s.opts.Network.(*fakeNetwork).sentBytes()
	}
	return reads, sent
}
