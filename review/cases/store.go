package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time of an answer of the platform's store (SYSTEM.md: 4 ms).
const storeLatency = 4 * time.Millisecond

// item is a key as it appears in answers of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md).
type store struct {
	addr   string
	record *record
	server *http.Server

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]lease
	changed chan struct{}
	// loseAnswer, if set, decides on a transaction of a machine. A delay above 0 means that its answer is lost and that it is
	// carried out after the delay, if its condition still holds.
	loseAnswer func(keys []string) time.Duration
}

func startStore(r *record) (*store, error) {
	s := &store{record: r, rev: 1, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{})}
	mux := http.NewServeMux()
	for pattern, handler := range map[string]http.HandlerFunc{
		"GET /api/kv-key": s.get, wire("range"): s.list, wire("watch"): s.watch, wire("transaction"): s.txn,
		"POST /api/kv-lease": s.grant, "POST /api/kv-keep/{id}": s.renew, "DELETE /api/kv-lease-end/{id}": s.endLeaseCall,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
			handler(w, r)
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// put writes a key as the operator or a runner does. The return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the documents of this program can always be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, data, 0)
}

// remove deletes a key as the operator or a runner does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
}

// has reports whether a key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, ok := s.items[key]
	return ok
}

func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.rev
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.history = append(s.history, s.items[key])
	s.wake()
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose term has passed.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.record.add("store: lease %d runs out", id)
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.drop(key)
			s.record.add("store: key %s is removed with lease %d", key, id)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the machine has gone
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]int64{"as_of": s.rev})
		return
	}
	answer(w, http.StatusOK, i)
}

// pageItems is the number of items of a page (PROTOCOL.md: at most about 500).
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "truncated": truncated, "as_of": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	}
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func readTransaction(r io.Reader) (t transaction, err error) {
	body, err := io.ReadAll(r)
	if err != nil {
		return t, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return t, err
	}
	if expected := fields[wire("expected revisions")]; expected != nil {
		if err := json.Unmarshal(expected, &t.expected); err != nil {
			return t, err
		}
	}
	return t, json.Unmarshal(body, &t)
}

func (t *transaction) keys() []string {
	keys := append([]string(nil), t.Deletes...)
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return keys
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	t, err := readTransaction(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lose := s.loseAnswer
	s.mu.Unlock()
	if lose != nil {
		if delay := lose(t.keys()); delay > 0 {
			s.record.add("store: a write of %v will be done in %s and not answered", t.keys(), delay)
			time.AfterFunc(delay, func() {
				status, _ := s.carryOut(&t)
				s.record.add("store: the late write of %v is done, status %d, not answered", t.keys(), status)
			})
			<-r.Context().Done() // a connection on which an answer is lost returns nothing further
			return
		}
	}
	status, body := s.carryOut(&t)
	s.record.add("store: a write of %v is answered with %d", t.keys(), status)
	answer(w, status, body)
}

// carryOut carries out a transaction and returns the answer to it.
func (s *store) carryOut(t *transaction) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.expected {
		if s.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, key := range t.keys() {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.drop(key)
	}
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.rev] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.record.add("store: lease %d of %s is granted", s.rev, ttl)
	answer(w, http.StatusOK, map[string]int64{"lease": s.rev, "ttl_ms": body.TTLMs})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLeaseCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
