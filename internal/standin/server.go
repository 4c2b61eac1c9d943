// Package standin implements the platform's services and the endpoints for tests and the demo: store, client directory,
// instance list, weight store, model engine and plain service, each as an HTTP handler with injectable faults.
//
// Paths below /standin/v1/ belong to tests: they inject faults and report what a stand-in has seen.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// maxBodyBytes bounds the body of a request to a stand-in.
const maxBodyBytes = 32 << 20

// readHeaderTimeout bounds the time in which a client of a stand-in must send its header.
const readHeaderTimeout = 10 * time.Second

// A restart at the same address is tried for two seconds.
const (
	restartAttempts = 40
	restartPause    = 50 * time.Millisecond
)

// Listener serves a handler on one address. It can be killed and started again at that address.
type Listener struct {
	handler http.Handler

	mu     sync.Mutex
	addr   string
	server *http.Server
	done   chan struct{} // closed when server has ended; nil before the first start
}

// Listen serves h on a free port of 127.0.0.1.
func Listen(h http.Handler) (*Listener, error) { return ListenOn("127.0.0.1:0", h) }

// ListenOn serves h on addr (ip:port).
func ListenOn(addr string, h http.Handler) (*Listener, error) {
	l := &Listener{handler: h, addr: addr}
	if err := l.Start(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr returns ip:port.
func (l *Listener) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// URL returns the base URL.
func (l *Listener) URL() string { return "http://" + l.Addr() }

// Start listens again after Kill, at the same address.
func (l *Listener) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	for range restartAttempts {
		if l.done == nil || !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		// An outgoing connection of this machine may have the port for a moment.
		time.Sleep(restartPause)
		ln, err = net.Listen("tcp", l.addr)
	}
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	l.addr = ln.Addr().String()
	l.server = &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout}
	l.done = make(chan struct{})
	go func(s *http.Server, done chan struct{}) {
		defer close(done)
		_ = s.Serve(ln) // always ends with ErrServerClosed after Kill
	}(l.server, l.done)
	return nil
}

// Kill breaks every connection and refuses new ones, as a process that dies.
func (l *Listener) Kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return
	}
	_ = l.server.Close()
	<-l.done
	l.server = nil
}

// Close ends the listener. It is safe to call twice.
func (l *Listener) Close() { l.Kill() }

// ErrorBody is the answer of a stand-in to a request that it refuses.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refused request.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	writeJSON(w, status, ErrorBody{Error: ErrorDetail{Message: message, Type: kind, Code: code}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may be gone
}

// readJSON decodes a request body. It writes the refusal itself and reports whether the body was valid.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, "unreadable_body", err.Error())
		return false
	}
	if err := json.Unmarshal(data, v); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_json", err.Error())
		return false
	}
	return true
}

// breakConnection ends the answer without a valid end and closes the connection.
func breakConnection() { panic(http.ErrAbortHandler) }

// closer ends the waiting handlers of a stand-in.
type closer struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newCloser() closer {
	ctx, cancel := context.WithCancel(context.Background())
	return closer{ctx: ctx, cancel: cancel}
}

// Close ends waiting requests. The stand-in answers no further ones.
func (c closer) Close() { c.cancel() }

// bind returns the request's context, ended also by Close.
func (c closer) bind(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// newRouter returns a router that keeps escaped path segments and dots as they are.
func newRouter() *mux.Router {
	return mux.NewRouter().UseEncodedPath().SkipClean(true)
}

// Server is a stand-in. Close ends its waiting requests.
type Server interface {
	Handler() http.Handler
	Close()
}

var (
	_ Server = (*Store)(nil)
	_ Server = (*InstanceList)(nil)
	_ Server = (*Directory)(nil)
	_ Server = (*WeightStore)(nil)
	_ Server = (*Engine)(nil)
	_ Server = (*Service)(nil)
)

// adminPrefix is the path prefix of the calls that belong to tests.
const adminPrefix = "/standin/v1/"
