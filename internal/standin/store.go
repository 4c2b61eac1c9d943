package standin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

const (
	// maxWatchWait bounds the time for which the store holds a watch.
	maxWatchWait = time.Minute
	// defaultListLimit is the number of entries of a list call that names none.
	defaultListLimit = 1000
	// maxSnapshots bounds the snapshots that a store keeps.
	maxSnapshots = 16
)

// Store serves the key-value store over HTTP.
type Store struct {
	closer
	twin    *memory.Store
	handler http.Handler

	mu        sync.Mutex
	snapshots map[string]memory.Snapshot
}

// NewStore returns a stand-in over a new in-memory store.
func NewStore(opts memory.StoreOptions) *Store {
	s := &Store{
		closer:    newCloser(),
		twin:      memory.NewStore(opts),
		snapshots: map[string]memory.Snapshot{},
	}
	r := newRouter()
	r.HandleFunc("/v1/kv", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key}", s.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv/{key}", s.delete).Methods(http.MethodDelete)
	r.HandleFunc("/v1/watch/{key}", s.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/leases", s.grant).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{id}/renew", s.renew).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{id}", s.revoke).Methods(http.MethodDelete)
	registerFaults(r, s.twin)
	r.HandleFunc(adminPrefix+"snapshots/{name}", s.snapshot).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"snapshots/{name}/restore", s.restore).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"leases/{id}", s.expire).Methods(http.MethodDelete)
	s.handler = r
	return s
}

// Handler returns the HTTP handler.
func (s *Store) Handler() http.Handler { return s.handler }

