package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/mirror"
)

// Calls to the store have a cost each. This file decides how often it is called at rest, and which instances read it at a start.

const (
	// endpointPause is the pause between watches of the endpoints' keys. Endpoints renew them every 1.2 s each, so that each watch of
	// a large deployment ends at once. A change is known to the whole region after the pause, the watch, and the pause of the instances
	// that read through another one: about 1 s, and 3.4 s if a watch is lost (1.2 s wait, 1 s until its call is given up, 0.1 s until the
	// list, 0.3 s for that, 0.6 s pause, 0.2 s for the others). It must be known within 4 s.
	endpointPause = 600 * time.Millisecond
	// endpointRelist and instanceRelist are the times after which all keys are listed again. A change that a watch has missed shows
	// with the next renewal of an endpoint's key; only a missed deletion waits for the list, and the endpoint declines requests until
	// then. Announcements are not renewed, but instances that exchange messages do not depend on them.
	endpointRelist = 15 * time.Second
	instanceRelist = 10 * time.Second
	// crowdPause is the pause between watches of the announcements while the instances of a region start together: each announcement
	// would end a watch of each instance. restartPause is the one of a restart: until an instance has read its parent's new certificate,
	// the two cannot exchange messages, and the instance knows the old one from the announcement that has not expired yet.
	crowdPause   = time.Second
	restartPause = 300 * time.Millisecond
	// firstStartWait is how long an instance that starts with the whole system waits for the reader of its region before it reads
	// operators' and endpoints' keys itself. The first callers come ten seconds after the start.
	firstStartWait = 6 * time.Second
	// firstStartSettling is how long after its first start the highest-ranked instance waits until it reads the store: instances
	// that rank higher are likely to be listed by then.
	firstStartSettling = 700 * time.Millisecond
	// smallRegionAfter is how long after the start a region with too few announced instances may still have more.
	smallRegionAfter = 1500 * time.Millisecond
	// restartWait is how long a restarted instance waits for its parent, which serves at once unless it was restarted too.
	restartWait = 2 * time.Second
	// relayPollInterval is the interval of checks for a relay at a start.
	relayPollInterval = 25 * time.Millisecond
)

// After a restore of the store, operators and endpoints write again what it has lost.
const (
	// oldEvacuationHeld is how long an evacuation of the copy is not followed if its end is known: less than the 4 s within which a new
	// one must be in force.
	oldEvacuationHeld = 2 * time.Second
	// lostEvacuationKept is how long an evacuation that the copy lacks is followed.
	lostEvacuationKept = 5 * time.Second
	// oldEndpointHeld is how long an entry of the copy is not used if a later one of the endpoint, or its end, is known. By then the store
	// has removed the entries that are not renewed, after three intervals of 1.2 s.
	oldEndpointHeld = 5 * time.Second
)

// recovery returns what happens to the feed's keys after a restore of the store.
func (f *relayedFeed) recovery() mirror.Recovery {
	documents := f.edge.options.Documents
	switch f.prefix {
	case InstancePrefix:
		own := InstancePrefix + f.edge.options.Self.Instance
		return mirror.Recovery{HoldFor: leaseTerm, KeepFor: leaseTerm, Exempt: func(key string) bool { return key == own }}
	case documents.Prefixes().Endpoints:
		return mirror.Recovery{HoldFor: oldEndpointHeld, KeepFor: outageGrace, Later: f.edge.state.laterEntry}
	}
	return mirror.Recovery{HoldFor: oldEvacuationHeld, KeepFor: lostEvacuationKept, Exempt: documents.IsConfiguration}
}

// cadence returns how often the store is called for the feed's keys.
func (f *relayedFeed) cadence() mirror.Cadence {
	c := mirror.DefaultCadence
	switch f.prefix {
	case InstancePrefix:
		c.RelistAfter = instanceRelist
		c.PauseNow = f.startPause
	case f.edge.options.Documents.Prefixes().Endpoints:
		c.Pause, c.RelistAfter = endpointPause, endpointRelist
	}
	return c
}

// startPause returns the pause between watches of the announcements while this instance starts and will read through another one.
func (f *relayedFeed) startPause() time.Duration {
	switch {
	case !f.waitsForRelay() || !f.edge.fleet.isOutranked():
		return 0
	case f.edge.options.FirstStart:
		return crowdPause
	}
	return restartPause
}

// awaitRelay waits at a start until the relay may be used, and returns true, or until this instance should read the store itself. The
// list of instances is always read at once, since the relay is chosen from it.
func (f *relayedFeed) awaitRelay(ctx context.Context) bool {
	if f.prefix == InstancePrefix || !f.waitsForRelay() {
		return false
	}
	began, usable := f.edge.clock.Now(), false
	for !usable && f.waitsForRelay() && clock.Sleep(ctx, relayPollInterval) == nil {
		_, usable = f.edge.fleet.storeRelay()
	}
	f.edge.metrics.startReads(!usable)
	f.edge.log.Info("start has waited for the reader of the store", zap.String("prefix", f.prefix), zap.Bool("reads_through_it", usable),
		zap.Duration("took", f.edge.clock.Now().Sub(began)))
	return usable
}

// waitsForRelay reports whether an instance that has just started should wait for the region's reader of the store. It does not wait
// once it has read this feed's keys, if it is the reader, or if its region is too small to have one.
func (f *relayedFeed) waitsForRelay() bool {
	e := f.edge
	if f.startedAt == 0 {
		return false
	}
	elapsed, wait, settling := e.clock.Now().Sub(f.startedAt), restartWait, time.Duration(0)
	if e.options.FirstStart {
		wait, settling = firstStartWait, firstStartSettling
	}
	if elapsed >= wait || f.hasSource() {
		return false
	}
	if elapsed < settling || !e.fleet.announcementsRead() {
		return true
	}
	return e.fleet.isOutranked() && (elapsed < smallRegionAfter || e.fleet.regionSize() >= minRelayInstances)
}

// hasSource reports whether the feed reads through another instance.
func (f *relayedFeed) hasSource() bool { return f.Source() != "" }

// announcementsRead reports whether the announcements have been read at least once.
func (f *fleet) announcementsRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read
}
