// Package operator serves the operators' port of an instance: health, readiness, metrics, status, live use, pushed
// withdrawals of keys and the drain of the instance.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
)

// Limits of the operators' port.
const (
	maxBodyBytes      = 1 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	maxKeyIDs         = 10_000
)

// Status is what an instance says of itself.
type Status struct {
	Instance    string `json:"instance"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation,string"`
	Revision    int64  `json:"revision"` // of the view in force
	// Applied is the revision that is in force in all parts: no loan of an organisation's rate exceeds its entitlements.
	Applied int64  `json:"applied"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"` // why it is not ready
	Slots   []int  `json:"slots"`
	// Waiting are the slots that a predecessor, or loans of it, may still use. This instance uses none of their rate.
	Waiting []int    `json:"waiting,omitempty"`
	Peers   []string `json:"peers"` // connected instances
}

// Usage is the live use of an organisation at one instance.
type Usage struct {
	Name          string  `json:"name"`
	RateShare     float64 `json:"rate_share"`  // tokens per second
	BurstShare    float64 `json:"burst_share"` // tokens
	Level         float64 `json:"level"`       // tokens
	UsedPerSecond float64 `json:"used_per_second"`
}

// Orders is what an instance knows of the orders to the endpoints of its region.
type Orders struct {
	Instance string        `json:"instance"`
	Region   string        `json:"region"`
	Issuer   bool          `json:"issuer"`            // this instance sends them
	Fencing  int64         `json:"fencing,omitempty"` // number of its lease
	Blocked  []BlockedLoad `json:"blocked"`
}

// BlockedLoad is a change to an endpoint that has to wait.
type BlockedLoad struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	Reason   string `json:"reason"`
}

// Backend is the instance behind the port.
type Backend interface {
	Status() Status
	Usage() []Usage
	Orders() Orders
	// Withdraw puts the withdrawal of keys in force here and relays it to the other instances.
	Withdraw(ctx context.Context, keyIDs []string) error
	// Drain starts the graceful shutdown of the instance and returns at once.
	Drain()
}

// Options are the settings of a Server.
type Options struct {
	Addr string // ip:port to listen on
	// Listener replaces the one that Start opens at Addr, for a process that must know its address before.
	Listener net.Listener
	Token    string // bearer token for /v1; empty: none is asked for
	Backend  Backend
	Metrics  http.Handler
	Log      *zap.Logger
}

// Validate returns every problem of the options.
func (o Options) Validate() []error {
	var problems []error
	if _, _, err := net.SplitHostPort(o.Addr); err != nil {
		problems = append(problems, errors.Wrap(err, "operators' address"))
	}
	if o.Backend == nil || o.Metrics == nil || o.Log == nil {
		problems = append(problems, errors.New("operators' port needs a backend, metrics and a logger"))
	}
	return problems
}

// Server is the operators' port.
type Server struct {
	opts Options
	http *http.Server
	addr net.Addr
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{opts: o}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    16 << 10,
	}
	return s
}

// Start listens and serves until Stop.
func (s *Server) Start(ctx context.Context) error {
	l := s.opts.Listener
	if l == nil {
		var lc net.ListenConfig
		var err error
		if l, err = lc.Listen(ctx, "tcp", s.opts.Addr); err != nil {
			return errors.Wrap(err, "listen on the operators' port")
		}
	}
	s.addr = l.Addr()
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.opts.Log.Error("operators' port failed", zap.Error(err))
		}
	}()
	return nil
}

// Addr returns the address that the server listens on, after Start.
func (s *Server) Addr() string { return s.addr.String() }

// Stop ends the server after the calls in flight.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	r.Handle("/metrics", s.opts.Metrics).Methods(http.MethodGet)
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.Use(s.authenticate)
	v1.HandleFunc("/status", s.status).Methods(http.MethodGet)
	v1.HandleFunc("/usage", s.usage).Methods(http.MethodGet)
	v1.HandleFunc("/orders", s.orders).Methods(http.MethodGet)
	v1.HandleFunc("/withdrawals", s.withdraw).Methods(http.MethodPost)
	v1.HandleFunc("/drain", s.drain).Methods(http.MethodPost)
	return r
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.opts.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.opts.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			writeError(w, http.StatusUnauthorized, "operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := s.opts.Backend.Status()
	code := http.StatusOK
	if !status.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, status)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.opts.Backend.Status())
}

type usageList struct {
	Organisations []Usage `json:"organisations"`
}

func (s *Server) usage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, usageList{Organisations: s.opts.Backend.Usage()})
}

func (s *Server) orders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.opts.Backend.Orders())
}

type withdrawals struct {
	KeyIDs []string `json:"key_ids"`
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	var body withdrawals
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "body is not a list of key ids: "+err.Error())
		return
	}
	if len(body.KeyIDs) == 0 || len(body.KeyIDs) > maxKeyIDs {
		writeError(w, http.StatusBadRequest, "key_ids must hold 1 to 10000 ids")
		return
	}
	if err := s.opts.Backend.Withdraw(r.Context(), body.KeyIDs); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.opts.Log.Info("keys withdrawn by an operator", zap.Strings("key_ids", body.KeyIDs))
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.opts.Backend.Drain()
	w.WriteHeader(http.StatusAccepted)
}

type errorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, code int, message string) {
	writeJSON(w, code, errorBody{Error: message})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The status is sent already, so a failed write can only be seen by the client.
	_ = json.NewEncoder(w).Encode(v)
}
