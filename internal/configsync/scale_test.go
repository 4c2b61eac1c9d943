package configsync

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
)

// Bounds of a daemon's control traffic in two years, of which the configuration may take a part only.
const (
	maxHeapBytes = 40 << 20 // of 64 MB
	// maxChangeBytes is what the relay may send for a change. 560 changes a day are one each 154 s, so that with the 56
	// neighbours of the largest data centre and 3 KB/s of the 21 KB/s a change may take 8 KB at each.
	maxChangeBytes = 8 << 10
)

// scaleConfig has the number of organisations of two years, each with a declared key.
func scaleConfig() *config.Config {
	cfg := &config.Config{Regions: []config.Region{{Name: "lima", DataCentres: []string{"lima"}, Slots: 26}}}
	for i := range 34_000 {
		cfg.Organisations = append(cfg.Organisations, config.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), Rate: 100, Burst: 5000, Weight: 1,
			Keys: []config.Key{{ID: fmt.Sprintf("key-%d", i), SHA256: fmt.Sprintf("%064x", uint64(i)*0x9e3779b97f4a7c15)}},
		})
	}
	return cfg
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // frees what finalizers of the first have released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a view or a push that outgrows a daemon's share at 34,000 organisations.
func TestScale(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	f := newFleet(t)
	// The periods of a daemon, but a longer timeout: the race detector makes decoding ten times slower.
	f.exchange, f.timeout, f.watch = 4*time.Second, 5*time.Second, 3*time.Second
	r, err := f.store.Apply(t.Context(), scaleConfig(), configstore.Change{})
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	f.start("lima-0", "lima")
	f.waitFor(r.Head.Revision)
	t.Logf("boot from the store: %s", time.Since(start).Round(time.Millisecond))
	const more = 1
	before := heapBytes()
	for i := range more {
		f.start(fmt.Sprintf("lima-%d", i+1), "lima")
	}
	f.waitFor(r.Head.Revision)
	heap := (heapBytes() - before) / more
	t.Logf("heap of one instance: %.1f MB", float64(heap)/(1<<20))
	if heap > maxHeapBytes {
		t.Errorf("one instance holds %d bytes, more than %d", heap, maxHeapBytes)
	}
	relay := f.relayOf("lima")
	net := f.syncers[relay].opts.Network.(*fakeNetwork)
	sent := net.sentBytes()
	_, issued, err := f.store.IssueKey(t.Context(), "organisation-00007", configstore.Change{})
	if err != nil {
		t.Fatal(err)
	}
	start = time.Now()
	f.waitFor(issued.Head.Revision)
	change := (net.sentBytes() - sent) / more
	t.Logf("change in force on all after %s, relay sent %d bytes to each", time.Since(start).Round(time.Millisecond), change)
	if change > maxChangeBytes {
		t.Errorf("the relay sent %d bytes for a change to each, more than %d", change, maxChangeBytes)
	}
}
