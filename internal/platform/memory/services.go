package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Kinds of calls of the instance list, the directory and the weight store, as used in Counts.
const (
	KindInstances = "instances"
	KindAnnounce  = "announce"
	KindPublish   = "publish"
	KindLookup    = "lookup"
	KindSize      = "size"
)

// InstanceListOptions configure an InstanceList. The zero value has the boot clock, no lag and no rate limit.
type InstanceListOptions struct {
	Clock clock.Clock
	Rates Rates
	Lag   time.Duration // time from a change until the list shows it
}

// InstanceList is an in-memory platform.InstanceList.
type InstanceList struct {
	control
	lag time.Duration

	mu        sync.Mutex
	announced map[string]platform.ListedInstance // rows including changes that are still within the lag
	visible   map[string]platform.ListedInstance
	version   int64 // of the visible rows
	pending   []pendingChange
}

var _ platform.InstanceList = (*InstanceList)(nil)

type pendingChange struct {
	at   clock.Instant
	name string
	row  *platform.ListedInstance // nil removes the row
}

// NewInstanceList returns an empty list.
func NewInstanceList(opts InstanceListOptions) *InstanceList {
	return &InstanceList{
		control:   newControl(opts.Clock, opts.Rates),
		lag:       opts.Lag,
		announced: map[string]platform.ListedInstance{},
		visible:   map[string]platform.ListedInstance{},
	}
}

// Instances implements platform.InstanceList. The rows are in the order of their names.
func (l *InstanceList) Instances(ctx context.Context) ([]platform.ListedInstance, int64, error) {
	var rows []platform.ListedInstance
	var version int64
	err := l.read(ctx, KindInstances, func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.applyPending()
		rows = make([]platform.ListedInstance, 0, len(l.visible))
		for _, row := range l.visible {
			rows = append(rows, row)
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
		version = l.version
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return rows, version, nil
}

// Announce implements platform.InstanceList. Announcing the same row again changes nothing.
func (l *InstanceList) Announce(ctx context.Context, row platform.ListedInstance) error {
	if row.Name == "" {
		return errors.New("announced instance has no name")
	}
	return l.write(ctx, KindAnnounce, func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.announced[row.Name] == row {
			return nil
		}
		l.announced[row.Name] = row
		l.pending = append(l.pending, pendingChange{at: l.clk.Now(), name: row.Name, row: &row})
		return nil
	})
}

// Drop removes the row of a terminated instance, as the platform does. The list shows the removal after its lag.
func (l *InstanceList) Drop(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.announced[name]; !ok {
		return
	}
	delete(l.announced, name)
	l.pending = append(l.pending, pendingChange{at: l.clk.Now(), name: name})
}

// applyPending applies the pending changes that are older than the lag to the visible rows. The caller holds mu.
func (l *InstanceList) applyPending() {
	horizon := l.clk.Now().Add(-l.lag)
	done := 0
	for _, c := range l.pending {
		if horizon.Before(c.at) {
			break
		}
		if c.row != nil {
			l.visible[c.name] = *c.row
		} else {
			delete(l.visible, c.name)
		}
		l.version++
		done++
	}
	l.pending = l.pending[done:]
}

// DirectoryOptions configure a Directory. The zero value has the boot clock and no rate limit.
type DirectoryOptions struct {
	Clock clock.Clock
	Rates Rates
}

// Directory is an in-memory platform.Directory.
type Directory struct {
	control

	mu      sync.Mutex
	regions map[string][]platform.DirectoryEntry
}

var _ platform.Directory = (*Directory)(nil)

// NewDirectory returns an empty directory.
func NewDirectory(opts DirectoryOptions) *Directory {
	return &Directory{
		control: newControl(opts.Clock, opts.Rates),
		regions: map[string][]platform.DirectoryEntry{},
	}
}

// Publish implements platform.Directory.
func (d *Directory) Publish(ctx context.Context, region string, entries []platform.DirectoryEntry) error {
	if region == "" {
		return errors.New("directory region is empty")
	}
	entries = append([]platform.DirectoryEntry{}, entries...)
	return d.write(ctx, KindPublish, func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.regions[region] = entries
		return nil
	})
}

// Lookup implements platform.Directory. A region that was never published has no entries.
func (d *Directory) Lookup(ctx context.Context, region string) ([]platform.DirectoryEntry, error) {
	var out []platform.DirectoryEntry
	err := d.read(ctx, KindLookup, func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		out = append([]platform.DirectoryEntry{}, d.regions[region]...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// WeightStoreOptions configure a WeightStore. The zero value has the boot clock and no rate limit.
type WeightStoreOptions struct {
	Clock clock.Clock
	Rates Rates
}

// WeightStore is an in-memory platform.WeightStore.
type WeightStore struct {
	control

	mu    sync.Mutex
	sizes map[weightKey]int64
}

var _ platform.WeightStore = (*WeightStore)(nil)

type weightKey struct{ model, version string }

// NewWeightStore returns an empty store.
func NewWeightStore(opts WeightStoreOptions) *WeightStore {
	return &WeightStore{
		control: newControl(opts.Clock, opts.Rates),
		sizes:   map[weightKey]int64{},
	}
}

// SetSize adds a version of a model with the size of its weights in bytes.
func (w *WeightStore) SetSize(model, version string, bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes[weightKey{model, version}] = bytes
}

// Size implements platform.WeightStore.
func (w *WeightStore) Size(ctx context.Context, model, version string) (int64, error) {
	var bytes int64
	err := w.read(ctx, KindSize, func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		n, ok := w.sizes[weightKey{model, version}]
		if !ok {
			return errors.Wrapf(platform.ErrNotFound, "weights of model %q version %q", model, version)
		}
		bytes = n
		return nil
	})
	return bytes, err
}
