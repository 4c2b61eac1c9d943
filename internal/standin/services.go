package standin

import (
	"net/http"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// InstanceList serves the lagging instance list over HTTP.
type InstanceList struct {
	closer
	twin    *memory.InstanceList
	handler http.Handler
}

// NewInstanceList returns a stand-in over a new in-memory list.
func NewInstanceList(opts memory.InstanceListOptions) *InstanceList {
	l := &InstanceList{closer: newCloser(), twin: memory.NewInstanceList(opts)}
	r := newRouter()
	r.HandleFunc("/v1/instances", l.instances).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances/{name}", l.announce).Methods(http.MethodPut)
	r.HandleFunc(adminPrefix+"instances/{name}", l.drop).Methods(http.MethodDelete)
	registerFaults(r, l.twin)
	l.handler = r
	return l
}

// Handler returns the HTTP handler.
func (l *InstanceList) Handler() http.Handler { return l.handler }

// Twin returns the list behind the handler.
func (l *InstanceList) Twin() *memory.InstanceList { return l.twin }

func (l *InstanceList) instances(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := l.bind(r)
	defer cancel()
	rows, version, err := l.twin.Instances(ctx)
	answer(w, err, func() {
		writeJSON(w, http.StatusOK, platform.InstancesJSON{Version: version, Instances: rows})
	})
}

func (l *InstanceList) announce(w http.ResponseWriter, r *http.Request) {
	name, ok := pathVar(w, r, "name")
	if !ok {
		return
	}
	var row platform.ListedInstance
	if !readJSON(w, r, &row) {
		return
	}
	if row.Name != name {
		writeError(w, http.StatusBadRequest, "name_mismatch", "the row's name is not the name in the path")
		return
	}
	ctx, cancel := l.bind(r)
	defer cancel()
	err := l.twin.Announce(ctx, row)
	answer(w, err, func() { w.WriteHeader(http.StatusNoContent) })
}

func (l *InstanceList) drop(w http.ResponseWriter, r *http.Request) {
	name, ok := pathVar(w, r, "name")
	if !ok {
		return
	}
	l.twin.Drop(name)
	w.WriteHeader(http.StatusNoContent)
}

// Directory serves the client directory over HTTP.
type Directory struct {
	closer
	twin    *memory.Directory
	handler http.Handler
}

// NewDirectory returns a stand-in over a new in-memory directory.
func NewDirectory(opts memory.DirectoryOptions) *Directory {
	d := &Directory{closer: newCloser(), twin: memory.NewDirectory(opts)}
	r := newRouter()
	r.HandleFunc("/v1/directory/{region}", d.publish).Methods(http.MethodPut)
	r.HandleFunc("/v1/directory/{region}", d.lookup).Methods(http.MethodGet)
	registerFaults(r, d.twin)
	d.handler = r
	return d
}

// Handler returns the HTTP handler.
func (d *Directory) Handler() http.Handler { return d.handler }

// Twin returns the directory behind the handler.
func (d *Directory) Twin() *memory.Directory { return d.twin }

func (d *Directory) publish(w http.ResponseWriter, r *http.Request) {
	region, ok := pathVar(w, r, "region")
	if !ok {
		return
	}
	var in platform.DirectoryJSON
	if !readJSON(w, r, &in) {
		return
	}
	ctx, cancel := d.bind(r)
	defer cancel()
	err := d.twin.Publish(ctx, region, in.Entries)
	answer(w, err, func() { w.WriteHeader(http.StatusNoContent) })
}

func (d *Directory) lookup(w http.ResponseWriter, r *http.Request) {
	region, ok := pathVar(w, r, "region")
	if !ok {
		return
	}
	ctx, cancel := d.bind(r)
	defer cancel()
	entries, err := d.twin.Lookup(ctx, region)
	answer(w, err, func() { writeJSON(w, http.StatusOK, platform.DirectoryJSON{Entries: entries}) })
}

// WeightStore serves the weight store over HTTP.
type WeightStore struct {
	closer
	twin    *memory.WeightStore
	handler http.Handler
}

// NewWeightStore returns a stand-in over a new in-memory weight store.
func NewWeightStore(opts memory.WeightStoreOptions) *WeightStore {
	s := &WeightStore{closer: newCloser(), twin: memory.NewWeightStore(opts)}
	r := newRouter()
	r.HandleFunc("/v1/weights/{model}/{version}", s.size).Methods(http.MethodGet)
	r.HandleFunc(adminPrefix+"weights/{model}/{version}", s.setSize).Methods(http.MethodPut)
	registerFaults(r, s.twin)
	s.handler = r
	return s
}

// Handler returns the HTTP handler.
func (s *WeightStore) Handler() http.Handler { return s.handler }

// Twin returns the weight store behind the handler.
func (s *WeightStore) Twin() *memory.WeightStore { return s.twin }

// weightsPath returns the model and version of a path. It writes the refusal itself.
func weightsPath(w http.ResponseWriter, r *http.Request) (model, version string, ok bool) {
	if model, ok = pathVar(w, r, "model"); !ok {
		return "", "", false
	}
	version, ok = pathVar(w, r, "version")
	return model, version, ok
}

func (s *WeightStore) size(w http.ResponseWriter, r *http.Request) {
	model, version, ok := weightsPath(w, r)
	if !ok {
		return
	}
	ctx, cancel := s.bind(r)
	defer cancel()
	bytes, err := s.twin.Size(ctx, model, version)
	answer(w, err, func() { writeJSON(w, http.StatusOK, platform.WeightsJSON{Bytes: bytes}) })
}

func (s *WeightStore) setSize(w http.ResponseWriter, r *http.Request) {
	model, version, ok := weightsPath(w, r)
	if !ok {
		return
	}
	var in platform.WeightsJSON
	if !readJSON(w, r, &in) {
		return
	}
	s.twin.SetSize(model, version, in.Bytes)
	w.WriteHeader(http.StatusNoContent)
}
