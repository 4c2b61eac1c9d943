package capacity

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// appliedStore is a store with a configuration in it.
type appliedStore struct {
	kv     *memory.Store
	store  *configstore.Store
	writes float64
	head   *configview.Head
}

func applyConfig(ctx context.Context, cfg *config.Config) (*appliedStore, error) {
	kv := memory.NewStore(memory.StoreOptions{})
	a := &appliedStore{kv: kv, store: configstore.New(kv, configstore.Options{})}
	r, err := a.store.Apply(ctx, cfg, configstore.Change{})
	if err != nil {
		return nil, err
	}
	a.head = r.Head
	a.writes = float64(kv.Counts().Calls[memory.KindPut])
	return a, nil
}

// digests returns the digests that a head names.
func digests(h *configview.Head) []configview.Digest {
	out := []configview.Digest{h.General}
	for _, d := range h.Shards {
		if d != "" {
			out = append(out, d)
		}
	}
	return out
}

func gzipped(content []byte) float64 {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content) // a bytes.Buffer takes every write
	_ = w.Close()
	return float64(b.Len())
}

// view is a state with its content, as a daemon holds it.
type view struct {
	state   *configview.State
	head    *configview.Head
	content map[configview.Digest][]byte
}

// measureConfiguration measures the view in memory, the check of a key, and one change.
func measureConfiguration(ctx context.Context, o Options, s *Section) error {
	at := sizes(o.Organisations)
	var memoryBytes, auth, unknown, storeBytes, bootBytes, bootReads, bootNanos, changeNanos, changeAlloc, changeBytes, headBytes, shardBytes []float64
	for _, n := range at {
		a, err := applyConfig(ctx, configOf(o.Daemons, o.Endpoints, n))
		if err != nil {
			return err
		}
		before := a.kv.Counts().Calls[memory.KindGet]
		content, err := a.store.Content(ctx, a.head, digests(a.head))
		if err != nil {
			return err
		}
		bootReads = append(bootReads, float64(a.kv.Counts().Calls[memory.KindGet]-before+1))
		total, compressed := 0.0, 0.0
		for _, c := range content {
			total += float64(len(c))
			compressed += gzipped(c)
		}
		head, err := a.head.Encode()
		if err != nil {
			return err
		}
		storeBytes = append(storeBytes, total+float64(len(head)))
		bootBytes = append(bootBytes, compressed+gzipped(head))
		headBytes = append(headBytes, gzipped(head))
		v, bytes, err := heapOf(func() (*view, error) {
			state := configview.NewState()
			_, err := state.Accept(a.head, content)
			return &view{state: state, head: a.head, content: content}, err
		})
		if err != nil {
			return err
		}
		memoryBytes = append(memoryBytes, bytes)
		hit, miss, err := v.authenticate(n)
		if err != nil {
			return err
		}
		auth, unknown = append(auth, hit), append(unknown, miss)
		bootNanos = append(bootNanos, costOf(func() { _, _ = configview.NewState().Accept(a.head, content) }).nanos)
		c, shard, err := v.change(n)
		if err != nil {
			return err
		}
		changeNanos, changeAlloc = append(changeNanos, c.nanos), append(changeAlloc, c.bytes)
		shardBytes = append(shardBytes, shard)
		changeBytes = append(changeBytes, shard+gzipped(head))
	}
	add := func(name, unit string, values []float64) error {
		return s.add(name, unit, "organisation", points(at, values)...)
	}
	if err := errors.Join(
		add("view memory", "bytes", memoryBytes),
		add("authenticate a valid key", "ns", auth),
		add("refuse an unknown key", "ns", unknown),
		add("content in the store", "bytes", storeBytes),
		add("content for a boot, gzip", "bytes", bootBytes),
		add("store reads of a boot", "reads", bootReads),
		add("view built at a boot", "ns", bootNanos),
		add("head, gzip", "bytes", headBytes),
		add("shard of a change, gzip", "bytes", shardBytes),
		add("head and shard of a change, gzip", "bytes", changeBytes),
		add("change applied", "ns", changeNanos),
		add("change applied, allocated", "bytes", changeAlloc),
	); err != nil {
		return err
	}
	s.fact("keys per organisation", keysPerOrganisation, "keys")
	if err := measureKeys(ctx, o, s); err != nil {
		return err
	}
	return measureWithdrawn(o, s)
}

