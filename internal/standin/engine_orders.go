package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// maxOrderRecords bounds the orders that an engine remembers for tests.
const maxOrderRecords = 10_000

// ModelState is a model in an engine's state report.
type ModelState struct {
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters"`
	Ready      bool     `json:"ready"`
	Generation int64    `json:"generation"`
}

// EngineState is an engine's state report.
type EngineState struct {
	Models []ModelState `json:"models"`
	Role   string       `json:"role"`
}

// Order is the target state of a model.
type Order struct {
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters"`
	Role       string   `json:"role"`
	Generation int64    `json:"generation"`
	Fencing    int64    `json:"fencing,omitempty"`
}

// OrderRecord is an order that an engine has received.
type OrderRecord struct {
	Order
	Model  string    `json:"model"`
	Unload bool      `json:"unload"`
	Status int       `json:"status"` // of the answer
	At     time.Time `json:"at"`
}

// orderState is what orders change. It is guarded by the engine's mutex.
type orderState struct {
	role       string
	models     map[string]*ModelState
	unloaded   map[string]int64              // generation of the unload order
	loading    map[string]context.CancelFunc // by model
	maxFencing int64
	records    []OrderRecord
}

func newOrderState(opts EngineOptions) orderState {
	var s orderState
	s.reset(opts)
	return s
}

// reset returns to the models of the options. The records stay, since they belong to the test.
func (s *orderState) reset(opts EngineOptions) {
	for _, cancel := range s.loading {
		cancel()
	}
	s.role = opts.Role
	s.models = map[string]*ModelState{}
	s.unloaded = map[string]int64{}
	s.loading = map[string]context.CancelFunc{}
	s.maxFencing = 0
	for _, m := range opts.Models {
		s.models[m.Name] = &ModelState{
			Model: m.Name, Version: m.Version, Adapters: append([]string{}, m.Adapters...), Ready: true,
		}
	}
}

// serves reports whether a model or adapter name is known, and whether it is ready.
func (s *orderState) serves(name string) (known, ready bool) {
	if m := s.models[name]; m != nil {
		return true, m.Ready
	}
	for _, m := range s.models {
		if slices.Contains(m.Adapters, name) {
			known = true
			ready = ready || m.Ready
		}
	}
	return known, ready
}

func (s *orderState) generation(model string) int64 {
	if m := s.models[model]; m != nil {
		return m.Generation
	}
	return s.unloaded[model]
}

func (s *orderState) record(r OrderRecord) {
	r.At = time.Now()
	s.records = append(s.records, r)
	if len(s.records) > maxOrderRecords {
		s.records = s.records[1:]
	}
}

// State returns the state report.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := EngineState{Role: e.orders.role, Models: []ModelState{}}
	for _, m := range e.orders.models {
		c := *m
		c.Adapters = append([]string{}, m.Adapters...)
		out.Models = append(out.Models, c)
	}
	slices.SortFunc(out.Models, func(a, b ModelState) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}

// Orders returns the orders that the engine has received, refused ones included.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord{}, e.orders.records...)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string][]OrderRecord{"orders": e.Orders()})
}

func (e *Engine) putOrder(w http.ResponseWriter, r *http.Request) {
	model, ok := pathVar(w, r, "model")
	if !ok {
		return
	}
	var in Order
	if !readJSON(w, r, &in) {
		return
	}
	if in.Version == "" {
		writeError(w, http.StatusBadRequest, "no_version", "the order has no version")
		return
	}
	e.takeOrder(w, OrderRecord{Order: in, Model: model},
		func() bool { return e.orders.taken(model, in) },
		func() { e.apply(model, in) })
}

func (e *Engine) deleteOrder(w http.ResponseWriter, r *http.Request) {
	model, ok := pathVar(w, r, "model")
	if !ok {
		return
	}
	q := r.URL.Query()
	generation, ok := queryInt(w, q, "generation", 0)
	if !ok {
		return
	}
	fencing, ok := queryInt(w, q, "fencing", 0)
	if !ok {
		return
	}
	in := Order{Generation: generation, Fencing: fencing}
	e.takeOrder(w, OrderRecord{Order: in, Model: model, Unload: true},
		func() bool {
			m := e.orders.models[model]
			return m != nil && m.Generation == generation && generation > 0
		},
		func() {
			e.stopLoading(model)
			delete(e.orders.models, model)
			e.orders.unloaded[model] = generation
		})
}

