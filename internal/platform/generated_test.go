package platform_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// Guards against differences between the HTTP client and the in-memory implementation: both run the same generated schedules of calls,
// clock steps and faults, and must return the same results.
func TestClientMatchesMemory(t *testing.T) {
	overTheWire := newHTTPServices(t)
	direct := newMemoryServices(t)
	empty := direct.memoryStore.Snapshot()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	rapid.Check(t, func(t *rapid.T) {
		both := []services{direct, overTheWire}
		// Lease ids and clocks continue between schedules; they are the same on both sides.
		for _, s := range both {
			s.memoryStore.SetFaults(memory.Faults{})
			s.memoryStore.Restore(empty)
		}
		schedule := &schedule{keys: []string{"a", "a/b", "b"}}
		for range rapid.IntRange(1, 30).Draw(t, "length") {
			step := schedule.draw(t)
			first, second := step(ctx, direct), step(ctx, overTheWire)
			if first != second {
				t.Fatalf("memory: %s\nHTTP: %s", first, second)
			}
			schedule.recordResult(first)
		}
	})
}

// schedule generates calls that use revisions and leases of earlier results.
type schedule struct {
	keys      []string
	revisions []int64
	leases    []platform.LeaseID
}

// step runs one call and describes its result.
type step func(context.Context, services) string

func (g *schedule) draw(t *rapid.T) step {
	key := rapid.SampledFrom(g.keys).Draw(t, "key")
	expected := g.expected(t)
	lease := platform.LeaseID(0)
	if len(g.leases) > 0 && rapid.Bool().Draw(t, "with lease") {
		lease = rapid.SampledFrom(g.leases).Draw(t, "lease")
	}
	number := rapid.IntRange(0, 2000).Draw(t, "number")
	switch rapid.SampledFrom([]string{"get", "list", "put", "put", "put", "delete", "grant", "renew", "revoke",
		"watch", "advance", "fault"}).Draw(t, "call") {
	case "get":
		return func(ctx context.Context, s services) string {
			e, err := s.store.Get(ctx, key)
			return describe(fmt.Sprintf("%+v", e), err)
		}
	case "list":
		return func(ctx context.Context, s services) string {
			list, err := s.store.List(ctx, "a", "", number%4)
			return describe(fmt.Sprintf("%d %+v", len(list), list), err)
		}
	case "put":
		return func(ctx context.Context, s services) string {
			value := []byte{byte(number)}
			rev, err := s.store.Put(ctx, key, value, platform.PutOptions{IfRevision: expected, Lease: lease})
			return describe(fmt.Sprintf("revision %d", rev), err)
		}
	case "delete":
		return func(ctx context.Context, s services) string { return describe("", s.store.Delete(ctx, key, expected)) }
	case "grant":
		return func(ctx context.Context, s services) string {
			id, err := s.store.Grant(ctx, time.Duration(number+1)*time.Millisecond)
			return describe(fmt.Sprintf("lease %d", id), err)
		}
	case "renew":
		return func(ctx context.Context, s services) string { return describe("", s.store.Renew(ctx, lease)) }
	case "revoke":
		return func(ctx context.Context, s services) string { return describe("", s.store.Revoke(ctx, lease)) }
	case "watch":
		return func(ctx context.Context, s services) string {
			if _, err := s.memoryStore.Get(ctx, key); err != nil {
				return describe("", err) // the watch would wait for the key
			}
			e, err := s.store.Watch(ctx, key, 0)
			return describe(fmt.Sprintf("%+v", e), err)
		}
	case "advance":
		return func(_ context.Context, s services) string {
			s.clk.Advance(time.Duration(number) * time.Millisecond)
			return ""
		}
	default:
		f := memory.Faults{Down: number%5 == 0, DropAnswers: number % 2, DropWrites: number % 3 / 2}
		return func(_ context.Context, s services) string {
			s.memoryStore.SetFaults(f)
			return ""
		}
	}
}

func (g *schedule) expected(t *rapid.T) *int64 {
	switch rapid.SampledFrom([]string{"none", "absent", "seen"}).Draw(t, "expected revision") {
	case "absent":
		return revision(platform.IfAbsent)
	case "seen":
		if len(g.revisions) > 0 {
			return revision(rapid.SampledFrom(g.revisions).Draw(t, "revision"))
		}
	}
	return nil
}

// recordResult records the revision or lease in a result for later calls.
func (g *schedule) recordResult(result string) {
	var n int64
	if _, err := fmt.Sscanf(result, "revision %d", &n); err == nil && n > 0 {
		g.revisions = append(g.revisions, n)
	}
	if _, err := fmt.Sscanf(result, "lease %d", &n); err == nil && n > 0 {
		g.leases = append(g.leases, platform.LeaseID(n))
	}
}

// describe returns the result, or the names of the errors that a caller can distinguish.
func describe(result string, err error) string {
	if err == nil {
		return result
	}
	names := []string{"error"}
	for name, want := range map[string]error{
		"not found": platform.ErrNotFound, "conflict": platform.ErrConflict, "lease lost": platform.ErrLeaseLost,
		"unavailable": platform.ErrUnavailable, "unknown outcome": platform.ErrUnknownOutcome,
		"too large": platform.ErrTooLarge, "deadline": context.DeadlineExceeded,
	} {
		if errors.Is(err, want) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