// Twin returns the store behind the handler, to inject faults and to look at its data.
func (s *Store) Twin() *memory.Store { return s.twin }

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key, ok := pathVar(w, r, "key")
	if !ok {
		return
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	e, err := s.twin.Get(ctx, key)
	answer(w, err, func() { writeJSON(w, http.StatusOK, platform.EntryJSON(e)) })
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, ok := queryInt(w, q, "limit", defaultListLimit)
	if !ok {
		return
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	entries, err := s.twin.List(ctx, q.Get("prefix"), q.Get("after"), int(limit))
	answer(w, err, func() {
		out := platform.EntriesJSON{Entries: make([]platform.EntryJSON, 0, len(entries))}
		for _, e := range entries {
			out.Entries = append(out.Entries, platform.EntryJSON(e))
		}
		writeJSON(w, http.StatusOK, out)
	})
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	key, ok := pathVar(w, r, "key")
	if !ok {
		return
	}
	var in platform.PutJSON
	if !readJSON(w, r, &in) {
		return
	}
	opts := platform.PutOptions{IfRevision: in.IfRevision, Lease: in.Lease}
	ctx, cancel := s.bind(r)
	defer cancel()
	revision, err := s.twin.Put(ctx, key, in.Value, opts)
	answer(w, err, func() { writeJSON(w, http.StatusOK, platform.RevisionJSON{Revision: revision}) })
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request) {
	key, ok := pathVar(w, r, "key")
	if !ok {
		return
	}
	var ifRevision *int64
	if q := r.URL.Query(); q.Has("if_revision") {
		n, ok := queryInt(w, q, "if_revision", 0)
		if !ok {
			return
		}
		ifRevision = &n
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	err := s.twin.Delete(ctx, key, ifRevision)
	answer(w, err, func() { w.WriteHeader(http.StatusNoContent) })
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	key, ok := pathVar(w, r, "key")
	if !ok {
		return
	}
	q := r.URL.Query()
	after, ok := queryInt(w, q, "after", 0)
	if !ok {
		return
	}
	waitMillis, ok := queryInt(w, q, "wait_ms", maxWatchWait.Milliseconds())
	if !ok {
		return
	}
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait)
	bound, cancelBound := s.bind(r)
	defer cancelBound()
	ctx, cancel := context.WithTimeout(bound, wait)
	defer cancel()
	e, err := s.twin.Watch(ctx, key, after)
	if err != nil && ctx.Err() != nil && bound.Err() == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	answer(w, err, func() { writeJSON(w, http.StatusOK, platform.EntryJSON(e)) })
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in platform.GrantJSON
	if !readJSON(w, r, &in) {
		return
	}
	if in.TTLMillis <= 0 {
		writeError(w, http.StatusBadRequest, "invalid_ttl", "ttl_ms is not positive")
		return
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	id, err := s.twin.Grant(ctx, time.Duration(in.TTLMillis)*time.Millisecond)
	answer(w, err, func() { writeJSON(w, http.StatusOK, platform.LeaseJSON{ID: id}) })
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	id, ok := pathInt(w, r, "id")
	if !ok {
		return
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	err := s.twin.Renew(ctx, platform.LeaseID(id))
	answer(w, err, func() { w.WriteHeader(http.StatusNoContent) })
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, ok := pathInt(w, r, "id")
	if !ok {
		return
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	err := s.twin.Revoke(ctx, platform.LeaseID(id))
	answer(w, err, func() { w.WriteHeader(http.StatusNoContent) })
}

func (s *Store) snapshot(w http.ResponseWriter, r *http.Request) {
	name, ok := pathVar(w, r, "name")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, replaced := s.snapshots[name]; !replaced && len(s.snapshots) >= maxSnapshots {
		writeError(w, http.StatusConflict, "too_many_snapshots", "too many snapshots are kept")
		return
	}
	s.snapshots[name] = s.twin.Snapshot()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) restore(w http.ResponseWriter, r *http.Request) {
	name, ok := pathVar(w, r, "name")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snap, ok := s.snapshots[name]
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_snapshot", "snapshot does not exist")
		return
	}
	s.twin.Restore(snap)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) expire(w http.ResponseWriter, r *http.Request) {
	id, ok := pathInt(w, r, "id")
	if !ok {
		return
	}
	s.twin.ExpireLease(platform.LeaseID(id))
	w.WriteHeader(http.StatusNoContent)
}

// faulty is a twin whose faults, rates and counts are reached over HTTP.
type faulty interface {
	SetFaults(memory.Faults)
	Faults() memory.Faults
	SetRates(memory.Rates)
	Counts() memory.Counts
}

// registerFaults adds the calls that inject faults and report counts.
func registerFaults(r *mux.Router, twin faulty) {
	r.HandleFunc(adminPrefix+"faults", func(w http.ResponseWriter, r *http.Request) {
		var in memory.Faults
		if !readJSON(w, r, &in) {
			return
		}
		twin.SetFaults(in)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, twin.Faults())
	}).Methods(http.MethodGet)
	r.HandleFunc(adminPrefix+"rates", func(w http.ResponseWriter, r *http.Request) {
		var in memory.Rates
		if !readJSON(w, r, &in) {
			return
		}
		twin.SetRates(in)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, twin.Counts())
	}).Methods(http.MethodGet)
}

// answer writes the outcome of a twin's call. A call that ends without an outcome breaks the connection.
func answer(w http.ResponseWriter, err error, ok func()) {
	switch {
	case err == nil:
		ok()
	case errors.Is(err, platform.ErrUnknownOutcome), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		breakConnection()
	case errors.Is(err, platform.ErrNotFound):
		writeError(w, http.StatusNotFound, "not_found", err.Error())
	case errors.Is(err, platform.ErrConflict):
		writeError(w, http.StatusConflict, "conflict", err.Error())
	case errors.Is(err, platform.ErrLeaseLost):
		writeError(w, http.StatusGone, "lease_lost", err.Error())
	case errors.Is(err, platform.ErrTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
	case errors.Is(err, memory.ErrRateLimited):
		writeError(w, http.StatusTooManyRequests, "rate_limited", err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	default:
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
	}
}

// pathVar returns an unescaped path segment. It writes the refusal itself.
func pathVar(w http.ResponseWriter, r *http.Request, name string) (string, bool) {
	s, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil || s == "" {
		writeError(w, http.StatusBadRequest, "invalid_path", "path segment "+name+" is not valid")
		return "", false
	}
	return s, true
}

func pathInt(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(mux.Vars(r)[name], 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_path", "path segment "+name+" is not a number")
		return 0, false
	}
	return n, true
}

func queryInt(w http.ResponseWriter, q url.Values, name string, byDefault int64) (int64, bool) {
	if !q.Has(name) {
		return byDefault, true
	}
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_query", name+" is not a number")
		return 0, false
	}
	return n, true
}
