package standin

import (
	"net/http"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// Guards against fault calls over HTTP that do not reach the store, which would make process tests pass for nothing.
func TestStoreAdmin(t *testing.T) {
	s := NewStore(memory.StoreOptions{})
	r := newRig(t, s)
	put := func(value string, status int) {
		t.Helper()
		r.call(http.MethodPut, "/v1/kv/k", "", platform.PutJSON{Value: []byte(value)}, status, nil)
	}
	wantValue := func(want string) {
		t.Helper()
		var e platform.EntryJSON
		r.call(http.MethodGet, "/v1/kv/k", "", nil, http.StatusOK, &e)
		if string(e.Value) != want {
			t.Fatalf("value is %q, want %q", e.Value, want)
		}
	}
	put("old", http.StatusOK)
	r.call(http.MethodPost, "/standin/v1/snapshots/first", "", nil, http.StatusNoContent, nil)
	put("new", http.StatusOK)
	r.call(http.MethodPost, "/standin/v1/snapshots/first/restore", "", nil, http.StatusNoContent, nil)
	wantValue("old")
	r.call(http.MethodPost, "/standin/v1/snapshots/other/restore", "", nil, http.StatusNotFound, nil)

	r.call(http.MethodPost, "/standin/v1/faults", "", memory.Faults{DropAnswers: 1}, http.StatusNoContent, nil)
	if resp, err := r.send(http.MethodPut, "/v1/kv/k", "", platform.PutJSON{Value: []byte("lost")}); err == nil {
		t.Fatalf("the write was answered with %s", resp.Status)
	}
	wantValue("lost")

	r.call(http.MethodPost, "/standin/v1/faults", "", memory.Faults{Latency: 60 * time.Millisecond}, http.StatusNoContent, nil)
	start := time.Now()
	wantValue("lost")
	if took := time.Since(start); took < 60*time.Millisecond {
		t.Fatalf("a slow read took %v", took)
	}
	r.call(http.MethodPost, "/standin/v1/faults", "", memory.Faults{}, http.StatusNoContent, nil)

	var lease platform.LeaseJSON
	r.call(http.MethodPost, "/v1/leases", "", platform.GrantJSON{TTLMillis: 60_000}, http.StatusOK, &lease)
	r.call(http.MethodPost, "/v1/leases/1/renew", "", nil, http.StatusNoContent, nil)
	r.call(http.MethodDelete, "/standin/v1/leases/1", "", nil, http.StatusNoContent, nil)
	r.call(http.MethodPost, "/v1/leases/1/renew", "", nil, http.StatusGone, nil)

	r.call(http.MethodPost, "/standin/v1/rates", "", memory.Rates{Writes: 0.01}, http.StatusNoContent, nil)
	put("in time", http.StatusOK)
	put("too soon", http.StatusTooManyRequests)
	var counts memory.Counts
	r.call(http.MethodGet, "/standin/v1/counts", "", nil, http.StatusOK, &counts)
	if counts.Calls[memory.KindPut] != 5 || counts.Refused[memory.KindPut] != 1 {
		t.Fatalf("counts are %+v", counts)
	}
}

// Guards against input that is taken for something else, and against a watch that holds its connection for ever.
func TestStoreBadInput(t *testing.T) {
	r := newRig(t, NewStore(memory.StoreOptions{}))
	r.call(http.MethodPut, "/v1/kv/k", "", "not an object", http.StatusBadRequest, nil)
	r.call(http.MethodPut, "/v1/kv/k", "", platform.PutJSON{Value: make([]byte, platform.MaxValueBytes+1)},
		http.StatusRequestEntityTooLarge, nil)
	r.call(http.MethodGet, "/v1/kv?limit=x", "", nil, http.StatusBadRequest, nil)
	r.call(http.MethodDelete, "/v1/kv/k?if_revision=x", "", nil, http.StatusBadRequest, nil)
	r.call(http.MethodPost, "/v1/leases", "", platform.GrantJSON{}, http.StatusBadRequest, nil)
	r.call(http.MethodPost, "/v1/leases/x/renew", "", nil, http.StatusBadRequest, nil)
	r.call(http.MethodGet, "/v1/watch/k?after=0&wait_ms=20", "", nil, http.StatusNoContent, nil)
	r.call(http.MethodGet, "/v1/other", "", nil, http.StatusNotFound, nil)
}