// authenticate returns the nanoseconds of a check of a valid key and of an unknown one.
func (v *view) authenticate(organisations int) (hit, miss float64, err error) {
	view := v.state.View()
	const distinct = 1024
	keys := make([]string, 0, distinct)
	for i := range distinct {
		keys = append(keys, configview.FormatKey(keyOf(i*organisations/distinct, i%keysPerOrganisation)))
	}
	if _, _, status := view.Authenticate(keys[0]); status != configview.KeyValid {
		return 0, 0, errors.Newf("key is %s", status)
	}
	i := 0
	hit = costOf(func() { view.Authenticate(keys[i%distinct]); i++ }).nanos
	absent := configview.FormatKey("1-0000000000000000", "absent")
	miss = costOf(func() { view.Authenticate(absent) }).nanos
	return hit, miss, nil
}

// change measures the acceptance of one organisation's new key, and the compressed size of its shard.
func (v *view) change(organisations int) (cost, float64, error) {
	name := organisationName(organisations / 2)
	index := configview.ShardOf(name)
	shard, err := configview.DecodeShard(v.content[v.head.Shards[index]])
	if err != nil {
		return cost{}, 0, err
	}
	shard.Organisations[0].Issued = []config.Key{{ID: "2-0123456789abcdef", SHA256: configview.HashSecret("new")}}
	changed, err := shard.Encode()
	if err != nil {
		return cost{}, 0, err
	}
	before := v.content[v.head.Shards[index]]
	head := *v.head
	c := costOf(func() {
		next := head
		next.Revision++
		text := changed
		if next.Revision%2 == 0 {
			text = before
		}
		next.Shards[index] = configview.DigestOf(text)
		if next.Shards[index] == head.Shards[index] {
			next.Shards[index], text = configview.DigestOf(changed), changed
		}
		if _, acceptErr := v.state.Accept(&next, map[configview.Digest][]byte{next.Shards[index]: text}); acceptErr != nil {
			err = acceptErr
		}
		head = next
	})
	return c, gzipped(changed), err
}

// measureKeys varies the keys of a fixed number of organisations.
func measureKeys(ctx context.Context, o Options, s *Section) error {
	organisations := max(minOrganisations, o.Organisations/4)
	var at []int
	var bytes []float64
	for _, per := range []int{1, 2, 4, 8} {
		cfg := generalOf(o.Daemons, o.Endpoints)
		for i := range organisations {
			org := organisation(i)
			org.Keys = nil
			for k := range per {
				id, secret := keyOf(i, k)
				org.Keys = append(org.Keys, config.Key{ID: id, SHA256: configview.HashSecret(secret)})
			}
			cfg.Organisations = append(cfg.Organisations, org)
		}
		a, err := applyConfig(ctx, cfg)
		if err != nil {
			return err
		}
		content, err := a.store.Content(ctx, a.head, digests(a.head))
		if err != nil {
			return err
		}
		_, size, err := heapOf(func() (*configview.State, error) {
			state := configview.NewState()
			_, err := state.Accept(a.head, content)
			return state, err
		})
		if err != nil {
			return err
		}
		at, bytes = append(at, organisations*per), append(bytes, size)
	}
	return s.add("view memory by keys", "bytes", "key", points(at, bytes)...)
}

// measureWithdrawn measures the set of withdrawn key ids, which only grows.
func measureWithdrawn(o Options, s *Section) error {
	at := sizes(o.Organisations)
	var bytes []float64
	for _, n := range at {
		ids := make([]string, n)
		state, size, err := heapOf(func() (*configview.State, error) {
			state := configview.NewState()
			for i := range ids {
				ids[i] = fmt.Sprintf("%d-%016x", i, i)
			}
			state.Withdraw(ids)
			return state, nil
		})
		if err != nil {
			return err
		}
		if got := len(state.View().Withdrawn()); got != n {
			return errors.Newf("%d of %d ids are withdrawn", got, n)
		}
		bytes = append(bytes, size)
	}
	return s.add("withdrawn ids in memory", "bytes", "key", points(at, bytes)...)
}
