package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
)

// HeaderRequestID names a request to an endpoint.
const HeaderRequestID = "X-Request-Id"

// ServiceAction is an injected fault of the plain service.
type ServiceAction string

// Actions of the plain service.
const (
	// ActionDelay executes the request after the delay.
	ActionDelay ServiceAction = "delay"
	// ActionDropAnswer executes the request and sends no answer; the connection stays open until the client closes it.
	ActionDropAnswer ServiceAction = "drop_answer"
	// ActionBreakBefore closes the connection without executing the request.
	ActionBreakBefore ServiceAction = "break_before"
	// ActionBreakAfter executes the request and closes the connection without an answer.
	ActionBreakAfter ServiceAction = "break_after"
	// ActionTruncateAnswer executes the request and closes the connection in the middle of the answer.
	ActionTruncateAnswer ServiceAction = "truncate_answer"
	// ActionRefuse answers 503 without executing the request.
	ActionRefuse ServiceAction = "refuse"
)

func (a ServiceAction) valid() bool {
	switch a {
	case ActionDelay, ActionDropAnswer, ActionBreakBefore, ActionBreakAfter, ActionTruncateAnswer, ActionRefuse:
		return true
	}
	return false
}

// ServiceFault is applied to the next requests that match it. The first matching fault of the list is taken.
type ServiceFault struct {
	Action ServiceAction `json:"action"`
	// RequestID limits the fault to a request. Empty: any.
	RequestID string `json:"request_id,omitempty"`
	// Path limits the fault to a path. Empty: any.
	Path string `json:"path,omitempty"`
	// DelayMillis is waited before the action, for every kind of action.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Count is the number of requests it applies to. 0 means 1.
	Count int `json:"count,omitempty"`
}

// ServiceOptions configure a plain service.
type ServiceOptions struct {
	// Delay is the time that each request takes.
	Delay time.Duration
}

// Executions reports what a plain service has executed.
type Executions struct {
	Total        int64            `json:"total"`
	Received     int64            `json:"received"` // requests that reached the service, executed or not
	ByRequestID  map[string]int64 `json:"by_request_id"`
	ByBodyDigest map[string]int64 `json:"by_body_digest"` // key: hex SHA-256 of the body
}

// ServiceAnswer is the answer of the plain service.
type ServiceAnswer struct {
	RequestID  string `json:"request_id"`
	Executions int64  `json:"executions"` // of this request id
	BodyDigest string `json:"body_digest"`
}

// Service is a plain service that counts its executions.
type Service struct {
	closer
	opts    ServiceOptions
	markers *Markers
	handler http.Handler

	mu         sync.Mutex
	faults     []ServiceFault
	executions Executions
}

// NewService returns a plain service without faults.
func NewService(opts ServiceOptions) *Service {
	s := &Service{
		closer:  newCloser(),
		opts:    opts,
		markers: NewMarkers(),
		executions: Executions{
			ByRequestID:  map[string]int64{},
			ByBodyDigest: map[string]int64{},
		},
	}
	r := newRouter()
	s.markers.register(r)
	r.HandleFunc(adminPrefix+"faults", s.postFault).Methods(http.MethodPost)
	r.HandleFunc(adminPrefix+"faults", s.getFaults).Methods(http.MethodGet)
	r.HandleFunc(adminPrefix+"faults", s.deleteFaults).Methods(http.MethodDelete)
	r.HandleFunc("/service/v1/executions", s.getExecutions).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.serve)
	s.handler = s.markers.wrap(r)
	return s
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler { return s.handler }

// Markers returns the strings that requests are searched for.
func (s *Service) Markers() *Markers { return s.markers }

// Inject adds a fault.
func (s *Service) Inject(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Count = max(1, f.Count)
	s.faults = append(s.faults, f)
}

// ClearFaults removes all faults.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Executions returns a copy of the counts.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.executions
	out.ByRequestID = make(map[string]int64, len(s.executions.ByRequestID))
	for id, n := range s.executions.ByRequestID {
		out.ByRequestID[id] = n
	}
	out.ByBodyDigest = make(map[string]int64, len(s.executions.ByBodyDigest))
	for digest, n := range s.executions.ByBodyDigest {
		out.ByBodyDigest[digest] = n
	}
	return out
}

// BodyDigest returns the digest that the plain service counts a body under.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		// The request is incomplete, so it must not be executed.
		writeError(w, http.StatusBadRequest, "unreadable_body", err.Error())
		return
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	fault := s.receive(id, r.URL.Path)
	// A client that goes away does not stop a request that the service has already read.
	if clock.Sleep(s.ctx, s.opts.Delay+time.Duration(fault.DelayMillis)*time.Millisecond) != nil {
		breakConnection()
	}
	switch fault.Action {
	case ActionBreakBefore:
		breakConnection()
	case ActionRefuse:
		writeError(w, http.StatusServiceUnavailable, "refused", "the service takes no requests")
		return
	}
	out := s.execute(id, BodyDigest(body))
	w.Header().Set(HeaderRequestID, id)
	switch fault.Action {
	case ActionBreakAfter:
		breakConnection()
	case ActionDropAnswer:
		ctx, cancel := s.bind(r)
		defer cancel()
		<-ctx.Done()
		breakConnection()
	case ActionTruncateAnswer:
		truncateAnswer(w)
	}
	writeJSON(w, http.StatusOK, out)
}

// truncateAnswer sends the start of an answer that announces more bytes than follow, and breaks the connection.
func truncateAnswer(w http.ResponseWriter) {
	const start = `{"request_id":`
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(2*len(start)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, start)
	_ = http.NewResponseController(w).Flush()
	breakConnection()
}

// receive counts a request and takes the fault that applies to it.
func (s *Service) receive(id, path string) ServiceFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Received++
	for i, f := range s.faults {
		if (f.RequestID != "" && f.RequestID != id) || (f.Path != "" && f.Path != path) {
			continue
		}
		s.faults[i].Count--
		if s.faults[i].Count == 0 {
			s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
		}
		return f
	}
	return ServiceFault{}
}

func (s *Service) execute(id, digest string) ServiceAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Total++
	s.executions.ByRequestID[id]++
	s.executions.ByBodyDigest[digest]++
	return ServiceAnswer{RequestID: id, Executions: s.executions.ByRequestID[id], BodyDigest: digest}
}

func (s *Service) postFault(w http.ResponseWriter, r *http.Request) {
	var in ServiceFault
	if !readJSON(w, r, &in) {
		return
	}
	if !in.Action.valid() {
		writeError(w, http.StatusBadRequest, "unknown_action", "action "+strconv.Quote(string(in.Action))+" does not exist")
		return
	}
	s.Inject(in)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	left := append([]ServiceFault{}, s.faults...)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string][]ServiceFault{"faults": left})
}

func (s *Service) deleteFaults(w http.ResponseWriter, _ *http.Request) {
	s.ClearFaults()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) getExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}