// takeOrder answers an order and follows it if it is not refused. reused reports whether its generation stands for another order.
func (e *Engine) takeOrder(w http.ResponseWriter, order OrderRecord, reused func() bool, follow func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		breakConnection() // the engine has died since it let the call in
	}
	refused := e.checkOrder(order.Model, order.Order)
	if refused == nil && reused() {
		refused = reusedGeneration
	}
	e.answerOrder(w, order, refused)
	if refused == nil {
		follow()
	}
}

// checkOrder refuses orders that are older than one that the engine has followed.
func (e *Engine) checkOrder(model string, in Order) *refusal {
	if e.opts.ChecksFencing {
		if in.Fencing < e.orders.maxFencing {
			return &refusal{http.StatusPreconditionFailed, "old_fencing",
				"fencing number " + strconv.FormatInt(in.Fencing, 10) + " is below " + strconv.FormatInt(e.orders.maxFencing, 10)}
		}
		e.orders.maxFencing = in.Fencing
	}
	if have := e.orders.generation(model); in.Generation < have {
		return &refusal{http.StatusConflict, "old_generation",
			"generation " + strconv.FormatInt(in.Generation, 10) + " is below " + strconv.FormatInt(have, 10)}
	}
	return nil
}

func (e *Engine) answerOrder(w http.ResponseWriter, record OrderRecord, refused *refusal) {
	record.Status = http.StatusAccepted
	if refused != nil {
		record.Status = refused.status
		writeError(w, refused.status, refused.code, refused.message)
	} else {
		w.WriteHeader(http.StatusAccepted)
	}
	e.orders.record(record)
}

var reusedGeneration = &refusal{http.StatusConflict, "generation_reused", "another order has this generation"}

// taken reports whether an order with another target has the generation of in.
func (s *orderState) taken(model string, in Order) bool {
	if m := s.models[model]; m != nil {
		return m.Generation == in.Generation && (m.Version != in.Version || !slices.Equal(m.Adapters, in.Adapters))
	}
	generation, unloaded := s.unloaded[model]
	return unloaded && generation == in.Generation
}

// apply follows an order. A new version takes the model out of service until its weights are loaded; new adapters alone
// take effect at once.
func (e *Engine) apply(model string, in Order) {
	if in.Role != "" {
		e.orders.role = in.Role
	}
	have := e.orders.models[model]
	loaded := have != nil && have.Version == in.Version
	next := &ModelState{
		Model: model, Version: in.Version, Adapters: append([]string{}, in.Adapters...), Generation: in.Generation,
		Ready: loaded && have.Ready,
	}
	e.orders.models[model] = next
	if loaded {
		// A load of this version that is under way goes on and makes the new state ready.
		return
	}
	e.stopLoading(model)
	if e.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.orders.loading[model] = cancel
	e.loops.Add(1)
	go e.loadWeights(ctx, cancel, model, in.Version)
}

func (e *Engine) stopLoading(model string) {
	if cancel := e.orders.loading[model]; cancel != nil {
		cancel()
		delete(e.orders.loading, model)
	}
}

// loadWeights waits for the time that loading takes and makes the version ready.
func (e *Engine) loadWeights(ctx context.Context, cancel context.CancelFunc, model, version string) {
	defer e.loops.Done()
	defer cancel()
	size, err := e.weightSize(ctx, model, version)
	if err != nil {
		return // the version does not exist, or another order came: the model stays unready
	}
	if clock.Sleep(ctx, time.Duration(float64(size)/e.opts.LoadBytesPerSecond*float64(time.Second))) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if m := e.orders.models[model]; m != nil && m.Version == version {
		m.Ready = true
	}
	delete(e.orders.loading, model)
}

// weightSize asks the weight store, again after a pause while it is unavailable.
func (e *Engine) weightSize(ctx context.Context, model, version string) (int64, error) {
	if e.opts.Weights == nil {
		return DefaultWeightBytes, nil
	}
	for wait := weightStoreRetry; ; wait = min(2*wait, maxWeightStoreRetry) {
		callCtx, cancel := context.WithTimeout(ctx, weightStoreCallDeadline)
		size, err := e.opts.Weights.Size(callCtx, model, version)
		cancel()
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return size, err
		}
		if clock.Sleep(ctx, wait) != nil {
			return 0, ctx.Err()
		}
	}
}
